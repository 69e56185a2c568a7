"""The call table forgets in order and completely."""

import pytest

from glencleat.allocator.call_table import Attempt, CallTable, FinalAnswer
from tests.support.calls import make_call


def test_the_ledger_forgets_the_oldest_answered_calls_and_all_of_them():
    ledger = CallTable(max_closed_calls=2)
    for number in range(1, 5):
        one = make_call(number=number)
        ledger.add_call(one)
        ledger.bind(Attempt(one, 0, f"h{number}", f"a{number}"))
        ledger.record_answer(one, FinalAnswer.REJECTED)
        ledger.close(one)
    assert ledger.open_task_count == 0 and not ledger.active_calls_by_number
    assert set(ledger.attempts_by_id) == {"a3", "a4"} and set(ledger.attempts_by_machine) == {"h3", "h4"}
    assert ledger.find_call("f", "t1") is None and ledger.find_call("f", "t4") is not None
    with pytest.raises(AssertionError, match="failed after refused"):
        ledger.record_answer(one, FinalAnswer.FAILED)

"""The call table forgets in order and completely."""

import pytest

from glencleat.allocator.call_table import Attempt, CallTable, FinalAnswer
from tests.support.calls import make_call


def test_the_ledger_forgets_the_oldest_answered_calls_and_all_of_them():
    ledger = CallTable(remembered=2)
    for number in range(1, 5):
        one = make_call(number=number)
        ledger.take(one)
        ledger.bind(Attempt(one, 0, f"h{number}", f"a{number}"))
        ledger.give(one, FinalAnswer.REFUSED)
        ledger.close(one)
    assert ledger.open == 0 and not ledger.calls
    assert set(ledger.attempts) == {"a3", "a4"} and set(ledger.machines) == {"h3", "h4"}
    assert ledger.task("f", "t1") is None and ledger.task("f", "t4") is not None
    with pytest.raises(AssertionError, match="failed after refused"):
        ledger.give(one, FinalAnswer.FAILED)

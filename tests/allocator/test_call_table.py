"""The call table forgets the oldest closed calls first, and removes every trace of them."""

import pytest

from glencleat.allocator.call_table import Attempt, CallTable, FinalAnswer
from tests.support.calls import make_call


def test_the_oldest_closed_calls_are_forgotten_completely():
    call_table = CallTable(max_closed_calls=2)
    for number in range(1, 5):
        call = make_call(number=number)
        call_table.add_call(call)
        call_table.bind(Attempt(call, 0, f"h{number}", f"a{number}"))
        call_table.record_answer(call, FinalAnswer.REJECTED)
        call_table.close(call)
    assert call_table.open_task_count == 0 and not call_table.active_calls_by_number
    assert set(call_table.attempts_by_id) == {"a3", "a4"} and set(call_table.attempts_by_machine) == {
        "h3",
        "h4",
    }
    assert call_table.find_call("f", "t1") is None and call_table.find_call("f", "t4") is not None
    with pytest.raises(AssertionError, match="failed after refused"):
        call_table.record_answer(call, FinalAnswer.FAILED)

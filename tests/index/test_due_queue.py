"""DueQueue and DirtySet against naive models over drawn histories; each also checks itself (conftest)."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glencleat.index.dirty_set import DirtySet
from glencleat.index.due_queue import STALE_ENTRIES_ALLOWED, DueQueue

NAMES = st.integers(0, 12)
TIMES = st.integers(0, 40).map(float)
OPERATIONS = st.one_of(
    st.tuples(st.just("put"), NAMES, TIMES),
    st.tuples(st.just("discard"), NAMES, st.none()),
    st.tuples(st.just("mark"), NAMES, st.none()),
    st.tuples(st.just("take"), st.none(), TIMES),
)


@given(st.lists(OPERATIONS, max_size=150))
def test_due_keys_are_popped_once_earliest_first(operations):
    queue, expected_due, now = DueQueue(), {}, 0.0
    for operation, key, value in operations:
        if operation == "put":
            queue.put(key, value)
            expected_due[key] = value
        elif operation == "discard":
            queue.discard(key)
            expected_due.pop(key, None)
        elif operation == "take":
            now = max(now, value)
            found = queue.pop_due(now)
            expected = sorted(due for due in expected_due.values() if due <= now)
            assert [expected_due[key] for key in found] == expected
            for key in found:
                del expected_due[key]
        assert len(queue) == len(expected_due)
        assert queue.next_due() == min(expected_due.values(), default=None)


def test_keys_put_off_repeatedly_leave_few_stale_entries():
    queue = DueQueue()
    for i in range(20_000):
        queue.put(i % 10, float(i))
    assert len(queue) == 10 and len(queue.heap) <= 2 * 10 + STALE_ENTRIES_ALLOWED
    for key in range(10):
        queue.discard(key)
    assert len(queue.heap) <= STALE_ENTRIES_ALLOWED and queue.next_due() is None


def test_check_mode_raises_for_a_lost_entry():
    queue = DueQueue()
    queue.put("a", 1.0)
    queue.heap.clear()
    with pytest.raises(AssertionError):
        queue.pop_due(2.0)


@given(st.lists(OPERATIONS, max_size=80), st.dictionaries(NAMES, st.lists(NAMES, max_size=3), max_size=8))
def test_pending_keys_are_those_of_a_loop_over_all_keys(operations, marks):
    """`marks`: keys that are marked while a key is handled."""
    pending, dirty, due, now = DirtySet(sort_key=lambda key: -key), set(), {}, 0.0
    for operation, key, value in operations:
        if operation == "put":
            pending.schedule(key, value)
            due[key] = value
        elif operation == "discard":
            pending.schedule(key, float("inf"))
            due.pop(key, None)
        elif operation == "mark":
            pending.mark(key)
            dirty.add(key)
        elif operation == "take":
            now, expected, found = max(now, value), [], []
            for candidate in range(12, -1, -1):
                if candidate in dirty or due.get(candidate, now + 1.0) <= now:
                    expected.append(candidate)
                    due = {other: at for other, at in due.items() if other != candidate or at > now}
                    dirty |= set(marks.get(candidate, ()))
                    dirty.discard(candidate)
            for handled in pending.take_pending(now):
                found.append(handled)
                for other in marks.get(handled, ()):
                    pending.mark(other)
            assert found == expected


def test_key_whose_handling_raised_is_pending_again_with_those_after_it():
    pending = DirtySet(sort_key=lambda key: key)
    for key in (1, 2, 3):
        pending.mark(key)

    def handle_and_raise():
        for key in pending.take_pending(0.0):
            if key == 2:
                raise ValueError(key)

    with pytest.raises(ValueError):
        handle_and_raise()
    assert list(pending.take_pending(0.0)) == [2, 3] and not list(pending.take_pending(0.0))

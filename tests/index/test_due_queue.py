"""Indexes against naive models over generated histories; conftest also enables their self-checks."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glencleat.index.dirty_set import DirtySet
from glencleat.index.due_queue import MIN_STALE_ENTRIES, DueQueue

NAMES = st.integers(0, 12)
TIMES = st.integers(0, 40).map(float)
OPERATIONS = st.one_of(
    st.tuples(st.just("put"), NAMES, TIMES),
    st.tuples(st.just("discard"), NAMES, st.none()),
    st.tuples(st.just("mark"), NAMES, st.none()),
    st.tuples(st.just("take"), st.none(), TIMES),
)


@given(st.lists(OPERATIONS, max_size=150))
def test_due_keys_come_out_once_in_order_of_due_time(operations):
    index, model, now = DueQueue(), {}, 0.0
    for operation, key, value in operations:
        if operation == "put":
            index.put(key, value)
            model[key] = value
        elif operation == "discard":
            index.discard(key)
            model.pop(key, None)
        elif operation == "take":
            now = max(now, value)
            due_keys = index.pop_due(now)
            assert [model[key] for key in due_keys] == sorted(due for due in model.values() if due <= now)
            for key in due_keys:
                del model[key]
        assert len(index) == len(model) and index.next_due() == min(model.values(), default=None)


def test_postponing_due_times_repeatedly_does_not_grow_the_heap():
    index = DueQueue()
    for i in range(20_000):
        index.put(i % 10, float(i))
    assert len(index) == 10 and len(index.heap) <= 2 * 10 + MIN_STALE_ENTRIES
    for key in range(10):
        index.discard(key)
    assert len(index.heap) <= MIN_STALE_ENTRIES and index.next_due() is None


def test_self_check_detects_a_lost_entry():
    index = DueQueue()
    index.put("a", 1.0)
    index.heap.clear()
    with pytest.raises(AssertionError):
        index.pop_due(2.0)


@given(st.lists(OPERATIONS, max_size=80), st.dictionaries(NAMES, st.lists(NAMES, max_size=3), max_size=8))
def test_dirty_set_visits_the_same_keys_as_a_full_scan(operations, marks):
    """`marks`: the keys that are marked dirty while a key is visited."""
    dirty_set, dirty, due, now = DirtySet(sort_key=lambda key: -key), set(), {}, 0.0
    for operation, key, value in operations:
        if operation == "put":
            dirty_set.put(key, value)
            due[key] = value
        elif operation == "discard":
            dirty_set.put(key, float("inf"))
            due.pop(key, None)
        elif operation == "mark":
            dirty_set.mark_dirty(key)
            dirty.add(key)
        elif operation == "take":
            now, expected, visited = max(now, value), [], []
            for current in range(12, -1, -1):
                if current in dirty or due.get(current, now + 1.0) <= now:
                    expected.append(current)
                    due = {other: at for other, at in due.items() if other != current or at > now}
                    dirty |= set(marks.get(current, ()))
                    dirty.discard(current)
            for current in dirty_set.iterate_ready(now):
                visited.append(current)
                for other in marks.get(current, ()):
                    dirty_set.mark_dirty(other)
            assert visited == expected


def test_key_whose_visit_raises_is_visited_again_with_those_after_it():
    dirty_set = DirtySet(sort_key=lambda key: key)
    for key in (1, 2, 3):
        dirty_set.mark_dirty(key)

    def fail_at_second_key():
        for key in dirty_set.iterate_ready(0.0):
            if key == 2:
                raise ValueError(key)

    with pytest.raises(ValueError):
        fail_at_second_key()
    assert list(dirty_set.iterate_ready(0.0)) == [2, 3] and not list(dirty_set.iterate_ready(0.0))

"""Indexes against the plain way, over drawn histories; each also checks itself (conftest turns that on)."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glencleat.index.dirty_set import DirtySet
from glencleat.index.due_queue import MIN_STALE_ENTRIES, DueQueue

NAMES = st.integers(0, 12)
TIMES = st.integers(0, 40).map(float)
VERBS = st.one_of(
    st.tuples(st.just("put"), NAMES, TIMES),
    st.tuples(st.just("discard"), NAMES, st.none()),
    st.tuples(st.just("mark"), NAMES, st.none()),
    st.tuples(st.just("take"), st.none(), TIMES),
)


@given(st.lists(VERBS, max_size=150))
def test_what_is_due_comes_out_once_the_earliest_first(verbs):
    index, plain, now = DueQueue(), {}, 0.0
    for verb, key, value in verbs:
        if verb == "put":
            index.put(key, value)
            plain[key] = value
        elif verb == "discard":
            index.discard(key)
            plain.pop(key, None)
        elif verb == "take":
            now = max(now, value)
            found = index.pop_due(now)
            assert [plain[key] for key in found] == sorted(due for due in plain.values() if due <= now)
            for key in found:
                del plain[key]
        assert len(index) == len(plain) and index.next_due() == min(plain.values(), default=None)


def test_times_put_off_again_and_again_take_no_room():
    index = DueQueue()
    for i in range(20_000):
        index.put(i % 10, float(i))
    assert len(index) == 10 and len(index.heap) <= 2 * 10 + MIN_STALE_ENTRIES
    for key in range(10):
        index.discard(key)
    assert len(index.heap) <= MIN_STALE_ENTRIES and index.next_due() is None


def test_a_check_finds_an_entry_that_was_lost():
    index = DueQueue()
    index.put("a", 1.0)
    index.heap.clear()
    with pytest.raises(AssertionError):
        index.pop_due(2.0)


@given(st.lists(VERBS, max_size=80), st.dictionaries(NAMES, st.lists(NAMES, max_size=3), max_size=8))
def test_turns_are_those_of_one_who_goes_through_all(verbs, marks):
    """`marks`: on whom something happens as one has its turn, the first time in a tick."""
    turns, dirty, due, now = DirtySet(sort_key=lambda key: -key), set(), {}, 0.0
    for verb, key, value in verbs:
        if verb == "put":
            turns.put(key, value)
            due[key] = value
        elif verb == "discard":
            turns.put(key, float("inf"))
            due.pop(key, None)
        elif verb == "mark":
            turns.mark_dirty(key)
            dirty.add(key)
        elif verb == "take":
            now, expected, found = max(now, value), [], []
            for one in range(12, -1, -1):
                if one in dirty or due.get(one, now + 1.0) <= now:
                    expected.append(one)
                    due = {other: at for other, at in due.items() if other != one or at > now}
                    dirty |= set(marks.get(one, ()))
                    dirty.discard(one)
            for one in turns.iterate_ready(now):
                found.append(one)
                for other in marks.get(one, ()):
                    turns.mark_dirty(other)
            assert found == expected


def test_a_turn_that_raises_comes_again_with_those_after_it():
    turns = DirtySet(sort_key=lambda key: key)
    for key in (1, 2, 3):
        turns.mark_dirty(key)

    def goes_wrong():
        for key in turns.iterate_ready(0.0):
            if key == 2:
                raise ValueError(key)

    with pytest.raises(ValueError):
        goes_wrong()
    assert list(turns.iterate_ready(0.0)) == [2, 3] and not list(turns.iterate_ready(0.0))

"""Whose turn it is in a tick: those on which something has happened and those that are due, in an order.

Imports `index.due` alone; `platform_server/connection_pool.py` keeps its hosts in one. A dirty set
beside an index by due time.
What is marked while the turns are taken has its own among them if its place in the order is yet to come, else
in the next tick: as if all were gone through in that order each time."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Hashable, Iterator
from typing import Any, Generic, TypeVar

from glencleat.index.due_queue import DueQueue

K = TypeVar("K", bound=Hashable)


class DirtySet(Generic[K]):
    """`sort_key` gives a key's place: no two have the same, and none changes while turns are taken.

    >>> turns = DirtySet[str](sort_key=len)
    >>> turns.mark_dirty("ccc"); turns.put("a", 5.0); turns.put("bb", 9.0)
    >>> for key in turns.iterate_ready(5.0):
    ...     print(key)
    ...     if key == "a": turns.mark_dirty("a"); turns.mark_dirty("bb")
    a
    bb
    ccc
    """

    def __init__(self, sort_key: Callable[[K], Any]) -> None:
        self.sort_key = sort_key
        self.dirty_keys: set[K] = set()
        self.due_queue: DueQueue[K] = DueQueue()
        self.remaining_heap: list[tuple[Any, K]] = []  # of the turns that are being taken
        self.current_position: Any = None  # where they have come to
        self.taken_count = 0  # turns, in all

    def mark_dirty(self, key: K) -> None:
        """Something has happened on it."""
        if key in self.dirty_keys:
            return
        self.dirty_keys.add(key)
        if self.current_position is not None and self.sort_key(key) > self.current_position:
            heapq.heappush(self.remaining_heap, (self.sort_key(key), key))

    def put(self, key: K, due: float) -> None:
        """It has its turn then, unless something happens on it before. `inf`: not by itself."""
        if due < float("inf"):
            self.due_queue.put(key, due)
        else:
            self.due_queue.discard(key)

    def collect_ready(self, now: float) -> set[K]:
        """All that have a turn now."""
        self.dirty_keys.update(self.due_queue.pop_due(now))
        return self.dirty_keys

    def iterate_ready(self, now: float) -> Iterator[K]:
        """Each that has a turn now; of what happens on one within its own turn its taker knows."""
        self.remaining_heap = [(self.sort_key(key), key) for key in self.collect_ready(now)]
        heapq.heapify(self.remaining_heap)
        try:
            while self.remaining_heap:
                self.current_position, key = heapq.heappop(self.remaining_heap)
                self.taken_count += 1
                yield key
                self.dirty_keys.discard(key)
        finally:
            self.current_position = (
                None  # also where a turn raised: it and those after it come again in the next tick
            )

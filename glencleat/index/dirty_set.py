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
    """`order` gives a key's place: no two have the same, and none changes while turns are taken.

    >>> turns = DirtySet[str](order=len)
    >>> turns.mark("ccc"); turns.put("a", 5.0); turns.put("bb", 9.0)
    >>> for key in turns.take(5.0):
    ...     print(key)
    ...     if key == "a": turns.mark("a"); turns.mark("bb")
    a
    bb
    ccc
    """

    def __init__(self, order: Callable[[K], Any]) -> None:
        self.order = order
        self.dirty: set[K] = set()
        self.due: DueQueue[K] = DueQueue()
        self.heap: list[tuple[Any, K]] = []  # of the turns that are being taken
        self.place: Any = None  # where they have come to
        self.taken = 0  # turns, in all

    def mark(self, key: K) -> None:
        """Something has happened on it."""
        if key in self.dirty:
            return
        self.dirty.add(key)
        if self.place is not None and self.order(key) > self.place:
            heapq.heappush(self.heap, (self.order(key), key))

    def put(self, key: K, due: float) -> None:
        """It has its turn then, unless something happens on it before. `inf`: not by itself."""
        if due < float("inf"):
            self.due.put(key, due)
        else:
            self.due.discard(key)

    def gather(self, now: float) -> set[K]:
        """All that have a turn now."""
        self.dirty.update(self.due.pop_due(now))
        return self.dirty

    def take(self, now: float) -> Iterator[K]:
        """Each that has a turn now; of what happens on one within its own turn its taker knows."""
        self.heap = [(self.order(key), key) for key in self.gather(now)]
        heapq.heapify(self.heap)
        try:
            while self.heap:
                self.place, key = heapq.heappop(self.heap)
                self.taken += 1
                yield key
                self.dirty.discard(key)
        finally:
            self.place = None  # also where a turn raised: it and those after it come again in the next tick

"""A dirty set beside a timer queue: the keys with work to do now, handed out in a fixed order.

A key is pending when something has happened on it (`mark`) or when its due time has come (`schedule`). The
connection pool keeps its hosts in one, so that a tick costs what is pending and not what there is. The order
of work equals that of a loop over all keys: a key marked while others are handed out still comes in the same
pass if its place in the order is ahead, and otherwise in the next pass.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Hashable, Iterator
from typing import Any, Generic, TypeVar

from glencleat.index.due_queue import DueQueue

K = TypeVar("K", bound=Hashable)
SortKey = Any  # any comparable value; typing has no public protocol for these


class DirtySet(Generic[K]):
    """Pending keys, handed out by ascending `sort_key`.

    `sort_key` gives distinct values for distinct keys, and none may change during a pass.

    >>> hosts = DirtySet[str](sort_key=len)
    >>> hosts.mark("ccc"); hosts.schedule("a", 5.0); hosts.schedule("bb", 9.0)
    >>> for host in hosts.take_pending(5.0):
    ...     print(host)
    ...     if host == "a": hosts.mark("a"); hosts.mark("bb")
    a
    bb
    ccc
    """

    def __init__(self, sort_key: Callable[[K], SortKey]) -> None:
        self.sort_key = sort_key
        self.dirty: set[K] = set()
        self.due_queue: DueQueue[K] = DueQueue()
        self.heap: list[tuple[SortKey, K]] = []  # what the present pass has yet to hand out
        self.position: SortKey = None  # sort key of the one handed out last in this pass; None between passes
        self.taken_total = 0  # keys handed out since the start

    def mark(self, key: K) -> None:
        """Make `key` pending at once: something has happened on it."""
        if key in self.dirty:
            return
        self.dirty.add(key)
        if self.position is not None and self.sort_key(key) > self.position:
            heapq.heappush(self.heap, (self.sort_key(key), key))

    def schedule(self, key: K, due: float) -> None:
        """Make `key` pending at `due`, in place of its earlier due time; `inf` removes the due time."""
        if due < float("inf"):
            self.due_queue.put(key, due)
        else:
            self.due_queue.discard(key)

    def collect_pending(self, now: float) -> set[K]:
        """Move the keys due at `now` into the dirty set, and return that set."""
        self.dirty.update(self.due_queue.pop_due(now))
        return self.dirty

    def take_pending(self, now: float) -> Iterator[K]:
        """Yield each pending key in order; a mark on a key while it is being handled has no effect."""
        self.heap = [(self.sort_key(key), key) for key in self.collect_pending(now)]
        heapq.heapify(self.heap)
        try:
            while self.heap:
                self.position, key = heapq.heappop(self.heap)
                self.taken_total += 1
                yield key
                self.dirty.discard(key)
        finally:
            # Also where the caller raised: that key and those after it are still dirty for the next pass.
            self.position = None

"""A dirty set combined with a due queue: iterates in order over the keys that changed or are due.

A key marked during an iteration is visited in the same iteration if its position in the order is still ahead,
otherwise in the next one: the result is that of a full scan in that order each time.
`platform_server/host_maintenance.py` keeps its hosts in one. Imports `index.due_queue` alone.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Hashable, Iterator
from typing import Any, Generic, TypeVar

from glencleat.index.due_queue import DueQueue

K = TypeVar("K", bound=Hashable)


class DirtySet(Generic[K]):
    """Keys that are marked dirty or due, visited in the order of `sort_key`.

    `sort_key` must differ for any two keys and must not change during an iteration.

    >>> pending = DirtySet[str](sort_key=len)
    >>> pending.mark_dirty("ccc"); pending.put("a", 5.0); pending.put("bb", 9.0)
    >>> for key in pending.iterate_ready(5.0):
    ...     print(key)
    ...     if key == "a": pending.mark_dirty("a"); pending.mark_dirty("bb")
    a
    bb
    ccc
    """

    def __init__(self, sort_key: Callable[[K], Any]) -> None:
        self.sort_key = sort_key
        self.dirty_keys: set[K] = set()
        self.due_queue: DueQueue[K] = DueQueue()
        self.remaining_heap: list[tuple[Any, K]] = []  # not visited yet in this iteration
        self.current_position: Any = None  # sort key of the key being visited; None between iterations
        self.taken_count = 0  # keys visited in total

    def mark_dirty(self, key: K) -> None:
        """Makes the key ready now."""
        if key in self.dirty_keys:
            return
        self.dirty_keys.add(key)
        if self.current_position is not None and self.sort_key(key) > self.current_position:
            heapq.heappush(self.remaining_heap, (self.sort_key(key), key))

    def put(self, key: K, due: float) -> None:
        """Makes the key ready at `due`, replacing its previous due time; `inf` removes the due time."""
        if due < float("inf"):
            self.due_queue.put(key, due)
        else:
            self.due_queue.discard(key)

    def collect_ready(self, now: float) -> set[K]:
        """Returns all keys that are ready at `now`."""
        self.dirty_keys.update(self.due_queue.pop_due(now))
        return self.dirty_keys

    def iterate_ready(self, now: float) -> Iterator[K]:
        """Visits each key that is ready at `now`.

        A key marked during its own visit is not visited again: the visiting code knows of that change.
        """
        self.remaining_heap = [(self.sort_key(key), key) for key in self.collect_ready(now)]
        heapq.heapify(self.remaining_heap)
        try:
            while self.remaining_heap:
                self.current_position, key = heapq.heappop(self.remaining_heap)
                self.taken_count += 1
                yield key
                self.dirty_keys.discard(key)
        finally:
            # Also after an exception: the key that failed and those after it are visited next time.
            self.current_position = None

"""A priority queue of keys by due time, with lazy deletion.

Times are the caller's, of any unit; nothing here reads a clock. A due time that is replaced leaves its old
entry in the heap until that comes up, or until stale entries outnumber live ones: then the heap is rebuilt.
So each operation costs O(log n) amortized, and keys that are not due cost nothing. `docs/design-scale.md`
compares it with alternatives.
"""

from __future__ import annotations

from collections.abc import Hashable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import ClassVar, Generic, TypeVar

K = TypeVar("K", bound=Hashable)
STALE_ENTRIES_ALLOWED = 64  # beyond as many as there are live ones, before the heap is rebuilt


class DueQueue(Generic[K]):
    """Keys by due time; each key has at most one.

    >>> queue = DueQueue[str]()
    >>> queue.put("a", 5.0); queue.put("b", 3.0); queue.put("a", 9.0)
    >>> queue.pop_due(5.0), queue.pop_due(5.0), len(queue), queue.next_due()
    (['b'], [], 1, 9.0)
    """

    is_checked: ClassVar[bool] = False  # in tests: compare every answer with one from scratch, at O(n)

    def __init__(self) -> None:
        self.due_by_key: dict[K, float] = {}
        self.heap: list[tuple[float, int, K]] = []
        self.sequence = count()  # equal due times come out in the order in which they were put

    def __len__(self) -> int:
        return len(self.due_by_key)

    def put(self, key: K, due: float) -> None:
        """Set the due time of `key`, in place of an earlier one."""
        if self.due_by_key.get(key) == due:
            return
        self.due_by_key[key] = due
        heappush(self.heap, (due, next(self.sequence), key))
        if len(self.heap) > 2 * len(self.due_by_key) + STALE_ENTRIES_ALLOWED:
            self._rebuild()

    def discard(self, key: K) -> None:
        """Remove `key` if it is there."""
        if self.due_by_key.pop(key, None) is None:
            return
        if len(self.heap) > 2 * len(self.due_by_key) + STALE_ENTRIES_ALLOWED:
            self._rebuild()

    def _rebuild(self) -> None:
        self.heap = [entry for entry in self.heap if self.due_by_key.get(entry[2]) == entry[0]]
        heapify(self.heap)

    def next_due(self) -> float | None:
        """Return the earliest due time, None for an empty queue."""
        while self.heap and self.due_by_key.get(self.heap[0][2]) != self.heap[0][0]:
            heappop(self.heap)
        earliest = self.heap[0][0] if self.heap else None
        if self.is_checked:
            assert earliest == min(self.due_by_key.values(), default=None)
        return earliest

    def pop_due(self, now: float) -> list[K]:
        """Remove and return the keys due at `now`, the earliest first."""
        expected = set[K]()
        if self.is_checked:
            expected = {key for key, due in self.due_by_key.items() if due <= now}
        due_keys = []
        while self.heap and self.heap[0][0] <= now:
            due, _, key = heappop(self.heap)
            if self.due_by_key.get(key) == due:
                del self.due_by_key[key]
                due_keys.append(key)
        if self.is_checked:
            assert set(due_keys) == expected
            assert len(due_keys) == len(expected)
        return due_keys

"""A priority queue of keys by due time with lazy deletion.

Times come from the caller, in any unit; nothing here reads a clock. Changing a due time leaves a stale entry
in the heap until it reaches the top, or until stale entries outnumber the others and the heap is rebuilt.
Each operation therefore costs O(log n) amortized, and keys that are not due cost nothing.
`docs/design-scale.md` compares it with alternatives. Imports nothing from glencleat.
"""

from __future__ import annotations

from collections.abc import Hashable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import ClassVar, Generic, TypeVar

K = TypeVar("K", bound=Hashable)
MIN_STALE_ENTRIES = 64  # never rebuilt for fewer stale entries than this


class DueQueue(Generic[K]):
    """The due times of keys; each key has at most one.

    >>> index = DueQueue[str]()
    >>> index.put("a", 5.0); index.put("b", 3.0); index.put("a", 9.0)
    >>> index.pop_due(5.0), index.pop_due(5.0), len(index), index.next_due()
    (['b'], [], 1, 9.0)
    """

    is_self_checking: ClassVar[bool] = False  # also recomputes every answer from scratch, in O(n)

    def __init__(self) -> None:
        self.due_by_key: dict[K, float] = {}
        self.heap: list[tuple[float, int, K]] = []
        self.sequence_numbers = count()  # keys with equal times come out in insertion order

    def __len__(self) -> int:
        return len(self.due_by_key)

    def put(self, key: K, due: float) -> None:
        """Sets the due time of `key`, replacing an earlier one."""
        if self.due_by_key.get(key) == due:
            return
        self.due_by_key[key] = due
        heappush(self.heap, (due, next(self.sequence_numbers), key))
        if len(self.heap) > 2 * len(self.due_by_key) + MIN_STALE_ENTRIES:
            self._rebuild()

    def discard(self, key: K) -> None:
        """Removes `key` if it is present."""
        if (
            self.due_by_key.pop(key, None) is not None
            and len(self.heap) > 2 * len(self.due_by_key) + MIN_STALE_ENTRIES
        ):
            self._rebuild()

    def _rebuild(self) -> None:
        self.heap = [entry for entry in self.heap if self.due_by_key.get(entry[2]) == entry[0]]
        heapify(self.heap)

    def next_due(self) -> float | None:
        """The earliest due time; None if the queue is empty."""
        while self.heap and self.due_by_key.get(self.heap[0][2]) != self.heap[0][0]:
            heappop(self.heap)
        earliest = self.heap[0][0] if self.heap else None
        if self.is_self_checking:
            assert earliest == min(self.due_by_key.values(), default=None)
        return earliest

    def pop_due(self, now: float) -> list[K]:
        """Removes and returns the keys that are due at `now`, in order of due time."""
        expected = (
            {key for key, due in self.due_by_key.items() if due <= now} if self.is_self_checking else set[K]()
        )
        due_keys = []
        while self.heap and self.heap[0][0] <= now:
            due, _, key = heappop(self.heap)
            if self.due_by_key.get(key) == due:
                del self.due_by_key[key]
                due_keys.append(key)
        if self.is_self_checking:
            assert set(due_keys) == expected and len(due_keys) == len(expected)
        return due_keys

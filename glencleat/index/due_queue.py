"""Which of many are due: a priority queue by due time with lazy deletion.

Imports nothing of glencleat; `platform_server/connection_pool.py` keeps its hosts in one. Times
are the caller's, of any unit, and
nothing here reads a clock. A time that is put off leaves its old entry in the heap until that comes up, or
until the heap holds more of such entries than of others: then it is built anew. So each verb costs
O(log n) amortized, and what is not due costs nothing. `docs/design-scale.md` sets it against others."""

from __future__ import annotations

from collections.abc import Hashable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import ClassVar, Generic, TypeVar

K = TypeVar("K", bound=Hashable)
MIN_STALE_ENTRIES = 64  # stale entries that are let be


class DueQueue(Generic[K]):
    """
    >>> index = DueQueue[str]()
    >>> index.put("a", 5.0); index.put("b", 3.0); index.put("a", 9.0)
    >>> index.pop_due(5.0), index.pop_due(5.0), len(index), index.next_due()
    (['b'], [], 1, 9.0)
    """

    is_self_checking: ClassVar[bool] = False  # every answer is also worked out from scratch, which costs O(n)

    def __init__(self) -> None:
        self.due_by_key: dict[K, float] = {}
        self.heap: list[tuple[float, int, K]] = []
        self.sequence_numbers = count()  # equal times come out in the order in which they were put

    def __len__(self) -> int:
        return len(self.due_by_key)

    def put(self, key: K, due: float) -> None:
        """`key` is due then, and no longer at the time that it had before."""
        if self.due_by_key.get(key) == due:
            return
        self.due_by_key[key] = due
        heappush(self.heap, (due, next(self.sequence_numbers), key))
        if len(self.heap) > 2 * len(self.due_by_key) + MIN_STALE_ENTRIES:
            self._rebuild()

    def discard(self, key: K) -> None:
        if (
            self.due_by_key.pop(key, None) is not None
            and len(self.heap) > 2 * len(self.due_by_key) + MIN_STALE_ENTRIES
        ):
            self._rebuild()

    def _rebuild(self) -> None:
        self.heap = [entry for entry in self.heap if self.due_by_key.get(entry[2]) == entry[0]]
        heapify(self.heap)

    def next_due(self) -> float | None:
        """The least time of all; None where there is none."""
        while self.heap and self.due_by_key.get(self.heap[0][2]) != self.heap[0][0]:
            heappop(self.heap)
        found = self.heap[0][0] if self.heap else None
        if self.is_self_checking:
            assert found == min(self.due_by_key.values(), default=None)
        return found

    def pop_due(self, now: float) -> list[K]:
        """Takes out all that are due at `now`, the earliest first."""
        expected = (
            {key for key, due in self.due_by_key.items() if due <= now} if self.is_self_checking else set[K]()
        )
        found = []
        while self.heap and self.heap[0][0] <= now:
            due, _, key = heappop(self.heap)
            if self.due_by_key.get(key) == due:
                del self.due_by_key[key]
                found.append(key)
        if self.is_self_checking:
            assert set(found) == expected and len(found) == len(expected)
        return found

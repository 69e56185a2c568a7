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
LEAST = 64  # stale entries that are let be


class DueQueue(Generic[K]):
    """
    >>> index = DueQueue[str]()
    >>> index.put("a", 5.0); index.put("b", 3.0); index.put("a", 9.0)
    >>> index.pop_due(5.0), index.pop_due(5.0), len(index), index.next_due()
    (['b'], [], 1, 9.0)
    """

    checked: ClassVar[bool] = False  # every answer is also worked out from scratch, which costs O(n)

    def __init__(self) -> None:
        self.times: dict[K, float] = {}
        self.heap: list[tuple[float, int, K]] = []
        self.numbers = count()  # equal times come out in the order in which they were put

    def __len__(self) -> int:
        return len(self.times)

    def put(self, key: K, due: float) -> None:
        """`key` is due then, and no longer at the time that it had before."""
        if self.times.get(key) == due:
            return
        self.times[key] = due
        heappush(self.heap, (due, next(self.numbers), key))
        if len(self.heap) > 2 * len(self.times) + LEAST:
            self._rebuild()

    def discard(self, key: K) -> None:
        if self.times.pop(key, None) is not None and len(self.heap) > 2 * len(self.times) + LEAST:
            self._rebuild()

    def _rebuild(self) -> None:
        self.heap = [entry for entry in self.heap if self.times.get(entry[2]) == entry[0]]
        heapify(self.heap)

    def next_due(self) -> float | None:
        """The least time of all; None where there is none."""
        while self.heap and self.times.get(self.heap[0][2]) != self.heap[0][0]:
            heappop(self.heap)
        found = self.heap[0][0] if self.heap else None
        if self.checked:
            assert found == min(self.times.values(), default=None)
        return found

    def pop_due(self, now: float) -> list[K]:
        """Takes out all that are due at `now`, the earliest first."""
        expected = {key for key, due in self.times.items() if due <= now} if self.checked else set[K]()
        found = []
        while self.heap and self.heap[0][0] <= now:
            due, _, key = heappop(self.heap)
            if self.times.get(key) == due:
                del self.times[key]
                found.append(key)
        if self.checked:
            assert set(found) == expected and len(found) == len(expected)
        return found

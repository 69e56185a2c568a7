"""Timers made for many: a hierarchical wheel, and the plain heap that it is measured against.

Imports nothing of glencleat. The loop calls `add`, `next_due` and `pop_due`; times are milliseconds. Most
timers (attempt time-outs, heartbeats) are cancelled before they are due, so cancelling must cost O(1)."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from itertools import count
from typing import Protocol

LEVELS, BITS = 4, 8  # 2^32 ticks ahead at most; later ones wait in the last level and are placed again
SLOTS, MASK = 1 << BITS, (1 << BITS) - 1
FULL = (1 << SLOTS) - 1


class Timer:
    """One call in the future; `cancel` may be called at any time and more than once."""

    __slots__ = ("when", "call", "order")

    def __init__(self, when: float, call: Callable[[], None], order: int) -> None:
        self.when, self.order = when, order
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None

    def __lt__(self, other: Timer) -> bool:
        return (self.when, self.order) < (other.when, other.order)


class Timers(Protocol):
    def add(self, when: float, call: Callable[[], None]) -> Timer: ...
    def next_due(self) -> float | None: ...
    def pop_due(self, now: float) -> list[Timer]: ...


class TimerHeap:
    """The plain one: a heap in which cancelled timers stay until their time comes."""

    def __init__(self) -> None:
        self.heap: list[Timer] = []
        self.orders = count()

    def add(self, when: float, call: Callable[[], None]) -> Timer:
        timer = Timer(when, call, next(self.orders))
        heapq.heappush(self.heap, timer)
        return timer

    def next_due(self) -> float | None:
        while self.heap and self.heap[0].call is None:
            heapq.heappop(self.heap)
        return self.heap[0].when if self.heap else None

    def pop_due(self, now: float) -> list[Timer]:
        due = []
        while self.heap and self.heap[0].when <= now:
            timer = heapq.heappop(self.heap)
            if timer.call is not None:
                due.append(timer)
        return due


class TimerWheel:
    """Four wheels of 256 slots (Varghese and Lauck, scheme 7); a timer never fires before its time.

    A due time is rounded up to the next tick. Each level keeps its occupied slots as bits of one integer, so
    that the next one is found without a scan."""

    def __init__(self, start: float = 0.0, tick_ms: float = 1.0) -> None:
        self.tick_ms, self.tick = tick_ms, math.floor(start / tick_ms)
        self.slots: list[list[list[Timer]]] = [[[] for _ in range(SLOTS)] for _ in range(LEVELS)]
        self.bits = [0] * LEVELS
        self.orders = count()

    def add(self, when: float, call: Callable[[], None]) -> Timer:
        timer = Timer(when, call, next(self.orders))
        self._place(timer)
        return timer

    def _place(self, timer: Timer) -> None:
        due = max(self.tick + 1, math.ceil(timer.when / self.tick_ms))
        ahead = min(due - self.tick, (1 << LEVELS * BITS) - 1)
        level = max(0, (ahead.bit_length() - 1) // BITS)
        index = (self.tick + ahead) >> (BITS * level) & MASK
        self.slots[level][index].append(timer)
        self.bits[level] |= 1 << index

    def _take(self, level: int, index: int) -> list[Timer]:
        timers, self.slots[level][index] = self.slots[level][index], []
        self.bits[level] &= ~(1 << index)
        return timers

    def _next_tick(self) -> int | None:
        """The next tick at which there is something to do: a slot to empty or a wheel to turn."""
        first: int | None = None
        for level in range(LEVELS):
            bits = self.bits[level]
            if bits:
                turn = (self.tick >> BITS * level) + 1
                shift = turn & MASK
                turned = bits >> shift | (bits << (SLOTS - shift) & FULL)
                due = (turn + (turned & -turned).bit_length() - 1) << BITS * level
                first = due if first is None else min(first, due)
        return first

    def next_due(self) -> float | None:
        due = self._next_tick()
        return None if due is None else due * self.tick_ms

    def pop_due(self, now: float) -> list[Timer]:
        target, found = math.floor(now / self.tick_ms), list[Timer]()
        while (due := self._next_tick()) is not None and due <= target:
            self.tick = due
            for level in range(1, LEVELS):
                if due & ((1 << BITS * level) - 1):
                    break
                for timer in self._take(level, due >> (BITS * level) & MASK):
                    if timer.call is not None and timer.when > due * self.tick_ms:
                        self._place(timer)
                    elif timer.call is not None:
                        found.append(timer)
            found += [t for t in self._take(0, due & MASK) if t.call is not None]
        self.tick = max(self.tick, target)
        return sorted(found)

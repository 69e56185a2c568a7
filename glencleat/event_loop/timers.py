"""Timers made for many: a hierarchical wheel, and the plain heap that it is measured against.

Imports nothing of glencleat. The loop calls `add`, `next_due` and `pop_due`; times are milliseconds. Most
timers (attempt time-outs, heartbeats) are cancelled before they are due, so cancelling must cost O(1)."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from itertools import count
from typing import Protocol

LEVELS, BITS_PER_LEVEL = (
    4,
    8,
)  # 2^32 ticks ahead at most; later ones wait in the last level and are placed again
SLOTS, MASK = 1 << BITS_PER_LEVEL, (1 << BITS_PER_LEVEL) - 1
ALL_SLOTS = (1 << SLOTS) - 1


class Timer:
    """One call in the future; `cancel` may be called at any time and more than once."""

    __slots__ = ("due_ms", "callback", "sequence_number")

    def __init__(self, when: float, call: Callable[[], None], order: int) -> None:
        self.due_ms, self.sequence_number = when, order
        self.callback: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.callback = None

    def __lt__(self, other: Timer) -> bool:
        return (self.due_ms, self.sequence_number) < (other.due_ms, other.sequence_number)


class Timers(Protocol):
    def add(self, when: float, call: Callable[[], None]) -> Timer: ...
    def next_due(self) -> float | None: ...
    def pop_due(self, now: float) -> list[Timer]: ...


class TimerHeap:
    """The plain one: a heap in which cancelled timers stay until their time comes."""

    def __init__(self) -> None:
        self.heap: list[Timer] = []
        self.sequence_numbers = count()

    def add(self, when: float, call: Callable[[], None]) -> Timer:
        timer = Timer(when, call, next(self.sequence_numbers))
        heapq.heappush(self.heap, timer)
        return timer

    def next_due(self) -> float | None:
        while self.heap and self.heap[0].callback is None:
            heapq.heappop(self.heap)
        return self.heap[0].due_ms if self.heap else None

    def pop_due(self, now: float) -> list[Timer]:
        due = []
        while self.heap and self.heap[0].due_ms <= now:
            timer = heapq.heappop(self.heap)
            if timer.callback is not None:
                due.append(timer)
        return due


class TimerWheel:
    """Four wheels of 256 slots (Varghese and Lauck, scheme 7); a timer never fires before its time.

    A due time is rounded up to the next tick. Each level keeps its occupied slots as bits of one integer, so
    that the next one is found without a scan."""

    def __init__(self, start: float = 0.0, tick_ms: float = 1.0) -> None:
        self.tick_ms, self.current_tick = tick_ms, math.floor(start / tick_ms)
        self.slots: list[list[list[Timer]]] = [[[] for _ in range(SLOTS)] for _ in range(LEVELS)]
        self.occupied_slot_bits = [0] * LEVELS
        self.sequence_numbers = count()

    def add(self, when: float, call: Callable[[], None]) -> Timer:
        timer = Timer(when, call, next(self.sequence_numbers))
        self._place(timer)
        return timer

    def _place(self, timer: Timer) -> None:
        due = max(self.current_tick + 1, math.ceil(timer.due_ms / self.tick_ms))
        ahead = min(due - self.current_tick, (1 << LEVELS * BITS_PER_LEVEL) - 1)
        level = max(0, (ahead.bit_length() - 1) // BITS_PER_LEVEL)
        index = (self.current_tick + ahead) >> (BITS_PER_LEVEL * level) & MASK
        self.slots[level][index].append(timer)
        self.occupied_slot_bits[level] |= 1 << index

    def _take(self, level: int, index: int) -> list[Timer]:
        timers, self.slots[level][index] = self.slots[level][index], []
        self.occupied_slot_bits[level] &= ~(1 << index)
        return timers

    def _next_tick(self) -> int | None:
        """The next tick at which there is something to do: a slot to empty or a wheel to turn."""
        first: int | None = None
        for level in range(LEVELS):
            bits = self.occupied_slot_bits[level]
            if bits:
                turn = (self.current_tick >> BITS_PER_LEVEL * level) + 1
                shift = turn & MASK
                turned = bits >> shift | (bits << (SLOTS - shift) & ALL_SLOTS)
                due = (turn + (turned & -turned).bit_length() - 1) << BITS_PER_LEVEL * level
                first = due if first is None else min(first, due)
        return first

    def next_due(self) -> float | None:
        due = self._next_tick()
        return None if due is None else due * self.tick_ms

    def pop_due(self, now: float) -> list[Timer]:
        target, found = math.floor(now / self.tick_ms), list[Timer]()
        while (due := self._next_tick()) is not None and due <= target:
            self.current_tick = due
            for level in range(1, LEVELS):
                if due & ((1 << BITS_PER_LEVEL * level) - 1):
                    break
                for timer in self._take(level, due >> (BITS_PER_LEVEL * level) & MASK):
                    if timer.callback is not None and timer.due_ms > due * self.tick_ms:
                        self._place(timer)
                    elif timer.callback is not None:
                        found.append(timer)
            found += [t for t in self._take(0, due & MASK) if t.callback is not None]
        self.current_tick = max(self.current_tick, target)
        return sorted(found)

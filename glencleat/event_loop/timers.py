"""Timer queues: a hierarchical timer wheel, and a binary heap that it is tested and measured against.

The loop calls `add`, `next_due` and `pop_due`; times are milliseconds of the loop's clock. Most timers
(attempt time-outs, heartbeats) are cancelled before they are due, so that cancelling must cost O(1).
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from itertools import count
from typing import Protocol

LEVEL_COUNT = 4
LEVEL_BITS = 8  # 2^32 ticks ahead at most; later ones wait in the last level and are placed again
SLOT_COUNT = 1 << LEVEL_BITS
SLOT_MASK = SLOT_COUNT - 1
ALL_SLOTS = (1 << SLOT_COUNT) - 1


class Timer:
    """One call in the future, ordered by due time and then by the order of `add`."""

    __slots__ = ("due_ms", "callback", "sequence")

    def __init__(self, due_ms: float, callback: Callable[[], None], sequence: int) -> None:
        self.due_ms = due_ms
        self.sequence = sequence
        self.callback: Callable[[], None] | None = callback  # None once cancelled

    def cancel(self) -> None:
        """Prevent the call; may be called at any time and more than once."""
        self.callback = None

    def __lt__(self, other: Timer) -> bool:
        return (self.due_ms, self.sequence) < (other.due_ms, other.sequence)


class Timers(Protocol):
    """What the loop needs of a timer queue."""

    def add(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Add a call at `due_ms`."""

    def next_due(self) -> float | None:
        """Return when to call `pop_due` next, None without timers; may be too early, never too late."""

    def pop_due(self, now: float) -> list[Timer]:
        """Remove and return the timers due at `now` that were not cancelled, the earliest first."""


class TimerHeap:
    """A binary heap in which cancelled timers stay until their time comes."""

    def __init__(self) -> None:
        self.heap: list[Timer] = []
        self.sequence = count()

    def add(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Add a call at `due_ms`."""
        timer = Timer(due_ms, callback, next(self.sequence))
        heapq.heappush(self.heap, timer)
        return timer

    def next_due(self) -> float | None:
        """Return the due time of the earliest timer, None without timers."""
        while self.heap and self.heap[0].callback is None:
            heapq.heappop(self.heap)
        return self.heap[0].due_ms if self.heap else None

    def pop_due(self, now: float) -> list[Timer]:
        """Remove and return what is due; see `Timers`."""
        due = []
        while self.heap and self.heap[0].due_ms <= now:
            timer = heapq.heappop(self.heap)
            if timer.callback is not None:
                due.append(timer)
        return due


class TimerWheel:
    """Four wheels of 256 slots (Varghese and Lauck, scheme 7); a timer never fires before its time.

    A due time is rounded up to the next tick. Each level keeps its occupied slots as bits of one integer, so
    that the next one is found without a scan.
    """

    def __init__(self, start_ms: float = 0.0, tick_ms: float = 1.0) -> None:
        self.tick_ms = tick_ms
        self.tick = math.floor(start_ms / tick_ms)  # up to which the wheels have turned
        self.slots: list[list[list[Timer]]] = [[[] for _ in range(SLOT_COUNT)] for _ in range(LEVEL_COUNT)]
        self.occupied = [0] * LEVEL_COUNT
        self.sequence = count()

    def add(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Add a call at `due_ms`."""
        timer = Timer(due_ms, callback, next(self.sequence))
        self._place(timer)
        return timer

    def _place(self, timer: Timer) -> None:
        due = max(self.tick + 1, math.ceil(timer.due_ms / self.tick_ms))
        ahead = min(due - self.tick, (1 << LEVEL_COUNT * LEVEL_BITS) - 1)
        level = max(0, (ahead.bit_length() - 1) // LEVEL_BITS)
        index = (self.tick + ahead) >> (LEVEL_BITS * level) & SLOT_MASK
        self.slots[level][index].append(timer)
        self.occupied[level] |= 1 << index

    def _take(self, level: int, index: int) -> list[Timer]:
        timers = self.slots[level][index]
        self.slots[level][index] = []
        self.occupied[level] &= ~(1 << index)
        return timers

    def _next_tick(self) -> int | None:
        """Return the next tick at which a slot is to be emptied or a wheel turned, None without timers."""
        first: int | None = None
        for level in range(LEVEL_COUNT):
            bits = self.occupied[level]
            if bits:
                turn = (self.tick >> LEVEL_BITS * level) + 1
                shift = turn & SLOT_MASK
                turned = bits >> shift | (bits << (SLOT_COUNT - shift) & ALL_SLOTS)
                due = (turn + (turned & -turned).bit_length() - 1) << LEVEL_BITS * level
                first = due if first is None else min(first, due)
        return first

    def next_due(self) -> float | None:
        """Return when a wheel has to turn next, which may be before any timer is due."""
        due = self._next_tick()
        return None if due is None else due * self.tick_ms

    def pop_due(self, now: float) -> list[Timer]:
        """Turn the wheels to `now`; see `Timers`."""
        target = math.floor(now / self.tick_ms)
        found = list[Timer]()
        while (due := self._next_tick()) is not None and due <= target:
            self.tick = due
            self._cascade(due, found)
            found += [timer for timer in self._take(0, due & SLOT_MASK) if timer.callback is not None]
        self.tick = max(self.tick, target)
        return sorted(found)

    def _cascade(self, tick: int, found: list[Timer]) -> None:
        """Move the timers of each outer slot that begins at `tick` inwards, those due into `found`."""
        for level in range(1, LEVEL_COUNT):
            if tick & ((1 << LEVEL_BITS * level) - 1):
                break
            for timer in self._take(level, tick >> (LEVEL_BITS * level) & SLOT_MASK):
                if timer.callback is None:
                    continue
                if timer.due_ms > tick * self.tick_ms:
                    self._place(timer)
                else:
                    found.append(timer)

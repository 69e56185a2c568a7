"""Timers for large numbers: a hierarchical timer wheel, and a binary heap as the baseline for it.

Imports nothing from glencleat. The loop calls `add`, `next_due` and `pop_due`; times are milliseconds. Most
timers (attempt timeouts, heartbeats) are cancelled before they are due, so cancelling must cost O(1).
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from itertools import count
from typing import Protocol

# Covers 2^32 ticks ahead; timers beyond that wait in the last level and are inserted again.
LEVELS, BITS_PER_LEVEL = 4, 8
SLOTS, MASK = 1 << BITS_PER_LEVEL, (1 << BITS_PER_LEVEL) - 1
ALL_SLOTS = (1 << SLOTS) - 1


class Timer:
    """One scheduled callback; `cancel` may be called at any time and more than once."""

    __slots__ = ("due_ms", "callback", "sequence_number")

    def __init__(self, due_ms: float, callback: Callable[[], None], sequence_number: int) -> None:
        self.due_ms, self.sequence_number = due_ms, sequence_number
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Drops the callback; the container removes the timer later."""
        self.callback = None

    def __lt__(self, other: Timer) -> bool:
        return (self.due_ms, self.sequence_number) < (other.due_ms, other.sequence_number)


class Timers(Protocol):
    """A container of timers."""

    def add(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Adds a timer that is due at `due_ms`."""
        ...

    def next_due(self) -> float | None:
        """When to call `pop_due` next; None if there is no timer."""
        ...

    def pop_due(self, now: float) -> list[Timer]:
        """Removes and returns the timers that are due at `now`, in order of due time."""
        ...


class TimerHeap:
    """A binary heap in which cancelled timers stay until they are due."""

    def __init__(self) -> None:
        self.heap: list[Timer] = []
        self.sequence_numbers = count()

    def add(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Adds a timer that is due at `due_ms`."""
        timer = Timer(due_ms, callback, next(self.sequence_numbers))
        heapq.heappush(self.heap, timer)
        return timer

    def next_due(self) -> float | None:
        """The due time of the first timer; None if there is no timer."""
        while self.heap and self.heap[0].callback is None:
            heapq.heappop(self.heap)
        return self.heap[0].due_ms if self.heap else None

    def pop_due(self, now: float) -> list[Timer]:
        """Removes and returns the timers that are due at `now`, in order of due time."""
        due = []
        while self.heap and self.heap[0].due_ms <= now:
            timer = heapq.heappop(self.heap)
            if timer.callback is not None:
                due.append(timer)
        return due


class TimerWheel:
    """Four wheels of 256 slots (Varghese and Lauck, scheme 7); a timer never fires early.

    A due time is rounded up to the next tick. Each level keeps its occupied slots as bits of one integer, so
    that the next occupied slot is found without a scan.
    """

    def __init__(self, start: float = 0.0, tick_ms: float = 1.0) -> None:
        self.tick_ms, self.current_tick = tick_ms, math.floor(start / tick_ms)
        self.slots: list[list[list[Timer]]] = [[[] for _ in range(SLOTS)] for _ in range(LEVELS)]
        self.occupied_slot_bits = [0] * LEVELS
        self.sequence_numbers = count()

    def add(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Adds a timer that is due at `due_ms`."""
        timer = Timer(due_ms, callback, next(self.sequence_numbers))
        self._insert(timer)
        return timer

    def _insert(self, timer: Timer) -> None:
        due_tick = max(self.current_tick + 1, math.ceil(timer.due_ms / self.tick_ms))
        ticks_ahead = min(due_tick - self.current_tick, (1 << LEVELS * BITS_PER_LEVEL) - 1)
        level = max(0, (ticks_ahead.bit_length() - 1) // BITS_PER_LEVEL)
        index = (self.current_tick + ticks_ahead) >> (BITS_PER_LEVEL * level) & MASK
        self.slots[level][index].append(timer)
        self.occupied_slot_bits[level] |= 1 << index

    def _empty_slot(self, level: int, index: int) -> list[Timer]:
        timers, self.slots[level][index] = self.slots[level][index], []
        self.occupied_slot_bits[level] &= ~(1 << index)
        return timers

    def _next_tick(self) -> int | None:
        """The next tick at which a slot is to be emptied or a level's timers move to a lower level."""
        earliest: int | None = None
        for level in range(LEVELS):
            bits = self.occupied_slot_bits[level]
            if bits:
                next_position = (self.current_tick >> BITS_PER_LEVEL * level) + 1
                shift = next_position & MASK
                rotated = bits >> shift | (bits << (SLOTS - shift) & ALL_SLOTS)
                tick = (next_position + (rotated & -rotated).bit_length() - 1) << BITS_PER_LEVEL * level
                earliest = tick if earliest is None else min(earliest, tick)
        return earliest

    def next_due(self) -> float | None:
        """The time of the next tick with work, no later than the first timer's; None if there is no timer."""
        tick = self._next_tick()
        return None if tick is None else tick * self.tick_ms

    def pop_due(self, now: float) -> list[Timer]:
        """Advances to `now`; removes and returns the timers that are due, in order of due time."""
        target_tick, due_timers = math.floor(now / self.tick_ms), list[Timer]()
        while (tick := self._next_tick()) is not None and tick <= target_tick:
            self.current_tick = tick
            for level in range(1, LEVELS):
                if tick & ((1 << BITS_PER_LEVEL * level) - 1):
                    break
                for timer in self._empty_slot(level, tick >> (BITS_PER_LEVEL * level) & MASK):
                    if timer.callback is not None and timer.due_ms > tick * self.tick_ms:
                        self._insert(timer)
                    elif timer.callback is not None:
                        due_timers.append(timer)
            due_timers += [t for t in self._empty_slot(0, tick & MASK) if t.callback is not None]
        self.current_tick = max(self.current_tick, target_tick)
        return sorted(due_timers)

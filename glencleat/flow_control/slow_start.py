"""Slow start: how fast a newly started allocator passes on the calls that waited for it.

The module does no I/O: time is an argument. Hundreds of allocators that become ready at the same moment, each
with seconds of queued calls, would send all of them at once: hosts would answer a few, and the rest would
time out. At first an allocator therefore has only as many calls in flight as the hosts can handle if all
allocators start together, and each placed task lets two more go out, as in TCP's slow start. A task that is
answered as not placed halves the window; answers to tasks sent before the last halving don't halve it again.

`estimate_wait_ms` predicts which calls would expire in the queue. The admission queue rejects these at once,
so that their clients can try another allocator. `docs/design-fleet.md` derives the constants.
"""

from __future__ import annotations

MAX_WINDOW = 4_096.0

SLOT_MS = 250.0
"""The minimum time over which placed tasks are counted for one sample of the rate."""

NEW_SLOT_WEIGHT = 0.5
"""The weight of the newest slot in the average rate."""

MIN_REMAINING_MS = 200.0
"""The admission queue rejects a task with only this time left: its answer would come too late."""

GROWTH_FACTOR = 1.25
"""A slot's rate above this multiple of the previous slot's is still growing, and gives no estimate yet."""


class SlowStart:
    """A window of tasks that are in flight without an answer.

    >>> start = SlowStart(2.0)
    >>> start.begin(0.0); start.record_sent(); start.record_sent(); start.free_window()
    0
    >>> start.record_answer(20.0, was_placed=True); start.free_window()
    2
    """

    def __init__(self, initial_window: float) -> None:
        """Starts with `initial_window` tasks that may be in flight before any result is known."""
        self.window = max(1.0, initial_window)
        self.min_window = self.window
        self.in_flight_count = 0
        self.pre_halving_count = 0  # pending answers of tasks sent before the last halving
        self.slot_start_ms: float | None = None
        self.slot_placed_count = 0  # in the current slot
        self.previous_rate_per_ms: float | None = None  # placed a millisecond in the last slot
        self.rate_per_ms: float | None = None  # the average over slots, once the rate no longer grows

    def begin(self, now: float) -> None:
        """Starts the first slot."""
        self.slot_start_ms = now

    def free_window(self) -> int:
        """How many more tasks may go out now."""
        return max(0, int(self.window) - self.in_flight_count)

    def record_sent(self) -> None:
        """Counts a task as in flight."""
        self.in_flight_count += 1

    def record_answer(self, now: float, was_placed: bool) -> None:
        """Counts a task as no longer in flight.

        It is answered, or has had no answer for so long that it waits for capacity and not for this window.
        """
        was_sent_before_halving, self.pre_halving_count = (
            self.pre_halving_count > 0,
            max(0, self.pre_halving_count - 1),
        )
        self.in_flight_count = max(0, self.in_flight_count - 1)
        if was_placed:
            self.slot_placed_count += 1
            self.window = min(MAX_WINDOW, self.window + 1.0)
        elif not was_sent_before_halving:
            self.window = max(self.min_window, self.window / 2.0)
            self.pre_halving_count = self.in_flight_count
        self._update_rate(now)

    def _update_rate(self, now: float) -> None:
        if self.slot_start_ms is None or now - self.slot_start_ms < SLOT_MS:
            return
        rate = self.slot_placed_count / (now - self.slot_start_ms)
        # While the rate grows it is limited by the window and not by the hosts, so it doesn't show how many
        # tasks can be placed.
        if self.rate_per_ms is not None:
            self.rate_per_ms += NEW_SLOT_WEIGHT * (rate - self.rate_per_ms)
        elif self.previous_rate_per_ms is not None and rate <= GROWTH_FACTOR * self.previous_rate_per_ms:
            self.rate_per_ms = rate
        self.previous_rate_per_ms, self.slot_start_ms, self.slot_placed_count = rate, now, 0

    def estimate_wait_ms(self, ahead: int) -> float:
        """How long a task with `ahead` tasks before it will wait for its turn; 0 while no rate is known."""
        if not self.rate_per_ms:
            return 0.0
        return max(0, ahead - self.free_window()) / self.rate_per_ms

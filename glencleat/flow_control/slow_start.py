"""How fast an allocator that has just started tells on what waited for it, by what it has placed so far.

No I/O: time is an argument. Hundreds that become ready in one instant, each with seconds of asks held back,
would send all of them in that instant: hosts answer a few, the rest run into their time-outs. So the first
go in a window that all together can bear, and each that is placed lets two more go (slow start, as TCP has
it); what comes back unplaced halves the window, once for each window. What can't have its turn in time is
known long before its time is over, and is then told at once, so that its owner asks elsewhere.
`docs/design-fleet.md` derives the constants."""

from __future__ import annotations

MAX_WINDOW = 4_096.0
SLOT_MS = 250.0  # over which a rate is taken
NEW_SLOT_WEIGHT = 0.5  # weight of the newest slot in the rate
MIN_REMAINING_MS = (
    200.0  # of a task's time: so late the module places nothing any more, and its answer is under way
)
GROWTH_FACTOR = 1.25  # a rate so many times the last slot's still grows


class SlowStart:
    """A window of tasks that are out without an answer.

    >>> start = SlowStart(2.0)
    >>> start.begin(0.0); start.record_sent(); start.record_sent(); start.free_window()
    0
    >>> start.record_answer(20.0, was_placed=True); start.free_window()
    2
    """

    def __init__(self, initial_window: float) -> None:
        """`initial_window`: as many as may go at once before anything is known."""
        self.window = max(1.0, initial_window)
        self.min_window = self.window
        self.in_flight_count = 0
        self.pre_halving_count = 0  # answers to come that were sent before the last halving
        self.slot_start_ms: float | None = None
        self.slot_placed_count = 0  # in this slot
        self.previous_rate_per_ms: float | None = None  # placed a millisecond in the last slot
        self.rate_per_ms: float | None = None  # the same, over slots, once it no longer grows

    def begin(self, now: float) -> None:
        self.slot_start_ms = now

    def free_window(self) -> int:
        return max(0, int(self.window) - self.in_flight_count)

    def record_sent(self) -> None:
        self.in_flight_count += 1

    def record_answer(self, now: float, was_placed: bool) -> None:
        """One has its answer, or is known to wait for room and not for us."""
        spared, self.pre_halving_count = self.pre_halving_count > 0, max(0, self.pre_halving_count - 1)
        self.in_flight_count = max(0, self.in_flight_count - 1)
        if was_placed:
            self.slot_placed_count += 1
            self.window = min(MAX_WINDOW, self.window + 1.0)
        elif not spared:
            self.window = max(self.min_window, self.window / 2.0)
            self.pre_halving_count = self.in_flight_count
        self._slots(now)

    def _slots(self, now: float) -> None:
        if self.slot_start_ms is None or now - self.slot_start_ms < SLOT_MS:
            return
        rate = self.slot_placed_count / (now - self.slot_start_ms)
        # While it grows it tells what could go out and not what can be placed.
        if self.rate_per_ms is not None:
            self.rate_per_ms += NEW_SLOT_WEIGHT * (rate - self.rate_per_ms)
        elif self.previous_rate_per_ms is not None and rate <= GROWTH_FACTOR * self.previous_rate_per_ms:
            self.rate_per_ms = rate
        self.previous_rate_per_ms, self.slot_start_ms, self.slot_placed_count = rate, now, 0

    def estimate_wait_ms(self, ahead: int) -> float:
        """How long one with so many before it will wait for its turn; 0 while that can't be told."""
        if not self.rate_per_ms:
            return 0.0
        return max(0, ahead - self.free_window()) / self.rate_per_ms

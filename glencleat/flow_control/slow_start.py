"""Slow start: how fast an allocator that has just started passes on the calls that waited for it.

No I/O: time is an argument. Hundreds of allocators that become ready in one instant, each with seconds of
calls queued, would send all of them in that instant: hosts answer a few, the rest run into their timeouts.
So the first ones go in a window that all allocators together can bear, and each call that is placed lets two
more go (slow start, as in TCP, RFC 5681); what comes back unplaced halves the window, once for each window.
A call that can't have its turn in time is recognized long before its deadline and rejected at once, so that
its owner asks elsewhere. `docs/design-fleet.md` derives the constants.
"""

from __future__ import annotations

MAX_WINDOW = 4_096.0  # calls
SLOT_MS = 250.0  # over which a rate is measured
RATE_SMOOTHING = 0.5  # weight of the newest slot in the rate
# Of a call's time: so late the policy places nothing any more, and the answer is under way.
ANSWER_MARGIN_MS = 200.0
GROWTH_THRESHOLD = 1.25  # a rate beyond so many times that of the slot before is still growing


class SlowStart:
    """A congestion window of calls that are in flight.

    >>> start = SlowStart(2.0)
    >>> start.begin(0.0); start.record_sent(); start.record_sent(); start.available_slots()
    0
    >>> start.record_answer(20.0, is_placed=True); start.available_slots()
    2
    """

    def __init__(self, initial_window: float) -> None:
        """`initial_window`: as many calls as may be in flight before anything is known."""
        self.initial_window = max(1.0, initial_window)
        self.window = self.initial_window
        self.in_flight = 0
        self.exempt_answers = 0  # outstanding answers to calls sent before the last halving
        self.slot_start_ms: float | None = None
        self.placed_in_slot = 0
        self.previous_rate_per_ms: float | None = None  # placed in the last whole slot
        self.rate_per_ms: float | None = None  # smoothed over slots, once it no longer grows

    def begin(self, now_ms: float) -> None:
        """Starts measuring the rate."""
        self.slot_start_ms = now_ms

    def available_slots(self) -> int:
        """How many calls may go now."""
        return max(0, int(self.window) - self.in_flight)

    def record_sent(self) -> None:
        """A call has gone."""
        self.in_flight += 1

    def record_answer(self, now_ms: float, is_placed: bool) -> None:
        """A call has its answer, or is known to wait for capacity and not for us."""
        is_exempt = self.exempt_answers > 0
        self.exempt_answers = max(0, self.exempt_answers - 1)
        self.in_flight = max(0, self.in_flight - 1)
        if is_placed:
            self.placed_in_slot += 1
            self.window = min(MAX_WINDOW, self.window + 1.0)
        elif not is_exempt:
            self.window = max(self.initial_window, self.window / 2.0)
            self.exempt_answers = self.in_flight
        self._update_rate(now_ms)

    def _update_rate(self, now_ms: float) -> None:
        if self.slot_start_ms is None or now_ms - self.slot_start_ms < SLOT_MS:
            return
        slot_rate = self.placed_in_slot / (now_ms - self.slot_start_ms)
        # While the rate grows it tells what could be sent, not what can be placed.
        if self.rate_per_ms is not None:
            self.rate_per_ms += RATE_SMOOTHING * (slot_rate - self.rate_per_ms)
        elif (
            self.previous_rate_per_ms is not None
            and slot_rate <= GROWTH_THRESHOLD * self.previous_rate_per_ms
        ):
            self.rate_per_ms = slot_rate
        self.previous_rate_per_ms = slot_rate
        self.slot_start_ms = now_ms
        self.placed_in_slot = 0

    def estimate_wait_ms(self, tasks_ahead: int) -> float:
        """How long a call with so many before it will wait for its turn; 0 while the rate is not known."""
        if not self.rate_per_ms:
            return 0.0
        return max(0, tasks_ahead - self.available_slots()) / self.rate_per_ms

"""How fast an allocator that has just started tells on what waited for it, by what it has placed so far.

No I/O: time is an argument. Hundreds that become ready in one instant, each with seconds of asks held back,
would send all of them in that instant: hosts answer a few, the rest run into their time-outs. So the first
go in a window that all together can bear, and each that is placed lets two more go (slow start, as TCP has
it); what comes back unplaced halves the window, once for each window. What can't have its turn in time is
known long before its time is over, and is then told at once, so that its owner asks elsewhere.
`docs/design-fleet.md` derives the constants."""

from __future__ import annotations

WINDOW_MOST = 4_096.0
SLOT_MS = 250.0  # over which a rate is taken
NEW = 0.5  # weight of the newest slot in the rate
LAST_MS = 200.0  # of a task's time: so late the module places nothing any more, and its answer is under way
GREW = 1.25  # a rate so many times the last slot's still grows


class SlowStart:
    """A window of tasks that are out without an answer.

    >>> start = SlowStart(2.0)
    >>> start.begin(0.0); start.sent(); start.sent(); start.room()
    0
    >>> start.back(20.0, placed=True); start.room()
    2
    """

    def __init__(self, first: float) -> None:
        """`first`: as many as may go at once before anything is known."""
        self.window = max(1.0, first)
        self.first = self.window
        self.out = 0
        self.spared = 0  # answers to come that were sent before the last halving
        self.slot_at: float | None = None
        self.placed = 0  # in this slot
        self.before: float | None = None  # placed a millisecond in the last slot
        self.rate: float | None = None  # the same, over slots, once it no longer grows

    def begin(self, now: float) -> None:
        self.slot_at = now

    def room(self) -> int:
        return max(0, int(self.window) - self.out)

    def sent(self) -> None:
        self.out += 1

    def back(self, now: float, placed: bool) -> None:
        """One has its answer, or is known to wait for room and not for us."""
        spared, self.spared = self.spared > 0, max(0, self.spared - 1)
        self.out = max(0, self.out - 1)
        if placed:
            self.placed += 1
            self.window = min(WINDOW_MOST, self.window + 1.0)
        elif not spared:
            self.window = max(self.first, self.window / 2.0)
            self.spared = self.out
        self._slots(now)

    def _slots(self, now: float) -> None:
        if self.slot_at is None or now - self.slot_at < SLOT_MS:
            return
        rate = self.placed / (now - self.slot_at)
        # While it grows it tells what could go out and not what can be placed.
        if self.rate is not None:
            self.rate += NEW * (rate - self.rate)
        elif self.before is not None and rate <= GREW * self.before:
            self.rate = rate
        self.before, self.slot_at, self.placed = rate, now, 0

    def wait_ms(self, ahead: int) -> float:
        """How long one with so many before it will wait for its turn; 0 while that can't be told."""
        if not self.rate:
            return 0.0
        return max(0, ahead - self.room()) / self.rate

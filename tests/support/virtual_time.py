"""A clock that leaps to the next timer, so that tests on real sockets don't depend on how fast they run."""

from glencleat.event_loop import Loop
from glencleat.event_loop.loop import EpollPoller


class LeapingClock:
    """Milliseconds that pass only when a `LeapingPoller` makes them."""

    def __init__(self):
        self.at = 1_000_000.0

    def now(self):
        return self.at

    def wall(self):
        return 1.7e12 + self.at


class LeapingPoller(EpollPoller):
    """Looks what is there, and where nothing is leaps to when the next timer is due."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    def poll(self, timeout_ms):
        found = super().poll(0.0)
        if not found and timeout_ms is not None:
            self.clock.at += max(0.0, timeout_ms)
        return found


def leaping_loop():
    """A loop on a leaping clock; its sockets are real."""
    clock = LeapingClock()
    return Loop(clock, LeapingPoller(clock))

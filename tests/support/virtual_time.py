"""Virtual time for tests on real sockets, so that they don't depend on how fast they run."""

from glencleat.event_loop import Loop
from glencleat.event_loop.loop import EpollPoller


class VirtualClock:
    """A clock in milliseconds that only a `VirtualTimePoller` advances."""

    def __init__(self):
        self.at = 1_000_000.0

    def now(self):
        return self.at

    def wall(self):
        return 1.7e12 + self.at


class VirtualTimePoller(EpollPoller):
    """Polls without waiting; if nothing is ready, advances the clock to the next timer."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    def poll(self, timeout_ms):
        ready = super().poll(0.0)
        if not ready and timeout_ms is not None:
            self.clock.at += max(0.0, timeout_ms)
        return ready


def leaping_loop():
    """A loop on a virtual clock; its sockets are real."""
    clock = VirtualClock()
    return Loop(clock, VirtualTimePoller(clock))

"""From SIGTERM to the end of the process: a table of states, no I/O, time as an argument.

`process.py` looks at what there is, by asking the system and not by what the loop has come to, and does what
the state says. Guards against a request that was taken and never answered: one in the listen backlog, unread
in a socket, half here, held over for fairness, waiting for a descriptor or a connection, or an answer unsent.

    state      entered                               listener  a set-up that comes   a test
    SERVING    at the start                          open      taken                 passed when ready
    DRAINING   SIGTERM; a second one changes nothing open      taken                 failed
    CLOSING    the window is over                    closed    refused at once       failed
    CLOSED     a later look finds nothing            closed    -                     -

Each open call has its own time. What else could hold the end up for ever does so for a bounded time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

WINDOW_MS = 700.0  # after SIGTERM: the page lets new requests come for so long
UNDELIVERED_MS = 1_000.0  # beyond it: a release is due within a second
UNHANDLED_MS = 2_500.0  # beyond it: one who goes on sending, or reads nothing; a half message has 2 s


class ShutdownState(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    CLOSING = "closing"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class ShutdownObservation:
    """What one look found."""

    unanswered: bool  # open calls
    unhandled: bool  # connections or bytes that came since the look before or wait their turn, unsent answers
    undelivered: bool  # releases owed to clients or hosts, for which there is no connection


class GracefulShutdown:
    """
    >>> shutdown, nothing = GracefulShutdown(), ShutdownObservation(False, False, False)
    >>> shutdown.begin(0.0), shutdown.begin(5.0)
    (True, False)
    >>> [shutdown.look(at, nothing).value for at in (0.0, 700.0, 710.0)]
    ['draining', 'closing', 'closed']
    """

    def __init__(self) -> None:
        self.state = ShutdownState.SERVING
        self.over_at = float("inf")  # the window's end

    def begin(self, now: float) -> bool:
        """SIGTERM; False if it came before."""
        if self.state is not ShutdownState.SERVING:
            return False
        self.state, self.over_at = ShutdownState.DRAINING, now + WINDOW_MS
        return True

    def look(self, now: float, seen: ShutdownObservation) -> ShutdownState:
        if self.state is ShutdownState.DRAINING and now >= self.over_at:
            self.state = (
                ShutdownState.CLOSING
            )  # what was in the backlog is in: the next look finds what it says
        elif self.state is ShutdownState.CLOSING:
            held = seen.undelivered and now < self.over_at + UNDELIVERED_MS
            held |= seen.unhandled and now < self.over_at + UNHANDLED_MS
            if not (seen.unanswered or held):
                self.state = ShutdownState.CLOSED
        return self.state

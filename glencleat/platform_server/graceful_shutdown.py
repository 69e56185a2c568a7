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

DRAIN_WINDOW_MS = 700.0  # after SIGTERM: the page lets new requests come for so long
UNDELIVERED_TIMEOUT_MS = 1_000.0  # beyond it: a release is due within a second
UNHANDLED_TIMEOUT_MS = 2_500.0  # beyond it: one who goes on sending, or reads nothing; a half message has 2 s


class ShutdownState(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    CLOSING = "closing"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class ShutdownObservation:
    """What one look found."""

    has_unanswered_calls: bool  # open calls
    has_unhandled_data: (
        bool  # connections or bytes that came since the look before or wait their turn, unsent answers
    )
    has_undelivered_releases: bool  # releases owed to clients or hosts, for which there is no connection


class GracefulShutdown:
    """
    >>> shutdown, nothing = GracefulShutdown(), ShutdownObservation(False, False, False)
    >>> shutdown.begin(0.0), shutdown.begin(5.0)
    (True, False)
    >>> [shutdown.update_state(at, nothing).value for at in (0.0, 700.0, 710.0)]
    ['draining', 'closing', 'closed']
    """

    def __init__(self) -> None:
        self.state = ShutdownState.SERVING
        self.drain_until_ms = float("inf")  # the window's end

    def begin(self, now: float) -> bool:
        """SIGTERM; False if it came before."""
        if self.state is not ShutdownState.SERVING:
            return False
        self.state, self.drain_until_ms = ShutdownState.DRAINING, now + DRAIN_WINDOW_MS
        return True

    def update_state(self, now: float, seen: ShutdownObservation) -> ShutdownState:
        if self.state is ShutdownState.DRAINING and now >= self.drain_until_ms:
            self.state = (
                ShutdownState.CLOSING
            )  # what was in the backlog is in: the next look finds what it says
        elif self.state is ShutdownState.CLOSING:
            held = seen.has_undelivered_releases and now < self.drain_until_ms + UNDELIVERED_TIMEOUT_MS
            held |= seen.has_unhandled_data and now < self.drain_until_ms + UNHANDLED_TIMEOUT_MS
            if not (seen.has_unanswered_calls or held):
                self.state = ShutdownState.CLOSED
        return self.state

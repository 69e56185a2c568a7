"""Graceful shutdown, from SIGTERM to the end of the process, as a state machine without I/O.

Time is an argument. `process.py` observes what is left by asking the system, not by what the event loop has
been notified of, and acts on the state. This guards against a request that was accepted and never answered:
one in the listen backlog, unread in a socket, partially received, deferred for fairness, waiting for a
descriptor or a connection, or with its answer unsent.

    state      entered on               listener  a new set-up      a health check
    SERVING    the start                open      accepted          passes when ready
    DRAINING   TERMINATION_REQUESTED    open      accepted          fails
    CLOSING    WINDOW_ENDED             closed    rejected at once  fails
    CLOSED     QUIESCENT                closed    -                 -

An event that `TRANSITIONS` does not list for a state leaves the state as it is. Each open call has a deadline
of its own; anything else delays the end for a bounded time only.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

ADMISSION_WINDOW_MS = 700.0  # after SIGTERM: the platform lets new requests arrive for so long
UNDELIVERED_GRACE_MS = 1_000.0  # after the window: a release is due within a second
# After the window, for a client that goes on sending or reads nothing; a partial message has 2 s.
UNHANDLED_GRACE_MS = 2_500.0


class ShutdownState(Enum):
    """Where the process stands between its start and its end, in order."""

    SERVING = "serving"
    DRAINING = "draining"
    CLOSING = "closing"
    CLOSED = "closed"


class ShutdownEvent(Enum):
    """What moves the process from one state to the next."""

    TERMINATION_REQUESTED = "termination requested"
    WINDOW_ENDED = "window ended"
    QUIESCENT = "quiescent"  # observed after the listener closed: nothing is left that the end waits for


TRANSITIONS: dict[tuple[ShutdownState, ShutdownEvent], ShutdownState] = {
    (ShutdownState.SERVING, ShutdownEvent.TERMINATION_REQUESTED): ShutdownState.DRAINING,
    (ShutdownState.DRAINING, ShutdownEvent.WINDOW_ENDED): ShutdownState.CLOSING,
    (ShutdownState.CLOSING, ShutdownEvent.QUIESCENT): ShutdownState.CLOSED,
}


@dataclass(frozen=True, slots=True)
class ShutdownObservation:
    """What one quiescence check found."""

    has_open_calls: bool
    # Connections or bytes that came since the check before or wait for their turn, or unsent answers.
    has_unhandled_data: bool
    # Releases owed to clients or hosts to which there is no connection.
    has_undelivered_releases: bool


class GracefulShutdown:
    """The state machine; all times are milliseconds of the caller's monotonic clock.

    >>> shutdown = GracefulShutdown()
    >>> nothing_left = ShutdownObservation(False, False, False)
    >>> shutdown.begin(0.0), shutdown.begin(5.0)
    (True, False)
    >>> [shutdown.observe(now_ms, nothing_left).value for now_ms in (0.0, 700.0, 710.0)]
    ['draining', 'closing', 'closed']
    """

    def __init__(self) -> None:
        self.state = ShutdownState.SERVING
        self.window_end_ms = float("inf")

    def begin(self, now_ms: float) -> bool:
        """Starts draining on SIGTERM; returns False, and changes nothing, if that came before."""
        if self.state is not ShutdownState.SERVING:
            return False
        self.window_end_ms = now_ms + ADMISSION_WINDOW_MS
        self._apply(ShutdownEvent.TERMINATION_REQUESTED)
        return True

    def observe(self, now_ms: float, observation: ShutdownObservation) -> ShutdownState:
        """Takes in a quiescence check and returns the state after it.

        The check that ends the window never ends the process: only the next one tells what the backlog, which
        is taken in as the listener closes, has to say.
        """
        if self.state is ShutdownState.DRAINING and now_ms >= self.window_end_ms:
            self._apply(ShutdownEvent.WINDOW_ENDED)
        elif self.state is ShutdownState.CLOSING and self._is_quiescent(now_ms, observation):
            self._apply(ShutdownEvent.QUIESCENT)
        return self.state

    def _apply(self, event: ShutdownEvent) -> None:
        self.state = TRANSITIONS.get((self.state, event), self.state)

    def _is_quiescent(self, now_ms: float, observation: ShutdownObservation) -> bool:
        if observation.has_open_calls:
            return False
        undelivered_until_ms = self.window_end_ms + UNDELIVERED_GRACE_MS
        unhandled_until_ms = self.window_end_ms + UNHANDLED_GRACE_MS
        if observation.has_undelivered_releases and now_ms < undelivered_until_ms:
            return False
        return not (observation.has_unhandled_data and now_ms < unhandled_until_ms)

"""Graceful shutdown, from SIGTERM to the end of the process: a table of states.

The module does no I/O: time is an argument. `process.py` collects a `ShutdownObservation` by asking the
operating system (backlog, sockets), not only from what the event loop has already read, and then acts as the
table says for the state. This guards against a request that was accepted and never answered: one in the
listen backlog, unread in a socket, incomplete, left for the next turn of a connection that used up its share
of messages, waiting for a descriptor or a connection, or with an unsent answer.

    state      entered                               listener  a new set-up     a health check
    SERVING    at the start                          open      accepted         passes when ready
    DRAINING   SIGTERM; a second one has no effect   open      accepted         fails
    CLOSING    the drain window is over              closed    refused at once  fails
    CLOSED     a later check finds nothing left      closed    -                -

A check finds nothing left if there is no unanswered call, and no unhandled data or undelivered release or
their time-outs are over. Each open call has its own deadline; undelivered releases and unhandled data delay
the end by at most UNDELIVERED_TIMEOUT_MS and UNHANDLED_TIMEOUT_MS after the drain window.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

DRAIN_WINDOW_MS = 700.0
"""The time after SIGTERM during which the operators' page still allows clients to send new requests."""

UNDELIVERED_TIMEOUT_MS = 1_000.0
"""The time after the drain window for undelivered releases: a release is due within a second."""

UNHANDLED_TIMEOUT_MS = 2_500.0
"""The time after the drain window for clients that keep sending or do not read their answers.

It exceeds the time-out of an incomplete message, 2 s."""


class ShutdownState(Enum):
    """The states of a shutdown, in their order."""

    SERVING = "serving"
    DRAINING = "draining"
    CLOSING = "closing"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class ShutdownObservation:
    """What one check found."""

    has_unanswered_calls: bool  # open calls
    # Connections or bytes that arrived since the last check or wait for their turn, or unsent answers.
    has_unhandled_data: bool
    has_undelivered_releases: bool  # still to be sent to clients or hosts without a connection


class GracefulShutdown:
    """The state of the shutdown; it never goes back.

    >>> shutdown, nothing = GracefulShutdown(), ShutdownObservation(False, False, False)
    >>> shutdown.begin(0.0), shutdown.begin(5.0)
    (True, False)
    >>> [shutdown.update_state(at, nothing).value for at in (0.0, 700.0, 710.0)]
    ['draining', 'closing', 'closed']
    """

    def __init__(self) -> None:
        self.state = ShutdownState.SERVING
        self.drain_until_ms = float("inf")  # the end of the drain window

    def begin(self, now: float) -> bool:
        """Handles SIGTERM; returns False if an earlier one was handled."""
        if self.state is not ShutdownState.SERVING:
            return False
        self.state, self.drain_until_ms = ShutdownState.DRAINING, now + DRAIN_WINDOW_MS
        return True

    def update_state(self, now: float, observation: ShutdownObservation) -> ShutdownState:
        """Takes what a check has found and returns the state that results."""
        if self.state is ShutdownState.DRAINING and now >= self.drain_until_ms:
            # Not CLOSED in the same check: the backlog has been accepted, and only the next check finds what
            # those connections sent.
            self.state = ShutdownState.CLOSING
        elif self.state is ShutdownState.CLOSING:
            is_delayed = (
                observation.has_undelivered_releases and now < self.drain_until_ms + UNDELIVERED_TIMEOUT_MS
            )
            is_delayed |= observation.has_unhandled_data and now < self.drain_until_ms + UNHANDLED_TIMEOUT_MS
            if not (observation.has_unanswered_calls or is_delayed):
                self.state = ShutdownState.CLOSED
        return self.state

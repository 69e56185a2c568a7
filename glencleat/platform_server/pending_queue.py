"""A queue of attempts for which no connection can be opened yet, because no descriptor could be freed."""

from __future__ import annotations

from typing import Protocol

from glencleat.event_loop import Loop
from glencleat.platform_protocol.setup_calls import SetupAttempt

MAX_QUEUED_ATTEMPTS = 500


class AttemptSender(Protocol):
    """The port by which the queue sends attempts; the connection pool implements it."""

    def has_destination(self, attempt: SetupAttempt) -> bool:
        """Whether the attempt's host is known and has an address."""

    def send_attempt(self, attempt: SetupAttempt, *, may_connect: bool) -> bool:
        """Sends an attempt on an open connection or, if `may_connect`, a new one. False if there is none."""

    def fail_attempt(self, attempt: SetupAttempt) -> None:
        """Reports to the exchange that the attempt was never sent."""


class PendingQueue:
    """A bounded first-in, first-out queue of attempts. Their own time-outs bound how long they wait."""

    def __init__(self, loop: Loop, sender: AttemptSender) -> None:
        """`sender` sends the queued attempts when a descriptor or a connection may have become free."""
        self.loop = loop
        self.sender = sender
        self.attempts: dict[SetupAttempt, None] = {}
        self.total_count = 0  # attempts that were ever added
        self.is_service_scheduled = False

    def __len__(self) -> int:
        """The number of queued attempts."""
        return len(self.attempts)

    def add(self, attempt: SetupAttempt) -> bool:
        """Adds an attempt at the end.

        Returns False if the queue is full; the caller then fails the attempt as not sent.
        """
        if len(self.attempts) >= MAX_QUEUED_ATTEMPTS:
            return False
        self.attempts[attempt] = None
        self.total_count += 1
        return True

    def discard(self, attempt: SetupAttempt) -> None:
        """Removes an attempt if it is queued."""
        self.attempts.pop(attempt, None)

    def schedule_service(self) -> None:
        """Schedules `serve` for the next round of the event loop.

        Called when a descriptor or a connection may have become free.
        """
        if self.attempts and not self.is_service_scheduled:
            self.is_service_scheduled = True
            self.loop.call_in(0.0, self.serve)

    def serve(self) -> None:
        """Sends attempts in order.

        After the first for which no connection can be opened, sends only those whose host has an open
        connection.
        """
        self.is_service_scheduled = False
        may_connect = True
        for attempt in list(self.attempts):
            if attempt not in self.attempts:
                continue  # cancelled by the exchange when an earlier attempt of the queue failed
            if not self.sender.has_destination(attempt):
                del self.attempts[attempt]
                self.sender.fail_attempt(attempt)
            elif self.sender.send_attempt(attempt, may_connect=may_connect):
                del self.attempts[attempt]
            else:
                may_connect = False

"""Attempts that wait for a connection because nothing could be given up for one."""

from __future__ import annotations

from typing import Protocol

from glencleat.event_loop import Loop
from glencleat.platform_protocol.exchange import SetupAttempt

MAX_QUEUED_ATTEMPTS = 500


class AttemptSender(Protocol):
    """What the queue needs of the pool, which sends its attempts."""

    def has_destination(self, attempt: SetupAttempt) -> bool:
        """Whether the attempt's host is known and has an address."""

    def send_attempt(self, attempt: SetupAttempt, *, may_connect: bool) -> bool:
        """Sends an attempt by an open connection or, if `may_connect`, a new one. False if there is none."""

    def fail_attempt(self, attempt: SetupAttempt) -> None:
        """Reports to the exchange that the attempt was never sent."""


class PendingQueue:
    """A bounded first-in, first-out queue of attempts. Their own time-outs bound how long they wait."""

    def __init__(self, loop: Loop, sender: AttemptSender) -> None:
        """`sender` sends what is in the queue as soon as something may be free."""
        self.loop = loop
        self.sender = sender
        self.attempts: dict[SetupAttempt, None] = {}
        self.total_count = 0  # attempts that were ever added
        self.is_service_scheduled = False

    def __len__(self) -> int:
        """How many attempts wait."""
        return len(self.attempts)

    def add(self, attempt: SetupAttempt) -> bool:
        """Adds an attempt at the end. False if the queue is full."""
        if len(self.attempts) >= MAX_QUEUED_ATTEMPTS:
            return False
        self.attempts[attempt] = None
        self.total_count += 1
        return True

    def discard(self, attempt: SetupAttempt) -> None:
        """Takes out an attempt, if it is there."""
        self.attempts.pop(attempt, None)

    def schedule_service(self) -> None:
        """Serves the queue in the next round of the event loop: capacity may have become free."""
        if self.attempts and not self.is_service_scheduled:
            self.is_service_scheduled = True
            self.loop.call_in(0.0, self.serve)

    def serve(self) -> None:
        """Sends attempts in order; once nothing is free, only those whose host has a connection by now."""
        self.is_service_scheduled = False
        may_connect = True
        for attempt in list(self.attempts):
            if attempt not in self.attempts:
                continue  # cancelled since, by what the exchange did on hearing of one before it
            if not self.sender.has_destination(attempt):
                del self.attempts[attempt]
                self.sender.fail_attempt(attempt)
            elif self.sender.send_attempt(attempt, may_connect=may_connect):
                del self.attempts[attempt]
            else:
                may_connect = False

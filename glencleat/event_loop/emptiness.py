"""When a descriptor is known to have had nothing to read, which bounds the arrival of what is read later.

The kernel's time stamp of a read belongs to its last byte alone. Everything else that the read returned may
have arrived at any time since the descriptor was last known to be empty: at a read that found nothing more,
or at a poll that watched it and did not report it. Listeners own a proof each, and so do streams with time
stamps.
"""

from __future__ import annotations

from glencleat.event_loop.loop import Loop


class EmptinessProof:
    """The last time at which a descriptor is known to have had nothing to read.

    A level-triggered poll reports every watched descriptor with something to read, so each poll that does not
    report one proves that it was empty.
    """

    __slots__ = ("empty_at_unix_ms", "is_reported", "loop", "watched_since_poll")

    def __init__(self, loop: Loop, empty_at_unix_ms: float) -> None:
        """Starts with a time at which the descriptor was empty; polls count once it is watched."""
        self.loop = loop
        self.empty_at_unix_ms = empty_at_unix_ms
        self.is_reported = False  # since it was last found empty
        self.watched_since_poll = loop.poll_count  # the number of polls before it was watched

    def record_watched(self) -> None:
        """The poller reports the descriptor from the next poll on."""
        self.watched_since_poll = self.loop.poll_count

    def record_reported(self) -> None:
        """The current poll reports the descriptor; if it is the first to do so, the one before it did not."""
        if not self.is_reported and self.loop.poll_count - 1 > self.watched_since_poll:
            self._advance(self.loop.previous_poll_unix_ms)
        self.is_reported = True

    def record_unreported_read(self) -> None:
        """A read begins; unless the last poll reported the descriptor, it was empty then."""
        if not self.is_reported and self.loop.poll_count > self.watched_since_poll:
            self._advance(self.loop.last_poll_unix_ms)

    def record_empty(self, at_unix_ms: float) -> None:
        """A read that began at this time has found nothing more."""
        self.is_reported = False
        self._advance(at_unix_ms)

    def _advance(self, at_unix_ms: float) -> None:
        self.empty_at_unix_ms = max(self.empty_at_unix_ms, at_unix_ms)

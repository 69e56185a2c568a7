"""The stream of records to a peer that subscribed: an agent or a framework."""

from __future__ import annotations

from typing import Protocol


class SessionStream(Protocol):
    """A session's stream of records, as a server provides it."""

    def send(self, record: bytes) -> tuple[int, int]:
        """Queues a record and returns its place in the stream: begin and end (exclusive), in bytes.

        Closes the stream, and does not raise, when that fails.
        """
        ...

    def written_bytes(self) -> int:
        """How many bytes of the stream have been handed to the socket."""
        ...

    def close(self, why: str) -> None:
        """Ends the session; `why` goes to the log."""
        ...

"""Outgoing record stream of a session, to a subscribed agent or framework."""

from __future__ import annotations

from typing import Protocol


class SessionStream(Protocol):
    """Outgoing record stream of a session; the servers implement it."""

    def send(self, record: bytes) -> tuple[int, int]:
        """Queues a record and returns the offsets of its begin and end (exclusive) in the stream, in bytes.

        On failure it closes the stream and does not raise.
        """
        ...

    def written_bytes(self) -> int:
        """Returns how many bytes of the stream were written to the socket."""
        ...

    def close(self, reason: str) -> None:
        """Ends the session; `reason` is logged."""
        ...

"""How far client connections are read ahead of the messages that are handled, in all. No I/O.

A connection is read until its next message is complete. It is read further to find out whether its client has
closed or cancelled, while all connections together have fewer bytes buffered than MAX_TOTAL_BYTES: otherwise
some hundred clients that write faster than they are served would take more than the process's memory.
"""

from __future__ import annotations

from glencleat.platform_protocol import messages as m

LARGEST_MESSAGE_BYTES = m.MAX_MESSAGE_BYTES + m.LENGTH_BYTES
"""Any connection is read while it has fewer bytes buffered, so that any message becomes complete."""

MAX_CONNECTION_BYTES = 1 << 17
"""Bytes of one connection that may be buffered while its close or a cancellation is looked for."""

MAX_TOTAL_BYTES = 1 << 22
"""Buffered bytes of all connections beyond which none is read ahead."""


class ReceiveBudget:
    """The bytes that all client connections have buffered.

    >>> budget = ReceiveBudget()
    >>> budget.record_change(MAX_TOTAL_BYTES)
    >>> budget.connection_limit_bytes == LARGEST_MESSAGE_BYTES
    True
    """

    def __init__(self) -> None:
        """Starts with nothing buffered."""
        self.buffered_bytes = 0

    def record_change(self, byte_count: int) -> None:
        """Records that a connection has so many more bytes buffered, or fewer."""
        self.buffered_bytes += byte_count

    @property
    def connection_limit_bytes(self) -> int:
        """A connection is read ahead while it has fewer bytes buffered."""
        return MAX_CONNECTION_BYTES if self.buffered_bytes < MAX_TOTAL_BYTES else LARGEST_MESSAGE_BYTES

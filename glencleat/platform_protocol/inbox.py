"""The received but unprocessed bytes of a client's connection.

No I/O; imports messages. Messages are processed once and in order, but a client that has closed or cancelled
counts as gone at once, even if its release or close is queued behind other messages. Otherwise attempts would
be sent for clients that have left. Releases are searched for in the buffer: an index of them would take ten
times the memory of the bytes, and many clients may send nothing else.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from glencleat.platform_protocol import messages as m


class ReceivedPiece(NamedTuple):
    """The bytes of one read, and when they arrived."""

    end: int  # the stream position of its end
    earliest_unix_ms: float  # no byte of it arrived before
    last_byte_unix_ms: float | None  # when the last byte arrived, None if unknown

    def get_arrival_unix_ms(self, position: int) -> float:
        """Returns when the byte that ends at this position arrived, or the earliest possible time."""
        if position == self.end and self.last_byte_unix_ms is not None:
            return self.last_byte_unix_ms
        return self.earliest_unix_ms


class Inbox:
    """A receive buffer in which releases can be found ahead of the messages queued before them.

    >>> inbox = Inbox()
    >>> inbox.feed(m.encode(m.SETUP, 7) + m.encode_with_cause(m.RELEASE, 7, m.CANCELLED), 0.0, None)
    >>> inbox.is_client_waiting(7), inbox.is_client_waiting(8), inbox.next_message()[0].kind == m.SETUP
    (False, True, True)
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.consumed_bytes = 0  # returned as messages since the start
        self.complete_bytes = 0  # of the buffer: complete messages
        self.pieces: deque[ReceivedPiece] = deque()
        self.error: str | None = None  # why the bytes after the complete messages are invalid
        self.is_closed = False  # by the client: nobody waits for an answer to what is still buffered

    @property
    def has_partial_message(self) -> bool:
        """Whether the buffer holds nothing but the beginning of a message."""
        return bool(self.buffer) and not self.complete_bytes and self.error is None

    @property
    def has_next(self) -> bool:
        """Whether `next_message` would return a message or raise an error."""
        return self.complete_bytes > 0 or self.error is not None

    def feed(self, data: bytes, earliest_unix_ms: float, last_byte_unix_ms: float | None) -> None:
        """Appends received bytes and finds out which messages are now complete.

        Args:
            data: The bytes received.
            earliest_unix_ms: The earliest time at which any of them may have arrived.
            last_byte_unix_ms: When the last of them arrived; None if the kernel does not report that.
        """
        self.buffer += data
        if len(self.pieces) > 1 and self.pieces[-2].end >= self.consumed_bytes + self.complete_bytes:
            # A further piece of the same partial message: only the time of its last byte is needed.
            self.pieces.pop()
        received_bytes = self.consumed_bytes + len(self.buffer)
        self.pieces.append(ReceivedPiece(received_bytes, earliest_unix_ms, last_byte_unix_ms))
        if self.error is not None:
            return
        try:
            while (end := m.find_message_end(self.buffer, self.complete_bytes)) is not None:
                self.complete_bytes = end
        except m.ProtocolError as error:
            self.error = str(error)  # the exception's traceback would keep the frames alive

    def is_client_waiting(self, task_id: int) -> bool:
        """Whether the client still waits for the answer to this open request, by all bytes received."""
        return not self.is_closed and not self._has_release(task_id)

    def _has_release(self, task_id: int) -> bool:
        """Whether a release of the task is among the complete messages."""
        content = m.encode(m.RELEASE, task_id)[m.LENGTH_BYTES :]
        message_start = 0
        found_at = self.buffer.find(content, m.LENGTH_BYTES, self.complete_bytes)
        while found_at >= 0:
            # It may be a part of another message, such as a description: only the start of one counts.
            while message_start + m.LENGTH_BYTES < found_at:
                message_start += m.LENGTH_BYTES + m.HEADER.unpack_from(self.buffer, message_start)[0]
            if message_start + m.LENGTH_BYTES == found_at:
                return True
            found_at = self.buffer.find(content, message_start + m.LENGTH_BYTES, self.complete_bytes)
        return False

    def next_message(self) -> tuple[m.PlatformMessage, float] | None:
        """Returns the next complete message and when its last byte arrived, None if there is none.

        Where that time is not known it is the earliest possible one, so that a client's wait is never
        reckoned shorter than it was: its answer may come too early, but not too late.

        Raises:
            ProtocolError: The next bytes are not a valid message.
        """
        if not self.complete_bytes:
            if self.error is not None:
                raise m.ProtocolError(self.error)
            return None
        size = m.HEADER.unpack_from(self.buffer)[0] + 2
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        self.consumed_bytes, self.complete_bytes = self.consumed_bytes + size, self.complete_bytes - size
        while self.pieces[0].end < self.consumed_bytes:
            self.pieces.popleft()
        return m.decode(data), self.pieces[0].get_arrival_unix_ms(self.consumed_bytes)

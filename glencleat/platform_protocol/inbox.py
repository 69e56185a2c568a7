"""A client connection's unhandled bytes: messages in order, and releases found ahead of their turn.

No I/O; imports the codec. A client that disconnects or cancels is gone from the moment its bytes are here,
however many messages wait before them: releases are looked for as bytes come in, messages are taken once and
in order. Guards against an attempt for a client that left, because its cancel or its end lay behind other
bytes.
"""

from __future__ import annotations

from collections import deque

from glencleat.platform_protocol import messages as m


class Inbox:
    """Bytes in, messages with their arrival times out.

    >>> inbox = Inbox()
    >>> cancel = m.encode_with_cause(m.RELEASE, 7, m.NORMAL_CLEARING)
    >>> inbox.feed(m.encode(m.SETUP, 7) + cancel, None)
    >>> inbox.is_answer_awaited(7), inbox.is_answer_awaited(8)
    (False, True)
    >>> inbox.next_message()
    (PlatformMessage(kind=1, task=7, parameters={}), None)
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.consumed_bytes = 0  # handed out since the start
        self.scanned_bytes = 0  # of the buffer: complete messages, in which releases were looked for
        self.release_end_by_task: dict[int, int] = {}  # where the last release of a task that waits here ends
        self.arrivals: deque[tuple[int, float | None]] = deque()  # where a piece ends, when the system had it
        self.error_text: str | None = None  # why what comes after the complete messages is none
        self.is_closed = False  # the client disconnected: whatever else is in here, nobody awaits an answer

    @property
    def has_partial_message(self) -> bool:
        """All that is left is the beginning of a message."""
        return bool(self.buffer) and not self.scanned_bytes and self.error_text is None

    @property
    def has_next(self) -> bool:
        """`next_message` has something to return or to raise."""
        return self.scanned_bytes > 0 or self.error_text is not None

    def feed(self, data: bytes, arrived_ms: float | None) -> None:
        """Adds what the connection brought.

        Args:
            data: The bytes.
            arrived_ms: When the system had the last of them, None where it does not tell.
        """
        self.buffer += data
        if len(self.arrivals) > 1 and self.arrivals[-2][0] >= self.consumed_bytes + self.scanned_bytes:
            self.arrivals.pop()  # more of the same half message: what counts is its last byte
        self.arrivals.append((self.consumed_bytes + len(self.buffer), arrived_ms))
        if self.error_text is None:
            self._scan()

    def _scan(self) -> None:
        """Looks for releases in the messages that are now complete."""
        try:
            while (end := m.find_message_end(self.buffer, self.scanned_bytes)) is not None:
                _, kind, task = m.HEADER.unpack_from(self.buffer, self.scanned_bytes)
                if kind == m.RELEASE:
                    self.release_end_by_task[task] = self.consumed_bytes + end
                self.scanned_bytes = end
        except m.RemoteProtocolError as error:
            self.error_text = error.reason  # the error's traceback would hold all that leads here

    def is_answer_awaited(self, task: int) -> bool:
        """Whether the client still waits for the answer to this open set-up, by all that is here."""
        return not self.is_closed and task not in self.release_end_by_task

    def next_message(self) -> tuple[m.PlatformMessage, float | None] | None:
        """Returns the next complete message and when its last byte was here, None if there is none.

        Raises:
            RemoteProtocolError: The bytes can't be a message.
        """
        if not self.scanned_bytes:
            if self.error_text is not None:
                raise m.RemoteProtocolError(self.error_text)
            return None
        size = m.HEADER.unpack_from(self.buffer)[0] + m.LENGTH_BYTES
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        self.consumed_bytes += size
        self.scanned_bytes -= size
        while self.arrivals[0][0] < self.consumed_bytes:
            self.arrivals.popleft()
        message = m.decode(data)
        if self.release_end_by_task.get(message.task) == self.consumed_bytes:
            del self.release_end_by_task[message.task]
        return message, self.arrivals[0][1]

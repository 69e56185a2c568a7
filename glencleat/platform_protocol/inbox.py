"""What a client's connection has brought and nobody has handled yet, and what it already tells.

No I/O; imports messages. A client that closes or cancels has gone from the moment its bytes are here, however
many messages wait their turn before them. Messages are read once, in order; releases are found ahead of that.
Guards against: an attempt for a client that left, because its cancel or its end lay behind other bytes."""

from __future__ import annotations

from collections import deque

from glencleat.platform_protocol import messages as m


class Inbox:
    """
    >>> inbox = Inbox()
    >>> inbox.feed(m.encode(m.SETUP, 7) + m.encode_with_cause(m.RELEASE, 7, m.CANCELLED), None)
    >>> inbox.is_client_waiting(7), inbox.is_client_waiting(8), inbox.next_message()[0].kind == m.SETUP
    (False, True, True)
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.consumed_bytes = 0  # bytes handed out since the start
        self.scanned_bytes = 0  # of the buffer: whole messages, in which releases were looked for
        self.release_ends_by_task_id: dict[
            int, int
        ] = {}  # id -> where the last release of it that waits here ends
        self.arrivals: deque[tuple[int, float | None]] = deque()  # where a piece ends, when the system had it
        self.error: str | None = None  # why what comes after the whole messages is none
        self.is_closed = False  # the client closed: whatever else is in here, nobody waits for an answer

    @property
    def has_partial_message(self) -> bool:
        """All that is left is the beginning of a message."""
        return bool(self.buffer) and not self.scanned_bytes and self.error is None

    @property
    def has_next(self) -> bool:
        """`next_message` has something to tell."""
        return self.scanned_bytes > 0 or self.error is not None

    def feed(self, data: bytes, arrived: float | None) -> None:
        """`arrived`: when the system had the last of it, None where it does not tell."""
        self.buffer += data
        if len(self.arrivals) > 1 and self.arrivals[-2][0] >= self.consumed_bytes + self.scanned_bytes:
            self.arrivals.pop()  # more of the same half message: what counts is its last byte
        self.arrivals.append((self.consumed_bytes + len(self.buffer), arrived))
        if self.error is not None:
            return
        try:
            while (end := m.find_message_end(self.buffer, self.scanned_bytes)) is not None:
                _, kind, task = m.HEADER.unpack_from(self.buffer, self.scanned_bytes)
                if kind == m.RELEASE:
                    self.release_ends_by_task_id[task] = self.consumed_bytes + end
                self.scanned_bytes = end
        except m.ProtocolError as error:
            self.error = str(error)  # its traceback would hold all that leads here

    def is_client_waiting(self, task: int) -> bool:
        """Whether its client still waits for the answer to this open request, by all that is here."""
        return not self.is_closed and task not in self.release_ends_by_task_id

    def next_message(self) -> tuple[m.PlatformMessage, float | None] | None:
        """The next whole message and when its last byte was here; ProtocolError where the bytes can't be
        one."""
        if not self.scanned_bytes:
            if self.error is not None:
                raise m.ProtocolError(self.error)
            return None
        size = m.HEADER.unpack_from(self.buffer)[0] + 2
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        self.consumed_bytes, self.scanned_bytes = self.consumed_bytes + size, self.scanned_bytes - size
        while self.arrivals[0][0] < self.consumed_bytes:
            self.arrivals.popleft()
        message = m.decode(data)
        if self.release_ends_by_task_id.get(message.task_id) == self.consumed_bytes:
            del self.release_ends_by_task_id[message.task_id]
        return message, self.arrivals[0][1]

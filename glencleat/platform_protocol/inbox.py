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
    >>> inbox.feed(m.encode(m.SETUP, 7) + m.caused(m.RELEASE, 7, m.GIVEN_UP), None)
    >>> inbox.waits(7), inbox.waits(8), inbox.next()[0].kind == m.SETUP
    (False, True, True)
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.taken = 0  # bytes handed out since the start
        self.scanned = 0  # of the buffer: whole messages, in which releases were looked for
        self.releases: dict[int, int] = {}  # id -> where the last release of it that waits here ends
        self.arrivals: deque[tuple[int, float | None]] = deque()  # where a piece ends, when the system had it
        self.error: str | None = None  # why what comes after the whole messages is none
        self.ended = False  # the client closed: whatever else is in here, nobody waits for an answer

    @property
    def partial(self) -> bool:
        """All that is left is the beginning of a message."""
        return bool(self.buffer) and not self.scanned and self.error is None

    @property
    def waiting(self) -> bool:
        """`next` has something to tell."""
        return self.scanned > 0 or self.error is not None

    def feed(self, data: bytes, arrived: float | None) -> None:
        """`arrived`: when the system had the last of it, None where it does not tell."""
        self.buffer += data
        if len(self.arrivals) > 1 and self.arrivals[-2][0] >= self.taken + self.scanned:
            self.arrivals.pop()  # more of the same half message: what counts is its last byte
        self.arrivals.append((self.taken + len(self.buffer), arrived))
        if self.error is not None:
            return
        try:
            while (end := m.whole(self.buffer, self.scanned)) is not None:
                _, kind, task = m.HEAD.unpack_from(self.buffer, self.scanned)
                if kind == m.RELEASE:
                    self.releases[task] = self.taken + end
                self.scanned = end
        except m.PeerError as error:
            self.error = str(error)  # its traceback would hold all that leads here

    def waits(self, task: int) -> bool:
        """Whether its client still waits for the answer to this open request, by all that is here."""
        return not self.ended and task not in self.releases

    def next(self) -> tuple[m.PlatformMessage, float | None] | None:
        """The next whole message and when its last byte was here; PeerError where the bytes can't be one."""
        if not self.scanned:
            if self.error is not None:
                raise m.PeerError(self.error)
            return None
        size = m.HEAD.unpack_from(self.buffer)[0] + 2
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        self.taken, self.scanned = self.taken + size, self.scanned - size
        while self.arrivals[0][0] < self.taken:
            self.arrivals.popleft()
        message = m.decode(data)
        if self.releases.get(message.task) == self.taken:
            del self.releases[message.task]
        return message, self.arrivals[0][1]

"""A listener that bounds its connections and survives running out of file descriptors."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
from collections.abc import Callable

from glencleat.event_loop.loop import READ, Loop
from glencleat.event_loop.streams import UNSENT_LIMIT_BYTES, Stream

ACCEPT_PAUSE_MS = 50.0  # before a listener without any descriptor looks again
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)
ACCEPTS_PER_ROUND = 64  # so that a burst of newcomers does not keep the loop to itself


class Listener:
    """Accepts connections, never more than `max_connections` at once.

    When descriptors run out it gives up its spare one to accept and drop the newcomer: otherwise the queue
    stays full and a level-triggered loop spins.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_connection: Callable[[Stream], None],
        max_connections: int = 10_000,
        unsent_limit_bytes: int = UNSENT_LIMIT_BYTES,
        on_dropped: Callable[[str], None] = lambda why: None,
        make_room: Callable[[], bool] = lambda: False,
        backlog: int = 1_024,
    ) -> None:
        """Listen on `address` at once; raises OSError where it is taken.

        `make_room` is asked for each newcomer beyond `max_connections`: it may close another connection and
        return whether the newcomer is let in. `on_dropped` is called with the reason for each that is not.
        """
        self.loop = loop
        self.on_connection = on_connection
        self.max_connections = max_connections
        self.unsent_limit_bytes = unsent_limit_bytes
        self.on_dropped = on_dropped
        self.make_room = make_room
        self.sock = self._listen(address, backlog)
        self.address: tuple[str, int] = self.sock.getsockname()
        self.open_streams: set[Stream] = set()
        self.spare_fd: int | None = os.open(os.devnull, os.O_RDONLY)
        loop.poller.register(self.sock.fileno(), READ, self._on_event, last=True)

    @staticmethod
    def _listen(address: tuple[str, int], backlog: int) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        sock.listen(backlog)
        sock.setblocking(False)  # noqa: FBT003 - the standard library's signature
        return sock

    def _on_event(self, _: int) -> None:
        self.accept_pending()

    def accept_pending(self, most: int = ACCEPTS_PER_ROUND) -> int:
        """Accept at most so many waiting connections; return how many there were."""
        for count in range(most):
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return count
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in OUT_OF_DESCRIPTORS:
                    raise
                if not self._shed():
                    self._pause()
                    return count
                continue
            self._admit(sock)
        return most

    def _admit(self, sock: socket.socket) -> None:
        """Make a stream of an accepted socket, if there is room for it."""
        if len(self.open_streams) >= self.max_connections and not self.make_room():
            sock.close()
            self.on_dropped(f"{self.max_connections} connections are open")
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(self.loop, sock, self.unsent_limit_bytes)
        self.open_streams.add(stream)
        stream.on_close.append(lambda _: self.open_streams.discard(stream))
        self.on_connection(stream)

    def _shed(self) -> bool:
        """Drop a newcomer by means of the spare descriptor; return whether there is a spare one again."""
        self.on_dropped("out of file descriptors")
        if self.spare_fd is not None:
            os.close(self.spare_fd)
            self.spare_fd = None
            with contextlib.suppress(OSError):
                self.sock.accept()[0].close()
        with contextlib.suppress(OSError):
            self.spare_fd = os.open(os.devnull, os.O_RDONLY)
        return self.spare_fd is not None

    def _pause(self) -> None:
        """Stop accepting for a while: the queue that stays full would wake the loop without end."""
        fd = self.sock.fileno()
        self.loop.poller.modify(fd, 0)
        self.loop.call_in(ACCEPT_PAUSE_MS, lambda: self._resume(fd))

    def _resume(self, fd: int) -> None:
        if self.sock.fileno() == fd:
            self.loop.poller.modify(fd, READ)

    def close(self) -> None:
        """Stop listening; the accepted streams stay open. May be called more than once."""
        if self.sock.fileno() >= 0:
            self.loop.poller.unregister(self.sock.fileno())
            self.sock.close()
        if self.spare_fd is not None:
            os.close(self.spare_fd)
            self.spare_fd = None

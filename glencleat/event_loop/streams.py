"""Bounded streams over non-blocking sockets, and a listener that survives running out of descriptors.

Imports the loop. A peer that stops reading is cut off when its unsent bytes pass the stream's limit: a slow
reader may never hold up a decision or fill memory."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import struct
from collections.abc import Callable
from typing import Any

from glencleat.event_loop.loop import READ, WRITE, Coroutine, Loop, LoopTask

CHUNK_SIZE = 65_536
READS_PER_TURN = 4  # reads of one stream that need no wait before others have their turn
ACCEPT_RETRY_MS = 50.0  # before a listener without any descriptor looks again
SO_TIMESTAMPNS = (
    35  # Linux's SO_TIMESTAMPNS, which Python does not name: seconds, nanoseconds beside the bytes
)
TIMESPEC = struct.Struct("qq")


class StreamClosedError(Exception):
    """The peer or we closed the stream; the text says which and why."""


class ConnectError(StreamClosedError):
    """No connection came up; `code` is the errno: ECONNREFUSED is the peer's machine speaking."""

    def __init__(self, address: tuple[str, int], code: int) -> None:
        super().__init__(f"can't connect to {address[0]}:{address[1]}: {os.strerror(code)}")
        self.code = code


class StreamOverflowError(StreamClosedError):
    """The peer reads too slowly: more than the limit waits unsent."""


class Stream:
    """One connection. `queued_bytes` and `written_bytes` count bytes since its start, so that what left is
    known."""

    def __init__(self, loop: Loop, sock: Any, max_unsent_bytes: int = 1 << 20) -> None:
        sock.setblocking(False)
        self.loop, self.sock, self.max_unsent_bytes, self.fd = loop, sock, max_unsent_bytes, sock.fileno()
        self.send_buffer = bytearray()
        self.queued_bytes = self.written_bytes = 0
        self.close_reason: str | None = None
        self.close_callbacks: list[Callable[[str], None]] = []
        self.reader: LoopTask | None = None
        self.flusher: LoopTask | None = None
        self.interest = 0
        self.is_readable = False
        self.consecutive_reads = 0  # reads in a row that needed no wait
        self.is_timestamping = False
        self.received_at_unix_ms: float | None = (
            None  # when the system took the last bytes read, Unix milliseconds
        )
        loop.poller.watch(self.fd, 0, self._told)

    def _want(self, interest: int) -> None:
        if interest != self.interest and self.close_reason is None:
            self.interest = interest
            self.loop.poller.change(self.fd, interest)

    def _told(self, mask: int) -> None:
        if mask & WRITE and self.send_buffer:
            self._write()
        if self.close_reason is None and mask & ~WRITE:
            self.is_readable = True
            if self.reader is not None:
                self.wake_reader()
            elif mask & ~(READ | WRITE):  # hang-up or error, and nobody reads
                self.close("connection lost")
            else:
                self._want(self.interest & ~READ)  # or a level-triggered loop spins until somebody reads

    def read(self, size: int = CHUNK_SIZE) -> Coroutine:
        """The next bytes, b"" at the peer's end; raises StreamClosed once it is closed."""
        while True:
            yield from self.wait_readable()
            data = self.read_nowait(size)
            if data is not None:
                return data

    def wait_readable(self) -> Coroutine:
        """Until there may be something to read, or `wake_reader`; raises StreamClosed once it is closed.

        One who sends faster than we read is read in turns, or its reader would keep the loop to itself."""
        if self.close_reason is None and not self.is_readable:
            self.consecutive_reads = 0
            yield self._arm_read
        else:
            self.consecutive_reads += 1
            if self.consecutive_reads % READS_PER_TURN == 0:
                yield from self.loop.sleep(0.0)
        if self.close_reason is not None:
            raise StreamClosedError(self.close_reason)

    def read_nowait(self, size: int = CHUNK_SIZE) -> bytes | None:
        """What has come by this instant, whether the poller told of it or not.

        b"" at the peer's end, None if there is nothing; raises StreamClosed once it is closed."""
        if self.close_reason is not None:
            raise StreamClosedError(self.close_reason)
        try:
            data: bytes = self._recv_stamped(size) if self.is_timestamping else self.sock.recv(size)
        except (BlockingIOError, InterruptedError):
            self._emptied()
            return None
        except OSError as error:
            self.close(f"connection lost: {error.strerror}")
            raise StreamClosedError(self.close_reason or "") from None
        if len(data) < size:
            self._emptied()
        else:
            self.is_readable = True
        return data

    def _emptied(self) -> None:
        """The poller tells of more, also while the reader has its turn: until then there is nothing."""
        self.is_readable = False
        self._want(self.interest | READ)

    def has_peer_closed(self) -> bool:
        """Whether the peer has closed by this instant, also where what it sent before lies unread."""
        if self.close_reason is not None:
            return True
        try:
            if not self.sock.recv(1, socket.MSG_PEEK):
                return True
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        poll = select.poll()  # the dearer question, for what lies behind bytes
        poll.register(self.fd, select.POLLRDHUP)
        return bool(poll.poll(0))

    def wake_reader(self) -> None:
        """Wakes who waits to read: what it waits for was taken in another way."""
        if self.reader is not None:
            reader, self.reader = self.reader, None
            self.loop.wake(reader)

    def enable_timestamps(self) -> None:
        """From now on `received_at_unix_ms` tells how long bytes waited for us; it stays None where the
        system can't."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
            self.is_timestamping = True

    def _recv_stamped(self, size: int) -> bytes:
        data, told, _, _ = self.sock.recvmsg(size, socket.CMSG_SPACE(TIMESPEC.size))
        for level, kind, raw in told:
            if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(raw) == TIMESPEC.size:
                seconds, nanoseconds = TIMESPEC.unpack(raw)
                self.received_at_unix_ms = seconds * 1e3 + nanoseconds / 1e6
        return bytes(data)

    def _arm_read(self, task: LoopTask) -> Callable[[], None]:
        self.reader = task
        self._want(self.interest | READ)

        def disarm() -> None:
            self.reader = None

        return disarm

    def send(self, data: bytes) -> int:
        """Queues bytes and writes what the socket takes; gives the position of their end.

        Raises StreamClosed, or Overflow when the peer reads too slowly (the stream is then closed)."""
        if self.close_reason is not None:
            raise StreamClosedError(self.close_reason)
        self.queued_bytes += len(data)
        waiting = bool(self.send_buffer)
        self.send_buffer += data
        if not waiting:
            self._write()
        if len(self.send_buffer) > self.max_unsent_bytes:
            self.close(f"slow reader: {len(self.send_buffer)} bytes unsent")
            raise StreamOverflowError(self.close_reason or "")
        return self.queued_bytes

    def try_send(self, data: bytes) -> bool:
        """`send` for who need not know why: False if the stream is closed, or was by this."""
        try:
            self.send(data)
        except StreamClosedError:
            return False
        return self.close_reason is None

    def _write(self) -> None:
        try:
            sent = self.sock.send(self.send_buffer)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError as error:
            self.close(f"connection lost: {error.strerror}")
            return
        self.written_bytes += sent
        del self.send_buffer[:sent]
        self._want(self.interest | WRITE if self.send_buffer else self.interest & ~WRITE)
        if not self.send_buffer and self.flusher is not None:
            flusher, self.flusher = self.flusher, None
            self.loop.wake(flusher)

    def flush(self) -> Coroutine:
        """Waits until all that is queued has been handed to the socket, or the stream is closed."""
        while self.send_buffer and self.close_reason is None:

            def arm(task: LoopTask) -> Callable[[], None]:
                self.flusher = task

                def disarm() -> None:
                    self.flusher = None

                return disarm

            yield arm

    def shutdown_write(self) -> None:
        """No more is written; what was written arrives, and the peer's bytes can still be read."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self, reason: str = "closed") -> None:
        if self.close_reason is not None:
            return
        self.close_reason = reason
        self.loop.poller.forget(self.fd)
        with contextlib.suppress(OSError):
            self.sock.close()
        for task in (self.reader, self.flusher):
            if task is not None:
                self.loop.wake(task)
        self.reader = self.flusher = None
        calls, self.close_callbacks = (
            self.close_callbacks,
            [],
        )  # they hold what holds the stream: a cycle for each peer
        for call in calls:
            call(reason)


def connect(
    loop: Loop, address: tuple[str, int], timeout_ms: float, max_unsent_bytes: int = 1 << 20
) -> Coroutine:
    """A Stream to the address; raises ConnectFailed when it can't be made in time."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:  # out of descriptors: ours, not the peer's
        raise ConnectError(address, error.errno or errno.EMFILE) from None
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    code = sock.connect_ex(address)
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        raise ConnectError(address, code)

    def arm(task: LoopTask) -> Callable[[], None]:
        timer = loop.call_in(timeout_ms, lambda: told(-1))

        def told(mask: int) -> None:
            disarm()
            loop.wake(task, mask)

        def disarm() -> None:
            timer.cancel()
            loop.poller.forget(sock.fileno())

        loop.poller.watch(sock.fileno(), WRITE, told)
        return disarm

    try:
        mask = yield arm
    except BaseException:
        sock.close()
        raise
    code = errno.ETIMEDOUT if mask == -1 else sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        sock.close()
        raise ConnectError(address, code)
    return Stream(loop, sock, max_unsent_bytes)


class Listener:
    """Accepts connections, never more than `max_connections` at once.

    When descriptors run out it gives up its spare one to take and drop the newcomer: otherwise the queue
    stays full and a level-triggered loop spins."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_accept: Callable[[Stream], None],
        max_connections: int = 10_000,
        max_unsent_bytes: int = 1 << 20,
        on_drop: Callable[[str], None] = lambda why: None,
        ensure_capacity: Callable[[], bool] = lambda: False,
        backlog: int = 1_024,
    ) -> None:
        self.loop, self.on_accept, self.max_connections, self.max_unsent_bytes, self.on_drop = (
            loop,
            on_accept,
            max_connections,
            max_unsent_bytes,
            on_drop,
        )
        self.ensure_capacity = (
            ensure_capacity  # asked from `max_connections` on: may a newcomer come in? Closes another for it
        )
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(address)
        except OSError:
            self.sock.close()
            raise
        self.sock.listen(backlog)
        self.sock.setblocking(False)
        self.address: tuple[str, int] = self.sock.getsockname()
        self.open_streams: set[Stream] = set()
        self.spare_fd: int | None = os.open(os.devnull, os.O_RDONLY)
        loop.poller.watch(self.sock.fileno(), READ, self._told, is_deferred=True)

    def _told(self, _: int) -> None:
        self.accept_pending()

    def accept_pending(self, most: int = 64) -> int:
        """Accepts what waits, a bounded share of one round; gives how many were there."""
        for count in range(most):
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return count
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE):
                    raise
                if not self._shed():
                    self._pause()
                    return count
                continue
            self._accepted(sock)
        return most

    def _accepted(self, sock: socket.socket) -> None:
        if len(self.open_streams) >= self.max_connections and not self.ensure_capacity():
            sock.close()
            self.on_drop(f"{self.max_connections} connections are open")
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(self.loop, sock, self.max_unsent_bytes)
        self.open_streams.add(stream)
        stream.close_callbacks.append(lambda _: self.open_streams.discard(stream))
        self.on_accept(stream)

    def _shed(self) -> bool:
        self.on_drop("out of file descriptors")
        if self.spare_fd is not None:
            os.close(self.spare_fd)
            self.spare_fd = None
            with contextlib.suppress(OSError):
                self.sock.accept()[0].close()
        with contextlib.suppress(OSError):
            self.spare_fd = os.open(os.devnull, os.O_RDONLY)
        return self.spare_fd is not None

    def _pause(self) -> None:
        """Nothing can be taken or shed: the queue stays full, and would wake the loop without end."""
        fd = self.sock.fileno()
        self.loop.poller.change(fd, 0)
        self.loop.call_in(ACCEPT_RETRY_MS, lambda: self._resume(fd))

    def _resume(self, fd: int) -> None:
        if self.sock.fileno() == fd:
            self.loop.poller.change(fd, READ)

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.poller.forget(self.sock.fileno())
            self.sock.close()
        if self.spare_fd is not None:
            os.close(self.spare_fd)
            self.spare_fd = None

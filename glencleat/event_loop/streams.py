"""Streams over non-blocking sockets, and a listener that survives running out of file descriptors.

A peer that stops reading is disconnected when its unsent bytes exceed the stream's limit: a slow reader must
never delay a decision or exhaust memory. Imports the loop.
"""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import struct
from collections.abc import Callable
from typing import Any

from glencleat.event_loop.emptiness import EmptinessProof
from glencleat.event_loop.loop import READ, WRITE, Coroutine, Loop, LoopTask

CHUNK_SIZE = 65_536
READS_PER_TURN = 4  # consecutive reads of one stream without a wait before it yields to other tasks
ACCEPT_RETRY_MS = 50.0  # pause of a listener that has no file descriptor left
# Linux's socket option for receive timestamps in ancillary data; Python's socket module lacks the constant.
SO_TIMESTAMPNS = 35
TIMESPEC = struct.Struct("qq")  # seconds, nanoseconds


class StreamClosedError(Exception):
    """The stream was closed by the peer or by this process; the message gives the reason."""


class ConnectError(StreamClosedError):
    """No connection was established; `code` is the errno (ECONNREFUSED: the peer's machine answers)."""

    def __init__(self, address: tuple[str, int], code: int) -> None:
        super().__init__(f"can't connect to {address[0]}:{address[1]}: {os.strerror(code)}")
        self.code = code


class StreamOverflowError(StreamClosedError):
    """The peer reads too slowly: the unsent bytes exceed the limit."""


class Stream:
    """A connection with a bounded send buffer.

    `queued_bytes` and `written_bytes` are counted since the start, so that the caller of `send` can tell
    which of its data has been handed to the socket.
    """

    def __init__(self, loop: Loop, sock: Any, max_unsent_bytes: int = 1 << 20) -> None:
        sock.setblocking(False)
        self.loop, self.sock, self.max_unsent_bytes, self.fd = loop, sock, max_unsent_bytes, sock.fileno()
        self.send_buffer = bytearray()
        self.queued_bytes = self.written_bytes = 0
        self.close_reason: str | None = None
        self.error_code: int | None = None  # the errno that ended it; None if it ended in another way
        self.close_callbacks: list[Callable[[str], None]] = []
        self.reader: LoopTask | None = None
        self.flusher: LoopTask | None = None
        self.interest = 0
        self.is_readable = False
        self.consecutive_reads = 0  # without a wait in between
        self.empty_at_unix_ms = self.loop.clock.wall()  # when nothing had arrived yet
        self.emptiness: EmptinessProof | None = None  # None unless `enable_timestamps` was called
        # Of the last bytes read: the earliest time at which they may have arrived, and when the last of them
        # did; None if the kernel doesn't say.
        self.received_after_unix_ms = self.empty_at_unix_ms
        self.received_at_unix_ms: float | None = None
        loop.poller.watch(self.fd, 0, self._on_event)

    def _set_interest(self, interest: int) -> None:
        if interest != self.interest and self.close_reason is None:
            if self.emptiness is not None and interest & ~self.interest & READ:
                self.emptiness.record_watched()
            self.interest = interest
            self.loop.poller.change(self.fd, interest)

    def _on_event(self, mask: int) -> None:
        if mask & WRITE and self.send_buffer:
            self._write_buffer()
        if self.close_reason is None and mask & ~WRITE:
            if self.emptiness is not None:
                self.emptiness.record_reported()
            self.is_readable = True
            if self.reader is not None:
                self.wake_reader()
            elif mask & ~(READ | WRITE):  # hang-up or error while no task reads
                self.error_code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or None
                self.close("connection lost")
            else:
                # Otherwise level-triggered epoll would spin until a task reads.
                self._set_interest(self.interest & ~READ)

    def read(self, size: int = CHUNK_SIZE) -> Coroutine:
        """Returns the next bytes, b"" at end of stream; raises StreamClosedError once it is closed."""
        while True:
            yield from self.wait_readable()
            data = self.read_nowait(size)
            if data is not None:
                return data

    def wait_readable(self) -> Coroutine:
        """Waits until data may be readable or `wake_reader` is called.

        After READS_PER_TURN reads without a wait it yields to other tasks: otherwise the reader of a peer
        that sends faster than it is read would monopolize the loop. Raises StreamClosedError once the stream
        is closed.
        """
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
        """Reads what the socket has, whether or not the poller has reported it.

        Returns b"" at end of stream and None if nothing is available; raises StreamClosedError once the
        stream is closed.
        """
        if self.close_reason is not None:
            raise StreamClosedError(self.close_reason)
        try:
            data: bytes = (
                self.sock.recv(size)
                if self.emptiness is None
                else self._recv_with_timestamp(size, self.emptiness)
            )
        except (BlockingIOError, InterruptedError):
            self._await_more()
            return None
        except OSError as error:
            self._close_by_error(error)
            raise StreamClosedError(self.close_reason or "") from None
        if len(data) < size:
            self._await_more()
        else:
            self.is_readable = True
        return data

    def _await_more(self) -> None:
        """Marks the socket as empty; the poller reports new data even while no task waits for it."""
        self.is_readable = False
        self._set_interest(self.interest | READ)

    def has_peer_closed(self) -> bool:
        """Whether the peer has closed the connection, even if data that it sent before is still unread."""
        if self.close_reason is not None:
            return True
        try:
            if not self.sock.recv(1, socket.MSG_PEEK):
                return True
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        poll = select.poll()  # costs more than the peek, but detects a close behind unread data
        poll.register(self.fd, select.POLLRDHUP)
        return bool(poll.poll(0))

    def wake_reader(self) -> None:
        """Wakes the task in `wait_readable`, for example because the data was read by other code."""
        if self.reader is not None:
            reader, self.reader = self.reader, None
            self.loop.wake(reader)

    def enable_timestamps(self) -> None:
        """Makes reads set `received_after_unix_ms` and `received_at_unix_ms`.

        They show how long bytes waited to be read. The second stays None where the system doesn't support the
        socket option, and after a read that may have left something unread.
        """
        self.emptiness = EmptinessProof(self.loop, self.empty_at_unix_ms)
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)

    def _recv_with_timestamp(self, size: int, emptiness: EmptinessProof) -> bytes:
        if self.interest & READ:
            emptiness.record_unreported_read()
        began_unix_ms = self.loop.clock.wall()
        try:
            data, ancillary, _, _ = self.sock.recvmsg(size, socket.CMSG_SPACE(TIMESPEC.size))
        except BlockingIOError:
            emptiness.record_empty(began_unix_ms)
            raise
        self.received_after_unix_ms, self.received_at_unix_ms = emptiness.empty_at_unix_ms, None
        if len(data) == size:
            # More may be unread, which the kernel may keep as one segment with what was read: its time stamp
            # is that of the segment's last byte.
            return bytes(data)
        emptiness.record_empty(began_unix_ms)
        for level, kind, raw in ancillary:
            if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(raw) == TIMESPEC.size:
                seconds, nanoseconds = TIMESPEC.unpack(raw)
                self.received_at_unix_ms = seconds * 1e3 + nanoseconds / 1e6
        return bytes(data)

    def _arm_read(self, task: LoopTask) -> Callable[[], None]:
        self.reader = task
        self._set_interest(self.interest | READ)

        def disarm() -> None:
            self.reader = None

        return disarm

    def send(self, data: bytes) -> int:
        """Queues bytes and writes what the socket accepts; returns the stream position of their end.

        Raises StreamClosedError on a closed stream. When the peer reads too slowly, closes the stream and
        raises StreamOverflowError.
        """
        if self.close_reason is not None:
            raise StreamClosedError(self.close_reason)
        self.queued_bytes += len(data)
        had_unsent = bool(self.send_buffer)
        self.send_buffer += data
        if not had_unsent:
            self._write_buffer()
        if len(self.send_buffer) > self.max_unsent_bytes:
            self.close(f"slow reader: {len(self.send_buffer)} bytes unsent")
            raise StreamOverflowError(self.close_reason or "")
        return self.queued_bytes

    def try_send(self, data: bytes) -> bool:
        """Like `send`, but returns False if the stream is closed or this call closed it."""
        try:
            self.send(data)
        except StreamClosedError:
            return False
        return self.close_reason is None

    def _write_buffer(self) -> None:
        try:
            sent = self.sock.send(self.send_buffer)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError as error:
            self._close_by_error(error)
            return
        self.written_bytes += sent
        del self.send_buffer[:sent]
        self._set_interest(self.interest | WRITE if self.send_buffer else self.interest & ~WRITE)
        if not self.send_buffer and self.flusher is not None:
            flusher, self.flusher = self.flusher, None
            self.loop.wake(flusher)

    def flush(self) -> Coroutine:
        """Waits until all queued bytes have been handed to the socket, or the stream is closed."""
        while self.send_buffer and self.close_reason is None:

            def arm(task: LoopTask) -> Callable[[], None]:
                self.flusher = task

                def disarm() -> None:
                    self.flusher = None

                return disarm

            yield arm

    def shutdown_write(self) -> None:
        """Shuts down the sending side: bytes already written are delivered, and reading still works."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def _close_by_error(self, error: OSError) -> None:
        self.error_code = error.errno
        self.close(f"connection lost: {error.strerror}")

    def close(self, reason: str = "closed") -> None:
        """Closes the socket, wakes waiting tasks, runs the close callbacks; later calls have no effect."""
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
        # Released because callbacks refer to objects that refer to the stream: one reference cycle per peer.
        callbacks, self.close_callbacks = self.close_callbacks, []
        for callback in callbacks:
            callback(reason)


def connect(
    loop: Loop, address: tuple[str, int], timeout_ms: float, max_unsent_bytes: int = 1 << 20
) -> Coroutine:
    """Connects to the address and returns a Stream; raises ConnectError on failure or timeout."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:  # out of file descriptors: a local fault, not the peer's
        raise ConnectError(address, error.errno or errno.EMFILE) from None
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    code = sock.connect_ex(address)
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        raise ConnectError(address, code)

    def arm(task: LoopTask) -> Callable[[], None]:
        timer = loop.call_in(timeout_ms, lambda: on_result(-1))

        def on_result(mask: int) -> None:
            disarm()
            loop.wake(task, mask)

        def disarm() -> None:
            timer.cancel()
            loop.poller.forget(sock.fileno())

        loop.poller.watch(sock.fileno(), WRITE, on_result)
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
    """Accepts connections, at most `max_connections` at the same time.

    Beyond that a new connection is kept only if `ensure_capacity`, which may close another connection,
    returns True. When file descriptors run out, the listener closes its spare one to accept and drop the next
    connection: otherwise the accept queue stays full and a level-triggered loop spins.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_accept: Callable[[Stream], None],
        max_connections: int = 10_000,
        max_unsent_bytes: int = 1 << 20,
        on_drop: Callable[[str], None] = lambda reason: None,
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
        self.ensure_capacity = ensure_capacity
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(address)
        except OSError:
            self.sock.close()
            raise
        # Accepted sockets inherit it: what arrives before they are accepted has a time stamp too.
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        self.sock.listen(backlog)
        self.sock.setblocking(False)
        self.emptiness = EmptinessProof(loop, loop.clock.wall())
        self.emptiness.record_watched()
        self.address: tuple[str, int] = self.sock.getsockname()
        self.open_streams: set[Stream] = set()
        self.spare_fd: int | None = os.open(os.devnull, os.O_RDONLY)
        loop.poller.watch(self.sock.fileno(), READ, self._on_readable, is_deferred=True)

    def _on_readable(self, _: int) -> None:
        self.emptiness.record_reported()
        self.accept_pending()

    def accept_pending(self, limit: int = 64) -> int:
        """Accepts waiting connections, at most `limit` in one loop iteration; returns how many there were."""
        self.emptiness.record_unreported_read()
        for count in range(limit):
            began_unix_ms = self.loop.clock.wall()
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                self.emptiness.record_empty(began_unix_ms)
                return count
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE):
                    raise
                if not self._drop_pending():
                    self._pause_accepting()
                    return count
                continue
            self._handle_accepted(sock)
        return limit

    def _handle_accepted(self, sock: socket.socket) -> None:
        if len(self.open_streams) >= self.max_connections and not self.ensure_capacity():
            sock.close()
            self.on_drop(f"{self.max_connections} connections are open")
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(self.loop, sock, self.max_unsent_bytes)
        stream.empty_at_unix_ms = self.emptiness.empty_at_unix_ms
        self.open_streams.add(stream)
        stream.close_callbacks.append(lambda _: self.open_streams.discard(stream))
        self.on_accept(stream)

    def _drop_pending(self) -> bool:
        """Accepts and drops one connection with the spare descriptor; False if no new spare can be opened."""
        self.on_drop("out of file descriptors")
        if self.spare_fd is not None:
            os.close(self.spare_fd)
            self.spare_fd = None
            with contextlib.suppress(OSError):
                self.sock.accept()[0].close()
        with contextlib.suppress(OSError):
            self.spare_fd = os.open(os.devnull, os.O_RDONLY)
        return self.spare_fd is not None

    def _pause_accepting(self) -> None:
        """Ignores the accept queue for ACCEPT_RETRY_MS.

        No connection can be accepted or dropped, so the full queue would wake the loop again and again.
        """
        fd = self.sock.fileno()
        self.emptiness.record_reported()  # something waits, though the poller won't report it
        self.loop.poller.change(fd, 0)
        self.loop.call_in(ACCEPT_RETRY_MS, lambda: self._resume_accepting(fd))

    def _resume_accepting(self, fd: int) -> None:
        if self.sock.fileno() == fd:
            self.loop.poller.change(fd, READ)

    def close(self) -> None:
        """Stops listening; accepted streams stay open."""
        if self.sock.fileno() >= 0:
            self.loop.poller.forget(self.sock.fileno())
            self.sock.close()
        if self.spare_fd is not None:
            os.close(self.spare_fd)
            self.spare_fd = None

"""Bounded streams over non-blocking sockets, and connecting.

A peer that stops reading is cut off when its unsent bytes pass the stream's limit: a slow reader may never
hold up a decision or fill memory.
"""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import struct
from collections.abc import Callable

from glencleat.event_loop.loop import READ, WRITE, Coroutine, Disarm, Loop, LoopTask

UNSENT_LIMIT_BYTES = 1 << 20  # what a slow reader may owe, unless the caller says otherwise
READ_BYTES = 65_536
IMMEDIATE_READS_MAX = 4  # reads of one stream that need no wait before others have their turn
SO_TIMESTAMPNS = 35  # of Linux, which Python does not name: seconds and nanoseconds beside the bytes
TIMESPEC = struct.Struct("qq")
TIMED_OUT = -1  # in place of an event mask


class StreamClosedError(Exception):
    """The peer or we closed the stream; the text says which and why."""


class ConnectError(StreamClosedError):
    """No connection came up; `code` is the errno: ECONNREFUSED is the peer's machine speaking."""

    def __init__(self, address: tuple[str, int], code: int) -> None:
        super().__init__(f"can't connect to {address[0]}:{address[1]}: {os.strerror(code)}")
        self.address = address
        self.code = code


class StreamOverflowError(StreamClosedError):
    """The peer reads too slowly: more than the limit waits unsent."""


class Stream:
    """One connection, read by one task at a time.

    `queued_bytes` and `written_bytes` count from its start, so that what left the process is known.
    `on_close` holds callbacks that take the reason; each is called once.
    """

    def __init__(self, loop: Loop, sock: socket.socket, unsent_limit_bytes: int = UNSENT_LIMIT_BYTES) -> None:
        sock.setblocking(False)  # noqa: FBT003 - the standard library's signature
        self.loop = loop
        self.sock = sock
        self.unsent_limit_bytes = unsent_limit_bytes
        self.fd = sock.fileno()
        self.unsent = bytearray()
        self.queued_bytes = 0
        self.written_bytes = 0
        self.close_reason: str | None = None  # None while it is open
        self.on_close: list[Callable[[str], None]] = []
        self.reader: LoopTask | None = None  # the task that waits to read
        self.flusher: LoopTask | None = None
        self.interest = 0  # events asked of the poller
        self.is_readable = False
        self.immediate_reads = 0  # reads in a row that needed no wait
        self.has_timestamps = False
        self.received_at_ms: float | None = None  # when the system took the last bytes read, Unix time
        loop.poller.register(self.fd, 0, self._on_event)

    def _set_interest(self, interest: int) -> None:
        if interest != self.interest and self.close_reason is None:
            self.interest = interest
            self.loop.poller.modify(self.fd, interest)

    def _on_event(self, mask: int) -> None:
        if mask & WRITE and self.unsent:
            self._write()
        if self.close_reason is None and mask & ~WRITE:
            self.is_readable = True
            if self.reader is not None:
                self.wake_reader()
            elif mask & ~(READ | WRITE):  # hang-up or error, and nobody reads
                self.close("connection lost")
            else:
                self._set_interest(
                    self.interest & ~READ
                )  # or a level-triggered loop spins until somebody reads

    def read(self, size: int = READ_BYTES) -> Coroutine:
        """Return the next bytes, b"" at the peer's end; raises StreamClosedError once it is closed."""
        while True:
            yield from self.wait_readable()
            data = self.read_available(size)
            if data is not None:
                return data

    def wait_readable(self) -> Coroutine:
        """Wait until there may be something to read, or `wake_reader`.

        A peer that sends faster than we read is read in turns with others, or its reader would keep the loop
        to itself. Raises StreamClosedError once the stream is closed.
        """
        if self.close_reason is None and not self.is_readable:
            self.immediate_reads = 0
            yield self._arm_read
        else:
            self.immediate_reads += 1
            if self.immediate_reads % IMMEDIATE_READS_MAX == 0:
                yield from self.loop.sleep(0.0)
        if self.close_reason is not None:
            raise StreamClosedError(self.close_reason)

    def read_available(self, size: int = READ_BYTES) -> bytes | None:
        """Return what has arrived by now, whether the poller has reported it or not.

        b"" at the peer's end, None if there is nothing; raises StreamClosedError once the stream is closed.
        """
        if self.close_reason is not None:
            raise StreamClosedError(self.close_reason)
        try:
            data: bytes = self._recv_stamped(size) if self.has_timestamps else self.sock.recv(size)
        except (BlockingIOError, InterruptedError):
            self._await_readable()
            return None
        except OSError as error:
            self.close(f"connection lost: {error.strerror}")
            raise StreamClosedError(self.close_reason or "") from error
        if len(data) < size:
            self._await_readable()
        else:
            self.is_readable = True
        return data

    def _await_readable(self) -> None:
        """Have the poller report more bytes, also while the reader runs: until then there is nothing."""
        self.is_readable = False
        self._set_interest(self.interest | READ)

    def has_hung_up(self) -> bool:
        """Whether the peer has closed by now, also where what it sent before lies unread."""
        if self.close_reason is not None:
            return True
        try:
            if not self.sock.recv(1, socket.MSG_PEEK):
                return True
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        poll = select.poll()  # costs more, but sees an end that lies behind unread bytes
        poll.register(self.fd, select.POLLRDHUP)
        return bool(poll.poll(0))

    def wake_reader(self) -> None:
        """Wake the task that waits to read: what it waits for was taken by `read_available`."""
        if self.reader is not None:
            reader = self.reader
            self.reader = None
            self.loop.wake(reader)

    def enable_timestamps(self) -> None:
        """Set `received_at_ms` at each read from now on; it stays None where the system has no such time."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
            self.has_timestamps = True

    def _recv_stamped(self, size: int) -> bytes:
        data, ancillary, _, _ = self.sock.recvmsg(size, socket.CMSG_SPACE(TIMESPEC.size))
        for level, kind, raw in ancillary:
            if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(raw) == TIMESPEC.size:
                seconds, nanoseconds = TIMESPEC.unpack(raw)
                self.received_at_ms = seconds * 1e3 + nanoseconds / 1e6
        return bytes(data)

    def _arm_read(self, task: LoopTask) -> Disarm:
        self.reader = task
        self._set_interest(self.interest | READ)

        def disarm() -> None:
            self.reader = None

        return disarm

    def send(self, data: bytes) -> int:
        """Queue bytes and write what the socket takes; return the value of `queued_bytes` at their end.

        Raises StreamClosedError, or StreamOverflowError when the peer reads too slowly (the stream is then
        closed).
        """
        if self.close_reason is not None:
            raise StreamClosedError(self.close_reason)
        self.queued_bytes += len(data)
        had_unsent = bool(self.unsent)
        self.unsent += data
        if not had_unsent:
            self._write()
        if len(self.unsent) > self.unsent_limit_bytes:
            self.close(f"slow reader: {len(self.unsent)} bytes unsent")
            raise StreamOverflowError(self.close_reason or "")
        return self.queued_bytes

    def try_send(self, data: bytes) -> bool:
        """Send without raising; return False if the stream is closed, or was by this."""
        try:
            self.send(data)
        except StreamClosedError:
            return False
        return self.close_reason is None

    def _write(self) -> None:
        try:
            sent = self.sock.send(self.unsent)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError as error:
            self.close(f"connection lost: {error.strerror}")
            return
        self.written_bytes += sent
        del self.unsent[:sent]
        self._set_interest(self.interest | WRITE if self.unsent else self.interest & ~WRITE)
        if not self.unsent and self.flusher is not None:
            flusher = self.flusher
            self.flusher = None
            self.loop.wake(flusher)

    def flush(self) -> Coroutine:
        """Wait until all that is queued has been handed to the socket, or the stream is closed."""
        while self.unsent and self.close_reason is None:

            def arm(task: LoopTask) -> Disarm:
                self.flusher = task

                def disarm() -> None:
                    self.flusher = None

                return disarm

            yield arm

    def shutdown_write(self) -> None:
        """End our side: what was written arrives, and the peer's bytes can still be read."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self, why: str = "closed") -> None:
        """Close the socket, wake the waiting tasks, and call `on_close`; later calls have no effect."""
        if self.close_reason is not None:
            return
        self.close_reason = why
        self.loop.poller.unregister(self.fd)
        with contextlib.suppress(OSError):
            self.sock.close()
        for task in (self.reader, self.flusher):
            if task is not None:
                self.loop.wake(task)
        self.reader = None
        self.flusher = None
        callbacks = self.on_close
        self.on_close = []  # callbacks hold what holds the stream: a reference cycle for each peer
        for callback in callbacks:
            callback(why)


def connect(
    loop: Loop, address: tuple[str, int], timeout_ms: float, unsent_limit_bytes: int = UNSENT_LIMIT_BYTES
) -> Coroutine:
    """Connect and return a Stream; raises ConnectError when no connection comes up in time."""
    sock = _begin_connecting(address)

    def arm(task: LoopTask) -> Disarm:
        def on_event(mask: int) -> None:
            disarm()
            loop.wake(task, mask)

        def disarm() -> None:
            timer.cancel()
            loop.poller.unregister(sock.fileno())

        timer = loop.call_in(timeout_ms, lambda: on_event(TIMED_OUT))
        loop.poller.register(sock.fileno(), WRITE, on_event)
        return disarm

    try:
        mask = yield arm
    except BaseException:
        sock.close()
        raise
    code = errno.ETIMEDOUT if mask == TIMED_OUT else sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        sock.close()
        raise ConnectError(address, code)
    return Stream(loop, sock, unsent_limit_bytes)


def _begin_connecting(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking socket that connects; raises ConnectError where that fails at once."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:  # out of descriptors: ours, not the peer's
        raise ConnectError(address, error.errno or errno.EMFILE) from error
    sock.setblocking(False)  # noqa: FBT003 - the standard library's signature
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    code = sock.connect_ex(address)
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        raise ConnectError(address, code)
    return sock

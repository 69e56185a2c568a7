"""An HTTP/1.1 server on the streams of `event_loop`, with one loop task per connection.

A handler receives a Request and returns a Response, a StreamResponse that it fills at the reader's pace, or a
SessionResponse that turns the connection into a stream of records (`RecordLink`). Every wait for a peer has a
timeout: idle connections, slow requests, and responses that are not read.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from typing import Protocol

from glencleat.event_loop import Listener, Loop, Stream, StreamClosedError
from glencleat.event_loop.loop import Coroutine, LoopTask
from glencleat.event_loop.timers import Timer
from glencleat.mesos import messages as m
from glencleat.mesos import recordio
from glencleat.mesos.http import HttpError, Request, Response, ServerConnection

# How long, and how much, is read from a peer after the last response on its connection.
LINGER_TIMEOUT_MS, MAX_LINGER_BYTES = 1_000.0, 4 << 20


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of a server and of each of its connections."""

    max_connections: int = 10_000
    max_body_bytes: int = 1 << 20
    max_unsent_bytes: int = 1 << 20  # more unsent bytes close the connection of a slow reader
    request_timeout_ms: float = 10_000.0  # from the first byte of a request to its last
    idle_timeout_ms: float = 60_000.0  # between requests


class RecordLink:
    """A subscribed session: a chunked response that carries RecordIO. It is the Link of the core."""

    def __init__(self, connection: ServerConnection, stream: Stream) -> None:
        self.connection, self.stream = connection, stream
        self.on_end: Callable[[str], None] = lambda why: None
        self.heartbeat_timer: Timer | None = None

    def send(self, record: bytes) -> tuple[int, int]:
        """Queues a record and returns the stream offsets of its first byte and of the byte after its last.

        On a closed connection nothing is sent, and the range never counts as written.
        """
        begin = self.stream.queued_bytes
        if self.stream.close_reason is not None:
            return begin, begin + 1
        framed = self.connection.chunk(recordio.encode(record))
        with contextlib.suppress(StreamClosedError):  # close_callbacks report it
            self.stream.send(framed)
        return begin, begin + len(framed) - 2  # without the line end of the chunk, which follows the record

    def written_bytes(self) -> int:
        """Returns the number of bytes that the socket has taken since the start of the connection."""
        return self.stream.written_bytes

    def close(self, why: str) -> None:
        """Ends the response, as far as the socket accepts it, and closes the connection."""
        if self.stream.close_reason is None:
            try:
                self.stream.send(self.connection.end_stream())
            except StreamClosedError:
                return
            self.stream.close(why)


@dataclass(slots=True)
class SessionResponse:
    """A response that turns the connection into a session with heartbeats."""

    headers: dict[str, str]
    open_session: Callable[[RecordLink], Callable[[str], None]]  # returns the callback for its end
    heartbeat: bytes
    heartbeat_interval_ms: float


class Sink:
    """A chunked response that a coroutine of the handler fills at the reader's pace."""

    def __init__(self, connection: ServerConnection, stream: Stream) -> None:
        self.connection, self.stream = connection, stream

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self.stream.close_reason is not None

    def on_close(self, callback: Callable[[], None]) -> None:
        """Registers a callback for the end of the connection."""
        self.stream.close_callbacks.append(lambda _: callback())

    def send(self, data: bytes) -> Coroutine:
        """Queues a chunk at once and returns a coroutine that waits until the socket has taken it.

        Raises StreamClosedError.
        """
        self.stream.send(self.connection.chunk(data))
        return self.stream.flush()

    def send_last(self, data: bytes, why: str, timeout_ms: float) -> Coroutine:
        """Sends the last chunk and closes the connection when it is sent, or after the timeout."""
        loop = self.stream.loop
        timer = loop.call_in(timeout_ms, lambda: self.stream.close(why))
        try:
            self.stream.send(self.connection.chunk(data) + self.connection.end_stream())
            yield from self.stream.flush()
        finally:
            timer.cancel()
            self.stream.close(why)


@dataclass(slots=True)
class StreamResponse:
    """A response of unbounded length, which lasts as long as `write_body` runs."""

    content_type: str
    write_body: Callable[[Sink], Coroutine]
    abort: Callable[[], None]  # called instead of `write_body` if the response can't be started


Handler = Callable[[Request], Response | SessionResponse | StreamResponse]


def plain_response(error: HttpError) -> Response:
    """Returns an error as a response in plain text."""
    return Response(error.status, (error.text + "\n").encode())


class RequestIntake(Protocol):
    """Limits the rate at which requests are read; `rest.overload` implements it."""

    def allowed_count(self, now: float, idle_ms: float) -> int:
        """Returns how many requests may be read now. The loop has been idle for `idle_ms` in total."""
        ...

    def record_cost(self, ms: float) -> None:
        """Records how long a request took."""
        ...

    def is_overloaded(self, waiting: int) -> bool:
        """Whether another request would wait too long behind the `waiting` ones."""
        ...


class RequestThrottle:
    """Admits requests for reading in the order of arrival, at the rate that the intake allows."""

    def __init__(self, loop: Loop, intake: RequestIntake) -> None:
        self.loop, self.intake = loop, intake
        self.waiting_tasks: dict[LoopTask, None] = {}
        self.is_wake_scheduled = False

    def allowed_count(self) -> int:
        """Returns how many requests may be read now."""
        return self.intake.allowed_count(self.loop.now(), self.loop.poller.idle_ms)

    def wait_turn(self) -> Coroutine:
        """Waits until a request may be read; returns False at once if the wait would be too long."""
        if not self.waiting_tasks and self.allowed_count():
            return True
        if self.intake.is_overloaded(len(self.waiting_tasks)):
            return False

        def arm(task: LoopTask) -> Callable[[], None]:
            self.waiting_tasks[task] = None
            self._schedule_wake()

            def disarm() -> None:
                self.waiting_tasks.pop(task, None)

            return disarm

        yield arm
        return True

    def _schedule_wake(self) -> None:
        if not self.is_wake_scheduled:
            self.is_wake_scheduled = True
            self.loop.call_in(0.0, self._wake_admitted)

    def _wake_admitted(self) -> None:
        self.is_wake_scheduled = False
        for task in list(islice(self.waiting_tasks, self.allowed_count())):
            del self.waiting_tasks[task]
            self.loop.wake(task)
        if self.waiting_tasks:
            self._schedule_wake()


# The response under overload. The request is not parsed, because that would cost more than the response.
OVERLOAD_RESPONSE = (
    b"HTTP/1.1 503 \r\nretry-after: 1\r\nconnection: close\r\ncontent-type: application/problem+json\r\n"
    b"content-length: %d\r\n\r\n%b"
)
OVERLOAD_BODY = b'{"title":"Not now","status":503,"detail":"too many requests wait","retryAfterMs":1000}'


class Server:
    """Listens on an address and passes each request to the handler.

    `error_response` renders an HttpError. With an `intake`, requests wait for their turn before they are
    read. Raises OSError if the address can't be bound.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        handler: Handler,
        limits: ServerLimits,
        log: Callable[..., None] = lambda event, **fields: None,
        error_response: Callable[[HttpError], Response] = plain_response,
        intake: RequestIntake | None = None,
    ) -> None:
        self.throttle = RequestThrottle(loop, intake) if intake is not None else None
        self.loop, self.handler, self.limits, self.log, self.error_response = (
            loop,
            handler,
            limits,
            log,
            error_response,
        )
        self.refused_count = 0
        # Connections without a complete request so far, oldest first.
        self.connections_without_request: dict[Stream, None] = {}
        self.listener = Listener(
            loop,
            address,
            self._accept,
            limits.max_connections,
            limits.max_unsent_bytes,
            self._record_refusal,
            self._evict_oldest_without_request,
        )

    @property
    def address(self) -> tuple[str, int]:
        """The address that the listener is bound to."""
        return self.listener.address

    def _record_refusal(self, why: str) -> None:
        self.refused_count += 1
        # Only the 1st, 2nd, 4th, 8th ... refusal is logged, so that a flood doesn't fill the log.
        if self.refused_count & (self.refused_count - 1) == 0:
            self.log("connection refused", why=why, so_far=self.refused_count)

    def _evict_oldest_without_request(self) -> bool:
        """Closes the oldest connection without a request; returns False if there is none.

        Peers that only connect must not lock out the calls of subscribed frameworks and agents.
        """
        oldest = next(iter(self.connections_without_request), None)
        if oldest is None:
            return False
        self._record_refusal("made room for a newcomer")
        oldest.close("made room for a newcomer")
        return True

    def _accept(self, stream: Stream) -> None:
        self.connections_without_request[stream] = None

        def forget(_: str) -> None:
            self.connections_without_request.pop(stream, None)

        stream.close_callbacks.append(forget)
        self.loop.spawn(self._serve_connection(stream), "connection")

    def _serve_connection(self, stream: Stream) -> Coroutine:
        connection = ServerConnection(self.limits.max_body_bytes)
        peer_timeout = PeerTimeout(self.loop, stream, self.limits)
        try:
            while stream.close_reason is None:
                peer_timeout.start_wait(connection.has_partial_request())
                data = yield from stream.read()
                if self.throttle is not None and not (yield from self.throttle.wait_turn()):
                    self._record_refusal("too many requests wait to be read")
                    stream.send(OVERLOAD_RESPONSE % (len(OVERLOAD_BODY), OVERLOAD_BODY))
                    yield from self._linger(stream)
                    return
                started_at_ms = self.loop.now()
                requests = connection.feed(data)
                if requests:
                    self.connections_without_request.pop(stream, None)
                while requests:
                    link = yield from self._handle_request(
                        connection, stream, requests[0], peer_timeout, started_at_ms
                    )
                    if link is not None:
                        peer_timeout.stop()
                        yield from self._read_until_closed(stream)
                        return
                    if self.throttle is not None and connection.has_partial_request():
                        yield from self.throttle.wait_turn()  # each pipelined request waits for its own turn
                    started_at_ms = self.loop.now()
                    requests = requests[1:] or connection.parse_pipelined()
                if data == b"" or connection.must_close():
                    break
        except HttpError as error:
            self._send_error(connection, stream, error)
            yield from self._linger(stream)
        except StreamClosedError:
            pass
        finally:
            peer_timeout.stop()
            stream.close("done")

    def _linger(self, stream: Stream) -> Coroutine:
        """Keeps reading for a short time after the last response.

        Closing with unread bytes resets the connection, and the peer would lose the response that reports the
        error (RFC 9112, 9.6).
        """
        timer = self.loop.call_in(LINGER_TIMEOUT_MS, lambda: stream.close("done"))
        try:
            yield from stream.flush()
            stream.shutdown_write()
            remaining_bytes = MAX_LINGER_BYTES
            while remaining_bytes > 0 and stream.close_reason is None:
                data = yield from stream.read()
                remaining_bytes -= len(data) or remaining_bytes
        except StreamClosedError:
            pass
        finally:
            timer.cancel()

    def _send_error(self, connection: ServerConnection, stream: Stream, error: HttpError) -> None:
        self.log("bad request", status=error.status, why=error.text[:200])
        with contextlib.suppress(StreamClosedError):
            stream.send(connection.refuse(error, self.error_response(error)))

    def _handle_request(
        self,
        connection: ServerConnection,
        stream: Stream,
        request: Request,
        peer_timeout: PeerTimeout,
        started_at_ms: float,
    ) -> Coroutine:
        request.connection = stream
        try:
            response = self.handler(request)
        except HttpError as error:
            response = self.error_response(error)
        if isinstance(response, Response):
            stream.send(connection.encode_response(response))
            if self.throttle is not None:
                self.throttle.intake.record_cost(self.loop.now() - started_at_ms)
            if stream.send_buffer:
                peer_timeout.start_wait(True)  # the request timeout also covers reading the response
                yield from stream.flush()
            if response.read_pause_ms:
                yield from self.loop.sleep(response.read_pause_ms)
            return None
        if isinstance(response, StreamResponse):
            peer_timeout.stop()
            try:
                stream.send(connection.open_stream({}, response.content_type))
            except (HttpError, StreamClosedError):
                response.abort()
                raise
            self.loop.spawn(self._read_until_closed(stream), "watch", self.loop.current_task)
            yield from response.write_body(Sink(connection, stream))
            return None
        stream.send(connection.open_stream(response.headers))
        return self._open_session(connection, stream, response)

    def _open_session(
        self, connection: ServerConnection, stream: Stream, response: SessionResponse
    ) -> RecordLink:
        link = RecordLink(connection, stream)

        def send_heartbeat() -> None:
            if stream.close_reason is None:
                link.send(response.heartbeat)
                link.heartbeat_timer = self.loop.call_in(response.heartbeat_interval_ms, send_heartbeat)

        link.heartbeat_timer = self.loop.call_in(response.heartbeat_interval_ms, send_heartbeat)

        def closed(why: str) -> None:
            if link.heartbeat_timer is not None:
                link.heartbeat_timer.cancel()
            link.on_end(why)

        stream.close_callbacks.append(closed)
        link.on_end = response.open_session(link)
        if stream.close_reason is not None:  # closed while the session was opening
            link.on_end(stream.close_reason)
        return link

    @staticmethod
    def _read_until_closed(stream: Stream) -> Coroutine:
        """Discards what the peer of a stream sends, and closes the stream when the peer does."""
        try:
            while True:
                data = yield from stream.read(4096)
                if data == b"":
                    stream.close("peer closed")
                    return
        except StreamClosedError:
            return

    def close(self) -> None:
        """Stops listening; open connections stay open."""
        self.listener.close()


class PeerTimeout:
    """Closes a connection that stays idle or takes too long to send a request or read its response.

    A connection has one timer, which is rearmed only when it fires. The request timeout runs from the first
    byte of the request, so a sender can't extend it by sending a byte now and then.
    """

    def __init__(self, loop: Loop, stream: Stream, limits: ServerLimits) -> None:
        self.loop, self.stream, self.limits = loop, stream, limits
        self.is_in_request, self.waiting_since_ms = False, loop.now()
        self.timer: Timer | None = None
        self._arm(limits.idle_timeout_ms)

    def start_wait(self, in_request: bool) -> None:
        """Notes that the server waits for the peer; `in_request` if a request or response is incomplete."""
        if in_request and self.is_in_request:
            return
        self.waiting_since_ms = self.loop.now()
        if in_request != self.is_in_request:
            self.is_in_request = in_request
            self._arm(self.limits.request_timeout_ms if in_request else self.limits.idle_timeout_ms)

    def _arm(self, delay_ms: float) -> None:
        self.stop()
        self.timer = self.loop.call_in(delay_ms, self._check_timeout)

    def _check_timeout(self) -> None:
        timeout_ms = self.limits.request_timeout_ms if self.is_in_request else self.limits.idle_timeout_ms
        remaining_ms = self.waiting_since_ms + timeout_ms - self.loop.now()
        if remaining_ms > 1.0:
            self._arm(remaining_ms)
        else:
            self.stream.close("request too slow" if self.is_in_request else "idle")

    def stop(self) -> None:
        """Cancels the timer."""
        if self.timer is not None:
            self.timer.cancel()


def parse_failure(error: m.MessageError) -> HttpError:
    """Returns the error for a body that is no valid call."""
    return HttpError(400, f"Failed to parse body into Call: {error}")


def json_call(request: Request, target: str, kind: type[m.T]) -> m.T:
    """Decodes the call in a request after the checks that all APIs share.

    Raises HttpError with the status codes that Mesos documents.
    """
    if request.target.split("?")[0] != target:
        raise HttpError(404, f"{request.target[:80]}: no such resource; expected {target}")
    if request.method != "POST":
        raise HttpError(405, f"{request.method[:20]}: expected POST")
    content = request.headers.get("content-type", "").split(";")[0].strip().lower()
    if content != "application/json":
        raise HttpError(415, f"Content-Type is {content[:40]!r}; expected application/json")
    accept = request.headers.get("accept", "*/*")
    if "application/json" not in accept and "*/*" not in accept and "application/*" not in accept:
        raise HttpError(406, f"Accept is {accept[:40]!r}; expected application/json")
    try:
        return m.decode(kind, request.body)
    except m.MessageError as error:
        raise parse_failure(error) from None


def require_field(field: m.T | None, name: str) -> m.T:
    """Returns the field of a call. Raises HttpError if it is missing."""
    if field is None:
        raise HttpError(400, f"Expecting '{name}' to be present")
    return field

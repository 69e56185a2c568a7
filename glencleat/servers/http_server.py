"""An HTTP/1.1 server on the kernel's streams: one task a connection, handlers by target.

A handler gets a Request and answers with a Response, or takes the connection over for a stream of records
(`RecordLink`). Every wait for a peer has a limit: idle connections, requests that come too slowly, responses
that are not read."""

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

LINGER_MS, LINGER_BYTES = 1_000.0, 4 << 20  # that a peer at fault may still send


@dataclass(frozen=True, slots=True)
class ServerLimits:
    max_connections: int = 10_000
    max_body_bytes: int = 1 << 20  # bytes
    max_unsent_bytes: int = 1 << 20  # bytes that a slow reader may leave
    request_timeout_ms: float = 10_000.0  # from a request's first byte to its last
    idle_timeout_ms: float = 60_000.0  # between requests


class RecordLink:
    """A subscribed session: a chunked response that carries RecordIO. The core's Link."""

    def __init__(self, connection: ServerConnection, stream: Stream) -> None:
        self.connection, self.stream = connection, stream
        self.on_end: Callable[[str], None] = lambda why: None
        self.heartbeat_timer: Timer | None = None

    def send(self, record: bytes) -> tuple[int, int]:
        begin = self.stream.queued_bytes
        if self.stream.close_reason is not None:
            return begin, begin + 1
        framed = self.connection.chunk(recordio.encode(record))
        with contextlib.suppress(StreamClosedError):  # its close_callbacks tell whom it concerns
            self.stream.send(framed)
        return begin, begin + len(framed) - 2  # the chunk's own line end comes after the record's last byte

    def written_bytes(self) -> int:
        return self.stream.written_bytes

    def close(self, why: str) -> None:
        """Ends the response, as far as the socket takes it, and the connection."""
        if self.stream.close_reason is None:
            try:
                self.stream.send(self.connection.end_stream())
            except StreamClosedError:
                return
            self.stream.close(why)


@dataclass(slots=True)
class SessionResponse:
    """A handler's answer that turns the connection into a session."""

    headers: dict[str, str]
    open_session: Callable[[RecordLink], Callable[[str], None]]  # gives what is called at the session's end
    heartbeat: bytes
    heartbeat_interval_ms: float


class Sink:
    """A chunked response that a coroutine of the handler's fills at the reader's pace."""

    def __init__(self, connection: ServerConnection, stream: Stream) -> None:
        self.connection, self.stream = connection, stream

    @property
    def is_closed(self) -> bool:
        return self.stream.close_reason is not None

    def on_close(self, call: Callable[[], None]) -> None:
        self.stream.close_callbacks.append(lambda _: call())

    def send(self, data: bytes) -> Coroutine:
        """Hands over a piece at once; what it gives waits until the socket has taken it. Raises
        StreamClosed."""
        self.stream.send(self.connection.chunk(data))
        return self.stream.flush()

    def send_last(self, data: bytes, why: str, within_ms: float) -> Coroutine:
        """A last piece, as far as the reader takes it in time; then the connection ends."""
        loop = self.stream.loop
        timer = loop.call_in(within_ms, lambda: self.stream.close(why))
        try:
            self.stream.send(self.connection.chunk(data) + self.connection.end_stream())
            yield from self.stream.flush()
        finally:
            timer.cancel()
            self.stream.close(why)


@dataclass(slots=True)
class StreamResponse:
    """A handler's answer that is a stream without an end of its own; `write_body` runs until it is over."""

    content_type: str
    write_body: Callable[[Sink], Coroutine]
    abort: Callable[[], None]  # called instead of `write_body` where the stream can't begin


Handler = Callable[[Request], Response | SessionResponse | StreamResponse]


def plain_response(error: HttpError) -> Response:
    return Response(error.status, (error.text + "\n").encode())


class RequestIntake(Protocol):
    """Decides how many requests there is time for; `rest.overload` has one."""

    def allowed_count(self, now: float, idle_ms: float) -> int: ...
    def record_cost(self, ms: float) -> None: ...
    def is_overloaded(self, waiting: int) -> bool: ...


class RequestThrottle:
    """Lets requests be read in the order in which their bytes came, when there is time for them."""

    def __init__(self, loop: Loop, intake: RequestIntake) -> None:
        self.loop, self.intake = loop, intake
        self.waiting_tasks: dict[LoopTask, None] = {}
        self.is_look_scheduled = False

    def allowed_count(self) -> int:
        return self.intake.allowed_count(self.loop.now(), self.loop.poller.idle_ms)

    def wait_turn(self) -> Coroutine:
        """Waits for a turn; gives False, at once, where that would take too long."""
        if not self.waiting_tasks and self.allowed_count():
            return True
        if self.intake.is_overloaded(len(self.waiting_tasks)):
            return False

        def arm(task: LoopTask) -> Callable[[], None]:
            self.waiting_tasks[task] = None
            self._look_soon()

            def disarm() -> None:
                self.waiting_tasks.pop(task, None)

            return disarm

        yield arm
        return True

    def _look_soon(self) -> None:
        if not self.is_look_scheduled:
            self.is_look_scheduled = True
            self.loop.call_in(0.0, self._look)

    def _look(self) -> None:
        self.is_look_scheduled = False
        for task in list(islice(self.waiting_tasks, self.allowed_count())):
            del self.waiting_tasks[task]
            self.loop.wake(task)
        if self.waiting_tasks:
            self._look_soon()


# What a crowd is told without its request being read: the rest would cost more than the answer.
BUSY = (
    b"HTTP/1.1 503 \r\nretry-after: 1\r\nconnection: close\r\ncontent-type: application/problem+json\r\n"
    b"content-length: %d\r\n\r\n%b"
)
BUSY_BODY = b'{"title":"Not now","status":503,"detail":"too many requests wait","retryAfterMs":1000}'


class Server:
    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        handler: Handler,
        limits: ServerLimits,
        log: Callable[..., None] = lambda event, **more: None,
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
        self.connections_without_request: dict[
            Stream, None
        ] = {}  # connections that have not made a whole request, oldest first
        self.listener = Listener(
            loop,
            address,
            self._accept,
            limits.max_connections,
            limits.max_unsent_bytes,
            self._dropped,
            self._make_room,
        )

    @property
    def address(self) -> tuple[str, int]:
        return self.listener.address

    def _dropped(self, why: str) -> None:
        self.refused_count += 1
        if (
            self.refused_count & (self.refused_count - 1) == 0
        ):  # 1, 2, 4, 8 ...: a storm must not fill the log
            self.log("connection refused", why=why, so_far=self.refused_count)

    def _make_room(self) -> bool:
        """Full: the oldest connection that has not yet made a request goes.

        A crowd that only connects must not keep out the calls of owners and agents that are subscribed."""
        oldest = next(iter(self.connections_without_request), None)
        if oldest is None:
            return False
        self._dropped("made room for a newcomer")
        oldest.close("made room for a newcomer")
        return True

    def _accept(self, stream: Stream) -> None:
        self.connections_without_request[stream] = None

        def forget(_: str) -> None:
            self.connections_without_request.pop(stream, None)

        stream.close_callbacks.append(forget)
        self.loop.spawn(self._serve(stream), "connection")

    def _serve(self, stream: Stream) -> Coroutine:
        connection = ServerConnection(self.limits.max_body_bytes)
        clock = PeerTimeout(self.loop, stream, self.limits)
        try:
            while stream.close_reason is None:
                clock.start_wait(connection.has_partial_request())
                data = yield from stream.read()
                if self.throttle is not None and not (yield from self.throttle.wait_turn()):
                    self._dropped("too many requests wait to be read")
                    stream.send(BUSY % (len(BUSY_BODY), BUSY_BODY))
                    yield from self._linger(stream)
                    return
                began = self.loop.now()
                requests = connection.feed(data)
                if requests:
                    self.connections_without_request.pop(stream, None)
                while requests:
                    link = yield from self._answer(connection, stream, requests[0], clock, began)
                    if link is not None:
                        clock.stop()
                        yield from self._hold(stream)
                        return
                    if self.throttle is not None and connection.has_partial_request():
                        yield from self.throttle.wait_turn()  # what came behind it takes a turn of its own
                    began = self.loop.now()
                    requests = requests[1:] or connection.parse_pipelined()
                if data == b"" or connection.must_close():
                    break
        except HttpError as error:
            self._complain(connection, stream, error)
            yield from self._linger(stream)
        except StreamClosedError:
            pass
        finally:
            clock.stop()
            stream.close("done")

    def _linger(self, stream: Stream) -> Coroutine:
        """Reads on for a little after a last response: a close with bytes unread resets the connection, and
        the peer would lose the response that says what was wrong (RFC 9112, 9.6)."""
        timer = self.loop.call_in(LINGER_MS, lambda: stream.close("done"))
        try:
            yield from stream.flush()
            stream.shutdown_write()
            left = LINGER_BYTES
            while left > 0 and stream.close_reason is None:
                data = yield from stream.read()
                left -= len(data) or left
        except StreamClosedError:
            pass
        finally:
            timer.cancel()

    def _complain(self, connection: ServerConnection, stream: Stream, error: HttpError) -> None:
        self.log("bad request", status=error.status, why=error.text[:200])
        with contextlib.suppress(StreamClosedError):
            stream.send(connection.refuse(error, self.error_response(error)))

    def _answer(
        self,
        connection: ServerConnection,
        stream: Stream,
        request: Request,
        clock: PeerTimeout,
        began: float,
    ) -> Coroutine:
        request.connection = stream
        try:
            told = self.handler(request)
        except HttpError as error:
            told = self.error_response(error)
        if isinstance(told, Response):
            stream.send(connection.encode_response(told))
            if self.throttle is not None:
                self.throttle.intake.record_cost(self.loop.now() - began)
            if stream.send_buffer:
                clock.start_wait(True)  # the response, too, is to be taken in that time
                yield from stream.flush()
            if told.read_pause_ms:
                yield from self.loop.sleep(told.read_pause_ms)
            return None
        if isinstance(told, StreamResponse):
            clock.stop()
            try:
                stream.send(connection.open_stream({}, told.content_type))
            except (HttpError, StreamClosedError):
                told.abort()
                raise
            self.loop.spawn(self._hold(stream), "watch", self.loop.current_task)
            yield from told.write_body(Sink(connection, stream))
            return None
        stream.send(connection.open_stream(told.headers))
        return self._subscribe(connection, stream, told)

    def _subscribe(self, connection: ServerConnection, stream: Stream, told: SessionResponse) -> RecordLink:
        link = RecordLink(connection, stream)

        def beat() -> None:
            if stream.close_reason is None:
                link.send(told.heartbeat)
                link.heartbeat_timer = self.loop.call_in(told.heartbeat_interval_ms, beat)

        link.heartbeat_timer = self.loop.call_in(told.heartbeat_interval_ms, beat)

        def closed(why: str) -> None:
            if link.heartbeat_timer is not None:
                link.heartbeat_timer.cancel()
            link.on_end(why)

        stream.close_callbacks.append(closed)
        link.on_end = told.open_session(link)
        if stream.close_reason is not None:  # it was cut off while it began
            link.on_end(stream.close_reason)
        return link

    @staticmethod
    def _hold(stream: Stream) -> Coroutine:
        """The session's read side: its peer sends nothing more, an end means that it is gone."""
        try:
            while True:
                data = yield from stream.read(4096)
                if data == b"":
                    stream.close("peer closed")
                    return
        except StreamClosedError:
            return

    def close(self) -> None:
        """Stops listening; open connections stay."""
        self.listener.close()


class PeerTimeout:
    """How long a peer may take with a request, or stay idle; one timer a connection, set anew only when due.

    Dripping a byte now and then does not help a slow sender: the limit runs from the request's first byte."""

    def __init__(self, loop: Loop, stream: Stream, limits: ServerLimits) -> None:
        self.loop, self.stream, self.limits = loop, stream, limits
        self.is_in_request, self.waiting_since_ms = False, loop.now()
        self.timer: Timer | None = None
        self._arm(limits.idle_timeout_ms)

    def start_wait(self, busy: bool) -> None:
        """Called as often as the peer is waited for; `busy`: it has begun something and not ended it."""
        if busy and self.is_in_request:
            return
        self.waiting_since_ms = self.loop.now()
        if busy != self.is_in_request:
            self.is_in_request = busy
            self._arm(self.limits.request_timeout_ms if busy else self.limits.idle_timeout_ms)

    def _arm(self, in_ms: float) -> None:
        self.stop()
        self.timer = self.loop.call_in(in_ms, self._due)

    def _due(self) -> None:
        limit = self.limits.request_timeout_ms if self.is_in_request else self.limits.idle_timeout_ms
        left = self.waiting_since_ms + limit - self.loop.now()
        if left > 1.0:
            self._arm(left)
        else:
            self.stream.close("request too slow" if self.is_in_request else "idle")

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


def parse_failure(error: m.MessageError) -> HttpError:
    return HttpError(400, f"Failed to parse body into Call: {error}")


def json_call(request: Request, target: str, kind: type[m.T]) -> m.T:
    """The call, after the checks that all APIs share; raises HttpError with the published statuses."""
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


def require_field(part: m.T | None, name: str) -> m.T:
    if part is None:
        raise HttpError(400, f"Expecting '{name}' to be present")
    return part

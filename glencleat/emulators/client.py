"""A client of the v1 API for stand-ins: one connection that subscribes, one that makes calls in turn."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Generic, Protocol, TypeVar

from glencleat.event_loop import Loop, LoopTask, Stream, StreamClosedError, connect
from glencleat.event_loop.loop import Coroutine
from glencleat.mesos.http import ClientConnection, HttpError, ResponseEnd, ResponseHead
from glencleat.mesos.messages import MessageError
from glencleat.mesos.recordio import RecordDecoder, RecordError

JSON_HEADERS = {"content-type": "application/json", "accept": "application/json"}
CONNECT_TIMEOUT_MS = 2_000.0
Address = tuple[str, int]


class RequestRejectedError(Exception):
    """A call was answered with another status than expected."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(f"{status}: {text}")
        self.status = status


class StreamDecoder(Protocol):
    """Bytes in, whole records out."""

    def feed(self, data: bytes) -> list[bytes]: ...


class LineDecoder:
    """Records that end with a line end."""

    def __init__(self) -> None:
        self.partial_line = b""

    def feed(self, data: bytes) -> list[bytes]:
        *whole, self.partial_line = (self.partial_line + data).split(b"\n")
        return whole


class Subscription:
    """A stream of records; `open` subscribes, `read_records` gives what has come, [] at its end."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        target: str,
        method: str = "POST",
        decoder: StreamDecoder | None = None,
    ) -> None:
        self.loop, self.address, self.target, self.method = loop, address, target, method
        self.http = ClientConnection()
        self.decoder: StreamDecoder = decoder or RecordDecoder(64 << 20)
        self.stream: Stream | None = None
        self.headers: dict[str, str] = {}
        self.pending_records: list[bytes] = []

    def open(self, body: bytes) -> Coroutine:
        """Raises StreamClosed or Rejected."""
        self.stream = yield from connect(self.loop, self.address, CONNECT_TIMEOUT_MS)
        self.stream.send(self.http.encode_request(self.method, self.target, "allocator", JSON_HEADERS, body))
        status, text = 0, b""
        while True:
            data = yield from self.stream.read()
            for event in self.http.feed(data):
                if isinstance(event, ResponseHead):
                    status, self.headers = event.status, event.headers
                elif isinstance(event, bytes):
                    if status == 200:
                        self.pending_records += self.decoder.feed(event)
                    text += event
                elif status != 200:
                    raise RequestRejectedError(status, text.decode(errors="replace"))
            if status == 200:
                return
            if data == b"":
                raise StreamClosedError("the allocator closed the connection")

    def read_records(self) -> Coroutine:
        if self.pending_records:
            early, self.pending_records = self.pending_records, []
            return early
        found: list[bytes] = []
        while not found:
            if self.stream is None:
                return []
            try:
                data = yield from self.stream.read()
            except StreamClosedError:
                return []
            try:
                for event in self.http.feed(data):
                    if isinstance(event, bytes):
                        found += self.decoder.feed(event)
                    elif isinstance(event, ResponseEnd):
                        return found
            except HttpError:
                return found  # cut off in the middle of a chunk
            if data == b"":
                return found
        return found

    def close(self) -> None:
        if self.stream is not None:
            self.stream.close("closed")


@dataclass(slots=True, eq=False)
class HttpAnswer:
    status: int = 0  # 0: none came
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


Item = TypeVar("Item")


class RequestQueue(Generic[Item]):
    """What waits to be sent, one after the other on a kept connection; a subclass says what an item is."""

    def __init__(self, loop: Loop, address: Address, name: str) -> None:
        self.loop, self.address = loop, address
        self.queue: deque[Item] = deque()
        self.stream: Stream | None = None
        self.http = ClientConnection()
        self.waiting_task: LoopTask | None = None
        self.is_closed = False
        self.task = loop.spawn(self._run(), name)

    def put(self, item: Item) -> None:
        self.queue.append(item)
        if self.waiting_task is not None:
            task, self.waiting_task = self.waiting_task, None
            self.loop.wake(task)

    def _arm(self, task: LoopTask) -> Callable[[], None]:
        self.waiting_task = task

        def disarm() -> None:
            self.waiting_task = None

        return disarm

    def _run(self) -> Coroutine:
        while not self.is_closed:
            if self.queue:
                yield from self._send(self.queue.popleft())
            else:
                yield self._arm

    def _send(self, item: Item) -> Coroutine:
        raise NotImplementedError

    def exchange(
        self, method: str, target: str, headers: dict[str, str], body: bytes, wrote: Callable[[], None]
    ) -> Coroutine:
        """One request and its Answer, or None where none came; `wrote` is called when its bytes are handed to
        the socket."""
        try:
            if self.stream is None or self.stream.close_reason is not None:
                self.http = ClientConnection()
                self.stream = yield from connect(self.loop, self.address, CONNECT_TIMEOUT_MS)
            if self.is_closed:
                return None
            self.stream.send(self.http.encode_request(method, target, "allocator", headers, body))
            wrote()
            answer = HttpAnswer()
            while True:
                data = yield from self.stream.read()
                for event in self.http.feed(data):
                    if isinstance(event, ResponseHead):
                        answer.status, answer.headers = event.status, event.headers
                    elif isinstance(event, bytes):
                        answer.body += event
                    elif isinstance(event, ResponseEnd):
                        return answer
                if data == b"":
                    raise StreamClosedError("the allocator closed the connection")
        except (StreamClosedError, HttpError):
            self.disconnect()
            return None

    def disconnect(self) -> None:
        """Ends the connection; what comes next makes a new one."""
        if self.stream is not None:
            self.stream.close("dropped")
            self.stream = None

    def close(self) -> None:
        self.is_closed = True
        self.queue.clear()
        self.loop.cancel(self.task)
        self.disconnect()


class CallQueue(RequestQueue[tuple[bytes, dict[str, str], Callable[[], None]]]):
    """Calls of the v1 API; each is sent once.

    A call whose answer did not come is not repeated: what it said is kept by its sender until
    acknowledged."""

    def __init__(self, loop: Loop, address: Address, target: str, rejected: Callable[[int], None]) -> None:
        self.target, self.on_rejected = target, rejected
        super().__init__(loop, address, "calls")

    def send(
        self, body: bytes, headers: dict[str, str] | None = None, wrote: Callable[[], None] | None = None
    ) -> None:
        """Queues a call; `wrote` is called when its bytes are handed to the socket."""
        self.put((body, JSON_HEADERS | (headers or {}), wrote or (lambda: None)))

    def _send(self, item: tuple[bytes, dict[str, str], Callable[[], None]]) -> Coroutine:
        body, headers, wrote = item
        answer = yield from self.exchange("POST", self.target, headers, body, wrote)
        if answer is not None and answer.status >= 300:
            self.on_rejected(answer.status)


class ReconnectingSession:
    """A session over reconnects: subscribes, follows the stream to its end, waits ever longer, begins again.

    A subclass says what it sends (`subscribe_body`), how it follows a stream (`read_events`), what it forgets
    (`on_disconnected`)."""

    def __init__(
        self,
        loop: Loop,
        random: Random,
        address: Address,
        target: str,
        name: str,
        again_ms: tuple[float, float],
    ) -> None:
        self.loop, self.random, self.address, self.target = loop, random, address, target
        self.backoff_ms = again_ms  # between two tries: the first wait, the longest
        self.active_subscription: Subscription | None = None
        self.calls: CallQueue | None = None
        self.task: LoopTask = loop.spawn(self._run(), name)

    def make_subscription(self) -> Subscription:
        return Subscription(self.loop, self.address, self.target)

    def subscribe_body(self) -> bytes:
        raise NotImplementedError

    def read_events(self, stream: Subscription) -> Coroutine:
        """Reads the stream until it ends, or until this session shall."""
        raise NotImplementedError

    def on_disconnected(self) -> None:
        """The session ended."""

    def on_rejected(self, status: int) -> None:
        """It was not taken."""

    def _run(self) -> Coroutine:
        shortest, longest = self.backoff_ms
        wait = shortest
        while True:
            self.active_subscription = self.make_subscription()
            try:
                yield from self.active_subscription.open(self.subscribe_body())
                wait = shortest
                yield from self.read_events(self.active_subscription)
            except RequestRejectedError as error:
                self.on_rejected(error.status)
            except (StreamClosedError, HttpError, RecordError, MessageError):
                pass
            finally:
                self._gone()
            yield from self.loop.sleep(wait * self.random.uniform(0.8, 1.2))
            wait = min(longest, 2.0 * wait)

    def _gone(self) -> None:
        self.on_disconnected()
        if self.active_subscription is not None:
            self.active_subscription.close()
        if self.calls is not None:
            self.calls.close()
            self.calls = None

    def close(self) -> None:
        self.loop.cancel(self.task)
        self._gone()

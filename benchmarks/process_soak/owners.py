"""Owners of the soak: clients that keep their connections to an allocator and use them until it is killed.

They know of a task what allocators told them, and nothing of hosts: at a hand-over they name every task that was
placed and not released, to the same allocator once it has started again or to another one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from glencleat.event_loop import ConnectError, Loop, Stream, StreamClosedError, connect
from glencleat.event_loop.loop import Coroutine
from glencleat.platform_protocol import messages as m

CONNECT_TIMEOUT_MS = 1_000.0
CROSSED_CLOSE_MS = 50.0
"""A set-up that crosses the close of its connection within this time may be sent again, by the page."""


@dataclass(frozen=True, slots=True)
class HandOver:
    """A placed task was named to an allocator, by a set-up with `at`."""

    allocator: int
    at_ms: float


@dataclass(slots=True, eq=False)
class Request:
    """A set-up and what its owner received for it, with times of the soak's loop."""

    task_id: int
    allocator: int
    is_unsafe: bool
    wait_ms: float
    sent_at_ms: float
    answers: list[tuple[float, int]] = field(default_factory=list)  # when; the kind or the cause
    placed_on: str = ""
    releases_at_ms: list[float] = field(default_factory=list)  # after the placement; a move counts as one
    closed_at_ms: float | None = None  # its connection ended before an answer
    hand_overs: list[HandOver] = field(default_factory=list)

    @property
    def is_placed(self) -> bool:
        """Whether it was answered by a placement."""
        return bool(self.placed_on)

    @property
    def holder(self) -> int:
        """The allocator that is to release it."""
        return self.hand_overs[-1].allocator if self.hand_overs else self.allocator


class OwnerConnection:
    """One connection to an allocator."""

    def __init__(self, owners: Owners, allocator: int, address: tuple[str, int]) -> None:
        """Connects at once."""
        self.owners, self.allocator = owners, allocator
        self.stream: Stream | None = None
        self.has_ended = False
        self.open_requests: dict[int, Request] = {}
        owners.loop.spawn(self._run(address), "owner")

    @property
    def is_open(self) -> bool:
        """Whether a set-up can be sent on it."""
        return self.stream is not None and not self.has_ended

    def _run(self, address: tuple[str, int]) -> Coroutine:
        decoder = m.MessageDecoder()
        try:
            self.stream = yield from connect(self.owners.loop, address, CONNECT_TIMEOUT_MS)
            self.owners.on_connected(self)
            while data := (yield from self.stream.read()):
                decoder.feed(data)
                for message in decoder.messages():
                    self.owners.on_message(self, message)
        except (ConnectError, StreamClosedError):
            pass
        finally:
            self.has_ended = True
            if self.stream is not None:
                self.stream.close("it ended")
            for request in self.open_requests.values():
                request.closed_at_ms = self.owners.loop.now()
            self.owners.connections.discard(self)


class Owners:
    """All owners of all allocators. Set-ups have ever new ids; every one is kept for the verdict."""

    def __init__(self, loop: Loop, random: Random) -> None:
        """Starts without connections."""
        self.loop, self.random = loop, random
        self.connections: set[OwnerConnection] = set()
        self.requests_by_id: dict[int, Request] = {}
        # By allocator: tasks that are to be named on its next connection.
        self.waiting_by_allocator: dict[int, list[Request]] = {}

    def connect(self, allocator: int, address: tuple[str, int]) -> None:
        """Opens a further connection."""
        self.connections.add(OwnerConnection(self, allocator, address))

    def list_open(self, allocator: int) -> list[OwnerConnection]:
        """Returns the open connections to an allocator."""
        found = [other for other in self.connections if other.allocator == allocator and other.is_open]
        return sorted(found, key=lambda other: other.stream.fd if other.stream is not None else 0)

    def request(self, allocator: int, wait_ms: float, *, is_unsafe: bool) -> None:
        """Sends a set-up on an open connection; nothing without one."""
        connections = self.list_open(allocator)
        if not connections:
            return
        connection = self.random.choice(connections)
        task_id = len(self.requests_by_id) + 1
        request = Request(task_id, allocator, is_unsafe, wait_ms, self.loop.now())
        self.requests_by_id[task_id] = request
        connection.open_requests[task_id] = request
        assert connection.stream is not None
        connection.stream.try_send(self._encode(request))

    def list_held(self, allocator: int) -> list[Request]:
        """Returns the requests whose tasks the allocator holds, as far as their owners know."""
        return [
            request
            for request in self.requests_by_id.values()
            if request.is_placed and request.holder == allocator and not request.releases_at_ms
        ]

    def hand_over(self, held: list[Request], allocator: int) -> None:
        """Names tasks to an allocator, at once or on the next connection to it."""
        self.waiting_by_allocator.setdefault(allocator, []).extend(held)
        connections = self.list_open(allocator)
        if connections:
            self.on_connected(self.random.choice(connections))

    def on_connected(self, connection: OwnerConnection) -> None:
        """Names the tasks that wait for a connection to its allocator."""
        assert connection.stream is not None
        for request in self.waiting_by_allocator.pop(connection.allocator, ()):
            if not request.releases_at_ms:
                request.hand_overs.append(HandOver(connection.allocator, self.loop.now()))
                connection.stream.try_send(self._encode(request, at=request.placed_on))

    def on_message(self, connection: OwnerConnection, message: m.PlatformMessage) -> None:
        """Records an answer or a release."""
        request = self.requests_by_id.get(message.task_id)
        if request is None or message.kind not in (m.ANSWER, m.RELEASE, m.MIGRATE):
            return
        is_open = connection.open_requests.pop(message.task_id, None) is not None
        if message.kind != m.ANSWER and request.is_placed:
            request.releases_at_ms.append(self.loop.now())
            return
        request.answers.append((self.loop.now(), m.ANSWER if message.kind == m.ANSWER else message.cause))
        if message.kind == m.ANSWER and is_open:
            request.placed_on = message.parameters[m.DESCRIPTION].decode()

    def close(self) -> None:
        """Closes all connections."""
        for connection in list(self.connections):
            if connection.stream is not None:
                connection.stream.close("the soak is over")

    @staticmethod
    def _encode(request: Request, at: str = "") -> bytes:
        extras = b"cores:0.25;memory:0.25;service:web" + (f";at:{at}".encode() if at else b"")
        parameters = {m.CLASS: b"unsafe" if request.is_unsafe else b"safe", m.NAME: b"t%d" % request.task_id}
        if not at:
            parameters[m.TIMEOUT] = b"%d" % request.wait_ms
        return m.encode(m.SETUP, request.task_id, {**parameters, m.EXTRAS: extras, m.DESCRIPTION: b"d"})

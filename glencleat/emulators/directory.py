"""The directory stand-in: the machine list by the Operator API, seconds late, and failing when told to."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from glencleat.checker.trace import TraceRecorder
from glencleat.event_loop import Listener, Loop, Stream, StreamClosedError
from glencleat.event_loop.loop import Coroutine
from glencleat.mesos import messages as m
from glencleat.mesos.http import HttpError, Response, ServerConnection
from glencleat.mesos.recordio import encode

TARGET = "/api/v1"
HEARTBEAT_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """What the directory knows of a host."""

    name: str
    kind: str
    zone: str
    cell: int
    cores: float
    memory: float
    is_draining: bool = False
    started_wall_ms: float = 0.0
    allocated: tuple[float, float] = (0.0, 0.0)

    def to_agent(self) -> m.Agent:
        domain = m.DomainInfo(m.FaultDomain(m.NamedPart("campus"), m.NamedPart(self.zone)))
        attributes = [
            m.Attribute("kind", text=m.Text(self.kind)),
            m.Attribute("cell", "SCALAR", scalar=m.Scalar(self.cell)),
        ]
        total = m.make_resources(self.cores, self.memory)
        info = m.AgentInfo(self.name, m.Value(self.name), total, attributes, domain)
        return m.Agent(
            info,
            registered_time=m.TimeInfo(int(self.started_wall_ms * 1e6)) if self.started_wall_ms else None,
            total_resources=total,
            allocated_resources=m.make_resources(*self.allocated),
            drain_info=m.DrainInfo("DRAINING") if self.is_draining else None,
        )


class Watcher:
    """One subscription; `allocator` is who asked, told by the port that its connection comes from or not at
    all."""

    def __init__(self, stream: Stream, connection: ServerConnection, allocator: str) -> None:
        self.stream, self.connection, self.allocator = stream, connection, allocator

    def send(self, event: m.OperatorEvent) -> bool:
        try:
            self.stream.send(self.connection.chunk(encode(m.encode(event))))
        except StreamClosedError:
            return False
        return True


class Directory:
    """`look` gives the hosts as they are; watchers are told what changed, `late_ms` later."""

    def __init__(
        self,
        loop: Loop,
        recorder: TraceRecorder,
        look: Callable[[], list[DirectoryEntry]],
        late_ms: float,
        every_ms: float = 500.0,
        retry_after_ms: float = 0.0,
    ) -> None:
        self.loop, self.recorder, self.list_hosts, self.delay_ms = loop, recorder, look, late_ms
        self.poll_interval_ms = every_ms
        self.failure_headers = {"retry-after": f"{math.ceil(retry_after_ms / 1e3)}"} if retry_after_ms else {}
        self.is_failing = False
        self.is_list_empty = False  # tells that there are no hosts at all
        self.published_entries: dict[str, DirectoryEntry] = {}
        self.published_names: dict[str, None] = {}  # names that were shown at any time
        self.watchers: list[Watcher] = []
        self.listeners: dict[str, Listener] = {}

    def start(self) -> None:
        """The hosts are up: shows them, also to those that subscribed before, and looks after them."""
        self._show({entry.name: entry for entry in self.list_hosts()})
        self.loop.call_in(self.poll_interval_ms, self._look)
        self.loop.call_in(HEARTBEAT_MS, self._beat)

    def listen(self, allocator: str, address: tuple[str, int] = ("127.0.0.1", 0)) -> tuple[str, int]:
        """An address of its own for each allocator, so that the record can say who was told."""
        listener = Listener(
            self.loop, address, lambda stream: self._accept(stream, allocator), max_unsent_bytes=16 << 20
        )
        self.listeners[allocator] = listener
        return listener.address

    def _accept(self, stream: Stream, allocator: str) -> None:
        self.loop.spawn(self._serve(stream, allocator), "directory connection")

    def _serve(self, stream: Stream, allocator: str) -> Coroutine:
        connection, watcher = ServerConnection(), None
        try:
            while True:
                data = yield from stream.read()
                for request in connection.feed(data):
                    watcher = (
                        self._request(stream, connection, request.target, request.body, allocator) or watcher
                    )
                if data == b"":
                    return
        except (StreamClosedError, HttpError):
            return
        finally:
            if watcher in self.watchers:
                self.watchers.remove(watcher)
            stream.close("done")

    def _request(
        self, stream: Stream, connection: ServerConnection, target: str, body: bytes, allocator: str
    ) -> Watcher | None:
        if self.is_failing:
            stream.send(
                connection.encode_response(
                    Response(503, b"the directory fails\n", headers=self.failure_headers)
                )
            )
            return None
        if target != TARGET:
            stream.send(connection.encode_response(Response(404)))
            return None
        try:
            call = m.decode(m.OperatorCall, body)
        except m.MessageError as error:
            stream.send(connection.encode_response(Response(400, str(error).encode())))
            return None
        agents = m.GetAgents([entry.to_agent() for entry in self.visible_entries().values()])
        if call.type == "GET_AGENTS":
            told = m.encode(m.OperatorEvent("GET_AGENTS", get_agents=agents))
            stream.send(connection.encode_response(Response(200, told, "application/json")))
            return None
        watcher = Watcher(stream, connection, allocator)
        stream.send(connection.open_stream({}))
        state = m.SubscribedOperator(m.GetState(agents), HEARTBEAT_MS / 1000.0)
        watcher.send(m.OperatorEvent("SUBSCRIBED", subscribed=state))
        for entry in self.visible_entries().values():
            self._told(watcher, entry)
        for name in self.published_names:
            if name not in self.visible_entries():  # a whole list tells what is not there, too
                self.recorder.add("told", who=name, allocator=allocator, state="gone")
        self.watchers.append(watcher)
        return watcher

    def visible_entries(self) -> dict[str, DirectoryEntry]:
        return {} if self.is_list_empty else self.published_entries

    def _told(self, watcher: Watcher, entry: DirectoryEntry) -> None:
        state = "draining" if entry.is_draining else "serving"
        self.recorder.add("told", who=entry.name, allocator=watcher.allocator, state=state)

    def _look(self) -> None:
        self.loop.call_in(self.poll_interval_ms, self._look)
        seen = {entry.name: entry for entry in self.list_hosts()}
        self.loop.call_in(self.delay_ms, lambda: self._show(seen))

    def _show(self, seen: dict[str, DirectoryEntry]) -> None:
        before, self.published_entries = self.published_entries, seen
        self.published_names.update(dict.fromkeys(seen))
        if self.is_list_empty:
            return
        changed = [entry for name, entry in seen.items() if before.get(name) != entry]
        gone = [name for name in before if name not in seen]
        for watcher in list(self.watchers):
            for entry in changed:
                if watcher.send(m.OperatorEvent("AGENT_ADDED", agent_added=m.AgentAdded(entry.to_agent()))):
                    self._told(watcher, entry)
            for name in gone:
                removed = m.AgentRemoved(m.Value(name))
                if watcher.send(m.OperatorEvent("AGENT_REMOVED", agent_removed=removed)):
                    self.recorder.add("told", who=name, allocator=watcher.allocator, state="gone")

    def _beat(self) -> None:
        self.loop.call_in(HEARTBEAT_MS, self._beat)
        for watcher in list(self.watchers):
            watcher.send(m.OperatorEvent("HEARTBEAT"))

    def close(self) -> None:
        for listener in self.listeners.values():
            listener.close()
            for stream in list(listener.open_streams):
                stream.close("the directory ended")

    def fail(self) -> None:
        """Cuts all subscriptions and answers 503 until `recover`."""
        self.is_failing = True
        for watcher in list(self.watchers):
            watcher.stream.close("failing")

    def recover(self) -> None:
        self.is_failing = False

    def empty_list(self) -> None:
        """Tells every watcher that there is no host at all, as a wrong filter in a directory once did."""
        self.is_list_empty = True
        for watcher in list(self.watchers):
            for name in self.published_entries:
                removed = m.AgentRemoved(m.Value(name))
                if watcher.send(m.OperatorEvent("AGENT_REMOVED", agent_removed=removed)):
                    self.recorder.add("told", who=name, allocator=watcher.allocator, state="gone")

    def restore_list(self) -> None:
        self.is_list_empty = False
        for watcher in list(self.watchers):
            for entry in self.published_entries.values():
                if watcher.send(m.OperatorEvent("AGENT_ADDED", agent_added=m.AgentAdded(entry.to_agent()))):
                    self._told(watcher, entry)

"""A relay between two parties, known to neither: it passes bytes on as its wire lets it, and tells of them.

TCP and UDP on loopback, on the kernel's loop; what arrives when is `wire.py`'s. Many relays may share a
process. `on_event` hears of every connection and piece, so that what passed is known from between the parties
and not from their own account. A cut through a relay is one that swallows: connections come up at the relay,
as they would at a host whose process stands still, and say nothing."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from glencleat.emulators.proxy_faults import AcceptMode, DatagramFlow, Direction, FaultSchedule, Flow
from glencleat.event_loop import ConnectError, Listener, Loop, Stream, StreamClosedError, connect
from glencleat.event_loop.loop import READ, Coroutine

MAX_HELD_BYTES = 1 << 20  # bytes that one direction holds back before it stops reading
CHUNK_BYTES = 16_384
MAX_DATAGRAM_BYTES = 65_507
MAX_SENDERS = 4_096  # who send datagrams through one relay
CONNECT_TIMEOUT_MS = 5_000.0
RESET_LINGER = struct.pack("ii", 1, 0)  # linger for no time: a close is a reset


def reset_stream(stream: Stream, why: str) -> None:
    """Closes it as a machine that went: by a reset, with nothing more said."""
    if stream.close_reason is None:
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        stream.close(why)


@dataclass(frozen=True, slots=True)
class ProxyEvent:
    """What a relay saw: `kind` of opened, refused, piece, ended, reset, datagram, lost; `size` in bytes."""

    at_ms: float
    proxy_name: str
    kind: str
    number: int = 0  # of the connection, or of the sender
    direction: Direction = Direction.TO_TARGET
    size: int = 0


EventListener = Callable[[ProxyEvent], None]


class ProxiedConnection:
    """One connection through the relay: two streams, a flow each way."""

    def __init__(self, relay: Proxy, number: int, near: Stream, far: Stream) -> None:
        self.proxy, self.number, self.loop = relay, number, relay.loop
        self.streams_by_direction = {Direction.TO_TARGET: (near, far), Direction.FROM_TARGET: (far, near)}
        self.held_bytes = {Direction.TO_TARGET: 0, Direction.FROM_TARGET: 0}
        self.is_half_open = False  # its far side is gone, and the near one is not to hear of it
        for way in Direction:
            seed = f"{relay.seed} {relay.name} {number} {way.value}"
            flow = Flow(relay.fault_schedule, way, Random(seed))
            self.loop.spawn(self._pump(way, flow), f"relay {relay.name} {way.value}")

    def _pump(self, way: Direction, flow: Flow) -> Coroutine:
        source, sink = self.streams_by_direction[way]
        try:
            while data := (yield from source.read(CHUNK_BYTES)):
                self.proxy.report_event("piece", self.number, way, len(data))
                self._pass(way, flow, bytes(data))
                while self.held_bytes[way] > MAX_HELD_BYTES and source.close_reason is None:
                    yield from self.loop.sleep(10.0)
            self._later(flow, 0, lambda: self._ended(sink))
        except StreamClosedError:
            if not self.is_half_open:
                self._later(flow, 0, lambda: self.close(as_reset=True))

    def _pass(self, way: Direction, flow: Flow, data: bytes) -> None:
        sink = self.streams_by_direction[way][1]
        self.held_bytes[way] += len(data)

        def arrive() -> None:
            self.held_bytes[way] -= len(data)
            sink.try_send(data)

        self._later(flow, len(data), arrive)

    def _later(self, flow: Flow, size: int, call: Callable[[], None]) -> None:
        """What never arrives stays held: the other party is not told of it either."""
        at = flow.arrival_time(self.proxy.now(), size)
        if at is not None:
            self.loop.call_in(max(0.0, at - self.proxy.now()), call)

    def _ended(self, sink: Stream) -> None:
        """One side has said its last; the other may go on."""
        if sink.close_reason is None:
            sink.shutdown_write()
        if all(
            stream.close_reason is not None or not stream.send_buffer
            for stream, _ in self.streams_by_direction.values()
        ):
            self.proxy.report_event("ended", self.number)

    def close(self, as_reset: bool = False) -> None:
        """Both sides at once; with `as_reset` as a machine that went."""
        if self.proxy.connections.pop(self.number, None) is not None and as_reset:
            self.proxy.report_event("reset", self.number)
        for stream, _ in self.streams_by_direction.values():
            if as_reset:
                reset_stream(stream, "the relay ended it")
            else:
                stream.close("the relay ended it")

    def make_half_open(self) -> None:
        """The far party goes; the near one is not told, and what it sends goes nowhere."""
        near, far = self.streams_by_direction[Direction.TO_TARGET]
        self.is_half_open = True
        far.close("half-open")
        near.close_callbacks.append(lambda _: self.close())


class BaseProxy:
    """What relays of both kinds are: a name, a target, the weather and its clock, and who is told."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        target: tuple[str, int],
        weather: FaultSchedule,
        seed: int,
        told: EventListener,
        address: tuple[str, int] = ("127.0.0.1", 0),
        began_ms: float | None = None,
    ) -> None:
        self.loop, self.name, self.target, self.fault_schedule = loop, name, target, weather
        self.seed, self.on_event, self.address = seed, told, address
        self.started_at = loop.now() if began_ms is None else began_ms
        self._listen()

    def _listen(self) -> None:
        """Binds to `address`, and sets it to what was bound."""
        raise NotImplementedError

    def now(self) -> float:
        """Milliseconds since the play began: the weather's time."""
        return self.loop.now() - self.started_at

    def report_event(
        self, kind: str, number: int = 0, way: Direction = Direction.TO_TARGET, size: int = 0
    ) -> None:
        self.on_event(ProxyEvent(self.now(), self.name, kind, number, way, size))


class Proxy(BaseProxy):
    """TCP from its own address to `target`."""

    def _listen(self) -> None:
        self.connections: dict[int, ProxiedConnection] = {}
        self.silent_streams: set[Stream] = set()  # taken and never answered
        self.connection_count = self.opening_count = 0
        self.listener = Listener(self.loop, self.address, self._accepted)
        self.address = self.listener.address

    def _accepted(self, near: Stream) -> None:
        state = self.fault_schedule.state_at(self.now())
        self.connection_count += 1
        full = state.most and len(self.connections) + self.opening_count >= state.most
        if full or state.door is AcceptMode.REFUSE:
            self.report_event("refused", self.connection_count)
            near.close("the relay lets nobody in")
        elif state.door is AcceptMode.SILENT or Direction.TO_TARGET in state.cut:
            self.report_event("opened", self.connection_count)
            self.silent_streams.add(near)
            near.close_callbacks.append(lambda _: self.silent_streams.discard(near))
            self.loop.spawn(self._swallow(self.connection_count, near), f"relay {self.name}")
        else:
            self.opening_count += 1
            self.loop.spawn(self._open(self.connection_count, near), f"relay {self.name}")

    def _open(self, number: int, near: Stream) -> Coroutine:
        self.report_event("opened", number)
        try:
            far = yield from connect(self.loop, self.target, CONNECT_TIMEOUT_MS)
        except ConnectError:
            self.report_event("refused", number)
            near.close("its target is not there")
            return
        finally:
            self.opening_count -= 1
        self.connections[number] = pair = ProxiedConnection(self, number, near, far)
        for stream in (near, far):
            stream.close_callbacks.append(lambda _: self._over(pair))

    def _over(self, pair: ProxiedConnection) -> None:
        if all(stream.close_reason is not None for stream, _ in pair.streams_by_direction.values()):
            self.connections.pop(pair.number, None)

    def _swallow(self, number: int, near: Stream) -> Coroutine:
        try:
            while data := (yield from near.read(CHUNK_BYTES)):
                self.report_event("piece", number, Direction.TO_TARGET, len(data))
        except StreamClosedError:
            return
        near.close("it ended")

    def reset_connections(self) -> None:
        """Every connection that is open now."""
        for pair in list(self.connections.values()):
            pair.close(as_reset=True)

    def close(self) -> None:
        self.listener.close()
        for pair in list(self.connections.values()):
            pair.close()
        for stream in list(self.silent_streams):
            stream.close("the relay ended")


class DatagramProxy(BaseProxy):
    """UDP from its own address to `target`; each sender gets a socket, so that answers find back."""

    def _listen(self) -> None:
        seed = f"{self.seed} {self.name}"
        self.flows_by_direction = {
            way: DatagramFlow(self.fault_schedule, way, Random(f"{seed} {way.value}")) for way in Direction
        }
        self.senders: dict[tuple[str, int], tuple[int, socket.socket]] = {}
        self.sock = self._socket(self.address)
        self.address = self.sock.getsockname()
        self.loop.poller.watch(self.sock.fileno(), READ, lambda _: self._there())

    @staticmethod
    def _socket(address: tuple[str, int] = ("127.0.0.1", 0)) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(address)
        return sock

    def _there(self) -> None:
        while True:
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            if sender not in self.senders and len(self.senders) >= MAX_SENDERS:
                continue
            number, out = self.senders.get(sender) or self._new(sender)
            self._pass(Direction.TO_TARGET, number, data, out, self.target)

    def _new(self, sender: tuple[str, int]) -> tuple[int, socket.socket]:
        number, out = found = len(self.senders) + 1, self._socket()
        self.senders[sender] = found
        self.loop.poller.watch(out.fileno(), READ, lambda _: self._back(number, sender, out))
        return found

    def _back(self, number: int, sender: tuple[str, int], out: socket.socket) -> None:
        while True:
            try:
                data, _ = out.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self._pass(Direction.FROM_TARGET, number, data, self.sock, sender)

    def _pass(
        self, way: Direction, number: int, data: bytes, sock: socket.socket, to: tuple[str, int]
    ) -> None:
        now = self.now()
        times = self.flows_by_direction[way].arrival_times(now)
        self.report_event("datagram" if times else "lost", number, way, len(data))
        for at in times:
            self.loop.call_in(max(0.0, at - now), lambda: self._send(sock, data, to))

    @staticmethod
    def _send(sock: socket.socket, data: bytes, to: tuple[str, int]) -> None:
        try:
            sock.sendto(data, to)
        except OSError:
            return  # closed meanwhile, or a full buffer: lost, as datagrams are

    def close(self) -> None:
        for sock in (self.sock, *(out for _, out in self.senders.values())):
            self.loop.poller.forget(sock.fileno())
            sock.close()

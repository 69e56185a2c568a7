"""A relay between two parties, known to neither: it passes bytes on as its wire lets it, and tells of them.

TCP and UDP on loopback, on the kernel's loop; what arrives when is `wire.py`'s. Many relays may share a
process. `told` hears of every connection and piece, so that what passed is known from between the parties and
not from their own account. A cut through a relay is one that swallows: connections come up at the relay, as
they would at a host whose process stands still, and say nothing."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from glencleat.emulators.proxy_faults import Datagrams, Door, Flow, Way, Weather
from glencleat.event_loop import ConnectError, Listener, Loop, Stream, StreamClosedError, connect
from glencleat.event_loop.loop import READ, Coroutine

HELD = 1 << 20  # bytes that one direction holds back before it stops reading
PIECE = 16_384
DATAGRAM = 65_507
PEERS = 4_096  # who send datagrams through one relay
CONNECT_MS = 5_000.0
RESET = struct.pack("ii", 1, 0)  # linger for no time: a close is a reset


def reset(stream: Stream, why: str) -> None:
    """Closes it as a machine that went: by a reset, with nothing more said."""
    if stream.close_reason is None:
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        stream.close(why)


@dataclass(frozen=True, slots=True)
class Passed:
    """What a relay saw: `kind` of opened, refused, piece, ended, reset, datagram, lost; `size` in bytes."""

    at_ms: float
    relay: str
    kind: str
    number: int = 0  # of the connection, or of the sender
    way: Way = Way.THERE
    size: int = 0


Told = Callable[[Passed], None]


class Pair:
    """One connection through the relay: two streams, a flow each way."""

    def __init__(self, relay: Proxy, number: int, near: Stream, far: Stream) -> None:
        self.relay, self.number, self.loop = relay, number, relay.loop
        self.sides = {Way.THERE: (near, far), Way.BACK: (far, near)}
        self.held = {Way.THERE: 0, Way.BACK: 0}
        self.half = False  # its far side is gone, and the near one is not to hear of it
        for way in Way:
            seed = f"{relay.seed} {relay.name} {number} {way.value}"
            flow = Flow(relay.weather, way, Random(seed))
            self.loop.spawn(self._pump(way, flow), f"relay {relay.name} {way.value}")

    def _pump(self, way: Way, flow: Flow) -> Coroutine:
        source, sink = self.sides[way]
        try:
            while data := (yield from source.read(PIECE)):
                self.relay.tell("piece", self.number, way, len(data))
                self._pass(way, flow, bytes(data))
                while self.held[way] > HELD and source.close_reason is None:
                    yield from self.loop.sleep(10.0)
            self._later(flow, 0, lambda: self._ended(sink))
        except StreamClosedError:
            if not self.half:
                self._later(flow, 0, lambda: self.end(as_reset=True))

    def _pass(self, way: Way, flow: Flow, data: bytes) -> None:
        sink = self.sides[way][1]
        self.held[way] += len(data)

        def arrive() -> None:
            self.held[way] -= len(data)
            sink.try_send(data)

        self._later(flow, len(data), arrive)

    def _later(self, flow: Flow, size: int, call: Callable[[], None]) -> None:
        """What never arrives stays held: the other party is not told of it either."""
        at = flow.arrives(self.relay.now(), size)
        if at is not None:
            self.loop.call_in(max(0.0, at - self.relay.now()), call)

    def _ended(self, sink: Stream) -> None:
        """One side has said its last; the other may go on."""
        if sink.close_reason is None:
            sink.shutdown_write()
        if all(stream.close_reason is not None or not stream.unsent for stream, _ in self.sides.values()):
            self.relay.tell("ended", self.number)

    def end(self, as_reset: bool = False) -> None:
        """Both sides at once; with `as_reset` as a machine that went."""
        if self.relay.pairs.pop(self.number, None) is not None and as_reset:
            self.relay.tell("reset", self.number)
        for stream, _ in self.sides.values():
            if as_reset:
                reset(stream, "the relay ended it")
            else:
                stream.close("the relay ended it")

    def half_open(self) -> None:
        """The far party goes; the near one is not told, and what it sends goes nowhere."""
        near, far = self.sides[Way.THERE]
        self.half = True
        far.close("half-open")
        near.on_close.append(lambda _: self.end())


class Between:
    """What relays of both kinds are: a name, a target, the weather and its clock, and who is told."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        target: tuple[str, int],
        weather: Weather,
        seed: int,
        told: Told,
        address: tuple[str, int] = ("127.0.0.1", 0),
        began_ms: float | None = None,
    ) -> None:
        self.loop, self.name, self.target, self.weather = loop, name, target, weather
        self.seed, self.told, self.address = seed, told, address
        self.began = loop.now() if began_ms is None else began_ms
        self._listen()

    def _listen(self) -> None:
        """Binds to `address`, and sets it to what was bound."""
        raise NotImplementedError

    def now(self) -> float:
        """Milliseconds since the play began: the weather's time."""
        return self.loop.now() - self.began

    def tell(self, kind: str, number: int = 0, way: Way = Way.THERE, size: int = 0) -> None:
        self.told(Passed(self.now(), self.name, kind, number, way, size))


class Proxy(Between):
    """TCP from its own address to `target`."""

    def _listen(self) -> None:
        self.pairs: dict[int, Pair] = {}
        self.idle: set[Stream] = set()  # taken and never answered
        self.count = self.opening = 0
        self.listener = Listener(self.loop, self.address, self._accepted)
        self.address = self.listener.address

    def _accepted(self, near: Stream) -> None:
        state = self.weather.at(self.now())
        self.count += 1
        full = state.most and len(self.pairs) + self.opening >= state.most
        if full or state.door is Door.CLOSES:
            self.tell("refused", self.count)
            near.close("the relay lets nobody in")
        elif state.door is Door.SILENT or Way.THERE in state.cut:
            self.tell("opened", self.count)
            self.idle.add(near)
            near.on_close.append(lambda _: self.idle.discard(near))
            self.loop.spawn(self._swallow(self.count, near), f"relay {self.name}")
        else:
            self.opening += 1
            self.loop.spawn(self._open(self.count, near), f"relay {self.name}")

    def _open(self, number: int, near: Stream) -> Coroutine:
        self.tell("opened", number)
        try:
            far = yield from connect(self.loop, self.target, CONNECT_MS)
        except ConnectError:
            self.tell("refused", number)
            near.close("its target is not there")
            return
        finally:
            self.opening -= 1
        self.pairs[number] = pair = Pair(self, number, near, far)
        for stream in (near, far):
            stream.on_close.append(lambda _: self._over(pair))

    def _over(self, pair: Pair) -> None:
        if all(stream.close_reason is not None for stream, _ in pair.sides.values()):
            self.pairs.pop(pair.number, None)

    def _swallow(self, number: int, near: Stream) -> Coroutine:
        try:
            while data := (yield from near.read(PIECE)):
                self.tell("piece", number, Way.THERE, len(data))
        except StreamClosedError:
            return
        near.close("it ended")

    def reset(self) -> None:
        """Every connection that is open now."""
        for pair in list(self.pairs.values()):
            pair.end(as_reset=True)

    def close(self) -> None:
        self.listener.close()
        for pair in list(self.pairs.values()):
            pair.end()
        for stream in list(self.idle):
            stream.close("the relay ended")


class DatagramRelay(Between):
    """UDP from its own address to `target`; each sender gets a socket, so that answers find back."""

    def _listen(self) -> None:
        seed = f"{self.seed} {self.name}"
        self.flows = {way: Datagrams(self.weather, way, Random(f"{seed} {way.value}")) for way in Way}
        self.senders: dict[tuple[str, int], tuple[int, socket.socket]] = {}
        self.sock = self._socket(self.address)
        self.address = self.sock.getsockname()
        self.loop.poller.register(self.sock.fileno(), READ, lambda _: self._there())

    @staticmethod
    def _socket(address: tuple[str, int] = ("127.0.0.1", 0)) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(address)
        return sock

    def _there(self) -> None:
        while True:
            try:
                data, sender = self.sock.recvfrom(DATAGRAM)
            except OSError:
                return
            if sender not in self.senders and len(self.senders) >= PEERS:
                continue
            number, out = self.senders.get(sender) or self._new(sender)
            self._pass(Way.THERE, number, data, out, self.target)

    def _new(self, sender: tuple[str, int]) -> tuple[int, socket.socket]:
        number, out = found = len(self.senders) + 1, self._socket()
        self.senders[sender] = found
        self.loop.poller.register(out.fileno(), READ, lambda _: self._back(number, sender, out))
        return found

    def _back(self, number: int, sender: tuple[str, int], out: socket.socket) -> None:
        while True:
            try:
                data, _ = out.recvfrom(DATAGRAM)
            except OSError:
                return
            self._pass(Way.BACK, number, data, self.sock, sender)

    def _pass(self, way: Way, number: int, data: bytes, sock: socket.socket, to: tuple[str, int]) -> None:
        now = self.now()
        times = self.flows[way].arrive(now)
        self.tell("datagram" if times else "lost", number, way, len(data))
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
            self.loop.poller.unregister(sock.fileno())
            sock.close()

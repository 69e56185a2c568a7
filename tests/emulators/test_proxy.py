"""What lies between processes: the wire's decisions, and relays on real sockets."""

import socket
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glencleat.emulators.proxy import DatagramProxy, Proxy
from glencleat.emulators.proxy_faults import (
    AcceptMode,
    DatagramFlow,
    Direction,
    FaultSchedule,
    Flow,
    ProxyFault,
    ProxyState,
)
from glencleat.event_loop import Listener, Loop, StreamClosedError

BOTH = frozenset(Direction)


def cut(at, length, ways=BOTH):
    return [ProxyFault(at, length, {"cut": ways})]


def test_a_stream_waits_out_a_cut_and_keeps_its_order():
    flow = Flow(FaultSchedule(ProxyState(delay_ms=5.0), cut(100.0, 50.0)), Direction.TO_TARGET, Random(1))
    assert [flow.arrival_time(at, 10) for at in (0.0, 99.0, 100.0, 120.0, 160.0)] == [
        5.0,
        104.0,
        155.0,
        155.0,
        165.0,
    ]


def test_a_cut_for_good_lets_nothing_by_one_way_only():
    weather = FaultSchedule(ProxyState(), cut(10.0, float("inf"), frozenset({Direction.FROM_TARGET})))
    assert Flow(weather, Direction.FROM_TARGET, Random(1)).arrival_time(20.0, 1) is None
    assert Flow(weather, Direction.TO_TARGET, Random(1)).arrival_time(20.0, 1) == 20.0


def test_bandwidth_queues_what_comes_faster():
    flow = Flow(FaultSchedule(ProxyState(rate=1_000.0)), Direction.TO_TARGET, Random(1))
    assert [flow.arrival_time(0.0, 100) for _ in range(3)] == [100.0, 200.0, 300.0]
    assert flow.arrival_time(1_000.0, 100) == 1_100.0


@given(st.lists(st.tuples(st.floats(0, 500), st.integers(0, 1000)), max_size=40), st.integers(0, 99))
@settings(max_examples=60, deadline=None)
def test_a_stream_is_never_reordered(pieces, seed):
    weather = FaultSchedule(ProxyState(delay_ms=3.0, spread_ms=40.0, rate=50_000.0), cut(50.0, 100.0))
    flow = Flow(weather, Direction.TO_TARGET, Random(seed))
    times = [(at, flow.arrival_time(at, size)) for at, size in sorted(pieces)]
    assert all(b >= a for (_, a), (_, b) in zip(times, times[1:], strict=False))
    assert all(arrives >= at for at, arrives in times)


def test_faults_that_overlap_add_up():
    slow = ProxyFault(0.0, 100.0, {"delay_ms": 9.0})
    weather = FaultSchedule(
        ProxyState(), [slow, *cut(50.0, 100.0, frozenset({Direction.TO_TARGET})), *cut(120.0, 80.0)]
    )
    assert (weather.state_at(60.0).delay_ms, weather.state_at(60.0).cut) == (9.0, {Direction.TO_TARGET})
    assert (
        weather.next_open_at(Direction.TO_TARGET, 60.0) == 200.0
        and weather.next_open_at(Direction.FROM_TARGET, 130.0) == 200.0
    )
    with pytest.raises(TypeError):
        FaultSchedule(ProxyState(), [ProxyFault(0.0, 1.0, {"colour": 3})])


def test_datagrams_are_lost_repeated_and_overtaken_by_their_shares():
    state = ProxyState(loss_share=0.2, duplicate_share=0.1, reorder_share=0.3, delay_ms=2.0)
    flow = DatagramFlow(FaultSchedule(state), Direction.TO_TARGET, Random(7))
    times = [flow.arrival_times(float(at)) for at in range(4_000)]
    arrived = [t for t in times if t]
    assert 0.17 < 1 - len(arrived) / 4_000 < 0.23
    assert 0.08 < sum(len(t) == 2 for t in arrived) / len(arrived) < 0.12
    assert any(b[0] < a[0] for a, b in zip(arrived, arrived[1:], strict=False))
    again = DatagramFlow(FaultSchedule(state), Direction.TO_TARGET, Random(7))
    assert [again.arrival_times(float(at)) for at in range(4_000)] == times


def test_a_change_of_weather_moves_no_later_draw():
    """A play with one fault more stays the same play elsewhere."""
    weathers = (
        FaultSchedule(ProxyState(loss_share=0.3)),
        FaultSchedule(ProxyState(loss_share=0.3), cut(100.0, 50.0)),
    )
    one, two = (DatagramFlow(weather, Direction.TO_TARGET, Random(3)) for weather in weathers)
    pairs = [(one.arrival_times(float(at)), two.arrival_times(float(at))) for at in range(300)]
    assert all(not b for _, b in pairs[100:150])
    assert all(a == b for a, b in pairs[:100] + pairs[150:])


# ---- on sockets ----


class Rig:
    """An echo service, a relay before it, clients; all on one loop."""

    def __init__(self, calm=None, faults=()):
        self.loop, self.told, self.got, self.streams = Loop(), [], b"", []
        self.service = Listener(self.loop, ("127.0.0.1", 0), self.taken)
        self.relay = Proxy(
            self.loop, "r", self.service.address, FaultSchedule(calm, faults), 1, self.told.append
        )
        self.clients = []

    def taken(self, stream):
        self.streams.append(stream)
        self.loop.spawn(self.echo(stream), "echo")

    def echo(self, stream):
        try:
            while data := (yield from stream.read()):
                self.got += data
                stream.send(data)
            stream.close()
        except StreamClosedError:
            pass

    def client(self):
        sock = socket.create_connection(self.relay.address)
        sock.setblocking(False)
        self.clients.append(sock)
        return sock

    def until(self, done, ms=4_000.0):
        end = self.loop.now() + ms
        while not done():
            assert self.loop.now() < end, self.told
            self.loop.call_in(2.0, lambda: None)
            self.loop.run_once()

    def says(self, sock, ms=4_000.0):
        found = []

        def done():
            try:
                found.append(sock.recv(65_536))
            except BlockingIOError:
                return False
            except ConnectionResetError:
                found.append(None)
            return True

        self.until(done, ms)
        return found[0]

    def kinds(self):
        return [passed.kind for passed in self.told]


@pytest.fixture
def rig(request):
    made = []

    def make(*weather):
        made.append(Rig(*weather))
        return made[0]

    yield make
    for one in made:
        one.relay.close()
        one.service.close()
        for sock in (*one.clients, *one.streams):
            sock.close()


def test_it_passes_bytes_and_ends_and_tells_of_them(rig):
    made = rig()
    sock = made.client()
    sock.send(b"abc")
    assert made.says(sock) == b"abc"
    sock.shutdown(socket.SHUT_WR)
    assert made.says(sock) == b""
    sizes = [(p.direction, p.size) for p in made.told if p.kind == "piece"]
    assert sizes == [(Direction.TO_TARGET, 3), (Direction.FROM_TARGET, 3)] and made.kinds()[0] == "opened"


def test_it_delays(rig):
    made = rig(ProxyState(delay_ms=60.0))
    sock, began = made.client(), made.loop.now()
    sock.send(b"x")
    assert made.says(sock) == b"x" and made.loop.now() - began >= 120.0


def test_a_cut_back_holds_answers_until_it_heals(rig):
    made = rig(ProxyState(), cut(0.0, 150.0, frozenset({Direction.FROM_TARGET})))
    sock = made.client()
    sock.send(b"x")
    made.until(lambda: made.got == b"x")
    assert made.relay.now() < 150.0
    assert made.says(sock) == b"x" and made.relay.now() >= 150.0


@pytest.mark.parametrize("state", [ProxyState(door=AcceptMode.SILENT), ProxyState(cut=BOTH)])
def test_a_door_that_takes_and_says_nothing(rig, state):
    made = rig(state)
    sock = made.client()
    sock.send(b"x")
    made.until(lambda: "piece" in made.kinds())
    assert not made.streams
    with pytest.raises(BlockingIOError):
        sock.recv(1)


def test_a_door_that_takes_and_closes(rig):
    made = rig(ProxyState(door=AcceptMode.REFUSE))
    assert made.says(made.client()) in (b"", None) and made.kinds() == ["refused"] and not made.streams


def test_only_so_many_at_a_time(rig):
    made = rig(ProxyState(most=2))
    first, second = made.client(), made.client()
    made.until(lambda: len(made.streams) == 2)
    assert made.says(made.client()) in (b"", None)
    first.close()
    made.until(lambda: len(made.relay.connections) == 1)
    third = made.client()
    third.send(b"x")
    assert made.says(third) == b"x" and second.fileno() >= 0


def test_resets_reach_both_sides(rig):
    made = rig()
    sock = made.client()
    made.until(lambda: made.relay.connections)
    made.relay.reset_connections()
    assert made.says(sock) is None
    made.until(lambda: made.streams and made.streams[0].close_reason is not None)
    assert made.kinds().count("reset") == 1 and not made.relay.connections


def test_half_open_is_told_to_one_side_only(rig):
    made = rig()
    sock = made.client()
    made.until(lambda: made.relay.connections)
    next(iter(made.relay.connections.values())).make_half_open()
    made.until(lambda: made.streams and made.streams[0].close_reason is not None)
    sock.send(b"x")
    made.until(lambda: "piece" in made.kinds())
    with pytest.raises(BlockingIOError):
        sock.recv(1)
    assert made.got == b""


def test_what_it_holds_back_is_bounded(rig):
    """A reader behind a narrow wire may not fill the relay's memory."""
    made = rig(ProxyState(rate=1_000.0))
    sock = made.client()
    sock.setblocking(True)
    sock.settimeout(0.3)
    sent, pair = 0, None
    for _ in range(600):
        try:
            sent += sock.send(b"x" * 65_536)
        except TimeoutError:
            break
        made.loop.call_in(0.0, lambda: None)
        made.loop.run_once()
        pair = next(iter(made.relay.connections.values()), None)
    assert pair is not None and pair.held_bytes[Direction.TO_TARGET] <= (1 << 20) + 16_384 and sent < 32 << 20


def test_datagrams_find_there_and_back(rig):
    loop, told = Loop(), []
    service = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    service.bind(("127.0.0.1", 0))
    service.setblocking(False)
    relay = DatagramProxy(
        loop, "d", service.getsockname(), FaultSchedule(ProxyState(delay_ms=1.0)), 1, told.append
    )
    clients = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
    heard = {}
    for i, sock in enumerate(clients):
        sock.setblocking(False)
        sock.sendto(b"%d" % i, relay.address)
    end = loop.now() + 4_000.0
    while len(heard) < 2:
        assert loop.now() < end
        loop.call_in(1.0, lambda: None)
        loop.run_once()
        try:
            data, sender = service.recvfrom(100)
            service.sendto(data + data, sender)
        except BlockingIOError:
            pass
        for i, sock in enumerate(clients):
            try:
                heard[i] = sock.recv(100)
            except BlockingIOError:
                continue
    assert heard == {0: b"00", 1: b"11"}
    assert [p.number for p in told if p.direction is Direction.FROM_TARGET] in ([1, 2], [2, 1])
    relay.close()
    for sock in (service, *clients):
        sock.close()

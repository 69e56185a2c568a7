"""Set-ups on real connections to hosts: which one each goes by, and what is known when one fails."""

import errno
import socket

import pytest

from glencleat import interface as api
from glencleat.event_loop import streams
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.command_channel import ListChange
from glencleat.platform_server import (
    failure_detector,
    host_connection,
)
from tests.support.socket_world import Peer, cut_off, kinds, live, standing, stands


def test_one_set_up_a_link_and_links_are_used_again(world):
    peer = Peer(world.loop)
    world.list(("h1", peer.address))
    owner = world.client()
    for task in (1, 2):
        world.ask(owner, task)
    world.until(lambda: len(peer.got) == 2)
    assert len({stream for stream, _ in peer.got}) == 2
    for stream, message in list(peer.got):
        stands(stream, message)
    world.until(lambda: sum(isinstance(e, api.AttemptAccepted) for e in world.module.events) == 2)
    world.ask(owner, 3)
    world.until(lambda: len(peer.got) == 3)
    assert len(peer.streams) == 2


def test_links_at_the_share_are_shared(world):
    peer, owner = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.until(lambda: world.owners.connections)
    world.descriptors.capacity = 3
    for task in range(1, 5):
        world.ask(owner, task)
    world.until(lambda: len(peer.got) == 4)
    assert len(peer.streams) == 2


def test_a_refused_connection_proves_that_nothing_ran(world):
    peer = Peer(world.loop)
    peer.die()
    world.list(("h1", peer.address))
    world.ask(world.client(), 1)
    assert world.back() == [api.Outcome.UNREACHABLE]


def test_want_of_descriptors_is_not_the_hosts_fault(world, monkeypatch):
    peer, owner = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.until(lambda: world.owners.connections)

    def none_left(*_):
        raise OSError(errno.EMFILE, "too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(streams.socket, "socket", none_left)
        world.ask(owner, 1)
        assert world.back() == [api.Outcome.NOT_SENT]
    assert not world.hosts.hosts_by_name["h1"].connections and world.hosts.hosts_by_name[
        "h1"
    ].failing_since_ms == float("inf")
    world.ask(owner, 2)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)


def test_a_connection_that_never_comes_up(world):
    full = socket.socket()
    full.bind(("127.0.0.1", 0))
    full.listen(0)
    fillers = []
    for _ in range(4):  # once its queue is full the system drops what comes, as a cut network does
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(full.getsockname())
        fillers.append(filler)
    world.list(("h1", full.getsockname()))
    world.ask(world.client(), 1)
    assert world.back() == [api.Outcome.UNREACHABLE]
    for sock in (full, *fillers):
        sock.close()


def test_nothing_is_sent_on_a_link_left_over_from_before_a_cut(world, monkeypatch):
    """It takes the bytes and keeps silent: a time-out, after which an unsafe task may not be tried again."""
    monkeypatch.setattr(failure_detector, "QUIET_MS", 20.0)
    world.hosts.connect_ms = 10.0
    (peer,), owner = standing(world, 1)
    cut_off(monkeypatch)
    host = world.hosts.hosts_by_name["h0"]
    world.until(lambda: host.last_failure_at_ms > host.last_heard_at_ms + 20.0)
    for count in (1, 2):  # by a try of its own, or by one that has just failed
        world.ask(owner, 1 + count, host="h0", timeout=1_000.0)
        assert world.back(count, ms=700.0) == [api.Outcome.UNREACHABLE] * count
    assert [message.task_id for _, message in peer.got] == [1] and live(world)
    peer.streams[0].send(m.encode(m.PROGRESS, 99))  # it is heard after all: only new connections fail
    world.until(lambda: host.last_heard_at_ms > host.last_failure_at_ms)
    world.ask(owner, 4, host="h0")
    world.until(lambda: [message.task_id for _, message in peer.got] == [1, 4])


def test_a_host_that_no_list_names_is_sent_nothing(world):
    world.ask(world.client(), 1, host="h9")
    assert world.back() == [api.Outcome.NOT_SENT]


SPOILT = [
    b"\xff\xff",
    b"\x00\x0c\x09" + b"\0" * 7 + b"\x01\x91\x00\x05",
    m.encode(m.ANSWER, 1),
    m.encode(m.RELEASE, 1),
    b"",
]


@pytest.mark.parametrize("data", SPOILT, ids=str)
def test_one_bad_byte_costs_that_link_alone(world, data):
    def script(stream, message):
        if message.task_id == 1:
            stream.send(data) if data else stream.close()
        else:
            stands(stream, message)

    peer, owner = Peer(world.loop, script), world.client()
    world.list(("h1", peer.address))
    world.ask(owner, 2)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    world.ask(owner, 1)
    assert world.back(ms=1000.0) == [api.Outcome.LOST]  # and not at its time-out
    assert 2 in world.exchange.placed_calls_by_host["h1"] and world.exchange.open_call_count == 1
    world.until(lambda: len(peer.streams) == 2)  # what stands there may be told of on the next one only


def test_a_release_comes_on_the_next_connection_opened(world):
    peer, owner = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(owner, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    assert world.says(owner)
    peer.streams[0].close()  # it breaks with the release on its way
    world.until(lambda: len(peer.streams) == 2)
    assert world.module.events[-1].__class__ is api.AttemptAccepted  # a break proves nothing
    peer.streams[1].send(m.encode_with_cause(m.RELEASE, 1, m.ENDED))
    assert world.back() == [api.Outcome.COMPLETED]
    assert world.says(owner) == m.encode_with_cause(m.RELEASE, 1, m.ENDED)
    world.until(lambda: m.RELEASE_COMPLETE in kinds(peer))


def test_links_go_by_host_and_not_by_address(world):
    peer, owner = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(owner, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    world.list(("h1", peer.address), phase=api.MachinePhase.REMOVED)
    world.list(("h2", peer.address))
    world.ask(owner, 2, host="h2")
    world.until(lambda: "h2" in world.exchange.placed_calls_by_host)
    assert len(peer.streams) == 2
    world.until(lambda: set(world.hosts.hosts_by_name) == {"h2"})  # and h1 is forgotten


@pytest.mark.parametrize("moved", ["elsewhere", "replaced"])
def test_what_still_comes_up_at_an_address_given_away_carries_nothing(world, monkeypatch, moved):
    """It would bring a set-up for one host to the one that has its address now."""
    held, begun, real = [True], [], host_connection.connect

    def connect(loop, address, timeout_ms):
        begun.append(address)
        while held[0]:
            yield from loop.sleep(1.0)
        return (yield from real(loop, address, timeout_ms))

    monkeypatch.setattr(host_connection, "connect", connect)
    peer, other, owner = Peer(world.loop, stands), Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(owner, 1, timeout=3_000.0)
    world.until(lambda: begun == [peer.address])
    world.list(("h1", other.address) if moved == "elsewhere" else ("h2", peer.address))
    assert world.back() == [api.Outcome.NOT_SENT]
    assert not world.hosts.connection_count
    held[0] = False
    world.until(lambda: len(peer.streams) == 1 and world.descriptors.held_count == 1)
    assert not peer.got


def test_a_give_up_is_written_and_its_id_not_sent_there_again(world):
    """A late yes to the first attempt would else answer the second."""
    peer, owner = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.ask(owner, 1, timeout=300.0)
    assert world.back() == [api.Outcome.TIMED_OUT]
    world.until(lambda: kinds(peer) == [m.SETUP, m.RELEASE])
    (link,) = world.hosts.hosts_by_name["h1"].connections
    assert link.is_unresponsive
    peer.streams[0].send(m.encode(m.PROGRESS, 99))
    world.until(lambda: not link.is_unresponsive)
    world.module.next.append([api.Bind(1, "h1", 2000.0)])
    world.exchange.apply_list_change(ListChange(False, ()))
    world.until(lambda: len(peer.got) == 3)
    assert [stream is peer.streams[0] for stream, _ in peer.got] == [True, True, False]


def test_a_link_with_half_an_answer_is_closed_at_the_time_out(world):
    peer = Peer(world.loop, lambda stream, message: stream.send(b"\0\x20\x09\0"))
    world.list(("h1", peer.address))
    world.ask(world.client(), 1, timeout=60.0)
    assert world.back() == [api.Outcome.TIMED_OUT]
    world.until(lambda: peer.streams[0].close_reason is not None)


def test_a_cut_waits_for_a_host_that_cannot_be_reached(world):
    peer, owner = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(owner, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    for link in list(world.hosts.hosts_by_name["h1"].connections):
        link.stream.close()
    owner.send(m.encode_with_cause(m.RELEASE, 1, 16))
    world.until(lambda: m.RELEASE in kinds(peer))
    assert peer.got[-1][0] is peer.streams[1] and world.back() == [api.Outcome.STOPPED]

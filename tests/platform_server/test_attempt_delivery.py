"""Set-ups on real connections to hosts: the connection that each is sent on, and its outcome if that
fails."""

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


def test_each_connection_carries_one_open_set_up_and_is_reused(world):
    peer = Peer(world.loop)
    world.list(("h1", peer.address))
    client = world.client()
    for task in (1, 2):
        world.ask(client, task)
    world.until(lambda: len(peer.got) == 2)
    assert len({stream for stream, _ in peer.got}) == 2
    for stream, message in list(peer.got):
        stands(stream, message)
    world.until(lambda: sum(isinstance(e, api.AttemptAccepted) for e in world.module.events) == 2)
    world.ask(client, 3)
    world.until(lambda: len(peer.got) == 3)
    assert len(peer.streams) == 2


def test_set_ups_share_connections_at_the_descriptor_limit(world):
    peer, client = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.until(lambda: world.owners.connections)
    world.descriptors.capacity = 3
    for task in range(1, 5):
        world.ask(client, task)
    world.until(lambda: len(peer.got) == 4)
    assert len(peer.streams) == 2


def test_a_refused_connection_proves_that_nothing_ran(world):
    peer = Peer(world.loop)
    peer.die()
    world.list(("h1", peer.address))
    world.ask(world.client(), 1)
    assert world.back() == [api.Outcome.UNREACHABLE]


def test_a_lack_of_descriptors_is_no_evidence_against_the_host(world, monkeypatch):
    peer, client = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.until(lambda: world.owners.connections)

    def raise_emfile(*_):
        raise OSError(errno.EMFILE, "too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(streams.socket, "socket", raise_emfile)
        world.ask(client, 1)
        assert world.back() == [api.Outcome.NOT_SENT]
    assert not world.hosts.hosts_by_name["h1"].connections and world.hosts.hosts_by_name[
        "h1"
    ].failing_since_ms == float("inf")
    world.ask(client, 2)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)


def test_a_connection_that_never_comes_up(world):
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = []
    for _ in range(4):  # a full backlog drops further connects, like a network partition
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        fillers.append(filler)
    world.list(("h1", listener.getsockname()))
    world.ask(world.client(), 1)
    assert world.back() == [api.Outcome.UNREACHABLE]
    for sock in (listener, *fillers):
        sock.close()


def test_nothing_is_sent_on_a_connection_from_before_a_network_partition(world, monkeypatch):
    """Such a connection accepts the bytes and stays silent: the attempt times out, after which a
    non-idempotent task can't be retried."""
    monkeypatch.setattr(failure_detector, "QUIET_MS", 20.0)
    world.hosts.connect_ms = 10.0
    (peer,), client = standing(world, 1)
    cut_off(monkeypatch)
    host = world.hosts.hosts_by_name["h0"]
    world.until(lambda: host.last_failure_at_ms > host.last_heard_at_ms + 20.0)
    for count in (1, 2):  # by a connect for this attempt, or by one that has just failed
        world.ask(client, 1 + count, host="h0", timeout=1_000.0)
        assert world.back(count, ms=700.0) == [api.Outcome.UNREACHABLE] * count
    assert [message.task_id for _, message in peer.got] == [1] and live(world)
    peer.streams[0].send(m.encode(m.PROGRESS, 99))  # the host responds after all: only new connections fail
    world.until(lambda: host.last_heard_at_ms > host.last_failure_at_ms)
    world.ask(client, 4, host="h0")
    world.until(lambda: [message.task_id for _, message in peer.got] == [1, 4])


def test_a_host_that_no_list_names_is_sent_nothing(world):
    world.ask(world.client(), 1, host="h9")
    assert world.back() == [api.Outcome.NOT_SENT]


MALFORMED_ANSWERS = [
    b"\xff\xff",
    b"\x00\x0c\x09" + b"\0" * 7 + b"\x01\x91\x00\x05",
    m.encode(m.ANSWER, 1),
    m.encode(m.RELEASE, 1),
    b"",
]


@pytest.mark.parametrize("data", MALFORMED_ANSWERS, ids=str)
def test_one_bad_byte_costs_that_link_alone(world, data):
    def script(stream, message):
        if message.task_id == 1:
            stream.send(data) if data else stream.close()
        else:
            stands(stream, message)

    peer, client = Peer(world.loop, script), world.client()
    world.list(("h1", peer.address))
    world.ask(client, 2)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    world.ask(client, 1)
    assert world.back(ms=1000.0) == [api.Outcome.LOST]  # at once, not when the attempt times out
    assert 2 in world.exchange.placed_calls_by_host["h1"] and world.exchange.open_call_count == 1
    world.until(
        lambda: len(peer.streams) == 2
    )  # the host may report the placed task only on the next connection


def test_a_release_comes_on_the_next_connection_opened(world):
    peer, client = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(client, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    assert world.says(client)
    peer.streams[0].close()  # it breaks while a release is in transit
    world.until(lambda: len(peer.streams) == 2)
    assert world.module.events[-1].__class__ is api.AttemptAccepted  # a lost connection does not end the task
    peer.streams[1].send(m.encode_with_cause(m.RELEASE, 1, m.ENDED))
    assert world.back() == [api.Outcome.COMPLETED]
    assert world.says(client) == m.encode_with_cause(m.RELEASE, 1, m.ENDED)
    world.until(lambda: m.RELEASE_COMPLETE in kinds(peer))


def test_connections_belong_to_a_host_and_not_to_its_address(world):
    peer, client = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(client, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    world.list(("h1", peer.address), phase=api.MachinePhase.REMOVED)
    world.list(("h2", peer.address))
    world.ask(client, 2, host="h2")
    world.until(lambda: "h2" in world.exchange.placed_calls_by_host)
    assert len(peer.streams) == 2
    world.until(lambda: set(world.hosts.hosts_by_name) == {"h2"})  # h1 was removed


@pytest.mark.parametrize("moved", ["elsewhere", "replaced"])
def test_a_connection_that_opens_after_its_host_lost_the_address_carries_nothing(world, monkeypatch, moved):
    """It would carry a set-up for one host to another that has taken the address."""
    is_held, addresses, real_connect = [True], [], host_connection.connect

    def connect(loop, address, timeout_ms):
        addresses.append(address)
        while is_held[0]:
            yield from loop.sleep(1.0)
        return (yield from real_connect(loop, address, timeout_ms))

    monkeypatch.setattr(host_connection, "connect", connect)
    peer, other, client = Peer(world.loop, stands), Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(client, 1, timeout=3_000.0)
    world.until(lambda: addresses == [peer.address])
    world.list(("h1", other.address) if moved == "elsewhere" else ("h2", peer.address))
    assert world.back() == [api.Outcome.NOT_SENT]
    assert not world.hosts.connection_count
    is_held[0] = False
    world.until(lambda: len(peer.streams) == 1 and world.descriptors.held_count == 1)
    assert not peer.got


def test_a_give_up_is_written_and_its_id_not_sent_there_again(world):
    """Otherwise a late acceptance of the first attempt would be taken for the answer to the second."""
    peer, client = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.ask(client, 1, timeout=300.0)
    assert world.back() == [api.Outcome.TIMED_OUT]
    world.until(lambda: kinds(peer) == [m.SETUP, m.RELEASE])
    (connection,) = world.hosts.hosts_by_name["h1"].connections
    assert connection.is_unresponsive
    peer.streams[0].send(m.encode(m.PROGRESS, 99))
    world.until(lambda: not connection.is_unresponsive)
    world.module.next.append([api.Bind(1, "h1", 2000.0)])
    world.exchange.apply_list_change(ListChange(False, ()))
    world.until(lambda: len(peer.got) == 3)
    assert [stream is peer.streams[0] for stream, _ in peer.got] == [True, True, False]


def test_a_connection_with_an_incomplete_answer_is_closed_when_the_attempt_times_out(world):
    peer = Peer(world.loop, lambda stream, message: stream.send(b"\0\x20\x09\0"))
    world.list(("h1", peer.address))
    world.ask(world.client(), 1, timeout=60.0)
    assert world.back() == [api.Outcome.TIMED_OUT]
    world.until(lambda: peer.streams[0].close_reason is not None)


def test_a_release_by_the_client_waits_for_a_host_that_cannot_be_reached(world):
    peer, client = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(client, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    for connection in list(world.hosts.hosts_by_name["h1"].connections):
        connection.stream.close()
    client.send(m.encode_with_cause(m.RELEASE, 1, 16))
    world.until(lambda: m.RELEASE in kinds(peer))
    assert peer.got[-1][0] is peer.streams[1] and world.back() == [api.Outcome.STOPPED]

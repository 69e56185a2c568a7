"""Connections that one side closes while the other uses them: to hosts, of idle clients, and at hand-overs.

As in test_races.py, sent data stays unread until the test runs the loop. "Race:" names the order of
events."""

import socket

import pytest

from glencleat import interface as api
from glencleat.descriptor_budget import ARRIVAL_WINDOW_MS, RESERVED_DESCRIPTORS, Demand, PeerKind
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.ended_tasks import RETENTION_MS
from glencleat.platform_server import client_connections, client_timeouts
from tests.support.exchange_world import World as Virtual
from tests.support.exchange_world import read, setup
from tests.support.socket_world import Peer, World, cancel, kinds, linked, settled, stands

# ---- connections that the peer has closed ----


def test_nothing_is_sent_on_a_connection_that_its_host_has_closed(world):
    """Race: the close of an idle connection is unread when an attempt is sent. Its outcome would be
    unknown."""
    peer, sock = linked(world)
    peer.streams[0].close()
    world.loop.poller.poll(0.0)  # as a round of the loop begins, before its readers run
    world.module.next.append([api.Bind(2, "h1", 2000.0)])
    data = setup(1, cls="unsafe")
    (message,) = read(data)
    world.exchange.on_client_setup(next(iter(world.owners.connections)), message, 0.0)
    settled(world)
    assert not world.told(api.AttemptEnded) and [
        stream for stream, _ in peer.got if stream is not peer.streams[0]
    ]
    assert sorted(world.exchange.placed_calls_by_host["h1"]) == [1, 9] and sock


def test_nothing_is_sent_on_a_connection_that_its_host_closed_after_the_poll(world):
    """Race: the loop has polled, then the host closes an idle connection, then a set-up is sent."""
    peer, _ = linked(world)
    peer.streams[0].close()
    world.module.next.append([api.Bind(2, "h1", 2000.0)])
    (message,) = read(setup(1, cls="unsafe"))
    world.exchange.on_client_setup(next(iter(world.owners.connections)), message, 0.0)
    settled(world)
    assert not world.told(api.AttemptEnded)
    assert sorted(world.exchange.placed_calls_by_host["h1"]) == [1, 9]


def test_nothing_is_sent_on_a_connection_that_was_closed_as_it_opened(world):
    """Race: the host accepts the connection and closes it before the pool knows that it is open."""
    listener = socket.create_server(("127.0.0.1", 0))
    sock = world.client()
    world.list(("h1", listener.getsockname()))
    world.ask(sock, 1, cls="unsafe")
    for _ in range(len(world.loop.ready)):
        world.loop._step(*world.loop.ready.popleft())
    listener.accept()[0].close()
    settled(world)
    assert world.back() == [api.Outcome.NOT_SENT]  # not LOST, since it never ran
    listener.close()


def test_a_release_goes_by_a_connection_whose_client_is_there(world):
    """Race: the close of the connection on which the task was requested is unread when its end is
    reported."""
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    other = world.client()
    world.ask(other, 8)
    world.ask(sock, 1)
    world.until(lambda: len(world.exchange.placed_calls_by_host.get("h1", ())) == 2)
    assert world.says(sock)  # with unread data its close would be a reset, which a write would detect
    sock.close()
    world.loop.poller.poll(0.0)  # as a round of the loop begins
    world.exchange.declare_tasks_lost("h1")
    settled(world)
    received = [(x.kind, x.task_id) for x in read(world.says(other))]
    assert received[0] == (m.ANSWER, 8) and sorted(received[1:]) == [(m.RELEASE, 1), (m.RELEASE, 8)]


# ---- releases on connections that break ----


@pytest.mark.parametrize("is_acknowledged", [True, False])
def test_a_release_is_written_again_unless_it_was_acknowledged(world, is_acknowledged):
    """Race: the connection breaks before or after the host has acknowledged the release."""
    peer, sock = linked(world)
    sock.send(cancel(9))
    world.until(lambda: m.RELEASE in kinds(peer))
    if is_acknowledged:
        peer.streams[0].send(m.encode(m.RELEASE_COMPLETE, 9))
        settled(world)
    peer.streams[0].close()
    end = world.loop.now() + 1_500.0
    world.until(lambda: len(peer.streams) == 2 or world.loop.now() > end)
    settled(world)
    assert kinds(peer).count(m.RELEASE) == (1 if is_acknowledged else 2)


# ---- idle connections ----


def test_a_connection_with_an_unread_set_up_is_not_closed_as_silent(world, monkeypatch):
    """Race: the sweep runs before the reader, as after a stall of the loop."""
    monkeypatch.setattr(client_timeouts, "MESSAGE_TIMEOUT_MS", -1.0)
    sock = world.client()
    world.until(lambda: world.owners.connections)
    (client,) = world.owners.connections
    sock.send(setup(1))
    world.owners._sweep()
    assert client.stream.close_reason is None
    settled(world)
    assert world.told(api.PlacementRequested)


def test_a_connection_is_not_idle_while_it_has_an_unread_set_up(world):
    """Race: a new connection and the set-up are handled in one round, the new connection first."""
    world.descriptors.capacity, world.descriptors.quotas_by_peer_kind = (
        2,
        {PeerKind.CLIENTS: 2, PeerKind.HOSTS: 0},
    )
    quiet, busy = world.client(), world.client()
    world.until(lambda: len(world.owners.connections) == 2)
    settled(world)
    first, second = world.owners.connections
    world.client()
    quiet.send(setup(1))
    world.loop.poller.poll(0.0)
    assert first.stream.close_reason is None and second.stream.close_reason is not None
    settled(world)
    assert world.told(api.PlacementRequested) and world.says(busy) == b""


def test_a_connection_is_not_evicted_while_a_set_up_lies_in_its_socket(world):
    """Guards against a set-up that is closed unread in a burst of connections: it came after the poll."""
    ordinary = world.client()
    world.until(lambda: len(world.owners.connections) == 1)
    (connection,) = world.owners.connections
    world.calls += 1
    world.module.next.append([])  # the call is held
    ordinary.send(setup(1))  # no poll reports it
    assert connection.stream.is_readable is False
    world.descriptors.capacity = world.descriptors.held_count
    world.descriptors.ensure_capacity(Demand.CLIENT)
    assert connection.stream.close_reason is None
    settled(world)
    assert world.exchange.open_call_count == 1


def test_a_connection_is_not_idle_while_it_has_an_unsent_answer(world, monkeypatch):
    world.descriptors.capacity, world.descriptors.quotas_by_peer_kind = (
        2,
        {PeerKind.CLIENTS: 2, PeerKind.HOSTS: 0},
    )
    clients = [world.client(), world.client()]
    world.until(lambda: len(world.owners.connections) == 2)
    first, second = world.owners.connections
    first.stream.send_buffer += b"\0"  # as if the client had stopped reading
    world.descriptors.update_priority(first)
    assert world.descriptors.ensure_capacity(Demand.CLIENT)
    assert first.stream.close_reason is None and second.stream.close_reason is not None
    monkeypatch.setattr(client_connections, "WRITE_STALL_TIMEOUT_MS", -1.0)
    world.owners._sweep()
    assert first.stream.close_reason == "the client has stopped reading" and clients


def test_a_client_that_sends_a_message_byte_by_byte_is_closed_in_time(world, monkeypatch):
    monkeypatch.setattr(client_timeouts, "MESSAGE_TIMEOUT_MS", 100.0)
    monkeypatch.setattr(client_connections, "SWEEP_MS", 10.0)
    world.owners._sweep()
    sock = world.client()
    sock.send(m.encode(m.PROBE, 1))
    remaining_bytes = iter(setup(1))

    def send_next_byte():
        if sock.fileno() >= 0 and world.owners.connections:
            sock.send(bytes((next(remaining_bytes),)))
            world.loop.call_in(5.0, send_next_byte)

    world.until(lambda: world.owners.connections)
    send_next_byte()
    world.until(
        lambda: not world.owners.connections, ms=600.0
    )  # the complete message of over 60 bytes would take longer


# ---- hand-overs ----


def place_task(world):
    """Returns a host and a client that has a task 1 place_task there and has read the answer."""
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    world.says(sock)
    return peer, sock


def adoption(task, host="h1"):
    """A set-up that names a task as place_task on a host, by `at`."""
    return setup(task, extras=f"cores:1;memory:1;service:s;at:{host}", wait=None)


def test_an_end_that_arrived_before_its_task_was_adopted_is_reported(world):
    """After a restart the host reports ended tasks on the first connection, before any client has
    connected."""
    peer, sock = place_task(world)
    peer.streams[0].send(
        m.encode_with_cause(m.RELEASE, 77, m.ENDED) + m.encode_with_cause(m.RELEASE, 78, m.FAILED)
    )
    settled(world)
    sock.send(adoption(77) + adoption(78) + adoption(79))
    settled(world)
    assert list(world.exchange.placed_calls_by_host["h1"]) == [1, 79]
    assert world.says(sock) == m.encode_with_cause(m.RELEASE, 77, m.ENDED) + m.encode_with_cause(
        m.RELEASE, 78, m.FAILED
    )


def test_a_task_adopted_while_its_release_is_in_transit_stays_ended(world):
    peer, sock = place_task(world)
    peer.streams[0].send(m.encode_with_cause(m.RELEASE, 1, m.ENDED))
    settled(world)
    sock.send(adoption(1))  # sent before the release was read
    settled(world)
    assert not world.exchange.placed_calls_by_host and world.says(sock) == m.encode_with_cause(
        m.RELEASE, 1, m.ENDED
    )
    with pytest.raises(BlockingIOError):
        sock.recv(100)  # reported once


def test_a_task_reported_lost_during_a_network_partition_may_be_adopted(world):
    """Its host never reported its end."""
    _, sock = place_task(world)
    world.exchange.declare_tasks_lost("h1")
    sock.send(adoption(1))
    settled(world)
    assert list(world.exchange.placed_calls_by_host["h1"]) == [1]


def test_ends_of_tasks_are_kept_for_the_retention_time():
    world = Virtual()
    world.asks(1, api.Bind(1, "h1", 300.0))
    world.host(m.RELEASE, 77, cause=m.ENDED)
    world.advance(RETENTION_MS + 1.0)
    world.asks(77, extras="cores:1;memory:1;service:s;at:h1", wait=None)
    assert 77 in world.exchange.placed_calls_by_host["h1"]


# ---- clients that connect faster than they are accepted ----


def test_a_burst_of_connects_within_a_round_of_the_loop_stays_within_the_limit():
    """Clients connect, `per_window` in each ARRIVAL_WINDOW_MS, and none is accepted within it. Accepted
    connections and those in the listen backlog, which operators count as well, stay within the limit at all
    times."""
    per_window, world, now = 48, World(room=400), [1e6]
    world.loop.clock.now = lambda: now[0]
    sockets, peak_count = [], 0
    try:
        for _ in range(30):
            for _ in range(per_window):
                sockets.append(socket.create_connection(world.address))
            world.loop.poller.poll(0.0)  # also handles the ends of connections that were evicted before
            peak_count = max(peak_count, world.descriptors.held_count + per_window)
            now[0] += ARRIVAL_WINDOW_MS
            for _ in range(3):
                world.loop.run_once(may_wait=False)
            assert world.owners.listener.accept_pending() == 0, "all were accepted"
        assert peak_count <= 400 + RESERVED_DESCRIPTORS and world.descriptors.peak_count <= 400
        assert world.descriptors.denied_count == 0 and world.descriptors.held_count > 400 - 2 * per_window
    finally:
        for sock in sockets:
            sock.close()

"""Connections that one side ends as the other uses them: links, idle clients, releases, hand-overs.

As in test_races.py, whatever is sent lies unread until the test lets the loop run."""

import socket

import pytest

from glencleat import interface as api
from glencleat.descriptor_budget import ARRIVAL_WINDOW_MS, RESERVED_DESCRIPTORS, Demand, PeerKind
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.ended_tasks import RETENTION_MS
from glencleat.platform_server import client_connections
from tests.support.exchange_world import World as Virtual
from tests.support.exchange_world import read, setup
from tests.support.socket_world import Peer, World, cancel, kinds, linked, settled, stands

# ---- links and connections that the other side has closed ----


def test_nothing_is_sent_on_a_link_that_its_host_has_closed(world):
    """Held: the close of an idle link lies unread. What would have been sent on it may have run."""
    peer, sock = linked(world)
    peer.streams[0].close()
    world.loop.poller.poll(0.0)  # as each round begins; its readers have not had their turn
    world.module.next.append([api.Bind(2, "h1", 2000.0)])
    call = setup(1, cls="unsafe")
    (message,) = read(call)
    world.exchange.on_client_setup(next(iter(world.owners.connections)), message, 0.0)
    settled(world)
    assert not world.told(api.AttemptEnded) and [
        stream for stream, _ in peer.got if stream is not peer.streams[0]
    ]
    assert sorted(world.exchange.placed_calls_by_host["h1"]) == [1, 9] and sock


def test_nothing_is_sent_on_a_link_that_was_ended_as_it_came_up(world):
    """Held: the host takes the connection and closes it before we know that it is up."""
    listener = socket.create_server(("127.0.0.1", 0))
    sock = world.client()
    world.list(("h1", listener.getsockname()))
    world.ask(sock, 1, cls="unsafe")
    for _ in range(len(world.loop.ready)):
        world.loop._step(*world.loop.ready.popleft())
    listener.accept()[0].close()
    settled(world)
    assert world.back() == [api.Outcome.NOT_SENT]  # and not lost: it never ran
    listener.close()


def test_a_release_goes_by_a_connection_whose_client_is_there(world):
    """Held: the close of the connection on which the task came lies unread as its end is told."""
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    other = world.client()
    world.ask(other, 8)
    world.ask(sock, 1)
    world.until(lambda: len(world.exchange.placed_calls_by_host.get("h1", ())) == 2)
    assert world.says(sock)  # what lies unread would make its close a reset, which a write is told of
    sock.close()
    world.loop.poller.poll(0.0)  # as each round begins
    world.exchange.declare_tasks_lost("h1")
    settled(world)
    told = [(x.kind, x.task_id) for x in read(world.says(other))]
    assert told[0] == (m.ANSWER, 8) and sorted(told[1:]) == [(m.RELEASE, 1), (m.RELEASE, 8)]


# ---- releases on links that break ----


@pytest.mark.parametrize("heard", [True, False])
def test_a_release_is_written_again_unless_it_was_heard(world, heard):
    """Held: the link breaks before the host has said anything of it."""
    peer, sock = linked(world)
    sock.send(cancel(9))
    world.until(lambda: m.RELEASE in kinds(peer))
    if heard:
        peer.streams[0].send(m.encode(m.RELEASE_COMPLETE, 9))
        settled(world)
    peer.streams[0].close()
    end = world.loop.now() + 1_500.0
    world.until(lambda: len(peer.streams) == 2 or world.loop.now() > end)
    settled(world)
    assert kinds(peer).count(m.RELEASE) == (1 if heard else 2)


# ---- idle connections ----


def test_a_set_up_that_lies_unread_keeps_its_connection(world, monkeypatch):
    """Held: the sweep comes before the reader, as after a standstill."""
    monkeypatch.setattr(client_connections, "MESSAGE_TIMEOUT_MS", -1.0)
    sock = world.client()
    world.until(lambda: world.owners.connections)
    (owner,) = world.owners.connections
    sock.send(setup(1))
    world.owners._sweep()
    assert owner.stream.close_reason is None
    settled(world)
    assert world.told(api.PlacementRequested)


def test_a_connection_is_not_idle_while_a_set_up_lies_unread_on_it(world):
    """Held: both are told in one round, the newcomer first."""
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


def test_a_connection_is_not_idle_while_an_answer_is_unsent_on_it(world, monkeypatch):
    world.descriptors.capacity, world.descriptors.quotas_by_peer_kind = (
        2,
        {PeerKind.CLIENTS: 2, PeerKind.HOSTS: 0},
    )
    clients = [world.client(), world.client()]
    world.until(lambda: len(world.owners.connections) == 2)
    first, second = world.owners.connections
    first.stream.send_buffer += b"\0"  # as if its client had not read the rest
    world.descriptors.update_priority(first)
    assert world.descriptors.ensure_capacity(Demand.CLIENT)
    assert first.stream.close_reason is None and second.stream.close_reason is not None
    monkeypatch.setattr(client_connections, "WRITE_STALL_TIMEOUT_MS", -1.0)
    world.owners._sweep()
    assert first.stream.close_reason == "it reads nothing" and clients


def test_one_that_drips_a_message_is_closed_in_time(world, monkeypatch):
    monkeypatch.setattr(client_connections, "MESSAGE_TIMEOUT_MS", 100.0)
    monkeypatch.setattr(client_connections, "SWEEP_MS", 10.0)
    world.owners._sweep()
    sock = world.client()
    sock.send(m.encode(m.PROBE, 1))
    drip = iter(setup(1))

    def more():
        if sock.fileno() >= 0 and world.owners.connections:
            sock.send(bytes((next(drip),)))
            world.loop.call_in(5.0, more)

    world.until(lambda: world.owners.connections)
    more()
    world.until(
        lambda: not world.owners.connections, ms=600.0
    )  # a message of 60 bytes and more drips on for longer


# ---- hand-overs ----


def placed(world):
    """A host, and a client whose task 1 stands there and who has read so."""
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    world.says(sock)
    return peer, sock


def named(task, host="h1"):
    return setup(task, extras=f"cores:1;memory:1;service:s;at:{host}", wait=None)


def test_an_end_that_came_before_its_task_was_named_is_told(world):
    """After a restart: the host tells what ended on our first connection, before any client has come."""
    peer, sock = placed(world)
    peer.streams[0].send(
        m.encode_with_cause(m.RELEASE, 77, m.ENDED) + m.encode_with_cause(m.RELEASE, 78, m.FAILED)
    )
    settled(world)
    sock.send(named(77) + named(78) + named(79))
    settled(world)
    assert list(world.exchange.placed_calls_by_host["h1"]) == [1, 79]
    assert world.says(sock) == m.encode_with_cause(m.RELEASE, 77, m.ENDED) + m.encode_with_cause(
        m.RELEASE, 78, m.FAILED
    )


def test_a_task_named_again_as_its_release_is_on_its_way_stays_over(world):
    peer, sock = placed(world)
    peer.streams[0].send(m.encode_with_cause(m.RELEASE, 1, m.ENDED))
    settled(world)
    sock.send(named(1))  # sent before the release was read
    settled(world)
    assert not world.exchange.placed_calls_by_host and world.says(sock) == m.encode_with_cause(
        m.RELEASE, 1, m.ENDED
    )
    with pytest.raises(BlockingIOError):
        sock.recv(100)  # told once


def test_a_task_that_was_called_lost_behind_a_cut_may_be_handed_over(world):
    """Its host never said that it ended."""
    _, sock = placed(world)
    world.exchange.declare_tasks_lost("h1")
    sock.send(named(1))
    settled(world)
    assert list(world.exchange.placed_calls_by_host["h1"]) == [1]


def test_ends_are_kept_for_a_time():
    world = Virtual()
    world.asks(1, api.Bind(1, "h1", 300.0))
    world.host(m.RELEASE, 77, cause=m.ENDED)
    world.advance(RETENTION_MS + 1.0)
    world.asks(77, extras="cores:1;memory:1;service:s;at:h1", wait=None)
    assert 77 in world.exchange.placed_calls_by_host["h1"]


# ---- newcomers faster than they are taken ----


def test_a_flood_that_is_faster_than_rounds_passes_no_limit():
    """Real connections, `PER` in each standstill's time, none taken meanwhile: all that are ours and all that
    wait in the listen backlog, which operators count as ours, stay within the limit at each instant."""
    per, world, now = 48, World(room=400), [1e6]
    world.loop.clock.now = lambda: now[0]
    came, most = [], 0
    try:
        for _ in range(30):
            for _ in range(per):
                came.append(socket.create_connection(world.address))
            world.loop.poller.poll(0.0)  # what those who were closed by us last time owe is not looked at
            most = max(most, world.descriptors.held_count + per)
            now[0] += ARRIVAL_WINDOW_MS
            for _ in range(3):
                world.loop.run_once(may_wait=False)
            assert world.owners.listener.accept_pending() == 0, "all were taken"
        assert most <= 400 + RESERVED_DESCRIPTORS and world.descriptors.peak_count <= 400
        assert world.descriptors.denied_count == 0 and world.descriptors.held_count > 400 - 2 * per
    finally:
        for sock in came:
            sock.close()

"""Releases from the host's end of a task to the client: who owes them, and when the host is told that it need
not send them again.

A host sends an unacknowledged release again on its next connection, as the protocol page says.
"""

import itertools

import pytest

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.ended_tasks import RETENTION_MS
from glencleat.platform_server.release_acknowledgements import MAX_DEFERRED, ReleaseAcknowledgements
from tests.platform_server.test_client_releases import ENDED_1, close_client, end_task, stop_reading
from tests.support.exchange_world import setup
from tests.support.socket_world import Peer, kinds, settled, stands

AT_H1 = "cores:1;memory:2;service:web;at:h1"


def place_task(world):
    """A host with task 1, whose client has closed its connection."""
    peer, client = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(client, 1)
    assert world.says(client)
    close_client(world, client)
    return peer


def report_unclaimed_end(world):
    """A host with another client's task reports the end of task 1, which no client has named."""
    peer, other = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(other, 9)
    assert world.says(other)
    peer.streams[0].send(ENDED_1)
    world.until(lambda: world.hosts.release_acknowledger.deferred)
    return peer, other


def valid_client(world, task=9):
    """A client with a valid set-up, which is held."""
    sock = world.client()
    world.calls += 1
    world.module.next.append([])
    sock.send(setup(task))
    return sock


def is_acknowledged(peer):
    return m.RELEASE_COMPLETE in kinds(peer)


def has_received(sock, size=100):
    try:
        return bool(sock.recv(size))
    except BlockingIOError:
        return False


def test_a_host_is_acknowledged_once_a_client_has_its_release(world):
    """Guards against a release that is lost if this process is killed while it waits: the host had been told
    that it was delivered."""
    peer = place_task(world)
    end_task(world, peer, 1)
    settled(world)
    assert not is_acknowledged(peer)
    assert world.says(valid_client(world)) == ENDED_1
    world.until(lambda: is_acknowledged(peer))


def test_a_host_is_acknowledged_at_once_if_the_client_is_there(world):
    peer, client = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(client, 1)
    assert world.says(client)
    end_task(world, peer, 1)
    assert world.says(client) == ENDED_1
    assert not world.hosts.release_acknowledger.deferred
    world.until(lambda: is_acknowledged(peer), 200.0)


def test_a_release_in_the_send_buffer_is_not_acknowledged(world):
    peer, client = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(client, 1)
    assert world.says(client)
    stop_reading(world, client)
    end_task(world, peer, 1)
    settled(world)
    assert not is_acknowledged(peer)
    # The client reads again.
    world.until(lambda: has_received(client, 65_536) is None or is_acknowledged(peer))


def test_a_release_that_the_host_repeats_reaches_the_client_once(world):
    peer = place_task(world)
    end_task(world, peer, 1)
    host = world.hosts.hosts_by_name["h1"]
    peer.streams[0].close()
    world.until(lambda: not host.connections)
    host.next_connect_at_ms = 0.0
    world.hosts.reconnect(host)
    world.until(lambda: len(peer.streams) == 2)
    peer.streams[1].send(ENDED_1)
    settled(world)
    client = valid_client(world)
    assert world.says(client) == ENDED_1
    world.until(lambda: is_acknowledged(peer))
    peer.streams[1].send(ENDED_1)  # the acknowledgement was on its way
    client.send(setup(1, extras=AT_H1))
    settled(world)
    assert not has_received(client)
    assert not world.exchange.placed_calls_by_host


def test_an_end_that_nobody_has_claimed_is_acknowledged_when_its_client_has_it(virtual_time_world):
    """After a restart: the host reports the end before a client names the task."""
    world = virtual_time_world
    peer, other = report_unclaimed_end(world)
    assert not is_acknowledged(peer)
    client = world.client()
    client.send(setup(1, extras=AT_H1))
    assert world.says(client) == ENDED_1
    world.until(lambda: is_acknowledged(peer))
    assert not has_received(other)


def test_an_end_that_nobody_claims_is_acknowledged_after_the_retention(virtual_time_world):
    world = virtual_time_world
    peer, _ = report_unclaimed_end(world)
    began_at_ms = world.loop.now()
    world.until(lambda: is_acknowledged(peer), 2.0 * RETENTION_MS)
    assert world.loop.now() - began_at_ms >= RETENTION_MS


def test_a_release_reaches_a_client_that_comes_after_a_minute(virtual_time_world):
    """Guards against a release that is dropped after 10 s without a client, and never sent."""
    world = virtual_time_world
    peer = place_task(world)
    end_task(world, peer, 1)
    end_ms = world.loop.now() + 60_000.0
    world.until(lambda: world.loop.now() >= end_ms, 70_000.0)
    assert world.says(valid_client(world)) == ENDED_1


def test_a_task_whose_release_has_waited_long_is_not_adopted(virtual_time_world):
    """Guards against a task that is adopted after its end, whose second end nobody would report: its end was
    forgotten after 10 s, its release waited still."""
    world = virtual_time_world
    peer = place_task(world)
    end_task(world, peer, 1)
    end_ms = world.loop.now() + 3.0 * RETENTION_MS
    world.until(lambda: world.loop.now() >= end_ms, 4.0 * RETENTION_MS)
    client = world.client()
    client.send(setup(1, extras=AT_H1))
    assert world.says(client) == ENDED_1
    settled(world)
    assert not world.exchange.placed_calls_by_host
    assert len(world.told(api.PlacementRequested)) == 1


def test_every_release_is_acknowledged_when_it_is_owed_no_more():
    """All orders of six events of two releases: none is acknowledged while it is owed, none twice on one
    arrival, and the last arrival's connection has the acknowledgement."""
    events = [(kind, task) for kind in ("arrives", "is delivered") for task in (1, 2)] + [("check", 0)]
    for sequence in itertools.product(events, repeat=6):
        owed, acknowledged, last_connection = {1, 2}, [], {}
        acknowledgements = ReleaseAcknowledgements(lambda host, task, owed=owed: task in owed)
        for connection, (kind, task) in enumerate(sequence):
            if kind == "arrives":
                last_connection[task] = connection
                if not acknowledgements.must_defer("h1", task, connection):
                    acknowledged.append((connection, task))
            elif kind == "is delivered":
                owed.discard(task)
            else:
                acknowledged.extend(acknowledgements.take_settled())
            assert not owed & {task for _, task in acknowledged}
        acknowledged.extend(acknowledgements.take_settled())
        assert len(acknowledged) == len(set(acknowledged))
        for task, connection in last_connection.items():
            assert (connection, task) in acknowledged or task in owed
        assert len(acknowledgements) == len(owed & last_connection.keys())


def test_the_oldest_stays_unacknowledged_when_too_many_are_deferred():
    acknowledgements = ReleaseAcknowledgements(lambda host, task: True)
    for task in range(MAX_DEFERRED + 1):
        assert acknowledgements.must_defer("h1", task, "connection")
    assert len(acknowledgements) == MAX_DEFERRED and ("h1", 0) not in acknowledgements.connections_by_release


@pytest.mark.parametrize("repeated", [False, True])
def test_one_check_is_scheduled_however_many_releases_wait(virtual_time_world, repeated):
    """Guards against timers that multiply: each check schedules the next one while any release waits."""
    world = virtual_time_world
    peer = place_task(world)
    end_task(world, peer, 1)
    checks, deferred = [], world.hosts.release_acknowledger.deferred
    original = deferred.take_settled
    deferred.take_settled = lambda: checks.append(world.loop.now()) or original()
    for _ in range(5 if repeated else 1):
        peer.streams[0].send(ENDED_1)
        settled(world, rounds=3)
    end_ms = world.loop.now() + 2_000.0
    world.until(lambda: world.loop.now() >= end_ms, 3_000.0)
    assert len(checks) <= 9

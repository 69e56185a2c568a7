"""Connections to hosts under a bounded number of descriptors: queueing, eviction and closing."""

import errno

import pytest

from glencleat import interface as api
from glencleat.descriptor_budget import EvictionPriority, PeerKind
from glencleat.event_loop import streams
from glencleat.flow_control import connection_limiter
from glencleat.platform_protocol import messages as m
from glencleat.platform_server import (
    failure_detector,
    host_connection,
    host_maintenance,
    pending_queue,
)
from tests.support.socket_world import Peer, cut_off, live, standing, stands


@pytest.fixture
def world(virtual_time_world):
    return virtual_time_world


def test_an_attempt_waits_for_a_descriptor_within_its_time(world):
    """A connect without a descriptor fails at once, as if the host were at fault, and would be retried in a
    loop."""
    peers, client = [Peer(world.loop) for _ in range(3)], world.client()
    world.list(*((f"h{i}", peer.address) for i, peer in enumerate(peers)))
    world.ask(client, 1, host="h0")
    world.descriptors.capacity = world.descriptors.held_count  # the client's, and the host connection in use
    world.ask(client, 2, host="h1")
    world.ask(client, 3, host="h2", timeout=30.0)
    assert len(world.hosts.pending_queue) == 2 and world.back() == [api.Outcome.NOT_SENT]
    assert len(world.hosts.pending_queue) == 1 and not peers[1].streams
    world.until(lambda: peers[0].got)
    stands(*peers[0].got[0])
    peers[0].streams[0].send(m.encode_with_cause(m.RELEASE, 1, m.ENDED))
    world.until(lambda: peers[1].got)
    assert world.back(1) == [api.Outcome.NOT_SENT, api.Outcome.COMPLETED] and not world.hosts.pending_queue
    assert world.descriptors.peak_count == world.descriptors.capacity


def test_an_attempt_cancelled_while_the_queue_is_served_is_not_sent(world):
    """The exchange may cancel a queued attempt in response to the failure of another: it is known not to have
    run."""
    peers, client = [Peer(world.loop) for _ in range(2)], world.client()
    world.list(*((f"h{i}", peer.address) for i, peer in enumerate(peers)))
    world.until(lambda: world.owners.connections)
    world.descriptors.capacity = 1
    for task in (1, 2):
        world.ask(client, task, host=f"h{task - 1}")
    first, second = world.hosts.pending_queue.attempts
    world.hosts.hosts_by_name["h0"].address = ("", 0)
    world.exchange.on_attempt_failed = lambda attempt, outcome: world.hosts.cancel_attempt(second)
    world.descriptors.capacity = 9
    world.hosts.pending_queue.serve()
    assert (
        not world.hosts.pending_queue
        and second.connection is None
        and not world.hosts.hosts_by_name["h1"].connections
    )


def test_a_host_that_accepts_and_closes_connections_is_retried_with_backoff(world, monkeypatch):
    """For a host with a placed task, each lost connection was reopened at once: some thousand times a
    second."""
    monkeypatch.setattr(host_maintenance, "TICK_MS", 5.0)
    (peer,), client = standing(world, 1)
    accept_times_ms, real_accept = [], peer.listener.on_accept

    def accept(stream):
        accept_times_ms.append(world.loop.now())
        stream.close()

    peer.listener.on_accept = accept
    for stream in peer.streams:
        stream.close()
    end = world.loop.now() + 1_500.0
    world.until(lambda: world.loop.now() > end)
    assert 3 <= len(accept_times_ms) <= 9
    assert world.exchange.placed_calls_by_host  # the host is alive, and so are its tasks
    peer.listener.on_accept = real_accept
    world.until(lambda: live(world))


def test_a_burst_to_one_host_shares_the_connections_being_opened(world, monkeypatch):
    """Eight simultaneous connects only add load to a host that is slow to accept."""
    is_cut_off, begun_addresses = cut_off(monkeypatch), []
    world.list(("h1", ("127.0.0.1", 9)))
    monkeypatch.setattr(
        world.hosts.connection_limiter,
        "record_connect_begin",
        lambda address, now: begun_addresses.append(address),
    )
    monkeypatch.setattr(
        world.hosts.connection_limiter, "is_saturated", lambda address: len(begun_addresses) >= 2
    )
    monkeypatch.setattr(world.hosts.connection_limiter, "record_connect_end", lambda address: None)
    client = world.client()
    for task in range(1, 6):
        world.ask(client, task)
    assert world.back(5) == [api.Outcome.UNREACHABLE] * 5 and is_cut_off[0]
    assert len(begun_addresses) == 2


def test_attempts_beyond_the_limit_of_concurrent_connects_are_queued(world, monkeypatch):
    """If many hosts vanish, each connect blocks for its timeout; the queue is served as connects end."""
    monkeypatch.setattr(connection_limiter, "MIN_CONNECTING_LIMIT", 2)
    peers, client = [Peer(world.loop, stands) for _ in range(6)], world.client()
    world.list(*((f"h{i}", peer.address) for i, peer in enumerate(peers)))
    real_connect, connecting_counts = host_connection.connect, []

    def connect(loop, address, timeout_ms):
        connecting_counts.append(world.hosts.connection_limiter.connecting_count)
        yield from loop.sleep(20.0)
        return (yield from real_connect(loop, address, timeout_ms))

    monkeypatch.setattr(host_connection, "connect", connect)
    for i in range(6):
        world.ask(client, i + 1, host=f"h{i}")
    world.until(lambda: sum(map(len, world.exchange.placed_calls_by_host.values())) == 6)
    assert (
        max(connecting_counts) <= 3
        and world.hosts.pending_queue.total_count >= 3
        and world.hosts.connection_limiter.connecting_count == 0
    )
    assert (
        world.hosts.connection_limiter.denied_count > 0
        and not world.hosts.connection_limiter.connecting_by_address
    )


def test_the_queue_of_attempts_is_bounded(world, monkeypatch):
    monkeypatch.setattr(pending_queue, "MAX_QUEUED_ATTEMPTS", 1)
    peer, client = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.until(lambda: world.owners.connections)
    world.descriptors.capacity = 1
    world.ask(client, 1)
    world.ask(client, 2)
    assert world.back() == [api.Outcome.NOT_SENT] and len(world.hosts.pending_queue) == 1


def test_a_spare_connection_is_evicted_first_whichever_host_it_belongs_to(world):
    """Evictions were once limited to hosts with several connections, so that one each to 400 hosts exceeded
    the budget."""
    (first, second), client = standing(world, 2)
    first.streams[0].send(m.encode_with_cause(m.RELEASE, 1, m.ENDED))
    world.back()
    world.descriptors.capacity = world.descriptors.held_count
    third = Peer(world.loop, stands)
    world.list(("h2", third.address))
    world.ask(client, 9, host="h2")
    world.until(lambda: "h2" in world.exchange.placed_calls_by_host)
    assert not live(world, "h0") and live(world, "h1") and live(world, "h2")


def test_hosts_that_outnumber_the_descriptors_take_turns(world, monkeypatch):
    """Every release arrives, although six hosts share two connections."""
    monkeypatch.setattr(host_maintenance, "TICK_MS", 10.0)
    monkeypatch.setattr(failure_detector, "EVICTED_QUIET_MS", 100.0)
    monkeypatch.setattr(host_connection, "LIVENESS_CHECK_MS", 20.0)
    world.descriptors.capacity, world.descriptors.quotas_by_peer_kind = (
        3,
        {PeerKind.CLIENTS: 1, PeerKind.HOSTS: 2},
    )
    peers, client = standing(world, 6)
    releases_by_task = {}

    def accept(peer, task):
        real_accept = peer.accept

        def send_release(stream):  # a host also sends a release on the next connection, by the protocol page
            real_accept(stream)
            if task in releases_by_task:
                stream.send(releases_by_task[task])

        peer.listener.on_accept = send_release

    for task, peer in enumerate(peers, 1):
        accept(peer, task)
        releases_by_task[task] = m.encode_with_cause(m.RELEASE, task, m.ENDED)
    world.back(6)
    assert not world.exchange.placed_calls_by_host and world.descriptors.peak_count <= 3


def test_liveness_checks_leave_one_connection_beside_the_first(world, monkeypatch):
    """A quiet host is checked by a new connection each time; these were kept until no descriptor was free."""
    monkeypatch.setattr(failure_detector, "QUIET_MS", 30.0)
    (peer,), _ = standing(world, 1)
    (first,) = live(world)
    world.until(lambda: len(peer.streams) >= 4)
    assert len(live(world)) <= 2 and first in live(world)  # the one that carried set-ups is kept
    world.until(lambda: sum(stream.close_reason is None for stream in peer.streams) <= 2)


def test_a_visit_ends_only_when_the_next_is_opened(world, monkeypatch):
    """A release that the close of a liveness check cuts off is sent again on the next connection, which a
    host that has begun to drain would not accept."""
    monkeypatch.setattr(failure_detector, "QUIET_MS", 20.0)
    (peer,), _ = standing(world, 1)
    world.until(lambda: len(live(world)) == 2)
    host = world.hosts.hosts_by_name["h0"]
    world.list(("h0", peer.address), phase=api.MachinePhase.DRAINING)
    peer.listener.close()
    open_connections = set(live(world))
    world.until(
        lambda: host.failing_since_ms < world.loop.now() - 300.0 and not world.descriptors.closing_holders
    )
    assert open_connections and open_connections == set(live(world))  # a draining host accepts no other


def test_a_liveness_check_is_closed_before_the_first_connection_and_with_the_last_task(world, monkeypatch):
    """A connection that carries set-ups has a cost: closing it in place of the check incurred the cost
    again."""
    monkeypatch.setattr(failure_detector, "QUIET_MS", 20.0)
    (peer,), client = standing(world, 1)
    (first,) = live(world)
    world.until(lambda: len(live(world)) == 2)
    assert (
        first.eviction_priority() is EvictionPriority.ONLY_CONNECTION
        or first.eviction_priority() is EvictionPriority.NEW_ONLY_CONNECTION
    )
    assert [connection.eviction_priority() for connection in live(world) if connection is not first] == [
        EvictionPriority.SPARE
    ]
    world.descriptors.capacity = (
        world.descriptors.held_count
    )  # nothing is free: each liveness check is evicted for the next
    stream_count = len(peer.streams)
    world.until(lambda: len(peer.streams) >= stream_count + 2)
    assert first in live(world) and len(live(world)) <= 2
    client.send(m.encode_with_cause(m.RELEASE, 1, 16))
    world.until(lambda: live(world) == [first])


def test_a_release_in_transit_is_received_on_a_connection_that_is_closing(world):
    (peer,), client = standing(world, 1)
    assert world.says(client)
    (connection,) = live(world)
    connection.close_gracefully("evicted for the test")
    peer.streams[0].send(m.encode_with_cause(m.RELEASE, 1, m.ENDED))
    assert world.back() == [api.Outcome.COMPLETED] and world.says(client) == m.encode_with_cause(
        m.RELEASE, 1, m.ENDED
    )
    world.until(lambda: not world.descriptors.closing_holders)


def test_a_host_that_never_closes_its_half_of_a_closing_connection(world, monkeypatch):
    monkeypatch.setattr(host_connection, "CLOSE_TIMEOUT_MS", 30.0)
    (peer,), _ = standing(world, 1)
    peer.serve = lambda stream: iter(())
    (connection,) = live(world)
    monkeypatch.setattr(connection.stream, "shutdown_write", lambda: None)
    connection.close_gracefully("evicted for the test")
    assert world.descriptors.closing_holders == {connection}
    world.until(
        lambda: (
            connection.stream.close_reason == "evicted for the test" and not world.descriptors.closing_holders
        )
    )


def test_connections_closed_by_the_pool_are_no_evidence_of_a_hosts_end(world):
    """Two that were closed at one moment had a draining host declared dead after 0.1 s of refusals."""
    peer, client = Peer(world.loop), world.client()
    world.list(("h0", peer.address))
    for task in (1, 2):
        world.ask(client, task, host="h0")
    world.until(lambda: len(peer.got) == 2)
    for stream, message in list(peer.got):
        stands(stream, message)
    world.until(lambda: len(world.exchange.placed_calls_by_host.get("h0", ())) == 2)
    world.list(("h0", peer.address), phase=api.MachinePhase.DRAINING)
    peer.listener.close()
    host = world.hosts.hosts_by_name["h0"]
    for connection in live(world):
        connection.close_gracefully("for the test")
    world.until(
        lambda: not world.descriptors.closing_holders and host.refused_since_ms < world.loop.now() - 200.0
    )
    assert not host.has_process_ended and "h0" in world.exchange.placed_calls_by_host


def test_the_only_connection_to_a_draining_host_is_never_evicted(world):
    (peer,), client = standing(world, 1)
    world.list(("h0", peer.address), phase=api.MachinePhase.DRAINING)
    world.descriptors.capacity = world.descriptors.held_count
    other = Peer(world.loop, stands)
    world.list(("h1", other.address))
    world.ask(client, 2, host="h1", timeout=300.0)
    assert world.back() == [api.Outcome.NOT_SENT] and live(world, "h0")


def test_a_host_whose_connection_was_evicted_may_have_begun_to_drain(world, monkeypatch):
    """The machine list may not show the drain yet, and the host refuses new connections while its tasks
    run."""
    monkeypatch.setattr(failure_detector, "EVICTED_QUIET_MS", 50.0)
    (peer,), _ = standing(world, 1)
    live(world)[0].evict()
    peer.listener.close()
    host = world.hosts.hosts_by_name["h0"]
    world.until(lambda: host.refused_since_ms < world.loop.now() - 5.0 * failure_detector.REFUSAL_PROOF_MS)
    assert "h0" in world.exchange.placed_calls_by_host
    assert world.back(ms=2.0 * failure_detector.DRAINING_REFUSAL_PROOF_MS) == [api.Outcome.LOST]


def test_the_last_client_connection_that_can_carry_releases_is_not_evicted(world):
    """Many new connections must not evict the only one on which releases can be sent."""
    (peer,), client = standing(world, 1)
    assert world.says(client)
    world.descriptors.capacity, world.descriptors.quotas_by_peer_kind = (
        2,
        {PeerKind.CLIENTS: 1, PeerKind.HOSTS: 1},
    )
    new_clients = [world.client() for _ in range(5)]
    assert [world.says(sock) for sock in new_clients] == [b""] * 5
    peer.streams[0].send(m.encode_with_cause(m.RELEASE, 1, m.ENDED))
    assert world.says(client) == m.encode_with_cause(m.RELEASE, 1, m.ENDED)


def test_a_further_connection_is_closed_once_it_is_not_needed(world, monkeypatch):
    monkeypatch.setattr(host_maintenance, "SURPLUS_IDLE_MS", 50.0)
    peer, client = Peer(world.loop, stands), world.client()
    world.list(("h0", peer.address))
    unanswered = []
    peer.script = lambda stream, message: unanswered.append((stream, message))
    for task in (1, 2, 3):
        world.ask(client, task, host="h0")
    world.until(lambda: len(unanswered) == 3)
    assert len(live(world)) == 3
    for stream, message in unanswered:
        stands(stream, message)
    world.until(lambda: len(live(world)) == 1)
    assert len(world.exchange.placed_calls_by_host["h0"]) == 3


def test_a_lack_of_descriptors_is_not_retried_in_every_tick(world, monkeypatch):
    """Each tick retried a connect to every host without a connection, which wasted half a core."""
    (peer,), _ = standing(world, 1)
    connect_times_ms = []

    def raise_emfile(*_):
        connect_times_ms.append(world.loop.now())
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(streams.socket, "socket", raise_emfile)
    peer.streams[0].close()
    world.until(lambda: connect_times_ms)
    end = world.loop.now() + 1_000.0
    world.until(lambda: world.loop.now() > end)
    assert len(connect_times_ms) <= 3

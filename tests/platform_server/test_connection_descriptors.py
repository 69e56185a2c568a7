"""Connections to hosts under a bounded number of descriptors: who waits, who gives way, what is closed."""

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
    """A connect without one fails at once, as if the host were at fault, and is tried again without end."""
    peers, owner = [Peer(world.loop) for _ in range(3)], world.client()
    world.list(*((f"h{i}", peer.address) for i, peer in enumerate(peers)))
    world.ask(owner, 1, host="h0")
    world.descriptors.capacity = world.descriptors.held_count  # the owner's and the link that is in use
    world.ask(owner, 2, host="h1")
    world.ask(owner, 3, host="h2", timeout=30.0)
    assert len(world.hosts.pending_queue) == 2 and world.back() == [api.Outcome.NOT_SENT]
    assert len(world.hosts.pending_queue) == 1 and not peers[1].streams
    world.until(lambda: peers[0].got)
    stands(*peers[0].got[0])
    peers[0].streams[0].send(m.encode_with_cause(m.RELEASE, 1, m.ENDED))
    world.until(lambda: peers[1].got)
    assert world.back(1) == [api.Outcome.NOT_SENT, api.Outcome.COMPLETED] and not world.hosts.pending_queue
    assert world.descriptors.peak_count == world.descriptors.capacity


def test_one_taken_back_while_the_line_is_served_is_not_sent(world):
    """On hearing that one came to nothing, the exchange may withdraw another: it is known not to have run."""
    peers, owner = [Peer(world.loop) for _ in range(2)], world.client()
    world.list(*((f"h{i}", peer.address) for i, peer in enumerate(peers)))
    world.until(lambda: world.owners.connections)
    world.descriptors.capacity = 1
    for task in (1, 2):
        world.ask(owner, task, host=f"h{task - 1}")
    first, second = world.hosts.pending_queue.attempts
    world.hosts.hosts_by_name["h0"].address = ("", 0)
    world.exchange.on_attempt_failed = lambda attempt, fact: world.hosts.cancel_attempt(second)
    world.descriptors.capacity = 9
    world.hosts.pending_queue.serve()
    assert (
        not world.hosts.pending_queue
        and second.connection is None
        and not world.hosts.hosts_by_name["h1"].connections
    )


def test_a_host_that_takes_connections_and_ends_them_is_asked_in_growing_steps(world, monkeypatch):
    """With a task there, each link that broke was opened again at once: some thousand times a second."""
    monkeypatch.setattr(host_maintenance, "TICK_MS", 5.0)
    (peer,), owner = standing(world, 1)
    taken, real = [], peer.listener.on_accept

    def accept(stream):
        taken.append(world.loop.now())
        stream.close()

    peer.listener.on_accept = accept
    for stream in peer.streams:
        stream.close()
    end = world.loop.now() + 1_500.0
    world.until(lambda: world.loop.now() > end)
    assert 3 <= len(taken) <= 9
    assert world.exchange.placed_calls_by_host  # it lives: its tasks do too
    peer.listener.on_accept = real
    world.until(lambda: live(world))


def test_a_burst_to_one_host_shares_what_comes_up_there(world, monkeypatch):
    """A host that is slow to take connections is not helped by eight that knock."""
    held, began = cut_off(monkeypatch), []
    world.list(("h1", ("127.0.0.1", 9)))
    monkeypatch.setattr(
        world.hosts.connection_limiter, "record_connect_begin", lambda address, now: began.append(address)
    )
    monkeypatch.setattr(world.hosts.connection_limiter, "is_saturated", lambda address: len(began) >= 2)
    monkeypatch.setattr(world.hosts.connection_limiter, "record_connect_end", lambda address: None)
    owner = world.client()
    for task in range(1, 6):
        world.ask(owner, task)
    assert world.back(5) == [api.Outcome.UNREACHABLE] * 5 and held[0]
    assert len(began) == 2


def test_more_than_may_come_up_at_once_wait_in_line(world, monkeypatch):
    """Where many hosts vanish each connect hangs for its time-out; the line goes on as they end."""
    monkeypatch.setattr(connection_limiter, "MIN_CONNECTING_LIMIT", 2)
    peers, owner = [Peer(world.loop, stands) for _ in range(6)], world.client()
    world.list(*((f"h{i}", peer.address) for i, peer in enumerate(peers)))
    real, most = host_connection.connect, []

    def connect(loop, address, timeout_ms):
        most.append(world.hosts.connection_limiter.connecting_count)
        yield from loop.sleep(20.0)
        return (yield from real(loop, address, timeout_ms))

    monkeypatch.setattr(host_connection, "connect", connect)
    for i in range(6):
        world.ask(owner, i + 1, host=f"h{i}")
    world.until(lambda: sum(map(len, world.exchange.placed_calls_by_host.values())) == 6)
    assert (
        max(most) <= 3
        and world.hosts.pending_queue.total_count >= 3
        and world.hosts.connection_limiter.connecting_count == 0
    )
    assert (
        world.hosts.connection_limiter.denied_count > 0
        and not world.hosts.connection_limiter.connecting_by_address
    )


def test_the_line_is_bounded(world, monkeypatch):
    monkeypatch.setattr(pending_queue, "MAX_QUEUED_ATTEMPTS", 1)
    peer, owner = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.until(lambda: world.owners.connections)
    world.descriptors.capacity = 1
    world.ask(owner, 1)
    world.ask(owner, 2)
    assert world.back() == [api.Outcome.NOT_SENT] and len(world.hosts.pending_queue) == 1


def test_what_nobody_needs_goes_first_whichever_host_it_is(world):
    """Room was made among hosts with several links only; one link each for 400 hosts did not fit."""
    (first, second), owner = standing(world, 2)
    first.streams[0].send(m.encode_with_cause(m.RELEASE, 1, m.ENDED))
    world.back()
    world.descriptors.capacity = world.descriptors.held_count
    third = Peer(world.loop, stands)
    world.list(("h2", third.address))
    world.ask(owner, 9, host="h2")
    world.until(lambda: "h2" in world.exchange.placed_calls_by_host)
    assert not live(world, "h0") and live(world, "h1") and live(world, "h2")


def test_more_hosts_than_descriptors_take_turns(world, monkeypatch):
    """Every release is heard, though two links serve six hosts."""
    monkeypatch.setattr(host_maintenance, "TICK_MS", 10.0)
    monkeypatch.setattr(failure_detector, "EVICTED_QUIET_MS", 100.0)
    monkeypatch.setattr(host_connection, "LIVENESS_CHECK_MS", 20.0)
    world.descriptors.capacity, world.descriptors.quotas_by_peer_kind = (
        3,
        {PeerKind.CLIENTS: 1, PeerKind.HOSTS: 2},
    )
    peers, owner = standing(world, 6)
    owed = {}

    def accept(peer, task):
        taken = peer.accept

        def told(stream):  # as the page says: a release comes also on the next connection opened
            taken(stream)
            if task in owed:
                stream.send(owed[task])

        peer.listener.on_accept = told

    for task, peer in enumerate(peers, 1):
        accept(peer, task)
        owed[task] = m.encode_with_cause(m.RELEASE, task, m.ENDED)
    world.back(6)
    assert not world.exchange.placed_calls_by_host and world.descriptors.peak_count <= 3


def test_a_life_test_leaves_one_link(world, monkeypatch):
    """A quiet host is tried by a new connection each time; they were kept until nothing was free."""
    monkeypatch.setattr(failure_detector, "QUIET_MS", 30.0)
    (peer,), _ = standing(world, 1)
    (first,) = live(world)
    world.until(lambda: len(peer.streams) >= 4)
    assert len(live(world)) <= 2 and first in live(world)  # the one that is paid for stays
    world.until(lambda: sum(stream.close_reason is None for stream in peer.streams) <= 2)


def test_a_visit_ends_only_when_the_next_is_opened(world, monkeypatch):
    """A release cut off with it comes again on the next one; a host that drains meanwhile takes none."""
    monkeypatch.setattr(failure_detector, "QUIET_MS", 20.0)
    (peer,), _ = standing(world, 1)
    world.until(lambda: len(live(world)) == 2)
    host = world.hosts.hosts_by_name["h0"]
    world.list(("h0", peer.address), phase=api.MachinePhase.DRAINING)
    peer.listener.close()
    kept = set(live(world))
    world.until(
        lambda: host.failing_since_ms < world.loop.now() - 300.0 and not world.descriptors.closing_holders
    )
    assert kept and kept == set(live(world))  # a host that drains takes no other


def test_a_visit_goes_before_the_link_it_is_beside_and_with_the_last_task(world, monkeypatch):
    """The link that carries set-ups is paid for; closed in its place it was opened, and paid for, again."""
    monkeypatch.setattr(failure_detector, "QUIET_MS", 20.0)
    (peer,), owner = standing(world, 1)
    (first,) = live(world)
    world.until(lambda: len(live(world)) == 2)
    assert (
        first.eviction_priority() is EvictionPriority.ONLY_CONNECTION
        or first.eviction_priority() is EvictionPriority.NEW_ONLY_CONNECTION
    )
    assert [link.eviction_priority() for link in live(world) if link is not first] == [EvictionPriority.SPARE]
    world.descriptors.capacity = (
        world.descriptors.held_count
    )  # nothing is free: a visit makes way for the next one
    seen = len(peer.streams)
    world.until(lambda: len(peer.streams) >= seen + 2)
    assert first in live(world) and len(live(world)) <= 2
    owner.send(m.encode_with_cause(m.RELEASE, 1, 16))
    world.until(lambda: live(world) == [first])


def test_a_release_on_its_way_is_heard_on_a_link_that_we_end(world):
    (peer,), owner = standing(world, 1)
    assert world.says(owner)
    (link,) = live(world)
    link.close_gracefully("room is wanted")
    peer.streams[0].send(m.encode_with_cause(m.RELEASE, 1, m.ENDED))
    assert world.back() == [api.Outcome.COMPLETED] and world.says(owner) == m.encode_with_cause(
        m.RELEASE, 1, m.ENDED
    )
    world.until(lambda: not world.descriptors.closing_holders)


def test_a_host_that_never_closes_a_link_that_we_end(world, monkeypatch):
    monkeypatch.setattr(host_connection, "CLOSE_TIMEOUT_MS", 30.0)
    (peer,), _ = standing(world, 1)
    peer.serve = lambda stream: iter(())
    (link,) = live(world)
    monkeypatch.setattr(link.stream, "shutdown_write", lambda: None)
    link.close_gracefully("room is wanted")
    assert world.descriptors.closing_holders == {link}
    world.until(
        lambda: link.stream.close_reason == "room is wanted" and not world.descriptors.closing_holders
    )


def test_links_that_we_end_do_not_tell_that_a_host_ended(world):
    """Two closed at one moment made a draining host pass for ended after 0.1 s of refusals."""
    peer, owner = Peer(world.loop), world.client()
    world.list(("h0", peer.address))
    for task in (1, 2):
        world.ask(owner, task, host="h0")
    world.until(lambda: len(peer.got) == 2)
    for stream, message in list(peer.got):
        stands(stream, message)
    world.until(lambda: len(world.exchange.placed_calls_by_host.get("h0", ())) == 2)
    world.list(("h0", peer.address), phase=api.MachinePhase.DRAINING)
    peer.listener.close()
    host = world.hosts.hosts_by_name["h0"]
    for link in live(world):
        link.close_gracefully("for the test")
    world.until(
        lambda: not world.descriptors.closing_holders and host.refused_since_ms < world.loop.now() - 200.0
    )
    assert not host.has_process_ended and "h0" in world.exchange.placed_calls_by_host


def test_the_only_link_to_a_draining_host_is_never_given_up(world):
    (peer,), owner = standing(world, 1)
    world.list(("h0", peer.address), phase=api.MachinePhase.DRAINING)
    world.descriptors.capacity = world.descriptors.held_count
    other = Peer(world.loop, stands)
    world.list(("h1", other.address))
    world.ask(owner, 2, host="h1", timeout=300.0)
    assert world.back() == [api.Outcome.NOT_SENT] and live(world, "h0")


def test_a_host_whose_link_we_gave_up_may_have_begun_to_drain(world, monkeypatch):
    """The list may not tell it yet, and it refuses new connections while its tasks run."""
    monkeypatch.setattr(failure_detector, "EVICTED_QUIET_MS", 50.0)
    (peer,), _ = standing(world, 1)
    live(world)[0].evict()
    peer.listener.close()
    host = world.hosts.hosts_by_name["h0"]
    world.until(lambda: host.refused_since_ms < world.loop.now() - 5.0 * failure_detector.REFUSAL_PROOF_MS)
    assert "h0" in world.exchange.placed_calls_by_host
    assert world.back(ms=2.0 * failure_detector.DRAINING_REFUSAL_PROOF_MS) == [api.Outcome.LOST]


def test_the_last_owner_that_releases_can_go_by_stays(world):
    """A crowd of new connections may not close the one way to tell owners that their tasks are over."""
    (peer,), owner = standing(world, 1)
    assert world.says(owner)
    world.descriptors.capacity, world.descriptors.quotas_by_peer_kind = (
        2,
        {PeerKind.CLIENTS: 1, PeerKind.HOSTS: 1},
    )
    crowd = [world.client() for _ in range(5)]
    assert [world.says(sock) for sock in crowd] == [b""] * 5
    peer.streams[0].send(m.encode_with_cause(m.RELEASE, 1, m.ENDED))
    assert world.says(owner) == m.encode_with_cause(m.RELEASE, 1, m.ENDED)


def test_a_further_link_goes_once_it_is_not_needed(world, monkeypatch):
    monkeypatch.setattr(host_maintenance, "SURPLUS_IDLE_MS", 50.0)
    peer, owner = Peer(world.loop, stands), world.client()
    world.list(("h0", peer.address))
    held = []
    peer.script = lambda stream, message: held.append((stream, message))
    for task in (1, 2, 3):
        world.ask(owner, task, host="h0")
    world.until(lambda: len(held) == 3)
    assert len(live(world)) == 3
    for stream, message in held:
        stands(stream, message)
    world.until(lambda: len(live(world)) == 1)
    assert len(world.exchange.placed_calls_by_host["h0"]) == 3


def test_at_the_limit_no_sweep_tries_again_at_once(world, monkeypatch):
    """Each sweep tried a connection for every host without one: half a core for nothing."""
    (peer,), _ = standing(world, 1)
    tried = []

    def none_left(*_):
        tried.append(world.loop.now())
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(streams.socket, "socket", none_left)
    peer.streams[0].close()
    world.until(lambda: tried)
    end = world.loop.now() + 1_000.0
    world.until(lambda: world.loop.now() > end)
    assert len(tried) <= 3

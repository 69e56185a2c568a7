"""Evidence that ends a host's tasks: refusals, partitions, lost connections, the machine list. Real
sockets."""

import pytest

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_server import (
    failure_detector,
    host_maintenance,
    task_leases,
)
from tests.support.exchange_world import setup
from tests.support.process_hosts import RepeatingHost
from tests.support.socket_world import Peer, cut_off, kinds, reset, settled, standing, stands


@pytest.fixture
def world(virtual_time_world):
    return virtual_time_world


def test_the_policy_is_notified_of_hosts_that_liveness_checks_do_not_reach(world, monkeypatch):
    """It is also notified when such a host is heard again, even on a connection from before the partition."""
    monkeypatch.setattr(failure_detector, "QUIET_MS", 20.0)
    monkeypatch.setattr(host_maintenance, "TICK_MS", 20.0)
    world.hosts.connect_ms = 10.0
    (peer,), _ = standing(world, 1)
    changes = lambda: [  # noqa: E731
        (e.machine, e.is_reachable) for e in world.module.events if isinstance(e, api.ReachabilityChanged)
    ]
    world.until(lambda: len(peer.streams) > 3)
    assert changes() == []  # liveness checks that succeed are not reported
    is_cut_off = cut_off(monkeypatch)
    world.until(lambda: len(changes()) >= 2)
    assert set(changes()) == {("h0", False)}
    peer.streams[0].send(m.encode(m.PROGRESS, 99))
    world.until(lambda: changes()[-1] == ("h0", True))
    world.until(lambda: changes()[-1] == ("h0", False))
    is_cut_off[0] = False
    world.until(lambda: changes()[-1] == ("h0", True))
    assert sum(is_reachable for _, is_reachable in changes()) == 2


@pytest.mark.parametrize("heals", [True, False])
def test_a_partition_ends_tasks_only_when_their_release_is_nearly_due(world, monkeypatch, heals):
    """Thousands of tasks that survived a partition of 6 s were declared lost after 3.5 s of failed
    connects."""
    monkeypatch.setattr(host_maintenance, "TICK_MS", 5.0)
    for name, ms in (("QUIET_MS", 20.0), ("UNREACHABLE_MS", 900.0)):
        monkeypatch.setattr(failure_detector, name, ms)
    (peer,), _ = standing(world, 1)
    is_cut_off, host = cut_off(monkeypatch), world.hosts.hosts_by_name["h0"]
    last_heard_at_ms = host.last_heard_at_ms
    world.until(lambda: host.failing_since_ms < world.loop.now() - 200.0)
    assert "h0" in world.exchange.placed_calls_by_host
    if heals:
        is_cut_off[0] = False
        world.until(lambda: host.last_heard_at_ms > last_heard_at_ms)
        world.until(lambda: world.loop.now() > last_heard_at_ms + 1_300.0)
        assert "h0" in world.exchange.placed_calls_by_host
    else:
        assert world.back() == [api.Outcome.LOST]
        # The last connect was late enough to have detected the end of the partition.
        assert host.last_failure_at_ms > host.last_heard_at_ms + 900.0


def test_tasks_of_a_host_that_died_are_lost(world):
    peer, client = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(client, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    answer = world.says(client)
    peer.die()
    assert world.back() == [api.Outcome.LOST] and any("refused" in text for text in world.logs)
    assert answer and world.says(client) == m.encode_with_cause(m.RELEASE, 1, m.FAILED)


def test_the_loss_of_all_connections_at_once_shows_that_a_draining_host_ended(world):
    peer, client = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    for task in (1, 2):
        world.ask(client, task)
    world.until(lambda: len(peer.got) == 2)
    for stream, message in list(peer.got):
        stands(stream, message)
    world.until(lambda: len(world.exchange.placed_calls_by_host.get("h1", ())) == 2)
    world.list(("h1", peer.address), phase=api.MachinePhase.DRAINING)
    peer.die()
    assert world.back(2, ms=0.6 * failure_detector.DRAINING_REFUSAL_PROOF_MS) == [api.Outcome.LOST] * 2


@pytest.mark.parametrize("idle", [False, True])
def test_the_loss_of_its_only_connection_shows_that_a_draining_host_ended(world, idle):
    """The release is due 1 s after the end, and no further evidence follows: the host accepts no new
    connection."""
    (peer,), _ = standing(world, 1)
    world.list(("h0", peer.address), phase=api.MachinePhase.DRAINING)
    if idle:  # the host may have closed the connection as idle while its tasks run on
        world.hosts.idle_ms = 10.0
        end = world.loop.now() + 30.0
        world.until(lambda: world.loop.now() > end)
    peer.die()
    began = world.loop.now()
    assert world.back() == [api.Outcome.LOST]
    assert (world.loop.now() - began > 1_000.0) is idle


@pytest.mark.parametrize(
    ("case", "is_lost"),
    [
        ("answers to health checks", True),
        ("observations", False),
        ("nothing, removed", True),
        ("nothing, listed again", False),
    ],
)
def test_a_host_that_refuses_connections_and_sends_nothing_unsolicited(world, monkeypatch, case, is_lost):
    """A draining host answered health checks for 5 s without sending the releases of ended tasks, due 8 s
    after the end.

    The pool sends no health checks itself: they had a cost and revealed nothing beyond the machine list and
    the connections."""
    monkeypatch.setattr(failure_detector, "QUIET_MS", 50.0)
    monkeypatch.setattr(failure_detector, "UNREACHABLE_MS", 600.0 if "nothing" not in case else 60_000.0)

    messages = {
        "observations": m.encode(m.OBSERVATION, 1, {m.TOPIC: b"cores", m.VALUE: b"1"}),
        "answers to health checks": m.encode_with_cause(m.PROBE_ANSWER, 9, 0),
    }

    def send_periodically():
        if case in messages and peer.streams[0].try_send(messages[case]):
            world.loop.call_in(50.0, send_periodically)

    peer, client = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(client, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    send_periodically()
    peer.listener.close()
    world.list(
        ("h1", peer.address),
        phase=api.MachinePhase.REMOVED if "nothing" in case else api.MachinePhase.DRAINING,
    )
    if case == "nothing, listed again":  # removed for a moment only: refusals prove no more than before
        world.list(("h1", peer.address), phase=api.MachinePhase.DRAINING)
    began = world.loop.now()
    world.until(lambda: "h1" not in world.exchange.placed_calls_by_host or world.loop.now() > began + 1_500.0)
    assert ("h1" not in world.exchange.placed_calls_by_host) is is_lost
    if is_lost:
        assert world.back() == [api.Outcome.LOST]
    assert m.PROBE not in kinds(peer)


@pytest.mark.parametrize("how", ["replaced", "restarted", "unlisted"])
def test_the_machine_list_shows_the_end_of_a_host(world, monkeypatch, how):
    monkeypatch.setattr(task_leases, "LEASE_MS", 50.0)
    monkeypatch.setattr(task_leases, "UNLISTED_REVIEW_MS", 20.0)
    peer, client = Peer(world.loop, stands), world.client()
    name = "h9" if how == "unlisted" else "h1"
    world.list(("h1", peer.address))
    if how == "unlisted":
        client.send(setup(1, extras="cores:1;memory:1;service:s;at:h9", wait=None))
    else:
        world.ask(client, 1)
    world.until(lambda: name in world.exchange.placed_calls_by_host)
    if how == "replaced":
        world.list(("h2", peer.address))
    elif how == "restarted":
        world.list(("h1", peer.address, world.loop.clock.wall() - 30_000.0))
        assert name in world.exchange.placed_calls_by_host  # a start from before the placement ends no task
        settled(world)  # so that the next start is later than the placement
        world.list(("h1", peer.address, world.loop.clock.wall() + 1.0))
    assert world.back() == [api.Outcome.LOST] and not world.exchange.placed_calls_by_host


@pytest.mark.parametrize("ahead_ms", [-600_000.0, 600_000.0])
def test_a_start_by_a_clock_that_differs_by_minutes_ends_only_earlier_tasks(world, ahead_ms):
    """With a clock that is behind, every update of the list ended all tasks of the host; with one ahead, none
    did."""
    world.channel.clock_offset_ms += ahead_ms
    peer, client = Peer(world.loop, stands), world.client()
    started = world.loop.clock.wall()
    world.list(("h1", peer.address, started - 5_000.0))
    world.ask(client, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    world.list(("h1", peer.address, started - 5_000.0))  # listed again, as when its capacity changes
    assert "h1" in world.exchange.placed_calls_by_host
    end = world.loop.now() + 5.0
    world.until(lambda: world.loop.now() > end)
    world.list(("h1", peer.address, started))
    assert world.back() == [api.Outcome.LOST] and "h1" not in world.exchange.placed_calls_by_host
    world.ask(client, 2)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    world.list(("h1", peer.address, started))
    assert "h1" in world.exchange.placed_calls_by_host


@pytest.mark.parametrize("cut_at", [1, 8, 14])
def test_a_release_that_stops_in_its_middle_comes_on_the_next_connection(virtual_time_world, cut_at):
    """A host's connection stalls in a message: the host is quiet, so it is checked by a new connection."""
    world = virtual_time_world
    peer, client = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(client, 1)
    assert world.says(client)
    release = m.encode_with_cause(m.RELEASE, 1, m.ENDED)
    peer.streams[0].send(release[:cut_at])
    began_at_ms = world.loop.now()
    world.until(lambda: len(peer.streams) == 2, 4_000.0)
    peer.streams[1].send(release)
    assert world.says(client) == release
    assert world.loop.now() - began_at_ms < 2_000.0
    peer.streams[0].send(release[cut_at:])
    settled(world)
    with pytest.raises(BlockingIOError):
        client.recv(100)


def test_a_release_that_a_reset_cut_off_comes_though_the_next_connect_has_to_wait(virtual_time_world):
    """Guards against an end that is never told: the connection had lasted less than the backoff's second, and
    another one stayed open on which the host went on reporting."""
    world = virtual_time_world
    host, client = RepeatingHost(world.loop), world.client()
    world.list(("h1", host.address))
    world.module.next += [[api.Bind(1, "h1", 2_000.0)], [api.Bind(2, "h1", 2_000.0)]]
    client.send(setup(1) + setup(2))
    world.until(lambda: len(world.exchange.placed_calls_by_host.get("h1", ())) == 2)
    settled(world)
    assert len(host.streams) == 2
    client.recv(65_536)

    def report():
        host.streams[1].try_send(m.encode(m.OBSERVATION, 2, {m.TOPIC: b"cores", m.VALUE: b"1"}))
        world.loop.call_in(300.0, report)

    report()
    host.unacknowledged.add(1)
    reset(host.streams[0])
    assert world.says(client, ms=8_000.0) == m.encode_with_cause(m.RELEASE, 1, m.ENDED)

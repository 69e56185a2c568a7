"""The tick of the connection pool: it acts as if it maintained all hosts, at the cost of those that are
due."""

from random import Random

import pytest

from glencleat import interface as api
from glencleat.descriptor_budget import Demand
from glencleat.platform_protocol import messages as m
from glencleat.platform_server import connection_pool, failure_detector, host_maintenance
from glencleat.platform_server.host_maintenance import HostMaintenance
from tests.support.pool_world import World

SEQUENCES, BATCH, STEPS = 240, 12, 140


class SweepingMaintenance(HostMaintenance):
    """The reference implementation: maintains every host in each tick."""

    def _tick(self):
        pool = self.pool
        pool.loop.call_in(host_maintenance.TICK_MS, self._tick)
        now = pool.loop.now()
        was_stalled = now - self.last_tick_at_ms > host_maintenance.STALL_MS
        self.last_tick_at_ms = now
        if was_stalled:
            return
        pool.on_capacity_freed()
        for name in [name for name in pool.exchange.placed_calls_by_host if name not in pool.hosts_by_name]:
            pool.registry.add_host(name).record_removed(now)
        for host in sorted(pool.hosts_by_name.values(), key=lambda host: host.last_heard_at_ms):
            if host.name in pool.exchange.placed_calls_by_host:
                self._assess_host(host, now)
            elif host.unsent_releases:
                pool.reconnect(host, Demand.ATTEMPT)
            self._close_unneeded(host, now)
            pool.update_eviction_priorities(host)


class Script:
    """A random sequence of actions on a cluster; each choice depends on the seed and on the current state."""

    def __init__(self, world, seed):
        self.world, self.random, self.tasks = world, Random(seed), 0
        self.names = [f"h{i}" for i in range(self.random.randint(2, 9))]
        self.port = dict(zip(self.names, range(1, 99), strict=False))
        self.phase = dict.fromkeys(self.names, api.MachinePhase.SERVING)
        self.started = dict.fromkeys(self.names, 0.0)
        self.interval_ranges_ms = self.random.choice(((1.0, 400.0), (1.0, 2_500.0), (1.0, 60.0)))
        for name in self.names:
            world.add_peer(name, self.port[name])
        world.apply_list(*map(self.entry, self.names), is_snapshot=True)
        self.actions = [
            self.request_setup, self.request_setup, self.request_setup, self.request_setup, self.adopt,
            self.end_task, self.end_task, self.end_task, self.send_observations, self.send_observations,
            self.release, self.apply_delta, self.apply_delta, self.apply_snapshot, self.change_mode,
            self.change_mode, self.restore_all, self.break_connections, self.break_connections,
            self.change_address, self.restart_process, self.stall, self.toggle_descriptors, self.wait,
        ]  # fmt: skip

    def entry(self, name):
        return name, self.port[name], self.phase[name], self.started[name]

    def choose(self, candidates):
        candidates = sorted(candidates)
        return self.random.choice(candidates) if candidates else None

    def choose_peer(self):
        return self.world.peers[self.choose(self.world.peers)]

    def run(self):
        for _ in range(STEPS):
            self.random.choice(self.actions)()
            self.world.advance(self.random.uniform(*self.interval_ranges_ms))
        self.world.advance(12_000.0)

    def request_setup(self):
        self.tasks += 1
        self.world.request_setup(self.tasks, self.choose(self.names), self.random.choice(("safe", "unsafe")))

    def adopt(self):
        self.tasks += 1
        name = self.choose([*self.names, "h-unknown"])
        self.world.adopt(self.tasks, name)
        for peer in self.world.peers.values():
            if peer.name == name:
                peer.tasks[self.tasks] = None

    def end_task(self):
        peer = self.choose_peer()
        if peer.tasks:
            peer.end_task(self.choose(peer.tasks))

    def send_observations(self):
        self.choose_peer().send_observations()

    def release(self):
        task = self.choose(self.world.exchange.calls_by_task_id)
        if task is not None:
            self.world.release_by_client(task)

    def apply_delta(self):
        name = self.choose(self.names)
        self.phase[name] = self.random.choice(list(api.MachinePhase))
        self.world.apply_list(self.entry(name))

    def apply_snapshot(self):
        listed = [name for name in self.names if self.random.random() < 0.8]
        for name in self.names:
            self.phase[name] = api.MachinePhase.SERVING if name in listed else api.MachinePhase.REMOVED
        self.world.apply_list(*map(self.entry, listed), is_snapshot=True)

    def change_mode(self):
        peer = self.choose_peer()
        peer.mode = self.random.choice(("refuses", "silent", "up"))
        if peer.mode == "refuses" and self.random.random() < 0.6:
            peer.break_connections()

    def restore_all(self):
        for peer in self.world.peers.values():
            peer.mode = "up"

    def break_connections(self):
        self.choose_peer().break_connections(self.random.choice((1, 99)))

    def change_address(self):
        """Moves a host to another address, sometimes to one that another host has."""
        name = self.choose(self.names)
        self.port[name] = self.random.randint(1, 12)
        self.world.add_peer(name, self.port[name])
        self.world.apply_list(self.entry(name))

    def restart_process(self):
        name = self.choose(self.names)
        self.started[name] = self.world.clock.wall() - self.random.uniform(0.0, 5_000.0)
        self.world.apply_list(self.entry(name))

    def stall(self):
        self.world.clock.at += self.random.choice((500.0, 1_500.0, 9_000.0))

    def toggle_descriptors(self):
        self.world.has_no_descriptors = not self.world.has_no_descriptors and self.random.random() < 0.5

    def wait(self):
        self.world.advance(self.random.choice((3_000.0, 6_000.0, 30_000.0)))


def run_script(maintenance_type, seed, patch):
    capacity = Random(seed).choice((2, 3, 5, 40))
    patch.setattr(connection_pool, "HostMaintenance", maintenance_type)
    world = World(capacity, patch)
    assert type(world.hosts.maintenance) is maintenance_type
    Script(world, seed).run()
    return world


def final_state(world):
    """The state at the end, which the record does not contain."""
    hosts = {
        name: (
            host.next_connect_at_ms,
            host.last_heard_at_ms,
            host.last_unsolicited_at_ms,
            host.is_reported_unreachable,
            [
                (connection.last_used_at_ms, connection.is_liveness_check, connection.open_attempt_count)
                for connection in host.connections
            ],
        )
        for name, host in world.hosts.hosts_by_name.items()
    }
    budget, limiter = world.descriptors, world.hosts.connection_limiter
    placed_tasks = {name: list(tasks) for name, tasks in world.exchange.placed_calls_by_host.items()}
    return (
        hosts,
        placed_tasks,
        budget.held_count,
        budget.peak_count,
        budget.denied_count,
        limiter.denied_count,
        limiter.connecting_count,
        world.hosts.pending_queue.total_count,
    )


@pytest.mark.parametrize("first", range(0, SEQUENCES, BATCH))
def test_behaves_as_if_each_tick_maintained_all_hosts(first, monkeypatch):
    """Random sequences of list updates, drains, ended tasks, lost connections, refusals, silence and stalls
    give the same record with both implementations."""
    for seed in range(first, first + BATCH):
        reference, due = (
            run_script(kind, seed, monkeypatch) for kind in (SweepingMaintenance, HostMaintenance)
        )
        pairs = zip(reference.record, due.record, strict=False)
        differs = next((i for i, (a, b) in enumerate(pairs) if a != b), None)
        if differs is not None:
            around = slice(max(0, differs - 4), differs + 3)
            pytest.fail(f"seed {seed}:\n{reference.record[around]}\n{due.record[around]}")
        assert len(reference.record) == len(due.record) and final_state(reference) == final_state(due), seed
        assert (
            reference.hosts.connection_count == due.hosts.connection_count
            or not reference.hosts.connected_hosts
        )


# ---- the cost of a tick, as counts of maintained hosts ----


def make_world(count, patch, tasks=0):
    """A world with `count` listed hosts, the first `tasks` of which have one placed task each."""
    world = World(patch=patch)
    for i in range(count):
        world.add_peer(f"h{i}", i + 1)
    entries = [(f"h{i}", i + 1, api.MachinePhase.SERVING, 0.0) for i in range(count)]
    world.apply_list(*entries, is_snapshot=True)
    for i in range(tasks):
        world.adopt(i + 1, f"h{i}")
    world.advance(3_000.0)
    return world, entries


def count_maintained(world, ms):
    """Returns the numbers of maintained hosts and of ticks within `ms`."""
    before = world.hosts.maintenance.due_hosts.taken_count, world.hosts.maintenance.tick_count
    world.advance(ms)
    return world.hosts.maintenance.due_hosts.taken_count - before[
        0
    ], world.hosts.maintenance.tick_count - before[1]


def test_idle_hosts_are_not_maintained_whatever_their_number(monkeypatch):
    found = [count_maintained(make_world(count, monkeypatch)[0], 10_000.0) for count in (100, 400)]
    assert found[0] == found[1] and found[0][0] == 0 and found[0][1] >= 49


def test_hosts_with_tasks_cost_the_same_among_four_times_as_many(monkeypatch):
    small, large = (
        count_maintained(make_world(count, monkeypatch, tasks=20)[0], 10_000.0) for count in (100, 400)
    )
    assert small == large
    checks = 10_000.0 / failure_detector.QUIET_MS
    # Each liveness check has the host maintained when it is due, when it opens and when it replaces the last.
    assert 20 * checks * 0.7 < small[0] < 20 * checks * 4.0


def test_a_snapshot_without_changes_has_no_host_maintained(monkeypatch):
    world, entries = make_world(400, monkeypatch)
    world.apply_list(*entries, is_snapshot=True)
    assert count_maintained(world, 1_000.0)[0] == 0


@pytest.mark.parametrize("how", ["gone", "left out"])
def test_hosts_removed_together_are_maintained_once_each(monkeypatch, how):
    world, entries = make_world(400, monkeypatch)
    if how == "gone":
        world.apply_list(*((name, port, api.MachinePhase.REMOVED, 0.0) for name, port, _, _ in entries[:60]))
    else:
        world.apply_list(*entries[60:], is_snapshot=True)
    assert count_maintained(world, 1_000.0)[0] == 60
    assert len(world.hosts.hosts_by_name) == 340 and count_maintained(world, 1_000.0)[0] == 0


def test_removed_hosts_leave_no_state_behind(monkeypatch):
    world, entries = make_world(30, monkeypatch, tasks=20)
    world.apply_list(*((name, port, api.MachinePhase.REMOVED, 0.0) for name, port, _, _ in entries))
    for peer in world.peers.values():
        peer.mode = "refuses"
        peer.break_connections()
    world.advance(10_000.0)
    due_hosts = world.hosts.maintenance.due_hosts
    assert not (
        world.hosts.hosts_by_name
        or world.exchange.placed_calls_by_host
        or world.hosts.connected_hosts
        or world.hosts.releasing_hosts
    )
    assert not due_hosts.dirty_keys and not len(due_hosts.due_queue) and world.hosts.connection_count == 0


# ---- changes that the random sequences seldom contain ----


def test_a_connection_that_responds_again_lowers_the_priority_of_the_other_one(monkeypatch):
    """The self-check of the next tick fails if the other connection is not refiled."""
    world, _ = make_world(1, monkeypatch)
    # Neither the second set-up nor its cancellation is answered: its connection is unresponsive.
    for task in (8, 10):
        world.request_setup(task, "h0", "unsafe")
    world.advance(1_500.0)
    host = world.hosts.hosts_by_name["h0"]
    (unresponsive,) = (other for other in host.connections if other.is_unresponsive)
    world.advance(500.0)
    unresponsive.stream.receive(m.encode(m.PROGRESS, 10))
    world.advance(100.0)
    assert not unresponsive.is_unresponsive and host in world.hosts.maintenance.due_hosts.dirty_keys
    world.advance(200.0)


def test_a_release_by_the_host_itself_ends_the_wait_for_its_acknowledgement(monkeypatch):
    world, _ = make_world(1, monkeypatch, tasks=1)
    world.peers["127.0.0.1", 1].mode = "refuses"
    world.peers["127.0.0.1", 1].break_connections()
    world.advance(20.0)
    world.release_by_client(1)
    assert world.hosts.has_unsent_releases
    world.peers["127.0.0.1", 1].mode = "up"
    world.advance(3_000.0)
    assert not world.hosts.has_unsent_releases and not world.hosts.releasing_hosts

"""Which hosts a tick looks at: as if it had looked at all, and at a cost of what is due alone."""

from random import Random

import pytest

from glencleat import interface as api
from glencleat.descriptor_budget import Demand
from glencleat.platform_protocol import messages as m
from glencleat.platform_server import connection_pool, failure_detector, host_maintenance
from glencleat.platform_server.host_maintenance import HostMaintenance
from tests.support.pool_world import World

STREAMS, BATCH, STEPS = 240, 12, 140


class SweepingMaintenance(HostMaintenance):
    """The plain way, which the program went until hosts were maintained when due: all of them in each tick."""

    def _tick(self):
        pool = self.pool
        pool.loop.call_in(host_maintenance.TICK_MS, self._tick)
        now = pool.loop.now()
        is_late = now - self.last_tick_at_ms > host_maintenance.STANDSTILL_MS
        self.last_tick_at_ms = now
        if is_late:
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
    """What happens to a cluster, drawn from a seed; what is drawn depends on what there is by then."""

    def __init__(self, world, seed):
        self.world, self.random, self.tasks = world, Random(seed), 0
        self.names = [f"h{i}" for i in range(self.random.randint(2, 9))]
        self.port = dict(zip(self.names, range(1, 99), strict=False))
        self.phase = dict.fromkeys(self.names, api.MachinePhase.SERVING)
        self.started = dict.fromkeys(self.names, 0.0)
        self.spans = self.random.choice(((1.0, 400.0), (1.0, 2_500.0), (1.0, 60.0)))
        for name in self.names:
            world.peer(name, self.port[name])
        world.told(*map(self.entry, self.names), whole=True)
        self.verbs = [
            self.ask, self.ask, self.ask, self.ask, self.adopt, self.end, self.end, self.end, self.note, self.note,
            self.release, self.list, self.list, self.whole, self.mode, self.mode, self.mend, self.cut, self.cut,
            self.move, self.start, self.standstill, self.files, self.rest,
        ]  # fmt: skip

    def entry(self, name):
        return name, self.port[name], self.phase[name], self.started[name]

    def any(self, found):
        found = sorted(found)
        return self.random.choice(found) if found else None

    def peer(self):
        return self.world.peers[self.any(self.world.peers)]

    def run(self):
        for _ in range(STEPS):
            self.random.choice(self.verbs)()
            self.world.advance(self.random.uniform(*self.spans))
        self.world.advance(12_000.0)

    def ask(self):
        self.tasks += 1
        self.world.ask(self.tasks, self.any(self.names), self.random.choice(("safe", "unsafe")))

    def adopt(self):
        self.tasks += 1
        name = self.any([*self.names, "h-unknown"])
        self.world.adopt(self.tasks, name)
        for peer in self.world.peers.values():
            if peer.name == name:
                peer.tasks[self.tasks] = None

    def end(self):
        peer = self.peer()
        if peer.tasks:
            peer.ends(self.any(peer.tasks))

    def note(self):
        self.peer().notes()

    def release(self):
        task = self.any(self.world.exchange.calls_by_task_id)
        if task is not None:
            self.world.release(task)

    def list(self):
        name = self.any(self.names)
        self.phase[name] = self.random.choice(list(api.MachinePhase))
        self.world.told(self.entry(name))

    def whole(self):
        left = [name for name in self.names if self.random.random() < 0.8]
        for name in self.names:
            self.phase[name] = api.MachinePhase.SERVING if name in left else api.MachinePhase.REMOVED
        self.world.told(*map(self.entry, left), whole=True)

    def mode(self):
        peer = self.peer()
        peer.mode = self.random.choice(("refuses", "silent", "up"))
        if peer.mode == "refuses" and self.random.random() < 0.6:
            peer.breaks()

    def mend(self):
        for peer in self.world.peers.values():
            peer.mode = "up"

    def cut(self):
        self.peer().breaks(self.random.choice((1, 99)))

    def move(self):
        """To another address, sometimes one that another host has."""
        name = self.any(self.names)
        self.port[name] = self.random.randint(1, 12)
        self.world.peer(name, self.port[name])
        self.world.told(self.entry(name))

    def start(self):
        name = self.any(self.names)
        self.started[name] = self.world.clock.wall() - self.random.uniform(0.0, 5_000.0)
        self.world.told(self.entry(name))

    def standstill(self):
        self.world.clock.at += self.random.choice((500.0, 1_500.0, 9_000.0))

    def files(self):
        self.world.no_files = not self.world.no_files and self.random.random() < 0.5

    def rest(self):
        self.world.advance(self.random.choice((3_000.0, 6_000.0, 30_000.0)))


def played(maintenance_type, seed, patch):
    room = Random(seed).choice((2, 3, 5, 40))
    patch.setattr(connection_pool, "HostMaintenance", maintenance_type)
    world = World(room, patch)
    assert type(world.hosts.maintenance) is maintenance_type
    Script(world, seed).run()
    return world


def left(world):
    """What there is at the end, beside the record."""
    found = {
        name: (
            host.next_connect_at_ms,
            host.last_heard_at_ms,
            host.last_unsolicited_at_ms,
            host.is_reported_unreachable,
            [(li.last_used_at_ms, li.is_liveness_check, li.open_attempt_count) for li in host.connections],
        )
        for name, host in world.hosts.hosts_by_name.items()
    }
    d, c = world.descriptors, world.hosts.connection_limiter
    standing = {name: list(tasks) for name, tasks in world.exchange.placed_calls_by_host.items()}
    return (
        found,
        standing,
        d.held_count,
        d.peak_count,
        d.denied_count,
        c.denied_count,
        c.connecting_count,
        world.hosts.pending_queue.total_count,
    )


@pytest.mark.parametrize("first", range(0, STREAMS, BATCH))
def test_all_that_is_told_is_as_if_all_hosts_were_looked_at(first, monkeypatch):
    """Streams of lists, drains, ends, breaks, refusals, silences and standstills, by both ways."""
    for seed in range(first, first + BATCH):
        plain, due = (played(kind, seed, monkeypatch) for kind in (SweepingMaintenance, HostMaintenance))
        pairs = zip(plain.record, due.record, strict=False)
        differs = next((i for i, (a, b) in enumerate(pairs) if a != b), None)
        if differs is not None:
            around = slice(max(0, differs - 4), differs + 3)
            pytest.fail(f"seed {seed}:\n{plain.record[around]}\n{due.record[around]}")
        assert len(plain.record) == len(due.record) and left(plain) == left(due), seed
        assert plain.hosts.connection_count == due.hosts.connection_count or not plain.hosts.connected_hosts


# ---- what a tick costs, as counts of work ----


def many(count, patch, tasks=0):
    """`count` hosts that the list names, a task on each of the first."""
    world = World(patch=patch)
    for i in range(count):
        world.peer(f"h{i}", i + 1)
    everyone = [(f"h{i}", i + 1, api.MachinePhase.SERVING, 0.0) for i in range(count)]
    world.told(*everyone, whole=True)
    for i in range(tasks):
        world.adopt(i + 1, f"h{i}")
    world.advance(3_000.0)
    return world, everyone


def looked(world, ms):
    """Hosts looked at in so long, and ticks."""
    before = world.hosts.maintenance.due_hosts.taken_count, world.hosts.maintenance.tick_count
    world.advance(ms)
    return world.hosts.maintenance.due_hosts.taken_count - before[
        0
    ], world.hosts.maintenance.tick_count - before[1]


def test_idle_hosts_cost_nothing_whatever_their_number(monkeypatch):
    found = [looked(many(count, monkeypatch)[0], 10_000.0) for count in (100, 400)]
    assert found[0] == found[1] and found[0][0] == 0 and found[0][1] >= 49


def test_hosts_with_tasks_cost_the_same_among_four_times_as_many(monkeypatch):
    small, large = (looked(many(count, monkeypatch, tasks=20)[0], 10_000.0) for count in (100, 400))
    assert small == large
    looks = 10_000.0 / failure_detector.QUIET_MS
    assert 20 * looks * 0.7 < small[0] < 20 * looks * 4.0  # as each is due, comes up, and ends the one before


def test_a_whole_list_that_says_nothing_new_has_no_host_looked_at(monkeypatch):
    world, everyone = many(400, monkeypatch)
    world.told(*everyone, whole=True)
    assert looked(world, 1_000.0)[0] == 0


@pytest.mark.parametrize("how", ["gone", "left out"])
def test_hosts_gone_at_once_are_looked_at_once_each(monkeypatch, how):
    world, everyone = many(400, monkeypatch)
    if how == "gone":
        world.told(*((name, port, api.MachinePhase.REMOVED, 0.0) for name, port, _, _ in everyone[:60]))
    else:
        world.told(*everyone[60:], whole=True)
    assert looked(world, 1_000.0)[0] == 60
    assert len(world.hosts.hosts_by_name) == 340 and looked(world, 1_000.0)[0] == 0


def test_what_is_forgotten_leaves_nothing_behind(monkeypatch):
    world, everyone = many(30, monkeypatch, tasks=20)
    world.told(*((name, port, api.MachinePhase.REMOVED, 0.0) for name, port, _, _ in everyone))
    for peer in world.peers.values():
        peer.mode = "refuses"
        peer.breaks()
    world.advance(10_000.0)
    turns = world.hosts.maintenance.due_hosts
    assert not (
        world.hosts.hosts_by_name
        or world.exchange.placed_calls_by_host
        or world.hosts.connected_hosts
        or world.hosts.releasing_hosts
    )
    assert not turns.dirty_keys and not len(turns.due_queue) and world.hosts.connection_count == 0


# ---- marks that drawn streams seldom need ----


def test_a_link_that_is_heard_again_makes_the_one_beside_it_worth_less(monkeypatch):
    """The check of a tick fails if it is not filed anew."""
    world, _ = many(1, monkeypatch)
    for task in (8, 10):  # the second has no answer, nor has its end: its link is doubtful
        world.ask(task, "h0", "unsafe")
    world.advance(1_500.0)
    host = world.hosts.hosts_by_name["h0"]
    (doubtful,) = (link for link in host.connections if link.is_unresponsive)
    world.advance(500.0)
    doubtful.stream.bring(m.encode(m.PROGRESS, 10))
    world.advance(100.0)
    assert not doubtful.is_unresponsive and host in world.hosts.maintenance.due_hosts.dirty_keys
    world.advance(200.0)


def test_a_release_heard_of_by_the_host_itself_is_waited_for_no_more(monkeypatch):
    world, _ = many(1, monkeypatch, tasks=1)
    world.peers["127.0.0.1", 1].mode = "refuses"
    world.peers["127.0.0.1", 1].breaks()
    world.advance(20.0)
    world.release(1)
    assert world.hosts.has_unsent_releases
    world.peers["127.0.0.1", 1].mode = "up"
    world.advance(3_000.0)
    assert not world.hosts.has_unsent_releases and not world.hosts.releasing_hosts

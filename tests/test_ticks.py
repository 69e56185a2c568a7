"""Which hosts a tick looks at: as if it had looked at all, and at a cost of what is due alone."""

from random import Random

import pytest

from glencleat import interface as api
from glencleat.descriptors import Demand
from glencleat.node import hosts
from glencleat.node.hosts import Hosts
from tests.quiet import World

STREAMS, BATCH, STEPS = 240, 12, 140


class Sweeping(Hosts):
    """The plain way, which the program went until hosts were looked at when due: all of them in each tick."""

    def _tick(self):
        self.loop.call_in(hosts.TICK_MS, self._tick)
        now = self.loop.now()
        late, self.ticked = now - self.ticked > hosts.LATE_MS, now
        if late:
            return
        self._freed()
        for name in [name for name in self.exchange.standing if name not in self.hosts]:
            self._add(name).leaves(now)
        for host in sorted(self.hosts.values(), key=lambda host: host.heard):
            if host.name in self.exchange.standing:
                self._look(host, now)
            elif host.uncut:
                self._again(host, Demand.ATTEMPT)
            self._tidy(host, now)
            self._file(host)


class Script:
    """What happens to a cluster, drawn from a seed; what is drawn depends on what there is by then."""

    def __init__(self, world, seed):
        self.world, self.random, self.tasks = world, Random(seed), 0
        self.names = [f"h{i}" for i in range(self.random.randint(2, 9))]
        self.port = dict(zip(self.names, range(1, 99), strict=False))
        self.phase = dict.fromkeys(self.names, api.Phase.SERVING)
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
        task = self.any(self.world.exchange.tasks)
        if task is not None:
            self.world.release(task)

    def list(self):
        name = self.any(self.names)
        self.phase[name] = self.random.choice(list(api.Phase))
        self.world.told(self.entry(name))

    def whole(self):
        left = [name for name in self.names if self.random.random() < 0.8]
        for name in self.names:
            self.phase[name] = api.Phase.SERVING if name in left else api.Phase.GONE
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


def played(kind, seed, patch):
    room = Random(seed).choice((2, 3, 5, 40))
    world = World(kind, room, patch)
    Script(world, seed).run()
    return world


def left(world):
    """What there is at the end, beside the record."""
    found = {
        name: (host.again_at, host.heard, host.spoke, host.away, [(li.used, li.visit, li.load) for li in host.links])
        for name, host in world.hosts.hosts.items()
    }
    d, c = world.descriptors, world.hosts.connecting
    standing = {name: list(tasks) for name, tasks in world.exchange.standing.items()}
    return found, standing, d.held, d.most, d.turned_away, c.turned_away, c.coming, world.hosts.waited


@pytest.mark.parametrize("first", range(0, STREAMS, BATCH))
def test_all_that_is_told_is_as_if_all_hosts_were_looked_at(first, monkeypatch):
    """Streams of lists, drains, ends, breaks, refusals, silences and standstills, by both ways."""
    for seed in range(first, first + BATCH):
        plain, due = (played(kind, seed, monkeypatch) for kind in (Sweeping, Hosts))
        pairs = zip(plain.record, due.record, strict=False)
        differs = next((i for i, (a, b) in enumerate(pairs) if a != b), None)
        if differs is not None:
            around = slice(max(0, differs - 4), differs + 3)
            pytest.fail(f"seed {seed}:\n{plain.record[around]}\n{due.record[around]}")
        assert len(plain.record) == len(due.record) and left(plain) == left(due), seed
        assert plain.hosts.links == due.hosts.links or not plain.hosts.linked

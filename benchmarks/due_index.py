"""Which hosts are due: structures set side by side, and `glencleat node` with a list of hosts and little to do.

    python -m benchmarks.due_index index
    python -m benchmarks.due_index node [--base TREE]
    python -m benchmarks.due_index looks [--base TREE]

`index` drives each structure as `platform_server/connection_pool.py` does: ticks of 200 ms, hosts with standing tasks that are due
every second and are put off about twice in between. `node` and `looks` start real processes, one at a time, of
this tree and of an earlier version's; CPU is theirs alone, as the system counts it."""

import argparse
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Protocol

import msgspec
from sortedcontainers import SortedList

from benchmarks.common import cpu_s, machine, rows_of, rss_mb
from glencleat.emulators.allocator_processes import AllocatorProcesses
from glencleat.emulators.channel import ChannelService, make_list_entry
from glencleat.emulators.platform_peers import PlatformHost
from glencleat.event_loop import Loop, Timer, TimerWheel, connect
from glencleat.index.due_queue import DueQueue
from glencleat.platform_protocol import messages as m

SEED, TICK_MS, EVERY_MS, TICKS = 7, 200.0, 1_000.0, 50
IDLE_S, EVENTS = 10.0, 100


class Index(Protocol):
    def put(self, key: int, due: float) -> None: ...
    def pop_due(self, now: float) -> list[int]: ...


class Sweep:
    """Every key looked at in each tick, sorted."""

    def __init__(self, keys: int) -> None:
        self.times = dict.fromkeys(range(keys), float("inf"))

    def put(self, key: int, due: float) -> None:
        self.times[key] = due

    def pop_due(self, now: float) -> list[int]:
        found = [key for key, due in sorted(self.times.items(), key=lambda item: item[1]) if due <= now]
        for key in found:
            self.times[key] = float("inf")
        return found


class Sorted:
    """A sorted list of (due, key) and where each key is in it."""

    def __init__(self) -> None:
        self.times: dict[int, float] = {}
        self.line = SortedList()

    def put(self, key: int, due: float) -> None:
        before = self.times.get(key)
        if before is not None:
            self.line.remove((before, key))
        self.times[key] = due
        self.line.add((due, key))

    def pop_due(self, now: float) -> list[int]:
        found = []
        while self.line and self.line[0][0] <= now:
            found.append(self.line.pop(0)[1])
            del self.times[found[-1]]
        return found


class Wheel:
    """The kernel's timer wheel: a timer a key, cancelled when it is put off."""

    def __init__(self) -> None:
        self.wheel, self.timers, self.found = TimerWheel(), dict[int, Timer](), list[int]()

    def put(self, key: int, due: float) -> None:
        before = self.timers.get(key)
        if before is not None:
            before.cancel()
        self.timers[key] = self.wheel.add(due, lambda: self.found.append(key))

    def pop_due(self, now: float) -> list[int]:
        for timer in self.wheel.pop_due(now):
            if timer.callback is not None:
                timer.callback()
        found, self.found = self.found, []
        for key in found:
            del self.timers[key]
        return found


KINDS: dict[str, Callable[[int], Index]] = {
    "sweep": Sweep,
    "heap, lazy deletion": lambda keys: DueQueue[int](),
    "sorted list": lambda keys: Sorted(),
    "timer wheel": lambda keys: Wheel(),
}


def tick_us(made: Callable[[int], Index], keys: int, standing: int) -> float:
    """CPU microseconds a tick, by which each of `standing` keys is due once a second and put off twice."""
    index, random, now = made(keys), Random(SEED), 0.0
    for key in range(standing):
        index.put(key, random.uniform(0.0, EVERY_MS))
    some = max(1, int(2.0 * standing * TICK_MS / EVERY_MS)) if standing else 0
    began = time.process_time()
    for _ in range(TICKS):
        now += TICK_MS
        for _ in range(some):
            index.put(random.randrange(standing), now + random.uniform(0.5, 1.0) * EVERY_MS)
        for key in index.pop_due(now):
            index.put(key, now + EVERY_MS)
    return 1e6 * (time.process_time() - began) / TICKS


def compare() -> None:
    rows = []
    for keys, standing in ((400, 0), (6_300, 0), (25_200, 0), (400, 108), (6_300, 1_700), (25_200, 6_800)):
        best = [min(tick_us(made, keys, standing) for _ in range(3)) for made in KINDS.values()]
        rows.append([f"{keys:,}", f"{standing:,}", *(f"{us:,.0f}" for us in best)])
    print(f"CPU microseconds a tick, best of 3, seed {SEED}, {TICKS} ticks. {machine()}.\n")
    print("\n".join(rows_of(["hosts", "due each second", *KINDS], rows)))


class Rig:
    """One allocator of `tree`, its list service, and hosts of which some take connections."""

    def __init__(self, folder: Path, tree: Path | None, hosts: int, live: int) -> None:
        self.loop = Loop()
        self.hosts = [PlatformHost(self.loop, f"h{i}", 1e9) for i in range(live)]
        self.entries = [make_list_entry(host.name, host.port) for host in self.hosts]
        free = (port for port in range(1_000, 65_536) if port not in {host.port for host in self.hosts})
        self.entries += [make_list_entry(f"h{i}", next(free)) for i in range(live, hosts)]
        self.service = ChannelService(self.loop, self.entries)
        self.nodes = AllocatorProcesses(folder, 1, seed=3, max_sockets=8_000, checkout=tree)
        self.nodes.configure(0, self.service.address, self.service.take_snapshot())
        self.nodes.start(0)
        self.until(lambda: self.nodes.listen_address(0) and self.service.streams)
        self.pid = self.nodes.processes_by_number[0].pid
        self.wait(2.0)

    def until(self, done: Callable[[], object]) -> None:
        end = self.loop.now() + 60_000.0
        while not done():
            if self.loop.now() > end:
                raise TimeoutError(self.nodes.log_path(0).read_text()[-500:])
            self.loop.call_in(20.0, lambda: None)
            self.loop.run_once()

    def wait(self, seconds: float) -> None:
        end = self.loop.now() + 1e3 * seconds
        self.until(lambda: self.loop.now() >= end)

    def spent(self, seconds: float) -> float:
        """CPU seconds in so many of the clock's."""
        before = cpu_s(self.pid)
        self.wait(seconds)
        return cpu_s(self.pid) - before

    def whole(self) -> None:
        number = len(self.service.events) + 1
        nodes = {"generation": 1, "reset": True, "instances": self.entries}
        line = msgspec.json.encode({"cursor": number, "nodes": nodes}) + b"\n"
        self.service.events.append(line)
        for stream in self.service.streams:
            stream.try_send(line)

    def adopt(self, tasks: int) -> None:
        """So many stand, on the live hosts in turns."""
        loop, at = self.loop, self.nodes.listen_address(0)
        assert at is not None

        def tell():
            stream = yield from connect(loop, at, 1_000.0)
            for task in range(1, tasks + 1):
                host = self.hosts[task % len(self.hosts)].name
                extras = f"cores:0.1;memory:0.1;service:s1;at:{host}"
                told = {
                    m.CLASS: "safe",
                    m.TIMEOUT: "8000",
                    m.NAME: f"t{task}",
                    m.EXTRAS: extras,
                    m.DESCRIPTION: "d",
                }
                stream.try_send(m.encode(m.SETUP, task, {code: text.encode() for code, text in told.items()}))
            while True:
                yield from stream.read()

        loop.spawn(tell(), "owner")

    def close(self) -> None:
        self.nodes.kill(0)
        self.service.close()
        for host in self.hosts:
            host.close()


def node(trees: dict[str, Path | None]) -> None:
    rows = []
    for hosts in (400, 1_600, 6_300):
        for name, tree in trees.items():
            with tempfile.TemporaryDirectory() as folder:
                rig = Rig(Path(folder), tree, hosts, 0)
                try:
                    idle = rig.spent(IDLE_S) / IDLE_S
                    before = cpu_s(rig.pid)
                    for i in range(EVENTS):
                        one = rig.entries[i % hosts]
                        rig.service.publish([{**one, "lifecycle": "DRAINING" if i % 2 else "SERVING"}])
                        rig.wait(0.03)
                    rig.wait(1.0)
                    event = (cpu_s(rig.pid) - before - idle * (0.03 * EVENTS + 1.0)) / EVENTS
                    rig.whole()
                    reset = rig.spent(2.0) - 2.0 * idle
                    many = rig.entries[: hosts // 7]
                    rig.service.publish([{**one, "lifecycle": "DELETED"} for one in many])
                    gone = rig.spent(2.0) - 2.0 * idle
                    rows.append([f"{hosts:,}", name, f"{100 * idle:.1f}%", f"{1e3 * event:.2f} ms",
                                 f"{reset:.2f} s", f"{len(many)}: {gone:.2f} s", f"{rss_mb(rig.pid):.0f} MB"])  # fmt: skip
                finally:
                    rig.close()
            print(rows[-1], flush=True)
    head = [
        "hosts",
        "version",
        "idle, of a core",
        "event of one host",
        "whole list",
        "gone at once",
        "resident",
    ]
    print(f"\nCPU of one allocator, one run each, idle over {IDLE_S:.0f} s. {machine()}.\n")
    print("\n".join(rows_of(head, rows)))


def looks(trees: dict[str, Path | None]) -> None:
    rows = []
    for hosts, live, tasks in ((400, 108, 130), (6_300, 1_700, 2_050)):
        for name, tree in trees.items():
            with tempfile.TemporaryDirectory() as folder:
                rig = Rig(Path(folder), tree, hosts, live)
                try:
                    rig.adopt(tasks)
                    rig.wait(8.0)
                    taken = sum(len(host.accept_times) for host in rig.hosts)
                    spent = rig.spent(IDLE_S) / IDLE_S
                    rate = (sum(len(host.accept_times) for host in rig.hosts) - taken) / IDLE_S
                    rows.append(
                        [f"{hosts:,}", f"{tasks:,} on {live:,}", name, f"{rate:,.0f}", f"{100 * spent:.1f}%"]
                    )
                finally:
                    rig.close()
            print(rows[-1], flush=True)
    head = ["hosts", "standing tasks", "version", "connections a second", "of a core"]
    print(f"\nCPU of one allocator whose tasks stand and say nothing, over {IDLE_S:.0f} s. {machine()}.\n")
    print("\n".join(rows_of(head, rows)))


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("index", "node", "looks"))
    parser.add_argument("--base", type=Path, help="an earlier version's tree, measured beside this one")
    chosen = parser.parse_args()
    trees: dict[str, Path | None] = {"before": chosen.base} if chosen.base is not None else {}
    trees["now"] = None
    if chosen.what == "index":
        compare()
    else:
        {"node": node, "looks": looks}[chosen.what](trees)


if __name__ == "__main__":
    main()

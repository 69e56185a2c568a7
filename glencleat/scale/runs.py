"""One run: parts and real allocators started, its phases played and measured, all ended.

Imports `scale`'s own. `benchmarks/scale.py` calls it for each number of hosts. Phases go to `found` as they
end, so that an interrupt leaves those that were whole."""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import psutil

from glencleat.scale import hosts as hollow_hosts
from glencleat.scale.allocators import HollowAllocators
from glencleat.scale.channel import Channels
from glencleat.scale.emulated_hosts import StandInGroup
from glencleat.scale.hosts import HostGroup
from glencleat.scale.measure import Cost, MeasuredPhase, Meter, difference, percentiles, snapshot_names, total
from glencleat.scale.message_counters import Counts, of_allocator
from glencleat.scale.owners import HollowOwners
from glencleat.scale.real import RealAllocators
from glencleat.scale.run_size import RunEvent, RunSize
from glencleat.scale.worker_processes import Parts

GROUPS = {"hollow": HostGroup, "stand-in": StandInGroup}
READY_S = 60.0
LAST_S = 12.0  # for the last answers; an owner gives up 9 s after it asked
HAND_OVER = 1 << 39  # numbers of tasks that are handed over lie above those asked for


Begin = Callable[[], dict[str, float] | None]  # what a phase begins with, and figures of it


class RunFailedError(Exception):
    """The run can't go on; the text says why."""


class Run:
    """`tree`: the program's checkout; `found`: the phases that are over; `say`: told of each."""

    def __init__(
        self,
        size: RunSize,
        count: int,
        tree: Path,
        ends_at: float,
        found: list[MeasuredPhase],
        say: Callable[[str], None],
    ) -> None:
        self.size, self.count, self.tree, self.found, self.say = size, count, tree, found, say
        self.ends_at = ends_at  # on the monotonic clock, seconds
        self.names = [f"h{i}" for i in range(count)]
        self.random = Random(size.seed)
        self.real = list(range(1, size.real + 1))  # their numbers; hollow ones follow
        self.others = list(range(size.real + 1, size.real + 1 + size.hollow))

    def zone(self, i: int) -> str:
        return chr(ord("a") + i * self.size.zones // self.count)

    def play(self) -> None:
        """Everything, from the first process to the last."""
        with Parts() as parts, tempfile.TemporaryDirectory() as folder:
            self._start_hosts(parts)
            peers = self.size.peers or self.size.real + self.size.hollow
            args = self.size.real, self.size.seed, self.size.sockets, self.tree, peers
            with RealAllocators(Path(folder), *args) as self.nodes:
                self._start_allocators(parts)
                self._phases()

    # ---- start ----

    def _start_hosts(self, parts: Parts) -> None:
        size, shape = self.size, hollow_hosts.settings_of(self.size)
        self.groups = [
            parts.start(GROUPS[size.host], self.names[g :: size.groups], size.seed * 100 + g, shape)
            for g in range(size.groups)
        ]
        ports: dict[str, int] = {}
        for group in self.groups:
            ports.update(group.start())
        listed = [(name, ports[name], self.zone(i)) for i, name in enumerate(self.names)]
        hollow = [size.real + 1] if size.hollow else []  # one list for all hollow ones
        self.channels = parts.start(Channels, self.real + hollow, listed, size.host == "hollow")
        self.places = self.channels.start()
        self.hollow = [
            parts.start(
                HollowAllocators, some, self.places[hollow[0]], list(ports.items()),
                size.seed, (size.sockets, size.peers or size.real + size.hollow), size.reuse,
            )
            for some in (self.others[g :: size.hollow_groups] for g in range(size.hollow_groups))
            if some
        ]  # fmt: skip
        for part in self.hollow:
            part.start()

    def _start_allocators(self, parts: Parts) -> None:
        for k in self.real:
            zone = self.zone((k - 1) % self.size.zones * self.count // self.size.zones)
            self.nodes.write(k - 1, zone, self.places[k], self.channels.call("known", k))
        for k in self.real:
            self.nodes.start(k - 1)
        began = time.monotonic()
        while not all(self.nodes.ready(k - 1) for k in self.real):
            if time.monotonic() - began > READY_S or not all(self.nodes.alive(k - 1) for k in self.real):
                last = self.nodes.log(0).read_text()[-300:]
                raise RunFailedError(f"not all real allocators became ready: {last}")
            time.sleep(0.02)
        took = time.monotonic() - began
        self.say(f"{self.count} hosts, {len(self.real)} real allocators ready in {took:.1f} s")
        places = {k: self.nodes.ready(k - 1) for k in self.real}
        self.owners = parts.start(HollowOwners, places, self.size.seed)
        self.owners.start()
        self.processes = {k: self.nodes.process(k - 1) for k in self.real}
        self.part_processes = {i: psutil.Process(part.process.pid) for i, part in enumerate(parts.all)}

    # ---- phases ----

    def _phases(self) -> None:
        size = self.size
        begun, began = self._counts(), time.monotonic()
        time.sleep(size.settle_s)
        for _ in range(size.repeats):
            self.phase("idle", size.idle_s)
        if size.tasks:
            self._hand_over()
            time.sleep(size.settle_s + size.tasks / 2_000.0)
            self.phase("tasks stand", size.standing_s)
        if size.starts_per_s:
            self.owners.call("ask_at", size.starts_per_s)
            for part in self.hollow:
                part.call("ask_at", size.starts_per_s)
            time.sleep(size.settle_s)
            self.phase("steady load", size.load_s)
        for event in size.events:
            self._event(event)
        self._finish(begun, began)

    def _finish(self, begun: Counts, began: float) -> None:
        """Nothing more is asked; what is open has its answer or its time passes. Then all is added up."""
        self.owners.call("ask_at", 0.0)
        for part in self.hollow:
            part.call("ask_at", 0.0)
        end = time.monotonic() + LAST_S
        while any(self.owners.call("state", k)["open"] for k in self.real) and time.monotonic() < end:
            time.sleep(0.1)
        counts, passed = difference(self._counts(), begun), time.monotonic() - began
        costs = []
        for k in self.real:
            times, memory = self.processes[k].cpu_times(), self.processes[k].memory_info().rss / (1 << 20)
            whole = Cost(k, passed, times.user + times.system, 0.0, memory, memory, of_allocator(counts, k))
            whole.state = self._state(k)
            costs.append(whole)
        hollow = {k: of_allocator(counts, k) for k in self.others}
        self.found.append(MeasuredPhase("whole run", self.count, costs, hollow))

    def phase(self, name: str, seconds: float, begin: Begin = lambda: None) -> None:
        """Measures so many seconds, from just before `begin`, which may tell figures of its own."""
        if time.monotonic() + seconds > self.ends_at:
            raise RunFailedError(f"the time limit of {self.size.limit_s:.0f} s would pass in phase {name!r}")
        before = self._counts()
        self.owners.call("waits")
        psutil.cpu_percent()  # of the whole machine since the last such line
        meter, parts = Meter(self.processes), Meter(self.part_processes)
        notes = begin() or {}
        meter.run(seconds)
        costs, busy = meter.costs(), parts.costs()
        counts, waits = difference(self._counts(), before), self.owners.call("waits")
        for cost in costs:
            cost.counts = of_allocator(counts, cost.allocator)
            cost.waits_ms = percentiles(waits[cost.allocator])
            cost.state = self._state(cost.allocator)
        for k in self.real:
            if not self.nodes.alive(k - 1):
                raise RunFailedError(f"allocator {k} ended in phase {name!r}")
        hollow = {k: of_allocator(counts, k) for k in self.others}
        notes["busiest hollow process, CPU %"] = max(cost.cpu_percent for cost in busy)
        notes["all hollow processes, CPU %"] = sum(cost.cpu_percent for cost in busy)
        notes["machine, CPU %"] = psutil.cpu_percent()
        self.found.append(MeasuredPhase(name, self.count, costs, hollow, notes=notes))
        cpu = ", ".join(f"{cost.cpu_percent:.2f}%" for cost in costs)
        self.say(f"{self.count} hosts, {name}: CPU {cpu}, {max(c.rss_mb for c in costs):.1f} MB")

    def _state(self, k: int) -> dict[str, int]:
        standing = [group.call("standing", k) for group in self.groups]
        return {
            **total(standing),
            **self.owners.call("state", k),
            "faults": self.nodes.faults(k - 1),
        }

    def _counts(self) -> dict[str, int]:
        for group in self.groups:
            group.order("counts")
        found = snapshot_names(total([group.wait() for group in self.groups]), "host")
        found.update(snapshot_names(self.owners.call("counts"), "owner"))
        found.update(self.channels.call("counts"))
        for part in self.hollow:
            found.update(snapshot_names(part.call("counts"), "hollow"))
        return found

    def _hand_over(self) -> None:
        """Tasks that run already, spread by chance: the hosts hold them, then allocators are told."""
        for k in self.real + self.others:
            tasks = [
                ((k << 40) + HAND_OVER + i, self.names[self.random.randrange(self.count)], k)
                for i in range(self.size.tasks)
            ]
            for group in self.groups:
                group.call("hold", [told for told in tasks if told[1] in group.begun])
            told = [(task, name) for task, name, _ in tasks]
            if k in self.real:
                self.owners.call("hand_over", k, told)
            else:
                self.hollow[(k - self.others[0]) % self.size.hollow_groups].call("hand_over", k, told)

    # ---- events ----

    def _event(self, event: RunEvent) -> None:
        if event.kind == "one-host":
            every = 1e3 * event.seconds / event.count
            names = self.random.sample(self.names, min(event.count, self.count))

            def touch() -> dict[str, float]:
                self.channels.call("touch", names, every)
                return {"events": float(len(names))}

            self.phase("list event of one host", event.seconds, touch)
        elif event.kind == "whole-list":

            def whole() -> dict[str, float]:
                return {"events": 1.0, "bytes": float(self.channels.call("whole"))}

            for _ in range(event.count):
                self.phase("whole list", event.seconds, whole)
        else:
            self._lose(event)

    def _lost_names(self, event: RunEvent) -> list[str]:
        """A rack: a block of hosts; a zone: all of the second (the first allocator's own is the first)."""
        if event.kind == "rack-lost":
            return self.names[: self.size.rack_hosts]
        zone = self.zone(0 if self.size.zones == 1 else self.count // self.size.zones + 1)
        return [name for i, name in enumerate(self.names) if self.zone(i) == zone]

    def _lose(self, event: RunEvent) -> None:
        names, what = self._lost_names(event), event.kind.partition("-")[0]

        def lose() -> dict[str, float]:
            for group in self.groups:
                group.call("lose", [name for name in names if name in group.begun], event.power)
            if event.told_s:
                self.channels.call("change_in", 1e3 * event.told_s, names, "DELETED")
            return {"hosts": float(len(names))}

        def restore() -> dict[str, float]:
            for group in self.groups:
                group.call("restore", [name for name in names if name in group.begun])
            self.channels.call("change_in", 0.0, names, "SERVING")
            return {"hosts": float(len(names))}

        self.phase(f"{what} lost", event.seconds, lose)
        self.phase(f"{what} back", event.back_seconds, restore)

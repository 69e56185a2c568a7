"""One run: parts and real allocators started, its phases played and measured, all ended.

Imports `scale`'s own. `benchmarks/scale.py` calls it for each number of hosts. Phases go to `phases` as they
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
from glencleat.scale.channel import ChannelServices
from glencleat.scale.emulated_hosts import EmulatedHostGroup
from glencleat.scale.hosts import HostGroup
from glencleat.scale.measure import (
    Cost,
    MeasuredPhase,
    Meter,
    label_counts,
    percentiles,
    subtract_counts,
    sum_counts,
)
from glencleat.scale.message_counters import Counts, allocator_counts
from glencleat.scale.owners import HollowOwners
from glencleat.scale.real import RealAllocators
from glencleat.scale.run_size import RunEvent, RunSize
from glencleat.scale.worker_processes import WorkerProcesses

HOST_GROUP_TYPES = {"hollow": HostGroup, "stand-in": EmulatedHostGroup}
READY_TIMEOUT_S = 60.0
LAST_ANSWER_TIMEOUT_S = 12.0  # for the last answers; an owner gives up 9 s after it asked
FIRST_ADOPTED_TASK = 1 << 39  # numbers of tasks that are handed over lie above those asked for


PhaseStart = Callable[[], dict[str, float] | None]  # what a phase begins with, and figures of it


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
        self.size, self.host_count, self.checkout, self.phases, self.report_progress = (
            size,
            count,
            tree,
            found,
            say,
        )
        self.ends_at = ends_at  # on the monotonic clock, seconds
        self.host_names = [f"h{i}" for i in range(count)]
        self.random = Random(size.seed)
        self.real_numbers = list(range(1, size.real + 1))  # their numbers; hollow ones follow
        self.hollow_numbers = list(range(size.real + 1, size.real + 1 + size.hollow))

    def zone_of(self, i: int) -> str:
        return chr(ord("a") + i * self.size.zones // self.host_count)

    def run(self) -> None:
        """Everything, from the first process to the last."""
        with WorkerProcesses() as parts, tempfile.TemporaryDirectory() as folder:
            self._start_hosts(parts)
            peers = self.size.peers or self.size.real + self.size.hollow
            args = self.size.real, self.size.seed, self.size.sockets, self.checkout, peers
            with RealAllocators(Path(folder), *args) as self.real_allocators:
                self._start_allocators(parts)
                self._phases()

    # ---- start ----

    def _start_hosts(self, parts: WorkerProcesses) -> None:
        size, shape = self.size, hollow_hosts.group_settings(self.size)
        self.host_groups = [
            parts.start_worker(
                HOST_GROUP_TYPES[size.host], self.host_names[g :: size.groups], size.seed * 100 + g, shape
            )
            for g in range(size.groups)
        ]
        ports: dict[str, int] = {}
        for group in self.host_groups:
            ports.update(group.start())
        listed = [(name, ports[name], self.zone_of(i)) for i, name in enumerate(self.host_names)]
        hollow = [size.real + 1] if size.hollow else []  # one list for all hollow ones
        self.channels = parts.start_worker(
            ChannelServices, self.real_numbers + hollow, listed, size.host == "hollow"
        )
        self.channel_addresses = self.channels.start()
        self.hollow_workers = [
            parts.start_worker(
                HollowAllocators, some, self.channel_addresses[hollow[0]], list(ports.items()),
                size.seed, (size.sockets, size.peers or size.real + size.hollow), size.reuse,
            )
            for some in (self.hollow_numbers[g :: size.hollow_groups] for g in range(size.hollow_groups))
            if some
        ]  # fmt: skip
        for part in self.hollow_workers:
            part.start()

    def _start_allocators(self, parts: WorkerProcesses) -> None:
        for k in self.real_numbers:
            zone = self.zone_of((k - 1) % self.size.zones * self.host_count // self.size.zones)
            self.real_allocators.write_config(
                k - 1, zone, self.channel_addresses[k], self.channels.call("take_snapshot", k)
            )
        for k in self.real_numbers:
            self.real_allocators.start(k - 1)
        began = time.monotonic()
        while not all(self.real_allocators.listen_address(k - 1) for k in self.real_numbers):
            if time.monotonic() - began > READY_TIMEOUT_S or not all(
                self.real_allocators.is_alive(k - 1) for k in self.real_numbers
            ):
                last = self.real_allocators.log_path(0).read_text()[-300:]
                raise RunFailedError(f"not all real allocators became ready: {last}")
            time.sleep(0.02)
        took = time.monotonic() - began
        self.report_progress(
            f"{self.host_count} hosts, {len(self.real_numbers)} real allocators ready in {took:.1f} s"
        )
        places = {k: self.real_allocators.listen_address(k - 1) for k in self.real_numbers}
        self.owner_worker = parts.start_worker(HollowOwners, places, self.size.seed)
        self.owner_worker.start()
        self.processes_by_allocator = {k: self.real_allocators.process(k - 1) for k in self.real_numbers}
        self.processes_by_worker = {
            i: psutil.Process(part.process.pid) for i, part in enumerate(parts.workers)
        }

    # ---- phases ----

    def _phases(self) -> None:
        size = self.size
        begun, began = self._counts(), time.monotonic()
        time.sleep(size.settle_s)
        for _ in range(size.repeats):
            self.measure_phase("idle", size.idle_s)
        if size.tasks:
            self._hand_over()
            time.sleep(size.settle_s + size.tasks / 2_000.0)
            self.measure_phase("tasks stand", size.standing_s)
        if size.starts_per_s:
            self.owner_worker.call("set_request_rate", size.starts_per_s)
            for part in self.hollow_workers:
                part.call("set_request_rate", size.starts_per_s)
            time.sleep(size.settle_s)
            self.measure_phase("steady load", size.load_s)
        for event in size.events:
            self._event(event)
        self._finish(begun, began)

    def _finish(self, begun: Counts, began: float) -> None:
        """Nothing more is asked; what is open has its answer or its time passes. Then all is added up."""
        self.owner_worker.call("set_request_rate", 0.0)
        for part in self.hollow_workers:
            part.call("set_request_rate", 0.0)
        end = time.monotonic() + LAST_ANSWER_TIMEOUT_S
        while (
            any(self.owner_worker.call("state", k)["open"] for k in self.real_numbers)
            and time.monotonic() < end
        ):
            time.sleep(0.1)
        counts, passed = subtract_counts(self._counts(), begun), time.monotonic() - began
        costs = []
        for k in self.real_numbers:
            times, memory = (
                self.processes_by_allocator[k].cpu_times(),
                self.processes_by_allocator[k].memory_info().rss / (1 << 20),
            )
            whole = Cost(
                k, passed, times.user + times.system, 0.0, memory, memory, allocator_counts(counts, k)
            )
            whole.state = self._state(k)
            costs.append(whole)
        hollow = {k: allocator_counts(counts, k) for k in self.hollow_numbers}
        self.phases.append(MeasuredPhase("whole run", self.host_count, costs, hollow))

    def measure_phase(self, name: str, seconds: float, begin: PhaseStart = lambda: None) -> None:
        """Measures so many seconds, from just before `begin`, which may tell figures of its own."""
        if time.monotonic() + seconds > self.ends_at:
            raise RunFailedError(f"the time limit of {self.size.limit_s:.0f} s would pass in phase {name!r}")
        before = self._counts()
        self.owner_worker.call("take_latencies")
        psutil.cpu_percent()  # of the whole machine since the last such line
        meter, parts = Meter(self.processes_by_allocator), Meter(self.processes_by_worker)
        notes = begin() or {}
        meter.sample_for(seconds)
        costs, busy = meter.costs(), parts.costs()
        counts, waits = subtract_counts(self._counts(), before), self.owner_worker.call("take_latencies")
        for cost in costs:
            cost.counts = allocator_counts(counts, cost.allocator)
            cost.waits_ms = percentiles(waits[cost.allocator])
            cost.state = self._state(cost.allocator)
        for k in self.real_numbers:
            if not self.real_allocators.is_alive(k - 1):
                raise RunFailedError(f"allocator {k} ended in phase {name!r}")
        hollow = {k: allocator_counts(counts, k) for k in self.hollow_numbers}
        notes["busiest hollow process, CPU %"] = max(cost.cpu_percent for cost in busy)
        notes["all hollow processes, CPU %"] = sum(cost.cpu_percent for cost in busy)
        notes["machine, CPU %"] = psutil.cpu_percent()
        self.phases.append(MeasuredPhase(name, self.host_count, costs, hollow, notes=notes))
        cpu = ", ".join(f"{cost.cpu_percent:.2f}%" for cost in costs)
        self.report_progress(
            f"{self.host_count} hosts, {name}: CPU {cpu}, {max(c.rss_mb for c in costs):.1f} MB"
        )

    def _state(self, k: int) -> dict[str, int]:
        standing = [group.call("count_held", k) for group in self.host_groups]
        return {
            **sum_counts(standing),
            **self.owner_worker.call("state", k),
            "faults": self.real_allocators.count_faults(k - 1),
        }

    def _counts(self) -> dict[str, int]:
        for group in self.host_groups:
            group.start_call("counts")
        found = label_counts(sum_counts([group.wait_result() for group in self.host_groups]), "host")
        found.update(label_counts(self.owner_worker.call("counts"), "owner"))
        found.update(self.channels.call("counts"))
        for part in self.hollow_workers:
            found.update(label_counts(part.call("counts"), "hollow"))
        return found

    def _hand_over(self) -> None:
        """Tasks that run already, spread by chance: the hosts hold them, then allocators are told."""
        for k in self.real_numbers + self.hollow_numbers:
            tasks = [
                (
                    (k << 40) + FIRST_ADOPTED_TASK + i,
                    self.host_names[self.random.randrange(self.host_count)],
                    k,
                )
                for i in range(self.size.tasks)
            ]
            for group in self.host_groups:
                group.call("adopt_tasks", [told for told in tasks if told[1] in group.startup_info])
            told = [(task, name) for task, name, _ in tasks]
            if k in self.real_numbers:
                self.owner_worker.call("adopt_tasks", k, told)
            else:
                self.hollow_workers[(k - self.hollow_numbers[0]) % self.size.hollow_groups].call(
                    "adopt_tasks", k, told
                )

    # ---- events ----

    def _event(self, event: RunEvent) -> None:
        if event.kind == "one-host":
            every = 1e3 * event.seconds / event.count
            names = self.random.sample(self.host_names, min(event.count, self.host_count))

            def touch() -> dict[str, float]:
                self.channels.call("schedule_capacity_changes", names, every)
                return {"events": float(len(names))}

            self.measure_phase("list event of one host", event.seconds, touch)
        elif event.kind == "whole-list":

            def whole() -> dict[str, float]:
                return {"events": 1.0, "bytes": float(self.channels.call("publish_full_list"))}

            for _ in range(event.count):
                self.measure_phase("whole list", event.seconds, whole)
        else:
            self._lose(event)

    def _lost_names(self, event: RunEvent) -> list[str]:
        """A rack: a block of hosts; a zone: all of the second (the first allocator's own is the first)."""
        if event.kind == "rack-lost":
            return self.host_names[: self.size.rack_hosts]
        zone = self.zone_of(0 if self.size.zones == 1 else self.host_count // self.size.zones + 1)
        return [name for i, name in enumerate(self.host_names) if self.zone_of(i) == zone]

    def _lose(self, event: RunEvent) -> None:
        names, what = self._lost_names(event), event.kind.partition("-")[0]

        def lose() -> dict[str, float]:
            for group in self.host_groups:
                group.call("fail_hosts", [name for name in names if name in group.startup_info], event.power)
            if event.told_s:
                self.channels.call("schedule_change", 1e3 * event.told_s, names, "DELETED")
            return {"hosts": float(len(names))}

        def restore() -> dict[str, float]:
            for group in self.host_groups:
                group.call("restore_hosts", [name for name in names if name in group.startup_info])
            self.channels.call("schedule_change", 0.0, names, "SERVING")
            return {"hosts": float(len(names))}

        self.measure_phase(f"{what} lost", event.seconds, lose)
        self.measure_phase(f"{what} back", event.back_seconds, restore)

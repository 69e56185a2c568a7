"""One measurement of one size, in a process of its own: `slopes.py` starts it and reads the JSON it prints.

    PYTHONPATH=TREE python benchmarks/slope_worker.py module --hosts 400 --tasks 2050 --seed 1

Imports nothing but the program, from the tree that PYTHONPATH names; `slopes.py` measures each version by the
worker of its own tree. Times are CPU seconds of this process (`time.process_time`) or, of `node`, those that the
system counts for it; sizes are bytes. All that is drawn comes from the seed. What a figure is: `WHAT` in
`slopes.py`."""

from __future__ import annotations

import argparse
import gc
import json
import os
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

Figures = dict[str, float]

ZONES = 7
CORES, MEMORY = 16.0, 32.0  # of a machine, and what a task asks of it
ASK = 0.25, 0.5
STARTS_S = 370.0  # task starts a second of all allocators at the peak
OPERATIONS = 200  # of each kind in one process
OLD_MS = 60_000.0
MANY = 480  # entries of one event at the peak: what starts and ends in 0.65 s on as many hosts (CAPACITY.md)


def cpu(call: Callable[[], object], times: int = 1) -> float:
    """CPU seconds of one call, the mean of so many."""
    began = time.process_time()
    for _ in range(times):
        call()
    return (time.process_time() - began) / times


def resident() -> float:
    """Bytes resident in this process."""
    gc.collect()
    with open("/proc/self/statm", "rb") as file:
        return float(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Module:
    """The decision module with its list and its part of the standing tasks, on a clock of its own."""

    def __init__(self, hosts: int, tasks: int, services: int, peers: int, seed: int) -> None:
        from glencleat import Scheduler
        from glencleat import interface as api

        self.api, self.random, self.now = api, random.Random(seed), 1e6
        classes = tuple(
            api.TaskClass(
                name,
                effect,
                1_000.0,
                8_000.0,
                1.0,
                deduplication_scope="all",
                deduplication_window_ms=5_000.0,
            )
            for name, effect in (
                ("safe", api.Idempotency.IDEMPOTENT),
                ("keyed", api.Idempotency.IDEMPOTENCY_KEY),
            )
        )
        kinds = {"std": api.MachineSize(CORES, MEMORY)}
        settings = api.Settings(
            0,
            peers,
            "z0",
            classes,
            kinds,
            cores_overcommit=2.0,
            memory_overcommit=1.5,
            list_has_free_capacity=True,
            max_attempts=4,
        )
        self.scheduler = Scheduler(settings, seed)
        self.services, self.calls, self.standing = services, 0, dict[int, str]()
        self.machines = {f"host-{i:05d}": self.machine(i) for i in range(hosts)}
        self.empty = resident()
        self.tell(self.api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, tuple(self.machines.values())))
        self.listed = resident()
        names = list(self.machines)
        for _ in range(tasks):
            self.adopt(self.random.choice(names))
        self.tasked = resident()

    def machine(self, number: int, phase: Any = None) -> Any:
        free = self.random.uniform(4.0, 12.0)
        phase = phase or self.api.MachinePhase.SERVING
        zone = f"z{number % ZONES}"
        return self.api.Machine(f"host-{number:05d}", "std", zone, number // 40, phase, free, 2.0 * free)

    def tell(self, event: Any) -> list[Any]:
        return self.scheduler.handle(self.now, event)

    def ask(self, machine: str | None = None, service: int | None = None) -> int:
        self.calls += 1
        service = self.random.randrange(self.services) if service is None else service
        name = "safe" if self.random.random() < 0.5 else "keyed"
        self.asked = self.api.PlacementRequested(
            self.calls, name, f"service-{service}", *ASK, 8_000.0, machine=machine
        )
        return self.calls

    def adopt(self, machine: str) -> None:
        call = self.ask(machine)
        self.tell(self.asked)
        self.standing[call] = machine
        self.tell(self.api.TaskObserved(call, machine, self.api.ObservationKind.CORES_IN_USE, 0.15))
        self.tell(self.api.TaskObserved(call, machine, self.api.ObservationKind.MEMORY_IN_USE, 0.4))

    def place(self, service: int | None = None) -> tuple[float, float]:
        """Asked and Accepted of one task, CPU seconds of each; it stands then."""
        call = self.ask(service=service)
        began = time.process_time()
        actions = self.tell(self.asked)
        bound = time.process_time()
        bind = next(action for action in actions if isinstance(action, self.api.Bind))
        told = self.api.AttemptAccepted(call, 0, bind.machine, 5.0)
        after = time.process_time()
        self.tell(told)
        self.standing[call] = bind.machine
        self.bound = bind.machine
        return bound - began, time.process_time() - after

    def end(self, outcome: Any, call: int | None = None) -> float:
        """One standing task comes to its end."""
        call = self.random.choice(list(self.standing)) if call is None else call
        host = self.standing.pop(call)
        told = self.api.AttemptEnded(call, 0, host, outcome, OLD_MS, True)
        return cpu(lambda: self.tell(told))

    def changed(self, numbers: list[int], phase: Any) -> float:
        """One event of the list that tells of these."""
        told = tuple(self.machine(number, phase) for number in numbers)
        return cpu(lambda: self.tell(self.api.MachineListUpdated(self.api.ListUpdateKind.DELTA, told)))


def module(hosts: int, tasks: int, services: int, peers: int, seed: int) -> Figures:
    world = Module(hosts, tasks, services, peers, seed)
    api, step = world.api, 1e3 * peers / STARTS_S
    first = [world.place(service)[0] for service in range(services)]  # each builds its order
    for _ in range(services):
        world.end(api.Outcome.COMPLETED)
    asked, accepted, ended, noted = list[float](), list[float](), list[float](), list[float]()
    for _ in range(OPERATIONS):
        world.now += step
        took = world.place()
        asked.append(took[0])
        accepted.append(took[1])
        ended.append(world.end(api.Outcome.COMPLETED))
        call, host = world.random.choice(list(world.standing.items()))
        note = api.TaskObserved(call, host, api.ObservationKind.CORES_IN_USE, world.random.uniform(0.1, 0.2))
        noted.append(cpu(lambda note=note: world.tell(note)))
    mean: Callable[[list[float]], float] = lambda values: sum(values) / len(values)  # noqa: E731
    found = {
        "place": mean(asked) + mean(accepted), "place_first": mean(first), "end": mean(ended),
        "note": mean(noted), **list_events(world, step),
    }  # fmt: skip
    return {f"module.{name}": value for name, value in found.items()}


def list_events(world: Module, step: float) -> Figures:
    """A change of what is free, of a phase, what follows in the next placement, a whole list."""
    api, hosts = world.api, len(world.machines)
    free, gone, back, after, whole = list[float](), list[float](), list[float](), list[float](), list[float]()
    for _ in range(OPERATIONS // 4):
        world.now += step
        number = world.random.randrange(hosts)
        free.append(world.changed([number], api.MachinePhase.SERVING))
        gone.append(world.changed([number], api.MachinePhase.DRAINING))
        after.append(sum(world.place()))
        world.end(api.Outcome.COMPLETED)
        back.append(world.changed([number], api.MachinePhase.SERVING))
    many = min(MANY, hosts)
    several = [
        world.changed(world.random.sample(range(hosts), many), api.MachinePhase.SERVING) for _ in range(10)
    ]
    machines = tuple(world.machines.values())
    for _ in range(5):
        whole.append(cpu(lambda: world.tell(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, machines))))
    sums = {"event_free": free, "event_phase": gone + back, "place_after_event": after, "whole": whole,
            "event_many": several}  # fmt: skip
    return {name: sum(values) / len(values) for name, values in sums.items()}


def zone(hosts: int, tasks: int, services: int, peers: int, seed: int) -> Figures:
    """A seventh of the hosts is told gone, one event each or all in one; their tasks lost and asked anew."""
    found = {}
    for name, size in (("each", 1), ("once", hosts)):
        world = Module(hosts, tasks, services, peers, seed)
        for _ in range(50):
            world.place()
        gone = list(range(0, hosts, ZONES))
        parts = [gone[i : i + size] for i in range(0, len(gone), size)]
        began = time.process_time()
        for i, part in enumerate(parts):
            world.changed(part, world.api.MachinePhase.REMOVED)
            if i % 50 == 49:  # placements go on: one in each 50 events, 18 a second where 900 come in one
                world.place()
        found[f"module.zone_{name}"] = time.process_time() - began
        names = {f"host-{number:05d}" for number in gone}
        lost = [call for call, host in world.standing.items() if host in names]
        found["module.zone_tasks"] = float(len(lost))
        ends = [world.end(world.api.Outcome.LOST, call) for call in lost]
        found["module.lost"] = sum(ends) / max(1, len(ends))
        if name == "once":
            found["module.place_after_zone"] = cpu(world.place, 50)
    return found


def memory(hosts: int, tasks: int, services: int, peers: int, seed: int) -> Figures:
    """Resident bytes of the module, and what its list and tasks add."""
    import glencleat.platform_server.process  # noqa: F401 - the base is the program's, not the module's alone

    base = resident()
    world = Module(hosts, tasks, services, peers, seed)
    found = {"memory.base": base, "memory.listed": world.listed - world.empty,
             "memory.tasks": world.tasked - world.listed}  # fmt: skip
    for service in range(services):
        world.place(service)
    found["memory.orders"] = resident() - world.tasked
    return found


def entry(number: int, phase: str = "SERVING", port: int = 5080) -> dict[str, Any]:
    """As the protocol page shows one: a loopback address of its own for each."""
    high, low = divmod(number + 1, 250)
    return {
        "instanceId": f"s-{number:08x}", "hostPort": f"127.{1 + high // 250}.{high % 250}.{low + 1}:{port}",
        "zone": f"z{number % ZONES}", "machineType": "std", "cell": number // 40, "lifecycle": phase,
        "weight": 4, "startedAtMs": 0, "free": [round(4.0 + number % 80 / 10, 1), 20.0],
    }  # fmt: skip


def event(cursor: int, entries: list[dict[str, Any]], whole: bool = False) -> bytes:
    nodes = {"generation": 7, "reset": whole, "instances": entries}
    return json.dumps({"cursor": cursor, "nodes": nodes}, separators=(",", ":")).encode() + b"\n"


def channel(hosts: int, tasks: int, services: int, peers: int, seed: int) -> Figures:
    """The command channel's bytes to news: a whole list, a change of one, a heartbeat."""
    from glencleat.platform_protocol.command_channel import CommandChannel

    drawn = random.Random(seed)
    first = event(1, [entry(i) for i in range(hosts)], whole=True)
    tracemalloc.start()  # what is resident after a list was read depends on what was freed by then
    feeds = CommandChannel(0.0)
    list(feeds.feed(first, 1e6))
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    feeds = CommandChannel(0.0)
    list(feeds.feed(first, 1e6))
    repeats = []
    for cursor in range(2, 5):
        line = event(cursor, [entry(i) for i in range(hosts)], whole=True)
        repeats.append(cpu(lambda line=line: list(feeds.feed(line, 1e6))))
    lines = [event(cursor, [entry(drawn.randrange(hosts))]) for cursor in range(5, 5 + OPERATIONS)]
    one = cpu(lambda: [list(feeds.feed(line, 1e6)) for line in lines]) / OPERATIONS
    beat = b"%d\n" % (5 + OPERATIONS)
    several = event(5 + OPERATIONS, [entry(i) for i in drawn.sample(range(hosts), min(MANY, hosts))])
    many = cpu(lambda: list(feeds.feed(several, 1e6)))
    return {
        "channel.event_many": many, "bytes.event_many": float(len(several)),
        "channel.whole": min(repeats), "channel.event": one,
        "channel.beat": cpu(lambda: list(feeds.feed(beat, 1e6)), OPERATIONS),
        "channel.held": float(held), "bytes.whole": float(len(first)), "bytes.event": float(len(lines[0])),
        "bytes.entry": float(len(lines[0]) - len(event(5, []))), "bytes.beat": float(len(beat)),
    }  # fmt: skip


def wire(hosts: int, tasks: int, services: int, peers: int, seed: int) -> Figures:
    """Each message of the protocol page: bytes, CPU seconds of making and of reading one."""
    from glencleat.platform_protocol import messages as m

    extras = b"cores:1;memory:2;service:00000000b4d65521"
    named = {m.CLASS: b"batch", m.TIMEOUT: b"1500", m.NAME: b"7f3a9c21e0b4d655"}
    key, described = {m.KEY: b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}, {m.DESCRIPTION: b"v" * 60}
    report = {m.REPORT: b"x0:12;x1:40;queue:3"}
    kinds = {
        "ask": (m.SETUP, {**named, **key, m.EXTRAS: extras, **described}),
        "setup": (m.SETUP, {**named, **key, **described}),
        "answer": (m.ANSWER, described),
        "refusal": (m.RELEASE, {m.CAUSE: b"\x22", m.TOPIC: b"no_cores", **report}),
        "release": (m.RELEASE, {m.CAUSE: b"\x10", **report}),
        "heard": (m.RELEASE_COMPLETE, {}),
        "note": (m.OBSERVATION, {m.TOPIC: b"cores", m.VALUE: b"0.731"}),
        "test": (m.PROBE, {m.CAUSE: b"\x01"}),
        "tested": (m.PROBE_ANSWER, {m.CAUSE: b"\x01", **report}),
        "move": (m.MIGRATE, {}),
    }
    found: Figures = {}
    for name, (kind, parameters) in kinds.items():
        data, decoder = m.encode(kind, 1 << 60, parameters), m.MessageDecoder()

        def read(data: bytes = data, decoder: Any = decoder) -> None:
            decoder.feed(data)
            list(decoder.messages())

        found[f"bytes.{name}"] = float(len(data))
        found[f"wire.encode_{name}"] = cpu(lambda k=kind, p=parameters: m.encode(k, 1 << 60, p), 2_000)
        found[f"wire.decode_{name}"] = cpu(read, 2_000)
    return found


def main() -> None:
    from slope_node import node, node_looks

    kinds = {"module": module, "zone": zone, "memory": memory, "channel": channel, "wire": wire, "node": node,
             "looks": node_looks}  # fmt: skip
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("kind", choices=sorted(kinds))
    for name, default in (("hosts", 400), ("tasks", 2_050), ("services", 100), ("peers", 20), ("seed", 1)):
        parser.add_argument(f"--{name}", type=int, default=default)
    asked = vars(parser.parse_args())
    json.dump(kinds[asked.pop("kind")](**asked), sys.stdout)
    sys.stdout.flush()
    os._exit(0)  # without taking thousands of open connections apart


if __name__ == "__main__":
    main()

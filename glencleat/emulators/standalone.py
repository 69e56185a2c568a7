"""Stand-ins run by themselves, for trying an allocator by hand: `glencleat standin directory|hosts|owners`.

Each is a process that works until it is stopped or its time is over. Hosts and owners are told where the
allocators listen; the directory serves a list that it is given as the hosts' play file describes it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from glencleat.checker.trace import TraceRecorder
from glencleat.config import AllocatorConfig
from glencleat.emulators.client import Address
from glencleat.emulators.directory import Directory, DirectoryEntry
from glencleat.emulators.hosts import EmulatedHost
from glencleat.emulators.machine import MachineProfile
from glencleat.emulators.owners import EmulatedOwner, OwnerJob, TaskTemplate
from glencleat.emulators.rest_owners import RestOwner
from glencleat.emulators.script import Script
from glencleat.event_loop import Loop
from glencleat.event_loop.loop import Coroutine


def make_machine_profile(script: Script, campus: AllocatorConfig) -> MachineProfile:
    """How the hosts of a play behave."""
    return MachineProfile(
        cores_overcommit=campus.accept.cores,
        memory_overcommit=campus.accept.memory,
        decide_ms=script.hosts.decide,
        max_queued_offers=script.hosts.line,
        start_ms=script.hosts.start,
        warm_up_ms=campus.cold.warm or 1.0,
        max_cold_offers=script.hosts.tip_offers,
    )


def make_hosts(
    loop: Loop, recorder: TraceRecorder, script: Script, campus: AllocatorConfig, random: Random
) -> list[EmulatedHost]:
    """The hosts of a play, not started: kinds and halls in turn, four racks a hall."""
    told, made = script.hosts, []
    for i in range(told.count):
        kind, hall = campus.kinds[i % len(campus.kinds)], told.halls[i % len(told.halls)]
        size = kind.cores, kind.memory
        cell = i // len(told.halls) % 4
        made.append(
            EmulatedHost(
                loop, recorder, f"h{i:02d}", kind.name, size, hall, cell,
                make_machine_profile(script, campus), random.getrandbits(32), told.heartbeat, told.report,
            )
        )  # fmt: skip
    return made


def make_owners(
    loop: Loop,
    recorder: TraceRecorder,
    script: Script,
    allocators: list[tuple[str, Address]],
    random: Random,
    done: Callable[[OwnerJob], None] = lambda job: None,
    rest: dict[str, Address] | None = None,
) -> list[EmulatedOwner]:
    """The owners of a play, at the allocators in turn, of five firms; so many as the script says by REST."""
    made = list[EmulatedOwner]()
    share, by_rest = script.owners.rest, 0
    for i in range(script.owners.count):
        name, address = allocators[i % len(allocators)]
        seed = random.getrandbits(32)
        if rest is not None and by_rest < share * (i + 1):
            by_rest += 1
            made.append(RestOwner(loop, recorder, f"r{i:03d}", f"firm-{i % 5}", name, rest[name], seed, done))
        else:
            made.append(
                EmulatedOwner(loop, recorder, f"o{i:03d}", f"firm-{i % 5}", name, address, seed, done)
            )
    return made


def make_directory_entry(host: EmulatedHost, draining: bool = False) -> DirectoryEntry:
    machine = host.machine
    size = machine.cores, machine.memory
    return DirectoryEntry(
        host.name,
        machine.kind,
        host.zone,
        host.cell,
        *size,
        draining,
        host.started_wall_ms,
        machine.allocated(),
    )


def make_job(script: Script, campus: AllocatorConfig, random: Random, number: int) -> OwnerJob:
    """A task as the play's `want` lines describe them."""
    part = random.choices(script.wants, [want.share for want in script.wants])[0]
    cls = next(c for c in campus.classes if c.name == part.cls)
    sizes = tuple(zip(part.cores, part.memory, strict=True))
    want = TaskTemplate(cls.name, cls.effect, cls.deadline, sizes, (part.life_from, part.life_to))
    cores, memory = random.choice(sizes)
    service = f"{part.cls}-{random.randrange(part.services)}"
    life = random.uniform(part.life_from, part.life_to)
    return OwnerJob(f"t{number:05d}", want, service, cores, memory, life)


def run_directory(
    loop: Loop, script: Script, campus: AllocatorConfig, listen: list[tuple[str, Address]]
) -> Directory:
    """Serves the hosts of the script as a list, one address for each allocator."""
    random, recorder = Random(script.play.seed), TraceRecorder(loop.now)
    listed = [make_directory_entry(host) for host in make_hosts(loop, recorder, script, campus, random)]
    directory = Directory(loop, recorder, lambda: listed, script.directory.late, script.directory.every)
    for name, address in listen:
        directory.listen(name, address)
    directory.start()
    return directory


def run_hosts(
    loop: Loop, script: Script, campus: AllocatorConfig, allocators: list[tuple[str, Address]]
) -> list[EmulatedHost]:
    random, recorder = Random(script.play.seed), TraceRecorder(loop.now)
    made = make_hosts(loop, recorder, script, campus, random)
    for host in made:
        host.allocator_addresses = dict(allocators)
        host.start(cold=False)
    return made


def run_owners(
    loop: Loop, script: Script, campus: AllocatorConfig, allocators: list[tuple[str, Address]]
) -> tuple[Coroutine, Counter[str]]:
    """A task that asks for the script's length and then waits out its `settle`; counts how asks ended."""
    random, recorder, ends = Random(script.play.seed), TraceRecorder(loop.now), Counter[str]()

    def done(job: OwnerJob) -> None:
        ends[job.outcome or "not asked"] += 1

    made = make_owners(loop, recorder, script, allocators, random, done)

    def asking() -> Coroutine:
        until, number = loop.now() + script.play.length, 0
        while loop.now() < until:
            yield from loop.sleep(random.expovariate(script.owners.rate) * 1_000.0)
            number += 1
            random.choice(made).request_task(make_job(script, campus, random, number))
        yield from loop.sleep(script.play.settle)
        ends["open"] = sum(len(owner.jobs_by_id) for owner in made)
        return number

    return asking(), ends

"""The size of a run as a TOML file: read, checked, and what it needs of the machine.

Imports nothing of glencleat. `benchmarks/scale.py` reads it, `runs.py` plays it. Unknown keys are refused by
name; a size that can't be run on this machine is refused in one line, with what it would need."""

from __future__ import annotations

import resource
import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec
import psutil

Count = Annotated[int, msgspec.Meta(ge=0)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=600.0)]
Rate = Annotated[float, msgspec.Meta(ge=0.0, le=2_000.0)]

HOST_DESCRIPTORS = 2  # a listener, and one that blocks it while the host is silent
RESERVED_DESCRIPTORS = 200  # of a process, for all else
HOST_KB, LINK_KB, PART_MB, NODE_MB, HOLLOW_KB = 8, 6, 40, 64, 400  # resident, with room to spare
MAX_PROCESSES = 200
MAX_PORTS = 28_000  # that the system gives to who asks for any


class RunSizeError(Exception):
    """The size can't be used, or not on this machine; the text says why."""


class RunEvent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Something that happens while the load goes on; what is lost comes back after `seconds`.

    `told_s`: after so long the list calls the hosts deleted; 0: it never does. `power`: their tasks are cut,
    else the network is and they run on."""

    kind: Literal["one-host", "whole-list", "rack-lost", "zone-lost"]
    seconds: Seconds = 20.0
    back_seconds: Seconds = 20.0
    count: PositiveCount = 20  # one-host: events; whole-list: times
    told_s: Annotated[float, msgspec.Meta(ge=0.0)] = 5.0
    power: bool = True


class RunSize(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run for each number of `hosts`; tasks and starts are of one real allocator."""

    hosts: list[Annotated[int, msgspec.Meta(ge=1, le=20_000)]]
    real: PositiveCount = 1
    hollow: Count = 0
    reuse: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0  # part of hollow set-ups to a linked host
    peers: Count = 0  # allocators as the settings tell; 0: real and hollow together
    tasks: Count = 0  # standing at each real allocator before the load begins
    starts_per_s: Rate = 0.0  # at each allocator
    life_s: Annotated[float, msgspec.Meta(gt=0.0)] = 110.0  # in the mean
    lives: Literal["exponential", "fixed"] = "exponential"
    note_s: Annotated[float, msgspec.Meta(ge=0.0)] = 30.0  # between two notes on a task's use; 0: none
    decide_ms: Annotated[float, msgspec.Meta(ge=0.0)] = 5.0
    zones: PositiveCount = 7
    rack_hosts: PositiveCount = 40
    host: Literal["hollow", "stand-in"] = "hollow"
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1_024  # descriptor limit of an allocator
    idle_s: Seconds = 20.0
    repeats: PositiveCount = 1  # of the idle phase
    standing_s: Seconds = 20.0
    load_s: Seconds = 30.0
    settle_s: Seconds = 5.0
    events: list[RunEvent] = []
    seed: Count = 1
    groups: PositiveCount = 4  # processes of hosts
    hollow_groups: PositiveCount = 4  # processes of hollow allocators, where there are any
    limit_s: Annotated[float, msgspec.Meta(gt=0.0, le=3_600.0)] = 900.0
    out: str = "scale-out"


class Needs(msgspec.Struct, frozen=True):
    """Of one number of hosts: the most of one process, and of all."""

    descriptors: int
    memory_mb: int
    processes: int
    ports: int

    def describe(self) -> str:
        return (
            f"{self.descriptors} descriptors in one process, {self.memory_mb} MB,"
            f" {self.processes} processes, {self.ports} ports"
        )


def read_size(path: Path) -> RunSize:
    """BadSize says what is wrong with it, by name."""
    try:
        raw = tomllib.loads(path.read_text())
        size = msgspec.convert(raw, RunSize)
    except OSError as error:
        raise RunSizeError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise RunSizeError(f"{path}: {error}") from None
    if not size.hosts:
        raise RunSizeError(f"{path}: no number of hosts - at `$.hosts`")
    if any(event.kind == "rack-lost" and size.rack_hosts > min(size.hosts) for event in size.events):
        least = min(size.hosts)
        raise RunSizeError(f"{path}: a rack of {size.rack_hosts} among {least} hosts - at `$.rack_hosts`")
    if size.host == "stand-in" and (size.real > 1 or size.hollow or size.tasks or size.events):
        raise RunSizeError(f"{path}: stand-in hosts know one allocator and its load alone - at `$.host`")
    if size.zones > 26:
        raise RunSizeError(f"{path}: {size.zones} zones, 26 at most - at `$.zones`")
    if size.real + size.hollow > 250:
        raise RunSizeError(f"{path}: {size.real + size.hollow} allocators, 250 at most - at `$.hollow`")
    return size


def compute_needs(size: RunSize, hosts: int) -> Needs:
    """Links: at most as many as allocators may hold, spread over the processes of hosts."""
    links = (size.real + size.hollow) * min(size.sockets, 2 * hosts)
    parts = size.groups + 2 + min(size.hollow, size.hollow_groups)
    host_side = (HOST_DESCRIPTORS * hosts + links) // size.groups + RESERVED_DESCRIPTORS
    in_one = -(-size.hollow // size.hollow_groups)
    hollow_side = in_one * min(size.sockets, 2 * hosts) + RESERVED_DESCRIPTORS
    memory_kb = HOST_KB * hosts + 2 * LINK_KB * links + HOLLOW_KB * size.hollow
    return Needs(
        descriptors=max(host_side, hollow_side),
        memory_mb=memory_kb // 1_024 + PART_MB * parts + (NODE_MB + hosts // 100) * size.real,
        processes=parts + size.real + 1,
        ports=hosts + size.real,
    )


def check_size(size: RunSize) -> None:
    """Before anything is started: BadSize if the machine has no room for the largest."""
    need = compute_needs(size, max(size.hosts))
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    memory = psutil.virtual_memory()
    room = min(memory.total // 2, memory.available) >> 20
    for have, want, what in (
        (descriptors, need.descriptors, "descriptors in one process"),
        (room, need.memory_mb, "MB, half of the machine's memory or what is left of it"),
        (MAX_PROCESSES, need.processes, "processes"),
        (MAX_PORTS, need.ports, "ports"),
    ):
        if want > have:
            raise RunSizeError(f"{max(size.hosts)} hosts need {need.describe()}; there are {have} {what}")

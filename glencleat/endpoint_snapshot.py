"""The machine list as an allocator keeps it over its own restart: what is written, and when it may be used.

No I/O: bytes and times are arguments. Lines of a checksum and JSON: first the whole list, then each machine
whose phase changed since, so that a drain that was told once is known after a kill at any later instant. A
last line that is not whole was being written; anything else that is wrong makes the list unusable, as a hole
may have been a drain. It only ever adds machines to nothing: the directory's first word replaces it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

import msgspec

from glencleat import interface as api

FORMAT = 1
MAX_CLOCK_SKEW_MS = 1_000.0  # of our clock: one that was set back says nothing about a list's age


class EndpointSnapshotError(Exception):
    """It can't be used; the text says why."""


class MachineRecord(msgspec.Struct, array_like=True):
    """A machine. Wall milliseconds, since a restart's monotonic clock begins anew."""

    name: str
    kind: str
    zone: str
    cell: int
    phase: str
    cores_left: float
    memory_left: float
    ready_wall_ms: float | None


class SnapshotRecord(msgspec.Struct, tag="whole"):
    format: int
    pool: str
    at_ms: float
    machines: list[MachineRecord]


class ChangeRecord(msgspec.Struct, tag="change"):
    at_ms: float
    machine: MachineRecord


@dataclass
class EndpointSnapshot:
    pool: str
    at_ms: float  # when it was last known to be true
    machines: dict[str, MachineRecord] = field(default_factory=dict)


ENCODER = msgspec.json.Encoder()
DECODER: msgspec.json.Decoder[SnapshotRecord | ChangeRecord] = msgspec.json.Decoder(
    SnapshotRecord | ChangeRecord
)


def to_record(machine: api.Machine, now_ms: float, wall_ms: float) -> MachineRecord:
    ready = machine.ready_at_ms
    return MachineRecord(
        machine.name,
        machine.kind,
        machine.zone,
        machine.cell,
        machine.phase.value,
        machine.free_cores,
        machine.free_memory,
        None if ready is None else wall_ms - (now_ms - ready),
    )


def _line(record: SnapshotRecord | ChangeRecord) -> bytes:
    data = ENCODER.encode(record)
    return b"%08x %b\n" % (crc32(data), data)


def encode_snapshot(pool: str, machines: Iterable[api.Machine], now_ms: float, wall_ms: float) -> bytes:
    return _line(
        SnapshotRecord(FORMAT, pool, wall_ms, [to_record(machine, now_ms, wall_ms) for machine in machines])
    )


def encode_change(machine: api.Machine, now_ms: float, wall_ms: float) -> bytes:
    return _line(ChangeRecord(wall_ms, to_record(machine, now_ms, wall_ms)))


def decode_snapshot(data: bytes) -> EndpointSnapshot:
    """Raises BadList."""
    *lines, _ = data.split(b"\n")  # what follows the last line end was being written
    found: EndpointSnapshot | None = None
    for number, line in enumerate(lines, 1):
        record = _record(number, line)
        if isinstance(record, SnapshotRecord) and found is None:
            if record.format != FORMAT:
                raise EndpointSnapshotError(f"format {record.format}; expected {FORMAT}")
            found = EndpointSnapshot(
                record.pool, record.at_ms, {machine.name: machine for machine in record.machines}
            )
        elif isinstance(record, ChangeRecord) and found is not None:
            found.at_ms = max(found.at_ms, record.at_ms)
            found.machines[record.machine.name] = record.machine
        else:
            raise EndpointSnapshotError(f"line {number} is a {type(record).__name__.lower()} out of place")
    if found is None:
        raise EndpointSnapshotError("no whole line")
    return found


def _record(number: int, line: bytes) -> SnapshotRecord | ChangeRecord:
    told, _, rest = line.partition(b" ")
    if told != b"%08x" % crc32(rest):
        raise EndpointSnapshotError(f"line {number} is not what was written")
    try:
        return DECODER.decode(rest)
    except msgspec.DecodeError as error:
        raise EndpointSnapshotError(f"line {number}: {error}") from None


def unusable_reason(found: EndpointSnapshot, pool: str, wall_ms: float, most_age_ms: float) -> str | None:
    """Why not, or None."""
    age = wall_ms - found.at_ms
    if found.pool != pool:
        return f"it is of pool {found.pool}, not {pool}"
    if age < -MAX_CLOCK_SKEW_MS:
        return f"it was written {-age / 1e3:.0f} s ahead of our clock"
    if age > most_age_ms:
        return f"it is {age / 1e3:.0f} s old; at most {most_age_ms / 1e3:.0f} s"
    return None


def restore_machines(found: EndpointSnapshot, now_ms: float, wall_ms: float) -> tuple[api.Machine, ...]:
    """As the list would tell them; raises BadList. One that is gone is left out."""
    told = []
    for one in found.machines.values():
        try:
            phase = api.MachinePhase(one.phase)
        except ValueError:
            raise EndpointSnapshotError(f"machine {one.name[:40]}: phase {one.phase[:20]!r}") from None
        if phase is api.MachinePhase.REMOVED:
            continue
        ready = one.ready_wall_ms
        since = None if ready is None else now_ms - max(0.0, wall_ms - ready)
        room = one.cores_left, one.memory_left
        told.append(api.Machine(one.name, one.kind, one.zone, one.cell, phase, *room, since))
    return tuple(told)

"""The endpoint snapshot: the machine list as an allocator stores it over its own restart.

No I/O: bytes and times are arguments. The format is one record a line, a CRC-32 in hexadecimal and JSON:
first the whole list, then a delta for each machine whose phase changed since, so that a drain that was once
told is known after a kill at any later instant. A last line without its line end was being written and is
ignored; anything else that is wrong makes the file unusable, as the missing part may have been a drain. The
snapshot only fills an empty list: the first message of the directory replaces it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

import msgspec

from glencleat import interface as api

FORMAT = 1
# Of our clock: a file further in the future shows a clock that was set back, and nothing of the list's age.
MAX_CLOCK_LEAD_MS = 1_000.0
MS_PER_S = 1e3
MAX_NAME_IN_ERROR = 40  # characters of a machine's name
MAX_PHASE_IN_ERROR = 20  # characters of a phase


class EndpointSnapshotError(Exception):
    """The stored snapshot can't be used; the text says why."""


class MachineRecord(msgspec.Struct, array_like=True):
    """A machine as stored. Wall-clock milliseconds, since a restart's monotonic clock begins anew."""

    name: str
    kind: str
    zone: str
    cell: int
    phase: str
    free_cores: float
    free_memory: float
    ready_wall_ms: float | None


class SnapshotRecord(msgspec.Struct, tag="whole"):
    """The first record of a file: the whole list."""

    format: int
    pool: str
    at_ms: float
    machines: list[MachineRecord]


class DeltaRecord(msgspec.Struct, tag="change"):
    """A later record: a machine whose phase changed."""

    at_ms: float
    machine: MachineRecord


@dataclass
class EndpointSnapshot:
    """What a file holds once its deltas are applied."""

    pool: str
    at_ms: float  # wall-clock time at which it was last known to be true
    machines: dict[str, MachineRecord] = field(default_factory=dict)  # by name


ENCODER = msgspec.json.Encoder()
DECODER: msgspec.json.Decoder[SnapshotRecord | DeltaRecord] = msgspec.json.Decoder(
    SnapshotRecord | DeltaRecord
)


def make_machine_record(machine: api.Machine, now_ms: float, wall_ms: float) -> MachineRecord:
    """A machine as it is stored; `now_ms` and `wall_ms` are the same instant on both clocks."""
    ready_at_ms = machine.ready_at_ms
    return MachineRecord(
        name=machine.name,
        kind=machine.kind,
        zone=machine.zone,
        cell=machine.cell,
        phase=machine.phase.value,
        free_cores=machine.free_cores,
        free_memory=machine.free_memory,
        ready_wall_ms=None if ready_at_ms is None else wall_ms - (now_ms - ready_at_ms),
    )


def _encode_line(record: SnapshotRecord | DeltaRecord) -> bytes:
    data = ENCODER.encode(record)
    return b"%08x %b\n" % (crc32(data), data)


def encode_snapshot(pool: str, machines: Iterable[api.Machine], now_ms: float, wall_ms: float) -> bytes:
    """The line that a file begins with; the times are the same instant on both clocks."""
    records = [make_machine_record(machine, now_ms, wall_ms) for machine in machines]
    return _encode_line(SnapshotRecord(format=FORMAT, pool=pool, at_ms=wall_ms, machines=records))


def encode_delta(machine: api.Machine, now_ms: float, wall_ms: float) -> bytes:
    """The line that is appended for a machine; the times are the same instant on both clocks."""
    return _encode_line(DeltaRecord(at_ms=wall_ms, machine=make_machine_record(machine, now_ms, wall_ms)))


def parse_snapshot(data: bytes) -> EndpointSnapshot:
    """Reads a file's bytes; raises EndpointSnapshotError for any but a torn last line."""
    *lines, _ = data.split(b"\n")  # what follows the last line end was being written
    snapshot: EndpointSnapshot | None = None
    for number, line in enumerate(lines, 1):
        record = _parse_line(number, line)
        if isinstance(record, SnapshotRecord) and snapshot is None:
            snapshot = _begin_snapshot(record)
        elif isinstance(record, DeltaRecord) and snapshot is not None:
            snapshot.at_ms = max(snapshot.at_ms, record.at_ms)
            snapshot.machines[record.machine.name] = record.machine
        else:
            kind = "snapshot" if isinstance(record, SnapshotRecord) else "delta"
            raise EndpointSnapshotError(f"line {number} is a {kind} out of place")
    if snapshot is None:
        raise EndpointSnapshotError("no whole line")
    return snapshot


def _begin_snapshot(record: SnapshotRecord) -> EndpointSnapshot:
    if record.format != FORMAT:
        raise EndpointSnapshotError(f"format {record.format}; expected {FORMAT}")
    machines = {machine.name: machine for machine in record.machines}
    return EndpointSnapshot(pool=record.pool, at_ms=record.at_ms, machines=machines)


def _parse_line(number: int, line: bytes) -> SnapshotRecord | DeltaRecord:
    checksum, _, data = line.partition(b" ")
    if checksum != b"%08x" % crc32(data):
        raise EndpointSnapshotError(f"line {number} is not what was written")
    try:
        return DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise EndpointSnapshotError(f"line {number}: {error}") from error


def find_rejection_reason(
    snapshot: EndpointSnapshot, pool: str, wall_ms: float, max_age_ms: float
) -> str | None:
    """Why a snapshot may not be used at `wall_ms` for this pool, or None if it may."""
    age_ms = wall_ms - snapshot.at_ms
    if snapshot.pool != pool:
        return f"it is of pool {snapshot.pool}, not {pool}"
    if age_ms < -MAX_CLOCK_LEAD_MS:
        return f"it was written {-age_ms / MS_PER_S:.0f} s ahead of our clock"
    if age_ms > max_age_ms:
        return f"it is {age_ms / MS_PER_S:.0f} s old; at most {max_age_ms / MS_PER_S:.0f} s"
    return None


def restore_machines(snapshot: EndpointSnapshot, now_ms: float, wall_ms: float) -> tuple[api.Machine, ...]:
    """The machines as the directory would list them, without those that were removed.

    The times are the same instant on both clocks. Raises EndpointSnapshotError for a phase that is not known.
    """
    machines = []
    for record in snapshot.machines.values():
        phase = _parse_phase(record)
        if phase is not api.MachinePhase.REMOVED:
            machines.append(_restore_machine(record, phase, now_ms, wall_ms))
    return tuple(machines)


def _parse_phase(record: MachineRecord) -> api.MachinePhase:
    try:
        return api.MachinePhase(record.phase)
    except ValueError as error:
        name, phase = record.name[:MAX_NAME_IN_ERROR], record.phase[:MAX_PHASE_IN_ERROR]
        raise EndpointSnapshotError(f"machine {name}: phase {phase!r}") from error


def _restore_machine(
    record: MachineRecord, phase: api.MachinePhase, now_ms: float, wall_ms: float
) -> api.Machine:
    ready_wall_ms = record.ready_wall_ms
    return api.Machine(
        name=record.name,
        kind=record.kind,
        zone=record.zone,
        cell=record.cell,
        phase=phase,
        free_cores=record.free_cores,
        free_memory=record.free_memory,
        ready_at_ms=None if ready_wall_ms is None else now_ms - max(0.0, wall_ms - ready_wall_ms),
    )

"""The format of the endpoint snapshot: the machine list that an allocator keeps over its own restart.

The module does no I/O: bytes and times are arguments. Each line of the file is a checksum and a JSON record.
The first record holds the complete list; each later one holds a machine whose phase has changed since. A
drain that was received once is therefore known after a kill at any later moment.

An incomplete last line was being written and is ignored. Any other damage makes the file unusable, because a
missing record may have been a drain. The snapshot only fills an empty list: the first update from the
directory replaces it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

import msgspec

from glencleat import interface as api

FORMAT_VERSION = 1

MAX_CLOCK_SKEW_MS = 1_000.0
"""How far ahead of the local clock a snapshot may be. Beyond it the clock was set back, and no age is
known."""


class EndpointSnapshotError(Exception):
    """The snapshot can't be used; the text says why."""


class MachineRecord(msgspec.Struct, array_like=True):
    """A machine as it is stored. Times are Unix milliseconds: a restart begins a new monotonic clock."""

    name: str
    kind: str
    zone: str
    cell: int
    phase: str
    cores_left: float
    memory_left: float
    ready_wall_ms: float | None


class SnapshotRecord(msgspec.Struct, tag="whole"):
    """The complete machine list; the first record of a file."""

    format: int
    pool: str
    at_ms: float
    machines: list[MachineRecord]


class ChangeRecord(msgspec.Struct, tag="change"):
    """A machine whose phase has changed since the records before."""

    at_ms: float
    machine: MachineRecord


@dataclass
class EndpointSnapshot:
    """The decoded contents of a file, with all changes applied."""

    pool: str
    at_ms: float  # Unix time at which the list was last known to be current
    machines: dict[str, MachineRecord] = field(default_factory=dict)


ENCODER = msgspec.json.Encoder()
DECODER: msgspec.json.Decoder[SnapshotRecord | ChangeRecord] = msgspec.json.Decoder(
    SnapshotRecord | ChangeRecord
)


def to_record(machine: api.Machine, now_ms: float, wall_ms: float) -> MachineRecord:
    """The record of a machine; `now_ms` (monotonic) and `wall_ms` (Unix time) are the same moment."""
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


def _encode_line(record: SnapshotRecord | ChangeRecord) -> bytes:
    data = ENCODER.encode(record)
    return b"%08x %b\n" % (crc32(data), data)


def encode_snapshot(pool: str, machines: Iterable[api.Machine], now_ms: float, wall_ms: float) -> bytes:
    """The first line of a file: the complete list of a pool."""
    return _encode_line(
        SnapshotRecord(
            FORMAT_VERSION, pool, wall_ms, [to_record(machine, now_ms, wall_ms) for machine in machines]
        )
    )


def encode_change(machine: api.Machine, now_ms: float, wall_ms: float) -> bytes:
    """A line to append when a machine's phase has changed."""
    return _encode_line(ChangeRecord(wall_ms, to_record(machine, now_ms, wall_ms)))


def decode_snapshot(data: bytes) -> EndpointSnapshot:
    """Decodes a file and applies its changes.

    Raises:
        EndpointSnapshotError: A complete line is damaged, out of order or of another format version.
    """
    *lines, _ = data.split(b"\n")  # what follows the last line end is incomplete
    snapshot: EndpointSnapshot | None = None
    for number, line in enumerate(lines, 1):
        record = _decode_line(number, line)
        if isinstance(record, SnapshotRecord) and snapshot is None:
            if record.format != FORMAT_VERSION:
                raise EndpointSnapshotError(f"format {record.format}; expected {FORMAT_VERSION}")
            snapshot = EndpointSnapshot(
                record.pool, record.at_ms, {machine.name: machine for machine in record.machines}
            )
        elif isinstance(record, ChangeRecord) and snapshot is not None:
            snapshot.at_ms = max(snapshot.at_ms, record.at_ms)
            snapshot.machines[record.machine.name] = record.machine
        else:
            raise EndpointSnapshotError(f"line {number}: unexpected {type(record).__name__.lower()}")
    if snapshot is None:
        raise EndpointSnapshotError("no complete line")
    return snapshot


def _decode_line(number: int, line: bytes) -> SnapshotRecord | ChangeRecord:
    checksum, _, data = line.partition(b" ")
    if checksum != b"%08x" % crc32(data):
        raise EndpointSnapshotError(f"line {number}: checksum mismatch")
    try:
        return DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise EndpointSnapshotError(f"line {number}: {error}") from None


def unusable_reason(snapshot: EndpointSnapshot, pool: str, wall_ms: float, max_age_ms: float) -> str | None:
    """Why a snapshot may not be used at `wall_ms` (Unix time) for `pool`; None if it may."""
    age = wall_ms - snapshot.at_ms
    if snapshot.pool != pool:
        return f"snapshot is of pool {snapshot.pool}; expected {pool}"
    if age < -MAX_CLOCK_SKEW_MS:
        return f"snapshot was written {-age / 1e3:.0f} s ahead of the local clock"
    if age > max_age_ms:
        return f"snapshot is {age / 1e3:.0f} s old; expected at most {max_age_ms / 1e3:.0f} s"
    return None


def restore_machines(snapshot: EndpointSnapshot, now_ms: float, wall_ms: float) -> tuple[api.Machine, ...]:
    """The machines of a snapshot in the form that the machine list gives them, without removed ones.

    Args:
        snapshot: The decoded file.
        now_ms: The monotonic time that readiness times are converted to.
        wall_ms: The Unix time of the same moment.

    Raises:
        EndpointSnapshotError: A machine is in an unknown phase.
    """
    machines = []
    for record in snapshot.machines.values():
        try:
            phase = api.MachinePhase(record.phase)
        except ValueError:
            raise EndpointSnapshotError(
                f"machine {record.name[:40]}: unknown phase {record.phase[:20]!r}"
            ) from None
        if phase is api.MachinePhase.REMOVED:
            continue
        ready = record.ready_wall_ms
        ready_at_ms = None if ready is None else now_ms - max(0.0, wall_ms - ready)
        free = record.cores_left, record.memory_left
        machines.append(
            api.Machine(record.name, record.kind, record.zone, record.cell, phase, *free, ready_at_ms)
        )
    return tuple(machines)

"""The command channel's protocol: bytes to numbered events to a machine list, with repeats and gaps handled.

No I/O; imports the interface, the settings' names and the codec's error. A watch client gives
`CommandChannel` what a connection brings, and begins each new connection with the request that
`begin_connection` returns.

    state            what comes                                 effect
    IN_SYNC          an event up to the cursor                  none: a repeat
                     the next event, or any snapshot            applied
                     a later event, or a later last number      RemoteProtocolError -> GAP_REQUESTED
    GAP_REQUESTED    a later event                              applied: the service has no more to send
    IN_SYNC,         last numbers below the cursor,             RemoteProtocolError -> SNAPSHOT_NEEDED
    GAP_REQUESTED    MAX_OLDER_CURSORS of them in a row
    SNAPSHOT_NEEDED  any snapshot                               applied -> IN_SYNC
                     anything else                              none: its numbers are unknown so far

A RemoteProtocolError ends the connection; the next one asks for what is missing.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from glencleat import interface as api
from glencleat.platform_protocol.messages import ERROR_EXCERPT_CHARACTERS, RemoteProtocolError
from glencleat.platform_settings import PHASES

MAX_LINE_BYTES = 4 << 20  # a snapshot of some ten thousand machines
# Numbers in a row, a second apart, that are below ours: not one that was under way.
MAX_OLDER_CURSORS = 3
# How old a start can be that a change of the list reports only now, by clocks that agree.
MAX_START_DELAY_MS = 10_000.0
# Beyond this the list's clock and ours do not agree.
MAX_CLOCK_SKEW_MS = 60_000.0
MAX_LEAVING_MACHINES = (
    10_000  # draining or removed machines that are remembered; the oldest are dropped first
)
PORT_LIMIT = 65_536
MAX_ADDRESS_EXCERPT_CHARACTERS = 60
FREE_AMOUNTS = 2  # cores and memory


class MachineEntry(msgspec.Struct, rename="camel"):
    """A machine as an event describes it; times are Unix milliseconds."""

    instance_id: str
    host_port: str
    zone: str
    machine_type: str
    lifecycle: str
    cell: int = 0
    started_at_ms: float = 0.0
    free: list[float] | None = None


class MachineListPayload(msgspec.Struct):
    """The machines of one event: the complete list where `reset` is set, else changes to it."""

    reset: bool = False
    instances: list[MachineEntry] = []


class ChannelEvent(msgspec.Struct):
    """One numbered event, or with no nodes the service's report of its last number."""

    cursor: int
    nodes: MachineListPayload | None = None


@dataclass(frozen=True, slots=True)
class HostEntry:
    """A machine and where it listens; `started_ms` is Unix time, 0 for long ago."""

    machine: api.Machine
    address: tuple[str, int]
    started_ms: float


@dataclass(frozen=True, slots=True)
class ListChange:
    """What one event changed: the complete list (a snapshot), or some of it."""

    is_snapshot: bool
    hosts: tuple[HostEntry, ...]


@dataclass(frozen=True, slots=True)
class LeavingMachine:
    """A process reported as draining or removed; `started_ms` tells it from a later one of its name."""

    started_ms: float
    phase: api.MachinePhase


def parse_address(text: str, min_port: int = 1) -> tuple[str, int]:
    """Returns `10.1.0.9:5080` as host and port.

    Raises:
        RemoteProtocolError: The text has another form, or its port is out of range.

    >>> parse_address("10.1.0.9:5080")
    ('10.1.0.9', 5080)
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not min_port <= int(port) < PORT_LIMIT:
        raise RemoteProtocolError(f"no address: {text[:MAX_ADDRESS_EXCERPT_CHARACTERS]!r}")
    return host, int(port)


def estimate_start_ms(reported_ms: float, now_ms: float) -> float:
    """Returns when a process started whose start was reported just now, on our clock.

    It can't be in the future, nor minutes ago: then the clocks differ, and all that is known is that it was
    before now. Otherwise a task that came to run there after the start would be taken for one from before it.

    Args:
        reported_ms: The start by the list's clock.
        now_ms: The present by ours; both in Unix milliseconds.
    """
    return reported_ms if now_ms - MAX_CLOCK_SKEW_MS <= reported_ms <= now_ms else now_ms


class CommandChannel:
    """The machine list as received so far, and what is needed to go on from there.

    `wall_clock_offset_ms` is Unix time less the decision module's clock.
    """

    def __init__(self, wall_clock_offset_ms: float) -> None:
        self.wall_clock_offset_ms = wall_clock_offset_ms
        self.cursor = 0
        self.hosts: dict[str, HostEntry] = {}  # those not removed, by machine name
        self.buffer = bytearray()
        self.decoder = msgspec.json.Decoder(ChannelEvent | int, strict=False)
        self.gap_cursor = 0  # the number at which a gap was met: once asked for again, it is no gap any more
        self.older_cursors = 0  # reports in a row of a last number below ours
        self.needs_snapshot = (
            False  # the service's numbers are others: its next snapshot counts, whatever its number
        )
        self.superseded_cursor = 0  # our number when that was found
        self.leaving_by_machine: dict[str, LeavingMachine] = {}

    def begin_connection(self) -> bytes:
        """Returns what a new connection begins with; what an earlier one left half said is dropped."""
        self.buffer.clear()
        self.older_cursors = 0
        return b"resume %d\n" % (0 if self.needs_snapshot else self.cursor)

    def load_known(self, known: dict[str, Any], now_ms: float) -> list[ListChange]:
        """Applies the events that the configuration starts with.

        Args:
            known: The configuration's table as read: `cmds` and `cursor`, both optional.
            now_ms: The present on the module's clock.

        Raises:
            RemoteProtocolError: One of them is no event.
        """
        try:
            events = [msgspec.convert(raw, ChannelEvent, strict=False) for raw in known.get("cmds") or []]
        except msgspec.ValidationError as error:
            raise RemoteProtocolError(f"known: {error}") from error
        changes = [self._apply(event, event.nodes, now_ms) for event in events if event.nodes is not None]
        self.cursor = max(self.cursor, int(known.get("cursor") or 0))
        return changes

    def feed(self, data: bytes, now_ms: float) -> Iterable[ListChange]:
        """Yields the changes in what a connection brought.

        Raises:
            RemoteProtocolError: The connection is of no further use.
        """
        self.buffer += data
        while (end := self.buffer.find(b"\n")) >= 0:
            line = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            if line.strip():
                change = self._read_line(line, now_ms)
                if change is not None:
                    yield change
        if len(self.buffer) > MAX_LINE_BYTES:
            raise RemoteProtocolError(f"a line of over {MAX_LINE_BYTES} bytes")

    def _read_line(self, line: bytes, now_ms: float) -> ListChange | None:
        try:
            event = self.decoder.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise RemoteProtocolError(f"no event: {error}") from error
        if isinstance(event, int):
            self._check_last_cursor(event)
            return None
        if event.nodes is None:
            self._check_last_cursor(event.cursor)
            return None
        if self.needs_snapshot:
            if not event.nodes.reset:
                return None
            self.needs_snapshot = False
        elif event.cursor <= self.cursor:
            return None  # a repeat
        elif event.cursor > self.cursor + 1 and not event.nodes.reset:
            self._request_gap(event.cursor)
        return self._apply(event, event.nodes, now_ms)

    def _check_last_cursor(self, last_cursor: int) -> None:
        """Compares the service's last number with ours.

        A service that lost its state, or runs on an old copy of it, counts from below ours, and all that it
        sends would be taken for a repeat: drains too. So it is asked for a snapshot. What it then repeats
        never makes a machine serve of which a later number said otherwise (`_current_phase`); the cost is
        that a drain called off in between is not seen until its numbers pass ours or the machine starts anew.
        """
        if self.needs_snapshot:
            return
        self.older_cursors = self.older_cursors + 1 if last_cursor < self.cursor else 0
        if last_cursor > self.cursor:
            self._request_gap(last_cursor)
        elif self.older_cursors >= MAX_OLDER_CURSORS:
            self.needs_snapshot = True
            self.superseded_cursor = max(self.superseded_cursor, self.cursor)
            raise RemoteProtocolError(
                f"the channel is at {last_cursor}, we were told {self.cursor}: asking for all of it"
            )

    def _request_gap(self, received_cursor: int) -> None:
        """Asks again for what was skipped, by a new connection; if that skips it too, there is no more."""
        if self.gap_cursor != self.cursor + 1:
            self.gap_cursor = self.cursor + 1
            raise RemoteProtocolError(f"the channel is at {received_cursor}, we are at {self.cursor}")

    def _apply(self, event: ChannelEvent, nodes: MachineListPayload, now_ms: float) -> ListChange:
        hosts = tuple(self._make_host(entry, event.cursor, now_ms, nodes.reset) for entry in nodes.instances)
        if nodes.reset:
            self.hosts = {}
        for host in hosts:
            self._remember_phase(host)
            if host.machine.phase is api.MachinePhase.REMOVED:
                self.hosts.pop(host.machine.name, None)
            else:
                self.hosts[host.machine.name] = host
        self.cursor = event.cursor
        return ListChange(nodes.reset, hosts)

    def _remember_phase(self, host: HostEntry) -> None:
        name = host.machine.name
        self.leaving_by_machine.pop(name, None)
        if host.machine.phase is not api.MachinePhase.SERVING:
            self.leaving_by_machine[name] = LeavingMachine(host.started_ms, host.machine.phase)
            if len(self.leaving_by_machine) > MAX_LEAVING_MACHINES:
                del self.leaving_by_machine[next(iter(self.leaving_by_machine))]

    def _current_phase(self, entry: MachineEntry, cursor: int) -> api.MachinePhase:
        """Returns the event's phase, unless a later number has already said that the same process leaves."""
        phase = PHASES[entry.lifecycle]
        if cursor > self.superseded_cursor or phase is not api.MachinePhase.SERVING:
            return phase
        leaving = self.leaving_by_machine.get(entry.instance_id)
        if leaving is None or leaving.started_ms != entry.started_at_ms:
            return phase
        return leaving.phase

    def _ready_at_ms(
        self, entry: MachineEntry, known: HostEntry | None, now_ms: float, is_snapshot: bool
    ) -> float | None:
        """Returns when the machine came up, on the module's clock.

        Never later than now, and by a change of the list not long ago.
        A clock that is minutes ahead of the list's would make a machine that is warming up look warm to all.
        """
        started_ms = entry.started_at_ms
        if started_ms <= 0.0:
            return None
        if known is not None and known.started_ms == started_ms:
            return known.machine.ready_at_ms
        earliest_ms = -math.inf if is_snapshot else now_ms - MAX_START_DELAY_MS
        return min(now_ms, max(started_ms - self.wall_clock_offset_ms, earliest_ms))

    def _make_host(self, entry: MachineEntry, cursor: int, now_ms: float, is_snapshot: bool) -> HostEntry:
        if entry.lifecycle not in PHASES:
            raise RemoteProtocolError(
                f"no state of a machine: {entry.lifecycle[:ERROR_EXCERPT_CHARACTERS]!r}"
            )
        known = self.hosts.get(entry.instance_id)
        cores, memory = (known.machine.free_cores, known.machine.free_memory) if known else (0.0, 0.0)
        if entry.free is not None and len(entry.free) == FREE_AMOUNTS and all(map(math.isfinite, entry.free)):
            cores, memory = entry.free
        # By position: one for each entry of a snapshot, and keywords cost a twentieth of an entry's time.
        machine = api.Machine(
            entry.instance_id,
            entry.machine_type,
            entry.zone,
            entry.cell,
            self._current_phase(entry, cursor),
            cores,
            memory,
            self._ready_at_ms(entry, known, now_ms, is_snapshot),
        )
        return HostEntry(machine, parse_address(entry.host_port), entry.started_at_ms)

    def machines(self) -> tuple[api.Machine, ...]:
        """Returns the machines that are not removed."""
        return tuple(host.machine for host in self.hosts.values())

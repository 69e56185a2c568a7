"""The command channel: decodes numbered events into changes of the machine list and detects gaps and repeats.

Imports the interface, the settings' names and `ProtocolError` of messages.
`glencleat/platform_server/watch_client.py` feeds it received bytes and writes `encode_resume()` on each new
connection.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from glencleat import interface as api
from glencleat.platform_protocol.messages import ProtocolError
from glencleat.platform_settings import PHASES

MAX_LINE_BYTES = 4 << 20  # a snapshot of some ten thousand machines
# Heartbeats in a row, a second apart, whose cursor is below ours. A single one may have been in flight.
MAX_STALE_CURSORS = 3
MAX_LIST_DELAY_MS = 10_000.0  # the list reports a start at most so late
LIST_SETTLE_MS = 3_000.0  # a channel that is up has mostly told of a start by then: sites name 2.5 s
MAX_LEAVING_MACHINES = 10_000  # draining and removed machines that are remembered


class MachineEntry(msgspec.Struct, rename="camel"):
    """A machine in an event; times are Unix milliseconds."""

    instance_id: str
    host_port: str
    zone: str
    machine_type: str
    lifecycle: str
    cell: int = 0
    started_at_ms: float = 0.0
    free: list[float] | None = None


class MachineListPayload(msgspec.Struct):
    """The machines of an event: all that there are if `reset` is set, else those that changed."""

    reset: bool = False
    instances: list[MachineEntry] = []


class ChannelEvent(msgspec.Struct):
    """One numbered event; without nodes it is a heartbeat that names the cursor of the last event."""

    cursor: int
    nodes: MachineListPayload | None = None


@dataclass(frozen=True, slots=True)
class HostEntry:
    """A machine and its address; `started_unix_ms` is Unix time, 0 if it started long ago."""

    machine: api.Machine
    address: tuple[str, int]
    started_unix_ms: float


@dataclass(frozen=True, slots=True)
class ListChange:
    """The hosts of one event: the complete list if it is a snapshot, else those that changed."""

    is_snapshot: bool
    hosts: tuple[HostEntry, ...]


def parse_address(text: str, min_port: int = 1) -> tuple[str, int]:
    """Parses an address such as `10.1.0.9:5080` into host and port.

    Raises:
        ProtocolError: The text has another form, or the port is below `min_port`.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not min_port <= int(port) < 65_536:
        raise ProtocolError(f"not an address HOST:PORT: {text[:60]!r}")
    return host, int(port)


class CommandChannel:
    """The machine list by all events so far. `clock_offset_ms` is Unix time less the policy's clock."""

    def __init__(self, clock_offset_ms: float) -> None:
        self.clock_offset_ms = clock_offset_ms
        self.cursor = 0
        self.confirmed_at_ms = -math.inf  # the latest time at which the service's last event was ours
        self.hosts_by_name: dict[str, HostEntry] = {}  # without removed ones
        self.buffer = bytearray()
        self.decoder = msgspec.json.Decoder(ChannelEvent | int, strict=False)
        # The first missing cursor of the last gap. Events that are still missing after a second request don't
        # exist.
        self.gap_cursor = 0
        self.stale_cursor_count = 0  # consecutive heartbeats with a cursor below ours
        # The service has restarted its numbering: the next snapshot applies whatever its cursor.
        self.is_resyncing = False
        self.resync_cursor = 0  # our cursor when that was detected
        # Draining and removed machines: start time and phase.
        self.leaving_by_name: dict[str, tuple[float, api.MachinePhase]] = {}

    @property
    def settled_until_ms(self) -> float:
        """While the channel is up, it has mostly told of every process that had started by then."""
        return self.confirmed_at_ms - LIST_SETTLE_MS

    def encode_resume(self) -> bytes:
        """Returns the request to write on a new connection; drops a partial line of the previous one."""
        self.buffer.clear()
        self.stale_cursor_count = 0
        return b"resume %d\n" % (0 if self.is_resyncing else self.cursor)

    def load_initial_list(self, initial_list: dict[str, Any], now: float) -> list[ListChange]:
        """Applies the events in the configuration's `known` object and returns their changes.

        Raises:
            ProtocolError: An event is malformed.
        """
        try:
            events = [
                msgspec.convert(raw, ChannelEvent, strict=False) for raw in initial_list.get("cmds") or []
            ]
        except msgspec.ValidationError as error:
            raise ProtocolError(f"known: {error}") from None
        changes = [self._apply_event(event, event.nodes, now) for event in events if event.nodes is not None]
        self.cursor = max(self.cursor, int(initial_list.get("cursor") or 0))
        self.confirmed_at_ms = now
        return changes

    def feed(self, data: bytes, now: float) -> Iterable[ListChange]:
        """Appends received bytes and yields the changes of the events that are now complete.

        Raises:
            ProtocolError: The connection has to be replaced: the bytes are malformed, or events are missing.
        """
        self.buffer += data
        while (end := self.buffer.find(b"\n")) >= 0:
            line = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            if line.strip():
                yield from self._process_line(line, now)
        if len(self.buffer) > MAX_LINE_BYTES:
            raise ProtocolError(f"line longer than {MAX_LINE_BYTES} bytes")

    def _process_line(self, line: bytes, now: float) -> Iterable[ListChange]:
        try:
            event = self.decoder.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ProtocolError(f"invalid event: {error}") from None
        if isinstance(event, int) or event.nodes is None:
            self._process_heartbeat(event if isinstance(event, int) else event.cursor, now)
            return
        if self.is_resyncing:
            if event.nodes.reset:
                self.is_resyncing = False
                yield self._apply_event(event, event.nodes, now)
            return
        if event.cursor <= self.cursor:
            return  # a repeat
        if event.cursor > self.cursor + 1 and not event.nodes.reset:
            self._request_missing_events(event.cursor)
        yield self._apply_event(event, event.nodes, now)

    def _process_heartbeat(self, last_cursor: int, now: float) -> None:
        """Compares the cursor of the service's last event with ours; alone it shows that none is missing.

        A service that has lost its state, or was restored from an old copy, numbers its events from below our
        cursor, so all of them, drains included, would be dropped as repeats. It is therefore asked for
        everything. Events that it then repeats never return a machine to service that a later event had
        reported as draining or removed (`_resolve_phase`). The cost: a drain cancelled in between is not seen
        until the service's cursor passes ours or the machine restarts.
        """
        if self.is_resyncing:
            return
        self.stale_cursor_count = self.stale_cursor_count + 1 if last_cursor < self.cursor else 0
        if last_cursor > self.cursor:
            self._request_missing_events(last_cursor)
        elif self.stale_cursor_count >= MAX_STALE_CURSORS:
            self.is_resyncing, self.resync_cursor = True, max(self.resync_cursor, self.cursor)
            raise ProtocolError(
                f"the channel's last event is {last_cursor}, we have applied {self.cursor}:"
                " requesting all events"
            )
        if last_cursor >= self.cursor:
            self.confirmed_at_ms = now

    def _resolve_phase(self, entry: MachineEntry, cursor: int) -> api.MachinePhase:
        phase = PHASES[entry.lifecycle]
        started_unix_ms, known_phase = self.leaving_by_name.get(entry.instance_id, (-1.0, phase))
        if (
            cursor <= self.resync_cursor
            and started_unix_ms == entry.started_at_ms
            and phase is api.MachinePhase.SERVING
        ):
            return known_phase
        return phase

    def _record_phase(self, host: HostEntry) -> None:
        name = host.machine.name
        self.leaving_by_name.pop(name, None)
        if host.machine.phase is not api.MachinePhase.SERVING:
            self.leaving_by_name[name] = host.started_unix_ms, host.machine.phase
            if len(self.leaving_by_name) > MAX_LEAVING_MACHINES:
                del self.leaving_by_name[next(iter(self.leaving_by_name))]

    def _request_missing_events(self, received_cursor: int) -> None:
        """Requests skipped events again on a new connection; if skipped once more, they don't exist."""
        if self.gap_cursor != self.cursor + 1:
            self.gap_cursor = self.cursor + 1
            raise ProtocolError(f"the channel is at event {received_cursor}, we have applied {self.cursor}")

    def _apply_event(self, event: ChannelEvent, nodes: MachineListPayload, now: float) -> ListChange:
        hosts = tuple(self._read_host(entry, event.cursor, now, nodes.reset) for entry in nodes.instances)
        if nodes.reset:
            self.hosts_by_name = {}
        for host in hosts:
            self._record_phase(host)
            if host.machine.phase is api.MachinePhase.REMOVED:
                self.hosts_by_name.pop(host.machine.name, None)
            else:
                self.hosts_by_name[host.machine.name] = host
        self.cursor = event.cursor
        return ListChange(nodes.reset, hosts)

    def _estimate_ready_ms(
        self, entry: MachineEntry, known: HostEntry | None, now: float, is_snapshot: bool
    ) -> float | None:
        """Returns when a machine came up, on the policy's clock: at most `now`, and recent if in a delta.

        Without the lower bound, a clock minutes ahead of the list's would make a machine that is warming up
        look long started.
        """
        started_unix_ms = entry.started_at_ms
        if started_unix_ms <= 0.0:
            return None
        if known is not None and known.started_unix_ms == started_unix_ms:
            return known.machine.ready_at_ms
        earliest_ms = -math.inf if is_snapshot else now - MAX_LIST_DELAY_MS
        return min(now, max(started_unix_ms - self.clock_offset_ms, earliest_ms))

    def _read_host(self, entry: MachineEntry, cursor: int, now: float, is_snapshot: bool) -> HostEntry:
        if entry.lifecycle not in PHASES:
            raise ProtocolError(f"unknown machine lifecycle: {entry.lifecycle[:40]!r}")
        known = self.hosts_by_name.get(entry.instance_id)
        # An entry without free capacity leaves the last known value unchanged.
        cores, memory = (known.machine.free_cores, known.machine.free_memory) if known else (0.0, 0.0)
        if entry.free is not None and len(entry.free) == 2 and all(map(math.isfinite, entry.free)):
            cores, memory = entry.free
        ready_at_ms = self._estimate_ready_ms(entry, known, now, is_snapshot)
        machine = api.Machine(
            entry.instance_id,
            entry.machine_type,
            entry.zone,
            entry.cell,
            self._resolve_phase(entry, cursor),
            cores,
            memory,
            ready_at_ms,
        )
        return HostEntry(machine, parse_address(entry.host_port), entry.started_at_ms)

    def list_machines(self) -> tuple[api.Machine, ...]:
        """Returns all machines that have not been removed."""
        return tuple(host.machine for host in self.hosts_by_name.values())

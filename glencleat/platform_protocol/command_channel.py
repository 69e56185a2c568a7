"""The command channel: bytes to numbered events to machines; what is missing, repeated or broken.

Imports the interface, the settings' names and messages' ProtocolError.
`glencleat/platform_server/watch_client.py` gives it what a
connection brings and asks `encode_resume` what to write on a new one."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from glencleat import interface as api
from glencleat.platform_protocol.messages import ProtocolError
from glencleat.platform_settings import PHASES

MAX_LINE_BYTES = 4 << 20  # bytes: a whole list of some ten thousand machines
MAX_STALE_CURSORS = (
    3  # words in a row, a second apart, that the last number is below ours: not one that was under way
)
# How old a start can be that the list has only now told, and by clocks that agree: beyond, they do not.
MAX_LIST_DELAY_MS, MAX_CLOCK_SKEW_MS = 10_000.0, 60_000.0
MAX_LEAVING_MACHINES = 10_000  # machines told as draining or gone that are remembered


class MachineEntry(msgspec.Struct, rename="camel"):
    """A machine as an event tells it; times are Unix milliseconds."""

    instance_id: str
    host_port: str
    zone: str
    machine_type: str
    lifecycle: str
    cell: int = 0
    started_at_ms: float = 0.0
    free: list[float] | None = None


class MachineListPayload(msgspec.Struct):
    reset: bool = False
    instances: list[MachineEntry] = []


class ChannelEvent(msgspec.Struct):
    """One numbered event, or with no nodes the channel's word which number is the last."""

    cursor: int
    nodes: MachineListPayload | None = None


@dataclass(frozen=True, slots=True)
class HostEntry:
    """A machine and where it listens; `started_unix_ms` is Unix time, 0 for long ago."""

    machine: api.Machine
    address: tuple[str, int]
    started_unix_ms: float


@dataclass(frozen=True, slots=True)
class ListChange:
    """What one event changed: all of the list, or some of it."""

    is_snapshot: bool
    hosts: tuple[HostEntry, ...]


def parse_address(text: str, min_port: int = 1) -> tuple[str, int]:
    """`10.1.0.9:5080` as host and port; ProtocolError on another form or a port below `min_port`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not min_port <= int(port) < 65_536:
        raise ProtocolError(f"no address: {text[:60]!r}")
    return host, int(port)


def estimate_start_ms(told_ms: float, now: float) -> float:
    """When a process started whose start was told just now, on our clock; `told_ms`: by the list's clock.

    It can't be in the future, nor minutes ago: then the clocks differ, and all that is known is that it was
    before now. Harm: what came to stand there after the start is taken for what stood before it."""
    return told_ms if now - MAX_CLOCK_SKEW_MS <= told_ms <= now else now


class CommandChannel:
    """The list as told so far. `clock_offset_ms` is Unix time less the module's clock."""

    def __init__(self, clock_offset_ms: float) -> None:
        self.clock_offset_ms = clock_offset_ms
        self.cursor = 0
        self.hosts_by_name: dict[str, HostEntry] = {}  # those not gone
        self.buffer = bytearray()
        self.decoder = msgspec.json.Decoder(ChannelEvent | int, strict=False)
        self.gap_cursor = 0  # the cursor at which a gap was met: once asked for again, it is no gap any more
        self.stale_cursor_count = 0  # words in a row that told an older number than ours
        self.is_resyncing = (
            False  # the service's numbers are others: the next whole list counts, whatever its number
        )
        self.resync_cursor = 0  # our number when that was found
        self.leaving_by_name: dict[
            str, tuple[float, api.MachinePhase]
        ] = {}  # by name: its start, and what was told of it

    def encode_resume(self) -> bytes:
        """What a new connection begins with; what an earlier one left half said is dropped."""
        self.buffer.clear()
        self.stale_cursor_count = 0
        return b"resume %d\n" % (0 if self.is_resyncing else self.cursor)

    def load_initial_list(self, known: dict[str, Any], now: float) -> list[ListChange]:
        """The events of the start, from the configuration."""
        try:
            events = [msgspec.convert(raw, ChannelEvent, strict=False) for raw in known.get("cmds") or []]
        except msgspec.ValidationError as error:
            raise ProtocolError(f"known: {error}") from None
        news = [self._event(event, event.nodes, now) for event in events if event.nodes is not None]
        self.cursor = max(self.cursor, int(known.get("cursor") or 0))
        return news

    def feed(self, data: bytes, now: float) -> Iterable[ListChange]:
        """The news in what came now; ProtocolError when the connection is of no further use."""
        self.buffer += data
        while (end := self.buffer.find(b"\n")) >= 0:
            line = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            if line.strip():
                yield from self._line(line, now)
        if len(self.buffer) > MAX_LINE_BYTES:
            raise ProtocolError(f"a line of over {MAX_LINE_BYTES} bytes")

    def _line(self, line: bytes, now: float) -> Iterable[ListChange]:
        try:
            event = self.decoder.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ProtocolError(f"no event: {error}") from None
        if isinstance(event, int) or event.nodes is None:
            self._last(event if isinstance(event, int) else event.cursor)
            return
        if self.is_resyncing:
            if event.nodes.reset:
                self.is_resyncing = False
                yield self._event(event, event.nodes, now)
            return
        if event.cursor <= self.cursor:
            return  # told twice
        if event.cursor > self.cursor + 1 and not event.nodes.reset:
            self._gap(event.cursor)
        yield self._event(event, event.nodes, now)

    def _last(self, last: int) -> None:
        """The service's word of its last number.

        One that lost its state, or an old copy of it, counts from below ours, and all that it told would be
        taken for a repeat: drains too. So it is asked for everything. What it then tells again never makes a
        machine serve of which a later number said otherwise (`_phase`); the harm is that a drain called off
        in between is not seen until its numbers pass ours or the machine starts anew."""
        if self.is_resyncing:
            return
        self.stale_cursor_count = self.stale_cursor_count + 1 if last < self.cursor else 0
        if last > self.cursor:
            self._gap(last)
        elif self.stale_cursor_count >= MAX_STALE_CURSORS:
            self.is_resyncing, self.resync_cursor = True, max(self.resync_cursor, self.cursor)
            raise ProtocolError(f"the channel is at {last}, we were told {self.cursor}: asking for all of it")

    def _phase(self, entry: MachineEntry, cursor: int) -> api.MachinePhase:
        phase = PHASES[entry.lifecycle]
        started, told = self.leaving_by_name.get(entry.instance_id, (-1.0, phase))
        if (
            cursor <= self.resync_cursor
            and started == entry.started_at_ms
            and phase is api.MachinePhase.SERVING
        ):
            return told
        return phase

    def _note(self, host: HostEntry) -> None:
        name = host.machine.name
        self.leaving_by_name.pop(name, None)
        if host.machine.phase is not api.MachinePhase.SERVING:
            self.leaving_by_name[name] = host.started_unix_ms, host.machine.phase
            if len(self.leaving_by_name) > MAX_LEAVING_MACHINES:
                del self.leaving_by_name[next(iter(self.leaving_by_name))]

    def _gap(self, told: int) -> None:
        """Asks again for what was skipped, by a new connection; if that skips it too, there is no more."""
        if self.gap_cursor != self.cursor + 1:
            self.gap_cursor = self.cursor + 1
            raise ProtocolError(f"the channel is at {told}, we are at {self.cursor}")

    def _event(self, event: ChannelEvent, nodes: MachineListPayload, now: float) -> ListChange:
        hosts = tuple(self._host(entry, event.cursor, now, nodes.reset) for entry in nodes.instances)
        if nodes.reset:
            self.hosts_by_name = {}
        for host in hosts:
            self._note(host)
            if host.machine.phase is api.MachinePhase.REMOVED:
                self.hosts_by_name.pop(host.machine.name, None)
            else:
                self.hosts_by_name[host.machine.name] = host
        self.cursor = event.cursor
        return ListChange(nodes.reset, hosts)

    def _ready(self, entry: MachineEntry, known: HostEntry | None, now: float, whole: bool) -> float | None:
        """When it came up, on the module's clock: never later than now, and if told as a change not long ago.

        A clock that is minutes ahead of the list's would make a machine that is cold look warm to all."""
        started = entry.started_at_ms
        if started <= 0.0:
            return None
        if known is not None and known.started_unix_ms == started:
            return known.machine.ready_at_ms
        least = -math.inf if whole else now - MAX_LIST_DELAY_MS
        return min(now, max(started - self.clock_offset_ms, least))

    def _host(self, entry: MachineEntry, cursor: int, now: float, whole: bool) -> HostEntry:
        if entry.lifecycle not in PHASES:
            raise ProtocolError(f"no state of a machine: {entry.lifecycle[:40]!r}")
        known = self.hosts_by_name.get(entry.instance_id)
        cores, memory = (known.machine.free_cores, known.machine.free_memory) if known else (0.0, 0.0)
        if entry.free is not None and len(entry.free) == 2 and all(map(math.isfinite, entry.free)):
            cores, memory = entry.free
        ready = self._ready(entry, known, now, whole)
        machine = api.Machine(
            entry.instance_id,
            entry.machine_type,
            entry.zone,
            entry.cell,
            self._phase(entry, cursor),
            cores,
            memory,
            ready,
        )
        return HostEntry(machine, parse_address(entry.host_port), entry.started_at_ms)

    def list_machines(self) -> tuple[api.Machine, ...]:
        return tuple(host.machine for host in self.hosts_by_name.values())

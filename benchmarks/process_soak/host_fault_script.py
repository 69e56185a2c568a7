"""The faults of the soak's hosts, drawn from the fault table by seed, and what the list tells of them."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from benchmarks.host_faults import (
    AT_ONCE_MS,
    SECOND_FAULT_MS,
    START_LISTED_MS,
    FaultCell,
    FormerConnections,
    HostFault,
    RangeMs,
    Successor,
    draw_cells,
)
from benchmarks.process_soak.hosts import SoakHost
from glencleat.emulators.channel import make_list_entry
from glencleat.event_loop import Loop

START_OFFSETS_MS = (-400.0, -2.0, 0.0, 2.0)
MIN_EVENT_INTERVAL_MS = 1.0
DRAINS_MS = (500.0, 3_000.0)  # from the list's word to the end
MAX_FAULTY_HOSTS = 4  # at the same time

EntryMaker = Callable[[int], list[dict[str, Any]]]


class Removal:
    """The list's word that a process has gone, which is cancelled if another one is told of before."""

    def __init__(self) -> None:
        """Starts as one that is to come."""
        self.is_cancelled = False


class HostFaultScript:
    """Begins one fault after another, at up to MAX_FAULTY_HOSTS hosts at the same time."""

    def __init__(
        self,
        loop: Loop,
        random: Random,
        hosts: list[SoakHost],
        *,
        drain_share: float,
        list_clock_offset_ms: float,
        publish: Callable[[EntryMaker, SoakHost], None],
        cut_channel: Callable[[], None],
    ) -> None:
        """Starts with hosts that have no fault.

        Args:
            loop: Provides the time.
            random: Source of all choices.
            hosts: All hosts, whose names are `h0` and so on.
            drain_share: The share of faults that are a drain.
            list_clock_offset_ms: The list's clock less this one's.
            publish: Has the list tell of entries, made from the port of a host.
            cut_channel: Breaks off a command channel for a while.
        """
        self.loop, self.random, self.hosts = loop, random, hosts
        self.drain_share, self.list_clock_offset_ms = drain_share, list_clock_offset_ms
        self.publish, self.cut_channel = publish, cut_channel
        self.name_count = len(hosts)
        self.busy_hosts: set[SoakHost] = set()  # with a fault that is not over, or that drain
        self.cells = draw_cells(Random(random.random()))
        self.played_cells: list[FaultCell] = []

    def begin(self) -> None:
        """Begins the next fault at a host that has none, unless enough have one."""
        hosts = [host for host in self.hosts if host not in self.busy_hosts]
        if len(self.hosts) - len(hosts) >= MAX_FAULTY_HOSTS:
            return
        host = self.random.choice(hosts)
        self.busy_hosts.add(host)
        if self.random.random() < self.drain_share:
            self._drain(host)
            return
        cell = next(self.cells)
        self.played_cells.append(cell)
        if cell.is_list_silent:
            self.cut_channel()
        away_ms = self.random.uniform(*cell.away_ms)
        if cell.successor is Successor.SAME_PROCESS:
            self._begin_silence(host, cell, away_ms)
        else:
            self._end_process(host, cell, away_ms)

    def _begin_silence(self, host: SoakHost, cell: FaultCell, away_ms: float) -> None:
        host.fall_silent(is_hanging=cell.fault is HostFault.HANGS)
        removal = self._remove_later(host, cell.end_listed_ms)

        def recover() -> None:
            host.recover()
            self._list_process(host, removal, is_same_process=True)

        self.loop.call_in(away_ms, recover)

    def _end_process(self, host: SoakHost, cell: FaultCell, away_ms: float) -> None:
        host.end_process(cell.connections, are_connects_refused=cell.are_connects_refused)
        removal = self._remove_later(host, cell.end_listed_ms)
        if cell.successor is Successor.NOBODY:
            return
        if cell.away_ms == AT_ONCE_MS:
            self._start_process(host, cell, removal)
        else:
            self.loop.call_in(away_ms, lambda: self._start_process(host, cell, removal))

    def _start_process(self, host: SoakHost, cell: FaultCell, removal: Removal) -> None:
        name = host.process.name
        if cell.successor is not Successor.SAME_NAME:
            name, self.name_count = f"h{self.name_count}", self.name_count + 1
        host.start_process(name)
        self._list_process(host, removal)
        if cell.successor is Successor.VANISHES_TOO:
            once_more = replace(cell, successor=Successor.OTHER_NAME)
            away_ms = self.random.uniform(*cell.away_ms)
            self.busy_hosts.add(host)
            in_ms = self.random.uniform(*SECOND_FAULT_MS)
            self.loop.call_in(in_ms, lambda: self._end_process(host, once_more, away_ms))

    def _drain(self, host: SoakHost) -> None:
        """The host drains, which the list tells late, and is replaced some seconds after that."""
        host.drain()
        name = host.process.name
        told_ms = self.random.uniform(*START_LISTED_MS)
        self.loop.call_in(
            told_ms,
            lambda: self.publish(lambda port: [make_list_entry(name, port, "DRAINING")], host),
        )

        def end() -> None:
            host.end_process(FormerConnections.RESET, are_connects_refused=True)
            self.name_count += 1
            host.start_process(f"h{self.name_count - 1}")
            self._list_process(host, Removal())

        self.loop.call_in(told_ms + self.random.uniform(*DRAINS_MS), end)

    # ---- the list ----

    def _remove_later(self, host: SoakHost, delays_ms: RangeMs) -> Removal:
        """The list tells that the host's process has gone, unless that is cancelled before."""
        name, removal = host.process.name, Removal()

        def remove() -> None:
            if not removal.is_cancelled:
                self.publish(lambda port: [make_list_entry(name, port, "DELETED")], host)

        in_ms = max(
            self.random.uniform(*delays_ms), host.told_at_ms + MIN_EVENT_INTERVAL_MS - self.loop.now()
        )
        self.loop.call_in(in_ms, remove)
        return removal

    def _list_process(self, host: SoakHost, removal: Removal, *, is_same_process: bool = False) -> None:
        """The list tells of the process that runs now, after which the fault is over."""
        removal.is_cancelled = True
        name, former_name = host.process.name, host.listed_name
        if not is_same_process:
            start_offset_ms = self.random.choice(START_OFFSETS_MS) + self.list_clock_offset_ms
            host.started_unix_ms = round(time.time() * 1e3 + start_offset_ms)
        started_unix_ms = host.started_unix_ms
        host.listed_name = name
        deleted_position = self.random.randrange(2)

        def make_entries(port: int) -> list[dict[str, Any]]:
            entries = [make_list_entry(name, port, started_ms=started_unix_ms)]
            if former_name != name:
                entries.insert(deleted_position, make_list_entry(former_name, port, "DELETED"))
            return entries

        self._tell_later(host, START_LISTED_MS, lambda: self.publish(make_entries, host))
        self.busy_hosts.discard(host)

    def _tell_later(self, host: SoakHost, delays_ms: RangeMs, tell: Callable[[], None]) -> None:
        """Has the list tell of one host's processes in their order."""
        told_at_ms = self.loop.now() + self.random.uniform(*delays_ms)
        host.told_at_ms = max(told_at_ms, host.told_at_ms + MIN_EVENT_INTERVAL_MS)
        self.loop.call_in(host.told_at_ms - self.loop.now(), tell)

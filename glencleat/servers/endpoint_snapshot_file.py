"""Keeps the machine list in a file (`endpoint_snapshot.py`), and takes it from there at a start.

A change of phase is written before the module hears of it; the whole file anew now and then, by a rename. No
fsync: it outlives the process, not the machine. What can't be written makes the file untrue; it goes."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable
from pathlib import Path
from typing import BinaryIO

from glencleat import endpoint_snapshot
from glencleat import interface as api
from glencleat.allocator.endpoint_list import MachineListing
from glencleat.event_loop import Loop

REWRITE_INTERVAL_MS = (
    30_000.0  # between two whole files; a list that stays the same has its age renewed by it
)
MAX_FILE_BYTES = 64 << 20  # bytes of a file that is read


class EndpointSnapshotFile:
    def __init__(
        self,
        loop: Loop,
        path: Path,
        pool: str,
        most_age_ms: float,
        listing: MachineListing,
        log: Callable[..., None],
    ) -> None:
        self.loop, self.path, self.pool, self.max_age_ms = loop, path, pool, most_age_ms
        self.listing, self.log = listing, log
        self.file: BinaryIO | None = None  # that changes are added to
        self.phase_by_machine: dict[str, api.MachinePhase] = {}
        self.is_list_live = False  # the directory tells the list just now

    def load(self) -> tuple[api.Machine, ...]:
        """What it holds, if that may be used; else nothing, and the log says why."""
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES)
            found = endpoint_snapshot.decode_snapshot(data)
            wall = self.loop.clock.wall()
            why = endpoint_snapshot.unusable_reason(found, self.pool, wall, self.max_age_ms)
            told = endpoint_snapshot.restore_machines(found, self.loop.now(), wall) if why is None else ()
        except FileNotFoundError:
            return ()
        except OSError as error:
            why, told = str(error.strerror), ()
        except endpoint_snapshot.EndpointSnapshotError as error:
            why, told = str(error), ()
        if why is not None:
            self.log("kept list not used", file=str(self.path), why=why)
        else:
            age = round((wall - found.at_ms) / 1e3, 1)
            self.log("kept list used", file=str(self.path), machines=len(told), age_s=age)
        return told

    def record_update(self, event: api.MachineListUpdated) -> None:
        """News of the directory, before anybody else hears of it."""
        if event.kind is api.ListUpdateKind.FAILED:
            self.is_list_live = False
        elif event.kind is api.ListUpdateKind.SNAPSHOT:
            self.is_list_live = True
            self._anew()
        elif self.file is not None:
            self._add(event.machines)

    def start(self) -> None:
        """Renews the file from time to time, while the list is live."""
        self.loop.call_in(REWRITE_INTERVAL_MS, self.start)
        if self.is_list_live:
            self._anew()

    def _add(self, machines: tuple[api.Machine, ...]) -> None:
        now, wall, lines = self.loop.now(), self.loop.clock.wall(), b""
        for machine in machines:
            if self.phase_by_machine.get(machine.name) is not machine.phase:
                self.phase_by_machine[machine.name] = machine.phase
                lines += endpoint_snapshot.encode_change(machine, now, wall)
        if lines and self.file is not None:
            try:
                self.file.write(lines)
                self.file.flush()
            except OSError as error:
                self._untrue(error)

    def _anew(self) -> None:
        """An empty list is not written: it would take the place of one that was good."""
        machines = self.listing.machines_by_name
        if not machines:
            return
        self._close()
        beside = self.path.with_name(self.path.name + ".new")
        try:
            file = beside.open("wb")
            self.file = file
            file.write(
                endpoint_snapshot.encode_snapshot(
                    self.pool, machines.values(), self.loop.now(), self.loop.clock.wall()
                )
            )
            file.flush()
            os.replace(beside, self.path)
        except OSError as error:
            self._untrue(error)
            return
        self.phase_by_machine = {name: machine.phase for name, machine in machines.items()}

    def _untrue(self, error: OSError) -> None:
        """What the file holds may lack a drain by now. Harm: the next start has no list until it is told."""
        self._close()
        self.log("kept list not written, removed", file=str(self.path), why=str(error.strerror))
        with contextlib.suppress(OSError):
            self.path.unlink()

    def _close(self) -> None:
        file, self.file = self.file, None
        if file is not None:
            with contextlib.suppress(OSError):
                file.close()

"""Stores the machine list in a file (format: `endpoint_snapshot.py`) and loads it at the next start.

A change of phase is appended before the decision module is notified of it. From time to time the complete
file is rewritten and renamed into place. There is no fsync: the file has to survive the process, not the
machine. If a write fails, the file would be out of date and is removed.
"""

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

REWRITE_INTERVAL_MS = 30_000.0  # a rewrite also renews the age of a list that does not change
MAX_FILE_BYTES = 64 << 20  # read at most


class EndpointSnapshotFile:
    """The file of the endpoint snapshot of one pool.

    `listing` is the machine list of the directory client; a file older than `max_age_ms` is not used.
    """

    def __init__(
        self,
        loop: Loop,
        path: Path,
        pool: str,
        max_age_ms: float,
        listing: MachineListing,
        log: Callable[..., None],
    ) -> None:
        self.loop, self.path, self.pool, self.max_age_ms = loop, path, pool, max_age_ms
        self.listing, self.log = listing, log
        self.file: BinaryIO | None = None  # open for appending changes
        self.phase_by_machine: dict[str, api.MachinePhase] = {}
        self.is_list_live = False  # the subscription to the directory is up

    def load(self) -> tuple[api.Machine, ...]:
        """Returns the machines in the file, or none with a log line if the file can't be used."""
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES)
            snapshot = endpoint_snapshot.decode_snapshot(data)
            wall = self.loop.clock.wall()
            why = endpoint_snapshot.unusable_reason(snapshot, self.pool, wall, self.max_age_ms)
            machines = (
                endpoint_snapshot.restore_machines(snapshot, self.loop.now(), wall) if why is None else ()
            )
        except FileNotFoundError:
            return ()
        except OSError as error:
            why, machines = str(error.strerror), ()
        except endpoint_snapshot.EndpointSnapshotError as error:
            why, machines = str(error), ()
        if why is not None:
            self.log("kept list not used", file=str(self.path), why=why)
        else:
            age = round((wall - snapshot.at_ms) / 1e3, 1)
            self.log("kept list used", file=str(self.path), machines=len(machines), age_s=age)
        return machines

    def record_update(self, event: api.MachineListUpdated) -> None:
        """Records an update from the directory; to be called before anyone else is notified of it."""
        if event.kind is api.ListUpdateKind.FAILED:
            self.is_list_live = False
        elif event.kind is api.ListUpdateKind.SNAPSHOT:
            self.is_list_live = True
            self._write_snapshot()
        elif self.file is not None:
            self._append_changes(event.machines)

    def start(self) -> None:
        """Rewrites the file every `REWRITE_INTERVAL_MS` while the list is live."""
        self.loop.call_in(REWRITE_INTERVAL_MS, self.start)
        if self.is_list_live:
            self._write_snapshot()

    def _append_changes(self, machines: tuple[api.Machine, ...]) -> None:
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
                self._discard(error)

    def _write_snapshot(self) -> None:
        """Rewrites the complete file, unless the list is empty: that would replace a usable file."""
        machines = self.listing.machines_by_name
        if not machines:
            return
        self._close()
        new_path = self.path.with_name(self.path.name + ".new")
        try:
            file = new_path.open("wb")
            self.file = file
            file.write(
                endpoint_snapshot.encode_snapshot(
                    self.pool, machines.values(), self.loop.now(), self.loop.clock.wall()
                )
            )
            file.flush()
            os.replace(new_path, self.path)
        except OSError as error:
            self._discard(error)
            return
        self.phase_by_machine = {name: machine.phase for name, machine in machines.items()}

    def _discard(self, error: OSError) -> None:
        """Removes the file, because it may lack a drain by now.

        As a consequence, the next start has no list until the directory sends one.
        """
        self._close()
        self.log("kept list not written, removed", file=str(self.path), why=str(error.strerror))
        with contextlib.suppress(OSError):
            self.path.unlink()

    def _close(self) -> None:
        file, self.file = self.file, None
        if file is not None:
            with contextlib.suppress(OSError):
                file.close()

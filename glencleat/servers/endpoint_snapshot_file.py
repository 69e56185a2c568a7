"""Stores the machine list in a file (`endpoint_snapshot.py`), and loads it at a start.

A change of phase is written before the policy learns of it; the whole file is rewritten now and then, and
replaced by a rename. There is no fsync: the file outlives the process, not the machine. A file that can't be
written may lack a drain, and is removed.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from pathlib import Path
from typing import BinaryIO

from glencleat import endpoint_snapshot
from glencleat import interface as api
from glencleat.allocator.endpoint_list import MachineListing
from glencleat.event_loop import Loop

REWRITE_INTERVAL_MS = 30_000.0  # between two whole files; renews the age of a list that stays the same
MAX_FILE_BYTES = 64 << 20  # that are read of a file
MS_PER_S = 1e3


class EndpointSnapshotFile:
    """One allocator's file at `path`, for the machine list of `pool`.

    A stored list older than `max_age_ms` is not used. `listing` is the list as it is known now, `log` takes
    an event and its fields.
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
        self.loop = loop
        self.path = path
        self.pool = pool
        self.max_age_ms = max_age_ms
        self.listing = listing
        self.log = log
        self.file: BinaryIO | None = None  # that deltas are appended to
        self.written_phases: dict[str, api.MachinePhase] = {}  # by machine
        self.is_live = False  # the directory sends the list just now

    def load(self) -> tuple[api.Machine, ...]:
        """The machines that the file holds; none, with the reason logged, if it may not be used."""
        try:
            snapshot = self._read()
            wall_ms = self.loop.clock.wall()
            self._check_usable(snapshot, wall_ms)
            machines = endpoint_snapshot.restore_machines(snapshot, self.loop.now(), wall_ms)
        except FileNotFoundError:
            return ()
        except OSError as error:
            self._log_rejection(str(error.strerror))
            return ()
        except endpoint_snapshot.EndpointSnapshotError as error:
            self._log_rejection(str(error))
            return ()
        age_s = round((wall_ms - snapshot.at_ms) / MS_PER_S, 1)
        self.log("kept list used", file=str(self.path), machines=len(machines), age_s=age_s)
        return machines

    def _read(self) -> endpoint_snapshot.EndpointSnapshot:
        with self.path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES)
        return endpoint_snapshot.parse_snapshot(data)

    def _check_usable(self, snapshot: endpoint_snapshot.EndpointSnapshot, wall_ms: float) -> None:
        reason = endpoint_snapshot.find_rejection_reason(snapshot, self.pool, wall_ms, self.max_age_ms)
        if reason is not None:
            raise endpoint_snapshot.EndpointSnapshotError(reason)

    def _log_rejection(self, reason: str) -> None:
        self.log("kept list not used", file=str(self.path), why=reason)

    def record_update(self, event: api.MachineListUpdated) -> None:
        """Stores an update of the directory; called before anybody else learns of it."""
        if event.kind is api.ListUpdateKind.FAILED:
            self.is_live = False
        elif event.kind is api.ListUpdateKind.SNAPSHOT:
            self.is_live = True
            self._rewrite()
        elif self.file is not None:
            self._append_deltas(event.machines)

    def start(self) -> None:
        """Rewrites the file every REWRITE_INTERVAL_MS while the directory sends the list."""
        self.loop.call_in(REWRITE_INTERVAL_MS, self.start)
        if self.is_live:
            self._rewrite()

    def _append_deltas(self, machines: tuple[api.Machine, ...]) -> None:
        now_ms = self.loop.now()
        wall_ms = self.loop.clock.wall()
        lines = b""
        for machine in machines:
            if self.written_phases.get(machine.name) is not machine.phase:
                self.written_phases[machine.name] = machine.phase
                lines += endpoint_snapshot.encode_delta(machine, now_ms, wall_ms)
        if lines and self.file is not None:
            try:
                self.file.write(lines)
                self.file.flush()
            except OSError as error:
                self._remove_stale_file(error)

    def _rewrite(self) -> None:
        """Replaces the file. An empty list is not written: it would take the place of one that was good."""
        machines = self.listing.machines_by_name
        if not machines:
            return
        self._close()
        new_path = self.path.with_name(self.path.name + ".new")
        data = endpoint_snapshot.encode_snapshot(
            self.pool, machines.values(), self.loop.now(), self.loop.clock.wall()
        )
        try:
            file = new_path.open("wb")
            self.file = file  # stays open for deltas: `_close` ends it
            file.write(data)
            file.flush()
            new_path.replace(self.path)
        except OSError as error:
            self._remove_stale_file(error)
            return
        self.written_phases = {name: machine.phase for name, machine in machines.items()}

    def _remove_stale_file(self, error: OSError) -> None:
        """Removes a file that may lack a drain by now: the next start has no list until it is sent one."""
        self._close()
        self.log("kept list not written, removed", file=str(self.path), why=str(error.strerror))
        with contextlib.suppress(OSError):
            self.path.unlink()

    def _close(self) -> None:
        file = self.file
        self.file = None
        if file is not None:
            with contextlib.suppress(OSError):
                file.close()

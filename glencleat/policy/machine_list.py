"""Tracks the machine list and machines' load reports, and requests the list again after a failure."""

from __future__ import annotations

from dataclasses import replace

from glencleat.interface import (
    ListUpdateKind,
    LoadReport,
    Machine,
    MachineListUpdated,
    MachinePhase,
    WatchMachineList,
)
from glencleat.policy.cluster_state import MachineState
from glencleat.policy.coverage import suspend_harvest
from glencleat.policy.policy_state import PolicyState
from glencleat.policy.resources import NEVER_MS, NOT_DUE_MS

RETRY_LIST_MS = 500.0  # first delay before the list is requested again; doubled at each failure
MAX_RETRY_LIST_MS = 4_000.0
RETRY_LIST_JITTER = (0.7, 1.3)  # factors; keep schedulers that failed together from retrying together
PRESSURE_BUSY_SHARE = 0.95  # of the cores: from here on harvesting is suspended
PRESSURE_SUSPENSION_MS = 2_000.0  # of harvesting, after a sign of pressure
TIMER_TOLERANCE_MS = 0.5  # rounding may let a timer fire this early


def record_report(state: PolicyState, machine: MachineState, report: LoadReport) -> None:
    """Stores a load report of the machine, and suspends harvesting if its cores are busy."""
    machine.report = report
    machine.reported_at_ms = state.now_ms
    machine.sums_updated_at_ms = NEVER_MS
    if report.busy_share is not None and report.busy_share >= PRESSURE_BUSY_SHARE:
        suspend_harvest(state, machine, PRESSURE_SUSPENSION_MS, "cores busy")


class MachineListTracker:
    """Applies snapshots and deltas to the known machines, and requests the list again after a failure."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        self.retry_at_ms = 0.0 if state.settings.watch_on_request else NOT_DUE_MS
        self.retry_delay_ms = RETRY_LIST_MS

    def watch_if_due(self) -> None:
        """Requests the list if a request is due."""
        if self.state.now_ms >= self.retry_at_ms - TIMER_TOLERANCE_MS:
            self.retry_at_ms = NOT_DUE_MS
            self.state.actions.append(WatchMachineList())

    def on_list_updated(self, event: MachineListUpdated) -> None:
        """Applies a snapshot or a delta, or schedules a retry if the list failed."""
        if event.kind is ListUpdateKind.FAILED:
            self._schedule_retry()
            return
        self.retry_delay_ms = RETRY_LIST_MS
        machines = self.state.machines
        now_ms = self.state.now_ms
        entries = {entry.name: entry for entry in event.machines}
        if event.kind is ListUpdateKind.SNAPSHOT:
            for machine in machines.values():
                if machine.name not in entries and not machine.is_removed:
                    self.update_machine(machine, replace(machine.entry, phase=MachinePhase.REMOVED))
        for entry in entries.values():
            known = machines.get(entry.name)
            machine = known if known is not None and known.is_size_known else self._add(entry, known)
            self.update_machine(machine, entry)
            machine.listed_at_ms = now_ms
            machine.sums_updated_at_ms = NEVER_MS
        self.forget_removed()

    def _schedule_retry(self) -> None:
        self.retry_at_ms = self.state.now_ms + self.retry_delay_ms * self.state.random.uniform(
            *RETRY_LIST_JITTER
        )
        self.retry_delay_ms = min(MAX_RETRY_LIST_MS, 2.0 * self.retry_delay_ms)
        self.state.log("list", "the machine list failed, asking again")

    def _add(self, entry: Machine, known: MachineState | None) -> MachineState:
        """Adds a machine; one that was known without its size is replaced and keeps its tasks."""
        machine = MachineState(entry, self.state.settings.machine_sizes.get(entry.kind))
        machine.tasks = known.tasks if known else {}
        for task in machine.tasks.values():
            task.machine = machine
        self.state.machines[entry.name] = machine
        return machine

    def update_machine(self, machine: MachineState, entry: Machine) -> None:
        """Sets the machine's list entry, and adds it to or removes it from the serving machines."""
        machine.entry = entry
        phase = entry.phase  # read once, not through the properties: a snapshot holds all machines
        self.state.serving_machines.set_present(
            machine, machine.is_size_known and phase is MachinePhase.SERVING
        )
        if phase is MachinePhase.REMOVED:
            self.state.removal_candidates[machine.name] = None

    def forget_removed(self) -> None:
        """Forgets removed machines without own tasks; over months of running they would pile up.

        After each list update, and between two of them once there are more than MAX_REMOVAL_CANDIDATES.
        """
        state = self.state
        for name in state.removal_candidates:
            machine = state.machines.get(name)
            if machine and machine.is_removed and not machine.tasks:
                del state.machines[name]
        state.removal_candidates = {}

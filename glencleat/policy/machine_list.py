"""The machine list and machines' load reports: how the scheduler learns of machines and asks for news."""

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

RETRY_LIST_MS = 500.0  # asking for the list again after a failure, doubled
MAX_RETRY_LIST_MS = 4_000.0
RETRY_LIST_JITTER = (0.7, 1.3)  # so that schedulers that failed together don't ask together
PRESSURE_BUSY_SHARE = 0.95  # of the cores, from which harvested capacity is suspended
PRESSURE_SUSPENSION_MS = 2_000.0  # harvested capacity unused after a sign of pressure
TIMER_TOLERANCE_MS = 0.5  # a timer may come this early by rounding


def record_report(state: PolicyState, machine: MachineState, report: LoadReport) -> None:
    """Takes in a load report of the machine."""
    machine.report = report
    machine.reported_at_ms = state.now_ms
    machine.sums_updated_at_ms = NEVER_MS
    if report.busy_share is not None and report.busy_share >= PRESSURE_BUSY_SHARE:
        suspend_harvest(state, machine, PRESSURE_SUSPENSION_MS, "cores busy")


class MachineListTracker:
    """Keeps the machines known by snapshots and deltas, and asks again after a failure."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        self.retry_at_ms = 0.0 if state.settings.watch_on_request else NOT_DUE_MS
        self.retry_delay_ms = RETRY_LIST_MS

    def watch_if_due(self) -> None:
        """Asks for the list if the time for it has come."""
        if self.state.now_ms >= self.retry_at_ms - TIMER_TOLERANCE_MS:
            self.retry_at_ms = NOT_DUE_MS
            self.state.actions.append(WatchMachineList())

    def on_list_updated(self, event: MachineListUpdated) -> None:
        """Takes in a snapshot, a delta, or that the list failed."""
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
        self._forget_removed()

    def _schedule_retry(self) -> None:
        self.retry_at_ms = self.state.now_ms + self.retry_delay_ms * self.state.random.uniform(
            *RETRY_LIST_JITTER
        )
        self.retry_delay_ms = min(MAX_RETRY_LIST_MS, 2.0 * self.retry_delay_ms)
        self.state.log("list", "the machine list failed, asking again")

    def _add(self, entry: Machine, known: MachineState | None) -> MachineState:
        """Adds a machine; one that was known without its size begins anew, with the tasks it has."""
        machine = MachineState(entry, self.state.settings.machine_sizes.get(entry.kind))
        machine.tasks = known.tasks if known else {}
        for task in machine.tasks.values():
            task.machine = machine
        self.state.machines[entry.name] = machine
        return machine

    def update_machine(self, machine: MachineState, entry: Machine) -> None:
        """Sets the machine's list entry, and whether it takes new tasks."""
        machine.entry = entry
        phase = entry.phase  # a list may hold all machines: read once, not by the properties
        self.state.serving_machines.set_present(
            machine, machine.is_size_known and phase is MachinePhase.SERVING
        )
        if phase is MachinePhase.REMOVED:
            self.state.removal_candidates[machine.name] = None

    def _forget_removed(self) -> None:
        """Forgets machines that are gone and without tasks of ours: it runs for months."""
        state = self.state
        for name in state.removal_candidates:
            machine = state.machines.get(name)
            if machine and machine.is_removed and not machine.tasks:
                del state.machines[name]
        state.removal_candidates = {}

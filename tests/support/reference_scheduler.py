"""A reference scheduler that recomputes list, orders and candidates at each use, to check the real one."""

import sys
from dataclasses import replace

from glencleat import interface as api
from glencleat.index.rendezvous import hash_text, mix_bits
from glencleat.policy import profiles
from glencleat.policy.cluster_state import MachineState
from glencleat.policy.machine_list import MachineListTracker
from glencleat.policy.placement import MAX_EXAMINED, Placement
from glencleat.policy.program_starts import ProgramStarts
from glencleat.policy.scheduler import Scheduler
from glencleat.policy.usage import UsageEstimate


class SortedMachines:
    """Replaces `RendezvousIndex`: sorts every order again after each list."""

    def __init__(self):
        self.machines = []
        self.orders = {}

    def set_present(self, machine, is_present):
        """Does nothing: `set_machines` sets all members after each list."""

    def set_machines(self, machines):
        self.machines = machines
        self.orders = {}

    def get_order(self, service):
        if service not in self.orders:
            seed = hash_text(service)
            self.orders[service] = sorted(self.machines, key=lambda m: (mix_bits(seed ^ m.hash), m.name))
        return self.orders[service]


class CopyingPlacement(Placement):
    """Copies all machines that may be examined, instead of yielding them lazily."""

    def walk_machines(self, task):
        state = self.state
        running = state.tasks_by_service.get(task.service, {}).values()
        names = [other.machine.name for other in running if other.machine]
        names += self.starts.use_times_by_machine(task.service)
        warm = [state.machines[name] for name in names if name in state.machines]
        ordered = [*warm, *state.serving_machines.get_order(task.service)]
        machines = list({machine.name: machine for machine in ordered}.values())
        half = MAX_EXAMINED // 2
        if len(machines) <= MAX_EXAMINED:
            return machines
        return machines[:half] + state.random.sample(machines[half:], half)


class CheckedProgramStarts(ProgramStarts):
    """Asserts that both tables agree on which services have tasks on a machine."""

    def program_warmth(self, machine, service):
        by_service = any(t.machine is machine for t in self.state.tasks_by_service.get(service, {}).values())
        assert by_service == any(t.service == service for t in machine.tasks.values())
        return super().program_warmth(machine, service)


class SummingUsageEstimate(UsageEstimate):
    """Computes the ratio of usage to request by a loop over all tasks."""

    def __init__(self, state):
        super().__init__()
        self.state = state

    def update_ratio(self):
        tasks = self.state.tasks.values()
        observed = [t for t in tasks if t.machine is not None and t.usage[0] and t.usage[1]]
        if len(observed) >= profiles.MIN_SAMPLES:
            self.ratio = tuple(
                sum(t.usage[i] for t in observed) / sum(t.requested[i] for t in observed) for i in (0, 1)
            )


class ScanningListTracker(MachineListTracker):
    """Scans all machines after each list."""

    def on_list_updated(self, event):
        if event.kind is api.ListUpdateKind.FAILED:
            super().on_list_updated(event)
            return
        state = self.state
        self.retry_delay_ms = 500.0
        entries = {entry.name: entry for entry in event.machines}
        for machine in state.machines.values() if event.kind is api.ListUpdateKind.SNAPSHOT else ():
            if machine.name not in entries:
                machine.entry = replace(machine.entry, phase=api.MachinePhase.REMOVED)
        for entry in entries.values():
            machine = state.machines.get(entry.name)
            if machine is None or not machine.is_size_known:
                previous, machine = machine, MachineState(entry, state.settings.machine_sizes.get(entry.kind))
                machine.tasks = previous.tasks if previous else {}
                for task in machine.tasks.values():
                    task.machine = machine
                state.machines[entry.name] = machine
            machine.entry = entry
            machine.listed_at_ms = state.now_ms
            machine.sums_updated_at_ms = -1e18
        removed = api.MachinePhase.REMOVED
        for machine in [m for m in state.machines.values() if m.entry.phase is removed and not m.tasks]:
            del state.machines[machine.name]
        serving = api.MachinePhase.SERVING
        state.serving_machines.set_machines(
            [m for m in state.machines.values() if m.is_size_known and m.entry.phase is serving]
        )


class ReferenceScheduler(Scheduler):
    """The straightforward implementation: sorts orders after each list, copies candidates, scans lists."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.state.serving_machines = SortedMachines()
        self.usage = SummingUsageEstimate(self.state)
        self.starts = CheckedProgramStarts(self.state)
        self.machine_list = ScanningListTracker(self.state)
        self.placement = CopyingPlacement(self.state, self.profiles, self.capacity, self.starts)
        self.capacity.usage = self.usage
        self.registry.usage = self.usage
        self.attempts.starts = self.starts
        self.attempts.placement = self.placement
        self.handlers[api.MachineListUpdated] = self.machine_list.on_list_updated


def patch_policy_constant(monkeypatch, name, value):
    """Sets a constant in every module of the policy that has it; at least one must."""
    modules = [
        m for path, m in sys.modules.items() if path.startswith("glencleat.policy.") and hasattr(m, name)
    ]
    assert modules, name
    for module in modules:
        monkeypatch.setattr(module, name, value)


def find_difference(first, second, stream, steps):
    """Passes the same events to both schedulers, and compares actions and state.

    Returns None, or number, time and event of the first difference and the two differing values.
    """
    for number in range(steps):
        now, event = stream.next_event()
        one, two = first.handle(now, event), second.handle(now, event)
        if one != two:
            return number, now, event, one, two
        if first.usage.ratio != second.usage.ratio:
            return number, now, event, first.usage.ratio, second.usage.ratio
        stream.apply_actions(one)
    one, two = first.state, second.state
    if one.random.getstate() != two.random.getstate() or list(one.machines) != list(two.machines):
        return steps, stream.now, None, len(one.machines), len(two.machines)
    return None

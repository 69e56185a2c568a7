"""Converts agents of the Operator API to machines, without I/O; the directory client handles the connection.

Attributes carry what the specification has no field for: `kind` (TEXT) and `cell` (SCALAR). Free capacity is
total_resources minus allocated_resources. registered_time, or reregistered_time if that is later, is the time
at which the agent started. Times are in milliseconds: `now_ms` on the monotonic clock, `wall_ms` since the
epoch.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from glencleat import interface as api
from glencleat.mesos import messages as m

CLOCK_DRIFT_MS = 50.0  # start times closer than this are one start, as the clocks drift
NS_PER_MS = 1e6


def find_attribute(info: m.AgentInfo, name: str) -> m.Attribute | None:
    """Returns the first attribute with that name, or None."""
    return next((attribute for attribute in info.attributes if attribute.name == name), None)


def compute_ready_at_ms(agent: m.Agent, now_ms: float, wall_ms: float) -> float | None:
    """Returns when the agent started, on the monotonic clock; a time in the future counts as now."""
    times = (agent.registered_time, agent.reregistered_time)
    times_ns = [time.nanoseconds for time in times if time is not None]
    if not times_ns:
        return None
    return now_ms - max(0.0, wall_ms - max(times_ns) / NS_PER_MS)


def to_machine_phase(agent: m.Agent) -> api.MachinePhase:
    """Returns the phase of an agent: serving, draining or removed."""
    if agent.drain_info is not None or agent.deactivated:
        return api.MachinePhase.DRAINING
    return api.MachinePhase.SERVING if agent.active else api.MachinePhase.REMOVED


def compute_free_capacity(agent: m.Agent, resource: str) -> float:
    """Returns the unallocated amount of a resource, below 0 if the agent is overcommitted."""
    total = m.sum_scalar(agent.total_resources, resource) or 0.0
    allocated = m.sum_scalar(agent.allocated_resources, resource) or 0.0
    return total - allocated


def to_machine(agent: m.Agent, now_ms: float, wall_ms: float) -> api.Machine | None:
    """Converts an agent to a machine, or to None without an id, as no task can be bound to it then."""
    info = agent.agent_info
    if info.id is None or not info.id.value:
        return None
    kind = find_attribute(info, "kind")
    cell = find_attribute(info, "cell")
    fault_domain = info.domain.fault_domain if info.domain is not None else None
    return api.Machine(
        name=info.id.value,
        kind=kind.text.value if kind is not None and kind.text is not None else "",
        zone=fault_domain.zone.name if fault_domain is not None else "",
        cell=int(cell.scalar.value) if cell is not None and cell.scalar is not None else 0,
        phase=to_machine_phase(agent),
        free_cores=compute_free_capacity(agent, "cpus"),
        free_memory=compute_free_capacity(agent, "mem"),
        ready_at_ms=compute_ready_at_ms(agent, now_ms, wall_ms),
    )


def to_machines(agents: Iterable[m.Agent], now_ms: float, wall_ms: float) -> tuple[api.Machine, ...]:
    """Converts all agents that have an id to machines."""
    machines = (to_machine(agent, now_ms, wall_ms) for agent in agents)
    return tuple(machine for machine in machines if machine is not None)


class MachineListing:
    """The machine list as last received, so that a removal can carry the machine's zone and kind.

    The policy takes a machine's properties from the entry that it receives, so a removal without them would
    erase its location.
    """

    def __init__(self) -> None:
        self.machines_by_name: dict[str, api.Machine] = {}

    def replace_all(self, agents: Iterable[m.Agent], now_ms: float, wall_ms: float) -> api.MachineListUpdated:
        """Replaces the list with a complete one; returns it as a snapshot."""
        machines = to_machines(agents, now_ms, wall_ms)
        self.machines_by_name = {machine.name: machine for machine in machines}
        return api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, machines)

    def snapshot(self) -> api.MachineListUpdated:
        """Returns the current list as a snapshot, with the changes since the last complete list."""
        return api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, tuple(self.machines_by_name.values()))

    def record_change(self, agent: m.Agent, now_ms: float, wall_ms: float) -> api.MachineListUpdated | None:
        """Records a new or changed agent; returns the delta, or None for an agent without an id."""
        machine = to_machine(agent, now_ms, wall_ms)
        if machine is None:
            return None
        previous = self.machines_by_name.get(machine.name)
        previous_ready_at_ms = previous.ready_at_ms if previous is not None else None
        if previous_ready_at_ms and machine.ready_at_ms is not None:
            drift_ms = abs(previous_ready_at_ms - machine.ready_at_ms)
            if drift_ms < CLOCK_DRIFT_MS:
                machine = replace(machine, ready_at_ms=previous_ready_at_ms)
        self.machines_by_name[machine.name] = machine
        return api.MachineListUpdated(api.ListUpdateKind.DELTA, (machine,))

    def record_removal(self, agent_id: str) -> api.MachineListUpdated:
        """Records the removal of an agent; returns the delta, also for an agent that is not in the list."""
        machine = self.machines_by_name.pop(agent_id, None)
        if machine is None:
            removed = api.Machine(agent_id, kind="", zone="", cell=0, phase=api.MachinePhase.REMOVED)
        else:
            removed = replace(machine, phase=api.MachinePhase.REMOVED)
        return api.MachineListUpdated(api.ListUpdateKind.DELTA, (removed,))

"""Reads the agents of the Operator API as machines. Pure; the client of the directory carries the bytes.

What the specification has no field for travels in attributes: `kind` (TEXT) and `cell` (SCALAR). Free
capacity is total_resources less allocated_resources. registered_time, or the later reregistered_time, tells
when the agent came up. Times are in milliseconds: `now_ms` on the monotonic clock, `wall_ms` since the epoch.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from glencleat import interface as api
from glencleat.mesos import messages as m

CLOCK_DRIFT_MS = 50.0  # between two readings of a start time; the clocks drift, it is no restart
NS_PER_MS = 1e6


def find_attribute(info: m.AgentInfo, name: str) -> m.Attribute | None:
    """The first attribute of that name, if there is one."""
    return next((attribute for attribute in info.attributes if attribute.name == name), None)


def compute_ready_at_ms(agent: m.Agent, now_ms: float, wall_ms: float) -> float | None:
    """When the agent came up, on the monotonic clock; never in the future, whatever the clocks say."""
    times = (agent.registered_time, agent.reregistered_time)
    times_ns = [time.nanoseconds for time in times if time is not None]
    if not times_ns:
        return None
    return now_ms - max(0.0, wall_ms - max(times_ns) / NS_PER_MS)


def to_machine_phase(agent: m.Agent) -> api.MachinePhase:
    """Whether the agent serves, drains or is gone."""
    if agent.drain_info is not None or agent.deactivated:
        return api.MachinePhase.DRAINING
    return api.MachinePhase.SERVING if agent.active else api.MachinePhase.REMOVED


def compute_free_capacity(agent: m.Agent, resource: str) -> float:
    """What is not allocated of a resource; below 0 where the agent is overcommitted."""
    total = m.sum_scalar(agent.total_resources, resource) or 0.0
    allocated = m.sum_scalar(agent.allocated_resources, resource) or 0.0
    return total - allocated


def to_machine(agent: m.Agent, now_ms: float, wall_ms: float) -> api.Machine | None:
    """The machine, or None for an agent without an id, to which nothing can be bound."""
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
    """The machines of all agents that have an id."""
    machines = (to_machine(agent, now_ms, wall_ms) for agent in agents)
    return tuple(machine for machine in machines if machine is not None)


class MachineListing:
    """The machine list as last received, so that a removal has the machine's own zone and kind.

    The decision module takes a machine's facts from the entry it is given: a bare removal would wipe its
    place.
    """

    def __init__(self) -> None:
        self.machines_by_name: dict[str, api.Machine] = {}

    def replace_all(self, agents: Iterable[m.Agent], now_ms: float, wall_ms: float) -> api.MachineListUpdated:
        """Records a complete list; returns it as a snapshot."""
        machines = to_machines(agents, now_ms, wall_ms)
        self.machines_by_name = {machine.name: machine for machine in machines}
        return api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, machines)

    def snapshot(self) -> api.MachineListUpdated:
        """The list as it is now, changes since the last complete one included."""
        return api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, tuple(self.machines_by_name.values()))

    def record_change(self, agent: m.Agent, now_ms: float, wall_ms: float) -> api.MachineListUpdated | None:
        """Records an agent that is new or changed; returns the delta, None for an agent without an id."""
        machine = to_machine(agent, now_ms, wall_ms)
        if machine is None:
            return None
        before = self.machines_by_name.get(machine.name)
        started_at_ms = before.ready_at_ms if before is not None else None
        if started_at_ms and machine.ready_at_ms is not None:
            drift_ms = abs(started_at_ms - machine.ready_at_ms)
            if drift_ms < CLOCK_DRIFT_MS:
                machine = replace(machine, ready_at_ms=started_at_ms)
        self.machines_by_name[machine.name] = machine
        return api.MachineListUpdated(api.ListUpdateKind.DELTA, (machine,))

    def record_removal(self, agent_id: str) -> api.MachineListUpdated:
        """Records that an agent is gone; returns the delta, also for one that is not known."""
        machine = self.machines_by_name.pop(agent_id, None)
        if machine is None:
            removed = api.Machine(agent_id, kind="", zone="", cell=0, phase=api.MachinePhase.REMOVED)
        else:
            removed = replace(machine, phase=api.MachinePhase.REMOVED)
        return api.MachineListUpdated(api.ListUpdateKind.DELTA, (removed,))

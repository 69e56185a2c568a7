"""Reads the Operator API's agents as the module's machines. Pure; the directory's front carries the bytes.

What the specification has no field for travels in attributes: `kind` (TEXT) and `cell` (SCALAR). Free room is
total_resources less allocated_resources. registered_time, or the later reregistered_time, tells when it came
up."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from glencleat import interface as api
from glencleat.mesos import messages as m

NOISE_MS = 50.0  # between two readings of a start time; the clocks drift, it is no restart


def attribute(info: m.AgentInfo, name: str) -> m.Attribute | None:
    return next((a for a in info.attributes if a.name == name), None)


def ready_at(agent: m.Agent, now_ms: float, wall_ms: float) -> float | None:
    """When the agent came up, on our monotonic clock; never in the future, whatever the clocks say."""
    times = [t.nanoseconds for t in (agent.registered_time, agent.reregistered_time) if t is not None]
    if not times:
        return None
    return now_ms - max(0.0, wall_ms - max(times) / 1e6)


def phase(agent: m.Agent) -> api.MachinePhase:
    if agent.drain_info is not None or agent.deactivated:
        return api.MachinePhase.DRAINING
    return api.MachinePhase.SERVING if agent.active else api.MachinePhase.REMOVED


def machine(agent: m.Agent, now_ms: float, wall_ms: float) -> api.Machine | None:
    """None for an agent without an id, which can't be bound to."""
    info = agent.agent_info
    if info.id is None or not info.id.value:
        return None
    kind, cell = attribute(info, "kind"), attribute(info, "cell")
    domain = info.domain.fault_domain if info.domain is not None else None
    left = [
        (m.sum_scalar(agent.total_resources, name) or 0.0)
        - (m.sum_scalar(agent.allocated_resources, name) or 0.0)
        for name in ("cpus", "mem")
    ]
    return api.Machine(
        name=info.id.value,
        kind=kind.text.value if kind is not None and kind.text is not None else "",
        zone=domain.zone.name if domain is not None else "",
        cell=int(cell.scalar.value) if cell is not None and cell.scalar is not None else 0,
        phase=phase(agent),
        free_cores=left[0],
        free_memory=left[1],
        ready_at_ms=ready_at(agent, now_ms, wall_ms),
    )


def machines(agents: Iterable[m.Agent], now_ms: float, wall_ms: float) -> tuple[api.Machine, ...]:
    found = (machine(agent, now_ms, wall_ms) for agent in agents)
    return tuple(item for item in found if item is not None)


class MachineListing:
    """The list as last told, so that a removal can be told with the machine's own zone and kind.

    The module keeps a node's facts from the entry it is given: a bare removal would wipe its place."""

    def __init__(self) -> None:
        self.known: dict[str, api.Machine] = {}

    def whole(self, agents: Iterable[m.Agent], now_ms: float, wall_ms: float) -> api.MachineListUpdated:
        told = machines(agents, now_ms, wall_ms)
        self.known = {item.name: item for item in told}
        return api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, told)

    def again(self) -> api.MachineListUpdated:
        """What was told last, changes and all."""
        return api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, tuple(self.known.values()))

    def changed(self, agent: m.Agent, now_ms: float, wall_ms: float) -> api.MachineListUpdated | None:
        item = machine(agent, now_ms, wall_ms)
        if item is None:
            return None
        before = self.known.get(item.name)
        started = before.ready_at_ms if before is not None else None
        if started and item.ready_at_ms is not None and abs(started - item.ready_at_ms) < NOISE_MS:
            item = replace(item, ready_at_ms=started)
        self.known[item.name] = item
        return api.MachineListUpdated(api.ListUpdateKind.DELTA, (item,))

    def removed(self, agent_id: str) -> api.MachineListUpdated:
        before = self.known.pop(agent_id, None) or api.Machine(agent_id, "", "", 0, api.MachinePhase.REMOVED)
        return api.MachineListUpdated(
            api.ListUpdateKind.DELTA, (replace(before, phase=api.MachinePhase.REMOVED),)
        )

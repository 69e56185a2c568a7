"""Demand coverage by harvested capacity (LIBRA section 5), and when harvested capacity is not to be used."""

from __future__ import annotations

from glencleat.policy.capacity import CapacityModel
from glencleat.policy.cluster_state import MachineState, TrackedTask
from glencleat.policy.policy_state import PolicyState
from glencleat.policy.resources import CORES_AND_MEMORY, Resources, add

CORES_WEIGHT = 0.5  # of cores in coverage; memory evicts but cores serve, so neither is put first
MIN_COVERED_LIFE_MS = 500.0  # coverage of a shorter predicted life would hang on single ends


def suspend_harvest(state: PolicyState, machine: MachineState, for_ms: float, cause: str) -> None:
    """Leaves the machine's harvested capacity unused for a time, after a sign of pressure there."""
    if state.now_ms >= machine.harvest_suspended_until_ms:
        state.log("void", f"harvested room of {machine.name} void: {cause}")
    machine.harvest_suspended_until_ms = max(machine.harvest_suspended_until_ms, state.now_ms + for_ms)


def _weigh(shares: list[float]) -> float:
    return CORES_WEIGHT * shares[0] + (1.0 - CORES_WEIGHT) * shares[1]


def demand_coverage(
    capacity: CapacityModel, machine: MachineState, task: TrackedTask, need: Resources
) -> float:
    """Demand coverage D: the share of the excess, over the predicted life, that harvested capacity covers.

    The excess is the need beyond what the slice still holds of the request.
    """
    if capacity.is_slice_too_small(machine, task.requested):
        # Own donors are too few: all that the machine does not use counts.
        used = add(capacity.update_sums(machine).usage, machine.others_usage)
        return _weigh([min(1.0, max(0.0, (machine.size[i] - used[i]) / need[i])) for i in CORES_AND_MEMORY])
    free = capacity.slice_left(machine, task.requested)
    excess = [max(0.0, need[i] - max(0.0, min(task.requested[i], free[i]))) for i in CORES_AND_MEMORY]
    if not any(excess):
        return 1.0
    covered = _cover_by_donors(capacity, machine, task, free, excess)
    return _weigh([covered[i] if excess[i] else 1.0 for i in CORES_AND_MEMORY])


def _cover_by_donors(
    capacity: CapacityModel, machine: MachineState, task: TrackedTask, free: Resources, excess: list[float]
) -> list[float]:
    """Shares of the excess that our tasks there leave unused, integrated over the task's predicted life.

    A donor's capacity lapses at its predicted end; requests beyond the slice are a debt to be met first.
    """
    profiles = capacity.profiles
    life_ms = max(MIN_COVERED_LIFE_MS, profiles.predict_life_left_ms(task))
    whole_slice = add(free, machine.requested)
    requested = list(machine.requested)
    needs = list(machine.predicted_needs)
    covered = [0.0, 0.0]
    since_ms = 0.0
    donors = sorted((profiles.predict_life_left_ms(donor), donor.call_id) for donor in machine.tasks.values())
    for end_ms, call_id in [*donors, (life_ms, -1)]:
        until_ms = min(end_ms, life_ms)
        for i in CORES_AND_MEMORY:
            unused = requested[i] - needs[i] - max(0.0, requested[i] - whole_slice[i])
            if excess[i]:
                covered[i] += (until_ms - since_ms) * min(1.0, max(0.0, unused / excess[i])) / life_ms
            if until_ms < life_ms:
                donor = machine.tasks[call_id]
                requested[i] -= donor.requested[i]
                needs[i] -= profiles.predict_need(donor)[i]
        since_ms = until_ms
        if until_ms >= life_ms:
            break
    return covered

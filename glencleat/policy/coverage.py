"""Demand coverage by harvested capacity (LIBRA section 5), and suspension of harvesting under pressure."""

from __future__ import annotations

from glencleat.policy.capacity import CapacityModel
from glencleat.policy.cluster_state import MachineState, TrackedTask
from glencleat.policy.policy_state import PolicyState
from glencleat.policy.resources import CORES_AND_MEMORY, Resources, add

CORES_WEIGHT = 0.5  # in coverage: cores decide service and memory decides evictions, so both weigh the same
MIN_COVERED_LIFETIME_MS = 500.0  # coverage over a shorter lifetime would depend on the ends of single tasks


def suspend_harvest(state: PolicyState, machine: MachineState, duration_ms: float, cause: str) -> None:
    """Stops using the machine's harvested capacity for a time, after a sign of pressure there."""
    if state.now_ms >= machine.harvest_suspended_until_ms:
        state.log("void", f"harvested room of {machine.name} void: {cause}")
    machine.harvest_suspended_until_ms = max(machine.harvest_suspended_until_ms, state.now_ms + duration_ms)


def _weighted_mean(shares: list[float]) -> float:
    return CORES_WEIGHT * shares[0] + (1.0 - CORES_WEIGHT) * shares[1]


def demand_coverage(
    capacity: CapacityModel, machine: MachineState, task: TrackedTask, need: Resources
) -> float:
    """Demand coverage D: the share of the excess that harvested capacity covers over the predicted lifetime.

    The excess is the predicted need beyond the part of the request that fits in the remaining slice.
    """
    if capacity.is_slice_too_small(machine, task.requested):
        # Own tasks are too few to harvest from, so all unused capacity of the machine counts.
        used = add(capacity.update_sums(machine).usage, machine.others_usage)
        return _weighted_mean(
            [min(1.0, max(0.0, (machine.size[i] - used[i]) / need[i])) for i in CORES_AND_MEMORY]
        )
    free = capacity.remaining_slice(machine, task.requested)
    excess = [max(0.0, need[i] - max(0.0, min(task.requested[i], free[i]))) for i in CORES_AND_MEMORY]
    if not any(excess):
        return 1.0
    covered = _coverage_by_donors(capacity, machine, task, free, excess)
    return _weighted_mean([covered[i] if excess[i] else 1.0 for i in CORES_AND_MEMORY])


def _coverage_by_donors(
    capacity: CapacityModel, machine: MachineState, task: TrackedTask, free: Resources, excess: list[float]
) -> list[float]:
    """Shares of the excess covered by what own tasks there leave unused, over the task's predicted lifetime.

    A donor's capacity ends with its predicted lifetime. Requests beyond the slice are subtracted first.
    """
    profiles = capacity.profiles
    lifetime_ms = max(MIN_COVERED_LIFETIME_MS, profiles.predict_remaining_lifetime_ms(task))
    whole_slice = add(free, machine.requested)
    requested = list(machine.requested)
    needs = list(machine.predicted_needs)
    covered = [0.0, 0.0]
    since_ms = 0.0
    donors = sorted(
        (profiles.predict_remaining_lifetime_ms(donor), donor.call_id) for donor in machine.tasks.values()
    )
    for end_ms, call_id in [*donors, (lifetime_ms, -1)]:
        until_ms = min(end_ms, lifetime_ms)
        for i in CORES_AND_MEMORY:
            unused = requested[i] - needs[i] - max(0.0, requested[i] - whole_slice[i])
            if excess[i]:
                covered[i] += (until_ms - since_ms) * min(1.0, max(0.0, unused / excess[i])) / lifetime_ms
            if until_ms < lifetime_ms:
                donor = machine.tasks[call_id]
                requested[i] -= donor.requested[i]
                needs[i] -= profiles.predict_need(donor)[i]
        since_ms = until_ms
        if until_ms >= lifetime_ms:
            break
    return covered

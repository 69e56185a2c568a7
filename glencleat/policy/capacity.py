"""Remaining capacity of a machine for a task: in this scheduler's slice, and in what the machine accepts.

Machines are split evenly among schedulers (LIBRA section 5), and each scheduler fills its slice without
coordination. The usage of other schedulers is estimated from the free capacity in the machine list or in a
load report.
"""

from __future__ import annotations

from glencleat.policy.cluster_state import MachineState, TrackedTask
from glencleat.policy.policy_state import PolicyState
from glencleat.policy.profiles import UsageProfiles
from glencleat.policy.resources import NO_RESOURCES, Resources, add, covers, multiply
from glencleat.policy.usage import UsageEstimate

LIST_LAG_MS = 1_500.0  # age of the values in a list: they don't include own binds that are newer
REPORT_LAG_MS = 700.0  # likewise, of the values in a load report
MAX_REPORT_AGE_MS = 5_000.0  # an older report is less accurate than the mean of the fleet
MAX_BUSY_SHARE_AGE_MS = 2_000.0  # an older busy share is less accurate than an estimate from requests
MAX_SUMS_AGE_MS = 200.0  # of a machine's sums while its tasks stay the same: usage changes more slowly
FLEET_MEAN_WEIGHT = 0.05  # of one machine in the moving average of other schedulers' usage
# Weight of cores used by lower priorities: they slow a task down only partly; how much is not reported.
LOWER_PRIORITY_WEIGHT = 0.5
MAX_CORES_LOAD = 1.1  # share of the cores above which no task is placed, however long it has waited
DEGRADATION_SHARE = 0.5  # of the degradation range: accepted for a task at its latency objective
MAX_MEMORY_LOAD = 0.88  # share of memory in use accepted for a new task: above it machines get slow
MAX_MEMORY_LOAD_LATE = 0.94  # likewise for a task at its latency objective: above it tasks get evicted
MAX_UNANSWERED_OFFERS = 4  # of this scheduler at one machine, whose queue is short


class CapacityModel:
    """Sums usage over each machine's tasks, and computes what remains for another one.

    The fleet-wide mean usage of other schedulers is kept here, a machine's sums in its `MachineState`.
    """

    def __init__(self, state: PolicyState, profiles: UsageProfiles, usage: UsageEstimate) -> None:
        settings = state.settings
        self.state = state
        self.settings = settings
        self.profiles = profiles
        self.usage = usage
        self.mean_others_load = NO_RESOURCES  # mean shares of a machine that other schedulers' tasks use
        self.slices_per_overcommit: Resources = (
            settings.allocator_count / settings.cores_overcommit,
            settings.allocator_count / settings.memory_overcommit,
        )

    def update_sums(self, machine: MachineState) -> MachineState:
        """Recomputes the machine's sums unless they are recent, and returns the machine."""
        now_ms = self.state.now_ms
        if now_ms - machine.sums_updated_at_ms < MAX_SUMS_AGE_MS:
            return machine
        machine.sums_updated_at_ms = now_ms
        free = self.known_free_capacity(machine)
        self._sum_own_tasks(machine)
        if free is None:
            # No free capacity is known, so the fleet's mean is used: own usage times the number of schedulers
            # would be noise with many of them.
            machine.others_usage = multiply(machine.size, self.mean_others_load)
        else:
            self._estimate_others(machine, free)
        return machine

    def _sum_own_tasks(self, machine: MachineState) -> None:
        """Sums up own tasks there; inlined, as most of a decision's time is spent here."""
        predict_need = self.profiles.predict_need
        estimate_usage = self.usage.estimate
        as_of_ms = machine.free_capacity_as_of_ms
        requested_sum = needs = usage = unlisted = NO_RESOURCES
        cores_used_by_priority = dict[int, float]()
        for task in machine.tasks.values():
            requested = task.requested
            need = predict_need(task)
            used = estimate_usage(task)
            priority = task.task_class.priority
            requested_sum = requested_sum[0] + requested[0], requested_sum[1] + requested[1]
            needs = needs[0] + need[0], needs[1] + need[1]
            usage = usage[0] + used[0], usage[1] + used[1]
            cores_used_by_priority[priority] = cores_used_by_priority.get(priority, 0.0) + used[0]
            if task.sent_at_ms > as_of_ms:
                unlisted = unlisted[0] + requested[0], unlisted[1] + requested[1]
        machine.requested = requested_sum
        machine.predicted_needs = needs
        machine.usage = usage
        machine.unlisted_requests = unlisted
        machine.cores_used_by_priority = cores_used_by_priority

    def _estimate_others(self, machine: MachineState, free: Resources) -> None:
        """Estimates other schedulers' usage: what is neither free nor own, times the usage ratio."""
        size = machine.size
        requested = machine.requested
        unlisted = machine.unlisted_requests
        cores = max(0.0, size[0] - free[0] - requested[0] + unlisted[0])
        memory = max(0.0, size[1] - free[1] - requested[1] + unlisted[1])
        if self.settings.allocator_count > 1:
            machine.others_usage = multiply((cores, memory), self.usage.ratio)
        else:
            machine.others_usage = NO_RESOURCES
        cores_load = machine.others_usage[0] / size[0]
        memory_load = machine.others_usage[1] / size[1]
        mean = self.mean_others_load
        self.mean_others_load = (
            mean[0] + FLEET_MEAN_WEIGHT * (cores_load - mean[0]),
            mean[1] + FLEET_MEAN_WEIGHT * (memory_load - mean[1]),
        )

    def known_free_capacity(self, machine: MachineState) -> Resources | None:
        """Cores and memory that nobody has requested, by the list or a report; None if neither gives them.

        Sets `free_capacity_as_of_ms` of the machine: own binds up to then are included.
        """
        report = machine.report
        list_has_free_capacity = self.settings.list_has_free_capacity
        is_report_newer = not list_has_free_capacity or machine.reported_at_ms >= machine.listed_at_ms
        if (
            report
            and not self.settings.reports_count_usage
            and is_report_newer
            and report.free_cores is not None
            and report.free_memory is not None
        ):
            machine.free_capacity_as_of_ms = machine.reported_at_ms - REPORT_LAG_MS
            age_ms = self.state.now_ms - machine.reported_at_ms
            is_recent = list_has_free_capacity or age_ms < MAX_REPORT_AGE_MS
            return (report.free_cores, report.free_memory) if is_recent else None
        machine.free_capacity_as_of_ms = machine.listed_at_ms - LIST_LAG_MS
        return (machine.entry.free_cores, machine.entry.free_memory) if list_has_free_capacity else None

    def predict_load(self, machine: MachineState, task: TrackedTask, added: Resources) -> Resources:
        """Predicted load (shares of the machine) with `added` usage, weighted for the task's priority.

        Uses mean usage, as tasks' peaks don't coincide, or the reported share of busy cores if higher.
        """
        used = add(self.update_sums(machine).usage, machine.others_usage)
        size = machine.size
        cores = used[0] / size[0]
        report = machine.report
        report_age_ms = self.state.now_ms - machine.reported_at_ms
        if report and report.busy_share is not None and report_age_ms < MAX_BUSY_SHARE_AGE_MS:
            cores = max(cores, report.busy_share)
        if machine.usage[0]:  # cores used by lower priorities slow a task down less
            own_priority = task.task_class.priority
            by_priority = machine.cores_used_by_priority.items()
            lower_priority_cores = sum(
                cores_used for priority, cores_used in by_priority if priority < own_priority
            )
            cores *= 1.0 - (1.0 - LOWER_PRIORITY_WEIGHT) * lower_priority_cores / machine.usage[0]
        return cores + added[0] / size[0], (used[1] + added[1]) / size[1]

    def is_load_acceptable(self, machine: MachineState, task: TrackedTask, load: Resources) -> bool:
        """Whether the task may run under this load; limits rise with its waiting time.

        A machine whose harvesting is suspended takes a task only once it has reached its latency objective.
        """
        task_class = task.task_class
        cores, memory = load
        waited_ms = self.state.now_ms - task.arrived_at_ms
        waited_share = min(1.0, waited_ms / max(1.0, task_class.latency_objective_ms))
        tolerated_degradation = DEGRADATION_SHARE * task_class.degradation_range * waited_share
        max_cores = min(MAX_CORES_LOAD, task_class.saturation_threshold + tolerated_degradation)
        max_memory = MAX_MEMORY_LOAD + (MAX_MEMORY_LOAD_LATE - MAX_MEMORY_LOAD) * waited_share
        if not (cores <= max_cores and memory <= max_memory):
            return False
        return self.state.now_ms >= machine.harvest_suspended_until_ms or waited_share >= 1.0

    def is_slice_too_small(self, machine: MachineState, requested: Resources) -> bool:
        """Whether this scheduler's slice of the machine, overcommit included, is smaller than the request."""
        return not covers(machine.size, multiply(requested, self.slices_per_overcommit))

    def remaining_slice(self, machine: MachineState, requested: Resources) -> Resources:
        """This scheduler's slice of the machine's size, less its own requests there.

        Departs from LIBRA where a slice is smaller than one request (many schedulers), as nothing would ever
        fit: it is then the machine's remaining capacity, so that hash order stays the ordinary path.
        """
        if self.is_slice_too_small(machine, requested):
            return self.remaining_capacity(machine)
        share = 1.0 / self.settings.allocator_count
        return self._subtract_own_requests(machine, (share, share))

    def remaining_overcommitted_slice(self, machine: MachineState, requested: Resources) -> Resources:
        """As `remaining_slice`, of the machine's size times its overcommit."""
        if self.is_slice_too_small(machine, requested):
            return self.remaining_capacity(machine)
        share = 1.0 / self.settings.allocator_count
        slice_shares = self.settings.cores_overcommit * share, self.settings.memory_overcommit * share
        return self._subtract_own_requests(machine, slice_shares)

    def _subtract_own_requests(self, machine: MachineState, slice_shares: Resources) -> Resources:
        return add(
            multiply(machine.size, slice_shares), multiply(self.update_sums(machine).requested, (-1.0, -1.0))
        )

    def remaining_capacity(self, machine: MachineState) -> Resources:
        """Requests that the machine would still accept by its known free capacity, less newer own binds."""
        size = machine.size
        free = self.known_free_capacity(machine) or size
        unlisted = self.update_sums(machine).unlisted_requests
        cores = size[0] * (self.settings.cores_overcommit - 1.0)
        memory = size[1] * (self.settings.memory_overcommit - 1.0)
        return free[0] + cores - unlisted[0], free[1] + memory - unlisted[1]

    def capacity_for(self, machine: MachineState, task: TrackedTask) -> Resources | None:
        """The remaining capacity if the machine would accept the request, else None.

        None also while the machine is full or `MAX_UNANSWERED_OFFERS` of this scheduler wait in its queue.
        """
        if self.state.now_ms < machine.full_until_ms:
            return None
        if machine.starting_tasks and machine.count_unanswered_offers() >= MAX_UNANSWERED_OFFERS:
            return None
        remaining = self.remaining_capacity(machine)
        return remaining if covers(remaining, task.requested) else None

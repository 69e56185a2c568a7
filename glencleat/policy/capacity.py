"""Capacity: what a machine has left for a task, by our even slice of it and by what it would still accept.

Machines are split evenly among schedulers (LIBRA section 5), and each fills its slice without a word to the
others. What others use is estimated from the list's or a report's free capacity.
"""

from __future__ import annotations

from glencleat.policy.cluster_state import MachineState, TrackedTask
from glencleat.policy.policy_state import PolicyState
from glencleat.policy.profiles import UsageProfiles
from glencleat.policy.resources import NO_RESOURCES, Resources, add, covers, multiply
from glencleat.policy.usage import UsageEstimate

LIST_LAG_MS = 1_500.0  # age of a list's figures: own binds that are newer are not in them
REPORT_LAG_MS = 700.0  # likewise, of a report's
MAX_REPORT_AGE_MS = 5_000.0  # an older report says less than the mean of the fleet
MAX_BUSY_SHARE_AGE_MS = 2_000.0  # an older busy share says less than the requests do
MAX_SUMS_AGE_MS = 200.0  # a machine's sums are used this long when no task came or went: uses drift slower
FLEET_MEAN_WEIGHT = 0.05  # of one machine in the mean use of others over the fleet
LOWER_PRIORITY_WEIGHT = (
    0.5  # of cores that lower priorities use: only a part crowds a task, which is not told
)
MAX_CORES_LOAD = 1.1  # share of the cores beyond which no task is placed, however long it waits
DEGRADATION_SHARE = 0.5  # part of the degradation range borne by a task at its latency objective
MAX_MEMORY_LOAD = 0.88  # memory in use that a task accepts at once: above it machines get slow
MAX_MEMORY_LOAD_LATE = 0.94  # likewise at its latency objective: above it come evictions
MAX_UNANSWERED_OFFERS = 4  # of ours at a machine: its queue is short


class CapacityModel:
    """Sums over each machine's tasks, and what they leave for another one.

    The mean use of others over the fleet is kept here; a machine's sums stand on its `MachineState`.
    """

    def __init__(self, state: PolicyState, profiles: UsageProfiles, usage: UsageEstimate) -> None:
        settings = state.settings
        self.state = state
        self.settings = settings
        self.profiles = profiles
        self.usage = usage
        self.mean_others_load = NO_RESOURCES  # shares of machines that others' tasks use, in the mean
        self.slices_per_overcommit: Resources = (
            settings.allocator_count / settings.cores_overcommit,
            settings.allocator_count / settings.memory_overcommit,
        )

    def update_sums(self, machine: MachineState) -> MachineState:
        """Brings the machine's sums up to date unless they are fresh, and gives it back."""
        now_ms = self.state.now_ms
        if now_ms - machine.sums_updated_at_ms < MAX_SUMS_AGE_MS:
            return machine
        machine.sums_updated_at_ms = now_ms
        free = self.known_free_capacity(machine)
        self._sum_own_tasks(machine)
        if (
            free is None
        ):  # machines that tell nothing count as average; own use times peers is noise with many
            machine.others_usage = multiply(machine.size, self.mean_others_load)
        else:
            self._estimate_others(machine, free)
        return machine

    def _sum_own_tasks(self, machine: MachineState) -> None:
        """Adds up our tasks there, in place: most of a decision's time goes here."""
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
        """Sets what others are thought to use: what is neither free nor ours, at the mean use of requests."""
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
        """Cores and memory that nobody has asked for, by list or report, whichever tells it; None if neither.

        Notes on the machine up to when own binds are contained in it.
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
        """Shares of the machine in use with `added`, as the task would feel them.

        By mean use, as peaks don't fall together; by the reported share of busy cores if that is higher.
        """
        used = add(self.update_sums(machine).usage, machine.others_usage)
        size = machine.size
        cores = used[0] / size[0]
        report = machine.report
        report_age_ms = self.state.now_ms - machine.reported_at_ms
        if report and report.busy_share is not None and report_age_ms < MAX_BUSY_SHARE_AGE_MS:
            cores = max(cores, report.busy_share)
        if machine.usage[0]:  # cores used by lower priorities crowd a task less
            own_priority = task.task_class.priority
            by_priority = machine.cores_used_by_priority.items()
            lower = sum(cores_used for priority, cores_used in by_priority if priority < own_priority)
            cores *= 1.0 - (1.0 - LOWER_PRIORITY_WEIGHT) * lower / machine.usage[0]
        return cores + added[0] / size[0], (used[1] + added[1]) / size[1]

    def is_load_acceptable(self, machine: MachineState, task: TrackedTask, load: Resources) -> bool:
        """Whether it would be served there, asking less the longer it waits; signs of pressure bar first."""
        task_class = task.task_class
        cores, memory = load
        waited_ms = self.state.now_ms - task.arrived_at_ms
        waited = min(1.0, waited_ms / max(1.0, task_class.latency_objective_ms))
        faded = DEGRADATION_SHARE * task_class.degradation_range * waited
        max_cores = min(MAX_CORES_LOAD, task_class.saturation_threshold + faded)
        max_memory = MAX_MEMORY_LOAD + (MAX_MEMORY_LOAD_LATE - MAX_MEMORY_LOAD) * waited
        if not (cores <= max_cores and memory <= max_memory):
            return False
        return self.state.now_ms >= machine.harvest_suspended_until_ms or waited >= 1.0

    def is_slice_too_small(self, machine: MachineState, requested: Resources) -> bool:
        """Whether our even slice of the machine, at what it accepts, is less than this one request."""
        return not covers(machine.size, multiply(requested, self.slices_per_overcommit))

    def slice_left(self, machine: MachineState, requested: Resources) -> Resources:
        """What our even slice of the machine, by its size, has beyond our requests there.

        A departure from LIBRA: where a slice is less than one request (many schedulers), nothing would ever
        fit. It is then what the machine would still take, so that hash order stays the ordinary path.
        """
        if self.is_slice_too_small(machine, requested):
            return self.remaining_capacity(machine)
        share = 1.0 / self.settings.allocator_count
        return self._less_own_requests(machine, (share, share))

    def overcommitted_slice_left(self, machine: MachineState, requested: Resources) -> Resources:
        """As `slice_left`, of the multiple of its size that the machine accepts."""
        if self.is_slice_too_small(machine, requested):
            return self.remaining_capacity(machine)
        share = 1.0 / self.settings.allocator_count
        parts = self.settings.cores_overcommit * share, self.settings.memory_overcommit * share
        return self._less_own_requests(machine, parts)

    def _less_own_requests(self, machine: MachineState, parts: Resources) -> Resources:
        return add(multiply(machine.size, parts), multiply(self.update_sums(machine).requested, (-1.0, -1.0)))

    def remaining_capacity(self, machine: MachineState) -> Resources:
        """Requests that the machine would still take, as far as it is told, newer own binds taken off."""
        size = machine.size
        free = self.known_free_capacity(machine) or size
        unlisted = self.update_sums(machine).unlisted_requests
        cores = size[0] * (self.settings.cores_overcommit - 1.0)
        memory = size[1] * (self.settings.memory_overcommit - 1.0)
        return free[0] + cores - unlisted[0], free[1] + memory - unlisted[1]

    def capacity_for(self, machine: MachineState, task: TrackedTask) -> Resources | None:
        """The remaining capacity if the machine would take the request, else None.

        Few offers of ours may wait in its short queue, and what remains must show.
        """
        if self.state.now_ms < machine.full_until_ms:
            return None
        if machine.starting_tasks and machine.count_unanswered_offers() >= MAX_UNANSWERED_OFFERS:
            return None
        remaining = self.remaining_capacity(machine)
        return remaining if covers(remaining, task.requested) else None

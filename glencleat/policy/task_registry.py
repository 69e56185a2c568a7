"""The registry of tasks: which are known, which have an attempt, and on which machine each uses capacity."""

from __future__ import annotations

from glencleat.policy.cluster_state import MachineState, TrackedTask
from glencleat.policy.policy_state import PolicyState
from glencleat.policy.resources import NEVER_MS
from glencleat.policy.usage import UsageEstimate


class TaskRegistry:
    """Updates the tables of tasks in `PolicyState` and in `MachineState` together.

    These are `tasks`, `held_tasks`, `tasks_by_service` and `removal_candidates` of the state, and `tasks` and
    `starting_tasks` of each machine.
    """

    def __init__(self, state: PolicyState, usage: UsageEstimate) -> None:
        self.state = state
        self.usage = usage

    def assign(self, task: TrackedTask, machine: MachineState) -> None:
        """Assigns the task to the machine, which counts its use of capacity from the attempt's start."""
        task.machine = machine
        machine.tasks[task.call_id] = task
        machine.starting_tasks[task.call_id] = task
        self.state.tasks_by_service.setdefault(task.service, {})[task.call_id] = task
        machine.sums_updated_at_ms = NEVER_MS  # its cached sums are recomputed on next use
        self.usage.observe(task)

    def release(self, task: TrackedTask) -> None:
        """Releases the capacity of the task's attempt; a second call has no effect."""
        machine = task.machine
        task.machine = None
        if machine is not None:
            self.usage.observe(task)  # removes its row, because task.machine is None now
            machine.tasks.pop(task.call_id, None)
            machine.starting_tasks.pop(task.call_id, None)
            machine.sums_updated_at_ms = NEVER_MS  # as in `assign`
            if machine.is_removed:
                self.state.removal_candidates[machine.name] = None
        tasks_by_service = self.state.tasks_by_service
        tasks_by_service.get(task.service, {}).pop(task.call_id, None)
        if not tasks_by_service.get(task.service):
            tasks_by_service.pop(task.service, None)

    def forget(self, task: TrackedTask) -> None:
        """Removes a task for which no further event can arrive from all tables."""
        self.release(task)
        self.state.held_tasks.pop(task.call_id, None)
        self.state.tasks.pop(task.call_id, None)

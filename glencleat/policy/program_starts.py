"""Where a service's program is kept warm, and how long a start takes with and without it."""

from __future__ import annotations

from glencleat.policy.cluster_state import (
    PROGRAM_ABSENT,
    PROGRAM_KEPT,
    PROGRAM_LIKELY,
    MachineState,
    TrackedTask,
)
from glencleat.policy.policy_state import PolicyState
from glencleat.policy.profiles import MAX_REMEMBERED_SERVICES
from glencleat.policy.resources import NEVER_MS
from glencleat.policy.warm_up import coldness

PROGRAM_KEPT_MS = 15_000.0  # a program is thought kept for this long after the last of our tasks
LIKELY_WARM_MACHINES = 2  # the first by hash, which peers are taken to keep warm
INITIAL_START_MS = (200.0, 800.0, 1_500.0)  # a start by program warmth, until starts tell
START_TIME_WEIGHT = 0.2  # of one start in the mean
QUEUED_START_WEIGHT = 0.5  # own starts go in two lanes; how many lanes a machine has is not told
COLD_SLOWDOWN = 4.0  # a start on a cold machine takes so many times as long; how slow it is is not told


class ProgramStarts:
    """When our tasks last held each service's program, by machine, and mean times of starts."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        self.last_held_at_ms: dict[str, dict[str, float]] = {}  # by service, then machine
        self.mean_start_ms: dict[tuple[str, int], float] = {}  # by class name and program warmth

    def machines_kept_warm(self, service: str) -> dict[str, float]:
        """Names of machines where our tasks held the program, with the last time."""
        return self.last_held_at_ms.get(service, {})

    def record_use(self, task: TrackedTask, machine: MachineState) -> None:
        """Notes that the task's program is in use there now."""
        now_ms = self.state.now_ms
        self.last_held_at_ms.setdefault(task.service, {})[machine.name] = now_ms
        if len(self.last_held_at_ms) > MAX_REMEMBERED_SERVICES:
            self.last_held_at_ms = {
                service: held_at_ms
                for service, held_at_ms in self.last_held_at_ms.items()
                if now_ms - max(held_at_ms.values()) < PROGRAM_KEPT_MS
            }

    def program_warmth(self, machine: MachineState, service: str) -> int:
        """PROGRAM_KEPT, PROGRAM_LIKELY or PROGRAM_ABSENT."""
        held_at_ms = self.last_held_at_ms.get(service, {}).get(machine.name, NEVER_MS)
        # A restart loses its programs.
        kept_since_ms = max(self.state.now_ms - PROGRAM_KEPT_MS, machine.up_since_ms())
        if held_at_ms > kept_since_ms:
            return PROGRAM_KEPT
        if machine.tasks and any(task.service == service for task in machine.tasks.values()):
            return PROGRAM_KEPT
        is_early = machine in self.state.serving_machines.get_order(service)[:LIKELY_WARM_MACHINES]
        return PROGRAM_LIKELY if is_early else PROGRAM_ABSENT

    def record_start(self, task: TrackedTask) -> None:
        """Takes in how long the task's start took; only of one that had no other of ours before it."""
        key = (task.task_class.name, task.program_warmth)
        spent_ms = self.state.now_ms - task.sent_at_ms
        known_ms = self.mean_start_ms.get(key, INITIAL_START_MS[task.program_warmth])
        self.mean_start_ms[key] = known_ms + START_TIME_WEIGHT * (spent_ms - known_ms)

    def predict_start_ms(self, machine: MachineState, task: TrackedTask, warmth: int) -> float:
        """Time to the start there: own starts due, in a few lanes, then its own, slower while it is cold."""
        own_ms = self.mean_start_ms.get((task.task_class.name, warmth), INITIAL_START_MS[warmth])
        due_ms = 0.0
        if machine.starting_tasks:
            now_ms = self.state.now_ms
            predicted = (
                (
                    self.mean_start_ms.get(
                        (other.task_class.name, other.program_warmth), INITIAL_START_MS[other.program_warmth]
                    ),
                    other.sent_at_ms,
                )
                for other in machine.starting_tasks.values()
            )
            due_ms = sum(max(0.0, start_ms - (now_ms - sent_at_ms)) for start_ms, sent_at_ms in predicted)
        slowdown = 1.0 + (COLD_SLOWDOWN - 1.0) * coldness(self.state, machine)
        return (QUEUED_START_WEIGHT * due_ms + own_ms) * slowdown

"""Where a service's program is cached, and how long a start takes with and without it."""

from __future__ import annotations

from glencleat.policy.cluster_state import (
    PROGRAM_ABSENT,
    PROGRAM_CACHED,
    PROGRAM_LIKELY_CACHED,
    MachineState,
    TrackedTask,
)
from glencleat.policy.policy_state import PolicyState
from glencleat.policy.profiles import MAX_REMEMBERED_SERVICES
from glencleat.policy.resources import NEVER_MS
from glencleat.policy.warm_up import remaining_warm_up_share

PROGRAM_CACHE_MS = 15_000.0  # a program is assumed cached this long after its last use by an own task
LIKELY_WARM_MACHINES = 2  # first in hash order, where other schedulers likely run the service
INITIAL_START_MS = (200.0, 800.0, 1_500.0)  # start time by program warmth, until starts are observed
START_TIME_WEIGHT = 0.2  # of one start in the moving average
QUEUED_START_WEIGHT = 0.5  # assumes two starts in parallel; the machine's number is not known
WARM_UP_SLOWDOWN = 4.0  # assumed factor for a start on a just started machine; the real one is not known


class ProgramStarts:
    """Tracks when own tasks last used each service's program, by machine, and mean start times."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        self.last_held_at_ms: dict[str, dict[str, float]] = {}  # by service, then machine
        self.mean_start_ms: dict[tuple[str, int], float] = {}  # by class name and program warmth

    def use_times_by_machine(self, service: str) -> dict[str, float]:
        """When own tasks last used the service's program, by machine name."""
        return self.last_held_at_ms.get(service, {})

    def record_use(self, task: TrackedTask, machine: MachineState) -> None:
        """Records that the task's program is in use on the machine now."""
        now_ms = self.state.now_ms
        self.last_held_at_ms.setdefault(task.service, {})[machine.name] = now_ms
        if len(self.last_held_at_ms) > MAX_REMEMBERED_SERVICES:
            self.last_held_at_ms = {
                service: held_at_ms
                for service, held_at_ms in self.last_held_at_ms.items()
                if now_ms - max(held_at_ms.values()) < PROGRAM_CACHE_MS
            }

    def program_warmth(self, machine: MachineState, service: str) -> int:
        """Whether the machine has the program: PROGRAM_CACHED, PROGRAM_LIKELY_CACHED or PROGRAM_ABSENT."""
        held_at_ms = self.last_held_at_ms.get(service, {}).get(machine.name, NEVER_MS)
        # A restarted machine has lost its cached programs.
        cached_since_ms = max(self.state.now_ms - PROGRAM_CACHE_MS, machine.up_since_ms())
        if held_at_ms > cached_since_ms:
            return PROGRAM_CACHED
        if machine.tasks and any(task.service == service for task in machine.tasks.values()):
            return PROGRAM_CACHED
        is_among_first = machine in self.state.serving_machines.get_order(service)[:LIKELY_WARM_MACHINES]
        return PROGRAM_LIKELY_CACHED if is_among_first else PROGRAM_ABSENT

    def record_start(self, task: TrackedTask) -> None:
        """Records the duration of a start that did not queue behind another own start."""
        key = (task.task_class.name, task.program_warmth)
        elapsed_ms = self.state.now_ms - task.sent_at_ms
        mean_ms = self.mean_start_ms.get(key, INITIAL_START_MS[task.program_warmth])
        self.mean_start_ms[key] = mean_ms + START_TIME_WEIGHT * (elapsed_ms - mean_ms)

    def predict_start_ms(self, machine: MachineState, task: TrackedTask, warmth: int) -> float:
        """Predicted time until the task runs there: queued own starts and its own, longer in warm-up."""
        own_ms = self.mean_start_ms.get((task.task_class.name, warmth), INITIAL_START_MS[warmth])
        queued_ms = 0.0
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
            queued_ms = sum(max(0.0, start_ms - (now_ms - sent_at_ms)) for start_ms, sent_at_ms in predicted)
        slowdown = 1.0 + (WARM_UP_SLOWDOWN - 1.0) * remaining_warm_up_share(self.state, machine)
        return (QUEUED_START_WEIGHT * queued_ms + own_ms) * slowdown

"""Attempts and retry rules: sending a task to a machine, holding it back, and answering its call."""

from __future__ import annotations

from collections import Counter

from glencleat.interface import (
    AttemptAccepted,
    AttemptEnded,
    Bind,
    CallAbandoned,
    Fail,
    Idempotency,
    Machine,
    MachinePhase,
    Outcome,
    PlacementRequested,
    Reject,
)
from glencleat.policy.cluster_state import MachineState, TrackedTask, UncertainAttempt
from glencleat.policy.outliers import OutlierDetector
from glencleat.policy.placement import Placement
from glencleat.policy.policy_state import PolicyState
from glencleat.policy.profiles import UsageProfiles
from glencleat.policy.program_starts import ProgramStarts
from glencleat.policy.resources import NEVER_MS, NOT_DUE_MS
from glencleat.policy.task_registry import TaskRegistry
from glencleat.policy.warm_up import remaining_warm_up_share

HELD_TASK_INTERVAL_MS = 100.0  # between two attempts to place held tasks
MAX_FAILED_PLACEMENTS = 3  # held tasks of a class without a machine in a pass: its others would fail too
MIN_TIMEOUT_MS = 300.0  # of an attempt: the time that a short queue at a machine takes
MAX_TIMEOUT_MS = 1_500.0  # of an attempt: a common latency objective
SLOW_REJECTION_SHARE = 0.35  # of the latency objective: a rejection may take so long, and is waited for
NON_IDEMPOTENT_TIMEOUT_MS = 3_000.0  # longer than others: no second attempt may follow
TIMEOUT_DEVIATIONS = 6.0  # mean deviations that the time-out adds to the mean answer time
PROBE_WAIT_SHARE = 0.3  # of the latency objective: how long a task waits for a probe's answer
STALLED_MS = 100.0  # a new task that has used up more of its deadline waited because this process stalled
MIN_REQUEST = 1e-6  # of cores and of memory: requests are used as divisors
MIN_TIME_LEFT_MS = 1.0  # shortest time-out that is sent
TIMEOUT_DIGITS = 3  # decimals of a time-out, in ms
NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)  # known not to have run


def is_final(state: PolicyState, task: TrackedTask) -> bool:
    """Whether no further attempt is allowed: limit or deadline reached, or a second run might do harm."""
    if task.attempt_count >= state.settings.max_attempts:
        return True
    if state.now_ms >= task.deadline_at_ms - 2.0 * HELD_TASK_INTERVAL_MS:
        return True
    uncertain = task.first_uncertain_attempt
    idempotency = task.task_class.idempotency
    if uncertain is None or idempotency is Idempotency.IDEMPOTENT:
        return False
    window_ms = task.task_class.deduplication_window_ms
    window_remaining_ms = uncertain.sent_at_ms + window_ms - 2.0 * state.settings.tick_ms - state.now_ms
    return idempotency is Idempotency.NON_IDEMPOTENT or window_remaining_ms < 0.0


def is_harmless_to_repeat(task: TrackedTask) -> bool:
    """Whether the client may request it again: nothing ran, or a second run is harmless or always dropped."""
    task_class = task.task_class
    if task.first_uncertain_attempt is None or task_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    return task_class.idempotency is Idempotency.IDEMPOTENCY_KEY and task_class.deduplication_scope == "all"


class AttemptManager:
    """Manages each task's attempts, from its arrival to its final answer or its end."""

    def __init__(
        self,
        state: PolicyState,
        registry: TaskRegistry,
        profiles: UsageProfiles,
        starts: ProgramStarts,
        placement: Placement,
        outliers: OutlierDetector,
    ) -> None:
        self.state = state
        self.registry = registry
        self.profiles = profiles
        self.starts = starts
        self.placement = placement
        self.outliers = outliers
        self.wake_at_ms = NOT_DUE_MS  # an extra pass over held tasks, outside the usual interval

    # ---- events ----

    def on_placement_requested(self, event: PlacementRequested) -> None:
        """Tries to place a new task, or adopts one that is already running."""
        state = self.state
        task_class = state.task_classes[event.task_class]
        task = TrackedTask(
            call_id=event.call_id,
            task_class=task_class,
            service=event.service,
            tenant=event.tenant,
            requested=(max(event.cores, MIN_REQUEST), max(event.memory, MIN_REQUEST)),
            arrived_at_ms=state.now_ms,
            deadline_at_ms=state.now_ms + event.remaining_ms,
        )
        state.tasks[task.call_id] = task
        if event.machine is not None:
            self._adopt(task, event.machine)
        elif not event.is_retry and task_class.deadline_ms - event.remaining_ms > STALLED_MS:
            # This process stalled while the task waited: the events that queued up meanwhile, such as drains,
            # are handled before it is bound.
            state.held_tasks[task.call_id] = task
            self.wake_at_ms = state.now_ms
        else:
            self.try_attempt(task)

    def _adopt(self, task: TrackedTask, machine_name: str) -> None:
        """Takes over a task that runs on the machine, which may not be in the machine list yet."""
        unlisted = MachineState(Machine(machine_name, "", "", 0, MachinePhase.REMOVED), None)
        # The listed free capacity already excludes this task, so it must not be subtracted again.
        task.attempt_count = 1
        task.is_accepted = True
        task.sent_at_ms = NEVER_MS
        self.registry.assign(task, self.state.machines.setdefault(machine_name, unlisted))
        self.record_running(task)
        task.is_observed_from_start = False

    def on_attempt_accepted(self, event: AttemptAccepted) -> None:
        """Marks the task as placed and clears suspicion of the machine."""
        task = self.state.tasks.get(event.call_id)
        machine = self.state.machines.get(event.machine)
        if machine is None:
            return
        self.outliers.record_answer(machine, event.elapsed_ms)
        if task is None or task.machine is not machine or event.attempt != task.attempt_count - 1:
            return
        task.is_accepted = True
        while task.machines_with_error:
            self.outliers.suspect(task.machines_with_error.pop(), 1)
        machine.rejection_backoffs.pop(task.class_and_tenant, None)
        if self.state.settings.acceptance_means_running:
            self.record_running(task)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Releases the attempt's capacity, then forgets the task or tries another attempt."""
        machine = self.state.machines.get(event.machine)
        if machine is not None:
            self.outliers.record_attempt_end(machine, event)
        task = self.state.tasks.get(event.call_id)
        if task is None or event.attempt != task.attempt_count - 1 or task.machine is None:
            return
        was_accepted = task.is_accepted
        attempt_machine = task.machine
        if was_accepted and event.outcome in (Outcome.COMPLETED, Outcome.LOST, Outcome.STOPPED):
            self._record_task_end(task, event.outcome)
        self.registry.release(task)
        if event.is_call_closed or was_accepted or task.is_abandoned:
            self.registry.forget(task)
            return
        task.ended_at_ms_by_machine[attempt_machine.name] = self.state.now_ms
        if event.outcome not in NEVER_RAN and task.first_uncertain_attempt is None:
            task.first_uncertain_attempt = UncertainAttempt(task.sent_at_ms, attempt_machine)
        self.try_attempt(task)

    def on_call_abandoned(self, event: CallAbandoned) -> None:
        """Marks the call as abandoned; an attempt in flight still gets its end reported."""
        task = self.state.tasks.get(event.call_id)
        if task is None:
            return
        task.is_abandoned = True
        if task.machine is None:
            self.registry.forget(task)

    def record_running(self, task: TrackedTask) -> None:
        """Records that the task runs; only starts that did not queue behind another one are timed."""
        if task.running_since_ms is None and task.is_only_start:
            self.starts.record_start(task)
        task.running_since_ms = self.state.now_ms
        if task.machine is not None:
            task.machine.starting_tasks.pop(task.call_id, None)

    def _record_task_end(self, task: TrackedTask, outcome: Outcome) -> None:
        self.registry.usage.update_ratio()
        lifetime_ms = None
        is_complete = task.is_observed_from_start and outcome is Outcome.COMPLETED
        if is_complete and task.running_since_ms is not None:
            lifetime_ms = self.state.now_ms - task.running_since_ms
        self.profiles.record_end(task, lifetime_ms)
        if task.machine is not None and outcome is Outcome.COMPLETED:
            self.starts.record_use(task, task.machine)

    # ---- attempts ----

    def try_attempt(self, task: TrackedTask) -> bool:
        """Sends the task if a machine is found; else holds it, or answers the call if no retry is allowed.

        Returns:
            Whether an attempt was sent.
        """
        state = self.state
        if is_final(state, task):
            self.answer_call(task)
            return False
        machine = self.placement.choose_machine(task)
        if machine is None or self._awaits_probe(machine, task):
            state.held_tasks[task.call_id] = task
            return False
        state.held_tasks.pop(task.call_id, None)
        self._send(task, machine)
        return True

    def _awaits_probe(self, machine: MachineState, task: TrackedTask) -> bool:
        """Whether the task waits for the answer to the machine's probe; bounded by `PROBE_WAIT_SHARE`."""
        max_wait_ms = PROBE_WAIT_SHARE * task.task_class.latency_objective_ms
        return machine.probe_sent_at_ms <= self.state.now_ms <= task.arrived_at_ms + max_wait_ms

    def _send(self, task: TrackedTask, machine: MachineState) -> None:
        state = self.state
        timeout_ms = self._timeout_ms(task)
        task.attempt_count += 1
        task.sent_at_ms = state.now_ms
        task.is_accepted = False
        task.running_since_ms = None
        task.program_warmth = self.starts.program_warmth(machine, task.service)
        task.is_only_start = not machine.starting_tasks
        self.registry.assign(task, machine)
        self.starts.record_use(task, machine)
        if remaining_warm_up_share(state, machine):
            machine.warm_up_sends_ms.append(state.now_ms)
        state.actions.append(Bind(task.call_id, machine.name, timeout_ms))

    def _timeout_ms(self, task: TrackedTask) -> float:
        """Time-out of an attempt: long enough for a slow rejection, never beyond the deadline."""
        remaining_ms = max(MIN_TIME_LEFT_MS, task.deadline_at_ms - self.state.now_ms)
        if task.task_class.idempotency is Idempotency.NON_IDEMPOTENT:
            timeout_ms = NON_IDEMPOTENT_TIMEOUT_MS
        else:
            answer_time = self.outliers.answer_time
            expected_ms = answer_time.mean_ms + TIMEOUT_DEVIATIONS * answer_time.deviation_ms
            min_timeout_ms = max(MIN_TIMEOUT_MS, SLOW_REJECTION_SHARE * task.task_class.latency_objective_ms)
            timeout_ms = min(MAX_TIMEOUT_MS, max(min_timeout_ms, expected_ms))
        return round(min(timeout_ms, remaining_ms), TIMEOUT_DIGITS)

    def answer_call(self, task: TrackedTask) -> None:
        """Ends the call with Reject if requesting the task again is harmless, else with Fail."""
        if is_harmless_to_repeat(task):
            self.state.actions.append(Reject(task.call_id))
        else:
            self.state.actions.append(Fail(task.call_id))
        self.registry.forget(task)

    def try_held_tasks(self, max_waited_share: float = NOT_DUE_MS) -> None:
        """Tries to place held tasks, in order of precedence.

        A class without room does not hold back others, for which there may be machines of another kind.

        Args:
            max_waited_share: skips tasks that have waited longer, as a share of their latency objective.
        """
        now_ms = self.state.now_ms
        held = [
            task
            for task in self.state.held_tasks.values()
            if now_ms - task.arrived_at_ms <= max_waited_share * task.task_class.latency_objective_ms
        ]
        failed_placements_by_class = Counter[str]()
        for task in sorted(held, key=self._precedence):
            class_name = task.task_class.name
            if is_final(self.state, task):
                self.answer_call(task)
            elif failed_placements_by_class[class_name] < MAX_FAILED_PLACEMENTS:
                failed_placements_by_class[class_name] += not self.try_attempt(task)

    def _precedence(self, task: TrackedTask) -> tuple[float, bool, float, int]:
        """Sort key when capacity is short: by weight, then tasks within their objective, then by arrival."""
        task_class = task.task_class
        is_late = self.state.now_ms - task.arrived_at_ms > task_class.latency_objective_ms
        return (-task_class.weight, is_late, task.arrived_at_ms, task.call_id)

"""Outlier detection: machines whose attempts keep failing become suspect, then are ejected for a time.

Also backs off from machines that reject attempts because they are full or limit a class or tenant.
"""

from __future__ import annotations

from dataclasses import dataclass

from glencleat.interface import (
    AttemptEnded,
    Idempotency,
    Outcome,
    OutcomeReason,
    ReachabilityChanged,
)
from glencleat.policy.cluster_state import MachineState, RejectionBackoff, TrackedTask
from glencleat.policy.coverage import suspend_harvest
from glencleat.policy.machine_list import record_report
from glencleat.policy.policy_state import PolicyState

EJECTION_THRESHOLD = 2  # unanswered attempts; one alone may be a lost message
OUTLIER_EJECTION_BASE_MS = 1_000.0  # first ejection; doubled at each further one
MAX_EJECTION_DOUBLINGS = 3
FULL_BACKOFF_MS = 500.0  # from a full machine, and of a task from a machine where its attempt ended
REJECTION_BACKOFF_MS = 4_000.0  # first backoff of a class and tenant rejected without a reason; doubled
MAX_REJECTION_BACKOFF_MS = 16_000.0
EVICTION_SUSPENSION_MS = 5_000.0  # of harvesting, after an eviction
ANSWER_TIME_WEIGHT = 0.05  # of one answer in the moving averages
INITIAL_ANSWER_TIME_MS = 100.0  # of the mean and of the mean deviation

FULL_REASONS = (
    OutcomeReason.INSUFFICIENT_CORES,
    OutcomeReason.INSUFFICIENT_MEMORY,
    OutcomeReason.QUEUE_FULL,
)


@dataclass
class AnswerTime:
    """Moving averages of machines' answer time and of its deviation, as TCP estimates round-trip times."""

    mean_ms: float = INITIAL_ANSWER_TIME_MS
    deviation_ms: float = INITIAL_ANSWER_TIME_MS

    def record(self, elapsed_ms: float) -> None:
        """Adds one answer time to the averages."""
        deviation_ms = elapsed_ms - self.mean_ms
        self.mean_ms += ANSWER_TIME_WEIGHT * deviation_ms
        self.deviation_ms += ANSWER_TIME_WEIGHT * (abs(deviation_ms) - self.deviation_ms)


class OutlierDetector:
    """Suspects, ejects and readmits machines by the outcomes of attempts and probes and by reachability."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        self.answer_time = AnswerTime()

    def record_answer(self, machine: MachineState, elapsed_ms: float | None) -> None:
        """Clears the machine of suspicion, as it answered; `elapsed_ms` is None where not measured."""
        if elapsed_ms is not None:
            self.answer_time.record(elapsed_ms)
        machine.last_answer_at_ms = self.state.now_ms
        if machine.is_unreachable:  # it may have restarted, and the list not show it yet
            machine.reachable_since_ms = self.state.now_ms
            machine.is_unreachable = False
        if machine.ejection_count:
            self.state.log("back", f"machine {machine.name} answers again")
        machine.unanswered_attempts = 0
        machine.ejection_count = 0

    def suspect(self, machine: MachineState, failure_count: int) -> None:
        """Counts failures of the machine, and ejects it at the threshold, longer at each ejection.

        After an ejection the machine gets one task at a time until it answers.
        """
        machine.unanswered_attempts += failure_count
        if machine.unanswered_attempts >= EJECTION_THRESHOLD:
            doublings = min(machine.ejection_count, MAX_EJECTION_DOUBLINGS)
            ejection_ms = OUTLIER_EJECTION_BASE_MS * 2**doublings
            machine.ejected_until_ms = self.state.now_ms + ejection_ms
            machine.ejection_count += 1
            self.state.log(
                "suspect", f"machine {machine.name} does not answer, barred for {ejection_ms:.0f} ms"
            )

    def record_attempt_end(self, machine: MachineState, event: AttemptEnded) -> None:
        """Updates the machine by the end of an attempt there."""
        task = self.state.tasks.get(event.call_id)
        if event.report:
            record_report(self.state, machine, event.report)
        # A non-idempotent task has no second attempt after an error.
        is_fatal_error = (
            event.outcome is Outcome.ERROR
            and task is not None
            and task.task_class.idempotency is Idempotency.NON_IDEMPOTENT
        )
        self._back_off(machine, event, task, is_fatal_error=is_fatal_error)
        if event.outcome is Outcome.ERROR and task is not None and not is_fatal_error:
            # Whether the task or the machine is at fault shows once another machine accepts the task; only
            # then the error counts. Otherwise a task that fails everywhere would eject every machine.
            task.machines_with_error.append(machine)
        elif self._is_failure_symptom(machine, event, task):
            self.suspect(machine, 1)
        elif event.outcome is Outcome.UNREACHABLE:
            machine.is_unreachable = True
            self.suspect(machine, EJECTION_THRESHOLD)
        elif event.outcome is Outcome.REJECTED:
            self.record_answer(machine, event.elapsed_ms)
        elif event.outcome is Outcome.LOST and event.reason is OutcomeReason.EVICTED:
            suspend_harvest(self.state, machine, EVICTION_SUSPENSION_MS, "eviction")

    def _back_off(
        self, machine: MachineState, event: AttemptEnded, task: TrackedTask | None, *, is_fatal_error: bool
    ) -> None:
        """Backs off from a full machine; from one that limits a class or tenant, for that one only."""
        is_rejected = event.outcome is Outcome.REJECTED
        if is_rejected and event.reason in FULL_REASONS:
            machine.full_until_ms = self.state.now_ms + FULL_BACKOFF_MS
        elif task is not None and (
            (is_rejected and event.reason is OutcomeReason.UNSPECIFIED) or is_fatal_error
        ):
            # A rejection without a reason is taken as a limit on this class and tenant, retried with backoff.
            # An error that ends a non-idempotent task keeps its class and tenant off for a while, too.
            key = task.class_and_tenant
            previous = machine.rejection_backoffs.get(key)
            previous_ms = previous.length_ms if previous else REJECTION_BACKOFF_MS / 2.0
            length_ms = min(MAX_REJECTION_BACKOFF_MS, 2.0 * previous_ms)
            machine.rejection_backoffs[key] = RejectionBackoff(self.state.now_ms + length_ms, length_ms)

    @staticmethod
    def _is_failure_symptom(machine: MachineState, event: AttemptEnded, task: TrackedTask | None) -> bool:
        """Whether the end counts as a failure of the machine: no answer, an error, or a full queue."""
        if event.outcome is Outcome.TIMED_OUT:
            return task is not None and machine.last_answer_at_ms < task.sent_at_ms
        if event.outcome is Outcome.REJECTED:
            return event.reason is OutcomeReason.QUEUE_FULL
        return event.outcome is Outcome.ERROR

    def on_reachability_changed(self, event: ReachabilityChanged) -> None:
        """Ejects or readmits a machine without spending attempts.

        Behind a network partition a call would soon use up its attempts on unreachable machines.
        """
        machine = self.state.machines.get(event.machine)
        if machine is None:
            return
        if not event.is_reachable:
            machine.is_unreachable = True
            self.suspect(machine, EJECTION_THRESHOLD)
        elif machine.is_unreachable:
            machine.reachable_since_ms = self.state.now_ms
            machine.is_unreachable = False
            machine.unanswered_attempts = 0

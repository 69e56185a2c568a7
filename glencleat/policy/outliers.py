"""Outlier detection: machines whose attempts come to nothing are suspected, then ejected for a time.

Also what else an attempt's end says of its machine: that it is full, or keeps a class or tenant off.
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

EJECTION_THRESHOLD = 2  # unanswered attempts that eject a machine: one may be lost
OUTLIER_EJECTION_BASE_MS = 1_000.0  # the first ejection; doubled at each further one
MAX_EJECTION_DOUBLINGS = 3
FULL_BACKOFF_MS = 500.0  # a machine that said it is full, or ended an attempt, is left alone so long
REJECTION_BACKOFF_MS = 4_000.0  # a class or tenant rejected without a reason stays off; doubled
MAX_REJECTION_BACKOFF_MS = 16_000.0
EVICTION_SUSPENSION_MS = 5_000.0  # harvested capacity unused after an eviction
ANSWER_TIME_WEIGHT = 0.05  # of one answer in the mean time
INITIAL_ANSWER_TIME_MS = 100.0  # mean, and mean deviation

FULL_REASONS = (
    OutcomeReason.INSUFFICIENT_CORES,
    OutcomeReason.INSUFFICIENT_MEMORY,
    OutcomeReason.QUEUE_FULL,
)


@dataclass
class AnswerTime:
    """Mean time of machines' answers, and its mean deviation, as TCP estimates round trips."""

    mean_ms: float = INITIAL_ANSWER_TIME_MS
    deviation_ms: float = INITIAL_ANSWER_TIME_MS

    def record(self, elapsed_ms: float) -> None:
        """Takes in the time of one answer."""
        off_ms = elapsed_ms - self.mean_ms
        self.mean_ms += ANSWER_TIME_WEIGHT * off_ms
        self.deviation_ms += ANSWER_TIME_WEIGHT * (abs(off_ms) - self.deviation_ms)


class OutlierDetector:
    """Suspicion, ejection and reachability of machines, from what their attempts and probes come to."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        self.answer_time = AnswerTime()

    def record_answer(self, machine: MachineState, elapsed_ms: float | None) -> None:
        """The machine answered, after so long where that is known: it is under no suspicion."""
        if elapsed_ms is not None:
            self.answer_time.record(elapsed_ms)
        machine.last_answer_at_ms = self.state.now_ms
        if machine.is_unreachable:  # it may have restarted before the list says so
            machine.reachable_since_ms = self.state.now_ms
            machine.is_unreachable = False
        if machine.ejection_count:
            self.state.log("back", f"machine {machine.name} answers again")
        machine.unanswered_attempts = 0
        machine.ejection_count = 0

    def suspect(self, machine: MachineState, steps: int) -> None:
        """Counts unanswered attempts. A suspect is ejected, ever longer, then let back one task at a time."""
        machine.unanswered_attempts += steps
        if machine.unanswered_attempts >= EJECTION_THRESHOLD:
            doublings = min(machine.ejection_count, MAX_EJECTION_DOUBLINGS)
            ejection_ms = OUTLIER_EJECTION_BASE_MS * 2**doublings
            machine.ejected_until_ms = self.state.now_ms + ejection_ms
            machine.ejection_count += 1
            self.state.log(
                "suspect", f"machine {machine.name} does not answer, barred for {ejection_ms:.0f} ms"
            )

    def record_attempt_end(self, machine: MachineState, event: AttemptEnded) -> None:
        """Takes in what the end of an attempt says of its machine."""
        task = self.state.tasks.get(event.call_id)
        if event.report:
            record_report(self.state, machine, event.report)
        # An error that ends a task without idempotency: it has no second attempt.
        is_fatal_error = (
            event.outcome is Outcome.ERROR
            and task is not None
            and task.task_class.idempotency is Idempotency.NON_IDEMPOTENT
        )
        self._back_off(machine, event, task, is_fatal_error=is_fatal_error)
        if event.outcome is Outcome.ERROR and task is not None and not is_fatal_error:
            # Whose fault an error is shows elsewhere: requests that none can use would eject all. It counts
            # once another takes the task; machines that all fail alike are not ejected, and need not be.
            task.machines_with_error.append(machine)
        elif self._is_symptom(machine, event, task):
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
        """Leaves a full machine alone for a while; where it limits a class or tenant, only these."""
        is_rejected = event.outcome is Outcome.REJECTED
        if is_rejected and event.reason in FULL_REASONS:
            machine.full_until_ms = self.state.now_ms + FULL_BACKOFF_MS
        elif task is not None and (
            (is_rejected and event.reason is OutcomeReason.UNSPECIFIED) or is_fatal_error
        ):
            # Full without a reason while it takes others: a limit on one class or tenant, probed back gently.
            # So is an error that ends a non-idempotent task: its class stays off a while.
            key = task.class_and_tenant
            last = machine.rejection_backoffs.get(key)
            last_ms = last.length_ms if last else REJECTION_BACKOFF_MS / 2.0
            length_ms = min(MAX_REJECTION_BACKOFF_MS, 2.0 * last_ms)
            machine.rejection_backoffs[key] = RejectionBackoff(self.state.now_ms + length_ms, length_ms)

    @staticmethod
    def _is_symptom(machine: MachineState, event: AttemptEnded, task: TrackedTask | None) -> bool:
        """Silence, errors, a queue that stays full: one kind of symptom, attempts come to nothing there."""
        if event.outcome is Outcome.TIMED_OUT:
            return task is not None and machine.last_answer_at_ms < task.sent_at_ms
        if event.outcome is Outcome.REJECTED:
            return event.reason is OutcomeReason.QUEUE_FULL
        return event.outcome is Outcome.ERROR

    def on_reachability_changed(self, event: ReachabilityChanged) -> None:
        """What an attempt there would come to, at the cost of none: behind a cut four are soon spent."""
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

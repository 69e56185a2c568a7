"""The tables between the agent protocol and the module: one from an agent's statuses to events, one from the
module's answers to the owner's statuses. Pure; the core and the docs' tables follow these.

A state is read together with its reason and, for refusals, the `cause` label, as the published reasons have
no word for a machine's stated cause."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from glencleat import interface as api

STARTING, RUNNING, STAGING = "TASK_STARTING", "TASK_RUNNING", "TASK_STAGING"
DROPPED, ERROR, FINISHED, FAILED = "TASK_DROPPED", "TASK_ERROR", "TASK_FINISHED", "TASK_FAILED"
KILLED, KILLING, LOST = "TASK_KILLED", "TASK_KILLING", "TASK_LOST"
UNREACHABLE, GONE, UNKNOWN = "TASK_UNREACHABLE", "TASK_GONE", "TASK_UNKNOWN"
GONE_BY_OPERATOR = "TASK_GONE_BY_OPERATOR"

MEMORY_LIMIT = "REASON_CONTAINER_LIMITATION_MEMORY"
PREEMPTED = "REASON_CONTAINER_PREEMPTED"
DRAINING = "REASON_AGENT_DRAINING"
RECONCILIATION = "REASON_RECONCILIATION"
INVALID_OFFERS = "REASON_INVALID_OFFERS"
TASK_INVALID = "REASON_TASK_INVALID"
RESOURCES_UNKNOWN = "REASON_RESOURCES_UNKNOWN"
AGENT_DISCONNECTED = "REASON_AGENT_DISCONNECTED"
AGENT_REMOVED = "REASON_AGENT_REMOVED"

REJECTION_REASONS = {  # the `cause` label of an agent's TASK_DROPPED
    "cores": api.OutcomeReason.INSUFFICIENT_CORES,
    "memory": api.OutcomeReason.INSUFFICIENT_MEMORY,
    "line": api.OutcomeReason.QUEUE_FULL,
    "not here": api.OutcomeReason.NOT_ELIGIBLE,
}


class AttemptStep(Enum):
    """How far an attempt has come by what its agent said; a status that goes back is stale."""

    DISPATCHED = 0
    ACCEPTED = 1
    RUNNING = 2
    ENDED = 3


@dataclass(frozen=True, slots=True)
class StatusMeaning:
    """What a status means: the step it brings, and for an end the outcome and why."""

    step: AttemptStep
    outcome: api.Outcome = api.Outcome.COMPLETED
    reason: api.OutcomeReason = api.OutcomeReason.UNSPECIFIED
    may_have_run: bool = True  # False: known not to have run


def read_status(state: str, reason: str | None, cause: str | None) -> StatusMeaning | None:
    """What an agent's status says of its attempt; None where it says nothing that matters (TASK_KILLING)."""
    if state == STARTING:
        return StatusMeaning(AttemptStep.ACCEPTED)
    if state == RUNNING:
        return StatusMeaning(AttemptStep.RUNNING)
    if state == DROPPED:
        return StatusMeaning(
            AttemptStep.ENDED,
            api.Outcome.REJECTED,
            REJECTION_REASONS.get(cause or "", api.OutcomeReason.UNSPECIFIED),
            may_have_run=False,
        )
    if state == ERROR:  # the specification: an error in the task's description; it never started
        return StatusMeaning(
            AttemptStep.ENDED, api.Outcome.REJECTED, api.OutcomeReason.NOT_ELIGIBLE, may_have_run=False
        )
    if state == FINISHED:
        return StatusMeaning(AttemptStep.ENDED, api.Outcome.COMPLETED)
    if state == FAILED:
        why = {MEMORY_LIMIT: api.OutcomeReason.EVICTED, PREEMPTED: api.OutcomeReason.PREEMPTED}.get(
            reason or "", api.OutcomeReason.UNSPECIFIED
        )
        return StatusMeaning(AttemptStep.ENDED, api.Outcome.LOST, why)
    if state == KILLED:
        why = api.OutcomeReason.DRAINED if reason == DRAINING else api.OutcomeReason.UNSPECIFIED
        return StatusMeaning(AttemptStep.ENDED, api.Outcome.STOPPED, why)
    if state in (LOST, GONE, GONE_BY_OPERATOR):
        return StatusMeaning(AttemptStep.ENDED, api.Outcome.LOST)
    return None


class RetryAdvice(Enum):
    """What an answer tells the owner about asking again; travels as the `retry` label."""

    HARMLESS = "harmless"  # ask again at once: nothing ran, or what ran does no harm
    RECONCILE = "reconcile"  # an attempt may have run: wait, RECONCILE, and follow what that says
    NEVER = "never"  # it ran, or may have and nobody can tell any more


@dataclass(frozen=True, slots=True)
class StatusAnswer:
    state: str
    retry_advice: RetryAdvice
    reason: str | None = None


def rejection_answer(may_have_run: bool) -> StatusAnswer:
    """The module's Refuse. TASK_DROPPED promises that nothing ran, so a copy that may have run is
    TASK_LOST."""
    return StatusAnswer(LOST if may_have_run else DROPPED, RetryAdvice.HARMLESS, RESOURCES_UNKNOWN)


def failure_answer() -> StatusAnswer:
    """The module's Fail: an attempt may have run and a second run might do harm."""
    return StatusAnswer(LOST, RetryAdvice.RECONCILE, AGENT_DISCONNECTED)


class ExecutionStatus(Enum):
    """What is known of a task after its answer; RECONCILE tells it."""

    RUNNING = "runs"
    NEVER_RAN = "never ran"
    UNCERTAIN = "unsure"  # a machine that may hold it has not been heard
    ENDED = "ended"  # ran, or may have run, and is over


def reconciliation_answer(execution: ExecutionStatus | None, is_accepted: bool = False) -> StatusAnswer:
    """The status that answers RECONCILE; `fate` is None for a task that is not known here."""
    if execution is ExecutionStatus.RUNNING:
        return StatusAnswer(STARTING if is_accepted else RUNNING, RetryAdvice.NEVER, RECONCILIATION)
    if execution is ExecutionStatus.NEVER_RAN:
        return StatusAnswer(DROPPED, RetryAdvice.HARMLESS, RECONCILIATION)
    if execution is ExecutionStatus.UNCERTAIN:
        return StatusAnswer(UNREACHABLE, RetryAdvice.RECONCILE, RECONCILIATION)
    if execution is ExecutionStatus.ENDED:
        return StatusAnswer(GONE, RetryAdvice.NEVER, RECONCILIATION)
    return StatusAnswer(UNKNOWN, RetryAdvice.RECONCILE, RECONCILIATION)


def end_answer(outcome: api.Outcome, reason: api.OutcomeReason) -> StatusAnswer:
    """The end of a placed task, to its owner; the module is told the same outcome."""
    if outcome is api.Outcome.COMPLETED:
        return StatusAnswer(FINISHED, RetryAdvice.NEVER)
    if outcome is api.Outcome.STOPPED:
        return StatusAnswer(
            KILLED, RetryAdvice.HARMLESS, DRAINING if reason is api.OutcomeReason.DRAINED else None
        )
    reasons = {api.OutcomeReason.EVICTED: MEMORY_LIMIT, api.OutcomeReason.PREEMPTED: PREEMPTED}
    return StatusAnswer(FAILED, RetryAdvice.HARMLESS, reasons.get(reason))

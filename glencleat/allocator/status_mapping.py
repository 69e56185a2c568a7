"""Mapping between the task states of the Mesos v1 API and the outcomes of the decision module. Pure.

One direction reads an agent's status update as the step and outcome of an attempt (`read_status`), the other
turns the module's answers and what is known of a task into the status that its owner gets. Both are tables,
which the pages in docs/ follow.

A state is read together with its reason and, for TASK_DROPPED, the `cause` label, as the published reasons
have no word for the cause that a machine states.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum, StrEnum
from types import MappingProxyType

from glencleat import interface as api


class TaskState(StrEnum):
    """Task states of the Mesos v1 API, as they stand on the wire."""

    STAGING = "TASK_STAGING"
    STARTING = "TASK_STARTING"
    RUNNING = "TASK_RUNNING"
    KILLING = "TASK_KILLING"
    FINISHED = "TASK_FINISHED"
    FAILED = "TASK_FAILED"
    KILLED = "TASK_KILLED"
    ERROR = "TASK_ERROR"
    LOST = "TASK_LOST"
    DROPPED = "TASK_DROPPED"
    UNREACHABLE = "TASK_UNREACHABLE"
    GONE = "TASK_GONE"
    GONE_BY_OPERATOR = "TASK_GONE_BY_OPERATOR"
    UNKNOWN = "TASK_UNKNOWN"


class StatusReason(StrEnum):
    """Reasons of the Mesos v1 API's TaskStatus that are sent or read here, as they stand on the wire."""

    MEMORY_LIMIT = "REASON_CONTAINER_LIMITATION_MEMORY"
    PREEMPTED = "REASON_CONTAINER_PREEMPTED"
    DRAINING = "REASON_AGENT_DRAINING"
    RECONCILIATION = "REASON_RECONCILIATION"
    INVALID_OFFERS = "REASON_INVALID_OFFERS"
    TASK_INVALID = "REASON_TASK_INVALID"
    RESOURCES_UNKNOWN = "REASON_RESOURCES_UNKNOWN"
    AGENT_DISCONNECTED = "REASON_AGENT_DISCONNECTED"
    AGENT_REMOVED = "REASON_AGENT_REMOVED"


class AttemptStep(Enum):
    """How far an attempt has come by what its agent said; a status that goes back is stale."""

    DISPATCHED = 0
    ACCEPTED = 1
    RUNNING = 2
    ENDED = 3


class ExecutionStatus(Enum):
    """What is known of whether a task ran; RECONCILE reports it."""

    RUNNING = "runs"
    NEVER_RAN = "never ran"
    UNCERTAIN = "unsure"  # a machine that may hold it has not been heard
    ENDED = "ended"  # ran, or may have run, and is over


class RetryAdvice(Enum):
    """What an answer tells the owner about asking again; travels as the `retry` label."""

    HARMLESS = "harmless"  # ask again at once: nothing ran, or what ran does no harm
    RECONCILE = "reconcile"  # an attempt may have run: wait, RECONCILE, and follow what that says
    NEVER = "never"  # it ran, or may have and nobody can tell any more


@dataclass(frozen=True, slots=True)
class StatusMeaning:
    """What an agent's status means for its attempt: the step it reaches, and for an end the outcome.

    `may_have_run` is False only where the status says that the task never started.
    """

    step: AttemptStep
    outcome: api.Outcome = api.Outcome.COMPLETED
    reason: api.OutcomeReason = api.OutcomeReason.UNSPECIFIED
    may_have_run: bool = True


@dataclass(frozen=True, slots=True)
class StatusAnswer:
    """A status for an owner: the state, what it says about asking again, and the reason if there is one."""

    state: TaskState
    retry_advice: RetryAdvice
    reason: StatusReason | None = None


# ---- an agent's status -> its meaning for the attempt ----

_LOST = StatusMeaning(step=AttemptStep.ENDED, outcome=api.Outcome.LOST)

# States that are not listed say nothing about the attempt (TASK_KILLING, and states that agents don't send).
STATUS_MEANINGS: Mapping[str, StatusMeaning] = MappingProxyType(
    {
        TaskState.STARTING: StatusMeaning(step=AttemptStep.ACCEPTED),
        TaskState.RUNNING: StatusMeaning(step=AttemptStep.RUNNING),
        TaskState.DROPPED: StatusMeaning(
            step=AttemptStep.ENDED, outcome=api.Outcome.REJECTED, may_have_run=False
        ),
        # An error in the task's description, by the specification of the API: the task never started.
        TaskState.ERROR: StatusMeaning(
            step=AttemptStep.ENDED,
            outcome=api.Outcome.REJECTED,
            reason=api.OutcomeReason.NOT_ELIGIBLE,
            may_have_run=False,
        ),
        TaskState.FINISHED: StatusMeaning(step=AttemptStep.ENDED, outcome=api.Outcome.COMPLETED),
        TaskState.FAILED: _LOST,
        TaskState.KILLED: StatusMeaning(step=AttemptStep.ENDED, outcome=api.Outcome.STOPPED),
        TaskState.LOST: _LOST,
        TaskState.GONE: _LOST,
        TaskState.GONE_BY_OPERATOR: _LOST,
    }
)

# Why a machine rejected a task, by the `cause` label of its TASK_DROPPED.
REJECTION_REASONS: Mapping[str, api.OutcomeReason] = MappingProxyType(
    {
        "cores": api.OutcomeReason.INSUFFICIENT_CORES,
        "memory": api.OutcomeReason.INSUFFICIENT_MEMORY,
        "line": api.OutcomeReason.QUEUE_FULL,
        "not here": api.OutcomeReason.NOT_ELIGIBLE,
    }
)

# Why a task ended, by its state and the reason of the status.
END_REASONS: Mapping[tuple[str, str], api.OutcomeReason] = MappingProxyType(
    {
        (TaskState.FAILED, StatusReason.MEMORY_LIMIT): api.OutcomeReason.EVICTED,
        (TaskState.FAILED, StatusReason.PREEMPTED): api.OutcomeReason.PREEMPTED,
        (TaskState.KILLED, StatusReason.DRAINING): api.OutcomeReason.DRAINED,
    }
)


def read_status(state: str, reason: str | None, cause: str | None) -> StatusMeaning | None:
    """What an agent's status says of its attempt, or None where it says nothing that matters.

    `state` and `reason` are those of the TaskStatus, `cause` is its label of that name.
    """
    meaning = STATUS_MEANINGS.get(state)
    if meaning is None:
        return None
    if state == TaskState.DROPPED:
        outcome_reason = REJECTION_REASONS.get(cause or "")
    else:
        outcome_reason = END_REASONS.get((state, reason or ""))
    return meaning if outcome_reason is None else replace(meaning, reason=outcome_reason)


# ---- the module's answer, or what is known of a task -> the status for its owner ----

# Answers to RECONCILE; None stands for a task that is not known here.
RECONCILIATION_ANSWERS: Mapping[ExecutionStatus | None, StatusAnswer] = MappingProxyType(
    {
        ExecutionStatus.RUNNING: StatusAnswer(
            TaskState.RUNNING, RetryAdvice.NEVER, StatusReason.RECONCILIATION
        ),
        ExecutionStatus.NEVER_RAN: StatusAnswer(
            TaskState.DROPPED, RetryAdvice.HARMLESS, StatusReason.RECONCILIATION
        ),
        ExecutionStatus.UNCERTAIN: StatusAnswer(
            TaskState.UNREACHABLE, RetryAdvice.RECONCILE, StatusReason.RECONCILIATION
        ),
        ExecutionStatus.ENDED: StatusAnswer(TaskState.GONE, RetryAdvice.NEVER, StatusReason.RECONCILIATION),
        None: StatusAnswer(TaskState.UNKNOWN, RetryAdvice.RECONCILE, StatusReason.RECONCILIATION),
    }
)
ACCEPTED_RECONCILIATION_ANSWER = StatusAnswer(
    TaskState.STARTING, RetryAdvice.NEVER, StatusReason.RECONCILIATION
)

_FAILURE_REASONS: Mapping[api.OutcomeReason, StatusReason] = MappingProxyType(
    {
        api.OutcomeReason.EVICTED: StatusReason.MEMORY_LIMIT,
        api.OutcomeReason.PREEMPTED: StatusReason.PREEMPTED,
    }
)


def rejection_answer(may_have_run: bool) -> StatusAnswer:
    """The status of the module's Reject.

    TASK_DROPPED promises that nothing ran, so a task of which an attempt may have run is TASK_LOST.
    """
    state = TaskState.LOST if may_have_run else TaskState.DROPPED
    return StatusAnswer(state, RetryAdvice.HARMLESS, StatusReason.RESOURCES_UNKNOWN)


def failure_answer() -> StatusAnswer:
    """The status of the module's Fail: an attempt may have run and a second run might do harm."""
    return StatusAnswer(TaskState.LOST, RetryAdvice.RECONCILE, StatusReason.AGENT_DISCONNECTED)


def reconciliation_answer(execution: ExecutionStatus | None, *, is_accepted: bool = False) -> StatusAnswer:
    """The status that answers RECONCILE.

    `execution` is None for a task that is not known here; `is_accepted` tells of a running task that its
    agent accepted it and has not reported it as running yet.
    """
    if execution is ExecutionStatus.RUNNING and is_accepted:
        return ACCEPTED_RECONCILIATION_ANSWER
    return RECONCILIATION_ANSWERS[execution]


def end_answer(outcome: api.Outcome, reason: api.OutcomeReason) -> StatusAnswer:
    """The status of a placed task's end, for its owner; the module gets the same outcome."""
    if outcome is api.Outcome.COMPLETED:
        return StatusAnswer(TaskState.FINISHED, RetryAdvice.NEVER)
    if outcome is api.Outcome.STOPPED:
        status_reason = StatusReason.DRAINING if reason is api.OutcomeReason.DRAINED else None
        return StatusAnswer(TaskState.KILLED, RetryAdvice.HARMLESS, status_reason)
    return StatusAnswer(TaskState.FAILED, RetryAdvice.HARMLESS, _FAILURE_REASONS.get(reason))


# ---- what is known of a task ----

_COMBINATION_ORDER = (ExecutionStatus.RUNNING, ExecutionStatus.UNCERTAIN, ExecutionStatus.ENDED)


def combine_execution_statuses(statuses: Iterable[ExecutionStatus]) -> ExecutionStatus:
    """What is known of a task, from what is known of each of its attempts.

    It never ran only if no attempt did.
    """
    known = set(statuses)
    for status in _COMBINATION_ORDER:
        if status in known:
            return status
    return ExecutionStatus.NEVER_RAN

"""Mapping between the task states of the Mesos v1 API and the outcomes of the policy, without I/O.

`read_status` converts an agent's status update to the step and outcome of an attempt. The other functions
convert the policy's answers and the execution status of a task to the status that its client gets. Both
directions are tables, which the pages in docs/ follow.

A state is read together with its reason and, for TASK_DROPPED, with the `cause` label, because the published
reasons can't express why a machine rejected a task.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum, StrEnum
from types import MappingProxyType

from glencleat import interface as api


class TaskState(StrEnum):
    """Task states of the Mesos v1 API; the values are those on the wire."""

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
    """Reasons of a Mesos v1 TaskStatus that are sent or read here; the values are those on the wire."""

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
    """Progress of an attempt as its agent reported it; a status with a lower step is stale."""

    DISPATCHED = 0
    ACCEPTED = 1
    RUNNING = 2
    ENDED = 3


class ExecutionStatus(Enum):
    """Whether a task ran, as far as is known; answers to RECONCILE report it."""

    RUNNING = "runs"
    NEVER_RAN = "never ran"
    UNCERTAIN = "unsure"  # a machine that may hold the task has not reported
    ENDED = "ended"  # ran or may have run, and does not run any more


class RetryAdvice(Enum):
    """Advice to the client on retrying; sent as the `retry` label."""

    HARMLESS = "harmless"  # retry at once: nothing ran, or a second run does no harm
    RECONCILE = "reconcile"  # an attempt may have run: wait, RECONCILE, and act on the answer
    NEVER = "never"  # it ran, or may have run and that can't be found out any more


@dataclass(frozen=True, slots=True)
class StatusMeaning:
    """Meaning of an agent's status for its attempt: the step that it reaches and, for an end, the outcome.

    `may_have_run` is False only if the status tells that the task never started.
    """

    step: AttemptStep
    outcome: api.Outcome = api.Outcome.COMPLETED
    reason: api.OutcomeReason = api.OutcomeReason.UNSPECIFIED
    may_have_run: bool = True


@dataclass(frozen=True, slots=True)
class StatusAnswer:
    """A status for the client: the state, the advice on retrying, and the reason if there is one."""

    state: TaskState
    retry_advice: RetryAdvice
    reason: StatusReason | None = None


# ---- from an agent's status to its meaning for the attempt ----

_LOST = StatusMeaning(step=AttemptStep.ENDED, outcome=api.Outcome.LOST)

# States without an entry don't change the attempt (TASK_KILLING, and states that agents don't send).
STATUS_MEANINGS: Mapping[str, StatusMeaning] = MappingProxyType(
    {
        TaskState.STARTING: StatusMeaning(step=AttemptStep.ACCEPTED),
        TaskState.RUNNING: StatusMeaning(step=AttemptStep.RUNNING),
        TaskState.DROPPED: StatusMeaning(
            step=AttemptStep.ENDED, outcome=api.Outcome.REJECTED, may_have_run=False
        ),
        # By the API's specification, the task's description is invalid, so the task never started.
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

# Reason of a machine's rejection, by the `cause` label of its TASK_DROPPED.
REJECTION_REASONS: Mapping[str, api.OutcomeReason] = MappingProxyType(
    {
        "cores": api.OutcomeReason.INSUFFICIENT_CORES,
        "memory": api.OutcomeReason.INSUFFICIENT_MEMORY,
        "line": api.OutcomeReason.QUEUE_FULL,
        "not here": api.OutcomeReason.NOT_ELIGIBLE,
    }
)

# Reason of a task's end, by the state and the reason of the status.
END_REASONS: Mapping[tuple[str, str], api.OutcomeReason] = MappingProxyType(
    {
        (TaskState.FAILED, StatusReason.MEMORY_LIMIT): api.OutcomeReason.EVICTED,
        (TaskState.FAILED, StatusReason.PREEMPTED): api.OutcomeReason.PREEMPTED,
        (TaskState.KILLED, StatusReason.DRAINING): api.OutcomeReason.DRAINED,
    }
)


def read_status(state: str, reason: str | None, cause: str | None) -> StatusMeaning | None:
    """Returns the meaning of an agent's status for its attempt, or None if it does not change the attempt.

    `state` and `reason` are fields of the TaskStatus, `cause` is the label of that name.
    """
    meaning = STATUS_MEANINGS.get(state)
    if meaning is None:
        return None
    if state == TaskState.DROPPED:
        outcome_reason = REJECTION_REASONS.get(cause or "")
    else:
        outcome_reason = END_REASONS.get((state, reason or ""))
    return meaning if outcome_reason is None else replace(meaning, reason=outcome_reason)


# ---- from the policy's answer or a task's execution status to the client's status ----

# Answers to RECONCILE; None stands for an unknown task.
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
    """Returns the status for the policy's Reject.

    TASK_DROPPED promises that nothing ran, so a task of which an attempt may have run gets TASK_LOST.
    """
    state = TaskState.LOST if may_have_run else TaskState.DROPPED
    return StatusAnswer(state, RetryAdvice.HARMLESS, StatusReason.RESOURCES_UNKNOWN)


def failure_answer() -> StatusAnswer:
    """Returns the status for the policy's Fail: an attempt may have run, and a second run might do harm."""
    return StatusAnswer(TaskState.LOST, RetryAdvice.RECONCILE, StatusReason.AGENT_DISCONNECTED)


def reconciliation_answer(execution: ExecutionStatus | None, *, is_accepted: bool = False) -> StatusAnswer:
    """Returns the status that answers RECONCILE.

    `execution` is None for an unknown task. `is_accepted` tells that the agent accepted the task but has not
    reported it as running yet.
    """
    if execution is ExecutionStatus.RUNNING and is_accepted:
        return ACCEPTED_RECONCILIATION_ANSWER
    return RECONCILIATION_ANSWERS[execution]


def end_answer(outcome: api.Outcome, reason: api.OutcomeReason) -> StatusAnswer:
    """Returns the client's status for the end of a placed task; the policy gets the same outcome."""
    if outcome is api.Outcome.COMPLETED:
        return StatusAnswer(TaskState.FINISHED, RetryAdvice.NEVER)
    if outcome is api.Outcome.STOPPED:
        status_reason = StatusReason.DRAINING if reason is api.OutcomeReason.DRAINED else None
        return StatusAnswer(TaskState.KILLED, RetryAdvice.HARMLESS, status_reason)
    return StatusAnswer(TaskState.FAILED, RetryAdvice.HARMLESS, _FAILURE_REASONS.get(reason))


# ---- execution status of a task ----

_COMBINATION_PRECEDENCE = (ExecutionStatus.RUNNING, ExecutionStatus.UNCERTAIN, ExecutionStatus.ENDED)


def combine_execution_statuses(statuses: Iterable[ExecutionStatus]) -> ExecutionStatus:
    """Combines the execution statuses of all attempts of a task.

    The task never ran only if no attempt did.
    """
    known = set(statuses)
    for status in _COMBINATION_PRECEDENCE:
        if status in known:
            return status
    return ExecutionStatus.NEVER_RAN

"""Decides whether a task is accepted at all, before the policy sees it. Pure.

The limits bound what a peer could otherwise accumulate in this process. A rejection by a limit is immediate
and harmless, as nothing was sent. A second start of a non-idempotent task is rejected here too, when its
client launches it again although it may have run.
"""

from __future__ import annotations

from dataclasses import dataclass

from glencleat import interface as api
from glencleat.allocator import status_mapping
from glencleat.allocator.call_table import Call, CallTable
from glencleat.allocator.domain_events import AdmissionDecision, AdmissionRequest
from glencleat.allocator.status_mapping import ExecutionStatus


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits on open tasks and known calls."""

    max_open_tasks: int = 100_000  # tasks without a final answer, of all frameworks
    max_open_tasks_per_framework: int = 20_000
    max_known_calls: int = 500_000  # calls that the policy knows


@dataclass(frozen=True, slots=True)
class AdmissionLoad:
    """Current counts that are compared with `AdmissionLimits`."""

    open_task_count: int
    framework_open_task_count: int  # of the framework that launches the task
    known_call_count: int
    has_update_backlog: bool  # too many of the framework's updates are unacknowledged
    is_shutting_down: bool  # SIGTERM was received


def check_limits(load: AdmissionLoad, limits: AdmissionLimits) -> str | None:
    """Returns why a new task can't be accepted now, or None."""
    if load.is_shutting_down:
        return "the allocator is shutting down"
    if load.has_update_backlog:
        return "too many of the framework's updates are unacknowledged"
    if load.framework_open_task_count >= limits.max_open_tasks_per_framework:
        return (
            f"the framework has {load.framework_open_task_count} tasks without an answer;"
            f" at most {limits.max_open_tasks_per_framework}"
        )
    if load.open_task_count >= limits.max_open_tasks:
        return f"{load.open_task_count} tasks are without an answer; at most {limits.max_open_tasks}"
    if load.known_call_count >= limits.max_known_calls:
        return f"{load.known_call_count} tasks are placed; at most {limits.max_known_calls}"
    return None


def classify_repeat(previous: Call | None) -> str | None:
    """Classifies a LAUNCH of a task id by the latest call of that task, if any.

    Returns "same" for a repeat of the same request, "never" for a second start of a non-idempotent task that
    may have run, and None for a new placement.
    """
    if previous is None:
        return None
    if previous.final_answer is None or not previous.is_closed:
        return "same"  # a client that lost its connection during the call sends it again
    if (
        previous.idempotency is api.Idempotency.NON_IDEMPOTENT
        and previous.execution_status() is not ExecutionStatus.NEVER_RAN
    ):
        return "never"
    return None


class DuplicateFilter:
    """Rejects a second task with the same idempotency key, from another server or under another task id.

    An explicit key identifies the work within its tenant. For a non-idempotent class, a second task with that
    key is rejected while the first is open or may have run. Other classes need no check: machines drop their
    repeats, or a repeat does no harm.
    """

    def __init__(self, call_table: CallTable) -> None:
        self.call_table = call_table

    def decide_admission(self, request: AdmissionRequest) -> AdmissionDecision | None:
        """Returns a rejection if another task with the same key may have run, or None."""
        if (
            request.idempotency is not api.Idempotency.NON_IDEMPOTENT
            or not request.tenant
            or not request.task_request.has_explicit_key
        ):
            return None
        previous = self.call_table.calls_by_idempotency_key.get(
            (request.tenant, request.task_request.idempotency_key)
        )
        if previous is None or (previous.framework_id, previous.task_id) == (
            request.framework_id,
            request.task_id,
        ):
            return None
        if (
            previous.final_answer is not None
            and previous.is_closed
            and previous.execution_status() is ExecutionStatus.NEVER_RAN
        ):
            return None
        text = f"task {previous.task_id} of {previous.framework_id} has the same key and must not start twice"
        return AdmissionDecision(
            status_mapping.StatusAnswer(
                status_mapping.TaskState.ERROR,
                status_mapping.RetryAdvice.NEVER,
                status_mapping.StatusReason.TASK_INVALID,
            ),
            text,
        )

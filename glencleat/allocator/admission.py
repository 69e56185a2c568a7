"""Decides whether a task is told to the module at all. Pure.

The bounds are on what a peer could otherwise pile up here; a refusal by them is at once and harmless, as
nothing was sent. A second start of a task that must not start twice is caught here too, when its owner asks
again although it may have run."""

from __future__ import annotations

from dataclasses import dataclass

from glencleat import interface as api
from glencleat.allocator import status_mapping
from glencleat.allocator.call_table import Call, CallTable
from glencleat.allocator.domain_events import AdmissionDecision, AdmissionRequest
from glencleat.allocator.status_mapping import ExecutionStatus


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    max_open_tasks: int = 100_000  # tasks without an answer, in all
    max_open_tasks_per_framework: int = 20_000  # of one framework
    max_known_calls: int = 500_000  # calls that the module knows


@dataclass(frozen=True, slots=True)
class AdmissionLoad:
    open_task_count: int
    framework_open_task_count: int  # of the framework that asks
    known_call_count: int
    has_update_backlog: bool  # the framework does not acknowledge its updates
    is_shutting_down: bool  # SIGTERM came


def check_limits(load: AdmissionLoad, limits: AdmissionLimits) -> str | None:
    """Why a new task can't be taken now, or None."""
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


def classify_repeat(before: Call | None) -> str | None:
    """What a LAUNCH of a task that was here before is: the same ask again ("same"), a second start that must
    not be ("never"), or a new placing (None)."""
    if before is None:
        return None
    if before.final_answer is None or not before.is_closed:
        return "same"  # a client that lost its connection in mid-call and sends it again
    if (
        before.idempotency is api.Idempotency.NON_IDEMPOTENT
        and before.execution_status() is not ExecutionStatus.NEVER_RAN
    ):
        return "never"
    return None


class DuplicateFilter:
    """The same work asked for by two tasks: of two fronts, or of a framework under a new id.

    A key that the owner gave names the work within its tenant. For a class that must not start twice, a
    second task of that key is not taken while the first is open or may have run; machines drop repeats of
    the others by themselves, or bear them."""

    def __init__(self, ledger: CallTable) -> None:
        self.call_table = ledger

    def decide_admission(self, asking: AdmissionRequest) -> AdmissionDecision | None:
        if (
            asking.idempotency is not api.Idempotency.NON_IDEMPOTENT
            or not asking.tenant
            or not asking.task_request.has_explicit_key
        ):
            return None
        before = self.call_table.calls_by_idempotency_key.get(
            (asking.tenant, asking.task_request.idempotency_key)
        )
        if before is None or (before.framework_id, before.task_id) == (asking.framework_id, asking.task_id):
            return None
        if (
            before.final_answer is not None
            and before.is_closed
            and before.execution_status() is ExecutionStatus.NEVER_RAN
        ):
            return None
        text = f"task {before.task_id} of {before.framework_id} has the same key and must not start twice"
        return AdmissionDecision(
            status_mapping.StatusAnswer(
                status_mapping.TaskState.ERROR,
                status_mapping.RetryAdvice.NEVER,
                status_mapping.StatusReason.TASK_INVALID,
            ),
            text,
        )

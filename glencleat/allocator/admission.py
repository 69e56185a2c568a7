"""Decides whether a task is passed to the policy at all. Pure.

The limits bound what a peer could otherwise pile up here. A rejection by them is immediate and harmless, as
nothing was sent. A second start of a task that must not start twice is caught here too, when its owner asks
again although it may have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from glencleat import interface as api
from glencleat.allocator import status_mapping
from glencleat.allocator.call_table import Call, CallTable
from glencleat.allocator.domain_events import AdmissionDecision, AdmissionRequest
from glencleat.allocator.status_mapping import ExecutionStatus


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Upper bounds on the calls that the allocator holds."""

    max_unanswered: int = 100_000  # calls without an answer, in all
    max_unanswered_per_framework: int = 20_000
    max_active: int = 500_000  # calls of which the policy still expects something


@dataclass(frozen=True, slots=True)
class AdmissionLoad:
    """What the allocator holds at the moment of a request."""

    unanswered: int
    framework_unanswered: int  # of the framework that asks
    active: int
    is_framework_behind: bool  # it does not acknowledge its updates
    is_shutting_down: bool


def find_exceeded_limit(load: AdmissionLoad, limits: AdmissionLimits) -> str | None:
    """Return why a new task can't be admitted now, or None."""
    if load.is_shutting_down:
        return "the allocator is shutting down"
    if load.is_framework_behind:
        return "too many of the framework's updates are unacknowledged"
    if load.framework_unanswered >= limits.max_unanswered_per_framework:
        most = limits.max_unanswered_per_framework
        return f"the framework has {load.framework_unanswered} tasks without an answer; at most {most}"
    if load.unanswered >= limits.max_unanswered:
        return f"{load.unanswered} tasks are without an answer; at most {limits.max_unanswered}"
    if load.active >= limits.max_active:
        return f"{load.active} tasks are placed; at most {limits.max_active}"
    return None


class RepeatKind(StrEnum):
    """What a LAUNCH of a task that was asked for before is."""

    SAME_REQUEST = "same"  # the first is open or placed: a client lost its connection and sends it again
    UNSAFE_RESTART = "never"  # a second start of a non-idempotent task that may have run


def classify_repeat(before: Call | None) -> RepeatKind | None:
    """Classify a LAUNCH by the latest call of its task; None is a new call."""
    if before is None:
        return None
    if before.final_answer is None or not before.is_closed:
        return RepeatKind.SAME_REQUEST
    if before.idempotency is not api.Idempotency.NON_IDEMPOTENT:
        return None
    if before.execution_status() is ExecutionStatus.NEVER_RAN:
        return None
    return RepeatKind.UNSAFE_RESTART


class DuplicateFilter:
    """Rejects the same work asked for by two tasks: of two APIs, or of a framework under a new id.

    A key that the owner gave names the work within its tenant. Of a non-idempotent class, a second task of
    that key is not admitted while the first is open or may have run. Machines drop repeats of the other
    classes by themselves, or a repeat does no harm.
    """

    def __init__(self, call_table: CallTable) -> None:
        self.call_table = call_table

    def check(self, request: AdmissionRequest) -> AdmissionDecision | None:
        """Return a rejection if the request duplicates another task's work, or None."""
        if request.idempotency is not api.Idempotency.NON_IDEMPOTENT:
            return None
        if not request.tenant or not request.request.has_explicit_key:
            return None
        before = self.call_table.calls_by_key.get((request.tenant, request.request.key))
        if before is None or (before.framework, before.task_id) == (request.owner_id, request.task_id):
            return None
        is_answered = before.final_answer is not None and before.is_closed
        if is_answered and before.execution_status() is ExecutionStatus.NEVER_RAN:
            return None
        text = f"task {before.task_id} of {before.framework} has the same key and must not start twice"
        answer = status_mapping.StatusAnswer(
            status_mapping.TaskState.ERROR,
            status_mapping.RetryAdvice.NEVER,
            status_mapping.StatusReason.TASK_INVALID,
        )
        return AdmissionDecision(answer, text)

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
    max_unanswered: int = 100_000  # tasks without an answer, in all
    max_unanswered_per_framework: int = 20_000  # of one framework
    max_active: int = 500_000  # calls that the module knows


@dataclass(frozen=True, slots=True)
class AdmissionLoad:
    unanswered: int
    framework_unanswered: int  # of the framework that asks
    active: int
    is_framework_behind: bool  # the framework does not acknowledge its updates
    is_shutting_down: bool  # SIGTERM came


def find_exceeded_limit(load: AdmissionLoad, limits: AdmissionLimits) -> str | None:
    """Why a new task can't be taken now, or None."""
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
        self.ledger = ledger

    def check(self, asking: AdmissionRequest) -> AdmissionDecision | None:
        if (
            asking.idempotency is not api.Idempotency.NON_IDEMPOTENT
            or not asking.tenant
            or not asking.request.has_explicit_key
        ):
            return None
        before = self.ledger.calls_by_key.get((asking.tenant, asking.request.key))
        if before is None or (before.framework, before.task_id) == (asking.owner_id, asking.task_id):
            return None
        if (
            before.final_answer is not None
            and before.is_closed
            and before.execution_status() is ExecutionStatus.NEVER_RAN
        ):
            return None
        text = f"task {before.task_id} of {before.framework} has the same key and must not start twice"
        return AdmissionDecision(
            status_mapping.StatusAnswer(
                status_mapping.ERROR, status_mapping.RetryAdvice.NEVER, status_mapping.TASK_INVALID
            ),
            text,
        )

"""The seam between the core and its subsystems, one way each. Pure types; it imports no half of the core.

Out: `DomainEvent`, a typed list of what happened, to whoever subscribed (`Core.add_listener`). A subscriber
is called in the middle of the core's work: it notes what it needs and returns; it never calls the core from
there.

In: deciders, asked in their order before a task is told to the module (`Core.admission_chain`). The first
that gives a Verdict turns the task away; the module is then never asked. And `Insider`, an owner that lives
in this process, such as the REST front: its tasks pass through the same ledger, figures and answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from glencleat import interface as api
from glencleat.allocator.call_table import Attempt, Call, FinalAnswer, TaskRequest
from glencleat.allocator.status_mapping import StatusAnswer


@dataclass(frozen=True, slots=True)
class CallAdded:
    """A task was taken (or, `call.is_adopted`, found to run already)."""

    call: Call


@dataclass(frozen=True, slots=True)
class AttemptSent:
    """An attempt is out."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class AttemptConcluded:
    """An attempt is back: it came to nothing, or the task that it placed has ended."""

    attempt: Attempt
    outcome: api.Outcome
    outcome_reason: api.OutcomeReason


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """The one final answer of a call."""

    call: Call
    final_answer: FinalAnswer


@dataclass(frozen=True, slots=True)
class TaskStatusReported:
    """What its owner is told of a task: its answer, and later that it runs, has ended or is out of sight."""

    call: Call
    answer: StatusAnswer
    text: str | None


@dataclass(frozen=True, slots=True)
class CallForgotten:
    """The ledger no longer knows the call."""

    call: Call


@dataclass(frozen=True, slots=True)
class MachineListChanged:
    update: api.MachineListUpdated


@dataclass(frozen=True, slots=True)
class AgentStateChanged:
    """An agent subscribed, went away or was given up; `state` is members.State's value."""

    agent: str
    state: str


@dataclass(frozen=True, slots=True)
class PlacementOpened:
    """Asks are told to the module from here on."""


DomainEvent = (
    CallAdded
    | AttemptSent
    | AttemptConcluded
    | CallAnswered
    | TaskStatusReported
    | CallForgotten
    | MachineListChanged
    | AgentStateChanged
    | PlacementOpened
)
DomainEventListener = Callable[[DomainEvent], None]


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A task that is about to be taken."""

    framework_id: str  # framework id, or an insider's
    tenant: str | None
    task_id: str
    idempotency: api.Idempotency
    task_request: TaskRequest


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """The task is not taken; `answer` is what its owner is told, `text` why."""

    answer: StatusAnswer
    text: str


AdmissionCheck = Callable[[AdmissionRequest], AdmissionDecision | None]


class InProcessFramework(Protocol):
    """Owners within the process whose ids begin with its prefix and a colon."""

    prefix: str

    def is_task_needed(self, call: Call) -> bool:
        """Whether somebody still stands behind the task."""

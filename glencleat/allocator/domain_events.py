"""Types between the core and its subsystems. Pure types; imports neither the core nor its two halves.

Outwards: `DomainEvent`, the events that the core publishes to each listener (`Core.add_listener`). A listener
is called in the middle of the core's work: it records what it needs and returns, and never calls the core
from there.

Inwards: admission checks, run in order before a task is passed to the policy (`Core.admission_chain`). The
first that returns an `AdmissionDecision` turns the task away, and the policy never sees it. And
`InProcessFramework`, a client in this process, such as the REST API: its tasks pass through the same call
table, counters and answers.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from glencleat import interface as api
from glencleat.allocator.call_table import Attempt, Call, FinalAnswer, TaskRequest
from glencleat.allocator.status_mapping import StatusAnswer


@dataclass(frozen=True, slots=True)
class CallAdded:
    """A task was accepted for placement or, with `call.is_adopted`, found to run already."""

    call: Call


@dataclass(frozen=True, slots=True)
class AttemptSent:
    """An attempt was bound to a machine."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class AttemptConcluded:
    """An attempt ended without a placement, or the task that it placed ended."""

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
    """A status for a task's client: the answer, and later that it runs, has ended or is unreachable."""

    call: Call
    answer: StatusAnswer
    text: str | None


@dataclass(frozen=True, slots=True)
class CallForgotten:
    """The call was removed from the call table."""

    call: Call


@dataclass(frozen=True, slots=True)
class MachineListChanged:
    """The machine list was received, changed or failed."""

    update: api.MachineListUpdated


@dataclass(frozen=True, slots=True)
class AgentStateChanged:
    """An agent subscribed, disconnected or was lost; `state` is the value of an `AgentState`."""

    agent: str
    state: str


@dataclass(frozen=True, slots=True)
class PlacementOpened:
    """The startup gate opened: calls may be passed to the policy from now on."""


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
    """A task that asks for admission."""

    framework_id: str  # of a framework or of an in-process framework
    tenant: str | None
    task_id: str
    idempotency: api.Idempotency
    task_request: TaskRequest


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """The task is not admitted; `answer` is the status for its client, `text` the reason."""

    answer: StatusAnswer
    text: str


AdmissionCheck = Callable[[AdmissionRequest], AdmissionDecision | None]


class InProcessFramework(Protocol):
    """Clients in this process, whose ids begin with `prefix` and a colon."""

    prefix: str

    def is_task_needed(self, call: Call) -> bool:
        """Whether some client still wants the task."""

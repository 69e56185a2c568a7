"""Domain events and the admission chain: the interfaces between the core and its subsystems. Pure types.

Outwards, the core publishes `DomainEvent`s to every subscriber (`Core.subscribe`). A subscriber is called
in the middle of the core's work: it notes what it needs and returns, and never calls the core from there.

Inwards, the admission checks (`Core.admission_checks`) are asked in their order before a task is passed to
the policy. The first that returns an AdmissionDecision rejects the task, and the policy never hears of it. An
`InProcessOwner` lives in this process, such as the REST API: its tasks pass through the same call table,
counters and answers as those of frameworks.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from glencleat import interface as api
from glencleat.allocator.call_table import Attempt, Call, FinalAnswer, TaskRequest
from glencleat.allocator.status_mapping import StatusAnswer


@dataclass(frozen=True, slots=True)
class CallTaken:
    """A task was accepted for placing, or (`call.is_adopted`) found to run already."""

    call: Call


@dataclass(frozen=True, slots=True)
class AttemptSent:
    """An attempt was made; its LAUNCH is about to be sent."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class AttemptConcluded:
    """An attempt came to nothing, or the task that it placed has ended."""

    attempt: Attempt
    outcome: api.Outcome
    reason: api.OutcomeReason


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """A call got its one final answer."""

    call: Call
    final_answer: FinalAnswer


@dataclass(frozen=True, slots=True)
class TaskStatusReported:
    """A status for a task's owner: its answer, or later that it runs, has ended or is out of sight."""

    call: Call
    answer: StatusAnswer
    text: str | None


@dataclass(frozen=True, slots=True)
class CallForgotten:
    """The call table no longer knows the call."""

    call: Call


@dataclass(frozen=True, slots=True)
class MachineListChanged:
    """The machine list changed, or could not be read."""

    update: api.MachineListUpdated


@dataclass(frozen=True, slots=True)
class AgentStateChanged:
    """An agent subscribed, went away or was given up; `state` is a value of `agent_membership.AgentState`."""

    agent_id: str
    state: str


@dataclass(frozen=True, slots=True)
class PlacementOpened:
    """Calls are passed to the policy from here on."""


DomainEvent = (
    CallTaken
    | AttemptSent
    | AttemptConcluded
    | CallAnswered
    | TaskStatusReported
    | CallForgotten
    | MachineListChanged
    | AgentStateChanged
    | PlacementOpened
)
EventSubscriber = Callable[[DomainEvent], None]


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A task that is about to be accepted."""

    owner_id: str  # a framework's, or an in-process owner's
    tenant: str | None
    task_id: str
    idempotency: api.Idempotency
    request: TaskRequest


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """The task is rejected: `answer` is what its owner is told, `text` why."""

    answer: StatusAnswer
    text: str


AdmissionCheck = Callable[[AdmissionRequest], AdmissionDecision | None]


class InProcessOwner(Protocol):
    """Owners within the process; their ids are the prefix, a colon and a name."""

    @property
    def prefix(self) -> str:
        """The prefix of the owners' ids; frameworks can't subscribe under it."""
        ...

    def is_wanted(self, call: Call) -> bool:
        """Return whether somebody still wants the call's task."""
        ...

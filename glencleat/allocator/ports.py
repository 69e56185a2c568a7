"""Ports of the core: what the sessions of frameworks and agents and the admission queue need of it.

They don't import the core, which implements CorePort; tests may stand in for it.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from random import Random
from typing import Protocol

from glencleat import interface as api
from glencleat.allocator import delivery_status
from glencleat.allocator.agent_membership import AgentMembership
from glencleat.allocator.call_table import Attempt, Call, CallTable, FinalAnswer
from glencleat.allocator.counters import TaskCounters
from glencleat.allocator.domain_events import (
    AdmissionDecision,
    AdmissionRequest,
    DomainEvent,
    EventSubscriber,
)
from glencleat.allocator.frameworks import Framework, Frameworks
from glencleat.allocator.options import Options
from glencleat.allocator.runtime_ports import TimingPort
from glencleat.allocator.startup_gate import StartupGate
from glencleat.allocator.status_mapping import StatusAnswer
from glencleat.mesos import messages as m


class TaskStatusPort(Protocol):
    """Tells owners about their tasks."""

    def status(self, call: Call, answer: StatusAnswer, text: str | None = None) -> None:
        """Send a status of a call's task to its owner, if that is still known."""
        ...


class CorePort(Protocol):
    """The core's state and operations; the methods are documented at `core.Core`."""

    timing: TimingPort
    startup_gate: StartupGate
    settings: api.Settings
    classes_by_name: dict[str, api.TaskClass]
    options: Options
    random: Random
    call_table: CallTable
    counters: TaskCounters
    membership: AgentMembership
    frameworks: Frameworks
    incarnation: str  # of this run of the allocator; part of its attempts' ids
    call_numbers: count[int]
    is_shutting_down: bool
    listed_machines: set[str] | None  # None before the first machine list
    log: Callable[..., None]

    @property
    def framework_sessions(self) -> TaskStatusPort:
        """Where owners are told about their tasks."""
        ...

    def now(self) -> float:
        """Return monotonic milliseconds."""
        ...

    def subscribe(self, subscriber: EventSubscriber) -> None:
        """Call a subscriber with each domain event."""
        ...

    def dispatch(self, event: api.Event) -> None:
        """Pass an event to the policy."""
        ...

    def publish(self, event: DomainEvent) -> None:
        """Pass a domain event to all subscribers."""
        ...

    def decide_admission(self, request: AdmissionRequest) -> AdmissionDecision | None:
        """Return the first decision of the admission chain; None admits the task."""
        ...

    def is_owner_known(self, call: Call) -> bool:
        """Return whether a call's owner is known and still wants its task."""
        ...

    def find_framework(self, call: Call) -> Framework | None:
        """Return the framework that owns a call, if it is known."""
        ...

    def request_placement(self, call: Call) -> None:
        """Pass a call to the policy, or queue it."""
        ...

    def dispatch_request(self, call: Call, remaining_ms: float, machine: str | None = None) -> None:
        """Pass a call to the policy now."""
        ...

    def answer_call(self, call: Call, final_answer: FinalAnswer, answer: StatusAnswer) -> None:
        """Give a call its one final answer."""
        ...

    def kill_attempt(self, attempt: Attempt) -> None:
        """Ask the agent to stop the attempt's task."""
        ...

    def fail_attempt(self, attempt: Attempt, outcome: api.Outcome, may_have_run: bool) -> None:
        """Conclude an attempt that was not accepted."""
        ...

    def get_delivery_status(self, attempt: Attempt) -> delivery_status.DeliveryStatus:
        """Return how much of the attempt's LAUNCH was sent."""
        ...

    def cancel_timer(self, attempt: Attempt) -> None:
        """Drop the attempt's time-out."""
        ...

    def conclude_probe(self, machine: str, number: int, report: api.LoadReport | None) -> None:
        """Take in an agent's answer to a probe."""
        ...

    def open_if_ready(self) -> None:
        """Open the startup gate if nothing is waited for any more."""
        ...

    def conclude_attempt(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        is_call_closed: bool,
        reason: api.OutcomeReason = api.OutcomeReason.UNSPECIFIED,
        report: api.LoadReport | None = None,
    ) -> None:
        """Tell the policy that an attempt has ended, once."""
        ...

    def build_status(
        self,
        task_id: str,
        answer: StatusAnswer,
        machine: str | None,
        message: str | None = None,
        acked: bool = True,
    ) -> m.TaskStatus:
        """Build a status for an owner."""
        ...

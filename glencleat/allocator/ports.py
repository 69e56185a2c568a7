"""Ports of the core: what `framework_sessions`, `agent_sessions` and other parts need of it, as protocols.

They don't import the core, which implements these; tests may pass a fake.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any, Protocol

from glencleat import interface as api
from glencleat.allocator import delivery_status
from glencleat.allocator.agent_membership import AgentMembership
from glencleat.allocator.call_table import Attempt, Call, CallTable, FinalAnswer
from glencleat.allocator.counters import TaskCounters
from glencleat.allocator.domain_events import (
    AdmissionDecision,
    AdmissionRequest,
    DomainEvent,
    DomainEventListener,
)
from glencleat.allocator.frameworks import Framework, Frameworks
from glencleat.allocator.options import Options
from glencleat.allocator.startup_gate import StartupGate
from glencleat.allocator.status_mapping import StatusAnswer
from glencleat.mesos import messages as m


class StatusReporter(Protocol):
    """Reports task statuses to clients, for the agents' half of the core."""

    def report_status(self, call: Call, answer: StatusAnswer, text: str | None = None) -> None:
        """Sends a status, with the reason as `text`, to the client of the call's task."""


class TimingPort(Protocol):
    """Clock and timers of the event loop."""

    clock: Any

    def now(self) -> float:
        """Milliseconds on the monotonic clock."""

    def call_in(self, in_ms: float, call: Callable[[], None]) -> Any:
        """Calls `call` once after `in_ms`; returns a timer that can be cancelled."""


class CorePort(Protocol):
    """State and operations of the core; `core.Core` documents the details."""

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
    incarnation: str
    call_numbers: count[int]
    is_shutting_down: bool
    serving_machines: set[str] | None
    log: Callable[..., None]

    @property
    def status_reporter(self) -> StatusReporter:
        """Where statuses for clients go."""

    def now(self) -> float:
        """Milliseconds on a clock that never goes back."""

    def add_listener(self, listener: DomainEventListener) -> None:
        """Subscribes to domain events."""

    def dispatch_event(self, event: api.Event) -> None:
        """Passes an event to the policy and carries out its actions."""

    def publish_event(self, event: DomainEvent) -> None:
        """Passes a domain event to every listener."""

    def decide_admission(self, request: AdmissionRequest) -> AdmissionDecision | None:
        """Runs the admission chain; None admits the task."""

    def is_framework_known(self, call: Call) -> bool:
        """Whether the client of the call's task is known and still wants it."""

    def framework_of(self, call: Call) -> Framework | None:
        """The Mesos framework that owns the call's task, or None."""

    def request_placement(self, call: Call) -> None:
        """Requests a placement now, or in the call's turn after a start."""

    def dispatch_placement(self, call: Call, remaining_ms: float, machine: str | None = None) -> None:
        """Passes the call to the policy; with `machine`, as one that runs there already."""

    def answer(self, call: Call, final_answer: FinalAnswer, answer: StatusAnswer) -> None:
        """Gives a call its one final answer."""

    def kill(self, attempt: Attempt) -> None:
        """Sends a KILL to the agent of the attempt."""

    def fail_attempt(self, attempt: Attempt, outcome: api.Outcome, may_have_run: bool) -> None:
        """Concludes an attempt that was not accepted."""

    def find_delivery_status(self, attempt: Attempt) -> delivery_status.DeliveryStatus:
        """How much of the attempt's LAUNCH left this process."""

    def stop_timer(self, attempt: Attempt) -> None:
        """Cancels the attempt's time-out."""

    def conclude_probe(self, machine: str, number: int, report: api.LoadReport | None) -> None:
        """Ends a probe with the agent's report, or with None after its time-out."""

    def open_gate_if_ready(self) -> None:
        """Opens the startup gate, and then the admission queue, when their conditions are met."""

    def conclude_attempt(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        over: bool,
        why: api.OutcomeReason = api.OutcomeReason.UNSPECIFIED,
        report: api.LoadReport | None = None,
    ) -> None:
        """Reports the end of an attempt to the policy, once."""

    def build_status(
        self,
        task_id: str,
        answer: StatusAnswer,
        machine: str | None,
        message: str | None = None,
        acked: bool = True,
    ) -> m.TaskStatus:
        """Builds a status for a client."""

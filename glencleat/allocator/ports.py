"""What the two halves of the core (owner_side, agent_side) need of it, as a protocol: they don't import it.

The core implements it; tests may stand in for it."""

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
    """What the agents' half tells the owners'."""

    def report_status(self, call: Call, answer: StatusAnswer, text: str | None = None) -> None: ...


class TimingPort(Protocol):
    clock: Any

    def now(self) -> float: ...
    def call_in(self, in_ms: float, call: Callable[[], None]) -> Any: ...


class CorePort(Protocol):
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
    def status_reporter(self) -> StatusReporter: ...
    def now(self) -> float: ...
    def add_listener(self, hearer: DomainEventListener) -> None: ...
    def dispatch_event(self, event: api.Event) -> None: ...
    def publish_event(self, what: DomainEvent) -> None: ...
    def decide_admission(self, asking: AdmissionRequest) -> AdmissionDecision | None: ...
    def is_framework_known(self, call: Call) -> bool: ...
    def framework_of(self, call: Call) -> Framework | None: ...
    def request_placement(self, call: Call) -> None: ...
    def dispatch_placement(self, call: Call, left_ms: float, machine: str | None = None) -> None: ...
    def answer(self, call: Call, given: FinalAnswer, answer: StatusAnswer) -> None: ...
    def kill(self, attempt: Attempt) -> None: ...
    def fail_attempt(self, attempt: Attempt, outcome: api.Outcome, may_have_run: bool) -> None: ...
    def find_delivery_status(self, attempt: Attempt) -> delivery_status.DeliveryStatus: ...
    def stop_timer(self, attempt: Attempt) -> None: ...
    def conclude_probe(self, machine: str, number: int, report: api.LoadReport | None) -> None: ...
    def open_gate_if_ready(self) -> None: ...
    def conclude_attempt(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        over: bool,
        why: api.OutcomeReason = api.OutcomeReason.UNSPECIFIED,
        report: api.LoadReport | None = None,
    ) -> None: ...
    def build_status(
        self,
        task_id: str,
        answer: StatusAnswer,
        machine: str | None,
        message: str | None = None,
        acked: bool = True,
    ) -> m.TaskStatus: ...

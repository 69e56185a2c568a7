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
from glencleat.allocator.domain_events import AdmissionDecision, AdmissionRequest, Happened, Hear
from glencleat.allocator.frameworks import Framework, Frameworks
from glencleat.allocator.options import Options
from glencleat.allocator.startup_gate import StartupGate
from glencleat.allocator.status_mapping import StatusAnswer
from glencleat.mesos import messages as m


class OwnerPort(Protocol):
    """What the agents' half tells the owners'."""

    def status(self, call: Call, answer: StatusAnswer, text: str | None = None) -> None: ...


class TimingPort(Protocol):
    clock: Any

    def now(self) -> float: ...
    def call_in(self, in_ms: float, call: Callable[[], None]) -> Any: ...


class CorePort(Protocol):
    timing: TimingPort
    opening: StartupGate
    settings: api.Settings
    classes: dict[str, api.TaskClass]
    options: Options
    random: Random
    ledger: CallTable
    figures: TaskCounters
    members: AgentMembership
    frameworks: Frameworks
    incarnation: str
    numbers: count[int]
    ending: bool
    listed: set[str] | None
    log: Callable[..., None]

    @property
    def told(self) -> OwnerPort: ...
    def now(self) -> float: ...
    def hear(self, hearer: Hear) -> None: ...
    def tell(self, event: api.Event) -> None: ...
    def happened(self, what: Happened) -> None: ...
    def decide(self, asking: AdmissionRequest) -> AdmissionDecision | None: ...
    def wanted(self, call: Call) -> bool: ...
    def framework_of(self, call: Call) -> Framework | None: ...
    def ask(self, call: Call) -> None: ...
    def tell_asked(self, call: Call, left_ms: float, machine: str | None = None) -> None: ...
    def answer(self, call: Call, given: FinalAnswer, answer: StatusAnswer) -> None: ...
    def kill(self, attempt: Attempt) -> None: ...
    def give_up(self, attempt: Attempt, outcome: api.Outcome, may_have_run: bool) -> None: ...
    def handed(self, attempt: Attempt) -> delivery_status.DeliveryStatus: ...
    def stop_timer(self, attempt: Attempt) -> None: ...
    def probe_back(self, machine: str, number: int, report: api.LoadReport | None) -> None: ...
    def open_up(self) -> None: ...
    def returned(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        over: bool,
        why: api.OutcomeReason = api.OutcomeReason.UNSPECIFIED,
        report: api.LoadReport | None = None,
    ) -> None: ...
    def status(
        self,
        task_id: str,
        answer: StatusAnswer,
        machine: str | None,
        message: str | None = None,
        acked: bool = True,
    ) -> m.TaskStatus: ...

"""What the two halves of the core (owner_side, agent_side) need of it, as a protocol: they don't import it.

The core implements it; tests may stand in for it."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any, Protocol

from glencleat import interface as api
from glencleat.allocator import delivery_status
from glencleat.allocator.counters import Figures
from glencleat.allocator.frameworks import Framework, Frameworks
from glencleat.allocator.call_table import Attempt, Call, Given, Ledger
from glencleat.allocator.agent_membership import Members
from glencleat.allocator.options import Options
from glencleat.allocator.startup_gate import Opening
from glencleat.allocator.domain_events import Asking, Happened, Hear, Verdict
from glencleat.allocator.status_mapping import Answer
from glencleat.mesos import messages as m


class Owners(Protocol):
    """What the agents' half tells the owners'."""

    def status(self, call: Call, answer: Answer, text: str | None = None) -> None: ...


class Timing(Protocol):
    clock: Any

    def now(self) -> float: ...
    def call_in(self, in_ms: float, call: Callable[[], None]) -> Any: ...


class Middle(Protocol):
    timing: Timing
    opening: Opening
    settings: api.Settings
    classes: dict[str, api.TaskClass]
    options: Options
    random: Random
    ledger: Ledger
    figures: Figures
    members: Members
    frameworks: Frameworks
    incarnation: str
    numbers: count[int]
    ending: bool
    listed: set[str] | None
    log: Callable[..., None]

    @property
    def told(self) -> Owners: ...
    def now(self) -> float: ...
    def hear(self, hearer: Hear) -> None: ...
    def tell(self, event: api.Event) -> None: ...
    def happened(self, what: Happened) -> None: ...
    def decide(self, asking: Asking) -> Verdict | None: ...
    def wanted(self, call: Call) -> bool: ...
    def framework_of(self, call: Call) -> Framework | None: ...
    def ask(self, call: Call) -> None: ...
    def tell_asked(self, call: Call, left_ms: float, machine: str | None = None) -> None: ...
    def answer(self, call: Call, given: Given, answer: Answer) -> None: ...
    def kill(self, attempt: Attempt) -> None: ...
    def give_up(self, attempt: Attempt, outcome: api.Outcome, may_have_run: bool) -> None: ...
    def handed(self, attempt: Attempt) -> delivery_status.Handed: ...
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
        answer: Answer,
        machine: str | None,
        message: str | None = None,
        acked: bool = True,
    ) -> m.TaskStatus: ...

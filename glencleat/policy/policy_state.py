"""State shared by the modules of the policy. The scheduler owns it and sets its clock at each event."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from glencleat.index.rendezvous import RendezvousIndex
from glencleat.interface import Action, LogMessage, Settings, TaskClass
from glencleat.policy.cluster_state import MachineState, TrackedTask
from glencleat.policy.resources import NEVER_MS, NOT_DUE_MS

MIN_LOG_INTERVAL_MS = 1_000.0  # between two log lines of one kind: one fault may cause thousands of events


@dataclass(eq=False)
class PolicyState:
    """The clock, the known tasks and machines, and the actions for the event being handled."""

    settings: Settings
    random: Random
    task_classes: dict[str, TaskClass]  # by name
    serving_machines: RendezvousIndex[MachineState]  # in each service's hash order
    now_ms: float = 0.0
    started_at_ms: float = NOT_DUE_MS  # time of the first event
    actions: list[Action] = field(default_factory=list)  # answer to the event being handled
    tasks: dict[int, TrackedTask] = field(default_factory=dict)  # by call id
    held_tasks: dict[int, TrackedTask] = field(default_factory=dict)  # without an attempt, by call id
    tasks_by_service: dict[str, dict[int, TrackedTask]] = field(default_factory=dict)  # with an attempt
    machines: dict[str, MachineState] = field(default_factory=dict)  # by name
    removal_candidates: dict[str, None] = field(default_factory=dict)  # names; forgotten once without tasks
    last_logged_at_ms: dict[str, float] = field(default_factory=dict)  # by kind of log line

    def log(self, kind: str, text: str) -> None:
        """Emits a log line, unless one of its kind was emitted within `MIN_LOG_INTERVAL_MS`."""
        if self.now_ms - self.last_logged_at_ms.get(kind, NEVER_MS) >= MIN_LOG_INTERVAL_MS:
            self.last_logged_at_ms[kind] = self.now_ms
            self.actions.append(LogMessage(text))

"""The scheduler: handles events and returns actions, whose types are in glencleat/interface.py.

It does no I/O and reads no clock: time comes with each event, and random numbers from a seed. This module
assembles the other modules of the package, which share a `PolicyState`, and dispatches events to them.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from glencleat.index.rendezvous import RendezvousIndex
from glencleat.interface import (
    Action,
    AttemptAccepted,
    AttemptEnded,
    CallAbandoned,
    Event,
    MachineListUpdated,
    ObservationKind,
    Outcome,
    PlacementRequested,
    ProbeEnded,
    ReachabilityChanged,
    SetTimer,
    Settings,
    TaskObserved,
    TimerFired,
)
from glencleat.policy.attempts import HELD_TASK_INTERVAL_MS, PROBE_WAIT_SHARE, AttemptManager
from glencleat.policy.capacity import CapacityModel
from glencleat.policy.cluster_state import MachineState, TrackedTask
from glencleat.policy.coverage import suspend_harvest
from glencleat.policy.machine_list import (
    PRESSURE_SUSPENSION_MS,
    TIMER_TOLERANCE_MS,
    MachineListTracker,
    record_report,
)
from glencleat.policy.outliers import OutlierDetector
from glencleat.policy.placement import Placement
from glencleat.policy.policy_state import PolicyState
from glencleat.policy.profiles import MAX_REMEMBERED_SERVICES, UsageProfiles
from glencleat.policy.program_starts import ProgramStarts
from glencleat.policy.resources import NOT_DUE_MS
from glencleat.policy.task_registry import TaskRegistry
from glencleat.policy.usage import UsageEstimate

MAX_ORDERED_MACHINES = 8_000_000  # in all hash orders together, 2 bytes each; evicted by least recent use
PRESSURE_MEMORY_SHARE = 0.92  # of a machine's memory: from here on harvesting is suspended
PRESSURE_SERVICE_LEVEL = 0.8  # share of full service below which harvesting is suspended
MAX_REMOVAL_CANDIDATES = 256  # removed machines without own tasks that are kept until the next list update


class Scheduler:
    """Makes the decisions of one allocator.

    Args:
        settings: of the cluster and this allocator.
        seed: of the random numbers; equal events and seeds give equal actions.

    Raises:
        ValueError: a setting is out of range.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        check_settings(settings)
        serving = RendezvousIndex[MachineState](MAX_ORDERED_MACHINES, MAX_REMEMBERED_SERVICES)
        self.state = PolicyState(
            settings=settings,
            random=random.Random(seed),
            task_classes={task_class.name: task_class for task_class in settings.classes},
            serving_machines=serving,
        )
        self.usage = UsageEstimate()
        self.profiles = UsageProfiles(self.state)
        self.capacity = CapacityModel(self.state, self.profiles, self.usage)
        self.starts = ProgramStarts(self.state)
        self.registry = TaskRegistry(self.state, self.usage)
        self.machine_list = MachineListTracker(self.state)
        self.outliers = OutlierDetector(self.state)
        self.placement = Placement(self.state, self.profiles, self.capacity, self.starts)
        self.attempts = AttemptManager(
            self.state, self.registry, self.profiles, self.starts, self.placement, self.outliers
        )
        self.timer_at_ms = NOT_DUE_MS  # when the timer that is set fires
        self.handlers: dict[type, Callable[..., None]] = {
            PlacementRequested: self.attempts.on_placement_requested,
            AttemptAccepted: self.attempts.on_attempt_accepted,
            AttemptEnded: self.attempts.on_attempt_ended,
            CallAbandoned: self.attempts.on_call_abandoned,
            TaskObserved: self.on_task_observed,
            MachineListUpdated: self.machine_list.on_list_updated,
            ProbeEnded: self.on_probe_ended,
            TimerFired: self.on_timer_fired,
            ReachabilityChanged: self.outliers.on_reachability_changed,
        }

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handles one event and returns the actions that answer it, to be carried out in their order.

        Args:
            now_ms: the caller's clock, in ms; it never goes back between two calls.
            event: an event that keeps the contract in `glencleat/interface.py`.

        Raises:
            KeyError: a task of a class that the settings don't name.
        """
        state = self.state
        state.now_ms = now_ms
        state.actions = []
        state.started_at_ms = min(state.started_at_ms, now_ms)
        self.handlers[type(event)](event)
        if len(state.removal_candidates) > MAX_REMOVAL_CANDIDATES:
            self.machine_list.forget_removed()
        self._set_timer()
        return state.actions

    def _set_timer(self) -> None:
        """Sets a timer for the next due time, unless an earlier one is set."""
        now_ms = self.state.now_ms
        held_due_ms = now_ms + HELD_TASK_INTERVAL_MS if self.state.held_tasks else NOT_DUE_MS
        due_ms = min(self.machine_list.retry_at_ms, self.attempts.wake_at_ms, held_due_ms)
        if due_ms < self.timer_at_ms:
            self.timer_at_ms = due_ms
            self.state.actions.append(SetTimer(max(0.0, due_ms - now_ms), 0))

    def on_timer_fired(self, _: TimerFired) -> None:
        """Requests the machine list if that is due, and tries to place held tasks."""
        if self.state.now_ms >= self.timer_at_ms - TIMER_TOLERANCE_MS:
            self.timer_at_ms = NOT_DUE_MS
        self.attempts.wake_at_ms = NOT_DUE_MS
        self.machine_list.watch_if_due()
        self.attempts.try_held_tasks()

    def on_task_observed(self, event: TaskObserved) -> None:
        """Updates a running task and its machine by an observation."""
        task = self.state.tasks.get(event.call_id)
        machine = self.state.machines.get(event.machine)
        if machine is not None:
            self._suspend_harvest_under_pressure(machine, event)
        if task is None or task.machine is None:
            return
        if event.kind is ObservationKind.RUNNING:
            self.attempts.record_running(task)
        elif event.kind is ObservationKind.CORES_IN_USE:
            task.usage = event.value, task.usage[1]
            self._record_usage(task)
        elif event.kind is ObservationKind.MEMORY_IN_USE:
            task.usage = task.usage[0], event.value
            self._record_usage(task)

    def _suspend_harvest_under_pressure(self, machine: MachineState, event: TaskObserved) -> None:
        if event.kind is ObservationKind.MACHINE_MEMORY_IN_USE and event.value >= PRESSURE_MEMORY_SHARE:
            suspend_harvest(self.state, machine, PRESSURE_SUSPENSION_MS, "memory in use")
        elif event.kind is ObservationKind.SERVICE_LEVEL and event.value < PRESSURE_SERVICE_LEVEL:
            suspend_harvest(self.state, machine, PRESSURE_SUSPENSION_MS, "tasks served poorly")

    def _record_usage(self, task: TrackedTask) -> None:
        peak = task.peak_usage
        task.peak_usage = max(peak[0], task.usage[0]), max(peak[1], task.usage[1])
        self.usage.observe(task)

    def on_probe_ended(self, event: ProbeEnded) -> None:
        """Stores a probe's report or suspects the machine, then tries tasks that may wait for the probe."""
        machine = self.state.machines.get(event.machine)
        if machine is None:
            return
        machine.probe_sent_at_ms = NOT_DUE_MS
        if event.outcome is Outcome.COMPLETED and event.report is not None:
            record_report(self.state, machine, event.report)
            self.outliers.record_answer(machine, None)
        elif event.outcome is not Outcome.COMPLETED:
            self.outliers.suspect(machine, 1)
        # Only these: placing a task sends probes, so trying all held tasks would trigger ever more probes.
        self.attempts.try_held_tasks(PROBE_WAIT_SHARE)


def check_settings(settings: Settings) -> None:
    """Checks that settings are above 0 where they must be.

    Raises:
        ValueError: with the name and value of the first setting that is not.
    """
    sizes = [amount for size in settings.machine_sizes.values() for amount in (size.cores, size.memory)]
    least_by_setting = {
        "classes": len(settings.classes),
        "machine_sizes": min(sizes, default=1.0),
        "allocator_count": settings.allocator_count,
        "cores_overcommit": settings.cores_overcommit,
        "memory_overcommit": settings.memory_overcommit,
        "max_attempts": settings.max_attempts,
    }
    for name, least in least_by_setting.items():
        if least <= 0:
            raise ValueError(f"settings.{name} can't be used: {getattr(settings, name)!r}")

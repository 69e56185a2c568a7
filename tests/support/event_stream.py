"""Seeded streams of events from a simulated fleet, which reacts to the actions of a scheduler.

The stream keeps the contract in `glencleat/interface.py`."""

import heapq
import itertools
from dataclasses import replace

import numpy as np

from glencleat import interface as api

KEYED, SAFE, UNSAFE = (
    api.Idempotency.IDEMPOTENCY_KEY,
    api.Idempotency.IDEMPOTENT,
    api.Idempotency.NON_IDEMPOTENT,
)
CLASSES = (
    api.TaskClass("safe", SAFE, 1000.0, 8000.0, 1.0),
    api.TaskClass(
        "high",
        SAFE,
        600.0,
        4000.0,
        3.0,
        priority=2,
        saturation_threshold=0.7,
        degradation_range=0.3,
        start_weight_s=2.0,
    ),
    api.TaskClass(
        "keyed", KEYED, 1000.0, 8000.0, 1.0, deduplication_scope="zone", deduplication_window_ms=5000.0
    ),
    api.TaskClass(
        "keyed-cell", KEYED, 1000.0, 8000.0, 1.0, deduplication_scope="cell", deduplication_window_ms=3000.0
    ),
    api.TaskClass("keyed-all", KEYED, 1500.0, 6000.0, 1.0, deduplication_window_ms=5000.0),
    api.TaskClass("unsafe", UNSAFE, 1000.0, 8000.0, 2.0, priority=1),
    api.TaskClass("spread", SAFE, 1000.0, 8000.0, 1.0, spread_by="machine", max_per_domain=1),
    api.TaskClass("spread-zone", SAFE, 1000.0, 8000.0, 1.0, spread_by="zone", max_per_domain=4),
    api.TaskClass("big-only", SAFE, 1000.0, 8000.0, 1.0, machine_kind="big"),
)
KINDS = {"std": api.MachineSize(16.0, 32.0), "big": api.MachineSize(32.0, 64.0)}
REJECTION_REASONS = [
    api.OutcomeReason.UNSPECIFIED,
    api.OutcomeReason.INSUFFICIENT_CORES,
    api.OutcomeReason.INSUFFICIENT_MEMORY,
    api.OutcomeReason.QUEUE_FULL,
    api.OutcomeReason.NOT_ELIGIBLE,
]


def draw_settings(rng, allocator_count=None):
    """Random settings, over the range of the six deployments of the bench."""
    probes = bool(rng.random() < 0.4)
    return api.Settings(
        allocator_index=0,
        allocator_count=int(allocator_count or rng.choice([1, 2, 20, 300])),
        zone="z0",
        classes=CLASSES,
        machine_sizes=KINDS,
        cores_overcommit=2.0,
        memory_overcommit=1.5,
        list_has_free_capacity=bool(rng.random() < 0.6),
        watch_on_request=bool(rng.random() < 0.5),
        reports_count_usage=bool(rng.random() < 0.2),
        reports_on_probe=probes,
        probes_allowed=probes,
        acceptance_means_running=bool(rng.random() < 0.3),
        max_attempts=4,
        drain_grace_ms=1000.0,
        warm_up_ms=float(rng.choice([0.0, 10_000.0])),
        warm_up_window_ms=1000.0,
        warm_up_offers=6.0,
        cross_zone_price=float(rng.choice([0.0, 1.0])),
    )


class EventStream:
    """Seeded events to one scheduler: `next_event` returns one, `apply_actions` reacts to the answer."""

    def __init__(self, seed, hosts, services, settings=None, churn=0.15):
        self.rng = rng = np.random.default_rng(seed)
        self.settings = settings or draw_settings(rng)
        self.services, self.churn, self.now = services, churn, 1_000_000.0
        self.machines = {f"h{i}": self.machine(f"h{i}") for i in range(hosts)}
        self.removed_names = []
        self.due_events, self.count, self.calls = [], itertools.count(), itertools.count(1)
        self.open_calls = {}  # call -> [attempts sent, class, service, abandoned, in flight or placed]
        self.running = {}  # call -> (attempt, machine)
        self.schedule(0.0, self.take_snapshot)

    def machine(self, name, phase=api.MachinePhase.SERVING):
        rng = self.rng
        number = int(name[1:])
        kind = "big" if number % 5 == 0 else "odd" if number % 97 == 13 else "std"
        ready_at = None if rng.random() < 0.7 else self.now - float(rng.uniform(0.0, 20_000.0))
        free = float(rng.uniform(-2.0, 16.0)), float(rng.uniform(0.0, 32.0))
        return api.Machine(name, kind, f"z{number % 3}", number // 3 % 4, phase, *free, ready_at)

    def schedule(self, delay_ms, make_event):
        heapq.heappush(self.due_events, (self.now + delay_ms, next(self.count), make_event))

    def choose(self, items):
        return items[int(self.rng.integers(len(items)))]

    # ---- events ----

    def next_event(self):
        """Advances the clock to the next event, and returns time and event."""
        while True:
            drawn_at = self.now + float(self.rng.exponential(12.0))
            if self.due_events and self.due_events[0][0] <= drawn_at:
                due_at, _, make_event = heapq.heappop(self.due_events)
                self.now = max(self.now, due_at)
            else:
                self.now, make_event = drawn_at, self.draw_event
            if (event := make_event()) is not None:
                return self.now, event

    def draw_event(self):
        draw = self.rng.random()
        if draw < self.churn:
            return self.change_machines()
        if draw < self.churn + 0.02:
            return (
                self.take_snapshot()
                if self.rng.random() < 0.6
                else api.MachineListUpdated(api.ListUpdateKind.FAILED)
            )
        if draw < self.churn + 0.35 and self.running:
            return self.observe_task()
        if draw < self.churn + 0.38 and self.machines:
            return api.ReachabilityChanged(self.choose(list(self.machines)), bool(self.rng.random() < 0.6))
        if draw < self.churn + 0.40 and self.open_calls:
            call = self.choose(list(self.open_calls))
            self.open_calls[call][3] = True
            if call not in self.running and not self.open_calls[call][4]:
                self.open_calls.pop(call)
            return api.CallAbandoned(call)
        return self.request_placement()

    def request_placement(self, cls=None, service=None, is_retry=False):
        call, rng = next(self.calls), self.rng
        cls = cls or self.choose(CLASSES).name
        service = service or f"s{min(int(rng.exponential(max(1.0, self.services / 4))), self.services - 1)}"
        size = float(rng.choice([0.2, 1.0, 4.0])), float(rng.choice([0.5, 2.0, 8.0]))
        task_class = next(c for c in CLASSES if c.name == cls)
        if self.machines and rng.random() < 0.04:
            name = self.choose([*self.machines, "h-unlisted"])
            self.open_calls[call] = [1, cls, service, False, False]
            self.record_placed(call, 0, name)
            return api.PlacementRequested(call, cls, service, *size, machine=name)
        self.open_calls[call] = [0, cls, service, False, False]
        remaining_ms = task_class.deadline_ms - (200.0 if rng.random() < 0.1 else 0.0)
        return api.PlacementRequested(
            call, cls, service, *size, remaining_ms, tenant=f"t{call % 3}", is_retry=is_retry
        )

    def observe_task(self):
        call = self.choose(list(self.running))
        kind = self.choose(list(api.ObservationKind))
        return api.TaskObserved(call, self.running[call][1], kind, float(self.rng.uniform(0.0, 1.5)))

    def take_snapshot(self):
        listed = [m for m in self.machines.values() if self.rng.random() < 0.97]
        return api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, tuple(listed))

    def change_machines(self):
        """A delta of one machine, or sometimes many: added, returned, draining, removed, other capacity."""
        count = 1 if self.rng.random() < 0.8 else int(self.rng.integers(2, 8 + len(self.machines) // 3))
        changed = {}
        for _ in range(count):
            draw = self.rng.random()
            if draw < 0.3 and self.machines:
                name = self.choose(list(self.machines))
                removed = replace(self.machines.pop(name), phase=api.MachinePhase.REMOVED)
                self.removed_names.append(name)
                changed[name] = removed
            elif draw < 0.55 and self.removed_names:
                name = self.removed_names.pop(int(self.rng.integers(len(self.removed_names))))
                changed[name] = self.machines[name] = self.machine(name)
            elif draw < 0.65:
                name = f"h{len(self.machines) + len(self.removed_names) + int(self.rng.integers(1000, 9000))}"
                changed[name] = self.machines[name] = self.machine(name)
                self.removed_names = [other for other in self.removed_names if other != name]
            elif self.machines:
                name = self.choose(list(self.machines))
                phase = api.MachinePhase.DRAINING if draw < 0.8 else api.MachinePhase.SERVING
                changed[name] = self.machines[name] = self.machine(name, phase)
        return api.MachineListUpdated(api.ListUpdateKind.DELTA, tuple(changed.values()))

    # ---- reactions to the scheduler's actions ----

    def apply_actions(self, actions):
        for action in actions:
            if isinstance(action, api.Bind):
                self.start_attempt(action)
            elif isinstance(action, api.SetTimer):
                self.schedule(action.delay_ms, lambda token=action.token: api.TimerFired(token))
            elif isinstance(action, api.WatchMachineList):
                self.schedule(5.0, self.take_snapshot)
            elif isinstance(action, api.Probe):
                self.schedule(
                    float(self.rng.uniform(2.0, 90.0)), lambda name=action.machine: self.end_probe(name)
                )
            elif isinstance(action, api.Reject | api.Fail):
                _, cls, service, *_ = self.open_calls.pop(action.call_id)
                if self.rng.random() < 0.5:
                    self.schedule(
                        100.0, lambda cls=cls, service=service: self.request_placement(cls, service, True)
                    )

    def report(self):
        rng = self.rng
        free = (
            (float(rng.uniform(0.0, 16.0)), float(rng.uniform(0.0, 32.0)))
            if rng.random() < 0.8
            else (None, None)
        )
        return api.LoadReport(*free, float(rng.uniform(0.0, 1.0)), float(rng.integers(0, 4)))

    def end_probe(self, name):
        if self.rng.random() < 0.85:
            return api.ProbeEnded(name, api.Outcome.COMPLETED, self.report())
        return api.ProbeEnded(name, api.Outcome.TIMED_OUT)

    def start_attempt(self, bind):
        attempt, self.open_calls[bind.call_id][0] = (
            self.open_calls[bind.call_id][0],
            self.open_calls[bind.call_id][0] + 1,
        )
        self.open_calls[bind.call_id][4] = True  # an attempt is in flight
        draw, elapsed_ms = self.rng.random(), float(self.rng.uniform(1.0, 150.0))
        if bind.machine not in self.machines or draw < 0.03:
            outcome, reason = api.Outcome.UNREACHABLE, api.OutcomeReason.UNSPECIFIED
        elif draw < 0.7:
            self.schedule(
                elapsed_ms, lambda: self.accept_attempt(bind.call_id, attempt, bind.machine, elapsed_ms)
            )
            return
        elif draw < 0.85:
            outcome, reason = api.Outcome.REJECTED, self.choose(REJECTION_REASONS)
        else:
            reason = api.OutcomeReason.UNSPECIFIED
            outcome = self.choose(
                [api.Outcome.TIMED_OUT, api.Outcome.LOST, api.Outcome.ERROR, api.Outcome.NOT_SENT]
            )
            elapsed_ms = bind.timeout_ms if outcome is api.Outcome.TIMED_OUT else elapsed_ms
        self.schedule(
            elapsed_ms,
            lambda: self.end_attempt(bind.call_id, attempt, bind.machine, outcome, elapsed_ms, reason),
        )

    def accept_attempt(self, call, attempt, name, elapsed_ms):
        self.record_placed(call, attempt, name)
        return api.AttemptAccepted(call, attempt, name, elapsed_ms)

    def record_placed(self, call, attempt, name):
        self.running[call] = attempt, name
        self.open_calls[call][4] = True
        lifetime_ms = float(self.rng.exponential(3_000.0))
        self.schedule(lifetime_ms, lambda: self.end_task(call, attempt, name, lifetime_ms))

    def end_task(self, call, attempt, name, lifetime_ms):
        del self.running[call], self.open_calls[call]
        draw = self.rng.random()
        outcome = (
            api.Outcome.COMPLETED if draw < 0.8 else api.Outcome.LOST if draw < 0.95 else api.Outcome.STOPPED
        )
        reason = (
            self.choose([api.OutcomeReason.EVICTED, api.OutcomeReason.DRAINED, api.OutcomeReason.UNSPECIFIED])
            if draw >= 0.8
            else api.OutcomeReason.UNSPECIFIED
        )
        report = self.report() if self.rng.random() < 0.3 else None
        return api.AttemptEnded(call, attempt, name, outcome, lifetime_ms, True, reason, report)

    def end_attempt(self, call, attempt, name, outcome, elapsed_ms, reason):
        is_abandoned = self.open_calls[call][3]
        self.open_calls[call][4] = False
        if is_abandoned:
            del self.open_calls[call]
        report = self.report() if outcome is api.Outcome.REJECTED and self.rng.random() < 0.5 else None
        return api.AttemptEnded(call, attempt, name, outcome, elapsed_ms, is_abandoned, reason, report)

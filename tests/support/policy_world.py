"""A scheduler with a simulated clock, and helpers for the events that tests pass to it."""

from glencleat import interface as api
from glencleat.policy.attempts import HELD_TASK_INTERVAL_MS
from glencleat.policy.profiles import MIN_SAMPLES
from glencleat.policy.scheduler import Scheduler

SAFE = api.TaskClass("safe", api.Idempotency.IDEMPOTENT, 1000.0, 8000.0, 1.0)


KEYED = api.TaskClass(
    "keyed",
    api.Idempotency.IDEMPOTENCY_KEY,
    1000.0,
    8000.0,
    1.0,
    deduplication_scope="zone",
    deduplication_window_ms=5000.0,
)


KEYED_ALL = api.TaskClass(
    "keyed-all", api.Idempotency.IDEMPOTENCY_KEY, 1000.0, 8000.0, 1.0, deduplication_window_ms=5000.0
)


UNSAFE = api.TaskClass("unsafe", api.Idempotency.NON_IDEMPOTENT, 1000.0, 8000.0, 1.0)


SPREAD = api.TaskClass(
    "spread", api.Idempotency.IDEMPOTENT, 1000.0, 8000.0, 1.0, spread_by="machine", max_per_domain=1
)


BIG_ONLY = api.TaskClass("big-only", api.Idempotency.IDEMPOTENT, 1000.0, 8000.0, 1.0, machine_kind="big")


def settings(**overrides):
    defaults = dict(
        allocator_index=0,
        allocator_count=1,
        zone="a",
        classes=(SAFE, KEYED, KEYED_ALL, UNSAFE, SPREAD, BIG_ONLY),
        machine_sizes={"std": api.MachineSize(16.0, 32.0), "big": api.MachineSize(32.0, 64.0)},
        cores_overcommit=2.0,
        memory_overcommit=1.5,
        max_attempts=4,
        drain_grace_ms=1000.0,
        warm_up_ms=10_000.0,
        warm_up_window_ms=1000.0,
        warm_up_offers=6.0,
        watch_on_request=True,
    )
    return api.Settings(**(defaults | overrides))


def machine(name, zone="a", phase=api.MachinePhase.SERVING, kind="std", ready_at_ms=None):
    return api.Machine(name, kind, zone, 0, phase, 16.0, 32.0, ready_at_ms)


class PolicyWorld:
    """A scheduler, its simulated clock, and the number of its calls."""

    def __init__(self, machines=(), seed=7, now=1_000_000.0, **overrides):
        self.now, self.scheduler, self.calls = now, Scheduler(settings(**overrides), seed), 0
        self.handle(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, tuple(machines)))

    def handle(self, event):
        return self.scheduler.handle(self.now, event)

    def request(self, task_class="safe", service="s", cores=1.0, memory=2.0, remaining_ms=8000.0, **fields):
        self.calls += 1
        return self.calls, self.handle(
            api.PlacementRequested(self.calls, task_class, service, cores, memory, remaining_ms, **fields)
        )

    def end_attempt(
        self, call, host, outcome, attempt=0, is_call_closed=False, reason=api.OutcomeReason.UNSPECIFIED
    ):
        return self.handle(api.AttemptEnded(call, attempt, host, outcome, 20.0, is_call_closed, reason))

    def run_for(self, duration_ms):
        actions, end = [], self.now + duration_ms
        while self.now < end:
            self.now += HELD_TASK_INTERVAL_MS
            actions += self.handle(api.TimerFired(0))
        return actions

    def complete_tasks(
        self, service="s", task_class="safe", count=MIN_SAMPLES, usage=0.5, lifetime_ms=10_000.0
    ):
        """Runs tasks to completion, by default enough that their profiles are used."""
        for _ in range(count):
            call, actions = self.request(task_class, service)
            host = binds(actions)[0].machine
            self.handle(api.AttemptAccepted(call, 0, host, 20.0))
            self.handle(api.TaskObserved(call, host, api.ObservationKind.RUNNING, 1.0))
            self.handle(api.TaskObserved(call, host, api.ObservationKind.CORES_IN_USE, usage))
            self.handle(api.TaskObserved(call, host, api.ObservationKind.MEMORY_IN_USE, usage * 2.0))
            self.now += lifetime_ms
            self.end_attempt(call, host, api.Outcome.COMPLETED, is_call_closed=True)


def kinds(actions, *types):
    return [a for a in actions if isinstance(a, types)]


def binds(actions):
    return kinds(actions, api.Bind)


def finals(actions):
    return kinds(actions, api.Reject, api.Fail)

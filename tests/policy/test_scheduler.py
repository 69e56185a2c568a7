"""The decisions, without the bench: each rule with its tempting wrong answer, and the ordinary path."""

import os
import subprocess
import sys

import pytest

from glencleat import interface as api
from glencleat.policy.attempts import HELD_TASK_INTERVAL_MS
from glencleat.policy.coverage import demand_coverage
from glencleat.policy.machine_list import PRESSURE_SUSPENSION_MS
from glencleat.policy.policy_state import MIN_LOG_INTERVAL_MS
from glencleat.policy.profiles import MIN_SAMPLES
from glencleat.policy.scheduler import Scheduler
from glencleat.policy.warm_up import coldness

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


def settings(**more):
    told = dict(
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
    return api.Settings(**(told | more))


def machine(name, zone="a", phase=api.MachinePhase.SERVING, kind="std", ready=None):
    return api.Machine(name, kind, zone, 0, phase, 16.0, 32.0, ready)


class Bench:
    """A scheduler, its clock and what it answered."""

    def __init__(self, machines=(), seed=7, now=1_000_000.0, **more):
        self.now, self.scheduler, self.calls = now, Scheduler(settings(**more), seed), 0
        self.tell(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, tuple(machines)))

    def tell(self, event):
        return self.scheduler.handle(self.now, event)

    def ask(self, cls="safe", service="s", cores=1.0, memory=2.0, left=8000.0, **more):
        self.calls += 1
        return self.calls, self.tell(
            api.PlacementRequested(self.calls, cls, service, cores, memory, left, **more)
        )

    def back(self, call, host, outcome, attempt=0, over=False, why=api.OutcomeReason.UNSPECIFIED):
        return self.tell(api.AttemptEnded(call, attempt, host, outcome, 20.0, over, why))

    def run(self, ms):
        actions, end = [], self.now + ms
        while self.now < end:
            self.now += HELD_TASK_INTERVAL_MS
            actions += self.tell(api.TimerFired(0))
        return actions

    def end_some(self, service="s", cls="safe", count=MIN_SAMPLES, use=0.5, life=10_000.0):
        """Lets tasks live and end, so that the histograms speak."""
        for _ in range(count):
            call, actions = self.ask(cls, service)
            host = binds(actions)[0].machine
            self.tell(api.AttemptAccepted(call, 0, host, 20.0))
            self.tell(api.TaskObserved(call, host, api.ObservationKind.RUNNING, 1.0))
            self.tell(api.TaskObserved(call, host, api.ObservationKind.CORES_IN_USE, use))
            self.tell(api.TaskObserved(call, host, api.ObservationKind.MEMORY_IN_USE, use * 2.0))
            self.now += life
            self.back(call, host, api.Outcome.COMPLETED, over=True)


def kinds(actions, *types):
    return [a for a in actions if isinstance(a, types)]


def binds(actions):
    return kinds(actions, api.Bind)


def finals(actions):
    return kinds(actions, api.Reject, api.Fail)


# ---- the rules ----


def test_a_held_task_is_answered_once_before_its_deadline():
    bench = Bench([])
    call, actions = bench.ask(left=2000.0)
    assert not binds(actions) and not finals(actions)
    told = finals(bench.run(1990.0))
    assert [a.call_id for a in told] == [call]
    assert not finals(bench.run(3000.0))


def test_an_unsafe_task_that_may_have_run_fails_and_is_not_sent_again():
    bench = Bench([machine("m"), machine("n")])
    call, actions = bench.ask("unsafe")
    after = bench.back(call, binds(actions)[0].machine, api.Outcome.TIMED_OUT)
    assert kinds(after, api.Fail) and not binds(after) and not kinds(after, api.Reject)


def test_an_unsafe_task_that_was_refused_is_sent_elsewhere():
    bench = Bench([machine("m"), machine("n")])
    call, actions = bench.ask("unsafe")
    first = binds(actions)[0].machine
    after = bench.back(call, first, api.Outcome.REJECTED, why=api.OutcomeReason.INSUFFICIENT_CORES)
    assert [b.machine for b in binds(after)] == [{"m": "n", "n": "m"}[first]]


def test_a_keyed_task_that_may_have_run_stays_in_its_group_and_window():
    bench = Bench([machine("m"), machine("far", "b")])
    call, actions = bench.ask("keyed")
    while binds(actions)[0].machine != "m":
        call, actions = bench.ask("keyed", service=f"s{bench.calls}")
    after = bench.back(call, "m", api.Outcome.TIMED_OUT)
    assert all(b.machine != "far" for b in binds(after))
    later = [b for b in binds(bench.run(7800.0)) if b.call_id == call]
    assert all(b.machine != "far" for b in later)


def test_a_keyed_task_is_failed_after_its_window_never_refused():
    bench = Bench([machine("m")])
    call, actions = bench.ask("keyed")
    bench.now += 5100.0
    after = bench.back(call, "m", api.Outcome.TIMED_OUT)
    assert not binds(after) and kinds(after, api.Fail) and not kinds(after, api.Reject)


def test_attempts_end_at_the_limit_and_never_two_are_out():
    bench = Bench([machine(n) for n in "mnopq"], max_attempts=2)
    call, actions = bench.ask()
    assert len(binds(actions)) == 1 and not binds(bench.run(200.0))
    after = bench.back(
        call, binds(actions)[0].machine, api.Outcome.REJECTED, why=api.OutcomeReason.QUEUE_FULL
    )
    assert len(binds(after)) == 1
    after = bench.back(
        call, binds(after)[0].machine, api.Outcome.REJECTED, attempt=1, why=api.OutcomeReason.QUEUE_FULL
    )
    assert not binds(after) and len(finals(after)) == 1


@pytest.mark.parametrize("phase", [api.MachinePhase.DRAINING, api.MachinePhase.REMOVED])
def test_nothing_is_sent_once_a_drain_or_loss_is_learned(phase):
    bench = Bench([machine("m")])
    bench.tell(api.MachineListUpdated(api.ListUpdateKind.DELTA, (machine("m", phase=phase),)))
    _, actions = bench.ask()
    assert not binds(actions)


def test_a_machine_missing_from_a_whole_list_gets_nothing():
    bench = Bench([machine("m")])
    bench.tell(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, ()))
    assert not binds(bench.ask()[1])


def test_a_cold_machine_gets_our_part_of_its_budget_only():
    bench = Bench([], allocator_count=3)
    bench.tell(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, (machine("m", ready=bench.now),)))
    sent = [b for _ in range(10) for b in binds(bench.ask(cores=0.1, memory=0.1)[1])]
    assert len(sent) == 2  # six offers are borne, three schedulers may send
    assert len(binds(bench.run(1000.0))) == 0
    assert 1 <= len(binds(bench.run(500.0))) <= 2


def test_spread_counts_attempts_and_adopted_tasks():
    bench = Bench([machine("m")])
    bench.tell(api.PlacementRequested(900, "spread", "s", 1.0, 1.0, machine="m"))
    call, actions = bench.ask("spread")
    assert not binds(actions)
    bench.back(900, "m", api.Outcome.COMPLETED, over=True)
    assert [b.call_id for b in binds(bench.run(100.0))] == [call]
    assert not binds(bench.ask("spread")[1])


def test_a_kind_is_kept():
    bench = Bench([machine("m"), machine("large", kind="big")])
    assert {binds(bench.ask("big-only", service=f"s{i}")[1])[0].machine for i in range(4)} == {"large"}


# ---- the ordinary path ----


def test_schedulers_of_other_seeds_hash_a_service_to_the_same_machine():
    names = [machine(n) for n in "mnopq"]
    first = [binds(Bench(names, seed=s).ask(service="web")[1])[0].machine for s in range(5)]
    assert len(set(first)) == 1


def test_a_full_slice_is_rehashed():
    bench = Bench([machine("m"), machine("n")], allocator_count=2)
    hosts = [binds(bench.ask(cores=4.0, memory=1.0)[1])[0].machine for _ in range(3)]
    assert hosts[0] == hosts[1] != hosts[2]  # a slice is eight cores


def test_need_is_the_ask_until_enough_have_ended():
    bench = Bench([machine("m")])
    bench.end_some(count=MIN_SAMPLES - 1)
    task = api.PlacementRequested(999, "safe", "s", 1.0, 2.0, 8000.0)
    bench.tell(task)
    mine = bench.scheduler.state.tasks[999]
    assert bench.scheduler.profiles.predict_need(mine) == (1.0, 2.0)
    bench.end_some(count=1)
    assert bench.scheduler.profiles.predict_need(mine)[0] == pytest.approx(0.55)


def test_need_is_never_under_the_use_that_is_seen():
    bench = Bench([machine("m")])
    bench.end_some()
    call, _ = bench.ask()
    bench.tell(api.TaskObserved(call, "m", api.ObservationKind.CORES_IN_USE, 0.9))
    assert bench.scheduler.profiles.predict_need(bench.scheduler.state.tasks[call])[0] == 0.9


def test_coverage_counts_a_donor_until_its_end():
    """By hand: a donor gives the 1 core of excess for half the life, memory is held: D = (0.5 + 1) / 2."""
    bench = Bench([machine("m")])
    logic = bench.scheduler
    donor_call, _ = bench.ask(cores=16.0, memory=2.0)
    call, _ = bench.ask("safe", "t", cores=1.0, memory=2.0)
    node, donor, task = logic.state.machines["m"], logic.state.tasks[donor_call], logic.state.tasks[call]
    logic.registry.release(task)
    logic.profiles.predict_need = lambda t: (15.0, 2.0) if t is donor else (1.0, 2.0)
    logic.profiles.predict_life_left_ms = lambda t: 2000.0 if t is donor else 4000.0
    node.sums_updated_at_ms = -1.0
    assert demand_coverage(logic.capacity, node, task, (1.0, 2.0)) == pytest.approx(0.75)


def test_an_eviction_voids_harvested_room_for_a_time():
    bench = Bench([machine("m")])
    call, _ = bench.ask()
    bench.tell(api.AttemptAccepted(call, 0, "m", 20.0))
    bench.back(call, "m", api.Outcome.LOST, over=True, why=api.OutcomeReason.EVICTED)
    node = bench.scheduler.state.machines["m"]
    assert node.harvest_suspended_until_ms > bench.now
    bench.now = node.harvest_suspended_until_ms + 1.0
    assert binds(bench.ask()[1])


def test_a_high_report_voids_and_lapses():
    bench = Bench([machine("m")])
    call, _ = bench.ask()
    bench.tell(
        api.AttemptEnded(
            call,
            0,
            "m",
            api.Outcome.COMPLETED,
            1.0,
            True,
            api.OutcomeReason.UNSPECIFIED,
            api.LoadReport(0, 9, 0.99),
        )
    )
    assert (
        bench.scheduler.state.machines["m"].harvest_suspended_until_ms == bench.now + PRESSURE_SUSPENSION_MS
    )


def test_room_is_released_once():
    bench = Bench([machine("m")])
    call, _ = bench.ask(cores=3.0)
    for _ in range(3):
        bench.back(call, "m", api.Outcome.COMPLETED, over=True)
    node = bench.scheduler.capacity.update_sums(bench.scheduler.state.machines["m"])
    assert node.requested == (0.0, 0.0) and not node.tasks and not bench.scheduler.state.tasks_by_service


# ---- health and ordinary oddities ----


def test_silent_machines_are_left_alone_and_let_back():
    bench = Bench([machine("m"), machine("n")])
    for _ in range(4):
        call, actions = bench.ask(service="s")
        if not binds(actions):
            break
        first = binds(actions)[0].machine
        bench.now += 500.0
        bench.back(call, first, api.Outcome.TIMED_OUT)
        if any(n.ejected_until_ms > bench.now for n in bench.scheduler.state.machines.values()):
            break
    barred = [n for n in bench.scheduler.state.machines.values() if n.ejected_until_ms > bench.now]
    assert barred
    assert binds(bench.ask(service="x")[1])[0].machine != barred[0].name


def test_a_machine_told_as_not_reached_costs_no_attempt_until_it_is():
    """Behind a cut four attempts were spent within a second, each on another machine of the far side."""
    bench = Bench([machine("m"), machine("n")])
    first = binds(bench.ask(service="s")[1])[0].machine
    for _ in range(3):
        assert not bench.tell(api.ReachabilityChanged(first, is_reachable=False)) or not binds(
            bench.tell(api.ReachabilityChanged(first, is_reachable=False))
        )
    assert all(binds(bench.ask(service="s")[1])[0].machine != first for _ in range(3))
    bench.tell(api.ReachabilityChanged(first, is_reachable=True))
    node = bench.scheduler.state.machines[first]
    assert (
        node.unanswered_attempts == 0 and node.reachable_since_ms == bench.now
    )  # it may have restarted before the list says so
    bench.now += bench.scheduler.state.settings.warm_up_ms + 60_000.0
    assert any(binds(bench.ask(service=f"s{i}")[1])[0].machine == first for i in range(8))
    assert bench.tell(api.ReachabilityChanged("nobody", is_reachable=False)) == []


def test_that_a_machine_can_be_reached_says_nothing_of_one_that_takes_and_never_answers():
    bench = Bench([machine("m"), machine("n")])
    node = bench.scheduler.state.machines["m"]
    bench.scheduler.outliers.suspect(node, 2)
    bench.tell(api.ReachabilityChanged("m", is_reachable=True))
    assert node.unanswered_attempts == 2 and node.ejected_until_ms > bench.now


def test_log_lines_are_few():
    bench = Bench([machine("m")])
    lines = []
    for _ in range(20):
        lines += kinds(bench.tell(api.MachineListUpdated(api.ListUpdateKind.FAILED)), api.LogMessage)
        bench.now += 100.0
    assert 1 <= len(lines) <= 2000.0 / MIN_LOG_INTERVAL_MS + 1


def test_a_failed_list_is_asked_for_again():
    bench = Bench([machine("m")])
    bench.tell(api.MachineListUpdated(api.ListUpdateKind.FAILED))
    assert kinds(bench.run(2000.0), api.WatchMachineList)
    assert binds(bench.ask()[1])


def test_unknown_and_finished_tasks_are_ordinary():
    bench = Bench([machine("m")])
    for event in (
        api.CallAbandoned(5),
        api.AttemptEnded(5, 0, "zz", api.Outcome.COMPLETED, 1.0, True),
        api.AttemptAccepted(5, 0, "m", 1.0),
        api.TaskObserved(5, "m", api.ObservationKind.CORES_IN_USE, 1.0),
        api.ProbeEnded("zz", api.Outcome.TIMED_OUT),
        api.ProbeEnded("m", api.Outcome.COMPLETED, api.LoadReport()),
        api.TimerFired(77),
    ):
        assert not binds(bench.tell(event))


def test_settings_that_cannot_be_used_are_named():
    with pytest.raises(ValueError, match="allocator_count"):
        Scheduler(settings(allocator_count=0), 1)
    with pytest.raises(ValueError, match="max_attempts"):
        Scheduler(settings(max_attempts=0), 1)


SCRIPT = """
from tests.policy.test_scheduler import Bench, machine
bench = Bench([machine(n) for n in "mnopq"], allocator_count=2)
print([bench.ask(service=f"s{i % 7}")[1] for i in range(60)], bench.run(1000.0))
"""


def test_equal_events_give_equal_actions_across_hash_seeds():
    out = {
        subprocess.run(
            [sys.executable, "-c", SCRIPT],
            env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": "."},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for seed in ("1", "2", "3")
    }
    assert len(out) == 1 and "Bind" in out.pop()


def test_lower_priorities_crowd_a_task_less():
    """Tasks of higher priority were driven off their warm machines by cores that lower ones use."""
    low = api.TaskClass("low", api.Idempotency.IDEMPOTENT, 1000.0, 8000.0, 1.0)
    high = api.TaskClass(
        "high",
        api.Idempotency.IDEMPOTENT,
        1000.0,
        8000.0,
        1.0,
        priority=1,
        saturation_threshold=0.8,
        degradation_range=0.2,
    )
    bench = Bench([machine("m")], classes=(low, high))
    for _ in range(15):
        call, _ = bench.ask("low", cores=1.0, memory=0.5)
        bench.tell(api.AttemptAccepted(call, 0, "m", 20.0))
        bench.tell(api.TaskObserved(call, "m", api.ObservationKind.CORES_IN_USE, 1.0))
    bench.now += 300.0
    assert binds(bench.ask("high", "t")[1])


def err_then_place(bench, good=True):
    """A task that its first machine answers with an error, and that the next one takes (or errs too)."""
    call, actions = bench.ask()
    attempt, first = 0, binds(actions)[0].machine
    while bound := binds(actions):
        name = bound[0].machine
        if name != first and good:
            bench.tell(api.AttemptAccepted(call, attempt, name, 20.0))
            bench.back(call, name, api.Outcome.COMPLETED, attempt, over=True)
            break
        actions, attempt = bench.back(call, name, api.Outcome.ERROR, attempt), attempt + 1
    return first


def test_errors_make_a_machine_suspect_once_another_takes_the_task():
    bench = Bench([machine("m"), machine("n")])
    first = err_then_place(bench)
    assert err_then_place(bench) == first
    assert all(bind.machine != first for _ in range(5) for bind in binds(bench.ask()[1]))


def test_a_task_that_no_machine_can_use_bars_none():
    bench = Bench([machine(name) for name in "mnopq"])
    for _ in range(6):
        err_then_place(bench, good=False)
    assert all(node.unanswered_attempts == 0 for node in bench.scheduler.state.machines.values())


def test_an_unsafe_tasks_error_counts_at_once():
    bench = Bench([machine("m")])
    for _ in range(2):
        call, actions = bench.ask("unsafe")
        bench.back(call, "m", api.Outcome.ERROR)
    assert not binds(bench.ask()[1])


def test_a_machine_near_its_calm_level_ranks_after_a_calmer_one():
    """Use swings: at the calm level tasks of a steep class were served half."""
    steep = api.TaskClass(
        "steep",
        api.Idempotency.IDEMPOTENT,
        1000.0,
        8000.0,
        1.0,
        saturation_threshold=0.8,
        degradation_range=0.15,
    )
    names = [machine("m"), machine("n")]
    first = binds(Bench(names, classes=(steep,)).ask("steep")[1])[0].machine
    bench = Bench(names, classes=(steep,))
    busy = api.AttemptEnded(
        0,
        0,
        first,
        api.Outcome.COMPLETED,
        1.0,
        True,
        api.OutcomeReason.UNSPECIFIED,
        api.LoadReport(5.0, 20.0, 0.74),
    )
    bench.tell(busy)
    assert binds(bench.ask("steep")[1])[0].machine != first


def test_a_fresh_machine_counts_as_ever_less_cold():
    """In a rolling replacement most machines are fresh: all being cold alike hid the ones nearly warm."""
    bench = Bench([])
    bench.tell(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, (machine("m", ready=bench.now),)))
    node = bench.scheduler.state.machines["m"]
    assert coldness(bench.scheduler.state, node) == 1.0
    bench.now += 5_000.0
    bench.run(HELD_TASK_INTERVAL_MS)
    assert 0.4 < coldness(bench.scheduler.state, node) < 0.6
    bench.run(6_000.0)
    assert coldness(bench.scheduler.state, node) == 0.0


def test_instances_side_by_side_act_as_alone():
    names = [machine(n) for n in "mnopq"]
    alone = [
        [Bench(names, seed=s, allocator_count=3).ask(service=f"s{i}")[1] for i in range(1)] for s in range(3)
    ]
    together = [Bench(names, seed=s, allocator_count=3) for s in range(3)]
    mixed = [[bench.ask(service="s0")[1]] for bench in together]
    assert mixed == alone


def test_the_log_lines_on_the_on_call_page_are_written():
    bench = Bench([machine("m")])
    call, _ = bench.ask()
    lines = bench.tell(api.MachineListUpdated(api.ListUpdateKind.FAILED))
    lines += bench.back(call, "m", api.Outcome.UNREACHABLE)
    bench.now += 3_000.0
    call, actions = bench.ask()
    lines += bench.tell(api.AttemptAccepted(call, 0, "m", 20.0))
    lines += bench.back(call, "m", api.Outcome.LOST, over=True, why=api.OutcomeReason.EVICTED)
    told = " / ".join(line.text for line in kinds(lines, api.LogMessage))
    for text in ("does not answer, barred for", "answers again", "harvested room of m void:", "list failed"):
        assert text in told


@pytest.mark.parametrize(
    "more",
    [
        {"list_has_free_capacity": True, "allocator_count": 3},
        {"probes_allowed": True, "reports_on_probe": True, "allocator_count": 2},
        {"watch_on_request": False, "acceptance_means_running": True},
        {"cross_zone_price": 0.1, "machine_price": 0.1, "zone": ""},
        {"tenant_quota_cores": {"t": 1.0}, "over_quota_weight": 0.1},
    ],
)
def test_what_settings_withhold_is_done_without(more):
    bench = Bench([machine("m"), machine("n", "b")], **more)
    actions = bench.ask(tenant="t")[1] + bench.run(1_500.0)
    assert binds(actions)
    assert bool(kinds(actions, api.Probe)) == bool(more.get("reports_on_probe"))


def test_adopted_tasks_are_not_taken_off_what_the_list_tells_free_again():
    """At a start the list tells free what they left; counted twice, their machines seemed full."""
    told = api.Machine("m", "std", "a", 0, api.MachinePhase.SERVING, 8.0, 16.0)  # half of it is theirs
    bench = Bench([told], allocator_count=2, list_has_free_capacity=True)
    for _ in range(8):
        bench.ask(machine="m", cores=1.0, memory=2.0)
    node = bench.scheduler.state.machines["m"]
    assert bench.scheduler.capacity.remaining_capacity(node) == (
        24.0,
        32.0,
    )  # twice the cores, 1.5 times the memory, less the half
    assert bench.scheduler.capacity.update_sums(node).others_usage == (0.0, 0.0)
    assert binds(bench.ask()[1])


def test_an_unsafe_task_is_no_probe_of_a_suspect():
    """A machine that answers all with errors looks empty; each bar's end cost an unsafe task."""
    bench = Bench([machine("m")])
    node = bench.scheduler.state.machines["m"]
    node.unanswered_attempts = 2
    node.ejection_count = 1
    bench.now += 10.0
    call, actions = bench.ask("unsafe")
    assert not binds(actions)
    assert binds(bench.ask()[1])  # a safe one may find out
    bench.tell(api.AttemptAccepted(call + 1, 0, "m", 20.0))
    assert [bind.call_id for bind in binds(bench.run(2.0 * HELD_TASK_INTERVAL_MS))] == [call]


def test_a_class_whose_unsafe_task_had_an_error_stays_off_that_machine():
    bench = Bench([machine("m")])
    bench.back(bench.ask("unsafe")[0], "m", api.Outcome.ERROR)
    safe, actions = bench.ask()
    assert binds(actions)
    bench.tell(api.AttemptAccepted(safe, 0, "m", 20.0))
    assert not binds(bench.ask("unsafe")[1])

"""Many schedulers side by side: rules that hold when each of hundreds sees only a part of the fleet."""

from random import Random

import pytest

from glencleat import interface as api
from glencleat.checker.chance_bounds import count_busiest_window
from glencleat.policy.attempts import HELD_TASK_INTERVAL_MS, SLOW_REJECTION_SHARE
from glencleat.policy.placement import MAX_EXAMINED
from glencleat.policy.profiles import MAX_REMEMBERED_SERVICES
from tests.support.policy_world import SAFE, PolicyWorld, binds, kinds, machine


@pytest.mark.parametrize(("schedulers", "offers"), [(1, 6.0), (3, 6.0), (40, 10.0), (220, 10.0), (300, 70.0)])
def test_all_schedulers_together_stay_within_the_warm_up_offers_of_a_machine(schedulers, offers):
    """Guards against one offer from each of hundreds of schedulers: their sum far exceeded the limit."""
    worlds = [
        PolicyWorld(
            [], seed=i, allocator_index=i, allocator_count=schedulers, warm_up_offers=offers, max_attempts=9
        )
        for i in range(schedulers)
    ]
    sent_at_ms = []
    start = worlds[0].now
    for world in worlds:
        world.handle(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, (machine("m", ready_at_ms=start),)))
    for step in range(60):
        for world in worlds:
            world.now = start + 100.0 * step
            sent_at_ms += [
                world.now for _ in binds(world.request(cores=0.01, memory=0.01, remaining_ms=90_000.0)[1])
            ]
    busiest = count_busiest_window(sent_at_ms, 1000.0)
    assert offers / 4 <= busiest <= offers


@pytest.mark.parametrize(("schedulers", "offers"), [(2, 6.0), (16, 10.0), (20, 20.0), (30, 10.0), (30, 70.0)])
@pytest.mark.parametrize("seed", range(4))
def test_restarts_do_not_exceed_the_warm_up_offers_of_a_machine(schedulers, offers, seed):
    """Guards against offers forgotten at a restart: 20 schedulers, 70 % of them killed, sent 25 of 20 offers.

    With odd seeds each scheduler learns of the machine's start up to two seconds late."""
    random, start = Random(seed), 1_000_000.0
    learned_at = [start + 2_000.0 * random.random() * (seed % 2) for _ in range(schedulers)]
    worlds = {}
    busiest = count_warm_up_offers(random, schedulers, offers, start, learned_at, worlds)
    assert offers / 6 <= busiest <= offers


def count_warm_up_offers(random, schedulers, offers, start, learned_at, worlds):
    """The most offers within a second; schedulers are killed at random and restart 0.2 to 1 s later."""
    sent_at_ms, restart_at = [], dict.fromkeys(range(schedulers), 0.0)
    for step in range(50):
        now = start + 100.0 * step
        for i in range(schedulers):
            if now < restart_at[i] or now < learned_at[i]:
                continue
            if i not in worlds:
                known = [machine("m", ready_at_ms=start)]
                worlds[i] = PolicyWorld(
                    known,
                    step,
                    now,
                    allocator_index=i,
                    allocator_count=schedulers,
                    warm_up_offers=offers,
                    max_attempts=9,
                )
            worlds[i].now = now
            actions = worlds[i].request(cores=0.01, memory=0.01, remaining_ms=90_000.0)[1]
            sent_at_ms += [now] * len(binds(actions))
        for i in random.sample(range(schedulers), int(0.7 * schedulers)) if step % 10 == 5 else ():
            worlds.pop(i, None)
            restart_at[i] = now + random.uniform(200.0, 1_000.0)
    return count_busiest_window(sent_at_ms, 1000.0)


def test_a_class_rejected_without_a_reason_backs_off_from_the_machine_and_other_classes_do_not():
    """Guards against attempts spent on a machine that limits one class: it rejects despite free capacity."""
    world = PolicyWorld([machine("m"), machine("n")])
    call, actions = world.request(service="web")
    first = binds(actions)[0].machine
    after = world.end_attempt(call, first, api.Outcome.REJECTED, reason=api.OutcomeReason.UNSPECIFIED)
    assert binds(after)[0].machine != first
    assert binds(world.request(service="web")[1])[0].machine != first
    others = [binds(world.request("unsafe", service=f"s{i}")[1]) for i in range(8)]
    assert first in {found[0].machine for found in others if found}
    for task in [t for t in world.scheduler.state.tasks.values() if t.machine]:
        world.end_attempt(
            task.call_id,
            task.machine.name,
            api.Outcome.COMPLETED,
            attempt=task.attempt_count - 1,
            is_call_closed=True,
        )
    world.now += 20_000.0
    later = [binds(world.request(service=f"t{i}")[1]) for i in range(4)]
    assert first in {found[0].machine for found in later if found}


def test_after_a_stall_queued_events_are_handled_before_a_bind():
    """Guards against a bind to a draining machine: the drain was still queued when the stall ended."""
    world = PolicyWorld([machine("m"), machine("n")], watch_on_request=False)
    first = binds(world.request(service="web")[1])[0].machine
    call, actions = world.request(service="web", remaining_ms=6_500.0)
    assert not binds(actions) and [timer.delay_ms for timer in kinds(actions, api.SetTimer)] == [0.0]
    world.handle(
        api.MachineListUpdated(api.ListUpdateKind.DELTA, (machine(first, phase=api.MachinePhase.DRAINING),))
    )
    bound = binds(world.handle(api.TimerFired(0)))
    assert [bind.call_id for bind in bound] == [call] and bound[0].machine != first


def test_hash_order_decides_where_a_slice_is_smaller_than_one_request():
    """With hundreds of schedulers no request fits a slice, so hash order and coverage had no effect."""
    machines = [machine(f"m{i}") for i in range(9)]
    alone = binds(PolicyWorld(machines, allocator_count=1).request(service="web", cores=1.0)[1])[0].machine
    for seed in range(5):
        world = PolicyWorld(
            machines, seed=seed, allocator_index=seed, allocator_count=300, list_has_free_capacity=True
        )
        scheduler = world.scheduler
        call, actions = world.request(service="web", cores=1.0)
        assert binds(actions)[0].machine == alone
        task, machine_states = scheduler.state.tasks[call], scheduler.state.serving_machines.get_order("web")
        assert scheduler.placement.choose_by_hash(task, (0.5, 0.5), machine_states) is machine_states[0]


def test_no_timer_fires_with_nothing_to_do():
    world = PolicyWorld([machine("m")], watch_on_request=False)
    call, actions = world.request()
    assert not kinds(actions + world.handle(api.AttemptAccepted(call, 0, "m", 20.0)), api.SetTimer)
    assert not world.handle(api.TimerFired(0))


def test_the_number_of_probes_follows_tasks_and_not_the_fleet():
    """Guards against each scheduler probing every machine each second, which cost more than the tasks did."""
    world = PolicyWorld(
        [machine(f"m{i}") for i in range(80)], allocator_count=130, probes_allowed=True, reports_on_probe=True
    )
    _, actions = world.request()
    probes = kinds(actions, api.Probe)
    assert 1 <= len(probes) <= 2 and not binds(actions)
    free = api.LoadReport(10.0, 20.0, 0.2)
    after = [world.handle(api.ProbeEnded(p.machine, api.Outcome.COMPLETED, free)) for p in probes]
    assert {b.machine for a in after for b in binds(a)} <= {p.machine for p in probes} != set()
    assert not kinds(world.run_for(3_000.0), api.Probe)


def test_a_machine_that_does_not_answer_its_probe_is_skipped():
    world = PolicyWorld(
        [machine("m"), machine("n"), machine("o")], probes_allowed=True, reports_on_probe=True
    )
    call, actions = world.request()
    probed = [p.machine for p in kinds(actions, api.Probe)]
    last = ({"m", "n", "o"} - set(probed)).pop()
    assert last in [p.machine for p in kinds(world.run_for(200.0), api.Probe)]
    bound = binds(world.handle(api.ProbeEnded(last, api.Outcome.COMPLETED, api.LoadReport(10.0, 20.0, 0.2))))
    assert [(bind.call_id, bind.machine) for bind in bound] == [(call, last)]


def test_the_time_out_allows_for_a_slow_rejection():
    """A machine that limits a class takes part of the latency objective to reject; a time-out before that
    made it suspect."""
    slow = api.TaskClass("slow", api.Idempotency.IDEMPOTENT, 2_500.0, 8_000.0, 1.0)
    bound = binds(PolicyWorld([machine("m")], classes=(SAFE, slow)).request("slow")[1])
    assert bound[0].timeout_ms >= SLOW_REJECTION_SHARE * 2_500.0


def test_work_for_one_task_does_not_grow_with_the_fleet():
    world = PolicyWorld(
        [machine(f"m{i}") for i in range(300)], allocator_count=200, list_has_free_capacity=True
    )
    examined = []
    is_eligible = world.scheduler.placement.is_eligible
    world.scheduler.placement.is_eligible = lambda state, *rest: (
        examined.append(state) or is_eligible(state, *rest)
    )
    world.request(cores=1_000.0)
    assert 0 < len(examined) <= MAX_EXAMINED


def test_removed_machines_and_services_without_tasks_are_forgotten():
    """A process that runs for months must not accumulate them."""
    world = PolicyWorld([])
    scheduler = world.scheduler
    for i in range(60):
        world.handle(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, (machine(f"m{i}"),)))
        call, actions = world.request(service=f"s{i}")
        host = binds(actions)[0].machine
        world.handle(api.AttemptAccepted(call, 0, host, 20.0))
        world.now += 1_000.0
        world.end_attempt(call, host, api.Outcome.COMPLETED, is_call_closed=True)
    assert (
        len(scheduler.state.machines) <= 2
        and not scheduler.state.tasks_by_service
        and not scheduler.state.tasks
    )
    scheduler.profiles.profiles.update(
        {f"old{i}": scheduler.profiles.profiles["s1"] for i in range(2 * MAX_REMEMBERED_SERVICES)}
    )
    world.complete_tasks(count=1)
    assert len(scheduler.profiles.profiles) <= MAX_REMEMBERED_SERVICES


@pytest.mark.parametrize("schedulers", [1, 2, 300])
def test_an_empty_list_holds_tasks_until_machines_return(schedulers):
    world = PolicyWorld([machine("m")], allocator_count=schedulers, list_has_free_capacity=True)
    world.handle(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, ()))
    call, actions = world.request()
    assert not binds(actions)
    world.handle(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, (machine("m"),)))
    assert [b.call_id for b in binds(world.run_for(10 * HELD_TASK_INTERVAL_MS))] == [call]


@pytest.mark.parametrize(
    "report", [api.LoadReport(), api.LoadReport(free_cores=1.0), api.LoadReport(busy_share=0.5)]
)
def test_a_report_with_missing_values_is_used_for_the_others(report):
    world = PolicyWorld([machine("m")], allocator_count=300)
    call, _ = world.request()
    world.handle(
        api.AttemptEnded(
            call, 0, "m", api.Outcome.COMPLETED, 1.0, True, api.OutcomeReason.UNSPECIFIED, report
        )
    )
    assert binds(world.request()[1])

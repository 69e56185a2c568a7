"""Placement: which machines are eligible, and how they are ranked."""

import pytest

from glencleat import interface as api
from glencleat.policy.attempts import HELD_TASK_INTERVAL_MS
from glencleat.policy.warm_up import remaining_warm_up_share
from tests.support.policy_world import PolicyWorld, binds, machine


@pytest.mark.parametrize("phase", [api.MachinePhase.DRAINING, api.MachinePhase.REMOVED])
def test_a_draining_or_removed_machine_gets_nothing(phase):
    world = PolicyWorld([machine("m")])
    world.handle(api.MachineListUpdated(api.ListUpdateKind.DELTA, (machine("m", phase=phase),)))
    _, actions = world.request()
    assert not binds(actions)


def test_a_machine_missing_from_a_snapshot_gets_nothing():
    world = PolicyWorld([machine("m")])
    world.handle(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, ()))
    assert not binds(world.request()[1])


def test_a_machine_that_warms_up_gets_this_schedulers_quota_of_offers_only():
    world = PolicyWorld([], allocator_count=3)
    world.handle(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, (machine("m", ready_at_ms=world.now),)))
    sent = [bind for _ in range(10) for bind in binds(world.request(cores=0.1, memory=0.1)[1])]
    assert len(sent) == 2  # a limit of six offers for three schedulers
    assert len(binds(world.run_for(1000.0))) == 0
    assert 1 <= len(binds(world.run_for(500.0))) <= 2


def test_spread_counts_attempts_and_adopted_tasks():
    world = PolicyWorld([machine("m")])
    world.handle(api.PlacementRequested(900, "spread", "s", 1.0, 1.0, machine="m"))
    call, actions = world.request("spread")
    assert not binds(actions)
    world.end_attempt(900, "m", api.Outcome.COMPLETED, is_call_closed=True)
    assert [b.call_id for b in binds(world.run_for(100.0))] == [call]
    assert not binds(world.request("spread")[1])


def test_a_task_runs_only_on_the_machine_kind_that_its_class_needs():
    world = PolicyWorld([machine("m"), machine("large", kind="big")])
    assert {binds(world.request("big-only", service=f"s{i}")[1])[0].machine for i in range(4)} == {"large"}


def test_schedulers_with_different_seeds_hash_a_service_to_the_same_machine():
    machines = [machine(n) for n in "mnopq"]
    first = [binds(PolicyWorld(machines, seed=s).request(service="web")[1])[0].machine for s in range(5)]
    assert len(set(first)) == 1


def test_a_full_slice_leads_to_the_next_machine_in_hash_order():
    world = PolicyWorld([machine("m"), machine("n")], allocator_count=2)
    hosts = [binds(world.request(cores=4.0, memory=1.0)[1])[0].machine for _ in range(3)]
    assert hosts[0] == hosts[1] != hosts[2]  # a slice is eight cores


def test_cores_used_by_lower_priorities_count_less():
    """Usage of low-priority tasks kept high-priority tasks away from machines with their program cached."""
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
    world = PolicyWorld([machine("m")], classes=(low, high))
    for _ in range(15):
        call, _ = world.request("low", cores=1.0, memory=0.5)
        world.handle(api.AttemptAccepted(call, 0, "m", 20.0))
        world.handle(api.TaskObserved(call, "m", api.ObservationKind.CORES_IN_USE, 1.0))
    world.now += 300.0
    assert binds(world.request("high", "t")[1])


def test_a_machine_near_the_saturation_threshold_ranks_after_a_less_busy_one():
    """Usage fluctuates: exactly at the saturation threshold, tasks of a class with a narrow degradation range
    got half of full service."""
    steep = api.TaskClass(
        "steep",
        api.Idempotency.IDEMPOTENT,
        1000.0,
        8000.0,
        1.0,
        saturation_threshold=0.8,
        degradation_range=0.15,
    )
    machines = [machine("m"), machine("n")]
    first = binds(PolicyWorld(machines, classes=(steep,)).request("steep")[1])[0].machine
    world = PolicyWorld(machines, classes=(steep,))
    busy_report = api.AttemptEnded(
        0,
        0,
        first,
        api.Outcome.COMPLETED,
        1.0,
        True,
        api.OutcomeReason.UNSPECIFIED,
        api.LoadReport(5.0, 20.0, 0.74),
    )
    world.handle(busy_report)
    assert binds(world.request("steep")[1])[0].machine != first


def test_the_remaining_warm_up_decreases_over_time():
    """In a rolling replacement most machines are warming up; a fixed value hid those that are nearly done."""
    world = PolicyWorld([])
    world.handle(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, (machine("m", ready_at_ms=world.now),)))
    machine_state = world.scheduler.state.machines["m"]
    assert remaining_warm_up_share(world.scheduler.state, machine_state) == 1.0
    world.now += 5_000.0
    world.run_for(HELD_TASK_INTERVAL_MS)
    assert 0.4 < remaining_warm_up_share(world.scheduler.state, machine_state) < 0.6
    world.run_for(6_000.0)
    assert remaining_warm_up_share(world.scheduler.state, machine_state) == 0.0


def test_adopted_tasks_are_not_subtracted_from_the_listed_free_capacity():
    """At start-up the listed free capacity already excludes them; subtracted again, machines seemed full."""
    half_used = api.Machine("m", "std", "a", 0, api.MachinePhase.SERVING, 8.0, 16.0)  # by the adopted tasks
    world = PolicyWorld([half_used], allocator_count=2, list_has_free_capacity=True)
    for _ in range(8):
        world.request(machine="m", cores=1.0, memory=2.0)
    machine_state = world.scheduler.state.machines["m"]
    # Twice the cores and 1.5 times the memory, less the half in use.
    assert world.scheduler.capacity.remaining_capacity(machine_state) == (24.0, 32.0)
    assert world.scheduler.capacity.update_sums(machine_state).others_usage == (0.0, 0.0)
    assert binds(world.request()[1])

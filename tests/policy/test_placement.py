"""Placement: machines that are out of the question, and the order of those that are not."""

import pytest

from glencleat import interface as api
from glencleat.policy.attempts import HELD_TASK_INTERVAL_MS
from glencleat.policy.warm_up import coldness
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


def test_a_machine_that_warms_up_gets_our_part_of_its_offers_only():
    world = PolicyWorld([], allocator_count=3)
    world.handle(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, (machine("m", ready=world.now),)))
    sent = [b for _ in range(10) for b in binds(world.request(cores=0.1, memory=0.1)[1])]
    assert len(sent) == 2  # six offers are borne, three schedulers may send
    assert len(binds(world.run_for(1000.0))) == 0
    assert 1 <= len(binds(world.run_for(500.0))) <= 2


def test_spread_counts_attempts_and_adopted_tasks():
    world = PolicyWorld([machine("m")])
    world.handle(api.PlacementRequested(900, "spread", "s", 1.0, 1.0, machine="m"))
    call, actions = world.request("spread")
    assert not binds(actions)
    world.end_attempt(900, "m", api.Outcome.COMPLETED, over=True)
    assert [b.call_id for b in binds(world.run_for(100.0))] == [call]
    assert not binds(world.request("spread")[1])


def test_a_task_runs_only_on_the_machine_kind_that_its_class_needs():
    world = PolicyWorld([machine("m"), machine("large", kind="big")])
    assert {binds(world.request("big-only", service=f"s{i}")[1])[0].machine for i in range(4)} == {"large"}


def test_schedulers_of_other_seeds_hash_a_service_to_the_same_machine():
    names = [machine(n) for n in "mnopq"]
    first = [binds(PolicyWorld(names, seed=s).request(service="web")[1])[0].machine for s in range(5)]
    assert len(set(first)) == 1


def test_a_full_slice_is_rehashed():
    world = PolicyWorld([machine("m"), machine("n")], allocator_count=2)
    hosts = [binds(world.request(cores=4.0, memory=1.0)[1])[0].machine for _ in range(3)]
    assert hosts[0] == hosts[1] != hosts[2]  # a slice is eight cores


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
    world = PolicyWorld([machine("m")], classes=(low, high))
    for _ in range(15):
        call, _ = world.request("low", cores=1.0, memory=0.5)
        world.handle(api.AttemptAccepted(call, 0, "m", 20.0))
        world.handle(api.TaskObserved(call, "m", api.ObservationKind.CORES_IN_USE, 1.0))
    world.now += 300.0
    assert binds(world.request("high", "t")[1])


def test_a_machine_near_the_saturation_threshold_ranks_after_a_less_busy_one():
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
    first = binds(PolicyWorld(names, classes=(steep,)).request("steep")[1])[0].machine
    world = PolicyWorld(names, classes=(steep,))
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
    world.handle(busy)
    assert binds(world.request("steep")[1])[0].machine != first


def test_a_fresh_machine_counts_as_ever_less_cold():
    """In a rolling replacement most machines are fresh: all being cold alike hid the ones nearly warm."""
    world = PolicyWorld([])
    world.handle(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, (machine("m", ready=world.now),)))
    node = world.scheduler.state.machines["m"]
    assert coldness(world.scheduler.state, node) == 1.0
    world.now += 5_000.0
    world.run_for(HELD_TASK_INTERVAL_MS)
    assert 0.4 < coldness(world.scheduler.state, node) < 0.6
    world.run_for(6_000.0)
    assert coldness(world.scheduler.state, node) == 0.0


def test_adopted_tasks_are_not_taken_off_the_listed_free_capacity_again():
    """At a start the list tells free what they left; counted twice, their machines seemed full."""
    told = api.Machine("m", "std", "a", 0, api.MachinePhase.SERVING, 8.0, 16.0)  # half of it is theirs
    world = PolicyWorld([told], allocator_count=2, list_has_free_capacity=True)
    for _ in range(8):
        world.request(machine="m", cores=1.0, memory=2.0)
    node = world.scheduler.state.machines["m"]
    assert world.scheduler.capacity.remaining_capacity(node) == (
        24.0,
        32.0,
    )  # twice the cores, 1.5 times the memory, less the half
    assert world.scheduler.capacity.update_sums(node).others_usage == (0.0, 0.0)
    assert binds(world.request()[1])

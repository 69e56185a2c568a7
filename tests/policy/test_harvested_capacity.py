"""Harvested capacity: predicted need, demand coverage, suspension after pressure, and release."""

import pytest

from glencleat import interface as api
from glencleat.policy.coverage import demand_coverage
from glencleat.policy.machine_list import PRESSURE_SUSPENSION_MS
from glencleat.policy.profiles import MIN_SAMPLES
from tests.support.policy_world import PolicyWorld, binds, machine


def test_predicted_need_is_the_request_until_enough_tasks_ended():
    world = PolicyWorld([machine("m")])
    world.complete_tasks(count=MIN_SAMPLES - 1)
    task = api.PlacementRequested(999, "safe", "s", 1.0, 2.0, 8000.0)
    world.handle(task)
    tracked = world.scheduler.state.tasks[999]
    assert world.scheduler.profiles.predict_need(tracked) == (1.0, 2.0)
    world.complete_tasks(count=1)
    assert world.scheduler.profiles.predict_need(tracked)[0] == pytest.approx(0.55)


def test_predicted_need_is_never_below_observed_usage():
    world = PolicyWorld([machine("m")])
    world.complete_tasks()
    call, _ = world.request()
    world.handle(api.TaskObserved(call, "m", api.ObservationKind.CORES_IN_USE, 0.9))
    assert world.scheduler.profiles.predict_need(world.scheduler.state.tasks[call])[0] == 0.9


def test_coverage_counts_a_donor_until_its_end():
    """The donor covers 1 core of excess for half the lifetime, memory has no excess: D = (0.5 + 1) / 2."""
    world = PolicyWorld([machine("m")])
    scheduler = world.scheduler
    donor_call, _ = world.request(cores=16.0, memory=2.0)
    call, _ = world.request("safe", "t", cores=1.0, memory=2.0)
    machine_state, donor, task = (
        scheduler.state.machines["m"],
        scheduler.state.tasks[donor_call],
        scheduler.state.tasks[call],
    )
    scheduler.registry.release(task)
    scheduler.profiles.predict_need = lambda t: (15.0, 2.0) if t is donor else (1.0, 2.0)
    scheduler.profiles.predict_remaining_lifetime_ms = lambda t: 2000.0 if t is donor else 4000.0
    machine_state.sums_updated_at_ms = -1.0
    assert demand_coverage(scheduler.capacity, machine_state, task, (1.0, 2.0)) == pytest.approx(0.75)


def test_an_eviction_suspends_harvesting_for_a_time():
    world = PolicyWorld([machine("m")])
    call, _ = world.request()
    world.handle(api.AttemptAccepted(call, 0, "m", 20.0))
    world.end_attempt(call, "m", api.Outcome.LOST, is_call_closed=True, reason=api.OutcomeReason.EVICTED)
    machine_state = world.scheduler.state.machines["m"]
    assert machine_state.harvest_suspended_until_ms > world.now
    world.now = machine_state.harvest_suspended_until_ms + 1.0
    assert binds(world.request()[1])


def test_a_high_busy_share_suspends_harvesting_for_a_time():
    world = PolicyWorld([machine("m")])
    call, _ = world.request()
    world.handle(
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
        world.scheduler.state.machines["m"].harvest_suspended_until_ms == world.now + PRESSURE_SUSPENSION_MS
    )


def test_capacity_is_released_once():
    world = PolicyWorld([machine("m")])
    call, _ = world.request(cores=3.0)
    for _ in range(3):
        world.end_attempt(call, "m", api.Outcome.COMPLETED, is_call_closed=True)
    machine_state = world.scheduler.capacity.update_sums(world.scheduler.state.machines["m"])
    assert (
        machine_state.requested == (0.0, 0.0)
        and not machine_state.tasks
        and not world.scheduler.state.tasks_by_service
    )

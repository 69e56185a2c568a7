"""The scheduler as a whole: settings, log lines, unknown calls, and determinism."""

import os
import subprocess
import sys

import pytest

from glencleat import interface as api
from glencleat.policy.policy_state import MIN_LOG_INTERVAL_MS
from glencleat.policy.scheduler import MAX_REMOVAL_CANDIDATES, Scheduler
from tests.support.policy_world import (
    PolicyWorld,
    binds,
    kinds,
    machine,
    settings,
)


def test_log_lines_of_a_kind_are_rate_limited():
    world = PolicyWorld([machine("m")])
    lines = []
    for _ in range(20):
        lines += kinds(world.handle(api.MachineListUpdated(api.ListUpdateKind.FAILED)), api.LogMessage)
        world.now += 100.0
    assert 1 <= len(lines) <= 2000.0 / MIN_LOG_INTERVAL_MS + 1


def test_a_failed_machine_list_is_watched_again():
    world = PolicyWorld([machine("m")])
    world.handle(api.MachineListUpdated(api.ListUpdateKind.FAILED))
    assert kinds(world.run_for(2000.0), api.WatchMachineList)
    assert binds(world.request()[1])


def test_events_of_unknown_and_finished_tasks_are_ignored():
    world = PolicyWorld([machine("m")])
    for event in (
        api.CallAbandoned(5),
        api.AttemptEnded(5, 0, "zz", api.Outcome.COMPLETED, 1.0, True),
        api.AttemptAccepted(5, 0, "m", 1.0),
        api.TaskObserved(5, "m", api.ObservationKind.CORES_IN_USE, 1.0),
        api.ProbeEnded("zz", api.Outcome.TIMED_OUT),
        api.ProbeEnded("m", api.Outcome.COMPLETED, api.LoadReport()),
        api.TimerFired(77),
    ):
        assert not binds(world.handle(event))


def test_errors_name_the_invalid_setting():
    with pytest.raises(ValueError, match="allocator_count"):
        Scheduler(settings(allocator_count=0), 1)
    with pytest.raises(ValueError, match="max_attempts"):
        Scheduler(settings(max_attempts=0), 1)


SCRIPT = """
from tests.support.policy_world import PolicyWorld, machine
world = PolicyWorld([machine(n) for n in "mnopq"], allocator_count=2)
print([world.request(service=f"s{i % 7}")[1] for i in range(60)], world.run_for(1000.0))
"""


def test_equal_events_give_equal_actions_across_hash_seeds():
    outputs = {
        subprocess.run(
            [sys.executable, "-c", SCRIPT],
            env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": "."},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for seed in ("1", "2", "3")
    }
    assert len(outputs) == 1 and "Bind" in outputs.pop()


def test_schedulers_in_one_process_do_not_affect_each_other():
    machines = [machine(n) for n in "mnopq"]
    alone = [
        [PolicyWorld(machines, seed=s, allocator_count=3).request(service=f"s{i}")[1] for i in range(1)]
        for s in range(3)
    ]
    together = [PolicyWorld(machines, seed=s, allocator_count=3) for s in range(3)]
    mixed = [[world.request(service="s0")[1]] for world in together]
    assert mixed == alone


def test_the_documented_log_lines_are_written():
    world = PolicyWorld([machine("m")])
    call, _ = world.request()
    lines = world.handle(api.MachineListUpdated(api.ListUpdateKind.FAILED))
    lines += world.end_attempt(call, "m", api.Outcome.UNREACHABLE)
    world.now += 3_000.0
    call, actions = world.request()
    lines += world.handle(api.AttemptAccepted(call, 0, "m", 20.0))
    lines += world.end_attempt(
        call, "m", api.Outcome.LOST, is_call_closed=True, reason=api.OutcomeReason.EVICTED
    )
    text_of_all = " / ".join(line.text for line in kinds(lines, api.LogMessage))
    for text in ("does not answer, barred for", "answers again", "harvested room of m void:", "list failed"):
        assert text in text_of_all


@pytest.mark.parametrize(
    "overrides",
    [
        {"list_has_free_capacity": True, "allocator_count": 3},
        {"probes_allowed": True, "reports_on_probe": True, "allocator_count": 2},
        {"watch_on_request": False, "acceptance_means_running": True},
        {"cross_zone_price": 0.1, "machine_price": 0.1, "zone": ""},
        {"tenant_quota_cores": {"t": 1.0}, "over_quota_weight": 0.1},
    ],
)
def test_tasks_are_placed_whatever_information_the_settings_withhold(overrides):
    world = PolicyWorld([machine("m"), machine("n", "b")], **overrides)
    actions = world.request(tenant="t")[1] + world.run_for(1_500.0)
    assert binds(actions)
    assert bool(kinds(actions, api.Probe)) == bool(overrides.get("reports_on_probe"))


def test_machines_that_no_list_names_are_forgotten_between_two_lists():
    """Guards against state that grows with the names of hosts in handed-over tasks, while the list is quiet."""
    world = PolicyWorld([machine("m")])
    for number in range(4 * MAX_REMOVAL_CANDIDATES):
        call_id, _ = world.request(machine=f"unknown-{number}")
        world.handle(
            api.AttemptEnded(call_id, 0, f"unknown-{number}", api.Outcome.LOST, 1.0, is_call_closed=True)
        )
    assert len(world.scheduler.state.machines) <= MAX_REMOVAL_CANDIDATES + 2
    assert binds(world.request()[1])


def test_a_removed_machine_with_tasks_is_not_forgotten():
    world = PolicyWorld([machine("m")])
    standing_call_id, _ = world.request(machine="unknown")
    for number in range(4 * MAX_REMOVAL_CANDIDATES):
        call_id, _ = world.request(machine=f"unknown-{number}")
        world.handle(
            api.AttemptEnded(call_id, 0, f"unknown-{number}", api.Outcome.LOST, 1.0, is_call_closed=True)
        )
    assert standing_call_id in world.scheduler.state.machines["unknown"].tasks

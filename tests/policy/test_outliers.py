"""Outlier detection: when a machine becomes suspect, is ejected and is readmitted."""

from glencleat import interface as api
from glencleat.policy.attempts import HELD_TASK_INTERVAL_MS
from tests.support.policy_world import PolicyWorld, binds, machine


def test_an_unresponsive_machine_is_ejected_and_another_one_is_used():
    world = PolicyWorld([machine("m"), machine("n")])
    for _ in range(4):
        call, actions = world.request(service="s")
        if not binds(actions):
            break
        first = binds(actions)[0].machine
        world.now += 500.0
        world.end_attempt(call, first, api.Outcome.TIMED_OUT)
        if any(n.ejected_until_ms > world.now for n in world.scheduler.state.machines.values()):
            break
    ejected = [n for n in world.scheduler.state.machines.values() if n.ejected_until_ms > world.now]
    assert ejected
    assert binds(world.request(service="x")[1])[0].machine != ejected[0].name


def test_an_unreachable_machine_costs_no_attempt_until_it_is_reachable():
    """In a network partition a call spent four attempts within a second on different unreachable machines."""
    world = PolicyWorld([machine("m"), machine("n")])
    first = binds(world.request(service="s")[1])[0].machine
    for _ in range(3):
        assert not world.handle(api.ReachabilityChanged(first, is_reachable=False)) or not binds(
            world.handle(api.ReachabilityChanged(first, is_reachable=False))
        )
    assert all(binds(world.request(service="s")[1])[0].machine != first for _ in range(3))
    world.handle(api.ReachabilityChanged(first, is_reachable=True))
    machine_state = world.scheduler.state.machines[first]
    # It may have restarted, and the list not show it yet.
    assert machine_state.unanswered_attempts == 0 and machine_state.reachable_since_ms == world.now
    world.now += world.scheduler.state.settings.warm_up_ms + 60_000.0
    assert any(binds(world.request(service=f"s{i}")[1])[0].machine == first for i in range(8))
    assert world.handle(api.ReachabilityChanged("nobody", is_reachable=False)) == []


def test_reachability_does_not_clear_a_machine_that_never_answers():
    world = PolicyWorld([machine("m"), machine("n")])
    machine_state = world.scheduler.state.machines["m"]
    world.scheduler.outliers.suspect(machine_state, 2)
    world.handle(api.ReachabilityChanged("m", is_reachable=True))
    assert machine_state.unanswered_attempts == 2 and machine_state.ejected_until_ms > world.now


def end_first_attempt_with_error(world, next_accepts=True):
    """Requests a task; the first machine answers with an error, the next one accepts it or fails too."""
    call, actions = world.request()
    attempt, first = 0, binds(actions)[0].machine
    while bound := binds(actions):
        name = bound[0].machine
        if name != first and next_accepts:
            world.handle(api.AttemptAccepted(call, attempt, name, 20.0))
            world.end_attempt(call, name, api.Outcome.COMPLETED, attempt, is_call_closed=True)
            break
        actions, attempt = world.end_attempt(call, name, api.Outcome.ERROR, attempt), attempt + 1
    return first


def test_errors_make_a_machine_suspect_once_another_accepts_the_task():
    world = PolicyWorld([machine("m"), machine("n")])
    first = end_first_attempt_with_error(world)
    assert end_first_attempt_with_error(world) == first
    assert all(bind.machine != first for _ in range(5) for bind in binds(world.request()[1]))


def test_a_task_that_fails_everywhere_ejects_no_machine():
    world = PolicyWorld([machine(name) for name in "mnopq"])
    for _ in range(6):
        end_first_attempt_with_error(world, next_accepts=False)
    assert all(
        machine_state.unanswered_attempts == 0 for machine_state in world.scheduler.state.machines.values()
    )


def test_an_error_of_a_non_idempotent_task_counts_at_once():
    world = PolicyWorld([machine("m")])
    for _ in range(2):
        call, actions = world.request("unsafe")
        world.end_attempt(call, "m", api.Outcome.ERROR)
    assert not binds(world.request()[1])


def test_a_non_idempotent_task_is_not_sent_to_a_suspect():
    """A machine that answers every attempt with an error looks empty, so after each ejection a non-idempotent
    task failed there."""
    world = PolicyWorld([machine("m")])
    machine_state = world.scheduler.state.machines["m"]
    machine_state.unanswered_attempts = 2
    machine_state.ejection_count = 1
    world.now += 10.0
    call, actions = world.request("unsafe")
    assert not binds(actions)
    assert binds(world.request()[1])  # an idempotent task may test the machine
    world.handle(api.AttemptAccepted(call + 1, 0, "m", 20.0))
    assert [bind.call_id for bind in binds(world.run_for(2.0 * HELD_TASK_INTERVAL_MS))] == [call]


def test_a_class_whose_non_idempotent_task_had_an_error_backs_off_from_that_machine():
    world = PolicyWorld([machine("m")])
    world.end_attempt(world.request("unsafe")[0], "m", api.Outcome.ERROR)
    safe, actions = world.request()
    assert binds(actions)
    world.handle(api.AttemptAccepted(safe, 0, "m", 20.0))
    assert not binds(world.request("unsafe")[1])

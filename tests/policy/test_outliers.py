"""Outlier detection: what makes a machine suspect, ejects it and lets it back."""

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
    barred = [n for n in world.scheduler.state.machines.values() if n.ejected_until_ms > world.now]
    assert barred
    assert binds(world.request(service="x")[1])[0].machine != barred[0].name


def test_an_unreachable_machine_costs_no_attempt_until_it_is_reachable():
    """Behind a cut four attempts were spent within a second, each on another machine of the far side."""
    world = PolicyWorld([machine("m"), machine("n")])
    first = binds(world.request(service="s")[1])[0].machine
    for _ in range(3):
        assert not world.handle(api.ReachabilityChanged(first, is_reachable=False)) or not binds(
            world.handle(api.ReachabilityChanged(first, is_reachable=False))
        )
    assert all(binds(world.request(service="s")[1])[0].machine != first for _ in range(3))
    world.handle(api.ReachabilityChanged(first, is_reachable=True))
    node = world.scheduler.state.machines[first]
    assert (
        node.unanswered_attempts == 0 and node.reachable_since_ms == world.now
    )  # it may have restarted before the list says so
    world.now += world.scheduler.state.settings.warm_up_ms + 60_000.0
    assert any(binds(world.request(service=f"s{i}")[1])[0].machine == first for i in range(8))
    assert world.handle(api.ReachabilityChanged("nobody", is_reachable=False)) == []


def test_reachability_does_not_clear_a_machine_that_never_answers():
    world = PolicyWorld([machine("m"), machine("n")])
    node = world.scheduler.state.machines["m"]
    world.scheduler.outliers.suspect(node, 2)
    world.handle(api.ReachabilityChanged("m", is_reachable=True))
    assert node.unanswered_attempts == 2 and node.ejected_until_ms > world.now


def end_first_attempt_with_error(world, good=True):
    """A task that its first machine answers with an error, and that the next one takes (or errs too)."""
    call, actions = world.request()
    attempt, first = 0, binds(actions)[0].machine
    while bound := binds(actions):
        name = bound[0].machine
        if name != first and good:
            world.handle(api.AttemptAccepted(call, attempt, name, 20.0))
            world.end_attempt(call, name, api.Outcome.COMPLETED, attempt, over=True)
            break
        actions, attempt = world.end_attempt(call, name, api.Outcome.ERROR, attempt), attempt + 1
    return first


def test_errors_make_a_machine_suspect_once_another_takes_the_task():
    world = PolicyWorld([machine("m"), machine("n")])
    first = end_first_attempt_with_error(world)
    assert end_first_attempt_with_error(world) == first
    assert all(bind.machine != first for _ in range(5) for bind in binds(world.request()[1]))


def test_a_task_that_fails_everywhere_ejects_no_machine():
    world = PolicyWorld([machine(name) for name in "mnopq"])
    for _ in range(6):
        end_first_attempt_with_error(world, good=False)
    assert all(node.unanswered_attempts == 0 for node in world.scheduler.state.machines.values())


def test_an_error_of_a_non_idempotent_task_counts_at_once():
    world = PolicyWorld([machine("m")])
    for _ in range(2):
        call, actions = world.request("unsafe")
        world.end_attempt(call, "m", api.Outcome.ERROR)
    assert not binds(world.request()[1])


def test_a_non_idempotent_task_is_not_sent_to_a_suspect():
    """A machine that answers all with errors looks empty; each bar's end cost an unsafe task."""
    world = PolicyWorld([machine("m")])
    node = world.scheduler.state.machines["m"]
    node.unanswered_attempts = 2
    node.ejection_count = 1
    world.now += 10.0
    call, actions = world.request("unsafe")
    assert not binds(actions)
    assert binds(world.request()[1])  # a safe one may find out
    world.handle(api.AttemptAccepted(call + 1, 0, "m", 20.0))
    assert [bind.call_id for bind in binds(world.run_for(2.0 * HELD_TASK_INTERVAL_MS))] == [call]


def test_a_class_whose_non_idempotent_task_had_an_error_stays_off_that_machine():
    world = PolicyWorld([machine("m")])
    world.end_attempt(world.request("unsafe")[0], "m", api.Outcome.ERROR)
    safe, actions = world.request()
    assert binds(actions)
    world.handle(api.AttemptAccepted(safe, 0, "m", 20.0))
    assert not binds(world.request("unsafe")[1])

"""Retry rules: when a retry is allowed, and which final answer a call gets."""

from glencleat import interface as api
from tests.support.policy_world import (
    PolicyWorld,
    binds,
    finals,
    kinds,
    machine,
)


def test_a_held_task_is_answered_once_before_its_deadline():
    world = PolicyWorld([])
    call, actions = world.request(remaining_ms=2000.0)
    assert not binds(actions) and not finals(actions)
    answers = finals(world.run_for(1990.0))
    assert [answer.call_id for answer in answers] == [call]
    assert not finals(world.run_for(3000.0))


def test_a_non_idempotent_task_that_may_have_run_fails_and_is_not_retried():
    world = PolicyWorld([machine("m"), machine("n")])
    call, actions = world.request("unsafe")
    after = world.end_attempt(call, binds(actions)[0].machine, api.Outcome.TIMED_OUT)
    assert kinds(after, api.Fail) and not binds(after) and not kinds(after, api.Reject)


def test_a_rejected_non_idempotent_task_is_retried_elsewhere():
    world = PolicyWorld([machine("m"), machine("n")])
    call, actions = world.request("unsafe")
    first = binds(actions)[0].machine
    after = world.end_attempt(call, first, api.Outcome.REJECTED, reason=api.OutcomeReason.INSUFFICIENT_CORES)
    assert [b.machine for b in binds(after)] == [{"m": "n", "n": "m"}[first]]


def test_a_task_with_a_key_that_may_have_run_stays_in_its_deduplication_scope_and_window():
    world = PolicyWorld([machine("m"), machine("far", "b")])
    call, actions = world.request("keyed")
    while binds(actions)[0].machine != "m":
        call, actions = world.request("keyed", service=f"s{world.calls}")
    after = world.end_attempt(call, "m", api.Outcome.TIMED_OUT)
    assert all(b.machine != "far" for b in binds(after))
    later = [b for b in binds(world.run_for(7800.0)) if b.call_id == call]
    assert all(b.machine != "far" for b in later)


def test_a_task_with_a_key_fails_after_its_deduplication_window_and_is_never_rejected():
    world = PolicyWorld([machine("m")])
    call, actions = world.request("keyed")
    world.now += 5100.0
    after = world.end_attempt(call, "m", api.Outcome.TIMED_OUT)
    assert not binds(after) and kinds(after, api.Fail) and not kinds(after, api.Reject)


def test_attempts_stop_at_the_limit_and_at_most_one_is_in_flight():
    world = PolicyWorld([machine(n) for n in "mnopq"], max_attempts=2)
    call, actions = world.request()
    assert len(binds(actions)) == 1 and not binds(world.run_for(200.0))
    after = world.end_attempt(
        call, binds(actions)[0].machine, api.Outcome.REJECTED, reason=api.OutcomeReason.QUEUE_FULL
    )
    assert len(binds(after)) == 1
    after = world.end_attempt(
        call, binds(after)[0].machine, api.Outcome.REJECTED, attempt=1, reason=api.OutcomeReason.QUEUE_FULL
    )
    assert not binds(after) and len(finals(after)) == 1

"""Updates that come late, twice or out of order."""

import pytest

from glencleat.allocator import status_mapping
from glencleat.mesos import messages as m
from tests.support.core_world import (
    launch_one_task,
    launch_until_time_out,
)


def test_late_acceptance_of_an_unsafe_task_is_adopted():
    """The owner was told that it failed and reconciles: it runs, and its end is told."""
    cluster, owner, agent, attempt = launch_until_time_out("unsafe")
    assert owner.states("t1") == ["TASK_LOST"] and len(cluster.offered()) == 1
    agent.say(attempt, "TASK_STARTING")
    assert not agent.kills()
    told = owner.statuses("t1")[-1]
    assert told.state == "TASK_STARTING" and told.reason == status_mapping.RECONCILIATION
    agent.say(attempt, "TASK_RUNNING")
    assert owner.reconcile("t1").state == "TASK_RUNNING"
    agent.say(attempt, "TASK_FINISHED")
    assert owner.states("t1")[-1] == "TASK_FINISHED"
    assert cluster.core.counters.answered["unsafe", "failed"] == 1  # the answer stays what it was
    cluster.check()


def test_late_acceptance_of_a_safe_task_placed_elsewhere_is_killed():
    cluster, owner, agent, attempt = launch_one_task("safe")
    cluster.timing.advance(800.0)
    (_, _), (other, again) = cluster.offered()
    agent.say(attempt, "TASK_STARTING")
    assert agent.kills() == [attempt] and owner.states("t1") == []  # the second is out, and may come to a yes
    other.say(again.task_id.value, "TASK_STARTING")
    assert owner.states("t1") == ["TASK_STARTING"]
    agent.say(attempt, "TASK_KILLED")
    assert owner.states("t1") == ["TASK_STARTING"]
    cluster.check()


def test_late_rejection_settles_the_task():
    """The owner learns by RECONCILE that nothing ran, and may ask again."""
    cluster, owner, agent, attempt = launch_until_time_out("unsafe")
    agent.say(attempt, "TASK_DROPPED", cause="not here")
    assert owner.states("t1") == ["TASK_LOST", "TASK_DROPPED"]  # told as soon as it is known, and on asking
    assert owner.reconcile("t1").state == "TASK_DROPPED"
    owner.launch("t1", "unsafe")
    assert len(cluster.offered()) == 2


def test_unsafe_task_that_may_run_is_not_admitted_again():
    cluster, owner, agent, _ = launch_until_time_out("unsafe")
    owner.launch("t1", "unsafe")
    assert len(cluster.offered()) == 1
    status = owner.statuses("t1")[-1]
    assert status.state == "TASK_UNREACHABLE" and m.find_label(status.labels, "retry") == "reconcile"
    agent.say(cluster.offered()[0][1].task_id.value, "TASK_FINISHED")
    owner.launch("t1", "unsafe")
    assert len(cluster.offered()) == 1
    assert m.find_label(owner.statuses("t1")[-1].labels, "retry") == "never"
    cluster.check()


def test_repeated_and_overtaken_updates_are_acknowledged_and_ignored():
    cluster, owner, agent, attempt = launch_one_task()
    starting, running = agent.status(attempt, "TASK_STARTING"), agent.status(attempt, "TASK_RUNNING")
    agent.tell(running)
    agent.tell(starting)
    agent.tell(running)
    assert owner.states("t1") == ["TASK_STARTING", "TASK_RUNNING"]
    agent.say(attempt, "TASK_FINISHED")
    agent.tell(running)
    assert owner.states("t1")[-1] == "TASK_FINISHED" and len(owner.states("t1")) == 3
    assert len(agent.link.of("ACKNOWLEDGED")) == 5  # each is acknowledged, or it would be repeated for ever
    cluster.check()


def test_update_after_the_end_changes_nothing():
    cluster, owner, agent, attempt = launch_one_task("unsafe")
    for state in ("TASK_STARTING", "TASK_RUNNING", "TASK_FINISHED", "TASK_RUNNING", "TASK_STARTING"):
        agent.say(attempt, state)
    assert owner.states("t1") == ["TASK_STARTING", "TASK_RUNNING", "TASK_FINISHED"]
    assert not agent.kills() and not cluster.core.counters.adopted
    cluster.check()


def test_end_that_overtook_the_acceptance_reports_both():
    cluster, owner, agent, attempt = launch_one_task()
    agent.say(attempt, "TASK_FINISHED")
    assert owner.states("t1") == ["TASK_STARTING", "TASK_FINISHED"]
    cluster.check()


@pytest.mark.parametrize(
    ("state", "reason", "told"),
    [
        ("TASK_FAILED", "REASON_CONTAINER_LIMITATION_MEMORY", "TASK_FAILED"),
        ("TASK_KILLED", "REASON_AGENT_DRAINING", "TASK_KILLED"),
        ("TASK_LOST", None, "TASK_FAILED"),
        ("TASK_GONE", None, "TASK_FAILED"),
    ],
)
def test_end_of_a_placed_task_is_reported(state, reason, told):
    cluster, owner, agent, attempt = launch_one_task()
    agent.say(attempt, "TASK_STARTING")
    agent.say(attempt, state, reason)
    assert owner.states("t1") == ["TASK_STARTING", told]
    cluster.check()


def test_late_acceptance_that_was_killed_is_not_adopted_by_its_next_status():
    """Its owner was told `refused`, and asks again: it must not find two. Seen under a crowd of creations."""
    cluster, owner, agent, attempt = launch_one_task("safe")
    other = next(a for a in cluster.agents.values() if a is not agent)
    other.link.close("gone")
    for _ in range(9):
        agent.beat()
        cluster.timing.advance(1_000.0)  # its time-out, and the end of the ask
    assert owner.states("t1")[-1] in ("TASK_LOST", "TASK_DROPPED")
    agent.say(attempt, "TASK_STARTING")
    assert agent.kills() == [attempt]
    agent.say(attempt, "TASK_RUNNING")
    assert agent.kills() == [attempt, attempt] and owner.states("t1")[-1] in ("TASK_LOST", "TASK_DROPPED")
    assert not cluster.core.call_table.active_calls and sum(cluster.core.counters.adopted.values()) == 0
    cluster.check()

"""Agents that fall silent in the middle of a placement, come back, or connect twice."""

import pytest

from glencleat.allocator.agent_sessions import NotSubscribedError
from glencleat.mesos import messages as m
from tests.support.core_world import (
    Agent,
    Cluster,
    Owner,
    launch_one_task,
    run_until_session_cut,
)


@pytest.mark.parametrize("part", [0, 7], ids=["before", "half"])
def test_session_lost_before_the_launch_was_sent_moves_the_task_on(part):
    """What was not handed over whole can't have run: even an unsafe task goes elsewhere."""
    cluster = Cluster(2)
    owner = Owner(cluster).subscribe()
    for agent in cluster.agents.values():
        agent.link.hold = True
    owner.launch("t1", "unsafe")
    ((agent, _),) = cluster.offered()
    agent.link.sent += part
    for other in cluster.agents.values():
        if other is not agent:
            other.link.hold, other.link.sent = False, other.link.queued
    agent.link.close("no heartbeat")
    (_, first), (other, again) = cluster.offered()
    assert other is not agent and again.task_id.value.endswith(".1")
    other.say(again.task_id.value, "TASK_STARTING")
    assert owner.states("t1") == ["TASK_STARTING"]
    cluster.check()


def test_silence_after_the_launch_was_sent_leaves_an_unsafe_task_in_doubt():
    """It may have run: an unsafe task is not sent again, and its owner is told to reconcile."""
    cluster, owner, agent, _ = launch_one_task("unsafe")
    run_until_session_cut(cluster, agent)
    cluster.timing.advance(5_000.0)
    assert len(cluster.offered()) == 1
    (status,) = owner.statuses("t1")
    assert status.state == "TASK_LOST" and m.find_label(status.labels, "retry") == "reconcile"
    assert owner.reconcile("t1").state == "TASK_UNREACHABLE"
    cluster.check()


def test_safe_task_moves_on_as_soon_as_the_session_is_lost():
    cluster, _, agent, _ = launch_one_task("safe")
    agent.link.close("no heartbeat")
    assert len(cluster.offered()) == 2


def test_silence_after_the_acceptance_makes_the_task_unreachable_until_the_agent_returns():
    """The task is placed; an agent away too long makes it unreachable, and its return brings it back."""
    cluster, owner, agent, attempt = launch_one_task("unsafe")
    agent.say(attempt, "TASK_STARTING")
    run_until_session_cut(cluster, agent)
    assert owner.states("t1") == ["TASK_STARTING"]
    for _ in range(12):
        cluster.timing.advance(500.0)
        cluster.beat(all_but=agent)
    status = owner.statuses("t1")[-1]
    assert status.state == "TASK_UNREACHABLE" and m.find_label(status.labels, "retry") == "reconcile"
    assert owner.reconcile("t1").state in ("TASK_RUNNING", "TASK_STARTING", "TASK_UNREACHABLE")
    agent.subscribe(tasks=agent.launches())
    assert owner.statuses("t1")[-1].state in ("TASK_STARTING", "TASK_RUNNING")
    agent.say(attempt, "TASK_FINISHED")
    assert owner.states("t1")[-1] == "TASK_FINISHED" and len(cluster.offered()) == 0
    cluster.check()


def test_agent_back_with_an_unacknowledged_acceptance_places_the_task():
    cluster, owner, agent, attempt = launch_one_task("unsafe")
    agent.link.close("cut")
    agent.subscribe(tasks=[], updates=[agent.status(attempt, "TASK_STARTING")])
    assert owner.states("t1") == ["TASK_STARTING"] and not agent.launches()
    cluster.check()


def test_agent_back_listing_the_task_places_it():
    cluster, owner, agent, attempt = launch_one_task("unsafe")
    held = agent.launches()
    agent.link.close("cut")
    agent.subscribe(tasks=held)
    assert owner.states("t1") == ["TASK_STARTING"]
    agent.say(attempt, "TASK_STARTING")  # its own word for it comes after: stale
    assert owner.states("t1") == ["TASK_STARTING"]
    cluster.check()


def test_same_run_back_without_the_task_never_got_it():
    """Its list is the whole truth, so even an unsafe task may go elsewhere."""
    cluster, owner, agent, _ = launch_one_task("unsafe")
    agent.link.close("cut")
    agent.subscribe()
    offered = [task for a, task in cluster.offered()]
    assert [task.task_id.value[-2:] for task in offered] == [".1"]
    assert owner.states("t1") == []
    cluster.check()


def test_new_run_back_without_the_task_proves_nothing():
    cluster, owner, agent, _ = launch_one_task("unsafe")
    agent.link.close("cut")
    agent.run = "r2"
    agent.subscribe()
    assert cluster.offered() == [] and owner.states("t1") == ["TASK_LOST"]
    assert owner.reconcile("t1").state == "TASK_GONE"
    assert m.find_label(owner.statuses("t1")[-1].labels, "retry") == "never"
    cluster.check()


def test_second_connection_under_one_agent_id_replaces_the_first():
    """And its list is not taken as proof: the old stream may hold a LAUNCH that is yet to be read."""
    cluster, owner, agent, attempt = launch_one_task("unsafe")
    first = agent.link
    twin = Agent(cluster, agent.name, agent.run).subscribe()
    assert first.why == "another connection subscribed under this id" and first.of("ERROR")
    assert cluster.core.membership.session_of(agent.name) is twin.link
    assert not twin.launches() and owner.states("t1") == ["TASK_LOST"]
    other_run = Agent(cluster, agent.name, "r9").subscribe()
    with pytest.raises(NotSubscribedError):
        twin.beat()
    other_run.beat()
    cluster.check()


def test_unknown_agent_is_rejected_and_unknown_task_reconciled_as_unknown():
    cluster, owner, _, _ = launch_one_task()
    with pytest.raises(NotSubscribedError):
        Agent(cluster, "stranger").beat()
    assert owner.reconcile("nothing").state == "TASK_UNKNOWN"
    assert owner.reconcile("t1").state == "TASK_STAGING"


def test_sweep_survives_a_session_that_breaks_while_another_is_cut():
    """Seen in a play: the task goes from the first silent agent to the second, whose connection fails at
    that."""
    cluster = Cluster(2)
    owner = Owner(cluster).subscribe()
    cluster.timing.advance(1_000.0 * cluster.core.options.max_missed_heartbeats - 100.0)
    owner.launch("t1")  # so late that the sweep comes before its time-out
    ((first, _),) = cluster.offered()
    (second,) = (agent for agent in cluster.agents.values() if agent is not first)
    cluster.core.membership.members_by_agent[second.name] = cluster.core.membership.members_by_agent.pop(
        second.name
    )  # swept last
    second.link.fails = True
    cluster.timing.advance(500.0)
    assert first.link.why == "no heartbeat" and second.link.why == "connection lost"
    cluster.check()

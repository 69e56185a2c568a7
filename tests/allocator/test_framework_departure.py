"""Frameworks that kill a task, lose their connection, stay away or connect twice, and their offers."""

from glencleat.mesos import messages as m
from tests.support.core_world import Cluster, Owner, launch_one_task


def test_kill_that_crosses_the_acceptance_stops_the_task():
    cluster, owner, agent, attempt = launch_one_task("unsafe")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    assert owner.states("t1") == [] and agent.kills() == [attempt]  # the answer waits for what became of it
    agent.say(attempt, "TASK_STARTING")
    agent.say(attempt, "TASK_KILLED")
    assert owner.states("t1") == ["TASK_STARTING", "TASK_KILLED"]
    assert not cluster.core.call_table.active_calls and not cluster.core.contract.calls
    cluster.check()


def test_kill_while_the_agent_is_away_stops_the_task_on_its_return():
    """No KILL could be sent; the yes that the agent brings along is stopped then."""
    cluster, owner, agent, attempt = launch_one_task("unsafe")
    held = agent.launches()
    agent.link.close("cut")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    agent.subscribe(tasks=held)
    assert agent.kills() == [attempt]
    agent.say(attempt, "TASK_KILLED")
    assert owner.states("t1") == ["TASK_STARTING", "TASK_KILLED"]
    cluster.check()


def test_kill_that_crosses_a_rejection_ends_as_killed():
    cluster, owner, agent, attempt = launch_one_task("unsafe")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    agent.say(attempt, "TASK_DROPPED", cause="not here")
    assert owner.states("t1") == ["TASK_KILLED"] and len(cluster.offered()) == 1
    cluster.check()


def test_kill_without_an_answer_of_the_agent_leaves_the_task_in_doubt():
    cluster, owner, _, _ = launch_one_task("unsafe")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    for _ in range(7):
        cluster.timing.advance(500.0)
        cluster.beat()
    (status,) = owner.statuses("t1")
    assert status.state == "TASK_LOST" and m.find_label(status.labels, "retry") == "reconcile"
    cluster.check()


def test_answer_is_repeated_on_each_return_until_it_is_acknowledged():
    """The answer waits for its return, and is told again until it is acknowledged."""
    cluster, owner, agent, attempt = launch_one_task("unsafe")
    owner.link.close("cut")
    agent.say(attempt, "TASK_STARTING")
    owner.subscribe()
    assert owner.states("t1") == ["TASK_STARTING"]
    (first,) = owner.statuses("t1")
    owner.link.close("cut again")
    owner.subscribe()
    (again,) = owner.statuses("t1")
    assert again.uuid == first.uuid
    cluster.core.framework_sessions.acknowledge(owner.framework, again.uuid)
    owner.link.close("and again")
    owner.subscribe()
    assert owner.states("t1") == []


def test_unacknowledged_update_is_repeated():
    cluster, owner, agent, attempt = launch_one_task(update_retry_ms=2_000.0)
    agent.say(attempt, "TASK_STARTING")
    for _ in range(3):
        cluster.timing.advance(1_000.0)
        cluster.beat()
    first, second = owner.statuses("t1")
    assert first.uuid == second.uuid


def test_framework_that_stays_away_is_torn_down():
    cluster = Cluster(1)
    owner = Owner(cluster, failover_s=2.0).subscribe()
    owner.launch("t1")
    ((agent, task),) = cluster.offered()
    agent.say(task.task_id.value, "TASK_STARTING")
    owner.launch("t2")
    owner.link.close("gone")
    for _ in range(4):
        agent.beat()
        cluster.timing.advance(1_000.0)
    assert "owner" not in cluster.core.frameworks.frameworks_by_id
    assert task.task_id.value in agent.kills()
    late = agent.launches()[1].task_id.value  # of t2, given up long since
    agent.say(late, "TASK_STARTING")
    assert agent.kills()[-1] == late
    for task in agent.launches():
        agent.say(task.task_id.value, "TASK_KILLED")
    assert not cluster.core.call_table.active_calls
    cluster.check()


def test_second_session_of_a_framework_replaces_the_first():
    cluster = Cluster(1)
    owner = Owner(cluster).subscribe()
    first = owner.link
    owner.subscribe()
    assert (
        first.why == "framework failed over" and first.of("ERROR")[0].error.message == "Framework failed over"
    )
    owner.launch("t1")
    assert len(cluster.offered()) == 1


def test_offers_follow_accept_decline_suppress_and_revive():
    cluster = Cluster(1, offer_interval_ms=1_000.0)
    owner = Owner(cluster).subscribe()

    def later(ms):
        for _ in range(int(ms / 500.0)):
            cluster.timing.advance(500.0)
            cluster.agents["h0"].beat()
        return len(owner.link.of("OFFERS"))

    assert later(3_000.0) == 1
    owner.launch("t1")
    assert later(2_000.0) == 2  # for clients that take an accepted offer as used up
    offer = owner.link.of("OFFERS")[-1].offers.offers[0].id
    cluster.core.framework_sessions.decline(owner.framework, m.Decline([offer], m.Filters(4.0)))
    assert later(3_000.0) == 2
    assert later(2_000.0) == 3
    owner.framework.is_suppressed = True
    owner.launch("t2")
    assert later(3_000.0) == 3
    cluster.core.frameworks.revive(owner.framework, cluster.timing.now())
    assert later(1_000.0) == 4

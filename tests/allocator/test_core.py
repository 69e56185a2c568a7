"""Failure cases of the core on a virtual clock.

Heartbeats that stop during a placement, frameworks that disconnect as the agent accepts, agents that subscribe
again, and updates that come late, twice or out of order.
"""

import pytest

from glencleat import interface as api
from glencleat.allocator import status_mapping
from glencleat.allocator.agent_sessions import NotSubscribedError
from glencleat.allocator.startup_gate import StartupGate
from glencleat.mesos import messages as m
from tests.support.core_world import Agent, Cluster, Owner


def launch_task(cls="safe", machines=2, **options):
    """Returns a cluster, a framework, and the agent and id of the attempt of a task that was just launched."""
    cluster = Cluster(machines, **options)
    owner = Owner(cluster).subscribe()
    owner.launch("t1", cls)
    ((agent, task),) = cluster.offered()
    return cluster, owner, agent, task.task_id.value


def test_a_task_is_placed_runs_and_finishes():
    cluster, owner, agent, attempt = launch_task()
    assert owner.states("t1") == []
    agent.say(attempt, "TASK_STARTING")
    agent.say(attempt, "TASK_RUNNING")
    agent.say(attempt, "TASK_FINISHED")
    assert owner.states("t1") == ["TASK_STARTING", "TASK_RUNNING", "TASK_FINISHED"]
    assert len(agent.link.of("ACKNOWLEDGED")) == 3
    assert cluster.core.counters.answers_by_class["safe", "served"] == 1
    assert not cluster.core.call_table.active_calls_by_number and not cluster.core.module.calls_by_id
    cluster.check()


def test_a_launch_carries_what_the_agent_needs():
    _, _, agent, _ = launch_task("keyed")
    (task,) = agent.launches()
    labels = {label.key: label.value for label in task.labels.labels}
    assert labels["class"] == "keyed" and labels["effect"] == "keyed" and labels["key"] == "t1"
    assert labels["framework"] == "owner" and labels["task"] == "t1" and labels["tenant"] == "tenant"
    assert m.sum_scalar(task.resources, "cpus") == 1.0 and float(labels["answer_within_ms"]) > 0


def test_a_rejected_attempt_is_retried_at_another_machine():
    cluster, owner, agent, attempt = launch_task("unsafe")
    agent.say(attempt, "TASK_DROPPED", cause="cores")
    (_, _), (other, again) = cluster.offered()
    assert other is not agent
    other.say(again.task_id.value, "TASK_STARTING")
    assert owner.states("t1") == ["TASK_STARTING"]


def test_a_rejected_task_reports_its_reasons():
    """Each kind of rejection as the machine reported it, right or wrong: its cause, its count, the last machine."""
    cluster, owner, agent, attempt = launch_task("safe", machines=1)
    agent.say(attempt, "TASK_DROPPED", cause="memory")
    for _ in range(16):
        cluster.timing.advance(500.0)
        agent.beat()
        for task in agent.launches():
            agent.say(task.task_id.value, "TASK_DROPPED", cause="cores")
    (status,) = owner.statuses("t1")
    assert status.state == "TASK_DROPPED"
    newest, oldest = status.message.split("; ")
    assert newest.startswith("refused (cores) ") and newest.endswith(" times, last by h0")
    assert oldest == "refused (memory) by h0"


def test_the_answer_says_that_no_machine_is_known():
    cluster = Cluster(0)
    owner = Owner(cluster).subscribe()
    owner.launch("t1", left=1_000.0)
    cluster.timing.advance(1_000.0)
    assert owner.statuses("t1")[0].message == "no machine is known"


# ---- heartbeats stop during a placement ----


def stop_heartbeats(cluster, agent):
    """Lets time pass without heartbeats of this agent until its session is closed; the others send theirs."""
    for _ in range(8):
        cluster.timing.advance(500.0)
        for other in cluster.agents.values():
            if other is not agent and other.link.why is None:
                other.beat()
        if agent.link.why is not None:
            return
    pytest.fail("the session was not closed")


@pytest.mark.parametrize("written_bytes", [0, 7], ids=["before", "half"])
def test_the_session_is_lost_before_the_launch_is_written_completely(written_bytes):
    """A partially written LAUNCH can't have run: even a non-idempotent task is sent to another machine."""
    cluster = Cluster(2)
    owner = Owner(cluster).subscribe()
    for agent in cluster.agents.values():
        agent.link.hold = True
    owner.launch("t1", "unsafe")
    ((agent, _),) = cluster.offered()
    agent.link.sent += written_bytes
    for other in cluster.agents.values():
        if other is not agent:
            other.link.hold, other.link.sent = False, other.link.queued
    agent.link.close("no heartbeat")
    (_, first), (other, again) = cluster.offered()
    assert other is not agent and again.task_id.value.endswith(".1")
    other.say(again.task_id.value, "TASK_STARTING")
    assert owner.states("t1") == ["TASK_STARTING"]
    cluster.check()


def test_the_session_is_lost_after_the_launch_was_written():
    """The task may have run: a non-idempotent task is not sent again, and its framework is told to reconcile."""
    cluster, owner, agent, _ = launch_task("unsafe")
    stop_heartbeats(cluster, agent)
    cluster.timing.advance(5_000.0)
    assert len(cluster.offered()) == 1
    (status,) = owner.statuses("t1")
    assert status.state == "TASK_LOST" and m.find_label(status.labels, "retry") == "reconcile"
    assert owner.reconcile("t1").state == "TASK_UNREACHABLE"
    cluster.check()


def test_an_idempotent_task_is_retried_as_soon_as_the_session_is_lost():
    cluster, _, agent, _ = launch_task("safe")
    agent.link.close("no heartbeat")
    assert len(cluster.offered()) == 2


def test_the_session_is_lost_after_the_acceptance():
    """The task stays placed; it is unreachable once its agent is lost, and back when the agent subscribes."""
    cluster, owner, agent, attempt = launch_task("unsafe")
    agent.say(attempt, "TASK_STARTING")
    stop_heartbeats(cluster, agent)
    assert owner.states("t1") == ["TASK_STARTING"]
    for _ in range(12):
        cluster.timing.advance(500.0)
        [a.beat() for a in cluster.agents.values() if a is not agent]
    status = owner.statuses("t1")[-1]
    assert status.state == "TASK_UNREACHABLE" and m.find_label(status.labels, "retry") == "reconcile"
    assert owner.reconcile("t1").state in ("TASK_RUNNING", "TASK_STARTING", "TASK_UNREACHABLE")
    agent.subscribe(tasks=agent.launches())
    assert owner.statuses("t1")[-1].state in ("TASK_STARTING", "TASK_RUNNING")
    agent.say(attempt, "TASK_FINISHED")
    assert owner.states("t1")[-1] == "TASK_FINISHED" and len(cluster.offered()) == 0
    cluster.check()


# ---- an agent subscribes again ----


def test_a_subscription_with_an_unacknowledged_acceptance():
    cluster, owner, agent, attempt = launch_task("unsafe")
    agent.link.close("connection lost")
    agent.subscribe(tasks=[], updates=[agent.status(attempt, "TASK_STARTING")])
    assert owner.states("t1") == ["TASK_STARTING"] and not agent.launches()
    cluster.check()


def test_a_subscription_that_only_lists_the_task():
    cluster, owner, agent, attempt = launch_task("unsafe")
    launched_tasks = agent.launches()
    agent.link.close("connection lost")
    agent.subscribe(tasks=launched_tasks)
    assert owner.states("t1") == ["TASK_STARTING"]
    agent.say(attempt, "TASK_STARTING")  # the update of the same step comes later, and is stale
    assert owner.states("t1") == ["TASK_STARTING"]
    cluster.check()


def test_the_same_incarnation_without_the_task_never_received_it():
    """Its list of tasks is complete, so even a non-idempotent task is sent to another machine."""
    cluster, owner, agent, _ = launch_task("unsafe")
    agent.link.close("connection lost")
    agent.subscribe()
    offered = [task for a, task in cluster.offered()]
    assert [task.task_id.value[-2:] for task in offered] == [".1"]
    assert owner.states("t1") == []
    cluster.check()


def test_a_new_incarnation_without_the_task_proves_nothing():
    cluster, owner, agent, _ = launch_task("unsafe")
    agent.link.close("connection lost")
    agent.run = "r2"
    agent.subscribe()
    assert cluster.offered() == [] and owner.states("t1") == ["TASK_LOST"]
    assert owner.reconcile("t1").state == "TASK_GONE"
    assert m.find_label(owner.statuses("t1")[-1].labels, "retry") == "never"
    cluster.check()


def test_a_second_session_under_one_id_closes_the_first():
    """Its list of tasks proves nothing: the old stream may hold a LAUNCH that the agent has yet to read."""
    cluster, owner, agent, attempt = launch_task("unsafe")
    first = agent.link
    twin = Agent(cluster, agent.name, agent.run).subscribe()
    assert first.why == "another connection subscribed under this id" and first.of("ERROR")
    assert cluster.core.membership.session_of(agent.name) is twin.link
    assert not twin.launches() and owner.states("t1") == ["TASK_LOST"]
    new_incarnation = Agent(cluster, agent.name, "r9").subscribe()
    with pytest.raises(NotSubscribedError):
        twin.beat()
    new_incarnation.beat()
    cluster.check()


# ---- late, repeated and out-of-order updates ----


def launch_until_time_out(cls):
    cluster, owner, agent, attempt = launch_task(cls)
    for _ in range(7):
        cluster.timing.advance(500.0)
        for each in cluster.agents.values():
            each.beat()
    return cluster, owner, agent, attempt


def test_a_late_acceptance_of_a_non_idempotent_task_is_adopted():
    """The framework got TASK_LOST and reconciles: it learns that the task runs, and of its end."""
    cluster, owner, agent, attempt = launch_until_time_out("unsafe")
    assert owner.states("t1") == ["TASK_LOST"] and len(cluster.offered()) == 1
    agent.say(attempt, "TASK_STARTING")
    assert not agent.kills()
    status = owner.statuses("t1")[-1]
    assert status.state == "TASK_STARTING" and status.reason == status_mapping.StatusReason.RECONCILIATION
    agent.say(attempt, "TASK_RUNNING")
    assert owner.reconcile("t1").state == "TASK_RUNNING"
    agent.say(attempt, "TASK_FINISHED")
    assert owner.states("t1")[-1] == "TASK_FINISHED"
    assert cluster.core.counters.answers_by_class["unsafe", "failed"] == 1  # the final answer is unchanged
    cluster.check()


def test_a_late_acceptance_of_an_idempotent_task_that_was_retried_is_killed():
    cluster, owner, agent, attempt = launch_task("safe")
    cluster.timing.advance(800.0)
    (_, _), (other, again) = cluster.offered()
    agent.say(attempt, "TASK_STARTING")
    assert (
        agent.kills() == [attempt] and owner.states("t1") == []
    )  # the second attempt is in flight and may be accepted
    other.say(again.task_id.value, "TASK_STARTING")
    assert owner.states("t1") == ["TASK_STARTING"]
    agent.say(attempt, "TASK_KILLED")
    assert owner.states("t1") == ["TASK_STARTING"]
    cluster.check()


def test_a_late_rejection_permits_a_new_launch():
    """The framework learns that the task never ran, and may launch it again."""
    cluster, owner, agent, attempt = launch_until_time_out("unsafe")
    agent.say(attempt, "TASK_DROPPED", cause="not here")
    assert owner.states("t1") == ["TASK_LOST", "TASK_DROPPED"]  # reported once known, and on RECONCILE
    assert owner.reconcile("t1").state == "TASK_DROPPED"
    owner.launch("t1", "unsafe")
    assert len(cluster.offered()) == 2


def test_a_non_idempotent_task_that_may_run_is_not_started_again():
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


def test_a_launch_sent_twice_is_one_call():
    """A client whose connection failed during the call can't know whether the LAUNCH was received."""
    cluster, owner, agent, attempt = launch_task()
    owner.launch("t1")
    assert len(cluster.offered()) == 1 and cluster.core.counters.received_by_class["safe"] == 1
    agent.say(attempt, "TASK_STARTING")
    owner.launch("t1")
    assert owner.states("t1") == ["TASK_STARTING", "TASK_STARTING"] and len(cluster.offered()) == 1
    cluster.check()


def test_repeated_and_out_of_order_updates():
    cluster, owner, agent, attempt = launch_task()
    starting, running = agent.status(attempt, "TASK_STARTING"), agent.status(attempt, "TASK_RUNNING")
    agent.tell(running)
    agent.tell(starting)
    agent.tell(running)
    assert owner.states("t1") == ["TASK_STARTING", "TASK_RUNNING"]
    agent.say(attempt, "TASK_FINISHED")
    agent.tell(running)
    assert owner.states("t1")[-1] == "TASK_FINISHED" and len(owner.states("t1")) == 3
    assert len(agent.link.of("ACKNOWLEDGED")) == 5  # an unacknowledged update would be repeated for ever
    cluster.check()


def test_updates_after_the_end_change_nothing():
    cluster, owner, agent, attempt = launch_task("unsafe")
    for state in ("TASK_STARTING", "TASK_RUNNING", "TASK_FINISHED", "TASK_RUNNING", "TASK_STARTING"):
        agent.say(attempt, state)
    assert owner.states("t1") == ["TASK_STARTING", "TASK_RUNNING", "TASK_FINISHED"]
    assert not agent.kills() and not cluster.core.counters.adopted_by_class
    cluster.check()


def test_a_session_that_fails_while_it_takes_the_launch():
    """The LAUNCH was not written completely: even a non-idempotent task is sent to another machine."""
    cluster = Cluster(2)
    owner = Owner(cluster).subscribe()
    owner.launch("probe", "unsafe")
    ((preferred, _),) = cluster.offered()
    preferred.say(preferred.launches()[0].task_id.value, "TASK_FINISHED")
    preferred.link.fails = True
    owner.launch("t1", "unsafe")
    (agent, task) = cluster.offered()[-1]
    assert agent is not preferred and task.task_id.value.endswith(".1")
    agent.say(task.task_id.value, "TASK_STARTING")
    assert owner.states("t1") == ["TASK_STARTING"]
    cluster.check()


def test_an_end_that_arrives_before_the_acceptance():
    cluster, owner, agent, attempt = launch_task()
    agent.say(attempt, "TASK_FINISHED")
    assert owner.states("t1") == ["TASK_STARTING", "TASK_FINISHED"]
    cluster.check()


@pytest.mark.parametrize(
    ("state", "reason", "reported_state"),
    [
        ("TASK_FAILED", "REASON_CONTAINER_LIMITATION_MEMORY", "TASK_FAILED"),
        ("TASK_KILLED", "REASON_AGENT_DRAINING", "TASK_KILLED"),
        ("TASK_LOST", None, "TASK_FAILED"),
        ("TASK_GONE", None, "TASK_FAILED"),
    ],
)
def test_ends_of_placed_tasks(state, reason, reported_state):
    cluster, owner, agent, attempt = launch_task()
    agent.say(attempt, "TASK_STARTING")
    agent.say(attempt, state, reason)
    assert owner.states("t1") == ["TASK_STARTING", reported_state]
    cluster.check()


# ---- frameworks that cancel or disconnect ----


def test_a_task_is_killed_as_the_agent_accepts_it():
    cluster, owner, agent, attempt = launch_task("unsafe")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    assert owner.states("t1") == [] and agent.kills() == [
        attempt
    ]  # the answer waits for the end of the attempt
    agent.say(attempt, "TASK_STARTING")
    agent.say(attempt, "TASK_KILLED")
    assert owner.states("t1") == ["TASK_STARTING", "TASK_KILLED"]
    assert not cluster.core.call_table.active_calls_by_number and not cluster.core.module.calls_by_id
    cluster.check()


def test_a_task_is_killed_while_its_agent_is_away():
    """No KILL could be sent; it is sent when the agent subscribes with the task."""
    cluster, owner, agent, attempt = launch_task("unsafe")
    launched_tasks = agent.launches()
    agent.link.close("connection lost")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    agent.subscribe(tasks=launched_tasks)
    assert agent.kills() == [attempt]
    agent.say(attempt, "TASK_KILLED")
    assert owner.states("t1") == ["TASK_STARTING", "TASK_KILLED"]
    cluster.check()


def test_a_task_is_killed_and_the_agent_rejects_it():
    cluster, owner, agent, attempt = launch_task("unsafe")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    agent.say(attempt, "TASK_DROPPED", cause="not here")
    assert owner.states("t1") == ["TASK_KILLED"] and len(cluster.offered()) == 1
    cluster.check()


def test_a_task_is_killed_and_the_agent_does_not_answer():
    cluster, owner, _, _ = launch_task("unsafe")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    for _ in range(7):
        cluster.timing.advance(500.0)
        [agent.beat() for agent in cluster.agents.values()]
    (status,) = owner.statuses("t1")
    assert status.state == "TASK_LOST" and m.find_label(status.labels, "retry") == "reconcile"
    cluster.check()


def test_a_framework_disconnects_as_the_agent_accepts():
    """The update waits for the framework's next session, and is repeated until it is acknowledged."""
    cluster, owner, agent, attempt = launch_task("unsafe")
    owner.link.close("connection lost")
    agent.say(attempt, "TASK_STARTING")
    owner.subscribe()
    assert owner.states("t1") == ["TASK_STARTING"]
    (first,) = owner.statuses("t1")
    owner.link.close("connection lost")
    owner.subscribe()
    (again,) = owner.statuses("t1")
    assert again.uuid == first.uuid
    cluster.core.framework_sessions.acknowledge(owner.framework, again.uuid)
    owner.link.close("connection lost")
    owner.subscribe()
    assert owner.states("t1") == []


def test_an_update_that_is_not_acknowledged_is_repeated():
    cluster, owner, agent, attempt = launch_task(update_retry_ms=2_000.0)
    agent.say(attempt, "TASK_STARTING")
    for _ in range(3):
        cluster.timing.advance(1_000.0)
        [each.beat() for each in cluster.agents.values()]
    first, second = owner.statuses("t1")
    assert first.uuid == second.uuid


def test_a_framework_is_removed_after_its_failover_timeout():
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
    late = agent.launches()[1].task_id.value  # of t2, cancelled with its framework
    agent.say(late, "TASK_STARTING")
    assert agent.kills()[-1] == late
    for task in agent.launches():
        agent.say(task.task_id.value, "TASK_KILLED")
    assert not cluster.core.call_table.active_calls_by_number
    cluster.check()


def test_a_second_session_of_a_framework_closes_the_first():
    cluster = Cluster(1)
    owner = Owner(cluster).subscribe()
    first = owner.link
    owner.subscribe()
    assert (
        first.why == "framework failed over" and first.of("ERROR")[0].error.message == "Framework failed over"
    )
    owner.launch("t1")
    assert len(cluster.offered()) == 1


def test_an_unknown_agent_is_refused_and_an_unknown_task_reported_as_unknown():
    cluster, owner, _, _ = launch_task()
    with pytest.raises(NotSubscribedError):
        Agent(cluster, "stranger").beat()
    assert owner.reconcile("nothing").state == "TASK_UNKNOWN"
    assert owner.reconcile("t1").state == "TASK_STAGING"


# ---- invalid requests, and offers ----


@pytest.mark.parametrize(
    ("arguments", "expected_text"),
    [
        ({"cls": "odd"}, "label class is 'odd'"),
        ({"left": "soon"}, "label time_left_ms is 'soon'"),
        ({"left": "nan"}, "label time_left_ms is 'nan'"),
        ({"left": "3"}, "time_left_ms is 3"),
        ({"cores": -1.0}, "resource cpus is -1.0"),
        ({"memory": float("inf")}, "resource mem is inf"),
        ({"service": "s" * 300}, "label service has 300 characters"),
    ],
)
def test_an_invalid_task_is_rejected_with_what_was_expected(arguments, expected_text):
    cluster = Cluster(1)
    owner = Owner(cluster).subscribe()
    owner.launch("t1", **arguments)
    (status,) = owner.statuses("t1")
    assert status.state == "TASK_ERROR" and expected_text in status.message and "expected" in status.message
    assert not cluster.offered()
    cluster.check()


def test_an_offer_that_is_not_valid():
    cluster = Cluster(1)
    owner = Owner(cluster).subscribe()
    info = m.TaskInfo("t1", m.Value("t1"))
    operation = m.Operation("LAUNCH", m.Launch([info]))
    cluster.core.framework_sessions.accept(owner.framework, m.Accept([m.Value("old")], [operation]))
    (status,) = owner.statuses("t1")
    assert (status.state, status.reason) == ("TASK_DROPPED", status_mapping.StatusReason.INVALID_OFFERS)
    cluster.check()


def test_offers_follow_accept_decline_suppress_and_revive():
    cluster = Cluster(1, offer_interval_ms=1_000.0)
    owner = Owner(cluster).subscribe()

    def count_offers_after(ms):
        for _ in range(int(ms / 500.0)):
            cluster.timing.advance(500.0)
            cluster.agents["h0"].beat()
        return len(owner.link.of("OFFERS"))

    assert count_offers_after(3_000.0) == 1
    owner.launch("t1")
    assert count_offers_after(2_000.0) == 2  # some clients count an accepted offer as used up
    offer = owner.link.of("OFFERS")[-1].offers.offers[0].id
    cluster.core.framework_sessions.decline(owner.framework, m.Decline([offer], m.Filters(4.0)))
    assert count_offers_after(3_000.0) == 2
    assert count_offers_after(2_000.0) == 3
    owner.framework.is_suppressed = True
    owner.launch("t2")
    assert count_offers_after(3_000.0) == 3
    cluster.core.frameworks.revive(owner.framework, cluster.timing.now())
    assert count_offers_after(1_000.0) == 4


# ---- machine list, start and shutdown ----


def test_the_machine_list_becomes_empty_and_full_again():
    """Running tasks stay; new ones wait and are placed when machines are listed again."""
    cluster, owner, agent, attempt = launch_task()
    agent.say(attempt, "TASK_STARTING")
    cluster.list([])
    owner.launch("t2")
    cluster.timing.advance(500.0)
    assert len(cluster.offered()) == 1 and owner.states("t2") == []
    cluster.list(["h0", "h1"])
    cluster.timing.advance(500.0)
    assert len(cluster.offered()) == 2
    agent.say(attempt, "TASK_FINISHED")
    assert owner.states("t1")[-1] == "TASK_FINISHED"
    cluster.check()


def test_without_any_machine_a_task_is_rejected_in_time():
    cluster = Cluster(0)
    owner = Owner(cluster).subscribe()
    owner.launch("t1", left=3_000.0)
    cluster.timing.advance(2_990.0)
    (status,) = owner.statuses("t1")
    assert status.state == "TASK_DROPPED" and m.find_label(status.labels, "retry") == "harmless"


def test_tasks_wait_for_the_agents_after_a_restart():
    """Agents report what the previous incarnation placed, which must count before the first LAUNCH."""
    cluster = Cluster(0)
    cluster.core.startup_gate = StartupGate(cluster.timing.now(), 0.0, 60_000.0)
    cluster.list(["h0", "h1"])
    owner = Owner(cluster).subscribe()
    owner.launch("t1")
    cluster.agents = {name: Agent(cluster, name) for name in ("h0", "h1")}
    old = m.TaskInfo(
        "old",
        m.Value("a0-before-1.0"),
        resources=m.make_resources(1.0, 100.0),
        labels=m.Labels(
            [
                m.Label("class", "safe"),
                m.Label("service", "svc"),
                m.Label("framework", "owner"),
                m.Label("task", "old"),
            ]
        ),
    )
    cluster.agents["h0"].subscribe(tasks=[old])
    assert cluster.core.call_table.active_calls_by_number and not cluster.core.startup_gate.is_open
    cluster.agents["h1"].subscribe()
    assert cluster.core.startup_gate.is_open and len(cluster.offered()) == 1
    assert owner.states("old") == ["TASK_STARTING"]
    cluster.agents["h0"].say("a0-before-1.0", "TASK_FINISHED")
    assert owner.states("old")[-1] == "TASK_FINISHED"
    assert (
        cluster.core.counters.received_by_class["safe"] == 1
        and cluster.core.counters.adopted_by_class["safe"] == 1
    )
    cluster.check()


def test_of_two_copies_found_after_a_restart_one_is_killed():
    cluster = Cluster(2)
    old = [
        m.TaskInfo(
            "old",
            m.Value(f"a0-before-1.{i}"),
            resources=m.make_resources(1.0, 100.0),
            labels=m.Labels(
                [
                    m.Label("class", "keyed"),
                    m.Label("framework", "owner"),
                    m.Label("task", "old"),
                ]
            ),
        )
        for i in range(2)
    ]
    for agent, task in zip(cluster.agents.values(), old, strict=True):
        agent.link.close("restart")
        agent.subscribe(tasks=[task])
    first, second = cluster.agents.values()
    assert not first.kills() and second.kills() == ["a0-before-1.1"]


def test_shutdown_becomes_idle_when_all_calls_are_answered():
    cluster, owner, agent, attempt = launch_task("unsafe")
    done = []
    cluster.core.on_idle = lambda: done.append(True)
    cluster.core.begin_shutdown()
    owner.launch("t2")
    status = owner.statuses("t2")[-1]
    assert status.state == "TASK_DROPPED" and "shutting down" in status.message
    assert not done
    agent.say(attempt, "TASK_STARTING")
    assert done and owner.states("t1") == ["TASK_STARTING"]


def test_shutdown_answers_open_calls_at_its_deadline():
    """A task that may run is reported as failed; one that was never sent is rejected."""
    cluster, owner, agent, _ = launch_task("unsafe")
    cluster.list([])
    owner.launch("t2", "unsafe")
    for each in cluster.agents.values():
        each.link.hold = True
    cluster.core.begin_shutdown()
    cluster.core.finish_shutdown()
    assert owner.states("t1") == ["TASK_LOST"] and owner.states("t2") == ["TASK_DROPPED"]
    assert not cluster.core.call_table.open_task_count
    cluster.check()


def test_the_session_of_an_agent_that_does_not_read_is_closed_at_the_time_out():
    """Otherwise the LAUNCH in the send buffer would reach the agent after the attempt was concluded."""
    cluster = Cluster(1)
    owner = Owner(cluster).subscribe()
    agent = cluster.agents["h0"]
    agent.link.hold = True
    owner.launch("t1", "unsafe")
    for _ in range(7):
        cluster.timing.advance(500.0)
        if agent.link.why is None:
            agent.beat()
    assert agent.link.why == "the agent does not read"
    assert owner.reconcile("t1").state in ("TASK_STAGING", "TASK_DROPPED")


def test_counters_that_do_not_add_up_are_reported():
    cluster, _, _, _ = launch_task("unsafe")
    counters = cluster.core.counters
    assert counters.find_mismatches() == {} and counters.count_open_by_class() == {"unsafe": 1}
    counters.received_by_class["unsafe"] += 1
    counters.answers_by_class["keyed", "served"] += 2
    assert counters.find_mismatches() == {"unsafe": 1, "keyed": -2}


def test_a_probe_ends_once():
    cluster = Cluster(1, probe_timeout_ms=500.0)
    core, agent = cluster.core, cluster.agents["h0"]
    core.module.module.handle = lambda now, event: (
        [api.Probe("h0")] if isinstance(event, api.TimerFired) else []
    )
    core.module.timer_count = 5
    core.dispatch_event(api.TimerFired(0))
    payload = m.decode_payload(agent.link.of("MESSAGE")[-1].message.data)
    core.agent_sessions.handle_message(agent.id, m.Payload("report", probe=payload.probe, cores_free=3.0))
    core.agent_sessions.handle_message(agent.id, m.Payload("report", probe=payload.probe))
    assert not core.module.probe_counts_by_machine
    core.dispatch_event(api.TimerFired(0))
    assert core.module.probe_counts_by_machine
    cluster.timing.advance(600.0)
    assert not core.module.probe_counts_by_machine and not core.pending_probes_by_machine


def test_a_late_acceptance_that_was_killed_is_not_adopted_by_its_next_update():
    """The framework was told of a rejection and may launch the task again: two copies would run.

    It occurred when very many tasks were created at once.
    """
    cluster, owner, agent, attempt = launch_task("safe")
    other = next(a for a in cluster.agents.values() if a is not agent)
    other.link.close("gone")
    for _ in range(9):
        agent.beat()
        cluster.timing.advance(1_000.0)  # past the time-out, and past the deadline of the call
    assert owner.states("t1")[-1] in ("TASK_LOST", "TASK_DROPPED")
    agent.say(attempt, "TASK_STARTING")
    assert agent.kills() == [attempt]
    agent.say(attempt, "TASK_RUNNING")
    assert agent.kills() == [attempt, attempt] and owner.states("t1")[-1] in ("TASK_LOST", "TASK_DROPPED")
    assert (
        not cluster.core.call_table.active_calls_by_number
        and sum(cluster.core.counters.adopted_by_class.values()) == 0
    )
    cluster.check()


def test_closing_one_unresponsive_session_may_fail_another_in_the_same_sweep():
    """The task goes from the first unresponsive agent to the second, whose connection fails as it is sent.

    It occurred in a play.
    """
    cluster = Cluster(2)
    owner = Owner(cluster).subscribe()
    cluster.timing.advance(1_000.0 * cluster.core.options.max_missed_heartbeats - 100.0)
    owner.launch("t1")  # so late that the sweep comes before its time-out
    ((first, _),) = cluster.offered()
    (second,) = (agent for agent in cluster.agents.values() if agent is not first)
    members_by_agent = cluster.core.membership.members_by_agent
    members_by_agent[second.name] = members_by_agent.pop(second.name)  # moved to the end: swept last
    second.link.fails = True
    cluster.timing.advance(500.0)
    assert first.link.why == "no heartbeat" and second.link.why == "connection lost"
    cluster.check()

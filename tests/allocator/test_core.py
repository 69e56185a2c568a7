"""The core's hard cases, each caused on a clock of its own: heartbeats that stop in the middle of a
placement,
owners that leave as the machine says yes, agents that come back, answers that come late or twice."""

import pytest

from glencleat import interface as api
from glencleat.allocator import status_mapping
from glencleat.allocator.agent_sessions import NotSubscribedError
from glencleat.allocator.startup_gate import StartupGate
from glencleat.mesos import messages as m
from tests.support.core_world import Agent, Cluster, Owner


def begin(cls="safe", machines=2, **options):
    """A cluster, an owner, and a task whose first LAUNCH is out."""
    cluster = Cluster(machines, **options)
    owner = Owner(cluster).subscribe()
    owner.launch("t1", cls)
    ((agent, task),) = cluster.offered()
    return cluster, owner, agent, task.task_id.value


def test_the_whole_path():
    cluster, owner, agent, attempt = begin()
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
    _, _, agent, _ = begin("keyed")
    (task,) = agent.launches()
    told = {label.key: label.value for label in task.labels.labels}
    assert told["class"] == "keyed" and told["effect"] == "keyed" and told["key"] == "t1"
    assert told["framework"] == "owner" and told["task"] == "t1" and told["tenant"] == "tenant"
    assert m.sum_scalar(task.resources, "cpus") == 1.0 and float(told["answer_within_ms"]) > 0


def test_a_refusal_is_tried_elsewhere():
    cluster, owner, agent, attempt = begin("unsafe")
    agent.say(attempt, "TASK_DROPPED", cause="cores")
    (_, _), (other, again) = cluster.offered()
    assert other is not agent
    other.say(again.task_id.value, "TASK_STARTING")
    assert owner.states("t1") == ["TASK_STARTING"]


def test_a_refused_task_says_why():
    """What each machine last said, its cause and how often: also when it was said wrongly."""
    cluster, owner, agent, attempt = begin("safe", machines=1)
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


def test_an_unplaced_task_says_that_no_machine_is_known():
    cluster = Cluster(0)
    owner = Owner(cluster).subscribe()
    owner.launch("t1", left=1_000.0)
    cluster.timing.advance(1_000.0)
    assert owner.statuses("t1")[0].message == "no machine is known"


# ---- the heartbeat goes quiet while a placement is half done ----


def silent(cluster, agent):
    """No heartbeat of this agent's for as long as it takes, while the others beat."""
    for _ in range(8):
        cluster.timing.advance(500.0)
        for other in cluster.agents.values():
            if other is not agent and other.link.why is None:
                other.beat()
        if agent.link.why is not None:
            return
    pytest.fail("the session was not cut")


@pytest.mark.parametrize("part", [0, 7], ids=["before", "half"])
def test_quiet_before_the_launch_is_written_whole(part):
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


def test_quiet_after_the_launch_was_written_and_unanswered():
    """It may have run: an unsafe task is not sent again, and its owner is told to reconcile."""
    cluster, owner, agent, _ = begin("unsafe")
    silent(cluster, agent)
    cluster.timing.advance(5_000.0)
    assert len(cluster.offered()) == 1
    (status,) = owner.statuses("t1")
    assert status.state == "TASK_LOST" and m.find_label(status.labels, "retry") == "reconcile"
    assert owner.reconcile("t1").state == "TASK_UNREACHABLE"
    cluster.check()


def test_a_safe_task_moves_on_as_soon_as_the_session_is_lost():
    cluster, _, agent, _ = begin("safe")
    agent.link.close("no heartbeat")
    assert len(cluster.offered()) == 2


def test_quiet_after_the_acceptance():
    """The task is placed; an agent away too long makes it unreachable, and its return brings it back."""
    cluster, owner, agent, attempt = begin("unsafe")
    agent.say(attempt, "TASK_STARTING")
    silent(cluster, agent)
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


# ---- the agent comes back ----


def test_it_comes_back_with_an_unacknowledged_yes():
    cluster, owner, agent, attempt = begin("unsafe")
    agent.link.close("cut")
    agent.subscribe(tasks=[], updates=[agent.status(attempt, "TASK_STARTING")])
    assert owner.states("t1") == ["TASK_STARTING"] and not agent.launches()
    cluster.check()


def test_it_comes_back_listing_the_task_only():
    cluster, owner, agent, attempt = begin("unsafe")
    held = agent.launches()
    agent.link.close("cut")
    agent.subscribe(tasks=held)
    assert owner.states("t1") == ["TASK_STARTING"]
    agent.say(attempt, "TASK_STARTING")  # its own word for it comes after: stale
    assert owner.states("t1") == ["TASK_STARTING"]
    cluster.check()


def test_the_same_run_without_the_task_never_got_it():
    """Its list is the whole truth, so even an unsafe task may go elsewhere."""
    cluster, owner, agent, _ = begin("unsafe")
    agent.link.close("cut")
    agent.subscribe()
    offered = [task for a, task in cluster.offered()]
    assert [task.task_id.value[-2:] for task in offered] == [".1"]
    assert owner.states("t1") == []
    cluster.check()


def test_a_new_run_without_the_task_proves_nothing():
    cluster, owner, agent, _ = begin("unsafe")
    agent.link.close("cut")
    agent.run = "r2"
    agent.subscribe()
    assert cluster.offered() == [] and owner.states("t1") == ["TASK_LOST"]
    assert owner.reconcile("t1").state == "TASK_GONE"
    assert m.find_label(owner.statuses("t1")[-1].labels, "retry") == "never"
    cluster.check()


def test_a_second_connection_under_one_id_puts_the_first_out():
    """And its list is not taken as proof: the old stream may hold a LAUNCH that is yet to be read."""
    cluster, owner, agent, attempt = begin("unsafe")
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


# ---- late, double and disordered words ----


def timed_out(cls):
    cluster, owner, agent, attempt = begin(cls)
    for _ in range(7):
        cluster.timing.advance(500.0)
        for each in cluster.agents.values():
            each.beat()
    return cluster, owner, agent, attempt


def test_a_yes_after_the_time_out_of_an_unsafe_task_is_adopted():
    """The owner was told that it failed and reconciles: it runs, and its end is told."""
    cluster, owner, agent, attempt = timed_out("unsafe")
    assert owner.states("t1") == ["TASK_LOST"] and len(cluster.offered()) == 1
    agent.say(attempt, "TASK_STARTING")
    assert not agent.kills()
    told = owner.statuses("t1")[-1]
    assert told.state == "TASK_STARTING" and told.reason == status_mapping.StatusReason.RECONCILIATION
    agent.say(attempt, "TASK_RUNNING")
    assert owner.reconcile("t1").state == "TASK_RUNNING"
    agent.say(attempt, "TASK_FINISHED")
    assert owner.states("t1")[-1] == "TASK_FINISHED"
    assert cluster.core.counters.answers_by_class["unsafe", "failed"] == 1  # the answer stays what it was
    cluster.check()


def test_a_late_yes_of_a_safe_task_that_runs_elsewhere_is_stopped():
    cluster, owner, agent, attempt = begin("safe")
    cluster.timing.advance(800.0)
    (_, _), (other, again) = cluster.offered()
    agent.say(attempt, "TASK_STARTING")
    assert agent.kills() == [attempt] and owner.states("t1") == []  # the second is out, and may come to a yes
    other.say(again.task_id.value, "TASK_STARTING")
    assert owner.states("t1") == ["TASK_STARTING"]
    agent.say(attempt, "TASK_KILLED")
    assert owner.states("t1") == ["TASK_STARTING"]
    cluster.check()


def test_a_late_no_settles_the_task():
    """The owner learns by RECONCILE that nothing ran, and may ask again."""
    cluster, owner, agent, attempt = timed_out("unsafe")
    agent.say(attempt, "TASK_DROPPED", cause="not here")
    assert owner.states("t1") == ["TASK_LOST", "TASK_DROPPED"]  # told as soon as it is known, and on asking
    assert owner.reconcile("t1").state == "TASK_DROPPED"
    owner.launch("t1", "unsafe")
    assert len(cluster.offered()) == 2


def test_an_unsafe_task_that_may_run_is_not_taken_again():
    cluster, owner, agent, _ = timed_out("unsafe")
    owner.launch("t1", "unsafe")
    assert len(cluster.offered()) == 1
    status = owner.statuses("t1")[-1]
    assert status.state == "TASK_UNREACHABLE" and m.find_label(status.labels, "retry") == "reconcile"
    agent.say(cluster.offered()[0][1].task_id.value, "TASK_FINISHED")
    owner.launch("t1", "unsafe")
    assert len(cluster.offered()) == 1
    assert m.find_label(owner.statuses("t1")[-1].labels, "retry") == "never"
    cluster.check()


def test_a_launch_sent_twice_is_one_ask():
    """A client whose connection broke in mid-call can't know whether it was taken."""
    cluster, owner, agent, attempt = begin()
    owner.launch("t1")
    assert len(cluster.offered()) == 1 and cluster.core.counters.received_by_class["safe"] == 1
    agent.say(attempt, "TASK_STARTING")
    owner.launch("t1")
    assert owner.states("t1") == ["TASK_STARTING", "TASK_STARTING"] and len(cluster.offered()) == 1
    cluster.check()


def test_updates_that_come_twice_or_out_of_order():
    cluster, owner, agent, attempt = begin()
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


def test_a_word_after_the_end_changes_nothing():
    cluster, owner, agent, attempt = begin("unsafe")
    for state in ("TASK_STARTING", "TASK_RUNNING", "TASK_FINISHED", "TASK_RUNNING", "TASK_STARTING"):
        agent.say(attempt, state)
    assert owner.states("t1") == ["TASK_STARTING", "TASK_RUNNING", "TASK_FINISHED"]
    assert not agent.kills() and not cluster.core.counters.adopted_by_class
    cluster.check()


def test_a_session_that_fails_while_it_takes_the_launch():
    """Its last byte was never handed over: known not to have run, so an unsafe task goes elsewhere."""
    cluster = Cluster(2)
    owner = Owner(cluster).subscribe()
    owner.launch("probe", "unsafe")
    ((likely, _),) = cluster.offered()
    likely.say(likely.launches()[0].task_id.value, "TASK_FINISHED")
    likely.link.fails = True
    owner.launch("t1", "unsafe")
    (agent, task) = cluster.offered()[-1]
    assert agent is not likely and task.task_id.value.endswith(".1")
    agent.say(task.task_id.value, "TASK_STARTING")
    assert owner.states("t1") == ["TASK_STARTING"]
    cluster.check()


def test_an_end_that_overtook_everything():
    cluster, owner, agent, attempt = begin()
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
def test_ends_of_placed_tasks(state, reason, told):
    cluster, owner, agent, attempt = begin()
    agent.say(attempt, "TASK_STARTING")
    agent.say(attempt, state, reason)
    assert owner.states("t1") == ["TASK_STARTING", told]
    cluster.check()


# ---- owners that leave ----


def test_the_owner_gives_up_just_as_the_machine_says_yes():
    cluster, owner, agent, attempt = begin("unsafe")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    assert owner.states("t1") == [] and agent.kills() == [attempt]  # the answer waits for what became of it
    agent.say(attempt, "TASK_STARTING")
    agent.say(attempt, "TASK_KILLED")
    assert owner.states("t1") == ["TASK_STARTING", "TASK_KILLED"]
    assert not cluster.core.call_table.active_calls_by_number and not cluster.core.module.calls_by_id
    cluster.check()


def test_the_owner_gives_up_while_the_agent_is_away():
    """No KILL could be sent; the yes that the agent brings along is stopped then."""
    cluster, owner, agent, attempt = begin("unsafe")
    held = agent.launches()
    agent.link.close("cut")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    agent.subscribe(tasks=held)
    assert agent.kills() == [attempt]
    agent.say(attempt, "TASK_KILLED")
    assert owner.states("t1") == ["TASK_STARTING", "TASK_KILLED"]
    cluster.check()


def test_the_owner_gives_up_and_the_machine_says_no():
    cluster, owner, agent, attempt = begin("unsafe")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    agent.say(attempt, "TASK_DROPPED", cause="not here")
    assert owner.states("t1") == ["TASK_KILLED"] and len(cluster.offered()) == 1
    cluster.check()


def test_the_owner_gives_up_and_the_machine_says_nothing():
    cluster, owner, _, _ = begin("unsafe")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    for _ in range(7):
        cluster.timing.advance(500.0)
        [agent.beat() for agent in cluster.agents.values()]
    (status,) = owner.statuses("t1")
    assert status.state == "TASK_LOST" and m.find_label(status.labels, "retry") == "reconcile"
    cluster.check()


def test_the_owners_connection_dies_just_as_the_machine_says_yes():
    """The answer waits for its return, and is told again until it is acknowledged."""
    cluster, owner, agent, attempt = begin("unsafe")
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


def test_an_update_that_is_not_acknowledged_is_repeated():
    cluster, owner, agent, attempt = begin(update_retry_ms=2_000.0)
    agent.say(attempt, "TASK_STARTING")
    for _ in range(3):
        cluster.timing.advance(1_000.0)
        [each.beat() for each in cluster.agents.values()]
    first, second = owner.statuses("t1")
    assert first.uuid == second.uuid


def test_an_owner_that_stays_away_is_torn_down():
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
    assert not cluster.core.call_table.active_calls_by_number
    cluster.check()


def test_a_second_session_of_a_framework_puts_the_first_out():
    cluster = Cluster(1)
    owner = Owner(cluster).subscribe()
    first = owner.link
    owner.subscribe()
    assert (
        first.why == "framework failed over" and first.of("ERROR")[0].error.message == "Framework failed over"
    )
    owner.launch("t1")
    assert len(cluster.offered()) == 1


def test_the_agents_id_unknown_and_reconcile_of_the_unknown():
    cluster, owner, _, _ = begin()
    with pytest.raises(NotSubscribedError):
        Agent(cluster, "stranger").beat()
    assert owner.reconcile("nothing").state == "TASK_UNKNOWN"
    assert owner.reconcile("t1").state == "TASK_STAGING"


# ---- what a peer could pile up, and wrong asks ----


@pytest.mark.parametrize(
    ("more", "named"),
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
def test_a_wrong_ask_is_answered_and_says_what_was_expected(more, named):
    cluster = Cluster(1)
    owner = Owner(cluster).subscribe()
    owner.launch("t1", **more)
    (status,) = owner.statuses("t1")
    assert status.state == "TASK_ERROR" and named in status.message and "expected" in status.message
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


def test_offers_follow_what_the_owner_says():
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


# ---- the list, the start and the end ----


def test_the_list_shrinks_to_nothing_and_comes_back():
    """Tasks that run stay; new ones wait for a machine and are placed when the list is back."""
    cluster, owner, agent, attempt = begin()
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


def test_without_any_machine_the_answer_comes_in_time():
    cluster = Cluster(0)
    owner = Owner(cluster).subscribe()
    owner.launch("t1", left=3_000.0)
    cluster.timing.advance(2_990.0)
    (status,) = owner.statuses("t1")
    assert status.state == "TASK_DROPPED" and m.find_label(status.labels, "retry") == "harmless"


def test_asks_wait_for_the_agents_of_a_restarted_allocator():
    """What its former incarnation placed is told by the agents, and must count before the first send."""
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


def test_two_copies_found_after_a_restart_become_one():
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


def test_the_end_answers_all_that_is_held():
    cluster, owner, agent, attempt = begin("unsafe")
    done = []
    cluster.core.on_idle = lambda: done.append(True)
    cluster.core.begin_shutdown()
    owner.launch("t2")
    status = owner.statuses("t2")[-1]
    assert status.state == "TASK_DROPPED" and "shutting down" in status.message
    assert not done
    agent.say(attempt, "TASK_STARTING")
    assert done and owner.states("t1") == ["TASK_STARTING"]


def test_the_end_in_a_bounded_time():
    """What may run is failed; what can't have been sent any more is refused."""
    cluster, owner, agent, _ = begin("unsafe")
    cluster.list([])
    owner.launch("t2", "unsafe")
    for each in cluster.agents.values():
        each.link.hold = True
    cluster.core.begin_shutdown()
    cluster.core.finish_shutdown()
    assert owner.states("t1") == ["TASK_LOST"] and owner.states("t2") == ["TASK_DROPPED"]
    assert not cluster.core.call_table.open_task_count
    cluster.check()


def test_an_agent_that_does_not_read_is_cut_at_the_time_out():
    """Otherwise the LAUNCH in our buffer would reach it after the attempt was given up."""
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


def test_figures_that_do_not_add_up_are_told():
    cluster, _, _, _ = begin("unsafe")
    figures = cluster.core.counters
    assert figures.find_mismatches() == {} and figures.count_open_by_class() == {"unsafe": 1}
    figures.received_by_class["unsafe"] += 1
    figures.answers_by_class["keyed", "served"] += 2
    assert figures.find_mismatches() == {"unsafe": 1, "keyed": -2}


def test_probes_come_back_once():
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


def test_a_late_yes_that_was_stopped_is_not_adopted_by_its_next_status():
    """Its owner was told `refused`, and asks again: it must not find two. Seen under a crowd of creations."""
    cluster, owner, agent, attempt = begin("safe")
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
    assert (
        not cluster.core.call_table.active_calls_by_number
        and sum(cluster.core.counters.adopted_by_class.values()) == 0
    )
    cluster.check()


def test_the_end_of_one_silent_session_may_break_another_in_the_same_sweep():
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

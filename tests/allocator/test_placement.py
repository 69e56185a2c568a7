"""Placing a task: the LAUNCH, rejections, repeats, probes, and requests that are wrong."""

import pytest

from glencleat import interface as api
from glencleat.allocator import status_mapping
from glencleat.mesos import messages as m
from tests.support.core_world import (
    Cluster,
    Owner,
    launch_one_task,
)


def test_task_that_runs_to_its_end_is_reported_and_forgotten():
    cluster, owner, agent, attempt = launch_one_task()
    assert owner.states("t1") == []
    agent.say(attempt, "TASK_STARTING")
    agent.say(attempt, "TASK_RUNNING")
    agent.say(attempt, "TASK_FINISHED")
    assert owner.states("t1") == ["TASK_STARTING", "TASK_RUNNING", "TASK_FINISHED"]
    assert len(agent.link.of("ACKNOWLEDGED")) == 3
    assert cluster.core.counters.answered["safe", "served"] == 1
    assert not cluster.core.call_table.active_calls and not cluster.core.contract.calls
    cluster.check()


def test_launch_carries_what_the_agent_needs():
    _, _, agent, _ = launch_one_task("keyed")
    (task,) = agent.launches()
    told = {label.key: label.value for label in task.labels.labels}
    assert told["class"] == "keyed" and told["effect"] == "keyed" and told["key"] == "t1"
    assert told["framework"] == "owner" and told["task"] == "t1" and told["tenant"] == "tenant"
    assert m.sum_scalar(task.build_resources, "cpus") == 1.0 and float(told["answer_within_ms"]) > 0


def test_rejected_attempt_is_retried_elsewhere():
    cluster, owner, agent, attempt = launch_one_task("unsafe")
    agent.say(attempt, "TASK_DROPPED", cause="cores")
    (_, _), (other, again) = cluster.offered()
    assert other is not agent
    other.say(again.task_id.value, "TASK_STARTING")
    assert owner.states("t1") == ["TASK_STARTING"]


def test_rejected_task_says_what_each_machine_last_said():
    """What each machine last said, its cause and how often: also when it was said wrongly."""
    cluster, owner, agent, attempt = launch_one_task("safe", machines=1)
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


def test_unplaced_task_says_that_no_machine_is_known():
    cluster = Cluster(0)
    owner = Owner(cluster).subscribe()
    owner.launch("t1", left=1_000.0)
    cluster.timing.advance(1_000.0)
    assert owner.statuses("t1")[0].message == "no machine is known"


def test_launch_sent_twice_is_one_call():
    """A client whose connection broke in mid-call can't know whether it was taken."""
    cluster, owner, agent, attempt = launch_one_task()
    owner.launch("t1")
    assert len(cluster.offered()) == 1 and cluster.core.counters.taken["safe"] == 1
    agent.say(attempt, "TASK_STARTING")
    owner.launch("t1")
    assert owner.states("t1") == ["TASK_STARTING", "TASK_STARTING"] and len(cluster.offered()) == 1
    cluster.check()


def test_session_that_fails_while_it_takes_the_launch_moves_the_task_on():
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
def test_wrong_request_is_answered_and_says_what_was_expected(more, named):
    cluster = Cluster(1)
    owner = Owner(cluster).subscribe()
    owner.launch("t1", **more)
    (status,) = owner.statuses("t1")
    assert status.state == "TASK_ERROR" and named in status.message and "expected" in status.message
    assert not cluster.offered()
    cluster.check()


def test_launch_on_an_invalid_offer_is_dropped():
    cluster = Cluster(1)
    owner = Owner(cluster).subscribe()
    info = m.TaskInfo("t1", m.Value("t1"))
    operation = m.Operation("LAUNCH", m.Launch([info]))
    cluster.core.framework_sessions.accept(owner.framework, m.Accept([m.Value("old")], [operation]))
    (status,) = owner.statuses("t1")
    assert (status.state, status.reason) == ("TASK_DROPPED", status_mapping.INVALID_OFFERS)
    cluster.check()


def test_probe_ends_once_by_answer_or_time_out():
    cluster = Cluster(1, probe_timeout_ms=500.0)
    core, agent = cluster.core, cluster.agents["h0"]
    core.contract.policy.handle = lambda now, event: (
        [api.Probe("h0")] if isinstance(event, api.TimerFired) else []
    )
    core.contract.pending_timers = 5
    core.dispatch(api.TimerFired(0))
    payload = m.decode_payload(agent.link.of("MESSAGE")[-1].message.data)
    core.agent_sessions.message(agent.id, m.Payload("report", probe=payload.probe, cores_free=3.0))
    core.agent_sessions.message(agent.id, m.Payload("report", probe=payload.probe))
    assert not core.contract.pending_probes
    core.dispatch(api.TimerFired(0))
    assert core.contract.pending_probes
    cluster.timing.advance(600.0)
    assert not core.contract.pending_probes and not core.probes.pending_by_machine


def test_counters_that_do_not_add_up_are_found():
    cluster, _, _, _ = launch_one_task("unsafe")
    figures = cluster.core.counters
    assert figures.find_mismatches() == {} and figures.count_open_by_class() == {"unsafe": 1}
    figures.taken["unsafe"] += 1
    figures.answered["keyed", "served"] += 2
    assert figures.find_mismatches() == {"unsafe": 1, "keyed": -2}


def test_agent_that_does_not_read_is_cut_at_the_time_out():
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

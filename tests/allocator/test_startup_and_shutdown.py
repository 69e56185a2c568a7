"""Machine lists that shrink, restarts of the allocator, and its graceful shutdown."""

from glencleat.allocator.startup_gate import StartupGate
from glencleat.mesos import messages as m
from tests.support.core_world import Agent, Cluster, Owner, launch_one_task


def test_empty_machine_list_holds_new_tasks_until_it_is_back():
    """Tasks that run stay; new ones wait for a machine and are placed when the list is back."""
    cluster, owner, agent, attempt = launch_one_task()
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


def test_task_without_any_machine_is_answered_in_time():
    cluster = Cluster(0)
    owner = Owner(cluster).subscribe()
    owner.launch("t1", left=3_000.0)
    cluster.timing.advance(2_990.0)
    (status,) = owner.statuses("t1")
    assert status.state == "TASK_DROPPED" and m.find_label(status.labels, "retry") == "harmless"


def test_calls_wait_for_the_agents_of_a_restarted_allocator():
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
        resources=m.build_resources(1.0, 100.0),
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
    assert cluster.core.call_table.active_calls and not cluster.core.startup_gate.is_open
    cluster.agents["h1"].subscribe()
    assert cluster.core.startup_gate.is_open and len(cluster.offered()) == 1
    assert owner.states("old") == ["TASK_STARTING"]
    cluster.agents["h0"].say("a0-before-1.0", "TASK_FINISHED")
    assert owner.states("old")[-1] == "TASK_FINISHED"
    assert cluster.core.counters.taken["safe"] == 1 and cluster.core.counters.adopted["safe"] == 1
    cluster.check()


def test_second_copy_found_after_a_restart_is_killed():
    cluster = Cluster(2)
    old = [
        m.TaskInfo(
            "old",
            m.Value(f"a0-before-1.{i}"),
            resources=m.build_resources(1.0, 100.0),
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


def test_shutdown_is_idle_once_all_calls_are_answered():
    cluster, owner, agent, attempt = launch_one_task("unsafe")
    done = []
    cluster.core.on_idle = lambda: done.append(True)
    cluster.core.begin_shutdown()
    owner.launch("t2")
    status = owner.statuses("t2")[-1]
    assert status.state == "TASK_DROPPED" and "shutting down" in status.message
    assert not done
    agent.say(attempt, "TASK_STARTING")
    assert done and owner.states("t1") == ["TASK_STARTING"]


def test_shutdown_out_of_time_answers_every_call():
    """What may run is failed; what can't have been sent any more is refused."""
    cluster, owner, agent, _ = launch_one_task("unsafe")
    cluster.list([])
    owner.launch("t2", "unsafe")
    for each in cluster.agents.values():
        each.link.hold = True
    cluster.core.begin_shutdown()
    cluster.core.finish_shutdown()
    assert owner.states("t1") == ["TASK_LOST"] and owner.states("t2") == ["TASK_DROPPED"]
    assert not cluster.core.call_table.unanswered_count
    cluster.check()

"""RECONCILE of frameworks: held until agents have told, answered in turns, bounded."""

from glencleat.allocator import reconciliation
from glencleat.allocator.reconciliation import ANSWERS_PER_TURN
from glencleat.mesos import messages as m
from tests.support.core_world import Agent, Cluster, Owner


def reconcile(cluster, owner, *names):
    cluster.core.framework_sessions.reconcile(
        owner.framework, [m.ReconcileTask(m.Value(name)) for name in names]
    )


def test_reconcile_waits_until_agents_have_listed_their_tasks(starting_cluster):
    """'Unknown' of a task that runs has its owner ask again and again, or start it anew."""
    cluster, owner = starting_cluster
    cluster.list(["h0"])
    reconcile(cluster, owner, "old")
    reconcile(cluster, owner)
    cluster.timing.advance(100.0)
    assert owner.statuses() == []
    labels = [m.Label(*pair) for pair in (("class", "safe"), ("framework", "owner"), ("task", "old"))]
    old = m.TaskInfo(
        "old", m.Value("a0-before-1.0"), resources=m.resources(1.0, 100.0), labels=m.Labels(labels)
    )
    cluster.agents = {"h0": Agent(cluster, "h0").subscribe(tasks=[old])}
    cluster.timing.advance(1.0)
    told = [s for s in owner.statuses("old") if s.reason == "REASON_RECONCILIATION"]
    assert (
        {s.state for s in told} == {"TASK_STARTING"}
        and len(told) >= 2
        and cluster.core.framework_sessions.reconciling.waiting == 0
    )


def test_frameworks_that_reconcile_at_once_take_turns_and_none_is_lost():
    cluster = Cluster(1)
    crowd = [Owner(cluster, f"o{i}").subscribe() for i in range(3)]
    line = cluster.core.framework_sessions.reconciling
    for owner in crowd:
        reconcile(cluster, owner, *(f"t{i}" for i in range(500)))
        reconcile(
            cluster, owner, *(f"t{i}" for i in range(ANSWERS_PER_TURN, 500))
        )  # it waits: the same question
    assert line.waiting == 1_500 - ANSWERS_PER_TURN
    assert len(crowd[0].statuses()) == ANSWERS_PER_TURN  # it was alone in the first turn
    before = [len(owner.statuses()) for owner in crowd]
    cluster.timing.advance(0.0)
    assert all(len(owner.statuses()) > said for owner, said in zip(crowd, before, strict=True))
    cluster.timing.advance(1.0)
    assert [len(owner.statuses()) for owner in crowd] == [500] * 3 and not line.lines and line.waiting == 0


def test_waiting_reconciles_are_bounded_and_go_with_their_framework(monkeypatch):
    monkeypatch.setattr(reconciliation, "MOST", 600)
    cluster = Cluster(1)
    cluster.core.startup_gate.is_open = False
    owner, other = Owner(cluster).subscribe(), Owner(cluster, "other").subscribe()
    reconcile(cluster, owner, *(f"t{i}" for i in range(700)))
    assert cluster.core.framework_sessions.reconciling.waiting == 600
    assert cluster.core.counters.events["reconcile turned away"] == 1
    reconcile(cluster, other, "t1")
    owner.link.close("gone")
    cluster.core.startup_gate.is_open = True
    reconcile(cluster, other, "t2")
    assert cluster.core.framework_sessions.reconciling.waiting == 0 and not owner.statuses()
    assert not cluster.core.framework_sessions.reconciling.lines

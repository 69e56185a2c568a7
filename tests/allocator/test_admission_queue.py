"""The line of an allocator that has just started: who goes when, who is told at once, what hosts see of it."""

import heapq
from dataclasses import replace

import pytest

from glencleat.allocator import reconciliation
from glencleat.allocator.reconciliation import ANSWERS_PER_TURN
from glencleat.allocator.startup_gate import StartupGate
from glencleat.flow_control.slow_start import MAX_WINDOW, MIN_REMAINING_MS, SlowStart
from glencleat.mesos import messages as m
from glencleat.mesos.http import Request
from glencleat.servers.metrics import MetricsApi
from tests.support.core_world import Agent, Cluster, Owner

ALLOCATORS, HOSTS, HELD = 300, 40, 30
TAKES_MS, LINE, TIMEOUT_MS = (
    8.0,
    32,
    500.0,
)  # of a host: time for one set-up, how many wait, what is waited for


def opened_at_once(first):
    """All become ready in one instant, each with HELD asks: set-ups that ran into time-outs, the last placed.

    `first` None is no slow start. Hosts in turn; what comes too late is tried again at once."""
    starts = [SlowStart(first if first is not None else HELD) for _ in range(ALLOCATORS)]
    waiting = [HELD] * ALLOCATORS
    free_at, events, order, lost, last = [0.0] * HOSTS, [], 0, 0, 0.0

    def send(i, now):
        nonlocal order
        while waiting[i] and (first is None or starts[i].free_window()):
            waiting[i] -= 1
            starts[i].record_sent()
            host, order = (i + order) % HOSTS, order + 1
            queue = (free_at[host] - now) / TAKES_MS
            done = max(now, free_at[host]) + TAKES_MS
            if queue < LINE:
                free_at[host] = done
            placed = queue < LINE and done - now <= TIMEOUT_MS
            heapq.heappush(events, (done if placed else now + TIMEOUT_MS, order, i, placed))

    for i in range(ALLOCATORS):
        starts[i].begin(0.0)
        send(i, 0.0)
    while events:
        now, _, i, placed = heapq.heappop(events)
        starts[i].record_answer(now, placed)
        lost, last = lost + (not placed), max(last, now)
        waiting[i] += not placed
        send(i, now)
    return lost, last


def test_hundreds_that_open_at_once_spare_the_hosts():
    """By model: with all at once four in five of the first set-ups run into their time-out."""
    before, took = opened_at_once(None)
    after, eased = opened_at_once(HOSTS / ALLOCATORS)
    assert before > 10_000 and after < 0.1 * before
    assert eased < 1.5 * took  # and it costs no time to speak of


def test_the_window_follows_what_is_placed():
    start = SlowStart(0.1)
    assert start.free_window() == 1  # never none: nobody would ever learn
    start.begin(0.0)
    for turn in range(4):
        count = start.free_window()
        assert count == 2**turn
        for _ in range(count):
            start.record_sent()
        for _ in range(count):
            start.record_answer(10.0 * turn, was_placed=True)
    for _ in range(16):
        start.record_sent()
    for _ in range(16):
        start.record_answer(600.0, was_placed=False)
    assert start.window == 8.0  # halved once for all that were out together
    for _ in range(3 * int(MAX_WINDOW)):
        start.record_answer(700.0, was_placed=True)
    assert start.window == MAX_WINDOW


def test_a_rate_counts_once_it_no_longer_grows():
    start = SlowStart(4.0)
    start.begin(0.0)
    for slot, count in enumerate((10, 40, 160, 170)):  # in 250 ms each; the last one no longer grows
        assert start.estimate_wait_ms(1_000) == 0.0
        for i in range(count):
            start.record_answer(250.0 * (slot + (i + 1) / count), was_placed=True)
    assert 1_400.0 < start.estimate_wait_ms(1_000 + start.free_window()) < 1_600.0
    assert start.estimate_wait_ms(start.free_window()) == 0.0


@pytest.fixture
def held():
    """A cluster of which nothing is known yet, and an owner."""
    cluster = Cluster(0)
    cluster.core.startup_gate = StartupGate(cluster.timing.now(), 0.0, 60_000.0)
    return cluster, Owner(cluster).subscribe()


def opens(cluster, count):
    names = [f"h{i}" for i in range(count)]
    cluster.list(names)
    cluster.agents = {name: Agent(cluster, name).subscribe() for name in names}


def test_the_line_goes_by_worth_and_time_left_in_a_window_that_grows(held):
    cluster, owner = held
    for number, left in enumerate((8_000.0, 3_000.0, 5_000.0, 4_000.0)):
        owner.launch(f"t{number}", left=left)
    cluster.core.classes_by_name["unsafe"] = replace(cluster.core.classes_by_name["unsafe"], weight=9.0)
    owner.launch("u", cls="unsafe", left=8_000.0)
    opens(cluster, 2)
    cluster.timing.advance(20.0)
    sent = lambda: {  # noqa: E731
        call.task_id
        for call in cluster.core.call_table.active_calls_by_number.values()
        if call.is_placement_requested
    }
    assert sent() == {"u", "t1"}
    for agent, task in cluster.offered():
        agent.say(task.task_id.value, "TASK_STARTING")
    cluster.timing.advance(1.0)
    assert sent() == {"u", "t0", "t1", "t2", "t3"} and cluster.core.admission_queue.is_bypassed
    cluster.check()


def test_a_task_in_the_line_is_refused_when_its_time_is_over(held):
    cluster, owner = held
    api = MetricsApi(cluster.core)
    ready = lambda: api.handle(Request("GET", "/ready", {}, b""))  # noqa: E731
    owner.launch("t1", left=1_000.0)
    assert (ready().status, ready().body) == (503, b"no machine is listed yet\n")
    cluster.timing.advance(1_000.0 - 50.0 - MIN_REMAINING_MS - 5.0)
    assert owner.states("t1") == []
    cluster.timing.advance(
        10.0
    )  # not at the very end: an ask that was 76 ms on its way had its answer too late
    assert owner.states("t1") == ["TASK_DROPPED"]
    cluster.list(["h0", "h1"])
    assert (
        ready().status == 503 and ready().headers["retry-after"] == "1" and b"what they run" in ready().body
    )
    opens(cluster, 1)
    assert not cluster.offered() and cluster.core.admission_queue.is_bypassed
    assert ready().status == 200
    cluster.core.is_shutting_down = True
    assert ready().body == b"shutting down\n"
    cluster.check()


def test_a_task_whose_time_is_over_as_the_line_opens_is_not_sent(held):
    cluster, owner = held
    owner.launch("t1", left=1_000.0)
    (call,) = cluster.core.call_table.active_calls_by_number.values()
    cluster.timing.at += (
        call.task_request.remaining_ms
    )  # its own timer is due in the same turn, and comes after
    opens(cluster, 1)
    assert (
        not cluster.offered() and not call.is_placement_requested and owner.states("t1") == ["TASK_DROPPED"]
    )
    cluster.check()


def test_one_taken_back_from_the_line_is_not_sent(held):
    cluster, owner = held
    owner.launch("t1")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    opens(cluster, 1)
    assert not cluster.offered() and owner.states("t1") == ["TASK_KILLED"]
    cluster.check()


def test_what_has_no_turn_in_time_is_told_at_once(held):
    """Hosts that answer one set-up in 100 ms: of hundreds with 3 s each most are known to come too late."""
    cluster, owner = held
    for number in range(400):
        owner.launch(f"t{number}", cores=0.01, memory=1.0, left=3_000.0)
    opens(cluster, 2)
    answered = set()
    for _ in range(15):
        cluster.timing.advance(100.0)
        for agent, task in [one for one in cluster.offered() if one[1].task_id.value not in answered][:2]:
            answered.add(task.task_id.value)
            agent.say(task.task_id.value, "TASK_STARTING")
    dropped = [status for status in owner.statuses() if status.state == "TASK_DROPPED"]
    assert cluster.core.admission_queue.rejected_count == len(dropped) > 250
    assert 0 < len(cluster.core.admission_queue.calls_by_position) < 60
    cluster.check()


# ---- RECONCILE ----


def asks(cluster, owner, *names):
    cluster.core.framework_sessions.reconcile(
        owner.framework, [m.ReconcileTask(m.Value(name)) for name in names]
    )


def test_nothing_is_said_of_tasks_before_agents_have_told(held):
    """'Unknown' of a task that runs has its owner ask again and again, or start it anew."""
    cluster, owner = held
    cluster.list(["h0"])
    asks(cluster, owner, "old")
    asks(cluster, owner)
    cluster.timing.advance(100.0)
    assert owner.statuses() == []
    labels = [m.Label(*pair) for pair in (("class", "safe"), ("framework", "owner"), ("task", "old"))]
    old = m.TaskInfo(
        "old", m.Value("a0-before-1.0"), resources=m.make_resources(1.0, 100.0), labels=m.Labels(labels)
    )
    cluster.agents = {"h0": Agent(cluster, "h0").subscribe(tasks=[old])}
    cluster.timing.advance(1.0)
    told = [s for s in owner.statuses("old") if s.reason == "REASON_RECONCILIATION"]
    assert (
        {s.state for s in told} == {"TASK_STARTING"}
        and len(told) >= 2
        and cluster.core.framework_sessions.reconciliation_queue.waiting_count == 0
    )


def test_a_crowd_that_reconciles_takes_turns_and_none_is_lost():
    cluster = Cluster(1)
    crowd = [Owner(cluster, f"o{i}").subscribe() for i in range(3)]
    line = cluster.core.framework_sessions.reconciliation_queue
    for owner in crowd:
        asks(cluster, owner, *(f"t{i}" for i in range(500)))
        asks(cluster, owner, *(f"t{i}" for i in range(ANSWERS_PER_TURN, 500)))  # it waits: the same question
    assert line.waiting_count == 1_500 - ANSWERS_PER_TURN
    assert len(crowd[0].statuses()) == ANSWERS_PER_TURN  # it was alone in the first turn
    before = [len(owner.statuses()) for owner in crowd]
    cluster.timing.advance(0.0)
    assert all(len(owner.statuses()) > said for owner, said in zip(crowd, before, strict=True))
    cluster.timing.advance(1.0)
    assert (
        [len(owner.statuses()) for owner in crowd] == [500] * 3
        and not line.questions_by_framework
        and line.waiting_count == 0
    )


def test_questions_are_bounded_and_go_with_their_owner(monkeypatch):
    monkeypatch.setattr(reconciliation, "MAX_WAITING", 600)
    cluster = Cluster(1)
    cluster.core.startup_gate.is_open = False
    owner, other = Owner(cluster).subscribe(), Owner(cluster, "other").subscribe()
    asks(cluster, owner, *(f"t{i}" for i in range(700)))
    assert cluster.core.framework_sessions.reconciliation_queue.waiting_count == 600
    assert cluster.core.counters.counts_by_event["reconcile turned away"] == 1
    asks(cluster, other, "t1")
    owner.link.close("gone")
    cluster.core.startup_gate.is_open = True
    asks(cluster, other, "t2")
    assert cluster.core.framework_sessions.reconciliation_queue.waiting_count == 0 and not owner.statuses()
    assert not cluster.core.framework_sessions.reconciliation_queue.questions_by_framework

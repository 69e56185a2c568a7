"""The admission queue after a start: release order, early rejection, and the load that hosts see; RECONCILE."""

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

ALLOCATORS, HOSTS, QUEUED_CALLS = 300, 40, 30  # calls: of each allocator
# Time that a host needs for an attempt, length of its queue, and the time-out of an attempt.
ATTEMPT_MS, HOST_QUEUE_LENGTH, TIMEOUT_MS = 8.0, 32, 500.0


def simulate_simultaneous_start(initial_window):
    """Opens all allocators in one instant, each with QUEUED_CALLS calls.

    With `initial_window` None there is no slow start. Each allocator uses the hosts in turn; an attempt that
    times out is retried at once. Returns the number of attempts that timed out, and the time of the last answer.
    """
    starts = [
        SlowStart(initial_window if initial_window is not None else QUEUED_CALLS) for _ in range(ALLOCATORS)
    ]
    waiting = [QUEUED_CALLS] * ALLOCATORS
    free_at, events, order, timed_out_count, last = [0.0] * HOSTS, [], 0, 0, 0.0

    def send(i, now):
        nonlocal order
        while waiting[i] and (initial_window is None or starts[i].free_window()):
            waiting[i] -= 1
            starts[i].record_sent()
            host, order = (i + order) % HOSTS, order + 1
            queue = (free_at[host] - now) / ATTEMPT_MS
            done = max(now, free_at[host]) + ATTEMPT_MS
            if queue < HOST_QUEUE_LENGTH:
                free_at[host] = done
            placed = queue < HOST_QUEUE_LENGTH and done - now <= TIMEOUT_MS
            heapq.heappush(events, (done if placed else now + TIMEOUT_MS, order, i, placed))

    for i in range(ALLOCATORS):
        starts[i].begin(0.0)
        send(i, 0.0)
    while events:
        now, _, i, placed = heapq.heappop(events)
        starts[i].record_answer(now, placed)
        timed_out_count, last = timed_out_count + (not placed), max(last, now)
        waiting[i] += not placed
        send(i, now)
    return timed_out_count, last


def test_slow_start_prevents_time_outs_when_all_allocators_open_at_once():
    """Without slow start, four in five of the first attempts in this model time out."""
    timed_out_at_once, duration_at_once = simulate_simultaneous_start(None)
    timed_out_slow_start, duration_slow_start = simulate_simultaneous_start(HOSTS / ALLOCATORS)
    assert timed_out_at_once > 10_000 and timed_out_slow_start < 0.1 * timed_out_at_once
    assert duration_slow_start < 1.5 * duration_at_once


def test_the_window_grows_with_placements_and_halves_on_failures():
    start = SlowStart(0.1)
    assert start.free_window() == 1  # never 0: without an answer the window would never grow
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
    assert start.window == 8.0  # halved once for all that were in flight together
    for _ in range(3 * int(MAX_WINDOW)):
        start.record_answer(700.0, was_placed=True)
    assert start.window == MAX_WINDOW


def test_the_rate_is_used_once_it_no_longer_grows():
    start = SlowStart(4.0)
    start.begin(0.0)
    for slot, count in enumerate(
        (10, 40, 160, 170)
    ):  # in a slot of 250 ms each; the last rate no longer grows
        assert start.estimate_wait_ms(1_000) == 0.0
        for i in range(count):
            start.record_answer(250.0 * (slot + (i + 1) / count), was_placed=True)
    assert 1_400.0 < start.estimate_wait_ms(1_000 + start.free_window()) < 1_600.0
    assert start.estimate_wait_ms(start.free_window()) == 0.0


@pytest.fixture
def starting():
    """A cluster without machines or agents whose gate is closed, and a framework."""
    cluster = Cluster(0)
    cluster.core.startup_gate = StartupGate(cluster.timing.now(), 0.0, 60_000.0)
    return cluster, Owner(cluster).subscribe()


def list_and_subscribe(cluster, count):
    names = [f"h{i}" for i in range(count)]
    cluster.list(names)
    cluster.agents = {name: Agent(cluster, name).subscribe() for name in names}


def test_the_queue_is_released_by_weight_and_deadline_in_a_growing_window(starting):
    cluster, owner = starting
    for number, left in enumerate((8_000.0, 3_000.0, 5_000.0, 4_000.0)):
        owner.launch(f"t{number}", left=left)
    cluster.core.classes_by_name["unsafe"] = replace(cluster.core.classes_by_name["unsafe"], weight=9.0)
    owner.launch("u", cls="unsafe", left=8_000.0)
    list_and_subscribe(cluster, 2)
    cluster.timing.advance(20.0)
    requested_tasks = lambda: {  # noqa: E731
        call.task_id
        for call in cluster.core.call_table.active_calls_by_number.values()
        if call.is_placement_requested
    }
    assert requested_tasks() == {"u", "t1"}
    for agent, task in cluster.offered():
        agent.say(task.task_id.value, "TASK_STARTING")
    cluster.timing.advance(1.0)
    assert requested_tasks() == {"u", "t0", "t1", "t2", "t3"} and cluster.core.admission_queue.is_bypassed
    cluster.check()


def test_a_queued_task_is_rejected_at_its_deadline(starting):
    cluster, owner = starting
    api = MetricsApi(cluster.core)
    ready = lambda: api.handle(Request("GET", "/ready", {}, b""))  # noqa: E731
    owner.launch("t1", left=1_000.0)
    assert (ready().status, ready().body) == (503, b"no machine is listed yet\n")
    cluster.timing.advance(1_000.0 - 50.0 - MIN_REMAINING_MS - 5.0)
    assert owner.states("t1") == []
    # Rejected MIN_REMAINING_MS early: an answer at the deadline came too late for a call 76 ms in transit.
    cluster.timing.advance(10.0)
    assert owner.states("t1") == ["TASK_DROPPED"]
    cluster.list(["h0", "h1"])
    assert (
        ready().status == 503 and ready().headers["retry-after"] == "1" and b"what they run" in ready().body
    )
    list_and_subscribe(cluster, 1)
    assert not cluster.offered() and cluster.core.admission_queue.is_bypassed
    assert ready().status == 200
    cluster.core.is_shutting_down = True
    assert ready().body == b"shutting down\n"
    cluster.check()


def test_a_task_at_its_deadline_as_the_queue_opens_is_not_sent(starting):
    cluster, owner = starting
    owner.launch("t1", left=1_000.0)
    (call,) = cluster.core.call_table.active_calls_by_number.values()
    cluster.timing.at += call.task_request.remaining_ms  # its own timer is due in this turn, and runs later
    list_and_subscribe(cluster, 1)
    assert (
        not cluster.offered() and not call.is_placement_requested and owner.states("t1") == ["TASK_DROPPED"]
    )
    cluster.check()


def test_a_task_killed_in_the_queue_is_not_sent(starting):
    cluster, owner = starting
    owner.launch("t1")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    list_and_subscribe(cluster, 1)
    assert not cluster.offered() and owner.states("t1") == ["TASK_KILLED"]
    cluster.check()


def test_a_task_whose_turn_would_come_too_late_is_rejected_early(starting):
    """Two hosts answer two attempts every 100 ms: of 400 tasks with 3 s each, most can't be placed in time."""
    cluster, owner = starting
    for number in range(400):
        owner.launch(f"t{number}", cores=0.01, memory=1.0, left=3_000.0)
    list_and_subscribe(cluster, 2)
    answered = set()
    for _ in range(15):
        cluster.timing.advance(100.0)
        for agent, task in [item for item in cluster.offered() if item[1].task_id.value not in answered][:2]:
            answered.add(task.task_id.value)
            agent.say(task.task_id.value, "TASK_STARTING")
    dropped = [status for status in owner.statuses() if status.state == "TASK_DROPPED"]
    assert cluster.core.admission_queue.rejected_count == len(dropped) > 250
    assert 0 < len(cluster.core.admission_queue.calls_by_position) < 60
    cluster.check()


# ---- RECONCILE ----


def reconcile(cluster, owner, *names):
    cluster.core.framework_sessions.reconcile(
        owner.framework, [m.ReconcileTask(m.Value(name)) for name in names]
    )


def test_reconcile_is_not_answered_before_agents_have_reported(starting):
    """A running task reported as unknown would make its client ask again and again, or start it a second time."""
    cluster, owner = starting
    cluster.list(["h0"])
    reconcile(cluster, owner, "old")
    reconcile(cluster, owner)
    cluster.timing.advance(100.0)
    assert owner.statuses() == []
    labels = [m.Label(*pair) for pair in (("class", "safe"), ("framework", "owner"), ("task", "old"))]
    old = m.TaskInfo(
        "old", m.Value("a0-before-1.0"), resources=m.make_resources(1.0, 100.0), labels=m.Labels(labels)
    )
    cluster.agents = {"h0": Agent(cluster, "h0").subscribe(tasks=[old])}
    cluster.timing.advance(1.0)
    reported = [s for s in owner.statuses("old") if s.reason == "REASON_RECONCILIATION"]
    assert (
        {s.state for s in reported} == {"TASK_STARTING"}
        and len(reported) >= 2
        and cluster.core.framework_sessions.reconciliation_queue.waiting_count == 0
    )


def test_concurrent_reconciliations_take_turns_and_none_is_lost():
    cluster = Cluster(1)
    owners = [Owner(cluster, f"o{i}").subscribe() for i in range(3)]
    queue = cluster.core.framework_sessions.reconciliation_queue
    for owner in owners:
        reconcile(cluster, owner, *(f"t{i}" for i in range(500)))
        reconcile(
            cluster, owner, *(f"t{i}" for i in range(ANSWERS_PER_TURN, 500))
        )  # still queued: the same questions
    assert queue.waiting_count == 1_500 - ANSWERS_PER_TURN
    assert len(owners[0].statuses()) == ANSWERS_PER_TURN  # nobody else was in the first turn
    counts_before = [len(owner.statuses()) for owner in owners]
    cluster.timing.advance(0.0)
    assert all(
        len(owner.statuses()) > count_before
        for owner, count_before in zip(owners, counts_before, strict=True)
    )
    cluster.timing.advance(1.0)
    assert (
        [len(owner.statuses()) for owner in owners] == [500] * 3
        and not queue.questions_by_framework
        and queue.waiting_count == 0
    )


def test_queued_questions_are_bounded_and_dropped_with_their_framework(monkeypatch):
    monkeypatch.setattr(reconciliation, "MAX_WAITING", 600)
    cluster = Cluster(1)
    cluster.core.startup_gate.is_open = False
    owner, other = Owner(cluster).subscribe(), Owner(cluster, "other").subscribe()
    reconcile(cluster, owner, *(f"t{i}" for i in range(700)))
    assert cluster.core.framework_sessions.reconciliation_queue.waiting_count == 600
    assert cluster.core.counters.counts_by_event["reconcile turned away"] == 1
    reconcile(cluster, other, "t1")
    owner.link.close("gone")
    cluster.core.startup_gate.is_open = True
    reconcile(cluster, other, "t2")
    assert cluster.core.framework_sessions.reconciliation_queue.waiting_count == 0 and not owner.statuses()
    assert not cluster.core.framework_sessions.reconciliation_queue.questions_by_framework

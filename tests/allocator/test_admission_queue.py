"""The admission queue after a start: order, time limits, hopeless calls, and the load that machines see."""

import heapq
from dataclasses import replace

from glencleat.flow_control.slow_start import ANSWER_MARGIN_MS, WINDOW_MOST, SlowStart
from glencleat.mesos.http import Request
from glencleat.servers.metrics import MetricsApi
from tests.support.core_world import Agent

ALLOCATORS = 300
HOSTS = 40
HELD = 30  # calls of each allocator
SETUP_MS = 8.0  # a host's time for one task
HOST_QUEUE_LENGTH = 32
TIMEOUT_MS = 500.0


def simulate_simultaneous_start(first):
    """All become ready in one instant, each with HELD calls.

    Returns how many attempts timed out and when the last was placed. `first` None is no slow start. Hosts in turn; what comes too late is tried again at once."""
    starts = [SlowStart(first if first is not None else HELD) for _ in range(ALLOCATORS)]
    waiting = [HELD] * ALLOCATORS
    free_at, events, order, lost, last = [0.0] * HOSTS, [], 0, 0, 0.0

    def send(i, now):
        nonlocal order
        while waiting[i] and (first is None or starts[i].room()):
            waiting[i] -= 1
            starts[i].sent()
            host, order = (i + order) % HOSTS, order + 1
            queue = (free_at[host] - now) / SETUP_MS
            done = max(now, free_at[host]) + SETUP_MS
            if queue < HOST_QUEUE_LENGTH:
                free_at[host] = done
            placed = queue < HOST_QUEUE_LENGTH and done - now <= TIMEOUT_MS
            heapq.heappush(events, (done if placed else now + TIMEOUT_MS, order, i, placed))

    for i in range(ALLOCATORS):
        starts[i].begin(0.0)
        send(i, 0.0)
    while events:
        now, _, i, placed = heapq.heappop(events)
        starts[i].back(now, placed)
        lost, last = lost + (not placed), max(last, now)
        waiting[i] += not placed
        send(i, now)
    return lost, last


def test_slow_start_spares_hosts_when_hundreds_open_at_once():
    """By model: with all at once four in five of the first set-ups run into their time-out."""
    before, took = simulate_simultaneous_start(None)
    after, eased = simulate_simultaneous_start(HOSTS / ALLOCATORS)
    assert before > 10_000 and after < 0.1 * before
    assert eased < 1.5 * took  # and it costs no time to speak of


def test_window_doubles_when_placed_and_halves_once_when_not():
    start = SlowStart(0.1)
    assert start.room() == 1  # never none: nobody would ever learn
    start.begin(0.0)
    for turn in range(4):
        count = start.room()
        assert count == 2**turn
        for _ in range(count):
            start.sent()
        for _ in range(count):
            start.back(10.0 * turn, placed=True)
    for _ in range(16):
        start.sent()
    for _ in range(16):
        start.back(600.0, placed=False)
    assert start.window == 8.0  # halved once for all that were out together
    for _ in range(3 * int(WINDOW_MOST)):
        start.back(700.0, placed=True)
    assert start.window == WINDOW_MOST


def test_rate_counts_once_it_no_longer_grows():
    start = SlowStart(4.0)
    start.begin(0.0)
    for slot, count in enumerate((10, 40, 160, 170)):  # in 250 ms each; the last one no longer grows
        assert start.wait_ms(1_000) == 0.0
        for i in range(count):
            start.back(250.0 * (slot + (i + 1) / count), placed=True)
    assert 1_400.0 < start.wait_ms(1_000 + start.room()) < 1_600.0
    assert start.wait_ms(start.room()) == 0.0


def subscribe_agents(cluster, count):
    names = [f"h{i}" for i in range(count)]
    cluster.list(names)
    cluster.agents = {name: Agent(cluster, name).subscribe() for name in names}


def test_queue_goes_by_weight_and_time_left_in_a_growing_window(starting_cluster):
    cluster, owner = starting_cluster
    for number, left in enumerate((8_000.0, 3_000.0, 5_000.0, 4_000.0)):
        owner.launch(f"t{number}", left=left)
    cluster.core.classes_by_name["unsafe"] = replace(cluster.core.classes_by_name["unsafe"], weight=9.0)
    owner.launch("u", cls="unsafe", left=8_000.0)
    subscribe_agents(cluster, 2)
    cluster.timing.advance(20.0)

    def sent():
        calls = cluster.core.call_table.active_calls.values()
        return {call.task_id for call in calls if call.is_requested}

    assert sent() == {"u", "t1"}
    for agent, task in cluster.offered():
        agent.say(task.task_id.value, "TASK_STARTING")
    cluster.timing.advance(1.0)
    assert sent() == {"u", "t0", "t1", "t2", "t3"} and cluster.core.admission_queue.is_finished
    cluster.check()


def test_queued_task_is_rejected_when_its_time_is_over(starting_cluster):
    cluster, owner = starting_cluster
    api = MetricsApi(cluster.core)
    ready = lambda: api.handle(Request("GET", "/ready", {}, b""))  # noqa: E731
    owner.launch("t1", left=1_000.0)
    assert (ready().status, ready().body) == (503, b"no machine is listed yet\n")
    cluster.timing.advance(1_000.0 - 50.0 - ANSWER_MARGIN_MS - 5.0)
    assert owner.states("t1") == []
    cluster.timing.advance(
        10.0
    )  # not at the very end: an ask that was 76 ms on its way had its answer too late
    assert owner.states("t1") == ["TASK_DROPPED"]
    cluster.list(["h0", "h1"])
    assert (
        ready().status == 503 and ready().headers["retry-after"] == "1" and b"what they run" in ready().body
    )
    subscribe_agents(cluster, 1)
    assert not cluster.offered() and cluster.core.admission_queue.is_finished
    assert ready().status == 200
    cluster.core.is_shutting_down = True
    assert ready().body == b"shutting down\n"
    cluster.check()


def test_task_whose_time_is_over_as_the_queue_opens_is_not_sent(starting_cluster):
    cluster, owner = starting_cluster
    owner.launch("t1", left=1_000.0)
    (call,) = cluster.core.call_table.active_calls.values()
    cluster.timing.at += call.request.remaining_ms  # its own timer is due in the same turn, and comes after
    subscribe_agents(cluster, 1)
    assert not cluster.offered() and not call.is_requested and owner.states("t1") == ["TASK_DROPPED"]
    cluster.check()


def test_task_killed_in_the_queue_is_not_sent(starting_cluster):
    cluster, owner = starting_cluster
    owner.launch("t1")
    cluster.core.framework_sessions.kill(owner.framework, "t1")
    subscribe_agents(cluster, 1)
    assert not cluster.offered() and owner.states("t1") == ["TASK_KILLED"]
    cluster.check()


def test_task_without_a_turn_in_time_is_rejected_at_once(starting_cluster):
    """Hosts that answer one set-up in 100 ms: of hundreds with 3 s each most are known to come too late."""
    cluster, owner = starting_cluster
    for number in range(400):
        owner.launch(f"t{number}", cores=0.01, memory=1.0, left=3_000.0)
    subscribe_agents(cluster, 2)
    answered = set()
    for _ in range(15):
        cluster.timing.advance(100.0)
        for agent, task in [one for one in cluster.offered() if one[1].task_id.value not in answered][:2]:
            answered.add(task.task_id.value)
            agent.say(task.task_id.value, "TASK_STARTING")
    dropped = [status for status in owner.statuses() if status.state == "TASK_DROPPED"]
    assert cluster.core.admission_queue.rejected_count == len(dropped) > 250
    assert 0 < len(cluster.core.admission_queue.waiting_calls) < 60
    cluster.check()

"""The whole path on real sockets: daemon against stand-ins, and against peers that mean no good."""

import json
import logging
import os
import signal
import socket
import subprocess
import sys
import threading
import urllib.request
from pathlib import Path
from random import Random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from glencleat import interface as api
from glencleat.allocator.agent_sessions import NotSubscribedError
from glencleat.event_loop import Listener, Loop
from glencleat.flow_control.backoff import Backoff
from glencleat.mesos import messages as m
from glencleat.mesos.http import HttpError, Request
from glencleat.servers.directory_client import DirectoryClient
from glencleat.servers.executor_api import ExecutorApi
from glencleat.servers.scheduler_api import SchedulerApi
from tests.support.core_world import Cluster, Owner
from tests.support.daemon_world import CONF, PACE, World


@pytest.fixture
def world(tmp_path):
    made = []

    def make(**more):
        made.append(World(tmp_path, **more))
        return made[-1]

    yield make
    for each in made:
        each.close()


def test_tasks_run_from_launch_to_end(world):
    day = world()
    owner = day.owner()
    for i in range(30):
        owner.request_task(
            day.job(f"t{i}", *(("store-compact", "unsafe") if i % 3 == 0 else ("pull-front", "safe")))
        )
    day.until(lambda: not owner.jobs_by_id)
    for i in range(30):
        assert day.states(owner, f"t{i}") == ["TASK_STARTING", "TASK_RUNNING", "TASK_FINISHED"]
    day.until(lambda: not day.core.frameworks.frameworks_by_id[owner.framework_id].unacknowledged_by_uuid)
    assert not day.core.call_table.active_calls_by_number and not day.core.module.calls_by_id
    assert all(not s.unacknowledged for h in day.hosts for s in h.sessions_by_allocator.values())
    assert day.broken() == [] and day.core.counters.find_mismatches() == {}


def test_metrics_add_up_over_http(world):
    day = world()
    owner = day.owner()
    owner.request_task(day.job("t1", life=60_000.0))
    day.until(lambda: day.states(owner, "t1"))
    answers = []

    def scrape():
        address = day.bound["metrics"]
        with urllib.request.urlopen(f"http://{address[0]}:{address[1]}/metrics", timeout=5) as told:
            answers.append(told.read().decode())

    thread = threading.Thread(target=scrape)
    thread.start()
    day.until(lambda: answers)
    thread.join()
    assert 'glencleat_tasks_taken_total{class="pull-front"} 1.0' in answers[0]
    assert 'glencleat_tasks_answered_total{answer="served",class="pull-front"} 1.0' in answers[0]
    assert "glencleat_tasks_mismatch 0.0" in answers[0]


def test_an_agent_whose_network_swallows_all_comes_back_with_its_updates(world):
    """Heartbeats stop, the session is cut, the task is unreachable; what ended meanwhile is told on
    return."""
    day = world(hosts=1)
    owner = day.owner()
    owner.request_task(day.job("t1", "store-compact", "unsafe", life=700.0))
    day.until(lambda: "TASK_RUNNING" in day.states(owner, "t1"))
    (session,) = day.hosts[0].sessions_by_allocator.values()
    session.pause()
    day.until(lambda: "TASK_UNREACHABLE" in day.states(owner, "t1"))
    day.until(lambda: session.unacknowledged)
    session.resume()
    day.until(lambda: day.states(owner, "t1")[-1] == "TASK_FINISHED")
    assert sum(e.kind == "started" for e in day.recorder.entries) == 1 and day.broken() == []


def test_a_late_yes_after_a_pause_is_adopted(world):
    """The LAUNCH lies unread until after its time-out; the owner hears `failed`, then that it runs."""
    day = world(hosts=1, conf="answer-margin 50ms\n")
    owner = day.owner()
    (session,) = day.hosts[0].sessions_by_allocator.values()
    session.pause()
    owner.request_task(day.job("t1", "store-compact", "unsafe", life=400.0))
    day.until(lambda: "TASK_LOST" in day.states(owner, "t1"))
    session.resume()
    day.until(lambda: "TASK_FINISHED" in day.states(owner, "t1"))
    assert sum(e.kind == "started" for e in day.recorder.entries) == 1 and day.broken() == []


def test_a_launch_that_an_agent_never_read_goes_elsewhere_even_if_unsafe(world):
    """Its bytes still lie in our buffer at the time-out: the session is cut, so they can never arrive."""
    day = world(hosts=2)
    owner = day.owner()
    stuck, other = day.hosts
    other.stop("not yet")
    day.until(lambda: day.core.serving_machines == {stuck.name})
    (session,) = stuck.sessions_by_allocator.values()
    session.pause()
    link = day.core.membership.session_of(stuck.name)
    link.stream.max_unsent_bytes = 1 << 30
    while not link.stream.send_buffer:
        link.send(b'{"type":"HEARTBEAT"}' + b" " * 60_000)
    owner.request_task(day.job("t1", "store-compact", "unsafe"))
    day.until(lambda: any(a.machine == stuck.name for a in day.core.call_table.attempts_by_id.values()))
    for member in day.core.membership.members_by_agent.values():
        member.last_heard_at_ms = day.loop.now() + 60_000.0  # only the time-out may end it
    other.start(cold=False)
    day.until(lambda: "TASK_STARTING" in day.states(owner, "t1"), 6_000.0)
    session.resume()
    day.until(lambda: "TASK_FINISHED" in day.states(owner, "t1"))
    offered = [e.who for e in day.recorder.entries if e.kind == "offered"]
    assert offered == [other.name] and day.broken() == []
    assert any(more.get("why") == "the agent does not read" for _, more in day.log.lines)


def test_the_owners_connection_dies_as_the_machine_says_yes(world):
    day = world(hosts=1)
    owner = day.owner()
    owner.request_task(day.job("t1", life=60_000.0))
    day.until(lambda: any(e.kind == "offered" for e in day.recorder.entries))
    owner.disconnect()
    day.until(lambda: "TASK_STARTING" in day.states(owner, "t1"))
    assert day.broken() == []


def test_an_owner_that_does_not_read_is_cut_off_and_loses_nothing(world):
    """Its answers wait, unacknowledged, for its next session; others are served meanwhile."""
    day = world()
    slow, brisk = day.owner("slow"), day.owner("brisk")
    slow.is_slow = True
    for i in range(40):
        slow.request_task(day.job(f"s{i}", life=60_000.0))
    framework = day.core.frameworks.frameworks_by_id[slow.framework_id]
    day.until(lambda: day.core.counters.answers_by_class["pull-front", "served"] == 40)
    stream = framework.session.stream
    stream.max_unsent_bytes = 10  # as if its socket had been full for long
    stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    i = 0
    while framework.session is not None:
        if i < 40:  # more would fill the hosts, and then nothing is told any more
            slow.request_task(day.job(f"u{i}", life=60_000.0))
        brisk.request_task(day.job(f"b{i}", life=50.0))
        day.until(lambda i=i: "TASK_RUNNING" in day.states(brisk, f"b{i}"))
        if framework.session is not None:
            framework.session.send(
                b'{"type":"HEARTBEAT"}' + b" " * 60_000
            )  # its socket fills in a few rounds
        i += 1
        assert i < 400
    slow.is_slow = False
    day.until(lambda: framework.session is not None and not framework.unacknowledged_by_uuid, 20_000.0)
    assert all("TASK_STARTING" in day.states(slow, f"s{i}") for i in range(40))
    assert day.broken() == []


def test_the_directory_fails_and_shrinks(world):
    day = world()
    owner = day.owner()
    day.directory.fail()
    owner.request_task(day.job("t1"))
    day.until(lambda: "TASK_FINISHED" in day.states(owner, "t1"))  # the last list still counts
    day.directory.recover()
    day.until(lambda: day.directory.watchers)
    day.directory.empty_list()
    day.until(lambda: day.core.serving_machines == set())
    owner.request_task(day.job("t2"))
    day.until(lambda: day.core.call_table.open_task_count == 1)
    day.directory.restore_list()
    day.until(lambda: "TASK_FINISHED" in day.states(owner, "t2"))
    assert day.broken() == []


def test_a_directory_that_is_back_is_heard_before_the_module_asks(world):
    """The module's steps grow to 4 s: after a long outage allocators came back up to 5 s late."""
    day = world()
    day.directory.fail()
    day.until(lambda: day.core.module.module.machine_list.retry_delay_ms >= 1_000.0)
    day.core.module.module.machine_list.retry_at_ms = day.loop.now() + 60_000.0
    day.directory.recover()
    day.until(lambda: day.daemon.directory_client.subscribed_at_ms is not None, 1_000.0)
    tries, whole = day.daemon.directory_client.attempt_count, []
    day.daemon.directory_client.on_update = whole.append
    day.daemon.directory_client.watch()  # the subscription that is there is the answer: no second whole list
    assert [event.kind for event in whole] == [api.ListUpdateKind.SNAPSHOT] and len(whole[0].machines) == len(
        day.hosts
    )
    day.until(lambda: True)
    assert day.daemon.directory_client.attempt_count == tries and len(day.directory.watchers) == 1


def test_the_end_answers_what_is_held_and_ends(world):
    day = world()
    owner = day.owner()
    for host in day.hosts:
        host.machine.faults.is_silent = True
    owner.request_task(day.job("t1", "store-compact", "unsafe"))
    day.until(lambda: any(e.kind == "offered" for e in day.recorder.entries))
    day.loop.is_running = True
    day.daemon.stop()
    day.until(lambda: not day.loop.is_running, 10_000.0)
    assert day.states(owner, "t1") == ["TASK_LOST"] and not day.core.call_table.open_task_count


@pytest.mark.parametrize(
    "stream",
    [
        b"104857600\n" + b"x" * 4_000,
        b"5\nabcde",
        b'17\n{"type": "\xff\xfe...."}',
        b'{"type": "SUBSCRIBED"}',
        b'76\n{"type": "AGENT_ADDED", "agent_added": {"agent": {"agent_info": {"id": 7}}}}',
    ],
    ids=["100 MB", "no JSON", "bad UTF-8", "no length", "wrong type"],
)
def test_a_directory_that_talks_nonsense_is_a_failed_list(stream):
    """Nothing of it reaches the module but that the list failed; what was known stays."""
    loop, told = Loop(), []

    def serve(peer):
        yield from peer.read()
        peer.send(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(stream), stream)
        )

    listener = Listener(loop, ("127.0.0.1", 0), lambda peer: loop.spawn(serve(peer), "directory"))
    client = DirectoryClient(loop, listener.address, told.append, Backoff(PACE, Random(1)))
    client.watch()
    wait(loop, lambda: told)
    assert [event.kind for event in told] == [api.ListUpdateKind.FAILED]
    listener.close()


def test_a_directory_that_falls_silent_is_a_failed_list():
    loop, told = Loop(), []
    listener = Listener(loop, ("127.0.0.1", 0), lambda peer: None)
    client = DirectoryClient(
        loop, listener.address, told.append, Backoff(PACE, Random(1)), silence_timeout_ms=50.0
    )
    client.watch()
    wait(loop, lambda: told)
    assert [event.kind for event in told] == [api.ListUpdateKind.FAILED]
    listener.close()


def wait(loop, done, ms=3_000.0):
    until = loop.now() + ms
    while not done():
        assert loop.now() < until
        loop.call_in(5.0, lambda: None)
        loop.run_once()


@pytest.mark.parametrize(
    "answer, least, most",
    [
        (b"", 0.0, 25.0),
        (b"HTTP/1.1 503 \r\ncontent-length: 0\r\nretry-after: 2\r\n\r\n", 2_000.0, 2_025.0),
        (b"HTTP/1.1 503 \r\ncontent-length: 0\r\nretry-after: 999999\r\n\r\n", 60_000.0, 60_025.0),
        (b"HTTP/1.1 503 \r\ncontent-length: 0\r\nretry-after: Wed, 21 Oct\r\n\r\n", 0.0, 25.0),
        (b"HTTP/1.1 503 \r\ncontent-length: 0\r\nretry-after: -5\r\n\r\n", 0.0, 25.0),
    ],
    ids=["closed", "2 s", "days", "a date", "nonsense"],
)
def test_a_directory_that_turns_us_away_is_asked_again_when_it_says(answer, least, most):
    """The module may ask at once and more than once: the turn is kept, and no connection comes before it."""
    loop, told, came = Loop(), [], []

    def serve(peer):
        came.append(loop.now())
        yield from peer.read()
        peer.send(answer)
        peer.close()

    listener = Listener(loop, ("127.0.0.1", 0), lambda peer: loop.spawn(serve(peer), "directory"))
    client = DirectoryClient(loop, listener.address, told.append, Backoff(PACE, Random(1)))
    client.watch()
    wait(loop, lambda: told)
    assert least <= client.next_attempt_at_ms - loop.now() <= most
    due = client.next_attempt_at_ms
    if least > 0.0:
        client.next_attempt_at_ms = due = loop.now() + 60.0  # a test does not wait for seconds
    loop.cancel(client.task)
    client.task = None  # what waits for its turn as it was before
    for _ in range(3):
        client.watch()
    wait(loop, lambda: len(told) == 2)
    assert len(came) == client.attempt_count == 2 and came[1] >= due
    assert [event.kind for event in told] == [api.ListUpdateKind.FAILED] * 2
    listener.close()


# ---- peers that mean no good ----


def talk(day, data, name="owners", shut=False):
    """Sends bytes from a plain socket and gives what comes back until the daemon closes."""
    got = []

    def speak():
        with socket.create_connection(day.bound[name], timeout=5) as sock:
            try:
                sock.sendall(data)
                if shut:
                    sock.shutdown(socket.SHUT_WR)
                while more := sock.recv(65_536):
                    got.append(more)
            except OSError:
                pass
        done.set()

    done = threading.Event()
    threading.Thread(target=speak).start()
    day.until(done.is_set, 8_000.0)
    return b"".join(got)


def post(body, target="/api/v1/scheduler", headers=b"Content-Type: application/json\r\n"):
    length = b"Content-Length: %d\r\nConnection: close\r\n" % len(body)
    return b"POST %b HTTP/1.1\r\nHost: a\r\n%b%b\r\n%b" % (target.encode(), length, headers, body)


STREAM = b"Content-Type: application/json\r\nMesos-Stream-Id: x\r\n"


@pytest.mark.parametrize(
    ("data", "status", "named"),
    [
        (post(b"{}"), 400, b"missing required field `type`"),
        (post(b'{"type": "\xff\xfe"}'), 400, b"Failed to parse body"),
        (post(b'{"type": 7}'), 400, b"Expected `str`, got `int`"),
        (post(b'{"type": "DANCE"}'), 400, b"expected one of SUBSCRIBE"),
        (post(b'{"type": "SUBSCRIBE"}'), 400, b"Expecting 'subscribe' to be present"),
        (post(b'{"type": "KILL"}'), 400, b"Expecting 'framework_id' to be present"),
        (post(b'{"type": "KILL", "framework_id": {"value": "f"}}'), 400, b"'Mesos-Stream-Id' header"),
        (post(b'{"type": "KILL", "framework_id": {"value": "f"}}', headers=STREAM), 403, b"not subscribed"),
        (post(b"{}", headers=b"Content-Type: application/x-protobuf\r\n"), 415, b"expected application/json"),
        (post(b"{}", target="/api/v2/scheduler"), 404, b"expected /api/v1/scheduler"),
        (b"GET /api/v1/scheduler HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 405, b"expected POST"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 104857600\r\n\r\n", 413, b"104857600 bytes"),
        (b"\x00\x01\x02\r\n\r\n", 400, b""),
    ],
)
def test_wrong_calls_are_told_what_was_expected(world, data, status, named):
    day = world(hosts=0)
    answer = talk(day, data)
    assert answer.startswith(b"HTTP/1.1 %d" % status) and named in answer


SUBSCRIBE = b'{"type":"SUBSCRIBE","subscribe":{"framework_info":{"user":"u","name":"n"}}}'


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"HEAD /api/v1/scheduler HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 405),
        (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 501),
        (b"OPTIONS * HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 404),
        (b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, close\r\nUpgrade: h2c\r\n\r\n", 404),
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 404),
        (post(SUBSCRIBE).replace(b"HTTP/1.1", b"HTTP/1.0"), 505),
        (post(SUBSCRIBE, headers=b"Content-Type: application/json\r\nExpect: a miracle\r\n"), 200),
    ],
)
def test_odd_methods_and_versions_get_an_answer(world, data, status):
    day = world(hosts=0)
    answer = talk(day, data, shut=True)
    assert answer.startswith(b"HTTP/1.1 %d" % status), answer[:200]
    assert talk(day, post(b"{}")).startswith(b"HTTP/1.1 400")  # and the daemon serves on


def test_a_slow_loris_is_cut_off(world):
    """Its head drips in; the limit runs from its first byte, not from the last."""
    day = world(hosts=0, conf="limit request 200ms\n")
    closed = threading.Event()

    def drip():
        with socket.create_connection(day.bound["owners"], timeout=5) as sock:
            try:
                for byte in b"POST /api/v1/scheduler HTTP/1.1\r\nHost: " + b"a" * 10_000:
                    sock.send(bytes([byte]))
                    sock.settimeout(0.01)
                    try:
                        if sock.recv(1) == b"":
                            break
                    except TimeoutError:
                        continue
            except OSError:
                pass
        closed.set()

    threading.Thread(target=drip).start()
    day.until(closed.is_set, 5_000.0)


def test_thousands_of_connects_at_once_leave_room_for_the_subscribed(world):
    day = world(hosts=2, conf="limit connections 100\n")
    owner = day.owner()
    crowd, full = [], threading.Event()

    def rush():
        for _ in range(2_000):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(day.bound["owners"])
            crowd.append(sock)
        full.set()

    threading.Thread(target=rush).start()
    day.until(full.is_set)
    day.until(lambda: day.daemon.servers["owners"].refused_count > 1_800)
    owner.request_task(day.job("t1"))
    day.until(lambda: "TASK_FINISHED" in day.states(owner, "t1"))
    for sock in crowd:
        sock.close()
    assert len(day.daemon.servers["owners"].listener.open_streams) <= 100


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=8,
)
VALUE = st.builds(lambda v: {"value": v}, st.sampled_from(["owner", "t1", "t2", "pool", "", "h0.r1"]))
TASK = st.fixed_dictionaries(
    {"name": st.just("n"), "task_id": VALUE},
    optional={
        "resources": st.lists(
            st.fixed_dictionaries({
                "name": st.sampled_from(["cpus", "mem"]),
                "scalar": st.builds(lambda v: {"value": v}, st.floats(-1, 1e6) | st.just(1e308)),
            }),
            max_size=3,
        ),
        "labels": st.builds(
            lambda pairs: {"labels": [{"key": k, "value": v} for k, v in pairs]},
            st.lists(st.tuples(
                st.sampled_from(["class", "time_left_ms", "life_ms", "service", "framework", "task"]),
                st.sampled_from(["safe", "unsafe", "keyed", "100", "-1", "x", "1e400", "owner", "t1"]),
            ), max_size=4),
        ),
    },
)  # fmt: skip
STATUS = st.fixed_dictionaries(
    {"task_id": VALUE, "state": st.sampled_from(["TASK_RUNNING", "TASK_DROPPED", "TASK_FINISHED", "X"])},
    optional={"uuid": st.sampled_from(["u", "v"]), "data": st.text(max_size=5)},
)
CALLS = st.fixed_dictionaries(
    {"type": st.sampled_from([
        "SUBSCRIBE", "ACCEPT", "KILL", "ACKNOWLEDGE", "RECONCILE", "DECLINE", "TEARDOWN", "REVIVE", "SUPPRESS",
        "UPDATE", "MESSAGE", "HEARTBEAT",
    ])},
    optional={
        "framework_id": VALUE, "executor_id": VALUE,
        "accept": st.builds(lambda t: {"offer_ids": [{"value": "OFFER"}], "operations": [
            {"type": "LAUNCH", "launch": {"task_infos": t}}]}, st.lists(TASK, max_size=3)),
        "kill": st.builds(lambda t: {"task_id": t}, VALUE),
        "reconcile": st.builds(lambda t: {"tasks": [{"task_id": x} for x in t]}, st.lists(VALUE, max_size=2)),
        "acknowledge": st.builds(lambda a, t: {"agent_id": a, "task_id": t, "uuid": "u"}, VALUE, VALUE),
        "decline": JSON,
        "subscribe": st.builds(
            lambda n, t, s: {
                "framework_info": {"user": "u", "name": n}, "unacknowledged_tasks": t,
                "unacknowledged_updates": [{"status": x} for x in s],
            },
            st.text(max_size=3), st.lists(TASK, max_size=2), st.lists(STATUS, max_size=2),
        ),
        "update": st.builds(lambda s: {"status": s}, STATUS),
        "message": st.builds(lambda d: {"data": d}, st.sampled_from(["", "e30=", "eyJraW5kIjoicmVwb3J0In0="])),
    },
)  # fmt: skip


@settings(max_examples=150, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(st.tuples(st.booleans(), CALLS | JSON), max_size=12))
def test_no_call_whatever_it_says_is_a_fault_of_ours(calls):
    """Each gets an answer or a 4xx; figures add up after it, and a good owner is still served."""
    cluster = Cluster(1)
    owner = Owner(cluster).subscribe()
    fronts = SchedulerApi(cluster.core), ExecutorApi(cluster.core)
    targets = "/api/v1/scheduler", "/api/v1/executor"
    headers = {"content-type": "application/json", "mesos-stream-id": "stream-owner"}
    offer = owner.link.of("OFFERS")[0].offers.offers[0].id.value
    for which, call in calls:
        body = json.dumps(call).replace("OFFER", offer).encode()
        try:
            told = fronts[which].handle(Request("POST", targets[which], headers, body))
        except HttpError as error:
            assert 400 <= error.status < 500
        else:
            if hasattr(told, "open_session"):
                link = type(owner.link)(m.ExecutorEvent if which else m.SchedulerEvent)
                link.ended = told.open_session(link)
        cluster.timing.advance(100.0)
        cluster.check()
    assert cluster.core.counters.find_mismatches() == {}


def test_the_contract_holds_for_a_call_that_is_not_subscribed(world):
    day = world(hosts=1)
    with pytest.raises(NotSubscribedError):
        day.core.agent_sessions.record_heartbeat("stranger.r")


# ---- an unmodified client library ----


def test_the_readmes_unmodified_mesos_client_subscribes_launches_and_tears_down(world):
    """avmesos, from the registry: the README's own lines, with the daemon's address put in."""
    pytest.importorskip("avmesos.client")
    logging.getLogger("avmesos.client").setLevel(logging.CRITICAL)
    readme = (Path(__file__).parent.parent / "README.md").read_text()
    day, states = world(), []
    code = readme.split("```python-client\n")[1].split("```")[0]
    assert "127.0.0.1:5050" in code
    code = code.replace("127.0.0.1:5050", "{}:{}".format(*day.bound["owners"]))
    thread = threading.Thread(target=exec, args=(code, {"print": states.append}), daemon=True)
    thread.start()
    day.until(
        lambda: states and states[-1] == "TASK_FINISHED" and not day.core.frameworks.frameworks_by_id,
        10_000.0,
    )
    assert states == ["TASK_STARTING", "TASK_RUNNING", "TASK_FINISHED"]


# ---- the process ----


def start(path, *more):
    child = subprocess.Popen(
        [sys.executable, "-m", "glencleat", "serve", str(path), "--ready", "-", *more],
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
    )  # fmt: skip
    return child, json.loads(child.stdout.readline())


def test_signals_reload_whole_or_not_at_all_and_end_in_time(tmp_path):
    path = tmp_path / "a.conf"
    good = CONF + "directory 127.0.0.1:1\nshutdown 1s\nlog form json level info\n"
    path.write_text(good)
    child, bound = start(path)
    assert set(bound) == {"owners", "agents", "metrics"}
    log = []

    def wait_for(event):
        while not any(line.get("event") == event for line in log):
            log.append(json.loads(child.stderr.readline()))

    try:
        wait_for("listening")
        path.write_text(good + "limit connections none\n")
        os.kill(child.pid, signal.SIGHUP)
        wait_for("configuration refused")
        assert "connections" in log[-1]["why"]
        log.clear()
        path.write_text(good + "attempts 2\n")
        os.kill(child.pid, signal.SIGHUP)
        wait_for("configuration refused")
        assert log[-1]["why"] == "only a restart can change attempts"
        path.write_text(good + "limit connections 7\n")
        os.kill(child.pid, signal.SIGHUP)
        wait_for("configuration read again")
        os.kill(child.pid, signal.SIGTERM)
        wait_for("stopped")
        assert child.wait(10) == 0
    finally:
        child.kill()
        child.communicate()


def test_stand_ins_run_by_themselves(tmp_path):
    """Directory, hosts and owners as processes of their own around one allocator, as docs/operating.md
    shows."""
    script = tmp_path / "s.conf"
    (tmp_path / "campus.conf").write_text("\n".join(CONF.splitlines()[5:]) + "\n")
    script.write_text(
        "campus campus.conf\nplay seed 2 length 1s settle 1500ms\nhosts count 3 decide 1ms start 2ms\n"
        "owners count 3 rate 20\nwant pull-front share 100% cores 1 memory 1GB life-from 50ms life-to 200ms\n"
    )
    children = []

    def standin(kind, place):
        words = [
            sys.executable,
            "-m",
            "glencleat",
            "standin",
            kind,
            str(script),
            f"a0={place}",
            "--for",
            "30",
        ]
        children.append(subprocess.Popen(words, stdout=subprocess.PIPE, text=True))
        return json.loads(children[-1].stdout.readline())

    try:
        listed = standin("directory", "127.0.0.1:0")["a0"]
        path = tmp_path / "a0.conf"
        path.write_text(CONF + f"directory {listed}\n")
        child, bound = start(path)
        children.append(child)
        assert standin("hosts", bound["agents"]) == {"hosts": 3}
        told = standin("owners", bound["owners"])
        assert told["asked"] > 5 and told["placed"] == told["asked"] and told["open"] == 0
    finally:
        for child in children:
            child.kill()
            child.communicate()
    code = subprocess.run(
        [sys.executable, "-m", "glencleat", "standin", "hosts", str(script), "a0=1.2.3.4:5"],
        capture_output=True,
    )
    assert code.returncode == 2 and b"is no NAME=127.0.0.1:PORT" in code.stderr


def test_commands_say_what_is_wrong(tmp_path):
    def run(*words):
        told = subprocess.run([sys.executable, "-m", "glencleat", *words], capture_output=True, text=True)
        return told.returncode, told.stdout + told.stderr

    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        port = taken.getsockname()[1]
        taken.listen()
        path = tmp_path / "a.conf"
        path.write_text(
            CONF.replace("owners 127.0.0.1:0", f"owners 127.0.0.1:{port}") + "directory 127.0.0.1:1\n"
        )
        code, text = run("serve", str(path))
        assert code == 3 and f"listen owners 127.0.0.1:{port}" in text and "Traceback" not in text
    code, text = run("check-config", str(tmp_path / "none.conf"))
    assert code == 2 and "can't read" in text and "Traceback" not in text
    for command in ("serve", "check-config", "play", "report"):
        code, text = run(command, "--help")
        assert code == 0 and "Usage" in text

"""End-to-end tests on real sockets: the daemon against emulators, and against hostile peers."""

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
def start_cluster(tmp_path):
    """Starts a daemon with emulated peers; takes the arguments of `World`."""
    clusters = []

    def start(**options):
        clusters.append(World(tmp_path, **options))
        return clusters[-1]

    yield start
    for cluster in clusters:
        cluster.close()


def test_tasks_run_from_launch_to_end(start_cluster):
    cluster = start_cluster()
    owner = cluster.owner()
    for i in range(30):
        owner.request_task(
            cluster.job(f"t{i}", *(("store-compact", "unsafe") if i % 3 == 0 else ("pull-front", "safe")))
        )
    cluster.until(lambda: not owner.jobs_by_id)
    for i in range(30):
        assert cluster.states(owner, f"t{i}") == ["TASK_STARTING", "TASK_RUNNING", "TASK_FINISHED"]
    cluster.until(
        lambda: not cluster.core.frameworks.frameworks_by_id[owner.framework_id].unacknowledged_by_uuid
    )
    assert not cluster.core.call_table.active_calls_by_number and not cluster.core.module.calls_by_id
    assert all(not s.unacknowledged for h in cluster.hosts for s in h.sessions_by_allocator.values())
    assert cluster.broken() == [] and cluster.core.counters.find_mismatches() == {}


def test_metrics_add_up_over_http(start_cluster):
    cluster = start_cluster()
    owner = cluster.owner()
    owner.request_task(cluster.job("t1", life=60_000.0))
    cluster.until(lambda: cluster.states(owner, "t1"))
    answers = []

    def scrape():
        address = cluster.bound["metrics"]
        with urllib.request.urlopen(f"http://{address[0]}:{address[1]}/metrics", timeout=5) as response:
            answers.append(response.read().decode())

    thread = threading.Thread(target=scrape)
    thread.start()
    cluster.until(lambda: answers)
    thread.join()
    assert 'glencleat_tasks_taken_total{class="pull-front"} 1.0' in answers[0]
    assert 'glencleat_tasks_answered_total{answer="served",class="pull-front"} 1.0' in answers[0]
    assert "glencleat_tasks_mismatch 0.0" in answers[0]


def test_an_agent_resends_its_updates_after_a_silent_connection_loss(start_cluster):
    """Missed heartbeats close the session and make the task unreachable. The task ends meanwhile, and the agent
    reports that when it subscribes again."""
    cluster = start_cluster(hosts=1)
    owner = cluster.owner()
    owner.request_task(cluster.job("t1", "store-compact", "unsafe", life=700.0))
    cluster.until(lambda: "TASK_RUNNING" in cluster.states(owner, "t1"))
    (session,) = cluster.hosts[0].sessions_by_allocator.values()
    session.pause()
    cluster.until(lambda: "TASK_UNREACHABLE" in cluster.states(owner, "t1"))
    cluster.until(lambda: session.unacknowledged)
    session.resume()
    cluster.until(lambda: cluster.states(owner, "t1")[-1] == "TASK_FINISHED")
    assert sum(e.kind == "started" for e in cluster.recorder.entries) == 1 and cluster.broken() == []


def test_a_task_accepted_after_its_timeout_is_reconciled(start_cluster):
    """The agent reads the LAUNCH only after its timeout; the owner receives `failed`, then the task's states."""
    cluster = start_cluster(hosts=1, conf="answer-margin 50ms\n")
    owner = cluster.owner()
    (session,) = cluster.hosts[0].sessions_by_allocator.values()
    session.pause()
    owner.request_task(cluster.job("t1", "store-compact", "unsafe", life=400.0))
    cluster.until(lambda: "TASK_LOST" in cluster.states(owner, "t1"))
    session.resume()
    cluster.until(lambda: "TASK_FINISHED" in cluster.states(owner, "t1"))
    assert sum(e.kind == "started" for e in cluster.recorder.entries) == 1 and cluster.broken() == []


def test_an_unread_launch_is_retried_elsewhere_even_if_non_idempotent(start_cluster):
    """At the timeout its bytes are still in the send buffer; closing the session ensures they never arrive."""
    cluster = start_cluster(hosts=2)
    owner = cluster.owner()
    stuck, other = cluster.hosts
    other.stop("not yet")
    cluster.until(lambda: cluster.core.serving_machines == {stuck.name})
    (session,) = stuck.sessions_by_allocator.values()
    session.pause()
    link = cluster.core.membership.session_of(stuck.name)
    link.stream.max_unsent_bytes = 1 << 30
    while not link.stream.send_buffer:
        link.send(b'{"type":"HEARTBEAT"}' + b" " * 60_000)
    owner.request_task(cluster.job("t1", "store-compact", "unsafe"))
    cluster.until(
        lambda: any(a.machine == stuck.name for a in cluster.core.call_table.attempts_by_id.values())
    )
    for member in cluster.core.membership.members_by_agent.values():
        member.last_heard_at_ms = cluster.loop.now() + 60_000.0  # only the timeout may end the attempt
    other.start(cold=False)
    cluster.until(lambda: "TASK_STARTING" in cluster.states(owner, "t1"), 6_000.0)
    session.resume()
    cluster.until(lambda: "TASK_FINISHED" in cluster.states(owner, "t1"))
    offered = [e.who for e in cluster.recorder.entries if e.kind == "offered"]
    assert offered == [other.name] and cluster.broken() == []
    assert any(fields.get("why") == "the agent does not read" for _, fields in cluster.log.lines)


def test_an_answer_reaches_an_owner_that_disconnected_meanwhile(start_cluster):
    cluster = start_cluster(hosts=1)
    owner = cluster.owner()
    owner.request_task(cluster.job("t1", life=60_000.0))
    cluster.until(lambda: any(e.kind == "offered" for e in cluster.recorder.entries))
    owner.disconnect()
    cluster.until(lambda: "TASK_STARTING" in cluster.states(owner, "t1"))
    assert cluster.broken() == []


def test_an_owner_that_does_not_read_is_disconnected_and_loses_no_answers(start_cluster):
    """Its unacknowledged answers are kept for its next session; other owners are served meanwhile."""
    cluster = start_cluster()
    slow, fast = cluster.owner("slow"), cluster.owner("brisk")
    slow.is_slow = True
    for i in range(40):
        slow.request_task(cluster.job(f"s{i}", life=60_000.0))
    framework = cluster.core.frameworks.frameworks_by_id[slow.framework_id]
    cluster.until(lambda: cluster.core.counters.answers_by_class["pull-front", "served"] == 40)
    stream = framework.session.stream
    stream.max_unsent_bytes = 10  # as if its socket had been full for a long time
    stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    i = 0
    while framework.session is not None:
        if i < 40:  # more would fill the hosts, and full hosts cause no more updates
            slow.request_task(cluster.job(f"u{i}", life=60_000.0))
        fast.request_task(cluster.job(f"b{i}", life=50.0))
        cluster.until(lambda i=i: "TASK_RUNNING" in cluster.states(fast, f"b{i}"))
        if framework.session is not None:
            # Padding fills the socket in a few rounds.
            framework.session.send(b'{"type":"HEARTBEAT"}' + b" " * 60_000)
        i += 1
        assert i < 400
    slow.is_slow = False
    cluster.until(lambda: framework.session is not None and not framework.unacknowledged_by_uuid, 20_000.0)
    assert all("TASK_STARTING" in cluster.states(slow, f"s{i}") for i in range(40))
    assert cluster.broken() == []


def test_placement_uses_the_last_list_in_an_outage_and_waits_while_it_is_empty(start_cluster):
    cluster = start_cluster()
    owner = cluster.owner()
    cluster.directory.fail()
    owner.request_task(cluster.job("t1"))
    cluster.until(lambda: "TASK_FINISHED" in cluster.states(owner, "t1"))  # placed with the last list
    cluster.directory.recover()
    cluster.until(lambda: cluster.directory.watchers)
    cluster.directory.empty_list()
    cluster.until(lambda: cluster.core.serving_machines == set())
    owner.request_task(cluster.job("t2"))
    cluster.until(lambda: cluster.core.call_table.open_task_count == 1)
    cluster.directory.restore_list()
    cluster.until(lambda: "TASK_FINISHED" in cluster.states(owner, "t2"))
    assert cluster.broken() == []


def test_the_client_reconnects_to_the_directory_before_the_module_polls(start_cluster):
    """The module's own polling interval grows to 4 s. When the client waited for it, allocators subscribed up to
    5 s after the end of a long outage."""
    cluster = start_cluster()
    cluster.directory.fail()
    cluster.until(lambda: cluster.core.module.module.machine_list.retry_delay_ms >= 1_000.0)
    cluster.core.module.module.machine_list.retry_at_ms = cluster.loop.now() + 60_000.0
    cluster.directory.recover()
    cluster.until(lambda: cluster.daemon.directory_client.subscribed_at_ms is not None, 1_000.0)
    attempts, updates = cluster.daemon.directory_client.attempt_count, []
    cluster.daemon.directory_client.on_update = updates.append
    cluster.daemon.directory_client.watch()  # answered by the existing subscription, without a new connection
    assert [event.kind for event in updates] == [api.ListUpdateKind.SNAPSHOT] and len(
        updates[0].machines
    ) == len(cluster.hosts)
    cluster.until(lambda: True)
    assert cluster.daemon.directory_client.attempt_count == attempts and len(cluster.directory.watchers) == 1


def test_graceful_shutdown_answers_open_tasks_and_stops(start_cluster):
    cluster = start_cluster()
    owner = cluster.owner()
    for host in cluster.hosts:
        host.machine.faults.is_silent = True
    owner.request_task(cluster.job("t1", "store-compact", "unsafe"))
    cluster.until(lambda: any(e.kind == "offered" for e in cluster.recorder.entries))
    cluster.loop.is_running = True
    cluster.daemon.stop()
    cluster.until(lambda: not cluster.loop.is_running, 10_000.0)
    assert cluster.states(owner, "t1") == ["TASK_LOST"] and not cluster.core.call_table.open_task_count


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
def test_a_malformed_directory_stream_is_reported_as_failed(stream):
    """The module is notified only of the failure; the machines known so far stay."""
    loop, updates = Loop(), []

    def serve(peer):
        yield from peer.read()
        peer.send(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(stream), stream)
        )

    listener = Listener(loop, ("127.0.0.1", 0), lambda peer: loop.spawn(serve(peer), "directory"))
    client = DirectoryClient(loop, listener.address, updates.append, Backoff(PACE, Random(1)))
    client.watch()
    wait(loop, lambda: updates)
    assert [event.kind for event in updates] == [api.ListUpdateKind.FAILED]
    listener.close()


def test_a_silent_directory_is_reported_as_failed():
    loop, updates = Loop(), []
    listener = Listener(loop, ("127.0.0.1", 0), lambda peer: None)
    client = DirectoryClient(
        loop, listener.address, updates.append, Backoff(PACE, Random(1)), silence_timeout_ms=50.0
    )
    client.watch()
    wait(loop, lambda: updates)
    assert [event.kind for event in updates] == [api.ListUpdateKind.FAILED]
    listener.close()


def wait(loop, done, ms=3_000.0):
    until = loop.now() + ms
    while not done():
        assert loop.now() < until
        loop.call_in(5.0, lambda: None)
        loop.run_once()


@pytest.mark.parametrize(
    "answer, min_delay_ms, max_delay_ms",
    [
        (b"", 0.0, 25.0),
        (b"HTTP/1.1 503 \r\ncontent-length: 0\r\nretry-after: 2\r\n\r\n", 2_000.0, 2_025.0),
        (b"HTTP/1.1 503 \r\ncontent-length: 0\r\nretry-after: 999999\r\n\r\n", 60_000.0, 60_025.0),
        (b"HTTP/1.1 503 \r\ncontent-length: 0\r\nretry-after: Wed, 21 Oct\r\n\r\n", 0.0, 25.0),
        (b"HTTP/1.1 503 \r\ncontent-length: 0\r\nretry-after: -5\r\n\r\n", 0.0, 25.0),
    ],
    ids=["closed", "2 s", "days", "a date", "nonsense"],
)
def test_the_retry_after_of_the_directory_is_respected(answer, min_delay_ms, max_delay_ms):
    """However often the module requests the list meanwhile, no connection is opened before the delay is over."""
    loop, updates, accepted_at_ms = Loop(), [], []

    def serve(peer):
        accepted_at_ms.append(loop.now())
        yield from peer.read()
        peer.send(answer)
        peer.close()

    listener = Listener(loop, ("127.0.0.1", 0), lambda peer: loop.spawn(serve(peer), "directory"))
    client = DirectoryClient(loop, listener.address, updates.append, Backoff(PACE, Random(1)))
    client.watch()
    wait(loop, lambda: updates)
    assert min_delay_ms <= client.next_attempt_at_ms - loop.now() <= max_delay_ms
    due = client.next_attempt_at_ms
    if min_delay_ms > 0.0:
        client.next_attempt_at_ms = due = loop.now() + 60.0  # keeps the test short
    loop.cancel(client.task)
    client.task = None  # `watch` spawns a new one with the same backoff
    for _ in range(3):
        client.watch()
    wait(loop, lambda: len(updates) == 2)
    assert len(accepted_at_ms) == client.attempt_count == 2 and accepted_at_ms[1] >= due
    assert [event.kind for event in updates] == [api.ListUpdateKind.FAILED] * 2
    listener.close()


# ---- hostile peers ----


def send_raw(cluster, data, name="owners", shut_down_write=False):
    """Sends bytes from a plain socket; returns what it receives until the daemon closes the connection."""
    received = []

    def exchange():
        with socket.create_connection(cluster.bound[name], timeout=5) as sock:
            try:
                sock.sendall(data)
                if shut_down_write:
                    sock.shutdown(socket.SHUT_WR)
                while data_read := sock.recv(65_536):
                    received.append(data_read)
            except OSError:
                pass
        done.set()

    done = threading.Event()
    threading.Thread(target=exchange).start()
    cluster.until(done.is_set, 8_000.0)
    return b"".join(received)


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
def test_the_error_for_an_invalid_call_says_what_was_expected(start_cluster, data, status, named):
    cluster = start_cluster(hosts=0)
    answer = send_raw(cluster, data)
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
def test_unusual_methods_and_versions_get_a_response(start_cluster, data, status):
    cluster = start_cluster(hosts=0)
    answer = send_raw(cluster, data, shut_down_write=True)
    assert answer.startswith(b"HTTP/1.1 %d" % status), answer[:200]
    assert send_raw(cluster, post(b"{}")).startswith(b"HTTP/1.1 400")  # the daemon still serves


def test_a_slowloris_client_is_disconnected(start_cluster):
    """It sends its head byte by byte; the request timeout runs from the first byte, not from the last."""
    cluster = start_cluster(hosts=0, conf="limit request 200ms\n")
    closed = threading.Event()

    def send_slowly():
        with socket.create_connection(cluster.bound["owners"], timeout=5) as sock:
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

    threading.Thread(target=send_slowly).start()
    cluster.until(closed.is_set, 5_000.0)


def test_a_connection_flood_does_not_lock_out_subscribed_peers(start_cluster):
    cluster = start_cluster(hosts=2, conf="limit connections 100\n")
    owner = cluster.owner()
    sockets, all_connected = [], threading.Event()

    def connect_all():
        for _ in range(2_000):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(cluster.bound["owners"])
            sockets.append(sock)
        all_connected.set()

    threading.Thread(target=connect_all).start()
    cluster.until(all_connected.is_set)
    cluster.until(lambda: cluster.daemon.servers["owners"].refused_count > 1_800)
    owner.request_task(cluster.job("t1"))
    cluster.until(lambda: "TASK_FINISHED" in cluster.states(owner, "t1"))
    for sock in sockets:
        sock.close()
    assert len(cluster.daemon.servers["owners"].listener.open_streams) <= 100


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
def test_arbitrary_calls_get_a_response_or_a_client_error(calls):
    """Each call gets a response or a 4xx status; after it the counters add up and other owners are served."""
    cluster = Cluster(1)
    owner = Owner(cluster).subscribe()
    apis = SchedulerApi(cluster.core), ExecutorApi(cluster.core)
    targets = "/api/v1/scheduler", "/api/v1/executor"
    headers = {"content-type": "application/json", "mesos-stream-id": "stream-owner"}
    offer = owner.link.of("OFFERS")[0].offers.offers[0].id.value
    for is_executor, call in calls:
        body = json.dumps(call).replace("OFFER", offer).encode()
        try:
            response = apis[is_executor].handle(Request("POST", targets[is_executor], headers, body))
        except HttpError as error:
            assert 400 <= error.status < 500
        else:
            if hasattr(response, "open_session"):
                link = type(owner.link)(m.ExecutorEvent if is_executor else m.SchedulerEvent)
                link.ended = response.open_session(link)
        cluster.timing.advance(100.0)
        cluster.check()
    assert cluster.core.counters.find_mismatches() == {}


def test_a_heartbeat_without_a_subscription_is_rejected(start_cluster):
    cluster = start_cluster(hosts=1)
    with pytest.raises(NotSubscribedError):
        cluster.core.agent_sessions.record_heartbeat("stranger.r")


# ---- an unmodified client library ----


def test_an_unmodified_mesos_client_runs_the_readme_example(start_cluster):
    """avmesos from the package registry runs the lines of the README, with the address of this daemon."""
    pytest.importorskip("avmesos.client")
    logging.getLogger("avmesos.client").setLevel(logging.CRITICAL)
    readme = (Path(__file__).parent.parent / "README.md").read_text()
    cluster, states = start_cluster(), []
    code = readme.split("```python-client\n")[1].split("```")[0]
    assert "127.0.0.1:5050" in code
    code = code.replace("127.0.0.1:5050", "{}:{}".format(*cluster.bound["owners"]))
    thread = threading.Thread(target=exec, args=(code, {"print": states.append}), daemon=True)
    thread.start()
    cluster.until(
        lambda: states and states[-1] == "TASK_FINISHED" and not cluster.core.frameworks.frameworks_by_id,
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


def test_sighup_applies_all_or_nothing_and_sigterm_stops_in_time(tmp_path):
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


def test_emulators_run_as_separate_processes(tmp_path):
    """Directory, hosts and owners run as separate processes around one allocator, as docs/operating.md shows."""
    script = tmp_path / "s.conf"
    (tmp_path / "campus.conf").write_text("\n".join(CONF.splitlines()[5:]) + "\n")
    script.write_text(
        "campus campus.conf\nplay seed 2 length 1s settle 1500ms\nhosts count 3 decide 1ms start 2ms\n"
        "owners count 3 rate 20\nwant pull-front share 100% cores 1 memory 1GB life-from 50ms life-to 200ms\n"
    )
    children = []

    def start_emulator(kind, address):
        arguments = [
            sys.executable,
            "-m",
            "glencleat",
            "standin",
            kind,
            str(script),
            f"a0={address}",
            "--for",
            "30",
        ]
        children.append(subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True))
        return json.loads(children[-1].stdout.readline())

    try:
        directory_address = start_emulator("directory", "127.0.0.1:0")["a0"]
        path = tmp_path / "a0.conf"
        path.write_text(CONF + f"directory {directory_address}\n")
        child, bound = start(path)
        children.append(child)
        assert start_emulator("hosts", bound["agents"]) == {"hosts": 3}
        result = start_emulator("owners", bound["owners"])
        assert result["asked"] > 5 and result["placed"] == result["asked"] and result["open"] == 0
    finally:
        for child in children:
            child.kill()
            child.communicate()
    done = subprocess.run(
        [sys.executable, "-m", "glencleat", "standin", "hosts", str(script), "a0=1.2.3.4:5"],
        capture_output=True,
    )
    assert done.returncode == 2 and b"is no NAME=127.0.0.1:PORT" in done.stderr


def test_commands_report_errors_without_a_traceback(tmp_path):
    def run(*words):
        done = subprocess.run([sys.executable, "-m", "glencleat", *words], capture_output=True, text=True)
        return done.returncode, done.stdout + done.stderr

    with socket.socket() as busy:
        busy.bind(("127.0.0.1", 0))
        port = busy.getsockname()[1]
        busy.listen()
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

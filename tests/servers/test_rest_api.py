"""The REST API on real sockets: hostile peers, slow watchers, the OpenAPI document, owners, the command line."""

import json
import re
import socket
import subprocess
import sys
import threading

import pytest
import schemathesis
from hypothesis import HealthCheck, given, settings
from schemathesis.specs.openapi import checks as openapi_checks

from glencleat.emulators.rest_owners import RestOwner
from tests.support.daemon_world import World

JOB = {"class": "pull-front", "service": "svc", "cores": 1, "memory": 100, "lifeMs": 60_000}


@pytest.fixture
def start_cluster(tmp_path):
    """Starts a daemon with a REST API and emulated peers; takes the arguments of `World`."""
    clusters = []

    def start(conf="", **options):
        clusters.append(World(tmp_path, conf="listen rest 127.0.0.1:0\n" + conf, **options))
        return clusters[-1]

    yield start
    for cluster in clusters:
        cluster.close()


def run_in_thread(cluster, work, ms=20_000.0):
    """Runs blocking client code in a thread while the loop serves it; returns its result or raises its error."""
    results = []

    def run():
        try:
            results.append((work(), None))
        except BaseException as error:
            results.append((None, error))

    thread = threading.Thread(target=run)
    thread.start()
    cluster.until(lambda: results, ms)
    thread.join()
    if results[0][1] is not None:
        raise results[0][1]
    return results[0][0]


def send_raw(cluster, data, until=b"", close=False):
    """Sends bytes on a connection; returns what it receives until the peer closes it or sends `until`."""

    def work():
        with socket.create_connection(cluster.bound["rest"], timeout=10) as sock:
            sock.sendall(data)
            if close:
                sock.shutdown(socket.SHUT_WR)
            received = b""
            while True:
                chunk = sock.recv(65_536)
                received += chunk
                if not chunk or (until and until in received):
                    return received

    return run_in_thread(cluster, work)


def request(method, target, body=None, *, headers="", host="x"):
    data = b"" if body is None else json.dumps(body).encode()
    media = "content-type: application/json\r\n" if body is not None else ""
    head = (
        f"{method} {target} HTTP/1.1\r\nhost: {host}\r\ncontent-length: {len(data)}\r\n{media}{headers}\r\n"
    )
    return head.encode() + data


def post(name, tenant="t", **spec):
    return request("POST", f"/v1/tenants/{tenant}/jobs", {"name": name, "spec": JOB | spec})


FINAL_REQUEST = request("GET", "/v1/jobs", headers="connection: close\r\n")


# ---- hostile and disconnected peers ----


def test_a_request_cut_off_in_its_body_creates_nothing(start_cluster):
    cluster = start_cluster()
    response = send_raw(cluster, post("a")[:-30], close=True)
    assert response.startswith(b"HTTP/1.1 400") and b"application/problem+json" in response
    assert b'"items":[]' in send_raw(cluster, FINAL_REQUEST) and not cluster.daemon.rest_service.jobs_by_name


def test_pipelined_requests_are_answered_in_order(start_cluster):
    cluster = start_cluster()
    response = send_raw(cluster, post("a") + post("b") + post("a") + FINAL_REQUEST)
    assert re.findall(rb"HTTP/1.1 (\d+)", response) == [b"201", b"201", b"409", b"200"]


@pytest.mark.parametrize(
    "head",
    [
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 3\r\n",
        "content-length: 3\r\ncontent-length: 4\r\n",
        "content-length: 3, 4\r\n",
        "content-length: +3\r\n",
        "content-length: 0x3\r\n",
        "transfer-encoding: chunked, identity\r\n",
        "transfer-encoding: xchunked\r\n",
        "x: a\rb\r\n",
        "x: a\r\n content-length : 3\r\n\tb : c\r\ncontent-length : 3\r\n",
        "content-length : 3\r\n",
        ": 3\r\n",
        "x: a\0b\r\n",
        "x\x01: a\r\n",
    ],
)
def test_request_smuggling_is_refused_and_the_connection_closed(start_cluster, head):
    """The bytes that follow are not parsed as a separate request."""
    cluster = start_cluster()
    hidden = post("hidden").decode()
    response = send_raw(
        cluster, f"POST /v1/tenants/t/jobs HTTP/1.1\r\nhost: x\r\n{head}\r\nabc{hidden}".encode()
    )
    assert response.startswith((b"HTTP/1.1 400", b"HTTP/1.1 501")) and response.count(b"HTTP/1.1") == 1
    assert not cluster.daemon.rest_service.jobs_by_name


def test_a_folded_header_is_not_read_as_a_separate_header(start_cluster):
    """obs-fold: RFC 9112 (5.2) lets a server refuse it or read it as a space, but never as a separate line."""
    cluster = start_cluster()
    response = send_raw(
        cluster,
        b"GET /v1/jobs HTTP/1.1\r\nhost: x\r\nx: a\r\n content-length: 5\r\nconnection: close\r\n\r\n",
    )
    assert response.startswith((b"HTTP/1.1 200", b"HTTP/1.1 400")) and response.count(b"HTTP/1.1") == 1


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (request("GET", "/v1/jobs?labelSelector=" + "a" * 5_000), b"414"),
        (request("GET", "/" + "a" * 40_000), b"431"),
        (request("GET", "/v1/jobs", headers="x: " + "a" * 40_000 + "\r\n"), b"431"),
        (request("POST", "/v1/tenants/t/jobs", {"x": "a" * (2 << 20)}), b"413"),
        (b"GET /v1/jobs HTTP/1.1\r\n\r\n", b"400"),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"\0" * 60 + b"\r\n\r\n", b"400"),
        (request("OPTIONS", "/v1/jobs"), b"405"),
    ],
)
def test_an_oversized_or_malformed_request_gets_a_problem_document(start_cluster, data, status):
    cluster = start_cluster()
    response = send_raw(cluster, data, until=b"}")
    assert response.startswith(b"HTTP/1.1 " + status) and b"application/problem+json" in response


# ---- watches ----


def test_a_watch_that_cannot_start_leaves_no_watcher(start_cluster):
    cluster = start_cluster()
    response = send_raw(cluster, b"GET /v1/jobs?watch=1 HTTP/1.0\r\n\r\n")
    assert response.startswith(b"HTTP/1.1 505") and cluster.daemon.rest_service.channels.watcher_count == 0


def test_a_disconnected_watcher_is_removed_at_once(start_cluster):
    cluster = start_cluster()
    with socket.create_connection(cluster.bound["rest"]) as sock:
        sock.sendall(request("GET", "/v1/jobs?watch=1"))
        cluster.until(
            lambda: (
                cluster.daemon.rest_service.channels.watcher_count == 1
                and cluster.daemon.rest_service.channels.channels_by_key
            )
        )
    cluster.until(lambda: cluster.daemon.rest_service.channels.watcher_count == 0, 1_000.0)
    assert not cluster.daemon.rest_api.sinks_by_watcher


def test_many_watchers_with_long_backlogs_share_the_loop(start_cluster):
    """Each of 8 watches starts with 3,000 resources; none monopolizes the loop, and each receives all of them."""
    cluster = start_cluster("rest first-round 10m\n")
    rest_service = cluster.daemon.rest_service
    rest_service._schedule_rounds = lambda *_: None
    for i in range(6):
        send_raw(cluster, post(f"b{i}", f"t{i}", tasks=500), until=b"}")
    cluster.until(lambda: rest_service.versions.stores_by_kind["tasks"].live_count == 3_000)

    def read():
        socks = [socket.create_connection(cluster.bound["rest"], timeout=10) for _ in range(8)]
        received = [b""] * 8
        for sock in socks:
            sock.sendall(request("GET", "/v1/tasks?watch=1"))
        for i, sock in enumerate(socks):
            while b"BOOKMARK" not in received[i]:
                received[i] += sock.recv(1 << 20)
            sock.close()
        return [set(re.findall(rb'"name":"(b[0-9.]+)"', data)) for data in received]

    assert [len(names) for names in run_in_thread(cluster, read)] == [3_000] * 8
    cluster.until(lambda: rest_service.channels.watcher_count == 0)


def test_a_stalled_watcher_is_closed_and_delays_nobody(start_cluster):
    """It stops reading in a burst of 10,000 events. Another watcher receives all of them, and tasks are placed
    meanwhile."""
    cluster = start_cluster("rest watch-stall 500ms first-round 10m\n")
    rest_service = cluster.daemon.rest_service
    stalled = socket.create_connection(cluster.bound["rest"])
    stalled.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    stalled.sendall(request("GET", "/v1/tasks?watch=1"))
    cluster.until(lambda: rest_service.channels.watcher_count == 1)
    lines_added, started = [], []

    def read():
        with socket.create_connection(cluster.bound["rest"], timeout=10) as sock:
            sock.sendall(request("GET", "/v1/tasks?watch=1"))
            started.append(1)
            rest = b""
            while len(lines_added) < 10_000:
                *lines, rest = (rest + sock.recv(1 << 20)).split(b"\n")
                lines_added.extend(line for line in lines if b"ADDED" in line and b"rest:" in line)

    thread = threading.Thread(target=read)
    thread.start()
    cluster.until(lambda: rest_service.channels.watcher_count == 2)
    owner = cluster.owner()
    rest_service._schedule_rounds = lambda *_: None  # a burst of events without placements
    for i in range(20):
        response = send_raw(cluster, post(f"b{i}", f"t{i}", tasks=500), until=b"}")
        assert response.startswith(b"HTTP/1.1 201")
    owner.request_task(cluster.job("quick", life=100.0))
    cluster.until(lambda: "TASK_FINISHED" in cluster.states(owner, "quick"))
    cluster.until(lambda: not thread.is_alive(), 20_000.0)
    assert len(set(lines_added)) == 10_000
    cluster.until(lambda: rest_service.channels.watcher_count == 0, 20_000.0)
    assert any(
        event == "watch cut off" and "too slow" in fields["why"] for event, fields in cluster.log.lines
    )
    stalled.close()  # with its small window, reading what the sockets still buffer would take minutes


def test_a_watch_resumed_at_a_compacted_version_gets_410(start_cluster):
    cluster = start_cluster("rest events 20\n")
    response = send_raw(cluster, post("a") + FINAL_REQUEST)
    version = json.loads(response.rsplit(b"\r\n\r\n", 1)[1])["resourceVersion"]
    target = f"/v1/jobs?watch=1&timeoutSeconds=1&resourceVersion={version}"
    assert send_raw(
        cluster, request("GET", target, headers="connection: close\r\n"), until=b"BOOKMARK"
    ).startswith(b"HTTP/1.1 200")
    for i in range(30):
        send_raw(cluster, post(f"b{i}"), until=b"}}")
    gone = send_raw(cluster, request("GET", target), until=b"}")
    assert gone.startswith(b"HTTP/1.1 410") and b"too old; list again" in gone


def test_tasks_of_a_rest_owner_run_despite_connection_losses(start_cluster):
    cluster = start_cluster()
    owner = RestOwner(cluster.loop, cluster.recorder, "r", "tenant", "a0", cluster.bound["rest"], 3)
    cluster.owners.append(owner)
    cluster.until(lambda: owner.has_subscribed)
    for i in range(12):
        owner.request_task(
            cluster.job(f"t{i}", *(("store-compact", "unsafe") if i % 3 == 0 else ("pull-front", "safe")))
        )
        if i == 5:
            owner.disconnect()
            owner.request_queue.disconnect()
    cluster.until(lambda: not owner.jobs_by_id, 15_000.0)
    for i in range(12):
        states = [
            e.state
            for e in cluster.recorder.entries
            if e.kind == "answer" and e.task == f"rest:tenant/t{i}.0"
        ]
        assert states[-1] == "TASK_FINISHED"
    assert sum(e.kind == "started" for e in cluster.recorder.entries) == 12
    assert cluster.broken() == [] and cluster.core.counters.find_mismatches() == {}


def test_a_task_that_starts_and_ends_within_one_watch_event_counts_as_placed(start_cluster):
    """Observed in a play: a silent host reported all states at once when it returned, and the watch delivered
    only the last one."""
    cluster = start_cluster()
    owner = RestOwner(cluster.loop, cluster.recorder, "r", "tenant", "a0", cluster.bound["rest"], 3)
    cluster.owners.append(owner)
    cluster.until(lambda: owner.has_subscribed)
    owner.jobs_by_id["t1"] = job = cluster.job("t1")
    job.state = "asked"
    event = {
        "job": "t1",
        "state": "TASK_FINISHED",
        "answer": "served",
        "retry": "never",
        "resourceVersion": "e-1",
    }
    owner._task(event)
    owner._task(event)
    answers = [
        e.state for e in cluster.recorder.entries if e.kind == "answer" and e.task == "rest:tenant/t1.0"
    ]
    assert answers == ["TASK_RUNNING", "TASK_FINISHED"] and job.outcome == "placed"


def test_a_non_idempotent_task_submitted_through_both_apis_starts_once(start_cluster):
    """A pipeline repeats each submission through the other API under the same key, as after an unknown outcome."""
    cluster = start_cluster()
    mesos = cluster.owner("o")  # of the role "tenant"
    rest = RestOwner(cluster.loop, cluster.recorder, "r", "tenant", "a0", cluster.bound["rest"], 3)
    cluster.owners.append(rest)
    cluster.until(lambda: rest.has_subscribed)
    for i in range(10):
        for owner in (mesos, rest) if i % 2 else (rest, mesos):
            job = cluster.job(f"w{i}" if owner is rest else f"w{i}.0", "store-compact", "unsafe")
            owner.request_task(job)  # the key is the task id in Mesos, and KEY.0 for a task of a REST job
    cluster.until(lambda: not mesos.jobs_by_id and not rest.jobs_by_id, 15_000.0)
    answers = [e for e in cluster.recorder.entries if e.kind == "answer"]
    assert sum(e.kind == "started" for e in cluster.recorder.entries) == 10
    assert sum(e.state == "TASK_FINISHED" for e in answers) == 10
    assert sum(e.state == "TASK_ERROR" for e in answers) == 10 and cluster.broken() == []


def test_reasons_of_waiting_tasks_show_the_last_refusals_within_two_seconds(start_cluster):
    """All hosts falsely refuse tasks as full; the reasons follow their refusals, and the tasks run after that."""
    cluster = start_cluster()
    owner = RestOwner(cluster.loop, cluster.recorder, "r", "tenant", "a0", cluster.bound["rest"], 3)
    cluster.owners.append(owner)
    cluster.until(lambda: owner.has_subscribed)

    def set_falsely_full(value):
        for host in cluster.hosts:
            host.machine.faults.is_falsely_full = value

    def last_refusals():
        """Returns host, cause and time of the last refusal of each task in the trace."""
        task_by_attempt, refusal_by_task = {}, {}
        for entry in cluster.recorder.entries:
            if entry.kind == "offered":
                task_by_attempt[entry.attempt] = entry.task
            elif entry.kind == "said" and entry.state == "TASK_DROPPED":
                refusal_by_task[task_by_attempt[entry.attempt]] = (entry.who, entry.text, entry.at)
        return refusal_by_task

    set_falsely_full(True)
    for i in range(8):
        job = cluster.job(f"t{i}", life=100.0)
        owner.timeout_ms_by_job[job.id] = 30_000.0
        owner.request_task(job)
    end_ms, compared = cluster.loop.now() + 4_000.0, 0
    while cluster.loop.now() < end_ms:
        resume_at_ms = cluster.loop.now() + 200.0
        cluster.until(lambda resume_at_ms=resume_at_ms: cluster.loop.now() > resume_at_ms)
        for name, (host, cause, at) in last_refusals().items():
            reason = owner.reason_by_job[name.split("/")[1].removesuffix(".0")]
            causes = [c for c in reason["causes"] if c["kind"] == f"refused-{cause}" and c["machine"] == host]
            if cluster.loop.now() - at > 2_000.0 or causes:
                assert causes, (name, host, cause, reason)
                compared += 1
    assert compared > 30 and len(last_refusals()) == 8
    set_falsely_full(False)
    cluster.until(lambda: not owner.jobs_by_id, 20_000.0)
    states = [e.state for e in cluster.recorder.entries if e.kind == "answer"]
    assert states.count("TASK_FINISHED") == 8 and "TASK_DROPPED" not in states and cluster.broken() == []


# ---- the document ----


def test_the_api_conforms_to_its_openapi_document(start_cluster):
    """Schemathesis generates requests from the served document and checks each response against it."""
    cluster = start_cluster(
        "rest requests 1000000 tenant-rate 1000000 tenant-burst 1000000 waiting-each 1000000 waiting 1000000\n"
    )
    base = "http://{}:{}".format(*cluster.bound["rest"])
    checks = (
        openapi_checks.status_code_conformance,
        openapi_checks.content_type_conformance,
        openapi_checks.response_schema_conformance,
    )

    def work():
        schema = schemathesis.openapi.from_url(f"{base}/openapi.json")
        results = []

        def send(case):
            if "watch" in (case.query or {}):
                case.query["watch"] = "0"  # other tests cover streams
            response = case.call_and_validate(checks=checks, timeout=10)
            results.append((case.operation.label, response.status_code))

        fixed_settings = settings(
            max_examples=12,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        for result in schema.get_all_operations():
            fixed_settings(given(case=result.ok().as_strategy())(send))()
        return results

    results = run_in_thread(cluster, work, 90_000.0)
    assert len({label for label, _ in results}) == 15
    statuses = {status for _, status in results}
    assert {200, 201, 404} <= statuses and not any(status >= 500 for status in statuses)


# ---- the command line ----


def run_command(cluster, *arguments, exit_code=0):
    """Runs a command against the daemon; returns its output after a check of its exit code."""
    host, port = cluster.bound["rest"]

    def work():
        command = [sys.executable, "-m", "glencleat", *arguments, "--server", f"{host}:{port}"]
        return subprocess.run(command, capture_output=True, text=True, timeout=30)

    done = run_in_thread(cluster, work, 30_000.0)
    assert done.returncode == exit_code and "Traceback" not in done.stderr, done.stdout + done.stderr
    return done.stdout + done.stderr


def test_the_commands(start_cluster):
    cluster = start_cluster()
    spec = ("--class", "pull-front", "--service", "web", "--cores", "1", "--memory", "100MB", "--life", "1m")
    response = run_command(
        cluster,
        "submit",
        "-t",
        "shop",
        "--name",
        "j",
        "--tasks",
        "2",
        "--label",
        "app=web",
        *spec,
        "--follow",
    )
    assert "placed" in response
    assert "web" in run_command(cluster, "get", "jobs") and "TASK_" in run_command(
        cluster, "get", "tasks", "-t", "shop", "-l", "app=web"
    )
    items = json.loads(run_command(cluster, "get", "tasks", "-o", "json", "-t", "shop"))
    assert [item["name"] for item in items] == ["j.0", "j.1"]
    assert "hall-a" in run_command(cluster, "get", "machines") and "web" in run_command(
        cluster, "get", "services"
    )
    run_command(
        cluster,
        "submit",
        "-t",
        "shop",
        "--name",
        "big",
        *spec[:4],
        "--cores",
        "9999",
        "--memory",
        "1GB",
        "--wait",
        "20s",
    )
    started_at_ms = cluster.loop.now()
    cluster.until(lambda: cluster.loop.now() > started_at_ms + 800.0)
    assert "no machine is known that takes 9999 cores" in run_command(cluster, "why", "big.0", "-t", "shop")
    lines = run_command(cluster, "watch", "jobs", "-t", "shop", "-o", "json", "--for", "1").splitlines()
    assert {json.loads(line)["object"]["name"] for line in lines} == {"j", "big"}
    run_command(cluster, "cancel", "job", "big", "-t", "shop")
    assert "is not known here" in run_command(cluster, "get", "jobs", "big", "-t", "shop", exit_code=1)
    assert "expected --tenant" in run_command(cluster, "get", "jobs", "j", exit_code=2)
    assert "expected FILE, or --class" in run_command(cluster, "submit", "-t", "shop", exit_code=2)
    cluster.daemon.servers["rest"].close()
    assert "can't be reached" in run_command(cluster, "get", "jobs", exit_code=3)


def test_metrics_include_the_rest_api(start_cluster):
    cluster = start_cluster()
    send_raw(cluster, post("a", tasks=2) + FINAL_REQUEST)

    def scrape():
        with socket.create_connection(cluster.bound["metrics"], timeout=5) as sock:
            sock.sendall(request("GET", "/metrics", headers="connection: close\r\n"))
            received = b""
            while chunk := sock.recv(65_536):
                received += chunk
            return received.decode()

    response = run_in_thread(cluster, scrape)
    assert 'glencleat_rest_requests_total{status="201"} 1.0' in response
    assert (
        'glencleat_rest_resources{kind="tasks"} 2.0' in response and "glencleat_rest_watches 0.0" in response
    )

"""The REST front on real sockets: hostile peers, slow watchers, the document, owners and the command line."""

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
def world(tmp_path):
    made = []

    def make(conf="", **more):
        made.append(World(tmp_path, conf="listen rest 127.0.0.1:0\n" + conf, **more))
        return made[-1]

    yield make
    for each in made:
        each.close()


def beside(day, work, ms=20_000.0):
    """Runs blocking client code in a thread while the loop serves it; gives its result or raises its error."""
    told = []

    def run():
        try:
            told.append((work(), None))
        except BaseException as error:
            told.append((None, error))

    thread = threading.Thread(target=run)
    thread.start()
    day.until(lambda: told, ms)
    thread.join()
    if told[0][1] is not None:
        raise told[0][1]
    return told[0][0]


def raw(day, data, until=b"", close=False):
    """Sends bytes on a connection and reads until the peer ends it, or `until` has come."""

    def work():
        with socket.create_connection(day.bound["rest"], timeout=10) as sock:
            sock.sendall(data)
            if close:
                sock.shutdown(socket.SHUT_WR)
            got = b""
            while True:
                more = sock.recv(65_536)
                got += more
                if not more or (until and until in got):
                    return got

    return beside(day, work)


def request(method, target, body=None, *, headers="", host="x"):
    data = b"" if body is None else json.dumps(body).encode()
    kind = "content-type: application/json\r\n" if body is not None else ""
    head = f"{method} {target} HTTP/1.1\r\nhost: {host}\r\ncontent-length: {len(data)}\r\n{kind}{headers}\r\n"
    return head.encode() + data


def post(name, tenant="t", **spec):
    return request("POST", f"/v1/tenants/{tenant}/jobs", {"name": name, "spec": JOB | spec})


LAST = request("GET", "/v1/jobs", headers="connection: close\r\n")


# ---- peers that mean no good, or are gone ----


def test_a_client_gone_in_mid_body_creates_nothing(world):
    day = world()
    told = raw(day, post("a")[:-30], close=True)
    assert told.startswith(b"HTTP/1.1 400") and b"application/problem+json" in told
    assert b'"items":[]' in raw(day, LAST) and not day.daemon.rest_service.jobs_by_name


def test_pipelined_requests_are_answered_in_order(world):
    day = world()
    told = raw(day, post("a") + post("b") + post("a") + LAST)
    assert re.findall(rb"HTTP/1.1 (\d+)", told) == [b"201", b"201", b"409", b"200"]


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
def test_shapes_that_smuggle_a_request_are_refused_and_the_connection_ends(world, head):
    """Whatever follows in the bytes is not taken for a request of its own."""
    day = world()
    hidden = post("hidden").decode()
    told = raw(day, f"POST /v1/tenants/t/jobs HTTP/1.1\r\nhost: x\r\n{head}\r\nabc{hidden}".encode())
    assert told.startswith((b"HTTP/1.1 400", b"HTTP/1.1 501")) and told.count(b"HTTP/1.1") == 1
    assert not day.daemon.rest_service.jobs_by_name


def test_a_folded_header_is_one_header_and_no_request(world):
    """obs-fold: RFC 9112 (5.2) lets a server refuse it or read it as a space; it is never a line of its own."""
    day = world()
    told = raw(
        day, b"GET /v1/jobs HTTP/1.1\r\nhost: x\r\nx: a\r\n content-length: 5\r\nconnection: close\r\n\r\n"
    )
    assert told.startswith((b"HTTP/1.1 200", b"HTTP/1.1 400")) and told.count(b"HTTP/1.1") == 1


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
def test_what_is_too_large_or_no_request_is_told_as_a_problem(world, data, status):
    day = world()
    told = raw(day, data, until=b"}")
    assert told.startswith(b"HTTP/1.1 " + status) and b"application/problem+json" in told


# ---- watches ----


def test_a_watch_that_cannot_begin_leaves_nothing_behind(world):
    day = world()
    told = raw(day, b"GET /v1/jobs?watch=1 HTTP/1.0\r\n\r\n")
    assert told.startswith(b"HTTP/1.1 505") and day.daemon.rest_service.channels.watcher_count == 0


def test_a_watcher_that_hangs_up_is_forgotten_at_once(world):
    day = world()
    with socket.create_connection(day.bound["rest"]) as sock:
        sock.sendall(request("GET", "/v1/jobs?watch=1"))
        day.until(
            lambda: (
                day.daemon.rest_service.channels.watcher_count == 1
                and day.daemon.rest_service.channels.channels_by_key
            )
        )
    day.until(lambda: day.daemon.rest_service.channels.watcher_count == 0, 1_000.0)
    assert not day.daemon.rest_api.sinks_by_watcher


def test_many_readers_with_much_to_read_take_turns(world):
    """Each begins with 3,000 resources; none has the loop for itself, and all get all, once."""
    day = world("rest first-round 10m\n")
    plane = day.daemon.rest_service
    plane._schedule_rounds = lambda *_: None
    for i in range(6):
        raw(day, post(f"b{i}", f"t{i}", tasks=500), until=b"}")
    day.until(lambda: plane.versions.stores_by_kind["tasks"].live_count == 3_000)

    def read():
        socks = [socket.create_connection(day.bound["rest"], timeout=10) for _ in range(8)]
        got = [b""] * 8
        for sock in socks:
            sock.sendall(request("GET", "/v1/tasks?watch=1"))
        for i, sock in enumerate(socks):
            while b"BOOKMARK" not in got[i]:
                got[i] += sock.recv(1 << 20)
            sock.close()
        return [set(re.findall(rb'"name":"(b[0-9.]+)"', data)) for data in got]

    assert [len(names) for names in beside(day, read)] == [3_000] * 8
    day.until(lambda: plane.channels.watcher_count == 0)


def test_a_watcher_that_stops_reading_in_a_burst_is_cut_off_and_nobody_waits_for_it(world):
    """10,000 events; another watcher gets them all, and tasks are placed meanwhile."""
    day = world("rest watch-stall 500ms first-round 10m\n")
    plane = day.daemon.rest_service
    stuck = socket.create_connection(day.bound["rest"])
    stuck.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    stuck.sendall(request("GET", "/v1/tasks?watch=1"))
    day.until(lambda: plane.channels.watcher_count == 1)
    names, reading = [], []

    def read():
        with socket.create_connection(day.bound["rest"], timeout=10) as sock:
            sock.sendall(request("GET", "/v1/tasks?watch=1"))
            reading.append(1)
            rest = b""
            while len(names) < 10_000:
                *lines, rest = (rest + sock.recv(1 << 20)).split(b"\n")
                names.extend(line for line in lines if b"ADDED" in line and b"rest:" in line)

    thread = threading.Thread(target=read)
    thread.start()
    day.until(lambda: plane.channels.watcher_count == 2)
    owner = day.owner()
    plane._schedule_rounds = lambda *_: None  # a burst of events and not of placements
    for i in range(20):
        told = raw(day, post(f"b{i}", f"t{i}", tasks=500), until=b"}")
        assert told.startswith(b"HTTP/1.1 201")
    owner.request_task(day.job("quick", life=100.0))
    day.until(lambda: "TASK_FINISHED" in day.states(owner, "quick"))
    day.until(lambda: not thread.is_alive(), 20_000.0)
    assert len(set(names)) == 10_000
    day.until(lambda: plane.channels.watcher_count == 0, 20_000.0)
    assert any(event == "watch cut off" and "too slow" in more["why"] for event, more in day.log.lines)
    stuck.close()  # reading all that lies in the sockets would take a small window minutes


def test_a_watch_resumed_across_a_compaction_is_told_so(world):
    day = world("rest events 20\n")
    told = raw(day, post("a") + LAST)
    version = json.loads(told.rsplit(b"\r\n\r\n", 1)[1])["resourceVersion"]
    target = f"/v1/jobs?watch=1&timeoutSeconds=1&resourceVersion={version}"
    assert raw(day, request("GET", target, headers="connection: close\r\n"), until=b"BOOKMARK").startswith(
        b"HTTP/1.1 200"
    )
    for i in range(30):
        raw(day, post(f"b{i}"), until=b"}}")
    gone = raw(day, request("GET", target), until=b"}")
    assert gone.startswith(b"HTTP/1.1 410") and b"too old; list again" in gone


def test_a_rest_owners_tasks_run_though_its_connections_break(world):
    day = world()
    owner = RestOwner(day.loop, day.recorder, "r", "tenant", "a0", day.bound["rest"], 3)
    day.owners.append(owner)
    day.until(lambda: owner.has_subscribed)
    for i in range(12):
        owner.request_task(
            day.job(f"t{i}", *(("store-compact", "unsafe") if i % 3 == 0 else ("pull-front", "safe")))
        )
        if i == 5:
            owner.disconnect()
            owner.request_queue.disconnect()
    day.until(lambda: not owner.jobs_by_id, 15_000.0)
    for i in range(12):
        states = [
            e.state for e in day.recorder.entries if e.kind == "answer" and e.task == f"rest:tenant/t{i}.0"
        ]
        assert states[-1] == "TASK_FINISHED"
    assert sum(e.kind == "started" for e in day.recorder.entries) == 12
    assert day.broken() == [] and day.core.counters.find_mismatches() == {}


def test_a_task_placed_and_over_between_two_looks_was_answered(world):
    """Seen in a play: a silent host told all at once when it came back, and the watch told the last state."""
    day = world()
    owner = RestOwner(day.loop, day.recorder, "r", "tenant", "a0", day.bound["rest"], 3)
    day.owners.append(owner)
    day.until(lambda: owner.has_subscribed)
    owner.jobs_by_id["t1"] = job = day.job("t1")
    job.state = "asked"
    told = {
        "job": "t1",
        "state": "TASK_FINISHED",
        "answer": "served",
        "retry": "never",
        "resourceVersion": "e-1",
    }
    owner._task(told)
    owner._task(told)
    answers = [e.state for e in day.recorder.entries if e.kind == "answer" and e.task == "rest:tenant/t1.0"]
    assert answers == ["TASK_RUNNING", "TASK_FINISHED"] and job.outcome == "placed"


def test_the_same_unsafe_work_by_both_fronts_starts_once(world):
    """A pipeline that asks by the Scheduler API and, unsure, by REST as well, under one key, many times over."""
    day = world()
    mesos = day.owner("o")  # of the role "tenant"
    rest = RestOwner(day.loop, day.recorder, "r", "tenant", "a0", day.bound["rest"], 3)
    day.owners.append(rest)
    day.until(lambda: rest.has_subscribed)
    for i in range(10):
        for owner in (mesos, rest) if i % 2 else (rest, mesos):
            job = day.job(f"w{i}" if owner is rest else f"w{i}.0", "store-compact", "unsafe")
            owner.request_task(job)  # the key of a Mesos ask is its id, that of a REST job's task is KEY.0
    day.until(lambda: not mesos.jobs_by_id and not rest.jobs_by_id, 15_000.0)
    answers = [e for e in day.recorder.entries if e.kind == "answer"]
    assert sum(e.kind == "started" for e in day.recorder.entries) == 10
    assert sum(e.state == "TASK_FINISHED" for e in answers) == 10
    assert sum(e.state == "TASK_ERROR" for e in answers) == 10 and day.broken() == []


def test_every_waiting_task_tells_what_machines_last_said_within_two_seconds(world):
    """All hosts refuse falsely, though they have all their room; the reasons follow them, and their recovery."""
    day = world()
    owner = RestOwner(day.loop, day.recorder, "r", "tenant", "a0", day.bound["rest"], 3)
    day.owners.append(owner)
    day.until(lambda: owner.has_subscribed)

    def set_full(on):
        for host in day.hosts:
            host.machine.faults.is_falsely_full = on

    def last_said():
        """Task -> host, cause and time of the last refusal that was written."""
        tasks, said = {}, {}
        for entry in day.recorder.entries:
            if entry.kind == "offered":
                tasks[entry.attempt] = entry.task
            elif entry.kind == "said" and entry.state == "TASK_DROPPED":
                said[tasks[entry.attempt]] = (entry.who, entry.text, entry.at)
        return said

    set_full(True)
    for i in range(8):
        job = day.job(f"t{i}", life=100.0)
        owner.timeout_ms_by_job[job.id] = 30_000.0
        owner.request_task(job)
    end, compared = day.loop.now() + 4_000.0, 0
    while day.loop.now() < end:
        pause = day.loop.now() + 200.0
        day.until(lambda pause=pause: day.loop.now() > pause)
        for name, (host, cause, at) in last_said().items():
            reason = owner.reason_by_job[name.split("/")[1].removesuffix(".0")]
            causes = [c for c in reason["causes"] if c["kind"] == f"refused-{cause}" and c["machine"] == host]
            if day.loop.now() - at > 2_000.0 or causes:
                assert causes, (name, host, cause, reason)
                compared += 1
    assert compared > 30 and len(last_said()) == 8
    set_full(False)
    day.until(lambda: not owner.jobs_by_id, 20_000.0)
    ends = [e.state for e in day.recorder.entries if e.kind == "answer"]
    assert ends.count("TASK_FINISHED") == 8 and "TASK_DROPPED" not in ends and day.broken() == []


# ---- the document ----


def test_the_front_is_as_its_document_says(world):
    """Schemathesis makes requests from the document that is served, and checks each answer against it."""
    day = world(
        "rest requests 1000000 tenant-rate 1000000 tenant-burst 1000000 waiting-each 1000000 waiting 1000000\n"
    )
    base = "http://{}:{}".format(*day.bound["rest"])
    checks = (
        openapi_checks.status_code_conformance,
        openapi_checks.content_type_conformance,
        openapi_checks.response_schema_conformance,
    )

    def work():
        schema = schemathesis.openapi.from_url(f"{base}/openapi.json")
        tried = []

        def attempt(case):
            if "watch" in (case.query or {}):
                case.query["watch"] = "0"  # streams have tests of their own
            told = case.call_and_validate(checks=checks, timeout=10)
            tried.append((case.operation.label, told.status_code))

        quiet = settings(
            max_examples=12,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        for result in schema.get_all_operations():
            quiet(given(case=result.ok().as_strategy())(attempt))()
        return tried

    tried = beside(day, work, 90_000.0)
    assert len({label for label, _ in tried}) == 15
    statuses = {status for _, status in tried}
    assert {200, 201, 404} <= statuses and not any(status >= 500 for status in statuses)


# ---- the command line ----


def command(day, *words, fails=0):
    host, port = day.bound["rest"]

    def work():
        told = [sys.executable, "-m", "glencleat", *words, "--server", f"{host}:{port}"]
        return subprocess.run(told, capture_output=True, text=True, timeout=30)

    done = beside(day, work, 30_000.0)
    assert done.returncode == fails and "Traceback" not in done.stderr, done.stdout + done.stderr
    return done.stdout + done.stderr


def test_the_commands(world):
    day = world()
    spec = ("--class", "pull-front", "--service", "web", "--cores", "1", "--memory", "100MB", "--life", "1m")
    told = command(
        day, "submit", "-t", "shop", "--name", "j", "--tasks", "2", "--label", "app=web", *spec, "--follow"
    )
    assert "placed" in told
    assert "web" in command(day, "get", "jobs") and "TASK_" in command(
        day, "get", "tasks", "-t", "shop", "-l", "app=web"
    )
    items = json.loads(command(day, "get", "tasks", "-o", "json", "-t", "shop"))
    assert [item["name"] for item in items] == ["j.0", "j.1"]
    assert "hall-a" in command(day, "get", "machines") and "web" in command(day, "get", "services")
    command(
        day,
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
    time_ = day.loop.now()
    day.until(lambda: day.loop.now() > time_ + 800.0)
    assert "no machine is known that takes 9999 cores" in command(day, "why", "big.0", "-t", "shop")
    lines = command(day, "watch", "jobs", "-t", "shop", "-o", "json", "--for", "1").splitlines()
    assert {json.loads(line)["object"]["name"] for line in lines} == {"j", "big"}
    command(day, "cancel", "job", "big", "-t", "shop")
    assert "is not known here" in command(day, "get", "jobs", "big", "-t", "shop", fails=1)
    assert "expected --tenant" in command(day, "get", "jobs", "j", fails=2)
    assert "expected FILE, or --class" in command(day, "submit", "-t", "shop", fails=2)
    day.daemon.servers["rest"].close()
    assert "can't be reached" in command(day, "get", "jobs", fails=3)


def test_metrics_tell_of_the_front(world):
    day = world()
    raw(day, post("a", tasks=2) + LAST)

    def scrape():
        with socket.create_connection(day.bound["metrics"], timeout=5) as sock:
            sock.sendall(request("GET", "/metrics", headers="connection: close\r\n"))
            got = b""
            while more := sock.recv(65_536):
                got += more
            return got.decode()

    told = beside(day, scrape)
    assert 'glencleat_rest_requests_total{status="201"} 1.0' in told
    assert 'glencleat_rest_resources{kind="tasks"} 2.0' in told and "glencleat_rest_watches 0.0" in told

"""Allocator processes that are stopped for a while: each request still has its one answer in its time.

Judged from what the clients sent and received. While an allocator is stopped, set-ups wait in its sockets, hosts
answer and time-outs become due; when it goes on, it must know how long each of them has waited.
"""

import socket

import pytest

from glencleat.emulators.platform_peers import PlatformHost
from glencleat.platform_protocol import messages as m
from tests.support.exchange_world import setup
from tests.support.platform_client import PlatformClient
from tests.support.process_cluster import ProcessCluster

ALLOCATORS = 3
WAIT_MS = 3_000.0  # how long each client waits
LATEST_MS = WAIT_MS + 500.0 + 50.0  # later is lost, by the operators' page, with its slack
REQUESTS_EACH = 8


class ScriptedHost(PlatformHost):
    """Answers each set-up by its present mode."""

    mode = "accepts"

    def _take(self, stream, task):
        if self.mode == "rejects":
            self._say(stream, m.encode_with_cause(m.RELEASE, task, m.REJECTED))
        elif self.mode == "is silent":
            self.received_setups.append((self.loop.now(), task))
        else:
            super()._take(stream, task)


def make_scripted_host(loop):
    return ScriptedHost(loop, "h0", life_ms=30_000.0, decide_ms=400.0)


class UnreachableHost:
    """Never accepts: its backlog is full, so that a connect neither succeeds nor fails."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.port = self.listener.getsockname()[1]
        self.fillers = [socket.socket() for _ in range(4)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())

    def close(self):
        for sock in (self.listener, *self.fillers):
            sock.close()


class TimedClient(PlatformClient):
    """Records when each request was sent and how long each final answer took."""

    def __init__(self, loop, address):
        super().__init__(loop, address)
        self.sent_at_by_task, self.answers_by_task = {}, {}

    def record(self, message):
        if message.kind == m.ANSWER or message.task_id not in self.answers_by_task:
            waited_ms = self.loop.now() - self.sent_at_by_task[message.task_id]
            self.answers_by_task.setdefault(message.task_id, []).append(waited_ms)

    def request(self, task):
        self.sent_at_by_task[task] = self.loop.now()
        self.stream.send(setup(task, wait=int(WAIT_MS)))


class Cluster(ProcessCluster):
    def __init__(self, folder, make_host):
        super().__init__(folder, ALLOCATORS, make_host)
        self.clients, self.last_task = [], 0

    def start(self):
        super().start()
        self.clients = [TimedClient(self.loop, self.allocators.listen_address(i)) for i in range(ALLOCATORS)]
        self.until(lambda: all(client.stream for client in self.clients), 5_000.0)

    def wait(self, ms):
        end = self.loop.now() + ms
        self.until(lambda: self.loop.now() >= end, ms + 5_000.0)

    def request_from_each(self):
        for client in self.clients:
            self.last_task += 1
            client.request(self.last_task)

    def request_during(self, span_ms):
        """Requests of each client, spread over a time; returns when it is over."""
        for _ in range(REQUESTS_EACH):
            self.request_from_each()
            self.wait(span_ms / REQUESTS_EACH)


@pytest.fixture
def cluster(tmp_path):
    with Cluster(tmp_path, make_scripted_host) as cluster:
        cluster.start()
        yield cluster


@pytest.mark.parametrize(
    "mode",
    ["accepts", "rejects", "is silent"],
    ids=["answered or unread", "held", "sent"],
)
@pytest.mark.parametrize(
    ("stalled_count", "stall_ms"), [(1, 300.0), (1, 2_000.0), (2, 2_000.0)], ids=["short", "long", "most"]
)
def test_a_stall_makes_no_request_late(cluster, mode, stalled_count, stall_ms):
    """Guards against waits that are reckoned from the end of a stall: the answers came after the client's
    time.

    Half of the requests are out, held or about to be answered when the stall begins, half come during it.
    """
    cluster.request_from_each()
    cluster.wait(600.0)  # connections to the host are up
    cluster.host.mode = mode
    cluster.request_during(600.0)
    stall(cluster, stalled_count, stall_ms)
    check_answers(cluster)


@pytest.mark.parametrize(("stalled_count", "stall_ms"), [(1, 300.0), (2, 2_000.0)], ids=["short", "most"])
def test_a_stall_while_a_host_is_dialled_makes_no_request_late(tmp_path, stalled_count, stall_ms):
    """Guards against the same for requests whose connection to a host is still to be established."""
    with Cluster(tmp_path, lambda loop: UnreachableHost()) as cluster:
        cluster.start()
        cluster.request_during(600.0)
        stall(cluster, stalled_count, stall_ms)
        check_answers(cluster)
        assert all("connection timed out" in log for log in cluster.read_logs())


def stall(cluster, stalled_count, stall_ms):
    """Stops some allocators while requests arrive, then waits for as long as an answer may take."""
    for number in range(stalled_count):
        cluster.allocators.stall(number)
    cluster.request_during(stall_ms)
    for number in range(stalled_count):
        cluster.allocators.resume(number)
    cluster.wait(LATEST_MS)


def check_answers(cluster):
    """Each request has one answer, in time."""
    for client in cluster.clients:
        assert sorted(client.answers_by_task) == sorted(client.sent_at_by_task)
        for task, waits_ms in client.answers_by_task.items():
            assert len(waits_ms) == 1, (task, waits_ms)
            assert waits_ms[0] <= LATEST_MS, (task, waits_ms)

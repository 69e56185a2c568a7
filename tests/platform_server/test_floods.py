"""Clients that send as fast as they can: the process keeps its memory, and other clients get their answers.

Real processes and sockets. The memory limit is that of the process's configuration.
"""

import itertools

import pytest

from glencleat.platform_protocol import messages as m
from glencleat.platform_server import client_connections, receive_budget
from tests.support.exchange_world import setup
from tests.support.flooding_client import FloodingClient
from tests.support.platform_client import PlatformClient
from tests.support.process_cluster import ProcessCluster
from tests.support.process_hosts import AcceptingHost

MEMORY_LIMIT_MB = 64  # of the configuration that `AllocatorProcesses` writes
ANSWER_TIMEOUT_MS = 4_000
ANSWER_LOST_AFTER_MS = 4_500.0  # by the fleet page: up to half a second late an answer only earns nothing
MESSAGES_PER_BATCH = 200
FLOOD_MS, ASK_INTERVAL_MS = 5_000.0, 100.0
SMALL_TASK = "cores:0.1;memory:0.1;service:web"  # one host has the capacity for all
FLOOD_TASK_IDS = itertools.count(1 << 40)


def make_releases():
    return m.encode_with_cause(m.RELEASE, next(FLOOD_TASK_IDS), m.CANCELLED)


def make_cancelled_setup():
    task = next(FLOOD_TASK_IDS)
    return setup(task) + m.encode_with_cause(m.RELEASE, task, m.CANCELLED)


def make_handed_over_task():
    return setup(next(FLOOD_TASK_IDS), extras=f"{SMALL_TASK};at:h0")


def make_task_of_an_unknown_host():
    task = next(FLOOD_TASK_IDS)
    return setup(task, name=f"{task:x}", extras=f"cores:0.1;memory:0.1;service:s{task};at:unknown-{task}")


def make_batch(make_messages):
    return b"".join(make_messages() for _ in range(MESSAGES_PER_BATCH))


@pytest.fixture
def cluster(tmp_path):
    with ProcessCluster(tmp_path, 1, AcceptingHost) as cluster:
        cluster.start()
        yield cluster


class AskingClient(PlatformClient):
    """Sends a set-up every ASK_INTERVAL_MS; records how long each answer took."""

    def __init__(self, loop, address):
        super().__init__(loop, address)
        self.asked_at_by_task, self.latencies_ms, self.refused_count = {}, [], 0

    def ask(self, task):
        self.asked_at_by_task[task] = self.loop.now()
        self.stream.send(setup(task, wait=ANSWER_TIMEOUT_MS, extras=SMALL_TASK))

    def record(self, message):
        asked_at_ms = self.asked_at_by_task.pop(message.task_id, None)
        if asked_at_ms is not None:
            self.latencies_ms.append(self.loop.now() - asked_at_ms)
            self.refused_count += message.kind == m.RELEASE


def flood(cluster, client_count, make_messages):
    """Returns the peak of the process's resident memory in megabytes, and a client that asked all the time."""
    address = cluster.allocators.listen_address(0)
    asking = AskingClient(cluster.loop, address)
    cluster.until(lambda: asking.stream, ANSWER_TIMEOUT_MS)
    flooding = [
        FloodingClient(cluster.loop, address, lambda: make_batch(make_messages)) for _ in range(client_count)
    ]
    peak_mb = 0.0
    for task in range(1, int(FLOOD_MS / ASK_INTERVAL_MS) + 1):
        asking.ask(task)
        until_ms = cluster.loop.now() + ASK_INTERVAL_MS
        cluster.until(lambda until_ms=until_ms: cluster.loop.now() >= until_ms, ANSWER_TIMEOUT_MS)
        assert cluster.allocators.is_alive(0)
        peak_mb = max(peak_mb, cluster.allocators.resident_mb(0))
    for client in flooding:
        client.stop()
    cluster.until(lambda: not asking.asked_at_by_task, ANSWER_TIMEOUT_MS)
    return peak_mb, asking


@pytest.mark.parametrize("make_messages", [make_releases, make_cancelled_setup])
def test_hundreds_of_clients_that_send_small_messages_leave_the_memory_limit(cluster, make_messages):
    """Guards against a process killed for its memory: an index of the releases read ahead took ten times
    their bytes, on each of hundreds of connections."""
    peak_mb, asking = flood(cluster, 200, make_messages)
    assert peak_mb < MEMORY_LIMIT_MB
    assert max(asking.latencies_ms) < ANSWER_TIMEOUT_MS and not asking.refused_count


@pytest.mark.parametrize("make_messages", [make_handed_over_task, make_task_of_an_unknown_host])
def test_a_client_that_names_ever_new_tasks_leaves_the_memory_limit(cluster, make_messages):
    """Guards against memory without end: each task that a client named (`at`) was adopted.

    The one host is full of the named tasks, so other clients may be refused, but in time.
    """
    peak_mb, asking = flood(cluster, 1, make_messages)
    assert peak_mb < MEMORY_LIMIT_MB
    assert max(asking.latencies_ms) < ANSWER_LOST_AFTER_MS


def test_connections_are_read_ahead_only_while_few_bytes_are_buffered_in_all(world, monkeypatch):
    """Guards against memory that grows with the number of clients that write faster than they are served."""
    monkeypatch.setattr(receive_budget, "MAX_TOTAL_BYTES", 100_000)
    socks = [world.client() for _ in range(12)]
    world.until(lambda: len(world.owners.connections) == len(socks))
    for sock in socks:
        sock.send(m.encode(m.PROGRESS, 7) * 9_000)
    for client in list(world.owners.connections):
        world.owners.read_pending(client)
    buffered = [len(client.inbox.buffer) for client in world.owners.connections]
    assert sum(buffered) == world.owners.receive_budget.buffered_bytes
    assert max(buffered) > 90_000  # the first one was read ahead
    per_connection = receive_budget.LARGEST_MESSAGE_BYTES + client_connections.READ_SIZE
    assert sum(buffered) < 100_000 + receive_budget.MAX_CONNECTION_BYTES + len(socks) * per_connection
    assert min(buffered) > 0
    for sock in socks:
        sock.close()
    world.until(lambda: not world.owners.connections)
    assert world.owners.receive_budget.buffered_bytes == 0

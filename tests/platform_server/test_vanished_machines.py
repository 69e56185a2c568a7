"""A machine vanishes, and a new process takes its address before the tasks of the former one were released.

Real allocator processes; all cases are played side by side, each at a host of its own.
"""

import time
from dataclasses import dataclass, field

import pytest

from glencleat.emulators.channel import make_list_entry
from glencleat.platform_protocol import messages as m
from glencleat.platform_server.failure_detector import NEVER
from tests.support.exchange_world import setup
from tests.support.platform_client import CONNECT_TIMEOUT_MS, PlatformClient
from tests.support.process_cluster import ProcessCluster
from tests.support.process_hosts import VanishingHost
from tests.support.socket_world import pass_time

LOST_DUE_MS = 8_050.0  # after the end of a task whose host could send no release
SETTLED_MS = 4_500.0  # until the list has had the time to tell of every process
OBSERVED_MS = 10_500.0
SETUP_INTERVAL_MS = 100.0
LARGE_CORES, SMALL_CORES = 6.0, 0.1  # a host has 16, which may be booked twice
MAX_SETUPS = 200


@dataclass
class Case:
    """What becomes of a host whose machine vanishes at 0, in milliseconds from then."""

    taken_at_ms: float  # a process of another machine accepts connections at the address
    listed_after_ms: float  # after that: the list tells of it
    is_same_name: bool = False
    are_connects_refused: bool = False  # meanwhile; otherwise they never come up
    vanishes_after_ms: float | None = None  # the new process's machine, after its start
    lost_tasks: set = field(default_factory=set)


CASES = (
    Case(2_000.0, 2_500.0),
    Case(4_500.0, 2_000.0),
    Case(5_500.0, 2_000.0),
    Case(6_000.0, 2_400.0),
    Case(6_300.0, 900.0),
    Case(6_700.0, 900.0),
    Case(6_700.0, 2_000.0),
    Case(6_000.0, 2_000.0, is_same_name=True),
    Case(6_700.0, 2_000.0, is_same_name=True),
    Case(5_500.0, 2_400.0, vanishes_after_ms=500.0),
    Case(5_000.0, 2_000.0, are_connects_refused=True),
    Case(6_500.0, 2_300.0, are_connects_refused=True),
    Case(7_200.0, 2_000.0),
)


class Cluster(ProcessCluster):
    """One allocator with a host for each case."""

    def __init__(self, folder, host_count):
        super().__init__(folder, 1, VanishingHost)
        self.hosts = [self.host, *(VanishingHost(self.loop) for _ in range(host_count - 1))]
        entries = [make_list_entry(f"h{n}", host.port) for n, host in enumerate(self.hosts)]
        self.service.publish(entries)
        self.allocators.configure(0, self.service.address, self.service.take_snapshot())
        self.released_at_ms = {}
        self.setup_count = 0

    def __exit__(self, *error):
        for host in self.hosts[1:]:
            host.close()
        super().__exit__(*error)

    def connect(self):
        client = PlatformClient(self.loop, self.allocators.listen_address(0))
        self.until(lambda: client.stream, CONNECT_TIMEOUT_MS)
        client.record = lambda message: self.record(client, message)
        return client

    def record(self, client, message):
        client.received.append((message.kind, message.task_id))
        if message.kind == m.RELEASE:
            self.released_at_ms.setdefault(message.task_id, self.loop.now())

    def place_on_all(self, client):
        """Places tasks until each host has some."""
        while not all(host.running_tasks for host in self.hosts):
            assert self.setup_count < MAX_SETUPS
            self.send_setup(client, LARGE_CORES)
            pass_time(self, 20.0)

    def send_setup(self, client, cores):
        self.setup_count += 1
        client.stream.send(setup(self.setup_count, extras=f"cores:{cores};memory:0.1;service:s"))


@pytest.fixture
def make_cluster(tmp_path):
    clusters = []

    def make(host_count):
        clusters.append(Cluster(tmp_path, host_count).__enter__())
        clusters[0].start()
        return clusters[0]

    yield make
    for cluster in clusters:
        cluster.__exit__(None, None, None)


def play(cluster, number, case):
    """Schedules a case at the host of its number."""
    host, loop = cluster.hosts[number], cluster.loop
    case.lost_tasks = set(host.running_tasks)
    host.vanish(are_connects_refused=case.are_connects_refused)
    loop.call_in(case.taken_at_ms, host.start_process)
    if case.vanishes_after_ms is not None:
        loop.call_in(case.taken_at_ms + case.vanishes_after_ms, host.vanish)
    name = f"h{number}" if case.is_same_name else f"new-{number}"

    def tell():
        cluster.service.publish([make_list_entry(name, host.port, started_ms=round(time.time() * 1e3))])

    loop.call_in(case.taken_at_ms + case.listed_after_ms, tell)


@pytest.mark.parametrize("has_setups", [False, True], ids=["quiet", "loaded"])
def test_tasks_of_a_vanished_machine_are_released_in_time_whoever_takes_its_address(make_cluster, has_setups):
    """Guards against a new process whose accepted connection lets the former one's silence be forgotten."""
    cluster = make_cluster(len(CASES))
    client = cluster.connect()
    cluster.place_on_all(client)
    pass_time(cluster, SETTLED_MS)
    began_at_ms = cluster.loop.now()
    for number, case in enumerate(CASES):
        play(cluster, number, case)
    while has_setups and cluster.loop.now() < began_at_ms + LOST_DUE_MS:
        cluster.send_setup(client, SMALL_CORES)
        pass_time(cluster, SETUP_INTERVAL_MS)
    pass_time(cluster, began_at_ms + OBSERVED_MS - cluster.loop.now())
    late = []
    for case in CASES:
        latest_ms = max(cluster.released_at_ms.get(task, NEVER) for task in case.lost_tasks) - began_at_ms
        if latest_ms > LOST_DUE_MS:
            late.append(f"{case}: {latest_ms:.0f} ms")
    assert not late, "\n".join(late)


def test_tasks_of_a_process_that_lives_are_kept(make_cluster):
    """Guards against a release of tasks that run: their machine is cut off for a while, or their host hangs."""
    cluster = make_cluster(3)
    client = cluster.connect()
    cluster.place_on_all(client)
    pass_time(cluster, SETTLED_MS)
    short_cut, long_cut, hanging = cluster.hosts
    tasks = [set(host.running_tasks) for host in cluster.hosts]
    short_cut.fall_silent(do_connects_come_up=False)
    long_cut.fall_silent(do_connects_come_up=False)
    hanging.fall_silent(do_connects_come_up=True)
    cluster.loop.call_in(3_000.0, short_cut.recover)
    cluster.loop.call_in(5_500.0, long_cut.recover)
    cluster.loop.call_in(20_000.0, hanging.recover)
    pass_time(cluster, 24_000.0)
    assert [host.running_tasks for host in cluster.hosts] == tasks
    assert cluster.released_at_ms == {}

"""A host's process ends, and the new one at its address has nothing to report on the former one's tasks.

Real allocator processes. The client is judged by what it received: each task of the former process is released
in time, though no host ever reports on it, and the tasks of the new process stand.
"""

import time
from enum import Enum

import pytest

from glencleat.platform_protocol import messages as m
from tests.support.exchange_world import setup
from tests.support.process_cluster import ReplaceableHostCluster
from tests.support.socket_world import pass_time

TASKS, NEW_TASK = (1, 2, 3), 10
LIST_DELAY_MS = 500.0
LOST_DUE_MS = 8_050.0  # after the end of a task whose host could send no release
HANDED_OVER_MS = 200.0  # what is handed over counts so long after that
RELEASE_DUE_MS = 1_050.0  # after the host's release
OBSERVED_MS = 2_500.0  # how long the new process's task is observed after the others were released


class End(Enum):
    """When the process ends whose tasks a client names."""

    BEFORE_START = "before the allocator starts, and the list tells of the next one later"
    LISTED_AT_START = "before the allocator starts, and its first list has the next one"
    BETWEEN_HAND_OVERS = "after the first task was named and before the others were"
    BEFORE_HAND_OVER = "before any task was named, while the allocator runs"


class Cluster(ReplaceableHostCluster):
    def hand_over(self, client, *tasks):
        for task in tasks:
            client.stream.send(setup(task, extras="cores:1;memory:1;service:s;at:h0", wait=None))

    def await_releases(self, client, tasks, due_ms):
        expected = {(m.RELEASE, task) for task in tasks}
        self.until(lambda: expected <= set(client.received), due_ms - self.loop.now())


@pytest.fixture
def cluster(tmp_path):
    with Cluster(tmp_path) as cluster:
        yield cluster


# When the process ends, and the id of the next one.
@pytest.mark.parametrize(
    ("end", "new_name"),
    [
        (End.BEFORE_START, "h1"),
        (End.BEFORE_START, "h0"),
        (End.LISTED_AT_START, "h1"),
        (End.LISTED_AT_START, "h0"),
        (End.BETWEEN_HAND_OVERS, "h1"),
        (End.BEFORE_HAND_OVER, "h1"),
    ],
)
def test_tasks_that_are_named_around_the_end_of_their_process_are_released(cluster, end, new_name):
    """Guards against tasks that stand for ever since the host reports nothing at all."""
    if end in (End.BEFORE_START, End.LISTED_AT_START):
        cluster.host.replace(are_connections_silent=False)
    if end is End.LISTED_AT_START:
        cluster.publish_start(new_name, round(time.time() * 1e3))
        cluster.allocators.configure(0, cluster.service.address, cluster.service.take_snapshot())
    cluster.start()
    client = cluster.connect()
    if end is End.BEFORE_HAND_OVER:
        cluster.place(client, NEW_TASK)
        cluster.host.replace(are_connections_silent=False)
        pass_time(cluster, 100.0)
    handed_over_at_ms = cluster.loop.now()
    cluster.hand_over(client, TASKS[0])
    if end is End.BETWEEN_HAND_OVERS:
        pass_time(cluster, 100.0)
        cluster.host.replace(are_connections_silent=False)
    cluster.hand_over(client, *TASKS[1:])
    pass_time(cluster, LIST_DELAY_MS)
    if end is not End.LISTED_AT_START:
        cluster.publish_start(new_name, round(time.time() * 1e3))
    cluster.await_releases(client, TASKS, handed_over_at_ms + HANDED_OVER_MS + LOST_DUE_MS)


@pytest.mark.parametrize("former_connections", ["reset", "silent"])
def test_tasks_of_a_process_that_is_replaced_while_the_list_is_cut_off_are_released(
    cluster, former_connections
):
    """No list will ever tell of the new process."""
    cluster.start()
    client = cluster.connect()
    for task in TASKS:
        cluster.place(client, task)
    cluster.service.close()
    pass_time(cluster, 100.0)
    cluster.host.replace(are_connections_silent=former_connections == "silent")
    ended_at_ms = cluster.loop.now()
    cluster.place(client, NEW_TASK)
    cluster.await_releases(client, TASKS, ended_at_ms + LOST_DUE_MS)
    pass_time(cluster, OBSERVED_MS)
    assert (m.RELEASE, NEW_TASK) not in client.received
    assert cluster.host.running_tasks == {NEW_TASK}
    cluster.host.end_task(NEW_TASK)
    cluster.until(lambda: (m.RELEASE, NEW_TASK) in client.received, RELEASE_DUE_MS)


@pytest.mark.parametrize("list_delay_ms", [1_500.0, 4_000.0])
def test_tasks_whose_connections_are_reset_by_a_check_are_released_in_time(cluster, list_delay_ms):
    """Guards against a wait that is reckoned from the moment at which the loss was noticed."""
    cluster.start()
    client = cluster.connect()
    for task in TASKS:
        cluster.place(client, task)
    cluster.host.resets_former_streams = True
    cluster.host.replace(are_connections_silent=True)
    ended_at_ms = cluster.loop.now()
    cluster.until(lambda: cluster.host.streams, list_delay_ms)  # a liveness check reaches the new process
    pass_time(cluster, ended_at_ms + list_delay_ms - cluster.loop.now())
    cluster.publish_start("h1", round(time.time() * 1e3))
    cluster.await_releases(client, TASKS, ended_at_ms + LOST_DUE_MS)

"""A host's process ends and a new one starts at its address, which the machine list tells half a second later.

Real allocator processes. The host and the client are judged by what they received: tasks of the former process
are released to their client, tasks of the new one stand and their end is heard.
"""

import time

import pytest

from glencleat.platform_protocol import messages as m
from tests.support.process_cluster import ReplaceableHostCluster
from tests.support.socket_world import pass_time

FORMER_TASKS, NEW_TASK = {1, 2, 3}, 10
LIST_DELAY_MS = 500.0
LOST_DUE_MS = 8_050.0  # a release is due so long after the task's end if its host could not send one
RELEASE_DUE_MS = 1_050.0  # and so long after the host's release
OBSERVED_MS = 2_500.0  # how long the new process's task is observed after the others were lost


@pytest.fixture
def cluster(tmp_path):
    with ReplaceableHostCluster(tmp_path) as cluster:
        cluster.start()
        yield cluster


# The start in the list, relative to the last answer of the former process; its connections; the new process's id.
@pytest.mark.parametrize(
    ("start_offset_ms", "former_connections", "new_name"),
    [
        (-2.0, "reset", "h1"),
        (-400.0, "reset", "h1"),
        (-3_000.0, "reset", "h1"),
        (3_000.0, "reset", "h1"),
        (-2.0, "silent", "h1"),
        (3_000.0, "silent", "h1"),
        (-2.0, "reset", "h0"),
        (3_000.0, "silent", "h0"),
    ],
)
def test_tasks_belong_to_the_process_that_answered_for_them(
    cluster, start_offset_ms, former_connections, new_name
):
    """Guards against tasks that are taken to run in a new process since the list's clock dates its start
    before their placement: their client waits for their end for ever."""
    client = cluster.connect()
    for task in sorted(FORMER_TASKS):
        cluster.place(client, task)
    started_unix_ms = time.time() * 1e3 + start_offset_ms
    cluster.host.replace(are_connections_silent=former_connections == "silent")
    ended_at_ms = cluster.loop.now()
    cluster.place(client, NEW_TASK)
    pass_time(cluster, max(0.0, ended_at_ms + LIST_DELAY_MS - cluster.loop.now()))
    cluster.publish_start(new_name, started_unix_ms)
    lost = {(m.RELEASE, task) for task in FORMER_TASKS}
    cluster.until(lambda: lost <= set(client.received), ended_at_ms + LOST_DUE_MS - cluster.loop.now())
    pass_time(cluster, OBSERVED_MS)
    assert (m.RELEASE, NEW_TASK) not in client.received
    assert cluster.host.running_tasks == {NEW_TASK}
    cluster.host.end_task(NEW_TASK)
    cluster.until(lambda: (m.RELEASE, NEW_TASK) in client.received, RELEASE_DUE_MS)

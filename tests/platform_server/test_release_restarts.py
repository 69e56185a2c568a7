"""A process that ends while a release waits for a client: its successor gets the release from the host.

Real processes; the host and the clients are judged by what they received.
"""

import signal

import pytest

from glencleat.platform_protocol import messages as m
from tests.support.exchange_world import setup
from tests.support.platform_client import PlatformClient
from tests.support.process_cluster import ProcessCluster
from tests.support.process_hosts import RepeatingHost

TASK = 1
RELEASE_DUE_MS = 1_000.0  # from the host's release, by the protocol page


class Cluster(ProcessCluster):
    def connect(self):
        client = PlatformClient(self.loop, self.allocators.listen_address(0))
        self.until(lambda: client.stream, 5_000.0)
        return client

    def logs(self, text):
        return text in self.read_logs()[0]

    def end_process(self, signal_number):
        self.allocators.processes_by_number[0].send_signal(signal_number)
        self.until(lambda: not self.allocators.is_alive(0), 10_000.0)
        self.allocators.kill(0)
        self.allocators.log_path(0).unlink()  # so that the next address is the next process's


@pytest.fixture
def cluster(tmp_path):
    with Cluster(tmp_path, 1, RepeatingHost) as cluster:
        cluster.start()
        yield cluster


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM], ids=["killed", "stopped"])
def test_a_release_that_waited_when_the_process_ended_reaches_the_client(cluster, signal_number):
    """Guards against a task that is left standing for ever: the host's release was acknowledged, then the
    process that held it ended."""
    first = cluster.connect()
    first.stream.send(setup(TASK))
    cluster.until(lambda: (m.ANSWER, TASK) in first.received, 5_000.0)
    first.stream.close()
    cluster.host.end_task(TASK)
    cluster.until(lambda: cluster.logs("its release waits"), 5_000.0)
    cluster.end_process(signal_number)
    cluster.start()
    second = cluster.connect()
    second.stream.send(setup(TASK, extras="cores:1;memory:2;service:web;at:h0"))
    cluster.until(lambda: (m.RELEASE, TASK) in second.received, RELEASE_DUE_MS)
    cluster.until(lambda: not cluster.host.unacknowledged, RELEASE_DUE_MS)
    assert second.received == [(m.RELEASE, TASK)]

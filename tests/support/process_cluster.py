"""Allocator processes with one host and a command channel on the test's own loop."""

from glencleat.emulators.allocator_processes import AllocatorProcesses
from glencleat.emulators.channel import ChannelService, make_list_entry
from glencleat.event_loop import Loop
from glencleat.platform_protocol import messages as m
from tests.support.exchange_world import setup
from tests.support.platform_client import CONNECT_TIMEOUT_MS, PlatformClient
from tests.support.process_hosts import ReplaceableHost
from tests.support.socket_world import run_until

START_TIMEOUT_MS = 30_000.0
LOG_TAIL = 1_000  # characters of each log that a failure shows


class ProcessCluster:
    """As a context it ends the processes and closes the peers. `make_host` gets the loop; the host has a `port`
    and a `close`."""

    def __init__(self, folder, count, make_host):
        self.loop, self.count = Loop(), count
        self.host = make_host(self.loop)
        self.service = ChannelService(self.loop, [make_list_entry("h0", self.host.port)])
        self.allocators = AllocatorProcesses(folder, count, seed=5)
        for number in range(count):
            self.allocators.configure(number, self.service.address, self.service.take_snapshot())

    def __enter__(self):
        self.allocators.__enter__()
        return self

    def __exit__(self, *error):
        self.allocators.__exit__(*error)
        self.service.close()
        self.host.close()

    def start(self):
        """Starts all allocators and waits until they listen."""
        for number in range(self.count):
            self.allocators.start(number)
        self.until(lambda: all(map(self.allocators.listen_address, range(self.count))), START_TIMEOUT_MS)

    def read_logs(self):
        return [self.allocators.log_path(number).read_text() for number in range(self.count)]

    def until(self, is_done, ms):
        run_until(self.loop, is_done, ms, lambda: [log[-LOG_TAIL:] for log in self.read_logs()])


class ReplaceableHostCluster(ProcessCluster):
    """One allocator and a host whose process can be replaced."""

    def __init__(self, folder):
        super().__init__(folder, 1, ReplaceableHost)

    def connect(self):
        """Returns a new client connection."""
        client = PlatformClient(self.loop, self.allocators.listen_address(0))
        self.until(lambda: client.stream, CONNECT_TIMEOUT_MS)
        return client

    def place(self, client, task):
        """Has the client place a task."""
        client.stream.send(setup(task))
        self.until(lambda: (m.ANSWER, task) in client.received, CONNECT_TIMEOUT_MS)

    def publish_start(self, name, started_unix_ms):
        """The list tells of a process at the host's address."""
        self.service.publish([make_list_entry(name, self.host.port, started_ms=started_unix_ms)])

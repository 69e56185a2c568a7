"""A daemon with emulated directory, hosts and owners, on loopback sockets of one process and one loop."""

from glencleat.checker import invariants
from glencleat.checker.trace import TraceRecorder
from glencleat.config import load
from glencleat.daemon import Daemon
from glencleat.emulators.directory import Directory, DirectoryEntry
from glencleat.emulators.hosts import EmulatedHost
from glencleat.emulators.machine import MachineProfile
from glencleat.emulators.owners import EmulatedOwner, OwnerJob, TaskTemplate
from glencleat.event_loop import Loop
from glencleat.flow_control.backoff import BackoffPolicy

CONF = """
allocator a0 number 0 of 1 zone hall-a
listen owners 127.0.0.1:0
listen agents 127.0.0.1:0
listen metrics 127.0.0.1:0
class pull-front effect safe aim 1s deadline 8s worth 3
class repo-copy effect keyed window 5s aim 800ms deadline 6s worth 3 spread zone most 4
class store-compact effect unsafe aim 2s deadline 8s worth 9
default-class pull-front
kind std cores 32 memory 64GB
accept cores 2.0 memory 1.5
reports counts used
heartbeat every 100ms missed 3 agents-return 500ms
grace 5s
"""

PACE = BackoffPolicy(5.0, 20.0, 1_000.0)  # of requests for the machine list


class RecordingLog:
    """A log that stores its lines as (event, fields)."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))

    error = info


class World:
    """A running daemon and its peers.

    `conf` is appended to the configuration file. With `down` the directory fails from the start. The constructor
    returns when the startup gate is open.
    """

    def __init__(self, folder, hosts=3, conf="", profile=None, down=False):
        self.loop, self.log = Loop(), RecordingLog()
        self.recorder = TraceRecorder(self.loop.now)
        profile = profile or MachineProfile(decide_ms=1.0, start_ms=2.0, warm_up_ms=1.0)
        self.hosts = [
            EmulatedHost(
                self.loop, self.recorder, f"h{i}", "std", (32.0, 65_536.0), f"hall-{'abc'[i % 3]}", i, profile, i + 1,
                50.0, 100.0,
            )
            for i in range(hosts)
        ]  # fmt: skip
        self.directory = Directory(self.loop, self.recorder, self.entries, 1.0, 20.0)
        self.directory.is_failing = down
        address = self.directory.listen("a0")
        path = folder / "a0.conf"
        path.write_text(CONF + f"directory {address[0]}:{address[1]}\n" + conf)
        self.daemon = Daemon(load(path), self.log, path, self.loop, seed=5, backoff_policy=PACE)
        self.bound = {name: self.parse(text) for name, text in self.daemon.start().items()}
        self.owners = []
        for host in self.hosts:
            host.allocator_addresses = {"a0": self.bound["agents"]}
            host.start(cold=False)
        self.directory.start()
        self.core = self.daemon.core
        self.until(lambda: self.core.startup_gate.is_open or not self.hosts)

    @staticmethod
    def parse(text):
        host, _, port = text.rpartition(":")
        return host, int(port)

    def entries(self):
        return [
            DirectoryEntry(h.name, "std", h.zone, h.cell, 32.0, 65_536.0, h.machine.faults.is_draining, h.started_wall_ms, h.machine.allocated())
            for h in self.hosts if h.is_up
        ]  # fmt: skip

    def until(self, condition, ms=5_000.0):
        """Runs the loop until the condition holds, and fails the test after `ms`."""
        deadline_ms = self.loop.now() + ms
        pending_tick = []

        def tick():
            pending_tick[:] = [self.loop.call_in(5.0, tick)]

        tick()
        while not condition():
            assert self.loop.now() < deadline_ms, "the condition did not hold in time"
            self.loop.run_once()
        pending_tick[0].cancel()

    def owner(self, name="o"):
        """Returns a new emulated owner that is subscribed and has its offer."""
        owner = EmulatedOwner(
            self.loop, self.recorder, name, "tenant", "a0", self.bound["owners"], len(self.owners) + 1
        )
        self.owners.append(owner)
        self.until(lambda: owner.offer_id is not None)
        return owner

    def job(self, name, cls="pull-front", effect="safe", life=100.0, **more):
        template = TaskTemplate(cls, effect, 8_000.0, ((1.0, 100.0),), (life, life))
        return OwnerJob(name, template, "svc", 1.0, 100.0, life)

    def states(self, owner, name):
        """Returns the states of a task that its owner received, in order."""
        task = f"{owner.framework_id}/{name}"
        return [e.state for e in self.recorder.entries if e.kind == "answer" and e.task == task]

    def broken(self):
        """Returns the violations of the invariants in the trace so far."""
        return invariants.check_invariants(
            self.recorder.entries,
            invariants.RuleParameters(deduplication_window_ms_by_class={"repo-copy": 5_000.0}),
        )

    def close(self):
        for owner in self.owners:
            owner.close()
        for host in self.hosts:
            host.stop("the end")
        for server in self.daemon.servers.values():
            server.close()
            for stream in list(server.listener.open_streams):
                stream.close("the end")
        self.directory.close()

"""The connection pool and its exchange on a virtual clock, with fake hosts instead of sockets.

Every interaction is recorded, so that a test can compare the records of two implementations."""

import errno
from collections import Counter
from random import Random

from glencleat import interface as api
from glencleat.descriptor_budget import RESERVED_DESCRIPTORS, DescriptorBudget
from glencleat.event_loop import ConnectError, Loop, StreamClosedError
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.command_channel import HostEntry, ListChange
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_server import host_connection
from glencleat.platform_server.connection_pool import ConnectionPool
from tests.support.exchange_world import SETTINGS, Owner, read, setup
from tests.support.socket_world import PromptChannel


class Clock:
    at = 1_000_000.0

    def now(self):
        return self.at

    def wall(self):
        return 1.7e12 + self.at


class Poller:
    """No I/O is ever ready: polling advances the clock to the next timer."""

    idle_ms = 0.0

    def __init__(self, clock):
        self.clock = clock

    def poll(self, timeout_ms):
        self.clock.at += max(0.0, timeout_ms or 0.0)


class FakeStream:
    is_readable, send_buffer, error_code = False, b"", None

    def __init__(self, world, peer, number):
        self.world = world
        self.peer = peer
        self.number = number
        self.close_reason = None
        self.queued_bytes = 0
        self.written_bytes = 0
        self.close_callbacks = []
        self.inbox = []
        self.reader = None

    def try_send(self, data):
        if self.close_reason is None:
            self.queued_bytes += len(data)
            self.written_bytes = self.queued_bytes
            self.world.add_record("write", self.number, data)
            self.world.loop.call_in(1.0, lambda: self.peer.on_data(self, data))

    def receive(self, data):
        if self.close_reason is None:
            self.inbox.append(data)
            if self.reader is not None:
                reader, self.reader = self.reader, None
                self.world.loop.wake(reader)

    def read(self):
        while not self.inbox and self.close_reason is None:
            yield self._arm
        if self.close_reason is not None:
            raise StreamClosedError(self.close_reason)
        return self.inbox.pop(0)

    def _arm(self, task):
        self.reader = task

        def disarm():
            self.reader = None

        return disarm

    def has_peer_closed(self):
        return self.close_reason is not None or b"" in self.inbox

    def shutdown_write(self):
        self.world.add_record("shutdown_write", self.number)
        self.world.loop.call_in(3.0, lambda: self.receive(b""))

    def close(self, reason="closed"):
        if self.close_reason is None:
            self.close_reason = reason
            self.world.add_record("close", self.number, reason)
            self.peer.streams.pop(self, None)
            if self.reader is not None:
                reader, self.reader = self.reader, None
                self.world.loop.wake(reader)
            for callback in self.close_callbacks:
                callback(reason)


class FakeHost:
    """A host in one of the modes up, refuses (connections) and silent (connects time out).

    The release of an ended task is sent on each new connection until it is acknowledged."""

    def __init__(self, world, name, address):
        self.world = world
        self.name = name
        self.address = address
        self.mode = "up"
        self.streams = {}
        self.tasks = {}
        self.unacknowledged_releases = {}

    def on_connected(self, stream):
        self.streams[stream] = None
        for task in self.unacknowledged_releases:
            stream.receive(m.encode_with_cause(m.RELEASE, task, m.ENDED))

    def on_data(self, stream, data):
        if self.mode == "silent" or stream.close_reason is not None:
            return
        for message in read(data):
            task = message.task_id
            if message.kind == m.SETUP:
                self._on_setup(stream, task)
            elif message.kind == m.RELEASE_COMPLETE:
                self.unacknowledged_releases.pop(task, None)
            elif message.kind == m.RELEASE:
                self.tasks.pop(task, None)
                if task % 5:
                    self.send(stream, m.encode(m.RELEASE_COMPLETE, task))

    def _on_setup(self, stream, task):
        if task % 7 == 3:
            return  # the set-up is never answered
        if task % 7 == 5:
            self.send(stream, m.encode_with_cause(m.RELEASE, task, m.REJECTED))
            return
        self.tasks[task] = stream
        self.send(stream, m.encode(m.ANSWER, task, {m.DESCRIPTION: b"ok"}), 1.0 + task % 40)

    def send(self, stream, data, in_ms=1.0):
        self.world.loop.call_in(in_ms, lambda: self.mode != "silent" and stream.receive(data))

    def end_task(self, task):
        """Sends the release on the task's connection if open, else on any open one, else on the next one
        opened."""
        stream = self.tasks.pop(task)
        self.unacknowledged_releases[task] = None
        stream = stream if stream in self.streams else next(iter(self.streams), None)
        if stream is not None:
            self.send(stream, m.encode_with_cause(m.RELEASE, task, m.ENDED))

    def send_observations(self):
        for task, stream in list(self.tasks.items()):
            if stream in self.streams:
                self.send(stream, m.encode(m.OBSERVATION, task, {m.TOPIC: b"cores", m.VALUE: b"1"}))

    def break_connections(self, limit=99):
        for stream in list(self.streams)[:limit]:
            stream.receive(b"")


class ScriptedPolicy:
    """A policy that retries, rejects, migrates another task or does nothing, depending on ids alone."""

    def __init__(self, world):
        self.world, self.placed_calls = world, {}

    def handle(self, now, event):
        self.world.add_record("event", event)
        if isinstance(event, api.PlacementRequested):
            if event.machine is not None:
                self.placed_calls[event.call_id] = None
                return []
            return [api.Bind(event.call_id, self.world.target_host, 900.0)]
        if isinstance(event, api.AttemptAccepted):
            self.placed_calls[event.call_id] = None
        elif isinstance(event, api.CallAbandoned):
            self.placed_calls.pop(event.call_id, None)
        elif isinstance(event, api.AttemptEnded):
            return self._on_attempt_ended(event)
        return []

    def _on_attempt_ended(self, event):
        if not event.is_call_closed:
            names = sorted(self.world.hosts.hosts_by_name)
            if event.attempt < 2 and names:
                return [api.Bind(event.call_id, names[(event.call_id + event.attempt) % len(names)], 900.0)]
            return [api.Reject(event.call_id)]
        self.placed_calls.pop(event.call_id, None)
        if event.call_id % 3 == 0 and self.placed_calls:
            return [api.Migrate(next(iter(self.placed_calls)))]
        return []


class World:
    """Assembles pool and exchange and implements the exchange's ports; there is one client, which stays
    connected."""

    def __init__(self, capacity=40, patch=None):
        self.clock = Clock()
        self.record = []
        self.counts = Counter()
        self.loop = Loop(self.clock, Poller(self.clock))
        self.descriptors = DescriptorBudget(capacity + RESERVED_DESCRIPTORS)
        self.descriptors.capacity = capacity
        self.channel = PromptChannel(self.loop)
        self.hosts = ConnectionPool(
            loop=self.loop,
            channel=self.channel,
            descriptors=self.descriptors,
            connect_ms=250.0,
            idle_ms=30_000.0,
            random=Random(1),
            log=self.log,
        )
        self.bind_ports()
        self.exchange = Exchange(SETTINGS, ScriptedPolicy(self), self, 250.0)
        self.hosts.exchange = self.exchange
        for name in (
            "on_attempt_failed",
            "on_reachability_changed",
            "declare_tasks_lost",
            "on_host_message",
            "check_send",
        ):
            self._record_calls(name)
        self.client = Owner()
        self.peers = {}
        self.target_host = ""
        self.has_no_descriptors = False
        if patch is not None:
            patch.setattr(host_connection, "connect", lambda loop, address, ms: self.connect(address, ms))

    def bind_ports(self):
        """Binds the exchange's ports that the pool and the loop implement."""
        self.now = self.loop.now
        self.call_in = self.loop.call_in
        self.offer_attempt = self.hosts.offer_attempt
        self.cancel_attempt = self.hosts.cancel_attempt
        self.has_unread_bytes = self.hosts.has_unread_bytes
        self.release_task = self.hosts.release_task
        self.request_load_report = self.hosts.request_load_report

    def add_record(self, *what):
        self.counts[what[0]] += 1
        self.record.append((self.clock.at, *map(repr, what)))

    def _record_calls(self, name):
        method = getattr(self.exchange, name)

        def record_call(*args, **more):
            plain = [
                (a.call.call_id, a.number) if hasattr(a, "call") else a.host.name if hasattr(a, "host") else a
                for a in args
            ]
            self.add_record(name, plain, sorted(more.items()))
            return method(*args, **more)

        setattr(self.exchange, name, record_call)

    def connect(self, address, timeout_ms):
        self.add_record("connect", address)
        if self.has_no_descriptors:
            raise ConnectError(address, errno.EMFILE)
        peer = self.peers.get(address)
        mode = peer.mode if peer is not None else "silent"
        yield from self.loop.sleep(2.0 if mode != "silent" else timeout_ms)
        if mode == "up":
            stream = FakeStream(self, peer, self.counts["connect"])
            peer.on_connected(stream)
            return stream
        raise ConnectError(address, errno.ECONNREFUSED if mode == "refuses" else errno.ETIMEDOUT)

    # ---- ports of the exchange that the pool does not implement ----

    def send_to_client(self, client, data, must_deliver):
        self.add_record("client", data)

    def is_client_waiting(self, client, task):
        return True

    def is_release_undelivered(self, task):
        return False

    def mark_trusted(self, client):
        pass

    def log(self, text):
        self.add_record("log", text)

    # ---- actions of a script ----

    def advance(self, ms):
        end = self.clock.at + ms
        reached = []
        self.loop.call_in(ms, lambda: reached.append(True))
        while not reached:
            self.loop.run_once()
        self.clock.at = max(self.clock.at, end)

    def add_peer(self, name, port):
        return self.peers.setdefault(("127.0.0.1", port), FakeHost(self, name, ("127.0.0.1", port)))

    def apply_list(self, *entries, is_snapshot=False):
        """Applies entries of (name, port, phase, start of the process in Unix milliseconds)."""
        found = [
            HostEntry(api.Machine(name, "std", "a", 0, phase), ("127.0.0.1", port), started)
            for name, port, phase, started in entries
        ]
        self.hosts.apply_list_change(ListChange(is_snapshot, tuple(found)))

    def request_setup(self, task, host, cls="safe", **more):
        self.target_host = host
        (message,) = read(setup(task, cls=cls, **more))
        self.exchange.on_client_setup(self.client, message, 0.0)

    def adopt(self, task, host):
        self.request_setup(task, host, extras=f"cores:1;memory:2;service:web;at:{host}")

    def release_by_client(self, task):
        (message,) = read(m.encode_with_cause(m.RELEASE, task, m.ENDED))
        self.exchange.on_client_release(self.client, message)

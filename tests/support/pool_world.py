"""The connection pool with its exchange on a virtual clock: no sockets, and hosts that follow a script.

Everything that passes between them is written down, so that two ways to do the work can be set side by side."""

import errno
from collections import Counter
from random import Random

from glencleat import interface as api
from glencleat.descriptor_budget import RESERVED_DESCRIPTORS, DescriptorBudget
from glencleat.event_loop import ConnectError, Loop, StreamClosedError
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.command_channel import CommandChannel, HostEntry, ListChange
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_server import host_connection
from glencleat.platform_server.connection_pool import ConnectionPool
from tests.support.exchange_world import SETTINGS, Owner, read, setup


class Clock:
    at = 1_000_000.0

    def now(self):
        return self.at

    def wall(self):
        return 1.7e12 + self.at


class Poller:
    """Nothing ever comes of itself: time goes on to the next timer."""

    idle_ms = 0.0

    def __init__(self, clock):
        self.clock = clock

    def poll(self, timeout_ms):
        self.clock.at += max(0.0, timeout_ms or 0.0)


class FakeStream:
    is_readable, send_buffer = False, b""

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
            self.world.note("put", self.number, data)
            self.world.loop.call_in(1.0, lambda: self.peer.hears(self, data))

    def bring(self, data):
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
        self.world.note("shut", self.number)
        self.world.loop.call_in(3.0, lambda: self.bring(b""))

    def close(self, reason="closed"):
        if self.close_reason is None:
            self.close_reason = reason
            self.world.note("close", self.number, reason)
            self.peer.streams.pop(self, None)
            if self.reader is not None:
                reader, self.reader = self.reader, None
                self.world.loop.wake(reader)
            for call in self.close_callbacks:
                call(reason)


class FakeHost:
    """`mode`: up, refuses, silent (nothing comes up). What has ended is owed until it was heard."""

    def __init__(self, world, name, address):
        self.world = world
        self.name = name
        self.address = address
        self.mode = "up"
        self.streams = {}
        self.tasks = {}
        self.owed = {}

    def up(self, stream):
        self.streams[stream] = None
        for task in self.owed:
            stream.bring(m.encode_with_cause(m.RELEASE, task, m.ENDED))

    def hears(self, stream, data):
        if self.mode == "silent" or stream.close_reason is not None:
            return
        for message in read(data):
            task = message.task_id
            if message.kind == m.SETUP:
                self._asked(stream, task)
            elif message.kind == m.RELEASE_COMPLETE:
                self.owed.pop(task, None)
            elif message.kind == m.RELEASE:
                self.tasks.pop(task, None)
                if task % 5:
                    self.say(stream, m.encode(m.RELEASE_COMPLETE, task))

    def _asked(self, stream, task):
        if task % 7 == 3:
            return  # it hangs
        if task % 7 == 5:
            self.say(stream, m.encode_with_cause(m.RELEASE, task, m.REJECTED))
            return
        self.tasks[task] = stream
        self.say(stream, m.encode(m.ANSWER, task, {m.DESCRIPTION: b"ok"}), 1.0 + task % 40)

    def say(self, stream, data, in_ms=1.0):
        self.world.loop.call_in(in_ms, lambda: self.mode != "silent" and stream.bring(data))

    def ends(self, task):
        """On its own link, or on any, or on the next."""
        link = self.tasks.pop(task)
        self.owed[task] = None
        link = link if link in self.streams else next(iter(self.streams), None)
        if link is not None:
            self.say(link, m.encode_with_cause(m.RELEASE, task, m.ENDED))

    def notes(self):
        for task, stream in list(self.tasks.items()):
            if stream in self.streams:
                self.say(stream, m.encode(m.OBSERVATION, task, {m.TOPIC: b"cores", m.VALUE: b"1"}))

    def breaks(self, most=99):
        for stream in list(self.streams)[:most]:
            stream.bring(b"")


class Module:
    """Binds anew, refuses, moves another task or does nothing, by numbers alone."""

    def __init__(self, world):
        self.world, self.stands = world, {}

    def handle(self, now, event):
        self.world.note("event", event)
        if isinstance(event, api.PlacementRequested):
            if event.machine is not None:
                self.stands[event.call_id] = None
                return []
            return [api.Bind(event.call_id, self.world.target, 900.0)]
        if isinstance(event, api.AttemptAccepted):
            self.stands[event.call_id] = None
        elif isinstance(event, api.CallAbandoned):
            self.stands.pop(event.call_id, None)
        elif isinstance(event, api.AttemptEnded):
            return self._back(event)
        return []

    def _back(self, event):
        if not event.is_call_closed:
            names = sorted(self.world.hosts.hosts_by_name)
            if event.attempt < 2 and names:
                return [api.Bind(event.call_id, names[(event.call_id + event.attempt) % len(names)], 900.0)]
            return [api.Reject(event.call_id)]
        self.stands.pop(event.call_id, None)
        if event.call_id % 3 == 0 and self.stands:
            return [api.Migrate(next(iter(self.stands)))]
        return []


class World:
    """The exchange's Ports as well; its owners are one connection that stays."""

    def __init__(self, room=40, patch=None):
        self.clock = Clock()
        self.record = []
        self.counts = Counter()
        self.loop = Loop(self.clock, Poller(self.clock))
        self.descriptors = DescriptorBudget(room + RESERVED_DESCRIPTORS)
        self.descriptors.capacity = room
        self.channel = CommandChannel(1.7e12)
        self.hosts = ConnectionPool(
            loop=self.loop,
            channel=self.channel,
            descriptors=self.descriptors,
            connect_ms=250.0,
            idle_ms=30_000.0,
            random=Random(1),
            log=self.log,
        )
        self.join_ports()
        self.exchange = Exchange(SETTINGS, Module(self), self, 250.0)
        self.hosts.exchange = self.exchange
        for name in (
            "on_attempt_failed",
            "on_reachability_changed",
            "declare_tasks_lost",
            "on_host_message",
            "check_send",
        ):
            self._spy(name)
        self.owner = Owner()
        self.peers = {}
        self.target = ""
        self.no_files = False
        if patch is not None:
            patch.setattr(host_connection, "connect", lambda loop, address, ms: self.connect(address, ms))

    def join_ports(self):
        """The ports that the exchange asks of the pool and the loop."""
        self.now = self.loop.now
        self.call_in = self.loop.call_in
        self.offer_attempt = self.hosts.offer_attempt
        self.cancel_attempt = self.hosts.cancel_attempt
        self.has_unread_bytes = self.hosts.has_unread_bytes
        self.release_task = self.hosts.release_task
        self.request_load_report = self.hosts.request_load_report

    def note(self, *what):
        self.counts[what[0]] += 1
        self.record.append((self.clock.at, *map(repr, what)))

    def _spy(self, name):
        real = getattr(self.exchange, name)

        def told(*args, **more):
            plain = [
                (a.call.call_id, a.number) if hasattr(a, "call") else a.host.name if hasattr(a, "host") else a
                for a in args
            ]
            self.note(name, plain, sorted(more.items()))
            return real(*args, **more)

        setattr(self.exchange, name, told)

    def connect(self, address, timeout_ms):
        self.note("connect", address)
        if self.no_files:
            raise ConnectError(address, errno.EMFILE)
        peer = self.peers.get(address)
        mode = peer.mode if peer is not None else "silent"
        yield from self.loop.sleep(2.0 if mode != "silent" else timeout_ms)
        if mode == "up":
            stream = FakeStream(self, peer, self.counts["connect"])
            peer.up(stream)
            return stream
        raise ConnectError(address, errno.ECONNREFUSED if mode == "refuses" else errno.ETIMEDOUT)

    # ---- Ports that are not the hosts' ----

    def send_to_client(self, client, data, must_deliver):
        self.note("owner", data)

    def is_client_waiting(self, client, task, must_poll):
        return True

    def mark_trusted(self, client):
        pass

    def log(self, text):
        self.note("log", text)

    # ---- what a script does ----

    def advance(self, ms):
        end = self.clock.at + ms
        reached = []
        self.loop.call_in(ms, lambda: reached.append(True))
        while not reached:
            self.loop.run_once()
        self.clock.at = max(self.clock.at, end)

    def peer(self, name, port):
        return self.peers.setdefault(("127.0.0.1", port), FakeHost(self, name, ("127.0.0.1", port)))

    def told(self, *entries, whole=False):
        """Each of (name, port, phase, when it started in Unix milliseconds)."""
        found = [
            HostEntry(api.Machine(name, "std", "a", 0, phase), ("127.0.0.1", port), started)
            for name, port, phase, started in entries
        ]
        self.hosts.apply_list_change(ListChange(whole, tuple(found)))

    def ask(self, task, host, cls="safe", **more):
        self.target = host
        (message,) = read(setup(task, cls=cls, **more))
        self.exchange.on_client_setup(self.owner, message, 0.0)

    def adopt(self, task, host):
        self.ask(task, host, extras=f"cores:1;memory:2;service:web;at:{host}")

    def release(self, task):
        (message,) = read(m.encode_with_cause(m.RELEASE, task, m.ENDED))
        self.exchange.on_client_release(self.owner, message)

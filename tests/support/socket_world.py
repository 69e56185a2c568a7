"""Hosts, clients and the allocator between them, on real sockets of one loop."""

import errno
import socket
from random import Random

from glencleat import interface as api
from glencleat.descriptor_budget import RESERVED_DESCRIPTORS, DescriptorBudget
from glencleat.event_loop import ConnectError, Listener, Loop, StreamClosedError
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.command_channel import LIST_SETTLE_MS, CommandChannel, HostEntry, ListChange
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_server import client_connections, connection_pool, host_connection
from tests.support.exchange_world import SETTINGS, Script, setup


def run_until(loop, is_done, timeout_ms, describe):
    """Runs the loop until `is_done`; on a time-out the failure shows what `describe` returns."""
    end = loop.now() + timeout_ms
    while not is_done():
        assert loop.now() < end, describe()
        loop.call_in(5.0, lambda: None)
        loop.run_once()


class Peer:
    """A listener that records the messages of each connection; `script` is called with each message."""

    def __init__(self, loop, script=lambda stream, message: None, address=("127.0.0.1", 0)):
        self.loop = loop
        self.script = script
        self.streams = []
        self.got = []  # (stream, message)
        self.listener = Listener(loop, address, self.accept)
        self.address = self.listener.address

    def accept(self, stream):
        self.streams.append(stream)
        self.loop.spawn(self.serve(stream), "peer")

    def serve(self, stream):
        decoder = m.MessageDecoder()
        try:
            while data := (yield from stream.read()):
                decoder.feed(data)
                for message in decoder.messages():
                    self.got.append((stream, message))
                    self.script(stream, message)
        except StreamClosedError:
            pass
        self.finish(stream)

    def finish(self, stream):
        """The other side has ended the connection."""
        stream.close()

    def die(self):
        """Closes the listener and resets every connection."""
        self.listener.close()
        for stream in self.streams:
            reset(stream)


def reset(stream):
    """Closes a stream so that the peer's connection is reset."""
    if stream.close_reason is None:
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        stream.close()


class PromptChannel(CommandChannel):
    """A command channel that is confirmed at every moment and tells of starts without delay."""

    def __init__(self, loop):
        self.loop = loop
        super().__init__(loop.clock.wall() - loop.now())

    @property
    def confirmed_at_ms(self):
        return self.loop.now() + LIST_SETTLE_MS

    @confirmed_at_ms.setter
    def confirmed_at_ms(self, at_ms):
        pass


class World:
    """Exchange, pool and clients assembled as in the process, with a scripted policy."""

    def __init__(self, room=40, loop=None, channel=None):
        self.loop = loop or Loop()
        self.module = Script()
        self.logs = []
        self.channel = channel or PromptChannel(self.loop)
        self.descriptors = DescriptorBudget(room + RESERVED_DESCRIPTORS)
        self.hosts = connection_pool.ConnectionPool(
            loop=self.loop,
            channel=self.channel,
            descriptors=self.descriptors,
            connect_ms=250.0,
            idle_ms=30_000.0,
            random=Random(1),
            log=self.logs.append,
        )
        self.owners = client_connections.ClientConnections(self.loop, self.descriptors, self.logs.append)
        self.join_ports()
        self.exchange = Exchange(SETTINGS, self.module, self, 250.0)
        self.hosts.exchange = self.exchange
        self.owners.exchange = self.exchange
        self.address = self.owners.listen(("127.0.0.1", 0))
        self.clients = []
        self.calls = 0

    def join_ports(self):
        """Assigns the ports of the exchange; see `ExchangePorts`."""
        self.now = self.loop.now
        self.call_in = self.loop.call_in
        self.log = self.logs.append
        self.send_to_client = self.owners.send_to_client
        self.mark_trusted = self.owners.mark_trusted
        self.is_release_undelivered = self.owners.releases.is_undelivered
        self.is_client_waiting = self.owners.is_client_waiting
        self.offer_attempt = self.hosts.offer_attempt
        self.has_unread_bytes = self.hosts.has_unread_bytes
        self.cancel_attempt = self.hosts.cancel_attempt
        self.release_task = self.hosts.release_task
        self.request_load_report = self.hosts.request_load_report

    def list(self, *told, whole=False, phase=api.MachinePhase.SERVING):
        """Applies a list of machines, each as (name, address[, started Unix ms])."""
        entries = [
            HostEntry(
                api.Machine(machine[0], "std", "a", 0, phase),
                machine[1],
                machine[2] if len(machine) > 2 else 0.0,
            )
            for machine in told
        ]
        self.hosts.apply_list_change(ListChange(whole, tuple(entries)))

    def client(self):
        sock = socket.create_connection(self.address)
        sock.setblocking(False)
        self.clients.append(sock)
        return sock

    def until(self, done, ms=4000.0):
        run_until(self.loop, done, ms, lambda: ("not in time", self.module.events, self.logs))

    def ask(self, sock, task, host="h1", timeout=2000.0, **fields):
        self.calls += 1
        self.module.next.append([api.Bind(self.calls, host, timeout)])
        sock.send(setup(task, **fields))
        self.until(
            lambda: sum(isinstance(e, api.PlacementRequested) for e in self.module.events) == self.calls
        )

    def told(self, kind):
        return [event for event in self.module.events if isinstance(event, kind)]

    def back(self, count=1, ms=4000.0):
        outcomes = lambda: [  # noqa: E731
            event.outcome for event in self.module.events if isinstance(event, api.AttemptEnded)
        ]
        self.until(lambda: len(outcomes()) >= count, ms)
        return outcomes()

    def says(self, sock, size=65536, ms=4000.0):
        """The bytes that a client reads next; b"" means that the connection is closed."""
        data = []

        def done():
            try:
                data.append(sock.recv(size))
            except BlockingIOError:
                return False
            except ConnectionResetError:
                data.append(b"")
            return True

        self.until(done, ms)
        return data[0]


def stands(stream, message):
    if message.kind == m.SETUP:
        stream.send(m.encode(m.ANSWER, message.task_id, {m.DESCRIPTION: b"ok"}))


def kinds(peer):
    return [message.kind for _, message in peer.got]


def cancel(task):
    return m.encode_with_cause(m.RELEASE, task, m.CANCELLED)


def settled(world, rounds=30):
    """Runs the loop until everything pending, and what follows from it, is handled."""
    for _ in range(rounds):
        world.loop.call_in(1.0, lambda: None)
        world.loop.run_once()


def pass_time(world, ms):
    """Runs the loop for a time."""
    end_ms = world.loop.now() + ms
    world.until(lambda: world.loop.now() >= end_ms, ms + 1_000.0)


def linked(world):
    """A host with an open connection on which task 9 was placed, and a client."""
    peer, sock, other = Peer(world.loop, stands), world.client(), world.client()
    world.list(("h1", peer.address))
    world.ask(other, 9)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    return peer, sock


def sent(peer):
    return [message.task_id for _, message in peer.got if message.kind == m.SETUP]


def cut_off(monkeypatch):
    """Lets no connection be established while the returned list's one entry is true.

    Open connections stay and send nothing.
    """
    original_connect, is_cut = host_connection.connect, [True]

    def connect(loop, address, timeout_ms):
        if is_cut[0]:
            yield from loop.sleep(10.0)
            raise ConnectError(address, errno.ETIMEDOUT)
        return (yield from original_connect(loop, address, timeout_ms))

    monkeypatch.setattr(host_connection, "connect", connect)
    return is_cut


def standing(world, count):
    """`count` hosts with a placed task each; returns their peers and the client."""
    peers, client = [Peer(world.loop, stands) for _ in range(count)], world.client()
    for i, peer in enumerate(peers):
        world.list((f"h{i}", peer.address))
        world.ask(client, i + 1, host=f"h{i}")
    world.until(lambda: len(world.exchange.placed_calls_by_host) == count)
    return peers, client


def live(world, host="h0"):
    return [
        connection
        for connection in world.hosts.hosts_by_name[host].connections
        if connection.stream is not None
    ]

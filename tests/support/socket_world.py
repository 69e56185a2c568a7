"""Hosts, clients and the path between them on real sockets of one loop."""

import errno
import socket
from random import Random

from glencleat import interface as api
from glencleat.descriptor_budget import RESERVED_DESCRIPTORS, DescriptorBudget
from glencleat.event_loop import ConnectError, Listener, Loop, StreamClosedError
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.command_channel import CommandChannel, HostEntry, ListChange
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_server import client_connections, connection_pool, host_connection
from tests.support.exchange_world import SETTINGS, Script, setup


def run_until(loop, done, ms, say):
    """Runs the loop until it is so; `say` tells what there is to see if that took longer."""
    end = loop.now() + ms
    while not done():
        assert loop.now() < end, say()
        loop.call_in(5.0, lambda: None)
        loop.run_once()


class Peer:
    """A listener that keeps what each connection said; `script` answers each message."""

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
        stream.close()

    def die(self):
        self.listener.close()
        for stream in self.streams:
            stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            stream.close()


class World:
    """Exchange, pool and clients joined as the process joins them, with a scripted policy."""

    def __init__(self, room=40, loop=None):
        self.loop = loop or Loop()
        self.module = Script()
        self.logs = []
        self.channel = CommandChannel(self.loop.clock.wall() - self.loop.now())
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
        """The ports that the exchange asks of the sockets."""
        self.now = self.loop.now
        self.call_in = self.loop.call_in
        self.log = self.logs.append
        self.send_to_client = self.owners.send_to_client
        self.mark_trusted = self.owners.mark_trusted
        self.is_client_waiting = self.owners.is_client_waiting
        self.offer_attempt = self.hosts.offer_attempt
        self.has_unread_bytes = self.hosts.has_unread_bytes
        self.cancel_attempt = self.hosts.cancel_attempt
        self.release_task = self.hosts.release_task
        self.request_load_report = self.hosts.request_load_report

    def list(self, *told, whole=False, phase=api.MachinePhase.SERVING):
        """Machines as (name, address[, started Unix ms])."""
        made = [
            HostEntry(api.Machine(x[0], "std", "a", 0, phase), x[1], x[2] if len(x) > 2 else 0.0)
            for x in told
        ]
        self.hosts.apply_list_change(ListChange(whole, tuple(made)))

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
        found = lambda: [e.outcome for e in self.module.events if isinstance(e, api.AttemptEnded)]  # noqa: E731
        self.until(lambda: len(found()) >= count, ms)
        return found()

    def says(self, sock, size=65536, ms=4000.0):
        """What a client reads next; b"" is a close."""
        got = []

        def done():
            try:
                got.append(sock.recv(size))
            except BlockingIOError:
                return False
            except ConnectionResetError:
                got.append(b"")
            return True

        self.until(done, ms)
        return got[0]


def stands(stream, message):
    if message.kind == m.SETUP:
        stream.send(m.encode(m.ANSWER, message.task_id, {m.DESCRIPTION: b"ok"}))


def kinds(peer):
    return [message.kind for _, message in peer.got]


def cancel(task):
    return m.encode_with_cause(m.RELEASE, task, m.CANCELLED)


def settled(world, rounds=30):
    """Everything that lies ready is handled, and what follows from it."""
    for _ in range(rounds):
        world.loop.call_in(1.0, lambda: None)
        world.loop.run_once()


def linked(world):
    """A host with a link up, on which task 9 came to stand, and a client."""
    peer, sock, other = Peer(world.loop, stands), world.client(), world.client()
    world.list(("h1", peer.address))
    world.ask(other, 9)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    return peer, sock


def sent(peer):
    return [message.task_id for _, message in peer.got if message.kind == m.SETUP]


def cut_off(monkeypatch):
    """No connection comes up while the list's one entry is true; those that are up stay, and say nothing."""
    real, cut = host_connection.connect, [True]

    def connect(loop, address, timeout_ms):
        if cut[0]:
            yield from loop.sleep(10.0)
            raise ConnectError(address, errno.ETIMEDOUT)
        return (yield from real(loop, address, timeout_ms))

    monkeypatch.setattr(host_connection, "connect", connect)
    return cut


def standing(world, count):
    """`count` hosts with a task that stands at each; their peers."""
    peers, owner = [Peer(world.loop, stands) for _ in range(count)], world.client()
    for i, peer in enumerate(peers):
        world.list((f"h{i}", peer.address))
        world.ask(owner, i + 1, host=f"h{i}")
    world.until(lambda: len(world.exchange.placed_calls_by_host) == count)
    return peers, owner


def live(world, host="h0"):
    return [link for link in world.hosts.hosts_by_name[host].connections if link.stream is not None]

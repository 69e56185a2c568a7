"""Hollow hosts, hundreds to thousands in a process, each listening on a loopback port of its own.

Imports `isup.messages`, the kernel and `scale`'s own. `parts.py` runs a HostGroup as a process. A hollow host
takes what comes, says so after a moment, sends notes, and ends each task after a life that is drawn with a
seed or fixed; releases go again by the next connection until they are heard, as the protocol page
has it. It starts no process, refuses nothing for want of room and keeps no log.

Allocator k is told of the addresses 127.0.k.1: which of them a connection came to tells whose it is, also
where nothing was said on it. A listener takes connections from the loopback device only."""

from __future__ import annotations

import socket
from random import Random
from typing import Any

from glencleat.emulators.proxy import reset
from glencleat.event_loop import Loop, Stream, StreamClosedError
from glencleat.event_loop.loop import READ, Coroutine
from glencleat.platform_protocol import messages as m
from glencleat.scale.message_counters import MessageCounters

BACKLOG = 512
BOUND = 64  # connections taken in one round of the loop


def listen_on_loopback() -> socket.socket:
    """A listening socket that answers at every address of the loopback device, at a free port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo\0")
        sock.bind(("0.0.0.0", 0))  # of the loopback device alone, by the line before
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


class Held:
    """A task on a host: of which allocator, and the connection of its set-up."""

    __slots__ = ("allocator", "link", "stands")

    def __init__(self, allocator: int, link: Stream | None, stands: bool) -> None:
        self.allocator, self.link, self.stands = allocator, link, stands


class HollowHost:
    """`up`: takes connections; it may be draining, silent or away (see `drain`, `fall_silent`, `vanish`)."""

    def __init__(self, group: HostGroup, name: str) -> None:
        self.group, self.loop, self.name = group, group.loop, name
        self.links: dict[int, set[Stream]] = {}  # by allocator
        self.held: dict[int, Held] = {}
        self.owed: dict[int, int] = {}  # releases not heard yet: task, allocator
        self.silent = False
        self.blockers: list[socket.socket] = []
        self.sock: socket.socket | None = listen_on_loopback()
        self.port = int(self.sock.getsockname()[1])
        self.loop.poller.register(self.sock.fileno(), READ, self._came)

    # ---- connections ----

    def _came(self, _: int) -> None:
        for _ in range(BOUND):
            if self.sock is None:
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            allocator = int(sock.getsockname()[0].split(".")[2])
            self.group.tally.count(allocator, "connections")
            stream = Stream(self.loop, sock)
            self.links.setdefault(allocator, set()).add(stream)
            self.loop.spawn(self._serve(stream, allocator), "hollow host")

    def _serve(self, stream: Stream, allocator: int) -> Coroutine:
        decoder = m.MessageDecoder()
        try:
            for task in [task for task, whose in self.owed.items() if whose == allocator]:
                self._say(stream, allocator, m.encode_with_cause(m.RELEASE, task, m.NORMAL_CLEARING))
            while data := (yield from stream.read()):
                if self.silent:
                    continue
                decoder.feed(data)
                for message in decoder.messages():
                    self.group.tally.got(allocator, message)
                    self._message(stream, allocator, message)
        except (StreamClosedError, m.RemoteProtocolError):
            pass
        finally:
            self._gone(stream, allocator)

    def _gone(self, stream: Stream, allocator: int) -> None:
        """What is open on it is given up, what stands goes on."""
        self.links.get(allocator, set()).discard(stream)
        for task, held in list(self.held.items()):
            if held.link is stream:
                held.link = None
                if not held.stands:
                    del self.held[task]
        stream.close("it ended")

    def _say(self, stream: Stream | None, allocator: int, data: bytes) -> bool:
        if self.silent or stream is None or not stream.try_send(data):
            return False
        self.group.tally.sent(allocator, data)
        return True

    def _message(self, stream: Stream, allocator: int, message: m.PlatformMessage) -> None:
        task = message.task
        if message.kind == m.SETUP:
            self.held[task] = Held(allocator, stream, stands=False)
            self.loop.call_in(self.group.decide_ms, lambda: self._stands(task))
        elif message.kind == m.RELEASE:
            if self.held.pop(task, None) is not None and message.cause != m.NORMAL_CLEARING:
                self.group.tally.count(allocator, "cut")
            self._say(stream, allocator, m.encode(m.RELEASE_COMPLETE, task))
        elif message.kind == m.RELEASE_COMPLETE:
            self.owed.pop(task, None)
        elif message.kind == m.PROBE:
            self._say(stream, allocator, m.encode_with_cause(m.PROBE_RESULT, task, 1))

    # ---- tasks ----

    def _stands(self, task: int) -> None:
        held = self.held.get(task)
        if held is None or held.stands:
            return
        if not self._say(held.link, held.allocator, m.encode(m.ANSWER, task, {m.DESCRIPTION: b"ok"})):
            del self.held[task]
            return
        held.stands = True
        self._note(task, "runs", "1")
        self._live(task, held)

    def hold(self, task: int, allocator: int) -> None:
        """Runs there already, as tasks do that an allocator is handed by `at`."""
        held = self.held[task] = Held(allocator, None, stands=True)
        self._live(task, held)

    def _live(self, task: int, held: Held) -> None:
        drawn = self.group.random.expovariate(1.0 / self.group.life_ms)
        life = drawn if self.group.drawn else self.group.life_ms
        self.loop.call_in(life, lambda: self._end(task, held))
        first = self.group.random.uniform(0.0, self.group.note_ms)
        if life > first > 0.0:
            self.loop.call_in(first, lambda: self._noted(task, held))

    def _noted(self, task: int, held: Held) -> None:
        if self.held.get(task) is held:
            self._note(task, "cores", f"{self.group.random.random():.2f}")
            self.loop.call_in(self.group.note_ms, lambda: self._noted(task, held))

    def _note(self, task: int, topic: str, value: str) -> None:
        held = self.held[task]
        note = m.encode(m.OBSERVATION, task, {m.TOPIC: topic.encode(), m.VALUE: value.encode()})
        self._say(self._way(held), held.allocator, note)

    def _way(self, held: Held) -> Stream | None:
        """The connection of its set-up, or else any open one of its allocator."""
        if held.link is not None and held.link.close_reason is None:
            return held.link
        return next((link for link in self.links.get(held.allocator, ()) if link.close_reason is None), None)

    def _end(self, task: int, held: Held) -> None:
        if self.held.get(task) is not held:
            return  # cut, or the host fell since
        del self.held[task]
        self.group.tally.count(held.allocator, "ended")
        self.owed[task] = held.allocator
        self._say(self._way(held), held.allocator, m.encode_with_cause(m.RELEASE, task, m.NORMAL_CLEARING))

    # ---- troubles ----

    def fall_silent(self, power: bool) -> None:
        """Says nothing more, open connections stay open, new ones never come up. `power`: tasks are cut."""
        if self.silent or self.sock is None:
            return
        self.silent = True
        if power:
            self._cut_all()
        self.loop.poller.unregister(self.sock.fileno())
        self.sock.listen(0)  # and one that fills the queue: the system drops what comes to a full one
        blocker = socket.socket()
        blocker.setblocking(False)
        blocker.connect_ex(("127.0.0.1", self.port))
        self.blockers.append(blocker)

    def come_back(self) -> None:
        """After a silence; what was open before is reset, as by a machine that started anew."""
        if not self.silent or self.sock is None:
            return
        for blocker in self.blockers:
            blocker.close()
        self.blockers.clear()
        self._reset_all()
        self.silent = False
        self.sock.listen(BACKLOG)
        self.loop.poller.register(self.sock.fileno(), READ, self._came)

    def _cut_all(self) -> None:
        """No release will tell of what ran here, nor tell again of what has ended."""
        for held in self.held.values():
            self.group.tally.count(held.allocator, "fell" if held.stands else "fell before the answer")
        for allocator in self.owed.values():
            self.group.tally.count(allocator, "fell unheard")
        self.held.clear()
        self.owed.clear()

    def _reset_all(self) -> None:
        for streams in list(self.links.values()):
            for stream in list(streams):
                reset(stream, "its host fell")

    def drain(self) -> None:
        """Takes no new connection; what runs goes on."""
        self._unlisten()

    def vanish(self) -> None:
        """Its process dies: connections are reset, tasks cut, new connections refused."""
        self._unlisten()
        self._cut_all()
        self._reset_all()

    def _unlisten(self) -> None:
        if self.sock is not None:
            if not self.silent:
                self.loop.poller.unregister(self.sock.fileno())
            self.sock.close()
            self.sock = None


class HostGroup:
    """The hosts of one process. Lives and notes are drawn from `seed`."""

    def __init__(self, loop: Loop, names: list[str], seed: int, shape: dict[str, float]) -> None:
        self.loop, self.random, self.tally = loop, Random(seed), MessageCounters()
        self.life_ms, self.note_ms = 1e3 * shape["life_s"], 1e3 * shape["note_s"]
        self.decide_ms, self.drawn = shape["decide_ms"], bool(shape["drawn"])
        self.hosts = {name: HollowHost(self, name) for name in names}

    def begun(self) -> dict[str, int]:
        return {name: host.port for name, host in self.hosts.items()}

    def hold(self, tasks: list[tuple[int, str, int]]) -> None:
        """Tasks that run already: number, host, allocator."""
        for task, name, allocator in tasks:
            self.hosts[name].hold(task, allocator)

    def lose(self, names: list[str], power: bool) -> None:
        for name in names:
            self.hosts[name].fall_silent(power)

    def restore(self, names: list[str]) -> None:
        for name in names:
            self.hosts[name].come_back()

    def counts(self) -> dict[str, int]:
        return dict(self.tally.counts)

    def standing(self, allocator: int) -> dict[str, int]:
        """Tasks, hosts with tasks, connections: as they are now."""
        all_held = [host.held.values() for host in self.hosts.values()]
        mine = [sum(held.allocator == allocator and held.stands for held in some) for some in all_held]
        links = sum(len(host.links.get(allocator, ())) for host in self.hosts.values())
        return {"tasks": sum(mine), "hosts with tasks": sum(map(bool, mine)), "links": links}

    def close(self) -> None:
        for host in self.hosts.values():
            host.vanish()


def settings_of(shape: Any) -> dict[str, float]:
    """What a group needs of a size."""
    told = {"life_s": shape.life_s, "note_s": shape.note_s, "decide_ms": shape.decide_ms}
    return {**told, "drawn": float(shape.lives == "exponential")}

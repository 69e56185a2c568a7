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

from glencleat.emulators.proxy import reset_stream
from glencleat.event_loop import Loop, Stream, StreamClosedError
from glencleat.event_loop.loop import READ, Coroutine
from glencleat.platform_protocol import messages as m
from glencleat.scale.message_counters import MessageCounters

LISTEN_BACKLOG = 512
MAX_ACCEPTS_PER_ROUND = 64  # connections taken in one round of the loop


def listen_on_loopback() -> socket.socket:
    """A listening socket that answers at every address of the loopback device, at a free port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo\0")
        sock.bind(("0.0.0.0", 0))  # of the loopback device alone, by the line before
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


class HeldTask:
    """A task on a host: of which allocator, and the connection of its set-up."""

    __slots__ = ("allocator", "link", "is_placed")

    def __init__(self, allocator: int, link: Stream | None, stands: bool) -> None:
        self.allocator, self.link, self.is_placed = allocator, link, stands


class HollowHost:
    """`up`: takes connections; it may be draining, silent or away (see `drain`, `fall_silent`, `crash`)."""

    def __init__(self, group: HostGroup, name: str) -> None:
        self.group, self.loop, self.name = group, group.loop, name
        self.links_by_allocator: dict[int, set[Stream]] = {}  # by allocator
        self.tasks_by_id: dict[int, HeldTask] = {}
        self.unacknowledged_releases: dict[int, int] = {}  # releases not heard yet: task, allocator
        self.is_silent = False
        self.blocking_sockets: list[socket.socket] = []
        self.sock: socket.socket | None = listen_on_loopback()
        self.port = int(self.sock.getsockname()[1])
        self.loop.poller.watch(self.sock.fileno(), READ, self._came)

    # ---- connections ----

    def _came(self, _: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_ROUND):
            if self.sock is None:
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            allocator = int(sock.getsockname()[0].split(".")[2])
            self.group.counters.count(allocator, "connections")
            stream = Stream(self.loop, sock)
            self.links_by_allocator.setdefault(allocator, set()).add(stream)
            self.loop.spawn(self._serve(stream, allocator), "hollow host")

    def _serve(self, stream: Stream, allocator: int) -> Coroutine:
        decoder = m.MessageDecoder()
        try:
            for task in [task for task, whose in self.unacknowledged_releases.items() if whose == allocator]:
                self._say(stream, allocator, m.encode_with_cause(m.RELEASE, task, m.ENDED))
            while data := (yield from stream.read()):
                if self.is_silent:
                    continue
                decoder.feed(data)
                for message in decoder.messages():
                    self.group.counters.count_received(allocator, message)
                    self._message(stream, allocator, message)
        except (StreamClosedError, m.ProtocolError):
            pass
        finally:
            self._gone(stream, allocator)

    def _gone(self, stream: Stream, allocator: int) -> None:
        """What is open on it is given up, what stands goes on."""
        self.links_by_allocator.get(allocator, set()).discard(stream)
        for task, held in list(self.tasks_by_id.items()):
            if held.link is stream:
                held.link = None
                if not held.is_placed:
                    del self.tasks_by_id[task]
        stream.close("it ended")

    def _say(self, stream: Stream | None, allocator: int, data: bytes) -> bool:
        if self.is_silent or stream is None or not stream.try_send(data):
            return False
        self.group.counters.count_sent(allocator, data)
        return True

    def _message(self, stream: Stream, allocator: int, message: m.PlatformMessage) -> None:
        task = message.task_id
        if message.kind == m.SETUP:
            self.tasks_by_id[task] = HeldTask(allocator, stream, stands=False)
            self.loop.call_in(self.group.decide_ms, lambda: self._stands(task))
        elif message.kind == m.RELEASE:
            if self.tasks_by_id.pop(task, None) is not None and message.cause != m.CANCELLED:
                self.group.counters.count(allocator, "cut")
            self._say(stream, allocator, m.encode(m.RELEASE_COMPLETE, task))
        elif message.kind == m.RELEASE_COMPLETE:
            self.unacknowledged_releases.pop(task, None)
        elif message.kind == m.PROBE:
            self._say(stream, allocator, m.encode_with_cause(m.PROBE_ANSWER, task, 1))

    # ---- tasks ----

    def _stands(self, task: int) -> None:
        held = self.tasks_by_id.get(task)
        if held is None or held.is_placed:
            return
        if not self._say(held.link, held.allocator, m.encode(m.ANSWER, task, {m.DESCRIPTION: b"ok"})):
            del self.tasks_by_id[task]
            return
        held.is_placed = True
        self._note(task, "runs", "1")
        self._live(task, held)

    def adopt_task(self, task: int, allocator: int) -> None:
        """Runs there already, as tasks do that an allocator is handed by `at`."""
        held = self.tasks_by_id[task] = HeldTask(allocator, None, stands=True)
        self._live(task, held)

    def _live(self, task: int, held: HeldTask) -> None:
        drawn = self.group.random.expovariate(1.0 / self.group.life_ms)
        life = drawn if self.group.has_random_life else self.group.life_ms
        self.loop.call_in(life, lambda: self._end(task, held))
        first = self.group.random.uniform(0.0, self.group.note_ms)
        if life > first > 0.0:
            self.loop.call_in(first, lambda: self._noted(task, held))

    def _noted(self, task: int, held: HeldTask) -> None:
        if self.tasks_by_id.get(task) is held:
            self._note(task, "cores", f"{self.group.random.random():.2f}")
            self.loop.call_in(self.group.note_ms, lambda: self._noted(task, held))

    def _note(self, task: int, topic: str, value: str) -> None:
        held = self.tasks_by_id[task]
        note = m.encode(m.OBSERVATION, task, {m.TOPIC: topic.encode(), m.VALUE: value.encode()})
        self._say(self._way(held), held.allocator, note)

    def _way(self, held: HeldTask) -> Stream | None:
        """The connection of its set-up, or else any open one of its allocator."""
        if held.link is not None and held.link.close_reason is None:
            return held.link
        return next(
            (link for link in self.links_by_allocator.get(held.allocator, ()) if link.close_reason is None),
            None,
        )

    def _end(self, task: int, held: HeldTask) -> None:
        if self.tasks_by_id.get(task) is not held:
            return  # cut, or the host fell since
        del self.tasks_by_id[task]
        self.group.counters.count(held.allocator, "ended")
        self.unacknowledged_releases[task] = held.allocator
        self._say(self._way(held), held.allocator, m.encode_with_cause(m.RELEASE, task, m.ENDED))

    # ---- troubles ----

    def fall_silent(self, power: bool) -> None:
        """Says nothing more, open connections stay open, new ones never come up. `power`: tasks are cut."""
        if self.is_silent or self.sock is None:
            return
        self.is_silent = True
        if power:
            self._cut_all()
        self.loop.poller.forget(self.sock.fileno())
        self.sock.listen(0)  # and one that fills the queue: the system drops what comes to a full one
        blocker = socket.socket()
        blocker.setblocking(False)
        blocker.connect_ex(("127.0.0.1", self.port))
        self.blocking_sockets.append(blocker)

    def recover(self) -> None:
        """After a silence; what was open before is reset, as by a machine that started anew."""
        if not self.is_silent or self.sock is None:
            return
        for blocker in self.blocking_sockets:
            blocker.close()
        self.blocking_sockets.clear()
        self._reset_all()
        self.is_silent = False
        self.sock.listen(LISTEN_BACKLOG)
        self.loop.poller.watch(self.sock.fileno(), READ, self._came)

    def _cut_all(self) -> None:
        """No release will tell of what ran here, nor tell again of what has ended."""
        for held in self.tasks_by_id.values():
            self.group.counters.count(held.allocator, "fell" if held.is_placed else "fell before the answer")
        for allocator in self.unacknowledged_releases.values():
            self.group.counters.count(allocator, "fell unheard")
        self.tasks_by_id.clear()
        self.unacknowledged_releases.clear()

    def _reset_all(self) -> None:
        for streams in list(self.links_by_allocator.values()):
            for stream in list(streams):
                reset_stream(stream, "its host fell")

    def drain(self) -> None:
        """Takes no new connection; what runs goes on."""
        self._unlisten()

    def crash(self) -> None:
        """Its process dies: connections are reset, tasks cut, new connections refused."""
        self._unlisten()
        self._cut_all()
        self._reset_all()

    def _unlisten(self) -> None:
        if self.sock is not None:
            if not self.is_silent:
                self.loop.poller.forget(self.sock.fileno())
            self.sock.close()
            self.sock = None


class HostGroup:
    """The hosts of one process. Lives and notes are drawn from `seed`."""

    def __init__(self, loop: Loop, names: list[str], seed: int, shape: dict[str, float]) -> None:
        self.loop, self.random, self.counters = loop, Random(seed), MessageCounters()
        self.life_ms, self.note_ms = 1e3 * shape["life_s"], 1e3 * shape["note_s"]
        self.decide_ms, self.has_random_life = shape["decide_ms"], bool(shape["drawn"])
        self.hosts = {name: HollowHost(self, name) for name in names}

    def startup_info(self) -> dict[str, int]:
        return {name: host.port for name, host in self.hosts.items()}

    def adopt_tasks(self, tasks: list[tuple[int, str, int]]) -> None:
        """Tasks that run already: number, host, allocator."""
        for task, name, allocator in tasks:
            self.hosts[name].adopt_task(task, allocator)

    def fail_hosts(self, names: list[str], power: bool) -> None:
        for name in names:
            self.hosts[name].fall_silent(power)

    def restore_hosts(self, names: list[str]) -> None:
        for name in names:
            self.hosts[name].recover()

    def counts(self) -> dict[str, int]:
        return dict(self.counters.counts)

    def count_held(self, allocator: int) -> dict[str, int]:
        """Tasks, hosts with tasks, connections: as they are now."""
        all_held = [host.tasks_by_id.values() for host in self.hosts.values()]
        mine = [sum(held.allocator == allocator and held.is_placed for held in some) for some in all_held]
        links = sum(len(host.links_by_allocator.get(allocator, ())) for host in self.hosts.values())
        return {"tasks": sum(mine), "hosts with tasks": sum(map(bool, mine)), "links": links}

    def close(self) -> None:
        for host in self.hosts.values():
            host.crash()


def group_settings(shape: Any) -> dict[str, float]:
    """What a group needs of a size."""
    told = {"life_s": shape.life_s, "note_s": shape.note_s, "decide_ms": shape.decide_ms}
    return {**told, "drawn": float(shape.lives == "exponential")}

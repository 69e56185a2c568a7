"""`python -m glencleat node` as a process with a list service and silent hosts: CPU, memory, bytes.

Imports the program from the tree that PYTHONPATH names; `slope_worker.py` calls it. The list service and the
hosts stand in this process, all hosts behind one listener: each has a loopback address of its own (127/8).
Times are CPU seconds of the node as the system's scheduler counts them (nanoseconds; it has one thread)."""

from __future__ import annotations

import os
import random
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec
from slope_worker import CORES, MANY, MEMORY, ZONES, entry

SOCKETS = 1_024
BACKLOG, AT_ONCE = 1_024, 64  # connections that wait, that are taken in one round
SETTLE_S, IDLE_S, EVENTS = 2.0, 6.0, 100
STEP_S, MOST_S = 0.4, 60.0  # a burst is over when a step costs little more than an idle one
SETTINGS: dict[str, Any] = {
    "az": "z0",
    "classes": [{"name": "safe", "effect": "pure", "goal-time-ms": 1_000.0, "deadline-ms": 8_000.0}],
    "kinds": ["std"],
    "domain": {"cores-by-kind": [CORES], "kind-memory": [MEMORY], "cpu-booking": 2.0, "view": True},
    "limits": {"max-attempts": 4, "connect-timeout-ms": 250.0, "conn-idle-ms": 30_000.0},
    "discovery": "ask",
    "rules": {"stop-sending-within-ms": 500.0, "warm-within-ms": 1.0, "overload-for-ms": 1.0},
}


def listen_on_loopback() -> socket.socket:
    """At the loopback device's addresses alone, as in `glencleat.scale.hosts`, which older trees lack."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo\0")
    sock.bind(("", 0))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


def cpu_s(pid: int) -> float:
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def resident(pid: int) -> float:
    return float(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Rig:
    """A loop with the list service, the listener of all hosts, one node."""

    def __init__(self, folder: Path, hosts: int, peers: int, seed: int) -> None:
        from glencleat.emulators.channel import ChannelService
        from glencleat.event_loop import Loop
        from glencleat.event_loop.loop import READ

        self.loop, self.accepted, self.peers = Loop(), 0, peers
        self.open: set[Any] = set()
        self.sock = listen_on_loopback()
        self.loop.poller.watch(self.sock.fileno(), READ, self._take, is_deferred=True)
        self.port = self.sock.getsockname()[1]
        self.entries = [entry(i, port=self.port) for i in range(hosts)]
        self.service = ChannelService(self.loop, self.entries)
        self.config, self.log = folder / "config.json", folder / "log"
        channel = f"{self.service.address[0]}:{self.service.address[1]}"
        self.config.write_bytes(msgspec.json.encode({
            "name": "n0", "listen": "127.0.0.1:0", "seed": f"{seed:016x}", "limits": {"sockets": SOCKETS},
            "channel": channel, "known": self.service.take_snapshot(),
            "settings": {**SETTINGS, "peers-total": peers, "position": 0},
        }))  # fmt: skip
        variables = {**os.environ, "ROUTER_CONFIG": str(self.config), "ROUTER_NAME": "n0"}
        with self.log.open("wb") as log:
            command = [sys.executable, "-m", "glencleat", "node"]
            self.process = subprocess.Popen(command, env=variables, stderr=log)
        self.pid = self.process.pid

    def _take(self, mask: int) -> None:
        from glencleat.event_loop import Stream

        for _ in range(AT_ONCE):
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            self.accepted += 1
            self.loop.spawn(self._hear(Stream(self.loop, sock)), "silent host")

    def _hear(self, stream: Any) -> Iterator[Any]:
        from glencleat.event_loop import StreamClosedError

        self.open.add(stream)
        try:
            while (yield from stream.read()):
                pass
        except StreamClosedError:
            pass
        finally:
            self.open.discard(stream)
            stream.close("the node closed it")

    def until(self, done: Callable[[], bool], most_s: float) -> bool:
        limit, over = self.loop.now() + 1e3 * most_s, [False]

        def tick() -> None:
            over[0] = done()
            self.loop.call_in(20.0, tick)

        self.loop.call_in(0.0, tick)
        while not over[0] and self.loop.now() < limit:
            self.loop.run_once()
        return over[0]

    def rest(self, seconds: float) -> float:
        """CPU seconds that the node spends in so many."""
        before = cpu_s(self.pid)
        self.until(lambda: False, seconds)
        return cpu_s(self.pid) - before

    def place(self) -> tuple[str, int]:
        """Where the node listens."""
        found: list[bytes] = []

        def told() -> bool:
            found[:] = [line for line in self.log.read_bytes().splitlines() if b"listening on" in line]
            return bool(found)

        if not self.until(told, 60.0):
            raise RuntimeError(self.log.read_text()[-2_000:])
        return "127.0.0.1", int(found[0].partition(b"127.0.0.1:")[2].partition(b",")[0])

    def close(self) -> None:
        self.process.kill()
        self.process.wait()


@contextmanager
def rig(hosts: int, peers: int, seed: int) -> Iterator[Rig]:
    with tempfile.TemporaryDirectory() as folder:
        one = Rig(Path(folder), hosts, peers, seed)
        try:
            yield one
        finally:
            one.close()


def extra(one: Rig, idle: float, tell: Callable[[], None]) -> float:
    """CPU seconds that what is told costs beyond being idle."""
    before, steps = cpu_s(one.pid), 0
    tell()
    while steps < MOST_S / STEP_S:
        spent, steps = one.rest(STEP_S), steps + 1
        if steps > 2 and spent <= 1.5 * idle * STEP_S + 0.004:
            break
    return max(0.0, cpu_s(one.pid) - before - idle * steps * STEP_S)


def node(hosts: int, tasks: int, services: int, peers: int, seed: int) -> dict[str, float]:
    """Start, idle with heartbeats only, events of one host and of many, a zone in one event and one each."""
    drawn = random.Random(seed)
    with rig(hosts, peers, seed) as one:
        one.place()
        found = {"node.start": cpu_s(one.pid)}
        one.rest(SETTLE_S)
        found["node.resident"] = resident(one.pid)
        found["node.idle"] = idle = one.rest(IDLE_S) / IDLE_S

        def changed(count: int) -> list[dict[str, Any]]:
            free = [round(drawn.uniform(4.0, 12.0), 1), 20.0]
            return [{**told, "free": free} for told in drawn.sample(one.entries, min(count, hosts))]

        def each(entries: list[dict[str, Any]], phase: str) -> None:
            for told in entries:
                one.service.publish([{**told, "lifecycle": phase}])

        gone = one.entries[::ZONES]
        singles = [changed(1) for _ in range(EVENTS)]
        found["node.event"] = extra(one, idle, lambda: [one.service.publish(t) for t in singles]) / EVENTS
        several = [changed(MANY) for _ in range(5)]
        found["node.event_many"] = extra(one, idle, lambda: [one.service.publish(t) for t in several]) / 5
        drained = [{**told, "lifecycle": "DRAINING"} for told in gone]
        found["node.zone_once"] = extra(one, idle, lambda: one.service.publish(drained))
        found["node.zone_back"] = extra(one, idle, lambda: one.service.publish(gone))
        found["node.zone_each"] = extra(one, idle, lambda: each(gone, "DELETED"))
        found["node.resident_after"] = resident(one.pid)
    return found


def node_looks(hosts: int, tasks: int, services: int, peers: int, seed: int) -> dict[str, float]:
    """Tasks handed over at silent hosts, spread evenly: what looking whether those live costs."""
    from glencleat.event_loop import Stream, connect
    from glencleat.platform_protocol import messages as m

    with rig(hosts, peers, seed) as one:
        place = one.place()
        idle_memory = resident(one.pid)

        def hand_over() -> Iterator[Any]:
            stream: Stream = yield from connect(one.loop, place, 1_000.0)
            for task in range(tasks):
                name = one.entries[task * 7919 % hosts]["instanceId"]
                extras = f"cores:0.25;memory:0.5;service:service-{task % services};at:{name}".encode()
                told = {m.CLASS: b"safe", m.TIMEOUT: b"8000", m.NAME: b"%016x" % task, m.EXTRAS: extras,
                        m.DESCRIPTION: b"v" * 60}  # fmt: skip
                stream.try_send(m.encode(m.SETUP, 1 + task, told))
            while (yield from stream.read()):
                pass

        before = cpu_s(one.pid)
        one.loop.spawn(hand_over(), "owner")
        one.until(lambda: False, 5.0)
        found = {"looks.adopt": (cpu_s(one.pid) - before) / tasks}
        accepted = one.accepted
        found["looks.cpu"] = one.rest(IDLE_S) / IDLE_S
        found["looks.connections"] = (one.accepted - accepted) / IDLE_S
        found["looks.links"] = float(len(one.open))
        found["looks.resident"] = resident(one.pid)
        found["looks.per_task"] = (found["looks.resident"] - idle_memory) / tasks
    return found

"""Stand-ins for the platform: hosts, the command channel, clients and a proxy, and the allocator as a process.

Written from the protocol page; shares no code with the package `glencleat`. Everything but the allocator runs
in one asyncio loop, on loopback addresses and the real clock. Where the page is silent, each stand-in behaves
like a sound one.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SETUP, ANSWER, RELEASE, HEARD, NOTE, MOVE, TEST, TESTED = 1, 9, 12, 16, 44, 51, 52, 53
CLASS, TIMEOUT, RETRY, NAME, EXTRAS, STAY_AWAY = 100, 103, 109, 112, 115, 118
TOPIC, REPORT, VALUE, KEY, CAUSE, DESCRIPTION = 121, 127, 136, 139, 142, 145
OVER, CANCELLED, FULL, RESET, ERROR, MOOT = 16, 31, 34, 41, 47, 102
CANCELLED_BY_OWNER = 16
SLACK_S = 0.05  # every time limit is 50 ms longer on sockets

MEDIUM, LARGE = (25.0, 59.0), (63.0, 129.0)  # cores and memory of the two kinds


def encode(kind: int, task: int, parameters: dict[int, bytes] | None = None) -> bytes:
    body = b"".join(struct.pack(">BH", code, len(raw)) + raw for code, raw in (parameters or {}).items())
    return struct.pack(">HBQ", 9 + len(body), kind, task) + body


def decode(body: bytes) -> tuple[int, int, dict[int, bytes]]:
    kind, task = struct.unpack_from(">BQ", body)
    position, parameters = 9, {}
    while position < len(body):
        code, length = struct.unpack_from(">BH", body, position)
        parameters[code] = body[position + 3 : position + 3 + length]
        position += 3 + length
    return kind, task, parameters


async def read_message(reader: asyncio.StreamReader) -> tuple[int, int, dict[int, bytes]]:
    (length,) = struct.unpack(">H", await reader.readexactly(2))
    return decode(await reader.readexactly(length))


class Record:
    """What was sent, answered and run, by seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started_s = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        return time.monotonic() - self.started_s

    def add(self, text: str) -> float:
        at_s = self.now()
        self.file.write(f"{at_s:8.3f} {text}\n")
        self.file.flush()
        return at_s


def set_up(
    task: int, task_class: str, service: str, cores: float, memory: float, timeout_ms: int = 0,
    at: str = "", key: str = "", filler: int = 0, retry: bool = False,
) -> bytes:  # fmt: skip
    deadlines = {"pull-front": 8000, "repo-copy": 6000, "store-compact": 10000}
    extras = f"cores:{cores:g};memory:{memory:g};service:{service}" + (f";at:{at}" if at else "")
    parameters = {CLASS: task_class.encode(), TIMEOUT: b"%d" % (timeout_ms or deadlines[task_class])}
    if retry:
        parameters[RETRY] = b"1"
    parameters[NAME] = b"%016x" % (task ^ 0x5555)
    if key:
        parameters[KEY] = key.encode()
    parameters[EXTRAS] = extras.encode()
    parameters[DESCRIPTION] = b"run-%016x " % task + b"." * filler
    return encode(SETUP, task, parameters)


class Host:
    """A host: accepts what fits, keeps tasks until `end`, repeats a release until it is heard."""

    def __init__(self, record: Record, name: str, size: tuple[float, float], zone: str, cell: int = 0) -> None:
        self.record, self.name, self.size, self.zone, self.cell = record, name, size, zone, cell
        self.kind = "medium" if size == MEDIUM else "large"
        self.decide_s = 0.02
        self.foreign = (0.0, 0.0)  # cores and memory that tasks of others ask for
        self.is_draining = False
        self.life_s: float | None = None  # of each task; None: until `end` is called
        self.standing: dict[int, tuple[float, float]] = {}
        self.origin: dict[int, asyncio.StreamWriter] = {}  # the connection of each set-up
        self.open: dict[tuple[int, asyncio.StreamWriter], asyncio.Task[None]] = {}
        self.unheard: dict[int, bytes] = {}  # releases that the allocator has not acknowledged
        self.released_at: dict[int, float] = {}
        self.received: list[tuple[float, int]] = []  # set-ups
        self.started: list[tuple[float, int]] = []  # tasks that were accepted
        self.writers: list[asyncio.StreamWriter] = []
        self.address = ""

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def stop(self, reset: bool = True) -> None:
        """The process ends: connections are reset, tasks are cut, new connections are refused."""
        self.record.add(f"host {self.name}: its process ends, {len(self.standing)} tasks are cut")
        self.server.close()
        for writer in self.writers:
            if reset:
                writer.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            writer.transport.abort()
        self.writers = []
        self.standing.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        for data in self.unheard.values():
            writer.write(data)
        try:
            while True:
                self._handle(writer, *await read_message(reader))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            if writer in self.writers:
                self.writers.remove(writer)
            for key in [key for key in self.open if key[1] is writer]:
                self.record.add(f"host {self.name}: {key[0]:x} is given up by a close")
                self.open.pop(key).cancel()
            writer.close()

    def _handle(self, writer: asyncio.StreamWriter, kind: int, task: int, parameters: dict[int, bytes]) -> None:
        if kind == SETUP:
            at_s = self.record.add(f"host {self.name}: set-up {task:x} {parameters[CLASS].decode()}")
            self.received.append((at_s, task))
            job = asyncio.get_running_loop().create_task(self._decide(writer, task, parameters))
            self.open[task, writer] = job
        elif kind == TEST:
            writer.write(encode(TESTED, task, {CAUSE: b"\x01", REPORT: self._report()}))
        elif kind == RELEASE:
            cause = parameters.get(CAUSE, b"\0")[0]
            self.record.add(f"host {self.name}: release of {task:x} by the allocator, cause {cause}")
            job = self.open.pop((task, writer), None)
            if job is not None:
                job.cancel()
            if self.standing.pop(task, None) is not None:
                self._release(task, CANCELLED)
            writer.write(encode(HEARD, task))
        elif kind == HEARD:
            self.unheard.pop(task, None)

    def _used(self) -> tuple[float, float]:
        own = [sum(ask[i] for ask in self.standing.values()) for i in (0, 1)]
        return self.foreign[0] + own[0], self.foreign[1] + own[1]

    def free(self) -> list[float]:
        used = self._used()
        return [self.size[0] - used[0], self.size[1] - used[1]]

    def _report(self) -> bytes:
        used = self._used()
        return b"x0:%g;x1:%g;util:%g" % (
            max(0.0, self.size[0] - 0.5 * used[0]), max(0.0, self.size[1] - 0.7 * used[1]),
            min(1.0, 0.5 * used[0] / self.size[0]),
        )  # fmt: skip

    def ask_of(self, task: int) -> tuple[float, float]:
        """The figures of a task; the stand-in's clients leave them here, as the set-up to a host has none."""
        return ASKS.get(task, (1.0, 2.0))

    async def _decide(self, writer: asyncio.StreamWriter, task: int, parameters: dict[int, bytes]) -> None:
        await asyncio.sleep(self.decide_s)
        self.open.pop((task, writer), None)
        ask, used = self.ask_of(task), self._used()
        why = b""
        if self.is_draining:
            why = b"not_here"
        elif used[0] + ask[0] > 2.0 * self.size[0]:
            why = b"no_cores"
        elif used[1] + ask[1] > 1.5 * self.size[1]:
            why = b"no_memory"
        if why:
            self.record.add(f"host {self.name}: refuses {task:x}, {why.decode()}")
            writer.write(encode(RELEASE, task, {CAUSE: bytes((FULL,)), TOPIC: why, REPORT: self._report()}))
            return
        self.standing[task], self.origin[task] = ask, writer
        self.started.append((self.record.add(f"host {self.name}: accepts {task:x}"), task))
        writer.write(encode(ANSWER, task, {DESCRIPTION: b"on-" + self.name.encode() + b"-%x" % task}))
        if self.life_s is not None:
            asyncio.get_running_loop().call_later(self.life_s, self.end, task)

    def end(self, task: int, cause: int = OVER) -> None:
        """The task comes to its end."""
        if self.standing.pop(task, None) is not None:
            self._release(task, cause)

    def _release(self, task: int, cause: int) -> None:
        data = encode(RELEASE, task, {CAUSE: bytes((cause,))})
        self.unheard[task] = data
        self.released_at[task] = self.record.add(f"host {self.name}: release of {task:x}, cause {cause}")
        origin = self.origin.pop(task, None)
        writer = origin if origin in self.writers else next(iter(self.writers), None)
        if writer is not None:
            writer.write(data)


ASKS: dict[int, tuple[float, float]] = {}


class Channel:
    """The command channel: numbered events, and every second a line with the last number."""

    def __init__(self, record: Record, hosts: list[Host]) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.first_line_delay_s: Callable[[], float] = lambda: 0.0
        self.published_at: dict[int, float] = {}
        self._append(True, [self.entry(host) for host in hosts])

    @staticmethod
    def entry(host: Host, phase: str = "SERVING", started_ms: float = 0, free: list[float] | None = None) -> Any:
        return {
            "instanceId": host.name, "hostPort": host.address, "zone": host.zone, "machineType": host.kind,
            "cell": host.cell, "lifecycle": phase, "weight": 1, "startedAtMs": started_ms,
            "free": host.free() if free is None else free,
        }  # fmt: skip

    def _append(self, whole: bool, entries: list[Any]) -> None:
        cursor = len(self.events) + 1
        nodes = {"generation": cursor, "reset": whole, "instances": entries}
        self.events.append({"cursor": cursor, "nodes": nodes})

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def known(self) -> dict[str, Any]:
        return {"cursor": len(self.events), "cmds": list(self.events)}

    def publish(self, entries: list[Any]) -> None:
        self._append(False, entries)
        told = ", ".join(f"{entry['instanceId']} {entry['lifecycle']}" for entry in entries)
        self.published_at[len(self.events)] = self.record.add(f"channel: event {len(self.events)}: {told}")
        for writer in self.writers:
            writer.write(json.dumps(self.events[-1]).encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        beat = None
        try:
            line = await reader.readline()
            number = int(line.split()[1])
            delay_s = self.first_line_delay_s()
            self.record.add(f"channel: asked, resume {number}; the first line follows in {delay_s:g} s")
            ended = asyncio.ensure_future(reader.read(1))
            await asyncio.wait([ended], timeout=delay_s)
            if ended.done():
                self.record.add("channel: the allocator has closed the connection before the first line")
                return
            for event in self.events[number:]:
                writer.write(json.dumps(event).encode() + b"\n")
            if len(self.events) > number:
                self.record.add(f"channel: told events {number + 1} to {len(self.events)}")
            self.writers.append(writer)
            beat = asyncio.ensure_future(self._beat(writer))
            await ended
        except (OSError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            if beat is not None:
                beat.cancel()
            if writer in self.writers:
                self.writers.remove(writer)
            writer.close()

    async def _beat(self, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(b"%d\n" % len(self.events))
            await asyncio.sleep(1.0)


class Client:
    """One connection of a client. `answers` and `releases`: what came, by task."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.answers: dict[int, list[tuple[float, str]]] = {}
        self.over: dict[int, float] = {}  # releases of tasks that stood
        self.standing: set[int] = set()
        self.tests: list[int] = []
        self.sent_at: dict[int, float] = {}
        self.ended_at: float | None = None
        self.on_message: Callable[[int, int, dict[int, bytes]], None] = lambda *_: None

    async def connect(self, address: tuple[str, int]) -> None:
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.record.add(f"client {self.name}: connected")
        self.task = asyncio.ensure_future(self._read())

    def send(self, task: int, data: bytes, ask: tuple[float, float] | None = None) -> None:
        if ask is not None:
            ASKS[task] = ask
        self.writer.write(data)
        self.sent_at[task] = self.record.add(f"client {self.name}: set-up {task:x}, {len(data)} bytes")

    def send_release(self, task: int, cause: int) -> None:
        self.writer.write(encode(RELEASE, task, {CAUSE: bytes((cause,))}))
        self.record.add(f"client {self.name}: gives {task:x} up")

    def test(self, number: int) -> None:
        self.writer.write(encode(TEST, number, {CAUSE: b"\0"}))

    def close(self) -> None:
        self.record.add(f"client {self.name}: closes its connection")
        self.task.cancel()
        self.writer.close()

    async def _read(self) -> None:
        try:
            while True:
                kind, task, parameters = await read_message(self.reader)
                cause = parameters.get(CAUSE, b"\0")[0]
                if kind == TESTED:
                    self.tests.append(cause)
                elif kind == ANSWER:
                    at_s = self.record.add(f"client {self.name}: answer for {task:x}: it stands")
                    self.answers.setdefault(task, []).append((at_s, "stands"))
                    self.standing.add(task)
                elif kind == RELEASE and (task in self.sent_at and task not in self.answers):
                    at_s = self.record.add(f"client {self.name}: answer for {task:x}: cause {cause}")
                    self.answers.setdefault(task, []).append((at_s, f"cause {cause}"))
                elif kind in (RELEASE, MOVE):
                    self.over[task] = self.record.add(f"client {self.name}: {task:x} is over, cause {cause}")
                    self.writer.write(encode(HEARD, task))
                self.on_message(kind, task, parameters)
        except (asyncio.IncompleteReadError, OSError) as error:
            self.ended_at = self.record.add(f"client {self.name}: the connection has ended, {type(error).__name__}")


def settings(allocators: int, position: int, **rules: float) -> dict[str, Any]:
    """Settings of a small deployment, with the names of the wire page."""
    return {
        "az": "hall-a",
        "classes": [
            {"name": "pull-front", "effect": "pure", "goal-time-ms": 1000.0, "deadline-ms": 8000.0, "group": "all",
             "memory-span-ms": 5000.0, "worth": 3.0, "late-worth": 0.1, "lasting": True},
            {"name": "repo-copy", "effect": "token", "goal-time-ms": 800.0, "deadline-ms": 6000.0, "group": "all",
             "memory-span-ms": 5000.0, "worth": 3.0, "late-worth": 0.1, "lasting": True},
            {"name": "store-compact", "effect": "side_effect", "goal-time-ms": 5500.0, "deadline-ms": 10000.0,
             "group": "all", "memory-span-ms": 5000.0, "worth": 9.0, "late-worth": 0.1, "lasting": True},
        ],
        "client-habits": {"marks-retry": True},
        "customers": [],
        "discovery": "ask",
        "domain": {
            "accepts-memory": 1.5, "cpu-booking": 2.0, "bound": False, "displaces": False, "view": True,
            "cores-by-kind": [MEDIUM[0], LARGE[0]], "kind-memory": [MEDIUM[1], LARGE[1]],
            "needs-kind": [-1, -1, 1], "class-most": [2, 4, 2], "spread-by": ["off", "zone", "off"],
            "precedence": [0, 1, 2], "calm-level": [1.0, 0.8, 0.8], "class-fade": [1.0, 0.2, 0.25],
            "start-seconds": [8.0, 10.0, 8.0], "fresh-offers": 10.0, "report-counts": "used", "says-yes": "accepted",
            "settle-ms": 3000.0, "tells-pressure": True, "use-notes": True, "evict-weight": 2.0,
        },
        "feedback": {"fields": ["x0", "x1", "busy"], "how": "inline"},
        "kinds": ["medium", "large"],
        "limits": {"cancel": True, "conn-idle-ms": 30000.0, "connect-timeout-ms": 250.0, "max-attempts": 4,
                   "max-retry-after-ms": 3000.0, "probes": True, "retry-after": True, "second-copies": False},
        "over-share-worth": 0.1,
        "peers-total": allocators,
        "position": position,
        "prices": {"fleet": 0.15, "cross-zone": 0.0, "moves": 0.08, "probe": 0.004, "waste": 0.03},
        "resolution-ms": 2.0,
        "rules": {"answer-slack-ms": 8.0, "ask-within-ms": 10000.0, "cold-from": 0.16, "overload-for-ms": 1000.0,
                  "stop-sending-within-ms": 2000.0, "tip-multiple": 2.0, "warm-within-ms": 16000.0, **rules},
        "zones": ["hall-a", "hall-b", "hall-c"],
    }  # fmt: skip


class Allocator:
    """One allocator, started by the command `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, position: int, allocators: int) -> None:
        self.record, self.folder, self.position, self.allocators = record, folder, position, allocators
        self.name = f"n{position}"
        with socket.create_server(("127.0.0.1", 0)) as probe:
            self.address = probe.getsockname()
        self.path = folder / f"{self.name}.json"
        self.process: subprocess.Popen[bytes] | None = None
        self.seed = 0x8C1F30D27A5BE964 + position

    def write_config(self, channel: Channel, sockets: int = 256) -> None:
        text = json.dumps({
            "name": self.name, "listen": "%s:%d" % self.address, "seed": f"{self.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": sockets}, "channel": channel.address,
            "known": channel.known(), "settings": settings(self.allocators, self.position),
        })  # fmt: skip
        new = self.path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.path)

    def start(self, **extra: str) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        private = self.folder / f"tmp-{self.name}"
        private.mkdir(exist_ok=True)
        self.seed += 1000
        self.log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL,
            env={**os.environ, "ROUTER_NAME": self.name, "ROUTER_LISTEN": "%s:%d" % self.address,
                 "ROUTER_CONFIG": str(self.path), "TMPDIR": str(private), **extra},
        )  # fmt: skip
        self.record.add(f"allocator {self.name}: started")

    async def wait_ready(self) -> None:
        """As the front does: until a test has been passed."""
        for _ in range(300):
            client = Client(Record(Path(os.devnull)), "front")
            with contextlib.suppress(OSError):
                await client.connect(self.address)
                client.test(1)
                await asyncio.sleep(0.1)
                client.close()
                if client.tests == [1]:
                    self.record.add(f"allocator {self.name}: a test is passed")
                    return
            await asyncio.sleep(0.1)
            if self.process is None or self.process.poll() is not None:
                break
        raise CannotRun(f"allocator {self.name} does not get ready")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.add(f"allocator {self.name}: {number.name}")
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    """The case can't run; the text says why."""


class Case:
    """The parts of a case, and their end."""

    def __init__(self, record: Path) -> None:
        self.record = Record(record)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record.add(f"TROUBLE={int(self.trouble)}")
        self.hosts: list[Host] = []
        self.allocators: list[Allocator] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))

    async def start(self, hosts: list[Host], allocators: int) -> Channel:
        self.hosts = hosts
        for host in hosts:
            await host.start()
        self.channel = Channel(self.record, hosts)
        await self.channel.start()
        self.allocators = [Allocator(self.record, self.folder, i, allocators) for i in range(allocators)]
        return self.channel

    async def start_allocators(self) -> None:
        for allocator in self.allocators:
            allocator.write_config(self.channel)
            allocator.start()
        for allocator in self.allocators:
            await allocator.wait_ready()

    def check_alive(self) -> None:
        for allocator in self.allocators:
            if allocator.process is not None and allocator.process.poll() is not None:
                raise CannotRun(f"allocator {allocator.name} has ended")

    def end(self) -> None:
        import shutil

        for allocator in self.allocators:
            allocator.end()
            log = self.folder / f"{allocator.name}.log"
            if log.exists():
                self.record.file.write(f"---- log of {allocator.name}\n{log.read_text()[:4000]}")
        self.record.file.flush()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(record: Path, play: Callable[[Case], Any]) -> None:
    """Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

    async def run() -> list[str]:
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(110):
            broken: list[str] = await play(case)
            return broken

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # also then, `Case.end` ends the allocators
    case, code = Case(record), 2
    loop = asyncio.new_event_loop()
    try:
        broken = loop.run_until_complete(run())
        code = 1 if broken else 0
        for line in broken:
            case.record.add(f"BROKEN: {line}")
            print(f"broken: {line}")
        if not broken:
            case.record.add("the rule held")
            print("held")
    except (CannotRun, OSError, TimeoutError, AssertionError) as error:
        case.record.add(f"can't run: {type(error).__name__}: {error}")
        print(f"can't run: {type(error).__name__}: {error}", file=sys.stderr)
    finally:
        case.end()
        sys.stdout.flush()
    os._exit(code)  # the stand-ins' connections end with the process

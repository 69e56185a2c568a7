"""Plays a day: directory, hosts and owners in this process, allocators in processes of their own.

Everything listens on loopback, at ports that the system picks. The record and the allocators' logs go to a
folder; the verdict comes from the record alone (check.rules)."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random

from glencleat.checker.trace import TraceRecorder
from glencleat.config import AllocatorConfig
from glencleat.emulators import standalone
from glencleat.emulators.client import Address
from glencleat.emulators.directory import Directory, DirectoryEntry
from glencleat.emulators.hosts import EmulatedHost
from glencleat.emulators.owners import EmulatedOwner, OwnerJob
from glencleat.emulators.proxies import ProxyNetwork
from glencleat.emulators.script import At, Script
from glencleat.event_loop import Loop
from glencleat.event_loop.loop import READ, Coroutine, LoopTask

START_MS = 20_000.0  # for a process to say where it listens
END_MS = 15_000.0  # for one to end after SIGTERM
RESTART_MS = 300.0  # of a host in a deploy
LAG_STEP_MS, LAG_MS = 20.0, 50.0
KINDS = ("owners", "agents", "metrics", "rest")  # what an allocator listens for
GROWN = 3.0  # times the usual use of a task that swells


class PlayError(Exception):
    """The play could not be set up; says what failed."""


class AllocatorProcess:
    """One allocator: `glencleat serve` on a file written for it, at the same addresses over restarts."""

    def __init__(
        self, loop: Loop, recorder: TraceRecorder, name: str, folder: Path, lines: list[str]
    ) -> None:
        self.loop, self.recorder, self.name, self.folder, self.lines = loop, recorder, name, folder, lines
        self.owners: Address = ("127.0.0.1", 0)
        self.agents: Address = ("127.0.0.1", 0)
        self.metrics: Address = ("127.0.0.1", 0)
        self.rest: Address = ("127.0.0.1", 0)
        self.child: subprocess.Popen[bytes] | None = None
        self.kept: list[socket.socket] = []
        self.starting: LoopTask | None = None  # who waits for its addresses

    def start(self) -> Coroutine:
        """Starts it and waits for its addresses."""
        self.starting = self.loop.current
        conf = self.folder / f"{self.name}.conf"
        listens = [f"listen {k} {a[0]}:{a[1]}" for k, a in ((kind, getattr(self, kind)) for kind in KINDS)]
        conf.write_text("\n".join([*self.lines, *listens]) + "\n")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "glencleat", "serve", str(conf), "--ready", "-"],
                stdout=subprocess.PIPE,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        line = yield from self._line()
        if not line:
            raise PlayError(f"allocator {self.name} did not start; see {self.folder / self.name}.log")
        bound = json.loads(line)
        for kind in KINDS:
            host, _, port = bound[kind].rpartition(":")
            setattr(self, kind, (host, int(port)))
        self.release()
        self.starting = None
        self.recorder.add("allocator", allocator=self.name, state="up")

    def _line(self) -> Coroutine:
        pipe = self.child.stdout if self.child is not None else None
        if pipe is None:
            return b""
        fd, data = pipe.fileno(), b""
        while not data.endswith(b"\n"):

            def arm(task: LoopTask) -> Callable[[], None]:
                timer = self.loop.call_in(START_MS, lambda: told(0))

                def disarm() -> None:
                    timer.cancel()
                    self.loop.poller.unregister(fd)

                def told(events: int) -> None:
                    disarm()
                    self.loop.wake(task, events)

                self.loop.poller.register(fd, READ, told)
                return disarm

            mask = yield arm
            more = os.read(fd, 4096) if mask else b""
            if not more:
                return b""
            data += more
        return data

    def signal(self, number: int, state: str) -> None:
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)
            self.recorder.add("allocator", allocator=self.name, state=state)

    def kill(self) -> None:
        if self.starting is not None:
            # It will never say where it listens; who waits for that ended the play 20 s later.
            self.loop.cancel(self.starting)
            self.starting = None
        self.signal(signal.SIGKILL, "killed")
        if self.child is not None:
            self.child.wait()
            if self.child.stdout is not None:
                self.child.stdout.close()
            self._keep()

    def _keep(self) -> None:
        """Holds its ports until it is back: any connection that leaves meanwhile might be given one of them.

        Bound and not listening, which lets the next process bind and listen beside it."""
        for kind in KINDS:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(getattr(self, kind))
            except OSError:
                sock.close()
            else:
                self.kept.append(sock)

    def release(self) -> None:
        for sock in self.kept:
            sock.close()
        self.kept.clear()

    def stop(self) -> Coroutine:
        """SIGTERM, then a bounded wait; gives its exit code, or None if it had to be killed."""
        if self.child is None:
            return None
        self.signal(signal.SIGTERM, "stopped")
        until = self.loop.now() + END_MS
        while self.child.poll() is None and self.loop.now() < until:
            yield from self.loop.sleep(20.0)
        code = self.child.poll()
        if code is None:
            self.kill()
        elif self.child.stdout is not None:
            self.child.stdout.close()
        return code


class Play:
    def __init__(
        self,
        script: Script,
        campus_file: Path,
        campus: AllocatorConfig,
        folder: Path,
        loop: Loop | None = None,
    ):
        self.script, self.campus, self.folder = script, campus, folder
        self.loop = loop or Loop()
        self.random = Random(script.play.seed)
        self.recorder = TraceRecorder(self.loop.now, (folder / "record.jsonl").open("w"))
        self.hosts = standalone.hosts(self.loop, self.recorder, script, campus, self.random)
        self.draining: set[str] = set()
        self.wires = ProxyNetwork(self.loop, self.recorder, script)
        told = script.directory
        self.directory = Directory(
            self.loop, self.recorder, self._entries, told.late, told.every, told.retry_after
        )
        self.processes = [self._process(i, campus_file) for i in range(script.allocators.count)]
        self.owners: list[EmulatedOwner] = []
        self.exits: dict[str, int | None] = {}
        self.jobs = 0
        self.more = 1.0  # times the usual rate of new tasks
        self.on_ready: Callable[[], None] = lambda: None  # all are up, nothing was asked yet
        self.on_settled: Callable[[], None] = lambda: None  # the day is over, the allocators still run

    # ---- making ----

    def _process(self, number: int, campus_file: Path) -> AllocatorProcess:
        halls = self.script.hosts.halls
        name = f"a{number}"
        host, port = self.wires.way("list", name, self.directory.listen(name))
        lines = [
            f"allocator {name} number {number} of {self.script.allocators.count} "
            f"zone {halls[number % len(halls)]} seed {self.script.play.seed}",
            f"directory {host}:{port}",
            f"include {campus_file.resolve()}",
        ]
        if self.script.allocators.keep_list == "yes":
            lines.append(f"keep-list {self.folder.resolve() / name}.list")
        return AllocatorProcess(self.loop, self.recorder, name, self.folder, lines)

    def _entries(self) -> list[DirectoryEntry]:
        return [standalone.entry(host, host.name in self.draining) for host in self.hosts if host.up]

    # ---- the day ----

    def run(self) -> None:
        """Plays it to its end; raises PlayError."""
        day = self.loop.spawn(self._day(), "day")
        try:
            self.loop.run_until(day)
        finally:
            for process in self.processes:
                process.kill()
                process.release()
            self.wires.end()
            self.recorder.end()
            self._close()

    def _close(self) -> None:
        """Streams that are open would close themselves as they are thrown away, on a poller that is gone."""
        self.wires.close()
        for owner in self.owners:
            owner.end()
        for host in self.hosts:
            host.stop("the play is over")
        self.directory.close()

    def _day(self) -> Coroutine:
        self.loop.spawn(self._watch_lag(), "lag", self.loop.current)
        starts = [self.loop.spawn(p.start(), p.name) for p in self.processes]
        for start in starts:
            yield from self.loop.join(start)
        agents = {p.name: self.wires.way("agents", p.name, p.agents) for p in self.processes}
        for host in self.hosts:
            host.allocators = agents
            host.start(cold=False)
        self.directory.start()
        places = [(p.name, self.wires.way("owners", p.name, p.owners)) for p in self.processes]
        rest = {p.name: p.rest for p in self.processes}
        self.owners = standalone.owners(self.loop, self.recorder, self.script, places, self.random, rest=rest)
        yield from self.loop.sleep(self.script.play.warm)
        self.on_ready()
        for at in self.script.at:
            self.loop.call_in(at.time, lambda at=at: self._fault(at))  # type: ignore[misc]
        asking = self.loop.spawn(self._ask(), "asking")
        yield from self.loop.join(asking)
        yield from self.loop.sleep(self.script.play.settle)
        self.on_settled()
        for process in self.processes:
            self.exits[process.name] = yield from process.stop()

    def _watch_lag(self) -> Coroutine:
        """Records when this process, with all stand-ins in it, stood still: it has read late then."""
        while True:
            due = self.loop.now() + LAG_STEP_MS
            yield from self.loop.sleep(LAG_STEP_MS)
            late = self.loop.now() - due
            if late > LAG_MS:
                self.recorder.add("lag", left=round(late, 1))

    def _ask(self) -> Coroutine:
        """New tasks at random instants, of random owners: a Poisson stream."""
        until = self.loop.now() + self.script.play.length
        due = self.loop.now()
        while due < until:
            due += self.random.expovariate(self.script.owners.rate * self.more) * 1_000.0
            yield from self.loop.sleep(max(0.0, due - self.loop.now()))
            self.random.choice(self.owners).ask(self._job())

    def _job(self) -> OwnerJob:
        self.jobs += 1
        return standalone.job(self.script, self.campus, self.random, self.jobs)

    # ---- faults ----

    def _fault(self, at: At) -> None:
        self.recorder.add("fault", state="begins", text=str(at))
        undo = getattr(self, "_fault_" + at.fault.replace("-", "_"))(at)

        def end() -> None:
            self.recorder.add("fault", state="ends", text=str(at))
            undo()

        self.loop.call_in(at.duration, end)

    def _some(self, share: float) -> list[EmulatedHost]:
        up = [h for h in self.hosts if h.up and h.name not in self.draining]
        return self.random.sample(up, min(len(up), max(1, round(share * len(self.hosts)))))

    def _down(self, hosts: list[EmulatedHost], why: str) -> Callable[[], None]:
        for host in hosts:
            host.stop(why)

        def back() -> None:
            for host in hosts:
                if not host.up and not host.fallen:
                    host.start(cold=True)

        return back

    def _fault_hall(self, at: At) -> Callable[[], None]:
        return self._down([h for h in self.hosts if h.zone == at.what and h.up], "hall lost")

    def _fault_crash(self, at: At) -> Callable[[], None]:
        return self._down(self._some(at.share()), "crash")

    def _marked(self, hosts: list[EmulatedHost], name: str) -> Callable[[], None]:
        def mark(on: bool) -> None:
            for host in hosts:
                setattr(host.machine.faults, name, on)

        mark(True)
        return lambda: mark(False)

    def _fault_false_full(self, at: At) -> Callable[[], None]:
        return self._marked(self._some(at.share()), "false_full")

    def _fault_silent(self, at: At) -> Callable[[], None]:
        return self._marked(self._some(at.share()), "silent")

    def _fault_quiet(self, at: At) -> Callable[[], None]:
        sessions = []
        for host in self._some(at.share()):
            self.recorder.add("quiet", who=host.name)
            sessions += list(host.sessions.values())
        for session in sessions:
            session.pause()

        def back() -> None:
            for session in sessions:
                session.resume()

        return back

    def _fault_drain(self, at: At) -> Callable[[], None]:
        return self._drained(at, back=False)

    def _fault_deploy(self, at: At) -> Callable[[], None]:
        return self._drained(at, back=True)

    def _drained(self, at: At, back: bool) -> Callable[[], None]:
        hosts = self._some(int(at.what) / len(self.hosts))
        for host in hosts:
            self.draining.add(host.name)
            host.machine.drain()

        def gone(host: EmulatedHost) -> None:
            host.stop("drained")
            if back:
                self.draining.discard(host.name)
                host.machine.faults.draining = False
                self.loop.call_in(RESTART_MS, lambda: host.start(cold=True))

        def leave() -> None:
            for host in hosts:
                host.machine.leave()
                self.loop.call_in(500.0, lambda host=host: gone(host))  # type: ignore[misc]

        return leave

    def _fault_flush(self, at: At) -> Callable[[], None]:
        for host in self._some(at.share()):
            host.machine.kept.clear()
        return lambda: None

    def _fault_neighbour(self, at: At) -> Callable[[], None]:
        return self._marked(self._some(at.share()), "crowded")

    def _fault_late_reports(self, at: At) -> Callable[[], None]:
        return self._marked(self._some(at.share()), "mute")

    def _fault_grow(self, at: At) -> Callable[[], None]:
        running = [held for host in self.hosts for held in host.machine.held.values()]
        some = self.random.sample(running, round(at.share() * len(running)))
        usual = [held.uses for held in some]
        for held in some:
            held.uses = (GROWN * held.uses[0], GROWN * held.uses[1])

        def back() -> None:
            for held, uses in zip(some, usual, strict=True):
                held.uses = uses

        for host in self.hosts:
            host.machine.evict()
        return back

    def _fault_burst(self, at: At) -> Callable[[], None]:
        self.more = 1.0 + at.share()

        def back() -> None:
            self.more = 1.0

        return back

    def _named(self, at: At) -> list[AllocatorProcess]:
        """The allocators that a fault names."""
        if at.what.endswith("%"):
            return self.random.sample(self.processes, max(1, round(at.share() * len(self.processes))))
        return [p for p in self.processes if at.what in ("all", p.name)]

    def _fault_stall(self, at: At) -> Callable[[], None]:
        some = self._named(at)
        for process in some:
            process.signal(signal.SIGSTOP, "stalled")

        def go_on() -> None:
            for process in some:
                process.signal(signal.SIGCONT, "resumed")

        return go_on

    def _fault_kill(self, at: At) -> Callable[[], None]:
        some = self._named(at)
        for process in some:
            process.kill()

        def back() -> None:
            for process in some:
                self.loop.spawn(process.start(), process.name)

        return back

    def _fault_wire(self, at: At) -> Callable[[], None]:
        return self.wires.fault(at)

    def _fault_reset(self, at: At) -> Callable[[], None]:
        self.wires.reset(at)
        return lambda: None

    def _fault_half_open(self, at: At) -> Callable[[], None]:
        self.wires.half_open(at)
        return lambda: None

    def _fault_directory(self, at: At) -> Callable[[], None]:
        self.directory.fail()
        return self.directory.mend

    def _fault_list(self, at: At) -> Callable[[], None]:
        self.directory.shrink()
        return self.directory.regrow

    def _fault_cut(self, at: At) -> Callable[[], None]:
        for owner in self.random.sample(self.owners, max(1, round(at.share() * len(self.owners)))):
            owner.cut()
        return lambda: None

    def _fault_slow(self, at: At) -> Callable[[], None]:
        owners = self.random.sample(self.owners, max(1, round(at.share() * len(self.owners))))
        for owner in owners:
            owner.slow = True

        def back() -> None:
            for owner in owners:
                owner.slow = False

        return back

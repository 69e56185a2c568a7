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
from glencleat.emulators.script import Script, ScriptFault
from glencleat.event_loop import Loop
from glencleat.event_loop.loop import READ, Coroutine, LoopTask

START_TIMEOUT_MS = 20_000.0  # for a process to say where it listens
STOP_TIMEOUT_MS = 15_000.0  # for one to end after SIGTERM
RESTART_DELAY_MS = 300.0  # of a host in a deploy
LAG_STEP_MS, MIN_LAG_MS = 20.0, 50.0
LISTENER_KINDS = ("owners", "agents", "metrics", "rest")  # what an allocator listens for
GROWTH_FACTOR = 3.0  # times the usual use of a task that swells


class PlayError(Exception):
    """The play could not be set up; says what failed."""


class AllocatorProcess:
    """One allocator: `glencleat serve` on a file written for it, at the same addresses over restarts."""

    def __init__(
        self, loop: Loop, recorder: TraceRecorder, name: str, folder: Path, lines: list[str]
    ) -> None:
        self.loop, self.recorder, self.name, self.folder, self.config_lines = (
            loop,
            recorder,
            name,
            folder,
            lines,
        )
        self.owners: Address = ("127.0.0.1", 0)
        self.agents: Address = ("127.0.0.1", 0)
        self.metrics: Address = ("127.0.0.1", 0)
        self.rest: Address = ("127.0.0.1", 0)
        self.process: subprocess.Popen[bytes] | None = None
        self.reserved_sockets: list[socket.socket] = []
        self.start_task: LoopTask | None = None  # who waits for its addresses

    def start(self) -> Coroutine:
        """Starts it and waits for its addresses."""
        self.start_task = self.loop.current_task
        conf = self.folder / f"{self.name}.conf"
        listens = [
            f"listen {k} {a[0]}:{a[1]}" for k, a in ((kind, getattr(self, kind)) for kind in LISTENER_KINDS)
        ]
        conf.write_text("\n".join([*self.config_lines, *listens]) + "\n")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "glencleat", "serve", str(conf), "--ready", "-"],
                stdout=subprocess.PIPE,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        line = yield from self._line()
        if not line:
            raise PlayError(f"allocator {self.name} did not start; see {self.folder / self.name}.log")
        bound = json.loads(line)
        for kind in LISTENER_KINDS:
            host, _, port = bound[kind].rpartition(":")
            setattr(self, kind, (host, int(port)))
        self.release_ports()
        self.start_task = None
        self.recorder.add("allocator", allocator=self.name, state="up")

    def _line(self) -> Coroutine:
        pipe = self.process.stdout if self.process is not None else None
        if pipe is None:
            return b""
        fd, data = pipe.fileno(), b""
        while not data.endswith(b"\n"):

            def arm(task: LoopTask) -> Callable[[], None]:
                timer = self.loop.call_in(START_TIMEOUT_MS, lambda: told(0))

                def disarm() -> None:
                    timer.cancel()
                    self.loop.poller.forget(fd)

                def told(events: int) -> None:
                    disarm()
                    self.loop.wake(task, events)

                self.loop.poller.watch(fd, READ, told)
                return disarm

            mask = yield arm
            more = os.read(fd, 4096) if mask else b""
            if not more:
                return b""
            data += more
        return data

    def send_signal(self, number: int, state: str) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.recorder.add("allocator", allocator=self.name, state=state)

    def kill(self) -> None:
        if self.start_task is not None:
            # It will never say where it listens; who waits for that ended the play 20 s later.
            self.loop.cancel(self.start_task)
            self.start_task = None
        self.send_signal(signal.SIGKILL, "killed")
        if self.process is not None:
            self.process.wait()
            if self.process.stdout is not None:
                self.process.stdout.close()
            self._keep()

    def _keep(self) -> None:
        """Holds its ports until it is back: any connection that leaves meanwhile might be given one of them.

        Bound and not listening, which lets the next process bind and listen beside it."""
        for kind in LISTENER_KINDS:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(getattr(self, kind))
            except OSError:
                sock.close()
            else:
                self.reserved_sockets.append(sock)

    def release_ports(self) -> None:
        for sock in self.reserved_sockets:
            sock.close()
        self.reserved_sockets.clear()

    def stop(self) -> Coroutine:
        """SIGTERM, then a bounded wait; gives its exit code, or None if it had to be killed."""
        if self.process is None:
            return None
        self.send_signal(signal.SIGTERM, "stopped")
        until = self.loop.now() + STOP_TIMEOUT_MS
        while self.process.poll() is None and self.loop.now() < until:
            yield from self.loop.sleep(20.0)
        code = self.process.poll()
        if code is None:
            self.kill()
        elif self.process.stdout is not None:
            self.process.stdout.close()
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
        self.script, self.shared_config, self.folder = script, campus, folder
        self.loop = loop or Loop()
        self.random = Random(script.play.seed)
        self.recorder = TraceRecorder(self.loop.now, (folder / "record.jsonl").open("w"))
        self.hosts = standalone.make_hosts(self.loop, self.recorder, script, campus, self.random)
        self.draining_hosts: set[str] = set()
        self.proxy_network = ProxyNetwork(self.loop, self.recorder, script)
        told = script.directory
        self.directory = Directory(
            self.loop, self.recorder, self._entries, told.late, told.every, told.retry_after
        )
        self.processes = [self._process(i, campus_file) for i in range(script.allocators.count)]
        self.owners: list[EmulatedOwner] = []
        self.exit_codes: dict[str, int | None] = {}
        self.job_count = 0
        self.rate_factor = 1.0  # times the usual rate of new tasks
        self.on_ready: Callable[[], None] = lambda: None  # all are up, nothing was asked yet
        self.on_settled: Callable[[], None] = lambda: None  # the day is over, the allocators still run

    # ---- making ----

    def _process(self, number: int, campus_file: Path) -> AllocatorProcess:
        halls = self.script.hosts.halls
        name = f"a{number}"
        host, port = self.proxy_network.connect_address("list", name, self.directory.listen(name))
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
        return [
            standalone.make_directory_entry(host, host.name in self.draining_hosts)
            for host in self.hosts
            if host.is_up
        ]

    # ---- the day ----

    def run(self) -> None:
        """Plays it to its end; raises PlayError."""
        day = self.loop.spawn(self._day(), "day")
        try:
            self.loop.run_until(day)
        finally:
            for process in self.processes:
                process.kill()
                process.release_ports()
            self.proxy_network.record_open_bytes()
            self.recorder.close()
            self._close()

    def _close(self) -> None:
        """Streams that are open would close themselves as they are thrown away, on a poller that is gone."""
        self.proxy_network.close()
        for owner in self.owners:
            owner.close()
        for host in self.hosts:
            host.stop("the play is over")
        self.directory.close()

    def _day(self) -> Coroutine:
        self.loop.spawn(self._watch_lag(), "lag", self.loop.current_task)
        starts = [self.loop.spawn(p.start(), p.name) for p in self.processes]
        for start in starts:
            yield from self.loop.join(start)
        agents = {
            p.name: self.proxy_network.connect_address("agents", p.name, p.agents) for p in self.processes
        }
        for host in self.hosts:
            host.allocator_addresses = agents
            host.start(cold=False)
        self.directory.start()
        places = [
            (p.name, self.proxy_network.connect_address("owners", p.name, p.owners)) for p in self.processes
        ]
        rest = {p.name: p.rest for p in self.processes}
        self.owners = standalone.make_owners(
            self.loop, self.recorder, self.script, places, self.random, rest=rest
        )
        yield from self.loop.sleep(self.script.play.warm)
        self.on_ready()
        for at in self.script.at:
            self.loop.call_in(at.time, lambda at=at: self._fault(at))  # type: ignore[misc]
        asking = self.loop.spawn(self._ask(), "asking")
        yield from self.loop.join(asking)
        yield from self.loop.sleep(self.script.play.settle)
        self.on_settled()
        for process in self.processes:
            self.exit_codes[process.name] = yield from process.stop()

    def _watch_lag(self) -> Coroutine:
        """Records when this process, with all stand-ins in it, stood still: it has read late then."""
        while True:
            due = self.loop.now() + LAG_STEP_MS
            yield from self.loop.sleep(LAG_STEP_MS)
            late = self.loop.now() - due
            if late > MIN_LAG_MS:
                self.recorder.add("lag", left=round(late, 1))

    def _ask(self) -> Coroutine:
        """New tasks at random instants, of random owners: a Poisson stream."""
        until = self.loop.now() + self.script.play.length
        due = self.loop.now()
        while due < until:
            due += self.random.expovariate(self.script.owners.rate * self.rate_factor) * 1_000.0
            yield from self.loop.sleep(max(0.0, due - self.loop.now()))
            self.random.choice(self.owners).request_task(self._job())

    def _job(self) -> OwnerJob:
        self.job_count += 1
        return standalone.make_job(self.script, self.shared_config, self.random, self.job_count)

    # ---- faults ----

    def _fault(self, at: ScriptFault) -> None:
        self.recorder.add("fault", state="begins", text=str(at))
        undo = getattr(self, "_fault_" + at.fault.replace("-", "_"))(at)

        def end() -> None:
            self.recorder.add("fault", state="ends", text=str(at))
            undo()

        self.loop.call_in(at.duration, end)

    def _some(self, share: float) -> list[EmulatedHost]:
        up = [h for h in self.hosts if h.is_up and h.name not in self.draining_hosts]
        return self.random.sample(up, min(len(up), max(1, round(share * len(self.hosts)))))

    def _down(self, hosts: list[EmulatedHost], why: str) -> Callable[[], None]:
        for host in hosts:
            host.stop(why)

        def back() -> None:
            for host in hosts:
                if not host.is_up and not host.overload_crashes:
                    host.start(cold=True)

        return back

    def _fault_hall(self, at: ScriptFault) -> Callable[[], None]:
        return self._down([h for h in self.hosts if h.zone == at.what and h.is_up], "hall lost")

    def _fault_crash(self, at: ScriptFault) -> Callable[[], None]:
        return self._down(self._some(at.parse_share()), "crash")

    def _marked(self, hosts: list[EmulatedHost], name: str) -> Callable[[], None]:
        def mark(on: bool) -> None:
            for host in hosts:
                setattr(host.machine.faults, name, on)

        mark(True)
        return lambda: mark(False)

    def _fault_false_full(self, at: ScriptFault) -> Callable[[], None]:
        return self._marked(self._some(at.parse_share()), "is_falsely_full")

    def _fault_silent(self, at: ScriptFault) -> Callable[[], None]:
        return self._marked(self._some(at.parse_share()), "is_silent")

    def _fault_quiet(self, at: ScriptFault) -> Callable[[], None]:
        sessions = []
        for host in self._some(at.parse_share()):
            self.recorder.add("quiet", who=host.name)
            sessions += list(host.sessions_by_allocator.values())
        for session in sessions:
            session.pause()

        def back() -> None:
            for session in sessions:
                session.resume()

        return back

    def _fault_drain(self, at: ScriptFault) -> Callable[[], None]:
        return self._drained(at, back=False)

    def _fault_deploy(self, at: ScriptFault) -> Callable[[], None]:
        return self._drained(at, back=True)

    def _drained(self, at: ScriptFault, back: bool) -> Callable[[], None]:
        hosts = self._some(int(at.what) / len(self.hosts))
        for host in hosts:
            self.draining_hosts.add(host.name)
            host.machine.drain()

        def gone(host: EmulatedHost) -> None:
            host.stop("drained")
            if back:
                self.draining_hosts.discard(host.name)
                host.machine.faults.is_draining = False
                self.loop.call_in(RESTART_DELAY_MS, lambda: host.start(cold=True))

        def leave() -> None:
            for host in hosts:
                host.machine.finish_drain()
                self.loop.call_in(500.0, lambda host=host: gone(host))  # type: ignore[misc]

        return leave

    def _fault_flush(self, at: ScriptFault) -> Callable[[], None]:
        for host in self._some(at.parse_share()):
            host.machine.kept_programs.clear()
        return lambda: None

    def _fault_neighbour(self, at: ScriptFault) -> Callable[[], None]:
        return self._marked(self._some(at.parse_share()), "is_crowded")

    def _fault_late_reports(self, at: ScriptFault) -> Callable[[], None]:
        return self._marked(self._some(at.parse_share()), "drops_reports")

    def _fault_grow(self, at: ScriptFault) -> Callable[[], None]:
        running = [held for host in self.hosts for held in host.machine.tasks_by_id.values()]
        some = self.random.sample(running, round(at.parse_share() * len(running)))
        usual = [held.usage for held in some]
        for held in some:
            held.usage = (GROWTH_FACTOR * held.usage[0], GROWTH_FACTOR * held.usage[1])

        def back() -> None:
            for held, uses in zip(some, usual, strict=True):
                held.usage = uses

        for host in self.hosts:
            host.machine.evict_for_memory()
        return back

    def _fault_burst(self, at: ScriptFault) -> Callable[[], None]:
        self.rate_factor = 1.0 + at.parse_share()

        def back() -> None:
            self.rate_factor = 1.0

        return back

    def _named(self, at: ScriptFault) -> list[AllocatorProcess]:
        """The allocators that a fault names."""
        if at.what.endswith("%"):
            return self.random.sample(self.processes, max(1, round(at.parse_share() * len(self.processes))))
        return [p for p in self.processes if at.what in ("all", p.name)]

    def _fault_stall(self, at: ScriptFault) -> Callable[[], None]:
        some = self._named(at)
        for process in some:
            process.send_signal(signal.SIGSTOP, "stalled")

        def go_on() -> None:
            for process in some:
                process.send_signal(signal.SIGCONT, "resumed")

        return go_on

    def _fault_kill(self, at: ScriptFault) -> Callable[[], None]:
        some = self._named(at)
        for process in some:
            process.kill()

        def back() -> None:
            for process in some:
                self.loop.spawn(process.start(), process.name)

        return back

    def _fault_wire(self, at: ScriptFault) -> Callable[[], None]:
        return self.proxy_network.begin_fault(at)

    def _fault_reset(self, at: ScriptFault) -> Callable[[], None]:
        self.proxy_network.reset_connections(at)
        return lambda: None

    def _fault_half_open(self, at: ScriptFault) -> Callable[[], None]:
        self.proxy_network.make_half_open(at)
        return lambda: None

    def _fault_directory(self, at: ScriptFault) -> Callable[[], None]:
        self.directory.fail()
        return self.directory.recover

    def _fault_list(self, at: ScriptFault) -> Callable[[], None]:
        self.directory.empty_list()
        return self.directory.restore_list

    def _fault_cut(self, at: ScriptFault) -> Callable[[], None]:
        for owner in self.random.sample(self.owners, max(1, round(at.parse_share() * len(self.owners)))):
            owner.disconnect()
        return lambda: None

    def _fault_slow(self, at: ScriptFault) -> Callable[[], None]:
        owners = self.random.sample(self.owners, max(1, round(at.parse_share() * len(self.owners))))
        for owner in owners:
            owner.is_slow = True

        def back() -> None:
            for owner in owners:
                owner.is_slow = False

        return back

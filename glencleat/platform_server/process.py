"""One allocator on the platform: configuration, joined parts, signals, the end.

Started by `python -m glencleat node`, reading ROUTER_CONFIG. Exit codes: 0 after SIGTERM, 2 for a
configuration that can't be used, 3 when the system refuses (an address in use)."""

from __future__ import annotations

import gc
import os
import sys
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec

from glencleat import interface as api
from glencleat.descriptor_budget import DescriptorBudget
from glencleat.event_loop import Loop, Signals, Timer
from glencleat.flow_control.backoff import CHANNEL, Backoff
from glencleat.platform_protocol.command_channel import CommandChannel, ListChange, address
from glencleat.platform_protocol.delivery import DeliveryOutcome
from glencleat.platform_protocol.exchange import Exchange, SetupAttempt
from glencleat.platform_protocol.messages import PeerError
from glencleat.platform_server.client_connections import ClientConnections
from glencleat.platform_server.connection_pool import ConnectionPool
from glencleat.platform_server.graceful_shutdown import (
    WINDOW_MS,
    GracefulShutdown,
    ShutdownObservation,
    ShutdownState,
)
from glencleat.platform_server.rate_limited_log import RateLimitedLog
from glencleat.platform_server.watch_client import WatchClient
from glencleat.platform_settings import read_settings
from glencleat.policy.scheduler import Scheduler

LOOK_MS = 10.0  # between two looks whether all is answered
# After the start: nine in ten have to be ready within 10 s, whether discovery is up or not. Sooner would cost
# what is asked of an allocator that has no host and is told one a moment later.
READY_MS = 7_000.0
REREAD_MS, REREADS = 100.0, 20  # the file may be read while it is replaced
STATUS_MS = 10_000.0


class ProcessConfigError(Exception):
    """The configuration can't be used; the text says what and why."""


@dataclass(frozen=True, slots=True)
class ProcessConfig:
    name: str
    listen: tuple[str, int]
    seed: int
    descriptors: int
    channel: tuple[str, int]
    known: dict[str, Any]
    settings: api.Settings
    connect_ms: float
    idle_ms: float


def load(path: str) -> ProcessConfig:
    """Reads and checks the file that ROUTER_CONFIG names; raises BadConfig."""
    try:
        with open(path, "rb") as file:
            raw = msgspec.json.decode(file.read())
        limits = raw["settings"]["limits"]
        return ProcessConfig(
            name=str(raw["name"]),
            listen=address(raw["listen"], least=0),
            seed=int(str(raw["seed"]), 16),
            descriptors=int(raw["limits"]["sockets"]),
            channel=address(raw["channel"]),
            known=dict(raw["known"]),
            settings=read_settings(raw["settings"]),
            connect_ms=float(limits["connect-timeout-ms"]),
            idle_ms=float(limits["conn-idle-ms"]),
        )
    except OSError as error:
        raise ProcessConfigError(f"{path}: {error.strerror}") from None
    except PeerError as error:
        raise ProcessConfigError(f"{path}: {error}") from None
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
        raise ProcessConfigError(f"{path}: {type(error).__name__}: {error}") from None


class PlatformProcess:
    """The parts joined; the exchange's Ports."""

    def __init__(self, config: ProcessConfig, loop: Loop, log: Callable[[str], None], path: str) -> None:
        self.loop, self.log, self.path = loop, log, path
        self.channel = CommandChannel(loop.clock.wall() - loop.now())
        self.descriptors = DescriptorBudget(config.descriptors)
        self.owners = ClientConnections(loop, self.descriptors, log)
        random = Random(config.seed)
        limits = config.connect_ms, config.idle_ms
        self.hosts = ConnectionPool(loop, self.channel, self.descriptors, *limits, random, log)
        self.started = loop.now()
        self.owners.ready = self._ready
        self.hosts.peers, self.hosts.cold_ms = config.settings.allocator_count, config.settings.warm_up_ms
        module = Scheduler(config.settings, config.seed)
        self.exchange = Exchange(config.settings, module, self, config.connect_ms)
        self.exchange.machines = self.channel.machines
        self.owners.exchange = self.hosts.exchange = self.exchange
        for news in self.channel.begin(config.known, loop.now()):
            self.list_told(news)
        asking = Backoff(CHANNEL, random)
        self.feed = WatchClient(loop, self.channel, asking, config.channel, self.list_told, log)
        self.rereads = 0
        self.faults = 0
        if os.environ.get("GLENCLEAT_TRACE") == "1":
            self._trace()
        self.lag = 0.0
        self.draining = GracefulShutdown()

    def _ready(self) -> bool:
        """There is somewhere to place, or there was no list for too long: what is asked is then refused at
        once, which costs its owners a moment, while one that is never ready counts as failed to start."""
        return bool(self.channel.hosts) or self.loop.now() - self.started > READY_MS

    def _trace(self) -> None:
        from glencleat.platform_server.trace import Trace

        line, contract = RateLimitedLog("trace", most=1 << 30, width=500), self.exchange.contract
        contract.policy = trace = Trace(contract.policy, self.exchange.calls, line)
        self.owners.trace = self.hosts.trace = trace

    # ---- Ports ----

    def to_owner(self, owner: Any, data: bytes, owed: bool) -> None:
        self.owners.to_owner(owner, data, owed)

    def waits(self, owner: Any, task: int, exact: bool) -> bool:
        return self.owners.waits(owner, task, exact)

    def proves(self, owner: Any) -> None:
        self.owners.proves(owner)

    def offer(self, attempt: SetupAttempt) -> None:
        self.hosts.offer(attempt)

    def cancel(self, attempt: SetupAttempt) -> DeliveryOutcome:
        return self.hosts.cancel(attempt)

    def unread(self, attempt: SetupAttempt) -> bool:
        return self.hosts.unread(attempt)

    def cut(self, host: str, task: int) -> None:
        self.hosts.cut(host, task)

    def test(self, host: str, token: int) -> bool:
        return self.hosts.test(host, token)

    def call_in(self, in_ms: float, call: Callable[[], None]) -> Timer:
        return self.loop.call_in(in_ms, call)

    def now(self) -> float:
        return self.loop.now()

    # ---- the list ----

    def list_told(self, news: ListChange) -> None:
        # The module first: what stood at a host that was replaced is then bound anew by the newer list.
        self.exchange.list_told(news)
        self.hosts.list_told(news)

    # ---- signals ----

    def reload(self) -> None:
        """SIGHUP: the channel's address; anything else of the file belongs to the start."""
        self.rereads = 0
        self._reread()

    def _reread(self) -> None:
        try:
            place = load(self.path).channel
        except ProcessConfigError as error:
            self.rereads += 1
            if self.rereads < REREADS:
                self.loop.call_in(REREAD_MS, self._reread)
            else:
                self.log(f"the new configuration can't be used, the old one goes on: {error}")
            return
        self.log(f"configuration read again, command channel at {place[0]}:{place[1]}")
        self.feed.move(place)

    def stop(self) -> None:
        """SIGTERM: `draining.py` says when all is over."""
        if self.draining.begin(self.loop.now()):
            self.owners.draining = True
            self.log(f"stopping, {self.exchange.open} calls open")
            self.loop.call_in(WINDOW_MS, self._look)

    def _look(self) -> None:
        """Looks at all there is by asking the system: after a standstill no event tells of it yet."""
        came, half = self.owners.take_all_in()
        seen = ShutdownObservation(
            unanswered=bool(self.exchange.open),
            unhandled=came or half or self.owners.unsent,
            undelivered=bool(self.owners.owed) or self.hosts.cutting,
        )
        state = self.draining.look(self.loop.now(), seen)
        if state is not ShutdownState.DRAINING:
            self.owners.close()
        if state is ShutdownState.CLOSED:
            self.loop.stop()
        else:
            self.loop.call_in(LOOK_MS, self._look)

    # ---- running ----

    def status(self) -> None:
        self.loop.call_in(STATUS_MS, self.status)
        x = self.exchange
        nothing = ", ".join(f"{outcome.value} {count}" for outcome, count in x.nothing.items()) or "none"
        stood, d = sum(map(len, x.standing.values())), self.descriptors
        self.log(
            f"taken {x.taken} open {x.open} standing {stood} bad {x.bad} late {x.late} came to"
            f" nothing: {nothing}; owners"
            f" {len(self.owners.owners)} links {self.hosts.links} hosts {len(self.hosts.hosts)} descriptors"
            f" {d.held} most {d.most} of {d.room} refused {d.turned_away} waited {self.hosts.waited} paced"
            f" {self.hosts.connecting.turned_away} cursor"
            f" {self.channel.cursor} channel breaks {self.feed.breaks} longest round {self.lag:.0f} ms"
            f" module {x.contract.policy_cpu_s:.2f} s cpu {time.process_time():.2f} s faults {self.faults}"
            f" rss {resident()}"
        )
        self.lag = 0.0

    def run(self) -> None:
        """Until stopped. A fault of ours in one event is told and counted; the others go on."""
        self.loop.on_error = lambda task, error: self._fault(error)
        self.loop.running = True
        while self.loop.running:
            began, idle = self.loop.now(), self.loop.poller.idle_ms
            try:
                self.loop.round()
            except Exception as error:
                self._fault(error)
            self.lag = max(self.lag, self.loop.now() - began - (self.loop.poller.idle_ms - idle))

    def _fault(self, error: BaseException) -> None:
        self.faults += 1
        frames = reversed(traceback.extract_tb(error.__traceback__)[-5:])
        where = " < ".join(f"{frame.name}:{frame.lineno}" for frame in frames)
        self.log(f"FAULT {type(error).__name__}: {error} at {where}")


def resident() -> str:
    """Resident size in kB, as the system tells it."""
    with open("/proc/self/statm", "rb") as file:
        return f"{int(file.read().split()[1]) * os.sysconf('SC_PAGE_SIZE') // 1024} kB"


def main() -> int:
    signals = Signals()
    log = RateLimitedLog(os.environ.get("ROUTER_NAME", "node"))
    path = os.environ.get("ROUTER_CONFIG")
    if path is None:
        print("glencleat node: ROUTER_CONFIG is not set; expected the path of a file", file=sys.stderr)
        return 2
    try:
        config = load(path)
        process = PlatformProcess(config, Loop(), log, path)
    except (ProcessConfigError, PeerError, ValueError) as error:
        print(f"glencleat node: {error}", file=sys.stderr)
        return 2
    except (LookupError, TypeError, AttributeError, ArithmeticError) as error:
        # Settings of a form that nothing here was made for: as good as none, and no fault to be traced.
        print(f"glencleat node: {path}: {type(error).__name__}: {error}", file=sys.stderr)
        return 2
    signals.follow(process.loop, process.stop, process.reload)
    try:
        bound = process.owners.listen(config.listen)
    except OSError as error:
        place = f"{config.listen[0]}:{config.listen[1]}"
        print(f"glencleat node: can't listen on {place}: {error.strerror}", file=sys.stderr)
        return 3
    gc.collect()
    gc.freeze()
    log(f"listening on {bound[0]}:{bound[1]}, {len(process.channel.hosts)} hosts known, {resident()}")
    process.status()
    process.run()
    log(f"stopped, {process.exchange.open} open")
    return 0

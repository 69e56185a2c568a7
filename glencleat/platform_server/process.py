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
from glencleat.flow_control.backoff import COMMAND_CHANNEL_BACKOFF, Backoff
from glencleat.platform_protocol.command_channel import CommandChannel, ListChange, address
from glencleat.platform_protocol.delivery import DeliveryOutcome
from glencleat.platform_protocol.exchange import Exchange, SetupAttempt
from glencleat.platform_protocol.messages import PeerError
from glencleat.platform_server.client_connections import ClientConnections
from glencleat.platform_server.connection_pool import ConnectionPool
from glencleat.platform_server.graceful_shutdown import (
    ADMISSION_WINDOW_MS,
    GracefulShutdown,
    ShutdownObservation,
    ShutdownState,
)
from glencleat.platform_server.rate_limited_log import RateLimitedLog
from glencleat.platform_server.watch_client import WatchClient
from glencleat.platform_settings import read_settings
from glencleat.policy.scheduler import Scheduler

SHUTDOWN_POLL_MS = 10.0  # between two looks whether all is answered
# After the start: nine in ten have to be ready within 10 s, whether discovery is up or not. Sooner would cost
# what is asked of an allocator that has no host and is told one a moment later.
READY_WITHOUT_HOSTS_MS = 7_000.0
RELOAD_RETRY_MS, MAX_RELOAD_ATTEMPTS = 100.0, 20  # the file may be read while it is replaced
STATUS_INTERVAL_MS = 10_000.0


class ProcessConfigError(Exception):
    """The configuration can't be used; the text says what and why."""


@dataclass(frozen=True, slots=True)
class ProcessConfig:
    name: str
    listen_address: tuple[str, int]
    seed: int
    descriptor_limit: int
    channel_address: tuple[str, int]
    known_commands: dict[str, Any]
    settings: api.Settings
    connect_timeout_ms: float
    idle_timeout_ms: float


def load_config(path: str) -> ProcessConfig:
    """Reads and checks the file that ROUTER_CONFIG names; raises BadConfig."""
    try:
        with open(path, "rb") as file:
            raw = msgspec.json.decode(file.read())
        limits = raw["settings"]["limits"]
        return ProcessConfig(
            name=str(raw["name"]),
            listen_address=address(raw["listen"], least=0),
            seed=int(str(raw["seed"]), 16),
            descriptor_limit=int(raw["limits"]["sockets"]),
            channel_address=address(raw["channel"]),
            known_commands=dict(raw["known"]),
            settings=read_settings(raw["settings"]),
            connect_timeout_ms=float(limits["connect-timeout-ms"]),
            idle_timeout_ms=float(limits["conn-idle-ms"]),
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
        self.loop, self.log, self.config_path = loop, log, path
        self.channel = CommandChannel(loop.clock.wall() - loop.now())
        self.descriptors = DescriptorBudget(config.descriptor_limit)
        self.clients = ClientConnections(loop, self.descriptors, log)
        random = Random(config.seed)
        limits = config.connect_timeout_ms, config.idle_timeout_ms
        self.hosts = ConnectionPool(loop, self.channel, self.descriptors, *limits, random, log)
        self.started_at_ms = loop.now()
        self.clients.is_ready = self.is_ready
        self.hosts.peers, self.hosts.cold_ms = config.settings.allocator_count, config.settings.warm_up_ms
        module = Scheduler(config.settings, config.seed)
        self.exchange = Exchange(config.settings, module, self, config.connect_timeout_ms)
        self.exchange.machines = self.channel.machines
        self.clients.exchange = self.hosts.exchange = self.exchange
        for news in self.channel.begin(config.known_commands, loop.now()):
            self.list_told(news)
        asking = Backoff(COMMAND_CHANNEL_BACKOFF, random)
        self.watch_client = WatchClient(
            loop, self.channel, asking, config.channel_address, self.list_told, log
        )
        self.reload_attempts = 0
        self.fault_count = 0
        if os.environ.get("GLENCLEAT_TRACE") == "1":
            self._install_trace()
        self.longest_round_ms = 0.0
        self.shutdown = GracefulShutdown()

    def is_ready(self) -> bool:
        """There is somewhere to place, or there was no list for too long: what is asked is then refused at
        once, which costs its owners a moment, while one that is never ready counts as failed to start."""
        return bool(self.channel.hosts) or self.loop.now() - self.started_at_ms > READY_WITHOUT_HOSTS_MS

    def _install_trace(self) -> None:
        from glencleat.platform_server.trace import Trace

        line, contract = (
            RateLimitedLog("trace", max_lines_per_s=1 << 30, max_characters=500),
            self.exchange.contract,
        )
        contract.module = trace = Trace(contract.module, self.exchange.calls, line)
        self.clients.trace = self.hosts.trace = trace

    # ---- Ports ----

    def to_owner(self, owner: Any, data: bytes, owed: bool) -> None:
        self.clients.to_owner(owner, data, owed)

    def waits(self, owner: Any, task: int, exact: bool) -> bool:
        return self.clients.waits(owner, task, exact)

    def proves(self, owner: Any) -> None:
        self.clients.proves(owner)

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
        self.reload_attempts = 0
        self._reload_config()

    def _reload_config(self) -> None:
        try:
            place = load_config(self.config_path).channel_address
        except ProcessConfigError as error:
            self.reload_attempts += 1
            if self.reload_attempts < MAX_RELOAD_ATTEMPTS:
                self.loop.call_in(RELOAD_RETRY_MS, self._reload_config)
            else:
                self.log(f"the new configuration can't be used, the old one goes on: {error}")
            return
        self.log(f"configuration read again, command channel at {place[0]}:{place[1]}")
        self.watch_client.change_address(place)

    def begin_shutdown(self) -> None:
        """SIGTERM: `draining.py` says when all is over."""
        if self.shutdown.begin(self.loop.now()):
            self.clients.is_draining = True
            self.log(f"stopping, {self.exchange.open} calls open")
            self.loop.call_in(ADMISSION_WINDOW_MS, self._poll_shutdown)

    def _poll_shutdown(self) -> None:
        """Looks at all there is by asking the system: after a standstill no event tells of it yet."""
        pending = self.clients.read_everything_pending()
        seen = ShutdownObservation(
            has_open_calls=bool(self.exchange.open),
            has_unhandled_data=pending.has_arrivals
            or pending.has_partial_message
            or self.clients.has_unsent_data,
            has_undelivered_releases=bool(self.clients.undelivered_releases) or self.hosts.cutting,
        )
        state = self.shutdown.observe(self.loop.now(), seen)
        if state is not ShutdownState.DRAINING:
            self.clients.close()
        if state is ShutdownState.CLOSED:
            self.loop.stop()
        else:
            self.loop.call_in(SHUTDOWN_POLL_MS, self._poll_shutdown)

    # ---- running ----

    def log_status(self) -> None:
        """Logs the counters, now and every STATUS_INTERVAL_MS."""
        self.loop.call_in(STATUS_INTERVAL_MS, self.log_status)
        self.log(self._format_status())
        self.longest_round_ms = 0.0

    def _format_status(self) -> str:
        exchange, descriptors, hosts = self.exchange, self.descriptors, self.hosts
        came_to_nothing = (
            ", ".join(f"{outcome.value} {count}" for outcome, count in exchange.nothing.items()) or "none"
        )
        standing_count = sum(map(len, exchange.standing.values()))
        return (
            f"taken {exchange.taken} open {exchange.open} standing {standing_count} bad {exchange.bad}"
            f" late {exchange.late} came to nothing: {came_to_nothing};"
            f" owners {len(self.clients.connections)} links {hosts.links} hosts {len(hosts.hosts)}"
            f" descriptors {descriptors.held_count} most {descriptors.peak_held} of {descriptors.capacity}"
            f" refused {descriptors.rejected_count} waited {hosts.waited}"
            f" paced {hosts.connecting.rejected_count} cursor {self.channel.cursor}"
            f" channel breaks {self.watch_client.disconnect_count}"
            f" longest round {self.longest_round_ms:.0f} ms module {exchange.contract.module_s:.2f} s"
            f" cpu {time.process_time():.2f} s faults {self.fault_count} rss {resident_size()}"
        )

    def run(self) -> None:
        """Until stopped. A fault of ours in one event is told and counted; the others go on."""
        self.loop.on_error = lambda task, error: self._record_fault(error)
        self.loop.running = True
        while self.loop.running:
            began, idle = self.loop.now(), self.loop.poller.idle_ms
            try:
                self.loop.round()
            except Exception as error:
                self._record_fault(error)
            self.longest_round_ms = max(
                self.longest_round_ms, self.loop.now() - began - (self.loop.poller.idle_ms - idle)
            )

    def _record_fault(self, error: BaseException) -> None:
        self.fault_count += 1
        frames = reversed(traceback.extract_tb(error.__traceback__)[-5:])
        where = " < ".join(f"{frame.name}:{frame.lineno}" for frame in frames)
        self.log(f"FAULT {type(error).__name__}: {error} at {where}")


def resident_size() -> str:
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
        config = load_config(path)
        process = PlatformProcess(config, Loop(), log, path)
    except (ProcessConfigError, PeerError, ValueError) as error:
        print(f"glencleat node: {error}", file=sys.stderr)
        return 2
    except (LookupError, TypeError, AttributeError, ArithmeticError) as error:
        # Settings of a form that nothing here was made for: as good as none, and no fault to be traced.
        print(f"glencleat node: {path}: {type(error).__name__}: {error}", file=sys.stderr)
        return 2
    signals.follow(process.loop, process.begin_shutdown, process.reload)
    try:
        bound = process.clients.listen(config.listen_address)
    except OSError as error:
        place = f"{config.listen_address[0]}:{config.listen_address[1]}"
        print(f"glencleat node: can't listen on {place}: {error.strerror}", file=sys.stderr)
        return 3
    gc.collect()
    gc.freeze()
    log(f"listening on {bound[0]}:{bound[1]}, {len(process.channel.hosts)} hosts known, {resident_size()}")
    process.log_status()
    process.run()
    log(f"stopped, {process.exchange.open} open")
    return 0

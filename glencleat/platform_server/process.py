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
from glencleat.platform_protocol.command_channel import CommandChannel, ListChange, parse_address
from glencleat.platform_protocol.delivery import DeliveryOutcome
from glencleat.platform_protocol.exchange import Exchange, SetupAttempt
from glencleat.platform_protocol.messages import ProtocolError
from glencleat.platform_server.client_connections import ClientConnections
from glencleat.platform_server.connection_pool import ConnectionPool
from glencleat.platform_server.graceful_shutdown import (
    DRAIN_WINDOW_MS,
    GracefulShutdown,
    ShutdownObservation,
    ShutdownState,
)
from glencleat.platform_server.rate_limited_log import RateLimitedLog
from glencleat.platform_server.watch_client import WatchClient
from glencleat.platform_settings import read_settings
from glencleat.policy.scheduler import Scheduler

SHUTDOWN_CHECK_MS = 10.0  # between two looks whether all is answered
# After the start: nine in ten have to be ready within 10 s, whether discovery is up or not. Sooner would cost
# what is asked of an allocator that has no host and is told one a moment later.
READY_TIMEOUT_MS = 7_000.0
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
    initial_list: dict[str, Any]
    settings: api.Settings
    connect_ms: float
    idle_ms: float


def load_process_config(path: str) -> ProcessConfig:
    """Reads and checks the file that ROUTER_CONFIG names; raises BadConfig."""
    try:
        with open(path, "rb") as file:
            raw = msgspec.json.decode(file.read())
        limits = raw["settings"]["limits"]
        return ProcessConfig(
            name=str(raw["name"]),
            listen_address=parse_address(raw["listen"], min_port=0),
            seed=int(str(raw["seed"]), 16),
            descriptor_limit=int(raw["limits"]["sockets"]),
            channel_address=parse_address(raw["channel"]),
            initial_list=dict(raw["known"]),
            settings=read_settings(raw["settings"]),
            connect_ms=float(limits["connect-timeout-ms"]),
            idle_ms=float(limits["conn-idle-ms"]),
        )
    except OSError as error:
        raise ProcessConfigError(f"{path}: {error.strerror}") from None
    except ProtocolError as error:
        raise ProcessConfigError(f"{path}: {error}") from None
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
        raise ProcessConfigError(f"{path}: {type(error).__name__}: {error}") from None


class PlatformProcess:
    """The parts joined; the exchange's Ports."""

    def __init__(self, config: ProcessConfig, loop: Loop, log: Callable[[str], None], path: str) -> None:
        self.loop, self.log, self.path = loop, log, path
        self.channel = CommandChannel(loop.clock.wall() - loop.now())
        self.descriptors = DescriptorBudget(config.descriptor_limit)
        self.client_connections = ClientConnections(loop, self.descriptors, log)
        random = Random(config.seed)
        limits = config.connect_ms, config.idle_ms
        self.connection_pool = ConnectionPool(loop, self.channel, self.descriptors, *limits, random, log)
        self.started_at_ms = loop.now()
        self.client_connections.is_ready = self._ready
        self.connection_pool.allocator_count, self.connection_pool.warm_up_ms = (
            config.settings.allocator_count,
            config.settings.warm_up_ms,
        )
        module = Scheduler(config.settings, config.seed)
        self.exchange = Exchange(config.settings, module, self, config.connect_ms)
        self.exchange.list_machines = self.channel.list_machines
        self.client_connections.exchange = self.connection_pool.exchange = self.exchange
        for news in self.channel.load_initial_list(config.initial_list, loop.now()):
            self.apply_list_change(news)
        asking = Backoff(COMMAND_CHANNEL_BACKOFF, random)
        self.watch_client = WatchClient(
            loop, self.channel, asking, config.channel_address, self.apply_list_change, log
        )
        self.reload_attempt_count = 0
        self.fault_count = 0
        if os.environ.get("GLENCLEAT_TRACE") == "1":
            self._trace()
        self.max_round_ms = 0.0
        self.shutdown = GracefulShutdown()

    def _ready(self) -> bool:
        """There is somewhere to place, or there was no list for too long: what is asked is then refused at
        once, which costs its owners a moment, while one that is never ready counts as failed to start."""
        return bool(self.channel.hosts_by_name) or self.loop.now() - self.started_at_ms > READY_TIMEOUT_MS

    def _trace(self) -> None:
        from glencleat.platform_server.trace import Trace

        line, contract = (
            RateLimitedLog("trace", max_lines_per_s=1 << 30, max_line_length=500),
            self.exchange.contract,
        )
        contract.module = trace = Trace(contract.module, self.exchange.calls_by_id, line)
        self.client_connections.trace = self.connection_pool.trace = trace

    # ---- Ports ----

    def send_to_client(self, client: Any, data: bytes, must_deliver: bool) -> None:
        self.client_connections.send_to_client(client, data, must_deliver)

    def is_client_waiting(self, client: Any, task: int, must_poll: bool) -> bool:
        return self.client_connections.is_client_waiting(client, task, must_poll)

    def mark_trusted(self, client: Any) -> None:
        self.client_connections.mark_trusted(client)

    def offer_attempt(self, attempt: SetupAttempt) -> None:
        self.connection_pool.offer_attempt(attempt)

    def cancel_attempt(self, attempt: SetupAttempt) -> DeliveryOutcome:
        return self.connection_pool.cancel_attempt(attempt)

    def has_unread_bytes(self, attempt: SetupAttempt) -> bool:
        return self.connection_pool.has_unread_bytes(attempt)

    def release_task(self, host: str, task: int) -> None:
        self.connection_pool.release_task(host, task)

    def request_load_report(self, host: str, token: int) -> bool:
        return self.connection_pool.request_load_report(host, token)

    def call_in(self, in_ms: float, call: Callable[[], None]) -> Timer:
        return self.loop.call_in(in_ms, call)

    def now(self) -> float:
        return self.loop.now()

    # ---- the list ----

    def apply_list_change(self, news: ListChange) -> None:
        # The module first: what stood at a host that was replaced is then bound anew by the newer list.
        self.exchange.apply_list_change(news)
        self.connection_pool.apply_list_change(news)

    # ---- signals ----

    def reload(self) -> None:
        """SIGHUP: the channel's address; anything else of the file belongs to the start."""
        self.reload_attempt_count = 0
        self._reread()

    def _reread(self) -> None:
        try:
            place = load_process_config(self.path).channel_address
        except ProcessConfigError as error:
            self.reload_attempt_count += 1
            if self.reload_attempt_count < MAX_RELOAD_ATTEMPTS:
                self.loop.call_in(RELOAD_RETRY_MS, self._reread)
            else:
                self.log(f"the new configuration can't be used, the old one goes on: {error}")
            return
        self.log(f"configuration read again, command channel at {place[0]}:{place[1]}")
        self.watch_client.change_address(place)

    def stop(self) -> None:
        """SIGTERM: `draining.py` says when all is over."""
        if self.shutdown.begin(self.loop.now()):
            self.client_connections.is_draining = True
            self.log(f"stopping, {self.exchange.open_call_count} calls open")
            self.loop.call_in(DRAIN_WINDOW_MS, self._look)

    def _look(self) -> None:
        """Looks at all there is by asking the system: after a standstill no event tells of it yet."""
        came, half = self.client_connections.read_all_pending()
        seen = ShutdownObservation(
            has_unanswered_calls=bool(self.exchange.open_call_count),
            has_unhandled_data=came or half or self.client_connections.has_unsent_bytes,
            has_undelivered_releases=bool(self.client_connections.pending_releases)
            or self.connection_pool.has_unsent_releases,
        )
        state = self.shutdown.update_state(self.loop.now(), seen)
        if state is not ShutdownState.DRAINING:
            self.client_connections.stop_listening()
        if state is ShutdownState.CLOSED:
            self.loop.stop()
        else:
            self.loop.call_in(SHUTDOWN_CHECK_MS, self._look)

    # ---- running ----

    def log_status(self) -> None:
        self.loop.call_in(STATUS_INTERVAL_MS, self.log_status)
        x = self.exchange
        nothing = (
            ", ".join(f"{outcome.value} {count}" for outcome, count in x.failed_attempts_by_outcome.items())
            or "none"
        )
        stood, d = sum(map(len, x.placed_calls_by_host.values())), self.descriptors
        self.log(
            f"taken {x.call_count} open {x.open_call_count} standing {stood} bad {x.invalid_setup_count}"
            f" late {x.late_answer_count} came to nothing: {nothing}; owners"
            f" {len(self.client_connections.connections)} links {self.connection_pool.connection_count}"
            f" hosts {len(self.connection_pool.hosts_by_name)} descriptors"
            f" {d.held_count} most {d.peak_count} of {d.capacity} refused {d.denied_count}"
            f" waited {self.connection_pool.pending_queue.total_count} paced"
            f" {self.connection_pool.connection_limiter.denied_count} cursor"
            f" {self.channel.cursor} channel breaks {self.watch_client.disconnect_count}"
            f" longest round {self.max_round_ms:.0f} ms module {x.contract.module_cpu_s:.2f} s"
            f" cpu {time.process_time():.2f} s faults {self.fault_count} rss {read_resident_size()}"
        )
        self.max_round_ms = 0.0

    def run(self) -> None:
        """Until stopped. A fault of ours in one event is told and counted; the others go on."""
        self.loop.on_error = lambda task, error: self._fault(error)
        self.loop.is_running = True
        while self.loop.is_running:
            began, idle = self.loop.now(), self.loop.poller.idle_ms
            try:
                self.loop.run_once()
            except Exception as error:
                self._fault(error)
            self.max_round_ms = max(
                self.max_round_ms, self.loop.now() - began - (self.loop.poller.idle_ms - idle)
            )

    def _fault(self, error: BaseException) -> None:
        self.fault_count += 1
        frames = reversed(traceback.extract_tb(error.__traceback__)[-5:])
        where = " < ".join(f"{frame.name}:{frame.lineno}" for frame in frames)
        self.log(f"FAULT {type(error).__name__}: {error} at {where}")


def read_resident_size() -> str:
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
        config = load_process_config(path)
        process = PlatformProcess(config, Loop(), log, path)
    except (ProcessConfigError, ProtocolError, ValueError) as error:
        print(f"glencleat node: {error}", file=sys.stderr)
        return 2
    except (LookupError, TypeError, AttributeError, ArithmeticError) as error:
        # Settings of a form that nothing here was made for: as good as none, and no fault to be traced.
        print(f"glencleat node: {path}: {type(error).__name__}: {error}", file=sys.stderr)
        return 2
    signals.attach(process.loop, process.stop, process.reload)
    try:
        bound = process.client_connections.listen(config.listen_address)
    except OSError as error:
        place = f"{config.listen_address[0]}:{config.listen_address[1]}"
        print(f"glencleat node: can't listen on {place}: {error.strerror}", file=sys.stderr)
        return 3
    gc.collect()
    gc.freeze()
    log(
        f"listening on {bound[0]}:{bound[1]}, {len(process.channel.hosts_by_name)} hosts known,"
        f" {read_resident_size()}"
    )
    process.log_status()
    process.run()
    log(f"stopped, {process.exchange.open_call_count} open")
    return 0

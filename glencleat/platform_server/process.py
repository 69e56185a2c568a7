"""The process of one platform allocator: configuration, assembly of its parts, signals and shutdown.

`python -m glencleat node` starts it with the file that ROUTER_CONFIG names. Exit codes: 0 after SIGTERM, 2
for an invalid configuration, 3 if the operating system refuses (an address in use).
"""

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
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_protocol.messages import ProtocolError
from glencleat.platform_protocol.setup_calls import SetupAttempt
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

SHUTDOWN_CHECK_MS = 10.0
"""The time between two checks whether everything is answered."""

READY_TIMEOUT_MS = 7_000.0
"""The time after the start from which the process reports ready without a machine list.

Nine in ten processes have to be ready within 10 s, whether discovery is up or not. A shorter time would cost
the calls made to an allocator that knows no host yet and receives its list a moment later.
"""

RELOAD_RETRY_MS, MAX_RELOAD_ATTEMPTS = 100.0, 20
"""The file may be read while it is being replaced."""

STATUS_INTERVAL_MS = 10_000.0


class ProcessConfigError(Exception):
    """The configuration is invalid; the text says what is wrong."""


@dataclass(frozen=True, slots=True)
class ProcessConfig:
    """The checked contents of the configuration file."""

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
    """Reads and checks the file that ROUTER_CONFIG names.

    Raises:
        ProcessConfigError: The file can't be read, or a value is missing or invalid.
    """
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
    """Assembles the parts of the process and implements the exchange's `ExchangePorts`."""

    def __init__(self, config: ProcessConfig, loop: Loop, log: Callable[[str], None], path: str) -> None:
        self.loop, self.log, self.path = loop, log, path
        self.channel = CommandChannel(loop.clock.wall() - loop.now())
        self.descriptors = DescriptorBudget(config.descriptor_limit)
        self.client_connections = ClientConnections(loop, self.descriptors, log)
        random = Random(config.seed)
        limits = config.connect_ms, config.idle_ms
        self.connection_pool = ConnectionPool(loop, self.channel, self.descriptors, *limits, random, log)
        self.started_at_ms = loop.now()
        self.client_connections.is_ready = self._is_ready
        self.connection_pool.allocator_count, self.connection_pool.warm_up_ms = (
            config.settings.allocator_count,
            config.settings.warm_up_ms,
        )
        module = Scheduler(config.settings, config.seed)
        self.exchange = Exchange(config.settings, module, self, config.connect_ms)
        self.exchange.list_machines = self.channel.list_machines
        self.client_connections.exchange = self.connection_pool.exchange = self.exchange
        for change in self.channel.load_initial_list(config.initial_list, loop.now()):
            self.apply_list_change(change)
        backoff = Backoff(COMMAND_CHANNEL_BACKOFF, random)
        self.watch_client = WatchClient(
            loop, self.channel, backoff, config.channel_address, self.apply_list_change, log
        )
        self.reload_attempt_count = 0
        self.fault_count = 0
        if os.environ.get("GLENCLEAT_TRACE") == "1":
            self._enable_trace()
        self.max_round_ms = 0.0
        self.shutdown = GracefulShutdown()

    def _is_ready(self) -> bool:
        """Whether a host is known, or no list has come for too long.

        In the second case calls are refused at once, which costs their clients a moment; a process that is
        never ready counts as failed to start.
        """
        return bool(self.channel.hosts_by_name) or self.loop.now() - self.started_at_ms > READY_TIMEOUT_MS

    def _enable_trace(self) -> None:
        from glencleat.platform_server.trace import Trace

        write_line, contract = (
            RateLimitedLog("trace", max_lines_per_s=1 << 30, max_line_length=500),
            self.exchange.contract,
        )
        contract.module = trace = Trace(contract.module, self.exchange.calls_by_id, write_line)
        self.client_connections.trace = self.connection_pool.trace = trace

    # ---- ports of the exchange; see `ExchangePorts` ----

    def send_to_client(self, client: Any, data: bytes, must_deliver: bool) -> None:
        """Sends a message to a client; see `ClientConnections.send_to_client`."""
        self.client_connections.send_to_client(client, data, must_deliver)

    def is_client_waiting(self, client: Any, task: int) -> bool:
        """Whether the client still waits for the answer."""
        return self.client_connections.is_client_waiting(client, task)

    def is_release_undelivered(self, task: int) -> bool:
        """See `ExchangePorts`."""
        return self.client_connections.releases.is_undelivered(task)

    def mark_trusted(self, client: Any) -> None:
        """See `ExchangePorts`."""
        self.client_connections.mark_trusted(client)

    def offer_attempt(self, attempt: SetupAttempt) -> None:
        """Sends an attempt to its host, at once or as soon as there is a connection."""
        self.connection_pool.offer_attempt(attempt)

    def cancel_attempt(self, attempt: SetupAttempt) -> DeliveryOutcome:
        """Cancels an attempt and returns what is known of its delivery."""
        return self.connection_pool.cancel_attempt(attempt)

    def has_unread_bytes(self, attempt: SetupAttempt) -> bool:
        """Whether unread bytes have arrived on the connection that the attempt went by."""
        return self.connection_pool.has_unread_bytes(attempt)

    def release_task(self, host: str, task: int) -> None:
        """Releases a placed task at its host, at once or as soon as there is a connection."""
        self.connection_pool.release_task(host, task)

    def request_load_report(self, host: str, token: int) -> bool:
        """Requests the load report of a host; False if there is no connection for it."""
        return self.connection_pool.request_load_report(host, token)

    def call_in(self, in_ms: float, call: Callable[[], None]) -> Timer:
        """Calls a function after a time on the loop."""
        return self.loop.call_in(in_ms, call)

    def now(self) -> float:
        """The loop's monotonic time in milliseconds."""
        return self.loop.now()

    # ---- the machine list ----

    def apply_list_change(self, change: ListChange) -> None:
        """Applies a change of the machine list."""
        # The policy first: it then rebinds the tasks of a replaced host by the newer list.
        self.exchange.apply_list_change(change)
        self.connection_pool.apply_list_change(change)

    # ---- signals ----

    def reload(self) -> None:
        """Handles SIGHUP: reads the command channel's address again.

        Everything else in the file applies only at the start.
        """
        self.reload_attempt_count = 0
        self._reload_config()

    def _reload_config(self) -> None:
        try:
            address = load_process_config(self.path).channel_address
        except ProcessConfigError as error:
            self.reload_attempt_count += 1
            if self.reload_attempt_count < MAX_RELOAD_ATTEMPTS:
                self.loop.call_in(RELOAD_RETRY_MS, self._reload_config)
            else:
                self.log(f"configuration not reloaded, the former one stays in use: {error}")
            return
        self.log(f"configuration read again, command channel at {address[0]}:{address[1]}")
        self.watch_client.change_address(address)

    def stop(self) -> None:
        """Handles SIGTERM; `graceful_shutdown.py` decides when the process ends."""
        if self.shutdown.begin(self.loop.now()):
            self.client_connections.is_draining = True
            self.log(f"stopping, {self.exchange.open_call_count} calls open")
            self.loop.call_in(DRAIN_WINDOW_MS, self._check_shutdown)

    def _check_shutdown(self) -> None:
        """Observes what is left to do, and stops the loop if the shutdown is complete.

        It asks the operating system: after a stall no event has reported the arrivals yet.
        """
        has_arrivals, has_partial_message = self.client_connections.read_all_pending()
        observation = ShutdownObservation(
            has_unanswered_calls=bool(self.exchange.open_call_count),
            has_unhandled_data=has_arrivals
            or has_partial_message
            or self.client_connections.has_unsent_bytes,
            has_undelivered_releases=bool(self.client_connections.releases.pending)
            or self.connection_pool.has_unsent_releases,
        )
        state = self.shutdown.update_state(self.loop.now(), observation)
        if state is not ShutdownState.DRAINING:
            self.client_connections.stop_listening()
        if state is ShutdownState.CLOSED:
            self.loop.stop()
        else:
            self.loop.call_in(SHUTDOWN_CHECK_MS, self._check_shutdown)

    # ---- running ----

    def log_status(self) -> None:
        """Logs the counters of the process and schedules the next status line."""
        self.loop.call_in(STATUS_INTERVAL_MS, self.log_status)
        exchange = self.exchange
        failed_attempts = (
            ", ".join(
                f"{outcome.value} {count}" for outcome, count in exchange.failed_attempts_by_outcome.items()
            )
            or "none"
        )
        placed_count, descriptors = sum(map(len, exchange.placed_calls_by_host.values())), self.descriptors
        self.log(
            f"status: calls {exchange.call_count} open {exchange.open_call_count} placed {placed_count}"
            f" invalid {exchange.invalid_setup_count}"
            f" late {exchange.late_answer_count} failed attempts: {failed_attempts}; clients"
            f" {len(self.client_connections.connections)} connections {self.connection_pool.connection_count}"
            f" hosts {len(self.connection_pool.hosts_by_name)} descriptors"
            f" {descriptors.held_count} peak {descriptors.peak_count} of {descriptors.capacity}"
            f" denied {descriptors.denied_count}"
            f" queued {self.connection_pool.pending_queue.total_count} throttled"
            f" {self.connection_pool.connection_limiter.denied_count} cursor"
            f" {self.channel.cursor} disconnects {self.watch_client.disconnect_count}"
            f" longest round {self.max_round_ms:.0f} ms policy {exchange.contract.module_cpu_s:.2f} s"
            f" cpu {time.process_time():.2f} s faults {self.fault_count} rss {read_resident_size()}"
            f" releases waiting {len(self.client_connections.releases.pending)}"
            f" dropped {self.client_connections.releases.pending.dropped_count}"
        )
        self.log(self.connection_pool.task_leases.describe())
        self.max_round_ms = 0.0

    def run(self) -> None:
        """Runs until stopped.

        An exception in one event is logged and counted; other events are still handled.
        """
        self.loop.on_error = lambda task, error: self._record_fault(error)
        self.loop.is_running = True
        while self.loop.is_running:
            began_at_ms, idle_ms = self.loop.now(), self.loop.poller.idle_ms
            try:
                self.loop.run_once()
            except Exception as error:
                self._record_fault(error)
            self.max_round_ms = max(
                self.max_round_ms, self.loop.now() - began_at_ms - (self.loop.poller.idle_ms - idle_ms)
            )

    def _record_fault(self, error: BaseException) -> None:
        self.fault_count += 1
        frames = reversed(traceback.extract_tb(error.__traceback__)[-5:])
        where = " < ".join(f"{frame.name}:{frame.lineno}" for frame in frames)
        self.log(f"FAULT {type(error).__name__}: {error} at {where}")


def read_resident_size() -> str:
    """The resident size of the process in kB, as text with the unit."""
    with open("/proc/self/statm", "rb") as file:
        return f"{int(file.read().split()[1]) * os.sysconf('SC_PAGE_SIZE') // 1024} kB"


def main() -> int:
    """Runs the process and returns its exit code."""
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
        # Settings of an unforeseen form: an invalid configuration, not a bug that needs a traceback.
        print(f"glencleat node: {path}: {type(error).__name__}: {error}", file=sys.stderr)
        return 2
    signals.attach(process.loop, process.stop, process.reload)
    try:
        bound = process.client_connections.listen(config.listen_address)
    except OSError as error:
        address = f"{config.listen_address[0]}:{config.listen_address[1]}"
        print(f"glencleat node: can't listen on {address}: {error.strerror}", file=sys.stderr)
        return 3
    gc.collect()
    gc.freeze()
    log(
        f"listening on {bound[0]}:{bound[1]}, {len(process.channel.hosts_by_name)} hosts known,"
        f" {read_resident_size()}"
    )
    process.log_status()
    process.run()
    log(f"stopped, {process.exchange.open_call_count} calls open")
    return 0

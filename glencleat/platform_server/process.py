"""The allocator process on the platform: configuration, the joined parts, signals, the end.

Started by `python -m glencleat node`, which reads the file named by ROUTER_CONFIG.
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
from glencleat.platform_protocol.exchange import Exchange, SetupAttempt
from glencleat.platform_protocol.messages import RemoteProtocolError
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

SHUTDOWN_POLL_MS = 10.0  # between two quiescence checks
# After the start: nine in ten have to be ready within 10 s, whether discovery is up or not. Sooner would cost
# the requests to an allocator that has no host and learns of one a moment later.
READY_WITHOUT_HOSTS_MS = 7_000.0
RELOAD_RETRY_MS = 100.0  # the file may be read while it is replaced
MAX_RELOAD_ATTEMPTS = 20
STATUS_INTERVAL_MS = 10_000.0
TRACE_MAX_LINES_PER_S = 1 << 30  # all of them
TRACE_MAX_LINE_CHARACTERS = 500
FAULT_FRAMES = 5  # of a traceback that are logged, innermost first
BYTES_PER_KB = 1024
EXIT_STOPPED = 0  # after SIGTERM
EXIT_BAD_CONFIG = 2
EXIT_CANNOT_LISTEN = 3  # the system refuses, as for an address in use


class ProcessConfigError(Exception):
    """The configuration can't be used; the text says what and why."""


@dataclass(frozen=True, slots=True)
class ProcessConfig:
    """What the configuration file says; times in milliseconds."""

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
    """Reads and checks the file that ROUTER_CONFIG names; raises ProcessConfigError."""
    try:
        with open(path, "rb") as file:  # noqa: PTH123 - pathlib would cost six modules at the start
            raw = msgspec.json.decode(file.read())
        limits = raw["settings"]["limits"]
        return ProcessConfig(
            name=str(raw["name"]),
            listen_address=parse_address(raw["listen"], min_port=0),
            seed=int(str(raw["seed"]), 16),
            descriptor_limit=int(raw["limits"]["sockets"]),
            channel_address=parse_address(raw["channel"]),
            known_commands=dict(raw["known"]),
            settings=read_settings(raw["settings"]),
            connect_timeout_ms=float(limits["connect-timeout-ms"]),
            idle_timeout_ms=float(limits["conn-idle-ms"]),
        )
    except OSError as error:
        raise ProcessConfigError(f"{path}: {error.strerror}") from error
    except RemoteProtocolError as error:
        raise ProcessConfigError(f"{path}: {error}") from error
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
        raise ProcessConfigError(f"{path}: {type(error).__name__}: {error}") from error


class PlatformProcess:
    """The joined parts of an allocator; implements the ports that the exchange asks of the sockets."""

    def __init__(self, config: ProcessConfig, loop: Loop, log: Callable[[str], None], path: str) -> None:
        self.loop = loop
        self.log = log
        self.config_path = path
        self.started_at_ms = loop.now()
        self.reload_attempts = 0
        self.fault_count = 0
        self.longest_round_ms = 0.0  # since the last status line
        self.shutdown = GracefulShutdown()
        random = Random(config.seed)
        self.channel = CommandChannel(loop.clock.wall() - loop.now())
        self.descriptors = DescriptorBudget(config.descriptor_limit)
        self.clients = ClientConnections(loop, self.descriptors, log)
        limits = config.connect_timeout_ms, config.idle_timeout_ms
        self.hosts = ConnectionPool(loop, self.channel, self.descriptors, *limits, random, log)
        self.exchange = self._join_exchange(config)
        for change in self.channel.load_known(config.known_commands, loop.now()):
            self.list_told(change)
        backoff = Backoff(COMMAND_CHANNEL_BACKOFF, random)
        self.watch_client = WatchClient(
            loop, self.channel, backoff, config.channel_address, self.list_told, log
        )
        if os.environ.get("GLENCLEAT_TRACE") == "1":
            self._install_trace()

    def _join_exchange(self, config: ProcessConfig) -> Exchange:
        policy = Scheduler(config.settings, config.seed)
        exchange = Exchange(config.settings, policy, self, config.connect_timeout_ms)
        exchange.list_machines = self.channel.machines
        self.clients.exchange = exchange
        self.clients.is_ready = self.is_ready
        self.hosts.exchange = exchange
        self.hosts.allocator_count = config.settings.allocator_count
        self.hosts.warm_up_ms = config.settings.warm_up_ms
        return exchange

    def is_ready(self) -> bool:
        """Whether there is somewhere to place, or there was no machine list for too long.

        In the second case requests are rejected at once, which costs their clients a moment, while a process
        that is never ready counts as failed to start.
        """
        return bool(self.channel.hosts) or self.loop.now() - self.started_at_ms > READY_WITHOUT_HOSTS_MS

    def _install_trace(self) -> None:
        from glencleat.platform_server.trace import Trace  # not loaded in a process that is not traced

        contract = self.exchange.contract
        write_line = RateLimitedLog(
            "trace",
            max_lines_per_s=TRACE_MAX_LINES_PER_S,
            max_characters=TRACE_MAX_LINE_CHARACTERS,
        )
        trace = Trace(contract.policy, self.exchange.calls, write_line)
        contract.policy = trace
        self.clients.trace = trace
        self.hosts.trace = trace

    # ---- ExchangePorts, documented there; a client is the ClientConnection that the exchange was given ----

    def send_to_client(self, client: Any, data: bytes, owed: bool) -> None:  # noqa: ANN401, D102
        self.clients.to_owner(client, data, owed)

    def is_client_waiting(self, client: Any, task: int, exact: bool) -> bool:  # noqa: ANN401, D102
        return self.clients.waits(client, task, exact)

    def mark_client_proven(self, client: Any) -> None:  # noqa: ANN401, D102
        self.clients.proves(client)

    def send_attempt(self, attempt: SetupAttempt) -> None:  # noqa: D102
        self.hosts.offer_attempt(attempt)

    def cancel_attempt(self, attempt: SetupAttempt) -> DeliveryOutcome:  # noqa: D102
        return self.hosts.cancel_attempt(attempt)

    def has_unread_data(self, attempt: SetupAttempt) -> bool:  # noqa: D102
        return self.hosts.has_unread_bytes(attempt)

    def release_task(self, host: str, task: int) -> None:  # noqa: D102
        self.hosts.release_task(host, task)

    def send_probe(self, host: str, token: int) -> bool:  # noqa: D102
        return self.hosts.request_load_report(host, token)

    def call_in(self, in_ms: float, call: Callable[[], None]) -> Timer:  # noqa: D102
        return self.loop.call_in(in_ms, call)

    def now(self) -> float:  # noqa: D102
        return self.loop.now()

    # ---- machine list ----

    def list_told(self, change: ListChange) -> None:
        """Passes on a change of the machine list.

        The policy first: tasks that ran at a host that was replaced are then bound anew by the newer list.
        """
        self.exchange.update_machine_list(change)
        self.hosts.apply_list_change(change)

    # ---- signals ----

    def reload(self) -> None:
        """On SIGHUP takes the command channel's address from the file; the rest counts at the start only."""
        self.reload_attempts = 0
        self._reload_config()

    def _reload_config(self) -> None:
        try:
            channel_address = load_config(self.config_path).channel_address
        except ProcessConfigError as error:
            self.reload_attempts += 1
            if self.reload_attempts < MAX_RELOAD_ATTEMPTS:
                self.loop.call_in(RELOAD_RETRY_MS, self._reload_config)
            else:
                self.log(f"the new configuration can't be used, the old one goes on: {error}")
            return
        host, port = channel_address
        self.log(f"configuration read again, command channel at {host}:{port}")
        self.watch_client.change_address(channel_address)

    def begin_shutdown(self) -> None:
        """On SIGTERM starts draining; `graceful_shutdown.py` says when the process may end."""
        if self.shutdown.begin(self.loop.now()):
            self.clients.is_draining = True
            self.log(f"stopping, {self.exchange.open_calls} calls open")
            self.loop.call_in(ADMISSION_WINDOW_MS, self._poll_shutdown)

    def _poll_shutdown(self) -> None:
        """Makes a quiescence check by asking the system: after a stall no event tells what has arrived."""
        pending = self.clients.read_everything_pending()
        has_unsent_data = self.clients.has_unsent_data
        observation = ShutdownObservation(
            has_open_calls=bool(self.exchange.open_calls),
            has_unhandled_data=pending.has_arrivals or pending.has_partial_message or has_unsent_data,
            has_undelivered_releases=bool(self.clients.undelivered_releases)
            or self.hosts.has_unsent_releases,
        )
        state = self.shutdown.observe(self.loop.now(), observation)
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
            ", ".join(
                f"{outcome.value} {count}" for outcome, count in exchange.failed_attempts_by_outcome.items()
            )
            or "none"
        )
        standing_count = sum(map(len, exchange.running_by_host.values()))
        return (
            f"taken {exchange.accepted_calls} open {exchange.open_calls} standing {standing_count} bad {exchange.invalid_setups}"
            f" late {exchange.late_answers} came to nothing: {came_to_nothing};"
            f" owners {len(self.clients.connections)} links {hosts.connection_count} hosts {len(hosts.hosts_by_name)}"
            f" descriptors {descriptors.held_count} most {descriptors.peak_held} of {descriptors.capacity}"
            f" refused {descriptors.rejected_count} waited {hosts.pending_queue.total_count}"
            f" paced {hosts.connection_limiter.rejected_count} cursor {self.channel.cursor}"
            f" channel breaks {self.watch_client.disconnect_count}"
            f" longest round {self.longest_round_ms:.0f} ms module {exchange.contract.policy_cpu_s:.2f} s"
            f" cpu {time.process_time():.2f} s faults {self.fault_count} rss {resident_size()}"
        )

    def run(self) -> None:
        """Runs until stopped. An error of ours in one event is logged and counted; the others go on."""
        self.loop.on_error = lambda task, error: self._record_fault(error)
        self.loop.is_running = True
        while self.loop.is_running:
            began_ms = self.loop.now()
            idle_before_ms = self.loop.poller.idle_ms
            try:
                self.loop.run_once()
            except Exception as error:
                self._record_fault(error)
            idle_ms = self.loop.poller.idle_ms - idle_before_ms
            self.longest_round_ms = max(self.longest_round_ms, self.loop.now() - began_ms - idle_ms)

    def _record_fault(self, error: BaseException) -> None:
        self.fault_count += 1
        frames = reversed(traceback.extract_tb(error.__traceback__)[-FAULT_FRAMES:])
        where = " < ".join(f"{frame.name}:{frame.lineno}" for frame in frames)
        self.log(f"FAULT {type(error).__name__}: {error} at {where}")


def resident_size() -> str:
    """The resident size of this process in kB, as the system reports it."""
    with open("/proc/self/statm", "rb") as file:  # noqa: PTH123 - pathlib would cost six modules at the start
        resident_pages = int(file.read().split()[1])
    return f"{resident_pages * os.sysconf('SC_PAGE_SIZE') // BYTES_PER_KB} kB"


def _report(text: str) -> None:
    print(f"glencleat node: {text}", file=sys.stderr)


def _create_process(path: str, log: Callable[[str], None]) -> tuple[ProcessConfig, PlatformProcess]:
    """The process by the file at `path`; raises ProcessConfigError, RemoteProtocolError or ValueError."""
    try:
        config = load_config(path)
        return config, PlatformProcess(config, Loop(), log, path)
    except (LookupError, TypeError, AttributeError, ArithmeticError) as error:
        # Settings of a form that nothing here was made for: unusable, and no fault to be traced.
        raise ProcessConfigError(f"{path}: {type(error).__name__}: {error}") from error


def main() -> int:
    """Runs `python -m glencleat node`; returns its exit code."""
    signals = Signals()
    log = RateLimitedLog(os.environ.get("ROUTER_NAME", "node"))
    path = os.environ.get("ROUTER_CONFIG")
    if path is None:
        _report("ROUTER_CONFIG is not set; expected the path of a file")
        return EXIT_BAD_CONFIG
    try:
        config, process = _create_process(path, log)
    except (ProcessConfigError, RemoteProtocolError, ValueError) as error:
        _report(str(error))
        return EXIT_BAD_CONFIG
    signals.follow(process.loop, process.begin_shutdown, process.reload)
    try:
        bound_host, bound_port = process.clients.listen(config.listen_address)
    except OSError as error:
        host, port = config.listen_address
        _report(f"can't listen on {host}:{port}: {error.strerror}")
        return EXIT_CANNOT_LISTEN
    gc.collect()
    gc.freeze()
    host_count = len(process.channel.hosts)
    log(f"listening on {bound_host}:{bound_port}, {host_count} hosts known, {resident_size()}")
    process.log_status()
    process.run()
    log(f"stopped, {process.exchange.open_calls} open")
    return EXIT_STOPPED

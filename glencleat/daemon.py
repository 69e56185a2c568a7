"""One allocator as a daemon: wires up configuration, core, decision module and servers, and handles signals.

`glencleat serve` starts it. On SIGTERM it shuts down in a bounded time and gives every open task its final
answer. On SIGHUP it reloads the configuration and applies either all of it or nothing.
"""

from __future__ import annotations

import gc
from pathlib import Path
from random import Random, SystemRandom
from typing import Any

from glencleat import interface as api
from glencleat.allocator.admission import AdmissionLimits
from glencleat.allocator.core import Core
from glencleat.allocator.options import Options
from glencleat.config import AllocatorConfig, ConfigError, load
from glencleat.event_loop import Loop, Signals
from glencleat.flow_control.backoff import MACHINE_LIST_BACKOFF, Backoff, BackoffPolicy
from glencleat.policy.scheduler import Scheduler
from glencleat.rest import service as rest
from glencleat.rest.overload import OverloadLimits
from glencleat.rest.watches import WatchLimits
from glencleat.servers.directory_client import DirectoryClient
from glencleat.servers.endpoint_snapshot_file import EndpointSnapshotFile
from glencleat.servers.executor_api import ExecutorApi
from glencleat.servers.http_server import Handler, Server, ServerLimits, plain_response
from glencleat.servers.metrics import MetricsApi
from glencleat.servers.rest_api import RestApi, problem_response
from glencleat.servers.scheduler_api import SchedulerApi

BYTES_PER_MB = 1 << 20
FLUSH_TIMEOUT_MS = 1_000.0
FLUSH_CHECK_INTERVAL_MS = 20.0
# Arguments of gc.set_threshold. With a thousand sessions a full collection takes 70 ms. With Python's default
# threshold of 700 it ran every few seconds and determined the p99 latency of placements.
GC_THRESHOLDS = 50_000, 20, 50
RELOADABLE_SETTINGS = {"limit", "rest", "log", "shutdown", "answer_margin", "probe_timeout"}


def core_options(config: AllocatorConfig) -> Options:
    """Returns the options of the allocator core that the configuration sets."""
    limit = config.limit
    return Options(
        name=config.allocator.name,
        pool=config.pool,
        default_class=config.default_class,
        answer_margin_ms=config.answer_margin,
        heartbeat_ms=config.heartbeat.every,
        max_missed_heartbeats=config.heartbeat.missed,
        reregistration_timeout_ms=config.heartbeat.agents_return,
        probe_timeout_ms=config.probe_timeout,
        startup_grace_ms=config.grace,
        max_unacknowledged=limit.unacknowledged,
        max_closed_calls=limit.remembered,
        max_frameworks=limit.frameworks,
        max_agents=limit.agents,
        limits=AdmissionLimits(limit.open_tasks, limit.open_each, limit.placed),
    )


def server_limits(config: AllocatorConfig) -> ServerLimits:
    """Returns the limits that every HTTP server of the daemon enforces."""
    limit = config.limit
    return ServerLimits(
        limit.connections,
        int(limit.body * BYTES_PER_MB),
        int(limit.unsent * BYTES_PER_MB),
        limit.request,
        limit.idle,
    )


def rest_limits(config: AllocatorConfig) -> rest.RestLimits:
    """Returns the limits of the REST service: overload protection, watches and retention."""
    section = config.rest
    overload = OverloadLimits(
        connection_rate=section.requests,
        connection_burst=2.0 * section.requests,
        tenant_rate=section.tenant_rate,
        tenant_burst=section.tenant_burst,
        max_waiting_per_tenant=section.waiting_each,
        max_waiting=section.waiting,
        max_jobs=section.jobs,
        max_first_round_wait_ms=section.first_round,
    )
    watch = WatchLimits(
        section.watches, section.watches_each, section.watch_lines, stall_timeout_ms=section.watch_stall
    )
    return rest.RestLimits(overload, watch, section.events, section.ended, section.jobs_kept, section.keys)


class Daemon:
    """One allocator with its servers, directory client and event loop.

    `start` binds the listeners and subscribes to the directory. `loop.run` then serves until `stop` has
    completed the graceful shutdown. `path` is the configuration file that `reload` reads; `seed` fixes the
    generated ids.
    """

    def __init__(
        self,
        config: AllocatorConfig,
        log: Any,
        path: Path | None = None,
        loop: Loop | None = None,
        seed: int | None = None,
        backoff_policy: BackoffPolicy = MACHINE_LIST_BACKOFF,
    ) -> None:
        self.config, self.log, self.path = config, log, path
        self.loop = loop or Loop()
        # The configured seed is for scheduling decisions. Ids must differ after a restart and don't use it.
        settings = config.settings()
        module = Scheduler(settings, config.allocator.seed)
        id_seed = SystemRandom().getrandbits(64) if seed is None else seed
        self.core = Core(settings, module, core_options(config), self.loop, id_seed, self._log)
        self.servers: dict[str, Server] = {}
        self.rest_service: rest.RestService | None = None
        if config.rest_listen is not None:
            self.rest_service = rest.RestService(self.core, rest_limits(config), id_seed ^ 0x5EED)
        self.is_stopping = self.is_flushing = False
        # The backoff has its own seed: allocators that share the configured one would retry in lockstep.
        self.directory_client = DirectoryClient(
            self.loop,
            config.directory,
            self._handle_machine_list_update,
            Backoff(backoff_policy, Random(id_seed ^ 0xA5C)),
            3.0 * config.heartbeat.every,
            log=self._log,
        )
        self.core.watch_machine_list = self.directory_client.watch
        self.snapshot_file: EndpointSnapshotFile | None = None
        if (snapshot := config.keep_list) is not None:
            listing = self.directory_client.listing
            self.snapshot_file = EndpointSnapshotFile(
                self.loop, Path(snapshot.file), config.pool, snapshot.age, listing, self._log
            )
        self.core.on_idle = self._flush_and_stop

    def _log(self, event: str, **fields: Any) -> None:
        self.log.info(event, **fields)

    def _handle_machine_list_update(self, event: api.MachineListUpdated) -> None:
        if self.snapshot_file is not None:
            # Before the core: what the core has learned must survive a kill of the process.
            self.snapshot_file.record_update(event)
        self.core.update_machine_list(event)

    def start(self) -> dict[str, str]:
        """Binds the listeners and subscribes to the directory.

        Returns the bound address of each server as `HOST:PORT`, by the server's name. Raises OSError with the
        address that can't be bound.
        """
        limits = server_limits(self.config)
        metrics = MetricsApi(self.core)
        handlers: dict[str, Handler] = {
            "owners": SchedulerApi(self.core).handle,
            "agents": ExecutorApi(self.core).handle,
            "metrics": metrics.handle,
        }
        addresses = {name: getattr(self.config, name) for name in handlers}
        if self.rest_service is not None:
            self.rest_api = RestApi(self.rest_service)
            handlers["rest"], addresses["rest"] = self.rest_api.handle, self.config.rest_listen
            metrics.add_rest_service(self.rest_service, self.rest_api)
        for name, handler in handlers.items():
            address = addresses[name]
            if address is None:
                continue
            error_response = problem_response if name == "rest" else plain_response
            try:
                intake = (
                    self.rest_service.intake if name == "rest" and self.rest_service is not None else None
                )
                self.servers[name] = Server(
                    self.loop, address, handler, limits, self._log, error_response, intake
                )
            except OSError as error:
                raise OSError(f"listen {name} {address[0]}:{address[1]}: {error.strerror}") from None
        # An empty delta makes the decision module request the machine list.
        self.core.dispatch_event(api.MachineListUpdated(api.ListUpdateKind.DELTA))
        if self.snapshot_file is not None:
            if machines := self.snapshot_file.load():
                self.core.update_machine_list(api.MachineListUpdated(api.ListUpdateKind.DELTA, machines))
            self.snapshot_file.start()
        gc.freeze()  # keeps the objects that live as long as the process out of every collection
        gc.set_threshold(*GC_THRESHOLDS)
        return {name: f"{s.address[0]}:{s.address[1]}" for name, s in self.servers.items()}

    # ---- signals ----

    def follow_signals(self) -> None:
        """Calls `stop` on SIGTERM and `reload` on SIGHUP."""
        Signals().attach(self.loop, self.stop, self.reload)

    def stop(self) -> None:
        """Starts the graceful shutdown: rejects new tasks and waits for the open ones.

        The daemon stops once every open task has its final answer, or when the shutdown timeout expires.
        """
        if self.is_stopping:
            return
        self.is_stopping = True
        self.log.info("stopping", open=self.core.call_table.open_task_count)
        self.loop.call_in(self.config.shutdown, self._finish)
        if self.rest_service is not None:
            self.rest_service.shut_down()
        self.core.begin_shutdown()

    def _finish(self) -> None:
        self.core.finish_shutdown()
        self._flush_and_stop()

    def _flush_and_stop(self) -> None:
        """Stops the loop when all answers are sent, at the latest after `FLUSH_TIMEOUT_MS`."""
        if self.is_flushing:
            return
        self.is_flushing = True
        for server in self.servers.values():
            server.close()
        deadline_ms = self.loop.now() + FLUSH_TIMEOUT_MS

        def check_flushed() -> None:
            unsent = any(
                stream.send_buffer
                for server in self.servers.values()
                for stream in server.listener.open_streams
            )
            if unsent and self.loop.now() < deadline_ms:
                self.loop.call_in(FLUSH_CHECK_INTERVAL_MS, check_flushed)
            else:
                self.loop.stop()

        self.loop.call_in(FLUSH_CHECK_INTERVAL_MS, check_flushed)

    def reload(self) -> None:
        """Reloads the configuration file and applies either all of it or nothing.

        A file with faults, or with a change that requires a restart, is logged and ignored.
        """
        if self.path is None:
            return
        try:
            config = load(self.path)
        except ConfigError as error:
            for fault in error.faults:
                self.log.error("configuration refused", where=f"{fault.file}:{fault.line}", why=str(fault))
            return
        old, new = self.config.model_dump(), config.model_dump()
        fixed = sorted(name for name in new if new[name] != old[name] and name not in RELOADABLE_SETTINGS)
        if fixed:
            self.log.error("configuration refused", why=f"only a restart can change {', '.join(fixed)}")
            return
        self.config = config
        self.core.options = core_options(config)
        self.core.frameworks.max_frameworks, self.core.membership.max_agents = (
            config.limit.frameworks,
            config.limit.agents,
        )
        self.core.frameworks.max_unacknowledged = config.limit.unacknowledged
        for server in self.servers.values():
            server.limits = server_limits(config)
            server.listener.max_connections, server.listener.max_unsent_bytes = (
                config.limit.connections,
                server.limits.max_unsent_bytes,
            )
        if self.rest_service is not None:
            self.rest_service.apply_limits(rest_limits(config))
        self.log.info("configuration read again")

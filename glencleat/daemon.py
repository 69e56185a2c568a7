"""One allocator as a daemon: joins configuration, core, module and fronts, and follows signals.

Started by `glencleat serve`. SIGTERM ends it in a bounded time, every task answered; SIGHUP reads the
configuration again, whole or not at all."""

from __future__ import annotations

import gc
from pathlib import Path
from random import Random, SystemRandom
from typing import Any

from glencleat import interface as api
from glencleat.allocator.admission import AdmissionLimits as Admission
from glencleat.allocator.core import Core
from glencleat.allocator.options import Options
from glencleat.config import AllocatorConfig, ConfigError, load
from glencleat.event_loop import Loop, Signals
from glencleat.flow_control.backoff import MACHINE_LIST_BACKOFF, Backoff, BackoffPolicy
from glencleat.policy.scheduler import Scheduler
from glencleat.rest import service as rest
from glencleat.rest.overload import OverloadLimits as GateLimits
from glencleat.rest.watches import WatchLimits as WatchLimits
from glencleat.servers.directory_client import DirectoryClient
from glencleat.servers.endpoint_snapshot_file import EndpointSnapshotFile
from glencleat.servers.executor_api import ExecutorApi
from glencleat.servers.http_server import Handler, Server, ServerLimits, plain_response
from glencleat.servers.metrics import MetricsApi
from glencleat.servers.rest_api import RestApi, problem_response
from glencleat.servers.scheduler_api import SchedulerApi

BYTES_PER_MB = 1 << 20
FLUSH_MS = 1_000.0
# Young objects between two collections, and so on (gc.set_threshold). With a thousand sessions, one of
# all takes 70 ms; with Python's own 700 it came every few seconds, and was the p99 of placements.
COLLECT = 50_000, 20, 50
LIVE = {"limit", "rest", "log", "shutdown", "answer_margin", "probe_timeout"}  # what SIGHUP can change


def core_options(config: AllocatorConfig) -> Options:
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
        limits=Admission(limit.open_tasks, limit.open_each, limit.placed),
    )


def server_limits(config: AllocatorConfig) -> ServerLimits:
    limit = config.limit
    return ServerLimits(
        limit.connections,
        int(limit.body * BYTES_PER_MB),
        int(limit.unsent * BYTES_PER_MB),
        limit.request,
        limit.idle,
    )


def rest_limits(config: AllocatorConfig) -> rest.RestLimits:
    told = config.rest
    gate = GateLimits(
        connection_rate=told.requests,
        connection_burst=2.0 * told.requests,
        tenant_rate=told.tenant_rate,
        tenant_burst=told.tenant_burst,
        max_waiting_per_tenant=told.waiting_each,
        max_waiting=told.waiting,
        max_jobs=told.jobs,
        max_first_round_wait_ms=told.first_round,
    )
    watch = WatchLimits(told.watches, told.watches_each, told.watch_lines, stall_timeout_ms=told.watch_stall)
    return rest.RestLimits(gate, watch, told.events, told.ended, told.jobs_kept, told.keys)


class Daemon:
    """`start` binds and subscribes; `loop.run` then serves until `stop` has done its work."""

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
        # The decisions' seed is the configuration's; ids must differ after a restart, so theirs is not.
        settings = config.settings()
        module = Scheduler(settings, config.allocator.seed)
        ids = SystemRandom().getrandbits(64) if seed is None else seed
        self.core = Core(settings, module, core_options(config), self.loop, ids, self._log)
        self.servers: dict[str, Server] = {}
        self.rest_service: rest.RestService | None = None
        if config.rest_listen is not None:
            self.rest_service = rest.RestService(self.core, rest_limits(config), ids ^ 0x5EED)
        self.is_stopping = self.is_ending = False
        # Of its own seed: allocators of one configuration may share the decisions' one, and would go in step.
        self.directory_client = DirectoryClient(
            self.loop,
            config.directory,
            self._list_told,
            Backoff(backoff_policy, Random(ids ^ 0xA5C)),
            3.0 * config.heartbeat.every,
            log=self._log,
        )
        self.core.watch_machine_list = self.directory_client.watch
        self.snapshot_file: EndpointSnapshotFile | None = None
        if (keep := config.keep_list) is not None:
            listing = self.directory_client.listing
            self.snapshot_file = EndpointSnapshotFile(
                self.loop, Path(keep.file), config.pool, keep.age, listing, self._log
            )
        self.core.on_idle = self._end_soon

    def _log(self, event: str, **more: Any) -> None:
        self.log.info(event, **more)

    def _list_told(self, event: api.MachineListUpdated) -> None:
        if self.snapshot_file is not None:
            self.snapshot_file.record_update(event)  # first: what was once told must be known after a kill
        self.core.update_machine_list(event)

    def start(self) -> dict[str, str]:
        """Binds the listeners; gives their addresses. Raises OSError naming the address."""
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
            told = problem_response if name == "rest" else plain_response
            try:
                intake = (
                    self.rest_service.intake if name == "rest" and self.rest_service is not None else None
                )
                self.servers[name] = Server(self.loop, address, handler, limits, self._log, told, intake)
            except OSError as error:
                raise OSError(f"listen {name} {address[0]}:{address[1]}: {error.strerror}") from None
        # An empty change is news of nothing, at which the module asks for the list by itself.
        self.core.dispatch_event(api.MachineListUpdated(api.ListUpdateKind.DELTA))
        if self.snapshot_file is not None:
            if machines := self.snapshot_file.load():
                self.core.update_machine_list(api.MachineListUpdated(api.ListUpdateKind.DELTA, machines))
            self.snapshot_file.start()
        gc.freeze()  # what is there from the start need not be looked at by each collection
        gc.set_threshold(*COLLECT)
        return {name: f"{s.address[0]}:{s.address[1]}" for name, s in self.servers.items()}

    # ---- signals ----

    def follow_signals(self) -> None:
        Signals().attach(self.loop, self.stop, self.reload)

    def stop(self) -> None:
        """No new tasks; ends when all that is held is answered, or its time is up."""
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
        self._end_soon()

    def _end_soon(self) -> None:
        """The last answers leave, as far as their owners read them within `FLUSH_MS`."""
        if self.is_ending:
            return
        self.is_ending = True
        for server in self.servers.values():
            server.close()
        until = self.loop.now() + FLUSH_MS

        def look() -> None:
            unsent = any(
                stream.send_buffer
                for server in self.servers.values()
                for stream in server.listener.open_streams
            )
            if unsent and self.loop.now() < until:
                self.loop.call_in(20.0, look)
            else:
                self.loop.stop()

        self.loop.call_in(20.0, look)

    def reload(self) -> None:
        """Reads the file again: all of it counts, or nothing of it."""
        if self.path is None:
            return
        try:
            config = load(self.path)
        except ConfigError as error:
            for fault in error.faults:
                self.log.error("configuration refused", where=f"{fault.file}:{fault.line}", why=str(fault))
            return
        old, new = self.config.model_dump(), config.model_dump()
        fixed = sorted(name for name in new if new[name] != old[name] and name not in LIVE)
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

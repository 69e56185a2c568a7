"""Periodic maintenance of the connection pool's hosts: liveness, unneeded connections, removed hosts.

A tick maintains the hosts that have changed and those that are due; the others cost nothing.
`_next_maintenance_ms` computes when a host is due, and code that changes its inputs calls `mark_changed`.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from glencleat.descriptor_budget import Demand, DescriptorBudget, EvictionPriority
from glencleat.event_loop import Loop
from glencleat.flow_control.connection_limiter import quiet_limit_ms
from glencleat.index.dirty_set import DirtySet
from glencleat.index.due_queue import DueQueue
from glencleat.platform_protocol.command_channel import CommandChannel
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_server import host_connection
from glencleat.platform_server.failure_detector import NEVER, DetectorAction
from glencleat.platform_server.host_connection import Host, HostConnection
from glencleat.platform_server.host_registry import HostRegistry
from glencleat.platform_server.process_changes import find_connection_opened_ms
from glencleat.platform_server.process_evidence import find_evidence
from glencleat.platform_server.task_leases import TaskLeases

TICK_MS = 200.0
"""The interval of ticks."""

STALL_MS = 1_000.0
"""A longer interval between two ticks shows that the event loop was stalled."""

SURPLUS_IDLE_MS = 4_000.0
"""A connection unused for so long is closed if another is open; clients keep theirs as long."""


class MaintenancePort(Protocol):
    """What the maintenance requires of the connection pool."""

    loop: Loop
    channel: CommandChannel
    registry: HostRegistry
    descriptors: DescriptorBudget
    idle_ms: float
    allocator_count: int
    task_leases: TaskLeases
    connected_hosts: set[Host]
    releasing_hosts: set[Host]

    @property
    def exchange(self) -> Exchange:
        """Keeps the placed tasks of each host."""

    def on_capacity_freed(self) -> None:
        """A connection may be opened for a queued attempt."""

    def reconnect(self, host: Host, demand: Demand = Demand.LIVENESS_CHECK) -> None:
        """Opens a further connection if one may be opened now."""

    def is_healthy(self, connection: HostConnection) -> bool:
        """Whether the connection is open and may be used."""

    def update_eviction_priorities(self, host: Host) -> None:
        """Refiles a host's connections in the descriptor budget by their current eviction priority."""

    def declare_tasks_lost(self, host: Host, reason: str, task_ids: Collection[int] | None = None) -> None:
        """The tasks that are placed on the host, or those of them that are named, have ended."""


class HostMaintenance:
    """Runs the periodic ticks of the connection pool."""

    def __init__(self, pool: MaintenancePort) -> None:
        """Schedules the first tick."""
        self.pool = pool
        # The longest unheard first, so that hosts take turns if they outnumber the descriptors.
        self.due_hosts = DirtySet[Host](sort_key=lambda host: (host.last_heard_at_ms, host.creation_number))
        self.unlisted_host_names: dict[str, None] = {}  # hosts of adopted tasks that no machine list names
        self.tick_count = 0
        self.last_tick_at_ms = pool.loop.now()
        pool.loop.call_in(TICK_MS, self._tick)

    def mark_changed(self, host: Host) -> None:
        """Records a change that may bring forward the time at which the host is due."""
        self.due_hosts.mark_dirty(host)

    def on_placed_tasks_changed(self, name: str) -> None:
        """The first task was placed on a host, or its last one has ended."""
        host = self.pool.registry.hosts_by_name.get(name)
        if host is None:
            self.unlisted_host_names[name] = None
            return
        if name in self.pool.exchange.placed_calls_by_host:
            host.record_first_task(self.pool.loop.now())
            self.pool.task_leases.on_first_task(host)
        self.mark_changed(host)

    def _tick(self) -> None:
        self.pool.loop.call_in(TICK_MS, self._tick)
        now_ms = self.pool.loop.now()
        was_stalled = now_ms - self.last_tick_at_ms > STALL_MS
        self.last_tick_at_ms = now_ms
        if was_stalled:
            return  # after a stall, messages that hosts sent meanwhile are read first
        self.tick_count += 1
        self.pool.on_capacity_freed()  # the connection limiter may permit a connect by now
        self._add_unlisted_hosts(now_ms)
        if DueQueue.is_self_checking:
            self._check_skipped_hosts(now_ms)
        hosts_by_name = self.pool.registry.hosts_by_name
        for host in self.due_hosts.iterate_ready(now_ms):
            if hosts_by_name.get(host.name) is host:
                self._maintain_host(host, now_ms)
            if hosts_by_name.get(host.name) is host:
                self.due_hosts.put(host, self._next_maintenance_ms(host))
            else:
                self._forget_host(host)

    def _add_unlisted_hosts(self, now_ms: float) -> None:
        registry = self.pool.registry
        names = self.unlisted_host_names
        self.unlisted_host_names = {}
        for name in names:
            if name in registry.hosts_by_name:
                self.mark_changed(registry.hosts_by_name[name])
            elif name in self.pool.exchange.placed_calls_by_host:
                registry.add_host(name).record_removed(now_ms)

    def _maintain_host(self, host: Host, now_ms: float) -> None:
        """Does the work that is due at a host."""
        if host.name in self.pool.exchange.placed_calls_by_host:
            self._assess_host(host, now_ms)
        elif host.unsent_releases:
            self.pool.reconnect(host, Demand.ATTEMPT)
        self._close_unneeded(host, now_ms)
        self.pool.update_eviction_priorities(host)
        if not host.connections:
            self.pool.connected_hosts.discard(host)
        if not host.pending_releases:
            self.pool.releasing_hosts.discard(host)

    def _forget_host(self, host: Host) -> None:
        self.pool.connected_hosts.discard(host)
        self.pool.releasing_hosts.discard(host)
        self.due_hosts.put(host, NEVER)

    def _next_maintenance_ms(self, host: Host) -> float:
        """Returns when a host is due if it does not change before; a time in the past means the next tick.

        Each condition mirrors one of `_assess_host`, `reconnect`, `_close_unneeded` and
        `update_eviction_priorities`; `_check_skipped_hosts` verifies that.
        """
        has_placed_tasks = host.name in self.pool.exchange.placed_calls_by_host
        connections = host.connections
        due_ms = NEVER
        if has_placed_tasks:
            due_ms = host.next_assessment_ms(
                has_address=host.has_address,
                has_connection=bool(connections),
                quiet_limit_ms=quiet_limit_ms(self.pool.allocator_count),
            )
            due_ms = min(due_ms, host.restart_detector.verdict_due_ms)
            if host.reconnect_owed_since is not None:
                due_ms = -NEVER
        elif host.unsent_releases and host.has_address and not host.is_connecting:
            due_ms = host.next_connect_at_ms
        if host.is_removed and not has_placed_tasks and not host.has_open_attempts:
            due_ms = -NEVER
        for connection in connections:
            if connection.is_idle:
                due_ms = min(due_ms, self._idle_connection_due_ms(host, connection, has_placed_tasks))
        return due_ms

    def _idle_connection_due_ms(
        self, host: Host, connection: HostConnection, has_placed_tasks: bool
    ) -> float:
        due_ms = NEVER
        if connection.is_liveness_check:
            if not has_placed_tasks:
                return -NEVER
        else:
            if len(host.connections) > 1:
                due_ms = connection.last_used_at_ms + SURPLUS_IDLE_MS
            if not (has_placed_tasks and host.is_draining):
                due_ms = min(due_ms, connection.last_used_at_ms + self.pool.idle_ms)
        if self.pool.descriptors.priorities_by_holder.get(connection) is EvictionPriority.NEW_ONLY_CONNECTION:
            due_ms = min(due_ms, connection.connected_at_ms + host_connection.LIVENESS_CHECK_MS)
        return due_ms

    def _check_skipped_hosts(self, now_ms: float) -> None:
        """Verifies by checking every host that those which are not due need nothing. Tests enable this."""
        due_hosts = self.due_hosts.collect_ready(now_ms)
        priorities = self.pool.descriptors.priorities_by_holder
        for host in self.pool.registry.hosts_by_name.values():
            if host not in due_hosts:
                due_ms = self._next_maintenance_ms(host)
                assert due_ms > now_ms, (host.name, now_ms, due_ms, vars(host))
                for connection in host.connections:
                    priority = priorities.get(connection)
                    assert priority in (None, connection.eviction_priority()), (host.name, vars(connection))
            change = host.process_record.change
            is_checked = change is not None and not change.is_concluded
            assert is_checked or self.pool.task_leases.is_review_due_in_time(host), host.name
            assert host in self.pool.connected_hosts or not host.connections
            assert host in self.pool.releasing_hosts or not host.pending_releases

    def _assess_host(self, host: Host, now_ms: float) -> None:
        """Has the detectors assess a host with placed tasks, and takes the action they request."""
        restarted_at_ms = host.restart_detector.find_restart_ms(now_ms)
        if restarted_at_ms is not None:
            host.restart_detector.clear()
            placed_calls = self.pool.exchange.placed_calls_by_host[host.name]
            former_task_ids = [
                task_id
                for task_id, call in placed_calls.items()
                if find_evidence(call) is not None and find_connection_opened_ms(call) < restarted_at_ms
            ]
            self.pool.declare_tasks_lost(host, "it has started again while unreachable", former_task_ids)
            return
        assessment = host.assess(
            now_ms,
            has_address=host.has_address,
            has_connection=bool(host.connections),
            quiet_limit_ms=quiet_limit_ms(self.pool.allocator_count),
        )
        if assessment.action is DetectorAction.DECLARE_DEAD:
            self.pool.declare_tasks_lost(host, assessment.reason)
            return
        if assessment.action is DetectorAction.CONNECT_NOW:
            host.next_connect_at_ms = now_ms
        if assessment.action is not DetectorAction.NOTHING or host.reconnect_owed_since is not None:
            self.pool.reconnect(host)

    def _close_unneeded(self, host: Host, now_ms: float) -> None:
        """Closes unneeded connections, and removes a host that the machine list has removed."""
        has_placed_tasks = host.name in self.pool.exchange.placed_calls_by_host
        by_usefulness = sorted(
            host.connections, key=lambda other: (not other.is_unresponsive, other.last_used_at_ms)
        )
        for connection in by_usefulness:
            if connection.is_idle:
                self._close_if_unneeded(host, connection, now_ms, has_placed_tasks)
        if (
            host.is_removed
            and host.name not in self.pool.exchange.placed_calls_by_host
            and not host.has_open_attempts
        ):
            host.abort_connections("the host was removed")
            self.pool.registry.remove_host(host)

    def _close_if_unneeded(
        self, host: Host, connection: HostConnection, now_ms: float, has_placed_tasks: bool
    ) -> None:
        idle_ms = 0.0 if connection.is_liveness_check else now_ms - connection.last_used_at_ms
        if idle_ms > SURPLUS_IDLE_MS and self._has_other_healthy(host, connection, has_placed_tasks):
            connection.close_gracefully("another connection is open")
            if has_placed_tasks:
                # Now, since a host that begins to drain accepts no connection on which to send its releases.
                self.pool.reconnect(host)
        elif connection.is_liveness_check and not has_placed_tasks:
            connection.close_gracefully("the host has no placed task")
        elif idle_ms > self.pool.idle_ms and not has_placed_tasks:
            connection.close_gracefully("idle")
        elif idle_ms > self.pool.idle_ms and not host.is_draining:
            # Opens the next one first: the host may close this one while a release is in transit.
            self.pool.reconnect(host)

    def _has_other_healthy(
        self, host: Host, connection: HostConnection, must_reach_listed_process: bool
    ) -> bool:
        """Whether another connection can replace this one.

        One that has just opened may reach a new process of which the list has not told yet. The tasks of this
        connection would be taken for that one's, as the host's close of its half counts as an answer.
        """
        settled_until_ms = self.pool.channel.settled_until_ms
        return any(
            other is not connection
            and self.pool.is_healthy(other)
            and not (
                must_reach_listed_process and (host.is_removed or other.connected_at_ms > settled_until_ms)
            )
            for other in host.connections
        )

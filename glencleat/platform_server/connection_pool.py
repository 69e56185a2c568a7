"""The pool of connections to hosts: selects one for each attempt, opens them, and handles their loss.

The pool reports delivery outcomes to the exchange, which decides the outcomes of calls. A connection that
breaks proves nothing, and neither does a refusal by a draining host, which accepts no new connections while
its tasks run on; `failure_detector.py` has what does.

`host_registry.py` keeps the hosts, `host_maintenance.py` does the periodic work, `process_changes.py` ends
tasks of former processes, `connection_selection.py` chooses a connection, `pending_queue.py` holds attempts.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from random import Random
from typing import TYPE_CHECKING

from glencleat.descriptor_budget import Demand, DescriptorBudget
from glencleat.event_loop import Loop
from glencleat.flow_control.backoff import HOST_BACKOFF
from glencleat.flow_control.connection_limiter import ConnectionLimiter
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.delivery import DeliveryOutcome
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_protocol.setup_calls import SetupAttempt
from glencleat.platform_server import connection_selection
from glencleat.platform_server.host_connection import Host, HostConnection
from glencleat.platform_server.host_maintenance import HostMaintenance
from glencleat.platform_server.host_registry import HostRegistry
from glencleat.platform_server.host_releases import HostReleases
from glencleat.platform_server.incarnations import EventOrder
from glencleat.platform_server.pending_queue import PendingQueue
from glencleat.platform_server.process_changes import ProcessChanges, find_connection_opened_ms
from glencleat.platform_server.rate_limited_log import describe_task_ids
from glencleat.platform_server.release_acknowledger import ReleaseAcknowledger
from glencleat.platform_server.silent_connections import SilentConnectionCheck
from glencleat.platform_server.task_leases import TaskLeases

if TYPE_CHECKING:
    from glencleat.platform_protocol.command_channel import CommandChannel, ListChange
    from glencleat.platform_server.trace import Trace

MAX_CONNECTIONS_PER_HOST = 8
"""Each carries one open set-up while capacity permits, since one malformed message fails all that are open on
its connection."""

USABLE_IDLE_SHARE = 0.8
"""The part of a host's idle timeout for which a connection is used; at the full one the host closes it."""


class ConnectionPool:
    """The connections to all hosts. The code that assembles the process sets `exchange`."""

    def __init__(
        self,
        loop: Loop,
        channel: CommandChannel,
        descriptors: DescriptorBudget,
        connect_ms: float,
        idle_ms: float,
        random: Random,
        log: Callable[[str], None],
    ) -> None:
        """Starts without hosts and schedules the first tick.

        Args:
            loop: Runs the connections and provides the time.
            channel: Holds the current machine list.
            descriptors: The budget that connections take their descriptors from.
            connect_ms: The timeout of a connect.
            idle_ms: How long a host keeps an unused connection.
            random: Source of the jitter of waits between connects to a host.
            log: Writes a line to the log.
        """
        self.loop = loop
        self.channel = channel
        self.descriptors = descriptors
        self.log = log
        self.connect_ms = connect_ms
        self.idle_ms = USABLE_IDLE_SHARE * idle_ms
        self.random = random
        self.connection_limiter = ConnectionLimiter()
        self.allocator_count = 1  # allocators that use the same hosts, including this one
        self.warm_up_ms = 0.0  # how long a host is warming up after its start
        self.trace: Trace | None = None
        self.event_order = EventOrder()
        self.host_releases = HostReleases(self)
        self.task_leases = TaskLeases(self)
        self.silent_connections = SilentConnectionCheck(self)
        self.process_changes = ProcessChanges(self)
        self.registry = HostRegistry(loop, random, observer=self.process_changes)
        self.pending_queue = PendingQueue(loop, sender=self)
        self.connected_hosts: set[Host] = set()  # with connections; removed lazily
        self.releasing_hosts: set[Host] = set()  # with pending releases; removed lazily
        self.release_acknowledger = ReleaseAcknowledger(
            loop, lambda host, task_id: self.exchange.is_release_owed(host, task_id)
        )
        descriptors.on_capacity_freed = self.on_capacity_freed
        self.maintenance = HostMaintenance(self)

    @property
    def exchange(self) -> Exchange:
        """The exchange that the pool reports to."""
        return self._exchange

    @exchange.setter
    def exchange(self, exchange: Exchange) -> None:
        self._exchange = exchange
        exchange.on_placed_changed = self.maintenance.on_placed_tasks_changed
        exchange.on_task_handed_over = self.task_leases.on_task_handed_over
        exchange.is_process_known = self.registry.has_address

    @property
    def hosts_by_name(self) -> dict[str, Host]:
        """All known hosts, with or without a connection."""
        return self.registry.hosts_by_name

    @property
    def connection_count(self) -> int:
        """The number of connections that are open or being opened, without those that are closing."""
        return sum(len(host.connections) for host in self.connected_hosts)

    @property
    def has_unsent_releases(self) -> bool:
        """Whether releases wait for a connection to their host."""
        return any(host.unsent_releases for host in self.releasing_hosts)

    # ---- called by the exchange; see `ExchangePorts` ----

    def offer_attempt(self, attempt: SetupAttempt) -> None:
        """Sends an attempt to its host, at once or as soon as there is a connection."""
        host = self.registry.hosts_by_name.get(attempt.host)
        if host is None or not host.has_address:
            self.report_outcome(attempt, DeliveryOutcome.NOT_SENT)
        elif self._fails_fast(host):
            # A connect has just failed and the next is due soon: reports the same outcome without another
            # timeout.
            self.report_outcome(attempt, DeliveryOutcome.CONNECT_TIMEOUT)
        elif not self._send_to_host(host, attempt, may_connect=True) and not self.pending_queue.add(attempt):
            self.report_outcome(attempt, DeliveryOutcome.NOT_SENT)

    def _fails_fast(self, host: Host) -> bool:
        is_waiting = self.loop.now() < host.next_connect_at_ms and not host.is_connecting
        return is_waiting and host.is_silent(self.connect_ms)

    def cancel_attempt(self, attempt: SetupAttempt) -> DeliveryOutcome:
        """Cancels an attempt and returns what is known of its delivery."""
        connection: HostConnection | None = attempt.connection
        if connection is None:
            self.pending_queue.discard(attempt)
            return DeliveryOutcome.NOT_SENT
        return connection.cancel_attempt(attempt)

    def has_unread_bytes(self, attempt: SetupAttempt) -> bool:
        """Whether the connection that the attempt was sent on has unread data."""
        connection: HostConnection | None = attempt.connection
        return connection is not None and connection.stream is not None and connection.stream.is_readable

    def release_task(self, name: str, task: int) -> None:
        """Releases a placed task at its host, at once or as soon as the host can be reached."""
        self.host_releases.release_task(name, task)

    def request_load_report(self, name: str, token: int) -> bool:
        """Requests a load report of a host. False if no connection can carry the request."""
        host = self.registry.hosts_by_name.get(name)
        if host is None:
            return False
        for connection in host.connections:
            if connection.stream and self._is_fresh(connection):
                connection.write(m.encode_with_cause(m.PROBE, token, 1))
                return True
        return False

    def apply_list_change(self, change: ListChange) -> None:
        """Applies a snapshot or a delta of the machine list."""
        self.registry.apply_list_change(change)

    # ---- called by the pending queue; see `AttemptSender` ----

    def has_destination(self, attempt: SetupAttempt) -> bool:
        """See `AttemptSender`."""
        host = self.registry.hosts_by_name.get(attempt.host)
        return host is not None and host.has_address

    def send_attempt(self, attempt: SetupAttempt, *, may_connect: bool) -> bool:
        """See `AttemptSender`."""
        return self._send_to_host(self.registry.hosts_by_name[attempt.host], attempt, may_connect=may_connect)

    def fail_attempt(self, attempt: SetupAttempt) -> None:
        """See `AttemptSender`."""
        self.exchange.on_attempt_failed(attempt, DeliveryOutcome.NOT_SENT)

    def on_capacity_freed(self) -> None:
        """A descriptor was freed, one has a lower eviction priority, or a connect has ended."""
        self.pending_queue.schedule_service()

    # ---- selecting the connection of an attempt ----

    def _send_to_host(self, host: Host, attempt: SetupAttempt, *, may_connect: bool) -> bool:
        task = attempt.call.setup.task_id
        connection = self._select_connection(host, task, may_connect=may_connect)
        while connection is not None and connection.detect_close_by_host():
            connection = self._select_connection(host, task, may_connect=may_connect)
        if connection is None:
            return False
        connection.add_attempt(attempt)
        self.descriptors.update_priority(connection)
        return True

    def _select_connection(self, host: Host, task: int, *, may_connect: bool) -> HostConnection | None:
        """Returns an idle connection, else a new one, else the one with fewest attempts, else None."""
        usable = connection_selection.list_usable(
            host,
            task,
            is_silent=host.is_silent(self.connect_ms),
            now_ms=self.loop.now(),
            idle_ms=self.idle_ms,
        )
        idle = connection_selection.select_idle(usable)
        if idle is not None:
            return idle
        if not usable:
            return (
                self._open_connection(host) if may_connect and self._ensure_capacity(Demand.ATTEMPT) else None
            )
        is_below_limit = len(host.connections) < MAX_CONNECTIONS_PER_HOST
        may_open_another = is_below_limit and not self.connection_limiter.is_saturated(host.address)
        if may_open_another and may_connect and self._ensure_capacity(Demand.EXTRA):
            return self._open_connection(host)
        return min(usable, key=lambda connection: connection.open_attempt_count)

    def _is_fresh(self, connection: HostConnection) -> bool:
        return connection_selection.is_fresh(connection, self.loop.now(), self.idle_ms)

    def is_healthy(self, connection: HostConnection) -> bool:
        """Whether it is open and may be used."""
        return connection_selection.is_healthy(connection, self.loop.now(), self.idle_ms)

    # ---- opening connections ----

    def _ensure_capacity(self, demand: Demand) -> bool:
        """Whether the connection limiter and the descriptor budget permit a connect, after any eviction."""
        is_liveness_check = demand is Demand.LIVENESS_CHECK
        is_permitted = self.connection_limiter.may_connect(
            self.loop.now(), host_count=len(self.registry.hosts_by_name), is_liveness_check=is_liveness_check
        )
        return is_permitted and self.descriptors.ensure_capacity(demand)

    def _open_connection(self, host: Host, *, is_liveness_check: bool = False) -> HostConnection:
        connection = HostConnection(self, host, is_liveness_check=is_liveness_check)
        host.connections[connection] = None
        self.connected_hosts.add(host)
        self.descriptors.add_holder(connection)
        return connection

    def reconnect(self, host: Host, demand: Demand = Demand.LIVENESS_CHECK) -> None:
        """Opens a further connection, unless one is being opened or the backoff has not expired."""
        if host.is_connecting or not host.has_address or self.loop.now() < host.next_connect_at_ms:
            return
        # Retired first, so that its descriptor can serve the next one if no other is free.
        self._retire_liveness_checks(host)
        if self._ensure_capacity(demand):
            self._open_connection(host, is_liveness_check=bool(host.connections))

    def _retire_liveness_checks(self, host: Host) -> None:
        """Closes the previous liveness check just before the next is opened, if another connection remains.

        A release that the close cuts off is sent again on the next connection. If that were opened later, a
        host that begins to drain in between would not accept it, and the release would never arrive.
        """
        if host.is_draining:
            return
        checks = [other for other in host.connections if other.is_liveness_check and other.is_idle]
        for check in checks:
            if any(not other.is_liveness_check and self.is_healthy(other) for other in host.connections):
                check.close_gracefully("a newer liveness check is opened")
            else:
                check.is_liveness_check = False
                self.mark_changed(host)

    # ---- called by connections; see `ConnectionPoolPort` ----

    def report_outcome(self, attempt: SetupAttempt, outcome: DeliveryOutcome) -> None:
        """Reports a failed attempt to the exchange, after the exchange's current operation."""
        self.loop.call_in(0.0, lambda: self.exchange.on_attempt_failed(attempt, outcome))

    def is_warming_up(self, host: Host) -> bool:
        """Whether the host is warming up, by the machine list."""
        entry = self.channel.hosts_by_name.get(host.name)
        ready_at_ms = entry.machine.ready_at_ms if entry is not None else None
        return ready_at_ms is not None and self.loop.now() < ready_at_ms + self.warm_up_ms

    def on_connected(self, host: Host, connection: HostConnection) -> None:
        """A connection has opened: sends the waiting releases on it."""
        # As its evidence has it: the tasks that are placed on it are not those of the former process.
        for older in host.restart_detector.record_reconnected(connection.evidence.opened_at_ms):
            older.send_health_check()
        host.settle_reconnect(connection.evidence.began_moment)
        self.process_changes.on_connected(host, connection)
        self.silent_connections.on_connected(host)
        self._record_reachable(host)
        host.record_connected(self.loop.now())
        self.on_host_heard(host)
        self.host_releases.on_connected(host, connection)
        self.update_eviction_priorities(host)
        self.on_capacity_freed()

    def _record_reachable(self, host: Host) -> None:
        failing_since_ms = host.failing_since_ms
        was_failing = failing_since_ms <= self.loop.now()
        host.process_record.reachability.record_opened(self.loop.now(), is_after_failure=was_failing)
        self.task_leases.on_connections_changed(host)
        if was_failing:
            self.task_leases.on_reachable_again(host, failing_since_ms)

    def on_answer(self, host: Host, connection: HostConnection, sent_moment: int) -> None:
        """The host has answered what was sent on the connection at `sent_moment`."""
        self.process_changes.on_answer(host, connection, sent_moment)

    def on_connection_ended(self, host: Host, connection: HostConnection) -> None:
        """A connection has ended for any reason, or could not be opened."""
        self.process_changes.on_connection_ended(host, connection)

    def on_connect_failed(self, host: Host, *, refused: bool) -> None:
        """A connect failed for a reason other than a lack of descriptors."""
        now_ms = self.loop.now()
        if host.failing_since_ms > now_ms:
            failure = f"connection {'refused' if refused else 'timed out'}, {len(host.connections)} others"
            self.log(f"host {host.name}: {failure}, last data {now_ms - host.last_heard_at_ms:.0f} ms ago")
        host.record_connect_failure(now_ms, refused=refused, disconnected=host.is_disconnected)
        self.task_leases.on_connect_failed(host)
        if host.is_disconnected:
            self.process_changes.record_loss(host)
        host.next_connect_at_ms = now_ms + host.backoff.next_delay_ms()
        if host.is_unreachable(self.connect_ms, disconnected=host.is_disconnected):
            host.is_reported_unreachable = True
            self.exchange.on_reachability_changed(host.name, is_reachable=False)
            if not host.is_refusing and host.name in self.exchange.placed_calls_by_host:
                fresh = [other for other in host.connections if other.is_open and self._is_fresh(other)]
                host.restart_detector.begin_outage(host.last_heard_at_ms, fresh)
        self.on_capacity_freed()

    def on_host_heard(self, host: Host) -> None:
        """Data was received from the host, or a connection to it has opened."""
        if host.is_reported_unreachable:
            host.is_reported_unreachable = False
            self.exchange.on_reachability_changed(host.name, is_reachable=True)

    def record_task_message(self, host: Host, task_id: int) -> None:
        """The host reports on a task, which may be one that is placed there."""
        call = self.exchange.placed_calls_by_host.get(host.name, {}).get(task_id)
        if call is not None:
            host.restart_detector.record_task_message(find_connection_opened_ms(call))

    def on_connection_lost(self, host: Host, connection: HostConnection, reason: str) -> None:
        """A connection that the pool was not closing has ended.

        A release in transit is sent again on the next connection, so one is opened as soon as it may be.
        """
        now_ms = self.loop.now()
        has_process_ended = host.record_connection_lost(
            now_ms,
            idle=now_ms - connection.last_used_at_ms > self.idle_ms,
            disconnected=host.is_disconnected,
        )
        if host.is_disconnected:
            self.process_changes.on_disconnected(host)
        if has_process_ended:
            host.next_connect_at_ms = now_ms  # earlier refusals, such as while draining, no longer count
        lifetime_ms = now_ms - connection.connected_at_ms
        if lifetime_ms < HOST_BACKOFF.reset_after_ms:
            # Without it, a host that accepts connections and closes them at once is retried on every loop
            # round.
            host.next_connect_at_ms = now_ms + host.backoff.next_delay_ms(lifetime_ms)
        if placed_calls := self.exchange.placed_calls_by_host.get(host.name):
            remaining = f"{len(placed_calls)} tasks placed, {host.describe_connections()}"
            self.log(f"host {host.name}: connection lost, {reason}; {remaining}")
            host.reconnect_owed_since = self.event_order.next_moment()
            self.reconnect(host)

    def mark_changed(self, host: Host) -> None:
        """Records a change that may bring forward the time at which the host is due."""
        self.maintenance.mark_changed(host)

    def acknowledge_release(self, connection: HostConnection, task_id: int) -> None:
        """Acknowledges a release that came on the connection, at once or once a client connection has it."""
        self.release_acknowledger.handle_release(connection, task_id)

    # ---- called by the registry and the maintenance ----

    def declare_tasks_lost(self, host: Host, reason: str, task_ids: Collection[int] | None = None) -> None:
        """Reports as lost the tasks that are placed on the host, or those of them that are named."""
        ended_ids = self.exchange.declare_tasks_lost(host.name, task_ids)
        if ended_ids:
            self.log(
                f"host {host.name}: {len(ended_ids)} tasks lost, {reason}: {describe_task_ids(ended_ids)}"
            )

    def update_eviction_priorities(self, host: Host) -> None:
        """Refiles a host's connections in the descriptor budget by their current eviction priority."""
        for connection in list(host.connections):
            self.descriptors.update_priority(connection)

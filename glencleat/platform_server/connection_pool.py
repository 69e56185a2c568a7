"""All connections to hosts: which one an attempt goes by, which are opened and what their ends mean.

The pool reports facts to the exchange and decides no outcome of a call. A host's process is taken to have
ended by one of: connections refused for some time while none is open; none that came up for a longer time; no
unsolicited message on an open connection for as long, while new ones are refused; a refusal once the machine
list says that the host is removed; a later start of its process in the list; another host at its address.
A connection that breaks proves nothing, and neither does a refusal by a draining host: it takes no new
connections while its tasks run on.

`host_registry.py` knows the hosts, `host_maintenance.py` does the periodic work, `pending_queue.py` holds the
attempts that wait for a connection.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from glencleat.descriptor_budget import Demand, DescriptorBudget
from glencleat.event_loop import Loop
from glencleat.flow_control.backoff import HOST_BACKOFF
from glencleat.flow_control.connection_limiter import ConnectionLimiter
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.delivery import DeliveryOutcome
from glencleat.platform_protocol.exchange import Exchange, SetupAttempt
from glencleat.platform_server.failure_detector import NEVER
from glencleat.platform_server.host_connection import Host, HostConnection
from glencleat.platform_server.host_maintenance import HostMaintenance
from glencleat.platform_server.host_registry import HostRegistry
from glencleat.platform_server.pending_queue import PendingQueue

if TYPE_CHECKING:
    from glencleat.platform_protocol.command_channel import CommandChannel, ListChange
    from glencleat.platform_server.trace import Trace

MAX_CONNECTIONS_PER_HOST = 8
"""One set-up each where there is room, since one bad byte costs all that is open on its connection."""

MAX_PENDING_RELEASES = 1_000
"""Releases that wait for one host."""

USABLE_IDLE_SHARE = 0.8
"""The share of a host's idle time-out up to which a connection is used: at the whole the host closes it."""


class ConnectionPool:
    """All connections to hosts. `exchange` is set by whoever assembles the process."""

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
        """Starts without a host and schedules the first tick.

        Args:
            loop: Runs the connections and tells the time.
            channel: The machine list as it is known.
            descriptors: The budget that connections take their descriptors from.
            connect_ms: The time-out of a connect.
            idle_ms: How long a host keeps an unused connection.
            random: Draws the waits between connects to a host.
            log: Takes a line of text.
        """
        self.loop = loop
        self.channel = channel
        self.descriptors = descriptors
        self.log = log
        self.connect_ms = connect_ms
        self.idle_ms = USABLE_IDLE_SHARE * idle_ms
        self.random = random
        self.connection_limiter = ConnectionLimiter()
        self.allocator_count = 1  # that watch the same hosts, this one included
        self.warm_up_ms = 0.0  # after its start a host is warming up for so long
        self.trace: Trace | None = None
        self.registry = HostRegistry(loop, channel, random, observer=self)
        self.pending_queue = PendingQueue(loop, sender=self)
        self.connected_hosts: set[Host] = set()  # those with connections, and some that have had
        self.releasing_hosts: set[Host] = set()  # those with pending releases, and some that have had
        descriptors.on_capacity_freed = self.on_capacity_freed
        self.maintenance = HostMaintenance(self)

    @property
    def exchange(self) -> Exchange:
        """Whom the pool reports to."""
        return self._exchange

    @exchange.setter
    def exchange(self, exchange: Exchange) -> None:
        self._exchange = exchange
        exchange.on_placed_changed = self.maintenance.on_standing_changed

    @property
    def hosts_by_name(self) -> dict[str, Host]:
        """The hosts that are known, with or without a connection."""
        return self.registry.hosts_by_name

    @property
    def connection_count(self) -> int:
        """Connections that are up or coming up, without those that we have begun to close."""
        return sum(len(host.connections) for host in self.connected_hosts)

    @property
    def has_unsent_releases(self) -> bool:
        """Releases wait for a connection to their host."""
        return any(host.unsent_releases for host in self.releasing_hosts)

    # ---- requests of the exchange; see `ExchangePorts` ----

    def offer_attempt(self, attempt: SetupAttempt) -> None:
        """Sends an attempt to its host, at once or as soon as there is a connection."""
        host = self.registry.hosts_by_name.get(attempt.host)
        if host is None or not host.has_address:
            self.report_outcome(attempt, DeliveryOutcome.NOT_SENT)
        elif self._fails_fast(host):
            # A connect has just failed, the next is due soon: the same answer, a connect's time earlier.
            self.report_outcome(attempt, DeliveryOutcome.CONNECT_TIMEOUT)
        elif not self._send_to_host(host, attempt, may_connect=True) and not self.pending_queue.add(attempt):
            self.report_outcome(attempt, DeliveryOutcome.NOT_SENT)

    def _fails_fast(self, host: Host) -> bool:
        is_waiting = self.loop.now() < host.next_connect_at_ms and not host.is_connecting
        return is_waiting and host.is_silent(self.connect_ms)

    def cancel_attempt(self, attempt: SetupAttempt) -> DeliveryOutcome:
        """Takes back an attempt and returns what is known of its delivery."""
        connection: HostConnection | None = attempt.connection
        if connection is None:
            self.pending_queue.discard(attempt)
            return DeliveryOutcome.NOT_SENT
        return connection.cancel_attempt(attempt)

    def has_unread_bytes(self, attempt: SetupAttempt) -> bool:
        """Whether something that has not been read came on the connection that the attempt went by."""
        connection: HostConnection | None = attempt.connection
        return connection is not None and connection.stream is not None and connection.stream.is_readable

    def release_task(self, name: str, task: int) -> None:
        """Releases a standing task at its host, at once or as soon as the host can be reached."""
        host = self.registry.hosts_by_name.get(name)
        if host is None:
            return
        connection = next((other for other in host.connections if self.is_healthy(other)), None)
        if len(host.pending_releases) < MAX_PENDING_RELEASES:
            host.pending_releases[task] = None
            self.releasing_hosts.add(host)
            self.mark_changed(host)
        if connection is not None:
            self._write_release(host, connection, task)
        else:
            self.reconnect(host, Demand.ATTEMPT)

    @staticmethod
    def _write_release(host: Host, connection: HostConnection, task: int) -> None:
        """Writes a release. It stays pending until acknowledged: the connection may break with it unread."""
        if task in host.pending_releases:
            host.pending_releases[task] = connection
        connection.write(m.encode_with_cause(m.RELEASE, task, m.ENDED))

    def request_load_report(self, name: str, token: int) -> bool:
        """Asks a host for its load report. False if there is no connection to ask on."""
        host = self.registry.hosts_by_name.get(name)
        if host is None:
            return False
        for connection in host.connections:
            if connection.stream and self._is_fresh(connection):
                connection.write(m.encode_with_cause(m.PROBE, token, 1))
                return True
        return False

    def apply_list_change(self, change: ListChange) -> None:
        """Takes in a snapshot or a delta of the machine list."""
        self.registry.apply_list_change(change)

    # ---- requests of the pending queue ----

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
        """A descriptor is free or worth less than before, or a connect has ended."""
        self.pending_queue.schedule_service()

    # ---- which connection an attempt goes by ----

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
        """An idle connection if there is one, else a new one, else that with fewest attempts, else none."""
        is_silent = host.is_silent(self.connect_ms)
        usable = [
            connection
            for connection in host.connections
            if not (connection.is_unresponsive or connection.is_closed_by_host)
            and task not in connection.cancelled_task_ids
            and self._is_fresh(connection)
            # Nothing queues behind the unsent bytes of others.
            and not (connection.stream is not None and (is_silent or connection.stream.send_buffer))
        ]
        idle = [connection for connection in usable if not connection.open_attempt_count]
        if idle:
            return max(
                idle,
                key=lambda other: (
                    other.stream is not None,
                    not other.is_liveness_check,
                    other.last_used_at_ms,
                ),
            )
        if not usable:
            return self._open_connection(host) if may_connect and self._make_room(Demand.ATTEMPT) else None
        has_room = len(host.connections) < MAX_CONNECTIONS_PER_HOST
        may_open_another = has_room and not self.connection_limiter.is_saturated(host.address)
        if may_open_another and may_connect and self._make_room(Demand.EXTRA):
            return self._open_connection(host)
        return min(usable, key=lambda connection: connection.open_attempt_count)

    def _is_fresh(self, connection: HostConnection) -> bool:
        """Whether it is not closed, and not idle for so long that the host may close it as we write."""
        is_recent = self.loop.now() - connection.last_used_at_ms < self.idle_ms
        return connection.stream is None or (connection.stream.close_reason is None and is_recent)

    def is_healthy(self, connection: HostConnection) -> bool:
        """Whether it is up and may be used."""
        if connection.stream is None or connection.is_unresponsive or connection.is_closed_by_host:
            return False
        return self._is_fresh(connection)

    # ---- opening connections ----

    def _make_room(self, demand: Demand) -> bool:
        """Whether a connection may be opened now, by the limiter and by descriptors; makes room for it."""
        is_look = demand is Demand.LIVENESS_CHECK
        is_permitted = self.connection_limiter.may_connect(
            self.loop.now(), host_count=len(self.registry.hosts_by_name), is_liveness_check=is_look
        )
        return is_permitted and self.descriptors.ensure_capacity(demand)

    def _open_connection(self, host: Host, *, is_liveness_check: bool = False) -> HostConnection:
        connection = HostConnection(self, host, is_liveness_check=is_liveness_check)
        host.connections[connection] = None
        self.connected_hosts.add(host)
        self.descriptors.add_holder(connection)
        return connection

    def reconnect(self, host: Host, demand: Demand = Demand.LIVENESS_CHECK) -> None:
        """Opens a further connection, unless one is coming up or it is too early."""
        if host.is_connecting or not host.has_address or self.loop.now() < host.next_connect_at_ms:
            return
        # First: where nothing is free the descriptor of one liveness check serves the next.
        self._retire_liveness_checks(host)
        if self._make_room(demand):
            self._open_connection(host, is_liveness_check=bool(host.connections))

    def _retire_liveness_checks(self, host: Host) -> None:
        """Ends the last liveness check, just before the next is opened, and keeps what carries set-ups.

        A release that is cut off by that comes again on the next connection opened. Were that later, a host
        that begins to drain meanwhile would take none, and its release would never come.
        """
        if host.is_draining:
            return
        checks = [other for other in host.connections if other.is_liveness_check and other.is_idle]
        for check in checks:
            if any(not other.is_liveness_check and self.is_healthy(other) for other in host.connections):
                check.close_gracefully("a newer one is opened")
            else:
                check.is_liveness_check = False
                self.mark_changed(host)

    # ---- reports of connections; see `ConnectionPoolPort` ----

    def report_outcome(self, attempt: SetupAttempt, outcome: DeliveryOutcome) -> None:
        """Reports a failure to the exchange, once it has finished offering the attempt."""
        self.loop.call_in(0.0, lambda: self.exchange.on_attempt_failed(attempt, outcome))

    def is_warming_up(self, host: Host) -> bool:
        """Whether the host started a short time ago, by the machine list."""
        entry = self.channel.hosts_by_name.get(host.name)
        ready_at_ms = entry.machine.ready_at_ms if entry is not None else None
        return ready_at_ms is not None and self.loop.now() < ready_at_ms + self.warm_up_ms

    def on_connected(self, host: Host, connection: HostConnection) -> None:
        """A connection has come up: it carries the releases that wait."""
        host.record_connected(self.loop.now())
        self.on_host_heard(host)
        for task in host.unsent_releases:
            self._write_release(host, connection, task)
        self.update_eviction_priorities(host)
        self.on_capacity_freed()

    def on_connect_failed(self, host: Host, *, refused: bool) -> None:
        """A connect failed, for a reason other than a want of descriptors."""
        now_ms = self.loop.now()
        if host.failing_since_ms > now_ms:
            quiet_ms = now_ms - host.last_heard_at_ms
            how = "refused" if refused else "not up in time"
            self.log(
                f"host {host.name}: connection {how}, {len(host.connections)} others,"
                f" heard {quiet_ms:.0f} ms ago"
            )
        host.record_connect_failure(now_ms, refused=refused, disconnected=host.is_disconnected)
        host.next_connect_at_ms = now_ms + host.backoff.next_delay_ms()
        if host.is_unreachable(self.connect_ms, disconnected=host.is_disconnected):
            host.is_reported_unreachable = True
            self.exchange.on_reachability_changed(host.name, is_reachable=False)
        self.on_capacity_freed()

    def on_host_heard(self, host: Host) -> None:
        """The host was heard, or a connection to it came up."""
        if host.is_reported_unreachable:
            host.is_reported_unreachable = False
            self.exchange.on_reachability_changed(host.name, is_reachable=True)

    def on_connection_lost(self, host: Host, connection: HostConnection, reason: str) -> None:
        """A connection that we had not begun to close has ended.

        A release that was on its way comes again on the next connection opened, so one is opened at once.
        """
        now_ms = self.loop.now()
        has_process_ended = host.record_connection_lost(
            now_ms,
            idle=now_ms - connection.last_used_at_ms > self.idle_ms,
            disconnected=host.is_disconnected,
        )
        if has_process_ended:
            host.next_connect_at_ms = now_ms  # earlier refusals, as of a draining host, say nothing of this
        lifetime_ms = now_ms - connection.connected_at_ms
        if lifetime_ms < HOST_BACKOFF.reset_after_ms:
            # A host that takes connections and ends them at once would be asked as fast as the loop runs.
            host.next_connect_at_ms = now_ms + host.backoff.next_delay_ms(lifetime_ms)
        if standing := self.exchange.placed_calls_by_host.get(host.name):
            left = f"{len(standing)} tasks stand, {len(host.connections)} links left"
            self.log(f"host {host.name}: link ended, {reason}; {left}")
            self.reconnect(host)

    def mark_changed(self, host: Host) -> None:
        """Something has happened that may bring forward the time at which the host is due."""
        self.maintenance.mark_changed(host)

    # ---- requests of the registry and the maintenance ----

    def declare_tasks_lost(self, host: Host, reason: str, before_ms: float = NEVER) -> None:
        """The tasks at the host that began to stand before `before_ms`, in the loop's time, have ended."""
        ended_count = self.exchange.declare_tasks_lost(host.name, before_ms)
        if ended_count:
            self.log(f"host {host.name}: {ended_count} tasks over, {reason}")

    def update_eviction_priorities(self, host: Host) -> None:
        """Files a host's connections in the descriptor budget by what they are worth now."""
        for connection in list(host.connections):
            self.descriptors.update_priority(connection)

"""Until when a placed task may stand without evidence that its process runs.

Every placed task has either evidence or a due time: a lease, which only evidence about the task's own process
renews. A task whose lease expires is released to its client, and released at its host too, since it may run
after all. `TaskLeases.compute_due_ms` is the only place that decides it:

    task                                                          stands until
    an open connection reaches its process                        there is none
    its host's only connection was evicted                        a connection opens
    no connection reaches its process any more                    LEASE_MS after the last sign of it
    its client handed it over, and its host has not reported it   LEASE_MS after that
    the list tells of another process since                       LEASE_MS after the last sign of its own

A report on the task renews the lease: it names a connection to the task's process. So does the machine list
as long as it is confirmed and has not told of another process: it then shows that the process ran
LIST_SETTLE_MS before. Once that holds for MAX_LIST_DELAY_MS, and a connection has been open for as long, that
connection reaches the task's process. A later connection, an answer on one, or reports on other tasks renew
nothing: they may come from a new process at the same address.

`ProcessChanges` ends tasks earlier where connections show in which process they ran, and the failure detector
where a host can't be reached.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from typing import Protocol

from glencleat.event_loop import Loop
from glencleat.platform_protocol.command_channel import LIST_SETTLE_MS, MAX_LIST_DELAY_MS, CommandChannel
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_protocol.setup_calls import SetupCall
from glencleat.platform_server.failure_detector import NEVER, UNREACHABLE_MS
from glencleat.platform_server.host_connection import Host, HostConnection
from glencleat.platform_server.host_registry import HostRegistry
from glencleat.platform_server.incarnations import ConnectionEvidence, EventOrder

LEASE_MS = UNREACHABLE_MS
"""How long a task stands after the last sign of its process: a release is due 8 s after a task's end."""

RECONNECT_MS = 2_000.0
"""The shortest lease after the loss of a connection, unless the list tells of another process: the next
connection may bring a report."""

REVIEW_INTERVAL_MS = 50.0
"""The shortest time between two reviews of a host, so that leases that expire one by one share them."""

UNLISTED_REVIEW_MS = 500.0
"""The time between two reviews of a host whose address is not known."""


class TaskLeasePort(Protocol):
    """What is needed of the connection pool."""

    loop: Loop
    event_order: EventOrder
    channel: CommandChannel
    registry: HostRegistry
    log: Callable[[str], None]

    @property
    def exchange(self) -> Exchange:
        """Keeps the placed tasks of each host."""

    def mark_changed(self, host: Host) -> None:
        """The host may need maintenance earlier than planned."""

    def declare_tasks_lost(self, host: Host, reason: str, task_ids: Collection[int] | None = None) -> None:
        """The tasks that are placed on the host, or those of them that are named, have ended."""

    def release_task(self, name: str, task: int) -> None:
        """Releases a task at its host, at once or as soon as the host can be reached."""


def find_connection(call: SetupCall) -> HostConnection | None:
    """Returns the connection that reaches, or last reached, a placed task's process; None without one."""
    return call.attempt.connection if call.attempt is not None else None


def find_evidence(call: SetupCall) -> ConnectionEvidence | None:
    """Returns the evidence of that connection; None if none is known."""
    connection = find_connection(call)
    return connection.evidence if connection is not None else None


class TaskLeases:
    """The leases of all placed tasks. They follow from the evidence; only the times of reviews are kept."""

    def __init__(self, pool: TaskLeasePort) -> None:
        """Starts without a review."""
        self.pool = pool
        self.review_times_by_host: dict[str, float] = {}  # the next review of each host with leases
        self.renewed_count = self.expired_count = 0

    # ---- called by the pool and its parts ----

    def on_task_handed_over(self, host_name: str) -> None:
        """A client has named a task that runs on the host; the host may not be known yet.

        The host may have sent the task's release already: it does so again on the next connection.
        """
        is_listed = self.pool.registry.has_address(host_name)
        self._schedule(host_name, self.pool.loop.now() + (LEASE_MS if is_listed else UNLISTED_REVIEW_MS))
        host = self.pool.registry.hosts_by_name.get(host_name)
        if host is not None and host.connections and not host.is_draining:
            host.reconnect_owed_since = self.pool.event_order.next_moment()
            self.pool.mark_changed(host)

    def on_connections_changed(self, host: Host) -> None:
        """A connection has opened or ended, or the list has removed the host: reviews it soon."""
        # The host may report on the tasks of any name on the connections of each.
        for name in {host.name, *self.pool.registry.list_names_at(host.address)}:
            if name in self.pool.exchange.placed_calls_by_host:
                self._schedule(name, self.pool.loop.now() + REVIEW_INTERVAL_MS)

    def review(self, host_name: str) -> None:
        """Ends the tasks whose lease has expired, and schedules the next review of the host."""
        host = self.pool.registry.hosts_by_name.get(host_name)
        if host is None:
            if host_name in self.pool.exchange.placed_calls_by_host:
                self._schedule(host_name, self.pool.loop.now() + REVIEW_INTERVAL_MS)
            return
        self._settle_tasks(host)
        now_ms = self.pool.loop.now()
        expired: list[SetupCall] = []
        next_due_ms = NEVER
        for call, due_ms in self.iterate_leases(host):
            if due_ms <= now_ms:
                expired.append(call)
            else:
                next_due_ms = min(next_due_ms, due_ms)
        if not host.has_address and host_name in self.pool.exchange.placed_calls_by_host:
            # The ends of connections that were opened by other names concern its tasks.
            next_due_ms = min(next_due_ms, now_ms + UNLISTED_REVIEW_MS)
        if next_due_ms < NEVER:
            self._schedule(host_name, max(next_due_ms, now_ms + REVIEW_INTERVAL_MS))
        if expired:
            self._expire(host, expired)

    def describe(self) -> str:
        """Returns the state of the leases for the log."""
        registry, now_ms = self.pool.registry, self.pool.loop.now()
        hosts = [
            registry.hosts_by_name[name]
            for name in self.review_times_by_host
            if name in registry.hosts_by_name
        ]
        due_times_ms = [due_ms for host in hosts for _, due_ms in self.iterate_leases(host)]
        next_due = f", the next due in {min(due_times_ms) - now_ms:.0f} ms" if due_times_ms else ""
        return (
            f"leases: {len(due_times_ms)} tasks stand without evidence of their process{next_due};"
            f" renewed by the list {self.renewed_count} expired {self.expired_count},"
            f" list confirmed {now_ms - self.pool.channel.confirmed_at_ms:.0f} ms ago"
        )

    # ---- the lease of one task ----

    def iterate_leases(self, host: Host) -> Iterator[tuple[SetupCall, float]]:
        """Yields the tasks of a host that have a lease, each with its due time."""
        for call in list(self.pool.exchange.placed_calls_by_host.get(host.name, {}).values()):
            due_ms = self.compute_due_ms(host, call)
            if due_ms < NEVER:
                yield call, due_ms

    def compute_due_ms(self, host: Host, call: SetupCall) -> float:
        """Returns until when a placed task stands; NEVER if there is evidence that its process runs."""
        evidence = find_evidence(call)
        is_listed = self._is_process_listed(host, call)
        if evidence is not None:
            incarnation = evidence.incarnation.find_representative()
            is_evicted = host.is_connection_evicted and not incarnation.is_end_suspected
            if incarnation.open_count or (is_listed and is_evicted):
                return NEVER
        last_sign_ms = self._compute_last_sign_ms(host, call, is_listed=is_listed)
        if is_listed:
            last_sign_ms = max(last_sign_ms, self.pool.channel.confirmed_at_ms - LIST_SETTLE_MS)
        return last_sign_ms + LEASE_MS

    @staticmethod
    def _is_process_listed(host: Host, call: SetupCall) -> bool:
        """Whether the list names the task's process, and has told of no other one since it was reached."""
        if host.is_removed or not host.has_address:
            return False
        evidence, record = find_evidence(call), host.process_record
        if evidence is None:
            return call.placed_at_ms >= record.doubted_until_ms
        change = record.change
        if change is None:
            return True
        answered_moment = evidence.incarnation.find_representative().answered_moment
        return change.announced_moment < max(evidence.began_moment, answered_moment)

    @staticmethod
    def _compute_last_sign_ms(host: Host, call: SetupCall, *, is_listed: bool) -> float:
        """Returns when the process of a task with a lease is last known to have run, without the list."""
        evidence = find_evidence(call)
        if evidence is None:
            return call.placed_at_ms
        incarnation = evidence.incarnation.find_representative()
        sign_ms = incarnation.last_sign_at_ms
        if is_listed:
            lost_at_ms = max(incarnation.lost_at_ms, host.process_record.evicted_until_ms)
            sign_ms = max(sign_ms, lost_at_ms + RECONNECT_MS - LEASE_MS)
        return max(call.reported_at_ms, sign_ms)

    def _settle_tasks(self, host: Host) -> None:
        """Assigns tasks to a connection that reaches their process, as the list has told of no other one."""
        settled_until_ms = self.pool.channel.confirmed_at_ms - MAX_LIST_DELAY_MS
        connection = self._find_connection_open_since(host, settled_until_ms)
        if connection is None:
            return
        for call, _ in self.iterate_leases(host):
            if call.attempt is None or not self._is_process_listed(host, call):
                continue
            if self._compute_last_sign_ms(host, call, is_listed=True) <= settled_until_ms:
                call.attempt.connection = connection
                self.renewed_count += 1

    @staticmethod
    def _find_connection_open_since(host: Host, at_ms: float) -> HostConnection | None:
        for connection in host.connections:
            is_in_use = connection.is_open and not connection.is_unconfirmed
            if is_in_use and connection.evidence.opened_at_ms <= at_ms:
                return connection
        return None

    # ---- reviews ----

    def is_review_due_in_time(self, host: Host) -> bool:
        """Whether the host is reviewed before any of its tasks' leases expires. For self-checks."""
        review_at_ms = self.review_times_by_host.get(host.name, NEVER)
        latest_ms = self.pool.loop.now() + REVIEW_INTERVAL_MS
        return all(review_at_ms <= max(due_ms, latest_ms) for _, due_ms in self.iterate_leases(host))

    def _schedule(self, host_name: str, at_ms: float) -> None:
        if self.review_times_by_host.get(host_name, NEVER) <= at_ms:
            return
        self.review_times_by_host[host_name] = at_ms
        self.pool.loop.call_in(at_ms - self.pool.loop.now(), lambda: self._run_review(host_name, at_ms))

    def _run_review(self, host_name: str, at_ms: float) -> None:
        if self.review_times_by_host.get(host_name) == at_ms:  # else an earlier one has replaced it
            del self.review_times_by_host[host_name]
            self.review(host_name)

    def _expire(self, host: Host, calls: list[SetupCall]) -> None:
        self.expired_count += len(calls)
        list_age_ms = self.pool.loop.now() - self.pool.channel.confirmed_at_ms
        self.pool.log(
            f"host {host.name}: {len(calls)} leases expired;"
            f" {host.describe_connections()}, list confirmed {list_age_ms:.0f} ms ago"
        )
        names_by_task_id = {call.setup.task_id: self._find_process_name(host, call) for call in calls}
        self.pool.declare_tasks_lost(host, "their leases have expired", list(names_by_task_id))
        for task_id, name in names_by_task_id.items():
            # It may run after all, and its client may ask for it again.
            self.pool.release_task(name, task_id)

    def _find_process_name(self, host: Host, call: SetupCall) -> str:
        """Returns the host by whose name the process can be reached that may run the task."""
        connection = find_connection(call)
        reached_host = connection.host if connection is not None else host
        return self.pool.exchange.process_names.find_current_name(reached_host.name)

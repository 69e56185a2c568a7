"""Until when a placed task may stand without evidence that its process runs.

Every placed task has a due time, a lease, unless the machine list would tell in time that its process has
been replaced. Only evidence about the task's own process renews a lease; `process_evidence.py` has what that
is. A task whose lease expires is released to its client, and at its host too, since it may run after all.
`TaskLeases.compute_due_ms` is the only place that decides it:

    task                                                          stands until
    connected, listed, no outage since the last sign              one of these ends
    connected, the list is silent or does not name its process    HANG_LEASE_MS after the last sign of it
    connected, connects have failed since, and come up again,     RESTORED_LEASE_MS after that sign
    or the list is silent or does not name its process
    not connected                                                 LEASE_MS after the last sign of its process
    its client handed it over, and its host has not reported it   LEASE_MS after that, or a later sign
    the list tells of another process since                       LEASE_MS after the last sign of its own

A task is connected while a connection to its process is open, or was evicted by this process. An open
connection is a way to ask: where the list does not vouch for a process, a health check is sent on it
CHECK_AFTER_MS after the last sign, and the answer is the next one. What tells similar cases apart:

    case                                          old connection   new connection   list
    the machine was cut off and is back           answers          answers          tells of no other process
    it has vanished, another process is there     is silent        answers          tells of another one, late
    its host hangs                                is silent        is silent        tells of no other process

A host that hangs keeps its tasks while the list is up and connects come up; without a list, or after an
outage of its connects that the list does not settle in time, it looks like one that has vanished.

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
from glencleat.platform_server.failure_detector import NEVER
from glencleat.platform_server.host_connection import Host
from glencleat.platform_server.host_registry import HostRegistry
from glencleat.platform_server.incarnations import EventOrder
from glencleat.platform_server.process_evidence import (
    LEASE_MS,
    ProcessEvidence,
    collect_evidence,
    compute_own_sign_ms,
    compute_settled_sign_ms,
    find_connection,
    find_incarnation,
    find_open_connection,
    is_process_listed,
    list_settled_connections,
)
from glencleat.platform_server.watch_client import SILENCE_TIMEOUT_MS

RESTORED_LEASE_MS = 7_500.0
"""Replaces LEASE_MS once connections to a host come up again: its process may still answer a health check."""

HANG_LEASE_MS = 25_000.0
"""Replaces LEASE_MS for a process that is connected and does not answer: a host hangs for at most so long."""

CHECK_AFTER_MS = 4_000.0
"""After so long without a sign a process that the list does not vouch for is sent a health check."""

REVIEW_INTERVAL_MS = 50.0
"""The shortest time between two reviews of a host, so that leases that expire one by one share them."""

UNLISTED_REVIEW_MS = 500.0
"""The time between two reviews of a host whose address is not known."""

LIST_CHECK_INTERVAL_MS = 500.0
"""The time between two checks whether the list has fallen silent."""


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


class TaskLeases:
    """The leases of all placed tasks. They follow from the evidence; only the times of reviews are kept."""

    def __init__(self, pool: TaskLeasePort) -> None:
        """Starts without a review."""
        self.pool = pool
        self.review_times_by_host: dict[str, float] = {}  # the next review of each host with leases
        self.renewed_count = self.expired_count = self.check_count = 0
        self.is_list_silent = False  # as of the last check
        pool.loop.call_in(LIST_CHECK_INTERVAL_MS, self._watch_list)

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

    def on_first_task(self, host: Host) -> None:
        """A task is placed on a host on which none was: it has a lease if the list does not name the host."""
        if self.is_list_silent or host.is_removed:
            self._schedule(host.name, self.pool.loop.now() + REVIEW_INTERVAL_MS)

    def on_connect_failed(self, host: Host) -> None:
        """A connect has failed, which shortens leases where the list does not vouch for a process."""
        if self.is_list_silent or host.is_removed or host.process_record.change is not None:
            self.on_connections_changed(host)

    def on_reachable_again(self, host: Host, failing_since_ms: float) -> None:
        """A connection has opened after connects had failed: a new process may listen at the address."""
        calls = self.pool.exchange.placed_calls_by_host.get(host.name)
        if not calls:
            return
        now_ms = self.pool.loop.now()
        ages_ms = [now_ms - self.collect(host, call).last_sign_at_ms for call in calls.values()]
        self.pool.log(
            f"host {host.name}: reachable again after {now_ms - failing_since_ms:.0f} ms,"
            f" {len(calls)} tasks placed, last sign of their processes {min(ages_ms):.0f} to"
            f" {max(ages_ms):.0f} ms ago, {host.describe_connections()}"
        )

    def on_list_evidence_ends(self, host: Host) -> None:
        """The list is about to tell of another process, or no longer names the host.

        What it has shown until now stays known.
        """
        self.settle_tasks(host, list_delay_ms=MAX_LIST_DELAY_MS)
        self._record_listed_signs(host)

    def _record_listed_signs(self, host: Host) -> None:
        for call in self.pool.exchange.placed_calls_by_host.get(host.name, {}).values():
            incarnation = find_incarnation(call)
            if incarnation is not None and is_process_listed(host, call):
                incarnation.last_sign_at_ms = compute_settled_sign_ms(host, call, self._settled_until_ms)

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
        self.settle_tasks(host, list_delay_ms=MAX_LIST_DELAY_MS)
        now_ms = self.pool.loop.now()
        expired: list[SetupCall] = []
        next_due_ms = NEVER
        for call, due_ms in self.iterate_leases(host):
            if due_ms <= now_ms:
                expired.append(call)
            else:
                next_due_ms = min(next_due_ms, due_ms, self._check_process(host, call))
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
            f" renewed by the list {self.renewed_count} expired {self.expired_count}"
            f" health checks {self.check_count},"
            f" list confirmed {now_ms - self.pool.channel.confirmed_at_ms:.0f} ms ago"
        )

    # ---- the lease of one task ----

    def iterate_leases(self, host: Host) -> Iterator[tuple[SetupCall, float]]:
        """Yields the tasks of a host that have a lease, each with its due time."""
        for call in list(self.pool.exchange.placed_calls_by_host.get(host.name, {}).values()):
            due_ms = self.compute_due_ms(host, call)
            if due_ms < NEVER:
                yield call, due_ms

    def collect(self, host: Host, call: SetupCall) -> ProcessEvidence:
        """Collects the evidence about a placed task's process."""
        return collect_evidence(host, call, self._settled_until_ms, is_list_silent=self.is_list_silent)

    @property
    def _settled_until_ms(self) -> float:
        return self.pool.channel.settled_until_ms

    def compute_due_ms(self, host: Host, call: SetupCall) -> float:
        """Returns until when a placed task stands; NEVER while the list would tell of another process."""
        evidence = self.collect(host, call)
        if not evidence.is_connected:
            return evidence.last_sign_at_ms + LEASE_MS
        is_vouched_for = self._does_list_vouch(evidence)
        if evidence.is_restored or (evidence.is_failing and not is_vouched_for):
            return evidence.last_sign_at_ms + RESTORED_LEASE_MS
        change = host.process_record.change
        is_being_checked = change is not None and not change.is_concluded
        if is_being_checked or is_vouched_for:
            return NEVER
        return evidence.last_sign_at_ms + HANG_LEASE_MS

    def _does_list_vouch(self, evidence: ProcessEvidence) -> bool:
        """Whether the list would tell of a process that has replaced the task's."""
        return evidence.is_listed and not (evidence.is_restored or self.is_list_silent)

    def _check_process(self, host: Host, call: SetupCall) -> float:
        """Sends a health check to a silent process that the list does not vouch for, once one is due.

        Returns when it is due, NEVER if none is.
        """
        evidence = self.collect(host, call)
        if self._does_list_vouch(evidence):
            return NEVER
        connection = find_open_connection(host, call, self._settled_until_ms)
        if connection is None or connection.is_health_check_pending:
            return NEVER
        now_ms, due_ms = self.pool.loop.now(), evidence.last_sign_at_ms + CHECK_AFTER_MS
        if now_ms < due_ms:
            return due_ms
        self.check_count += 1
        self.pool.log(
            f"host {host.name}: health check on a connection that has been silent for"
            f" {now_ms - evidence.last_sign_at_ms:.0f} ms"
        )
        connection.send_health_check()
        return NEVER

    def settle_tasks(self, host: Host, *, list_delay_ms: float = LIST_SETTLE_MS) -> None:
        """Assigns tasks to a connection that reaches their process, as the list has told of no other one.

        Args:
            host: The host with the tasks.
            list_delay_ms: How long the list may have taken to tell of a process.
        """
        settled_until_ms = self.pool.channel.confirmed_at_ms - list_delay_ms
        settled = list_settled_connections(host, settled_until_ms)
        connection = next((other for other in settled if other.is_open), None)
        if connection is None:
            return
        for call in self.pool.exchange.placed_calls_by_host.get(host.name, {}).values():
            incarnation = find_incarnation(call)
            is_connected = incarnation is not None and incarnation.open_count
            if call.attempt is None or is_connected or not is_process_listed(host, call):
                continue
            if compute_own_sign_ms(call) <= settled_until_ms:
                call.attempt.connection = connection
                self.renewed_count += 1

    # ---- reviews ----

    def is_review_due_in_time(self, host: Host) -> bool:
        """Whether the host is reviewed before any of its tasks' leases expires. For self-checks."""
        review_at_ms = self.review_times_by_host.get(host.name, NEVER)
        latest_ms = self.pool.loop.now() + REVIEW_INTERVAL_MS
        return all(review_at_ms <= max(due_ms, latest_ms) for _, due_ms in self.iterate_leases(host))

    def _watch_list(self) -> None:
        """Reviews all hosts with tasks once the list has fallen silent: it vouches for no process."""
        self.pool.loop.call_in(LIST_CHECK_INTERVAL_MS, self._watch_list)
        was_silent = self.is_list_silent
        silent_ms = self.pool.loop.now() - self.pool.channel.confirmed_at_ms
        self.is_list_silent = silent_ms > SILENCE_TIMEOUT_MS
        if self.is_list_silent and not was_silent:
            for host_name in self.pool.exchange.placed_calls_by_host:
                host = self.pool.registry.hosts_by_name.get(host_name)
                if host is not None:
                    self._record_listed_signs(host)
                self._schedule(host_name, self.pool.loop.now() + REVIEW_INTERVAL_MS)

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
        now_ms = self.pool.loop.now()
        found = [self.collect(host, call) for call in calls]
        ages_ms = [now_ms - evidence.last_sign_at_ms for evidence in found]
        self.pool.log(
            f"host {host.name}: {len(calls)} leases expired, last sign of their processes"
            f" {min(ages_ms):.0f} to {max(ages_ms):.0f} ms ago; {host.describe_connections()},"
            f" {sum(evidence.is_connected for evidence in found)} connected,"
            f" {sum(evidence.is_restored for evidence in found)} after an outage,"
            f" list confirmed {now_ms - self.pool.channel.confirmed_at_ms:.0f} ms ago"
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

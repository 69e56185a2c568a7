"""Ends the tasks of a host's former process once the machine list tells of a new one at its address.

`incarnations.py` decides which tasks those are, by what became of the connections. This module gathers the
evidence: it sends a health check on each connection and waits for the answers. Tasks of which no connection
tells in which process they ran have a lease (`task_leases.py`).
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Protocol, TypeAlias

from glencleat.event_loop import Loop
from glencleat.platform_protocol.command_channel import CommandChannel
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_protocol.setup_calls import SetupCall
from glencleat.platform_server.host_connection import Host, HostConnection
from glencleat.platform_server.host_registry import HostRegistry
from glencleat.platform_server.incarnations import (
    ConnectionLoss,
    EventOrder,
    ExpectedLoss,
    ProcessChange,
    TaskVerdict,
)
from glencleat.platform_server.pooled_host import PROCESS_DOUBT_MS
from glencleat.platform_server.process_evidence import find_evidence
from glencleat.platform_server.rate_limited_log import describe_task_ids
from glencleat.platform_server.task_leases import TaskLeases

CHECK_TIMEOUT_MS = 1_000.0
"""How long a connection may take to answer the health check that shows which process it reaches."""

EARLY_EVENT_MS = 1_000.0
"""The list may tell of a new process at most this long before the former one has ended."""

HostProcessChange: TypeAlias = "ProcessChange[Host, HostConnection]"
HostExpectedLoss: TypeAlias = "ExpectedLoss[Host]"


class ProcessChangePort(Protocol):
    """What is needed of the connection pool."""

    loop: Loop
    channel: CommandChannel
    task_leases: TaskLeases
    event_order: EventOrder
    log: Callable[[str], None]
    registry: HostRegistry

    @property
    def exchange(self) -> Exchange:
        """Keeps the placed tasks of each host."""

    def mark_changed(self, host: Host) -> None:
        """The host may need maintenance earlier than planned."""

    def declare_tasks_lost(self, host: Host, reason: str, task_ids: Collection[int] | None = None) -> None:
        """The tasks that are placed on the host, or those of them that are named, have ended."""


class ProcessChanges:
    """Handles the process changes of all hosts of a pool. Each host keeps its latest one."""

    def __init__(self, pool: ProcessChangePort) -> None:
        """Starts without a change; the pool's registry notifies of them."""
        self.pool = pool

    # ---- called by the registry; see `HostObserver` ----

    def mark_changed(self, host: Host) -> None:
        """The host may need maintenance earlier than planned."""
        self.pool.mark_changed(host)

    def is_in_use(self, host: Host) -> bool:
        """Whether tasks are placed on the host, or attempts are open there."""
        return host.name in self.pool.exchange.placed_calls_by_host or host.has_open_attempts

    def on_process_changed(self, hosts: Iterable[Host], successor_name: str, reason: str) -> None:
        """A new process runs at the address of the hosts; it is known by the name of `successor_name`."""
        self._begin(tuple(hosts), successor_name, reason)

    def before_removed(self, host: Host) -> None:
        """The machine list is about to name the host no longer."""
        self.pool.task_leases.on_list_evidence_ends(host)
        self.pool.task_leases.settle_tasks(host)

    def before_replaced(self, host: Host) -> None:
        """The machine list is about to name another host at its address."""
        self.pool.task_leases.on_list_evidence_ends(host)

    def on_removed(self, host: Host) -> None:
        """The machine list no longer names the host, so it renews no lease of its tasks."""
        self.pool.task_leases.on_connections_changed(host)

    def on_address_left(self, host: Host) -> None:
        """The host is removed or has another address, so its connections reach no other host's process."""
        self.pool.exchange.process_names.forget(host.name)

    # ---- called by the pool ----

    def on_connected(self, host: Host, connection: HostConnection) -> None:
        """A connection has opened; it may have begun before the list told of the change."""
        placed_calls = self.pool.exchange.placed_calls_by_host.get(host.name)
        if placed_calls and host.open_connection_count == 1:
            self.pool.log(f"host {host.name}: connected again, {len(placed_calls)} tasks placed")
        if host.is_connection_evicted:
            host.process_record.evicted_until_ms = self.pool.loop.now()
        if connection.is_unconfirmed:
            connection.send_health_check()

    def on_answer(self, host: Host, connection: HostConnection, sent_moment: int) -> None:
        """The host has answered what was sent on the connection at `sent_moment`."""
        change = host.process_record.change
        if change is not None and connection in change.unconfirmed:
            change.record_answer(connection, connection.evidence, sent_moment)
            self.pool.mark_changed(host)
            self._conclude_if_decided(change)

    def on_connection_ended(self, host: Host, connection: HostConnection) -> None:
        """A connection has ended, or could not be opened."""
        self.pool.task_leases.on_connections_changed(host)
        change = host.process_record.change
        if change is not None and connection in change.unconfirmed:
            change.record_ended(connection, was_open=connection.stream is not None)
            self.pool.mark_changed(host)
            self._conclude_if_decided(change)

    def on_disconnected(self, host: Host) -> None:
        """The last open connection was lost."""
        self.record_loss(host)
        if host.process_record.expected_loss is not None:
            self._check_again(host.process_record.expected_loss)

    def record_loss(self, host: Host) -> None:
        """The last open connection was lost, or none could be opened while none was open."""
        loss = ConnectionLoss(self.pool.event_order.next_moment(), self.pool.loop.now())
        host.process_record.losses.record(loss)

    # ---- gathering evidence ----

    def _begin(
        self, hosts: Collection[Host], successor_name: str, reason: str, *, is_loss_expected: bool = False
    ) -> None:
        """Begins one check of all hosts, since what one connection shows holds for the tasks of each."""
        if not hosts:
            return
        now_ms = self.pool.loop.now()
        losses = [host.process_record.losses.take_first(now_ms) for host in hosts]
        change: HostProcessChange = ProcessChange(
            reason,
            successor_name,
            self.pool.event_order.next_moment(),
            hosts,
            [connection for host in hosts for connection in host.connections],
            min((loss for loss in losses if loss), key=lambda loss: loss.moment, default=None),
            is_loss_expected=is_loss_expected,
            settled_until_ms=self.pool.channel.settled_until_ms,
        )
        for host in hosts:
            self.pool.task_leases.on_list_evidence_ends(host)
            host.process_record.change, host.process_record.expected_loss = change, None
            host.process_record.doubted_until_ms = now_ms + PROCESS_DOUBT_MS
            self.pool.mark_changed(host)
            self.pool.task_leases.on_connections_changed(host)
            self.pool.exchange.process_names.record_successor(host.name, successor_name)
            self._log_begin(change, host)
        for connection in list(change.unconfirmed):
            if connection.is_open:
                connection.send_health_check()
        if change.unconfirmed:
            self.pool.loop.call_in(CHECK_TIMEOUT_MS, lambda: self._conclude(change))
        else:
            self._conclude(change)

    def _log_begin(self, change: HostProcessChange, host: Host) -> None:
        if placed_calls := self.pool.exchange.placed_calls_by_host.get(host.name):
            self.pool.log(
                f"host {host.name}: process changed, {change.reason}; host now {change.successor_name},"
                f" {len(placed_calls)} tasks placed, {len(host.connections)} connections to check"
            )

    def _conclude_if_decided(self, change: HostProcessChange) -> None:
        if not (change.unconfirmed or change.is_concluded):
            # Not at once: the caller may be about to handle what came with the answer.
            self.pool.loop.call_in(0.0, lambda: self._conclude(change))

    # ---- the verdict ----

    def _conclude(self, change: HostProcessChange) -> None:
        """Ends the tasks of the former process; those that the evidence leaves uncertain have a lease."""
        if change.is_concluded:
            return
        hosts = [host for host in change.hosts if host.process_record.change is change]
        unanswered_connections = change.conclude()
        if change.may_precede_the_end:
            self._expect_loss(change, hosts)
        calls_by_host = {host: self._assess_tasks(change, host) for host in hosts}
        for connection in unanswered_connections:
            if connection.host.process_record.change is change:  # a later change has a check of its own
                connection.abort(f"no answer since {change.reason}")
        for host, calls_by_verdict in calls_by_host.items():
            self._end_tasks(change, host, calls_by_verdict[TaskVerdict.LOST])
            self._log_rest(change, host, calls_by_verdict)
            self.pool.task_leases.review(host.name)
            self.pool.mark_changed(host)

    def _expect_loss(self, change: HostProcessChange, hosts: Iterable[Host]) -> None:
        """Checks the connections again at their loss, or once the former process has ended for certain."""
        successor = self.pool.registry.hosts_by_name.get(change.successor_name)
        concerned = dict.fromkeys([*hosts, *([successor] if successor is not None else [])])
        expected = ExpectedLoss(tuple(concerned), change.successor_name, change.reason)
        for host in concerned:
            host.process_record.expected_loss = expected
        self.pool.loop.call_in(EARLY_EVENT_MS, lambda: self._check_again(expected))

    def _check_again(self, expected: HostExpectedLoss) -> None:
        hosts_by_name = self.pool.registry.hosts_by_name
        concerned = [host for host in expected.hosts if host.process_record.expected_loss is expected]
        for host in concerned:
            host.process_record.expected_loss = None
        concerned = [host for host in concerned if hosts_by_name.get(host.name) is host]
        self._begin(concerned, expected.successor_name, expected.reason, is_loss_expected=True)

    def _assess_tasks(self, change: HostProcessChange, host: Host) -> dict[TaskVerdict, list[SetupCall]]:
        calls_by_verdict: dict[TaskVerdict, list[SetupCall]] = {verdict: [] for verdict in TaskVerdict}
        for call in self.pool.exchange.placed_calls_by_host.get(host.name, {}).values():
            calls_by_verdict[change.assess(find_evidence(call))].append(call)
        return calls_by_verdict

    def _end_tasks(self, change: HostProcessChange, host: Host, calls: list[SetupCall]) -> None:
        if calls:
            self.pool.declare_tasks_lost(host, change.reason, [call.setup.task_id for call in calls])

    def _log_rest(
        self, change: HostProcessChange, host: Host, calls_by_verdict: dict[TaskVerdict, list[SetupCall]]
    ) -> None:
        if running := calls_by_verdict[TaskVerdict.RUNS]:
            self.pool.log(
                f"host {host.name}: {len(running)} tasks stand,"
                f" {change.confirmed_count} connections have answered since"
            )
        if uncertain := calls_by_verdict[TaskVerdict.UNCERTAIN]:
            self.pool.log(
                f"host {host.name}: {len(uncertain)} tasks uncertain, lost unless the host reports on them:"
                f" {describe_task_ids(call.setup.task_id for call in uncertain)}"
            )


def find_connection_opened_ms(call: SetupCall) -> float:
    """Returns when the connection opened that reaches a task's process; if none is known, its placement."""
    evidence = find_evidence(call)
    return evidence.opened_at_ms if evidence is not None else call.placed_at_ms

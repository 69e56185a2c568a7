"""What shows that the process of a placed task runs, and when it is last known to have run. No I/O.

Evidence belongs to the task's own process, the incarnation that its connection reaches:

    evidence                                                       shows that the process ran
    bytes on a connection that reaches it                          when they came
    a report on the task                                           when it came
    a connection to its host that opened, while the list is        when the connection opened
    confirmed and tells of no other process:
        and was confirmed LIST_SETTLE_MS after that
        or no connect has failed since the process's last sign

Neither an open connection nor a list that tells of nothing is evidence by itself: the connections of a
machine that has vanished stay open, and the list may tell of that after the lease has ended.
"""

from __future__ import annotations

from dataclasses import dataclass

from glencleat.platform_protocol.setup_calls import SetupCall
from glencleat.platform_server.failure_detector import NEVER, UNREACHABLE_MS
from glencleat.platform_server.host_connection import Host, HostConnection
from glencleat.platform_server.incarnations import ConnectionEvidence, Incarnation

LEASE_MS = UNREACHABLE_MS
"""How long a task stands after the last sign of its process: a release is due 8 s after a task's end."""

RECONNECT_MS = 2_000.0
"""The shortest lease after the loss of a connection, unless the list tells of another process: the next
connection may bring a report."""


def find_connection(call: SetupCall) -> HostConnection | None:
    """Returns the connection that reaches, or last reached, a placed task's process; None without one."""
    return call.attempt.connection if call.attempt is not None else None


def find_evidence(call: SetupCall) -> ConnectionEvidence | None:
    """Returns the evidence of that connection; None if none is known."""
    connection = find_connection(call)
    return connection.evidence if connection is not None else None


def find_incarnation(call: SetupCall) -> Incarnation | None:
    """Returns the task's process; None if no connection is known to reach it."""
    evidence = find_evidence(call)
    return evidence.incarnation.find_representative() if evidence is not None else None


def is_process_listed(host: Host, call: SetupCall) -> bool:
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


def find_reached_host(host: Host, call: SetupCall) -> Host:
    """Returns the host whose connections reach, or last reached, the task's process."""
    connection = find_connection(call)
    return connection.host if connection is not None else host


def list_settled_connections(host: Host, settled_until_ms: float) -> list[HostConnection]:
    """Returns the host's connections of which the list has had the time to tell whom they reach."""
    return [
        connection
        for connection in host.connections
        if connection.stream is not None
        and not connection.is_unconfirmed
        and connection.evidence.opened_at_ms <= settled_until_ms
    ]


def find_open_connection(host: Host, call: SetupCall, settled_until_ms: float) -> HostConnection | None:
    """Returns an open connection that reaches the task's process; None without one."""
    own, incarnation = find_connection(call), find_incarnation(call)
    if own is not None:
        if own.is_open and not own.is_closing:
            return own
        for connection in own.host.connections:
            if connection.is_open and connection.evidence.incarnation.find_representative() is incarnation:
                return connection
    if is_process_listed(host, call):
        settled = list_settled_connections(host, settled_until_ms)
        return next((connection for connection in settled if connection.is_open), None)
    return None


@dataclass(frozen=True, slots=True)
class ProcessEvidence:
    """The evidence about the process of one placed task."""

    last_sign_at_ms: float  # when the process is last known to have run
    is_listed: bool  # by the machine list, which has told of no other process since
    is_connected: bool  # a connection to it is open, or was evicted by this process
    is_restored: bool  # connects have failed and come up again since the last sign
    is_failing: bool  # the last connect to its host has failed


def compute_own_sign_ms(call: SetupCall) -> float:
    """Returns when a task's process last showed itself, without the machine list."""
    incarnation = find_incarnation(call)
    return call.placed_at_ms if incarnation is None else incarnation.last_sign_at_ms


def compute_settled_sign_ms(host: Host, call: SetupCall, settled_until_ms: float) -> float:
    """Returns when a task's process last showed itself, or was shown to be reached by the list."""
    sign_ms = compute_own_sign_ms(call)
    if is_process_listed(host, call):
        settled = list_settled_connections(host, settled_until_ms)
        signs_ms = [other.evidence.incarnation.find_representative().last_sign_at_ms for other in settled]
        history = find_reached_host(host, call).process_record.reachability
        sign_ms = max(sign_ms, history.find_latest_opening(settled_until_ms), *signs_ms)
    return sign_ms


def collect_evidence(
    host: Host, call: SetupCall, settled_until_ms: float, *, is_list_silent: bool
) -> ProcessEvidence:
    """Collects the evidence about a placed task's process.

    Args:
        host: The host on which the task is placed.
        call: The task's call.
        settled_until_ms: The list has told of every process that started up to then.
        is_list_silent: The list has not been confirmed for so long that it counts as silent.
    """
    incarnation, reached_host = find_incarnation(call), find_reached_host(host, call)
    history = reached_host.process_record.reachability
    is_listed = is_process_listed(host, call)
    sign_ms = compute_settled_sign_ms(host, call, settled_until_ms)
    if is_listed and not is_list_silent:
        sign_ms = history.find_uninterrupted_until(sign_ms)
    if is_listed and history.restored_at_ms <= sign_ms:
        sign_ms = max(sign_ms, _compute_reconnect_sign_ms(host, incarnation))
    is_evicted = host.is_connection_evicted and incarnation is not None and not incarnation.is_end_suspected
    is_open = incarnation is not None and incarnation.open_count > 0
    is_connected = is_open or (
        is_listed and (is_evicted or bool(list_settled_connections(host, settled_until_ms)))
    )
    return ProcessEvidence(
        last_sign_at_ms=sign_ms,
        is_listed=is_listed,
        is_connected=is_connected,
        is_restored=history.restored_at_ms > sign_ms,
        is_failing=reached_host.failing_since_ms < NEVER,
    )


def _compute_reconnect_sign_ms(host: Host, incarnation: Incarnation | None) -> float:
    """Returns the sign that gives the next connection the time to bring a report."""
    evicted_until_ms = host.process_record.evicted_until_ms
    lost_at_ms = evicted_until_ms if incarnation is None else max(incarnation.lost_at_ms, evicted_until_ms)
    return lost_at_ms + RECONNECT_MS - LEASE_MS

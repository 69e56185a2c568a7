"""Which of a host's open connections may carry an attempt, and which of these is taken first. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from glencleat.platform_server.host_connection import Host, HostConnection


def is_fresh(connection: HostConnection, now_ms: float, idle_ms: float) -> bool:
    """Whether it is not closed, and not idle for so long that the host may close it during a write.

    Args:
        connection: Open, or being opened.
        now_ms: The current time.
        idle_ms: How long an unused connection may be used again.
    """
    is_recent = now_ms - connection.last_used_at_ms < idle_ms
    return connection.stream is None or (connection.stream.close_reason is None and is_recent)


def is_healthy(connection: HostConnection, now_ms: float, idle_ms: float) -> bool:
    """Whether it is open and may be used; arguments as for `is_fresh`."""
    if connection.stream is None or connection.is_unresponsive or connection.is_closed_by_host:
        return False
    return not connection.is_unconfirmed and is_fresh(connection, now_ms, idle_ms)


def list_usable(
    host: Host, task_id: int, *, is_silent: bool, now_ms: float, idle_ms: float
) -> list[HostConnection]:
    """Returns the connections, open or being opened, that may carry an attempt of the task.

    Args:
        host: The host with the connections.
        task_id: The platform's id of the task.
        is_silent: Nothing is received from the host: nothing may be written to an open connection.
        now_ms: The current time.
        idle_ms: How long an unused connection may be used again.
    """
    return [
        connection
        for connection in host.connections
        if not (connection.is_unresponsive or connection.is_closed_by_host or connection.is_unconfirmed)
        and task_id not in connection.cancelled_task_ids
        and is_fresh(connection, now_ms, idle_ms)
        # An attempt must not queue behind unsent bytes of others.
        and not (connection.stream is not None and (is_silent or connection.stream.send_buffer))
    ]


def select_idle(connections: Iterable[HostConnection]) -> HostConnection | None:
    """Returns the best connection without an open attempt: open, no liveness check, the last used."""
    return max(
        (connection for connection in connections if not connection.open_attempt_count),
        key=lambda other: (other.stream is not None, not other.is_liveness_check, other.last_used_at_ms),
        default=None,
    )

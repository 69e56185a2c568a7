"""Closes connections that no longer reach a process, where the machine list can't tell that it was replaced.

A machine that vanishes leaves its connections open and silent, and the new process at its address accepts
others. While the list is confirmed, it tells of the new process, and `ProcessChanges` checks the connections.
While it is silent, health checks on the older connections and on the newest one tell: if the newest answers
and an older one does not, they reach different processes, and that of the older one has ended. If neither
answers, the host hangs, which shows nothing. Health checks have a price: none is sent here while the list is
up; `task_leases.py` sends those to processes for which the list does not vouch.
"""

from __future__ import annotations

from typing import Protocol

from glencleat.event_loop import Loop
from glencleat.platform_protocol.command_channel import LIST_SETTLE_MS, CommandChannel
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_server.host_connection import Host
from glencleat.platform_server.incarnations import ConnectionEvidence
from glencleat.platform_server.watch_client import SILENCE_TIMEOUT_MS

CHECK_INTERVAL_MS = 1_000.0
"""How long a connection may take to answer; also the interval of the list's lines."""


class SilentConnectionPort(Protocol):
    """What is needed of the connection pool."""

    loop: Loop
    channel: CommandChannel

    @property
    def exchange(self) -> Exchange:
        """Keeps the placed tasks of each host."""


class SilentConnectionCheck:
    """Watches the hosts to which a further connection has opened, until the list has vouched for it."""

    def __init__(self, pool: SilentConnectionPort) -> None:
        """Starts without a host to watch."""
        self.pool = pool
        # By watched host: the newest connection that was checked. It may have been closed since.
        self.newest_by_host: dict[Host, ConnectionEvidence | None] = {}

    def on_connected(self, host: Host) -> None:
        """A connection has opened."""
        if host not in self.newest_by_host and self._has_doubtful_connection(host):
            self.newest_by_host[host] = None
            self._watch(host)

    def _has_doubtful_connection(self, host: Host) -> bool:
        """Whether the newest of several connections may reach another process than the others."""
        is_only_one = host.open_connection_count <= 1
        if is_only_one or host.name not in self.pool.exchange.placed_calls_by_host:
            return False
        newest_at_ms = max(other.connected_at_ms for other in host.connections)
        return self.pool.channel.confirmed_at_ms < newest_at_ms + LIST_SETTLE_MS

    def _watch(self, host: Host) -> None:
        if not self._has_doubtful_connection(host):
            del self.newest_by_host[host]
            return
        if self.pool.loop.now() - self.pool.channel.confirmed_at_ms > SILENCE_TIMEOUT_MS:
            self._abort_unanswered(host)
            self._check_connections(host)
        self.pool.loop.call_in(CHECK_INTERVAL_MS, lambda: self._watch(host))

    def _abort_unanswered(self, host: Host) -> None:
        """Closes each connection that has not answered its check, if the newest has answered a later one."""
        newest = self.newest_by_host[host]
        if newest is None:
            return
        for connection in [other for other in host.connections if other.is_open]:
            evidence = connection.evidence
            is_unanswered = evidence.answered_moment < connection.health_check_moment < newest.answered_moment
            if is_unanswered and evidence.answered_moment < newest.opened_moment:
                evidence.record_unanswered()
                connection.abort("no answer, while a newer connection answers")

    def _check_connections(self, host: Host) -> None:
        """Checks the newest connection, and older ones that are not known to reach the same process."""
        connections = [connection for connection in host.connections if connection.is_open]
        newest = max(connections, key=lambda connection: connection.evidence.opened_moment, default=None)
        if newest is None:
            return
        older = [
            connection
            for connection in connections
            if connection.evidence.answered_moment < newest.evidence.opened_moment
        ]
        for connection in older:
            if connection is not newest and not connection.is_health_check_pending:
                connection.send_health_check()
        if older:
            newest.send_health_check()
            self.newest_by_host[host] = newest.evidence

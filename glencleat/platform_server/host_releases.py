"""Sends the releases of placed tasks to their hosts, and again until each is acknowledged."""

from __future__ import annotations

from typing import Protocol

from glencleat.descriptor_budget import Demand
from glencleat.platform_protocol import messages as m
from glencleat.platform_server.host_connection import Host, HostConnection
from glencleat.platform_server.host_registry import HostRegistry

MAX_PENDING_RELEASES = 1_000
"""Releases to one host that it has not acknowledged."""


class HostReleasePort(Protocol):
    """What is needed of the connection pool."""

    registry: HostRegistry
    releasing_hosts: set[Host]

    def is_healthy(self, connection: HostConnection) -> bool:
        """Whether the connection is open and may be used."""

    def mark_changed(self, host: Host) -> None:
        """The host may need maintenance earlier than planned."""

    def reconnect(self, host: Host, demand: Demand) -> None:
        """Opens a further connection if one may be opened now."""


class HostReleases:
    """The releases that hosts are owed. Each host keeps those that it has not acknowledged."""

    def __init__(self, pool: HostReleasePort) -> None:
        """Starts without a release."""
        self.pool = pool

    def release_task(self, name: str, task_id: int) -> None:
        """Releases a placed task at its host, at once or as soon as the host can be reached."""
        host = self.pool.registry.hosts_by_name.get(name)
        if host is None:
            return
        if len(host.pending_releases) < MAX_PENDING_RELEASES:
            host.pending_releases[task_id] = None
            self.pool.releasing_hosts.add(host)
            self.pool.mark_changed(host)
        healthy = [other for other in host.connections if self.pool.is_healthy(other)]
        # An older one may reach a former process, which the list has not told of yet.
        newest = max(healthy, key=lambda other: other.evidence.opened_moment, default=None)
        if newest is not None:
            self._write(host, newest, task_id)
        else:
            self.pool.reconnect(host, Demand.ATTEMPT)

    def on_connected(self, host: Host, connection: HostConnection) -> None:
        """A connection has opened: sends the waiting releases on it."""
        for task_id in host.unsent_releases:
            self._write(host, connection, task_id)

    @staticmethod
    def _write(host: Host, connection: HostConnection, task_id: int) -> None:
        """Writes a release. It stays pending until acknowledged: the connection may break before that."""
        if task_id in host.pending_releases:
            host.pending_releases[task_id] = connection
        connection.write(m.encode_with_cause(m.RELEASE, task_id, m.ENDED))

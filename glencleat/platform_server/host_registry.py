"""The hosts of the connection pool, kept up to date by the machine list.

The connection pool owns the registry, which `apply_list_change` updates by a snapshot or a delta of the list.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Protocol

from glencleat import interface as api
from glencleat.event_loop import Loop
from glencleat.platform_protocol.command_channel import HostEntry, ListChange, estimate_start_ms
from glencleat.platform_server.failure_detector import NEVER
from glencleat.platform_server.host_connection import Host
from glencleat.platform_server.pooled_host import NO_ADDRESS, PooledHost

if TYPE_CHECKING:
    from glencleat.platform_protocol.command_channel import CommandChannel


class HostObserver(Protocol):
    """Receives notifications of changes that the machine list makes."""

    def mark_changed(self, host: Host) -> None:
        """The host may need maintenance earlier than planned."""

    def declare_tasks_lost(self, host: Host, reason: str, before_ms: float = NEVER) -> None:
        """Treats the tasks placed on the host before `before_ms` as lost: by default all of its tasks.

        `before_ms` is a time of the event loop.
        """

    def has_placed_tasks(self, host: Host) -> bool:
        """Whether tasks are placed on the host."""

    def record_successor(self, host: Host, successor_name: str) -> None:
        """The tasks that are still placed on the host run in the process of another one from now on."""


class HostRegistry:
    """Hosts by name and by address.

    Connections are kept by host and not by address, since an address may pass from one host to another.
    """

    def __init__(self, loop: Loop, channel: CommandChannel, random: Random, observer: HostObserver) -> None:
        """Starts empty.

        Args:
            loop: Provides the time.
            channel: Provides the offset between the clock of the machine list's sender and that of this
                process.
            random: Source of the jitter of waits between connects to a host.
            observer: Notified of changes.
        """
        self.loop = loop
        self.channel = channel
        self.random = random
        self.observer = observer
        self.hosts_by_name: dict[str, Host] = {}
        self.host_names_by_address: dict[tuple[str, int], str] = {}
        # Hosts whose tasks run in the process of the host that has their address now.
        self.replaced_hosts_by_address: dict[tuple[str, int], list[Host]] = {}
        self.created_host_count = 0

    def add_host(self, name: str) -> Host:
        """Creates and registers a host without an address.

        `HostMaintenance` adds hosts that have placed tasks and are not in the machine list.
        """
        self.created_host_count += 1
        host: Host = PooledHost(
            name,
            self.loop.now(),
            self.random,
            creation_number=self.created_host_count,
            on_change=self.observer.mark_changed,
        )
        self.hosts_by_name[name] = host
        return host

    def remove_host(self, host: Host) -> None:
        """Removes a host."""
        del self.hosts_by_name[host.name]
        self._forget_replacement(host)
        if self.host_names_by_address.get(host.address) == host.name:
            del self.host_names_by_address[host.address]

    def apply_list_change(self, change: ListChange) -> None:
        """Applies a snapshot or a delta of the machine list."""
        names = {entry.machine.name for entry in change.hosts}
        for name, host in self.hosts_by_name.items() if change.is_snapshot else ():
            if name not in names:
                host.record_removed(self.loop.now())
        for entry in change.hosts:
            self._apply_entry(entry)

    def _apply_entry(self, entry: HostEntry) -> None:
        name = entry.machine.name
        host = self.hosts_by_name.get(name) or self.add_host(name)
        if entry.machine.phase is api.MachinePhase.REMOVED:
            host.record_removed(self.loop.now())
            return
        host.record_listed(draining=entry.machine.phase is api.MachinePhase.DRAINING)
        if entry.address != host.address:
            host.abort_connections("the host's address has changed")
            self._forget_replacement(host)
            host.address = entry.address
            self.observer.mark_changed(host)
        previous_name = self.host_names_by_address.get(entry.address, name)
        self.host_names_by_address[entry.address] = name
        if previous_name != name:
            self._handle_address_taken(entry, previous_name)
        self._apply_process_start(host, entry.started_unix_ms)

    def _apply_process_start(self, host: Host, started_unix_ms: float) -> None:
        previous_unix_ms = host.process_started_unix_ms
        host.process_started_unix_ms = started_unix_ms
        if previous_unix_ms is None or previous_unix_ms >= started_unix_ms:
            # The first report, or the same start again. If this process's clock is behind, the start seems to
            # lie in the future and is taken for now, and each report would declare newer tasks lost.
            return
        self.observer.declare_tasks_lost(
            host,
            "the machine list shows a later start of its process",
            self._estimate_start_ms(started_unix_ms),
        )

    def _estimate_start_ms(self, started_unix_ms: float) -> float:
        return estimate_start_ms(started_unix_ms - self.channel.clock_offset_ms, self.loop.now())

    def _handle_address_taken(self, entry: HostEntry, previous_name: str) -> None:
        """Another host has taken the address, and with it the hosts that were known there are gone.

        Tasks placed there after the new process had started run in it, whichever name they were sent to. They
        stand, and their host keeps the address and its connections for them.
        """
        hosts = self.replaced_hosts_by_address.pop(entry.address, [])
        if previous_name in self.hosts_by_name:
            hosts.append(self.hosts_by_name[previous_name])
        started_at_ms = self._estimate_start_ms(entry.started_unix_ms) if entry.started_unix_ms else NEVER
        for host in hosts:
            # One that has moved on is no longer concerned by who takes its former address.
            if host.name != entry.machine.name and host.address == entry.address:
                self._replace_host(host, entry, started_at_ms)

    def _forget_replacement(self, host: Host) -> None:
        """The host leaves its address, so that another one's start there no longer concerns its tasks."""
        hosts = self.replaced_hosts_by_address.get(host.address, [])
        if host in hosts:
            hosts.remove(host)
            if not hosts:
                del self.replaced_hosts_by_address[host.address]

    def _replace_host(self, host: Host, entry: HostEntry, started_at_ms: float) -> None:
        reason = "another host has taken its address"
        host.record_removed(self.loop.now())
        self.observer.declare_tasks_lost(host, reason, started_at_ms)
        if self.observer.has_placed_tasks(host):
            for connection in [other for other in host.connections if other.began_at_ms < started_at_ms]:
                connection.abort(reason)
            self.replaced_hosts_by_address.setdefault(entry.address, []).append(host)
            self.observer.record_successor(host, entry.machine.name)
        else:
            host.abort_connections(reason)
            host.address = NO_ADDRESS
        self.observer.mark_changed(host)

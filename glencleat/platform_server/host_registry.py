"""The hosts of the connection pool, kept up to date by the machine list.

The connection pool owns the registry, which `apply_list_change` updates by a snapshot or a delta of the list.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Protocol

from glencleat import interface as api
from glencleat.event_loop import Loop
from glencleat.platform_protocol.command_channel import HostEntry, ListChange
from glencleat.platform_server.host_connection import Host
from glencleat.platform_server.pooled_host import NO_ADDRESS, PROCESS_DOUBT_MS, PooledHost

ADDRESS_TAKEN = "another host has taken its address"
STARTED_AGAIN = "the machine list shows another start of its process"

MAX_REMOVED_NAMES = 10_000
"""Names of removed hosts that are remembered, the latest ones."""


class HostObserver(Protocol):
    """Receives notifications of changes that the machine list makes."""

    def mark_changed(self, host: Host) -> None:
        """The host may need maintenance earlier than planned."""

    def is_in_use(self, host: Host) -> bool:
        """Whether tasks are placed on the host, or attempts are open there."""

    def on_process_changed(self, hosts: Iterable[Host], successor_name: str, reason: str) -> None:
        """A new process runs at the address of the hosts; it is known by the name of `successor_name`."""

    def before_removed(self, host: Host) -> None:
        """The machine list is about to name the host no longer."""

    def before_replaced(self, host: Host) -> None:
        """The machine list is about to name another host at its address."""

    def on_removed(self, host: Host) -> None:
        """The machine list no longer names the host."""

    def on_address_left(self, host: Host) -> None:
        """The host is removed or has another address, so its connections reach no other host's process."""


class HostRegistry:
    """Hosts by name and by address.

    Connections are kept by host and not by address, since an address may pass from one host to another.
    """

    def __init__(self, loop: Loop, random: Random, observer: HostObserver) -> None:
        """Starts empty.

        Args:
            loop: Provides the time.
            random: Source of the jitter of waits between connects to a host.
            observer: Notified of changes.
        """
        self.loop = loop
        self.random = random
        self.observer = observer
        self.hosts_by_name: dict[str, Host] = {}
        self.host_names_by_address: dict[tuple[str, int], str] = {}
        # Hosts whose tasks run in the process of the host that has their address now.
        self.replaced_hosts_by_address: dict[tuple[str, int], list[Host]] = {}
        self.removed_names: dict[str, None] = {}  # the list has removed them; the oldest first
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

    def has_address(self, name: str) -> bool:
        """Whether an address is known for the host."""
        host = self.hosts_by_name.get(name)
        return host is not None and host.has_address

    def list_names_at(self, address: tuple[str, int]) -> list[str]:
        """Returns the hosts whose connections reach the process at an address, the one in the list first."""
        current_name = self.host_names_by_address.get(address)
        former = [host.name for host in self.replaced_hosts_by_address.get(address, ())]
        return former if current_name is None else [current_name, *former]

    def apply_list_change(self, change: ListChange) -> None:
        """Applies a snapshot or a delta of the machine list."""
        names = {entry.machine.name for entry in change.hosts}
        for name, host in self.hosts_by_name.items() if change.is_snapshot else ():
            if name not in names:
                self._remove(host)
        for entry in change.hosts:
            self._apply_entry(entry, is_snapshot=change.is_snapshot)

    def _remove(self, host: Host) -> None:
        self.observer.before_removed(host)
        self.removed_names[host.name] = None
        if len(self.removed_names) > MAX_REMOVED_NAMES:
            del self.removed_names[next(iter(self.removed_names))]
        host.record_removed(self.loop.now())
        self.observer.on_removed(host)

    def _apply_entry(self, entry: HostEntry, *, is_snapshot: bool) -> None:
        name = entry.machine.name
        host = self.hosts_by_name.get(name)
        if host is None:
            host = self.add_host(name)
            ready_at_ms = entry.machine.ready_at_ms
            if is_snapshot and ready_at_ms is not None:
                # The host's former process may have had the same id.
                host.process_record.doubted_until_ms = ready_at_ms + PROCESS_DOUBT_MS
        if entry.machine.phase is api.MachinePhase.REMOVED:
            self._remove(host)
            return
        self._doubt_former_tasks(host, entry)
        host.record_listed(draining=entry.machine.phase is api.MachinePhase.DRAINING)
        if entry.address != host.address:
            host.abort_connections("the host's address has changed")
            self._forget_replacement(host)
            host.address = entry.address
            self.observer.mark_changed(host)
        previous_name = self.host_names_by_address.get(entry.address, name)
        self.host_names_by_address[entry.address] = name
        concerned = self._replace_hosts(entry, previous_name) if previous_name != name else []
        reason = ADDRESS_TAKEN if concerned else STARTED_AGAIN
        if self._record_process_start(host, entry.started_unix_ms):
            former = self.replaced_hosts_by_address.get(host.address, ())
            concerned = list(dict.fromkeys([host, *former, *concerned]))
        self.observer.on_process_changed(concerned, name, reason)

    def _doubt_former_tasks(self, host: Host, entry: HostEntry) -> None:
        """Tasks that clients name at a host may be those of a former process with the same id.

        That is so if the list had removed the id, or a client has named it before the list did.
        """
        is_late_start = bool(entry.started_unix_ms) and host.process_started_unix_ms is None
        was_named_before = host.name in self.removed_names or (host.is_removed and not host.has_address)
        self.removed_names.pop(host.name, None)
        if is_late_start and was_named_before:
            host.process_record.doubted_until_ms = self.loop.now() + PROCESS_DOUBT_MS

    @staticmethod
    def _record_process_start(host: Host, started_unix_ms: float) -> bool:
        """Returns whether the start is that of another process than the one listed before.

        That is any other start, also an earlier one: clocks may be stepped. 0 means long ago, and may follow
        any start.
        """
        previous_unix_ms = host.process_started_unix_ms
        if previous_unix_ms is None or started_unix_ms:
            host.process_started_unix_ms = started_unix_ms
        return previous_unix_ms is not None and started_unix_ms not in (0.0, previous_unix_ms)

    def _replace_hosts(self, entry: HostEntry, previous_name: str) -> list[Host]:
        """Another host has taken the address, and with it the hosts that were known there are gone.

        Returns those in use. Tasks that were placed by their names may run in the new process all the same,
        if the list told of it late. Such a host keeps the address and its connections until none is left.
        """
        former = self.replaced_hosts_by_address.pop(entry.address, [])
        returned = [host for host in former if host.name == entry.machine.name]
        hosts = [host for host in former if host not in returned]
        if previous_name in self.hosts_by_name:
            hosts.append(self.hosts_by_name[previous_name])
        # One that has moved on is no longer concerned by who takes its former address.
        replaced = [host for host in hosts if host.address == entry.address]
        in_use = [host for host in replaced if self.observer.is_in_use(host)]
        if in_use:
            self.replaced_hosts_by_address[entry.address] = list(in_use)
        for host in replaced:
            self.observer.before_replaced(host)
            host.record_replaced(self.loop.now())
            self.observer.on_removed(host)
            if host not in in_use:
                host.abort_connections(ADDRESS_TAKEN)
                host.address = NO_ADDRESS
            self.observer.mark_changed(host)
        return [*in_use, *returned]

    def _forget_replacement(self, host: Host) -> None:
        """The host leaves its address, so that another one's start there no longer concerns its tasks."""
        self.observer.on_address_left(host)
        hosts = self.replaced_hosts_by_address.get(host.address, [])
        if host in hosts:
            hosts.remove(host)
            if not hosts:
                del self.replaced_hosts_by_address[host.address]

"""The command channel for many hosts: one list service for each real allocator, its own addresses in it.

Imports the stand-in's list service and the kernel. `parts.py` runs a ChannelServices as a process. The list
is the same for all but for the addresses, by which hosts know whose connection is whose (see `hosts.py`)."""

from __future__ import annotations

from typing import Any

from glencleat.emulators.channel import ChannelService, make_list_entry
from glencleat.event_loop import Loop


class FullListChannelService(ChannelService):
    """`publish` with a whole list as well; counts whole lists and events."""

    def publish_full_list(self, entries: list[dict[str, Any]]) -> int:
        """Bytes of the event."""
        event = self._event(len(self.events) + 1, True, entries)
        self.events.append(event)
        for stream in list(self.streams):
            self._put(stream, event)
        return len(event)


class ChannelServices:
    """A service for each of `allocators`, of hosts given as name, port and zone."""

    def __init__(
        self, loop: Loop, allocators: list[int], hosts: list[tuple[str, int, str]], apart: bool = True
    ) -> None:
        self.has_address_per_allocator = apart  # an address of its own for each allocator
        self.loop, self.location_by_host = loop, {name: (port, zone) for name, port, zone in hosts}
        self.state_by_host = {
            name: ("SERVING", 0.0) for name, _, _ in hosts
        }  # state, Unix start in milliseconds
        self.services_by_allocator = {
            k: FullListChannelService(loop, self._entries(k, list(self.location_by_host))) for k in allocators
        }

    def _entries(self, allocator: int, names: list[str], free: float = 16.0) -> list[dict[str, Any]]:
        found = []
        for name in names:
            port, zone = self.location_by_host[name]
            told = make_list_entry(name, port, *self.state_by_host[name])
            told["hostPort"], told["zone"] = (
                f"127.0.{allocator if self.has_address_per_allocator else 0}.1:{port}",
                zone,
            )
            found.append({**told, "free": [free, 2.0 * free]})
        return found

    def startup_info(self) -> dict[int, tuple[str, int]]:
        return {k: service.address for k, service in self.services_by_allocator.items()}

    def take_snapshot(self, allocator: int) -> dict[str, Any]:
        return self.services_by_allocator[allocator].take_snapshot()

    def schedule_change(self, in_ms: float, names: list[str], phase: str) -> None:
        """One event about all of these hosts, to every allocator; who serves again has just started."""
        self.loop.call_in(in_ms, lambda: self._change(names, phase))

    def _change(self, names: list[str], phase: str) -> None:
        started_ms = float(int(self.loop.clock.wall())) if phase == "SERVING" else 0.0
        for name in names:
            self.state_by_host[name] = phase, started_ms
        for k, service in self.services_by_allocator.items():
            service.publish(self._entries(k, names))

    def schedule_capacity_changes(self, names: list[str], every_ms: float) -> None:
        """An event for each host, one after another: only its free room has changed."""
        for i, name in enumerate(names):
            self.loop.call_in(i * every_ms, lambda name=name, i=i: self._touch(name, 8.0 + i % 8))  # type: ignore[misc]

    def _touch(self, name: str, free: float) -> None:
        for k, service in self.services_by_allocator.items():
            service.publish(self._entries(k, [name], free))

    def publish_full_list(self) -> int:
        """All of it again; bytes of the event."""
        names = [name for name, (phase, _) in self.state_by_host.items() if phase != "DELETED"]
        return max(
            service.publish_full_list(self._entries(k, names))
            for k, service in self.services_by_allocator.items()
        )

    def counts(self) -> dict[str, int]:
        return {f"{k} channel bytes": service.sent_bytes for k, service in self.services_by_allocator.items()}

    def close(self) -> None:
        for service in self.services_by_allocator.values():
            service.close()

"""The stand-ins' hosts in the place of hollow ones, for setting one against the other.

Imports the stand-ins' PlatformHost and the kernel. `runs.py` starts it where a size says `host = "stand-in"`.
There is no agent for the platform's protocol in this repository that runs tasks; these are the nearest. They
send no notes, tell a release once, on the connection of its set-up alone, hold nothing that was handed over,
and know no allocator from another: one is all that is counted."""

from __future__ import annotations

from glencleat.emulators.platform_peers import PlatformHost
from glencleat.event_loop import Loop


class EmulatedHostGroup:
    """As `hosts.HostGroup`, as far as a run without troubles needs it."""

    def __init__(self, loop: Loop, names: list[str], seed: int, shape: dict[str, float]) -> None:
        del seed  # nothing is drawn: each life is as long as the mean
        self.hosts = [PlatformHost(loop, name, 1e3 * shape["life_s"], shape["decide_ms"]) for name in names]

    def startup_info(self) -> dict[str, int]:
        return {host.name: host.port for host in self.hosts}

    def counts(self) -> dict[str, int]:
        return {
            "1 connections": sum(len(host.accept_times) for host in self.hosts),
            "1 in set-up": sum(len(host.received_setups) for host in self.hosts),
        }

    def count_held(self, allocator: int) -> dict[str, int]:
        return {"links": sum(len(host.streams) for host in self.hosts)}

    def close(self) -> None:
        for host in self.hosts:
            host.close()

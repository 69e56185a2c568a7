"""The real allocators of a run: processes of `python -m glencleat node`, from this checkout or another.

Imports the stand-ins' processes. `runs.py` starts them. Each has a list of its own addresses for the hosts,
so that hosts know its connections."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
import psutil

from glencleat.emulators.allocator_processes import SETTINGS, AllocatorProcesses

WARM_UP_RULES = {"warm-within-ms": 16_000.0, "overload-for-ms": 1_000.0, "stop-sending-within-ms": 500.0}


class RealAllocators(AllocatorProcesses):
    """`peers`: how many allocators the settings tell of."""

    def __init__(self, folder: Path, count: int, seed: int, sockets: int, tree: Path, peers: int) -> None:
        super().__init__(folder, count, seed, sockets, tree)
        self.peer_count = peers

    def __enter__(self) -> RealAllocators:
        return self

    def write_config(
        self, number: int, zone: str, channel: tuple[str, int], known: Mapping[str, Any]
    ) -> None:
        """The configuration of one, over the stand-ins' settings."""
        path = self.configure(number, channel, known, rules=WARM_UP_RULES, domain={"fresh-offers": 24.0})
        config = msgspec.json.decode(path.read_bytes())
        config["settings"] = {**SETTINGS, **config["settings"], "peers-total": self.peer_count, "az": zone}
        path.write_bytes(msgspec.json.encode(config))

    def process(self, number: int) -> psutil.Process:
        return psutil.Process(self.processes_by_number[number].pid)

    def count_faults(self, number: int) -> int:
        """Faults of its own that its log tells of."""
        return self.log_path(number).read_bytes().count(b"FAULT ")

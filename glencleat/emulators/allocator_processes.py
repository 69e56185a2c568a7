"""Many allocators of the platform's kind as processes of their own: started at one instant, stalled, killed.

For tests and benchmarks (psutil is of requirements-dev). Each gets a configuration file and a log in a
folder; no shell is involved. Used as a context: whatever happens, every process that was started is ended
and waited for."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from types import TracebackType
from typing import Any

import msgspec
import psutil

PROCESS_MB = 25  # resident, with room for what a start allocates
MAX_PROCESSES = 400
READY_PREFIX = b"listening on "
# As the operators' settings name things; two classes are enough for a start.
SETTINGS: dict[str, Any] = {
    "az": "a",
    "classes": [
        {"name": "safe", "effect": "pure", "goal-time-ms": 1_000.0, "deadline-ms": 8_000.0},
        {"name": "unsafe", "effect": "side_effect", "goal-time-ms": 1_000.0, "deadline-ms": 8_000.0},
    ],
    "kinds": ["std"],
    "domain": {"cores-by-kind": [16], "kind-memory": [32.0], "cpu-booking": 2.0, "view": True},
    "limits": {"max-attempts": 3, "connect-timeout-ms": 250.0, "conn-idle-ms": 30_000.0},
    "discovery": "ask",
    "rules": {"stop-sending-within-ms": 500.0, "warm-within-ms": 1.0, "overload-for-ms": 1.0},
}


class ProcessError(Exception):
    """Processes can't be had as asked for; the text says why."""


def available_mb() -> int:
    """What the machine can still give, as the system tells it."""
    return psutil.virtual_memory().available >> 20


class AllocatorProcesses:
    """`count` allocators. `checkout` holds the program to run, by default this one: an earlier version's tree
    compares the two in one run."""

    def __init__(
        self, folder: Path, count: int, seed: int, max_sockets: int = 256, checkout: Path | None = None
    ) -> None:
        if count > MAX_PROCESSES or count * PROCESS_MB > available_mb():
            left = available_mb()
            raise ProcessError(
                f"{count} processes of {PROCESS_MB} MB: at most {MAX_PROCESSES}, {left} MB are left"
            )
        self.folder, self.count, self.seed, self.max_sockets, self.checkout = (
            folder,
            count,
            seed,
            max_sockets,
            checkout,
        )
        self.processes_by_number: dict[int, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> AllocatorProcesses:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, at: TracebackType | None
    ) -> None:
        for number in list(self.processes_by_number):
            self.kill(number)

    def name(self, number: int) -> str:
        return f"n{number}"

    def log_path(self, number: int) -> Path:
        return self.folder / f"{self.name(number)}.log"

    def configure(
        self, number: int, channel: tuple[str, int], known: Mapping[str, Any], **more: Mapping[str, Any]
    ) -> Path:
        """`more`: parts of the settings, by name, that differ from SETTINGS."""
        parts = {name: {**SETTINGS[name], **part} for name, part in more.items()}
        path = self.folder / f"{self.name(number)}.json"
        config = {
            "name": self.name(number),
            "listen": "127.0.0.1:0",
            "seed": f"{(self.seed << 16) + number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.max_sockets},
            "channel": f"{channel[0]}:{channel[1]}",
            "known": known,
            "settings": {**SETTINGS, **parts, "peers-total": self.count, "position": number},
        }
        path.write_bytes(msgspec.json.encode(config))
        return path

    def start(self, number: int) -> None:
        """With the configuration written before; its log goes on where it was."""
        environment = {
            **os.environ,
            "ROUTER_NAME": self.name(number),
            "ROUTER_CONFIG": str(self.folder / f"{self.name(number)}.json"),
        }
        if self.checkout is not None:
            environment["PYTHONPATH"] = str(self.checkout)
        with self.log_path(number).open("ab") as log:
            self.processes_by_number[number] = subprocess.Popen(
                [sys.executable, "-m", "glencleat", "node"],
                env=environment,
                cwd=self.checkout,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def listen_address(self, number: int) -> tuple[str, int] | None:
        """Where it listens, once it does; of its last start."""
        said = (
            self.log_path(number).read_bytes().rpartition(READY_PREFIX)[2]
            if self.log_path(number).exists()
            else b""
        )
        place = said.partition(b",")[0].decode()
        host, colon, port = place.rpartition(":")
        return (host, int(port)) if colon and port.isdigit() else None

    def is_alive(self, number: int) -> bool:
        child = self.processes_by_number.get(number)
        return child is not None and child.poll() is None

    def resident_mb(self, number: int) -> float:
        return float(psutil.Process(self.processes_by_number[number].pid).memory_info().rss) / (1 << 20)

    def stall(self, number: int) -> None:
        self.processes_by_number[number].send_signal(signal.SIGSTOP)

    def resume(self, number: int) -> None:
        self.processes_by_number[number].send_signal(signal.SIGCONT)

    def kill(self, number: int) -> None:
        """Killed outright, also when it is stalled, and waited for."""
        child = self.processes_by_number.pop(number, None)
        if child is not None:
            child.kill()
            child.wait()

"""What a phase of a run cost each real allocator: CPU seconds, memory, messages, bytes, waits.

Imports `scale.counting`. `runs.py` measures by it, `report.py` writes it. CPU time is the process's own, as
the system accounts it: it bears a busy machine, though shared caches show in it a little."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

import msgspec
import psutil
from hdrh.histogram import HdrHistogram

SAMPLE_S = 1.0
UNIT = 100  # counts of the histogram in a millisecond: 10 us
LONGEST_MS = 60_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class Cost(msgspec.Struct):
    """Of one allocator in one phase."""

    allocator: int
    seconds: float
    cpu_s: float
    busiest_cpu_s: float  # CPU seconds of its busiest second
    rss_mb: float  # at the phase's end
    most_mb: float
    counts: dict[str, int] = {}  # at hosts, `host ...`; at owners, `owner ...`; the channel's bytes
    waits_ms: dict[str, float] = {}  # percentiles of the time to an answer
    state: dict[str, int] = {}  # standing and open at the phase's end

    @property
    def cpu_percent(self) -> float:
        return 100.0 * self.cpu_s / self.seconds


class MeasuredPhase(msgspec.Struct):
    name: str
    hosts: int
    allocators: list[Cost]
    hollow: dict[int, dict[str, int]] = {}  # what was counted of each hollow allocator
    partial: bool = False
    notes: dict[str, float] = {}


class Meter:
    """CPU and memory of some processes over a phase, looked at once a second."""

    def __init__(self, processes: dict[int, psutil.Process]) -> None:
        self.processes = processes
        self.began = self.last_at = time.monotonic()
        self.first = self.last = {k: self._cpu(k) for k in processes}
        self.busiest = dict.fromkeys(processes, 0.0)
        self.most = dict.fromkeys(processes, 0.0)
        self.rss = dict.fromkeys(processes, 0.0)

    def _cpu(self, k: int) -> float:
        times = self.processes[k].cpu_times()
        return float(times.user + times.system)

    def sample(self) -> None:
        now, seen = time.monotonic(), {k: self._cpu(k) for k in self.processes}
        passed = now - self.last_at
        for k, process in self.processes.items():
            if passed >= 0.5 * SAMPLE_S:
                self.busiest[k] = max(self.busiest[k], (seen[k] - self.last[k]) / passed)
            self.rss[k] = process.memory_info().rss / (1 << 20)
            self.most[k] = max(self.most[k], self.rss[k])
        self.last, self.last_at = seen, now

    def run(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0.0:
            time.sleep(min(SAMPLE_S, left))
            self.sample()

    def costs(self) -> list[Cost]:
        self.sample()
        passed = self.last_at - self.began
        return [
            Cost(k, passed, self.last[k] - self.first[k], self.busiest[k], self.rss[k], self.most[k])
            for k in self.processes
        ]


def percentiles(waits: list[float]) -> dict[str, float]:
    """Of times in milliseconds, by a histogram of three digits.

    >>> percentiles([1.0, 2.0, 3.0])["p50"]
    2.0
    """
    if not waits:
        return {}
    histogram = HdrHistogram(1, LONGEST_MS * UNIT, 3)
    for wait in waits:
        histogram.record_value(min(LONGEST_MS * UNIT, max(1, round(wait * UNIT))))
    found = {f"p{p:g}": histogram.get_value_at_percentile(p) / UNIT for p in PERCENTILES}
    return {**found, "count": float(len(waits))}


def difference(after: dict[str, int], before: dict[str, int]) -> dict[str, int]:
    """What was counted between.

    >>> difference({"a": 3, "b": 1}, {"a": 1, "b": 1})
    {'a': 2}
    """
    less = {name: count - before.get(name, 0) for name, count in after.items()}
    return {name: count for name, count in less.items() if count}


def total(parts: list[dict[str, int]]) -> dict[str, int]:
    found: Counter[str] = Counter()
    for part in parts:
        found.update(part)
    return dict(found)


def snapshot_names(counts: dict[str, int], side: str) -> dict[str, Any]:
    """`3 in release` of a side as `3 host in release`."""
    return {
        f"{number} {side} {what}": count
        for name, count in counts.items()
        for number, _, what in [name.partition(" ")]
    }

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
COUNTS_PER_MS = 100  # counts of the histogram in a millisecond: 10 us
MAX_WAIT_MS = 60_000
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
        self.started_at = self.last_at = time.monotonic()
        self.first_cpu_s = self.last_cpu_s = {k: self._cpu(k) for k in processes}
        self.busiest_cpu_share = dict.fromkeys(processes, 0.0)
        self.max_rss_mb = dict.fromkeys(processes, 0.0)
        self.rss_mb = dict.fromkeys(processes, 0.0)

    def _cpu(self, k: int) -> float:
        times = self.processes[k].cpu_times()
        return float(times.user + times.system)

    def sample(self) -> None:
        now, seen = time.monotonic(), {k: self._cpu(k) for k in self.processes}
        passed = now - self.last_at
        for k, process in self.processes.items():
            if passed >= 0.5 * SAMPLE_S:
                self.busiest_cpu_share[k] = max(
                    self.busiest_cpu_share[k], (seen[k] - self.last_cpu_s[k]) / passed
                )
            self.rss_mb[k] = process.memory_info().rss / (1 << 20)
            self.max_rss_mb[k] = max(self.max_rss_mb[k], self.rss_mb[k])
        self.last_cpu_s, self.last_at = seen, now

    def sample_for(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0.0:
            time.sleep(min(SAMPLE_S, left))
            self.sample()

    def costs(self) -> list[Cost]:
        self.sample()
        passed = self.last_at - self.started_at
        return [
            Cost(
                k,
                passed,
                self.last_cpu_s[k] - self.first_cpu_s[k],
                self.busiest_cpu_share[k],
                self.rss_mb[k],
                self.max_rss_mb[k],
            )
            for k in self.processes
        ]


def percentiles(waits: list[float]) -> dict[str, float]:
    """Of times in milliseconds, by a histogram of three digits.

    >>> percentiles([1.0, 2.0, 3.0])["p50"]
    2.0
    """
    if not waits:
        return {}
    histogram = HdrHistogram(1, MAX_WAIT_MS * COUNTS_PER_MS, 3)
    for wait in waits:
        histogram.record_value(min(MAX_WAIT_MS * COUNTS_PER_MS, max(1, round(wait * COUNTS_PER_MS))))
    found = {f"p{p:g}": histogram.get_value_at_percentile(p) / COUNTS_PER_MS for p in PERCENTILES}
    return {**found, "count": float(len(waits))}


def subtract_counts(after: dict[str, int], before: dict[str, int]) -> dict[str, int]:
    """What was counted between.

    >>> subtract_counts({"a": 3, "b": 1}, {"a": 1, "b": 1})
    {'a': 2}
    """
    less = {name: count - before.get(name, 0) for name, count in after.items()}
    return {name: count for name, count in less.items() if count}


def sum_counts(parts: list[dict[str, int]]) -> dict[str, int]:
    found: Counter[str] = Counter()
    for part in parts:
        found.update(part)
    return dict(found)


def label_counts(counts: dict[str, int], side: str) -> dict[str, Any]:
    """`3 in release` of a side as `3 host in release`."""
    return {
        f"{number} {side} {what}": count
        for name, count in counts.items()
        for number, _, what in [name.partition(" ")]
    }

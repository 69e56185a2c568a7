"""Two sides by the same counts: hollow allocators against real ones, one run against another.

Imports `scale.measure` and `scale.report`. `benchmarks/scale.py` writes its tables."""

from __future__ import annotations

from glencleat.scale.measure import MeasuredPhase
from glencleat.scale.report import format_table, rates

MIN_MESSAGES = 800  # messages counted in all: below, chance alone may make 10% of difference
TOLERANCE = 0.1


def judge_ratio(one: float, other: float, counted: float) -> tuple[str, str]:
    """The second's part of the first, and whether that is within 10%."""
    if not one:
        return "", "too few to tell" if counted < MIN_MESSAGES else "no"
    part = other / one
    if counted < MIN_MESSAGES:
        return f"{part:.3f}", "too few to tell"
    return f"{part:.3f}", "yes" if abs(part - 1.0) <= TOLERANCE else "no"


def compare_hollow(phases: list[MeasuredPhase]) -> list[str]:
    """Messages and bytes at the hosts, a second and allocator: real ones, hollow ones, hollow of real."""
    rows = []
    for phase in (phase for phase in phases if phase.hollow and phase.name != "whole run"):
        seconds = phase.allocators[0].seconds
        reals, hollows = [cost.counts for cost in phase.allocators], list(phase.hollow.values())
        for name in sorted({name for counts in reals for name in counts if name.startswith("host ")}):
            real, hollow = (sum(counts.get(name, 0) for counts in side) for side in (reals, hollows))
            each = real / len(reals) / seconds, hollow / len(hollows) / seconds
            messages = name.removesuffix(" bytes")
            counted = sum(counts.get(messages, 0) for counts in [*reals, *hollows])
            rows.append([phase.name, name, f"{each[0]:.2f}", f"{each[1]:.2f}", *judge_ratio(*each, counted)])
    head = ["phase", "counted at the hosts, a second", "real", "hollow", "hollow / real", "within 10%"]
    return format_table(head, rows) if rows else []


def _figures(phases: list[MeasuredPhase]) -> dict[str, float]:
    """Of phases of one name, the mean over allocators."""
    costs = [cost for phase in phases for cost in phase.allocators]
    waits = [cost.waits_ms for cost in costs if cost.waits_ms]
    found = {
        "CPU, % of a core": sum(cost.cpu_percent for cost in costs) / len(costs),
        "busiest second, % of a core": 100.0 * max(cost.busiest_cpu_s for cost in costs),
        "resident at its end, MB": max(cost.rss_mb for cost in costs),
        "connections at hosts, a second": sum(
            cost.counts.get("host connections", 0) / cost.seconds for cost in costs
        )
        / len(costs),
    }
    for side, way, label in (
        ("host", "in", "to hosts"),
        ("host", "out", "from hosts"),
        ("owner", "in", "to owners"),
        ("owner", "out", "from owners"),
    ):
        told = [rates(cost, side, way) for cost in costs]
        found[f"messages {label}, a second"] = sum(each for each, _ in told) / len(told)
        found[f"bytes {label}, a second"] = sum(size for _, size in told) / len(told)
    for name in ("p50", "p99", "p100") if waits else ():
        found[f"time to the answer, {name}, ms"] = max(wait[name] for wait in waits)
    return found


def compare_runs(one: list[MeasuredPhase], other: list[MeasuredPhase], names: tuple[str, str]) -> list[str]:
    """Phase by phase, what both runs have; of several allocators the mean, of extremes the largest."""
    rows = []
    keys = dict.fromkeys((phase.hosts, phase.name) for phase in one)
    for hosts, name in keys:
        chosen = [[p for p in side if (p.hosts, p.name) == (hosts, name)] for side in (one, other)]
        if not all(chosen) or name == "whole run":
            continue
        first, second = (_figures(phases) for phases in chosen)
        for what, value in first.items():
            if not (value or second.get(what)) or what not in second:
                continue
            part = f"{second[what] / value:.2f}" if value else ""
            rows.append([f"{hosts}", name, what, f"{value:.4g}", f"{second[what]:.4g}", part])
    head = ["hosts", "phase", "figure", *names, f"{names[1]} / {names[0]}"]
    return format_table(head, rows)

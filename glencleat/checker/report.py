"""What a record tells: tasks by outcome, latency percentiles, broken rules with their lines. Tables by
rich."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from glencleat.checker.chance_bounds import BoundVerdict
from glencleat.checker.invariants import PLACED, RECONCILED, TURNED, Violation
from glencleat.checker.trace import TraceEntry

SHARES = (50.0, 90.0, 99.0, 100.0)
SHOWN = 20  # breaches printed; the rest is counted


@dataclass
class Summary:
    """Asks by class and how they ended, with the time from ACCEPT to placement."""

    outcomes: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    placed: dict[str, HdrHistogram] = field(default_factory=dict)
    offered: int = 0
    refused_offers: int = 0
    started: int = 0

    def percentile(self, cls: str, share: float) -> float:
        """Milliseconds."""
        histogram = self.placed.get(cls)
        return histogram.get_value_at_percentile(share) / 1_000.0 if histogram is not None else 0.0


def outcome(entry: TraceEntry) -> str:
    if entry.state in PLACED:
        return "placed"
    return "refused" if entry.retry == "harmless" else "failed"


def final(entry: TraceEntry) -> bool:
    """Whether a status answers an ask; a reply to RECONCILE does not."""
    return entry.reason != RECONCILED and entry.state in PLACED + TURNED


def summary(entries: list[TraceEntry]) -> Summary:
    told = Summary()
    open_asks: dict[tuple[str, str], TraceEntry] = {}
    for entry in entries:
        key = entry.allocator, entry.task
        if entry.kind == "asked":
            before = open_asks.get(key)
            if before is not None:
                told.outcomes[before.cls]["unanswered"] += 1
            open_asks[key] = entry
        elif entry.kind == "answer" and key in open_asks and final(entry):
            ask = open_asks.pop(key)
            told.outcomes[ask.cls][outcome(entry)] += 1
            if entry.state in PLACED:
                histogram = told.placed.setdefault(ask.cls, HdrHistogram(1, 120_000_000, 3))
                histogram.record_value(max(1, round((entry.at - ask.at) * 1_000.0)))
        told.offered += entry.kind == "offered"
        told.refused_offers += entry.kind == "said" and entry.state == "TASK_DROPPED"
        told.started += entry.kind == "started"
    for ask in open_asks.values():
        told.outcomes[ask.cls]["unanswered"] += 1
    return told


def show(
    entries: list[TraceEntry], breaches: list[Violation], bounds: list[BoundVerdict], console: Console
) -> None:
    told = summary(entries)
    table = Table(title="Asks by outcome; ms from ACCEPT to placement")
    table.add_column("class", no_wrap=True)
    for name in ("asked", "placed", "refused", "failed", "unanswered", *(f"p{s:g}" for s in SHARES)):
        table.add_column(name, justify="right", no_wrap=True)
    for cls in sorted(told.outcomes):
        counts = told.outcomes[cls]
        row = [counts[name] for name in ("placed", "refused", "failed", "unanswered")]
        times = [f"{told.percentile(cls, share):.1f}" for share in SHARES]
        table.add_row(cls, str(sum(row)), *map(str, row), *times)
    console.print(table)
    console.print(
        f"offers {told.offered}, turned down {told.refused_offers}, programs started {told.started}, "
        f"entries {len(entries)}"
    )
    lags = [entry.left for entry in entries if entry.kind == "lag"]
    if lags:
        console.print(f"the stand-ins stood still for up to {max(lags):.0f} ms; the rules allow for that")
    for breach in breaches[:SHOWN]:
        console.print(f"broken: {breach}", style="red", highlight=False, soft_wrap=True)
        for line in breach.lines[:6]:
            console.print(f"  {line}: {entries[line - 1]}", highlight=False, soft_wrap=True)
    if len(breaches) > SHOWN:
        console.print(f"and {len(breaches) - SHOWN} more")
    for bound in bounds:
        console.print(f"bound {bound.bound}: {bound.state.value}, {bound.text}", highlight=False)
    console.print(f"rules broken: {len(breaches)}" if breaches else "all five rules kept")

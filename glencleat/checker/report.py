"""What a record tells: tasks by outcome, latency percentiles, broken rules with their lines. Tables by
rich."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from glencleat.checker.chance_bounds import BoundVerdict
from glencleat.checker.invariants import PLACED_STATES, RECONCILIATION_REASON, UNPLACED_STATES, Violation
from glencleat.checker.trace import TraceEntry

PERCENTILES = (50.0, 90.0, 99.0, 100.0)
MAX_SHOWN_VIOLATIONS = 20  # breaches printed; the rest is counted


@dataclass
class Summary:
    """Asks by class and how they ended, with the time from ACCEPT to placement."""

    outcomes_by_class: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    placement_us_by_class: dict[str, HdrHistogram] = field(default_factory=dict)
    offer_count: int = 0
    rejected_offer_count: int = 0
    start_count: int = 0

    def placement_ms(self, task_class: str, percent: float) -> float:
        """Milliseconds."""
        histogram = self.placement_us_by_class.get(task_class)
        return histogram.get_value_at_percentile(percent) / 1_000.0 if histogram is not None else 0.0


def classify_answer(entry: TraceEntry) -> str:
    if entry.state in PLACED_STATES:
        return "placed"
    return "refused" if entry.retry == "harmless" else "failed"


def is_final_answer(entry: TraceEntry) -> bool:
    """Whether a status answers an ask; a reply to RECONCILE does not."""
    return entry.reason != RECONCILIATION_REASON and entry.state in PLACED_STATES + UNPLACED_STATES


def summarize(entries: list[TraceEntry]) -> Summary:
    told = Summary()
    open_asks: dict[tuple[str, str], TraceEntry] = {}
    for entry in entries:
        key = entry.allocator, entry.task
        if entry.kind == "asked":
            before = open_asks.get(key)
            if before is not None:
                told.outcomes_by_class[before.cls]["unanswered"] += 1
            open_asks[key] = entry
        elif entry.kind == "answer" and key in open_asks and is_final_answer(entry):
            ask = open_asks.pop(key)
            told.outcomes_by_class[ask.cls][classify_answer(entry)] += 1
            if entry.state in PLACED_STATES:
                histogram = told.placement_us_by_class.setdefault(ask.cls, HdrHistogram(1, 120_000_000, 3))
                histogram.record_value(max(1, round((entry.at - ask.at) * 1_000.0)))
        told.offer_count += entry.kind == "offered"
        told.rejected_offer_count += entry.kind == "said" and entry.state == "TASK_DROPPED"
        told.start_count += entry.kind == "started"
    for ask in open_asks.values():
        told.outcomes_by_class[ask.cls]["unanswered"] += 1
    return told


def print_report(
    entries: list[TraceEntry], violations: list[Violation], bounds: list[BoundVerdict], console: Console
) -> None:
    told = summarize(entries)
    table = Table(title="Asks by outcome; ms from ACCEPT to placement")
    table.add_column("class", no_wrap=True)
    for name in ("asked", "placed", "refused", "failed", "unanswered", *(f"p{s:g}" for s in PERCENTILES)):
        table.add_column(name, justify="right", no_wrap=True)
    for cls in sorted(told.outcomes_by_class):
        counts = told.outcomes_by_class[cls]
        row = [counts[name] for name in ("placed", "refused", "failed", "unanswered")]
        times = [f"{told.placement_ms(cls, share):.1f}" for share in PERCENTILES]
        table.add_row(cls, str(sum(row)), *map(str, row), *times)
    console.print(table)
    console.print(
        f"offers {told.offer_count}, turned down {told.rejected_offer_count}, programs started {told.start_count}, "
        f"entries {len(entries)}"
    )
    lags = [entry.left for entry in entries if entry.kind == "lag"]
    if lags:
        console.print(f"the stand-ins stood still for up to {max(lags):.0f} ms; the rules allow for that")
    for breach in violations[:MAX_SHOWN_VIOLATIONS]:
        console.print(f"broken: {breach}", style="red", highlight=False, soft_wrap=True)
        for line in breach.trace_lines[:6]:
            console.print(f"  {line}: {entries[line - 1]}", highlight=False, soft_wrap=True)
    if len(violations) > MAX_SHOWN_VIOLATIONS:
        console.print(f"and {len(violations) - MAX_SHOWN_VIOLATIONS} more")
    for bound in bounds:
        console.print(f"bound {bound.bound}: {bound.state.value}, {bound.text}", highlight=False)
    console.print(f"rules broken: {len(violations)}" if violations else "all five rules kept")

"""The report on a trace: tasks by outcome, latency percentiles, violations with their lines."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from glencleat.checker.chance_bounds import BoundVerdict
from glencleat.checker.invariants import Violation
from glencleat.checker.trace import TraceEntry
from glencleat.checker.trace_history import PLACED_STATES, RECONCILIATION_REASON, UNPLACED_STATES

PERCENTILES = (50.0, 90.0, 99.0, 100.0)
OUTCOMES = ("placed", "refused", "failed", "unanswered")
MAX_SHOWN_LINES = 6  # of the trace, for each violation
MAX_HISTOGRAM_US = 120_000_000  # two minutes: longer placements count as this
MAX_SHOWN_VIOLATIONS = 20  # further ones are only counted


@dataclass
class Summary:
    """Outcomes of requests by class, with the time from ACCEPT to placement."""

    outcomes_by_class: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    placement_us_by_class: dict[str, HdrHistogram] = field(default_factory=dict)
    offer_count: int = 0
    rejected_offer_count: int = 0
    start_count: int = 0

    def placement_ms(self, task_class: str, percent: float) -> float:
        """Time from ACCEPT to placement at that percentile, in milliseconds; 0 where nothing was placed."""
        histogram = self.placement_us_by_class.get(task_class)
        return histogram.get_value_at_percentile(percent) / 1_000.0 if histogram is not None else 0.0


def classify_answer(entry: TraceEntry) -> str:
    """The outcome, and so the column of the report, that a final answer counts as."""
    if entry.state in PLACED_STATES:
        return "placed"
    return "refused" if entry.retry == "harmless" else "failed"


def is_final_answer(entry: TraceEntry) -> bool:
    """Whether a status is the final answer to a request; a reply to RECONCILE is not."""
    return entry.reason != RECONCILIATION_REASON and entry.state in PLACED_STATES + UNPLACED_STATES


def summarize(entries: list[TraceEntry]) -> Summary:
    """Counts a trace's requests by class and outcome, and its offers and starts."""
    summary = Summary()
    open_requests: dict[tuple[str, str], TraceEntry] = {}
    for entry in entries:
        key = entry.allocator, entry.task
        if entry.kind == "asked":
            previous = open_requests.get(key)
            if previous is not None:
                summary.outcomes_by_class[previous.cls]["unanswered"] += 1
            open_requests[key] = entry
        elif entry.kind == "answer" and key in open_requests and is_final_answer(entry):
            request = open_requests.pop(key)
            summary.outcomes_by_class[request.cls][classify_answer(entry)] += 1
            if entry.state in PLACED_STATES:
                histogram = summary.placement_us_by_class.setdefault(
                    request.cls, HdrHistogram(1, MAX_HISTOGRAM_US, 3)
                )
                histogram.record_value(max(1, round((entry.at - request.at) * 1_000.0)))
        summary.offer_count += entry.kind == "offered"
        summary.rejected_offer_count += entry.kind == "said" and entry.state == "TASK_DROPPED"
        summary.start_count += entry.kind == "started"
    for request in open_requests.values():
        summary.outcomes_by_class[request.cls]["unanswered"] += 1
    return summary


def print_report(
    entries: list[TraceEntry], violations: list[Violation], bounds: list[BoundVerdict], console: Console
) -> None:
    """Prints the table of outcomes, the violations with their trace lines, and the verdicts on bounds."""
    summary = summarize(entries)
    console.print(_outcome_table(summary))
    console.print(
        f"offers {summary.offer_count}, turned down {summary.rejected_offer_count}, "
        f"programs started {summary.start_count}, entries {len(entries)}"
    )
    lags_ms = [entry.left for entry in entries if entry.kind == "lag"]
    if lags_ms:
        console.print(f"the emulators stood still for up to {max(lags_ms):.0f} ms; the rules allow for that")
    _print_violations(entries, violations, console)
    for bound in bounds:
        console.print(f"bound {bound.bound}: {bound.state.value}, {bound.text}", highlight=False)
    console.print(f"rules broken: {len(violations)}" if violations else "all five rules kept")


def _outcome_table(summary: Summary) -> Table:
    table = Table(title="Asks by outcome; ms from ACCEPT to placement")
    table.add_column("class", no_wrap=True)
    percentile_names = [f"p{percent:g}" for percent in PERCENTILES]
    for name in ("asked", *OUTCOMES, *percentile_names):
        table.add_column(name, justify="right", no_wrap=True)
    for task_class in sorted(summary.outcomes_by_class):
        counts = summary.outcomes_by_class[task_class]
        row = [counts[name] for name in OUTCOMES]
        times = [f"{summary.placement_ms(task_class, percent):.1f}" for percent in PERCENTILES]
        table.add_row(task_class, str(sum(row)), *map(str, row), *times)
    return table


def _print_violations(entries: list[TraceEntry], violations: list[Violation], console: Console) -> None:
    for violation in violations[:MAX_SHOWN_VIOLATIONS]:
        console.print(f"broken: {violation}", style="red", highlight=False, soft_wrap=True)
        for line in violation.trace_lines[:MAX_SHOWN_LINES]:
            console.print(f"  {line}: {entries[line - 1]}", highlight=False, soft_wrap=True)
    if len(violations) > MAX_SHOWN_VIOLATIONS:
        console.print(f"and {len(violations) - MAX_SHOWN_VIOLATIONS} more")

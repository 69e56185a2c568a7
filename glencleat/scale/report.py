"""What runs found, as versioned JSON, a markdown table, lines over the number of hosts, and a chart.

Imports `scale.measure` and `scale.size`; scipy and matplotlib (requirements-dev) where a line or a chart is
asked for. `benchmarks/scale.py` calls it."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec

from glencleat.scale.measure import Cost, MeasuredPhase
from glencleat.scale.run_size import RunSize

RESULTS_VERSION = 1
WRONG_OUTCOMES = ("no answer", "second answer", "answer to nothing", "second release", "release of nothing")
TABLE_HEAD = (
    "hosts", "phase", "allocator", "CPU %", "busiest s %", "MB", "most MB", "standing", "links",
    "to hosts msg/s", "B/s", "from hosts msg/s", "B/s", "conn/s", "list B/s", "asked/s",
    "p50 ms", "p99 ms", "max ms", "refused", "failed", "lost", "not one answer",
    "hollow CPU %", "machine CPU %",
)  # fmt: skip
CONFIDENCE = 0.95


class ResultsError(Exception):
    """A file of results can't be read; the text says why."""


class Results(msgspec.Struct):
    """A file of results. `partial`: why it is not whole, or nothing."""

    version: int
    partial: str
    machine: str
    program: str  # the tree's commit
    size: RunSize
    phases: list[MeasuredPhase]


class Fit(msgspec.Struct):
    """A straight line through (hosts, figure): least squares, and the slope's interval at CONFIDENCE."""

    what: str
    unit: str
    points: list[tuple[float, float]]
    slope: float  # of a thousand hosts
    low: float
    high: float
    at_none: float
    r2: float


def rates(cost: Cost, side: str, way: str) -> tuple[float, float]:
    """Messages and bytes a second of all kinds, as `host in` or `owner out`."""
    begin = f"{side} {way} "
    chosen = [(name, count) for name, count in cost.counts.items() if name.startswith(begin)]
    messages = sum(count for name, count in chosen if not name.endswith(" bytes"))
    size = sum(count for name, count in chosen if name.endswith(" bytes"))
    return messages / cost.seconds, size / cost.seconds


def count_wrong(counts: dict[str, int]) -> int:
    """Requests that did not have exactly one answer, and ends told twice or of nothing."""
    return sum(counts.get(f"owner {name}", 0) for name in WRONG_OUTCOMES)


def make_row(phase: MeasuredPhase, cost: Cost) -> list[str]:
    to_hosts, from_hosts = rates(cost, "host", "in"), rates(cost, "host", "out")
    counts, waits, notes = cost.counts, cost.waits_ms, phase.notes

    def wait(name: str) -> str:
        return f"{waits[name]:.1f}" if name in waits else ""

    return [
        f"{phase.hosts}", phase.name + (" *partial*" if phase.partial else ""), f"{cost.allocator}",
        f"{cost.cpu_percent:.2f}", f"{100.0 * cost.busiest_cpu_s:.1f}",
        f"{cost.rss_mb:.1f}", f"{cost.most_mb:.1f}",
        f"{cost.state.get('standing', 0)}", f"{cost.state.get('links', 0)}",
        f"{to_hosts[0]:.1f}", f"{to_hosts[1]:.0f}", f"{from_hosts[0]:.1f}", f"{from_hosts[1]:.0f}",
        f"{counts.get('host connections', 0) / cost.seconds:.1f}",
        f"{counts.get('channel bytes', 0) / cost.seconds:.0f}",
        f"{counts.get('owner asked', 0) / cost.seconds:.1f}", wait("p50"), wait("p99"), wait("p100"),
        *(f"{counts.get('owner ' + name, 0)}" for name in ("refused", "failed", "lost")),
        f"{count_wrong(counts)}",
        f"{notes.get('busiest hollow process, CPU %', 0.0):.0f}", f"{notes.get('machine, CPU %', 0.0):.0f}",
    ]  # fmt: skip


def format_table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> list[str]:
    names = list(head)
    lines = ["| " + " | ".join(names) + " |", "| " + " | ".join("---" for _ in names) + " |"]
    return lines + ["| " + " | ".join(cells) + " |" for cells in rows]


def format_phases(phases: list[MeasuredPhase]) -> list[str]:
    return format_table(TABLE_HEAD, [make_row(phase, cost) for phase in phases for cost in phase.allocators])


# ---- lines over the number of hosts ----


def _idle(phases: list[MeasuredPhase], hosts: int) -> float:
    """CPU seconds a second with nothing to do, in the mean."""
    costs = [c for p in phases if p.hosts == hosts and p.name == "idle" for c in p.allocators]
    return sum(c.cpu_s for c in costs) / max(1e-9, sum(c.seconds for c in costs))


def line_points(phases: list[MeasuredPhase]) -> dict[tuple[str, str], list[tuple[float, float]]]:
    """The points of each line: (what, unit) to (hosts, figure)."""

    def event_ms(phase: MeasuredPhase, cost: Cost) -> float:
        return 1e3 * (cost.cpu_s - _idle(phases, phase.hosts) * cost.seconds) / phase.notes["events"]

    wanted: list[tuple[str, str, str, Callable[[MeasuredPhase, Cost], float]]] = [
        ("idle", "idle CPU", "% of a core", lambda phase, cost: cost.cpu_percent),
        ("list event of one host", "CPU of one host's list event", "ms", event_ms),
        ("whole list", "CPU of the whole list", "ms", event_ms),
        ("idle", "resident memory, idle", "MB", lambda phase, cost: cost.rss_mb),
    ]
    found: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for name, what, unit, figure in wanted:
        points = [(float(p.hosts), figure(p, c)) for p in phases if p.name == name for c in p.allocators]
        found[what, unit] = points
    return found


def fit_lines(phases: list[MeasuredPhase]) -> list[Fit]:
    """Of every figure with points at three numbers of hosts or more; loaded phases give none."""
    wide = {
        name: points
        for name, points in line_points(phases).items()
        if len({hosts for hosts, _ in points}) >= 3 and len(points) >= 4
    }
    return [fit_line(what, unit, points) for (what, unit), points in wide.items()]


def fit_line(what: str, unit: str, points: list[tuple[float, float]]) -> Fit:
    """By least squares; the slope's interval by Student's t with two degrees of freedom less than points."""
    from scipy import stats

    line = stats.linregress([hosts / 1e3 for hosts, _ in points], [value for _, value in points])
    half = float(stats.t.ppf(0.5 + CONFIDENCE / 2, len(points) - 2)) * float(line.stderr)
    slope, r2 = float(line.slope), float(line.rvalue) ** 2
    return Fit(what, unit, points, slope, slope - half, slope + half, float(line.intercept), r2)


def format_fits(found: list[Fit]) -> list[str]:
    head = ["figure", "unit", "at 0 hosts", "of 1,000 hosts more", "95% from", "to", "r2", "points"]
    rows = [
        [
            fit.what, fit.unit, f"{fit.at_none:.3g}", f"{fit.slope:.3g}", f"{fit.low:.3g}", f"{fit.high:.3g}",
            f"{fit.r2:.3f}", f"{len(fit.points)}",
        ]
        for fit in found
    ]  # fmt: skip
    return format_table(head, rows)


def draw_chart(path: Path, series: dict[str, list[Fit]]) -> None:
    """One panel a figure, one colour a series (as before and after)."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(dict.fromkeys(fit.what for found in series.values() for fit in found))
    if not names:
        return
    drawing, panels = pyplot.subplots(1, len(names), figsize=(4 * len(names), 3.4), squeeze=False)
    for panel, name in zip(panels[0], names, strict=True):
        for colour, (label, found) in enumerate(series.items()):
            for fit in (fit for fit in found if fit.what == name):
                xs = [x / 1e3 for x, _ in fit.points]
                panel.plot(xs, [y for _, y in fit.points], "o", color=f"C{colour}", label=label)
                ends = [0.0, max(xs)]
                panel.plot(ends, [fit.at_none + fit.slope * x for x in ends], color=f"C{colour}")
                panel.set_ylabel(fit.unit)
        panel.set_title(name, fontsize=9)
        panel.set_xlabel("thousand hosts")
        panel.set_ylim(bottom=0.0)
        panel.legend(fontsize=8)
    drawing.tight_layout()
    drawing.savefig(path, dpi=110)
    pyplot.close(drawing)


# ---- files ----


def write_results(
    folder: Path, name: str, results: Results, more: list[str], earlier: dict[str, list[MeasuredPhase]]
) -> list[str]:
    """The files of a run, also of one that was broken off; gives the page's lines.

    `more`: further tables; `earlier`: phases of other runs by name, for the chart."""
    folder.mkdir(parents=True, exist_ok=True)
    data = msgspec.json.format(msgspec.json.encode(results), indent=1)
    (folder / f"{name}.json").write_bytes(data + b"\n")
    lines = [f"# {name}" + (f" (*partial*: {results.partial})" if results.partial else ""), ""]
    lines += [f"{results.machine}. Program: {results.program}. Seed {results.size.seed}.", ""]
    lines += [*format_phases(results.phases), *more]
    found = fit_lines(results.phases)
    if found:
        lines += ["", "Straight lines over the number of hosts:", "", *format_fits(found)]
        draw_chart(
            folder / f"{name}.png",
            {**{label: fit_lines(phases) for label, phases in earlier.items()}, name: found},
        )
    (folder / f"{name}.md").write_text("\n".join(lines) + "\n")
    return lines


def load_results(path: Path) -> Results:
    """Results written before; BadResults if this can't read them."""
    try:
        found = msgspec.json.decode(path.read_bytes(), type=Results)
    except (OSError, msgspec.DecodeError) as error:
        raise ResultsError(f"{path}: {error}") from None
    if found.version != RESULTS_VERSION:
        raise ResultsError(f"{path}: version {found.version}, this reads {RESULTS_VERSION}")
    return found

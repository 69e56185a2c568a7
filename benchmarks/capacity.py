"""The tables of docs/CAPACITY.md from the runs of `slopes.py`, so that no figure drifts from its run.

    python -m benchmarks.capacity            # writes the tables into the page, between its markers
    python -m benchmarks.capacity --check    # exit 1 where the page and the runs differ

A quantity is the median of its runs at the size, or, between and beyond sizes, its fitted curve's value."""

from __future__ import annotations

import ast
import json
import math
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import numpy as np

from benchmarks import capacity_lines as lines
from benchmarks import capacity_roles as roles
from benchmarks.common import RESULTS, rows_of
from benchmarks.slope_fits import fit, mean_interval
from benchmarks.slopes import HOSTS, points, row

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
RUNS, RIG = RESULTS / "slopes.json", RESULTS / "slopes-rig.json"
MARK = re.compile(r"(<!-- table: (\S+) -->\n).*?(<!-- end -->)", re.DOTALL)
FIRST = "0293f78"  # the version that the operators' own figures are of
OWN_TASKS = 2_050  # a process's in the runs

Versions = dict[str, dict[str, Any]]  # version -> the runs that hold it


class UnknownFigureError(Exception):
    """A formula names a quantity that was not run."""


class Group:
    """`module.place` and its like, looked up as a formula names them."""

    def __init__(self, name: str, look_up: Callable[[str], float]) -> None:
        self._name, self._look_up = name, look_up

    def __getattr__(self, quantity: str) -> float:
        return self._look_up(f"{self._name}.{quantity}")


def rig_phases(version: str) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = json.loads(RIG.read_text()).get(version, {"phases": []})["phases"]
    return found


class Size:
    """Formulas at one size, by one version's runs."""

    def __init__(self, data: dict[str, Any], version: str, seen: int | None = None, times: int = 1) -> None:
        self.data, self.version = data, version
        grown = dict.fromkeys(lines.GROWING, times)
        self.sizes = {name: value * grown.get(name, 1) for name, value in lines.SIZES.items()}
        self.hosts = float(seen if seen is not None else self.sizes["hosts"])
        self.own = self.sizes["tasks"] / self.sizes["allocators"]

    def rig(self, name: str) -> float:
        phase, read = RIG_AT[name]
        for seen in rig_phases(self.version):
            if seen["name"] == phase and seen["hosts"] == self.hosts:
                return float(read(seen["allocators"][0]))
        raise UnknownFigureError(name)

    def quantity(self, name: str, bound: int) -> float:
        """Median (0), low (1) or high (2) end of its 95% interval; the rig's is one run."""
        if name.startswith("rig."):
            return self.rig(name)
        known = points(self.data, self.version, name)
        at = [y for x, y in known if x == self.hosts]
        if at:
            value = mean_interval(at)[bound]
        elif curve := fit(known):
            value = (curve.at(self.hosts), *curve.interval(self.hosts))[bound]
        elif known and len({x for x, _ in known}) == 1:
            value = mean_interval([y for _, y in known])[bound]  # the same at all sizes: messages
        else:
            raise UnknownFigureError(name)
        return value * self._by_tasks(name)

    def _by_tasks(self, name: str) -> float:
        """More own tasks than in the runs: by the curve over tasks."""
        curve = fit(points(self.data, self.version, name, "tasks")) if self.own > OWN_TASKS else None
        return curve.at(self.own) / curve.at(OWN_TASKS) if curve is not None else 1.0

    def value(self, formula: str, bound: int = 0, **more: float) -> float:
        names: dict[str, Any] = {
            group: Group(group, lambda name: self.quantity(name, bound)) for group in GROUPS
        }
        names |= {**{name: value for name, (value, _) in lines.ASSUMED.items()}, **self.sizes, **more}
        names |= {"exp": math.exp, "max": max, "min": min, "__builtins__": {}}
        return float(eval(formula, names))  # noqa: S307 - formulas of capacity_lines.py alone

    def interval(self, formula: str) -> tuple[float, float]:
        """All slopes at their low ends, all at their high ones: wider than 95% where there are several."""
        low, high = sorted(self.value(formula, bound) for bound in (1, 2))
        return low, high


GROUPS = ("module", "memory", "channel", "bytes", "wire", "node", "looks", "rig")
RIG_AT = {  # the rig's figures that a formula may name: phase, what of it
    "rig.cpu": ("steady load", lambda one: one["cpu_s"] / one["seconds"]),
    "rig.wait": ("steady load", lambda one: one["waits_ms"]["p99"] / 1e3),
    "rig.wait_zone": ("zone lost", lambda one: one["waits_ms"]["p99"] / 1e3),
    "rig.memory": ("whole run", lambda one: one["most_mb"] * 2**20),
}


def names_in(formula: str) -> set[str]:
    return {node.id for node in ast.walk(ast.parse(formula, mode="eval")) if isinstance(node, ast.Name)}


def assumed(*formulas: str) -> str:
    """What they rest on without a run."""
    found = sorted(set().union(*map(names_in, formulas)) & set(lines.ASSUMED))
    return f"*assumed*: {', '.join(found)}" if found else ""


def show(value: float, unit: str) -> str:
    scale, name = lines.UNITS[unit]
    value *= scale
    digits = max(0, 2 - int(math.floor(math.log10(abs(value))))) if value and abs(value) < 1e3 else 0
    text = f"{value:,.{min(digits, 4)}f}"
    return f"{text}%" if name == "% of a core" else f"{text} {name}".strip()


def told(size: Size, formula: str, unit: str) -> str:
    try:
        return show(size.value(formula), unit)
    except UnknownFigureError as missing:
        return f"not run ({missing})"


def sizes(runs: Versions, **more: Any) -> dict[str, Size]:
    return {version: Size(data, version, **more) for version, data in runs.items()}


def ratio(size: Size, bound: lines.Bound) -> float | None:
    try:
        return size.value(bound.formula) / bound.bound
    except UnknownFigureError:
        return None


def newest(found: dict[str, Size], bound: lines.Bound) -> Size:
    """Of the versions that have a figure, the last."""
    return [size for size in found.values() if ratio(size, bound) is not None][-1]


def top(runs: Versions) -> list[str]:
    """Bounds against figures, by the newest version's ratio."""
    found, rows = sizes(runs), []
    head = ["what", "bound", *found, "95%", "ratio", "carried by", "without a run"]
    for bound in lines.TOP:
        size = newest(found, bound)
        part = ratio(size, bound) or 0.0
        low, high = (show(value, bound.unit) for value in size.interval(bound.formula))
        span = "one run" if "rig." in bound.formula else f"{low} to {high}"
        figures = [told(one, bound.formula, bound.unit) for one in found.values()]
        text = f"**{part:.2f}**" if part > 1.0 else f"{part:.2f}"
        marks = assumed(bound.formula)
        line = [bound.what, show(bound.bound, bound.unit), *figures, span, text, bound.carrier, marks]
        rows.append((part, line))
    return rows_of(head, [line for _, line in sorted(rows, key=lambda row: -row[0])])


def mechanisms(runs: Versions) -> list[str]:
    """Which carries how many broken bounds, and how much of the processor."""
    found, rows = sizes(runs), []
    for name, (formula, what) in lines.MECHANISMS.items():
        line = [name]
        for size in found.values():
            ratios = [part for b in lines.TOP if name in b.carrier and (part := ratio(size, b)) is not None]
            line += [
                f"{sum(ratio > 1.0 for ratio in ratios)} of {len(ratios)}",
                f"{max(ratios):.1f}",
                show(size.value(formula), "core"),
            ]
        rows.append([*line, what])
    heads = [
        f"{what}, {version}"
        for version in found
        for what in ("bounds broken", "worst ratio", "CPU at the peak")
    ]
    return rows_of(["mechanism", *heads, "CPU of"], rows)


def aims(runs: Versions) -> list[str]:
    """At 400 and at 6,300 hosts in one run, by version."""
    rows = []
    for what, formula, unit, most, times in lines.AIMS:
        limit = f"at most {show(most, unit)}" if most else f"at most {times:g} x 400's"
        line, kept = [what, limit], False
        for version, data in runs.items():
            small, large = (Size(data, version, seen=hosts) for hosts in (400, lines.SIZES["hosts"]))
            less, more = small.value(formula, hosts=400.0), large.value(formula)
            grown = more / less
            line += [show(less, unit), show(more, unit), f"{grown:.1f}"]
            kept = more <= most if most else grown <= times
        rows.append([*line, "kept" if kept else "**not kept**", assumed(formula)])
    heads = [f"{version}: {what}" for version in runs for what in ("400", "6,300", "times")]
    return rows_of(["aim", "limit", *heads, "by the last", "without a run"], rows)


def services(runs: Versions) -> list[str]:
    """What grows with how many services are asked for, at 6,300 hosts: medians."""
    rows = []
    for what in ("module.place", "module.place_first", "module.place_after_event", "memory.orders"):
        for version, data in runs.items():
            known = points(data, version, what, "services")
            swept = sorted({x for x, _ in known})
            medians = [mean_interval([y for x, y in known if x == size])[0] for size in swept]
            shown = [show(value, "MB" if what.startswith("memory") else "ms") for value in medians]
            rows.append([what, version, *shown])
    return rows_of(["quantity", "program", *(f"{size:,.0f} services" for size in swept)], rows)


def rig(runs: Versions) -> list[str]:
    """The whole process with hollow hosts on real sockets, against the sum of lines."""
    rows = []
    for version, size in sizes(runs).items():
        for phase in rig_phases(version):
            one, formula = phase["allocators"][0], lines.RIG.get(phase["name"])
            seen, worked = one["cpu_s"] / one["seconds"], size.value(formula) if formula else None
            connections = one["counts"].get("host connections", 0) / one["seconds"]
            p99 = one["waits_ms"].get("p99")
            rows.append(
                [
                    version,
                    phase["name"],
                    show(seen, "core"),
                    show(worked, "core") if worked else "-",
                    f"{worked / seen:.2f}" if worked else "-",
                    show(one["most_mb"] * 2**20, "MB"),
                    show(connections, "/s"),
                    f"{p99:,.0f} ms" if p99 else "-",
                ]
            )
    head = [
        "program",
        "phase, 6,300 hosts",
        "CPU seen",
        "CPU by the lines",
        "lines / seen",
        "memory at most",
        "connections to hosts",
        "p99 of an answer",
    ]
    return rows_of(head, rows)


def formulas(runs: Versions) -> list[str]:
    return rows_of(["figure", "worked out as"], [[b.what, f"`{b.formula}`"] for b in lines.TOP])


def doubled(runs: Versions) -> list[str]:
    """Twice the hosts, tasks, starts and teams on the same machines."""
    version, data = list(runs.items())[-1]
    once, twice, rows = Size(data, version), Size(data, version, times=2), []
    for bound in lines.TOP:
        before, after = ratio(once, bound), ratio(twice, bound)
        if before and after:
            then = told(twice, bound.formula, bound.unit)
            state = "broken already" if before > 1.0 else "**breaks**" if after > 1.0 else "holds"
            figures = [f"{before:.2f}", f"{after:.2f}", f"{after / before:.2f}", then, state]
            rows.append((after, [bound.what, *figures]))
    head = ["what", "ratio", "ratio at twice the size", "grows by", "figure then", "the bound"]
    return rows_of(head, [line for _, line in sorted(rows, key=lambda row: -row[0])])


def situations(priced: list[roles.Line], unit: str) -> Callable[[Versions], list[str]]:
    """A role's lines by situation, with their sum."""

    def table(runs: Versions) -> list[str]:
        version, data = list(runs.items())[-1]
        size, rows, sums = Size(data, version), [], dict.fromkeys(roles.SITUATIONS, 0.0)
        for line in priced:
            values = {situation: size.value(line.formula(situation)) for situation in roles.SITUATIONS}
            sums = {situation: sums[situation] + value for situation, value in values.items()}
            marks = assumed(*(line.formula(situation) for situation in roles.SITUATIONS))
            rows.append([line.what, *(show(value, unit) for value in values.values()), line.carrier, marks])
        rows.append(["**in all**", *(f"**{show(value, unit)}**" for value in sums.values()), "", ""])
        return rows_of(["what", *roles.SITUATIONS, "carried by", "without a run"], rows)

    return table


def states(runs: Versions) -> list[str]:
    version, data = list(runs.items())[-1]
    size, rows = Size(data, version), []
    for role, kept in roles.STATES.items():
        whole = 0.0
        for state in kept:
            in_all = size.value(f"({state.count}) * ({state.each})")
            whole += in_all
            rows.append(
                [
                    role,
                    state.what,
                    show(size.value(state.count), ""),
                    show(size.value(state.each), "B"),
                    show(in_all, "KB"),
                    state.carrier,
                    assumed(state.count, state.each),
                ]
            )
            role = ""
        rows.append(["", "**in all**", "", "", f"**{show(whole, 'KB')}**", "", ""])
    return rows_of(["role", "what", "how many", "each", "in all", "carried by", "without a run"], rows)


def flows(runs: Versions) -> list[str]:
    version, data = list(runs.items())[-1]
    size, rows = Size(data, version), []
    for role, sent in roles.FLOWS.items():
        for flow in sent:
            each = size.value(flow.each)
            usual = [
                f"{show(size.value(rate), '/s')}, {show(size.value(rate) * each, 'B/s')}"
                for rate in (flow.ordinary, flow.peak)
            ]
            count = size.value(flow.count)
            then = f"{flow.fault}: {show(count, '')}, {show(count * each, 'KB')}"
            marks = assumed(flow.ordinary, flow.peak, flow.count, flow.each)
            rows.append(
                [
                    role,
                    flow.what,
                    show(each, "B"),
                    *usual,
                    then if flow.fault != "-" else "as before",
                    flow.carrier,
                    marks,
                ]
            )
            role = ""
    head = ["role", "kind", "each", "ordinary", "peak", "the second after", "carried by", "without a run"]
    return rows_of(head, rows)


def partitions(runs: Versions) -> list[str]:
    version, data = list(runs.items())[-1]
    rows = []
    for name, (count, part) in lines.PARTITIONS.items():
        usual = Size(data, version)
        k, seen = usual.value(count), usual.value(part)
        size = Size(data, version, seen=int(seen))
        row_of = [show(size.value(formula, k=k, seen=seen), unit) for _, unit, formula in lines.PARTED]
        rows.append([name, f"{seen:,.0f}", *row_of])
    return rows_of(["allocators", "hosts seen", *(what for what, _, _ in lines.PARTED)], rows)


def gaps(runs: Versions) -> list[str]:
    version, data = list(runs.items())[-1]
    size, rows = Size(data, version), []
    for what, state, sent, where, issue in lines.GAPS:
        marks = assumed(state, sent)
        rows.append(
            [
                what,
                "none",
                show(size.value(state), "KB"),
                show(size.value(sent), "/s"),
                where,
                f"issue {issue}",
                marks,
            ]
        )
    head = ["asked for", "today", "state, in all", "messages", "where it will live", "filed", "without a run"]
    return rows_of(head, rows)


def slopes(runs: Versions) -> list[str]:
    """Each quantity that a formula of the page names."""
    version, data = list(runs.items())[-1]
    text = "".join(Path(module.__file__).read_text() for module in (lines, roles))
    used = sorted(set(re.findall(r"\b(?:" + "|".join(GROUPS) + r")\.[a-z_]+", text)))
    rows = [found for name in used if (found := row(data, version, name, "hosts", lines.SIZES["hosts"]))]
    reach = f"{HOSTS[0]:,} to {max(run['hosts'] for run in data['runs']):,}; 1 x"
    for found in rows:
        found.append(reach if len(found[1].split(" / ")) > 2 else "one size; the same at all")
    head = [
        "quantity",
        "medians at hosts",
        "seeds",
        "curve (x: hosts)",
        "95% at 6,300",
        "off: medians, points",
        "range; stretched",
    ]
    return rows_of(head, rows)


def assumptions(runs: Versions) -> list[str]:
    return rows_of(
        ["name", "value", "what, and why"],
        [[f"`{name}`", f"{value:g}", why] for name, (value, why) in lines.ASSUMED.items()],
    )


def operators_sizes(runs: Versions) -> list[str]:
    return rows_of(
        ["name", "value", "what"],
        [[f"`{name}`", f"{value:,}", lines.SIZE_MEANINGS[name]] for name, value in lines.SIZES.items()],
    )


def runs_of(data: dict[str, Any]) -> list[str]:
    count = len(data["runs"])
    commits = ", ".join(f"{name} ({commit})" for name, commit in data["versions"].items())
    state = "**partial**" if data["partial"] else "whole"
    state += ", quick" if data["quick"] else ""
    state += f", {len(data['failed'])} failed" if data.get("failed") else ""
    return [
        f"Runs: {count} processes, {data['began']} to {data['ended']}, {state}; {commits}; "
        f"{data['machine']}, shared, load {data['load']}."
    ]


TABLES: dict[str, Callable[[Versions], list[str]]] = {
    "top": top,
    "mechanisms": mechanisms,
    "rig": rig,
    "aims": aims,
    "services": services,
    "formulas": formulas,
    "doubled": doubled,
    "gaps": gaps,
    "partitions": partitions,
    "processor": situations(roles.PROCESSOR, "core"),
    "traffic": situations(roles.TRAFFIC, "KB/s"),
    "states": states,
    "flows": flows,
    "slopes": slopes,
    "sizes": operators_sizes,
    "assumptions": assumptions,
}


def load(path: Path = RUNS) -> dict[str, Any]:
    data: dict[str, Any] = json.loads(path.read_text())
    return data


def page(text: str, data: dict[str, Any]) -> str:
    """The page with its tables made anew."""
    runs = dict.fromkeys(data["versions"], data)

    def made(match: re.Match[str]) -> str:
        found = runs_of(data) if match[2] == "runs" else TABLES[match[2]](runs)
        return match[1] + "\n".join(["", *found, ""]) + "\n" + match[3]

    return MARK.sub(made, text)


@click.command()
@click.option("--check", is_flag=True, help="say whether page and runs agree, change nothing")
def main(check: bool) -> None:
    """Makes the page's tables from the runs."""
    text, data = PAGE.read_text(), load()
    made = page(text, data)
    if check and made != text:
        raise click.ClickException("docs/CAPACITY.md does not follow from docs/results/slopes.json")
    if not check:
        PAGE.write_text(made)
        median = np.median([len(line) for line in made.splitlines()])
        click.echo(f"{PAGE.name}: {len(TABLES)} tables, {len(made.splitlines())} lines of {median:.0f}")


if __name__ == "__main__":
    main()

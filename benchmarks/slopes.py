"""What each step of an allocator costs as the fleet grows: runs, fits, a table, for docs/CAPACITY.md.

    python -m benchmarks.slopes                                          # this tree: about 20 minutes
    python -m benchmarks.slopes --quick                                  # fewer seeds and sizes: about 6
    python -m benchmarks.slopes --resume                                 # what a stopped run has not measured
    python -m benchmarks.slopes --checkout 0293f78=DIR --checkout now=.  # two versions, in turn

One measurement at a time, each in a process of its own, seeds 1 to N. Each tree is measured by its own
`benchmarks/slope_worker.py`, since names of modules and fields differ between versions; a tree without one by
this tree's. One that is older than the worker (0293f78) and has other names needs a worker that knows them:
`git -C DIR checkout 8cdb288 -- benchmarks/slope_worker.py benchmarks/slope_node.py` puts one there. CPU time, not wall
time: the machine may be shared, and then caches are too; versions are compared within one run. Ctrl-C leaves
what was measured, marked *partial*. Results: docs/results/slopes.json (FORMAT) and slopes.md."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import click

from benchmarks.common import RESULTS, machine, rows_of
from benchmarks.slope_fits import fit, mean_interval

FORMAT = 1
HOSTS = (400, 1_600, 3_200, 6_300, 12_600)
QUICK = (400, 1_600, 6_300, 12_600)  # the last, and fewer tasks, with one seed
SIZE = 6_300  # hosts, where tasks and services are swept
TREE = Path(__file__).resolve().parent.parent
WORKER = "slope_worker.py"
# What a quantity is; `s`: CPU seconds, `B`: bytes, `core`: CPU seconds a second, `/s`: a second, else counts.
WHAT = {
    "module.place": ("s", "placement: PlacementRequested and AttemptAccepted, its service known"),
    "module.place_first": ("s", "first placement of a service"),
    "module.place_after_event": ("s", "placement after one machine changed phase"),
    "module.end": ("s", "AttemptEnded of a standing task: profiles learn, means are taken"),
    "module.lost": ("s", "AttemptEnded of a task of a lost machine"),
    "module.note": ("s", "observation of a task's use"),
    "module.event_free": ("s", "list event: what one machine has free"),
    "module.event_phase": ("s", "list event: one machine's phase"),
    "module.event_many": ("s", "list event: what 480 machines have free"),
    "module.whole": ("s", "snapshot of the list, all hosts"),
    "module.zone_each": ("s", "a seventh of the hosts gone, one event each, a placement in each 50"),
    "module.zone_once": ("s", "a seventh of the hosts gone in one event"),
    "module.place_after_zone": ("s", "placement after it, mean of the first 50"),
    "module.zone_tasks": ("", "own tasks on the seventh"),
    "memory.listed": ("B", "policy: the list"),
    "memory.tasks": ("B", "policy: own standing tasks"),
    "memory.orders": ("B", "policy: after a placement of each service"),
    "channel.whole": ("s", "channel: a snapshot's bytes to list changes"),
    "channel.event": ("s", "channel: an event of one entry"),
    "channel.event_many": ("s", "channel: an event of 480 entries"),
    "channel.beat": ("s", "channel: a heartbeat line"),
    "channel.held": ("B", "channel: the list"),
    "bytes.whole": ("B", "line of a snapshot"),
    "bytes.event": ("B", "line of an event with one entry"),
    "bytes.event_many": ("B", "line of an event with 480 entries"),
    "bytes.entry": ("B", "one entry"),
    "bytes.beat": ("B", "heartbeat line"),
    "node.start": ("s", "process: start until it listens"),
    "node.resident": ("B", "process: resident, idle"),
    "node.idle": ("core", "process: idle, heartbeats only"),
    "node.event": ("s", "process: list event of one host"),
    "node.event_many": ("s", "process: list event of 480 hosts"),
    "node.zone_once": ("s", "process: a seventh of the hosts drains, in one event"),
    "node.zone_each": ("s", "process: a seventh of the hosts gone, one event each"),
    "node.zone_back": ("s", "process: a seventh of the hosts back, in one event"),
    "looks.adopt": ("s", "process: a task handed over at a start"),
    "looks.cpu": ("core", "process: tasks at silent hosts, nothing else: tick, liveness checks"),
    "looks.connections": ("/s", "process: connections begun by it"),
    "looks.links": ("", "process: host connections open"),
    "looks.resident": ("B", "process: resident with these tasks"),
}


SERVICES = {"module": 660, "zone": 660, "memory": 660}  # one a team; to other kinds their number is nothing


@dataclass(frozen=True, slots=True)
class Cell:
    """One measurement but for its seed."""

    kind: str
    hosts: int
    tasks: int = 2_050
    services: int = 0  # 0: as usual for the kind
    peers: int = 20

    def __post_init__(self) -> None:
        if not self.services:
            object.__setattr__(self, "services", SERVICES.get(self.kind, 100))


def cells(quick: bool, kinds: set[str]) -> Iterator[tuple[Cell, int]]:
    """Each with how many seeds."""
    for hosts in QUICK if quick else HOSTS:
        many, few = (5, 3) if not quick else (3, 3) if hosts == SIZE else (2, 2)
        for kind, seeds in (("module", many), ("zone", few), ("memory", few), ("channel", few),
                            ("node", few), ("looks", few)):  # fmt: skip
            if kind in kinds:
                yield Cell(kind, hosts), 1 if quick and hosts == HOSTS[-1] else seeds
    if "wire" in kinds:
        yield Cell("wire", HOSTS[0]), 2 if quick else 5
    for kind in sorted({"module", "looks"} & kinds if quick else {"module", "memory", "looks"} & kinds):
        for tasks in (250, 1_000):
            yield Cell(kind, SIZE, tasks=tasks), 1 if quick else 2
    for services in (10, 100):
        for kind in sorted({"module", "memory"} & kinds):
            yield Cell(kind, SIZE, services=services), 1 if quick else 2
    if "module" in kinds and not quick:
        yield Cell("module", SIZE, peers=16), 3


class RunFailedError(Exception):
    """A measurement came to no figures."""


def worker_of(tree: Path) -> Path:
    """The tree's own worker, which knows its names; this tree's where it has none."""
    own = tree / "benchmarks" / WORKER
    return own if own.is_file() else Path(__file__).with_name(WORKER)


def measure(cell: Cell, seed: int, tree: Path) -> dict[str, float]:
    """The figures that one run of a tree's worker prints; raises RunFailedError with the end of what it says."""
    command = [sys.executable, str(worker_of(tree)), cell.kind, "--seed", str(seed)]
    for name in ("hosts", "tasks", "services", "peers"):
        command += [f"--{name}", str(getattr(cell, name))]
    environment = {**os.environ, "PYTHONPATH": str(tree), "PYTHONHASHSEED": str(seed)}
    # `python -m` looks in the working directory before PYTHONPATH
    done = subprocess.run(command, env=environment, cwd=tree, capture_output=True, text=True, timeout=600)
    if done.returncode:
        raise RunFailedError(f"{cell}: {done.stderr.strip()[-300:]}")
    found: dict[str, float] = json.loads(done.stdout)
    return found


def commit_of(tree: Path) -> str:
    """The last commit that changed the program, and whether it is changed since."""

    def git(*words: str) -> str:
        return subprocess.run(["git", "-C", str(tree), *words], capture_output=True, text=True).stdout.strip()

    changed = "+" if git("status", "--short", "--", "glencleat") else ""
    return (git("log", "-1", "--format=%h", "--", "glencleat") or "no commit") + changed


def points(data: dict[str, Any], version: str, what: str, axis: str = "hosts") -> list[tuple[float, float]]:
    """The runs of one quantity along one axis, all else as usual."""
    found = []
    for run in data["runs"]:
        usual = asdict(Cell(run["kind"], SIZE))
        others = {"hosts", "tasks", "services", "peers"} - {axis}
        if run["version"] == version and what in run["figures"] and all(run[o] == usual[o] for o in others):
            found.append((float(run[axis]), run["figures"][what]))
    return sorted(found)


def unit(value: float, kind: str) -> str:
    """In the unit of the tables: ms, MB or kB, part of a core."""
    if kind == "s":
        return f"{1e3 * value:.3g} ms" if value >= 1e-4 else f"{1e6 * value:.3g} us"
    if kind == "core":
        return f"{100.0 * value:.3g}%"
    if kind == "B":
        return f"{value / 1e6:.3g} MB" if value >= 1e5 else f"{value:.0f} B"
    return f"{value:.4g}{kind}"


def row(data: dict[str, Any], version: str, what: str, axis: str, at: float) -> list[str] | None:
    """Medians at the sizes, the curve, its interval at a size, how far off it is."""
    usual = ("B" if what.startswith("bytes.") else "s", "")
    known, kind = points(data, version, what, axis), WHAT.get(what, usual)[0]
    if not known:
        return None
    sizes = sorted({x for x, _ in known})
    medians = [unit(mean_interval([y for x, y in known if x == size])[0], kind) for size in sizes]
    curve = fit(known)
    values = f"{' / '.join(medians)} at {' / '.join(f'{size:,.0f}' for size in sizes)}"
    seeds = min(sum(x == size for x, _ in known) for size in sizes)
    if curve is None:
        return [what, values, str(seeds), "-", "-", "-"]
    scale, name = {"s": (1e3, "ms"), "core": (100.0, "%"), "B": (1e-6, "MB")}.get(kind, (1.0, kind))
    low, high = (unit(value, kind) for value in curve.interval(at))
    off = f"{100 * curve.worst:.0f}%, {100 * curve.off:.0f}%"
    law = f"{curve.curve}: {curve.text(scale)} {name}".strip()
    return [what, values, str(seeds), law, f"{low} to {high}", off]


def markdown(data: dict[str, Any]) -> str:
    head = ["quantity", "medians", "seeds", "curve (x: {})", "95% at {:,}", "off: medians, points"]
    lines = ["# Slopes: what each step costs as the fleet grows", ""]
    state = "**partial**: " if data["partial"] else ""
    lines += [
        f"{state}`python -m benchmarks.slopes`, {data['began']} to {data['ended']}, one at a time. "
        f"Machine: {data['machine']}, shared with other work (load {data['load']}). CPU time; 2,050 tasks, "
        "660 services, 20 allocators where nothing else is said."
    ]
    lines += [f"\nFailed: {failed}" for failed in data["failed"]]
    for version, commit in data["versions"].items():
        lines += ["", f"## {version}" + ("" if version == commit else f" ({commit})")]
        for axis, at in (("hosts", SIZE), ("tasks", 2_050), ("services", 660)):
            swept = {what: len({x for x, _ in points(data, version, what, axis)}) for what in WHAT}
            names = [what for what in WHAT if axis == "hosts" or swept[what] > 2]
            rows = [found for what in names if (found := row(data, version, what, axis, at))]
            if rows:
                lines += ["", f"By {axis}:", ""]
                lines += rows_of([title.format(axis if "{}" in title else at) for title in head], rows)
    names = [[f"`{name}`", what] for name, (_, what) in WHAT.items()]
    lines += ["", "What each is:", "", *rows_of(["quantity", "what"], names)]
    return "\n".join(lines) + "\n"


def run_all(data: dict[str, Any], trees: dict[str, Path], quick: bool, kinds: set[str], save: Path) -> None:
    for cell, seeds in cells(quick, kinds):
        for seed in range(1, seeds + 1):
            for version, tree in trees.items():  # in turn, so that what else the machine does meets both
                wanted = {"version": version, **asdict(cell), "seed": seed}
                if any(all(run[name] == value for name, value in wanted.items()) for run in data["runs"]):
                    continue
                began = time.monotonic()
                try:
                    figures = measure(cell, seed, tree)
                except (RunFailedError, subprocess.TimeoutExpired) as error:
                    data["failed"].append(f"{version} seed {seed} {error}")
                    click.echo(f"FAILED {data['failed'][-1]}", err=True)
                    continue
                at = time.strftime("%H:%M")
                data["runs"].append({**wanted, "at": at, "figures": figures})
                click.echo(f"{version} {cell} seed {seed}: {time.monotonic() - began:.1f} s", err=True)
        data["ended"] = time.strftime("%Y-%m-%d %H:%M")
        data["load"] = f"{data['load'].split(' to ')[0]} to {os.getloadavg()[0]:.0f}"
        save.write_text(json.dumps(data, indent=None, separators=(",", ":")) + "\n")


@click.command()
@click.option("--checkout", multiple=True, metavar="NAME=DIR", help="versions to measure in turn")
@click.option("--quick", is_flag=True, help="two seeds (one at the largest size), fewer sweeps")
@click.option("--kinds", default="module,zone,memory,channel,wire,node,looks")
@click.option("--keep", is_flag=True, help="other kinds' runs stay as they are in the results")
@click.option("--resume", is_flag=True, help="all runs stay; what is missing is measured")
@click.option("--out", default="slopes", help="name of the results")
def main(checkout: tuple[str, ...], quick: bool, kinds: str, keep: bool, resume: bool, out: str) -> None:
    """Measures, fits, writes docs/results/OUT.json and OUT.md."""
    trees = {name: Path(folder).resolve() for name, _, folder in (one.partition("=") for one in checkout)}
    trees = trees or {commit_of(TREE): TREE}
    data: dict[str, Any] = {
        "format": FORMAT, "machine": machine(), "began": time.strftime("%Y-%m-%d %H:%M"), "ended": "",
        "load": f"{os.getloadavg()[0]:.0f}", "quick": quick, "partial": True, "failed": [],
        "versions": {name: commit_of(tree) for name, tree in trees.items()}, "runs": [],
    }  # fmt: skip
    save, again = RESULTS / f"{out}.json", set(kinds.split(","))
    if keep or resume:
        before = json.loads(save.read_text())
        kept = [run for run in before["runs"] if resume or run["kind"] not in again]
        data = {**data, "runs": kept, "began": before["began"], "versions": before["versions"]}
    try:
        run_all(data, trees, quick, again, save)
        data["partial"] = False
    except KeyboardInterrupt:
        click.echo("stopped: what was measured is kept, marked partial", err=True)
    save.write_text(json.dumps(data, indent=None, separators=(",", ":")) + "\n")
    (RESULTS / f"{out}.md").write_text(markdown(data))
    click.echo(markdown(data))


if __name__ == "__main__":
    main()

"""Real allocators among hollow hosts, owners and allocators, at a size given as a file.

    python -m benchmarks.scale examples/scale-small.toml

Exit codes: 0 all was run, 1 a run failed or a request had not exactly one answer, 2 a size that can't be used
or not on this machine, 130 interrupted; a run that was broken off leaves its table so far, marked *partial*.
`--checkout` runs the program of another tree, `--beside` sets these results beside earlier ones."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from pathlib import Path

import click
import psutil

from benchmarks.common import machine
from glencleat.emulators.allocator_processes import ProcessError
from glencleat.scale import compare, report
from glencleat.scale import run_size as sizes
from glencleat.scale.measure import MeasuredPhase
from glencleat.scale.runs import Run, RunFailedError
from glencleat.scale.worker_processes import WorkerFailedError, WorkerStartError

HERE = Path(__file__).parent.parent


def commit(tree: Path) -> str:
    """The tree's commit, and whether files differ from it; `unknown` without git."""
    said = subprocess.run(
        ["git", "-C", str(tree), "describe", "--always", "--dirty", "--abbrev=7", "--exclude=*"],
        capture_output=True, text=True, check=False,
    )  # fmt: skip
    return said.stdout.strip() or "unknown"


def interrupted(number: int, _: object) -> None:
    """SIGTERM ends a run as SIGINT does."""
    raise KeyboardInterrupt


def play(size: sizes.RunSize, tree: Path, found: list[MeasuredPhase]) -> tuple[int, str]:
    """All numbers of hosts in turn: the exit code and, if the run was broken off, why."""
    ends_at = time.monotonic() + size.limit_s
    try:
        for count in size.hosts:
            sizes.check_size(size)
            Run(size, count, tree, ends_at, found, lambda text: click.echo(text, err=True)).run()
    except KeyboardInterrupt:
        return 130, "interrupted"
    except sizes.RunSizeError as error:
        return 2, str(error)
    except WorkerStartError as error:
        return 2, f"{count} hosts need {sizes.compute_needs(size, count).describe()}; {error}"
    except (RunFailedError, WorkerFailedError, ProcessError, psutil.Error, OSError) as error:
        return 1, f"{type(error).__name__}: {error}"
    whole = [cost for phase in found if phase.name == "whole run" for cost in phase.allocators]
    wrong = sum(report.count_wrong(cost.counts) for cost in whole)
    if wrong:
        click.echo(f"scale: {wrong} requests or ends had not exactly one answer", err=True)
    return int(wrong > 0), ""


@click.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--checkout", type=click.Path(exists=True, path_type=Path), help="tree of the program to run")
@click.option("--out", type=click.Path(path_type=Path), help="a folder in place of the file's")
@click.option("--name", help="of the files written, by default the size's")
@click.option(
    "--beside", type=click.Path(exists=True, path_type=Path), help="earlier results to compare with"
)
def main(path: Path, checkout: Path | None, out: Path | None, name: str | None, beside: Path | None) -> None:
    """Plays the size in PATH and writes its results."""
    try:
        size = sizes.read_size(path)
        sizes.check_size(size)
        earlier = {beside.stem: report.load_results(beside).phases} if beside is not None else {}
    except (sizes.RunSizeError, report.ResultsError) as error:
        click.echo(f"scale: {error}", err=True)
        sys.exit(2)
    signal.signal(signal.SIGTERM, interrupted)
    tree = (checkout or HERE).resolve()
    found: list[MeasuredPhase] = []
    code, why = play(size, tree, found)
    results = report.Results(report.RESULTS_VERSION, why, machine(), commit(tree), size, found)
    more: list[str] = []
    if size.hollow:
        more += ["", "Hollow against real:", "", *compare.compare_hollow(found)]
    for label, phases in earlier.items():
        names = label, name or path.stem
        more += ["", "Beside an earlier run:", "", *compare.compare_runs(phases, found, names)]
    for line in report.write_results(out or Path(size.out), name or path.stem, results, more, earlier):
        click.echo(line)
    if why:
        click.echo(f"scale: partial: {why}", err=True)
    sys.exit(code)


if __name__ == "__main__":
    main()

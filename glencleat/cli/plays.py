"""Commands that run a play on the loopback interface, and that check the trace of a play."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import click

from glencleat.cli.config_files import CONFIG_PATH, fail_with_faults, read_script
from glencleat.cli.exit_codes import ExitCode, fail
from glencleat.config import AllocatorConfig, ConfigError

if TYPE_CHECKING:
    from glencleat.checker.trace import TraceEntry
    from glencleat.emulators.play import Play
    from glencleat.emulators.script import Script

REPORT_WIDTH = 110  # columns, if the output is not a terminal


@click.command("play")
@click.argument("script", type=CONFIG_PATH)
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="Write the trace and the logs to this folder.",
)
@click.option("--seed", type=int, help="Seed to use instead of the script's.")
@click.option("--trouble", help="Fault scenarios to use instead of the script's faults, as in crash+hot_key.")
def play_script(script: Path, folder: Path | None, seed: int | None, trouble: str | None) -> None:
    """Run SCRIPT with emulators on loopback and check the five rules. Exits with 1 on a violation."""
    from glencleat.emulators.play import Play, PlayError

    settings, campus = read_script(script)
    settings = _override_settings(settings, seed, trouble)
    with tempfile.TemporaryDirectory(prefix="glencleat-") as temporary_folder:
        output_folder = folder or Path(temporary_folder)
        output_folder.mkdir(parents=True, exist_ok=True)
        play = Play(settings, script.parent / settings.campus, campus, output_folder)
        try:
            play.run()
        except PlayError as error:
            fail(error, ExitCode.UNAVAILABLE)
        has_crashed = _print_crashes(play, output_folder)
        _print_verdict(play.recorder.entries, campus)
        if has_crashed:
            sys.exit(ExitCode.FAILED)


def _override_settings(settings: Script, seed: int | None, trouble: str | None) -> Script:
    """The script, with its seed and faults replaced where options state others."""
    from glencleat.emulators.fault_scenarios import draw_faults

    if seed is not None:
        settings = settings.model_copy(update={"play": settings.play.model_copy(update={"seed": seed})})
    if trouble is None:
        return settings
    try:
        return settings.model_copy(update={"at": draw_faults(settings, trouble, settings.play.seed)})
    except ValueError as error:
        fail(error, ExitCode.WRONG_USE)


def _print_crashes(play: Play, output_folder: Path) -> bool:
    """Print the allocators that exited unexpectedly with an error; returns whether any did.

    A crash closes the sessions of the allocator's owners. The rules excuse closed sessions, so that only this
    report shows a crash that is the allocator's own fault.
    """
    exit_codes_by_name = {name: code for name, code in play.exit_codes.items() if code}
    for name, code in exit_codes_by_name.items():
        click.echo(
            f"allocator {name} exited unexpectedly with code {code}; see {output_folder / name}.log", err=True
        )
    return bool(exit_codes_by_name)


@click.command("report")
@click.argument("record", type=CONFIG_PATH)
@click.argument("campus", type=CONFIG_PATH)
def report_trace(record: Path, campus: Path) -> None:
    """Check the trace RECORD of a play against the rules that CAMPUS states, and print its tables."""
    from glencleat.checker.trace import TraceError, read_trace
    from glencleat.emulators.script import load_shared_config

    try:
        _print_verdict(list(read_trace(record)), load_shared_config(campus))
    except ConfigError as error:
        fail_with_faults(error)
    except (TraceError, OSError) as error:
        fail(error, ExitCode.WRONG_USE)


def _print_verdict(entries: list[TraceEntry], campus: AllocatorConfig) -> None:
    """Print the tables of the checker; exits with `ExitCode.FAILED` if a rule or a bound was broken."""
    from glencleat.checker import invariants, polling_bounds, report, slow_start_bounds
    from glencleat.checker.chance_bounds import BoundState
    from glencleat.cli.tables import open_console
    from glencleat.emulators.script import make_rule_parameters

    violations = invariants.check_invariants(entries, make_rule_parameters(campus))
    bounds = polling_bounds.judge_trace(entries) + slow_start_bounds.judge_trace(entries)
    report.print_report(entries, violations, bounds, open_console(REPORT_WIDTH))
    if violations or any(bound.state is BoundState.BROKEN for bound in bounds):
        sys.exit(ExitCode.FAILED)


COMMANDS = (play_script, report_trace)

"""glencleat's commands. Exit codes: 0 done; 1 a check failed (a rule was broken); 2 wrong use or a file that
can't be used; 3 the system refused (an address in use, a file that can't be written)."""

from __future__ import annotations

import json
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn, TextIO

import click

from glencleat import VERSION
from glencleat import log as logging
from glencleat.cli import rest
from glencleat.config import AllocatorConfig, ConfigError, load

if TYPE_CHECKING:
    from glencleat.checker.trace import TraceEntry
    from glencleat.emulators.script import Script
    from glencleat.event_loop import Loop

Places = tuple[tuple[str, tuple[str, int]], ...]
CONF = click.Path(dir_okay=False, path_type=Path)


def give_up(text: str, code: int) -> NoReturn:
    click.echo(text, err=True)
    sys.exit(code)


def refuse(error: ConfigError) -> NoReturn:
    """Tells every fault of a file."""
    give_up("\n".join(f"glencleat: {fault}" for fault in error.faults), 2)


def read(path: Path) -> AllocatorConfig:
    try:
        return load(path)
    except ConfigError as error:
        refuse(error)


@click.group(context_settings={"help_option_names": ["-h", "--help"]}, epilog=__doc__)
@click.version_option(VERSION, prog_name="glencleat")
def main() -> None:
    """A cluster scheduler of which many allocators run side by side, sharing nothing."""


@main.command()
@click.argument("conf", type=CONF)
@click.option("--ready", type=click.File("w"), help="Write the bound addresses there as one JSON line.")
def serve(conf: Path, ready: TextIO | None) -> None:
    """Run one allocator until SIGTERM. SIGHUP reads CONF again, whole or not at all."""
    from glencleat.daemon import Daemon

    config = read(conf)
    log = logging.set_up(config.log.form, config.log.level, allocator=config.allocator.name)
    daemon = Daemon(config, log, conf)
    daemon.follow_signals()
    try:
        bound = daemon.start()
    except OSError as error:
        give_up(f"glencleat: {error}", 3)
    log.info("listening", **bound)
    if ready is not None:
        ready.write(json.dumps(bound) + "\n")
        ready.flush()
    daemon.loop.run()
    log.info(
        "stopped",
        open=daemon.core.call_table.unanswered_count,
        mismatch=daemon.core.counters.find_mismatches(),
    )


@main.command()
def node() -> None:
    """Run one allocator on the operators' platform, by the file that ROUTER_CONFIG names, until SIGTERM."""
    from glencleat.platform_server.process import main as run

    sys.exit(run())


@main.command("check-config")
@click.argument("conf", type=CONF)
def check_config(conf: Path) -> None:
    """Check CONF: names file, line, setting and what was expected of all that is wrong."""
    config = read(conf)
    click.echo(f"{conf}: good ({len(config.classes)} classes, {len(config.kinds)} kinds)")


@main.command()
@click.argument("script", type=CONF)
@click.option("--folder", type=click.Path(file_okay=False, path_type=Path), help="Keep record and logs here.")
@click.option("--seed", type=int, help="Instead of the script's.")
@click.option("--trouble", help="Faults of such a bench day instead of the script's, as in crash+hot_key.")
def play(script: Path, folder: Path | None, seed: int | None, trouble: str | None) -> None:
    """Play a day from SCRIPT on loopback and check the five rules. Exits with 1 if one was broken."""
    from glencleat.emulators.fault_scenarios import faults
    from glencleat.emulators.play import Play, PlayError

    told, campus = read_script(script)
    if seed is not None:
        told = told.model_copy(update={"play": told.play.model_copy(update={"seed": seed})})
    if trouble is not None:
        try:
            told = told.model_copy(update={"at": faults(told, trouble, told.play.seed)})
        except ValueError as error:
            give_up(f"glencleat: {error}", 2)
    with tempfile.TemporaryDirectory(prefix="glencleat-") as made:
        kept = folder or Path(made)
        kept.mkdir(parents=True, exist_ok=True)
        day = Play(told, script.parent / told.campus, campus, kept)
        try:
            day.run()
        except PlayError as error:
            give_up(f"glencleat: {error}", 3)
        died = {name: code for name, code in day.exits.items() if code}
        for name, code in died.items():
            # Its owners' sessions were cut by that, which the rules excuse; a fault of ours they must not.
            click.echo(f"allocator {name} ended by itself with {code}; see {kept / name}.log", err=True)
        verdict(day.recorder.entries, campus)
        if died:
            sys.exit(1)


@main.group()
def standin() -> None:
    """Run one kind of stand-in by itself, to try an allocator by hand. SCRIPT is a play's file."""


class Place(click.ParamType[tuple[str, tuple[str, int]]]):
    """NAME=HOST:PORT, of an allocator."""

    name = "name=host:port"

    def convert(self, value: Any, param: Any, ctx: Any) -> tuple[str, tuple[str, int]]:
        name, _, address = str(value).partition("=")
        host, _, port = address.rpartition(":")
        if not name or host != "127.0.0.1" or not port.isdigit() or int(port) > 65535:
            self.fail(f"{value!r} is no NAME=127.0.0.1:PORT", param, ctx)
        return name, (host, int(port))


def placed(command: Any) -> Any:
    """The arguments that all stand-ins share."""
    places = click.argument("places", nargs=-1, required=True, type=Place(), metavar="NAME=HOST:PORT...")
    command = places(command)
    command = click.argument("script", type=CONF)(command)
    return click.option("--for", "seconds", type=float, help="End after so many seconds.")(command)


def read_script(path: Path) -> tuple[Script, AllocatorConfig]:
    from glencleat.emulators.script import load_campus, load_script

    try:
        told = load_script(path)
        return told, load_campus(path.parent / told.campus)
    except ConfigError as error:
        refuse(error)


def work(loop: Loop, seconds: float | None) -> None:
    """Runs until SIGTERM, SIGINT, or the time is over."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(0))
    if seconds is not None:
        loop.call_in(1_000.0 * seconds, loop.stop)
    loop.run()


@standin.command("directory")
@placed
def standin_directory(script: Path, places: Places, seconds: float | None) -> None:
    """Serve SCRIPT's hosts as the machine list, at an address for each allocator (port 0: any)."""
    from glencleat.emulators import standalone
    from glencleat.event_loop import Loop

    loop = Loop()
    try:
        directory = standalone.run_directory(loop, *read_script(script), list(places))
    except OSError as error:
        give_up(f"glencleat: {error}", 3)
    found = {name: listener.address for name, listener in directory.listeners.items()}
    bound = {name: f"{host}:{port}" for name, (host, port) in found.items()}
    click.echo(json.dumps(bound))
    work(loop, seconds)


@standin.command("hosts")
@placed
def standin_hosts(script: Path, places: Places, seconds: float | None) -> None:
    """Run SCRIPT's hosts against the allocators' agents addresses."""
    from glencleat.emulators import standalone
    from glencleat.event_loop import Loop

    loop = Loop()
    made = standalone.run_hosts(loop, *read_script(script), list(places))
    click.echo(json.dumps({"hosts": len(made)}))
    work(loop, seconds)


@standin.command("owners")
@placed
def standin_owners(script: Path, places: Places, seconds: float | None) -> None:
    """Ask SCRIPT's tasks of the allocators' owners addresses, and print how the asks ended."""
    from glencleat.emulators import standalone
    from glencleat.event_loop import Loop

    loop = Loop()
    asking, ends = standalone.run_owners(loop, *read_script(script), list(places))
    task = loop.spawn(asking, "owners")
    if seconds is not None:
        loop.call_in(1_000.0 * seconds, lambda: loop.cancel(task))
    asked = loop.run_until(task)
    click.echo(json.dumps({"asked": asked, **ends}))


@main.command()
@click.argument("record", type=CONF)
@click.argument("campus", type=CONF)
def report(record: Path, campus: Path) -> None:
    """Check RECORD (of a play) again by the rules that CAMPUS states, and show its tables."""
    from glencleat.checker.trace import TraceError
    from glencleat.checker.trace import read as read_record
    from glencleat.emulators.script import load_campus

    try:
        verdict(list(read_record(record)), load_campus(campus))
    except ConfigError as error:
        refuse(error)
    except (TraceError, OSError) as error:
        give_up(f"glencleat: {error}", 2)


def verdict(entries: list[TraceEntry], campus: AllocatorConfig) -> None:
    """Shows the tables; exits with 1 if a rule or a bound was broken."""
    from rich.console import Console

    from glencleat.checker import invariants, polling_bounds, slow_start_bounds
    from glencleat.checker import report as tables
    from glencleat.checker.chance_bounds import BoundState
    from glencleat.emulators.script import figures

    breaches = invariants.check(entries, figures(campus))
    bounds = polling_bounds.judge_play(entries) + slow_start_bounds.judge_play(entries)
    tables.show(entries, breaches, bounds, Console(width=None if sys.stdout.isatty() else 110))
    if breaches or any(bound.state is BoundState.BROKEN for bound in bounds):
        sys.exit(1)


for each in rest.COMMANDS:
    main.add_command(each)

if __name__ == "__main__":
    main()

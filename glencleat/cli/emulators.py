"""Commands that run one kind of emulator by itself: `glencleat standin directory|hosts|owners`."""

from __future__ import annotations

import json
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import click

from glencleat.cli.config_files import CONFIG_PATH, read_script
from glencleat.cli.exit_codes import ExitCode, fail
from glencleat.cli.parameter_types import AllocatorAddressType

if TYPE_CHECKING:
    from glencleat.event_loop import Loop

AllocatorAddresses = tuple[tuple[str, tuple[str, int]], ...]  # name and address of each allocator
CommandFunction = TypeVar("CommandFunction", bound=Callable[..., Any])

MS_PER_S = 1_000.0


@click.group("standin")
def emulator_group() -> None:
    """Run emulators of one kind alone, to try an allocator by hand. SCRIPT is the script of a play."""


def emulator_arguments(command: CommandFunction) -> CommandFunction:
    """Add the arguments and options that all commands of the group share."""
    add_places = click.argument(
        "places", nargs=-1, required=True, type=AllocatorAddressType(), metavar="NAME=HOST:PORT..."
    )
    add_script = click.argument("script", type=CONFIG_PATH)
    add_duration = click.option("--for", "seconds", type=float, help="Stop after this many seconds.")
    return add_duration(add_script(add_places(command)))


def run_loop(loop: Loop, seconds: float | None) -> None:
    """Run the loop until SIGTERM, SIGINT, or `seconds` have passed."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: sys.exit(0))
    if seconds is not None:
        loop.call_in(MS_PER_S * seconds, loop.stop)
    loop.run()


@emulator_group.command("directory")
@emulator_arguments
def run_directory(script: Path, places: AllocatorAddresses, seconds: float | None) -> None:
    """Serve SCRIPT's hosts as a machine list, at one address for each allocator (port 0: any free port)."""
    from glencleat.emulators import standalone
    from glencleat.event_loop import Loop

    loop = Loop()
    play_script, campus = read_script(script)
    try:
        directory = standalone.run_directory(loop, play_script, campus, list(places))
    except OSError as error:
        fail(error, ExitCode.UNAVAILABLE)
    bound_addresses = {}
    for name, listener in directory.listeners.items():
        host, port = listener.address
        bound_addresses[name] = f"{host}:{port}"
    click.echo(json.dumps(bound_addresses))
    run_loop(loop, seconds)


@emulator_group.command("hosts")
@emulator_arguments
def run_hosts(script: Path, places: AllocatorAddresses, seconds: float | None) -> None:
    """Run SCRIPT's hosts, which connect to the agent addresses of the allocators."""
    from glencleat.emulators import standalone
    from glencleat.event_loop import Loop

    loop = Loop()
    play_script, campus = read_script(script)
    hosts = standalone.run_hosts(loop, play_script, campus, list(places))
    click.echo(json.dumps({"hosts": len(hosts)}))
    run_loop(loop, seconds)


@emulator_group.command("owners")
@emulator_arguments
def run_owners(script: Path, places: AllocatorAddresses, seconds: float | None) -> None:
    """Request SCRIPT's tasks at the owner addresses of the allocators, and print the counts of outcomes."""
    from glencleat.emulators import standalone
    from glencleat.event_loop import Loop

    loop = Loop()
    play_script, campus = read_script(script)
    owners, outcome_counts = standalone.run_owners(loop, play_script, campus, list(places))
    task = loop.spawn(owners, "owners")
    if seconds is not None:
        loop.call_in(MS_PER_S * seconds, lambda: loop.cancel(task))
    call_count = loop.run_until(task)
    click.echo(json.dumps({"asked": call_count, **outcome_counts}))

"""Reads the files that commands take. A command prints every fault of such a file before it exits."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

from glencleat.cli.exit_codes import ExitCode
from glencleat.config import AllocatorConfig, ConfigError, load

if TYPE_CHECKING:
    from glencleat.emulators.script import Script

CONFIG_PATH = click.Path(dir_okay=False, path_type=Path)


def fail_with_faults(error: ConfigError) -> NoReturn:
    """Print every fault of a file, one a line, and exit with `ExitCode.WRONG_USE`."""
    for fault in error.faults:
        click.echo(f"glencleat: {fault}", err=True)
    sys.exit(ExitCode.WRONG_USE)


def read_config(path: Path) -> AllocatorConfig:
    """The allocator's configuration at `path`; exits if the file has faults."""
    try:
        return load(path)
    except ConfigError as error:
        fail_with_faults(error)


def read_script(path: Path) -> tuple[Script, AllocatorConfig]:
    """The play's script at `path` and the configuration that it names; exits if either file has faults."""
    from glencleat.emulators.script import load_script, load_shared_config

    try:
        script = load_script(path)
        return script, load_shared_config(path.parent / script.campus)
    except ConfigError as error:
        fail_with_faults(error)

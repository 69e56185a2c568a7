"""Exit codes of the commands, and how a command ends with an error."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import NoReturn

import click


class ExitCode(IntEnum):
    """The exit code of a command that fails."""

    FAILED = 1  # a check failed, or the server rejected the request
    WRONG_USE = 2  # wrong arguments, or a file that can't be used
    UNAVAILABLE = 3  # a system call failed, or the server can't be reached


def fail(message: object, code: ExitCode) -> NoReturn:
    """Print `message` to standard error, after the program's name, and exit with `code`."""
    click.echo(f"glencleat: {message}", err=True)
    sys.exit(code)

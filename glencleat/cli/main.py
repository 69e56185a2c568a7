"""The command group `glencleat`, and the commands that run an allocator or check its configuration.

Other modules of this package define the other commands. A command imports what it runs only when it is
called, so that the command line starts fast and the client commands load nothing of the allocator.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TextIO

import click

from glencleat import VERSION
from glencleat import log as logging
from glencleat.cli import plays, rest
from glencleat.cli.config_files import CONFIG_PATH, read_config
from glencleat.cli.emulators import emulator_group
from glencleat.cli.exit_codes import ExitCode, fail

EXIT_CODES_HELP = (
    "Exit codes: 0 success; 1 a check failed (a rule was broken); 2 wrong usage, or a file that can't be "
    "used; 3 a system call failed (an address in use, a file that can't be written)."
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]}, epilog=EXIT_CODES_HELP)
@click.version_option(VERSION, prog_name="glencleat")
def main() -> None:
    """A cluster scheduler of which many allocators run side by side, sharing nothing."""


@main.command("serve")
@click.argument("conf", type=CONFIG_PATH)
@click.option(
    "--ready", type=click.File("w"), help="Write the bound addresses to this file as one line of JSON."
)
def serve(conf: Path, ready: TextIO | None) -> None:
    """Run one allocator until SIGTERM. SIGHUP reads CONF again; it takes effect as a whole or not at all."""
    from glencleat.daemon import Daemon

    config = read_config(conf)
    log = logging.configure_logging(config.log.form, config.log.level, allocator=config.allocator.name)
    daemon = Daemon(config, log, conf)
    daemon.follow_signals()
    try:
        bound_addresses = daemon.start()
    except OSError as error:
        fail(error, ExitCode.UNAVAILABLE)
    log.info("listening", **bound_addresses)
    if ready is not None:
        ready.write(json.dumps(bound_addresses) + "\n")
        ready.flush()
    daemon.loop.run()
    log.info(
        "stopped",
        open=daemon.core.call_table.open_task_count,
        mismatch=daemon.core.counters.find_mismatches(),
    )


@main.command("node")
def run_node() -> None:
    """Run one allocator on the platform until SIGTERM. ROUTER_CONFIG names its configuration file."""
    from glencleat.platform_server.process import main as run_process

    sys.exit(run_process())


@main.command("check-config")
@click.argument("conf", type=CONFIG_PATH)
def check_config(conf: Path) -> None:
    """Check CONF and print each fault: its file, line and setting, and what was expected."""
    config = read_config(conf)
    click.echo(f"{conf}: valid ({len(config.classes)} classes, {len(config.kinds)} kinds)")


main.add_command(emulator_group)
for command in (*plays.COMMANDS, *rest.COMMANDS):
    main.add_command(command)

if __name__ == "__main__":
    main()

"""`python -m glencleat` is the command line."""

from glencleat.cli.main import main

main(prog_name="glencleat")

"""`python -m glencleat` is the command line. `node` starts without it: memory and start-up count there."""

import sys

if sys.argv[1:] == ["node"]:
    from glencleat.platform_server.process import main as node

    sys.exit(node())

from glencleat.cli.main import main

main(prog_name="glencleat")

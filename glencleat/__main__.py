"""Entry point of `python -m glencleat`: runs the command line.

`node` skips the import of the command line, to save memory and start-up time.
"""

import sys

if sys.argv[1:] == ["node"]:
    from glencleat.platform_server.process import main as node

    sys.exit(node())

from glencleat.cli.main import main

main(prog_name="glencleat")

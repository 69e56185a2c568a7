"""The command line `glencleat COMMAND`, built with click. `main.py` defines the command group."""

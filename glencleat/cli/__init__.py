"""The command line `glencleat COMMAND`, built with click. `main.py` holds the command group."""

"""The command line, by click: `glencleat COMMAND`."""

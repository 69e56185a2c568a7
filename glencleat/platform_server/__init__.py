"""The live path's sockets and process: owners' listener, links to hosts, the command channel, signals.

Imports the kernel and `glencleat/platform_protocol/`. `python -m glencleat node` starts it;
nothing else is imported."""

"""The platform's allocator process: client listener, host connections, command channel, signals.

Imports the event loop and `glencleat/platform_protocol/`. `python -m glencleat node` starts it and imports
nothing else.
"""

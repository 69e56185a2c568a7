"""Sockets and process of the platform allocator: client listener, host connections, command channel, signals.

`python -m glencleat node` starts it and imports nothing but this package and what it needs: the event loop,
`glencleat/platform_protocol/` and the policy.
"""

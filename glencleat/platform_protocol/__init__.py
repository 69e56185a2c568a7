"""The platform's protocol without I/O: message codec, command channel, and the exchange with the policy.

Nothing here opens a socket or reads a clock; time is an argument. `glencleat/platform_server/` has the
sockets and the process.
"""

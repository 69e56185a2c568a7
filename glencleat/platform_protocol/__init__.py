"""The platform's protocol without I/O: codec, command channel, and the exchange with the decision module.

No sockets and no clock: time is an argument or comes from a port. `glencleat/platform_server/` holds the
sockets and the process.
"""

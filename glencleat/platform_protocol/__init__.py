"""The platform's protocol without I/O: messages, the command channel, and the exchange with the module.

No sockets and no clock here: time is an argument. `glencleat/platform_server/` has the sockets and
the process."""

"""Flow control between allocators and what they share: backoff, connection limits, slow start.

State machines without I/O: no sockets, no clock, no random numbers but those passed in.
"""

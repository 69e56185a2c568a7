"""Bounds on the load that many allocators put on the services and hosts that they share.

The package decides without I/O: it opens no socket and reads no clock, and random numbers are passed in.
"""

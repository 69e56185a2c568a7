"""The agent protocol: the Apache Mesos v1 HTTP API, without sockets.

`recordio` frames records, `messages` holds the published schemas, `http` wraps h11 for clients and servers.
Nothing here reads a clock, opens a socket or imports glencleat beyond this package.
"""

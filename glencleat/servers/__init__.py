"""Network endpoints: the scheduler, executor, REST and metrics APIs, and the client of the directory.

They translate between sockets (`event_loop`), protocol objects (`mesos`) and the core, and make no scheduling
decisions.
"""

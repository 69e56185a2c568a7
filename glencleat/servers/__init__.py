"""What listens and connects: the scheduler and executor APIs, metrics, and the directory's client.

Fronts carry bytes between sockets (kernel), protocol objects (mesos) and the core; they decide nothing."""

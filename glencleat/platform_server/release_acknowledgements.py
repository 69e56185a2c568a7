"""When a host's release is acknowledged: once a client connection has taken it. No I/O.

Until it is acknowledged, a host sends a release again on its next connection, also to the process that
replaces this one. So the host keeps what this process would lose if it were killed:

    owed by                       until
    the host, unacknowledged      a client connection has all of the release, or this process drops it
    this process, in its queue    the same; `pending_releases.py` bounds the queue
    this process, unclaimed       a client names the task (`at`), or the retention of `ended_tasks.py` is over

A release that is owed no more is acknowledged on the connection that brought it last, or on another of that
host. If none is open, the host sends it again on the next one, and is acknowledged there.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

ACKNOWLEDGEMENT_CHECK_MS = 250.0
"""The interval between two looks at which deferred releases are owed no more."""

MAX_DEFERRED = 4_000
"""Releases whose acknowledgement is deferred; beyond it the oldest stays unacknowledged."""

ConnectionT = TypeVar("ConnectionT")


class ReleaseAcknowledgements(Generic[ConnectionT]):
    """The releases of hosts that are not acknowledged yet, each with the connection that brought it.

    >>> owed, acknowledgements = {7}, ReleaseAcknowledgements(lambda host, task: task in owed)
    >>> acknowledgements.must_defer("h1", 7, "connection"), acknowledgements.must_defer("h1", 8, "connection")
    (True, False)
    >>> list(acknowledgements.take_settled())
    []
    >>> owed.clear()
    >>> list(acknowledgements.take_settled()), len(acknowledgements)
    ([('connection', 7)], 0)
    """

    def __init__(self, is_owed: Callable[[str, int], bool]) -> None:
        """Starts empty.

        Args:
            is_owed: Whether the release of a host's task has not reached a client connection and still may.
        """
        self.is_owed = is_owed
        self.connections_by_release: dict[tuple[str, int], ConnectionT] = {}  # the oldest first

    def __len__(self) -> int:
        return len(self.connections_by_release)

    def must_defer(self, host: str, task_id: int, connection: ConnectionT) -> bool:
        """Handles a release that has arrived; returns False if it is to be acknowledged at once."""
        if not self.is_owed(host, task_id):
            self.connections_by_release.pop((host, task_id), None)
            return False
        self.connections_by_release[host, task_id] = connection
        if len(self.connections_by_release) > MAX_DEFERRED:
            del self.connections_by_release[next(iter(self.connections_by_release))]
        return True

    def take_settled(self) -> Iterator[tuple[ConnectionT, int]]:
        """Yields, and removes, the releases that are owed no more: the connection and the task's id."""
        for (host, task_id), connection in list(self.connections_by_release.items()):
            if not self.is_owed(host, task_id):
                del self.connections_by_release[host, task_id]
                yield connection, task_id

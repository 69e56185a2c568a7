"""Recent ends of running tasks, for clients that re-register a task as it ends or after.

No I/O: time is an argument. After a restart hosts report what ended as soon as a connection is up, and
clients re-register what they hold as soon as the allocator is ready: either may come first. And a task that
is running here may be registered again while its release is on its way to the client. Guards against adopting
a task that is over: it would never end.
"""

from __future__ import annotations

from typing import NamedTuple

RETENTION_MS = 10_000.0  # ends are due within 8 s
MAX_ENDED_TASKS = 4_000  # the oldest are dropped first


class EndedTask(NamedTuple):
    """How a task ended at a host, and whether a client that holds it has been notified."""

    cause: int
    is_client_notified: bool


class EndedTasks:
    """A bounded table of ends, by task and host.

    >>> ends = EndedTasks()
    >>> ends.record(7, "h1", EndedTask(cause=16, is_client_notified=False), now_ms=0.0)
    >>> ends.claim(7, "h2", 1.0)
    >>> ends.claim(7, "h1", 1.0)
    EndedTask(cause=16, is_client_notified=False)
    >>> ends.claim(7, "h1", 1.0)
    EndedTask(cause=16, is_client_notified=True)
    """

    def __init__(self) -> None:
        self._ends: dict[tuple[int, str], tuple[EndedTask, float]] = {}  # with their time; the oldest first

    def record(self, task: int, host: str, end: EndedTask, now_ms: float) -> None:
        """Adds the end of a task at a host; a later one replaces it."""
        self._ends.pop((task, host), None)
        self._ends[task, host] = end, now_ms
        while len(self._ends) > MAX_ENDED_TASKS or now_ms - self._oldest_ms() > RETENTION_MS:
            del self._ends[next(iter(self._ends))]

    def claim(self, task: int, host: str, now_ms: float) -> EndedTask | None:
        """Returns how the task ended at that host, None if no end of it was recorded lately.

        The caller notifies the client, so later claims find it notified.
        """
        found = self._ends.get((task, host))
        if found is None:
            return None
        end, ended_ms = found
        if now_ms - ended_ms > RETENTION_MS:
            return None
        self._ends[task, host] = EndedTask(end.cause, is_client_notified=True), ended_ms
        return end

    def _oldest_ms(self) -> float:
        return next(iter(self._ends.values()))[1]

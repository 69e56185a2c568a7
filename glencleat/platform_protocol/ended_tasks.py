"""Placed tasks whose end was reported recently, for clients that name such a task (`at`) around that time.

No I/O: time is an argument. After a restart, hosts report ended tasks as soon as a connection is up, and
clients name the tasks that they hold as soon as this process is ready; either may come first. A client may
also name a task while its release is on the way to it. Without this record a task that has ended would be
adopted, and its end would never be reported again.
"""

from __future__ import annotations

from typing import NamedTuple

RETENTION_MS = 10_000.0  # ends have to be reported within 8 s
MAX_ENDED_TASKS = 4_000  # beyond it the oldest are dropped


class ReportedEnd(NamedTuple):
    """The end of a task, as its host reported it first."""

    cause: int
    is_reported: bool  # a client was notified
    reported_at_ms: float

    def is_retained(self, now: float) -> bool:
        """Whether the retention time is not over."""
        return now - self.reported_at_ms <= RETENTION_MS


class EndedTasks:
    """The recently ended tasks by id and host, each with its cause and whether a client was notified.

    >>> ends = EndedTasks()
    >>> ends.record_end(7, "h1", 16, is_reported=False, now=0.0)
    >>> ends.claim(7, "h2", 1.0), ends.claim(7, "h1", 1.0), ends.claim(7, "h1", 1.0)
    (None, (16, False), (16, True))
    """

    def __init__(self) -> None:
        self.ends_by_task_and_host: dict[tuple[int, str], ReportedEnd] = {}  # the oldest first
        self.hosts_by_task: dict[int, list[str]] = {}

    def record_end(self, task_id: int, host: str, cause: int, is_reported: bool, now: float) -> None:
        """Records that a host reported a task's end.

        Args:
            task_id: The platform's id of the task.
            host: The host that reported it.
            cause: The cause in the host's release.
            is_reported: A client was notified; False if the client that holds the task is not known.
            now: The current time.

        A report that is repeated within the retention time, because it was not acknowledged, neither undoes
        that a client was notified nor extends the retention.
        """
        ends = self.ends_by_task_and_host
        end = ReportedEnd(cause, is_reported, now)
        previous = ends.get((task_id, host))
        if previous is not None and previous.is_retained(now):
            end = ReportedEnd(cause, is_reported or previous.is_reported, previous.reported_at_ms)
        else:
            self._remove(task_id, host)  # so that it is the newest
        if (task_id, host) not in ends:
            self.hosts_by_task.setdefault(task_id, []).append(host)
        ends[task_id, host] = end
        while len(ends) > MAX_ENDED_TASKS or not next(iter(ends.values())).is_retained(now):
            self._remove(*next(iter(ends)))

    def _remove(self, task_id: int, host: str) -> None:
        if self.ends_by_task_and_host.pop((task_id, host), None) is not None:
            self.hosts_by_task[task_id].remove(host)
            if not self.hosts_by_task[task_id]:
                del self.hosts_by_task[task_id]

    def list_hosts(self, task_id: int) -> list[str]:
        """Returns the hosts that have reported the task's end."""
        return list(self.hosts_by_task.get(task_id, ()))

    def is_unclaimed(self, task_id: int, host: str, now: float) -> bool:
        """Whether an end was reported within the retention time of which no client was notified."""
        end = self.ends_by_task_and_host.get((task_id, host))
        return end is not None and not end.is_reported and end.is_retained(now)

    def claim(self, task_id: int, host: str, now: float) -> tuple[int, bool] | None:
        """Returns the cause of a recent end and whether a client had been notified of it, and marks it so.

        None if no end of that task on that host was reported within the retention time.
        """
        end = self.ends_by_task_and_host.get((task_id, host))
        if end is None or not end.is_retained(now):
            return None
        self.ends_by_task_and_host[task_id, host] = end._replace(is_reported=True)
        return end.cause, end.is_reported

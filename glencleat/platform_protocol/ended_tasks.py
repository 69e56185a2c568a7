"""Placed tasks whose end was reported recently, for clients that name such a task (`at`) around that time.

No I/O: time is an argument. After a restart, hosts report ended tasks as soon as a connection is up, and
clients name the tasks that they hold as soon as this process is ready; either may come first. A client may
also name a task while its release is on the way to it. Without this record a task that has ended would be
adopted, and its end would never be reported again.
"""

from __future__ import annotations

RETENTION_MS = 10_000.0  # ends have to be reported within 8 s
MAX_ENDED_TASKS = 4_000  # beyond it the oldest are dropped


class EndedTasks:
    """The recently ended tasks by id and host, each with its cause and whether a client was notified.

    >>> ends = EndedTasks()
    >>> ends.record_end(7, "h1", 16, is_reported=False, now=0.0)
    >>> ends.claim(7, "h2", 1.0), ends.claim(7, "h1", 1.0), ends.claim(7, "h1", 1.0)
    (None, (16, False), (16, True))
    """

    def __init__(self) -> None:
        # By task id and host, the oldest first: cause, whether a client was notified, time of the report.
        self.ends_by_task_and_host: dict[tuple[int, str], tuple[int, bool, float]] = {}

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
        ended_at_ms = now
        previous = self.ends_by_task_and_host.get((task_id, host))
        if previous is not None and now - previous[2] <= RETENTION_MS:
            is_reported |= previous[1]
            ended_at_ms = previous[2]
        else:
            self.ends_by_task_and_host.pop((task_id, host), None)
        self.ends_by_task_and_host[task_id, host] = cause, is_reported, ended_at_ms
        while (
            len(self.ends_by_task_and_host) > MAX_ENDED_TASKS
            or now - next(iter(self.ends_by_task_and_host.values()))[2] > RETENTION_MS
        ):
            del self.ends_by_task_and_host[next(iter(self.ends_by_task_and_host))]

    def is_unclaimed(self, task_id: int, host: str, now: float) -> bool:
        """Whether an end was reported within the retention time of which no client was notified."""
        _, is_reported, ended_at_ms = self.ends_by_task_and_host.get((task_id, host), (0, True, now))
        return not is_reported and now - ended_at_ms <= RETENTION_MS

    def claim(self, task_id: int, host: str, now: float) -> tuple[int, bool] | None:
        """Returns the cause of a recent end and whether a client had been notified of it, and marks it so.

        None if no end of that task on that host was reported within the retention time.
        """
        cause, is_reported, ended_at_ms = self.ends_by_task_and_host.get(
            (task_id, host), (0, True, -float("inf"))
        )
        if now - ended_at_ms > RETENTION_MS:
            return None
        self.ends_by_task_and_host[task_id, host] = cause, True, ended_at_ms
        return cause, is_reported

"""Ends of standing tasks that were heard lately, for clients that name a task (`at`) as or after it ends.

No I/O: time is an argument. After a restart hosts tell what ended as soon as a connection is up, and clients
name what they hold as soon as we are ready: either may come first. And a task that we hold may be named again
while its release is on its way to the client. Guards against adopting what is over: it would never end."""

from __future__ import annotations

RETENTION_MS = 10_000.0  # ends are due within 8 s
MAX_ENDED_TASKS = 4_000  # the oldest go first


class EndedTasks:
    """
    >>> ends = EndedTasks()
    >>> ends.record_end(7, "h1", 16, is_reported=False, now=0.0)
    >>> ends.claim(7, "h2", 1.0), ends.claim(7, "h1", 1.0), ends.claim(7, "h1", 1.0)
    (None, (16, False), (16, True))
    """

    def __init__(self) -> None:
        self.ends_by_task_and_host: dict[
            tuple[int, str], tuple[int, bool, float]
        ] = {}  # task and host; the oldest first

    def record_end(self, task: int, host: str, cause: int, is_reported: bool, now: float) -> None:
        """`is_reported`: a client was; else nobody who holds it is known."""
        self.ends_by_task_and_host.pop((task, host), None)
        self.ends_by_task_and_host[task, host] = cause, is_reported, now
        while (
            len(self.ends_by_task_and_host) > MAX_ENDED_TASKS
            or now - next(iter(self.ends_by_task_and_host.values()))[2] > RETENTION_MS
        ):
            del self.ends_by_task_and_host[next(iter(self.ends_by_task_and_host))]

    def claim(self, task: int, host: str, now: float) -> tuple[int, bool] | None:
        """The cause by which it ended there and whether a client was told, who is from now on; None if
        nothing was heard of it lately."""
        cause, told, when = self.ends_by_task_and_host.get((task, host), (0, True, -float("inf")))
        if now - when > RETENTION_MS:
            return None
        self.ends_by_task_and_host[task, host] = cause, True, when
        return cause, told

"""Short lines on standard error, limited in number and length. Writing one never blocks.

It avoids structlog, which the rest of the program uses and which costs 10 MB of memory and 0.1 s of CPU time
on a small core.
"""

from __future__ import annotations

import os
import select
import time
from collections.abc import Iterable

MAX_LINES_PER_S, MAX_LINE_LENGTH = 20, 400
"""Maximum lines per second (further lines are dropped and counted), and maximum characters of a line."""

MAX_LOGGED_TASKS = 8
"""Task ids in one line."""


def describe_task_ids(task_ids: Iterable[int]) -> str:
    """Returns the first ids and how many there are besides.

    >>> describe_task_ids(range(10, 20))
    'tasks a, b, c, d, e, f, 10, 11 and 2 others'
    """
    shown = [f"{task_id:x}" for task_id in task_ids]
    rest = f" and {len(shown) - MAX_LOGGED_TASKS} others" if len(shown) > MAX_LOGGED_TASKS else ""
    return f"tasks {', '.join(shown[:MAX_LOGGED_TASKS])}{rest}"


class RateLimitedLog:
    """A callable that writes a line of text with the time and the process's name.

    The next line that is written states how many were dropped before it.
    """

    def __init__(
        self,
        name: str,
        fd: int = 2,
        max_lines_per_s: int = MAX_LINES_PER_S,
        max_line_length: int = MAX_LINE_LENGTH,
    ) -> None:
        self.name, self.fd, self.max_lines_per_s, self.max_line_length = (
            name,
            fd,
            max_lines_per_s,
            max_line_length,
        )
        self.current_second, self.line_count, self.dropped_count = 0, 0, 0
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def __call__(self, text: str) -> None:
        """Writes a line, or counts it as dropped if the limit is reached or the descriptor isn't writable."""
        now = time.time()
        if int(now) != self.current_second:
            self.current_second, self.line_count = int(now), 0
        self.line_count += 1
        if self.line_count > self.max_lines_per_s or not self.poll.poll(0):
            self.dropped_count += 1
            return
        dropped = f" ({self.dropped_count} lines dropped)" if self.dropped_count else ""
        self.dropped_count = 0
        try:
            os.write(
                self.fd,
                f"{now:.3f} {self.name} {text[: self.max_line_length]}{dropped}\n".encode(errors="replace"),
            )
        except OSError:
            self.dropped_count += 1

"""A log of short lines on standard error, bounded in number and never waited for.

structlog, which the rest of the program uses, takes ten megabytes and a tenth of a second of a small core.
"""

from __future__ import annotations

import os
import select
import time

STANDARD_ERROR = 2
MAX_LINES_PER_S = 20  # the rest are counted
MAX_LINE_CHARACTERS = 400


class RateLimitedLog:
    """Writes `name` and a text as one line to the file descriptor `fd`.

    Lines beyond `max_lines_per_s`, and those that `fd` would not take at once, are dropped; the next line
    that is written says how many. A text is cut at `max_characters`.
    """

    def __init__(
        self,
        name: str,
        fd: int = STANDARD_ERROR,
        max_lines_per_s: int = MAX_LINES_PER_S,
        max_characters: int = MAX_LINE_CHARACTERS,
    ) -> None:
        self.name = name
        self.fd = fd
        self.max_lines_per_s = max_lines_per_s
        self.max_characters = max_characters
        self.second = 0  # Unix time of the second that lines are counted in
        self.lines_this_second = 0
        self.dropped_lines = 0  # since the last line written
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def __call__(self, text: str) -> None:
        """Writes a line, or counts it as dropped."""
        now_s = time.time()
        if int(now_s) != self.second:
            self.second = int(now_s)
            self.lines_this_second = 0
        self.lines_this_second += 1
        if self.lines_this_second > self.max_lines_per_s or not self.poll.poll(0):
            self.dropped_lines += 1
            return
        suffix = f" (and {self.dropped_lines} lines not written)" if self.dropped_lines else ""
        self.dropped_lines = 0
        line = f"{now_s:.3f} {self.name} {text[: self.max_characters]}{suffix}\n"
        try:
            os.write(self.fd, line.encode(errors="replace"))
        except OSError:
            self.dropped_lines += 1

"""Short lines on standard error: bounded in number and never waited for.

structlog, the rest of the program's, takes ten megabytes and a tenth of a second of a small core."""

from __future__ import annotations

import os
import select
import time

MOST, WIDTH = 20, 400  # lines a second, the rest are counted; characters of a line


class RateLimitedLog:
    def __init__(self, name: str, fd: int = 2, most: int = MOST, width: int = WIDTH) -> None:
        self.name, self.fd, self.most, self.width = name, fd, most, width
        self.second, self.lines, self.dropped = 0, 0, 0
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def __call__(self, text: str) -> None:
        now = time.time()
        if int(now) != self.second:
            self.second, self.lines = int(now), 0
        self.lines += 1
        if self.lines > self.most or not self.poll.poll(0):
            self.dropped += 1
            return
        more = f" (and {self.dropped} lines not written)" if self.dropped else ""
        self.dropped = 0
        try:
            os.write(self.fd, f"{now:.3f} {self.name} {text[: self.width]}{more}\n".encode(errors="replace"))
        except OSError:
            self.dropped += 1

"""Signals as bytes in a pipe, so that they are handled between two events and none is missed.

Imports the loop. Made at a process's start, whatever comes before `attach` waits in the pipe."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable

from glencleat.event_loop.loop import READ, Loop


class Signals:
    """Takes SIGHUP, SIGTERM and SIGINT from the moment it is made."""

    def __init__(self) -> None:
        # A pipe and not a pair of sockets: that would be a Unix socket, which not every platform lets be.
        self.read_fd, self.write_fd = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(self.write_fd, warn_on_full_buffer=False)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: None)

    def attach(self, loop: Loop, stop: Callable[[], None], reload: Callable[[], None]) -> None:
        """From now on the loop calls `stop` for SIGTERM and SIGINT, `reload` for SIGHUP."""
        calls: dict[int, Callable[[], None]] = {
            signal.SIGTERM: stop,
            signal.SIGINT: stop,
            signal.SIGHUP: reload,
        }

        def told(_: int) -> None:
            for number in dict.fromkeys(os.read(self.read_fd, 256)):  # once each, in the order they came
                if number in calls:
                    calls[number]()

        loop.poller.watch(self.read_fd, READ, told)

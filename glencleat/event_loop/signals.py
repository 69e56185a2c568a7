"""Delivers signals through a pipe, so that the loop handles them between callbacks and none is lost.

Signals that arrive between creation, at the start of the process, and `attach` wait in the pipe. Imports the
loop.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable

from glencleat.event_loop.loop import READ, Loop


class Signals:
    """Catches SIGHUP, SIGTERM and SIGINT from its creation on."""

    def __init__(self) -> None:
        # A pipe rather than a socket pair, which is of Unix sockets: not every platform permits them.
        self.read_fd, self.write_fd = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(self.write_fd, warn_on_full_buffer=False)
        for signum in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            signal.signal(signum, lambda *_: None)

    def attach(self, loop: Loop, stop: Callable[[], None], reload: Callable[[], None]) -> None:
        """Makes the loop call `stop` on SIGTERM and SIGINT, and `reload` on SIGHUP."""
        handlers: dict[int, Callable[[], None]] = {
            signal.SIGTERM: stop,
            signal.SIGINT: stop,
            signal.SIGHUP: reload,
        }

        def on_readable(_: int) -> None:
            for signum in dict.fromkeys(os.read(self.read_fd, 256)):  # each signal once, in order of arrival
                if signum in handlers:
                    handlers[signum]()

        loop.poller.watch(self.read_fd, READ, on_readable)

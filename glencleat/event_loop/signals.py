"""Signals as bytes in a pipe (the self-pipe trick): handled between two events of the loop, none missed."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable

from glencleat.event_loop.loop import READ, Loop

SIGNALS_PER_READ = 256  # a byte each; more are read in the next round


class Signals:
    """Receives SIGHUP, SIGTERM and SIGINT from the moment it is made.

    A process makes one at its start: what arrives before `follow` waits in the pipe.
    """

    def __init__(self) -> None:
        # A pipe and not a pair of sockets: that would be a Unix socket, which not every platform permits.
        self.reader, self.writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(self.writer, warn_on_full_buffer=False)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: None)

    def follow(self, loop: Loop, stop: Callable[[], None], reload: Callable[[], None]) -> None:
        """Have the loop call `stop` for SIGTERM and SIGINT, and `reload` for SIGHUP, from now on."""
        callbacks: dict[int, Callable[[], None]] = {
            signal.SIGTERM: stop,
            signal.SIGINT: stop,
            signal.SIGHUP: reload,
        }

        def on_readable(_: int) -> None:
            for number in dict.fromkeys(
                os.read(self.reader, SIGNALS_PER_READ)
            ):  # once each, in the order they came
                if number in callbacks:
                    callbacks[number]()

        loop.poller.register(self.reader, READ, on_readable)

"""A port of a machine that has vanished or is cut off: connects to it never come up and are not refused."""

from __future__ import annotations

import socket

QUEUE_FILLERS = 3
"""Connects that fill an accept queue of length 0. The kernel drops the SYNs of all that follow."""


class UnreachablePort:
    """Listens without ever accepting, with a full accept queue, until it is closed."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Takes a port on which nothing listens any more.

        Raises:
            OSError: The port is in use.
        """
        self.listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.fillers: list[socket.socket] = []
        try:
            self.listening.bind(address)
            self.listening.listen(0)
            for _ in range(QUEUE_FILLERS):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                self.fillers.append(filler)
                filler.setblocking(False)
                filler.connect_ex(address)
        except OSError:
            self.close()
            raise

    def close(self) -> None:
        """Frees the port."""
        for filler in self.fillers:
            filler.close()
        self.listening.close()

"""The names of hosts whose connections reach one process: one that took an address, and those before it."""

from __future__ import annotations


class ProcessNames:
    """By which host's name each process is known now.

    >>> names = ProcessNames()
    >>> names.record_successor("h1", "h2")
    >>> names.is_same_process("h1", "h2"), names.is_same_process("h1", "h3")
    (True, False)
    >>> names.forget("h1")
    >>> names.is_same_process("h1", "h2")
    False
    """

    def __init__(self) -> None:
        """Starts with a process of its own for each host."""
        self.successors_by_host: dict[str, str] = {}

    def record_successor(self, host: str, successor: str) -> None:
        """The host's connections reach another one's process, which may report the tasks of either on any."""
        if host == successor:
            self.forget(host)
        else:
            self.successors_by_host[host] = successor

    def forget(self, host: str) -> None:
        """The host is gone or has an address of its own again."""
        self.successors_by_host.pop(host, None)

    def find_current_name(self, host: str) -> str:
        """Returns the name by which the list knows the process that the host's connections reach."""
        return self.successors_by_host.get(host, host)

    def is_same_process(self, host: str, other_host: str) -> bool:
        """Whether the connections of both reach one process."""
        return self.find_current_name(host) == self.find_current_name(other_host)

"""Detects that a host which could not be reached for a while has lost its tasks meanwhile. No I/O.

A machine that vanishes says nothing, and neither does one behind a network partition. Both accept connections
again afterwards. The machine list tells them apart, but may come too late: a release is due 8 s after a
task's end. The connections from before the outage tell them apart as well, once something is sent on them: a
process that has survived answers, a machine that has started again resets them.

    after an outage, once a connection is open                      verdict
    bytes on a connection from before                               the process has survived
    a message about a task that was reported on one of these        the process has survived
    all connections from before are reset, and neither of the       the tasks reported on them are lost,
    others within UNREACHABLE_MS of the last sign of the host       UNREACHABLE_MS after that sign
    a connection from before ends otherwise, or stays silent        none: the machine list decides

The third is wrong about a partition that ends with a reset of every connection, while no task has anything to
report. A shorter outage than MIN_OUTAGE_MS is no evidence: a few connects in a row may fail by chance, and
the machine list has the time to report a restart.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from glencleat.platform_server.failure_detector import NEVER, UNREACHABLE_MS

MIN_OUTAGE_MS = 3_000.0
"""The shortest time without any sign of a host that counts as an outage."""

ConnectionT = TypeVar("ConnectionT")


@dataclass(slots=True)
class Outage(Generic[ConnectionT]):
    """A time in which a host can't be reached, until it is known whether its process has survived."""

    last_sign_at_ms: float  # the last message of the host, or the last connection that opened
    open_connections: set[ConnectionT]  # from before the outage
    has_reset: bool = False  # a connection from before was reset
    reconnected_at_ms: float | None = None  # None until a connection opens

    @property
    def verdict_due_ms(self) -> float:
        """When the host counts as started again if it shows no sign until then; NEVER without evidence."""
        has_evidence = self.has_reset and not self.open_connections and self.reconnected_at_ms is not None
        return self.last_sign_at_ms + UNREACHABLE_MS if has_evidence else NEVER


class RestartDetector(Generic[ConnectionT]):
    """Collects the evidence about one host. Connections are compared by identity.

    >>> detector = RestartDetector()
    >>> detector.begin_outage(0.0, ["old"])
    >>> detector.record_reconnected(6_000.0)
    ['old']
    >>> detector.record_ended("old", was_reset=True)
    >>> detector.find_restart_ms(7_000.0), detector.find_restart_ms(7_001.0)
    (None, 6000.0)
    """

    def __init__(self) -> None:
        """Starts with a host that can be reached."""
        self.outage: Outage[ConnectionT] | None = None

    def begin_outage(self, last_sign_at_ms: float, open_connections: Iterable[ConnectionT]) -> None:
        """The host can't be reached. Ignored during an outage, or without a connection from before."""
        connections = set(open_connections)
        if self.outage is None and connections:
            self.outage = Outage(last_sign_at_ms, connections)

    def record_reconnected(self, now_ms: float) -> list[ConnectionT]:
        """A connection has opened. Returns those from before on which a health check is to be sent."""
        outage = self.outage
        if outage is None or outage.reconnected_at_ms is not None:
            return []
        if now_ms - outage.last_sign_at_ms < MIN_OUTAGE_MS:
            self.outage = None
            return []
        outage.reconnected_at_ms = now_ms
        return list(outage.open_connections)

    def record_received(self, connection: ConnectionT) -> None:
        """Bytes were received on a connection."""
        if self.outage is not None and connection in self.outage.open_connections:
            self.outage = None

    def record_task_message(self, connected_at_ms: float) -> None:
        """The host has reported on a placed task.

        Args:
            connected_at_ms: When the connection opened on which it had reported on the task before.
        """
        if self.outage is not None and connected_at_ms < (self.outage.reconnected_at_ms or NEVER):
            self.outage = None

    def record_ended(self, connection: ConnectionT, *, was_reset: bool) -> None:
        """A connection has ended, by a reset of the host or otherwise."""
        if self.outage is None or connection not in self.outage.open_connections:
            return
        if was_reset:
            self.outage.open_connections.discard(connection)
            self.outage.has_reset = True
        else:
            self.outage = None

    def find_restart_ms(self, now_ms: float) -> float | None:
        """Returns when the host was reached again after a new start, None if that is not shown.

        Tasks are lost if it reported on them on connections that had opened before that.
        """
        if self.outage is None or now_ms <= self.outage.verdict_due_ms:
            return None
        return self.outage.reconnected_at_ms

    @property
    def verdict_due_ms(self) -> float:
        """The time after which `find_restart_ms` returns a time, if nothing is observed until then."""
        return self.outage.verdict_due_ms if self.outage is not None else NEVER

    def clear(self) -> None:
        """Forgets the outage, since its verdict has been acted on."""
        self.outage = None

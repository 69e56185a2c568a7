"""The connection pool's state of a host: its connections, pending releases and failure detector."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Generic, Protocol, TypeVar

from glencleat.flow_control.backoff import HOST_BACKOFF, Backoff
from glencleat.platform_server.failure_detector import NEVER, FailureDetector
from glencleat.platform_server.incarnations import (
    ConnectionHistory,
    ConnectionLosses,
    ExpectedLoss,
    ProcessChange,
)
from glencleat.platform_server.reachability import ReachabilityHistory
from glencleat.platform_server.restart_detector import RestartDetector

NO_ADDRESS: tuple[str, int] = ("", 0)
"""The address of a host for which no machine list gives one."""


PROCESS_DOUBT_MS = 15_000.0
"""A task that is handed over so soon after the start of a process at its host may have run in the former one.

The process that it ran in may have ended 8 s, and a restart of its allocator, before."""


class PooledConnection(Protocol):
    """The interface of a connection that its host uses."""

    @property
    def stream(self) -> object | None:
        """The stream; None until the connection is open."""

    @property
    def open_attempt_count(self) -> int:
        """The number of attempts that wait for the connection to open or for an answer."""

    @property
    def was_reset(self) -> bool:
        """Whether the host has reset the connection."""

    def abort(self, reason: str) -> None:
        """Closes the connection at once."""


ConnectionT = TypeVar("ConnectionT", bound=PooledConnection)


class ProcessRecord(Generic[ConnectionT]):
    """What is known of the processes of a host that connections have reached."""

    __slots__ = (
        "change",
        "doubted_until_ms",
        "evicted_until_ms",
        "expected_loss",
        "history",
        "losses",
        "reachability",
    )

    def __init__(self) -> None:
        """Starts without a connection."""
        self.history = ConnectionHistory()
        self.losses = ConnectionLosses()
        self.reachability = ReachabilityHistory()
        self.change: ProcessChange[PooledHost[ConnectionT], ConnectionT] | None = None  # the latest
        self.expected_loss: ExpectedLoss[PooledHost[ConnectionT]] | None = None
        self.evicted_until_ms = -NEVER  # when a connection opened after its only one had been evicted
        # A task that is handed over before may be one of a former process.
        self.doubted_until_ms = -NEVER


class PooledHost(FailureDetector, Generic[ConnectionT]):
    """One host of the pool, with connections of the type `ConnectionT`.

    `on_change` is called for every change that may bring forward the time at which the pool has to maintain
    the host. A change that only defers it is noticed when that time comes.
    """

    def __init__(
        self,
        name: str,
        now_ms: float,
        random: Random,
        creation_number: int,
        on_change: Callable[[PooledHost[ConnectionT]], None],
    ) -> None:
        """Starts without an address or a connection.

        Args:
            name: The host's id in the machine list.
            now_ms: The current time.
            random: Source of the jitter of waits between connects.
            creation_number: A sequence number that orders the hosts of the pool by creation.
            on_change: Called with this host; see the class.
        """
        super().__init__(now_ms)
        self.name = name
        self.creation_number = creation_number
        self.on_change = on_change
        self.backoff = Backoff(HOST_BACKOFF, random)  # between connects while the host can't be reached
        self.address = NO_ADDRESS
        self.process_started_unix_ms: float | None = None  # by the last machine list
        self.connections: dict[ConnectionT, None] = {}  # in the order of their creation
        self.next_connect_at_ms = 0.0
        # When a connection was lost, until one opens that began later: the host sends on it what was cut off.
        self.reconnect_owed_since: int | None = None
        # Releases that the host has not acknowledged, each with the connection it was written to.
        self.pending_releases: dict[int, ConnectionT | None] = {}
        self.restart_detector: RestartDetector[ConnectionT] = RestartDetector()
        self._process_record: ProcessRecord[ConnectionT] | None = None

    def remove_connection(self, connection: ConnectionT) -> None:
        """Removes a connection that has ended or is closing."""
        if connection in self.connections:
            self.restart_detector.record_ended(connection, was_reset=connection.was_reset)
            del self.connections[connection]
            self.on_change(self)

    def settle_reconnect(self, began_moment: int) -> None:
        """A connection has opened that began at `began_moment`."""
        if self.reconnect_owed_since is not None and began_moment > self.reconnect_owed_since:
            self.reconnect_owed_since = None

    def abort_connections(self, reason: str) -> None:
        """Closes all connections at once: the host was removed, or its address has changed."""
        for connection in list(self.connections):
            connection.abort(reason)

    def record_removed(self, now_ms: float) -> None:
        """Extends `FailureDetector.record_removed`."""
        if not self.is_removed:
            self.on_change(self)
        super().record_removed(now_ms)

    def record_listed(self, *, draining: bool) -> None:
        """Extends `FailureDetector.record_listed`."""
        if self.is_removed or self.is_draining != draining:
            self.on_change(self)
        super().record_listed(draining=draining)

    def record_connected(self, now_ms: float) -> None:
        """Extends `FailureDetector.record_connected`."""
        super().record_connected(now_ms)
        self.on_change(self)

    def record_connect_failure(self, now_ms: float, *, refused: bool, disconnected: bool) -> None:
        """Extends `FailureDetector.record_connect_failure`."""
        super().record_connect_failure(now_ms, refused=refused, disconnected=disconnected)
        self.on_change(self)

    def record_connection_lost(self, now_ms: float, *, idle: bool, disconnected: bool) -> bool:
        """Extends `FailureDetector.record_connection_lost`."""
        self.on_change(self)
        return super().record_connection_lost(now_ms, idle=idle, disconnected=disconnected)

    @property
    def process_record(self) -> ProcessRecord[ConnectionT]:
        """The record of its processes, made at its first use: hosts without connections need none."""
        if self._process_record is None:
            self._process_record = ProcessRecord()
        return self._process_record

    @property
    def has_address(self) -> bool:
        """Whether a machine list gives the host's address."""
        return bool(self.address[1])

    @property
    def unsent_releases(self) -> list[int]:
        """The ids of the tasks whose releases are not written to any open connection."""
        return [task for task, connection in self.pending_releases.items() if connection is None]

    @property
    def is_serving(self) -> bool:
        """Whether new tasks may be sent there, by the machine list."""
        return not (self.is_removed or self.is_draining)

    @property
    def has_open_attempts(self) -> bool:
        """Whether any connection to it has open attempts."""
        return any(connection.open_attempt_count for connection in self.connections)

    @property
    def is_connecting(self) -> bool:
        """Whether a connection to it is being opened."""
        return any(connection.stream is None for connection in self.connections)

    @property
    def open_connection_count(self) -> int:
        """The number of its connections that are open."""
        return sum(connection.stream is not None for connection in self.connections)

    def describe_connections(self) -> str:
        """Returns the numbers of its connections for the log."""
        opening_count = len(self.connections) - self.open_connection_count
        return f"{self.open_connection_count} connections left, {opening_count} being opened"

    @property
    def is_disconnected(self) -> bool:
        """Whether no connection to it is open."""
        return not self.open_connection_count

"""What a connection to a host requires of the pool that opened it. `connection_pool.py` implements it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from glencleat.descriptor_budget import DescriptorBudget
from glencleat.event_loop import Loop
from glencleat.flow_control.connection_limiter import ConnectionLimiter
from glencleat.platform_protocol.delivery import DeliveryOutcome
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_protocol.setup_calls import SetupAttempt
from glencleat.platform_server.incarnations import EventOrder
from glencleat.platform_server.pooled_host import ConnectionT, PooledHost

if TYPE_CHECKING:
    from glencleat.platform_server.trace import Trace


class ConnectionPoolPort(Protocol[ConnectionT]):
    """What a connection requires of the pool that opened it."""

    loop: Loop
    event_order: EventOrder
    connection_limiter: ConnectionLimiter
    descriptors: DescriptorBudget
    exchange: Exchange
    connect_ms: float
    trace: Trace | None

    def report_outcome(self, attempt: SetupAttempt, outcome: DeliveryOutcome) -> None:
        """Reports a failed attempt to the exchange, after the exchange's current operation."""

    def is_warming_up(self, host: PooledHost[ConnectionT]) -> bool:
        """Whether the host is warming up, by the machine list."""

    def on_connected(self, host: PooledHost[ConnectionT], connection: ConnectionT) -> None:
        """The connection has opened."""

    def on_answer(self, host: PooledHost[ConnectionT], connection: ConnectionT, sent_moment: int) -> None:
        """The host has answered what was sent on the connection at `sent_moment`."""

    def on_connection_ended(self, host: PooledHost[ConnectionT], connection: ConnectionT) -> None:
        """A connection has ended for any reason, or could not be opened."""

    def on_host_heard(self, host: PooledHost[ConnectionT]) -> None:
        """Data was received from the host, or a connection to it has opened."""

    def on_connect_failed(self, host: PooledHost[ConnectionT], *, refused: bool) -> None:
        """A connect failed for a reason other than a lack of descriptors."""

    def on_connection_lost(self, host: PooledHost[ConnectionT], connection: ConnectionT, reason: str) -> None:
        """A connection has ended that neither `close_gracefully` nor `abort` was closing."""

    def record_task_message(self, host: PooledHost[ConnectionT], task_id: int) -> None:
        """The host reports on a task, which may be one that is placed there."""

    def mark_changed(self, host: PooledHost[ConnectionT]) -> None:
        """The host may need maintenance earlier than planned."""

    def acknowledge_release(self, connection: ConnectionT, task_id: int) -> None:
        """Acknowledges a release that came on the connection, at once or once a client connection has it."""

"""Which client connection carries the release of a placed task, and what of it the operating system has.

By the protocol page a task belongs to no connection: its release may go out on any connection of a client.
`pending_releases.py` holds the releases that wait for one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

from glencleat.event_loop import Stream
from glencleat.platform_server.pending_releases import PendingReleases, UnsentReleases


class ReleaseCarrier(Protocol):
    """What the delivery needs of a client connection."""

    stream: Stream
    unsent_releases: UnsentReleases
    last_used_at_ms: float
    is_trusted: bool  # one of its tasks was placed, or it released one that was

    @property
    def is_proven(self) -> bool:
        """Whether its client is known to be a valid one, so that it can carry releases."""


CarrierT = TypeVar("CarrierT", bound=ReleaseCarrier)


class ReleaseDelivery(Generic[CarrierT]):
    """Sends releases on client connections, the preferred ones first, or queues them."""

    def __init__(
        self,
        connections: Iterable[CarrierT],
        has_closed: Callable[[CarrierT], bool],
        on_used: Callable[[CarrierT], None],
        now: Callable[[], float],
        log: Callable[[str], None],
    ) -> None:
        """Starts with nothing to send.

        Args:
            connections: All client connections, maintained by their owner.
            has_closed: Whether a client has closed its connection by now, and would read nothing.
            on_used: Called with a connection on which a release was written.
            now: The current time in milliseconds.
            log: Takes a line of text.
        """
        self.connections, self.has_closed, self.on_used, self.now = connections, has_closed, on_used, now
        self.pending = PendingReleases(log)
        self.trusted_count = 0  # of the open connections
        # Open connections that are not trusted and can carry releases.
        self.untrusted_carriers: set[CarrierT] = set()

    def send(self, client: CarrierT | None, data: bytes) -> None:
        """Sends a release on the client's connection.

        If that is closed, it goes out on the most recently used trusted connection, else on the most recently
        used one that can carry releases, or waits for such a one.
        """
        if client is None or not self._try_send(client, data):
            self._send_on_any(data)

    def record_trusted(self, client: CarrierT) -> None:
        """The connection is trusted from now on."""
        self.trusted_count += client.stream.close_reason is None

    def update_carrier(self, client: CarrierT) -> None:
        """Records whether the connection can carry releases; if so, sends those that wait for one."""
        if client.stream.close_reason is not None or not client.is_proven or client.is_trusted:
            self.untrusted_carriers.discard(client)
        else:
            self.untrusted_carriers.add(client)
        if client.is_proven:
            self.pending.send_all(lambda data: self._try_send(client, data))

    def is_last_carrier(self, client: CarrierT) -> bool:
        """Whether this is the only open connection to carry releases, or the only trusted one."""
        if client.is_trusted:
            return self.trusted_count == 1
        is_only_carrier = len(self.untrusted_carriers) == 1 and client in self.untrusted_carriers
        return is_only_carrier and not self.trusted_count

    def handle_closed(self, client: CarrierT) -> None:
        """A connection has closed: what the operating system has not got whole goes out on another."""
        self.trusted_count -= client.is_trusted
        self.untrusted_carriers.discard(client)
        self.record_written(client)
        for data in client.unsent_releases.take_all():
            self._send_on_any(data)

    def record_written(self, client: CarrierT) -> None:
        """Records which releases of a connection's send buffer the operating system has by now."""
        for data in client.unsent_releases.take_written(client.stream.written_bytes):
            self.pending.record_delivered(data)

    def is_undelivered(self, task_id: int) -> bool:
        """Whether a release of the task is still to be written whole to a connection."""
        return task_id in self.pending.undelivered_task_ids

    def _send_on_any(self, data: bytes) -> None:
        carriers = [candidate for candidate in self.connections if candidate.is_proven]
        carriers.sort(key=lambda carrier: (carrier.is_trusted, carrier.last_used_at_ms), reverse=True)
        if any(self._try_send(carrier, data) for carrier in carriers):
            return
        self.pending.add(data, self.now())

    def _try_send(self, client: CarrierT, data: bytes) -> bool:
        """Writes a release to an open connection; returns False if it is closed."""
        if self.has_closed(client) or not client.stream.try_send(data):
            return False
        self.pending.record_sending(data)
        client.unsent_releases.record_queued(data, client.stream.queued_bytes)
        self.record_written(client)
        self.on_used(client)
        return True

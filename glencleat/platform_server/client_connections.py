"""Client connections: what is read from them, answered, retained and closed.

A connection is closed if it sends no message, an incomplete message or bytes that can't be decoded. One
without an open call is closed when its descriptor is needed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from glencleat.descriptor_budget import BACKLOG, DescriptorBudget, EvictionPriority, PeerKind
from glencleat.event_loop import Listener, Loop, Stream, StreamClosedError
from glencleat.event_loop.loop import Coroutine
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_protocol.inbox import Inbox
from glencleat.platform_server.client_timeouts import ClientActivity, is_message_overdue
from glencleat.platform_server.pending_releases import UnsentReleases
from glencleat.platform_server.receive_budget import LARGEST_MESSAGE_BYTES, ReceiveBudget
from glencleat.platform_server.release_delivery import ReleaseDelivery

if TYPE_CHECKING:
    from glencleat.platform_server.trace import Trace

SWEEP_MS = 250.0

WRITE_STALL_TIMEOUT_MS = 5_000.0
"""The time for a client to read some of its unsent bytes."""

MESSAGES_PER_TURN = 16
"""Messages handled on one connection before others have their turn."""

READ_SIZE = 16_384
"""Bytes read from one connection at a time."""

ACCEPT_BATCHES = 64
"""Batches of the listen backlog that one check accepts."""

MAX_INVALID_SETUPS = 50
"""Invalid set-ups rejected on one connection before it is closed."""

MAX_SOCKET_WAIT_MS = 60_000.0
"""The longest wait in a socket that is believed: a larger value means that the clock was set."""

MAX_UNSENT_BYTES = 1 << 18
"""Unsent bytes of a slow reader."""


class ClientConnection:
    """One connection. `open_task_ids` holds the ids that an answer is owed to; the exchange maintains it."""

    peer_kind = PeerKind.CLIENTS

    def __init__(self, client_connections: ClientConnections, stream: Stream, now: float) -> None:
        self.client_connections, self.stream, self.inbox = client_connections, stream, Inbox()
        self.open_task_ids: set[int] = set()
        self.buffered_bytes = 0  # of the inbox, as counted in the receive budget
        self.created_at_ms = self.last_used_at_ms = now
        self.has_received_message = False  # a complete one
        # One of its tasks was placed, or it released one that was: neither happens to an invalid client.
        self.is_trusted = False
        # Its set-ups that could be used and that it has not taken back, whatever the answer was.
        self.valid_setup_count = 0
        self.invalid_setup_count = 0
        self.unsent_releases = UnsentReleases()
        # Bytes written so far, and since when that number has not changed while others are unsent.
        self.write_stall: tuple[int, float] | None = None
        # Where an incomplete message begins, and since when it has been incomplete.
        self.partial_message: tuple[int, float] | None = None

    @property
    def is_proven(self) -> bool:
        """Whether its client is known to be a valid one: the others may be faulty.

        Proven connections carry the releases of others too, as a task belongs to no connection. An invalid
        client would drop them; so may one that has sent nothing but health checks and set-ups that it took
        back, or nothing at all.
        """
        return self.is_trusted or (self.valid_setup_count > 0 and not self.invalid_setup_count)

    def eviction_priority(self) -> EvictionPriority:
        """What the descriptor budget evicts this connection by."""
        if (
            self.open_task_ids
            or self.inbox.complete_bytes
            or self.stream.send_buffer
            or self.client_connections.releases.is_last_carrier(self)
        ):
            # An answer is owed on it, or no other connection can carry releases.
            return EvictionPriority.PINNED
        return EvictionPriority.TRUSTED_CLIENT if self.is_trusted else EvictionPriority.UNTRUSTED_CLIENT

    def read_pending(self) -> None:
        """Reads what has arrived, also since the last poll."""
        self.client_connections.read_pending(self)

    def evict(self) -> None:
        """Closes the connection for its descriptor."""
        self.stream.close("evicted: its descriptor is needed")

    def is_reading(self, now: float) -> bool:
        """Whether the client has read some of its unsent bytes within the time-out."""
        if self.write_stall is None or self.write_stall[0] != self.stream.written_bytes:
            self.write_stall = self.stream.written_bytes, now
        return now - self.write_stall[1] <= WRITE_STALL_TIMEOUT_MS

    def track_partial_message(self, now: float) -> None:
        """Records since when a message is incomplete; more bytes of it don't restart its time."""
        if not self.inbox.has_partial_message:
            self.partial_message = None
        elif (
            self.open_task_ids
            or self.partial_message is None
            or self.partial_message[0] != self.inbox.consumed_bytes
        ):
            self.partial_message = self.inbox.consumed_bytes, now

    def observe_activity(self) -> ClientActivity:
        """What decides whether it is closed for a message that has not come."""
        partial_since_ms = None if self.partial_message is None else self.partial_message[1]
        has_open_setups = bool(self.open_task_ids)
        return ClientActivity(
            self.created_at_ms, self.has_received_message, self.is_proven, has_open_setups, partial_since_ms
        )


class ClientConnections:
    """The listener and all client connections. `exchange` is set by whoever assembles the process."""

    exchange: Exchange

    def __init__(self, loop: Loop, descriptors: DescriptorBudget, log: Callable[[str], None]) -> None:
        self.loop, self.descriptors, self.log = loop, descriptors, log
        self.connections: dict[ClientConnection, None] = {}  # in the order of their arrival
        self.receive_budget = ReceiveBudget()
        self.releases = ReleaseDelivery(
            self.connections, self._has_closed, descriptors.update_priority, loop.now, log
        )
        self.listener: Listener | None = None
        self.is_draining = False
        self.closed_at_unix_ms = float("inf")  # calls that arrive later are refused
        self.is_ready: Callable[[], bool] = lambda: True  # there is a host to place on
        self.trace: Trace | None = None
        loop.call_in(SWEEP_MS, self._sweep)

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Opens the listener and returns the address that it is bound to."""
        # With 0 connections admitted unconditionally, the descriptor budget decides about each.
        self.listener = Listener(
            self.loop,
            address,
            self._on_accept,
            0,
            MAX_UNSENT_BYTES,
            lambda why: None,
            self._ensure_capacity,
            BACKLOG,
        )
        return self.listener.address

    def stop_listening(self) -> None:
        """Closes the listener; calls that arrive from now on over open connections are refused."""
        if self.listener is not None:
            self.listener.close()
            self.listener, self.closed_at_unix_ms = None, self.loop.clock.wall()

    def read_all_pending(self) -> tuple[bool, bool]:
        """Accepts all connections and reads all bytes that have arrived by now.

        Returns:
            Whether anything arrived or waits for its turn, and whether some message is incomplete.
        """
        has_arrivals = False
        for _ in range(ACCEPT_BATCHES):
            if self.listener is None or not self.listener.accept_pending():
                break
            has_arrivals = True
        for client in list(self.connections):
            has_arrivals |= self.read_pending(client) or client.inbox.has_next
        return has_arrivals, any(client.partial_message is not None for client in self.connections)

    @property
    def has_unsent_bytes(self) -> bool:
        """Some answer has not been handed to the operating system yet."""
        return any(client.stream.send_buffer for client in self.connections)

    # ---- connections ----

    def _on_accept(self, stream: Stream) -> None:
        stream.enable_timestamps()
        client = ClientConnection(self, stream, self.loop.now())
        self.connections[client] = None
        self.descriptors.add_holder(client)
        stream.close_callbacks.append(lambda _: self._on_close(client))
        self.loop.spawn(self._serve(client), "owner")

    def _on_close(self, client: ClientConnection) -> None:
        self.descriptors.remove_holder(client)
        self.releases.handle_closed(client)

    def _serve(self, client: ClientConnection) -> Coroutine:
        inbox = client.inbox
        try:
            while inbox.has_next or not inbox.is_closed:
                has_read = client.stream.is_readable and self._read(
                    client, LARGEST_MESSAGE_BYTES, until_empty=False
                )
                if inbox.is_closed or client.stream.close_reason is not None:
                    inbox.is_closed = True
                    self.exchange.on_client_gone(client)  # before unread messages, which may be set-ups
                if self._handle_turn(client) or (has_read and client.stream.is_readable):
                    yield from self.loop.sleep(0.0)
                elif not (has_read or inbox.is_closed):
                    yield from client.stream.wait_readable()
            client.stream.close("closed by the client")
        except StreamClosedError:
            inbox.is_closed = True
        except m.ProtocolError as error:
            client.stream.close(str(error))
            self.log(f"client connection closed: {error}")
        finally:
            self.connections.pop(client, None)
            self._update_buffered(client)
            self.exchange.on_client_gone(client)

    def _read(self, client: ClientConnection, max_buffered: int, until_empty: bool) -> bool:
        """Reads what has arrived while fewer than `max_buffered` bytes are buffered.

        With `until_empty` it reads until the operating system has no more; otherwise the poller reports later
        bytes. Returns whether something arrived.
        """
        inbox, has_read = client.inbox, False
        try:
            while not inbox.is_closed and len(inbox.buffer) < max_buffered:
                data = client.stream.read_nowait(READ_SIZE)
                if data is None:
                    break
                has_read, client.last_used_at_ms = True, self.loop.now()
                if data:
                    stream = client.stream
                    inbox.feed(data, stream.received_after_unix_ms, stream.received_at_unix_ms)
                else:
                    inbox.is_closed = True
                if not (until_empty or client.stream.is_readable):
                    break
        except StreamClosedError:
            has_read = inbox.is_closed = True
        self._update_buffered(client)
        return has_read

    def _update_buffered(self, client: ClientConnection) -> None:
        buffered_bytes = len(client.inbox.buffer) if client in self.connections else 0
        self.receive_budget.record_change(buffered_bytes - client.buffered_bytes)
        client.buffered_bytes = buffered_bytes

    def read_pending(self, client: ClientConnection) -> bool:
        """Reads what has arrived by now, out of turn, since a close or a cancellation takes effect at once.

        Returns whether something arrived.
        """
        limit_bytes = self.receive_budget.connection_limit_bytes
        has_read = self._read(client, limit_bytes, until_empty=True)
        client.track_partial_message(self.loop.now())
        if has_read:
            client.stream.wake_reader()
        elif len(client.inbox.buffer) >= limit_bytes and client.stream.has_peer_closed():
            client.inbox.is_closed = True
        return has_read

    def is_client_waiting(self, client: ClientConnection, task: int) -> bool:
        """Whether the client still waits for the answer; see `ExchangePorts`."""
        self.read_pending(client)
        return client.inbox.is_client_waiting(task)

    def _has_closed(self, client: ClientConnection) -> bool:
        """Whether the client has closed by now and would read nothing."""
        self.read_pending(client)
        return client.inbox.is_closed

    def _handle_turn(self, client: ClientConnection) -> bool:
        """Handles up to MESSAGES_PER_TURN messages; returns whether there are more."""
        for _ in range(MESSAGES_PER_TURN):
            message_and_arrival = client.inbox.next_message()
            if message_and_arrival is None:
                break
            self._handle_message(client, *message_and_arrival)
        self._update_buffered(client)
        client.track_partial_message(self.loop.now())
        self.descriptors.update_priority(client, was_used=True)
        return client.inbox.has_next

    def _handle_message(
        self, client: ClientConnection, message: m.PlatformMessage, arrived_at_unix_ms: float
    ) -> None:
        client.has_received_message = True
        if self.trace is not None:
            self.trace.record_message("client", message)
        if message.kind == m.SETUP:
            is_late = arrived_at_unix_ms > self.closed_at_unix_ms
            is_valid = self.exchange.on_client_setup(
                client, message, self._socket_wait_ms(arrived_at_unix_ms), is_late
            )
            # One that was taken back before it was opened counts for nothing.
            is_awaited = message.task_id in client.open_task_ids or client.inbox.is_client_waiting(
                message.task_id
            )
            client.valid_setup_count += is_valid and is_awaited
            client.invalid_setup_count += not is_valid
            self.releases.update_carrier(client)
            if client.invalid_setup_count > MAX_INVALID_SETUPS:
                raise m.ProtocolError(
                    f"too many invalid set-ups on one connection: {client.invalid_setup_count}"
                )
        elif message.kind == m.RELEASE:
            message.cause  # noqa: B018 - raises if it can't be decoded
            if message.task_id in client.open_task_ids:
                client.valid_setup_count -= 1
                self.releases.update_carrier(client)
            self.exchange.on_client_release(client, message)
        elif message.kind == m.PROBE:
            is_accepting = not self.is_draining and self.is_ready()
            self._write(client, m.encode_with_cause(m.PROBE_ANSWER, message.task_id, int(is_accepting)))

    def _socket_wait_ms(self, arrived_at_unix_ms: float) -> float:
        """How long a message waited in the socket and the loop, which counts against the client's wait.

        After a stall all waiting messages are read at once, with deadlines that would otherwise seem fresh.
        """
        return min(MAX_SOCKET_WAIT_MS, max(0.0, self.loop.clock.wall() - arrived_at_unix_ms))

    def _write(self, client: ClientConnection, data: bytes) -> bool:
        return client.stream.try_send(data)

    def mark_trusted(self, client: ClientConnection) -> None:
        """Records that a task of the client was placed, or that it released one.

        Its connection is preferred for releases.
        """
        if not client.is_trusted:
            client.is_trusted = True
            self.releases.record_trusted(client)
            self.descriptors.update_priority(client)
            self.releases.update_carrier(client)

    def send_to_client(self, client: ClientConnection | None, data: bytes, must_deliver: bool) -> None:
        """Sends a message on the client's connection.

        If that is closed and `must_deliver` is set, the message is a release that goes out on another one.
        """
        if must_deliver:
            self.releases.send(client, data)
        elif client is not None and self._write(client, data):
            self.descriptors.update_priority(client)

    # ---- capacity and time-outs ----

    def _ensure_capacity(self) -> bool:
        return self.descriptors.admit_client(self.loop.now())

    @property
    def longest_deadline_ms(self) -> float:
        """The longest time that a class of the settings lets a client wait."""
        return max((task_class.deadline_ms for task_class in self.exchange.settings.classes), default=0.0)

    def _sweep(self) -> None:
        self.loop.call_in(SWEEP_MS, self._sweep)
        now, longest_deadline_ms = self.loop.now(), self.longest_deadline_ms
        for client in list(self.connections):
            client.track_partial_message(now)
            if is_message_overdue(client.observe_activity(), now, longest_deadline_ms):
                self.read_pending(client)  # after a stall the complete message may be unread
                if not client.inbox.has_next:
                    client.stream.close("no complete message received in time")
            self.releases.record_written(client)
            if not client.stream.send_buffer:
                client.write_stall = None
            elif not client.is_reading(now):
                # Unsent answers pin the connection, so the budget would never evict it.
                client.stream.close("the client has stopped reading")
            self.descriptors.update_priority(client)
        self.releases.pending.drop_expired(now)

"""Client connections: what is read, answered, kept and closed, for well-behaved and other clients.

Imports the event loop, `platform_protocol` and `descriptor_budget`. A connection that sends nothing, only
part of a message, or what can't be decoded is closed; one with nothing open on it goes when its descriptor
is wanted.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from glencleat.descriptor_budget import LISTEN_BACKLOG, DescriptorBudget, EvictionPriority, Side
from glencleat.event_loop import Listener, Loop, Stream, StreamClosedError
from glencleat.event_loop.loop import Coroutine
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_protocol.inbox import Inbox

if TYPE_CHECKING:
    from glencleat.platform_server.trace import Trace

SWEEP_INTERVAL_MS = 250.0
MESSAGE_TIMEOUT_MS = 2_000.0  # for the first whole message, and for each one begun
WRITE_STALL_TIMEOUT_MS = 5_000.0  # for a client to take some of what waits unsent
MESSAGES_PER_TURN = 16  # of one connection before others have their turn
READ_BYTES = 16_384  # of one connection at a time
LOOKAHEAD_BYTES = 1 << 17  # of one connection that may wait here where its end or a cancel is looked for
MAX_BACKLOG_BATCHES = 64  # of the listen backlog that are accepted in one go
MAX_INVALID_SETUPS = 50  # rejected on one connection before it is closed
MAX_QUEUED_MS = 60_000.0  # a longer time shows that the clock was set
MAX_UNSENT_BYTES = 1 << 18  # that a slow reader may leave with us
MAX_UNDELIVERED_RELEASES = 2_000  # that wait for a client connection
UNDELIVERED_RELEASE_TTL_MS = 10_000.0  # for which each of them waits


@dataclass(slots=True)
class WriteStall:
    """How long a client has taken none of what waits unsent for it."""

    written_bytes: int  # on the connection, in all
    since_ms: float


@dataclass(slots=True)
class PartialMessage:
    """A message of which only a part has arrived."""

    offset: int  # where it begins in what the connection received
    since_ms: float


@dataclass(slots=True)
class UndeliveredRelease:
    """A release for which there is no client connection yet."""

    queued_at_ms: float
    data: bytes


@dataclass(frozen=True, slots=True)
class PendingInput:
    """What was found when everything that had arrived was taken in."""

    has_arrivals: bool  # something came, or waits for its turn
    has_partial_message: bool


def _is_always_ready() -> bool:
    """There is somewhere to place."""
    return True


class ClientConnection:
    """One connection of a client.

    `open` holds the ids of the set-ups on it that are not answered yet; the exchange maintains it.
    """

    side = Side.CLIENTS

    def __init__(self, connections: ClientConnections, stream: Stream, now_ms: float) -> None:
        self.connections = connections
        self.stream = stream
        self.inbox = Inbox()
        self.open: set[int] = set()
        self.connected_at_ms = now_ms
        self.last_used_ms = now_ms
        self.has_sent_message = False  # a whole one
        self.is_proven = False  # a task of its was placed, which no misbehaving client's ever is
        self.invalid_setup_count = 0
        self.write_stall: WriteStall | None = None
        self.partial_message: PartialMessage | None = None

    def eviction_priority(self) -> EvictionPriority:
        """IN_USE while an answer is owed on it, or as the last one that releases can be sent on."""
        if self.open or self.inbox.scanned_bytes or self.stream.unsent:
            return EvictionPriority.IN_USE
        if not self.is_proven:
            return EvictionPriority.IDLE_UNPROVEN
        if self.connections.proven_count == 1:
            return EvictionPriority.IN_USE
        return EvictionPriority.IDLE_PROVEN

    def read_pending(self) -> None:
        """Takes in what the poller has reported."""
        self.connections.read_if_readable(self)

    def evict(self) -> None:
        """Closes it, as its descriptor is wanted for something else."""
        self.stream.close("room is wanted")

    def is_reading(self, now_ms: float) -> bool:
        """Whether the client takes what waits unsent for it, by WRITE_STALL_TIMEOUT_MS."""
        if self.write_stall is None or self.write_stall.written_bytes != self.stream.written_bytes:
            self.write_stall = WriteStall(written_bytes=self.stream.written_bytes, since_ms=now_ms)
        return now_ms - self.write_stall.since_ms <= WRITE_STALL_TIMEOUT_MS

    def track_partial_message(self, now_ms: float) -> None:
        """Notes since when a message is partial; one that drips on keeps the time at which it began."""
        if not self.inbox.has_partial_message:
            self.partial_message = None
        elif self.partial_message is None or self.partial_message.offset != self.inbox.consumed_bytes:
            self.partial_message = PartialMessage(offset=self.inbox.consumed_bytes, since_ms=now_ms)

    def is_overdue(self, now_ms: float) -> bool:
        """Whether its first message, or one that is partial, has taken longer than MESSAGE_TIMEOUT_MS."""
        if not self.has_sent_message and now_ms - self.connected_at_ms > MESSAGE_TIMEOUT_MS:
            return True
        return (
            self.partial_message is not None and now_ms - self.partial_message.since_ms > MESSAGE_TIMEOUT_MS
        )


def _ignore_drop(reason: str) -> None:
    """The budget counts clients that are not admitted."""


class ClientConnections:
    """The listener and all client connections.

    `exchange` and `is_ready` are set by the process that joins the parts.
    """

    exchange: Exchange

    def __init__(self, loop: Loop, descriptors: DescriptorBudget, log: Callable[[str], None]) -> None:
        self.loop = loop
        self.descriptors = descriptors
        self.log = log
        self.connections: dict[ClientConnection, None] = {}  # in the order in which they came
        self.undelivered_releases: deque[UndeliveredRelease] = deque(maxlen=MAX_UNDELIVERED_RELEASES)
        self.listener: Listener | None = None
        self.is_draining = False
        self.closed_at_wall_ms = float("inf")  # Unix milliseconds; a set-up that comes later is rejected
        self.is_ready: Callable[[], bool] = _is_always_ready
        self.proven_count = 0  # of those connected
        self.trace: Trace | None = None
        loop.call_in(SWEEP_INTERVAL_MS, self._sweep)

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Starts accepting; returns the address bound. Raises OSError if it can't be bound."""
        # With 0 connections accepted unasked, the descriptor budget decides about each.
        self.listener = Listener(
            self.loop,
            address,
            self._on_accepted,
            0,
            MAX_UNSENT_BYTES,
            _ignore_drop,
            self._admit_client,
            LISTEN_BACKLOG,
        )
        return self.listener.address

    def close(self) -> None:
        """Stops accepting; set-ups that arrive later on open connections are rejected."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
            self.closed_at_wall_ms = self.loop.clock.wall()

    def read_everything_pending(self) -> PendingInput:
        """Takes in all that has arrived by this instant: new connections and unread bytes."""
        has_arrivals = False
        for _ in range(MAX_BACKLOG_BATCHES):
            if self.listener is None or not self.listener.accept_pending():
                break
            has_arrivals = True
        for client in list(self.connections):
            if self.read_pending(client) or client.inbox.has_next:
                has_arrivals = True
        has_partial_message = any(client.partial_message is not None for client in self.connections)
        return PendingInput(has_arrivals, has_partial_message)

    @property
    def has_unsent_data(self) -> bool:
        """Whether some answer has not been handed to the system yet."""
        return any(client.stream.unsent for client in self.connections)

    # ---- connections ----

    def _on_accepted(self, stream: Stream) -> None:
        stream.enable_timestamps()
        client = ClientConnection(self, stream, self.loop.now())
        self.connections[client] = None
        self.descriptors.register(client)
        stream.on_close.append(lambda _: self._on_closed(client))
        self.loop.spawn(self._serve(client), "owner")

    def _on_closed(self, client: ClientConnection) -> None:
        if client.is_proven:
            self.proven_count -= 1
        self.descriptors.release(client)

    def _serve(self, client: ClientConnection) -> Coroutine:
        inbox = client.inbox
        try:
            while inbox.has_next or not inbox.is_closed:
                is_readable = client.stream.is_readable
                has_arrivals = is_readable and self._read_available(client, READ_BYTES, exact=False)
                if inbox.is_closed or client.stream.close_reason is not None:
                    inbox.is_closed = True
                    self.exchange.disconnect_client(client)  # before what lies unread: it may be set-ups
                if self._handle_turn(client) or (has_arrivals and client.stream.is_readable):
                    yield from self.loop.sleep(0.0)
                elif not (has_arrivals or inbox.is_closed):
                    yield from client.stream.wait_readable()
            client.stream.close("the owner closed it")
        except StreamClosedError:
            inbox.is_closed = True
        except m.RemoteProtocolError as error:
            client.stream.close(str(error))
            self.log(f"an owner's connection closed: {error}")
        finally:
            self.connections.pop(client, None)
            self.exchange.disconnect_client(client)

    def _read_available(self, client: ClientConnection, max_bytes: int, exact: bool) -> bool:
        """Reads what has arrived, as far as `max_bytes` wait; returns whether something had.

        `exact` reads until the system has no more; else the poller reports what comes later.
        """
        inbox = client.inbox
        has_arrivals = False
        try:
            while not inbox.is_closed and len(inbox.buffer) < max_bytes:
                data = client.stream.read_available(READ_BYTES)
                if data is None:
                    break
                has_arrivals = True
                client.last_used_ms = self.loop.now()
                if data:
                    inbox.feed(data, client.stream.received_at_ms)
                else:
                    inbox.is_closed = True
                if not (exact or client.stream.is_readable):
                    break
        except StreamClosedError:
            inbox.is_closed = True
            has_arrivals = True
        return has_arrivals

    def read_pending(self, client: ClientConnection) -> bool:
        """Takes in what has arrived by this instant, out of turn: an end or a cancel counts at once.

        Returns whether something had.
        """
        has_arrivals = self._read_available(client, LOOKAHEAD_BYTES, exact=True)
        client.track_partial_message(self.loop.now())
        if has_arrivals:
            client.stream.wake_reader()
        elif len(client.inbox.buffer) >= LOOKAHEAD_BYTES and client.stream.has_hung_up():
            client.inbox.is_closed = True
        return has_arrivals

    def read_if_readable(self, client: ClientConnection) -> None:
        """Takes in what has arrived on a connection for which the poller has reported something."""
        if client.stream.is_readable:
            self.read_pending(client)

    def waits(self, client: ClientConnection, task: int, exact: bool) -> bool:
        """Whether the client still waits for the answer to `task`: it has neither cancelled nor closed.

        `exact` asks the system for all that has arrived by this instant; else the poller's report counts.
        """
        if exact:
            self.read_pending(client)
        else:
            self.read_if_readable(client)
        return client.inbox.is_answer_awaited(task)

    def _has_ended(self, client: ClientConnection) -> bool:
        """Whether the client has closed, as far as this round can tell: what is written to it is lost."""
        self.read_if_readable(client)
        return client.inbox.is_closed

    def _handle_turn(self, client: ClientConnection) -> bool:
        """Handles up to MESSAGES_PER_TURN messages; returns whether there are more."""
        for _ in range(MESSAGES_PER_TURN):
            next_message = client.inbox.next_message()
            if next_message is None:
                break
            self._handle_message(client, *next_message)
        client.track_partial_message(self.loop.now())
        self.descriptors.update_priority(client, used=True)
        return client.inbox.has_next

    def _handle_message(
        self, client: ClientConnection, message: m.PlatformMessage, arrived: float | None
    ) -> None:
        client.has_sent_message = True
        if self.trace is not None:
            self.trace.record_message("owner", message)
        if message.kind == m.SETUP:
            self._handle_setup(client, message, arrived)
        elif message.kind == m.RELEASE:
            message.cause  # noqa: B018 - it must be readable
            self.exchange.receive_client_release(client, message)
        elif message.kind == m.PROBE:
            is_accepting = not self.is_draining and self.is_ready()
            client.stream.try_send(m.encode_with_cause(m.PROBE_RESULT, message.task, int(is_accepting)))

    def _handle_setup(
        self, client: ClientConnection, message: m.PlatformMessage, arrived: float | None
    ) -> None:
        is_late = (arrived or self.loop.clock.wall()) > self.closed_at_wall_ms
        if not self.exchange.receive_setup(client, message, self._queued_ms(arrived), is_late):
            client.invalid_setup_count += 1
        if client.invalid_setup_count > MAX_INVALID_SETUPS:
            raise m.RemoteProtocolError(f"{client.invalid_setup_count} set-ups that can't be used")

    def _queued_ms(self, arrived: float | None) -> float:
        """How long a message waited in our socket and loop, which counts against the client's deadline.

        After a stall all that waited comes at once, with deadlines that would else seem fresh.
        """
        return 0.0 if arrived is None else min(MAX_QUEUED_MS, max(0.0, self.loop.clock.wall() - arrived))

    def proves(self, owner: ClientConnection) -> None:
        """Marks a connection by which a task was placed: releases may be sent on it."""
        if owner.is_proven:
            return
        owner.is_proven = True
        if owner.stream.close_reason is None:
            self.proven_count += 1
        self.descriptors.update_priority(owner)
        while self.undelivered_releases and owner.stream.close_reason is None:
            owner.stream.try_send(self.undelivered_releases.popleft().data)

    def to_owner(self, owner: ClientConnection | None, data: bytes, owed: bool) -> None:
        """Sends to a client; what is `owed` goes by another connection, or the next, if that one is gone."""
        if owner is not None and not (owed and self._has_ended(owner)) and owner.stream.try_send(data):
            self.descriptors.update_priority(owner)
            return
        if owed:
            self._send_by_any_proven(data)

    def _send_by_any_proven(self, data: bytes) -> None:
        """Sends a release by the proven connection last used, or queues it for the next one.

        Who listens on the others is not known: a release sent to a misbehaving client would be lost.
        """
        proven = [client for client in self.connections if client.is_proven]
        for client in sorted(proven, key=lambda client: client.last_used_ms, reverse=True):
            if not self._has_ended(client) and client.stream.try_send(data):
                return
        self.undelivered_releases.append(UndeliveredRelease(self.loop.now(), data))

    # ---- descriptors and timeouts ----

    def _admit_client(self) -> bool:
        return self.descriptors.admit_client(self.loop.now())

    def _sweep(self) -> None:
        """Closes connections that are overdue or stalled, and drops releases that waited too long."""
        self.loop.call_in(SWEEP_INTERVAL_MS, self._sweep)
        now_ms = self.loop.now()
        for client in list(self.connections):
            self._check_timeouts(client, now_ms)
        self._drop_expired_releases(now_ms)

    def _drop_expired_releases(self, now_ms: float) -> None:
        releases = self.undelivered_releases
        while releases and now_ms - releases[0].queued_at_ms > UNDELIVERED_RELEASE_TTL_MS:
            releases.popleft()

    def _check_timeouts(self, client: ClientConnection, now_ms: float) -> None:
        if client.is_overdue(now_ms):
            self.read_pending(client)  # after a stall all of it may lie unread
            if not client.inbox.has_next:
                client.stream.close("no whole message in time")
        if not client.stream.unsent:
            client.write_stall = None
        elif not client.is_reading(now_ms):
            client.stream.close("it reads nothing")  # a descriptor that answers wait on is never evicted
        self.descriptors.update_priority(client)

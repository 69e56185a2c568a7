"""Owners' connections: what is read, answered, kept and closed, for good ones and bad.

Imports the kernel, `isup` and `descriptors`. A connection that says nothing, half a message, or what can't be
read is closed; one with nothing open on it goes when its descriptor is wanted."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from glencleat.descriptor_budget import BACKLOG, DescriptorBudget, EvictionPriority, PeerKind
from glencleat.event_loop import Listener, Loop, Stream, StreamClosedError
from glencleat.event_loop.loop import Coroutine
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_protocol.inbox import Inbox

if TYPE_CHECKING:
    from glencleat.platform_server.trace import Trace

SWEEP_MS = 250.0
MESSAGE_TIMEOUT_MS = 2_000.0  # for the first whole message, and for each one begun
WRITE_STALL_TIMEOUT_MS = 5_000.0  # for a client to take some of what waits unsent
MESSAGES_PER_TURN = 16  # messages of one connection before others have their turn
READ_SIZE = 16_384  # bytes of one connection at a time
MAX_BUFFERED_BYTES = (
    1 << 17
)  # bytes of one connection that may wait here where its end or a cancel is looked for
ACCEPT_BATCHES = 64  # shares of the listen backlog that are taken in at one look
MAX_INVALID_SETUPS = 50  # set-ups turned away unread on one connection before it is closed
MAX_SOCKET_WAIT_MS = 60_000.0  # a clock that was set says more
MAX_UNSENT_BYTES = 1 << 18  # bytes that a slow reader may leave with us
MAX_PENDING_RELEASES, PENDING_RELEASE_TIMEOUT_MS = (
    2_000,
    10_000.0,
)  # releases that wait for a connection of owners, and for how long


class ClientConnection:
    """One connection. `open_task_ids` holds the ids that an answer is owed to; the exchange keeps it."""

    peer_kind = PeerKind.CLIENTS

    def __init__(self, owners: ClientConnections, stream: Stream, now: float) -> None:
        self.client_connections, self.stream, self.inbox = owners, stream, Inbox()
        self.open_task_ids: set[int] = set()
        self.created_at_ms = self.last_used_at_ms = now
        self.has_received_message = False  # a message came whole
        self.is_trusted = False  # a task of its came to stand: no bad client's ever does
        self.invalid_setup_count = 0
        self.write_stall: tuple[int, float] | None = (
            None  # bytes written, since when so many while others wait
        )
        self.partial_message: tuple[int, float] | None = (
            None  # where a message that is not whole begins, since when
        )

    def eviction_priority(self) -> EvictionPriority:
        if (
            self.open_task_ids
            or self.inbox.scanned_bytes
            or self.stream.send_buffer
            or (self.is_trusted and self.client_connections.trusted_count == 1)
        ):
            return (
                EvictionPriority.PINNED
            )  # an answer is owed on it, or it is the last one that releases can go by
        return EvictionPriority.TRUSTED_CLIENT if self.is_trusted else EvictionPriority.UNTRUSTED_CLIENT

    def read_pending(self) -> None:
        self.client_connections.read_if_readable(self)

    def evict(self) -> None:
        self.stream.close("room is wanted")

    def is_reading(self, now: float) -> bool:
        """What waits unsent for it is being taken."""
        if self.write_stall is None or self.write_stall[0] != self.stream.written_bytes:
            self.write_stall = self.stream.written_bytes, now
        return now - self.write_stall[1] <= WRITE_STALL_TIMEOUT_MS

    def track_partial_message(self, now: float) -> None:
        """Notes since when a message is half here; one that drips on has begun once."""
        if not self.inbox.has_partial_message:
            self.partial_message = None
        elif self.partial_message is None or self.partial_message[0] != self.inbox.consumed_bytes:
            self.partial_message = self.inbox.consumed_bytes, now


class ClientConnections:
    """The listener and all connections. `exchange` is set by whoever joins the parts."""

    exchange: Exchange

    def __init__(self, loop: Loop, descriptors: DescriptorBudget, log: Callable[[str], None]) -> None:
        self.loop, self.descriptors, self.log = loop, descriptors, log
        self.connections: dict[ClientConnection, None] = {}  # in the order they came
        self.pending_releases: deque[tuple[float, bytes]] = deque(maxlen=MAX_PENDING_RELEASES)
        self.listener: Listener | None = None
        self.is_draining = False
        self.closed_at_unix_ms = float("inf")  # Unix milliseconds; who asks later is refused
        self.is_ready: Callable[[], bool] = lambda: True  # there is somewhere to place
        self.trusted_count = 0  # proven ones, of those connected
        self.trace: Trace | None = None
        loop.call_in(SWEEP_MS, self._sweep)

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        # With 0 that are let in unasked, the descriptors' owner decides of each.
        self.listener = Listener(
            self.loop,
            address,
            self._accepted,
            0,
            MAX_UNSENT_BYTES,
            lambda why: None,
            self._make_room,
            BACKLOG,
        )
        return self.listener.address

    def stop_listening(self) -> None:
        """Nobody comes any more, and what those who are here still ask is refused."""
        if self.listener is not None:
            self.listener.close()
            self.listener, self.closed_at_unix_ms = None, self.loop.clock.wall()

    def read_all_pending(self) -> tuple[bool, bool]:
        """All that has come by this instant is taken in: newcomers, what lies unread. Whether anything did or
        waits its turn, and whether some message is half here."""
        came = False
        for _ in range(ACCEPT_BATCHES):
            if self.listener is None or not self.listener.accept_pending():
                break
            came = True
        for owner in list(self.connections):
            came |= self.read_pending(owner) or owner.inbox.has_next
        return came, any(owner.partial_message is not None for owner in self.connections)

    @property
    def has_unsent_bytes(self) -> bool:
        """Some answer has not been handed to the system yet."""
        return any(owner.stream.send_buffer for owner in self.connections)

    # ---- connections ----

    def _accepted(self, stream: Stream) -> None:
        stream.enable_timestamps()
        owner = ClientConnection(self, stream, self.loop.now())
        self.connections[owner] = None
        self.descriptors.add_holder(owner)
        stream.close_callbacks.append(lambda _: self._closed(owner))
        self.loop.spawn(self._serve(owner), "owner")

    def _closed(self, owner: ClientConnection) -> None:
        self.trusted_count -= owner.is_trusted
        self.descriptors.remove_holder(owner)

    def _serve(self, owner: ClientConnection) -> Coroutine:
        inbox = owner.inbox
        try:
            while inbox.has_next or not inbox.is_closed:
                came = owner.stream.is_readable and self._take_in(owner, READ_SIZE, exact=False)
                if inbox.is_closed or owner.stream.close_reason is not None:
                    inbox.is_closed = True
                    self.exchange.on_client_gone(owner)  # before what lies unread: it may be set-ups
                if self._turn(owner) or (came and owner.stream.is_readable):
                    yield from self.loop.sleep(0.0)
                elif not (came or inbox.is_closed):
                    yield from owner.stream.wait_readable()
            owner.stream.close("the owner closed it")
        except StreamClosedError:
            inbox.is_closed = True
        except m.ProtocolError as error:
            owner.stream.close(str(error))
            self.log(f"an owner's connection closed: {error}")
        finally:
            self.connections.pop(owner, None)
            self.exchange.on_client_gone(owner)

    def _take_in(self, owner: ClientConnection, most: int, exact: bool) -> bool:
        """Reads what has come, as far as `most` bytes wait; whether something came.

        `exact`: until the system says that there is no more; else the poller tells of what comes later."""
        inbox, came = owner.inbox, False
        try:
            while not inbox.is_closed and len(inbox.buffer) < most:
                data = owner.stream.read_nowait(READ_SIZE)
                if data is None:
                    break
                came, owner.last_used_at_ms = True, self.loop.now()
                if data:
                    inbox.feed(data, owner.stream.received_at_unix_ms)
                else:
                    inbox.is_closed = True
                if not (exact or owner.stream.is_readable):
                    break
        except StreamClosedError:
            came = inbox.is_closed = True
        return came

    def read_pending(self, owner: ClientConnection) -> bool:
        """Takes in what has come by this instant, whoever's turn it is: an end or a cancel counts at once.

        Whether something came."""
        came = self._take_in(owner, MAX_BUFFERED_BYTES, exact=True)
        owner.track_partial_message(self.loop.now())
        if came:
            owner.stream.wake_reader()
        elif len(owner.inbox.buffer) >= MAX_BUFFERED_BYTES and owner.stream.has_peer_closed():
            owner.inbox.is_closed = True
        return came

    def read_if_readable(self, owner: ClientConnection) -> None:
        """The same where the poller has told of something."""
        if owner.stream.is_readable:
            self.read_pending(owner)

    def is_client_waiting(self, client: ClientConnection, task: int, must_poll: bool) -> bool:
        if must_poll:
            self.read_pending(client)
        else:
            self.read_if_readable(client)
        return client.inbox.is_client_waiting(task)

    def _ended(self, owner: ClientConnection) -> bool:
        """Its client has closed, as far as this round can tell: what is written to it is told to nobody."""
        self.read_if_readable(owner)
        return owner.inbox.is_closed

    def _turn(self, owner: ClientConnection) -> bool:
        """Up to MESSAGES_PER_TURN messages; whether there are more."""
        for _ in range(MESSAGES_PER_TURN):
            found = owner.inbox.next_message()
            if found is None:
                break
            self._message(owner, *found)
        owner.track_partial_message(self.loop.now())
        self.descriptors.update_priority(owner, was_used=True)
        return owner.inbox.has_next

    def _message(self, owner: ClientConnection, message: m.PlatformMessage, arrived: float | None) -> None:
        owner.has_received_message = True
        if self.trace is not None:
            self.trace.record_message("owner", message)
        if message.kind == m.SETUP:
            late = (arrived or self.loop.clock.wall()) > self.closed_at_unix_ms
            owner.invalid_setup_count += not self.exchange.on_client_setup(
                owner, message, self._waited(arrived), late
            )
            if owner.invalid_setup_count > MAX_INVALID_SETUPS:
                raise m.ProtocolError(f"{owner.invalid_setup_count} set-ups that can't be used")
        elif message.kind == m.RELEASE:
            message.cause  # noqa: B018 - it must be readable
            self.exchange.on_client_release(owner, message)
        elif message.kind == m.PROBE:
            takes = not self.is_draining and self.is_ready()
            self._write(owner, m.encode_with_cause(m.PROBE_ANSWER, message.task_id, int(takes)))

    def _waited(self, arrived: float | None) -> float:
        """How long a message waited in our socket and loop: gone from what the owner waits.

        After a standstill all that waited comes at once, with deadlines that would else seem fresh."""
        return 0.0 if arrived is None else min(MAX_SOCKET_WAIT_MS, max(0.0, self.loop.clock.wall() - arrived))

    def _write(self, owner: ClientConnection, data: bytes) -> bool:
        return owner.stream.try_send(data)

    def mark_trusted(self, client: ClientConnection) -> None:
        """A task of its stands: it is one of those that releases may be told to."""
        if not client.is_trusted:
            client.is_trusted = True
            self.trusted_count += client.stream.close_reason is None
            self.descriptors.update_priority(client)
            while self.pending_releases and client.stream.close_reason is None:
                self._write(client, self.pending_releases.popleft()[1])

    def send_to_client(self, client: ClientConnection | None, data: bytes, must_deliver: bool) -> None:
        if client is not None and not (must_deliver and self._ended(client)) and self._write(client, data):
            self.descriptors.update_priority(client)
            return
        if not must_deliver:
            return
        # Of the rest nobody knows who listens there: a release told to a bad client is told to nobody.
        for other in sorted(
            (o for o in self.connections if o.is_trusted), key=lambda o: o.last_used_at_ms, reverse=True
        ):
            if not self._ended(other) and self._write(other, data):
                return
        self.pending_releases.append((self.loop.now(), data))

    # ---- room and time ----

    def _make_room(self) -> bool:
        return self.descriptors.admit_client(self.loop.now())

    def _sweep(self) -> None:
        self.loop.call_in(SWEEP_MS, self._sweep)
        now = self.loop.now()
        for owner in list(self.connections):
            silent = not owner.has_received_message and now - owner.created_at_ms > MESSAGE_TIMEOUT_MS
            if silent or (
                owner.partial_message is not None and now - owner.partial_message[1] > MESSAGE_TIMEOUT_MS
            ):
                self.read_pending(owner)  # after a standstill all of it may lie unread
                if not owner.inbox.has_next:
                    owner.stream.close("no whole message in time")
            if not owner.stream.send_buffer:
                owner.write_stall = None
            elif not owner.is_reading(now):
                owner.stream.close("it reads nothing")  # a descriptor that answers wait on is not given up
            self.descriptors.update_priority(owner)
        while self.pending_releases and now - self.pending_releases[0][0] > PENDING_RELEASE_TIMEOUT_MS:
            self.pending_releases.popleft()

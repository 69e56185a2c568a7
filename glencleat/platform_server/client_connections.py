"""Owners' connections: what is read, answered, kept and closed, for good ones and bad.

Imports the kernel, `isup` and `descriptors`. A connection that says nothing, half a message, or what can't be
read is closed; one with nothing open on it goes when its descriptor is wanted."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from glencleat.descriptor_budget import BACKLOG, DescriptorBudget, EvictionPriority, Side
from glencleat.event_loop import Listener, Loop, Stream, StreamClosedError
from glencleat.event_loop.loop import Coroutine
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.exchange import Exchange
from glencleat.platform_protocol.inbox import Inbox

if TYPE_CHECKING:
    from glencleat.platform_server.trace import Trace

SWEEP_MS = 250.0
SPEAK_MS = 2_000.0  # for the first whole message, and for each one begun
READS_MS = 5_000.0  # for a client to take some of what waits unsent
TURN = 16  # messages of one connection before others have their turn
READ = 16_384  # bytes of one connection at a time
LOOK = 1 << 17  # bytes of one connection that may wait here where its end or a cancel is looked for
BACKLOGS = 64  # shares of the listen backlog that are taken in at one look
MOST_BAD = 50  # set-ups turned away unread on one connection before it is closed
MOST_WAITED_MS = 60_000.0  # a clock that was set says more
UNSENT = 1 << 18  # bytes that a slow reader may leave with us
OWED, OWED_MS = 2_000, 10_000.0  # releases that wait for a connection of owners, and for how long


class ClientConnection:
    """One connection. `open` holds the ids that an answer is owed to; the exchange keeps it."""

    side = Side.OWNERS

    def __init__(self, owners: ClientConnections, stream: Stream, now: float) -> None:
        self.owners, self.stream, self.inbox = owners, stream, Inbox()
        self.open: set[int] = set()
        self.born = self.used = now
        self.spoke = False  # a message came whole
        self.proven = False  # a task of its came to stand: no bad client's ever does
        self.bad = 0
        self.stuck: tuple[int, float] | None = None  # bytes written, since when so many while others wait
        self.begun: tuple[int, float] | None = None  # where a message that is not whole begins, since when

    def worth(self) -> EvictionPriority:
        if (
            self.open
            or self.inbox.scanned_bytes
            or self.stream.out
            or (self.proven and self.owners.friends == 1)
        ):
            return (
                EvictionPriority.HELD
            )  # an answer is owed on it, or it is the last one that releases can go by
        return EvictionPriority.FRIEND if self.proven else EvictionPriority.STRANGER

    def last_look(self) -> None:
        self.owners.look_if_told(self)

    def give_up(self) -> None:
        self.stream.close("room is wanted")

    def reads(self, now: float) -> bool:
        """What waits unsent for it is being taken."""
        if self.stuck is None or self.stuck[0] != self.stream.written:
            self.stuck = self.stream.written, now
        return now - self.stuck[1] <= READS_MS

    def dates(self, now: float) -> None:
        """Notes since when a message is half here; one that drips on has begun once."""
        if not self.inbox.has_partial_message:
            self.begun = None
        elif self.begun is None or self.begun[0] != self.inbox.consumed_bytes:
            self.begun = self.inbox.consumed_bytes, now


class ClientConnections:
    """The listener and all connections. `exchange` is set by whoever joins the parts."""

    exchange: Exchange

    def __init__(self, loop: Loop, descriptors: DescriptorBudget, log: Callable[[str], None]) -> None:
        self.loop, self.descriptors, self.log = loop, descriptors, log
        self.owners: dict[ClientConnection, None] = {}  # in the order they came
        self.owed: deque[tuple[float, bytes]] = deque(maxlen=OWED)
        self.listener: Listener | None = None
        self.draining = False
        self.closed_at = float("inf")  # Unix milliseconds; who asks later is refused
        self.ready: Callable[[], bool] = lambda: True  # there is somewhere to place
        self.friends = 0  # proven ones, of those connected
        self.trace: Trace | None = None
        loop.call_in(SWEEP_MS, self._sweep)

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        # With 0 that are let in unasked, the descriptors' owner decides of each.
        self.listener = Listener(
            self.loop, address, self._accepted, 0, UNSENT, lambda why: None, self._make_room, BACKLOG
        )
        return self.listener.address

    def close(self) -> None:
        """Nobody comes any more, and what those who are here still ask is refused."""
        if self.listener is not None:
            self.listener.close()
            self.listener, self.closed_at = None, self.loop.clock.wall()

    def take_all_in(self) -> tuple[bool, bool]:
        """All that has come by this instant is taken in: newcomers, what lies unread. Whether anything did or
        waits its turn, and whether some message is half here."""
        came = False
        for _ in range(BACKLOGS):
            if self.listener is None or not self.listener.take():
                break
            came = True
        for owner in list(self.owners):
            came |= self.look(owner) or owner.inbox.has_next
        return came, any(owner.begun is not None for owner in self.owners)

    @property
    def unsent(self) -> bool:
        """Some answer has not been handed to the system yet."""
        return any(owner.stream.out for owner in self.owners)

    # ---- connections ----

    def _accepted(self, stream: Stream) -> None:
        stream.stamp()
        owner = ClientConnection(self, stream, self.loop.now())
        self.owners[owner] = None
        self.descriptors.hold(owner)
        stream.on_close.append(lambda _: self._closed(owner))
        self.loop.spawn(self._serve(owner), "owner")

    def _closed(self, owner: ClientConnection) -> None:
        self.friends -= owner.proven
        self.descriptors.free(owner)

    def _serve(self, owner: ClientConnection) -> Coroutine:
        inbox = owner.inbox
        try:
            while inbox.has_next or not inbox.is_closed:
                came = owner.stream.readable and self._take_in(owner, READ, exact=False)
                if inbox.is_closed or owner.stream.closed is not None:
                    inbox.is_closed = True
                    self.exchange.disconnect_client(owner)  # before what lies unread: it may be set-ups
                if self._turn(owner) or (came and owner.stream.readable):
                    yield from self.loop.sleep(0.0)
                elif not (came or inbox.is_closed):
                    yield from owner.stream.wait()
            owner.stream.close("the owner closed it")
        except StreamClosedError:
            inbox.is_closed = True
        except m.RemoteProtocolError as error:
            owner.stream.close(str(error))
            self.log(f"an owner's connection closed: {error}")
        finally:
            self.owners.pop(owner, None)
            self.exchange.disconnect_client(owner)

    def _take_in(self, owner: ClientConnection, most: int, exact: bool) -> bool:
        """Reads what has come, as far as `most` bytes wait; whether something came.

        `exact`: until the system says that there is no more; else the poller tells of what comes later."""
        inbox, came = owner.inbox, False
        try:
            while not inbox.is_closed and len(inbox.buffer) < most:
                data = owner.stream.take(READ)
                if data is None:
                    break
                came, owner.used = True, self.loop.now()
                if data:
                    inbox.feed(data, owner.stream.arrived)
                else:
                    inbox.is_closed = True
                if not (exact or owner.stream.readable):
                    break
        except StreamClosedError:
            came = inbox.is_closed = True
        return came

    def look(self, owner: ClientConnection) -> bool:
        """Takes in what has come by this instant, whoever's turn it is: an end or a cancel counts at once.

        Whether something came."""
        came = self._take_in(owner, LOOK, exact=True)
        owner.dates(self.loop.now())
        if came:
            owner.stream.nudge()
        elif len(owner.inbox.buffer) >= LOOK and owner.stream.hung_up():
            owner.inbox.is_closed = True
        return came

    def look_if_told(self, owner: ClientConnection) -> None:
        """The same where the poller has told of something."""
        if owner.stream.readable:
            self.look(owner)

    def waits(self, owner: ClientConnection, task: int, exact: bool) -> bool:
        if exact:
            self.look(owner)
        else:
            self.look_if_told(owner)
        return owner.inbox.is_answer_awaited(task)

    def _ended(self, owner: ClientConnection) -> bool:
        """Its client has closed, as far as this round can tell: what is written to it is told to nobody."""
        self.look_if_told(owner)
        return owner.inbox.is_closed

    def _turn(self, owner: ClientConnection) -> bool:
        """Up to TURN messages; whether there are more."""
        for _ in range(TURN):
            found = owner.inbox.next_message()
            if found is None:
                break
            self._message(owner, *found)
        owner.dates(self.loop.now())
        self.descriptors.file(owner, used=True)
        return owner.inbox.has_next

    def _message(self, owner: ClientConnection, message: m.PlatformMessage, arrived: float | None) -> None:
        owner.spoke = True
        if self.trace is not None:
            self.trace.message("owner", message)
        if message.kind == m.SETUP:
            late = (arrived or self.loop.clock.wall()) > self.closed_at
            owner.bad += not self.exchange.receive_setup(owner, message, self._waited(arrived), late)
            if owner.bad > MOST_BAD:
                raise m.RemoteProtocolError(f"{owner.bad} set-ups that can't be used")
        elif message.kind == m.RELEASE:
            message.cause  # noqa: B018 - it must be readable
            self.exchange.receive_client_release(owner, message)
        elif message.kind == m.PROBE:
            takes = not self.draining and self.ready()
            self._write(owner, m.encode_with_cause(m.PROBE_RESULT, message.task, int(takes)))

    def _waited(self, arrived: float | None) -> float:
        """How long a message waited in our socket and loop: gone from what the owner waits.

        After a standstill all that waited comes at once, with deadlines that would else seem fresh."""
        return 0.0 if arrived is None else min(MOST_WAITED_MS, max(0.0, self.loop.clock.wall() - arrived))

    def _write(self, owner: ClientConnection, data: bytes) -> bool:
        return owner.stream.put(data)

    def proves(self, owner: ClientConnection) -> None:
        """A task of its stands: it is one of those that releases may be told to."""
        if not owner.proven:
            owner.proven = True
            self.friends += owner.stream.closed is None
            self.descriptors.file(owner)
            while self.owed and owner.stream.closed is None:
                self._write(owner, self.owed.popleft()[1])

    def to_owner(self, owner: ClientConnection | None, data: bytes, owed: bool) -> None:
        if owner is not None and not (owed and self._ended(owner)) and self._write(owner, data):
            self.descriptors.file(owner)
            return
        if not owed:
            return
        # Of the rest nobody knows who listens there: a release told to a bad client is told to nobody.
        for other in sorted((o for o in self.owners if o.proven), key=lambda o: o.used, reverse=True):
            if not self._ended(other) and self._write(other, data):
                return
        self.owed.append((self.loop.now(), data))

    # ---- room and time ----

    def _make_room(self) -> bool:
        return self.descriptors.newcomer(self.loop.now())

    def _sweep(self) -> None:
        self.loop.call_in(SWEEP_MS, self._sweep)
        now = self.loop.now()
        for owner in list(self.owners):
            silent = not owner.spoke and now - owner.born > SPEAK_MS
            if silent or (owner.begun is not None and now - owner.begun[1] > SPEAK_MS):
                self.look(owner)  # after a standstill all of it may lie unread
                if not owner.inbox.has_next:
                    owner.stream.close("no whole message in time")
            if not owner.stream.out:
                owner.stuck = None
            elif not owner.reads(now):
                owner.stream.close("it reads nothing")  # a descriptor that answers wait on is not given up
            self.descriptors.file(owner)
        while self.owed and now - self.owed[0][0] > OWED_MS:
            self.owed.popleft()

"""Owners' connections: what is read, answered, kept and closed, for good ones and bad.

Imports the kernel, `isup` and `descriptors`. A connection that says nothing, half a message, or what can't be
read is closed; one with nothing open on it goes when its descriptor is wanted."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from glencleat.descriptors import Demand, Descriptors, Side, Worth
from glencleat.isup import messages as m
from glencleat.isup.exchange import Exchange
from glencleat.kernel import Listener, Loop, Stream, StreamClosed
from glencleat.kernel.loop import Coroutine

if TYPE_CHECKING:
    from glencleat.node.trace import Trace

SWEEP_MS = 250.0
SPEAK_MS = 2_000.0  # for the first whole message, and for each one begun
TURN = 16  # messages of one connection before others have their turn
READ = 16_384  # bytes of one connection at a time
MOST_BAD = 50  # set-ups turned away unread on one connection before it is closed
MOST_WAITED_MS = 60_000.0  # a clock that was set says more
UNSENT = 1 << 18  # bytes that a slow reader may leave with us
OWED, OWED_MS = 2_000, 10_000.0  # releases that wait for a connection of owners, and for how long


class Owner:
    """One connection. `open` holds the ids that an answer is owed to; the exchange keeps it."""

    side = Side.OWNERS

    def __init__(self, owners: Owners, stream: Stream, now: float) -> None:
        self.owners, self.stream, self.decoder = owners, stream, m.Decoder()
        self.open: set[int] = set()
        self.born = self.used = now
        self.spoke = False  # a message came whole
        self.proven = False  # a task of its came to stand: no bad client's ever does
        self.bad = 0
        self.begun: float | None = None  # since when a message is not whole

    def worth(self) -> Worth:
        if self.open or (self.proven and self.owners.friends == 1):
            return Worth.HELD  # an answer is owed on it, or it is the last one that releases can go by
        return Worth.FRIEND if self.proven else Worth.STRANGER

    def give_up(self) -> None:
        self.stream.close("room is wanted")


class Owners:
    """The listener and all connections. `exchange` is set by whoever joins the parts."""

    exchange: Exchange

    def __init__(self, loop: Loop, descriptors: Descriptors, log: Callable[[str], None]) -> None:
        self.loop, self.descriptors, self.log = loop, descriptors, log
        self.owners: dict[Owner, None] = {}  # in the order they came
        self.owed: deque[tuple[float, bytes]] = deque(maxlen=OWED)
        self.listener: Listener | None = None
        self.leaving = False
        self.ready: Callable[[], bool] = lambda: True  # there is somewhere to place
        self.friends = 0  # proven ones, of those connected
        self.trace: Trace | None = None
        loop.call_in(SWEEP_MS, self._sweep)

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        # With 0 that are let in unasked, the descriptors' owner decides of each.
        self.listener = Listener(
            self.loop, address, self._accepted, 0, UNSENT, lambda why: None, self._make_room
        )
        return self.listener.address

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()

    # ---- connections ----

    def _accepted(self, stream: Stream) -> None:
        stream.stamp()
        owner = Owner(self, stream, self.loop.now())
        self.owners[owner] = None
        self.descriptors.hold(owner)
        stream.on_close.append(lambda _: self._closed(owner))
        self.loop.spawn(self._serve(owner), "owner")

    def _closed(self, owner: Owner) -> None:
        self.friends -= owner.proven
        self.descriptors.free(owner)

    def _serve(self, owner: Owner) -> Coroutine:
        try:
            while True:
                data = yield from owner.stream.read(READ)
                if not data:
                    raise StreamClosed("the owner closed it")
                owner.used = self.loop.now()
                owner.decoder.feed(data)
                while self._turn(owner):
                    yield from self.loop.sleep(0.0)
                owner.begun = owner.used if owner.decoder.partial else None
                self.descriptors.file(owner, used=True)
        except (StreamClosed, m.PeerError) as error:
            owner.stream.close(str(error))
            if isinstance(error, m.PeerError):
                self.log(f"an owner's connection closed: {error}")
        finally:
            self.owners.pop(owner, None)
            self.exchange.owner_gone(owner)

    def _turn(self, owner: Owner) -> bool:
        """Up to TURN messages; whether there may be more."""
        count = 0
        for message in owner.decoder.messages(TURN):
            count += 1
            self._message(owner, message)
            if owner.stream.closed is not None:
                raise StreamClosed(owner.stream.closed)
        return count == TURN

    def _message(self, owner: Owner, message: m.Message) -> None:
        owner.spoke = True
        if self.trace is not None:
            self.trace.message("owner", message)
        if message.kind == m.SETUP:
            owner.bad += not self.exchange.owner_asks(owner, message, self._waited(owner))
            if owner.bad > MOST_BAD:
                raise m.PeerError(f"{owner.bad} set-ups that can't be used")
        elif message.kind == m.RELEASE:
            message.cause  # noqa: B018 - it must be readable
            self.exchange.owner_releases(owner, message)
        elif message.kind == m.TEST:
            takes = not self.leaving and self.ready()
            self._write(owner, m.caused(m.TESTED, message.task, int(takes)))

    def _waited(self, owner: Owner) -> float:
        """How long the last bytes waited in our socket and loop: gone from what the owner waits.

        After a standstill all that waited comes at once, with deadlines that would else seem fresh."""
        arrived = owner.stream.arrived
        return 0.0 if arrived is None else min(MOST_WAITED_MS, max(0.0, self.loop.clock.wall() - arrived))

    def _write(self, owner: Owner, data: bytes) -> bool:
        return owner.stream.put(data)

    def proves(self, owner: Owner) -> None:
        """A task of its stands: it is one of those that releases may be told to."""
        if not owner.proven:
            owner.proven = True
            self.friends += owner.stream.closed is None
            self.descriptors.file(owner)
            while self.owed and owner.stream.closed is None:
                self._write(owner, self.owed.popleft()[1])

    def to_owner(self, owner: Owner | None, data: bytes, owed: bool) -> None:
        if owner is not None and self._write(owner, data):
            self.descriptors.file(owner)
            return
        if not owed:
            return
        # Of the rest nobody knows who listens there: a release told to a bad client is told to nobody.
        for other in sorted((o for o in self.owners if o.proven), key=lambda o: o.used, reverse=True):
            if self._write(other, data):
                return
        self.owed.append((self.loop.now(), data))

    # ---- room and time ----

    def _make_room(self) -> bool:
        return self.descriptors.make_room(Demand.OWNER)

    def _sweep(self) -> None:
        self.loop.call_in(SWEEP_MS, self._sweep)
        now = self.loop.now()
        for owner in list(self.owners):
            silent = not owner.spoke and now - owner.born > SPEAK_MS
            if silent or (owner.begun is not None and now - owner.begun > SPEAK_MS):
                owner.stream.close("no whole message in time")
            self.descriptors.file(owner)
        while self.owed and now - self.owed[0][0] > OWED_MS:
            self.owed.popleft()

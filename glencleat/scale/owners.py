"""Hollow owners: they ask at a rate, and check that each request has exactly one answer.

Imports `isup.messages`, the kernel and `scale`'s own. `parts.py` runs a HollowOwners as a process. They want
nothing with their tasks: none is cut, none is asked for again; a request unanswered 1 s after its time is
given up and counted."""

from __future__ import annotations

from collections import Counter
from random import Random

from glencleat.event_loop import ConnectError, Loop, Stream, StreamClosedError, connect
from glencleat.event_loop.loop import Coroutine
from glencleat.platform_protocol import messages as m
from glencleat.scale.arrivals import Arrivals
from glencleat.scale.message_counters import MessageCounters

AGAIN_MS, WAIT_MS, LATE_MS = 500.0, 8_000.0, 1_000.0
UNREAD_MS = 50.0  # to read what has come
CONNECTIONS = 4  # to one allocator
SERVICES = 200
HARMLESS = (m.FULL, m.CONGESTED, m.MOOT)  # causes that promise that trying again does no harm


class AnswerCheck:
    """What became of each request to one allocator; everything that may not be is counted by name.

    >>> ledger = AnswerCheck()
    >>> ledger.asked(1, 0.0); ledger.answered(1, 5.0); ledger.answered(1, 6.0); ledger.released(1, 16)
    >>> dict(ledger.ends), ledger.waits
    ({'asked': 1, 'placed': 1, 'second answer': 1, 'ended': 1}, [5.0])
    """

    def __init__(self) -> None:
        self.open: dict[int, float] = {}
        self.standing: set[int] = set()
        self.over: set[int] = set()
        self.abandoned: set[int] = set()  # given up without an answer
        self.waits: list[float] = []
        self.ends: Counter[str] = Counter()

    def asked(self, task: int, now: float) -> None:
        self.open[task] = now
        self.ends["asked"] += 1

    def adopted(self, task: int) -> None:
        self.standing.add(task)
        self.ends["handed over"] += 1

    def answered(self, task: int, now: float) -> None:
        at = self.open.pop(task, None)
        if task in self.abandoned:
            self.ends["answer after its time"] += 1  # counted as no answer before
            return
        if at is None:
            known = task in self.standing or task in self.over
            self.ends["second answer" if known else "answer to nothing"] += 1
            return
        self.waits.append(now - at)
        self.standing.add(task)
        self.ends["placed"] += 1

    def released(self, task: int, cause: int) -> None:
        if task in self.abandoned:
            self.ends["release after its time"] += 1
            return
        if self.open.pop(task, None) is not None:
            self.ends["refused" if cause in HARMLESS else "failed"] += 1
        elif task in self.standing:
            self.standing.discard(task)
            self.ends["ended" if cause == m.ENDED else "lost"] += 1
        else:
            self.ends["second release" if task in self.over else "release of nothing"] += 1
        self.over.add(task)

    def given_up(self, task: int) -> bool:
        """Its time is long over: True if it had no answer."""
        if self.open.pop(task, None) is None:
            return False
        self.abandoned.add(task)
        self.ends["no answer"] += 1
        return True


class HollowOwner:
    """All owners of one allocator: a few connections, requests at random instants."""

    def __init__(self, loop: Loop, allocator: int, address: tuple[str, int], seed: int) -> None:
        self.loop, self.allocator, self.address, self.random = loop, allocator, address, Random(seed)
        self.ledger, self.tally = AnswerCheck(), MessageCounters()
        self.number, self.turn = allocator << 40, 0
        self.arrivals = Arrivals(loop, self.random, self._ask)
        self.streams: list[Stream] = []
        for _ in range(CONNECTIONS):
            loop.spawn(self._run(), "hollow owner")

    def _run(self) -> Coroutine:
        while True:
            try:
                stream: Stream = yield from connect(self.loop, self.address, 1_000.0)
                self.streams.append(stream)
                self._put(stream, m.caused(m.TEST, 0, 0))  # one who says nothing at first is closed
                try:
                    yield from self._read(stream)
                finally:
                    self.streams.remove(stream)
            except (ConnectError, StreamClosedError, m.PeerError):
                self.tally.count(self.allocator, "connections broken")
            yield from self.loop.sleep(AGAIN_MS)

    def _read(self, stream: Stream) -> Coroutine:
        decoder = m.MessageDecoder()
        while data := (yield from stream.read()):
            decoder.feed(data)
            for message in decoder.messages():
                self.tally.got(self.allocator, message)
                if message.kind == m.ANSWER:
                    self.ledger.answered(message.task, self.loop.now())
                elif message.kind == m.RELEASE:
                    self.ledger.released(message.task, message.cause)
                    self._put(stream, m.encode(m.RELEASE_HEARD, message.task))

    def _put(self, stream: Stream, data: bytes) -> bool:
        if not stream.put(data):
            return False
        self.tally.sent(self.allocator, data)
        return True

    def ask_at(self, rate: float) -> None:
        """Requests a second from now on; 0 ends it."""
        self.arrivals.at_rate(rate)

    def _ask(self) -> None:
        self.number += 1
        self._set_up(self.number, None)

    def _set_up(self, task: int, at: str | None) -> None:
        if not self.streams:
            self.ledger.ends["no connection to ask by"] += 1
            return
        self.turn += 1
        stream = self.streams[self.turn % len(self.streams)]
        draw = self.random
        extras = f"cores:{draw.uniform(0.25, 2.0):.2f};memory:{draw.uniform(0.5, 4.0):.2f}"
        extras += f";service:s{draw.randrange(SERVICES)}" + (f";at:{at}" if at else "")
        told = {m.CLASS: "safe", m.WAIT: f"{WAIT_MS:.0f}", m.NAME: f"{task:016x}", m.EXTRAS: extras}
        raw = {code: text.encode() for code, text in told.items()}
        if not self._put(stream, m.encode(m.SETUP, task, {**raw, m.DESCRIPTION: b"d" * 64})):
            return
        if at:
            self.ledger.adopted(task)
        else:
            self.ledger.asked(task, self.loop.now())
            self.loop.call_in(WAIT_MS + LATE_MS, lambda: self._due(stream, task))

    def _due(self, stream: Stream, task: int) -> None:
        """Where we come to it late ourselves, the answer may lie unread: it is read first."""
        if task in self.ledger.open:
            self.loop.call_in(UNREAD_MS, lambda: self._late(stream, task))

    def _late(self, stream: Stream, task: int) -> None:
        if self.ledger.given_up(task):
            self._put(stream, m.caused(m.RELEASE, task, m.GIVEN_UP))

    def hand_over(self, tasks: list[tuple[int, str]]) -> None:
        """Tasks that run already, by `at`; spread over seconds, as a front does it."""
        for i, (task, host) in enumerate(tasks):
            self.loop.call_in(0.5 * i, lambda task=task, host=host: self._set_up(task, host))  # type: ignore[misc]


class HollowOwners:
    """The owners of all real allocators."""

    def __init__(self, loop: Loop, places: dict[int, tuple[str, int]], seed: int) -> None:
        self.owners = {k: HollowOwner(loop, k, place, seed + k) for k, place in places.items()}

    def begun(self) -> None:
        return None

    def ask_at(self, rate: float) -> None:
        for owner in self.owners.values():
            owner.ask_at(rate)

    def hand_over(self, allocator: int, tasks: list[tuple[int, str]]) -> None:
        self.owners[allocator].hand_over(tasks)

    def counts(self) -> dict[str, int]:
        found: Counter[str] = Counter()
        for k, owner in self.owners.items():
            found.update(owner.tally.counts)
            found.update({f"{k} {end}": count for end, count in owner.ledger.ends.items()})
        return dict(found)

    def state(self, allocator: int) -> dict[str, int]:
        ledger = self.owners[allocator].ledger
        return {"open": len(ledger.open), "standing": len(ledger.standing)}

    def waits(self) -> dict[int, list[float]]:
        """Milliseconds to each answer since the last time this was asked."""
        found = {}
        for k, owner in self.owners.items():
            found[k], owner.ledger.waits = owner.ledger.waits, []
        return found

    def close(self) -> None:
        self.ask_at(0.0)

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

RECONNECT_DELAY_MS, ANSWER_TIMEOUT_MS, ANSWER_GRACE_MS = 500.0, 8_000.0, 1_000.0
READ_GRACE_MS = 50.0  # to read what has come
CONNECTIONS_PER_ALLOCATOR = 4  # to one allocator
SERVICE_COUNT = 200
RETRYABLE_CAUSES = (m.REJECTED, m.CONGESTED, m.EXPIRED)  # causes that promise that trying again does no harm


class AnswerCheck:
    """What became of each request to one allocator; everything that may not be is counted by name.

    >>> ledger = AnswerCheck()
    >>> ledger.record_request(1, 0.0); ledger.record_answer(1, 5.0)
    >>> ledger.record_answer(1, 6.0); ledger.record_release(1, 16)
    >>> dict(ledger.outcome_counts), ledger.latencies_ms
    ({'asked': 1, 'placed': 1, 'second answer': 1, 'ended': 1}, [5.0])
    """

    def __init__(self) -> None:
        self.requested_at_by_task: dict[int, float] = {}
        self.placed_tasks: set[int] = set()
        self.ended_tasks: set[int] = set()
        self.abandoned_tasks: set[int] = set()  # given up without an answer
        self.latencies_ms: list[float] = []
        self.outcome_counts: Counter[str] = Counter()

    def record_request(self, task: int, now: float) -> None:
        self.requested_at_by_task[task] = now
        self.outcome_counts["asked"] += 1

    def record_adoption(self, task: int) -> None:
        self.placed_tasks.add(task)
        self.outcome_counts["handed over"] += 1

    def record_answer(self, task: int, now: float) -> None:
        at = self.requested_at_by_task.pop(task, None)
        if task in self.abandoned_tasks:
            self.outcome_counts["answer after its time"] += 1  # counted as no answer before
            return
        if at is None:
            known = task in self.placed_tasks or task in self.ended_tasks
            self.outcome_counts["second answer" if known else "answer to nothing"] += 1
            return
        self.latencies_ms.append(now - at)
        self.placed_tasks.add(task)
        self.outcome_counts["placed"] += 1

    def record_release(self, task: int, cause: int) -> None:
        if task in self.abandoned_tasks:
            self.outcome_counts["release after its time"] += 1
            return
        if self.requested_at_by_task.pop(task, None) is not None:
            self.outcome_counts["refused" if cause in RETRYABLE_CAUSES else "failed"] += 1
        elif task in self.placed_tasks:
            self.placed_tasks.discard(task)
            self.outcome_counts["ended" if cause == m.ENDED else "lost"] += 1
        else:
            self.outcome_counts["second release" if task in self.ended_tasks else "release of nothing"] += 1
        self.ended_tasks.add(task)

    def abandon(self, task: int) -> bool:
        """Its time is long over: True if it had no answer."""
        if self.requested_at_by_task.pop(task, None) is None:
            return False
        self.abandoned_tasks.add(task)
        self.outcome_counts["no answer"] += 1
        return True


class HollowOwner:
    """All owners of one allocator: a few connections, requests at random instants."""

    def __init__(self, loop: Loop, allocator: int, address: tuple[str, int], seed: int) -> None:
        self.loop, self.allocator, self.address, self.random = loop, allocator, address, Random(seed)
        self.answer_check, self.counters = AnswerCheck(), MessageCounters()
        self.last_task, self.request_count = allocator << 40, 0
        self.arrivals = Arrivals(loop, self.random, self._ask)
        self.streams: list[Stream] = []
        for _ in range(CONNECTIONS_PER_ALLOCATOR):
            loop.spawn(self._run(), "hollow owner")

    def _run(self) -> Coroutine:
        while True:
            try:
                stream: Stream = yield from connect(self.loop, self.address, 1_000.0)
                self.streams.append(stream)
                self._put(
                    stream, m.encode_with_cause(m.PROBE, 0, 0)
                )  # one who says nothing at first is closed
                try:
                    yield from self._read(stream)
                finally:
                    self.streams.remove(stream)
            except (ConnectError, StreamClosedError, m.ProtocolError):
                self.counters.count(self.allocator, "connections broken")
            yield from self.loop.sleep(RECONNECT_DELAY_MS)

    def _read(self, stream: Stream) -> Coroutine:
        decoder = m.MessageDecoder()
        while data := (yield from stream.read()):
            decoder.feed(data)
            for message in decoder.messages():
                self.counters.count_received(self.allocator, message)
                if message.kind == m.ANSWER:
                    self.answer_check.record_answer(message.task_id, self.loop.now())
                elif message.kind == m.RELEASE:
                    self.answer_check.record_release(message.task_id, message.cause)
                    self._put(stream, m.encode(m.RELEASE_COMPLETE, message.task_id))

    def _put(self, stream: Stream, data: bytes) -> bool:
        if not stream.try_send(data):
            return False
        self.counters.count_sent(self.allocator, data)
        return True

    def set_request_rate(self, rate: float) -> None:
        """Requests a second from now on; 0 ends it."""
        self.arrivals.set_rate(rate)

    def _ask(self) -> None:
        self.last_task += 1
        self._set_up(self.last_task, None)

    def _set_up(self, task: int, at: str | None) -> None:
        if not self.streams:
            self.answer_check.outcome_counts["no connection to ask by"] += 1
            return
        self.request_count += 1
        stream = self.streams[self.request_count % len(self.streams)]
        draw = self.random
        extras = f"cores:{draw.uniform(0.25, 2.0):.2f};memory:{draw.uniform(0.5, 4.0):.2f}"
        extras += f";service:s{draw.randrange(SERVICE_COUNT)}" + (f";at:{at}" if at else "")
        told = {
            m.CLASS: "safe",
            m.TIMEOUT: f"{ANSWER_TIMEOUT_MS:.0f}",
            m.NAME: f"{task:016x}",
            m.EXTRAS: extras,
        }
        raw = {code: text.encode() for code, text in told.items()}
        if not self._put(stream, m.encode(m.SETUP, task, {**raw, m.DESCRIPTION: b"d" * 64})):
            return
        if at:
            self.answer_check.record_adoption(task)
        else:
            self.answer_check.record_request(task, self.loop.now())
            self.loop.call_in(ANSWER_TIMEOUT_MS + ANSWER_GRACE_MS, lambda: self._due(stream, task))

    def _due(self, stream: Stream, task: int) -> None:
        """Where we come to it late ourselves, the answer may lie unread: it is read first."""
        if task in self.answer_check.requested_at_by_task:
            self.loop.call_in(READ_GRACE_MS, lambda: self._late(stream, task))

    def _late(self, stream: Stream, task: int) -> None:
        if self.answer_check.abandon(task):
            self._put(stream, m.encode_with_cause(m.RELEASE, task, m.CANCELLED))

    def adopt_tasks(self, tasks: list[tuple[int, str]]) -> None:
        """Tasks that run already, by `at`; spread over seconds, as a front does it."""
        for i, (task, host) in enumerate(tasks):
            self.loop.call_in(0.5 * i, lambda task=task, host=host: self._set_up(task, host))  # type: ignore[misc]


class HollowOwners:
    """The owners of all real allocators."""

    def __init__(self, loop: Loop, places: dict[int, tuple[str, int]], seed: int) -> None:
        self.owners_by_allocator = {k: HollowOwner(loop, k, place, seed + k) for k, place in places.items()}

    def startup_info(self) -> None:
        return None

    def set_request_rate(self, rate: float) -> None:
        for owner in self.owners_by_allocator.values():
            owner.set_request_rate(rate)

    def adopt_tasks(self, allocator: int, tasks: list[tuple[int, str]]) -> None:
        self.owners_by_allocator[allocator].adopt_tasks(tasks)

    def counts(self) -> dict[str, int]:
        found: Counter[str] = Counter()
        for k, owner in self.owners_by_allocator.items():
            found.update(owner.counters.counts)
            found.update({f"{k} {end}": count for end, count in owner.answer_check.outcome_counts.items()})
        return dict(found)

    def state(self, allocator: int) -> dict[str, int]:
        ledger = self.owners_by_allocator[allocator].answer_check
        return {"open": len(ledger.requested_at_by_task), "standing": len(ledger.placed_tasks)}

    def take_latencies(self) -> dict[int, list[float]]:
        """Milliseconds to each answer since the last time this was asked."""
        found = {}
        for k, owner in self.owners_by_allocator.items():
            found[k], owner.answer_check.latencies_ms = owner.answer_check.latencies_ms, []
        return found

    def close(self) -> None:
        self.set_request_rate(0.0)

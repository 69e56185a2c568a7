"""Hosts and owners of the platform's kind, many in one process, for measuring `glencleat node` at size.

They speak by `platform_protocol/messages.py`, so they don't check its reading of the page; tests
and the operators' bench
do. A host takes whatever comes and ends it after its life; an owner asks at a rate and counts the answers."""

from __future__ import annotations

from collections import Counter
from random import Random

from glencleat.emulators.proxy import reset_stream
from glencleat.event_loop import ConnectError, Listener, Loop, Stream, StreamClosedError, connect
from glencleat.event_loop.loop import Coroutine
from glencleat.platform_protocol import messages as m

RECONNECT_DELAY_MS = 500.0
ANSWER_TIMEOUT_MS = 8_000.0


class PlatformHost:
    """`accept_times`: when each connection came; `received_setups`: when each set-up did, and its task. While
    `is_offline` it takes connections and resets them."""

    def __init__(self, loop: Loop, name: str, life_ms: float, decide_ms: float = 5.0) -> None:
        self.loop, self.name, self.life_ms, self.decide_ms = loop, name, life_ms, decide_ms
        self.accept_times: list[float] = []
        self.streams: set[Stream] = set()
        self.received_setups: list[tuple[float, int]] = []
        self.is_offline = False
        self.listener = Listener(loop, ("127.0.0.1", 0), self._accepted)
        self.port = int(self.listener.address[1])

    def _accepted(self, stream: Stream) -> None:
        self.accept_times.append(self.loop.now())
        if self.is_offline:
            reset_stream(stream, "away")
            return
        self.streams.add(stream)
        self.loop.spawn(self._serve(stream), f"host {self.name}")

    def go_offline(self) -> None:
        """Every connection is reset, and all that come until `go_online`."""
        self.is_offline = True
        for stream in list(self.streams):
            reset_stream(stream, "away")

    def go_online(self) -> None:
        self.is_offline = False

    def _serve(self, stream: Stream) -> Coroutine:
        decoder = m.MessageDecoder()
        try:
            while data := (yield from stream.read()):
                decoder.feed(data)
                for message in decoder.messages():
                    if message.kind == m.SETUP:
                        self._take(stream, message.task_id)
                    elif message.kind == m.PROBE:
                        stream.try_send(m.encode_with_cause(m.PROBE_ANSWER, message.task_id, 1))
        except (StreamClosedError, m.ProtocolError):
            pass
        finally:
            self.streams.discard(stream)
            stream.close("it ended")

    def _take(self, stream: Stream, task: int) -> None:
        self.received_setups.append((self.loop.now(), task))
        yes = m.encode(m.ANSWER, task, {m.DESCRIPTION: b"ok"})
        self.loop.call_in(self.decide_ms, lambda: self._say(stream, yes))
        end = m.encode_with_cause(m.RELEASE, task, m.ENDED)
        self.loop.call_in(self.life_ms, lambda: self._say(stream, end))

    @staticmethod
    def _say(stream: Stream, data: bytes) -> None:
        stream.try_send(data)  # on its own link or not at all: a stand-in owes nobody

    def close(self) -> None:
        self.listener.close()
        for stream in list(self.streams):
            stream.close("the end")


class PlatformOwner:
    """One connection to one allocator, asking `rate` times a second at random instants."""

    def __init__(self, loop: Loop, address: tuple[str, int], rate: float, seed: int) -> None:
        self.loop, self.address, self.rate_per_s, self.random = loop, address, rate, Random(seed)
        self.requested_at_by_task: dict[int, float] = {}
        self.request_latencies: list[tuple[float, float]] = []  # when asked, milliseconds to the answer
        self.outcome_counts = Counter[str]()
        self.last_task = seed << 20
        self.stream: Stream | None = None
        self.is_running = True
        loop.spawn(self._run(), "owner")
        loop.spawn(self._ask(), "asking")

    def _run(self) -> Coroutine:
        while self.is_running:
            try:
                stream: Stream = yield from connect(self.loop, self.address, 1_000.0)
                self.stream = stream
                yield from self._read(stream)
            except (ConnectError, StreamClosedError, m.ProtocolError):
                pass
            self.stream = None
            yield from self.loop.sleep(RECONNECT_DELAY_MS)

    def _read(self, stream: Stream) -> Coroutine:
        decoder = m.MessageDecoder()
        while data := (yield from stream.read()):
            decoder.feed(data)
            for message in decoder.messages():
                self._said(stream, message)

    def _said(self, stream: Stream, message: m.PlatformMessage) -> None:
        if message.kind == m.ANSWER and message.task_id in self.requested_at_by_task:
            at = self.requested_at_by_task.pop(message.task_id)
            self.request_latencies.append((at, self.loop.now() - at))
            self.outcome_counts["placed"] += 1
        elif message.kind == m.RELEASE:
            stream.try_send(m.encode(m.RELEASE_COMPLETE, message.task_id))
            turned = self.requested_at_by_task.pop(message.task_id, None) is not None
            self.outcome_counts["turned away" if turned else "ended"] += 1

    def _ask(self) -> Coroutine:
        while self.is_running:
            yield from self.loop.sleep(1e3 * self.random.expovariate(self.rate_per_s))
            if self.stream is None:
                continue
            self.last_task += 1
            extras = f"cores:0.1;memory:0.1;service:s{self.random.randrange(20)}"
            told = {
                m.CLASS: "safe",
                m.TIMEOUT: f"{ANSWER_TIMEOUT_MS:.0f}",
                m.NAME: f"t{self.last_task}",
                m.EXTRAS: extras,
            }
            raw = {code: text.encode() for code, text in told.items()}
            if self.stream.try_send(m.encode(m.SETUP, self.last_task, {**raw, m.DESCRIPTION: b"d"})):
                self.requested_at_by_task[self.last_task] = self.loop.now()
                self.outcome_counts["asked"] += 1

    def close(self) -> None:
        self.is_running = False
        if self.stream is not None:
            self.stream.close("done")

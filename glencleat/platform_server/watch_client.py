"""Holds a connection to the command channel, always: breaks, silence and moves end one and begin the next.

Imports the kernel, `isup.channel` and `fleet.asking`. What a break may cost is 2 s, a silence or a move 4 s:
drains count as told by then."""

from __future__ import annotations

from collections.abc import Callable

from glencleat.event_loop import Loop, Pause, Stream, StreamClosedError, connect
from glencleat.event_loop.loop import Coroutine
from glencleat.flow_control.backoff import Backoff
from glencleat.platform_protocol.command_channel import CommandChannel, ListChange
from glencleat.platform_protocol.messages import ProtocolError

CONNECT_MS = 500.0
SILENCE_TIMEOUT_MS = 1_800.0  # a line is due every second
PROGRESS_BYTES = 65_536  # bytes of a line that is not whole count as a word: a long list may take its time


class WatchClient:
    def __init__(
        self,
        loop: Loop,
        channel: CommandChannel,
        backoff: Backoff,
        address: tuple[str, int],
        on_change: Callable[[ListChange], None],
        log: Callable[[str], None],
    ) -> None:
        self.loop, self.channel, self.backoff, self.address = loop, channel, backoff, address
        self.on_change, self.log = on_change, log
        self.stream: Stream | None = None
        self.last_heard_at_ms = 0.0
        self.partial_bytes = 0  # bytes since the last whole line, or since as much was counted as a word
        self.retry_pause = Pause(loop)  # between two tries
        self.receiving_since_ms: float | None = None  # since when this connection tells something
        self.disconnect_count = 0
        loop.spawn(self._run(), "command channel", is_urgent=True)

    def change_address(self, address: tuple[str, int]) -> None:
        """Another address from now on; the numbers go on. The old one's failures say nothing of it."""
        if address != self.address:
            self.address = address
            self.backoff.reset()
            if self.stream is not None:
                self.stream.close("the command channel moved")
            self.retry_pause.wake()

    def _run(self) -> Coroutine:
        while True:
            try:
                yield from self._follow()
            except (StreamClosedError, ProtocolError) as error:
                self.disconnect_count += 1
                self.log(f"command channel: {error}; asking again from {self.channel.cursor}")
            if self.stream is not None:
                self.stream.close()
                self.stream = None
            lasted = 0.0 if self.receiving_since_ms is None else self.loop.now() - self.receiving_since_ms
            while not (yield from self.retry_pause.sleep(self.backoff.next_delay_ms(lasted))):
                lasted = 0.0  # moved meanwhile: a first wait, so that all that move are spread

    def _follow(self) -> Coroutine:
        place, self.receiving_since_ms = self.address, None
        stream: Stream = yield from connect(self.loop, place, CONNECT_MS)
        self.stream = stream
        if place != self.address:
            raise StreamClosedError("the command channel moved")
        self.last_heard_at_ms, self.partial_bytes = self.loop.now(), 0
        self._watch(stream)
        stream.send(self.channel.encode_resume())
        while True:
            data = yield from stream.read()
            if not data:
                raise StreamClosedError("it ended")
            now = self.loop.now()
            self.partial_bytes = 0 if b"\n" in data else self.partial_bytes + len(data)
            if not self.partial_bytes or self.partial_bytes >= PROGRESS_BYTES:
                self.last_heard_at_ms, self.partial_bytes = (
                    now,
                    0,
                )  # else one that drips would keep us from asking again
            if self.receiving_since_ms is None:
                self.receiving_since_ms = now
            for news in self.channel.feed(data, now):
                self.on_change(news)

    def _watch(self, stream: Stream, last: bool = False) -> None:
        """Closes the stream once no line has come for too long: one that stops may stay open.

        `last`: what lay unread when it was due has been read since; after a standstill that may be all."""
        if stream.close_reason is not None:
            return
        left = self.last_heard_at_ms + SILENCE_TIMEOUT_MS - self.loop.now()
        if left <= 0.0 and (last or not stream.is_readable):
            stream.close("it is silent")
        else:
            self.loop.call_in(max(left, 50.0), lambda: self._watch(stream, left <= 0.0))

"""Holds a connection to the command channel, always: breaks, silence and moves end one and begin the next.

Imports the kernel, `isup.channel` and `fleet.asking`. What a break may cost is 2 s, a silence or a move 4 s:
drains count as told by then."""

from __future__ import annotations

from collections.abc import Callable

from glencleat.event_loop import Loop, Pause, Stream, StreamClosedError, connect
from glencleat.event_loop.loop import Coroutine
from glencleat.flow_control.backoff import Backoff
from glencleat.platform_protocol.command_channel import CommandChannel, ListChange
from glencleat.platform_protocol.messages import RemoteProtocolError

CONNECT_MS = 500.0
SILENT_MS = 1_800.0  # a line is due every second
PROGRESS = 65_536  # bytes of a line that is not whole count as a word: a long list may take its time


class WatchClient:
    def __init__(
        self,
        loop: Loop,
        channel: CommandChannel,
        asking: Backoff,
        place: tuple[str, int],
        told: Callable[[ListChange], None],
        log: Callable[[str], None],
    ) -> None:
        self.loop, self.channel, self.asking, self.place = loop, channel, asking, place
        self.told, self.log = told, log
        self.stream: Stream | None = None
        self.heard = 0.0
        self.half = 0  # bytes since the last whole line, or since as much was counted as a word
        self.pause = Pause(loop)  # between two tries
        self.up_at: float | None = None  # since when this connection tells something
        self.breaks = 0
        loop.spawn(self._run(), "command channel", urgent=True)

    def move(self, place: tuple[str, int]) -> None:
        """Another address from now on; the numbers go on. The old one's failures say nothing of it."""
        if place != self.place:
            self.place = place
            self.asking.well()
            if self.stream is not None:
                self.stream.close("the command channel moved")
            self.pause.end()

    def _run(self) -> Coroutine:
        while True:
            try:
                yield from self._follow()
            except (StreamClosedError, RemoteProtocolError) as error:
                self.breaks += 1
                self.log(f"command channel: {error}; asking again from {self.channel.cursor}")
            if self.stream is not None:
                self.stream.close()
                self.stream = None
            lasted = 0.0 if self.up_at is None else self.loop.now() - self.up_at
            while not (yield from self.pause.sleep(self.asking.again(lasted))):
                lasted = 0.0  # moved meanwhile: a first wait, so that all that move are spread

    def _follow(self) -> Coroutine:
        place, self.up_at = self.place, None
        stream: Stream = yield from connect(self.loop, place, CONNECT_MS)
        self.stream = stream
        if place != self.place:
            raise StreamClosedError("the command channel moved")
        self.heard, self.half = self.loop.now(), 0
        self._watch(stream)
        stream.send(self.channel.begin_connection())
        while True:
            data = yield from stream.read()
            if not data:
                raise StreamClosedError("it ended")
            now = self.loop.now()
            self.half = 0 if b"\n" in data else self.half + len(data)
            if not self.half or self.half >= PROGRESS:
                self.heard, self.half = now, 0  # else one that drips would keep us from asking again
            if self.up_at is None:
                self.up_at = now
            for news in self.channel.feed(data, now):
                self.told(news)

    def _watch(self, stream: Stream, last: bool = False) -> None:
        """Closes the stream once no line has come for too long: one that stops may stay open.

        `last`: what lay unread when it was due has been read since; after a standstill that may be all."""
        if stream.closed is not None:
            return
        left = self.heard + SILENT_MS - self.loop.now()
        if left <= 0.0 and (last or not stream.readable):
            stream.close("it is silent")
        else:
            self.loop.call_in(max(left, 50.0), lambda: self._watch(stream, left <= 0.0))

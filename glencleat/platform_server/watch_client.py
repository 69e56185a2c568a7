"""Watches the machine list over the command channel, with one connection that is always kept up.

A break, a silence or a change of address ends a connection, and the next one resumes at the cursor. Imports
the event loop, `platform_protocol.command_channel` and `flow_control.backoff`. A break may cost 2 s, a
silence or a change of address 4 s: drains count as known by then.
"""

from __future__ import annotations

from collections.abc import Callable

from glencleat.event_loop import InterruptibleSleep, Loop, Stream, StreamClosedError, connect
from glencleat.event_loop.loop import Coroutine
from glencleat.flow_control.backoff import Backoff
from glencleat.platform_protocol.command_channel import CommandChannel, ListChange
from glencleat.platform_protocol.messages import RemoteProtocolError

CONNECT_TIMEOUT_MS = 500.0
SILENCE_TIMEOUT_MS = 1_800.0  # a line is due every second
MIN_SILENCE_CHECK_MS = 50.0  # between two checks, so that a check that is due does not repeat at once
PROGRESS_BYTES = 65_536  # of a partial line count as a sign of life: a long list may take its time


class WatchClient:
    """The connection to the command channel at `address`, from its construction on.

    `on_change` gets each change of the machine list in order, `log` a line of text for each break.
    """

    def __init__(
        self,
        loop: Loop,
        channel: CommandChannel,
        backoff: Backoff,
        address: tuple[str, int],
        on_change: Callable[[ListChange], None],
        log: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.channel = channel
        self.backoff = backoff
        self.address = address
        self.on_change = on_change
        self.log = log
        self.stream: Stream | None = None
        self.last_heard_ms = 0.0
        self.partial_bytes = 0  # since the last whole line or the last sign of life
        self.retry_pause = InterruptibleSleep(loop)  # between two attempts
        self.up_since_ms: float | None = None  # when the first data came on this connection
        self.disconnect_count = 0
        loop.spawn(self._run(), "command channel", urgent=True)

    def change_address(self, address: tuple[str, int]) -> None:
        """Connects to another address from now on; the cursor goes on.

        The backoff is reset, as failures of the old address say nothing about the new one.
        """
        if address == self.address:
            return
        self.address = address
        self.backoff.reset()
        if self.stream is not None:
            self.stream.close("the command channel moved")
        self.retry_pause.interrupt()

    def _run(self) -> Coroutine:
        while True:
            try:
                yield from self._follow()
            except (StreamClosedError, RemoteProtocolError) as error:
                self.disconnect_count += 1
                self.log(f"command channel: {error}; asking again from {self.channel.cursor}")
            if self.stream is not None:
                self.stream.close()
                self.stream = None
            connected_ms = 0.0 if self.up_since_ms is None else self.loop.now() - self.up_since_ms
            while not (yield from self.retry_pause.sleep(self.backoff.next_delay_ms(connected_ms))):
                connected_ms = 0.0  # the address changed: a first delay, so that all that move are spread

    def _follow(self) -> Coroutine:
        """Follows the channel over one connection; raises StreamClosedError or RemoteProtocolError at its end."""
        stream: Stream = yield from self._connect()
        self._check_silence(stream)
        stream.send(self.channel.begin_connection())
        while True:
            data = yield from stream.read()
            if not data:
                raise StreamClosedError("it ended")
            now_ms = self.loop.now()
            self._record_data(data, now_ms)
            for change in self.channel.feed(data, now_ms):
                self.on_change(change)

    def _connect(self) -> Coroutine:
        address = self.address
        self.up_since_ms = None
        stream: Stream = yield from connect(self.loop, address, CONNECT_TIMEOUT_MS)
        self.stream = stream
        if address != self.address:
            raise StreamClosedError("the command channel moved")
        self.last_heard_ms = self.loop.now()
        self.partial_bytes = 0
        return stream

    def _record_data(self, data: bytes, now_ms: float) -> None:
        """Notes signs of life: a line end or PROGRESS_BYTES, as a channel that drips counts as silent."""
        self.partial_bytes = 0 if b"\n" in data else self.partial_bytes + len(data)
        if not self.partial_bytes or self.partial_bytes >= PROGRESS_BYTES:
            self.last_heard_ms = now_ms
            self.partial_bytes = 0
        if self.up_since_ms is None:
            self.up_since_ms = now_ms

    def _check_silence(self, stream: Stream, is_overdue: bool = False) -> None:
        """Closes the stream once no line has come for too long: one that stops may stay open.

        `is_overdue` says that the check before was due already, so that what lay unread then has been read
        since: after a stall of this process that may be all that is missing.
        """
        if stream.close_reason is not None:
            return
        remaining_ms = self.last_heard_ms + SILENCE_TIMEOUT_MS - self.loop.now()
        if remaining_ms <= 0.0 and (is_overdue or not stream.is_readable):
            stream.close("it is silent")
            return
        self.loop.call_in(
            max(remaining_ms, MIN_SILENCE_CHECK_MS),
            lambda: self._check_silence(stream, is_overdue=remaining_ms <= 0.0),
        )

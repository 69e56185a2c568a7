"""Keeps a connection to the command channel open: reconnects after a break, silence or a change of address.

A break may cost 2 s, silence or a change of address 4 s: draining hosts count as known by then.
"""

from __future__ import annotations

from collections.abc import Callable

from glencleat.event_loop import Loop, Pause, Stream, StreamClosedError, connect
from glencleat.event_loop.loop import Coroutine
from glencleat.flow_control.backoff import Backoff
from glencleat.platform_protocol.command_channel import CommandChannel, ListChange
from glencleat.platform_protocol.messages import ProtocolError

CONNECT_MS = 500.0

SILENCE_TIMEOUT_MS = 1_800.0
"""The time without a complete line after which the connection is closed; one is due every second."""

FIRST_LINE_TIMEOUT_MS = 2_250.0
"""The same before the first complete line: a call may take 2 s by the operators' site files."""

PROGRESS_BYTES = 65_536
"""Bytes of an incomplete line that count as activity, because a long list may take its time."""


class WatchClient:
    """The connection to the command channel; it is retried for as long as the process runs."""

    def __init__(
        self,
        loop: Loop,
        channel: CommandChannel,
        backoff: Backoff,
        address: tuple[str, int],
        on_change: Callable[[ListChange], None],
        log: Callable[[str], None],
    ) -> None:
        """Starts to connect.

        Args:
            loop: Runs the connection and tells the time.
            channel: Decodes the lines and holds the cursor that a reconnect resumes from.
            backoff: The intervals between attempts.
            address: Where the command channel listens.
            on_change: Takes each change of the machine list.
            log: Takes a line of text.
        """
        self.loop, self.channel, self.backoff, self.address = loop, channel, backoff, address
        self.on_change, self.log = on_change, log
        self.stream: Stream | None = None
        self.last_heard_at_ms = 0.0
        self.partial_bytes = 0  # since the last complete line, or since as many counted as activity
        self.retry_pause = Pause(loop)  # between two attempts
        self.receiving_since_ms: float | None = None  # of the current connection's first bytes
        self.has_received_line = False  # a complete one, on the current connection
        self.silent_for_ms = 0.0  # how long the last connection lasted that never sent a line
        self.disconnect_count = 0
        loop.spawn(self._run(), "command channel", is_urgent=True)

    def change_address(self, address: tuple[str, int]) -> None:
        """Connects to another address from now on, with the same cursor.

        Failures at the former address say nothing about the new one, so the backoff starts anew.
        """
        if address != self.address:
            self.address = address
            self.backoff.reset()
            if self.stream is not None:
                self.stream.close("the command channel's address has changed")
            self.retry_pause.wake()

    def _run(self) -> Coroutine:
        while True:
            try:
                yield from self._receive()
            except (StreamClosedError, ProtocolError) as error:
                self.disconnect_count += 1
                self.log(f"command channel: {error}; reconnecting from cursor {self.channel.cursor}")
            if self.stream is not None:
                self.stream.close()
                self.stream = None
            connected_ms = self.silent_for_ms
            if self.receiving_since_ms is not None:
                connected_ms = self.loop.now() - self.receiving_since_ms
            while not (yield from self.retry_pause.sleep(self.backoff.next_delay_ms(connected_ms))):
                # The address has changed: a first interval spreads all clients that change it.
                connected_ms = 0.0

    def _receive(self) -> Coroutine:
        address, self.receiving_since_ms = self.address, None
        self.has_received_line, self.silent_for_ms = False, 0.0
        stream: Stream = yield from connect(self.loop, address, CONNECT_MS)
        self.stream = stream
        if address != self.address:
            raise StreamClosedError("the command channel's address has changed")
        self.last_heard_at_ms, self.partial_bytes = self.loop.now(), 0
        self._check_silence(stream)
        stream.send(self.channel.encode_resume())
        while True:
            data = yield from stream.read()
            if not data:
                raise StreamClosedError("the peer closed the connection")
            now = self.loop.now()
            self.has_received_line |= b"\n" in data
            self.partial_bytes = 0 if b"\n" in data else self.partial_bytes + len(data)
            # Fewer bytes don't count: a channel that sends byte by byte would prevent a reconnect.
            if not self.partial_bytes or self.partial_bytes >= PROGRESS_BYTES:
                self.last_heard_at_ms, self.partial_bytes = now, 0
            if self.receiving_since_ms is None:
                self.receiving_since_ms = now
            for change in self.channel.feed(data, now):
                self.on_change(change)

    def _check_silence(self, stream: Stream, was_deferred: bool = False) -> None:
        """Closes the stream if no line has arrived within the time-out; a peer that stops may leave it open.

        `was_deferred` means that bytes that were unread when the time was over have been read since. After a
        stall they may be all that there is.
        """
        if stream.close_reason is not None:
            return
        timeout_ms = SILENCE_TIMEOUT_MS if self.has_received_line else FIRST_LINE_TIMEOUT_MS
        remaining_ms = self.last_heard_at_ms + timeout_ms - self.loop.now()
        if remaining_ms <= 0.0 and (was_deferred or not stream.is_readable):
            # The time-out has spaced the attempts already: the next interval need not do so as well.
            self.silent_for_ms = 0.0 if self.has_received_line else timeout_ms
            stream.close("no line received in time")
        else:
            # The first line may come meanwhile, after which the shorter time-out holds.
            check_in_ms = min(max(remaining_ms, 50.0), SILENCE_TIMEOUT_MS)
            self.loop.call_in(check_in_ms, lambda: self._check_silence(stream, remaining_ms <= 0.0))

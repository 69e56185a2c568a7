"""A stand-in for the platform's list service: numbered events, asked for from a number on, one line a second.

From the protocol page; shares no code with `platform_protocol/command_channel.py`, so that both
can't share a mistake."""

from __future__ import annotations

from typing import Any

import msgspec

from glencleat.event_loop import Listener, Loop, Stream, StreamClosedError
from glencleat.event_loop.loop import Coroutine

CURSOR_INTERVAL_MS = 1_000.0
MAX_REQUEST_BYTES = 100  # bytes at most of what an allocator writes


def make_list_entry(
    name: str, port: int = 9, phase: str = "SERVING", started_ms: float = 0.0
) -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "a",
        "machineType": "std",
        "cell": 0,
        "lifecycle": phase,
        "weight": 1,
        "startedAtMs": started_ms,
        "free": [16.0, 32.0],
    }


class ChannelService:
    """`events` holds all there ever were; number 1 is the whole list."""

    def __init__(self, loop: Loop, entries: list[dict[str, Any]]) -> None:
        self.loop, self.events, self.streams = loop, [self._event(1, True, entries)], set[Stream]()
        self.requests: list[tuple[float, int]] = []  # when, from which number
        self.full_list_count = self.sent_bytes = 0  # whole lists, bytes
        self.listener = Listener(loop, ("127.0.0.1", 0), self._accepted)
        self.address = self.listener.address
        loop.call_in(CURSOR_INTERVAL_MS, self._tick)

    @staticmethod
    def _event(number: int, whole: bool, entries: list[dict[str, Any]]) -> bytes:
        nodes = {"generation": 1, "reset": whole, "instances": entries}
        return msgspec.json.encode({"cursor": number, "nodes": nodes}) + b"\n"

    def take_snapshot(self) -> dict[str, Any]:
        """As a configuration holds it at a start."""
        return {"cursor": len(self.events), "cmds": [msgspec.json.decode(event) for event in self.events]}

    def publish(self, entries: list[dict[str, Any]]) -> None:
        event = self._event(len(self.events) + 1, False, entries)
        self.events.append(event)
        for stream in list(self.streams):
            self._put(stream, event)

    def _put(self, stream: Stream, data: bytes) -> None:
        self.sent_bytes += len(data)
        stream.try_send(data)

    def _accepted(self, stream: Stream) -> None:
        self.loop.spawn(self._serve(stream), "list service")

    def _serve(self, stream: Stream) -> Coroutine:
        data = b""
        try:
            while not data.endswith(b"\n") and len(data) <= MAX_REQUEST_BYTES:
                more = yield from stream.read()
                if not more:
                    return
                data += more
            words = data.split()
            if len(words) != 2 or words[0] != b"resume" or not words[1].isdigit():
                stream.close("not an ask")
                return
            number = int(words[1])
            self.requests.append((self.loop.now(), number))
            self.full_list_count += number < 1
            for event in self.events[number:]:
                self._put(stream, event)
            self._line(stream)
            self.streams.add(stream)
            while (yield from stream.read()):
                pass
        except StreamClosedError:
            return
        finally:
            self.streams.discard(stream)
            stream.close("it ended")

    def _line(self, stream: Stream) -> None:
        self._put(stream, msgspec.json.encode({"cursor": len(self.events)}) + b"\n")

    def _tick(self) -> None:
        self.loop.call_in(CURSOR_INTERVAL_MS, self._tick)
        for stream in list(self.streams):
            self._line(stream)

    def restore(self) -> None:
        """Accepts connections again after `close`; events that were published meanwhile are sent on them."""
        if self.listener.sock.fileno() < 0:
            self.listener = Listener(self.loop, self.address, self._accepted)

    def close(self) -> None:
        self.listener.close()
        for stream in list(self.streams):
            stream.close("the service ended")

"""The directory's client: subscribes to the Operator API at /api/v1 and tells the module what it says.

The module asks by `Watch`; a failed or broken subscription is told as FAILED, at once. When the next try
leaves is for `flow_control/backoff.py` to say, as on the platform: a crowd that lost its directory
comes back spread, and no sooner than a Retry-After says."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from glencleat import interface as api
from glencleat.allocator.endpoint_list import MachineListing
from glencleat.event_loop import Loop, LoopTask, Stream, StreamClosedError
from glencleat.event_loop.loop import Coroutine
from glencleat.event_loop.streams import connect
from glencleat.flow_control.backoff import Backoff
from glencleat.mesos import messages as m
from glencleat.mesos.http import ClientConnection, HttpError, ResponseEnd, ResponseHead
from glencleat.mesos.recordio import RecordDecoder, RecordError

TARGET = "/api/v1"
CONNECT_TIMEOUT_MS = 1_000.0
MAX_RETRY_AFTER_MS = 60_000.0  # of what a directory may say; a wrong word would else keep us blind


def retry_after_ms(headers: Mapping[str, str]) -> float:
    """The seconds that a Retry-After names (RFC 9110, 10.2.3), as milliseconds; 0 for a date or nonsense."""
    told = headers.get("retry-after", "").strip()
    return min(MAX_RETRY_AFTER_MS, 1e3 * int(told)) if told.isdecimal() and len(told) < 10 else 0.0


class DirectoryClient:
    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        tell: Callable[[api.MachineListUpdated], None],
        asking: Backoff,
        silence_timeout_ms: float = 45_000.0,
        record_most: int = 16 << 20,
        log: Callable[..., None] = lambda event, **more: None,
    ) -> None:
        self.loop, self.address, self.on_update, self.log = loop, address, tell, log
        self.backoff = asking
        self.next_try_at_ms = loop.now() + asking.first_delay_ms()  # not before this
        self.subscribed_at_ms: float | None = None  # since when this subscription tells something
        self.server_retry_after_ms = 0.0  # the directory's own word of when to come again
        self.try_count = 0
        self.is_watch_pending = False  # a Watch is not answered yet
        self.silence_timeout_ms, self.max_record_bytes = silence_timeout_ms, record_most
        self.listing = MachineListing()
        self.task: LoopTask | None = None

    def watch(self) -> None:
        """Subscribes, and holds the subscription from then on; one ListTold answers, WHOLE or FAILED.

        While it is held what is known is the answer. While a try waits for its turn it is this ask's too."""
        self.is_watch_pending = True
        if self.task is None:
            self.task = self.loop.spawn(self._run(), "directory")
        elif self.subscribed_at_ms is not None:
            self._told(self.listing.snapshot())

    def _run(self) -> Coroutine:
        while True:
            yield from self.loop.sleep(max(0.0, self.next_try_at_ms - self.loop.now()))
            self.try_count += 1
            yield from self._try()

    def _try(self) -> Coroutine:
        stream: Stream | None = None
        self.server_retry_after_ms = 0.0
        try:
            stream = yield from connect(self.loop, self.address, CONNECT_TIMEOUT_MS)
            yield from self._subscribed(stream)
            why = "the directory ended the stream"
        except (StreamClosedError, HttpError, RecordError, m.MessageError) as error:
            why = str(error)
        finally:
            if stream is not None:
                stream.close("done")
        up_at, self.subscribed_at_ms = self.subscribed_at_ms, None
        lasted = 0.0 if up_at is None else self.loop.now() - up_at
        self.next_try_at_ms = self.loop.now() + self.backoff.next_delay_ms(lasted, self.server_retry_after_ms)
        self.log("directory failed", why=why, tries=self.try_count)
        if self.is_watch_pending or up_at is not None:
            self._told(api.MachineListUpdated(api.ListUpdateKind.FAILED))

    def _told(self, event: api.MachineListUpdated) -> None:
        if event.kind is not api.ListUpdateKind.DELTA:
            self.is_watch_pending = False
        self.on_update(event)

    def _subscribed(self, stream: Stream) -> Coroutine:
        http, decoder = ClientConnection(), RecordDecoder(self.max_record_bytes)
        headers = {"content-type": "application/json", "accept": "application/json"}
        body = m.encode(m.OperatorCall("SUBSCRIBE"))
        stream.send(http.encode_request("POST", TARGET, "directory", headers, body))
        silence = self.loop.call_in(self.silence_timeout_ms, lambda: stream.close("no heartbeat"))
        try:
            while True:
                data = yield from stream.read()
                silence.cancel()
                silence = self.loop.call_in(self.silence_timeout_ms, lambda: stream.close("no heartbeat"))
                for event in http.feed(data):
                    if isinstance(event, ResponseHead) and event.status != 200:
                        self.server_retry_after_ms = retry_after_ms(event.headers)
                        raise HttpError(event.status, f"the directory answered {event.status}")
                    if isinstance(event, ResponseEnd):
                        return
                    for record in decoder.feed(event) if isinstance(event, bytes) else ():
                        self._event(m.decode(m.OperatorEvent, record))
                if data == b"":
                    return
        finally:
            silence.cancel()

    def _event(self, event: m.OperatorEvent) -> None:
        now, wall = self.loop.now(), self.loop.clock.wall()
        told: Any = None
        if event.type == "SUBSCRIBED" and event.subscribed is not None:
            state = event.subscribed.get_state
            agents = state.get_agents.agents if state is not None and state.get_agents is not None else []
            told = self.listing.replace_all(agents, now, wall)
        elif event.type == "AGENT_ADDED" and event.agent_added is not None:
            told = self.listing.record_change(event.agent_added.agent, now, wall)
        elif event.type == "AGENT_REMOVED" and event.agent_removed is not None:
            told = self.listing.record_removal(event.agent_removed.agent_id.value)
        if told is not None:
            if self.subscribed_at_ms is None:
                self.subscribed_at_ms = now
            self._told(told)

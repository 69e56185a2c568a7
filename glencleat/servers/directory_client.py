"""Client of the directory: subscribes to the Operator API at /api/v1 and forwards machine list updates.

The decision module requests the list by calling `watch`. A failed or broken subscription is reported as
FAILED at once. `flow_control/backoff.py` sets the delay before the next attempt, as on the platform:
allocators that lost their directory reconnect spread over time, and not before a Retry-After has passed.
"""

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

OPERATOR_API_PATH = "/api/v1"
CONNECT_TIMEOUT_MS = 1_000.0
MAX_RETRY_AFTER_MS = 60_000.0  # a faulty Retry-After could otherwise leave the allocator without a list


def retry_after_ms(headers: Mapping[str, str]) -> float:
    """Returns the delay that a Retry-After header demands (RFC 9110, 10.2.3), in milliseconds.

    The delay is 0 for a date and for an invalid value.
    """
    text = headers.get("retry-after", "").strip()
    return min(MAX_RETRY_AFTER_MS, 1e3 * int(text)) if text.isdecimal() and len(text) < 10 else 0.0


class DirectoryClient:
    """Keeps one subscription to the directory and passes each update of the machine list to `on_update`.

    A subscription without any data for `silence_timeout_ms` is closed.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_update: Callable[[api.MachineListUpdated], None],
        backoff: Backoff,
        silence_timeout_ms: float = 45_000.0,
        max_record_bytes: int = 16 << 20,
        log: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        self.loop, self.address, self.on_update, self.log = loop, address, on_update, log
        self.backoff = backoff
        self.next_attempt_at_ms = loop.now() + backoff.first_delay_ms()
        self.subscribed_at_ms: float | None = None  # first update of the current subscription
        self.was_silent = False  # the current connection was closed because of the silence timeout
        self.server_retry_after_ms = 0.0  # delay that the directory demanded
        self.attempt_count = 0
        self.is_watch_pending = False  # a `watch` call has no answer yet
        self.silence_timeout_ms, self.max_record_bytes = silence_timeout_ms, max_record_bytes
        self.listing = MachineListing()
        self.task: LoopTask | None = None

    def watch(self) -> None:
        """Subscribes and keeps the subscription; one MachineListUpdated answers, SNAPSHOT or FAILED.

        While the subscription is up, the list known so far is the answer. An attempt that is already waiting
        for its backoff answers this call too.
        """
        self.is_watch_pending = True
        if self.task is None:
            self.task = self.loop.spawn(self._run(), "directory")
        elif self.subscribed_at_ms is not None:
            self._notify(self.listing.snapshot())

    def _run(self) -> Coroutine:
        while True:
            yield from self.loop.sleep(max(0.0, self.next_attempt_at_ms - self.loop.now()))
            self.attempt_count += 1
            yield from self._attempt_subscription()

    def _attempt_subscription(self) -> Coroutine:
        stream: Stream | None = None
        self.server_retry_after_ms, self.was_silent = 0.0, False
        connected_at_ms = self.loop.now()
        try:
            stream = yield from connect(self.loop, self.address, CONNECT_TIMEOUT_MS)
            connected_at_ms = self.loop.now()
            yield from self._subscribe_and_read(stream)
            why = "the directory ended the stream"
        except (StreamClosedError, HttpError, RecordError, m.MessageError) as error:
            why = str(error)
        finally:
            if stream is not None:
                stream.close("done")
        subscribed_at_ms, self.subscribed_at_ms = self.subscribed_at_ms, None
        # The silence timeout has spaced the attempts already, with an answer before it or without one.
        counts_from_ms = connected_at_ms if self.was_silent else subscribed_at_ms
        lasted_ms = 0.0 if counts_from_ms is None else self.loop.now() - counts_from_ms
        self.next_attempt_at_ms = self.loop.now() + self.backoff.next_delay_ms(
            lasted_ms, self.server_retry_after_ms
        )
        self.log("directory failed", why=why, tries=self.attempt_count)
        if self.is_watch_pending or subscribed_at_ms is not None:
            self._notify(api.MachineListUpdated(api.ListUpdateKind.FAILED))

    def _notify(self, event: api.MachineListUpdated) -> None:
        if event.kind is not api.ListUpdateKind.DELTA:
            self.is_watch_pending = False
        self.on_update(event)

    def _subscribe_and_read(self, stream: Stream) -> Coroutine:
        http, decoder = ClientConnection(), RecordDecoder(self.max_record_bytes)
        headers = {"content-type": "application/json", "accept": "application/json"}
        body = m.encode(m.OperatorCall("SUBSCRIBE"))
        stream.send(http.encode_request("POST", OPERATOR_API_PATH, "directory", headers, body))

        def close_silent_stream() -> None:
            self.was_silent = True
            stream.close("no heartbeat")

        silence_timer = self.loop.call_in(self.silence_timeout_ms, close_silent_stream)
        try:
            while True:
                data = yield from stream.read()
                silence_timer.cancel()
                silence_timer = self.loop.call_in(self.silence_timeout_ms, close_silent_stream)
                for event in http.feed(data):
                    if isinstance(event, ResponseHead) and event.status != 200:
                        self.server_retry_after_ms = retry_after_ms(event.headers)
                        raise HttpError(event.status, f"the directory answered {event.status}")
                    if isinstance(event, ResponseEnd):
                        return
                    for record in decoder.feed(event) if isinstance(event, bytes) else ():
                        self._handle_event(m.decode(m.OperatorEvent, record))
                if data == b"":
                    return
        finally:
            silence_timer.cancel()

    def _handle_event(self, event: m.OperatorEvent) -> None:
        now, wall = self.loop.now(), self.loop.clock.wall()
        update: Any = None
        if event.type == "SUBSCRIBED" and event.subscribed is not None:
            state = event.subscribed.get_state
            agents = state.get_agents.agents if state is not None and state.get_agents is not None else []
            update = self.listing.replace_all(agents, now, wall)
        elif event.type == "AGENT_ADDED" and event.agent_added is not None:
            update = self.listing.record_change(event.agent_added.agent, now, wall)
        elif event.type == "AGENT_REMOVED" and event.agent_removed is not None:
            update = self.listing.record_removal(event.agent_removed.agent_id.value)
        if update is not None:
            if self.subscribed_at_ms is None:
                self.subscribed_at_ms = now
            self._notify(update)

"""One link to a host, and what is kept of a host: connections by host id, what of a set-up left.

Imports the kernel, `isup`, `descriptors`, `life`; `platform_server/connection_pool.py` makes them.
A link tells facts and names no outcome."""

from __future__ import annotations

import errno
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Protocol

from glencleat.descriptor_budget import DescriptorBudget, EvictionPriority, Side
from glencleat.event_loop import ConnectError, Loop, Stream, StreamClosedError, connect
from glencleat.event_loop.loop import Coroutine
from glencleat.flow_control.backoff import HOST, Backoff
from glencleat.flow_control.connection_limiter import ConnectionLimiter
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.delivery import DeliveryOutcome
from glencleat.platform_protocol.exchange import Exchange, SetupAttempt
from glencleat.platform_server.failure_detector import FailureDetector

if TYPE_CHECKING:
    from glencleat.platform_server.trace import Trace

DESCRIPTOR_RETRY_MS = 800.0  # until the next try that failed for want of something of ours
LIVENESS_CHECK_MS = 500.0  # after coming up: what a host still owed us has come by then
CLOSE_TIMEOUT_MS = 500.0  # for a host to close a link that we end


class ConnectionPoolPort(Protocol):
    """What links need of who makes them; `platform_server/connection_pool.py` is it."""

    loop: Loop
    connection_limiter: ConnectionLimiter
    descriptors: DescriptorBudget
    exchange: Exchange
    connect_ms: float
    trace: Trace | None

    def report_outcome(self, attempt: SetupAttempt, fact: DeliveryOutcome) -> None: ...
    def is_warming_up(self, host: PooledHost) -> bool: ...
    def on_connected(self, host: PooledHost, link: HostConnection) -> None: ...
    def on_host_heard(self, host: PooledHost) -> None: ...
    def on_connect_failed(self, host: PooledHost, refused: bool) -> None: ...
    def on_connection_lost(self, host: PooledHost, link: HostConnection, why: str) -> None: ...
    def mark_changed(self, host: PooledHost) -> None: ...


class HostConnection:
    """One connection to a host, from before it is up until it has ended or is left to end."""

    side = Side.LINKS

    def __init__(self, hosts: ConnectionPoolPort, host: PooledHost, visit: bool) -> None:
        self.pool, self.host, self.loop = hosts, host, hosts.loop
        self.address = host.address  # which may be another by the time that it comes up
        self.is_liveness_check = (
            visit  # opened beside another to see whether the host lives: not kept unless used
        )
        self.is_leaving = False  # we end it: nothing more is sent, and its end says nothing of the host
        self.is_closed_by_host = (
            False  # the host has closed it: what it said before is read, nothing more is sent
        )
        self.connected_at_ms = 0.0  # when it came up
        self.stream: Stream | None = None
        self.decoder = m.MessageDecoder()
        self.waiting_attempts: list[SetupAttempt] = []  # until it is up
        self.sent_attempts: dict[SetupAttempt, int] = {}  # sent; where their bytes end
        self.cancelled_task_ids: set[int] = (
            set()
        )  # ids given up here: a late answer would be taken for that of a next try
        self.is_unresponsive = False  # an attempt had no answer here, and nothing was heard since
        self.last_used_at_ms = self.loop.now()
        hosts.connection_limiter.began(self.address, self.last_used_at_ms)
        self.loop.spawn(self._run(), "host link")

    @property
    def open_attempt_count(self) -> int:
        return len(self.waiting_attempts) + len(self.sent_attempts)

    @property
    def is_idle(self) -> bool:
        """Up, with nothing open on it."""
        return self.stream is not None and not self.open_attempt_count

    def detect_close_by_host(self, polled: bool = True) -> bool:
        """Whether nothing more may be sent on it: that would be lost, and nobody could tell whether unread.

        The system is asked where the poller told of something, or, if not `polled`, had no chance to."""
        if self.stream is not None and (self.stream.readable or not polled) and self.stream.hung_up():
            self.is_closed_by_host = True
        return self.is_closed_by_host

    # ---- its descriptor ----

    def worth(self) -> EvictionPriority:
        host = self.host
        if not self.is_idle:
            return EvictionPriority.HELD
        up = (
            li
            for li in host.connections
            if li is not self and li.stream is not None and not li.is_unresponsive
        )
        others = any(
            self.is_liveness_check or not li.is_liveness_check for li in up
        )  # a visit goes before the link it is beside
        if others or not (self.pool.exchange.standing.get(host.name) or host.unsent_releases):
            return EvictionPriority.SPARE
        if host.is_draining:
            return (
                EvictionPriority.HELD
            )  # it takes no new connection while its tasks run: there is no way back
        return (
            EvictionPriority.LISTENED
            if self.loop.now() - self.connected_at_ms > LIVENESS_CHECK_MS
            else EvictionPriority.LISTENING
        )

    def last_look(self) -> None:
        """What is unread on it is read after it is left."""

    def give_up(self) -> None:
        self.host.is_connection_evicted = len(self.host.connections) == 1
        self.close_gracefully("room is wanted")

    def close_gracefully(self, why: str) -> None:
        """Ends it from our side, with nothing open on it.

        Where tasks stand a release may be on its way: our half is closed, and what comes is read until the
        host closes the other. A close at once would lose it, and the second in which it must be told on."""
        assert self.stream is not None
        self.is_leaving = True
        self.host.remove_connection(self)
        if self.loop.now() - self.connected_at_ms > HOST.steady_ms:
            self.host.backoff.well()
        stands = self.pool.exchange.standing.get(self.host.name)
        if stands and self.stream.closed is None and self.pool.descriptors.leave(self):
            stream = self.stream
            stream.shut()
            self.loop.call_in(CLOSE_TIMEOUT_MS, lambda: stream.close(why))
        else:
            self.stream.close(why)

    def abort(self, why: str) -> None:
        """Ends it at once: its host is no longer at that address.

        One that still comes up would reach whoever is there now: it is ended when it is up, and what waits
        for it has not run. To close it before would need the connect called off."""
        self.is_leaving = True
        if self.stream is not None:
            self.stream.close(why)
            return
        self.host.remove_connection(self)
        waiting, self.waiting_attempts = self.waiting_attempts, []
        for attempt in waiting:
            attempt.link = None
            self.pool.report_outcome(attempt, DeliveryOutcome.NEVER_SENT)

    # ---- attempts ----

    def add_attempt(self, attempt: SetupAttempt) -> None:
        attempt.link, self.is_liveness_check = self, False
        self.last_used_at_ms = self.loop.now()
        self.pool.mark_changed(self.host)
        if self.stream is None:
            self.waiting_attempts.append(attempt)
        else:
            self._send_attempt(attempt)

    def _send_attempt(self, attempt: SetupAttempt) -> None:
        assert self.stream is not None
        held_back = self.pool.exchange.held_back(
            attempt, self.host.is_serving, self.pool.is_warming_up(self.host)
        )
        if self.is_closed_by_host and held_back is None:
            held_back = DeliveryOutcome.NEVER_SENT
        if held_back is not None:
            attempt.link = None
            self.pool.report_outcome(attempt, held_back)
            return
        data = attempt.setup_message(self.loop.now())
        self.sent_attempts[attempt] = self.stream.queued + len(data)
        self.write(data)

    def write(self, data: bytes) -> None:
        """Queues bytes; a stream that breaks on it is noticed by its reader."""
        if self.stream is not None:
            self.stream.put(data)

    def cancel_attempt(self, attempt: SetupAttempt) -> DeliveryOutcome:
        self.pool.mark_changed(self.host)
        if attempt in self.waiting_attempts:
            self.waiting_attempts.remove(attempt)
            return DeliveryOutcome.NEVER_UP
        end = self.sent_attempts.pop(attempt, None)
        if end is None or self.stream is None:
            return DeliveryOutcome.BROKEN
        if self.stream.written < end:
            self.stream.close("a set-up given up before it was sent whole")
            return DeliveryOutcome.NEVER_SENT
        if self.stream.closed is not None:
            return DeliveryOutcome.BROKEN
        self.is_unresponsive = True
        self.cancelled_task_ids.add(attempt.call.setup.task)
        self.write(m.caused(m.RELEASE, attempt.call.setup.task, m.GIVEN_UP))
        if self.stream.out or self.decoder.partial:
            self.stream.close("a give-up that can't be written, or an answer that stopped short")
        return DeliveryOutcome.SILENT

    def _run(self) -> Coroutine:
        try:
            self.stream = yield from connect(self.loop, self.address, self.pool.connect_ms)
        except ConnectError as error:
            self.pool.connection_limiter.ended(self.address)
            self.host.remove_connection(self)
            self.pool.descriptors.free(self)
            if self.is_leaving:
                return  # of an address that is no longer its host's
            if error.code in (errno.EMFILE, errno.ENFILE):
                # Ours: it says nothing of the host. A sweep would try again at once, and all the others too.
                fact, self.host.next_connect_at_ms = (
                    DeliveryOutcome.NEVER_SENT,
                    self.loop.now() + DESCRIPTOR_RETRY_MS,
                )
            else:
                self.pool.on_connect_failed(self.host, error.code == errno.ECONNREFUSED)
                fact = (
                    DeliveryOutcome.REFUSED if error.code == errno.ECONNREFUSED else DeliveryOutcome.NEVER_UP
                )
            while (
                self.waiting_attempts
            ):  # one that is taken back by what follows from another is no longer here
                self.pool.exchange.failed(self.waiting_attempts.pop(0), fact)
            return
        assert self.stream is not None
        self.pool.connection_limiter.ended(self.address)
        self.connected_at_ms = self.loop.now()
        self.stream.on_close.append(lambda _: self.pool.descriptors.free(self))
        if self.is_leaving:
            self.stream.close("its host has another address")
            return
        self.pool.on_connected(self.host, self)
        self.detect_close_by_host(polled=False)  # it may be taken and ended at once
        waiting, self.waiting_attempts = self.waiting_attempts, []
        for attempt in waiting:
            self._send_attempt(attempt)
        try:
            yield from self._read_messages(self.stream)
        except (StreamClosedError, m.PeerError) as error:
            self._handle_connection_lost(str(error))

    def _read_messages(self, stream: Stream) -> Coroutine:
        while True:
            data = yield from stream.read()
            if not data:
                raise StreamClosedError("the host closed it")
            self.last_used_at_ms = self.loop.now()
            self.host.record_bytes(self.last_used_at_ms)
            self.host.backoff.well()
            self.pool.on_host_heard(self.host)
            if self.is_unresponsive:
                self.is_unresponsive = False
                self.pool.mark_changed(self.host)
            self.decoder.feed(data)
            for message in self.decoder.messages():
                self._handle_message(message)
            self.pool.descriptors.file(self, used=True)

    def _handle_message(self, message: m.PlatformMessage) -> None:
        if self.pool.trace is not None:
            self.pool.trace.message(f"host {self.host.name}", message)
        if message.kind != m.TESTED:
            self.host.record_unsolicited_message(self.loop.now())
        if message.kind in (m.RELEASE, m.RELEASE_HEARD) and message.task in self.host.pending_releases:
            del self.host.pending_releases[message.task]
            self.pool.mark_changed(self.host)
        answered = next((a for a in self.sent_attempts if a.call.setup.task == message.task), None)
        if answered is not None and message.kind in (m.ANSWER, m.RELEASE):
            self.pool.mark_changed(self.host)
            del self.sent_attempts[answered]  # before the module may bind anew: this link is free again
        try:
            self.pool.exchange.host_says(self.host.name, self, message)
        except m.PeerError:
            if answered is not None:
                self.sent_attempts[answered] = (
                    0  # an answer that can't be read is none: it breaks with the link
                )
            raise
        if message.kind == m.RELEASE and not self.is_leaving:
            self.write(m.encode(m.RELEASE_HEARD, message.task))

    def _handle_connection_lost(self, why: str) -> None:
        """What was open on it comes back as what it is; what stands does not."""
        stream = self.stream
        assert stream is not None
        stream.close(why)
        self.host.remove_connection(self)
        for task in [task for task, link in self.host.pending_releases.items() if link is self]:
            if self.is_leaving:
                del self.host.pending_releases[task]  # all that was written before we ended it is read
            else:
                self.host.pending_releases[task] = None
        out, self.sent_attempts = self.sent_attempts, {}
        for attempt, end in out.items():
            whole = stream.written >= end
            self.pool.exchange.failed(
                attempt, DeliveryOutcome.BROKEN if whole else DeliveryOutcome.NEVER_SENT
            )
        if not self.is_leaving:
            self.pool.on_connection_lost(self.host, self, why)


class PooledHost(FailureDetector):
    """A host, its links, and what is known of whether it lives. `changed` is told of all that may bring
    forward when it has to be looked at; what only puts it off is found when that time comes."""

    def __init__(
        self, name: str, now: float, random: Random, number: int, changed: Callable[[PooledHost], None]
    ) -> None:
        super().__init__(now)
        self.name, self.creation_number, self.on_change = name, number, changed
        self.backoff = Backoff(HOST, random)  # between two connections, when it could not be reached
        self.address: tuple[str, int] = ("", 0)
        self.process_started_unix_ms: float | None = (
            None  # its process, as the list told last: Unix milliseconds
        )
        self.connections: dict[HostConnection, None] = {}  # in the order in which they were made
        self.next_connect_at_ms = 0.0
        self.pending_releases: dict[
            int, HostConnection | None
        ] = {}  # releases that it has not said it heard, and where they went

    def remove_connection(self, link: HostConnection) -> None:
        if link in self.connections:
            del self.connections[link]
            self.on_change(self)

    # ---- what is observed of it ----

    def record_removed(self, now_ms: float) -> None:
        if not self.is_removed:
            self.on_change(self)
        super().record_removed(now_ms)

    def record_listed(self, *, draining: bool) -> None:
        if self.is_removed or self.is_draining != draining:
            self.on_change(self)
        super().record_listed(draining=draining)

    def record_connected(self, now_ms: float) -> None:
        super().record_connected(now_ms)
        self.on_change(self)

    def record_connect_failure(self, now_ms: float, *, refused: bool, disconnected: bool) -> None:
        super().record_connect_failure(now_ms, refused=refused, disconnected=disconnected)
        self.on_change(self)

    def record_connection_lost(self, now_ms: float, *, idle: bool, disconnected: bool) -> bool:
        self.on_change(self)
        return super().record_connection_lost(now_ms, idle=idle, disconnected=disconnected)

    @property
    def unsent_releases(self) -> list[int]:
        """Releases that no open link carries."""
        return [task for task, link in self.pending_releases.items() if link is None]

    @property
    def is_serving(self) -> bool:
        """Something new may be sent there, by the list."""
        return not (self.is_removed or self.is_draining)

    @property
    def is_disconnected(self) -> bool:
        """No link to it is up."""
        return all(link.stream is None for link in self.connections)

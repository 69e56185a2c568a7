"""One connection to a host: set-ups out, answers and releases in.

A connection reports facts to the exchange (`DeliveryOutcome`) and to the pool; what they mean for a task is
the exchange's to decide, what they mean for the host the failure detector's. `connection_pool.py` opens them.
"""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING, Protocol, TypeAlias

from glencleat.descriptor_budget import DescriptorBudget, EvictionPriority, PeerKind
from glencleat.event_loop import ConnectError, Loop, Stream, StreamClosedError, connect
from glencleat.event_loop.loop import Coroutine
from glencleat.flow_control.backoff import HOST_BACKOFF
from glencleat.flow_control.connection_limiter import ConnectionLimiter
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.delivery import DeliveryOutcome
from glencleat.platform_protocol.exchange import Exchange, SetupAttempt
from glencleat.platform_server.pooled_host import PooledHost

if TYPE_CHECKING:
    from glencleat.platform_server.trace import Trace

DESCRIPTOR_RETRY_MS = 800.0
"""Until the next connect after one that failed because our process had no descriptor."""

LIVENESS_CHECK_MS = 500.0
"""After a connection comes up: what the host still owed us has come by then."""

CLOSE_TIMEOUT_MS = 500.0
"""The time a host has to close a connection whose own half we have closed."""

Host: TypeAlias = "PooledHost[HostConnection]"
"""A host with its connections."""


class ConnectionPoolPort(Protocol):
    """What a connection needs of the pool that opened it."""

    loop: Loop
    connection_limiter: ConnectionLimiter
    descriptors: DescriptorBudget
    exchange: Exchange
    connect_ms: float
    trace: Trace | None

    def report_outcome(self, attempt: SetupAttempt, outcome: DeliveryOutcome) -> None:
        """Reports to the exchange, once it has finished what it is doing, that an attempt has failed."""

    def is_warming_up(self, host: Host) -> bool:
        """Whether the host started a short time ago, by the machine list."""

    def on_connected(self, host: Host, connection: HostConnection) -> None:
        """The connection has come up."""

    def on_host_heard(self, host: Host) -> None:
        """The host was heard, or a connection to it came up."""

    def on_connect_failed(self, host: Host, *, refused: bool) -> None:
        """A connect failed, for a reason other than a want of descriptors."""

    def on_connection_lost(self, host: Host, connection: HostConnection, reason: str) -> None:
        """A connection that we had not begun to close has ended."""

    def mark_changed(self, host: Host) -> None:
        """The host may have to be maintained earlier than planned."""


class HostConnection:
    """One connection to a host, from before it is up until it has ended or is left to end.

    It is a `DescriptorHolder` of the descriptor budget.
    """

    peer_kind = PeerKind.HOSTS

    def __init__(self, pool: ConnectionPoolPort, host: Host, *, is_liveness_check: bool) -> None:
        """Begins to connect to the host's address.

        Args:
            pool: The pool that opens it.
            host: The host to connect to.
            is_liveness_check: It is opened beside another to see whether the host lives, and is not kept
                unless it is used.
        """
        self.pool = pool
        self.host = host
        self.loop = pool.loop
        self.address = host.address  # the host may have another by the time that this comes up
        self.is_liveness_check = is_liveness_check
        # We end it: nothing more is sent, and its end says nothing of the host.
        self.is_closing = False
        # The host has closed it: what it said before is read, nothing more is sent.
        self.is_closed_by_host = False
        self.connected_at_ms = 0.0
        self.stream: Stream | None = None  # from when it is up
        self.decoder = m.MessageDecoder()
        self.waiting_attempts: list[SetupAttempt] = []  # until it is up
        self.sent_attempts: dict[SetupAttempt, int] = {}  # the position in the stream at which each ends
        # A late answer to a cancelled attempt would be taken for that to a retry of the task.
        self.cancelled_task_ids: set[int] = set()
        # An attempt had no answer here, and nothing was heard since.
        self.is_unresponsive = False
        self.last_used_at_ms = self.loop.now()
        pool.connection_limiter.record_connect_begin(self.address, self.last_used_at_ms)
        self.loop.spawn(self._run(), "host link")

    @property
    def open_attempt_count(self) -> int:
        """Attempts that wait for the connection or for an answer on it."""
        return len(self.waiting_attempts) + len(self.sent_attempts)

    @property
    def is_idle(self) -> bool:
        """It is up, with no attempt open on it."""
        return self.stream is not None and not self.open_attempt_count

    def detect_close_by_host(self, *, has_polled: bool = True) -> bool:
        """Whether the host has closed it; what is sent after that is lost, and nobody could tell if unread.

        Args:
            has_polled: The poller had a chance to report the close, so the system is only asked where it
                reported something.
        """
        if (
            self.stream is not None
            and (self.stream.is_readable or not has_polled)
            and self.stream.has_peer_closed()
        ):
            self.is_closed_by_host = True
        return self.is_closed_by_host

    # ---- DescriptorHolder ----

    def eviction_priority(self) -> EvictionPriority:
        """What its descriptor is held for now."""
        host = self.host
        if not self.is_idle:
            return EvictionPriority.PINNED
        others_up = (
            other
            for other in host.connections
            if other is not self and other.stream is not None and not other.is_unresponsive
        )
        # A liveness check goes before the connection that it is beside.
        is_replaceable = any(self.is_liveness_check or not other.is_liveness_check for other in others_up)
        if is_replaceable or not (
            self.pool.exchange.placed_calls_by_host.get(host.name) or host.unsent_releases
        ):
            return EvictionPriority.SPARE
        if host.is_draining:
            return EvictionPriority.PINNED  # the host takes no new connection while its tasks run
        if self.loop.now() - self.connected_at_ms > LIVENESS_CHECK_MS:
            return EvictionPriority.ONLY_CONNECTION
        return EvictionPriority.NEW_ONLY_CONNECTION

    def read_pending(self) -> None:
        """Nothing to do: what is unread is read after the connection is left."""

    def evict(self) -> None:
        """Ends it so that its descriptor may serve another."""
        self.host.is_connection_evicted = len(self.host.connections) == 1
        self.close_gracefully("room is wanted")

    # ---- closing ----

    def close_gracefully(self, reason: str) -> None:
        """Ends it from our side, with no attempt open on it.

        Where tasks stand a release may be on its way: our half is closed, and what comes is read until the
        host closes the other. An immediate close would lose the release, and the second in which it must be
        passed on.
        """
        assert self.stream is not None
        self.is_closing = True
        self.host.remove_connection(self)
        if self.loop.now() - self.connected_at_ms > HOST_BACKOFF.reset_after_ms:
            self.host.backoff.reset()
        has_standing_tasks = self.pool.exchange.placed_calls_by_host.get(self.host.name)
        if (
            has_standing_tasks
            and self.stream.close_reason is None
            and self.pool.descriptors.begin_close(self)
        ):
            stream = self.stream
            stream.shutdown_write()
            self.loop.call_in(CLOSE_TIMEOUT_MS, lambda: stream.close(reason))
        else:
            self.stream.close(reason)

    def abort(self, reason: str) -> None:
        """Ends it at once: its host is no longer at that address.

        A connection that still comes up would reach whoever is there now: it is ended when it is up, and what
        waits for it has not run. To close it before would need the connect called off.
        """
        self.is_closing = True
        if self.stream is not None:
            self.stream.close(reason)
            return
        self.host.remove_connection(self)
        waiting_attempts = self.waiting_attempts
        self.waiting_attempts = []
        for attempt in waiting_attempts:
            attempt.connection = None
            self.pool.report_outcome(attempt, DeliveryOutcome.NOT_SENT)

    # ---- attempts ----

    def add_attempt(self, attempt: SetupAttempt) -> None:
        """Sends an attempt, now or when the connection is up."""
        attempt.connection = self
        self.is_liveness_check = False
        self.last_used_at_ms = self.loop.now()
        self.pool.mark_changed(self.host)
        if self.stream is None:
            self.waiting_attempts.append(attempt)
        else:
            self._send_attempt(attempt, self.stream)

    def _send_attempt(self, attempt: SetupAttempt, stream: Stream) -> None:
        is_warming_up = self.pool.is_warming_up(self.host)
        outcome = self.pool.exchange.check_send(attempt, self.host.is_serving, is_warming_up)
        if self.is_closed_by_host and outcome is None:
            outcome = DeliveryOutcome.NOT_SENT
        if outcome is not None:
            attempt.connection = None
            self.pool.report_outcome(attempt, outcome)
            return
        data = attempt.encode_setup(self.loop.now())
        self.sent_attempts[attempt] = stream.queued_bytes + len(data)
        stream.try_send(data)

    def write(self, data: bytes) -> None:
        """Queues bytes if it is up; a stream that breaks on them is noticed by its reader."""
        if self.stream is not None:
            self.stream.try_send(data)

    def cancel_attempt(self, attempt: SetupAttempt) -> DeliveryOutcome:
        """Takes back an attempt and returns what is known of its delivery.

        The cancellation is written to the host where the whole set-up was; else the connection is closed.
        """
        self.pool.mark_changed(self.host)
        if attempt in self.waiting_attempts:
            self.waiting_attempts.remove(attempt)
            return DeliveryOutcome.CONNECT_TIMEOUT
        end = self.sent_attempts.pop(attempt, None)
        if end is None or self.stream is None:
            return DeliveryOutcome.CONNECTION_LOST
        if self.stream.written_bytes < end:
            self.stream.close("a set-up given up before it was sent whole")
            return DeliveryOutcome.NOT_SENT
        if self.stream.close_reason is not None:
            return DeliveryOutcome.CONNECTION_LOST
        self.is_unresponsive = True
        self.cancelled_task_ids.add(attempt.call.setup.task_id)
        self.write(m.encode_with_cause(m.RELEASE, attempt.call.setup.task_id, m.CANCELLED))
        if self.stream.send_buffer or self.decoder.has_partial_message:
            self.stream.close("a give-up that can't be written, or an answer that stopped short")
        return DeliveryOutcome.ANSWER_TIMEOUT

    # ---- the connection's coroutine ----

    def _run(self) -> Coroutine:
        try:
            self.stream = yield from connect(self.loop, self.address, self.pool.connect_ms)
        except ConnectError as error:
            self._handle_connect_error(error)
            return
        stream = self.stream
        self.pool.connection_limiter.record_connect_end(self.address)
        self.connected_at_ms = self.loop.now()
        stream.close_callbacks.append(lambda _: self.pool.descriptors.remove_holder(self))
        if self.is_closing:
            stream.close("its host has another address")
            return
        self.pool.on_connected(self.host, self)
        self.detect_close_by_host(has_polled=False)  # it may be accepted and closed at once
        waiting_attempts = self.waiting_attempts
        self.waiting_attempts = []
        for attempt in waiting_attempts:
            self._send_attempt(attempt, stream)
        try:
            yield from self._read_messages(stream)
        except (StreamClosedError, m.ProtocolError) as error:
            self._handle_connection_lost(stream, str(error))

    def _handle_connect_error(self, error: ConnectError) -> None:
        self.pool.connection_limiter.record_connect_end(self.address)
        self.host.remove_connection(self)
        self.pool.descriptors.remove_holder(self)
        if self.is_closing:
            return  # of an address that is no longer its host's
        is_refused = error.code == errno.ECONNREFUSED
        if error.code in (errno.EMFILE, errno.ENFILE):
            # Our fault: it says nothing of the host. Every tick would try again at once, for every host.
            outcome = DeliveryOutcome.NOT_SENT
            self.host.next_connect_at_ms = self.loop.now() + DESCRIPTOR_RETRY_MS
        else:
            self.pool.on_connect_failed(self.host, refused=is_refused)
            outcome = DeliveryOutcome.REFUSED if is_refused else DeliveryOutcome.CONNECT_TIMEOUT
        while self.waiting_attempts:  # one failure may make the exchange cancel another attempt of these
            self.pool.exchange.on_attempt_failed(self.waiting_attempts.pop(0), outcome)

    def _read_messages(self, stream: Stream) -> Coroutine:
        while True:
            data = yield from stream.read()
            if not data:
                raise StreamClosedError("the host closed it")
            self.last_used_at_ms = self.loop.now()
            self.host.record_bytes(self.last_used_at_ms)
            self.host.backoff.reset()
            self.pool.on_host_heard(self.host)
            if self.is_unresponsive:
                self.is_unresponsive = False
                self.pool.mark_changed(self.host)
            self.decoder.feed(data)
            for message in self.decoder.messages():
                self._handle_message(message)
            self.pool.descriptors.update_priority(self, was_used=True)

    def _handle_message(self, message: m.PlatformMessage) -> None:
        host = self.host
        if self.pool.trace is not None:
            self.pool.trace.record_message(f"host {host.name}", message)
        if message.kind != m.PROBE_ANSWER:
            host.record_unsolicited_message(self.loop.now())
        if message.kind in (m.RELEASE, m.RELEASE_COMPLETE) and message.task_id in host.pending_releases:
            del host.pending_releases[message.task_id]
            self.pool.mark_changed(host)
        answered = next((a for a in self.sent_attempts if a.call.setup.task_id == message.task_id), None)
        if answered is not None and message.kind in (m.ANSWER, m.RELEASE):
            self.pool.mark_changed(host)
            # Before the policy may bind anew: this connection is free again.
            del self.sent_attempts[answered]
        try:
            self.pool.exchange.on_host_message(host.name, self, message)
        except m.ProtocolError:
            if answered is not None:
                # An answer that can't be read is none: the attempt fails with the connection.
                self.sent_attempts[answered] = 0
            raise
        if message.kind == m.RELEASE and not self.is_closing:
            self.write(m.encode(m.RELEASE_COMPLETE, message.task_id))

    def _handle_connection_lost(self, stream: Stream, reason: str) -> None:
        """Fails the attempts that were open on it; tasks that stand are not affected."""
        stream.close(reason)
        self.host.remove_connection(self)
        self._unassign_releases()
        sent_attempts = self.sent_attempts
        self.sent_attempts = {}
        for attempt, end in sent_attempts.items():
            is_sent_whole = stream.written_bytes >= end
            outcome = DeliveryOutcome.CONNECTION_LOST if is_sent_whole else DeliveryOutcome.NOT_SENT
            self.pool.exchange.on_attempt_failed(attempt, outcome)
        if not self.is_closing:
            self.pool.on_connection_lost(self.host, self, reason)

    def _unassign_releases(self) -> None:
        pending_releases = self.host.pending_releases
        for task in [task for task, carrier in pending_releases.items() if carrier is self]:
            if self.is_closing:
                del pending_releases[task]  # all that was written before we ended it is read
            else:
                pending_releases[task] = None

"""One connection to a host: sends set-ups, receives answers and releases.

A connection reports delivery outcomes to the exchange, which decides what they mean for a task, and its own
state to the pool, whose failure detector decides what that means for the host. `connection_pool.py` opens
connections.
"""

from __future__ import annotations

import errno
from typing import TypeAlias

from glencleat.descriptor_budget import EvictionPriority, PeerKind
from glencleat.event_loop import ConnectError, Stream, StreamClosedError, connect
from glencleat.event_loop.loop import Coroutine
from glencleat.flow_control.backoff import HOST_BACKOFF
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.delivery import DeliveryOutcome
from glencleat.platform_protocol.setup_calls import SetupAttempt
from glencleat.platform_server.connection_pool_port import ConnectionPoolPort
from glencleat.platform_server.incarnations import NOT_YET, ConnectionEvidence
from glencleat.platform_server.pooled_host import PooledHost

DESCRIPTOR_RETRY_MS = 800.0
"""The wait before the next connect after one that failed because this process had no free descriptor."""

LIVENESS_CHECK_MS = 500.0
"""The time after a connection opens within which the host resends all unacknowledged releases.

Until then the only connection to a host with placed tasks is evicted after all others that may be evicted."""

CLOSE_TIMEOUT_MS = 500.0
"""How long a host may take to close a connection after this process has closed its own half."""

Host: TypeAlias = "PooledHost[HostConnection]"
"""A host of the pool, with its connections."""


class HostConnection:
    """One connection to a host, from the start of its connect until it is closed or closing.

    It implements the descriptor budget's `DescriptorHolder`.
    """

    peer_kind = PeerKind.HOSTS

    def __init__(
        self, pool: ConnectionPoolPort[HostConnection], host: Host, *, is_liveness_check: bool
    ) -> None:
        """Begins to connect to the host's address.

        Args:
            pool: The pool that opens it.
            host: The host to connect to.
            is_liveness_check: True for a further connection that is opened to check that the host is alive.
                It is kept only if an attempt is sent on it, or while no other connection is healthy.
        """
        self.pool = pool
        self.host = host
        self.loop = pool.loop
        self.address = host.address  # `host.address` may change before this connection opens
        self.is_liveness_check = is_liveness_check
        # Closed by this process: nothing more is sent, and its end is no evidence about the host.
        self.is_closing = False
        # Closed by the host: what was sent before is still read, nothing more is sent.
        self.is_closed_by_host = False
        self.was_aborted = False  # its host is no longer known to be at that address
        self.evidence = ConnectionEvidence(pool.event_order.next_moment())
        self.connected_at_ms = 0.0
        self.stream: Stream | None = None  # None until it is open
        self.decoder = m.MessageDecoder()
        self.waiting_attempts: list[SetupAttempt] = []  # until it is open
        self.sent_attempts: dict[SetupAttempt, int] = {}  # the stream offset at which each set-up ends
        # Task ids whose attempt was cancelled here. The pool doesn't send them on this connection again: a
        # late answer would be taken for the answer to the retry.
        self.cancelled_task_ids: set[int] = set()
        # An attempt got no answer on it, and nothing was received since.
        self.is_unresponsive = False
        self.health_check_token: int | None = None  # of the last one that was sent on it
        self.health_check_moment = NOT_YET
        self.half_closed_moment = NOT_YET  # closed by this process, while the host had not closed it
        self.last_used_at_ms = self.loop.now()
        pool.connection_limiter.record_connect_begin(self.address, self.last_used_at_ms)
        self.loop.spawn(self._run(), "host connection")

    @property
    def open_attempt_count(self) -> int:
        """The number of attempts that wait for the connection to open or for an answer."""
        return len(self.waiting_attempts) + len(self.sent_attempts)

    @property
    def is_open(self) -> bool:
        """Whether it is established and not closed by this process."""
        return self.stream is not None and self.stream.close_reason is None

    @property
    def is_idle(self) -> bool:
        """Whether it is open and nothing is awaited on it."""
        return self.stream is not None and not (self.open_attempt_count or self.is_unconfirmed)

    @property
    def was_reset(self) -> bool:
        """Whether the host has reset it, which ended it."""
        return self.stream is not None and self.stream.error_code == errno.ECONNRESET

    @property
    def is_unconfirmed(self) -> bool:
        """Whether it may reach a former process of the host, by the machine list's last word."""
        change = self.host.process_record.change
        return change is not None and self in change.unconfirmed

    @property
    def is_health_check_pending(self) -> bool:
        """Whether the last health check that was sent on it has not been answered."""
        return self.evidence.answered_moment < self.health_check_moment

    def detect_close_by_host(self) -> bool:
        """Checks whether the host has closed the connection by now, and records it.

        What is sent after the close may be lost without notice.
        """
        if self.stream is not None and self.stream.has_peer_closed():
            self.is_closed_by_host = True
        return self.is_closed_by_host

    # ---- DescriptorHolder ----

    def eviction_priority(self) -> EvictionPriority:
        """Returns its current eviction priority."""
        host = self.host
        if not self.is_idle:
            return EvictionPriority.PINNED
        others_up = (
            other
            for other in host.connections
            if other is not self and other.stream is not None and not other.is_unresponsive
        )
        # A liveness check is evicted before the connection that it was opened in addition to.
        is_replaceable = any(self.is_liveness_check or not other.is_liveness_check for other in others_up)
        if is_replaceable or not (
            self.pool.exchange.placed_calls_by_host.get(host.name) or host.unsent_releases
        ):
            return EvictionPriority.SPARE
        if host.is_draining:
            return EvictionPriority.PINNED  # the host accepts no new connection while its tasks run
        if self.loop.now() - self.connected_at_ms > LIVENESS_CHECK_MS:
            return EvictionPriority.ONLY_CONNECTION
        return EvictionPriority.NEW_ONLY_CONNECTION

    def read_pending(self) -> None:
        """Does nothing; the `DescriptorHolder` port requires it.

        While the host has placed tasks, `close_gracefully` continues to read until the host closes.
        """

    def evict(self) -> None:
        """Closes it to free its descriptor."""
        self.host.is_connection_evicted = len(self.host.connections) == 1
        self.close_gracefully("evicted to free its descriptor")

    # ---- closing ----

    def close_gracefully(self, reason: str) -> None:
        """Closes a connection that carries no open attempt.

        If the host has placed tasks, a release may be in transit: only this side's half is closed, and data
        is read until the host closes the other. An immediate close would lose the release, which must be
        forwarded within a second.
        """
        assert self.stream is not None
        self.is_closing = True
        self._leave_host()
        if self.loop.now() - self.connected_at_ms > HOST_BACKOFF.reset_after_ms:
            self.host.backoff.reset()
        has_placed_tasks = self.pool.exchange.placed_calls_by_host.get(self.host.name)
        if has_placed_tasks and self.stream.close_reason is None and self.pool.descriptors.begin_close(self):
            stream = self.stream
            if not self.detect_close_by_host():
                self.half_closed_moment = self.pool.event_order.next_moment()
            stream.shutdown_write()
            self.loop.call_in(CLOSE_TIMEOUT_MS, lambda: stream.close(reason))
        else:
            self.stream.close(reason)

    def abort(self, reason: str) -> None:
        """Closes it at once, since its host's process is no longer known to be at that address.

        A connect in progress may reach the host that has the address now. It is not cancelled; the connection
        is closed as soon as it opens, and the attempts that wait for it were not sent.
        """
        self.is_closing = self.was_aborted = True
        if self.stream is not None:
            self.stream.close(reason)
            return
        self._leave_host()
        waiting_attempts = self.waiting_attempts
        self.waiting_attempts = []
        for attempt in waiting_attempts:
            attempt.connection = None
            self.pool.report_outcome(attempt, DeliveryOutcome.NOT_SENT)

    # ---- attempts ----

    def add_attempt(self, attempt: SetupAttempt) -> None:
        """Sends an attempt, now or when the connection opens."""
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
        attempt.sent_moment = self.pool.event_order.next_moment()
        self.evidence.has_sent_since = True
        data = attempt.encode_setup(self.loop.now())
        self.sent_attempts[attempt] = stream.queued_bytes + len(data)
        stream.try_send(data)

    def write(self, data: bytes) -> None:
        """Queues bytes if the connection is open; after a write error `_read_messages` ends."""
        if self.stream is not None:
            self.evidence.has_sent_since = True
            self.stream.try_send(data)

    def send_health_check(self) -> None:
        """Sends a health check, whose answer or reset shows what has become of the host's process.

        It counts as a use, so that the connection isn't closed as unneeded before that.
        """
        self.last_used_at_ms = self.loop.now()
        token = self.health_check_token = self.pool.exchange.load_probes.allocate_token()
        self.health_check_moment = self.pool.event_order.next_moment()
        self.write(m.encode_with_cause(m.PROBE, token, 0))

    def cancel_attempt(self, attempt: SetupAttempt) -> DeliveryOutcome:
        """Cancels an attempt and returns what is known of its delivery.

        If the complete set-up was written, a cancellation is written too; otherwise the connection is closed.
        """
        self.pool.mark_changed(self.host)
        if attempt in self.waiting_attempts:
            self.waiting_attempts.remove(attempt)
            return DeliveryOutcome.CONNECT_TIMEOUT
        end = self.sent_attempts.pop(attempt, None)
        if end is None or self.stream is None:
            return DeliveryOutcome.CONNECTION_LOST
        if self.stream.written_bytes < end:
            self.stream.close("a set-up was cancelled before it was written completely")
            return DeliveryOutcome.NOT_SENT
        if self.stream.close_reason is not None:
            return DeliveryOutcome.CONNECTION_LOST
        self.is_unresponsive = True
        self.cancelled_task_ids.add(attempt.call.setup.task_id)
        self.write(m.encode_with_cause(m.RELEASE, attempt.call.setup.task_id, m.CANCELLED))
        if self.stream.send_buffer or self.decoder.has_partial_message:
            self.stream.close("a cancellation can't be written, or an answer is incomplete")
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
            stream.close("the host's address has changed")
            return
        self.evidence.record_opened(self.pool.event_order.next_moment(), self.connected_at_ms)
        self.host.process_record.history.add(self.evidence)
        self.pool.on_connected(self.host, self)
        self.detect_close_by_host()  # the host may accept and close it at once
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
        self._leave_host()
        self.pool.descriptors.remove_holder(self)
        if self.is_closing:
            return  # the address is no longer its host's
        is_refused = error.code == errno.ECONNREFUSED
        if error.code in (errno.EMFILE, errno.ENFILE):
            # A local fault, which is no evidence about the host. Without the wait every tick would retry the
            # connects to all hosts.
            outcome = DeliveryOutcome.NOT_SENT
            self.host.next_connect_at_ms = self.loop.now() + DESCRIPTOR_RETRY_MS
        else:
            self.pool.on_connect_failed(self.host, refused=is_refused)
            outcome = DeliveryOutcome.REFUSED if is_refused else DeliveryOutcome.CONNECT_TIMEOUT
        while self.waiting_attempts:  # `on_attempt_failed` may cancel others, which removes them
            self.pool.exchange.on_attempt_failed(self.waiting_attempts.pop(0), outcome)

    def _read_messages(self, stream: Stream) -> Coroutine:
        while True:
            data = yield from stream.read()
            if not data:
                self.is_closed_by_host = True
                raise StreamClosedError("the host closed the connection")
            self.last_used_at_ms = self.loop.now()
            self.host.record_bytes(self.last_used_at_ms)
            self.evidence.record_heard(self.last_used_at_ms)
            self.host.restart_detector.record_received(self)
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
        elif message.task_id == self.health_check_token:
            self._record_answer(self.health_check_moment)
        if message.kind in (m.OBSERVATION, m.RELEASE):
            self.pool.record_task_message(host, message.task_id)
        if message.kind in (m.RELEASE, m.RELEASE_COMPLETE) and message.task_id in host.pending_releases:
            del host.pending_releases[message.task_id]
            self.pool.mark_changed(host)
        answered_attempt = next(
            (a for a in self.sent_attempts if a.call.setup.task_id == message.task_id), None
        )
        if answered_attempt is not None and message.kind in (m.ANSWER, m.RELEASE):
            self.pool.mark_changed(host)
            # Removed before the exchange runs: the policy may bind another call, which can use this
            # connection.
            del self.sent_attempts[answered_attempt]
            self._record_answer(answered_attempt.sent_moment)
        try:
            self.pool.exchange.on_host_message(host.name, self, message)
        except m.ProtocolError:
            if answered_attempt is not None:
                # A malformed answer is no answer: the attempt fails with the connection. Offset 0 counts as
                # completely written, so its outcome is CONNECTION_LOST.
                self.sent_attempts[answered_attempt] = 0
            raise
        # Nothing can be written on a closing connection; the host sends the release again on the next one.
        if message.kind == m.RELEASE and not self.is_closing:
            self.pool.acknowledge_release(self, message.task_id)

    def _record_answer(self, sent_moment: int) -> None:
        """The host has answered what was sent at `sent_moment`, so its process ran then."""
        self.host.process_record.history.record_answer(self.evidence, sent_moment)
        self.pool.on_answer(self.host, self, sent_moment)

    def _leave_host(self) -> None:
        self.host.remove_connection(self)
        self.evidence.is_closed_here = self.is_closing
        self.host.process_record.history.record_closed(self.evidence)
        self.pool.on_connection_ended(self.host, self)

    def _handle_connection_lost(self, stream: Stream, reason: str) -> None:
        """Fails the attempts that were open on it; placed tasks are not affected."""
        if self.half_closed_moment != NOT_YET and self.is_closed_by_host:
            self._record_answer(self.half_closed_moment)
        elif not self.is_closing:
            self.evidence.record_ended(self.pool.event_order.next_moment(), self.loop.now())
        stream.close(reason)
        self._leave_host()
        self._unassign_releases()
        sent_attempts, self.sent_attempts = self.sent_attempts, {}
        for attempt, end in sent_attempts.items():
            is_completely_sent = stream.written_bytes >= end
            outcome = DeliveryOutcome.CONNECTION_LOST if is_completely_sent else DeliveryOutcome.NOT_SENT
            self.pool.exchange.on_attempt_failed(attempt, outcome)
        if not self.is_closing:
            self.pool.on_connection_lost(self.host, self, reason)

    def _unassign_releases(self) -> None:
        pending_releases = self.host.pending_releases
        for task in [task for task, connection in pending_releases.items() if connection is self]:
            if self.is_closing and not self.was_aborted:
                # Not sent again: the host reads all that was written before the graceful close.
                del pending_releases[task]
            else:
                pending_releases[task] = None

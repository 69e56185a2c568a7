"""Which connections of a host reach the same process, and which process runs a task. No I/O, no other clock.

When the machine list tells that a new process runs at an address, each task placed there runs either in the
former process, and has ended, or in the new one. The list's time stamps don't tell them apart: they come from
another clock, and a process may answer after the start that is told of its successor. Connections do, since
each reaches one process for as long as it lasts:

    observation about the connection on which the host last reported on the task     the task
    it began after the list's event                                                  runs
    it has answered what was sent on it after the list's event                       runs
    it reaches the same process as a connection that has                             runs
    it ended before, and opened after all connections to the host had been lost      uncertain
    it ended while a connection was open that has answered since                     uncertain
    this process closed it, and no connection to the same process was lost           uncertain
    the process it reaches was first reached when the list might not yet tell of it  uncertain
    there is none: a client handed the task over, and the host has not reported it   uncertain
    any other                                                                        is lost

`task_leases.py` decides until when an uncertain task stands.

An answer to what was sent at some moment shows that the process ran then, so a connection that opened before
and answered after the opening of another one reaches the same process. Moments are numbered in the order in
which this process observes them (`EventOrder`): no clock can put them in the wrong order.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from glencleat.platform_protocol.command_channel import MAX_LIST_DELAY_MS
from glencleat.platform_server.failure_detector import NEVER

RECENT_LOSS_MS = MAX_LIST_DELAY_MS
"""An older loss is not explained by a process change that the machine list tells now."""

MAX_CLOSED = 64
"""Closed connections of a host that are kept until an older one answers."""

NOT_YET = -1
"""The number of a moment that has not come."""

HostT = TypeVar("HostT")
ConnectionT = TypeVar("ConnectionT")


class EventOrder:
    """Numbers the moments of a connection pool.

    >>> order = EventOrder()
    >>> order.next_moment(), order.next_moment()
    (1, 2)
    """

    def __init__(self) -> None:
        """Starts before the first moment."""
        self.last_moment = 0

    def next_moment(self) -> int:
        """Returns the number of a new moment, which is later than all others."""
        self.last_moment += 1
        return self.last_moment


class Incarnation:
    """One process at an address, as far as connections show that they reach the same one."""

    __slots__ = (
        "answered_moment",
        "first_opened_at_ms",
        "has_lost_connection",
        "is_end_suspected",
        "last_sign_at_ms",
        "lost_at_ms",
        "merged_into",
        "open_count",
    )

    def __init__(self) -> None:
        """Starts as that of one connection, with no answer."""
        self.answered_moment = NOT_YET  # the latest moment at which it is known to have run
        self.has_lost_connection = False  # the host has ended one, as it does when its process ends
        self.open_count = 0  # connections to it that are open
        self.is_end_suspected = False  # its last connection was not closed by this process
        self.first_opened_at_ms = NEVER  # when the first of its connections opened
        self.last_sign_at_ms = -NEVER  # when it was last known to run
        self.lost_at_ms = -NEVER  # when the end of a connection was last noticed
        self.merged_into: Incarnation | None = None

    def find_representative(self) -> Incarnation:
        """Returns the incarnation that stands for all that were merged with this one."""
        found = self
        while found.merged_into is not None:
            found = found.merged_into
        return found

    def merge(self, other: Incarnation) -> None:
        """Records that the two are the same process."""
        kept, merged = self.find_representative(), other.find_representative()
        if kept is not merged:
            merged.merged_into = kept
            kept.answered_moment = max(kept.answered_moment, merged.answered_moment)
            kept.has_lost_connection = kept.has_lost_connection or merged.has_lost_connection
            if merged.lost_at_ms > kept.lost_at_ms:
                kept.is_end_suspected = merged.is_end_suspected
            kept.open_count += merged.open_count
            kept.first_opened_at_ms = min(kept.first_opened_at_ms, merged.first_opened_at_ms)
            kept.last_sign_at_ms = max(kept.last_sign_at_ms, merged.last_sign_at_ms)
            kept.lost_at_ms = max(kept.lost_at_ms, merged.lost_at_ms)


class ConnectionEvidence:
    """What a connection shows about the process that it reaches."""

    __slots__ = (
        "answered_moment",
        "began_moment",
        "ended_moment",
        "has_sent_since",
        "incarnation",
        "is_closed_here",
        "is_unanswered",
        "opened_at_ms",
        "opened_moment",
    )

    def __init__(self, began_moment: int) -> None:
        """Starts with a connect that began at `began_moment`."""
        self.began_moment = began_moment
        self.opened_moment = NOT_YET
        self.opened_at_ms = NEVER
        self.answered_moment = NOT_YET  # the latest at which something was sent on it that was answered
        self.ended_moment = NOT_YET  # the host ended it, by a reset or a close
        self.has_sent_since = False  # something was sent on it that wants an answer, and nothing came since
        self.is_closed_here = False  # by this process, which shows nothing about the host's
        self.is_unanswered = False  # the host does not answer on it, and does on a newer one
        self.incarnation = Incarnation()

    def record_opened(self, moment: int, now_ms: float) -> None:
        """The connection has opened."""
        self.opened_moment, self.opened_at_ms = moment, now_ms
        incarnation = self.incarnation.find_representative()
        incarnation.first_opened_at_ms = min(incarnation.first_opened_at_ms, now_ms)
        incarnation.last_sign_at_ms = now_ms

    def record_heard(self, now_ms: float) -> None:
        """Bytes were received on the connection."""
        self.has_sent_since = False
        self.incarnation.find_representative().last_sign_at_ms = now_ms

    def record_answer(self, sent_moment: int) -> None:
        """The host has answered what was sent on the connection at `sent_moment`, so its process ran then."""
        self.answered_moment = max(self.answered_moment, sent_moment)
        representative = self.incarnation.find_representative()
        representative.answered_moment = max(representative.answered_moment, sent_moment)

    def record_ended(self, moment: int, now_ms: float) -> None:
        """The host has ended the connection.

        If that follows something that was sent, its process may have ended long before: a machine that is
        back resets connections of former processes when it receives something on them.
        """
        self.ended_moment = moment
        incarnation = self.incarnation.find_representative()
        incarnation.has_lost_connection, incarnation.lost_at_ms = True, now_ms
        if not self.has_sent_since:
            incarnation.last_sign_at_ms = now_ms

    def record_unanswered(self) -> None:
        """The host does not answer on the connection, and does on a newer one: its process has ended."""
        self.is_unanswered = True
        incarnation = self.incarnation.find_representative()
        incarnation.lost_at_ms = max(incarnation.lost_at_ms, incarnation.last_sign_at_ms)

    def reaches_process_of(self, other: ConnectionEvidence) -> bool:
        """Whether both reach the same process, by an answer on this one.

        Either the other connection was accepted while the process of this one ran, or the processes of both
        ran at the moment at which the second of the two had opened.
        """
        if self.opened_moment < other.began_moment and other.opened_moment < self.answered_moment:
            return True
        return max(self.opened_moment, other.opened_moment) < min(self.answered_moment, other.answered_moment)


class ConnectionHistory:
    """The connections of a host that an answer on an older one may show to reach the same process.

    These are the open ones, and closed ones of which no answer has shown that yet.
    """

    def __init__(self) -> None:
        """Starts without connections."""
        self.open: dict[ConnectionEvidence, None] = {}
        self.closed: dict[ConnectionEvidence, None] = {}  # the oldest first

    def add(self, evidence: ConnectionEvidence) -> None:
        """A connection has opened."""
        self.open[evidence] = None
        evidence.incarnation.find_representative().open_count += 1

    def record_closed(self, evidence: ConnectionEvidence) -> None:
        """A connection has ended, or could not be opened."""
        if evidence in self.open:
            incarnation = evidence.incarnation.find_representative()
            incarnation.open_count -= 1
            incarnation.is_end_suspected = evidence.is_unanswered or not evidence.is_closed_here
            del self.open[evidence]
            self.closed[evidence] = None
            if not self.open:
                self.closed.clear()  # no older one is left that may still answer
            elif len(self.closed) > MAX_CLOSED:
                del self.closed[next(iter(self.closed))]

    def record_answer(self, evidence: ConnectionEvidence, sent_moment: int) -> None:
        """The host has answered on a connection what was sent there at `sent_moment`."""
        if sent_moment <= evidence.answered_moment:
            return
        evidence.record_answer(sent_moment)
        for other in [*self.open, *self.closed]:
            if other is not evidence and evidence.reaches_process_of(other):
                evidence.incarnation.merge(other.incarnation)
                self.closed.pop(other, None)


class TaskVerdict(Enum):
    """What is known of a task after the start of a new process at its host's address."""

    RUNS = "it runs in the new process"
    LOST = "it ran in the former process"
    UNCERTAIN = "no connection shows which process it ran in"


@dataclass(frozen=True, slots=True)
class ConnectionLoss:
    """A host's last open connection was lost, or none could be opened while none was open."""

    moment: int
    at_ms: float


class ConnectionLosses:
    """The losses of a host's connections since the latest process change.

    >>> losses = ConnectionLosses()
    >>> losses.record(ConnectionLoss(moment=7, at_ms=0.0))
    >>> losses.record(ConnectionLoss(moment=9, at_ms=RECENT_LOSS_MS))
    >>> losses.take_first(now_ms=RECENT_LOSS_MS + 1.0)
    ConnectionLoss(moment=9, at_ms=10000.0)
    >>> losses.take_first(now_ms=RECENT_LOSS_MS) is None
    True
    """

    def __init__(self) -> None:
        """Starts without a loss."""
        self.recent: list[ConnectionLoss] = []

    def record(self, loss: ConnectionLoss) -> None:
        """Records a loss of just now."""
        self.recent = [*self._select_recent(loss.at_ms), loss]

    def take_first(self, now_ms: float) -> ConnectionLoss | None:
        """Returns the first loss that a process change may explain which is told now, and forgets all."""
        recent = self._select_recent(now_ms)
        self.recent = []
        return recent[0] if recent else None

    def _select_recent(self, now_ms: float) -> list[ConnectionLoss]:
        return [loss for loss in self.recent if now_ms - loss.at_ms <= RECENT_LOSS_MS]


@dataclass(frozen=True, slots=True)
class ExpectedLoss(Generic[HostT]):
    """The machine list told of a new process while the former one still answered on all connections.

    So all of them are to be lost soon, unless the former process had ended before any of them opened.
    """

    hosts: tuple[HostT, ...]
    successor_name: str
    reason: str


class ProcessChange(Generic[HostT, ConnectionT]):
    """A new process at an address, of which the machine list has told. `hosts` were known there before.

    `unconfirmed` are the connections from before the event that have not answered since. Nothing but health
    checks is sent on them. Connections are compared by identity.
    """

    def __init__(
        self,
        reason: str,
        successor_name: str,
        announced_moment: int,
        hosts: Iterable[HostT],
        connections: Iterable[ConnectionT],
        first_loss: ConnectionLoss | None,
        *,
        is_loss_expected: bool = False,
        settled_until_ms: float = NEVER,
    ) -> None:
        """Starts with no connection confirmed.

        Args:
            reason: Why the former process counts as ended, for the log.
            successor_name: The host by whose name the new process is known.
            announced_moment: When the list told of it.
            hosts: The hosts whose tasks may have run in the former process.
            connections: Their connections that are open or being opened.
            first_loss: The first loss of all connections to a host that this change may explain.
            is_loss_expected: The list told of the change while the former process may still have answered;
                this is the check after that.
            settled_until_ms: A process that was first reached later may be the one that the list tells of
                now.
        """
        self.reason = reason
        self.successor_name = successor_name
        self.announced_moment = announced_moment
        self.hosts = tuple(hosts)  # until it is concluded
        self.unconfirmed = dict.fromkeys(connections)  # in the order of their creation
        self.confirmed_count = 0
        self.first_opened_moment: int | None = None  # of the confirmed ones
        self.first_loss = first_loss
        self.has_lost_connection = False  # one from before the event has ended since, or does not answer
        self.is_loss_expected = is_loss_expected
        self.settled_until_ms = settled_until_ms
        self.is_concluded = False

    @property
    def may_precede_the_end(self) -> bool:
        """Whether no evidence shows that the former process has ended: the list may have told of it early."""
        is_end_shown = self.has_lost_connection or self.first_loss is not None
        return bool(self.confirmed_count) and not (is_end_shown or self.is_loss_expected)

    def record_answer(self, connection: ConnectionT, evidence: ConnectionEvidence, sent_moment: int) -> None:
        """The host has answered what was sent on the connection."""
        if sent_moment > self.announced_moment and connection in self.unconfirmed:
            del self.unconfirmed[connection]
            self.confirmed_count += 1
            earlier_moment = self.first_opened_moment or evidence.opened_moment
            self.first_opened_moment = min(earlier_moment, evidence.opened_moment)

    def record_ended(self, connection: ConnectionT, *, was_open: bool) -> None:
        """The connection has ended, or could not be opened."""
        if connection in self.unconfirmed:
            del self.unconfirmed[connection]
            self.has_lost_connection = self.has_lost_connection or was_open

    def conclude(self) -> list[ConnectionT]:
        """Ends the check. Returns the connections that have not answered, which count as lost."""
        self.is_concluded = True
        self.hosts = ()  # they refer to the change, and no cycle of references is to remain
        self.has_lost_connection = self.has_lost_connection or bool(self.unconfirmed)
        return list(self.unconfirmed)

    def assess(self, evidence: ConnectionEvidence | None) -> TaskVerdict:
        """Assesses a task by the connection on which the host last reported on it."""
        if evidence is None:
            return TaskVerdict.UNCERTAIN
        if evidence.began_moment > self.announced_moment:
            return TaskVerdict.RUNS
        incarnation = evidence.incarnation.find_representative()
        if incarnation.answered_moment > self.announced_moment:
            return TaskVerdict.RUNS
        first_loss = self.first_loss
        is_after_a_loss = first_loss is not None and evidence.opened_moment > first_loss.moment
        first_opened = self.first_opened_moment
        is_after_a_new_one = first_opened is not None and evidence.ended_moment > first_opened
        is_closed_without_loss = evidence.is_closed_here and not incarnation.has_lost_connection
        is_end_unknown = self.is_loss_expected or is_closed_without_loss
        is_unsettled = incarnation.first_opened_at_ms > self.settled_until_ms
        is_uncertain = is_after_a_loss or is_after_a_new_one or is_end_unknown or is_unsettled
        return TaskVerdict.UNCERTAIN if is_uncertain else TaskVerdict.LOST

"""Frameworks' sessions: subscription, fail-over, offers, updates until they are acknowledged. Pure.

A framework keeps its id over connections. While it is away its updates wait; when its failover_timeout has
passed it is torn down. One that never acknowledges is bounded: after `max_unacknowledged` updates its new
tasks are rejected until it has caught up. Times are in milliseconds on the clock of the event loop.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from glencleat.allocator.errors import AllocatorError
from glencleat.allocator.session_stream import SessionStream
from glencleat.mesos.messages import FrameworkInfo, SchedulerEvent, TaskStatus, encode

MS_PER_S = 1000.0


@dataclass(slots=True)
class PendingUpdate:
    """A status that its framework has yet to acknowledge."""

    status: TaskStatus
    sent_at_ms: float


@dataclass(slots=True, eq=False)
class Framework:
    """One framework, with a session or away."""

    id: str
    info: FrameworkInfo
    stream_id: str = ""
    session: SessionStream | None = None
    session_changed_at_ms: float = 0.0  # when the session began, or ended
    offered_at_ms_by_id: dict[str, float] = field(default_factory=dict)  # offers that stand
    next_offer_at_ms: float = 0.0  # infinite while an offer waits to be used
    is_suppressed: bool = False  # it asked for no offers
    unacknowledged_by_uuid: OrderedDict[str, PendingUpdate] = field(default_factory=OrderedDict)
    open_task_count: int = 0  # its tasks without an answer

    def role(self) -> str | None:
        """The tenant: `role`, or the first of `roles` (multi-role frameworks)."""
        return self.info.role or (self.info.roles[0] if self.info.roles else None)

    def send_event(self, event: SchedulerEvent) -> None:
        """Sends an event, if a session is open."""
        if self.session is not None:
            self.session.send(encode(event))


@dataclass(frozen=True, slots=True)
class FrameworkSubscription:
    """What a SUBSCRIBE of a framework came to."""

    framework: Framework
    replaced_session: SessionStream | None  # the session that was still open


class FrameworkLimitError(AllocatorError):
    """A framework can't be taken, as too many are subscribed.

    Attributes:
        max_frameworks: how many may be known.

    """

    def __init__(self, max_frameworks: int) -> None:
        super().__init__(f"{max_frameworks} frameworks are subscribed; expected no more")
        self.max_frameworks = max_frameworks


class Frameworks:
    """The frameworks that are known, by id."""

    def __init__(
        self,
        max_frameworks: int = 20_000,
        max_unacknowledged: int = 20_000,
        max_offers: int = 4,
        update_retry_ms: float = 10_000.0,
        max_failover_timeout_s: float = 600.0,
    ) -> None:
        """No frameworks yet.

        Args:
            max_frameworks: how many may be known.
            max_unacknowledged: updates of one framework after which its new tasks are rejected.
            max_offers: offers of one framework that stand at a time.
            update_retry_ms: how long an update waits for its acknowledgement before it is sent again.
            max_failover_timeout_s: bound on the failover_timeout that a framework may ask for.

        """
        self.max_frameworks = max_frameworks
        self.max_unacknowledged = max_unacknowledged
        self.max_offers = max_offers
        self.update_retry_ms = update_retry_ms
        self.max_failover_timeout_s = max_failover_timeout_s
        self.frameworks_by_id: dict[str, Framework] = {}

    def subscribe(
        self, info: FrameworkInfo, *, new_id: str, stream_id: str, session: SessionStream, now_ms: float
    ) -> FrameworkSubscription:
        """Records that a session begins, of a framework that is new (`new_id`) or comes back.

        Raises FrameworkLimitError.
        """
        framework_id = info.id.value if info.id is not None and info.id.value else new_id
        framework = self.frameworks_by_id.get(framework_id)
        if framework is None:
            self.check_capacity(framework_id)
            framework = Framework(framework_id, info)
            self.frameworks_by_id[framework_id] = framework
        replaced_session = framework.session
        framework.session = session
        framework.info = info
        framework.stream_id = stream_id
        framework.session_changed_at_ms = now_ms
        framework.offered_at_ms_by_id.clear()
        framework.is_suppressed = False
        framework.next_offer_at_ms = now_ms
        return FrameworkSubscription(framework, replaced_session)

    def check_capacity(self, framework_id: str | None) -> None:
        """Raises FrameworkLimitError where a framework of that id, or a new one (None), can't be taken."""
        if framework_id not in self.frameworks_by_id and len(self.frameworks_by_id) >= self.max_frameworks:
            raise FrameworkLimitError(self.max_frameworks)

    def close_session(self, framework: Framework, session: SessionStream, now_ms: float) -> bool:
        """Records that a session ended; returns False if it was not the one that counts."""
        if framework.session is not session:
            return False
        framework.session = None
        framework.session_changed_at_ms = now_ms
        framework.offered_at_ms_by_id.clear()
        return True

    def find_expired(self, now_ms: float) -> list[Framework]:
        """Frameworks that are away for longer than the failover_timeout that they asked for."""
        return [
            framework
            for framework in self.frameworks_by_id.values()
            if framework.session is None
            and now_ms - framework.session_changed_at_ms > self._failover_timeout_ms(framework)
        ]

    def _failover_timeout_ms(self, framework: Framework) -> float:
        return MS_PER_S * min(max(0.0, framework.info.failover_timeout), self.max_failover_timeout_s)

    def remove(self, framework: Framework) -> None:
        """Forgets a framework."""
        if self.frameworks_by_id.get(framework.id) is framework:
            del self.frameworks_by_id[framework.id]

    # ---- updates ----

    def record_update(self, framework: Framework, status: TaskStatus, now_ms: float) -> None:
        """Stores an update until its uuid is acknowledged; one without a uuid needs no acknowledgement."""
        if status.uuid is not None:
            framework.unacknowledged_by_uuid[status.uuid] = PendingUpdate(status, now_ms)

    def has_update_backlog(self, framework: Framework) -> bool:
        """Whether so many updates are unacknowledged that no new tasks are taken."""
        return len(framework.unacknowledged_by_uuid) >= self.max_unacknowledged

    def acknowledge(self, framework: Framework, uuid: str) -> bool:
        """Drops an update that was acknowledged; returns False if there is none of that uuid."""
        return framework.unacknowledged_by_uuid.pop(uuid, None) is not None

    def unacknowledged_statuses(self, framework: Framework) -> list[TaskStatus]:
        """All statuses that wait for an acknowledgement, in order, for a session that has just begun."""
        return [update.status for update in framework.unacknowledged_by_uuid.values()]

    def take_due_retries(self, framework: Framework, now_ms: float) -> list[TaskStatus]:
        """Updates whose acknowledgement is overdue, to be sent again; their time begins anew."""
        due = list[TaskStatus]()
        for update in framework.unacknowledged_by_uuid.values():
            if now_ms - update.sent_at_ms < self.update_retry_ms:
                break
            due.append(update.status)
            update.sent_at_ms = now_ms
        return due

    # ---- offers ----

    def is_offer_due(self, framework: Framework, now_ms: float) -> bool:
        """Whether an offer is due."""
        return (
            framework.session is not None
            and not framework.is_suppressed
            and now_ms >= framework.next_offer_at_ms
        )

    def record_offer(self, framework: Framework, offer_id: str, now_ms: float) -> str | None:
        """Records a new offer; returns the id of the oldest, to be rescinded, when there are too many.

        An offer stands for the pool and reserves nothing: the next is due only when one was used or declined.
        """
        framework.offered_at_ms_by_id[offer_id] = now_ms
        framework.next_offer_at_ms = math.inf
        if len(framework.offered_at_ms_by_id) <= self.max_offers:
            return None
        oldest = next(iter(framework.offered_at_ms_by_id))
        del framework.offered_at_ms_by_id[oldest]
        return oldest

    def use_offer(self, framework: Framework, offer_id: str, now_ms: float, *, offer_again_ms: float) -> bool:
        """Records an ACCEPT of an offer; returns False if the offer is not valid.

        It stays valid, and a fresh one follows after `offer_interval_ms` for clients that take it as used up.
        """
        if offer_id not in framework.offered_at_ms_by_id:
            return False
        framework.next_offer_at_ms = min(framework.next_offer_at_ms, now_ms + offer_again_ms)
        return True

    def decline_offer(self, framework: Framework, offer_id: str, now_ms: float, *, refuse_ms: float) -> bool:
        """Drops an offer, and makes none for `refuse_ms`; returns False if the offer is not valid."""
        if framework.offered_at_ms_by_id.pop(offer_id, None) is None:
            return False
        framework.next_offer_at_ms = now_ms + refuse_ms
        return True

    def revive(self, framework: Framework, now_ms: float) -> None:
        """Makes offers again, at once, to a framework that declined or suppressed them."""
        framework.is_suppressed = False
        framework.next_offer_at_ms = now_ms

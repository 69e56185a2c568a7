"""State of frameworks, without I/O: subscription, failover, offers and unacknowledged updates.

A framework keeps its id across connections. While it is disconnected its updates are stored; when its
failover_timeout has passed it is torn down. The memory for a framework that never acknowledges is bounded:
from `max_unacknowledged` updates on, its new tasks are rejected until it acknowledges some. Times are in
milliseconds on the event loop's clock.
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
    """A status that its framework has not acknowledged yet."""

    status: TaskStatus
    sent_at_ms: float


@dataclass(slots=True, eq=False)
class Framework:
    """A framework, subscribed or disconnected."""

    id: str
    info: FrameworkInfo
    stream_id: str = ""
    session: SessionStream | None = None
    session_changed_at_ms: float = 0.0  # when the session last started or ended
    offered_at_ms_by_id: dict[str, float] = field(default_factory=dict)  # outstanding offers
    next_offer_at_ms: float = 0.0  # infinite while an offer waits to be accepted or declined
    is_suppressed: bool = False  # the framework suppressed offers
    unacknowledged_by_uuid: OrderedDict[str, PendingUpdate] = field(default_factory=OrderedDict)
    open_task_count: int = 0  # tasks without a final answer

    def role(self) -> str | None:
        """Returns the tenant: `role`, or the first of `roles` for a multi-role framework."""
        return self.info.role or (self.info.roles[0] if self.info.roles else None)

    def send_event(self, event: SchedulerEvent) -> None:
        """Sends an event if a session is open."""
        if self.session is not None:
            self.session.send(encode(event))


@dataclass(frozen=True, slots=True)
class FrameworkSubscription:
    """Result of a framework's SUBSCRIBE."""

    framework: Framework
    replaced_session: SessionStream | None  # the earlier session, if it was still open


class FrameworkLimitError(AllocatorError):
    """No further framework can be subscribed.

    Attributes:
        max_frameworks: the maximum number of frameworks.

    """

    def __init__(self, max_frameworks: int) -> None:
        super().__init__(f"{max_frameworks} frameworks are subscribed; expected no more")
        self.max_frameworks = max_frameworks


class Frameworks:
    """The known frameworks, by id."""

    def __init__(
        self,
        max_frameworks: int = 20_000,
        max_unacknowledged: int = 20_000,
        max_offers: int = 4,
        update_retry_ms: float = 10_000.0,
        max_failover_timeout_s: float = 600.0,
    ) -> None:
        """Creates an empty registry.

        Args:
            max_frameworks: maximum number of frameworks.
            max_unacknowledged: unacknowledged updates of a framework from which its new tasks are rejected.
            max_offers: maximum number of outstanding offers of a framework.
            update_retry_ms: time after which an unacknowledged update is sent again.
            max_failover_timeout_s: upper bound on the failover_timeout that a framework requests.

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
        """Records a new session, of a new framework (which gets `new_id`) or of one that subscribes again.

        Raises FrameworkLimitError if there are too many frameworks.
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
        """Raises FrameworkLimitError if the framework (None for a new one) would exceed the limit."""
        if framework_id not in self.frameworks_by_id and len(self.frameworks_by_id) >= self.max_frameworks:
            raise FrameworkLimitError(self.max_frameworks)

    def close_session(self, framework: Framework, session: SessionStream, now_ms: float) -> bool:
        """Records that a session ended; returns False if it was not the framework's current session."""
        if framework.session is not session:
            return False
        framework.session = None
        framework.session_changed_at_ms = now_ms
        framework.offered_at_ms_by_id.clear()
        return True

    def find_expired(self, now_ms: float) -> list[Framework]:
        """Returns the frameworks that have been disconnected for longer than their failover_timeout."""
        return [
            framework
            for framework in self.frameworks_by_id.values()
            if framework.session is None
            and now_ms - framework.session_changed_at_ms > self._failover_timeout_ms(framework)
        ]

    def _failover_timeout_ms(self, framework: Framework) -> float:
        return MS_PER_S * min(max(0.0, framework.info.failover_timeout), self.max_failover_timeout_s)

    def remove(self, framework: Framework) -> None:
        """Removes a framework."""
        if self.frameworks_by_id.get(framework.id) is framework:
            del self.frameworks_by_id[framework.id]

    # ---- updates ----

    def record_update(self, framework: Framework, status: TaskStatus, now_ms: float) -> None:
        """Stores an update until it is acknowledged; one without a uuid needs no acknowledgement."""
        if status.uuid is not None:
            framework.unacknowledged_by_uuid[status.uuid] = PendingUpdate(status, now_ms)

    def has_update_backlog(self, framework: Framework) -> bool:
        """Whether so many updates are unacknowledged that new tasks are rejected."""
        return len(framework.unacknowledged_by_uuid) >= self.max_unacknowledged

    def acknowledge(self, framework: Framework, uuid: str) -> bool:
        """Removes an acknowledged update; returns False if no update has that uuid."""
        return framework.unacknowledged_by_uuid.pop(uuid, None) is not None

    def unacknowledged_statuses(self, framework: Framework) -> list[TaskStatus]:
        """Returns all unacknowledged statuses in order, to be sent at the start of a session."""
        return [update.status for update in framework.unacknowledged_by_uuid.values()]

    def take_due_retries(self, framework: Framework, now_ms: float) -> list[TaskStatus]:
        """Returns the statuses whose acknowledgement is overdue, to be resent, and restarts their timers."""
        due = list[TaskStatus]()
        for update in framework.unacknowledged_by_uuid.values():
            if now_ms - update.sent_at_ms < self.update_retry_ms:
                break
            due.append(update.status)
            update.sent_at_ms = now_ms
        return due

    # ---- offers ----

    def is_offer_due(self, framework: Framework, now_ms: float) -> bool:
        """Whether an offer is due to the framework."""
        return (
            framework.session is not None
            and not framework.is_suppressed
            and now_ms >= framework.next_offer_at_ms
        )

    def record_offer(self, framework: Framework, offer_id: str, now_ms: float) -> str | None:
        """Records a new offer; if there are too many, removes the oldest and returns its id to be rescinded.

        An offer represents the pool and reserves nothing, so the next is due only after a use or a decline.
        """
        framework.offered_at_ms_by_id[offer_id] = now_ms
        framework.next_offer_at_ms = math.inf
        if len(framework.offered_at_ms_by_id) <= self.max_offers:
            return None
        oldest_id = next(iter(framework.offered_at_ms_by_id))
        del framework.offered_at_ms_by_id[oldest_id]
        return oldest_id

    def use_offer(
        self, framework: Framework, offer_id: str, now_ms: float, *, next_offer_delay_ms: float
    ) -> bool:
        """Records an ACCEPT of an offer; returns False if the offer is not valid.

        The offer stays valid. A new one follows after `next_offer_delay_ms`, for clients that treat an
        accepted offer as used up.
        """
        if offer_id not in framework.offered_at_ms_by_id:
            return False
        framework.next_offer_at_ms = min(framework.next_offer_at_ms, now_ms + next_offer_delay_ms)
        return True

    def decline_offer(self, framework: Framework, offer_id: str, now_ms: float, *, refuse_ms: float) -> bool:
        """Drops an offer and sends none for `refuse_ms`; returns False if the offer is not valid."""
        if framework.offered_at_ms_by_id.pop(offer_id, None) is None:
            return False
        framework.next_offer_at_ms = now_ms + refuse_ms
        return True

    def revive(self, framework: Framework, now_ms: float) -> None:
        """Resumes offers at once to a framework that declined or suppressed them."""
        framework.is_suppressed = False
        framework.next_offer_at_ms = now_ms

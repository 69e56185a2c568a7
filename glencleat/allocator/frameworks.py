"""Owners' sessions: subscription, fail-over, offers, updates until they are acknowledged. Pure.

A framework keeps its id over connections. While it is away its updates wait; when its failover_timeout has
passed it is torn down. One that never acknowledges is bounded: after `unacked_most` updates its
new tasks are refused until it has caught up."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from glencleat.mesos.messages import FrameworkInfo, TaskStatus


@dataclass(slots=True, eq=False)
class Framework:
    id: str
    info: FrameworkInfo
    stream_id: str = ""
    session: object | None = None
    session_changed_at_ms: float = 0.0
    offered_at_ms_by_id: dict[str, float] = field(default_factory=dict)  # id -> when made
    next_offer_at_ms: float = 0.0  # when the next offer may be made
    is_suppressed: bool = False
    unacknowledged_by_uuid: OrderedDict[str, tuple[TaskStatus, float]] = field(
        default_factory=OrderedDict
    )  # by uuid
    open_task_count: int = 0  # its tasks without an answer

    def role(self) -> str | None:
        """The tenant: `role`, or the first of `roles` (multi-role frameworks)."""
        return self.info.role or (self.info.roles[0] if self.info.roles else None)


class FrameworkLimitError(Exception):
    """A subscription that can't be taken; the text says why."""


class Frameworks:
    def __init__(
        self,
        max_frameworks: int = 20_000,
        max_unacknowledged: int = 20_000,
        max_offers: int = 4,
        update_retry_ms: float = 10_000.0,
        max_failover_timeout_s: float = 600.0,
    ) -> None:
        self.max_frameworks, self.max_unacknowledged, self.max_offers = (
            max_frameworks,
            max_unacknowledged,
            max_offers,
        )
        self.update_retry_ms, self.max_failover_timeout_s = update_retry_ms, max_failover_timeout_s
        self.frameworks_by_id: dict[str, Framework] = {}

    def subscribe(
        self, info: FrameworkInfo, new_id: str, stream_id: str, session: object, now: float
    ) -> tuple[Framework, object | None]:
        """The framework, new or come back, and the session that it puts out if one was still open."""
        wanted = info.id.value if info.id is not None and info.id.value else new_id
        framework = self.frameworks_by_id.get(wanted)
        if framework is None:
            self.check_capacity(wanted)
            framework = self.frameworks_by_id[wanted] = Framework(wanted, info)
        replaced, framework.session = framework.session, session
        framework.info, framework.stream_id, framework.session_changed_at_ms = info, stream_id, now
        framework.offered_at_ms_by_id.clear()
        framework.is_suppressed, framework.next_offer_at_ms = False, now
        return framework, replaced

    def check_capacity(self, framework_id: str | None) -> None:
        """Raises Refused where a framework of that id, or a new one (None), can't be taken."""
        if framework_id not in self.frameworks_by_id and len(self.frameworks_by_id) >= self.max_frameworks:
            raise FrameworkLimitError(f"{self.max_frameworks} frameworks are subscribed; expected no more")

    def close_session(self, framework: Framework, session: object, now: float) -> bool:
        """A session ended; False if it was not the one that counts."""
        if framework.session is not session:
            return False
        framework.session, framework.session_changed_at_ms = None, now
        framework.offered_at_ms_by_id.clear()
        return True

    def find_expired(self, now: float) -> list[Framework]:
        """Frameworks away for longer than the failover_timeout that they asked for."""
        return [
            f
            for f in self.frameworks_by_id.values()
            if f.session is None
            and now - f.session_changed_at_ms
            > 1000.0 * min(max(0.0, f.info.failover_timeout), self.max_failover_timeout_s)
        ]

    def remove(self, framework: Framework) -> None:
        if self.frameworks_by_id.get(framework.id) is framework:
            del self.frameworks_by_id[framework.id]

    # ---- updates ----

    def record_update(self, framework: Framework, status: TaskStatus, now: float) -> None:
        """Keeps an update until its uuid is acknowledged."""
        if status.uuid is not None:
            framework.unacknowledged_by_uuid[status.uuid] = (status, now)

    def has_update_backlog(self, framework: Framework) -> bool:
        return len(framework.unacknowledged_by_uuid) >= self.max_unacknowledged

    def acknowledge(self, framework: Framework, uuid: str) -> bool:
        return framework.unacknowledged_by_uuid.pop(uuid, None) is not None

    def unacknowledged_statuses(self, framework: Framework) -> list[TaskStatus]:
        """All of them in order, for a session that has just begun."""
        return [status for status, _ in framework.unacknowledged_by_uuid.values()]

    def take_due_retries(self, framework: Framework, now: float) -> list[TaskStatus]:
        """Updates that were sent a while ago and not acknowledged; their time begins anew."""
        late = list[TaskStatus]()
        for uuid, (status, at) in framework.unacknowledged_by_uuid.items():
            if now - at < self.update_retry_ms:
                break
            late.append(status)
            framework.unacknowledged_by_uuid[uuid] = (status, now)
        return late

    # ---- offers ----

    def wants_offer(self, framework: Framework, now: float) -> bool:
        return (
            framework.session is not None
            and not framework.is_suppressed
            and now >= framework.next_offer_at_ms
        )

    def record_offer(self, framework: Framework, offer_id: str, now: float) -> str | None:
        """Notes a new offer; gives the oldest, to be rescinded, when there are too many.

        An offer stands for the pool and reserves nothing: the next is due only when one was used or
        declined."""
        framework.offered_at_ms_by_id[offer_id] = now
        framework.next_offer_at_ms = float("inf")
        if len(framework.offered_at_ms_by_id) <= self.max_offers:
            return None
        oldest = next(iter(framework.offered_at_ms_by_id))
        del framework.offered_at_ms_by_id[oldest]
        return oldest

    def use_offer(self, framework: Framework, offer_id: str, now: float, again_ms: float) -> bool:
        """An ACCEPT of the offer: False if it is not valid. It stays valid, and a fresh one follows for
        clients
        that take it as used up."""
        if offer_id not in framework.offered_at_ms_by_id:
            return False
        framework.next_offer_at_ms = min(framework.next_offer_at_ms, now + again_ms)
        return True

    def decline_offer(self, framework: Framework, offer_id: str, now: float, refuse_ms: float) -> bool:
        if framework.offered_at_ms_by_id.pop(offer_id, None) is None:
            return False
        framework.next_offer_at_ms = now + refuse_ms
        return True

    def revive(self, framework: Framework, now: float) -> None:
        framework.is_suppressed, framework.next_offer_at_ms = False, now

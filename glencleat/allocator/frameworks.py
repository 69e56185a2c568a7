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
    since: float = 0.0
    offers: dict[str, float] = field(default_factory=dict)  # id -> when made
    offer_at: float = 0.0  # when the next offer may be made
    suppressed: bool = False
    unacked: OrderedDict[str, tuple[TaskStatus, float]] = field(default_factory=OrderedDict)  # by uuid
    open: int = 0  # its tasks without an answer

    def role(self) -> str | None:
        """The tenant: `role`, or the first of `roles` (multi-role frameworks)."""
        return self.info.role or (self.info.roles[0] if self.info.roles else None)


class FrameworkLimitError(Exception):
    """A subscription that can't be taken; the text says why."""


class Frameworks:
    def __init__(
        self,
        most: int = 20_000,
        unacked_most: int = 20_000,
        offers_most: int = 4,
        retry_ms: float = 10_000.0,
        failover_most_s: float = 600.0,
    ) -> None:
        self.most, self.unacked_most, self.offers_most = most, unacked_most, offers_most
        self.retry_ms, self.failover_most_s = retry_ms, failover_most_s
        self.known: dict[str, Framework] = {}

    def subscribe(
        self, info: FrameworkInfo, new_id: str, stream_id: str, session: object, now: float
    ) -> tuple[Framework, object | None]:
        """The framework, new or come back, and the session that it puts out if one was still open."""
        wanted = info.id.value if info.id is not None and info.id.value else new_id
        framework = self.known.get(wanted)
        if framework is None:
            self.check_room(wanted)
            framework = self.known[wanted] = Framework(wanted, info)
        replaced, framework.session = framework.session, session
        framework.info, framework.stream_id, framework.since = info, stream_id, now
        framework.offers.clear()
        framework.suppressed, framework.offer_at = False, now
        return framework, replaced

    def check_room(self, framework_id: str | None) -> None:
        """Raises Refused where a framework of that id, or a new one (None), can't be taken."""
        if framework_id not in self.known and len(self.known) >= self.most:
            raise FrameworkLimitError(f"{self.most} frameworks are subscribed; expected no more")

    def closed(self, framework: Framework, session: object, now: float) -> bool:
        """A session ended; False if it was not the one that counts."""
        if framework.session is not session:
            return False
        framework.session, framework.since = None, now
        framework.offers.clear()
        return True

    def overdue(self, now: float) -> list[Framework]:
        """Frameworks away for longer than the failover_timeout that they asked for."""
        return [
            f
            for f in self.known.values()
            if f.session is None
            and now - f.since > 1000.0 * min(max(0.0, f.info.failover_timeout), self.failover_most_s)
        ]

    def remove(self, framework: Framework) -> None:
        if self.known.get(framework.id) is framework:
            del self.known[framework.id]

    # ---- updates ----

    def push(self, framework: Framework, status: TaskStatus, now: float) -> None:
        """Keeps an update until its uuid is acknowledged."""
        if status.uuid is not None:
            framework.unacked[status.uuid] = (status, now)

    def behind(self, framework: Framework) -> bool:
        return len(framework.unacked) >= self.unacked_most

    def acknowledge(self, framework: Framework, uuid: str) -> bool:
        return framework.unacked.pop(uuid, None) is not None

    def unacknowledged(self, framework: Framework) -> list[TaskStatus]:
        """All of them in order, for a session that has just begun."""
        return [status for status, _ in framework.unacked.values()]

    def to_repeat(self, framework: Framework, now: float) -> list[TaskStatus]:
        """Updates that were sent a while ago and not acknowledged; their time begins anew."""
        late = list[TaskStatus]()
        for uuid, (status, at) in framework.unacked.items():
            if now - at < self.retry_ms:
                break
            late.append(status)
            framework.unacked[uuid] = (status, now)
        return late

    # ---- offers ----

    def wants_offer(self, framework: Framework, now: float) -> bool:
        return framework.session is not None and not framework.suppressed and now >= framework.offer_at

    def offer(self, framework: Framework, offer_id: str, now: float) -> str | None:
        """Notes a new offer; gives the oldest, to be rescinded, when there are too many.

        An offer stands for the pool and reserves nothing: the next is due only when one was used or
        declined."""
        framework.offers[offer_id] = now
        framework.offer_at = float("inf")
        if len(framework.offers) <= self.offers_most:
            return None
        oldest = next(iter(framework.offers))
        del framework.offers[oldest]
        return oldest

    def use(self, framework: Framework, offer_id: str, now: float, again_ms: float) -> bool:
        """An ACCEPT of the offer: False if it is not valid. It stays valid, and a fresh one follows for
        clients
        that take it as used up."""
        if offer_id not in framework.offers:
            return False
        framework.offer_at = min(framework.offer_at, now + again_ms)
        return True

    def decline(self, framework: Framework, offer_id: str, now: float, refuse_ms: float) -> bool:
        if framework.offers.pop(offer_id, None) is None:
            return False
        framework.offer_at = now + refuse_ms
        return True

    def revive(self, framework: Framework, now: float) -> None:
        framework.suppressed, framework.offer_at = False, now

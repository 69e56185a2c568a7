"""Decides the life of a job's tasks: whose is told to the core next, what follows each answer, what is over.

Pure: no I/O, no clock; the plane asks and does as told. A task of a job waits for as long as its job said,
over several rounds: each round is one call to the core, of at most the class's deadline, and ends with the
core's final answer. A refused round is followed by another while there is time, as the answer says that
asking again is harmless; a failed one by none. Only one round of a task is ever out."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from glencleat import interface as api
from glencleat.allocator.call_table import Call, FinalAnswer
from glencleat.allocator.pending_reasons import PendingReasons
from glencleat.allocator.status_mapping import DROPPED, FINISHED, UNREACHABLE, RetryAdvice, StatusAnswer
from glencleat.rest.schema import JobSpec, JobStatus

PAUSE_MS, PAUSE_MOST_MS = 250.0, 4_000.0  # after the first refused round; doubled up to
LAST_MS = 500.0  # a round is worth asking for when so much time is left


class JobStep(Enum):
    QUEUED = "queued"  # waits for its turn
    ASKED = "asked"  # a call of it is open
    PAUSED = "paused"  # refused, asked again after a pause
    PLACED = "placed"
    OVER = "over"


@dataclass(slots=True, eq=False)
class Slot:
    """One task of a job."""

    job: JobState
    number: int
    until: float  # its owner waits till then
    step: JobStep = JobStep.QUEUED
    rounds: int = 0
    call: Call | None = None
    record: PendingReasons = field(default_factory=PendingReasons)  # of all its rounds
    cancelled: bool = False
    finished: bool = False
    given: FinalAnswer | None = None  # its final answer to its owner, and not a round's
    placed_once: bool = False

    def name(self) -> str:
        return f"{self.job.name}.{self.number}"


@dataclass(slots=True, eq=False)
class JobState:
    tenant: str
    name: str
    uid: str
    spec: JobSpec
    cls: api.TaskClass
    labels: dict[str, str]
    created_wall: float
    cancelled: bool = False
    slots: list[Slot] = field(default_factory=list)
    over_at: float | None = None
    gone: bool = False  # no longer shown

    def wait_ms(self) -> float:
        return self.spec.wait_ms if self.spec.wait_ms is not None else self.cls.deadline_ms

    def over(self) -> bool:
        return all(slot.step is JobStep.OVER for slot in self.slots)

    def status(self) -> JobStatus:
        """Sums of its tasks, each counted once."""
        counts = {"waiting": 0, "placed": 0, "finished": 0, "ended": 0, "refused": 0, "failed": 0}
        for slot in self.slots:
            counts[standing(slot)] += 1
        if self.cancelled:
            phase = "cancelled"
        elif counts["waiting"]:
            phase = "waiting"
        else:
            phase = "placed" if counts["placed"] else "over"
        return JobStatus(phase=phase, **counts)  # type: ignore[arg-type]


def standing(slot: Slot) -> str:
    if slot.step is JobStep.PLACED:
        return "placed"
    if slot.step is not JobStep.OVER:
        return "waiting"
    if slot.placed_once:
        return "finished" if slot.finished else "ended"
    return "failed" if slot.given is FinalAnswer.FAILED else "refused"


# ---- what follows ----


@dataclass(frozen=True, slots=True)
class Next:
    """What becomes of a task: its step, and for a pause how long it is."""

    step: JobStep
    pause_ms: float = 0.0


def may_ask_again(answer: StatusAnswer, effect: api.Idempotency) -> bool:
    """After a refused round. A task that must not start twice goes again only if nothing of it ran, which
    only TASK_DROPPED promises."""
    return answer.retry is RetryAdvice.HARMLESS and (
        effect is not api.Idempotency.NON_IDEMPOTENT or answer.state == DROPPED
    )


def after_round(slot: Slot, given: FinalAnswer, answer: StatusAnswer, now: float, random: Random) -> Next:
    """What follows the final answer of a round."""
    if given is FinalAnswer.PLACED:
        return Next(JobStep.PLACED)
    if given is FinalAnswer.FAILED or slot.cancelled or not may_ask_again(answer, slot.job.cls.idempotency):
        return Next(JobStep.OVER)
    left = slot.until - now
    if left < 2.0 * LAST_MS:
        return Next(JobStep.OVER)
    pause = min(PAUSE_MOST_MS, PAUSE_MS * 2.0 ** min(8, slot.rounds - 1)) * random.uniform(0.75, 1.25)
    return Next(JobStep.PAUSED, min(pause, left - LAST_MS))


def after_end(slot: Slot, answer: StatusAnswer) -> Next:
    """What follows the end of a placed task. One that may run on out of sight is not over, unless a second
    does no harm and is wanted: should the first come back, the core stops it."""
    again = (
        slot.job.spec.when_lost == "again"
        and answer.state != FINISHED
        and answer.retry is RetryAdvice.HARMLESS
        and slot.job.cls.idempotency is not api.Idempotency.NON_IDEMPOTENT
        and not slot.cancelled
    )
    if again:
        return Next(JobStep.PAUSED, PAUSE_MS * 2.0)
    return Next(JobStep.PLACED if answer.state == UNREACHABLE else JobStep.OVER)


def round_ms(slot: Slot, now: float, margin_ms: float) -> float:
    """How long the next round may take; 0 where there is no time left."""
    left = slot.until - now - margin_ms
    return max(0.0, min(slot.job.cls.deadline_ms, left))


# ---- whose turn it is ----


class Bucket:
    """Tokens that come back at a rate, up to a burst; the rate a second, times in milliseconds."""

    __slots__ = ("rate", "burst", "tokens", "at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst, self.tokens, self.at = rate, burst, burst, now

    def wait(self, cost: float, now: float) -> float:
        """How long until the cost can be paid; 0 now. More than the burst is paid off a full bucket."""
        self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate / 1_000.0)
        self.at = now
        lacks = min(cost, self.burst) - self.tokens
        return max(0.0, lacks / self.rate * 1_000.0)

    def pay(self, cost: float) -> None:
        self.tokens -= cost


class RoundRobin:
    """The tasks that wait for a round: first ones and returns, tenant by tenant in turn.

    A tenant that asks for thousands delays its own tasks and not others'. Returns of a tenant are bounded by
    a budget of their own, so that a cluster that is full is not asked ever more often."""

    def __init__(self, retries_rate: float = 200.0, retries_burst: float = 400.0) -> None:
        self.retries = retries_rate, retries_burst
        self.queues: OrderedDict[str, deque[Slot]] = OrderedDict()
        self.paused: list[tuple[float, int, Slot]] = []
        self.order = 0
        self.budgets: dict[str, Bucket] = {}
        self.queued = 0

    def queue(self, slot: Slot) -> None:
        slot.step = JobStep.QUEUED
        self.queues.setdefault(slot.job.tenant, deque()).append(slot)
        self.queued += 1

    def pause(self, slot: Slot, until: float) -> None:
        slot.step = JobStep.PAUSED
        self.order += 1
        heapq.heappush(self.paused, (until, self.order, slot))

    def due(self) -> float | None:
        """When the next pause ends."""
        while self.paused and self.paused[0][2].step is not JobStep.PAUSED:
            heapq.heappop(self.paused)
        return self.paused[0][0] if self.paused else None

    def wake(self, now: float) -> None:
        """Queues what has paused long enough, as far as the tenants' budgets go."""
        while (due := self.due()) is not None and due <= now:
            _, _, slot = heapq.heappop(self.paused)
            budget = self.budgets.get(slot.job.tenant)
            if budget is None:
                budget = self.budgets[slot.job.tenant] = Bucket(*self.retries, now)
            wait = budget.wait(1.0, now)
            if wait > 0.0:
                self.pause(slot, now + wait)
            else:
                budget.pay(1.0)
                self.queue(slot)

    def pop(self) -> Slot | None:
        """The next task; one that was cancelled or ran out of time meanwhile is passed over."""
        while self.queues:
            tenant, queue = next(iter(self.queues.items()))
            self.queues.move_to_end(tenant)
            slot = queue.popleft()
            self.queued -= 1
            if not queue:
                del self.queues[tenant]
            if slot.step is JobStep.QUEUED:
                return slot
        return None

    def forget(self, tenant: str) -> None:
        """The tenant has no jobs any more."""
        if tenant not in self.queues:
            self.budgets.pop(tenant, None)


class Keys:
    """Idempotency keys of creations: a repeated POST is the job that the first one made.

    A key is kept for `keep_ms`, and for as long as its job is. When all places are taken by keys that still
    count, new creations with a key are turned away: a forgotten key would make a second job."""

    def __init__(self, most: int = 50_000, keep_ms: float = 600_000.0) -> None:
        self.most, self.keep_ms = most, keep_ms
        self.known: OrderedDict[tuple[str, str], tuple[int, JobState, float]] = OrderedDict()

    def find(self, tenant: str, key: str) -> tuple[int, JobState] | None:
        """Fingerprint of the first body and the job that it made."""
        found = self.known.get((tenant, key))
        return None if found is None else found[:2]

    def room(self, now: float) -> bool:
        if len(self.known) >= self.most:
            for name, (_, job, at) in list(self.known.items())[:64]:
                if now - at > self.keep_ms and job.over():
                    del self.known[name]
                else:
                    self.known.move_to_end(name)
        return len(self.known) < self.most

    def note(self, tenant: str, key: str, fingerprint: int, job: JobState, now: float) -> None:
        self.known[tenant, key] = fingerprint, job, now

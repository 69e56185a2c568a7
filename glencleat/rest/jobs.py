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
from glencleat.allocator.status_mapping import RetryAdvice, StatusAnswer, TaskState
from glencleat.rest.schema import JobSpec, JobStatus

RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS = 250.0, 4_000.0  # after the first refused round; doubled up to
MIN_ROUND_MS = 500.0  # a round is worth asking for when so much time is left


class JobStep(Enum):
    QUEUED = "queued"  # waits for its turn
    IN_ROUND = "asked"  # a call of it is open
    PAUSED = "paused"  # refused, asked again after a pause
    PLACED = "placed"
    TERMINAL = "over"


@dataclass(slots=True, eq=False)
class JobTask:
    """One task of a job."""

    job: JobState
    number: int
    wait_until_ms: float  # its owner waits till then
    step: JobStep = JobStep.QUEUED
    round_count: int = 0
    call: Call | None = None
    pending_reasons: PendingReasons = field(default_factory=PendingReasons)  # of all its rounds
    is_cancelled: bool = False
    is_finished: bool = False
    final_answer: FinalAnswer | None = None  # its final answer to its owner, and not a round's
    was_placed: bool = False

    def name(self) -> str:
        return f"{self.job.name}.{self.number}"


@dataclass(slots=True, eq=False)
class JobState:
    tenant: str
    name: str
    uid: str
    spec: JobSpec
    task_class: api.TaskClass
    labels: dict[str, str]
    created_at_ms: float
    is_cancelled: bool = False
    tasks: list[JobTask] = field(default_factory=list)
    terminal_at_ms: float | None = None
    is_removed: bool = False  # no longer shown

    def wait_ms(self) -> float:
        return self.spec.wait_ms if self.spec.wait_ms is not None else self.task_class.deadline_ms

    def is_terminal(self) -> bool:
        return all(slot.step is JobStep.TERMINAL for slot in self.tasks)

    def status(self) -> JobStatus:
        """Sums of its tasks, each counted once."""
        counts = {"waiting": 0, "placed": 0, "finished": 0, "ended": 0, "refused": 0, "failed": 0}
        for slot in self.tasks:
            counts[task_phase(slot)] += 1
        if self.is_cancelled:
            phase = "cancelled"
        elif counts["waiting"]:
            phase = "waiting"
        else:
            phase = "placed" if counts["placed"] else "over"
        return JobStatus(phase=phase, **counts)  # type: ignore[arg-type]


def task_phase(slot: JobTask) -> str:
    if slot.step is JobStep.PLACED:
        return "placed"
    if slot.step is not JobStep.TERMINAL:
        return "waiting"
    if slot.was_placed:
        return "finished" if slot.is_finished else "ended"
    return "failed" if slot.final_answer is FinalAnswer.FAILED else "refused"


# ---- what follows ----


@dataclass(frozen=True, slots=True)
class Transition:
    """What becomes of a task: its step, and for a pause how long it is."""

    step: JobStep
    pause_ms: float = 0.0


def may_retry(answer: StatusAnswer, effect: api.Idempotency) -> bool:
    """After a refused round. A task that must not start twice goes again only if nothing of it ran, which
    only TASK_DROPPED promises."""
    return answer.retry_advice is RetryAdvice.HARMLESS and (
        effect is not api.Idempotency.NON_IDEMPOTENT or answer.state == TaskState.DROPPED
    )


def after_round(
    slot: JobTask, final_answer: FinalAnswer, answer: StatusAnswer, now: float, random: Random
) -> Transition:
    """What follows the final answer of a round."""
    if final_answer is FinalAnswer.PLACED:
        return Transition(JobStep.PLACED)
    if (
        final_answer is FinalAnswer.FAILED
        or slot.is_cancelled
        or not may_retry(answer, slot.job.task_class.idempotency)
    ):
        return Transition(JobStep.TERMINAL)
    left = slot.wait_until_ms - now
    if left < 2.0 * MIN_ROUND_MS:
        return Transition(JobStep.TERMINAL)
    pause = min(MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS * 2.0 ** min(8, slot.round_count - 1)) * random.uniform(
        0.75, 1.25
    )
    return Transition(JobStep.PAUSED, min(pause, left - MIN_ROUND_MS))


def after_end(slot: JobTask, answer: StatusAnswer) -> Transition:
    """What follows the end of a placed task. One that may run on out of sight is not over, unless a second
    does no harm and is wanted: should the first come back, the core stops it."""
    again = (
        slot.job.spec.when_lost == "again"
        and answer.state != TaskState.FINISHED
        and answer.retry_advice is RetryAdvice.HARMLESS
        and slot.job.task_class.idempotency is not api.Idempotency.NON_IDEMPOTENT
        and not slot.is_cancelled
    )
    if again:
        return Transition(JobStep.PAUSED, RETRY_PAUSE_MS * 2.0)
    return Transition(JobStep.PLACED if answer.state == TaskState.UNREACHABLE else JobStep.TERMINAL)


def round_ms(slot: JobTask, now: float, margin_ms: float) -> float:
    """How long the next round may take; 0 where there is no time left."""
    left = slot.wait_until_ms - now - margin_ms
    return max(0.0, min(slot.job.task_class.deadline_ms, left))


# ---- whose turn it is ----


class TokenBucket:
    """Tokens that come back at a rate, up to a burst; the rate a second, times in milliseconds."""

    __slots__ = ("rate_per_s", "burst", "tokens", "refilled_at_ms")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate_per_s, self.burst, self.tokens, self.refilled_at_ms = rate, burst, burst, now

    def wait_ms(self, cost: float, now: float) -> float:
        """How long until the cost can be paid; 0 now. More than the burst is paid off a full bucket."""
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at_ms) * self.rate_per_s / 1_000.0)
        self.refilled_at_ms = now
        lacks = min(cost, self.burst) - self.tokens
        return max(0.0, lacks / self.rate_per_s * 1_000.0)

    def consume(self, cost: float) -> None:
        self.tokens -= cost


class RoundRobin:
    """The tasks that wait for a round: first ones and returns, tenant by tenant in turn.

    A tenant that asks for thousands delays its own tasks and not others'. Returns of a tenant are bounded by
    a budget of their own, so that a cluster that is full is not asked ever more often."""

    def __init__(self, retries_rate: float = 200.0, retries_burst: float = 400.0) -> None:
        self.retry_limits = retries_rate, retries_burst
        self.queues_by_tenant: OrderedDict[str, deque[JobTask]] = OrderedDict()
        self.paused: list[tuple[float, int, JobTask]] = []
        self.last_sequence = 0
        self.retry_buckets_by_tenant: dict[str, TokenBucket] = {}
        self.queued_count = 0

    def enqueue(self, slot: JobTask) -> None:
        slot.step = JobStep.QUEUED
        self.queues_by_tenant.setdefault(slot.job.tenant, deque()).append(slot)
        self.queued_count += 1

    def pause(self, slot: JobTask, until: float) -> None:
        slot.step = JobStep.PAUSED
        self.last_sequence += 1
        heapq.heappush(self.paused, (until, self.last_sequence, slot))

    def next_due_ms(self) -> float | None:
        """When the next pause ends."""
        while self.paused and self.paused[0][2].step is not JobStep.PAUSED:
            heapq.heappop(self.paused)
        return self.paused[0][0] if self.paused else None

    def enqueue_due(self, now: float) -> None:
        """Queues what has paused long enough, as far as the tenants' budgets go."""
        while (due := self.next_due_ms()) is not None and due <= now:
            _, _, slot = heapq.heappop(self.paused)
            budget = self.retry_buckets_by_tenant.get(slot.job.tenant)
            if budget is None:
                budget = self.retry_buckets_by_tenant[slot.job.tenant] = TokenBucket(*self.retry_limits, now)
            wait = budget.wait_ms(1.0, now)
            if wait > 0.0:
                self.pause(slot, now + wait)
            else:
                budget.consume(1.0)
                self.enqueue(slot)

    def pop(self) -> JobTask | None:
        """The next task; one that was cancelled or ran out of time meanwhile is passed over."""
        while self.queues_by_tenant:
            tenant, queue = next(iter(self.queues_by_tenant.items()))
            self.queues_by_tenant.move_to_end(tenant)
            slot = queue.popleft()
            self.queued_count -= 1
            if not queue:
                del self.queues_by_tenant[tenant]
            if slot.step is JobStep.QUEUED:
                return slot
        return None

    def forget_tenant(self, tenant: str) -> None:
        """The tenant has no jobs any more."""
        if tenant not in self.queues_by_tenant:
            self.retry_buckets_by_tenant.pop(tenant, None)


class IdempotencyKeys:
    """Idempotency keys of creations: a repeated POST is the job that the first one made.

    A key is kept for `retention_ms`, and for as long as its job is. When all places are taken by keys that
    still count, new creations with a key are turned away: a forgotten key would make a second job."""

    def __init__(self, max_keys: int = 50_000, retention_ms: float = 600_000.0) -> None:
        self.max_keys, self.retention_ms = max_keys, retention_ms
        self.entries_by_key: OrderedDict[tuple[str, str], tuple[int, JobState, float]] = OrderedDict()

    def find(self, tenant: str, key: str) -> tuple[int, JobState] | None:
        """Fingerprint of the first body and the job that it made."""
        found = self.entries_by_key.get((tenant, key))
        return None if found is None else found[:2]

    def ensure_capacity(self, now: float) -> bool:
        if len(self.entries_by_key) >= self.max_keys:
            for name, (_, job, at) in list(self.entries_by_key.items())[:64]:
                if now - at > self.retention_ms and job.is_terminal():
                    del self.entries_by_key[name]
                else:
                    self.entries_by_key.move_to_end(name)
        return len(self.entries_by_key) < self.max_keys

    def record_key(self, tenant: str, key: str, fingerprint: int, job: JobState, now: float) -> None:
        self.entries_by_key[tenant, key] = fingerprint, job, now

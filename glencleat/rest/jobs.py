"""Job tasks: which one gets the next call to the core, what follows each answer, and when a job has ended.

Pure: no I/O and no clock; `RestService` makes the calls and carries out the transitions.

A task of a job waits for the time given in its job's spec, over several rounds. Each round is one call to
the core with at most the class's deadline, and ends with the core's final answer. A rejected round is
followed by another while time is left, if the answer says that a retry is harmless; a failed round is never
repeated. A task has at most one round in progress.
"""

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

# The pause after the first rejected round; doubled after each further one, up to the maximum.
RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS = 250.0, 4_000.0
MIN_ROUND_MS = 500.0  # a shorter round is not worth starting


class JobStep(Enum):
    """Where a task of a job is in its life."""

    QUEUED = "queued"  # waits in the queue
    IN_ROUND = "asked"  # has a call in progress at the core
    PAUSED = "paused"  # was rejected, is retried after a pause
    PLACED = "placed"
    TERMINAL = "over"


@dataclass(slots=True, eq=False)
class JobTask:
    """One task of a job."""

    job: JobState
    number: int
    wait_until_ms: float  # when the client stops waiting
    step: JobStep = JobStep.QUEUED
    round_count: int = 0
    call: Call | None = None
    pending_reasons: PendingReasons = field(default_factory=PendingReasons)  # collected over all its rounds
    is_cancelled: bool = False
    is_finished: bool = False
    final_answer: FinalAnswer | None = None  # the final answer given to the client, as opposed to a round's
    was_placed: bool = False

    def name(self) -> str:
        """The task's name: the job's name and the task's number."""
        return f"{self.job.name}.{self.number}"


@dataclass(slots=True, eq=False)
class JobState:
    """A job, its spec and its tasks."""

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
    is_removed: bool = False  # removed from the API

    def wait_ms(self) -> float:
        """How long each task may wait: the spec's `waitMs`, or the class's deadline."""
        return self.spec.wait_ms if self.spec.wait_ms is not None else self.task_class.deadline_ms

    def is_terminal(self) -> bool:
        """Whether all tasks have ended."""
        return all(job_task.step is JobStep.TERMINAL for job_task in self.tasks)

    def status(self) -> JobStatus:
        """Counts the job's tasks by phase, each task once."""
        counts = {"waiting": 0, "placed": 0, "finished": 0, "ended": 0, "refused": 0, "failed": 0}
        for job_task in self.tasks:
            counts[task_phase(job_task)] += 1
        if self.is_cancelled:
            phase = "cancelled"
        elif counts["waiting"]:
            phase = "waiting"
        else:
            phase = "placed" if counts["placed"] else "over"
        return JobStatus(phase=phase, **counts)  # type: ignore[arg-type]


def task_phase(job_task: JobTask) -> str:
    """The field of `JobStatus` that counts the task."""
    if job_task.step is JobStep.PLACED:
        return "placed"
    if job_task.step is not JobStep.TERMINAL:
        return "waiting"
    if job_task.was_placed:
        return "finished" if job_task.is_finished else "ended"
    return "failed" if job_task.final_answer is FinalAnswer.FAILED else "refused"


# ---- transitions ----


@dataclass(frozen=True, slots=True)
class Transition:
    """The next step of a task, and for a pause its length."""

    step: JobStep
    pause_ms: float = 0.0


def may_retry(answer: StatusAnswer, effect: api.Idempotency) -> bool:
    """Whether another round may follow a rejected one.

    A non-idempotent task is retried only if nothing of it ran, which only TASK_DROPPED guarantees.
    """
    return answer.retry_advice is RetryAdvice.HARMLESS and (
        effect is not api.Idempotency.NON_IDEMPOTENT or answer.state == TaskState.DROPPED
    )


def after_round(
    job_task: JobTask, final_answer: FinalAnswer, answer: StatusAnswer, now: float, random: Random
) -> Transition:
    """The transition that follows the final answer of a round."""
    if final_answer is FinalAnswer.PLACED:
        return Transition(JobStep.PLACED)
    if (
        final_answer is FinalAnswer.FAILED
        or job_task.is_cancelled
        or not may_retry(answer, job_task.job.task_class.idempotency)
    ):
        return Transition(JobStep.TERMINAL)
    remaining_ms = job_task.wait_until_ms - now
    if remaining_ms < 2.0 * MIN_ROUND_MS:
        return Transition(JobStep.TERMINAL)
    pause_ms = min(
        MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS * 2.0 ** min(8, job_task.round_count - 1)
    ) * random.uniform(0.75, 1.25)
    return Transition(JobStep.PAUSED, min(pause_ms, remaining_ms - MIN_ROUND_MS))


def after_end(job_task: JobTask, answer: StatusAnswer) -> Transition:
    """The transition that follows the end of a placed task.

    A task on an unreachable host may still be running, so it doesn't count as ended. The exception is a
    task whose job asks for a new placement and that may safely run twice: it is placed again, and if the
    first copy reappears, the core stops it.
    """
    may_place_again = (
        job_task.job.spec.when_lost == "again"
        and answer.state != TaskState.FINISHED
        and answer.retry_advice is RetryAdvice.HARMLESS
        and job_task.job.task_class.idempotency is not api.Idempotency.NON_IDEMPOTENT
        and not job_task.is_cancelled
    )
    if may_place_again:
        return Transition(JobStep.PAUSED, RETRY_PAUSE_MS * 2.0)
    return Transition(JobStep.PLACED if answer.state == TaskState.UNREACHABLE else JobStep.TERMINAL)


def round_ms(job_task: JobTask, now: float, margin_ms: float) -> float:
    """The time limit of the next round; 0 if no time is left."""
    remaining_ms = job_task.wait_until_ms - now - margin_ms
    return max(0.0, min(job_task.job.task_class.deadline_ms, remaining_ms))


# ---- order of rounds ----


class TokenBucket:
    """A token bucket: refilled at a rate per second, up to a burst. Times are milliseconds."""

    __slots__ = ("rate_per_s", "burst", "tokens", "refilled_at_ms")

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self.rate_per_s, self.burst, self.tokens, self.refilled_at_ms = rate_per_s, burst, burst, now

    def wait_ms(self, cost: float, now: float) -> float:
        """Time until the cost can be paid; 0 if it can be paid now.

        A cost above the burst can be paid from a full bucket.
        """
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at_ms) * self.rate_per_s / 1_000.0)
        self.refilled_at_ms = now
        missing = min(cost, self.burst) - self.tokens
        return max(0.0, missing / self.rate_per_s * 1_000.0)

    def consume(self, cost: float) -> None:
        """Takes the cost out of the bucket, which may leave it negative."""
        self.tokens -= cost


class RoundRobin:
    """The tasks that wait for a round, first rounds and retries, served tenant by tenant.

    A tenant that submits thousands of tasks delays only its own. Each tenant's retries have a separate
    budget, so that the rate of retries stays bounded while the cluster is full.
    """

    def __init__(self, retries_rate: float = 200.0, retries_burst: float = 400.0) -> None:
        self.retry_limits = retries_rate, retries_burst
        self.queues_by_tenant: OrderedDict[str, deque[JobTask]] = OrderedDict()
        self.paused: list[tuple[float, int, JobTask]] = []
        self.last_sequence = 0
        self.retry_buckets_by_tenant: dict[str, TokenBucket] = {}
        self.queued_count = 0

    def enqueue(self, job_task: JobTask) -> None:
        """Appends a task to its tenant's queue."""
        job_task.step = JobStep.QUEUED
        self.queues_by_tenant.setdefault(job_task.job.tenant, deque()).append(job_task)
        self.queued_count += 1

    def pause(self, job_task: JobTask, until_ms: float) -> None:
        """Holds a task back until the given time."""
        job_task.step = JobStep.PAUSED
        self.last_sequence += 1
        heapq.heappush(self.paused, (until_ms, self.last_sequence, job_task))

    def next_due_ms(self) -> float | None:
        """When the next pause ends; None if no task is paused."""
        while self.paused and self.paused[0][2].step is not JobStep.PAUSED:
            heapq.heappop(self.paused)
        return self.paused[0][0] if self.paused else None

    def enqueue_due(self, now: float) -> None:
        """Queues the tasks whose pause has ended, within the tenants' retry budgets."""
        while (due := self.next_due_ms()) is not None and due <= now:
            _, _, job_task = heapq.heappop(self.paused)
            bucket = self.retry_buckets_by_tenant.get(job_task.job.tenant)
            if bucket is None:
                bucket = self.retry_buckets_by_tenant[job_task.job.tenant] = TokenBucket(
                    *self.retry_limits, now
                )
            wait_ms = bucket.wait_ms(1.0, now)
            if wait_ms > 0.0:
                self.pause(job_task, now + wait_ms)
            else:
                bucket.consume(1.0)
                self.enqueue(job_task)

    def pop(self) -> JobTask | None:
        """The next task; skips those that were cancelled or whose time ran out in the queue."""
        while self.queues_by_tenant:
            tenant, queue = next(iter(self.queues_by_tenant.items()))
            self.queues_by_tenant.move_to_end(tenant)
            job_task = queue.popleft()
            self.queued_count -= 1
            if not queue:
                del self.queues_by_tenant[tenant]
            if job_task.step is JobStep.QUEUED:
                return job_task
        return None

    def forget_tenant(self, tenant: str) -> None:
        """Drops the retry budget of a tenant without jobs, unless tasks of it are still queued."""
        if tenant not in self.queues_by_tenant:
            self.retry_buckets_by_tenant.pop(tenant, None)


class IdempotencyKeys:
    """Idempotency keys of job creations: a repeated POST returns the job that the first one created.

    A key is kept for `retention_ms`, and at least until its job ends. When the table is full of keys that
    can't be dropped, creations with a new key are rejected: dropping a key too early would allow a
    duplicate job.
    """

    def __init__(self, max_keys: int = 50_000, retention_ms: float = 600_000.0) -> None:
        self.max_keys, self.retention_ms = max_keys, retention_ms
        self.entries_by_key: OrderedDict[tuple[str, str], tuple[int, JobState, float]] = OrderedDict()

    def find(self, tenant: str, key: str) -> tuple[int, JobState] | None:
        """The fingerprint of the first request's body and the job that it created."""
        entry = self.entries_by_key.get((tenant, key))
        return None if entry is None else entry[:2]

    def ensure_capacity(self, now: float) -> bool:
        """Drops expired keys if the table is full; returns whether there is room for one more."""
        if len(self.entries_by_key) >= self.max_keys:
            for entry_key, (_, job, recorded_at_ms) in list(self.entries_by_key.items())[:64]:
                if now - recorded_at_ms > self.retention_ms and job.is_terminal():
                    del self.entries_by_key[entry_key]
                else:
                    self.entries_by_key.move_to_end(entry_key)
        return len(self.entries_by_key) < self.max_keys

    def record_key(self, tenant: str, key: str, fingerprint: int, job: JobState, now: float) -> None:
        """Stores the key of a created job."""
        self.entries_by_key[tenant, key] = fingerprint, job, now

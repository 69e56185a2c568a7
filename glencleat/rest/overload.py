"""Decides what is taken when more is asked for than can be done: admission, pace, limits of each peer.
Pure.

Three bounds, from the outside in. A connection has a rate: one that goes past it is answered 429, and one
that goes on regardless is not read for a while, so that refusing costs little. A tenant has a rate of
creations and a bound on what it keeps waiting: 429. The allocator has a bound on what waits in all, and on
how long a new task would wait for its first round: 503. Each says when to come back. Cancelling is never
turned away here: it makes room."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from glencleat.rest.jobs import TokenBucket

SLOW_FACTOR, SLOW_MS = 4.0, 100.0  # answers that take so many times the best, and more than this, are slow
MIN_WINDOW, MAX_WINDOW = 16.0, 16_384.0
RATE_SAMPLE_MS = 100.0


@dataclass(frozen=True, slots=True)
class OverloadLimits:
    """Rates are a second; a list costs a token more for each 50,000 bytes that it gives."""

    connection_rate: float = 500.0
    connection_burst: float = 1_000.0
    tenant_rate: float = 1_000.0  # tasks created
    tenant_burst: float = 5_000.0
    max_tenants: int = 10_000  # with a rate of their own
    max_waiting_per_tenant: int = 10_000  # tasks of one tenant
    max_waiting: int = 50_000
    max_jobs: int = 20_000  # known, over or not
    max_first_round_wait_ms: float = 1_000.0  # a new task must get its first round by then
    max_ignored_rejections: int = (
        8  # refusals in a row on a connection, after which it is not read for a while
    )


@dataclass(frozen=True, slots=True)
class OverloadRejection:
    """A request that is not taken; `retry_after_ms` is when it might be."""

    status: int
    text: str
    retry_after_ms: float


class AdmissionPace:
    """How much time creations may take in one turn of the loop, and what they got done in it.

    Ends and acknowledgements come in by the same loop: when it runs late, creations take less of it, down to
    `min_budget_ms`; when it does not, a little more, up to `max_budget_ms`. The rate of first rounds is
    learned from the turns that left work over."""

    def __init__(
        self, min_budget_ms: float = 1.0, max_budget_ms: float = 8.0, max_lateness_ms: float = 12.0
    ) -> None:
        self.min_budget_ms, self.max_budget_ms, self.max_lateness_ms = (
            min_budget_ms,
            max_budget_ms,
            max_lateness_ms,
        )
        self.budget_ms = max_budget_ms
        self.window = 256.0  # attempts of jobs' tasks that may be out at once
        self.mean_latency_ms, self.min_latency_ms = (
            0.0,
            1e9,
        )  # from an attempt to its machine's answer: lately, at best
        self.rounds_per_s = 1_000.0  # tasks a second that get their round while more wait
        self.measured_since_ms: float | None = None
        self.rounds_started = 0

    def begin_turn(self, now: float, due: float) -> float:
        """The turn's budget in milliseconds; `due`: when it was to begin."""
        if now - due > self.max_lateness_ms:
            self.budget_ms = max(self.min_budget_ms, self.budget_ms / 2.0)
        else:
            self.budget_ms = min(self.max_budget_ms, self.budget_ms + self.min_budget_ms / 2.0)
        return self.budget_ms

    def record_latency(self, ms: float) -> None:
        """A machine answered an attempt after so long, as we read it."""
        self.mean_latency_ms += 0.05 * (ms - self.mean_latency_ms)
        self.min_latency_ms = min(1.001 * self.min_latency_ms, ms)

    def is_window_full(self, out: int) -> bool:
        """Whether so many attempts are out that more would only wait, here or at their machines.

        The window grows while answers come about as fast as they ever did and shrinks while they don't (as
        TCP Vegas has it): what is beyond it waits in the queue, where admission sees it."""
        if self.mean_latency_ms > max(SLOW_MS, SLOW_FACTOR * self.min_latency_ms):
            self.window = max(MIN_WINDOW, 0.98 * self.window)
        elif out > 0.8 * self.window:
            self.window = min(MAX_WINDOW, self.window + 4.0)
        return out >= self.window

    def end_turn(self, now: float, rounds_started: int, left: int) -> None:
        """A turn is over: so many were told, so many still wait.

        Turns in which nothing could be told count too: the rate is taken over stretches in which there was
        always something to tell."""
        if self.measured_since_ms is None:
            self.measured_since_ms, self.rounds_started = (now, 0) if left else (None, 0)
            return
        self.rounds_started += rounds_started
        span = now - self.measured_since_ms
        if span >= RATE_SAMPLE_MS:
            self.rounds_per_s = max(
                1.0, self.rounds_per_s + 0.3 * (1_000.0 * self.rounds_started / span - self.rounds_per_s)
            )
        if span >= RATE_SAMPLE_MS or not left:
            self.measured_since_ms, self.rounds_started = (now, 0) if left else (None, 0)

    def estimate_wait_ms(self, queued: int) -> float:
        """How long a task waits for its round behind so many."""
        return 1_000.0 * queued / self.rounds_per_s


class LoopTimeBudget:
    """How often something may be done now, so that it takes no more than a share of the loop's time, and any
    time in which the loop is idle, as far as that is told. What each took is measured where it is done."""

    def __init__(self, share: float, burst_ms: float, cost_ms: float, min_cost_ms: float) -> None:
        self.share, self.burst_ms, self.min_cost_ms = share, burst_ms, min_cost_ms
        self.remaining_ms, self.cost_ms, self.updated_at_ms, self.last_idle_ms = burst_ms, cost_ms, 0.0, 0.0

    def allowed_count(self, now: float, idle_ms: float = 0.0) -> int:
        """`idle_ms`: how long the loop has waited for events since its start."""
        more = self.share * (now - self.updated_at_ms) + (idle_ms - self.last_idle_ms)
        self.remaining_ms = min(self.burst_ms, self.remaining_ms + more)
        self.updated_at_ms, self.last_idle_ms = now, idle_ms
        return max(1, int(self.remaining_ms / self.cost_ms)) if self.remaining_ms > 0.0 else 0

    def record_cost(self, ms: float) -> None:
        """It was done once, and took so long."""
        self.remaining_ms -= ms
        self.cost_ms += 0.05 * (max(self.min_cost_ms, ms) - self.cost_ms)


class WakeBudget(LoopTimeBudget):
    """How many watchers may be woken now. With few watchers each is told at once; with many, each less often
    and more at a time, which costs less for each event."""

    def __init__(self, share: float = 0.1, burst_ms: float = 2.0) -> None:
        super().__init__(share, burst_ms, cost_ms=0.03, min_cost_ms=0.001)


class OverloadIntake(LoopTimeBudget):
    """How many requests of this front may be read now.

    Agents' and owners' calls come in by the same loop and are read as they come; what they leave is known
    from the loop's idle time. Without this a crowd of creations delays the yeses of tasks that were placed
    before, until their attempts time out and all work done for them is lost."""

    def __init__(self, share: float = 0.4, burst_ms: float = 20.0, max_wait_ms: float = 1_000.0) -> None:
        super().__init__(share, burst_ms, cost_ms=1.0, min_cost_ms=0.01)
        self.max_wait_ms = max_wait_ms

    def is_overloaded(self, waiting: int) -> bool:
        """Whether one more would wait too long behind so many, and is better told so at once."""
        return waiting * self.cost_ms / self.share > self.max_wait_ms


class RequestGate:
    """Admission of requests; one TokenBucket for each connection (kept by the front) and for each tenant."""

    def __init__(self, limits: OverloadLimits, pace: AdmissionPace) -> None:
        self.limits, self.pace = limits, pace
        self.buckets_by_tenant: OrderedDict[str, TokenBucket] = OrderedDict()
        self.rejections_by_reason: dict[str, int] = {}  # requests turned away, by reason

    def connection_bucket(self, now: float) -> TokenBucket:
        return TokenBucket(self.limits.connection_rate, self.limits.connection_burst, now)

    def admit_request(self, bucket: TokenBucket, cost: float, now: float) -> OverloadRejection | None:
        """Any request of a connection."""
        wait = bucket.wait_ms(cost, now)
        if wait > 0.0:
            return self._turned(
                "connection", 429, f"more than {self.limits.connection_rate:g} requests/s", wait
            )
        bucket.consume(cost)
        return None

    def admit_job(
        self, tenant: str, tasks: int, waiting_here: int, waiting: int, jobs: int, queued: int, now: float
    ) -> OverloadRejection | None:
        """A job of so many tasks; `queued` wait for a round now, `waiting` for their place."""
        limits = self.limits
        if waiting_here + tasks > limits.max_waiting_per_tenant:
            text = (
                f"{waiting_here} tasks of {tenant} wait, {tasks} come;"
                f" at most {limits.max_waiting_per_tenant}"
            )
            return self._turned("tenant waits", 429, text, 1_000.0)
        if waiting + tasks > limits.max_waiting:
            text = f"{waiting} tasks wait, {tasks} come; at most {limits.max_waiting}"
            return self._turned("all wait", 503, text, 1_000.0)
        if jobs >= limits.max_jobs:
            return self._turned("jobs", 503, f"{jobs} jobs are known; at most {limits.max_jobs}", 5_000.0)
        first = self.pace.estimate_wait_ms(queued)
        if queued and first > limits.max_first_round_wait_ms:
            text = (
                f"a new task would wait {first:.0f} ms for its first round;"
                f" at most {limits.max_first_round_wait_ms:g}"
            )
            return self._turned("overload", 503, text, first - 0.5 * limits.max_first_round_wait_ms)
        bucket = self._tenant(tenant, now)
        wait = bucket.wait_ms(tasks, now)
        if wait > 0.0:
            text = f"{tenant} creates more than {limits.tenant_rate:g} tasks/s"
            return self._turned("tenant rate", 429, text, wait)
        bucket.consume(tasks)
        return None

    def _tenant(self, tenant: str, now: float) -> TokenBucket:
        bucket = self.buckets_by_tenant.pop(tenant, None)
        if bucket is None:
            while len(self.buckets_by_tenant) >= self.limits.max_tenants:
                self.buckets_by_tenant.popitem(last=False)
            bucket = TokenBucket(self.limits.tenant_rate, self.limits.tenant_burst, now)
        self.buckets_by_tenant[tenant] = bucket
        return bucket

    def _turned(self, reason: str, status: int, text: str, retry_ms: float) -> OverloadRejection:
        self.rejections_by_reason[reason] = self.rejections_by_reason.get(reason, 0) + 1
        return OverloadRejection(status, text, max(50.0, retry_ms))

    def pause_ms(self, refused_in_a_row: int, retry_ms: float) -> float:
        """How long a connection is not read after a refusal: not at all, unless it ignores refusals."""
        return min(1_000.0, retry_ms) if refused_in_a_row > self.limits.max_ignored_rejections else 0.0

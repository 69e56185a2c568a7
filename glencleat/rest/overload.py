"""Overload control of the REST API: admission, pacing, and limits for each client. Pure.

There are three limits. Each connection has a request rate: a request above it is answered 429, and a
connection that ignores several rejections is not read for a while, so that rejecting costs little. Each
tenant has a rate of task creations and a limit on its waiting tasks (429). The allocator limits all waiting
tasks and the expected wait of a new task for its first round (503). Each rejection says when to retry.
Cancelling is never rejected here, as it frees capacity.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from glencleat.rest.jobs import TokenBucket

# Answers are slow if their mean latency exceeds both this multiple of the best and this time.
SLOW_FACTOR, SLOW_MS = 4.0, 100.0
MIN_WINDOW, MAX_WINDOW = 16.0, 16_384.0
RATE_SAMPLE_MS = 100.0


@dataclass(frozen=True, slots=True)
class OverloadLimits:
    """Limits of admission.

    Rates are per second. A list costs one more token for each 50,000 bytes that it returns.
    """

    connection_rate: float = 500.0
    connection_burst: float = 1_000.0
    tenant_rate: float = 1_000.0  # tasks created
    tenant_burst: float = 5_000.0
    max_tenants: int = 10_000  # that have a token bucket
    max_waiting_per_tenant: int = 10_000  # tasks
    max_waiting: int = 50_000
    max_jobs: int = 20_000  # kept, including those that have ended
    max_first_round_wait_ms: float = 1_000.0  # limit of a new task's expected wait for its first round
    # Rejections in a row on a connection, after which it is not read for a while.
    max_ignored_rejections: int = 8


@dataclass(frozen=True, slots=True)
class OverloadRejection:
    """Why a request was rejected; `retry_after_ms` is when a retry may succeed."""

    status: int
    text: str
    retry_after_ms: float


class AdmissionPace:
    """How much time creations may take in one turn of the event loop, and how many rounds start per second.

    Task ends and acknowledgements arrive on the same loop. When the loop runs late, the budget for
    creations is halved, down to `min_budget_ms`; otherwise it grows slowly, up to `max_budget_ms`. The rate
    of first rounds is estimated from turns that left work over.
    """

    def __init__(
        self, min_budget_ms: float = 1.0, max_budget_ms: float = 8.0, max_lateness_ms: float = 12.0
    ) -> None:
        self.min_budget_ms, self.max_budget_ms, self.max_lateness_ms = (
            min_budget_ms,
            max_budget_ms,
            max_lateness_ms,
        )
        self.budget_ms = max_budget_ms
        self.window = 256.0  # limit of attempts of job tasks in flight
        # From sending an attempt to its machine's answer: moving average, and the best.
        self.mean_latency_ms, self.min_latency_ms = 0.0, 1e9
        self.rounds_per_s = 1_000.0  # rate of rounds started while the queue is not empty
        self.measured_since_ms: float | None = None
        self.rounds_started = 0

    def begin_turn(self, now: float, due_ms: float) -> float:
        """The turn's budget in milliseconds; `due_ms` is when the turn was scheduled to begin."""
        if now - due_ms > self.max_lateness_ms:
            self.budget_ms = max(self.min_budget_ms, self.budget_ms / 2.0)
        else:
            self.budget_ms = min(self.max_budget_ms, self.budget_ms + self.min_budget_ms / 2.0)
        return self.budget_ms

    def record_latency(self, ms: float) -> None:
        """Records the time from sending an attempt to reading the machine's answer."""
        self.mean_latency_ms += 0.05 * (ms - self.mean_latency_ms)
        self.min_latency_ms = min(1.001 * self.min_latency_ms, ms)

    def is_window_full(self, in_flight: int) -> bool:
        """Whether more attempts in flight would only wait, here or at their machines.

        The window grows while answers arrive about as fast as the best observed and shrinks while they
        don't, as in TCP Vegas. Tasks beyond the window wait in the queue, where admission takes them into
        account.
        """
        if self.mean_latency_ms > max(SLOW_MS, SLOW_FACTOR * self.min_latency_ms):
            self.window = max(MIN_WINDOW, 0.98 * self.window)
        elif in_flight > 0.8 * self.window:
            self.window = min(MAX_WINDOW, self.window + 4.0)
        return in_flight >= self.window

    def end_turn(self, now: float, rounds_started: int, left: int) -> None:
        """Records a turn: the rounds started in it and the number of tasks `left` in the queue.

        Turns in which no round could start count too: the rate is measured over periods in which the queue
        was never empty.
        """
        if self.measured_since_ms is None:
            self.measured_since_ms, self.rounds_started = (now, 0) if left else (None, 0)
            return
        self.rounds_started += rounds_started
        elapsed_ms = now - self.measured_since_ms
        if elapsed_ms >= RATE_SAMPLE_MS:
            self.rounds_per_s = max(
                1.0,
                self.rounds_per_s + 0.3 * (1_000.0 * self.rounds_started / elapsed_ms - self.rounds_per_s),
            )
        if elapsed_ms >= RATE_SAMPLE_MS or not left:
            self.measured_since_ms, self.rounds_started = (now, 0) if left else (None, 0)

    def estimate_wait_ms(self, queued: int) -> float:
        """The expected wait for a round behind `queued` tasks."""
        return 1_000.0 * queued / self.rounds_per_s


class LoopTimeBudget:
    """Limits a repeated action to a share of the event loop's time, plus the loop's idle time where known.

    The cost of each action is measured and reported by the caller.
    """

    def __init__(self, share: float, burst_ms: float, cost_ms: float, min_cost_ms: float) -> None:
        self.share, self.burst_ms, self.min_cost_ms = share, burst_ms, min_cost_ms
        self.remaining_ms, self.cost_ms, self.updated_at_ms, self.last_idle_ms = burst_ms, cost_ms, 0.0, 0.0

    def allowed_count(self, now: float, idle_ms: float = 0.0) -> int:
        """How many actions may run now.

        `idle_ms` is how long the loop has waited for events since its start.
        """
        earned_ms = self.share * (now - self.updated_at_ms) + (idle_ms - self.last_idle_ms)
        self.remaining_ms = min(self.burst_ms, self.remaining_ms + earned_ms)
        self.updated_at_ms, self.last_idle_ms = now, idle_ms
        return max(1, int(self.remaining_ms / self.cost_ms)) if self.remaining_ms > 0.0 else 0

    def record_cost(self, ms: float) -> None:
        """Records the measured cost of one action."""
        self.remaining_ms -= ms
        self.cost_ms += 0.05 * (max(self.min_cost_ms, ms) - self.cost_ms)


class WakeBudget(LoopTimeBudget):
    """How many watchers may be woken now.

    With few watchers each is woken at once; with many, each is woken less often and gets more events at a
    time, which costs less per event.
    """

    def __init__(self, share: float = 0.1, burst_ms: float = 2.0) -> None:
        super().__init__(share, burst_ms, cost_ms=0.03, min_cost_ms=0.001)


class OverloadIntake(LoopTimeBudget):
    """How many requests of the REST API may be read now.

    Calls of agents and frameworks arrive on the same loop and are read without a limit; the time that they
    leave is known from the loop's idle time. Without this budget, a burst of creations delays the
    acceptances of tasks that were sent earlier, until their attempts time out and all work done for them is
    lost.
    """

    def __init__(self, share: float = 0.4, burst_ms: float = 20.0, max_wait_ms: float = 1_000.0) -> None:
        super().__init__(share, burst_ms, cost_ms=1.0, min_cost_ms=0.01)
        self.max_wait_ms = max_wait_ms

    def is_overloaded(self, waiting: int) -> bool:
        """Whether one more request would wait too long behind `waiting` others and is rejected at once."""
        return waiting * self.cost_ms / self.share > self.max_wait_ms


class RequestGate:
    """Admission of requests, with a token bucket per connection (kept by the server) and per tenant."""

    def __init__(self, limits: OverloadLimits, pace: AdmissionPace) -> None:
        self.limits, self.pace = limits, pace
        self.buckets_by_tenant: OrderedDict[str, TokenBucket] = OrderedDict()
        self.rejections_by_reason: dict[str, int] = {}  # number of rejected requests

    def connection_bucket(self, now: float) -> TokenBucket:
        """A bucket for a new connection."""
        return TokenBucket(self.limits.connection_rate, self.limits.connection_burst, now)

    def admit_request(self, bucket: TokenBucket, cost: float, now: float) -> OverloadRejection | None:
        """Admits or rejects any request of a connection."""
        wait = bucket.wait_ms(cost, now)
        if wait > 0.0:
            return self._reject(
                "connection", 429, f"more than {self.limits.connection_rate:g} requests/s", wait
            )
        bucket.consume(cost)
        return None

    def admit_job(
        self, tenant: str, tasks: int, waiting_here: int, waiting: int, jobs: int, queued: int, now: float
    ) -> OverloadRejection | None:
        """Admits or rejects a job of `tasks` tasks.

        `queued` is the number of tasks that wait for a round, `waiting` the number of tasks that wait to be
        placed, and `waiting_here` how many of those belong to the tenant.
        """
        limits = self.limits
        if waiting_here + tasks > limits.max_waiting_per_tenant:
            text = (
                f"{waiting_here} tasks of {tenant} wait, {tasks} come;"
                f" at most {limits.max_waiting_per_tenant}"
            )
            return self._reject("tenant waits", 429, text, 1_000.0)
        if waiting + tasks > limits.max_waiting:
            text = f"{waiting} tasks wait, {tasks} come; at most {limits.max_waiting}"
            return self._reject("all wait", 503, text, 1_000.0)
        if jobs >= limits.max_jobs:
            return self._reject("jobs", 503, f"{jobs} jobs are known; at most {limits.max_jobs}", 5_000.0)
        first = self.pace.estimate_wait_ms(queued)
        if queued and first > limits.max_first_round_wait_ms:
            text = (
                f"a new task would wait {first:.0f} ms for its first round;"
                f" at most {limits.max_first_round_wait_ms:g}"
            )
            return self._reject("overload", 503, text, first - 0.5 * limits.max_first_round_wait_ms)
        bucket = self._tenant_bucket(tenant, now)
        wait = bucket.wait_ms(tasks, now)
        if wait > 0.0:
            text = f"{tenant} creates more than {limits.tenant_rate:g} tasks/s"
            return self._reject("tenant rate", 429, text, wait)
        bucket.consume(tasks)
        return None

    def _tenant_bucket(self, tenant: str, now: float) -> TokenBucket:
        bucket = self.buckets_by_tenant.pop(tenant, None)
        if bucket is None:
            while len(self.buckets_by_tenant) >= self.limits.max_tenants:
                self.buckets_by_tenant.popitem(last=False)
            bucket = TokenBucket(self.limits.tenant_rate, self.limits.tenant_burst, now)
        self.buckets_by_tenant[tenant] = bucket
        return bucket

    def _reject(self, reason: str, status: int, text: str, retry_ms: float) -> OverloadRejection:
        self.rejections_by_reason[reason] = self.rejections_by_reason.get(reason, 0) + 1
        return OverloadRejection(status, text, max(50.0, retry_ms))

    def pause_ms(self, refused_in_a_row: int, retry_ms: float) -> float:
        """How long a connection is not read after a rejection: 0 unless it keeps ignoring rejections."""
        return min(1_000.0, retry_ms) if refused_in_a_row > self.limits.max_ignored_rejections else 0.0

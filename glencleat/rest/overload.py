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

from glencleat.rest.jobs import Bucket

SLOW, SLOW_MS = 4.0, 100.0  # answers that take so many times the best, and more than this, are slow
WINDOW_LEAST, WINDOW_MOST = 16.0, 16_384.0
STRETCH_MS = 100.0


@dataclass(frozen=True, slots=True)
class OverloadLimits:
    """Rates are a second; a list costs a token more for each 50,000 bytes that it gives."""

    connection_rate: float = 500.0
    connection_burst: float = 1_000.0
    tenant_rate: float = 1_000.0  # tasks created
    tenant_burst: float = 5_000.0
    tenants: int = 10_000  # with a rate of their own
    waiting_each: int = 10_000  # tasks of one tenant
    waiting: int = 50_000
    jobs: int = 20_000  # known, over or not
    first_round_ms: float = 1_000.0  # a new task must get its first round by then
    ignored: int = 8  # refusals in a row on a connection, after which it is not read for a while


@dataclass(frozen=True, slots=True)
class OverloadRejection:
    """A request that is not taken; `retry_ms` is when it might be."""

    status: int
    text: str
    retry_ms: float


class AdmissionPace:
    """How much time creations may take in one turn of the loop, and what they got done in it.

    Ends and acknowledgements come in by the same loop: when it runs late, creations take less of it, down to
    `least_ms`; when it does not, a little more, up to `most_ms`. The rate of first rounds is learned from the
    turns that left work over."""

    def __init__(self, least_ms: float = 1.0, most_ms: float = 8.0, late_ms: float = 12.0) -> None:
        self.least_ms, self.most_ms, self.late_ms = least_ms, most_ms, late_ms
        self.budget_ms = most_ms
        self.window = 256.0  # attempts of jobs' tasks that may be out at once
        self.took_ms, self.best_ms = 0.0, 1e9  # from an attempt to its machine's answer: lately, at best
        self.rate = 1_000.0  # tasks a second that get their round while more wait
        self.since: float | None = None
        self.told = 0

    def begins(self, now: float, due: float) -> float:
        """The turn's budget in milliseconds; `due`: when it was to begin."""
        if now - due > self.late_ms:
            self.budget_ms = max(self.least_ms, self.budget_ms / 2.0)
        else:
            self.budget_ms = min(self.most_ms, self.budget_ms + self.least_ms / 2.0)
        return self.budget_ms

    def answered(self, ms: float) -> None:
        """A machine answered an attempt after so long, as we read it."""
        self.took_ms += 0.05 * (ms - self.took_ms)
        self.best_ms = min(1.001 * self.best_ms, ms)

    def full(self, out: int) -> bool:
        """Whether so many attempts are out that more would only wait, here or at their machines.

        The window grows while answers come about as fast as they ever did and shrinks while they don't (as
        TCP Vegas has it): what is beyond it waits in the queue, where admission sees it."""
        if self.took_ms > max(SLOW_MS, SLOW * self.best_ms):
            self.window = max(WINDOW_LEAST, 0.98 * self.window)
        elif out > 0.8 * self.window:
            self.window = min(WINDOW_MOST, self.window + 4.0)
        return out >= self.window

    def ends(self, now: float, told: int, left: int) -> None:
        """A turn is over: so many were told, so many still wait.

        Turns in which nothing could be told count too: the rate is taken over stretches in which there was
        always something to tell."""
        if self.since is None:
            self.since, self.told = (now, 0) if left else (None, 0)
            return
        self.told += told
        span = now - self.since
        if span >= STRETCH_MS:
            self.rate = max(1.0, self.rate + 0.3 * (1_000.0 * self.told / span - self.rate))
        if span >= STRETCH_MS or not left:
            self.since, self.told = (now, 0) if left else (None, 0)

    def wait_ms(self, queued: int) -> float:
        """How long a task waits for its round behind so many."""
        return 1_000.0 * queued / self.rate


class Share:
    """How often something may be done now, so that it takes no more than a share of the loop's time, and any
    time in which the loop is idle, as far as that is told. What each took is measured where it is done."""

    def __init__(self, share: float, burst_ms: float, cost_ms: float, least_ms: float) -> None:
        self.share, self.burst_ms, self.least_ms = share, burst_ms, least_ms
        self.left_ms, self.cost_ms, self.at, self.idle = burst_ms, cost_ms, 0.0, 0.0

    def count(self, now: float, idle_ms: float = 0.0) -> int:
        """`idle_ms`: how long the loop has waited for events since its start."""
        more = self.share * (now - self.at) + (idle_ms - self.idle)
        self.left_ms = min(self.burst_ms, self.left_ms + more)
        self.at, self.idle = now, idle_ms
        return max(1, int(self.left_ms / self.cost_ms)) if self.left_ms > 0.0 else 0

    def spent(self, ms: float) -> None:
        """It was done once, and took so long."""
        self.left_ms -= ms
        self.cost_ms += 0.05 * (max(self.least_ms, ms) - self.cost_ms)


class Fan(Share):
    """How many watchers may be woken now. With few watchers each is told at once; with many, each less often
    and more at a time, which costs less for each event."""

    def __init__(self, share: float = 0.1, burst_ms: float = 2.0) -> None:
        super().__init__(share, burst_ms, cost_ms=0.03, least_ms=0.001)


class OverloadIntake(Share):
    """How many requests of this front may be read now.

    Agents' and owners' calls come in by the same loop and are read as they come; what they leave is known
    from the loop's idle time. Without this a crowd of creations delays the yeses of tasks that were placed
    before, until their attempts time out and all work done for them is lost."""

    def __init__(self, share: float = 0.4, burst_ms: float = 20.0, wait_ms: float = 1_000.0) -> None:
        super().__init__(share, burst_ms, cost_ms=1.0, least_ms=0.01)
        self.wait_ms = wait_ms

    def crowded(self, waiting: int) -> bool:
        """Whether one more would wait too long behind so many, and is better told so at once."""
        return waiting * self.cost_ms / self.share > self.wait_ms


class Gate:
    """Admission of requests; one Bucket for each connection (kept by the front) and for each tenant."""

    def __init__(self, limits: OverloadLimits, pace: AdmissionPace) -> None:
        self.limits, self.pace = limits, pace
        self.tenants: OrderedDict[str, Bucket] = OrderedDict()
        self.counts: dict[str, int] = {}  # requests turned away, by reason

    def connection(self, now: float) -> Bucket:
        return Bucket(self.limits.connection_rate, self.limits.connection_burst, now)

    def request(self, bucket: Bucket, cost: float, now: float) -> OverloadRejection | None:
        """Any request of a connection."""
        wait = bucket.wait(cost, now)
        if wait > 0.0:
            return self._turned(
                "connection", 429, f"more than {self.limits.connection_rate:g} requests/s", wait
            )
        bucket.pay(cost)
        return None

    def create(
        self, tenant: str, tasks: int, waiting_here: int, waiting: int, jobs: int, queued: int, now: float
    ) -> OverloadRejection | None:
        """A job of so many tasks; `queued` wait for a round now, `waiting` for their place."""
        limits = self.limits
        if waiting_here + tasks > limits.waiting_each:
            text = f"{waiting_here} tasks of {tenant} wait, {tasks} come; at most {limits.waiting_each}"
            return self._turned("tenant waits", 429, text, 1_000.0)
        if waiting + tasks > limits.waiting:
            text = f"{waiting} tasks wait, {tasks} come; at most {limits.waiting}"
            return self._turned("all wait", 503, text, 1_000.0)
        if jobs >= limits.jobs:
            return self._turned("jobs", 503, f"{jobs} jobs are known; at most {limits.jobs}", 5_000.0)
        first = self.pace.wait_ms(queued)
        if queued and first > limits.first_round_ms:
            text = (
                f"a new task would wait {first:.0f} ms for its first round; at most {limits.first_round_ms:g}"
            )
            return self._turned("overload", 503, text, first - 0.5 * limits.first_round_ms)
        bucket = self._tenant(tenant, now)
        wait = bucket.wait(tasks, now)
        if wait > 0.0:
            text = f"{tenant} creates more than {limits.tenant_rate:g} tasks/s"
            return self._turned("tenant rate", 429, text, wait)
        bucket.pay(tasks)
        return None

    def _tenant(self, tenant: str, now: float) -> Bucket:
        bucket = self.tenants.pop(tenant, None)
        if bucket is None:
            while len(self.tenants) >= self.limits.tenants:
                self.tenants.popitem(last=False)
            bucket = Bucket(self.limits.tenant_rate, self.limits.tenant_burst, now)
        self.tenants[tenant] = bucket
        return bucket

    def _turned(self, reason: str, status: int, text: str, retry_ms: float) -> OverloadRejection:
        self.counts[reason] = self.counts.get(reason, 0) + 1
        return OverloadRejection(status, text, max(50.0, retry_ms))

    def pause_ms(self, refused_in_a_row: int, retry_ms: float) -> float:
        """How long a connection is not read after a refusal: not at all, unless it ignores refusals."""
        return min(1_000.0, retry_ms) if refused_in_a_row > self.limits.ignored else 0.0

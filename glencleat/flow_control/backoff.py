"""When to ask a party again that could not be had, so that many who ask at once do not keep it down.

No I/O: time is an argument, the random numbers are the caller's. For the machine list and for hosts.
Three things keep a crowd from going in step and from growing: a first wait drawn from a whole span, since all
saw the same break; waits that grow; and a memory of how long the last connection lasted, since one that is
taken and ended at once is no success. `docs/design-fleet.md` derives the constants."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class BackoffPolicy:
    """Milliseconds. Waits are drawn from [0, first], then from the upper half of a span up to `max_ms`."""

    first_ms: float
    max_ms: float
    reset_after_ms: float  # a connection that lasted so long was one
    growth: float = 2.0

    def __post_init__(self) -> None:
        if not (0.0 < self.first_ms <= self.max_ms and self.growth >= 1.0 and self.reset_after_ms >= 0.0):
            raise ValueError(f"a pace that can't be kept: {self}")


# What a break of the list may cost is 2 s (protocol page); the first two waits and what comes between keep to
# it where the service is well again. Under a service that stays down each asks every 1.5 s on average.
MACHINE_LIST_BACKOFF = BackoffPolicy(first_ms=600.0, max_ms=2_000.0, reset_after_ms=2_000.0)
# The platform's command channel: what it tells counts as told at once, and a grace of some seconds begins.
# The longest wait and a try that came just too early (0.5 s) stay within it; 0.9 tries a second each.
COMMAND_CHANNEL_BACKOFF = BackoffPolicy(first_ms=600.0, max_ms=1_500.0, reset_after_ms=2_000.0)
# A host that can't be had: the first two tries within the time that refusals must last to prove an end; then
# as often as one in 0.8 s, in the mean.
HOST_BACKOFF = BackoffPolicy(first_ms=100.0, max_ms=1_000.0, reset_after_ms=1_000.0)


class Backoff:
    """One party that is asked.

    >>> asking = Backoff(MACHINE_LIST_BACKOFF, Random(1))
    >>> waits = [asking.next_delay_ms() for _ in range(5)]
    >>> 0.0 <= waits[0] <= 600.0 and all(1000.0 <= wait <= 2000.0 for wait in waits[2:])
    True
    """

    def __init__(self, policy: BackoffPolicy, random: Random) -> None:
        self.policy, self.random = policy, random
        self.retry_count = 0  # since the last connection that was one
        self.span_ms = policy.first_ms

    def first_delay_ms(self) -> float:
        """How long to wait before the first try of all: those that start together are spread as well.

        Only for one that can't work yet anyhow; one that starts with a list has it, and asks at once."""
        return self.random.uniform(0.0, self.policy.first_ms)

    def next_delay_ms(self, connected_ms: float = 0.0, retry_after_ms: float = 0.0) -> float:
        """How long to wait now that a try, or a connection that lasted so long, has ended.

        `retry_after_ms` is the other side's own word (Retry-After): never less, and spread beyond it by as
        much as a wait of ours would be, as it told all of them the same."""
        if connected_ms >= self.policy.reset_after_ms and connected_ms > 0.0:
            self.reset()
        least = 0.0 if self.retry_count == 0 else 0.5 * self.span_ms
        wait = self.random.uniform(least, self.span_ms)
        self.retry_count += 1
        self.span_ms = min(self.policy.max_ms, self.span_ms * self.policy.growth)
        return wait if retry_after_ms <= 0.0 else retry_after_ms + wait

    def reset(self) -> None:
        """It is there, as far as can be told: the next break is a first one."""
        self.retry_count, self.span_ms = 0, self.policy.first_ms

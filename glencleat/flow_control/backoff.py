"""Exponential backoff with jitter for a peer that many allocators reconnect to.

No I/O: time is an argument, the random numbers are the caller's. It serves the machine list, the command
channel and hosts. Three things keep a crowd of allocators from synchronizing and from keeping the peer down:
a first delay drawn from a whole span, since all saw the same failure; delays that grow; and the duration of
the last connection, since one that is accepted and ended at once is no success. `docs/design-fleet.md`
derives the constants.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class BackoffPolicy:
    """Bounds of the delays between attempts.

    The first delay is drawn from [0, `initial_ms`], later ones from the upper half of a span that grows by
    the factor `growth` up to `max_ms`. A connection that lasted `stable_ms` counts as a success. Raises
    ValueError for bounds that contradict each other.
    """

    initial_ms: float
    max_ms: float
    stable_ms: float
    growth: float = 2.0

    def __post_init__(self) -> None:
        if not (0.0 < self.initial_ms <= self.max_ms and self.growth >= 1.0 and self.stable_ms >= 0.0):
            raise ValueError(f"backoff policy out of bounds: {self}")


# The platform's protocol allows 2 s for a break of the list; the first two delays and what comes between stay
# within it where the service is up again. While it stays down each allocator tries every 1.5 s on average.
MACHINE_LIST_BACKOFF = BackoffPolicy(initial_ms=600.0, max_ms=2_000.0, stable_ms=2_000.0)
# The platform's command channel: its changes count as known at once, and a grace of some seconds begins. The
# longest delay and an attempt that came just too early (0.5 s) stay within it; 0.9 attempts a second each.
COMMAND_CHANNEL_BACKOFF = BackoffPolicy(initial_ms=600.0, max_ms=1_500.0, stable_ms=2_000.0)
# A host that can't be reached: the first two attempts fall within the time that refusals must last to prove
# an end; after that one in 0.8 s on average.
HOST_BACKOFF = BackoffPolicy(initial_ms=100.0, max_ms=1_000.0, stable_ms=1_000.0)


class Backoff:
    """The delays before the attempts to reach one peer.

    >>> backoff = Backoff(MACHINE_LIST_BACKOFF, Random(1))
    >>> delays = [backoff.next_delay_ms() for _ in range(5)]
    >>> 0.0 <= delays[0] <= 600.0 and all(1000.0 <= delay <= 2000.0 for delay in delays[2:])
    True
    """

    def __init__(self, policy: BackoffPolicy, random: Random) -> None:
        self.policy = policy
        self.random = random
        self.failures = 0  # since the last success
        self.span_ms = policy.initial_ms

    def initial_delay_ms(self) -> float:
        """The delay before the very first attempt, which spreads allocators that start together.

        Only for one that can't work yet; one that starts with a list attempts at once.
        """
        return self.random.uniform(0.0, self.policy.initial_ms)

    def next_delay_ms(self, connected_ms: float = 0.0, retry_after_ms: float = 0.0) -> float:
        """The delay after an attempt, or a connection that lasted `connected_ms`, has ended.

        `retry_after_ms` is the peer's own demand (Retry-After): the delay is never shorter, and exceeds it by
        as much as a delay of ours would be, as the peer sent the same to all.
        """
        if connected_ms >= self.policy.stable_ms and connected_ms > 0.0:
            self.reset()
        least_ms = 0.0 if self.failures == 0 else 0.5 * self.span_ms
        delay_ms = self.random.uniform(least_ms, self.span_ms)
        self.failures += 1
        self.span_ms = min(self.policy.max_ms, self.span_ms * self.policy.growth)
        return delay_ms if retry_after_ms <= 0.0 else retry_after_ms + delay_ms

    def reset(self) -> None:
        """The peer is up, as far as is known: the next failure is a first one."""
        self.failures = 0
        self.span_ms = self.policy.initial_ms

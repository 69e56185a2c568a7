"""Retry intervals, for the machine list, the command channel and hosts: exponential backoff with jitter.

The module does no I/O: time is an argument, and the caller supplies the random numbers. Three rules keep the
retries of many allocators from being synchronised and from growing in number:

- The first interval is drawn from a complete span, because all clients lose a service at the same moment.
- Later intervals grow.
- The duration of the last connection counts: one that is accepted and closed at once is not a success.

`docs/design-fleet.md` derives the constants.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class BackoffPolicy:
    """The bounds of the intervals, in milliseconds.

    The first interval is drawn from [0, `first_ms`], later ones from the upper half of a span that grows up
    to `max_ms`.
    """

    first_ms: float
    max_ms: float
    reset_after_ms: float  # a connection that lasted this long was a success
    growth: float = 2.0

    def __post_init__(self) -> None:
        if not (0.0 < self.first_ms <= self.max_ms and self.growth >= 1.0 and self.reset_after_ms >= 0.0):
            raise ValueError(
                f"invalid backoff policy: {self}; expected 0 < first_ms <= max_ms, growth >= 1,"
                " reset_after_ms >= 0"
            )


MACHINE_LIST_BACKOFF = BackoffPolicy(first_ms=600.0, max_ms=2_000.0, reset_after_ms=1_000.0)
"""For the machine list. An interruption may cost 2 s (protocol page): the first two intervals and the
attempts between them keep within that once the service has recovered. A connection is a success once the
service has had the time to send a line, which is due every second. While it is down, each client tries every
1.5 s on average."""

COMMAND_CHANNEL_BACKOFF = BackoffPolicy(first_ms=600.0, max_ms=1_500.0, reset_after_ms=2_000.0)
"""For the platform's command channel. Its changes count as known as soon as it has sent them, and a grace of
some seconds begins. The longest interval and an attempt just too early (0.5 s) keep within that grace. Each
client makes 0.9 attempts a second."""

HOST_BACKOFF = BackoffPolicy(first_ms=100.0, max_ms=1_000.0, reset_after_ms=1_000.0)
"""For hosts. The first two attempts fall within the time for which refusals must last to prove that a process
has ended; later ones follow every 0.8 s on average."""


class Backoff:
    """The intervals between attempts to reach one peer.

    >>> backoff = Backoff(MACHINE_LIST_BACKOFF, Random(1))
    >>> waits = [backoff.next_delay_ms() for _ in range(5)]
    >>> 0.0 <= waits[0] <= 600.0 and all(1000.0 <= wait <= 2000.0 for wait in waits[2:])
    True
    """

    def __init__(self, policy: BackoffPolicy, random: Random) -> None:
        self.policy, self.random = policy, random
        self.retry_count = 0  # since the last successful connection
        self.span_ms = policy.first_ms

    def first_delay_ms(self) -> float:
        """The interval before the very first attempt, which spreads processes that start together.

        It is for a process that can't work without the peer. One that starts with a list connects at once.
        """
        return self.random.uniform(0.0, self.policy.first_ms)

    def next_delay_ms(self, connected_ms: float = 0.0, retry_after_ms: float = 0.0) -> float:
        """The interval after a failed attempt or a closed connection.

        Args:
            connected_ms: How long the connection lasted; 0 for a failed attempt.
            retry_after_ms: The peer's Retry-After. The interval is never shorter, and exceeds it by as much
                as the interval without it, since the peer gave the same value to every client.
        """
        if connected_ms >= self.policy.reset_after_ms and connected_ms > 0.0:
            self.reset()
        min_delay_ms = 0.0 if self.retry_count == 0 else 0.5 * self.span_ms
        delay_ms = self.random.uniform(min_delay_ms, self.span_ms)
        self.retry_count += 1
        self.span_ms = min(self.policy.max_ms, self.span_ms * self.policy.growth)
        return delay_ms if retry_after_ms <= 0.0 else retry_after_ms + delay_ms

    def reset(self) -> None:
        """Treats the next failure as a first one: the peer is reachable as far as is known."""
        self.retry_count, self.span_ms = 0, self.policy.first_ms

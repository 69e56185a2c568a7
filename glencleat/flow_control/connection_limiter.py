"""Limits on connections to hosts: how many are being established, and how many begin each second.

The module does no I/O: time is an argument. When a zone or a network recovers, hundreds of allocators have
connections to open to every host at the same moment. A host that accepts ten connections a second is not back
sooner if a hundred are tried, and a host that does not answer holds each for the connect time-out. The limits
use only what an allocator knows by itself: the number of hosts, and the connections being established and to
where. The choice of a host for a task is made elsewhere. `docs/design-fleet.md` derives the constants.
"""

from __future__ import annotations

from collections import Counter

Address = tuple[str, int]

MAX_CONNECTING_PER_ADDRESS = 4
"""Connections being established to one address at once; further attempts share them."""

MIN_CONNECTING_LIMIT, CONNECTING_LIMIT_PER_HOST = 64, 0.5
"""Connections being established at once: the larger of the first and, for each known host, the second."""

MIN_RATE_PER_S = 100.0
"""Connections begun in a second: the larger of this and one for each known host."""

BURST_S = 0.5
"""The burst that may begin at one moment, in seconds of the rate."""

LIVENESS_CHECKS_PER_S = 32.0
"""Liveness checks a second that a quiet host receives from all allocators together, within
MAX_QUIET_LIMIT_MS."""

MAX_QUIET_LIMIT_MS = 3_000.0

LIVENESS_CHECK_SHARE = 0.5
"""The share of both limits that liveness checks may use."""


def quiet_limit_ms(allocator_count: int) -> float:
    """How long a host may be quiet before each of `allocator_count` allocators checks its liveness.

    A longer limit has a cost: behind a network partition, tasks are given up a fixed time after the host was
    last heard. An allocator that checks less often heard it longer ago, and gives its tasks up that much
    sooner after the partition began.
    """
    return min(MAX_QUIET_LIMIT_MS, 1e3 * allocator_count / LIVENESS_CHECKS_PER_S)


class ConnectionLimiter:
    """Counts the connections being established and holds the tokens for new ones.

    >>> limiter = ConnectionLimiter()
    >>> for _ in range(4): limiter.record_connect_begin(("127.0.0.1", 1), 0.0)
    >>> may_connect = limiter.may_connect(0.0, host_count=10)
    >>> limiter.is_saturated(("127.0.0.1", 1)), may_connect, limiter.connecting_count
    (True, True, 4)
    """

    def __init__(self) -> None:
        self.connecting_by_address = Counter[Address]()
        self.connecting_count = self.denied_count = 0
        self.rate_per_s = MIN_RATE_PER_S
        self.tokens, self.refilled_at_ms = BURST_S * MIN_RATE_PER_S, 0.0

    def is_saturated(self, address: Address) -> bool:
        """Whether another connection would only queue behind those being established to the address."""
        return self.connecting_by_address[address] >= MAX_CONNECTING_PER_ADDRESS

    def may_connect(self, now: float, host_count: int, is_liveness_check: bool = False) -> bool:
        """Whether a connection may begin now; a denial is counted.

        Args:
            now: The time in milliseconds.
            host_count: The number of known hosts.
            is_liveness_check: Whether the connection is opened without a set-up to send.
        """
        self._refill(now, host_count)
        share = LIVENESS_CHECK_SHARE if is_liveness_check else 1.0
        connecting_limit = share * max(MIN_CONNECTING_LIMIT, CONNECTING_LIMIT_PER_HOST * host_count)
        # A liveness check leaves the last tokens to set-ups.
        reserved_tokens = (1.0 - share) * BURST_S * self.rate_per_s
        allowed = self.connecting_count < connecting_limit and self.tokens >= 1.0 + reserved_tokens
        self.denied_count += not allowed
        return allowed

    def _refill(self, now: float, host_count: int) -> None:
        self.rate_per_s = max(MIN_RATE_PER_S, float(host_count))
        added_tokens = self.rate_per_s * max(0.0, now - self.refilled_at_ms) / 1e3
        self.tokens, self.refilled_at_ms = min(BURST_S * self.rate_per_s, self.tokens + added_tokens), now

    def record_connect_begin(self, address: Address, now: float) -> None:
        """Counts a connection that begins and takes its token."""
        self.connecting_by_address[address] += 1
        self.connecting_count += 1
        self.tokens = max(0.0, self.tokens - 1.0)

    def record_connect_end(self, address: Address) -> None:
        """Counts a connection as no longer being established: it is open, or has failed."""
        self.connecting_count -= 1
        self.connecting_by_address[address] -= 1
        if not self.connecting_by_address[address]:
            del self.connecting_by_address[address]

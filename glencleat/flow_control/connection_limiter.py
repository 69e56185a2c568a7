"""Limits on connections to hosts: how many come up at once, and how many begin in a second.

No I/O: time is an argument. When a zone or a network returns, each of hundreds of allocators has something to
open at every host in the same moment. A host that accepts ten connections a second is not up sooner for a
hundred attempts, and one that answers nothing holds each for a connect timeout. The limits follow from what
an allocator knows alone: how many hosts there are, what is coming up just now, and where. This paces
connections; which host gets a task is not decided here. `docs/design-fleet.md` derives the constants.
"""

from __future__ import annotations

from collections import Counter

Address = tuple[str, int]  # IP address and port

MAX_CONNECTING_PER_ADDRESS = 4  # coming up at once at one address; further set-ups share them
MIN_CONNECTING = 64  # may come up at once in all, however few hosts there are
CONNECTING_PER_HOST = 0.5  # the same, for each host known
MIN_RATE_PER_S = 100.0  # may begin in a second in all, however few hosts there are; else one for each host
BURST_S = 0.5  # so many seconds' worth may begin at one moment
PROBES_PER_HOST_PER_S = 32.0  # that a quiet host gets of all allocators, as far as MAX_PROBE_INTERVAL_MS lets
MAX_PROBE_INTERVAL_MS = 3_000.0
PROBE_SHARE = 0.5  # of both limits, for connections that only probe whether a host is alive
MS_PER_S = 1e3


def probe_interval_ms(allocator_count: int) -> float:
    """How long a host may be quiet before each of so many allocators probes it.

    The cost of a longer interval: behind a network cut, tasks are given up a fixed time after their host was
    last heard; who probes less often heard it longer ago, and gives them up that much sooner after the cut.
    """
    return min(MAX_PROBE_INTERVAL_MS, MS_PER_S * allocator_count / PROBES_PER_HOST_PER_S)


class ConnectionLimiter:
    """The connections that are coming up, and a token bucket for those that begin.

    >>> limiter = ConnectionLimiter()
    >>> for _ in range(4): limiter.record_start(("127.0.0.1", 1), 0.0)
    >>> limiter.is_saturated(("127.0.0.1", 1)), limiter.allows(0.0, host_count=10), limiter.connecting_count
    (True, True, 4)
    """

    def __init__(self) -> None:
        self.connecting_by_address = Counter[Address]()
        self.connecting_count = 0
        self.rejected_count = 0
        self.rate_per_s = MIN_RATE_PER_S
        self.tokens = BURST_S * MIN_RATE_PER_S
        self.refilled_at_ms = 0.0

    def is_saturated(self, address: Address) -> bool:
        """Whether so many are coming up there that one more would only queue behind them."""
        return self.connecting_by_address[address] >= MAX_CONNECTING_PER_ADDRESS

    def allows(self, now_ms: float, host_count: int, is_probe: bool = False) -> bool:
        """Whether a connection may begin now; counts a rejection if not.

        `host_count` is how many hosts are known. A probe carries no set-up, and leaves the last tokens to
        connections that do.
        """
        self._refill(now_ms, host_count)
        share = PROBE_SHARE if is_probe else 1.0
        max_connecting = share * max(MIN_CONNECTING, CONNECTING_PER_HOST * host_count)
        reserved_tokens = (1.0 - share) * BURST_S * self.rate_per_s
        is_allowed = self.connecting_count < max_connecting and self.tokens >= 1.0 + reserved_tokens
        if not is_allowed:
            self.rejected_count += 1
        return is_allowed

    def _refill(self, now_ms: float, host_count: int) -> None:
        self.rate_per_s = max(MIN_RATE_PER_S, float(host_count))
        earned = self.rate_per_s * max(0.0, now_ms - self.refilled_at_ms) / MS_PER_S
        self.tokens = min(BURST_S * self.rate_per_s, self.tokens + earned)
        self.refilled_at_ms = now_ms

    def record_start(self, address: Address, now_ms: float) -> None:
        """A connection has begun; takes a token."""
        self.connecting_by_address[address] += 1
        self.connecting_count += 1
        self.tokens = max(0.0, self.tokens - 1.0)

    def record_end(self, address: Address) -> None:
        """A connection that had begun is up, or has failed."""
        self.connecting_count -= 1
        self.connecting_by_address[address] -= 1
        if not self.connecting_by_address[address]:
            del self.connecting_by_address[address]

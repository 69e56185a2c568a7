"""Whether one more connection to a host may be begun now: how many come up, how many begin a second.

No I/O: time is an argument. When a zone returns, or a network, each of hundreds of allocators has something
to open at every host in the same moment. A host that takes ten connections a second is not up sooner for a
hundred that knock, and one that answers nothing holds each for a connect's time-out. What an allocator knows
alone bounds it: how many hosts there are, what comes up just now, and where. This paces what is opened; which
host takes a task is not asked here. `docs/design-fleet.md` derives the constants."""

from __future__ import annotations

from collections import Counter

Address = tuple[str, int]

MAX_CONNECTING_PER_ADDRESS = 4  # coming up at once at one address; what more there is shares them
MIN_CONNECTING_LIMIT, CONNECTING_LIMIT_PER_HOST = (
    64,
    0.5,
)  # coming up at once in all, or this part of the hosts
MIN_RATE_PER_S = 100.0  # begun a second in all, or one for each host
BURST_S = 0.5  # so many seconds' worth may begin at one moment
LIVENESS_CHECKS_PER_S = (
    32.0  # a second, that a quiet host hears of all together, as far as MAX_QUIET_LIMIT_MS lets
)
MAX_QUIET_LIMIT_MS = 3_000.0
LIVENESS_CHECK_SHARE = 0.5  # of both bounds for connections that only look whether a host lives


def quiet_limit_ms(peers: int) -> float:
    """How long a host may be quiet before one of so many allocators looks whether it lives.

    Harm: behind a cut, tasks are given up so long after their host was last heard; who looks less often heard
    it longer ago, and gives them up that much sooner after the cut began."""
    return min(MAX_QUIET_LIMIT_MS, 1e3 * peers / LIVENESS_CHECKS_PER_S)


class ConnectionLimiter:
    """What is coming up.

    >>> connecting = ConnectionLimiter()
    >>> for _ in range(4): connecting.record_connect_begin(("127.0.0.1", 1), 0.0)
    >>> may_connect = connecting.may_connect(0.0, host_count=10)
    >>> connecting.is_saturated(("127.0.0.1", 1)), may_connect, connecting.connecting_count
    (True, True, 4)
    """

    def __init__(self) -> None:
        self.connecting_by_address = Counter[Address]()
        self.connecting_count = self.denied_count = 0
        self.rate_per_s = MIN_RATE_PER_S
        self.tokens, self.refilled_at_ms = BURST_S * MIN_RATE_PER_S, 0.0

    def is_saturated(self, address: Address) -> bool:
        """Whether so many come up there that one more would only queue behind them."""
        return self.connecting_by_address[address] >= MAX_CONNECTING_PER_ADDRESS

    def may_connect(self, now: float, host_count: int, is_liveness_check: bool = False) -> bool:
        """Whether one may begin now; `host_count`: how many are known; `is_liveness_check`: it carries no
        set-up."""
        self._refill(now, host_count)
        part = LIVENESS_CHECK_SHARE if is_liveness_check else 1.0
        most = part * max(MIN_CONNECTING_LIMIT, CONNECTING_LIMIT_PER_HOST * host_count)
        spare = (1.0 - part) * BURST_S * self.rate_per_s  # a look leaves the last tokens to set-ups
        allowed = self.connecting_count < most and self.tokens >= 1.0 + spare
        self.denied_count += not allowed
        return allowed

    def _refill(self, now: float, hosts: int) -> None:
        self.rate_per_s = max(MIN_RATE_PER_S, float(hosts))
        more = self.rate_per_s * max(0.0, now - self.refilled_at_ms) / 1e3
        self.tokens, self.refilled_at_ms = min(BURST_S * self.rate_per_s, self.tokens + more), now

    def record_connect_begin(self, address: Address, now: float) -> None:
        self.connecting_by_address[address] += 1
        self.connecting_count += 1
        self.tokens = max(0.0, self.tokens - 1.0)

    def record_connect_end(self, address: Address) -> None:
        """It is up, or has failed."""
        self.connecting_count -= 1
        self.connecting_by_address[address] -= 1
        if not self.connecting_by_address[address]:
            del self.connecting_by_address[address]

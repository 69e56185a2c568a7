"""Whether one more connection to a host may be begun now: how many come up, how many begin a second.

No I/O: time is an argument. When a zone returns, or a network, each of hundreds of allocators has something
to open at every host in the same moment. A host that takes ten connections a second is not up sooner for a
hundred that knock, and one that answers nothing holds each for a connect's time-out. What an allocator knows
alone bounds it: how many hosts there are, what comes up just now, and where. This paces what is opened; which
host takes a task is not asked here. `docs/design-fleet.md` derives the constants."""

from __future__ import annotations

from collections import Counter

Address = tuple[str, int]

AT_ONE = 4  # coming up at once at one address; what more there is shares them
LEAST_COMING, PART_COMING = 64, 0.5  # coming up at once in all, or this part of the hosts
LEAST_RATE = 100.0  # begun a second in all, or one for each host
BURST_S = 0.5  # so many seconds' worth may begin at one moment
LOOKS_AT_ONE = 32.0  # a second, that a quiet host hears of all together, as far as LOOK_MOST_MS lets
LOOK_MOST_MS = 3_000.0
LOOKS = 0.5  # of both bounds for connections that only look whether a host lives


def look_ms(peers: int) -> float:
    """How long a host may be quiet before one of so many allocators looks whether it lives.

    Harm: behind a cut, tasks are given up so long after their host was last heard; who looks less often heard
    it longer ago, and gives them up that much sooner after the cut began."""
    return min(LOOK_MOST_MS, 1e3 * peers / LOOKS_AT_ONE)


class ConnectionLimiter:
    """What is coming up.

    >>> connecting = ConnectionLimiter()
    >>> for _ in range(4): connecting.began(("127.0.0.1", 1), 0.0)
    >>> connecting.shared(("127.0.0.1", 1)), connecting.may(0.0, hosts=10), connecting.coming
    (True, True, 4)
    """

    def __init__(self) -> None:
        self.at = Counter[Address]()
        self.coming = self.turned_away = 0
        self.rate = LEAST_RATE
        self.tokens, self.refilled = BURST_S * LEAST_RATE, 0.0

    def shared(self, address: Address) -> bool:
        """Whether so many come up there that one more would only queue behind them."""
        return self.at[address] >= AT_ONE

    def may(self, now: float, hosts: int, look: bool = False) -> bool:
        """Whether one may begin now; `hosts`: how many are known; `look`: it carries no set-up."""
        self._refill(now, hosts)
        part = LOOKS if look else 1.0
        most = part * max(LEAST_COMING, PART_COMING * hosts)
        spare = (1.0 - part) * BURST_S * self.rate  # a look leaves the last tokens to set-ups
        allowed = self.coming < most and self.tokens >= 1.0 + spare
        self.turned_away += not allowed
        return allowed

    def _refill(self, now: float, hosts: int) -> None:
        self.rate = max(LEAST_RATE, float(hosts))
        more = self.rate * max(0.0, now - self.refilled) / 1e3
        self.tokens, self.refilled = min(BURST_S * self.rate, self.tokens + more), now

    def began(self, address: Address, now: float) -> None:
        self.at[address] += 1
        self.coming += 1
        self.tokens = max(0.0, self.tokens - 1.0)

    def ended(self, address: Address) -> None:
        """It is up, or has failed."""
        self.coming -= 1
        self.at[address] -= 1
        if not self.at[address]:
            del self.at[address]

"""Who holds the process's file descriptors, and who gives one up: a bounded resource with one owner.

No I/O and no clock; imports nothing of the project. `glencleat/platform_server/` asks before it
makes a connection or
keeps one, and files what it holds by worth. What is worth least goes first, whichever host or owner it is of;
of one worth the one that was filed first, so longest unused. Guards against: a connect or accept that fails
for want of descriptors, which reads like a fault of the peer, and loops that try it again and again."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, IntEnum
from typing import Protocol

RESERVED_DESCRIPTORS = (
    32  # of the limit: 11 always open (standard, poller, signals, listener and its spare, channel, a file
)
# that is read), MAX_CLOSING, and 13 that nothing of ours takes, so that the limit is never reached
BACKLOG = 1_024  # connections that the system may hold until we take them: with fewer, some would be dropped
# in a rush and come back a second later. To operators these are descriptors of ours.
ARRIVAL_WINDOW_MS = (
    100.0  # a round of the loop may take so long: places are kept free for who comes meanwhile,
)
ARRIVAL_RESERVE_DIVISOR = 8  # for this part of the room at most; strangers hold all there is only in a rush
ARRIVAL_DECAY = 0.8  # so much of it is kept from one such time to the next
MAX_CLOSING = 8  # links that we end are read until their peer's end; more at once are closed without


class PeerKind(Enum):
    CLIENTS = "owners"
    HOSTS = "links"


class EvictionPriority(IntEnum):
    """What a descriptor is held for, cheapest first."""

    SPARE = 0  # a link with nothing open: nothing stands at its host, or another link is up there
    UNTRUSTED_CLIENT = 1  # an owners' connection with nothing open, on which nothing ever stood
    TRUSTED_CLIENT = 2  # an owners' connection with nothing open
    ONLY_CONNECTION = 3  # the only link to a host where tasks stand, up for long enough to hear what it owed
    NEW_ONLY_CONNECTION = 4  # the same, newer
    PINNED = 5  # something is open, coming up or irreplaceable: never given up


class Demand(Enum):
    """What a descriptor is wanted for."""

    CLIENT = "an owner comes"
    ATTEMPT = "an attempt, a release: its host has no link"
    EXTRA = "a further link, for one more set-up"
    LIVENESS_CHECK = "to hear from a host where tasks stand"


# What may go for it, in this order; first where its side holds less than its right, then where it does not.
# Both sides can't be short of theirs while nothing is free, so one that is finds the other above its own.
EVICTABLE_BY_DEMAND: dict[Demand, tuple[tuple[EvictionPriority, ...], tuple[EvictionPriority, ...]]] = {
    Demand.CLIENT: (
        (
            EvictionPriority.SPARE,
            EvictionPriority.UNTRUSTED_CLIENT,
            EvictionPriority.TRUSTED_CLIENT,
            EvictionPriority.ONLY_CONNECTION,
            EvictionPriority.NEW_ONLY_CONNECTION,
        ),
        (EvictionPriority.UNTRUSTED_CLIENT, EvictionPriority.TRUSTED_CLIENT),
    ),
    Demand.ATTEMPT: (
        (
            EvictionPriority.UNTRUSTED_CLIENT,
            EvictionPriority.SPARE,
            EvictionPriority.TRUSTED_CLIENT,
            EvictionPriority.ONLY_CONNECTION,
            EvictionPriority.NEW_ONLY_CONNECTION,
        ),
        (EvictionPriority.SPARE, EvictionPriority.ONLY_CONNECTION, EvictionPriority.NEW_ONLY_CONNECTION),
    ),
    Demand.EXTRA: ((EvictionPriority.UNTRUSTED_CLIENT, EvictionPriority.SPARE), (EvictionPriority.SPARE,)),
    Demand.LIVENESS_CHECK: (
        (
            EvictionPriority.UNTRUSTED_CLIENT,
            EvictionPriority.SPARE,
            EvictionPriority.TRUSTED_CLIENT,
            EvictionPriority.ONLY_CONNECTION,
        ),
        (EvictionPriority.SPARE, EvictionPriority.ONLY_CONNECTION),
    ),
}


class DescriptorHolder(Protocol):
    peer_kind: PeerKind

    def eviction_priority(self) -> EvictionPriority:
        """As it is now."""

    def read_pending(self) -> None:
        """Asked just before it is given up: takes in what has come on it, which may change its worth."""

    def evict(self) -> None:
        """Ends it; `remove_holder` or `begin_close` is called before this returns."""


class DescriptorBudget:
    """Every descriptor of owners and links. `limit` is the process's. CLIENTS have a right to a third of it,
    since the protocol page says that they hold no more, HOSTS to the rest."""

    def __init__(self, limit: int) -> None:
        self.capacity = max(8, limit - RESERVED_DESCRIPTORS)
        owners = min(limit // 3, self.capacity // 2)
        self.quotas_by_peer_kind = {PeerKind.CLIENTS: owners, PeerKind.HOSTS: self.capacity - owners}
        self.counts_by_peer_kind = {PeerKind.CLIENTS: 0, PeerKind.HOSTS: 0}
        self.priorities_by_holder: dict[DescriptorHolder, EvictionPriority] = {}
        self.holders_by_priority: tuple[dict[DescriptorHolder, None], ...] = tuple(
            {} for _ in EvictionPriority
        )
        self.closing_holders: set[DescriptorHolder] = set()
        self.peak_count = self.denied_count = 0
        self.expected_arrivals, self.window_arrivals, self.window_start_ms = (
            0.0,
            0,
            0.0,
        )  # newcomers in such a time: lately, now, since when
        self.on_capacity_freed: Callable[[], None] = lambda: None  # one is free, or worth less than it was

    @property
    def held_count(self) -> int:
        return len(self.priorities_by_holder)

    def admit_client(self, now: float) -> bool:
        """Whether one who comes may come in; `now` in milliseconds.

        In a rush strangers go as well, so that those who come during a standstill, and wait for us to take
        them, have their places free: the operators count them as ours."""
        passed = (now - self.window_start_ms) // ARRIVAL_WINDOW_MS
        if passed >= 1.0:
            self.expected_arrivals = max(
                self.window_arrivals * ARRIVAL_DECAY ** (passed - 1.0),
                self.expected_arrivals * ARRIVAL_DECAY**passed,
            )
            self.window_arrivals, self.window_start_ms = 0, self.window_start_ms + passed * ARRIVAL_WINDOW_MS
        self.window_arrivals += 1
        if not self.ensure_capacity(Demand.CLIENT):
            return False
        while self.held_count >= self.capacity - self.arrival_reserve and self._end_least(
            (EvictionPriority.UNTRUSTED_CLIENT,)
        ):
            pass
        return True

    @property
    def arrival_reserve(self) -> int:
        """Places for those who may come during a standstill, by how many came lately."""
        return min(
            int(max(self.expected_arrivals, self.window_arrivals)), self.capacity // ARRIVAL_RESERVE_DIVISOR
        )

    def ensure_capacity(self, demand: Demand) -> bool:
        """Whether one more may be opened; ends what is worth less where nothing is free."""
        if self.held_count < self.capacity:
            return True
        side = PeerKind.CLIENTS if demand is Demand.CLIENT else PeerKind.HOSTS
        within = self.counts_by_peer_kind[side] < self.quotas_by_peer_kind[side]
        if self._end_least(EVICTABLE_BY_DEMAND[demand][0 if within else 1]):
            return self.held_count < self.capacity
        self.denied_count += 1
        return False

    def _end_least(self, worths: tuple[EvictionPriority, ...]) -> bool:
        while (victim := self._least(worths)) is not None:
            worth = victim.eviction_priority()
            victim.read_pending()
            if victim.eviction_priority() is worth:
                victim.evict()
                return True
        return False

    def _least(self, worths: tuple[EvictionPriority, ...]) -> DescriptorHolder | None:
        """The first that is still worth what it was filed under; what is not is filed anew on the way."""
        for worth in worths:
            line = self.holders_by_priority[worth]
            while line:
                holder = next(iter(line))
                now = holder.eviction_priority()
                if now is worth:
                    return holder
                self._move(holder, now)
        return None

    def add_holder(self, holder: DescriptorHolder) -> None:
        self.counts_by_peer_kind[holder.peer_kind] += 1
        self._move(holder, holder.eviction_priority())
        self.peak_count = max(self.peak_count, self.held_count)

    def update_priority(self, holder: DescriptorHolder, was_used: bool = False) -> None:
        """Its worth may have changed; `was_used` puts it last among its equals. One not held is let be."""
        before = self.priorities_by_holder.get(holder)
        if before is None:
            return
        now = holder.eviction_priority()
        if now is not before or was_used:
            self._move(holder, now)
            if now < before:
                self.on_capacity_freed()

    def _move(self, holder: DescriptorHolder, worth: EvictionPriority) -> None:
        before = self.priorities_by_holder.get(holder)
        if before is not None:
            del self.holders_by_priority[before][holder]
        self.priorities_by_holder[holder] = worth
        self.holders_by_priority[worth][holder] = None

    def begin_close(self, holder: DescriptorHolder) -> bool:
        """It ends by itself in a moment and counts as free; False if too many do: close it now."""
        if len(self.closing_holders) >= MAX_CLOSING:
            return False
        if holder in self.priorities_by_holder:
            self._drop(holder)
            self.closing_holders.add(holder)
        return True

    def remove_holder(self, holder: DescriptorHolder) -> None:
        """Its descriptor is closed."""
        self.closing_holders.discard(holder)
        if holder in self.priorities_by_holder:
            self._drop(holder)

    def _drop(self, holder: DescriptorHolder) -> None:
        del self.holders_by_priority[self.priorities_by_holder.pop(holder)][holder]
        self.counts_by_peer_kind[holder.peer_kind] -= 1
        self.on_capacity_freed()

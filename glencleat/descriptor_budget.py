"""File descriptors as a bounded resource: who holds them, and who gives one up for whom.

No I/O and no clock; imports nothing of the project. `glencleat/platform_server/` asks before it opens or
accepts a connection, and registers each one with its eviction priority. The cheapest goes first, whichever
host or client it belongs to; among equals the one registered or used longest ago. This guards against a
connect or accept that fails for want of descriptors, which reads like a fault of the peer, and against loops
that retry it without end.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol

# Of the limit: 11 always open (standard streams, poller, signals, listener and its spare, command channel, a
# file that is read), MAX_CLOSING, and 13 that nothing of ours takes, so that the limit is never reached.
RESERVED_DESCRIPTORS = 32
MIN_CAPACITY = 8  # for connections, however low the limit is
CLIENT_LIMIT_DIVISOR = 3  # the platform's protocol says that clients hold no more than a third of the limit
# Connections that the system may hold until we accept them: with fewer, some would be dropped in a rush and
# come back a second later. To the operators these are descriptors of ours.
LISTEN_BACKLOG = 1_024
# A round of the event loop may take so long: descriptors are kept free for the clients that arrive meanwhile.
STALL_MS = 100.0
HEADROOM_DIVISOR = 8  # so much of the capacity at most; idle unproven clients hold all of it outside a rush
ARRIVAL_DECAY = 0.8  # of the recent arrivals, from one STALL_MS interval to the next
# Connections to hosts that we end are read until their peer's end; more than so many are closed at once.
MAX_CLOSING = 8


class Side(Enum):
    """Whose connection a descriptor is for."""

    CLIENTS = "owners"
    HOSTS = "links"


class EvictionPriority(IntEnum):
    """What a descriptor is held for, cheapest first."""

    REDUNDANT = 0  # to a host, with nothing open: no task runs there, or another connection to it is up
    IDLE_UNPROVEN = 1  # a client's with nothing open, by which no task was ever placed
    IDLE_PROVEN = 2  # a client's with nothing open, by which some task was placed
    MONITOR_SETTLED = 3  # the only one to a host where tasks run, up for long enough to hear what it owed
    MONITOR_RECENT = 4  # the same, newer
    IN_USE = 5  # something is open, coming up or irreplaceable: never evicted


class Demand(Enum):
    """What a descriptor is wanted for."""

    CLIENT = "an owner comes"
    ATTEMPT = "an attempt, a release: its host has no link"
    ADDITIONAL = "a further link, for one more set-up"
    MONITOR = "to hear from a host where tasks stand"

    @property
    def side(self) -> Side:
        """The side that the descriptor would count for."""
        return Side.CLIENTS if self is Demand.CLIENT else Side.HOSTS


@dataclass(frozen=True, slots=True)
class EvictionRule:
    """What may be evicted for a demand, in this order.

    Both sides can't be below their quotas while nothing is free, so a side that is finds the other above its
    own.
    """

    below_quota: tuple[EvictionPriority, ...]  # where the demanding side holds less than its quota
    at_quota: tuple[EvictionPriority, ...]  # where it does not


EVICTABLE: dict[Demand, EvictionRule] = {
    Demand.CLIENT: EvictionRule(
        below_quota=(
            EvictionPriority.REDUNDANT,
            EvictionPriority.IDLE_UNPROVEN,
            EvictionPriority.IDLE_PROVEN,
            EvictionPriority.MONITOR_SETTLED,
            EvictionPriority.MONITOR_RECENT,
        ),
        at_quota=(EvictionPriority.IDLE_UNPROVEN, EvictionPriority.IDLE_PROVEN),
    ),
    Demand.ATTEMPT: EvictionRule(
        below_quota=(
            EvictionPriority.IDLE_UNPROVEN,
            EvictionPriority.REDUNDANT,
            EvictionPriority.IDLE_PROVEN,
            EvictionPriority.MONITOR_SETTLED,
            EvictionPriority.MONITOR_RECENT,
        ),
        at_quota=(
            EvictionPriority.REDUNDANT,
            EvictionPriority.MONITOR_SETTLED,
            EvictionPriority.MONITOR_RECENT,
        ),
    ),
    Demand.ADDITIONAL: EvictionRule(
        below_quota=(EvictionPriority.IDLE_UNPROVEN, EvictionPriority.REDUNDANT),
        at_quota=(EvictionPriority.REDUNDANT,),
    ),
    Demand.MONITOR: EvictionRule(
        below_quota=(
            EvictionPriority.IDLE_UNPROVEN,
            EvictionPriority.REDUNDANT,
            EvictionPriority.IDLE_PROVEN,
            EvictionPriority.MONITOR_SETTLED,
        ),
        at_quota=(EvictionPriority.REDUNDANT, EvictionPriority.MONITOR_SETTLED),
    ),
}


class DescriptorHolder(Protocol):
    """A connection that holds a descriptor, as the budget knows it."""

    side: Side

    def eviction_priority(self) -> EvictionPriority:
        """As it is now."""

    def read_pending(self) -> None:
        """Takes in what has arrived, which may change the priority; called just before an eviction."""

    def evict(self) -> None:
        """Ends the connection; `release` or `begin_closing` is called before this returns."""


def _ignore_freed() -> None:
    """Nobody waits for a descriptor."""


class DescriptorBudget:
    """Every descriptor of client and host connections.

    `limit` is the process's limit on open files. Clients have a quota of a third of it, as the platform's
    protocol says that they hold no more; hosts have the rest.

    Invariants: `priorities` and `queues` hold the same holders, `held_by_side` counts them, and there are
    never more than `capacity` where each was registered after `make_room` or `admit_client` agreed.
    """

    def __init__(self, limit: int) -> None:
        self.capacity = max(MIN_CAPACITY, limit - RESERVED_DESCRIPTORS)
        client_quota = min(limit // CLIENT_LIMIT_DIVISOR, self.capacity // 2)
        self.quotas = {Side.CLIENTS: client_quota, Side.HOSTS: self.capacity - client_quota}
        self.held_by_side = {Side.CLIENTS: 0, Side.HOSTS: 0}
        self.priorities: dict[DescriptorHolder, EvictionPriority] = {}  # as registered, maybe outdated
        # By priority, each in the order in which its holders were registered or last used.
        self.queues: tuple[dict[DescriptorHolder, None], ...] = tuple({} for _ in EvictionPriority)
        self.closing: set[DescriptorHolder] = set()
        self.peak_held = 0
        self.rejected_count = 0
        self.recent_arrivals = 0.0  # of clients in one STALL_MS interval, decaying
        self.arrivals = 0  # of clients in the interval that began at `interval_start_ms`
        self.interval_start_ms = 0.0
        self.on_freed: Callable[[], None] = _ignore_freed  # one is free, or cheaper than it was

    @property
    def held_count(self) -> int:
        """Descriptors held now; those that are closing count as free."""
        return len(self.priorities)

    @property
    def headroom(self) -> int:
        """Descriptors kept free for clients that may arrive during a stall, by how many came lately."""
        return min(int(max(self.recent_arrivals, self.arrivals)), self.capacity // HEADROOM_DIVISOR)

    def admit_client(self, now_ms: float) -> bool:
        """Whether one more client connection may be accepted.

        In a rush idle unproven clients are evicted as well, so that those who arrive during a stall, and wait
        to be accepted, have their descriptors free: the operators count them as ours.
        """
        self._record_arrival(now_ms)
        if not self.make_room(Demand.CLIENT):
            return False
        while self.held_count >= self.capacity - self.headroom:
            if not self._evict_first((EvictionPriority.IDLE_UNPROVEN,)):
                break
        return True

    def _record_arrival(self, now_ms: float) -> None:
        intervals = (now_ms - self.interval_start_ms) // STALL_MS
        if intervals >= 1.0:
            self.recent_arrivals = max(
                self.arrivals * ARRIVAL_DECAY ** (intervals - 1.0),
                self.recent_arrivals * ARRIVAL_DECAY**intervals,
            )
            self.arrivals = 0
            self.interval_start_ms += intervals * STALL_MS
        self.arrivals += 1

    def make_room(self, demand: Demand) -> bool:
        """Whether one more may be opened; evicts something cheaper where none is free."""
        if self.held_count < self.capacity:
            return True
        side = demand.side
        rule = EVICTABLE[demand]
        is_below_quota = self.held_by_side[side] < self.quotas[side]
        if self._evict_first(rule.below_quota if is_below_quota else rule.at_quota):
            return self.held_count < self.capacity
        self.rejected_count += 1
        return False

    def _evict_first(self, priorities: tuple[EvictionPriority, ...]) -> bool:
        """Evicts the first holder of these priorities that keeps it after reading what is pending."""
        while (victim := self._find_victim(priorities)) is not None:
            priority = victim.eviction_priority()
            victim.read_pending()
            if victim.eviction_priority() is priority:
                victim.evict()
                return True
        return False

    def _find_victim(self, priorities: tuple[EvictionPriority, ...]) -> DescriptorHolder | None:
        """The first whose priority is still as registered; others are moved to their queue on the way."""
        for priority in priorities:
            queue = self.queues[priority]
            while queue:
                holder = next(iter(queue))
                current = holder.eviction_priority()
                if current is priority:
                    return holder
                self._move(holder, current)
        return None

    def register(self, holder: DescriptorHolder) -> None:
        """Counts a descriptor that was opened or accepted."""
        self.held_by_side[holder.side] += 1
        self._move(holder, holder.eviction_priority())
        self.peak_held = max(self.peak_held, self.held_count)

    def update_priority(self, holder: DescriptorHolder, used: bool = False) -> None:
        """Notes that a holder's priority may have changed; does nothing for one that is not held.

        `used` puts it last among its equals.
        """
        before = self.priorities.get(holder)
        if before is None:
            return
        current = holder.eviction_priority()
        if current is not before or used:
            self._move(holder, current)
            if current < before:
                self.on_freed()

    def _move(self, holder: DescriptorHolder, priority: EvictionPriority) -> None:
        before = self.priorities.get(holder)
        if before is not None:
            del self.queues[before][holder]
        self.priorities[holder] = priority
        self.queues[priority][holder] = None

    def begin_closing(self, holder: DescriptorHolder) -> bool:
        """Counts a descriptor as free that will close by itself in a moment.

        Returns False if too many are closing: the caller then closes it now.
        """
        if len(self.closing) >= MAX_CLOSING:
            return False
        if holder in self.priorities:
            self._remove(holder)
            self.closing.add(holder)
        return True

    def release(self, holder: DescriptorHolder) -> None:
        """Counts a descriptor as closed; does nothing for one that is not known."""
        self.closing.discard(holder)
        if holder in self.priorities:
            self._remove(holder)

    def _remove(self, holder: DescriptorHolder) -> None:
        del self.queues[self.priorities.pop(holder)][holder]
        self.held_by_side[holder.side] -= 1
        self.on_freed()

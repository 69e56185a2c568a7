"""A budget of the process's file descriptors: who holds one, and whose connection is closed to free one.

The budget does no I/O and reads no clock; it imports nothing of the project. `glencleat/platform_server/`
asks it before it opens or accepts a connection, and files each connection under its eviction priority. The
lowest priority is evicted first, whichever host or client the connection belongs to; among equal priorities
the one that was filed first, which is the longest unused. The budget guards against connects and accepts that
fail for want of a descriptor, since such a failure looks like a fault of the peer, and against loops that
retry them without pause.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, IntEnum
from typing import Protocol

RESERVED_DESCRIPTORS = 32
"""Descriptors of the process's limit that no connection may use.

11 are always open (the standard streams, the poller, signals, the listener and its spare, the command
channel, a file that is being read), MAX_CLOSING belong to closing connections, and 13 are a margin that no
connection takes, so that the limit is never reached."""

BACKLOG = 1_024
"""The listen backlog, in connections.

In a burst a shorter one overflows: the system drops connections, and clients retry a second later. Operators
count the connections in the backlog as descriptors of this process."""

ARRIVAL_WINDOW_MS = 100.0
"""The longest that a round of the event loop may take: capacity is reserved for clients that connect
meanwhile."""

ARRIVAL_RESERVE_DIVISOR = 8
"""The reserve for arrivals is at most the capacity divided by this: untrusted clients hold all of the
capacity only in a burst."""

ARRIVAL_DECAY = 0.8
"""The factor by which the expected number of arrivals decays in each window."""

MAX_CLOSING = 8
"""Connections that may be read until the peer closes them too; any further one is closed without that."""


class PeerKind(Enum):
    """What is at the other end of a connection."""

    CLIENTS = "owners"
    HOSTS = "links"


class EvictionPriority(IntEnum):
    """What a descriptor is held for; the lowest value is evicted first."""

    SPARE = 0  # an idle connection to a host that has no placed task, or to which another connection is up
    UNTRUSTED_CLIENT = 1  # an idle client connection on which no task was ever placed
    TRUSTED_CLIENT = 2  # an idle client connection
    ONLY_CONNECTION = 3  # the only one to a host with placed tasks, old enough to have got overdue releases
    NEW_ONLY_CONNECTION = 4  # the only one to a host with placed tasks, newer
    PINNED = 5  # in use, being opened, or irreplaceable: never evicted


class Demand(Enum):
    """What a descriptor is needed for."""

    CLIENT = "a client connects"
    ATTEMPT = "an attempt or a release for a host without a connection"
    EXTRA = "a further connection, for one more set-up"
    LIVENESS_CHECK = "to hear from a host with placed tasks"


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
"""The priorities that may be evicted for a demand, in this order: first while its peer kind holds less than
its quota, then while it does not.

Both peer kinds can't be below their quotas while nothing is free, so one that is finds the other above its
own."""


class DescriptorHolder(Protocol):
    """A connection that holds one descriptor."""

    peer_kind: PeerKind

    def eviction_priority(self) -> EvictionPriority:
        """Returns the current priority."""

    def read_pending(self) -> None:
        """Reads what has arrived, which may change the priority. Called just before an eviction."""

    def evict(self) -> None:
        """Closes the connection; calls `remove_holder` or `begin_close` before it returns."""


class DescriptorBudget:
    """The descriptors of all client and host connections.

    CLIENTS have a quota of a third of the limit, since the protocol page says that they hold no more; HOSTS
    have the rest. A peer kind may exceed its quota while the other does not need its own.
    """

    def __init__(self, limit: int) -> None:
        """Starts with nothing held. `limit` is the process's limit on open descriptors."""
        self.capacity = max(8, limit - RESERVED_DESCRIPTORS)
        client_quota = min(limit // 3, self.capacity // 2)
        self.quotas_by_peer_kind = {
            PeerKind.CLIENTS: client_quota,
            PeerKind.HOSTS: self.capacity - client_quota,
        }
        self.counts_by_peer_kind = {PeerKind.CLIENTS: 0, PeerKind.HOSTS: 0}
        self.priorities_by_holder: dict[DescriptorHolder, EvictionPriority] = {}
        self.holders_by_priority: tuple[dict[DescriptorHolder, None], ...] = tuple(
            {} for _ in EvictionPriority
        )
        self.closing_holders: set[DescriptorHolder] = set()
        self.peak_count = self.denied_count = 0
        # Arrivals of clients in a window: expected from the windows before, counted in the current one, and
        # when that began.
        self.expected_arrivals, self.window_arrivals, self.window_start_ms = (
            0.0,
            0,
            0.0,
        )
        # Called when a descriptor is freed, or when the priority of a holder drops.
        self.on_capacity_freed: Callable[[], None] = lambda: None

    @property
    def held_count(self) -> int:
        """Descriptors in use, without those of closing connections."""
        return len(self.priorities_by_holder)

    def admit_client(self, now: float) -> bool:
        """Returns whether a client that connects may be accepted, and evicts others for it if necessary.

        In a burst untrusted clients are evicted as well, down to the arrival reserve: clients that connect
        while the event loop is stalled wait in the listen backlog, and operators count them as held by this
        process.

        Args:
            now: The current time in milliseconds.
        """
        elapsed_windows = (now - self.window_start_ms) // ARRIVAL_WINDOW_MS
        if elapsed_windows >= 1.0:
            self.expected_arrivals = max(
                self.window_arrivals * ARRIVAL_DECAY ** (elapsed_windows - 1.0),
                self.expected_arrivals * ARRIVAL_DECAY**elapsed_windows,
            )
            self.window_arrivals, self.window_start_ms = (
                0,
                self.window_start_ms + elapsed_windows * ARRIVAL_WINDOW_MS,
            )
        self.window_arrivals += 1
        if not self.ensure_capacity(Demand.CLIENT):
            return False
        while self.held_count >= self.capacity - self.arrival_reserve and self._evict_first(
            (EvictionPriority.UNTRUSTED_CLIENT,)
        ):
            pass
        return True

    @property
    def arrival_reserve(self) -> int:
        """Descriptors kept free for clients that connect during a stall of the loop, by recent arrivals."""
        return min(
            int(max(self.expected_arrivals, self.window_arrivals)), self.capacity // ARRIVAL_RESERVE_DIVISOR
        )

    def ensure_capacity(self, demand: Demand) -> bool:
        """Returns whether a connection may be opened; if nothing is free, evicts one of a lower priority."""
        if self.held_count < self.capacity:
            return True
        peer_kind = PeerKind.CLIENTS if demand is Demand.CLIENT else PeerKind.HOSTS
        is_below_quota = self.counts_by_peer_kind[peer_kind] < self.quotas_by_peer_kind[peer_kind]
        if self._evict_first(EVICTABLE_BY_DEMAND[demand][0 if is_below_quota else 1]):
            return self.held_count < self.capacity
        self.denied_count += 1
        return False

    def _evict_first(self, priorities: tuple[EvictionPriority, ...]) -> bool:
        """Evicts a holder of the first of these priorities that has one. Returns whether there was any."""
        while (victim := self._find_victim(priorities)) is not None:
            priority = victim.eviction_priority()
            victim.read_pending()
            if victim.eviction_priority() is priority:
                victim.evict()
                return True
        return False

    def _find_victim(self, priorities: tuple[EvictionPriority, ...]) -> DescriptorHolder | None:
        """Returns the first holder that has the priority it is filed under; refiles those that don't."""
        for priority in priorities:
            holders = self.holders_by_priority[priority]
            while holders:
                holder = next(iter(holders))
                current_priority = holder.eviction_priority()
                if current_priority is priority:
                    return holder
                self._file(holder, current_priority)
        return None

    def add_holder(self, holder: DescriptorHolder) -> None:
        """Counts a connection that is about to be opened or was accepted."""
        self.counts_by_peer_kind[holder.peer_kind] += 1
        self._file(holder, holder.eviction_priority())
        self.peak_count = max(self.peak_count, self.held_count)

    def update_priority(self, holder: DescriptorHolder, was_used: bool = False) -> None:
        """Refiles a holder whose priority may have changed.

        Args:
            holder: The holder; ignored if it holds no descriptor.
            was_used: The connection was just used: it goes behind all others of its priority.
        """
        previous_priority = self.priorities_by_holder.get(holder)
        if previous_priority is None:
            return
        priority = holder.eviction_priority()
        if priority is not previous_priority or was_used:
            self._file(holder, priority)
            if priority < previous_priority:
                self.on_capacity_freed()

    def _file(self, holder: DescriptorHolder, priority: EvictionPriority) -> None:
        previous_priority = self.priorities_by_holder.get(holder)
        if previous_priority is not None:
            del self.holders_by_priority[previous_priority][holder]
        self.priorities_by_holder[holder] = priority
        self.holders_by_priority[priority][holder] = None

    def begin_close(self, holder: DescriptorHolder) -> bool:
        """Stops counting a connection that will close shortly.

        Returns:
            False if MAX_CLOSING connections are closing already: the caller closes this one at once.
        """
        if len(self.closing_holders) >= MAX_CLOSING:
            return False
        if holder in self.priorities_by_holder:
            self._remove(holder)
            self.closing_holders.add(holder)
        return True

    def remove_holder(self, holder: DescriptorHolder) -> None:
        """Stops counting a connection whose descriptor is closed."""
        self.closing_holders.discard(holder)
        if holder in self.priorities_by_holder:
            self._remove(holder)

    def _remove(self, holder: DescriptorHolder) -> None:
        del self.holders_by_priority[self.priorities_by_holder.pop(holder)][holder]
        self.counts_by_peer_kind[holder.peer_kind] -= 1
        self.on_capacity_freed()

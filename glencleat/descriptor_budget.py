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

ASIDE = 32  # of the limit: 11 always open (standard, poller, signals, listener and its spare, channel, a file
# that is read), LEAVING, and 13 that nothing of ours takes, so that the limit is never reached
BACKLOG = 1_024  # connections that the system may hold until we take them: with fewer, some would be dropped
# in a rush and come back a second later. To operators these are descriptors of ours.
STANDSTILL_MS = 100.0  # a round of the loop may take so long: places are kept free for who comes meanwhile,
KEPT_FREE = 8  # for this part of the room at most; strangers hold all there is only in a rush
CALMER = 0.8  # so much of it is kept from one such time to the next
LEAVING = 8  # links that we end are read until their peer's end; more at once are closed without


class Side(Enum):
    OWNERS = "owners"
    LINKS = "links"


class EvictionPriority(IntEnum):
    """What a descriptor is held for, cheapest first."""

    SPARE = 0  # a link with nothing open: nothing stands at its host, or another link is up there
    STRANGER = 1  # an owners' connection with nothing open, on which nothing ever stood
    FRIEND = 2  # an owners' connection with nothing open
    LISTENED = 3  # the only link to a host where tasks stand, up for long enough to hear what it owed
    LISTENING = 4  # the same, newer
    HELD = 5  # something is open, coming up or irreplaceable: never given up


class Demand(Enum):
    """What a descriptor is wanted for."""

    OWNER = "an owner comes"
    ATTEMPT = "an attempt, a release: its host has no link"
    EXTRA = "a further link, for one more set-up"
    LISTEN = "to hear from a host where tasks stand"


# What may go for it, in this order; first where its side holds less than its right, then where it does not.
# Both sides can't be short of theirs while nothing is free, so one that is finds the other above its own.
GIVEN: dict[Demand, tuple[tuple[EvictionPriority, ...], tuple[EvictionPriority, ...]]] = {
    Demand.OWNER: (
        (
            EvictionPriority.SPARE,
            EvictionPriority.STRANGER,
            EvictionPriority.FRIEND,
            EvictionPriority.LISTENED,
            EvictionPriority.LISTENING,
        ),
        (EvictionPriority.STRANGER, EvictionPriority.FRIEND),
    ),
    Demand.ATTEMPT: (
        (
            EvictionPriority.STRANGER,
            EvictionPriority.SPARE,
            EvictionPriority.FRIEND,
            EvictionPriority.LISTENED,
            EvictionPriority.LISTENING,
        ),
        (EvictionPriority.SPARE, EvictionPriority.LISTENED, EvictionPriority.LISTENING),
    ),
    Demand.EXTRA: ((EvictionPriority.STRANGER, EvictionPriority.SPARE), (EvictionPriority.SPARE,)),
    Demand.LISTEN: (
        (
            EvictionPriority.STRANGER,
            EvictionPriority.SPARE,
            EvictionPriority.FRIEND,
            EvictionPriority.LISTENED,
        ),
        (EvictionPriority.SPARE, EvictionPriority.LISTENED),
    ),
}


class DescriptorHolder(Protocol):
    side: Side

    def worth(self) -> EvictionPriority:
        """As it is now."""

    def last_look(self) -> None:
        """Asked just before it is given up: takes in what has come on it, which may change its worth."""

    def give_up(self) -> None:
        """Ends it; `free` or `leave` is called before this returns."""


class DescriptorBudget:
    """Every descriptor of owners and links. `limit` is the process's. OWNERS have a right to a third of it,
    since the protocol page says that they hold no more, LINKS to the rest."""

    def __init__(self, limit: int) -> None:
        self.room = max(8, limit - ASIDE)
        owners = min(limit // 3, self.room // 2)
        self.rights = {Side.OWNERS: owners, Side.LINKS: self.room - owners}
        self.count = {Side.OWNERS: 0, Side.LINKS: 0}
        self.filed: dict[DescriptorHolder, EvictionPriority] = {}
        self.order: tuple[dict[DescriptorHolder, None], ...] = tuple({} for _ in EvictionPriority)
        self.leaving: set[DescriptorHolder] = set()
        self.most = self.turned_away = 0
        self.rush, self.came, self.since = 0.0, 0, 0.0  # newcomers in such a time: lately, now, since when
        self.freed: Callable[[], None] = lambda: None  # one is free, or worth less than it was

    @property
    def held(self) -> int:
        return len(self.filed)

    def newcomer(self, now: float) -> bool:
        """Whether one who comes may come in; `now` in milliseconds.

        In a rush strangers go as well, so that those who come during a standstill, and wait for us to take
        them, have their places free: the operators count them as ours."""
        passed = (now - self.since) // STANDSTILL_MS
        if passed >= 1.0:
            self.rush = max(self.came * CALMER ** (passed - 1.0), self.rush * CALMER**passed)
            self.came, self.since = 0, self.since + passed * STANDSTILL_MS
        self.came += 1
        if not self.make_room(Demand.OWNER):
            return False
        while self.held >= self.room - self.kept_free and self._end_least((EvictionPriority.STRANGER,)):
            pass
        return True

    @property
    def kept_free(self) -> int:
        """Places for those who may come during a standstill, by how many came lately."""
        return min(int(max(self.rush, self.came)), self.room // KEPT_FREE)

    def make_room(self, demand: Demand) -> bool:
        """Whether one more may be opened; ends what is worth less where nothing is free."""
        if self.held < self.room:
            return True
        side = Side.OWNERS if demand is Demand.OWNER else Side.LINKS
        within = self.count[side] < self.rights[side]
        if self._end_least(GIVEN[demand][0 if within else 1]):
            return self.held < self.room
        self.turned_away += 1
        return False

    def _end_least(self, worths: tuple[EvictionPriority, ...]) -> bool:
        while (victim := self._least(worths)) is not None:
            worth = victim.worth()
            victim.last_look()
            if victim.worth() is worth:
                victim.give_up()
                return True
        return False

    def _least(self, worths: tuple[EvictionPriority, ...]) -> DescriptorHolder | None:
        """The first that is still worth what it was filed under; what is not is filed anew on the way."""
        for worth in worths:
            line = self.order[worth]
            while line:
                holder = next(iter(line))
                now = holder.worth()
                if now is worth:
                    return holder
                self._move(holder, now)
        return None

    def hold(self, holder: DescriptorHolder) -> None:
        self.count[holder.side] += 1
        self._move(holder, holder.worth())
        self.most = max(self.most, self.held)

    def file(self, holder: DescriptorHolder, used: bool = False) -> None:
        """Its worth may have changed; `used` puts it last among its equals. One not held is let be."""
        before = self.filed.get(holder)
        if before is None:
            return
        now = holder.worth()
        if now is not before or used:
            self._move(holder, now)
            if now < before:
                self.freed()

    def _move(self, holder: DescriptorHolder, worth: EvictionPriority) -> None:
        before = self.filed.get(holder)
        if before is not None:
            del self.order[before][holder]
        self.filed[holder] = worth
        self.order[worth][holder] = None

    def leave(self, holder: DescriptorHolder) -> bool:
        """It ends by itself in a moment and counts as free; False if too many do: close it now."""
        if len(self.leaving) >= LEAVING:
            return False
        if holder in self.filed:
            self._drop(holder)
            self.leaving.add(holder)
        return True

    def free(self, holder: DescriptorHolder) -> None:
        """Its descriptor is closed."""
        self.leaving.discard(holder)
        if holder in self.filed:
            self._drop(holder)

    def _drop(self, holder: DescriptorHolder) -> None:
        del self.order[self.filed.pop(holder)][holder]
        self.count[holder.side] -= 1
        self.freed()

"""Who holds a descriptor and who gives one up: the whole table, and random histories."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glencleat.descriptor_budget import (
    ASIDE,
    GIVEN,
    KEPT_FREE,
    LEAVING,
    STANDSTILL_MS,
    Demand,
    DescriptorBudget,
    EvictionPriority,
    Side,
)

LINK_WORTHS = (
    EvictionPriority.SPARE,
    EvictionPriority.LISTENED,
    EvictionPriority.LISTENING,
    EvictionPriority.HELD,
)
OWNER_WORTHS = (EvictionPriority.STRANGER, EvictionPriority.FRIEND, EvictionPriority.HELD)


class Holder:
    def __init__(self, pool, side, worth):
        self.pool, self.side, self.now, self.at_last = pool, side, worth, None

    def worth(self):
        return self.now

    def last_look(self):
        self.now = self.at_last if self.at_last is not None else self.now

    def give_up(self):
        self.pool.free(self)


def full(*worths, limit=256):
    """A pool in which everything is HELD but for these."""
    pool, made = DescriptorBudget(limit), []
    pool.freed = lambda: None
    for worth in worths:
        side = Side.OWNERS if worth in (EvictionPriority.STRANGER, EvictionPriority.FRIEND) else Side.LINKS
        made.append(Holder(pool, side, worth))
        pool.hold(made[-1])
    while pool.held < pool.room:
        short = min(pool.count, key=lambda side: pool.count[side] - pool.rights[side])
        pool.hold(Holder(pool, short, EvictionPriority.HELD))
    return pool, made


@pytest.mark.parametrize("demand", Demand, ids=lambda d: d.name)
@pytest.mark.parametrize("within", [True, False])
def test_what_goes_for_what(demand, within):
    """Every worth alone: it goes if the table names it, else nobody does and no room is made."""
    side = Side.OWNERS if demand is Demand.OWNER else Side.LINKS
    for worth in EvictionPriority:
        pool, (one,) = full(worth)
        pool.rights = {x: pool.count[x] + (1 if within and x is side else 0) for x in Side}
        may = worth in GIVEN[demand][0 if within else 1]
        assert pool.make_room(demand) is may and (one not in pool.filed) is may
    assert EvictionPriority.HELD not in GIVEN[demand][0] + GIVEN[demand][1]


def test_a_side_beyond_its_right_never_takes_from_one_within():
    """A crowd of silent owners may not close the links on which tasks are heard, nor the reverse."""
    owners, links = (
        {EvictionPriority.STRANGER, EvictionPriority.FRIEND},
        {EvictionPriority.SPARE, EvictionPriority.LISTENED, EvictionPriority.LISTENING},
    )
    for demand, (_, beyond) in GIVEN.items():
        assert set(beyond) <= (owners if demand is Demand.OWNER else links)


def test_the_least_worth_goes_first_and_of_one_worth_the_longest_unused():
    pool, made = full(
        EvictionPriority.LISTENED, EvictionPriority.SPARE, EvictionPriority.SPARE, EvictionPriority.LISTENED
    )
    pool.file(made[1], used=True)
    gone = []
    for holder in made:
        holder.give_up = lambda holder=holder: (gone.append(made.index(holder)), pool.free(holder))
    for _ in range(4):
        assert pool.make_room(Demand.ATTEMPT)
        pool.hold(Holder(pool, Side.LINKS, EvictionPriority.HELD))
    assert gone == [2, 1, 0, 3] and not pool.make_room(Demand.ATTEMPT) and pool.turned_away == 1


def test_what_is_worth_more_by_now_stays():
    """Worth changes between two sweeps: a set-up goes out on a link that was filed as spare."""
    pool, made = full(EvictionPriority.SPARE, EvictionPriority.SPARE)
    made[0].now = EvictionPriority.HELD
    assert pool.make_room(Demand.ATTEMPT) and made[0] in pool.filed and made[1] not in pool.filed


def test_who_waits_is_told_when_something_is_free_or_worth_less():
    pool, (link,) = full(EvictionPriority.HELD)
    told = []
    pool.freed = lambda: told.append(pool.held)
    link.now = EvictionPriority.SPARE
    pool.file(link)
    assert told == [pool.room]
    pool.free(link)
    assert told == [pool.room, pool.room - 1]


def test_only_so_many_leave_at_once():
    pool, made = full(*[EvictionPriority.LISTENED] * (LEAVING + 1))
    assert [pool.leave(holder) for holder in made] == [True] * LEAVING + [False]
    assert pool.held + len(pool.leaving) <= pool.room + LEAVING < pool.room + ASIDE
    pool.free(made[0])
    assert pool.leave(made[-1])


@given(
    limit=st.integers(48, 1024),
    steps=st.lists(st.tuples(st.integers(0, 9), st.integers(0, 1 << 30)), max_size=400),
)
@settings(max_examples=60, deadline=None)
def test_random_histories_keep_the_distance(limit, steps):
    """Counts, order and the bound agree with a plain account after every step."""
    pool, alive = DescriptorBudget(limit), set()

    def gone(holder):
        alive.discard(holder)
        pool.free(holder)

    for kind, pick in steps * 3:
        chosen = sorted(alive, key=id)[pick % len(alive)] if alive else None
        if kind < 6 or chosen is None:
            demand = list(Demand)[pick % 4]
            side = Side.OWNERS if demand is Demand.OWNER else Side.LINKS
            if pool.make_room(demand):
                worths = OWNER_WORTHS if side is Side.OWNERS else LINK_WORTHS
                holder = Holder(pool, side, worths[pick // 7 % len(worths)])
                holder.give_up = lambda holder=holder: gone(holder)
                alive.add(holder)
                pool.hold(holder)
        elif kind < 8:
            chosen.now = (OWNER_WORTHS if chosen.side is Side.OWNERS else LINK_WORTHS)[pick % 3]
            if pick % 2:  # else it is noticed late
                pool.file(chosen)
        else:
            gone(chosen)
        assert set(pool.filed) == alive and len(alive) <= pool.room <= limit - ASIDE
        assert pool.count == {side: sum(h.side is side for h in alive) for side in Side}
        assert sum(map(len, pool.order)) == len(alive)


def test_what_is_found_busy_at_the_last_look_stays_and_the_next_goes():
    pool, made = full(EvictionPriority.STRANGER, EvictionPriority.STRANGER)
    made[0].at_last = EvictionPriority.HELD
    assert pool.make_room(Demand.OWNER)
    assert made[0] in pool.filed and made[1] not in pool.filed
    pool, made = full(EvictionPriority.STRANGER)
    made[0].at_last = EvictionPriority.HELD
    assert not pool.make_room(Demand.OWNER) and made[0] in pool.filed


# ---- newcomers ----


def crowd(pool, now, count):
    for _ in range(count):
        assert pool.newcomer(now)
        pool.hold(Holder(pool, Side.OWNERS, EvictionPriority.STRANGER))


@pytest.mark.parametrize("per_standstill", [1, 10, 40, 60])
def test_a_standstill_in_a_steady_rush_has_its_places(per_standstill):
    """Strangers come and stay, so many in each standstill's time: as many places are free at its end."""
    pool = DescriptorBudget(640)
    for number in range(max(1_400, 20 * per_standstill)):
        crowd(pool, 1e9 + number * STANDSTILL_MS / per_standstill, 1)
    assert pool.held + per_standstill <= pool.room + 1
    assert pool.held >= pool.room - 2 * per_standstill  # and no more than for that


def test_what_is_kept_free_is_bounded_and_let_go_of():
    pool = DescriptorBudget(640)
    crowd(pool, 1e9, 2_000)
    assert pool.kept_free == pool.room // KEPT_FREE and pool.held == pool.room - pool.kept_free
    crowd(pool, 1e9 + 60_000.0, 200)
    crowd(pool, 1e9 + 90_000.0, 1)
    assert pool.kept_free == 1


def test_only_strangers_make_way_before_there_is_need():
    pool = DescriptorBudget(640)
    for _ in range(pool.room - 1):
        pool.hold(Holder(pool, Side.OWNERS, EvictionPriority.FRIEND))
    assert pool.newcomer(1e9) and pool.held == pool.room - 1

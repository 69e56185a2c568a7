"""Who holds a descriptor and who gives one up: the whole table, and random histories."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glencleat.descriptor_budget import (
    ARRIVAL_RESERVE_DIVISOR,
    ARRIVAL_WINDOW_MS,
    EVICTABLE_BY_DEMAND,
    MAX_CLOSING,
    RESERVED_DESCRIPTORS,
    Demand,
    DescriptorBudget,
    EvictionPriority,
    PeerKind,
)

LINK_WORTHS = (
    EvictionPriority.SPARE,
    EvictionPriority.ONLY_CONNECTION,
    EvictionPriority.NEW_ONLY_CONNECTION,
    EvictionPriority.PINNED,
)
OWNER_WORTHS = (EvictionPriority.UNTRUSTED_CLIENT, EvictionPriority.TRUSTED_CLIENT, EvictionPriority.PINNED)


class Holder:
    def __init__(self, pool, side, worth):
        self.pool, self.peer_kind, self.now, self.at_last = pool, side, worth, None

    def eviction_priority(self):
        return self.now

    def read_pending(self):
        self.now = self.at_last if self.at_last is not None else self.now

    def evict(self):
        self.pool.remove_holder(self)


def full(*worths, limit=256):
    """A pool in which everything is PINNED but for these."""
    pool, made = DescriptorBudget(limit), []
    pool.on_capacity_freed = lambda: None
    for worth in worths:
        side = (
            PeerKind.CLIENTS
            if worth in (EvictionPriority.UNTRUSTED_CLIENT, EvictionPriority.TRUSTED_CLIENT)
            else PeerKind.HOSTS
        )
        made.append(Holder(pool, side, worth))
        pool.add_holder(made[-1])
    while pool.held_count < pool.capacity:
        short = min(
            pool.counts_by_peer_kind,
            key=lambda side: pool.counts_by_peer_kind[side] - pool.quotas_by_peer_kind[side],
        )
        pool.add_holder(Holder(pool, short, EvictionPriority.PINNED))
    return pool, made


@pytest.mark.parametrize("demand", Demand, ids=lambda d: d.name)
@pytest.mark.parametrize("within", [True, False])
def test_what_goes_for_what(demand, within):
    """Every worth alone: it goes if the table names it, else nobody does and no room is made."""
    side = PeerKind.CLIENTS if demand is Demand.CLIENT else PeerKind.HOSTS
    for worth in EvictionPriority:
        pool, (one,) = full(worth)
        pool.quotas_by_peer_kind = {
            x: pool.counts_by_peer_kind[x] + (1 if within and x is side else 0) for x in PeerKind
        }
        may = worth in EVICTABLE_BY_DEMAND[demand][0 if within else 1]
        assert pool.ensure_capacity(demand) is may and (one not in pool.priorities_by_holder) is may
    assert EvictionPriority.PINNED not in EVICTABLE_BY_DEMAND[demand][0] + EVICTABLE_BY_DEMAND[demand][1]


def test_a_side_beyond_its_right_never_takes_from_one_within():
    """A crowd of silent owners may not close the links on which tasks are heard, nor the reverse."""
    owners, links = (
        {EvictionPriority.UNTRUSTED_CLIENT, EvictionPriority.TRUSTED_CLIENT},
        {EvictionPriority.SPARE, EvictionPriority.ONLY_CONNECTION, EvictionPriority.NEW_ONLY_CONNECTION},
    )
    for demand, (_, beyond) in EVICTABLE_BY_DEMAND.items():
        assert set(beyond) <= (owners if demand is Demand.CLIENT else links)


def test_the_least_worth_goes_first_and_of_one_worth_the_longest_unused():
    pool, made = full(
        EvictionPriority.ONLY_CONNECTION,
        EvictionPriority.SPARE,
        EvictionPriority.SPARE,
        EvictionPriority.ONLY_CONNECTION,
    )
    pool.update_priority(made[1], was_used=True)
    gone = []
    for holder in made:
        holder.evict = lambda holder=holder: (gone.append(made.index(holder)), pool.remove_holder(holder))
    for _ in range(4):
        assert pool.ensure_capacity(Demand.ATTEMPT)
        pool.add_holder(Holder(pool, PeerKind.HOSTS, EvictionPriority.PINNED))
    assert gone == [2, 1, 0, 3] and not pool.ensure_capacity(Demand.ATTEMPT) and pool.denied_count == 1


def test_what_is_worth_more_by_now_stays():
    """Worth changes between two sweeps: a set-up goes out on a link that was filed as spare."""
    pool, made = full(EvictionPriority.SPARE, EvictionPriority.SPARE)
    made[0].now = EvictionPriority.PINNED
    assert (
        pool.ensure_capacity(Demand.ATTEMPT)
        and made[0] in pool.priorities_by_holder
        and made[1] not in pool.priorities_by_holder
    )


def test_who_waits_is_told_when_something_is_free_or_worth_less():
    pool, (link,) = full(EvictionPriority.PINNED)
    told = []
    pool.on_capacity_freed = lambda: told.append(pool.held_count)
    link.now = EvictionPriority.SPARE
    pool.update_priority(link)
    assert told == [pool.capacity]
    pool.remove_holder(link)
    assert told == [pool.capacity, pool.capacity - 1]


def test_only_so_many_leave_at_once():
    pool, made = full(*[EvictionPriority.ONLY_CONNECTION] * (MAX_CLOSING + 1))
    assert [pool.begin_close(holder) for holder in made] == [True] * MAX_CLOSING + [False]
    assert (
        pool.held_count + len(pool.closing_holders)
        <= pool.capacity + MAX_CLOSING
        < pool.capacity + RESERVED_DESCRIPTORS
    )
    pool.remove_holder(made[0])
    assert pool.begin_close(made[-1])


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
        pool.remove_holder(holder)

    for kind, pick in steps * 3:
        chosen = sorted(alive, key=id)[pick % len(alive)] if alive else None
        if kind < 6 or chosen is None:
            demand = list(Demand)[pick % 4]
            side = PeerKind.CLIENTS if demand is Demand.CLIENT else PeerKind.HOSTS
            if pool.ensure_capacity(demand):
                worths = OWNER_WORTHS if side is PeerKind.CLIENTS else LINK_WORTHS
                holder = Holder(pool, side, worths[pick // 7 % len(worths)])
                holder.evict = lambda holder=holder: gone(holder)
                alive.add(holder)
                pool.add_holder(holder)
        elif kind < 8:
            chosen.now = (OWNER_WORTHS if chosen.peer_kind is PeerKind.CLIENTS else LINK_WORTHS)[pick % 3]
            if pick % 2:  # else it is noticed late
                pool.update_priority(chosen)
        else:
            gone(chosen)
        assert (
            set(pool.priorities_by_holder) == alive
            and len(alive) <= pool.capacity <= limit - RESERVED_DESCRIPTORS
        )
        assert pool.counts_by_peer_kind == {
            side: sum(h.peer_kind is side for h in alive) for side in PeerKind
        }
        assert sum(map(len, pool.holders_by_priority)) == len(alive)


def test_what_is_found_busy_at_the_last_look_stays_and_the_next_goes():
    pool, made = full(EvictionPriority.UNTRUSTED_CLIENT, EvictionPriority.UNTRUSTED_CLIENT)
    made[0].at_last = EvictionPriority.PINNED
    assert pool.ensure_capacity(Demand.CLIENT)
    assert made[0] in pool.priorities_by_holder and made[1] not in pool.priorities_by_holder
    pool, made = full(EvictionPriority.UNTRUSTED_CLIENT)
    made[0].at_last = EvictionPriority.PINNED
    assert not pool.ensure_capacity(Demand.CLIENT) and made[0] in pool.priorities_by_holder


# ---- newcomers ----


def crowd(pool, now, count):
    for _ in range(count):
        assert pool.admit_client(now)
        pool.add_holder(Holder(pool, PeerKind.CLIENTS, EvictionPriority.UNTRUSTED_CLIENT))


@pytest.mark.parametrize("per_standstill", [1, 10, 40, 60])
def test_a_standstill_in_a_steady_rush_has_its_places(per_standstill):
    """Strangers come and stay, so many in each standstill's time: as many places are free at its end."""
    pool = DescriptorBudget(640)
    for number in range(max(1_400, 20 * per_standstill)):
        crowd(pool, 1e9 + number * ARRIVAL_WINDOW_MS / per_standstill, 1)
    assert pool.held_count + per_standstill <= pool.capacity + 1
    assert pool.held_count >= pool.capacity - 2 * per_standstill  # and no more than for that


def test_what_is_kept_free_is_bounded_and_let_go_of():
    pool = DescriptorBudget(640)
    crowd(pool, 1e9, 2_000)
    assert (
        pool.arrival_reserve == pool.capacity // ARRIVAL_RESERVE_DIVISOR
        and pool.held_count == pool.capacity - pool.arrival_reserve
    )
    crowd(pool, 1e9 + 60_000.0, 200)
    crowd(pool, 1e9 + 90_000.0, 1)
    assert pool.arrival_reserve == 1


def test_only_strangers_make_way_before_there_is_need():
    pool = DescriptorBudget(640)
    for _ in range(pool.capacity - 1):
        pool.add_holder(Holder(pool, PeerKind.CLIENTS, EvictionPriority.TRUSTED_CLIENT))
    assert pool.admit_client(1e9) and pool.held_count == pool.capacity - 1

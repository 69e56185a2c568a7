"""The descriptor budget: its whole table of eviction rules, and random histories."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glencleat.descriptor_budget import (
    EVICTABLE,
    HEADROOM_DIVISOR,
    MAX_CLOSING,
    RESERVED_DESCRIPTORS,
    STALL_MS,
    Demand,
    DescriptorBudget,
    EvictionPriority,
    Side,
)

HOST_PRIORITIES = (
    EvictionPriority.REDUNDANT,
    EvictionPriority.MONITOR_SETTLED,
    EvictionPriority.MONITOR_RECENT,
    EvictionPriority.IN_USE,
)
CLIENT_PRIORITIES = (EvictionPriority.IDLE_UNPROVEN, EvictionPriority.IDLE_PROVEN, EvictionPriority.IN_USE)


class Holder:
    """Has the priority `current`, and `priority_after_read` once its pending data is read."""

    def __init__(self, budget, side, priority):
        self.budget = budget
        self.side = side
        self.current = priority
        self.priority_after_read = None

    def eviction_priority(self):
        return self.current

    def read_pending(self):
        if self.priority_after_read is not None:
            self.current = self.priority_after_read

    def evict(self):
        self.budget.release(self)


def full_budget(*priorities, limit=256):
    """A budget at its capacity: all IN_USE but for holders of these priorities, which are returned."""
    budget, holders = DescriptorBudget(limit), []
    budget.on_freed = lambda: None
    for priority in priorities:
        side = (
            Side.CLIENTS
            if priority in (EvictionPriority.IDLE_UNPROVEN, EvictionPriority.IDLE_PROVEN)
            else Side.HOSTS
        )
        holders.append(Holder(budget, side, priority))
        budget.register(holders[-1])
    while budget.held_count < budget.capacity:
        short = min(budget.held_by_side, key=lambda side: budget.held_by_side[side] - budget.quotas[side])
        budget.register(Holder(budget, short, EvictionPriority.IN_USE))
    return budget, holders


@pytest.mark.parametrize("demand", Demand, ids=lambda demand: demand.name)
@pytest.mark.parametrize("is_below_quota", [True, False], ids=["below quota", "at quota"])
def test_a_demand_evicts_exactly_the_priorities_of_its_rule(demand, is_below_quota):
    """Every priority alone: it goes if the rule names it, else nobody does and no room is made."""
    rule = EVICTABLE[demand]
    for priority in EvictionPriority:
        budget, (holder,) = full_budget(priority)
        budget.quotas = {
            side: budget.held_by_side[side] + (1 if is_below_quota and side is demand.side else 0)
            for side in Side
        }
        is_evictable = priority in (rule.below_quota if is_below_quota else rule.at_quota)
        assert budget.make_room(demand) is is_evictable
        assert (holder not in budget.priorities) is is_evictable
    assert EvictionPriority.IN_USE not in rule.below_quota + rule.at_quota


def test_a_side_at_its_quota_never_takes_from_one_below():
    """A crowd of silent clients may not close the connections on which tasks are heard, nor the reverse."""
    client_priorities = {EvictionPriority.IDLE_UNPROVEN, EvictionPriority.IDLE_PROVEN}
    host_priorities = {
        EvictionPriority.REDUNDANT,
        EvictionPriority.MONITOR_SETTLED,
        EvictionPriority.MONITOR_RECENT,
    }
    for demand, rule in EVICTABLE.items():
        allowed = client_priorities if demand is Demand.CLIENT else host_priorities
        assert set(rule.at_quota) <= allowed


def test_the_cheapest_goes_first_and_among_equals_the_longest_unused():
    budget, holders = full_budget(
        EvictionPriority.MONITOR_SETTLED,
        EvictionPriority.REDUNDANT,
        EvictionPriority.REDUNDANT,
        EvictionPriority.MONITOR_SETTLED,
    )
    budget.update_priority(holders[1], used=True)
    gone = []
    for holder in holders:
        holder.evict = lambda holder=holder: (gone.append(holders.index(holder)), budget.release(holder))
    for _ in range(4):
        assert budget.make_room(Demand.ATTEMPT)
        budget.register(Holder(budget, Side.HOSTS, EvictionPriority.IN_USE))
    assert gone == [2, 1, 0, 3] and not budget.make_room(Demand.ATTEMPT) and budget.rejected_count == 1


def test_a_holder_whose_priority_rose_unnoticed_stays():
    """The priority rises between two sweeps: a set-up goes out on a connection registered as redundant."""
    budget, holders = full_budget(EvictionPriority.REDUNDANT, EvictionPriority.REDUNDANT)
    holders[0].current = EvictionPriority.IN_USE
    assert (
        budget.make_room(Demand.ATTEMPT)
        and holders[0] in budget.priorities
        and holders[1] not in budget.priorities
    )


def test_on_freed_is_called_when_one_is_released_or_gets_cheaper():
    budget, (link,) = full_budget(EvictionPriority.IN_USE)
    held_counts = []
    budget.on_freed = lambda: held_counts.append(budget.held_count)
    link.current = EvictionPriority.REDUNDANT
    budget.update_priority(link)
    assert held_counts == [budget.capacity]
    budget.release(link)
    assert held_counts == [budget.capacity, budget.capacity - 1]


def test_only_so_many_close_at_once():
    budget, holders = full_budget(*[EvictionPriority.MONITOR_SETTLED] * (MAX_CLOSING + 1))
    assert [budget.begin_closing(holder) for holder in holders] == [True] * MAX_CLOSING + [False]
    assert (
        budget.held_count + len(budget.closing)
        <= budget.capacity + MAX_CLOSING
        < budget.capacity + RESERVED_DESCRIPTORS
    )
    budget.release(holders[0])
    assert budget.begin_closing(holders[-1])


@given(
    limit=st.integers(48, 1024),
    steps=st.lists(st.tuples(st.integers(0, 9), st.integers(0, 1 << 30)), max_size=400),
)
@settings(max_examples=60, deadline=None)
def test_random_histories_stay_within_the_limit(limit, steps):
    """Counts, order and the bound agree with a plain account after every step."""
    budget, alive = DescriptorBudget(limit), set()

    def gone(holder):
        alive.discard(holder)
        budget.release(holder)

    for kind, pick in steps * 3:
        chosen = sorted(alive, key=id)[pick % len(alive)] if alive else None
        if kind < 6 or chosen is None:
            demand = list(Demand)[pick % 4]
            side = Side.CLIENTS if demand is Demand.CLIENT else Side.HOSTS
            if budget.make_room(demand):
                priorities = CLIENT_PRIORITIES if side is Side.CLIENTS else HOST_PRIORITIES
                holder = Holder(budget, side, priorities[pick // 7 % len(priorities)])
                holder.evict = lambda holder=holder: gone(holder)
                alive.add(holder)
                budget.register(holder)
        elif kind < 8:
            chosen.current = (CLIENT_PRIORITIES if chosen.side is Side.CLIENTS else HOST_PRIORITIES)[pick % 3]
            if pick % 2:  # else the change is noticed late
                budget.update_priority(chosen)
        else:
            gone(chosen)
        assert (
            set(budget.priorities) == alive and len(alive) <= budget.capacity <= limit - RESERVED_DESCRIPTORS
        )
        assert budget.held_by_side == {side: sum(h.side is side for h in alive) for side in Side}
        assert sum(map(len, budget.queues)) == len(alive)


def test_a_holder_found_busy_by_the_last_read_stays_and_the_next_goes():
    budget, holders = full_budget(EvictionPriority.IDLE_UNPROVEN, EvictionPriority.IDLE_UNPROVEN)
    holders[0].priority_after_read = EvictionPriority.IN_USE
    assert budget.make_room(Demand.CLIENT)
    assert holders[0] in budget.priorities and holders[1] not in budget.priorities
    budget, holders = full_budget(EvictionPriority.IDLE_UNPROVEN)
    holders[0].priority_after_read = EvictionPriority.IN_USE
    assert not budget.make_room(Demand.CLIENT) and holders[0] in budget.priorities


# ---- headroom for clients that arrive during a stall ----


def admit_clients(budget, now, count):
    for _ in range(count):
        assert budget.admit_client(now)
        budget.register(Holder(budget, Side.CLIENTS, EvictionPriority.IDLE_UNPROVEN))


@pytest.mark.parametrize("per_stall", [1, 10, 40, 60])
def test_a_stall_in_a_steady_rush_has_its_headroom(per_stall):
    """Unproven clients arrive and stay, so many in each STALL_MS: as many descriptors are free at its end."""
    budget = DescriptorBudget(640)
    for number in range(max(1_400, 20 * per_stall)):
        admit_clients(budget, 1e9 + number * STALL_MS / per_stall, 1)
    assert budget.held_count + per_stall <= budget.capacity + 1
    assert budget.held_count >= budget.capacity - 2 * per_stall  # and no more than for that


def test_headroom_is_bounded_and_decays():
    budget = DescriptorBudget(640)
    admit_clients(budget, 1e9, 2_000)
    assert (
        budget.headroom == budget.capacity // HEADROOM_DIVISOR
        and budget.held_count == budget.capacity - budget.headroom
    )
    admit_clients(budget, 1e9 + 60_000.0, 200)
    admit_clients(budget, 1e9 + 90_000.0, 1)
    assert budget.headroom == 1


def test_only_unproven_clients_are_evicted_for_headroom():
    budget = DescriptorBudget(640)
    for _ in range(budget.capacity - 1):
        budget.register(Holder(budget, Side.CLIENTS, EvictionPriority.IDLE_PROVEN))
    assert budget.admit_client(1e9) and budget.held_count == budget.capacity - 1

"""The descriptor budget: the complete table of evictions, and random sequences of operations."""

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

HOST_PRIORITIES = (
    EvictionPriority.SPARE,
    EvictionPriority.ONLY_CONNECTION,
    EvictionPriority.NEW_ONLY_CONNECTION,
    EvictionPriority.PINNED,
)
CLIENT_PRIORITIES = (
    EvictionPriority.UNTRUSTED_CLIENT,
    EvictionPriority.TRUSTED_CLIENT,
    EvictionPriority.PINNED,
)


class Holder:
    def __init__(self, budget, peer_kind, priority):
        self.budget, self.peer_kind, self.priority, self.priority_after_read = (
            budget,
            peer_kind,
            priority,
            None,
        )

    def eviction_priority(self):
        return self.priority

    def read_pending(self):
        self.priority = self.priority_after_read if self.priority_after_read is not None else self.priority

    def evict(self):
        self.budget.remove_holder(self)


def full_budget(*priorities, limit=256):
    """A budget with no free capacity, and its holders of these priorities; all others are PINNED."""
    budget, holders = DescriptorBudget(limit), []
    budget.on_capacity_freed = lambda: None
    for priority in priorities:
        peer_kind = (
            PeerKind.CLIENTS
            if priority in (EvictionPriority.UNTRUSTED_CLIENT, EvictionPriority.TRUSTED_CLIENT)
            else PeerKind.HOSTS
        )
        holders.append(Holder(budget, peer_kind, priority))
        budget.add_holder(holders[-1])
    while budget.held_count < budget.capacity:
        furthest_below_quota = min(
            budget.counts_by_peer_kind,
            key=lambda kind: budget.counts_by_peer_kind[kind] - budget.quotas_by_peer_kind[kind],
        )
        budget.add_holder(Holder(budget, furthest_below_quota, EvictionPriority.PINNED))
    return budget, holders


@pytest.mark.parametrize("demand", Demand, ids=lambda d: d.name)
@pytest.mark.parametrize("is_below_quota", [True, False])
def test_what_goes_for_what(demand, is_below_quota):
    """One holder of each priority: it is evicted if the table names it, else nothing is and the demand is
    denied."""
    demanding_kind = PeerKind.CLIENTS if demand is Demand.CLIENT else PeerKind.HOSTS
    for priority in EvictionPriority:
        budget, (holder,) = full_budget(priority)
        budget.quotas_by_peer_kind = {
            kind: budget.counts_by_peer_kind[kind] + (1 if is_below_quota and kind is demanding_kind else 0)
            for kind in PeerKind
        }
        is_evictable = priority in EVICTABLE_BY_DEMAND[demand][0 if is_below_quota else 1]
        assert (
            budget.ensure_capacity(demand) is is_evictable
            and (holder not in budget.priorities_by_holder) is is_evictable
        )
    assert EvictionPriority.PINNED not in EVICTABLE_BY_DEMAND[demand][0] + EVICTABLE_BY_DEMAND[demand][1]


def test_a_peer_kind_above_its_quota_never_evicts_the_other_kind():
    """Many silent clients must not evict the connections by which releases of tasks come, nor the reverse."""
    client_priorities, host_priorities = (
        {EvictionPriority.UNTRUSTED_CLIENT, EvictionPriority.TRUSTED_CLIENT},
        {EvictionPriority.SPARE, EvictionPriority.ONLY_CONNECTION, EvictionPriority.NEW_ONLY_CONNECTION},
    )
    for demand, (_, above_quota) in EVICTABLE_BY_DEMAND.items():
        assert set(above_quota) <= (client_priorities if demand is Demand.CLIENT else host_priorities)


def test_the_lowest_priority_is_evicted_first_and_of_equal_ones_the_longest_unused():
    budget, holders = full_budget(
        EvictionPriority.ONLY_CONNECTION,
        EvictionPriority.SPARE,
        EvictionPriority.SPARE,
        EvictionPriority.ONLY_CONNECTION,
    )
    budget.update_priority(holders[1], was_used=True)
    evicted = []
    for holder in holders:
        holder.evict = lambda holder=holder: (
            evicted.append(holders.index(holder)),
            budget.remove_holder(holder),
        )
    for _ in range(4):
        assert budget.ensure_capacity(Demand.ATTEMPT)
        budget.add_holder(Holder(budget, PeerKind.HOSTS, EvictionPriority.PINNED))
    assert evicted == [2, 1, 0, 3] and not budget.ensure_capacity(Demand.ATTEMPT) and budget.denied_count == 1


def test_a_holder_whose_priority_has_risen_is_not_evicted():
    """A priority may be out of date: a set-up was sent on a connection that is filed as SPARE."""
    budget, holders = full_budget(EvictionPriority.SPARE, EvictionPriority.SPARE)
    holders[0].priority = EvictionPriority.PINNED
    assert (
        budget.ensure_capacity(Demand.ATTEMPT)
        and holders[0] in budget.priorities_by_holder
        and holders[1] not in budget.priorities_by_holder
    )


def test_freed_capacity_and_a_lowered_priority_are_notified():
    budget, (connection,) = full_budget(EvictionPriority.PINNED)
    notified = []
    budget.on_capacity_freed = lambda: notified.append(budget.held_count)
    connection.priority = EvictionPriority.SPARE
    budget.update_priority(connection)
    assert notified == [budget.capacity]
    budget.remove_holder(connection)
    assert notified == [budget.capacity, budget.capacity - 1]


def test_the_number_of_closing_connections_is_bounded():
    budget, holders = full_budget(*[EvictionPriority.ONLY_CONNECTION] * (MAX_CLOSING + 1))
    assert [budget.begin_close(holder) for holder in holders] == [True] * MAX_CLOSING + [False]
    assert (
        budget.held_count + len(budget.closing_holders)
        <= budget.capacity + MAX_CLOSING
        < budget.capacity + RESERVED_DESCRIPTORS
    )
    budget.remove_holder(holders[0])
    assert budget.begin_close(holders[-1])


@given(
    limit=st.integers(48, 1024),
    steps=st.lists(st.tuples(st.integers(0, 9), st.integers(0, 1 << 30)), max_size=400),
)
@settings(max_examples=60, deadline=None)
def test_random_histories_keep_the_distance(limit, steps):
    """After every step the counts, the order and the limit agree with a plain set of the open holders."""
    budget, open_holders = DescriptorBudget(limit), set()

    def remove(holder):
        open_holders.discard(holder)
        budget.remove_holder(holder)

    for kind, pick in steps * 3:
        chosen = sorted(open_holders, key=id)[pick % len(open_holders)] if open_holders else None
        if kind < 6 or chosen is None:
            demand = list(Demand)[pick % 4]
            peer_kind = PeerKind.CLIENTS if demand is Demand.CLIENT else PeerKind.HOSTS
            if budget.ensure_capacity(demand):
                priorities = CLIENT_PRIORITIES if peer_kind is PeerKind.CLIENTS else HOST_PRIORITIES
                holder = Holder(budget, peer_kind, priorities[pick // 7 % len(priorities)])
                holder.evict = lambda holder=holder: remove(holder)
                open_holders.add(holder)
                budget.add_holder(holder)
        elif kind < 8:
            chosen.priority = (
                CLIENT_PRIORITIES if chosen.peer_kind is PeerKind.CLIENTS else HOST_PRIORITIES
            )[pick % 3]
            if pick % 2:  # otherwise the budget learns of the change only when it looks for one to evict
                budget.update_priority(chosen)
        else:
            remove(chosen)
        assert (
            set(budget.priorities_by_holder) == open_holders
            and len(open_holders) <= budget.capacity <= limit - RESERVED_DESCRIPTORS
        )
        assert budget.counts_by_peer_kind == {
            side: sum(other.peer_kind is side for other in open_holders) for side in PeerKind
        }
        assert sum(map(len, budget.holders_by_priority)) == len(open_holders)


def test_a_holder_with_unread_messages_is_not_evicted_but_the_next_one():
    """Reading what has arrived just before the eviction shows that the connection is in use."""
    budget, holders = full_budget(EvictionPriority.UNTRUSTED_CLIENT, EvictionPriority.UNTRUSTED_CLIENT)
    holders[0].priority_after_read = EvictionPriority.PINNED
    assert budget.ensure_capacity(Demand.CLIENT)
    assert holders[0] in budget.priorities_by_holder and holders[1] not in budget.priorities_by_holder
    budget, holders = full_budget(EvictionPriority.UNTRUSTED_CLIENT)
    holders[0].priority_after_read = EvictionPriority.PINNED
    assert not budget.ensure_capacity(Demand.CLIENT) and holders[0] in budget.priorities_by_holder


# ---- clients that connect ----


def connect_clients(budget, now, count):
    for _ in range(count):
        assert budget.admit_client(now)
        budget.add_holder(Holder(budget, PeerKind.CLIENTS, EvictionPriority.UNTRUSTED_CLIENT))


@pytest.mark.parametrize("arrivals_per_window", [1, 10, 40, 60])
def test_a_steady_rate_of_arrivals_keeps_capacity_for_a_window_of_them(arrivals_per_window):
    """Untrusted clients connect at a steady rate and stay: capacity for those of one window is left, and no
    more."""
    budget = DescriptorBudget(640)
    for number in range(max(1_400, 20 * arrivals_per_window)):
        connect_clients(budget, 1e9 + number * ARRIVAL_WINDOW_MS / arrivals_per_window, 1)
    assert budget.held_count + arrivals_per_window <= budget.capacity + 1
    assert budget.held_count >= budget.capacity - 2 * arrivals_per_window


def test_the_arrival_reserve_is_bounded_and_decays():
    budget = DescriptorBudget(640)
    connect_clients(budget, 1e9, 2_000)
    assert (
        budget.arrival_reserve == budget.capacity // ARRIVAL_RESERVE_DIVISOR
        and budget.held_count == budget.capacity - budget.arrival_reserve
    )
    connect_clients(budget, 1e9 + 60_000.0, 200)
    connect_clients(budget, 1e9 + 90_000.0, 1)
    assert budget.arrival_reserve == 1


def test_only_untrusted_clients_are_evicted_for_the_arrival_reserve():
    budget = DescriptorBudget(640)
    for _ in range(budget.capacity - 1):
        budget.add_holder(Holder(budget, PeerKind.CLIENTS, EvictionPriority.TRUSTED_CLIENT))
    assert budget.admit_client(1e9) and budget.held_count == budget.capacity - 1

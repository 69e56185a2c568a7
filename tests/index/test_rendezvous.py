"""The rendezvous index against sorts, and the scheduler against a reference without it, action by action."""

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from glencleat import interface as api
from glencleat.index import rendezvous as index
from glencleat.index.rendezvous import RendezvousIndex, hash_text
from glencleat.policy.placement import MAX_EXAMINED
from glencleat.policy.scheduler import Scheduler
from tests.support.event_stream import CLASSES, KINDS, EventStream
from tests.support.reference_scheduler import ReferenceScheduler, find_difference, patch_policy_constant


class Item:
    """A member; few `bits` give a short hash, so that some collide and names decide."""

    def __init__(self, name, bits=64):
        self.name, self.hash = name, hash_text(name) % 2**bits


def sort_members(members, key):
    seed = hash_text(key)
    return sorted(members.items, key=lambda item: (index.mix_bits(seed ^ item.hash), item.name))


# ---- the index ----


CHANGES = st.lists(
    st.tuples(st.integers(0, 40), st.sampled_from(["put", "take", "again", "a", "b", "c"])), max_size=120
)


@given(
    changes=CHANGES,
    bits=st.sampled_from([2, 4, 64]),
    max_changes=st.sampled_from([1, 8, 1024]),
    max_references=st.integers(1, 120),
)
def test_order_equals_a_sort_after_any_changes(changes, bits, max_changes, max_references):
    members = RendezvousIndex[Item](max_references, 2)
    members.changes = index.deque(maxlen=max_changes)
    items = [Item(f"m{i}", bits) for i in range(41)]
    for number, operation in changes:
        if operation in ("put", "take"):
            members.set_present(items[number], operation == "put")
        elif operation == "again":  # replaced by another object of the same name
            members.set_present(items[number], False)
            items[number] = Item(f"m{number}", bits)
            members.set_present(items[number], True)
        else:
            order = members.get_order(operation)
            assert list(order) == sort_members(members, operation) and len(order) == len(members)
            assert len(members.orders_by_key) <= 2 and (
                members.reference_count <= max_references or len(members.orders_by_key) == 1
            )


@given(st.integers(1, 60), st.data())
def test_view_without_members_equals_a_filtered_copy(count, data):
    members = RendezvousIndex[Item](10_000, 10)
    bits = data.draw(st.sampled_from([3, 64]))
    for i in range(count):
        members.set_present(Item(f"m{i}", bits), True)
    order = members.get_order("s")
    skipped = data.draw(st.lists(st.sampled_from(list(order)), unique=True))
    copy, view = [item for item in order if item not in skipped], order.without(skipped)
    assert [view[i] for i in range(len(copy))] == copy


def test_members_with_equal_hashes_are_ordered_by_name_also_after_single_changes():
    members, items = RendezvousIndex[Item](10_000, 10), [Item(f"m{i}", bits=1) for i in range(40)]
    for item in items[::-2] + items[::2]:
        members.set_present(item, True)
        assert list(members.get_order("a")) == sort_members(members, "a")
    for item in items[::3]:
        members.set_present(item, False)
        assert list(members.get_order("a")) == sort_members(members, "a")


@given(st.lists(st.tuples(st.integers(0, 9), st.floats(0.1, 9.0), st.booleans()), max_size=60))
def test_column_sums_equal_a_loop_over_the_rows_in_order(changes):
    columns, rows = index.ColumnSums(2), {}
    for key, value, present in changes:
        rows.pop(key, None)
        if present:
            rows[key] = value, value / 3.0
        columns.put_row(key, rows.get(key))
        ordered = [rows[k] for k in sorted(rows)]
        assert len(columns) == len(rows)
        assert columns.sum_columns() == (sum(a for a, _ in ordered), sum(b for _, b in ordered))


@pytest.mark.parametrize("max_short_slots", [16, 1 << 16])
def test_slots_of_removed_names_are_reclaimed(max_short_slots, monkeypatch):
    """Renumbering happens when 2-byte numbers run out or when stale slots outnumber the members."""
    monkeypatch.setattr(index, "MAX_SHORT_SLOTS", max_short_slots)
    members = RendezvousIndex[Item](10_000, 10)
    for i in range(2_000):
        members.set_present(Item(f"m{i}"), True)
        if i >= 30:
            members.set_present(next(iter(members.items)), False)
        if i % 7 == 0:
            assert list(members.get_order("a")) == sort_members(members, "a")
        assert len(members.slots.items) <= 2 * (len(members) + 1) + index.MAX_STALE_SLOTS + 1
    assert [members.get_order("a").numbers.typecode] == (["I"] if max_short_slots == 16 else ["H"])


def test_least_recently_used_orders_are_evicted():
    members = RendezvousIndex[Item](100, 10)
    for i in range(30):
        members.set_present(Item(f"m{i}"), True)
    for key in ("a", "b", "c", "a", "d"):
        members.get_order(key)
    assert list(members.orders_by_key) == ["c", "a", "d"] and members.reference_count == 90
    for i in range(30, 60):
        members.set_present(Item(f"m{i}"), True)
    members.get_order("c")  # has grown by the 30 new members
    assert list(members.orders_by_key) == ["d", "c"] and members.reference_count == 30 + 60
    members.get_order("d")
    assert list(members.orders_by_key) == ["d"] and members.reference_count == 60


def test_self_check_detects_a_wrong_order_and_a_wrong_count():
    members = RendezvousIndex[Item](100, 10)
    for i in range(9):
        members.set_present(Item(f"m{i}"), True)
    order = members.get_order("a")
    order.numbers[3], order.numbers[4] = order.numbers[4], order.numbers[3]
    with pytest.raises(AssertionError, match="differs from a sort of its 9 members"):
        members.verify_order(order)
    order.numbers[3], order.numbers[4] = order.numbers[4], order.numbers[3]
    members.verify_order(order)
    members.reference_count += 1
    with pytest.raises(AssertionError, match="reference count 10 "):
        members.verify_order(order)


@pytest.mark.parametrize("size", [400, 6_300])
def test_number_of_hashes_depends_on_changes_not_on_members(size, monkeypatch):
    monkeypatch.setattr(RendezvousIndex, "is_self_checking", False)
    members, hashed = RendezvousIndex[Item](10**6, 100), []
    for i in range(size):
        members.set_present(Item(f"m{i}"), True)
    members.get_order("a")
    mix_bits = index.mix_bits
    monkeypatch.setattr(index, "mix_bits", lambda value: hashed.append(value) or mix_bits(value))
    members.get_order("a")
    assert hashed == []
    for item in list(members.items)[:5]:
        members.set_present(item, False)
    members.get_order("a")
    assert len(hashed) <= 5 * (1 + size.bit_length())
    hashed.clear()
    for item in list(members.items)[:10]:  # removed and added again before the order is requested
        members.set_present(item, False)
        members.set_present(item, True)
    members.get_order("a")
    assert hashed == []
    for item in list(members.items)[: size // 7]:  # many at once: the order is filtered without hashing
        members.set_present(item, False)
    members.get_order("a")
    assert hashed == []


# ---- the scheduler ----


@pytest.mark.parametrize("part", range(16))
def test_scheduler_takes_the_same_actions_with_and_without_the_index(part, monkeypatch):
    """208 seeded streams: added, removed, draining and returning hosts, full and failed lists, all task classes."""
    patch_policy_constant(monkeypatch, "MAX_REMEMBERED_SERVICES", 12)
    for seed in range(13 * part, 13 * part + 13):
        rng = np.random.default_rng([seed, 7])
        host_count, service_count = int(rng.integers(5, 301)), int(rng.integers(1, 51))
        patch_policy_constant(monkeypatch, "MIN_SAMPLES", int(rng.choice([2, 20])))
        max_ordered = int(rng.choice([1, 40 * host_count, 10**6]))
        patch_policy_constant(monkeypatch, "MAX_ORDERED_MACHINES", max_ordered)
        stream = EventStream(seed, host_count, service_count, churn=float(rng.choice([0.02, 0.15, 0.4])))
        reference, scheduler = ReferenceScheduler(stream.settings, seed), Scheduler(stream.settings, seed)
        assert find_difference(reference, scheduler, stream, 150) is None, (
            f"seed {seed}, {host_count} hosts, {service_count} services"
        )


def make_scheduler(size, cls=Scheduler):
    settings = api.Settings(
        0, 20, "z0", CLASSES, KINDS, 2.0, 1.5, list_has_free_capacity=True, max_attempts=4
    )
    scheduler = cls(settings, 1)
    machines = [
        api.Machine(f"h{i}", "std", "z0", i % 9, api.MachinePhase.SERVING, 8.0, 16.0) for i in range(size)
    ]
    scheduler.handle(0.0, api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, tuple(machines)))
    return scheduler, machines


def count_work(size, monkeypatch):
    """Machine updates, machines examined and hashes, for three machines removed and a placement after that."""
    scheduler, machines = make_scheduler(size)
    scheduler.handle(1.0, api.PlacementRequested(1, "safe", "s", 1.0, 1.0, 8000.0))
    monkeypatch.setattr(RendezvousIndex, "is_self_checking", False)
    calls, mix_bits, update_machine, is_eligible = (
        [],
        index.mix_bits,
        scheduler.machine_list.update_machine,
        scheduler.placement.is_eligible,
    )
    with monkeypatch.context() as patched:
        patched.setattr(index, "mix_bits", lambda value: calls.append("hash") or mix_bits(value))
        scheduler.machine_list.update_machine = lambda *a: calls.append("listed") or update_machine(*a)
        scheduler.placement.is_eligible = lambda *a: calls.append("looked") or is_eligible(*a)
        removed = [
            api.Machine(m.name, m.kind, m.zone, m.cell, api.MachinePhase.REMOVED) for m in machines[5:8]
        ]
        scheduler.handle(2.0, api.MachineListUpdated(api.ListUpdateKind.DELTA, tuple(removed)))
        # No machine has enough capacity, so the placement examines as many as it may.
        scheduler.handle(3.0, api.PlacementRequested(2, "safe", "s", 1000.0, 1.0, 8000.0))
    return [calls.count(kind) for kind in ("listed", "looked", "hash")]


def test_work_of_a_list_event_and_a_placement_does_not_depend_on_the_number_of_machines(monkeypatch):
    few, many = count_work(400, monkeypatch), count_work(6_300, monkeypatch)
    assert few[:2] == many[:2] == [3, MAX_EXAMINED]
    # Each removed machine is found by bisection, each drawn position in a few steps past the warm machine's.
    assert few[2] <= 3 * (1 + (400).bit_length()) + 2 * MAX_EXAMINED
    assert many[2] <= 3 * (1 + (6_300).bit_length()) + 2 * MAX_EXAMINED


def test_removing_machines_one_by_one_or_at_once_gives_the_same_orders():
    incremental, machines = make_scheduler(1_600)
    at_once, _ = make_scheduler(1_600)
    removed = [api.Machine(m.name, m.kind, m.zone, m.cell, api.MachinePhase.REMOVED) for m in machines[:900]]
    for i, change in enumerate(removed):
        incremental.handle(10.0, api.MachineListUpdated(api.ListUpdateKind.DELTA, (change,)))
        if i % 50 == 0:
            incremental.state.serving_machines.get_order(f"s{i % 3}")
    at_once.handle(10.0, api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, tuple(machines[900:])))
    names = [
        [machine.name for machine in scheduler.state.serving_machines.get_order(s)]
        for s in ("s0", "s1", "s2")
        for scheduler in (incremental, at_once)
    ]
    assert names[0] == names[1] and names[2] == names[3] and names[4] == names[5]
    assert (
        set(incremental.state.machines) == set(at_once.state.machines) == {m.name for m in machines[900:]}
        and len(names[0]) == 700
    )

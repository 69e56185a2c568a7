"""The index of hash orders against sorts, and the scheduler on it against its plain form, action by action."""

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from glencleat import interface as api
from glencleat.index import rendezvous as index
from glencleat.index.rendezvous import RendezvousIndex, hash_name
from glencleat.policy.placement import MAX_EXAMINED
from glencleat.policy.scheduler import Scheduler
from tests.support.event_stream import CLASSES, KINDS, EventStream
from tests.support.reference_scheduler import ReferenceScheduler, find_difference, patch_policy_constant


class Member:
    """A member; with `bits` its hash is short, so that some are equal and names decide."""

    def __init__(self, name, bits=64):
        self.name, self.hash = name, hash_name(name) % 2**bits


def sort_all(members, key):
    seed = hash_name(key)
    return sorted(members.members, key=lambda item: (index.mix_hash(seed ^ item.hash), item.name))


# ---- the index ----


CHANGES = st.lists(
    st.tuples(st.integers(0, 40), st.sampled_from(["put", "take", "again", "a", "b", "c"])), max_size=120
)


@given(
    changes=CHANGES,
    bits=st.sampled_from([2, 4, 64]),
    remembered=st.sampled_from([1, 8, 1024]),
    most=st.integers(1, 120),
)
def test_order_equals_a_sort_of_all_members_after_any_changes(changes, bits, remembered, most):
    members = RendezvousIndex[Member](most, 2)
    members.changes = index.deque(maxlen=remembered)
    items = [Member(f"m{i}", bits) for i in range(41)]
    for number, what in changes:
        if what in ("put", "take"):
            members.put(items[number], what == "put")
        elif what == "again":  # goes and comes back as another of the same name
            members.put(items[number], False)
            items[number] = Member(f"m{number}", bits)
            members.put(items[number], True)
        else:
            order = members.order(what)
            assert list(order) == sort_all(members, what) and len(order) == len(members)
            assert len(members.orders) <= 2 and (members.reference_count <= most or len(members.orders) == 1)


@given(st.integers(1, 60), st.data())
def test_filtered_order_equals_a_copy_without_the_skipped(count, data):
    members = RendezvousIndex[Member](10_000, 10)
    bits = data.draw(st.sampled_from([3, 64]))
    for i in range(count):
        members.put(Member(f"m{i}", bits), True)
    order = members.order("s")
    out = data.draw(st.lists(st.sampled_from(list(order)), unique=True))
    copy, rest = [item for item in order if item not in out], order.without(out)
    assert [rest[i] for i in range(len(copy))] == copy


def test_equal_hashes_are_ordered_by_name_after_each_change():
    members, items = RendezvousIndex[Member](10_000, 10), [Member(f"m{i}", bits=1) for i in range(40)]
    for item in items[::-2] + items[::2]:
        members.put(item, True)
        assert list(members.order("a")) == sort_all(members, "a")
    for item in items[::3]:
        members.put(item, False)
        assert list(members.order("a")) == sort_all(members, "a")


@given(st.lists(st.tuples(st.integers(0, 9), st.floats(0.1, 9.0), st.booleans()), max_size=60))
def test_columns_sum_to_the_bit_as_a_loop_over_ordered_rows(changes):
    columns, rows = index.Columns(2), {}
    for key, value, there in changes:
        rows.pop(key, None)
        if there:
            rows[key] = value, value / 3.0
        columns.put(key, rows.get(key))
        ordered = [rows[k] for k in sorted(rows)]
        assert len(columns) == len(rows)
        assert columns.sums() == (sum(a for a, _ in ordered), sum(b for _, b in ordered))


@pytest.mark.parametrize("short", [16, 1 << 16])
def test_slots_of_absent_names_are_reclaimed(short, monkeypatch):
    """Orders begin anew when slots run out, or when absent names hold more slots than members do."""
    monkeypatch.setattr(index, "SHORT_SLOT_LIMIT", short)
    members = RendezvousIndex[Member](10_000, 10)
    for i in range(2_000):
        members.put(Member(f"m{i}"), True)
        if i >= 30:
            members.put(next(iter(members.members)), False)
        if i % 7 == 0:
            assert list(members.order("a")) == sort_all(members, "a")
        assert len(members.slot_table.members) <= 2 * (len(members) + 1) + index.SPARE_SLOTS + 1
    assert [members.order("a").slots.typecode] == (["I"] if short == 16 else ["H"])


def test_least_recently_used_orders_are_evicted():
    members = RendezvousIndex[Member](100, 10)
    for i in range(30):
        members.put(Member(f"m{i}"), True)
    for key in ("a", "b", "c", "a", "d"):
        members.order(key)
    assert list(members.orders) == ["c", "a", "d"] and members.reference_count == 90
    for i in range(30, 60):
        members.put(Member(f"m{i}"), True)
    members.order("c")  # it has grown
    assert list(members.orders) == ["d", "c"] and members.reference_count == 30 + 60
    members.order("d")
    assert list(members.orders) == ["d"] and members.reference_count == 60


def test_check_raises_for_a_wrong_order_and_a_wrong_count():
    members = RendezvousIndex[Member](100, 10)
    for i in range(9):
        members.put(Member(f"m{i}"), True)
    order = members.order("a")
    order.slots[3], order.slots[4] = order.slots[4], order.slots[3]
    with pytest.raises(AssertionError, match="is not that of its 9 members"):
        members.check(order)
    order.slots[3], order.slots[4] = order.slots[4], order.slots[3]
    members.check(order)
    members.reference_count += 1
    with pytest.raises(AssertionError, match="10 references"):
        members.check(order)


@pytest.mark.parametrize("size", [400, 6_300])
def test_hash_count_follows_changes_not_members(size, monkeypatch):
    monkeypatch.setattr(RendezvousIndex, "is_checked", False)
    members, counted = RendezvousIndex[Member](10**6, 100), []
    for i in range(size):
        members.put(Member(f"m{i}"), True)
    members.order("a")
    real = index.mix_hash
    monkeypatch.setattr(index, "mix_hash", lambda value: counted.append(value) or real(value))
    members.order("a")
    assert counted == []
    for item in list(members.members)[:5]:
        members.put(item, False)
    members.order("a")
    assert len(counted) <= 5 * (1 + size.bit_length())
    counted.clear()
    for item in list(members.members)[:10]:  # away and back before anybody looked
        members.put(item, False)
        members.put(item, True)
    members.order("a")
    assert counted == []
    for item in list(members.members)[: size // 7]:  # many at once: those that stay are found, none is hashed
        members.put(item, False)
    members.order("a")
    assert counted == []


# ---- the scheduler on it ----


@pytest.mark.parametrize("part", range(16))
def test_actions_equal_those_of_the_reference_scheduler(part, monkeypatch):
    """208 seeded streams: hosts come, go, drain, return, whole and failed lists, tasks of all classes."""
    patch_policy_constant(monkeypatch, "MAX_REMEMBERED_SERVICES", 12)
    for seed in range(13 * part, 13 * part + 13):
        rng = np.random.default_rng([seed, 7])
        hosts, services = int(rng.integers(5, 301)), int(rng.integers(1, 51))
        patch_policy_constant(monkeypatch, "MIN_SAMPLES", int(rng.choice([2, 20])))
        ordered = int(rng.choice([1, 40 * hosts, 10**6]))
        patch_policy_constant(monkeypatch, "MAX_ORDERED_MACHINES", ordered)
        stream = EventStream(seed, hosts, services, churn=float(rng.choice([0.02, 0.15, 0.4])))
        one, two = ReferenceScheduler(stream.settings, seed), Scheduler(stream.settings, seed)
        assert find_difference(one, two, stream, 150) is None, (
            f"seed {seed}, {hosts} hosts, {services} services"
        )


def fleet(size, cls=Scheduler):
    settings = api.Settings(
        0, 20, "z0", CLASSES, KINDS, 2.0, 1.5, list_has_free_capacity=True, max_attempts=4
    )
    scheduler = cls(settings, 1)
    machines = [
        api.Machine(f"h{i}", "std", "z0", i % 9, api.MachinePhase.SERVING, 8.0, 16.0) for i in range(size)
    ]
    scheduler.handle(0.0, api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, tuple(machines)))
    return scheduler, machines


def counted(size, monkeypatch):
    """Machines listed, machines looked at and hashes, for three machines gone and a placement after it."""
    scheduler, machines = fleet(size)
    scheduler.handle(1.0, api.PlacementRequested(1, "safe", "s", 1.0, 1.0, 8000.0))
    monkeypatch.setattr(RendezvousIndex, "is_checked", False)
    seen, real, listed, allowed = (
        [],
        index.mix_hash,
        scheduler.machine_list.update_machine,
        scheduler.placement.is_eligible,
    )
    with monkeypatch.context() as patched:
        patched.setattr(index, "mix_hash", lambda value: seen.append("hash") or real(value))
        scheduler.machine_list.update_machine = lambda *a: seen.append("listed") or listed(*a)
        scheduler.placement.is_eligible = lambda *a: seen.append("looked") or allowed(*a)
        gone = [api.Machine(m.name, m.kind, m.zone, m.cell, api.MachinePhase.REMOVED) for m in machines[5:8]]
        scheduler.handle(2.0, api.MachineListUpdated(api.ListUpdateKind.DELTA, tuple(gone)))
        scheduler.handle(
            3.0, api.PlacementRequested(2, "safe", "s", 1000.0, 1.0, 8000.0)
        )  # none has room: all are looked at
    return [seen.count(what) for what in ("listed", "looked", "hash")]


def test_work_of_a_list_event_and_a_placement_does_not_grow_with_size(monkeypatch):
    few, many = counted(400, monkeypatch), counted(6_300, monkeypatch)
    assert few[:2] == many[:2] == [3, MAX_EXAMINED]
    # The three that went are found by halves, each drawn position in a few steps past the warm machine's place.
    assert few[2] <= 3 * (1 + (400).bit_length()) + 2 * MAX_EXAMINED
    assert many[2] <= 3 * (1 + (6_300).bit_length()) + 2 * MAX_EXAMINED


def test_removals_by_delta_and_by_snapshot_leave_equal_orders():
    one, machines = fleet(1_600)
    two, _ = fleet(1_600)
    gone = [api.Machine(m.name, m.kind, m.zone, m.cell, api.MachinePhase.REMOVED) for m in machines[:900]]
    for i, told in enumerate(gone):
        one.handle(10.0, api.MachineListUpdated(api.ListUpdateKind.DELTA, (told,)))
        if i % 50 == 0:
            one.state.serving.order(f"s{i % 3}")
    two.handle(10.0, api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, tuple(machines[900:])))
    names = [
        [node.name for node in side.state.serving.order(s)] for s in ("s0", "s1", "s2") for side in (one, two)
    ]
    assert names[0] == names[1] and names[2] == names[3] and names[4] == names[5]
    assert (
        set(one.state.machines) == set(two.state.machines) == {m.name for m in machines[900:]}
        and len(names[0]) == 700
    )

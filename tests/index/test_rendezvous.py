"""The index of hash orders against sorts, and the scheduler on it against its plain form, action by action."""

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
    """A member; with `bits` its hash is short, so that some are equal and names decide."""

    def __init__(self, name, bits=64):
        self.name, self.hash = name, hash_text(name) % 2**bits


def plain(members, key):
    seed = hash_text(key)
    return sorted(members.items, key=lambda item: (index.mix_bits(seed ^ item.hash), item.name))


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
def test_an_order_is_what_a_sort_gives_after_any_changes(changes, bits, remembered, most):
    members = RendezvousIndex[Item](most, 2)
    members.changes = index.deque(maxlen=remembered)
    items = [Item(f"m{i}", bits) for i in range(41)]
    for number, what in changes:
        if what in ("put", "take"):
            members.set_present(items[number], what == "put")
        elif what == "again":  # goes and comes back as another of the same name
            members.set_present(items[number], False)
            items[number] = Item(f"m{number}", bits)
            members.set_present(items[number], True)
        else:
            order = members.get_order(what)
            assert list(order) == plain(members, what) and len(order) == len(members)
            assert len(members.orders_by_key) <= 2 and (
                members.reference_count <= most or len(members.orders_by_key) == 1
            )


@given(st.integers(1, 60), st.data())
def test_places_are_found_as_in_a_copy_without_those_left_out(count, data):
    members = RendezvousIndex[Item](10_000, 10)
    bits = data.draw(st.sampled_from([3, 64]))
    for i in range(count):
        members.set_present(Item(f"m{i}", bits), True)
    order = members.get_order("s")
    out = data.draw(st.lists(st.sampled_from(list(order)), unique=True))
    copy, rest = [item for item in order if item not in out], order.without(out)
    assert [rest[i] for i in range(len(copy))] == copy


def test_equal_hashes_are_ordered_by_name_also_one_by_one():
    members, items = RendezvousIndex[Item](10_000, 10), [Item(f"m{i}", bits=1) for i in range(40)]
    for item in items[::-2] + items[::2]:
        members.set_present(item, True)
        assert list(members.get_order("a")) == plain(members, "a")
    for item in items[::3]:
        members.set_present(item, False)
        assert list(members.get_order("a")) == plain(members, "a")


@given(st.lists(st.tuples(st.integers(0, 9), st.floats(0.1, 9.0), st.booleans()), max_size=60))
def test_columns_sum_as_a_loop_over_the_rows_in_their_order(changes):
    columns, rows = index.ColumnSums(2), {}
    for key, value, there in changes:
        rows.pop(key, None)
        if there:
            rows[key] = value, value / 3.0
        columns.put_row(key, rows.get(key))
        ordered = [rows[k] for k in sorted(rows)]
        assert len(columns) == len(rows)
        assert columns.sum_columns() == (sum(a for a, _ in ordered), sum(b for _, b in ordered))


@pytest.mark.parametrize("short", [16, 1 << 16])
def test_names_that_went_for_good_leave_no_numbers(short, monkeypatch):
    """Orders begin anew when numbers run out, or more than as many as there are members are of such names."""
    monkeypatch.setattr(index, "MAX_SHORT_SLOTS", short)
    members = RendezvousIndex[Item](10_000, 10)
    for i in range(2_000):
        members.set_present(Item(f"m{i}"), True)
        if i >= 30:
            members.set_present(next(iter(members.items)), False)
        if i % 7 == 0:
            assert list(members.get_order("a")) == plain(members, "a")
        assert len(members.slots.items) <= 2 * (len(members) + 1) + index.MAX_STALE_SLOTS + 1
    assert [members.get_order("a").numbers.typecode] == (["I"] if short == 16 else ["H"])


def test_the_longest_unused_orders_go():
    members = RendezvousIndex[Item](100, 10)
    for i in range(30):
        members.set_present(Item(f"m{i}"), True)
    for key in ("a", "b", "c", "a", "d"):
        members.get_order(key)
    assert list(members.orders_by_key) == ["c", "a", "d"] and members.reference_count == 90
    for i in range(30, 60):
        members.set_present(Item(f"m{i}"), True)
    members.get_order("c")  # it has grown
    assert list(members.orders_by_key) == ["d", "c"] and members.reference_count == 30 + 60
    members.get_order("d")
    assert list(members.orders_by_key) == ["d"] and members.reference_count == 60


def test_the_check_sees_a_wrong_order_and_a_wrong_count():
    members = RendezvousIndex[Item](100, 10)
    for i in range(9):
        members.set_present(Item(f"m{i}"), True)
    order = members.get_order("a")
    order.numbers[3], order.numbers[4] = order.numbers[4], order.numbers[3]
    with pytest.raises(AssertionError, match="is not that of its 9 members"):
        members.verify_order(order)
    order.numbers[3], order.numbers[4] = order.numbers[4], order.numbers[3]
    members.verify_order(order)
    members.reference_count += 1
    with pytest.raises(AssertionError, match="10 references"):
        members.verify_order(order)


@pytest.mark.parametrize("size", [400, 6_300])
def test_hashes_follow_changes_not_the_members(size, monkeypatch):
    monkeypatch.setattr(RendezvousIndex, "is_self_checking", False)
    members, counted = RendezvousIndex[Item](10**6, 100), []
    for i in range(size):
        members.set_present(Item(f"m{i}"), True)
    members.get_order("a")
    real = index.mix_bits
    monkeypatch.setattr(index, "mix_bits", lambda value: counted.append(value) or real(value))
    members.get_order("a")
    assert counted == []
    for item in list(members.items)[:5]:
        members.set_present(item, False)
    members.get_order("a")
    assert len(counted) <= 5 * (1 + size.bit_length())
    counted.clear()
    for item in list(members.items)[:10]:  # away and back before anybody looked
        members.set_present(item, False)
        members.set_present(item, True)
    members.get_order("a")
    assert counted == []
    for item in list(members.items)[: size // 7]:  # many at once: those that stay are found, none is hashed
        members.set_present(item, False)
    members.get_order("a")
    assert counted == []


# ---- the scheduler on it ----


@pytest.mark.parametrize("part", range(16))
def test_equal_actions_by_kept_and_by_plain_orders(part, monkeypatch):
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
    monkeypatch.setattr(RendezvousIndex, "is_self_checking", False)
    seen, real, listed, allowed = (
        [],
        index.mix_bits,
        scheduler.machine_list.update_machine,
        scheduler.placement.is_eligible,
    )
    with monkeypatch.context() as patched:
        patched.setattr(index, "mix_bits", lambda value: seen.append("hash") or real(value))
        scheduler.machine_list.update_machine = lambda *a: seen.append("listed") or listed(*a)
        scheduler.placement.is_eligible = lambda *a: seen.append("looked") or allowed(*a)
        gone = [api.Machine(m.name, m.kind, m.zone, m.cell, api.MachinePhase.REMOVED) for m in machines[5:8]]
        scheduler.handle(2.0, api.MachineListUpdated(api.ListUpdateKind.DELTA, tuple(gone)))
        scheduler.handle(
            3.0, api.PlacementRequested(2, "safe", "s", 1000.0, 1.0, 8000.0)
        )  # none has room: all are looked at
    return [seen.count(what) for what in ("listed", "looked", "hash")]


def test_the_work_of_a_list_event_and_a_placement_is_the_same_at_any_size(monkeypatch):
    few, many = counted(400, monkeypatch), counted(6_300, monkeypatch)
    assert few[:2] == many[:2] == [3, MAX_EXAMINED]
    # The three that went are found by halves, each drawn position in a few steps past the warm machine's place.
    assert few[2] <= 3 * (1 + (400).bit_length()) + 2 * MAX_EXAMINED
    assert many[2] <= 3 * (1 + (6_300).bit_length()) + 2 * MAX_EXAMINED


def test_nine_hundred_gone_one_by_one_or_at_once_leave_the_same():
    one, machines = fleet(1_600)
    two, _ = fleet(1_600)
    gone = [api.Machine(m.name, m.kind, m.zone, m.cell, api.MachinePhase.REMOVED) for m in machines[:900]]
    for i, told in enumerate(gone):
        one.handle(10.0, api.MachineListUpdated(api.ListUpdateKind.DELTA, (told,)))
        if i % 50 == 0:
            one.state.serving_machines.get_order(f"s{i % 3}")
    two.handle(10.0, api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, tuple(machines[900:])))
    names = [
        [node.name for node in side.state.serving_machines.get_order(s)]
        for s in ("s0", "s1", "s2")
        for side in (one, two)
    ]
    assert names[0] == names[1] and names[2] == names[3] and names[4] == names[5]
    assert (
        set(one.state.machines) == set(two.state.machines) == {m.name for m in machines[900:]}
        and len(names[0]) == 700
    )

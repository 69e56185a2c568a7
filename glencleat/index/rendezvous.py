"""Rendezvous-hash orders of a changing set of members, one for each key, maintained incrementally.

An order (highest random weight: Thaler and Ravishankar, 1998) is the members sorted by a hash of key and
member: any two processes that know the same members agree on it. Members have slot numbers, and an order is
an array of these, 2 bytes each, so that each of a thousand keys may have one. A member that joins or leaves
is inserted or removed by bisection in the orders that are asked for; an order that has fallen far behind is
filtered, or sorted anew where that takes less. An order equals a sort of all members: no choice is made
here. The policy calls it.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Collection, Iterable, Iterator
from hashlib import blake2b
from itertools import compress, islice
from typing import ClassVar, Generic, Protocol, TypeVar, overload

MAX_CHANGES = 512  # joins and leaves remembered, for orders that catch up
# Measured by benchmarks/order_index.py, in the time of one insertion or removal by bisection:
SCANS_PER_INSERT = 64  # members checked for presence
SORTS_PER_INSERT = 10  # members sorted
SHORT_SLOT_LIMIT = 1 << 16  # slots that 2 bytes can number
SPARE_SLOTS = 64  # slots of absent members, beyond as many as there are members, before all are renumbered


class RendezvousMember(Protocol):
    """What is ordered: compared by identity, with a name that is unique in the set."""

    name: str
    hash: int  # of its name, 64 bits


T = TypeVar("T", bound=RendezvousMember)


def hash_name(text: str) -> int:
    """Return a 64-bit hash of the text that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def mix_hash(value: int) -> int:
    """Spread the bits of two hashes joined by exclusive or: cheaper than hashing each pair of names."""
    value = (value ^ value >> 31) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    return (value ^ value >> 29) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF


class SlotTable(Generic[T]):
    """Members by slot number, and their hashes.

    The name of an absent member keeps its slot: should it return, its place in every order is the same.
    """

    def __init__(self) -> None:
        self.slot_by_name: dict[str, int] = {}
        self.members: list[T] = []
        self.hashes = array("Q")
        self.is_present = bytearray()  # one flag a slot

    def assign_slot(self, member: T) -> int:
        """Return the slot of the member's name, a new one for a new name; the slot then holds this member."""
        slot = self.slot_by_name.setdefault(member.name, len(self.members))
        if slot == len(self.members):
            self.members.append(member)
            self.hashes.append(member.hash)
            self.is_present.append(False)  # noqa: FBT003 - a byte of the array
        self.members[slot] = member
        return slot

    def present_slots(self) -> Iterator[int]:
        """Iterate over the slots of the members that are present, ascending."""
        return compress(range(len(self.is_present)), self.is_present)


class RendezvousOrder(Generic[T]):
    """The members in one key's order, as of the version at which it was last asked for."""

    __slots__ = ("seed", "slot_table", "slots", "version")

    def __init__(self, seed: int, slot_table: SlotTable[T]) -> None:
        self.seed = seed
        self.version = -1  # of the index; -1 before the first sort
        self.slot_table = slot_table
        self.slots = array("H" if len(slot_table.members) <= SHORT_SLOT_LIMIT else "I")

    def __len__(self) -> int:
        return len(self.slots)

    def __iter__(self) -> Iterator[T]:
        return map(self.slot_table.members.__getitem__, self.slots)

    @overload
    def __getitem__(self, at: int) -> T: ...
    @overload
    def __getitem__(self, at: slice) -> list[T]: ...
    def __getitem__(self, at: int | slice) -> T | list[T]:
        if isinstance(at, slice):
            return [self.slot_table.members[slot] for slot in self.slots[at]]
        return self.slot_table.members[self.slots[at]]

    def sort_key(self, slot: int) -> tuple[int, str]:
        """Return weight and name of a slot's member; the name decides between equal hashes."""
        return mix_hash(self.seed ^ self.slot_table.hashes[slot]), self.slot_table.members[slot].name

    def member_sort_key(self, member: T) -> tuple[int, str]:
        """Return weight and name of a member, whether it is in this order or not."""
        return mix_hash(self.seed ^ member.hash), member.name

    def insert(self, slot: int) -> None:
        """Insert a slot at its place, by O(log members) hashes."""
        self.slots.insert(bisect_left(self.slots, self.sort_key(slot), key=self.sort_key), slot)

    def remove(self, slots: Collection[int]) -> None:
        """Remove slots that are in this order, by O(log members) hashes each."""
        for slot in slots:
            del self.slots[bisect_left(self.slots, self.sort_key(slot), key=self.sort_key)]

    def remove_absent(self) -> None:
        """Remove the slots of all members that are absent: one pass and no hash."""
        presence = map(self.slot_table.is_present.__getitem__, self.slots)
        self.slots = array(self.slots.typecode, compress(self.slots, presence))

    def sort(self) -> None:
        """Replace the order by a sort of all members that are present."""
        slots = list(self.slot_table.present_slots())
        seed, hashes = self.seed, self.slot_table.hashes
        slot_by_weight = {mix_hash(seed ^ hashes[slot]): slot for slot in slots}
        if len(slot_by_weight) == len(slots):
            slots = [slot_by_weight[weight] for weight in sorted(slot_by_weight)]
        else:  # two names of one hash
            slots.sort(key=self.sort_key)
        self.slots = array(self.slots.typecode, slots)

    def without(self, skipped: Iterable[T]) -> FilteredOrder[T]:
        """Return a view of this order that leaves out some of its members, each named once."""
        return FilteredOrder(self, skipped)


class FilteredOrder(Generic[T]):
    """An order with some of its members (each named once) left out, by position: nothing is copied."""

    __slots__ = ("keys", "order", "skipped")

    def __init__(self, order: RendezvousOrder[T], skipped: Iterable[T]) -> None:
        self.order = order
        self.skipped = skipped
        self.keys = list[tuple[int, str]]()  # sort keys of the skipped, worked out at the first access

    def __getitem__(self, at: int) -> T:
        """Return the member at position `at`.

        That is the least x of the order with x = at + (skipped members up to x), found by steps from below.
        """
        order, place = self.order, at
        if not self.keys:
            self.keys = sorted(map(order.member_sort_key, self.skipped))
        if self.keys:
            while (further := at + bisect_right(self.keys, order.sort_key(order.slots[place]))) != place:
                place = further
        return order[place]


class RendezvousIndex(Generic[T]):
    """The members, their latest changes, and the orders asked for; least recently used orders are evicted."""

    is_checked: ClassVar[bool] = False  # in tests: compare each answer with a sort of all members

    def __init__(self, max_references: int, max_orders: int) -> None:
        """Bound the memory of orders.

        `max_references`: members in all orders together (2 bytes each, 4 beyond 65,536 names); `max_orders`:
        keys that have an order at a time.
        """
        self.max_references = max_references
        self.max_orders = max_orders
        self.members: dict[T, None] = {}  # a dict for its order of insertion
        self.slot_table = SlotTable[T]()
        self.version = 0  # one more at each change
        self.reference_count = 0
        self.changes: deque[tuple[int, bool]] = deque(maxlen=MAX_CHANGES)  # slot, whether it joined
        self.orders: dict[str, RendezvousOrder[T]] = {}  # by key, the least recently used first

    def __contains__(self, member: T) -> bool:
        return member in self.members

    def __len__(self) -> int:
        return len(self.members)

    def put(self, member: T, is_present: bool) -> None:
        """Add or remove a member; O(1), and without effect where that is its state already."""
        if is_present is (member in self.members):
            return
        if is_present:
            self.members[member] = None
            if member.name not in self.slot_table.slot_by_name:
                self._renumber_if_due()
        else:
            del self.members[member]
        slot = self.slot_table.assign_slot(member)
        if self.slot_table.is_present[slot] != is_present:
            self.slot_table.is_present[slot] = is_present
            self.changes.append((slot, is_present))
            self.version += 1

    def _renumber_if_due(self) -> None:
        """Renumber when many slots are of absent names or the next takes more bytes; orders begin anew."""
        slot_count = len(self.slot_table.members)
        if slot_count <= 2 * len(self.members) + SPARE_SLOTS and slot_count != SHORT_SLOT_LIMIT:
            return
        self.slot_table = SlotTable[T]()
        self.orders = {}
        self.reference_count = 0
        self.changes.clear()
        for member in self.members:
            self.slot_table.is_present[self.slot_table.assign_slot(member)] = True

    def order(self, key: str) -> RendezvousOrder[T]:
        """Return the members in this key's order; read-only, and up to date until the next `put`."""
        order = self.orders.pop(key, None) or RendezvousOrder[T](hash_name(key), self.slot_table)
        self.orders[key] = order  # the most recently used stands last
        if order.version != self.version:
            length_before = len(order)
            self._catch_up(order)
            self.reference_count += len(order) - length_before
            self._evict_orders()
            if self.is_checked:
                self.check(order)
        return order

    def _evict_orders(self) -> None:
        """Drop the least recently used orders until both bounds hold; the last one used stays."""
        while len(self.orders) > 1 and (
            self.reference_count > self.max_references or len(self.orders) > self.max_orders
        ):
            least_recent = next(iter(self.orders))
            self.reference_count -= len(self.orders.pop(least_recent))

    def _catch_up(self, order: RendezvousOrder[T]) -> None:
        """Bring an order to the present version, by the cheapest of its ways."""
        behind = self.version - order.version
        if (
            order.version >= 0
            and behind <= len(self.changes)
            and behind * SCANS_PER_INSERT <= len(self.members)
        ):
            joined = self._apply_leaves(order, behind)
        else:
            order.remove_absent()
            joined = set[int]()
            if len(order) < len(self.members):
                joined.update(self.slot_table.present_slots())
                joined.difference_update(order.slots)
        if len(joined) * SORTS_PER_INSERT > len(self.members):
            order.sort()
        else:
            for slot in joined:  # in whatever order: each goes to its place
                order.insert(slot)
        order.version = self.version

    def _apply_leaves(self, order: RendezvousOrder[T], behind: int) -> set[int]:
        """Remove from the order what left in the last `behind` changes; return the slots that joined."""
        net = dict[int, bool]()
        for slot, has_joined in islice(self.changes, len(self.changes) - behind, None):
            if net.pop(slot, None) is None:  # else it left and is back, or joined and left
                net[slot] = has_joined
        joined = {slot for slot, has_joined in net.items() if has_joined}
        order.remove(net.keys() - joined)
        return joined

    def check(self, order: RendezvousOrder[T]) -> None:
        """Compare an order with a sort of all members, and the reference count with a recount.

        Raises AssertionError where they differ.
        """
        expected = sorted(self.members, key=order.member_sort_key)
        if list(map(id, expected)) != list(map(id, order)):
            raise AssertionError(f"order {order.seed:x} is not that of its {len(expected)} members")
        if self.reference_count != sum(map(len, self.orders.values())):
            raise AssertionError(f"{self.reference_count} references counted")


class Columns:
    """Rows of numbers by arrival, summed from the first on: to the bit what a loop over all rows gives.

    Sums of floats depend on the order of additions, so no running sum or tree gives the same. The columns lie
    side by side instead, and a sum reads them at memory's speed.
    """

    def __init__(self, width: int) -> None:
        self.keys = array("Q")
        self.columns = tuple(array("d") for _ in range(width))

    def __len__(self) -> int:
        return len(self.keys)

    def put(self, key: int, row: tuple[float, ...] | None) -> None:
        """Set the row that arrived as number `key`; None removes it, if it is there."""
        at = bisect_left(self.keys, key)
        if at < len(self.keys) and self.keys[at] == key:
            del self.keys[at]
            for column in self.columns:
                del column[at]
        if row is not None:
            self.keys.insert(at, key)
            for column, value in zip(self.columns, row, strict=True):
                column.insert(at, value)

    def sums(self) -> tuple[float, ...]:
        """Return the sum of each column."""
        return tuple(map(sum, self.columns))

"""Rendezvous-hash orders of a changing set of members, one for each key, kept by what changed.

An order (highest random weight: Thaler and Ravishankar, 1998) is the members sorted by a hash of key and
member: any two processes that know the same members agree on it. Members have numbers, and an order is an
array of these, 2 bytes each, so that each of a thousand keys may have one. A member that comes or goes is
inserted or removed by bisection in the orders that are looked at; one not looked at for long is filtered, or
sorted anew where that takes less. An order gives what a sort of all members gives: no choice is made here.
Imports nothing of the project; the decision module calls it."""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Collection, Iterable, Iterator
from hashlib import blake2b
from itertools import compress, islice
from typing import ClassVar, Generic, Protocol, TypeVar, overload

MAX_CHANGES = 512  # changes remembered
# Measured by benchmarks/order_index.py:
SCANS_PER_INSERT, SORTS_PER_INSERT = (
    64,
    10,
)  # members asked whether they stay, members sorted, in the time of one put in or out
SHORT_SLOT_LIMIT = 1 << 16  # slots that 2 bytes can tell
SPARE_SLOTS = 64  # slots of members that went, beyond as many as there are, before all are numbered anew


class RendezvousMember(Protocol):
    """What is ordered: told apart by identity, its name unique in the set."""

    name: str
    hash: int  # of its name, 64 bits


T = TypeVar("T", bound=RendezvousMember)


def hash_name(text: str) -> int:
    """A hash of 64 bits that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def mix_hash(value: int) -> int:
    """Spreads the bits of two hashes joined by exclusive or; cheaper than hashing each pair of names."""
    value = (value ^ value >> 31) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    return (value ^ value >> 29) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF


class SlotTable(Generic[T]):
    """Members by number, and their hashes. A name that is away keeps its number, as its place is the same."""

    def __init__(self) -> None:
        self.slot_by_name: dict[str, int] = {}  # by name
        self.members: list[T] = []
        self.hashes = array("Q")
        self.is_present = bytearray()

    def assign_slot(self, item: T) -> int:
        """Its number, a new one where its name has none."""
        found = self.slot_by_name.setdefault(item.name, len(self.members))
        if found == len(self.members):
            self.members.append(item)
            self.hashes.append(item.hash)
            self.is_present.append(False)
        self.members[found] = item
        return found


class RendezvousOrder(Generic[T]):
    """The members in one key's order, as of the version at which it was last asked for."""

    __slots__ = ("slots", "seed", "slot_table", "version")

    def __init__(self, seed: int, slots: SlotTable[T]) -> None:
        self.seed, self.version, self.slot_table = seed, -1, slots
        self.slots = array("H" if len(slots.members) <= SHORT_SLOT_LIMIT else "I")

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
            return [self.slot_table.members[number] for number in self.slots[at]]
        return self.slot_table.members[self.slots[at]]

    def sort_key(self, number: int) -> tuple[int, str]:
        return mix_hash(self.seed ^ self.slot_table.hashes[number]), self.slot_table.members[number].name

    def member_sort_key(self, item: T) -> tuple[int, str]:
        return mix_hash(self.seed ^ item.hash), item.name

    def insert(self, number: int) -> None:
        """To its place, by O(log members) hashes; nothing else is touched but what lies behind it."""
        self.slots.insert(bisect_left(self.slots, self.sort_key(number), key=self.sort_key), number)

    def remove(self, gone: Collection[int]) -> None:
        for number in gone:
            del self.slots[bisect_left(self.slots, self.sort_key(number), key=self.sort_key)]

    def remove_absent(self) -> None:
        """Only those who are there stay."""
        stay = map(self.slot_table.is_present.__getitem__, self.slots)
        self.slots = array(self.slots.typecode, compress(self.slots, stay))

    def sort(self) -> None:
        numbers = list(compress(range(len(self.slot_table.is_present)), self.slot_table.is_present))
        seed, hashes = self.seed, self.slot_table.hashes
        by_weight = {mix_hash(seed ^ hashes[number]): number for number in numbers}
        if len(by_weight) == len(numbers):
            numbers = [by_weight[weight] for weight in sorted(by_weight)]
        else:  # two names of one hash
            numbers.sort(key=self.sort_key)
        self.slots = array(self.slots.typecode, numbers)

    def without(self, skipped: Iterable[T]) -> FilteredOrder[T]:
        return FilteredOrder(self, skipped)


class FilteredOrder(Generic[T]):
    """An order with some of its members (each named once) left out, by position: nothing is copied."""

    __slots__ = ("keys", "order", "skipped")

    def __init__(self, order: RendezvousOrder[T], skipped: Iterable[T]) -> None:
        self.order, self.skipped, self.keys = order, skipped, list[tuple[int, str]]()

    def __getitem__(self, at: int) -> T:
        """The least x with x = at + (those left out up to x), by steps from below."""
        order, place = self.order, at
        if not self.keys:
            self.keys = sorted(map(order.member_sort_key, self.skipped))
        if self.keys:
            while (further := at + bisect_right(self.keys, order.sort_key(order.slots[place]))) != place:
                place = further
        return order[place]


class RendezvousIndex(Generic[T]):
    """The set, its latest changes, and the orders asked for: the longest unused go when `most` is passed."""

    is_checked: ClassVar[bool] = False  # each answer is compared with a sort of all members (in tests)

    def __init__(self, max_references: int, max_orders: int) -> None:
        """`most`: members in all orders together (2 bytes each, 4 beyond 65,536 names); `keys`: orders."""
        self.max_references, self.max_orders = max_references, max_orders
        self.members: dict[T, None] = {}
        self.slot_table = SlotTable[T]()
        self.version, self.reference_count = 0, 0
        self.changes: deque[tuple[int, bool]] = deque(maxlen=MAX_CHANGES)
        self.orders: dict[str, RendezvousOrder[T]] = {}

    def __contains__(self, item: T) -> bool:
        return item in self.members

    def __len__(self) -> int:
        return len(self.members)

    def put(self, item: T, there: bool) -> None:
        """Takes it in or out; O(1), also where that is how it stands already."""
        if there is (item in self.members):
            return
        if there:
            self.members[item] = None
        else:
            del self.members[item]
        if there and item.name not in self.slot_table.slot_by_name:
            self._number_anew_if_due()
        number = self.slot_table.assign_slot(item)
        if self.slot_table.is_present[number] != there:
            self.slot_table.is_present[number] = there
            self.changes.append((number, there))
            self.version += 1

    def _number_anew_if_due(self) -> None:
        """Numbers of names that went for good are many, or the next takes more bytes: orders begin anew."""
        slots = len(self.slot_table.members)
        if slots <= 2 * len(self.members) + SPARE_SLOTS and slots != SHORT_SLOT_LIMIT:
            return
        self.slot_table, self.orders, self.reference_count = SlotTable[T](), {}, 0
        self.changes.clear()
        for item in self.members:
            self.slot_table.is_present[self.slot_table.assign_slot(item)] = True

    def order(self, key: str) -> RendezvousOrder[T]:
        """The members in this key's order, up to date until the next `put`; not to be changed."""
        order = self.orders.pop(key, None) or RendezvousOrder[T](hash_name(key), self.slot_table)
        self.orders[key] = order  # the last one used stands last
        if order.version != self.version:
            before = len(order)
            self._catch_up(order)
            self.reference_count += len(order) - before
            while len(self.orders) > 1 and (
                self.reference_count > self.max_references or len(self.orders) > self.max_orders
            ):
                self.reference_count -= len(self.orders.pop(next(iter(self.orders))))
            if self.is_checked:
                self.check(order)
        return order

    def _catch_up(self, order: RendezvousOrder[T]) -> None:
        behind, came = self.version - order.version, set[int]()
        if (
            order.version >= 0
            and behind <= len(self.changes)
            and behind * SCANS_PER_INSERT <= len(self.members)
        ):
            net = dict[int, bool]()
            for number, there in islice(self.changes, len(self.changes) - behind, None):
                if net.pop(number, None) is None:  # else it went and is back, or came and went
                    net[number] = there
            came.update(number for number, there in net.items() if there)
            order.remove(net.keys() - came)
        else:
            order.remove_absent()
            if len(order) < len(self.members):
                came.update(compress(range(len(self.slot_table.is_present)), self.slot_table.is_present))
                came.difference_update(order.slots)
        if len(came) * SORTS_PER_INSERT > len(self.members):
            order.sort()
        else:
            for number in came:  # in whatever order: each goes to its place
                order.insert(number)
        order.version = self.version

    def check(self, order: RendezvousOrder[T]) -> None:
        """Compares an order, and the count of references, with what a sort of all members gives."""
        plain = sorted(self.members, key=order.member_sort_key)
        if list(map(id, plain)) != list(map(id, order)):
            raise AssertionError(f"order {order.seed:x} is not that of its {len(plain)} members")
        if self.reference_count != sum(map(len, self.orders.values())):
            raise AssertionError(f"{self.reference_count} references counted")


class Columns:
    """Rows of numbers by arrival, summed from the first on: to the bit what a loop over all rows gives.

    Sums of floats depend on the order of additions, so that no running sum or tree gives the same. The
    columns lie side by side instead, and a sum reads them at memory's speed."""

    def __init__(self, width: int) -> None:
        self.keys, self.columns = array("Q"), tuple(array("d") for _ in range(width))

    def __len__(self) -> int:
        return len(self.keys)

    def put(self, key: int, row: tuple[float, ...] | None) -> None:
        """Sets the row that arrived as number `key`, or takes it out; nothing where there is none."""
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
        return tuple(map(sum, self.columns))

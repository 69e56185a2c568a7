"""Rendezvous-hash orders of a changing set of members, one for each key, updated incrementally.

An order (highest random weight: Thaler and Ravishankar, 1998) is the members sorted by a hash of key and
member: any two processes that know the same members agree on it. Members are numbered, and an order is an
array of member numbers, 2 bytes each, so that a thousand keys can have one each. An order is updated when it
is requested: members that were added or removed since are inserted or deleted by bisection. After many
changes it is filtered, or sorted from scratch where that costs less. An order always equals a sort of all
members; no decision is made here. Imports nothing from the project; the policy calls it.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Collection, Iterable, Iterator
from hashlib import blake2b
from itertools import compress, islice
from typing import ClassVar, Generic, Protocol, TypeVar, overload

MAX_CHANGES = 512  # length of the change log
# Members filtered, and members sorted, in the time of one insertion or deletion (benchmarks/order_index.py).
SCANS_PER_INSERT, SORTS_PER_INSERT = 64, 10
MAX_SHORT_SLOTS = 1 << 16  # slots that a 2-byte number can address
# Slots of removed members allowed beyond the number of present members before all members are renumbered.
MAX_STALE_SLOTS = 64


class RendezvousMember(Protocol):
    """A member of the set, compared by identity; its name is unique in the set."""

    name: str
    hash: int  # 64-bit hash of the name


T = TypeVar("T", bound=RendezvousMember)


def hash_text(text: str) -> int:
    """A 64-bit hash that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def mix_bits(value: int) -> int:
    """Mixes the bits of two XORed hashes; cheaper than hashing each pair of names."""
    value = (value ^ value >> 31) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    return (value ^ value >> 29) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF


class Slots(Generic[T]):
    """Members by number, with their hashes; a removed name keeps its number, as its position is the same."""

    def __init__(self) -> None:
        self.numbers_by_name: dict[str, int] = {}
        self.items: list[T] = []
        self.hashes = array("Q")
        self.presence = bytearray()

    def assign_number(self, item: T) -> int:
        """Returns the member's number, a new one if its name has none yet."""
        number = self.numbers_by_name.setdefault(item.name, len(self.items))
        if number == len(self.items):
            self.items.append(item)
            self.hashes.append(item.hash)
            self.presence.append(False)
        self.items[number] = item
        return number


class RendezvousOrder(Generic[T]):
    """The members in one key's order, as of the index version at which it was last requested."""

    __slots__ = ("numbers", "seed", "slots", "version")

    def __init__(self, seed: int, slots: Slots[T]) -> None:
        self.seed, self.version, self.slots = seed, -1, slots
        self.numbers = array("H" if len(slots.items) <= MAX_SHORT_SLOTS else "I")

    def __len__(self) -> int:
        return len(self.numbers)

    def __iter__(self) -> Iterator[T]:
        return map(self.slots.items.__getitem__, self.numbers)

    @overload
    def __getitem__(self, at: int) -> T: ...
    @overload
    def __getitem__(self, at: slice) -> list[T]: ...
    def __getitem__(self, at: int | slice) -> T | list[T]:
        if isinstance(at, slice):
            return [self.slots.items[number] for number in self.numbers[at]]
        return self.slots.items[self.numbers[at]]

    def number_sort_key(self, number: int) -> tuple[int, str]:
        """The sort key of the member with this number."""
        return mix_bits(self.seed ^ self.slots.hashes[number]), self.slots.items[number].name

    def item_sort_key(self, item: T) -> tuple[int, str]:
        """The sort key of a member, which need not be numbered."""
        return mix_bits(self.seed ^ item.hash), item.name

    def insert(self, number: int) -> None:
        """Inserts a member at its position, which takes O(log members) hashes."""
        self.numbers.insert(
            bisect_left(self.numbers, self.number_sort_key(number), key=self.number_sort_key), number
        )

    def remove(self, removed: Collection[int]) -> None:
        """Removes members, each with O(log members) hashes."""
        for number in removed:
            del self.numbers[
                bisect_left(self.numbers, self.number_sort_key(number), key=self.number_sort_key)
            ]

    def drop_absent(self) -> None:
        """Removes all members that are absent from the set, without hashing."""
        is_present = map(self.slots.presence.__getitem__, self.numbers)
        self.numbers = array(self.numbers.typecode, compress(self.numbers, is_present))

    def sort(self) -> None:
        """Rebuilds the order from the members that are present."""
        numbers = list(compress(range(len(self.slots.presence)), self.slots.presence))
        seed, hashes = self.seed, self.slots.hashes
        by_weight = {mix_bits(seed ^ hashes[number]): number for number in numbers}
        if len(by_weight) == len(numbers):
            numbers = [by_weight[weight] for weight in sorted(by_weight)]
        else:  # hash collision: names decide
            numbers.sort(key=self.number_sort_key)
        self.numbers = array(self.numbers.typecode, numbers)

    def without(self, skipped: Iterable[T]) -> OrderWithout[T]:
        """A view of this order that leaves out some members, each given once."""
        return OrderWithout(self, skipped)


class OrderWithout(Generic[T]):
    """A view of an order that leaves out some members, each given once; nothing is copied."""

    __slots__ = ("skipped_keys", "order", "skipped")

    def __init__(self, order: RendezvousOrder[T], skipped: Iterable[T]) -> None:
        self.order, self.skipped, self.skipped_keys = order, skipped, list[tuple[int, str]]()

    def __getitem__(self, at: int) -> T:
        """The member at the least position p with p = at + (skipped members up to p), iterated from below."""
        order, position = self.order, at
        if not self.skipped_keys:
            self.skipped_keys = sorted(map(order.item_sort_key, self.skipped))
        if self.skipped_keys:
            while (
                next_position := at
                + bisect_right(self.skipped_keys, order.number_sort_key(order.numbers[position]))
            ) != position:
                position = next_position
        return order[position]


class RendezvousIndex(Generic[T]):
    """The set of members, its recent changes, and a cache of the orders requested.

    The least recently used orders are evicted when `max_orders` or `max_references` is exceeded; the latter
    counts the members in all orders together (2 bytes each, 4 beyond 65,536 names).
    """

    is_self_checking: ClassVar[bool] = False  # compares each answer with a sort of all members; for tests

    def __init__(self, max_references: int, max_orders: int) -> None:
        self.max_references, self.max_orders = max_references, max_orders
        self.items: dict[T, None] = {}
        self.slots = Slots[T]()
        self.version, self.reference_count = 0, 0
        self.changes: deque[tuple[int, bool]] = deque(maxlen=MAX_CHANGES)
        self.orders_by_key: dict[str, RendezvousOrder[T]] = {}

    def __contains__(self, item: T) -> bool:
        return item in self.items

    def __len__(self) -> int:
        return len(self.items)

    def set_present(self, item: T, present: bool) -> None:
        """Adds or removes a member in O(1); no effect if nothing changes."""
        if present is (item in self.items):
            return
        if present:
            self.items[item] = None
        else:
            del self.items[item]
        if present and item.name not in self.slots.numbers_by_name:
            self._renumber_if_needed()
        number = self.slots.assign_number(item)
        if self.slots.presence[number] != present:
            self.slots.presence[number] = present
            self.changes.append((number, present))
            self.version += 1

    def _renumber_if_needed(self) -> None:
        """Renumbers all members and drops all orders, if many slots are stale or 2-byte numbers run out."""
        slot_count = len(self.slots.items)
        if slot_count <= 2 * len(self.items) + MAX_STALE_SLOTS and slot_count != MAX_SHORT_SLOTS:
            return
        self.slots, self.orders_by_key, self.reference_count = Slots[T](), {}, 0
        self.changes.clear()
        for item in self.items:
            self.slots.presence[self.slots.assign_number(item)] = True

    def get_order(self, key: str) -> RendezvousOrder[T]:
        """The members in this key's order, valid until the next `set_present`; callers must not modify it."""
        order = self.orders_by_key.pop(key, None) or RendezvousOrder[T](hash_text(key), self.slots)
        self.orders_by_key[key] = order  # moved to the end: the most recently used order
        if order.version != self.version:
            previous_length = len(order)
            self._catch_up(order)
            self.reference_count += len(order) - previous_length
            while len(self.orders_by_key) > 1 and (
                self.reference_count > self.max_references or len(self.orders_by_key) > self.max_orders
            ):
                self.reference_count -= len(self.orders_by_key.pop(next(iter(self.orders_by_key))))
            if self.is_self_checking:
                self.verify_order(order)
        return order

    def _catch_up(self, order: RendezvousOrder[T]) -> None:
        missed, added = self.version - order.version, set[int]()
        if (
            order.version >= 0
            and missed <= len(self.changes)
            and missed * SCANS_PER_INSERT <= len(self.items)
        ):
            net_changes = dict[int, bool]()
            for number, present in islice(self.changes, len(self.changes) - missed, None):
                if net_changes.pop(number, None) is None:  # otherwise it cancels the previous change
                    net_changes[number] = present
            added.update(number for number, present in net_changes.items() if present)
            order.remove(net_changes.keys() - added)
        else:
            order.drop_absent()
            if len(order) < len(self.items):
                added.update(compress(range(len(self.slots.presence)), self.slots.presence))
                added.difference_update(order.numbers)
        if len(added) * SORTS_PER_INSERT > len(self.items):
            order.sort()
        else:
            for number in added:  # the sequence does not matter: each has its own position
                order.insert(number)
        order.version = self.version

    def verify_order(self, order: RendezvousOrder[T]) -> None:
        """Raises AssertionError unless the order equals a sort of all members and the count is right."""
        expected = sorted(self.items, key=order.item_sort_key)
        if list(map(id, expected)) != list(map(id, order)):
            raise AssertionError(f"order {order.seed:x} differs from a sort of its {len(expected)} members")
        if self.reference_count != sum(map(len, self.orders_by_key.values())):
            raise AssertionError(f"reference count {self.reference_count} is not the sum over all orders")


class ColumnSums:
    """Rows of numbers in order of arrival; column sums are bit-identical to a loop over all rows.

    Floating-point sums depend on the order of additions, so a running sum or a tree would give other results.
    Each column is a contiguous array instead, which is summed at memory speed.
    """

    def __init__(self, width: int) -> None:
        self.keys, self.columns = array("Q"), tuple(array("d") for _ in range(width))

    def __len__(self) -> int:
        return len(self.keys)

    def put_row(self, key: int, row: tuple[float, ...] | None) -> None:
        """Sets the row with arrival number `key`; None removes it, if it is there."""
        position = bisect_left(self.keys, key)
        if position < len(self.keys) and self.keys[position] == key:
            del self.keys[position]
            for column in self.columns:
                del column[position]
        if row is not None:
            self.keys.insert(position, key)
            for column, value in zip(self.columns, row, strict=True):
                column.insert(position, value)

    def sum_columns(self) -> tuple[float, ...]:
        """The sum of each column, in order of arrival."""
        return tuple(map(sum, self.columns))

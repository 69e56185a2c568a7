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
MAX_SHORT_SLOTS = 1 << 16  # slots that 2 bytes can tell
MAX_STALE_SLOTS = 64  # slots of members that went, beyond as many as there are, before all are numbered anew


class RendezvousMember(Protocol):
    """What is ordered: told apart by identity, its name unique in the set."""

    name: str
    hash: int  # of its name, 64 bits


T = TypeVar("T", bound=RendezvousMember)


def hash_text(text: str) -> int:
    """A hash of 64 bits that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def mix_bits(value: int) -> int:
    """Spreads the bits of two hashes joined by exclusive or; cheaper than hashing each pair of names."""
    value = (value ^ value >> 31) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    return (value ^ value >> 29) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF


class Slots(Generic[T]):
    """Members by number, and their hashes. A name that is away keeps its number, as its place is the same."""

    def __init__(self) -> None:
        self.numbers_by_name: dict[str, int] = {}  # by name
        self.items: list[T] = []
        self.hashes = array("Q")
        self.presence = bytearray()

    def assign_number(self, item: T) -> int:
        """Its number, a new one where its name has none."""
        found = self.numbers_by_name.setdefault(item.name, len(self.items))
        if found == len(self.items):
            self.items.append(item)
            self.hashes.append(item.hash)
            self.presence.append(False)
        self.items[found] = item
        return found


class RendezvousOrder(Generic[T]):
    """The members in one key's order, as of the version at which it was last asked for."""

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
        return mix_bits(self.seed ^ self.slots.hashes[number]), self.slots.items[number].name

    def item_sort_key(self, item: T) -> tuple[int, str]:
        return mix_bits(self.seed ^ item.hash), item.name

    def insert(self, number: int) -> None:
        """To its place, by O(log members) hashes; nothing else is touched but what lies behind it."""
        self.numbers.insert(
            bisect_left(self.numbers, self.number_sort_key(number), key=self.number_sort_key), number
        )

    def remove(self, gone: Collection[int]) -> None:
        for number in gone:
            del self.numbers[
                bisect_left(self.numbers, self.number_sort_key(number), key=self.number_sort_key)
            ]

    def drop_absent(self) -> None:
        """Only those who are there stay."""
        stay = map(self.slots.presence.__getitem__, self.numbers)
        self.numbers = array(self.numbers.typecode, compress(self.numbers, stay))

    def sort(self) -> None:
        numbers = list(compress(range(len(self.slots.presence)), self.slots.presence))
        seed, hashes = self.seed, self.slots.hashes
        by_weight = {mix_bits(seed ^ hashes[number]): number for number in numbers}
        if len(by_weight) == len(numbers):
            numbers = [by_weight[weight] for weight in sorted(by_weight)]
        else:  # two names of one hash
            numbers.sort(key=self.number_sort_key)
        self.numbers = array(self.numbers.typecode, numbers)

    def without(self, skipped: Iterable[T]) -> OrderWithout[T]:
        return OrderWithout(self, skipped)


class OrderWithout(Generic[T]):
    """An order with some of its members (each named once) left out, by position: nothing is copied."""

    __slots__ = ("skipped_keys", "order", "skipped")

    def __init__(self, order: RendezvousOrder[T], skipped: Iterable[T]) -> None:
        self.order, self.skipped, self.skipped_keys = order, skipped, list[tuple[int, str]]()

    def __getitem__(self, at: int) -> T:
        """The least x with x = at + (those left out up to x), by steps from below."""
        order, place = self.order, at
        if not self.skipped_keys:
            self.skipped_keys = sorted(map(order.item_sort_key, self.skipped))
        if self.skipped_keys:
            while (
                further := at + bisect_right(self.skipped_keys, order.number_sort_key(order.numbers[place]))
            ) != place:
                place = further
        return order[place]


class RendezvousIndex(Generic[T]):
    """The set, its latest changes, and the orders asked for: the longest unused go when `max_references` is
    passed."""

    is_self_checking: ClassVar[bool] = False  # each answer is compared with a sort of all members (in tests)

    def __init__(self, max_references: int, max_orders: int) -> None:
        """`max_references`: members in all orders together (2 bytes each, 4 beyond 65,536 names);
        `max_orders`: orders."""
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

    def set_present(self, item: T, there: bool) -> None:
        """Takes it in or out; O(1), also where that is how it stands already."""
        if there is (item in self.items):
            return
        if there:
            self.items[item] = None
        else:
            del self.items[item]
        if there and item.name not in self.slots.numbers_by_name:
            self._number_anew_if_due()
        number = self.slots.assign_number(item)
        if self.slots.presence[number] != there:
            self.slots.presence[number] = there
            self.changes.append((number, there))
            self.version += 1

    def _number_anew_if_due(self) -> None:
        """Numbers of names that went for good are many, or the next takes more bytes: orders begin anew."""
        slots = len(self.slots.items)
        if slots <= 2 * len(self.items) + MAX_STALE_SLOTS and slots != MAX_SHORT_SLOTS:
            return
        self.slots, self.orders_by_key, self.reference_count = Slots[T](), {}, 0
        self.changes.clear()
        for item in self.items:
            self.slots.presence[self.slots.assign_number(item)] = True

    def get_order(self, key: str) -> RendezvousOrder[T]:
        """The members in this key's order, up to date until the next `set_present`; not to be changed."""
        order = self.orders_by_key.pop(key, None) or RendezvousOrder[T](hash_text(key), self.slots)
        self.orders_by_key[key] = order  # the last one used stands last
        if order.version != self.version:
            before = len(order)
            self._catch_up(order)
            self.reference_count += len(order) - before
            while len(self.orders_by_key) > 1 and (
                self.reference_count > self.max_references or len(self.orders_by_key) > self.max_orders
            ):
                self.reference_count -= len(self.orders_by_key.pop(next(iter(self.orders_by_key))))
            if self.is_self_checking:
                self.verify_order(order)
        return order

    def _catch_up(self, order: RendezvousOrder[T]) -> None:
        behind, came = self.version - order.version, set[int]()
        if (
            order.version >= 0
            and behind <= len(self.changes)
            and behind * SCANS_PER_INSERT <= len(self.items)
        ):
            net = dict[int, bool]()
            for number, there in islice(self.changes, len(self.changes) - behind, None):
                if net.pop(number, None) is None:  # else it went and is back, or came and went
                    net[number] = there
            came.update(number for number, there in net.items() if there)
            order.remove(net.keys() - came)
        else:
            order.drop_absent()
            if len(order) < len(self.items):
                came.update(compress(range(len(self.slots.presence)), self.slots.presence))
                came.difference_update(order.numbers)
        if len(came) * SORTS_PER_INSERT > len(self.items):
            order.sort()
        else:
            for number in came:  # in whatever order: each goes to its place
                order.insert(number)
        order.version = self.version

    def verify_order(self, order: RendezvousOrder[T]) -> None:
        """Compares an order, and the count of references, with what a sort of all members gives."""
        plain = sorted(self.items, key=order.item_sort_key)
        if list(map(id, plain)) != list(map(id, order)):
            raise AssertionError(f"order {order.seed:x} is not that of its {len(plain)} members")
        if self.reference_count != sum(map(len, self.orders_by_key.values())):
            raise AssertionError(f"{self.reference_count} references counted")


class ColumnSums:
    """Rows of numbers by arrival, summed from the first on: to the bit what a loop over all rows gives.

    Sums of floats depend on the order of additions, so that no running sum or tree gives the same. The
    columns lie side by side instead, and a sum reads them at memory's speed."""

    def __init__(self, width: int) -> None:
        self.keys, self.columns = array("Q"), tuple(array("d") for _ in range(width))

    def __len__(self) -> int:
        return len(self.keys)

    def put_row(self, key: int, row: tuple[float, ...] | None) -> None:
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

    def sum_columns(self) -> tuple[float, ...]:
        return tuple(map(sum, self.columns))

"""Rendezvous-hash orders of a changing set of members, one for each key, kept by what changed.

An order (highest random weight: Thaler and Ravishankar, 1998) is the members sorted by a hash of key and
member: any two processes that know the same members agree on it. A member that comes or goes is inserted or
removed by bisection in the orders that are looked at; one not looked at for long is filtered, or sorted anew
where that takes less. An order gives what a sort of all members would give: no choice is made here.
Imports nothing of the project; the decision module calls it."""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Collection, Container, Iterable, Iterator
from hashlib import blake2b
from itertools import islice
from typing import ClassVar, Generic, Protocol, TypeVar, overload

CHANGES = 512  # changes remembered, with the members that went
# Measured by benchmarks/order_index.py:
SCANNED, SORTED = 24, 2  # members asked whether they stay, members sorted, in the time of one taken out or in
FEW = 64  # taken out one by one; more at once by copying what lies between


class Member(Protocol):
    """What is ordered: told apart by identity, its name unique in the set."""

    name: str
    hash: int  # of its name, 64 bits


T = TypeVar("T", bound=Member)


def hashed(text: str) -> int:
    """A hash of 64 bits that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def mixed(value: int) -> int:
    """Spreads the bits of two hashes joined by exclusive or; cheaper than hashing each pair of names."""
    value = (value ^ value >> 31) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    return (value ^ value >> 29) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF


class Order(Generic[T]):
    """The members in one key's order, as of the version at which it was last asked for: 16 bytes a member."""

    __slots__ = ("items", "seed", "version", "weights")

    def __init__(self, seed: int) -> None:
        self.seed, self.version, self.items, self.weights = seed, -1, list[T](), array("Q")

    def __len__(self) -> int:
        return len(self.items)

    def __iter__(self) -> Iterator[T]:
        return iter(self.items)

    @overload
    def __getitem__(self, at: int) -> T: ...
    @overload
    def __getitem__(self, at: slice) -> list[T]: ...
    def __getitem__(self, at: int | slice) -> T | list[T]:
        return self.items[at]

    def weight(self, item: T) -> int:
        return mixed(self.seed ^ item.hash)

    def key(self, item: T) -> tuple[int, str]:
        return self.weight(item), item.name

    def place(self, item: T) -> int:
        """Where it stands, or would stand: one hash and O(log members) comparisons."""
        weight = self.weight(item)
        at = bisect_left(self.weights, weight)
        while at < len(self.items) and self.weights[at] == weight and self.items[at].name < item.name:
            at += 1
        return at

    def insert(self, item: T) -> None:
        at = self.place(item)
        self.items.insert(at, item)
        self.weights.insert(at, self.weight(item))

    def remove(self, gone: Collection[T]) -> None:
        places = []
        for item in gone:
            at = bisect_left(self.weights, mixed(self.seed ^ item.hash))
            while self.items[at] is not item:
                at += 1
            places.append(at)
        self._drop(sorted(places))

    def keep(self, items: Container[T]) -> None:
        """Only these stay."""
        stay = bytearray(map(items.__contains__, self.items))
        places, at = list[int](), stay.find(0)
        while at >= 0:
            places.append(at)
            at = stay.find(0, at + 1)
        self._drop(places)

    def _drop(self, places: list[int]) -> None:
        if len(places) < FEW:
            for at in reversed(places):
                del self.items[at], self.weights[at]
            return
        items, weights, start = list[T](), array("Q"), 0
        for at in (*places, len(self.items)):
            items += self.items[start:at]
            weights += self.weights[start:at]
            start = at + 1
        self.items, self.weights = items, weights

    def sort(self, items: Iterable[T]) -> None:
        self.items = list(items)
        by_weight = {mixed(self.seed ^ item.hash): item for item in self.items}
        if len(by_weight) == len(self.items):
            self.weights = array("Q", sorted(by_weight))
            self.items = [by_weight[weight] for weight in self.weights]
        else:  # two names of one hash
            self.items.sort(key=self.key)
            self.weights = array("Q", map(self.weight, self.items))

    def without(self, skipped: Iterable[T]) -> Without[T]:
        return Without(self, skipped)


class Without(Generic[T]):
    """An order with some of its members (each named once) left out, by position: nothing is copied."""

    __slots__ = ("keys", "order", "skipped")

    def __init__(self, order: Order[T], skipped: Iterable[T]) -> None:
        self.order, self.skipped, self.keys = order, skipped, list[tuple[int, str]]()

    def __getitem__(self, at: int) -> T:
        """The least x with x = at + (those left out up to x), by steps from below."""
        if not self.keys:
            self.keys = sorted(map(self.order.key, self.skipped))
        items, weights, place = self.order.items, self.order.weights, at
        while (further := at + bisect_right(self.keys, (weights[place], items[place].name))) != place:
            place = further
        return items[place]


class Members(Generic[T]):
    """The set, its latest changes, and the orders asked for: the longest unused go when `most` is passed."""

    checked: ClassVar[bool] = False  # each answer is compared with a sort of all members (in tests)

    def __init__(self, most: int, keys: int) -> None:
        """`most`: references held by all orders together (16 bytes each); `keys`: orders held."""
        self.most, self.most_keys = most, keys
        self.items: dict[T, None] = {}
        self.version, self.held = 0, 0
        self.changes: deque[tuple[T, bool]] = deque(maxlen=CHANGES)
        self.orders: dict[str, Order[T]] = {}

    def __contains__(self, item: T) -> bool:
        return item in self.items

    def __len__(self) -> int:
        return len(self.items)

    def put(self, item: T, there: bool) -> None:
        """Takes it in or out; O(1), also where that is how it stands already."""
        if there is (item in self.items):
            return
        if there:
            self.items[item] = None
        else:
            del self.items[item]
        self.changes.append((item, there))
        self.version += 1

    def order(self, key: str) -> Order[T]:
        """The members in this key's order, up to date until the next `put`; not to be changed."""
        order = self.orders.pop(key, None) or Order[T](hashed(key))
        self.orders[key] = order  # the last one used stands last
        if order.version != self.version:
            before = len(order.items)
            self._catch_up(order)
            self.held += len(order.items) - before
            while len(self.orders) > 1 and (self.held > self.most or len(self.orders) > self.most_keys):
                self.held -= len(self.orders.pop(next(iter(self.orders))).items)
            if self.checked:
                self.check(order)
        return order

    def _catch_up(self, order: Order[T]) -> None:
        behind, came = self.version - order.version, set[T]()
        if order.version >= 0 and behind <= len(self.changes) and behind * SCANNED <= len(self.items):
            net = dict[T, bool]()
            for item, there in islice(self.changes, len(self.changes) - behind, None):
                if net.pop(item, None) is None:  # else it went and is back, or came and went
                    net[item] = there
            came.update(item for item, there in net.items() if there)
            order.remove(net.keys() - came)
        else:
            order.keep(self.items)
            if len(order) < len(self.items):
                came.update(self.items.keys() - set(order.items))
        if len(came) * SORTED > len(self.items):
            order.sort(self.items)
        else:
            for item in came:  # in whatever order: each goes to its place
                order.insert(item)
        order.version = self.version

    def check(self, order: Order[T]) -> None:
        """Compares an order, and the count of references, with what a sort of all members gives."""
        plain = sorted(self.items, key=order.key)
        weights = list(map(order.weight, plain))
        if list(map(id, plain)) != list(map(id, order.items)) or weights != list(order.weights):
            raise AssertionError(f"order {order.seed:x} is not that of its {len(plain)} members")
        if self.held != sum(len(one.items) for one in self.orders.values()):
            raise AssertionError(f"{self.held} references counted")


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

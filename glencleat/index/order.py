"""Rendezvous-hash orders of a changing set of members, one for each key, kept by what changed.

An order (highest random weight: Thaler and Ravishankar, 1998) is the members sorted by a hash of key and
member: any two processes that know the same members agree on it. A member that comes or goes is inserted or
removed by bisection in the orders that are looked at; one not looked at for long catches up by set difference,
or is sorted anew where that takes fewer hashes. An order gives what a sort of all members would give: no choice
is made here. Imports nothing of the project; the decision module calls it."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Iterable, Iterator
from hashlib import blake2b
from itertools import islice
from typing import ClassVar, Generic, Protocol, TypeVar

CHANGES = 64  # changes remembered; beyond, a set difference costs less than one bisection for each
COPY = 12  # members that a set difference passes over in the time of one hash (benchmarks/order_index.py)


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
    """The members in one key's order, as of the version at which it was last asked for."""

    __slots__ = ("items", "seed", "version")

    def __init__(self, seed: int) -> None:
        self.seed, self.version, self.items = seed, -1, list[T]()

    def __len__(self) -> int:
        return len(self.items)

    def __iter__(self) -> Iterator[T]:
        return iter(self.items)

    def __getitem__(self, at: int) -> T:
        return self.items[at]

    def key(self, item: T) -> tuple[int, str]:
        return mixed(self.seed ^ item.hash), item.name

    def place(self, item: T) -> int:
        """Where it stands, or would stand: O(log members) hashes."""
        return bisect_left(self.items, self.key(item), key=self.key)

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
        items, key, place = self.order.items, self.order.key, at
        while (further := at + bisect_right(self.keys, key(items[place]))) != place:
            place = further
        return items[place]


class Members(Generic[T]):
    """The set, its latest changes, and the orders asked for: the longest unused go when `most` is passed."""

    checked: ClassVar[bool] = False  # each answer is compared with a sort of all members (in tests)

    def __init__(self, most: int, keys: int) -> None:
        """`most`: references held by all orders together (8 bytes each); `keys`: orders held."""
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
        behind, size = self.version - order.version, len(self.items)
        probes = size.bit_length()  # hashes of one bisection
        if order.version >= 0 and behind <= len(self.changes) and behind * probes * COPY <= size:
            for item, there in islice(self.changes, len(self.changes) - behind, None):
                self._change(order, item, there)
        else:
            order.items = [item for item in order.items if item in self.items]
            missing = size - len(order.items)
            if missing * probes > size:
                order.items = sorted(self.items, key=order.key)
            elif missing:
                for item in self.items.keys() - set(order.items):
                    self._change(order, item, True)
        order.version = self.version

    @staticmethod
    def _change(order: Order[T], item: T, there: bool) -> None:
        if there:
            order.items.insert(order.place(item), item)
        else:
            del order.items[order.place(item)]

    def check(self, order: Order[T]) -> None:
        """Compares an order, and the count of references, with what a sort of all members gives."""
        plain = sorted(self.items, key=order.key)
        if len(plain) != len(order.items) or any(a is not b for a, b in zip(plain, order.items, strict=True)):
            raise AssertionError(f"order {order.seed:x} is not that of its {len(plain)} members")
        if self.held != sum(len(one.items) for one in self.orders.values()):
            raise AssertionError(f"{self.held} references counted")

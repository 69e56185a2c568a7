"""Something that happens at random instants at a rate, as requests of many owners do (a Poisson process).

Imports the kernel. Hollow owners and hollow allocators ask by it."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from glencleat.event_loop import Loop


class Arrivals:
    """`call` at each instant. `random` is the caller's, who may draw from it in `call`."""

    def __init__(self, loop: Loop, random: Random, call: Callable[[], None]) -> None:
        self.loop, self.random, self.on_arrival = loop, random, call
        self.rate_per_s, self.next_at = 0.0, 0.0

    def set_rate(self, rate: float) -> None:
        """So many a second from now on; 0 ends it."""
        begin, self.rate_per_s = self.rate_per_s == 0.0 < rate, rate
        if begin:
            self.next_at = self.loop.now()
            self._next()

    def _next(self) -> None:
        """By the instants drawn, not by those at which we come to it: a late loop would call less often."""
        if self.rate_per_s > 0.0:
            self.next_at += 1e3 * self.random.expovariate(self.rate_per_s)
            self.loop.call_in(self.next_at - self.loop.now(), self._arrives)

    def _arrives(self) -> None:
        if self.rate_per_s > 0.0:
            self._next()
            self.on_arrival()

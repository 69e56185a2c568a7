"""What lies between two processes, as a decision: when a piece arrives, whether it does, who is let in.

No I/O: time is an argument, random numbers come from the seed. `relay.py` moves the bytes. A stream loses
nothing and keeps its order, so a cut holds it back until the way is open again, as sent-again segments would;
a datagram is lost, late, repeated or overtaken."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from random import Random
from typing import Any


class Direction(Enum):
    TO_TARGET = "there"  # from who connects
    FROM_TARGET = "back"


class AcceptMode(Enum):
    """What becomes of a new connection."""

    OPEN = "open"
    SILENT = "silent"  # taken, nothing is ever said
    REFUSE = "closes"  # taken, and closed at once


@dataclass(frozen=True, slots=True)
class ProxyState:
    """Of a wire at one time. Milliseconds, bytes a second, shares of datagrams."""

    cut: frozenset[Direction] = frozenset()
    delay_ms: float = 0.0
    spread_ms: float = 0.0  # beyond the delay, even over this
    rate: float = 0.0  # of each direction of each connection; 0: no bound
    loss_share: float = 0.0
    duplicate_share: float = 0.0
    reorder_share: float = 0.0  # held back by up to `max_hold_ms`, so that later ones overtake it
    max_hold_ms: float = 50.0
    door: AcceptMode = AcceptMode.OPEN
    most: int = 0  # connections at a time, others are closed at once; 0: no bound


@dataclass(frozen=True, slots=True)
class ProxyFault:
    """From `at_ms` for `duration_ms` these fields of the state are others."""

    at_ms: float
    duration_ms: float
    overrides: Mapping[str, Any]

    @property
    def end_ms(self) -> float:
        return self.at_ms + self.duration_ms


class FaultSchedule:
    """The states of one wire over time: a calm one, and faults; where they overlap cuts add up, else the last
    holds.

    >>> fault = ProxyFault(5.0, 10.0, {"cut": frozenset({Direction.FROM_TARGET})})
    >>> weather = FaultSchedule(ProxyState(), [fault])
    >>> ways = Direction.FROM_TARGET, Direction.TO_TARGET
    >>> weather.state_at(4.0).cut, *(weather.next_open_at(way, 6.0) for way in ways)
    (frozenset(), 15.0, 6.0)
    """

    def __init__(self, calm: ProxyState | None = None, faults: Iterable[ProxyFault] = ()) -> None:
        self.base_state = calm or ProxyState()
        self.faults: list[ProxyFault] = []
        for fault in faults:
            self.add_fault(fault)

    def add_fault(self, fault: ProxyFault) -> None:
        """One that begins now or later. What passed before has its times already."""
        replace(self.base_state, **fault.overrides)  # a field that no state has is told now, not at its time
        self.faults = sorted([*self.faults, fault], key=lambda one: one.at_ms)

    def state_at(self, now: float) -> ProxyState:
        state = self.base_state
        for fault in self.faults:
            if fault.at_ms <= now < fault.end_ms:
                fields = dict(fault.overrides)
                fields["cut"] = state.cut | fields.get("cut", frozenset())
                state = replace(state, **fields)
        return state

    def next_open_at(self, way: Direction, now: float) -> float | None:
        """When that way is next open: now, later, or never."""
        if way not in self.state_at(now).cut:
            return now
        ends = sorted(fault.end_ms for fault in self.faults if now < fault.end_ms < float("inf"))
        return next((end for end in ends if way not in self.state_at(end).cut), None)


class Flow:
    """One direction of one connection: when each piece arrives, in order."""

    def __init__(self, weather: FaultSchedule, way: Direction, random: Random) -> None:
        self.fault_schedule, self.direction, self.random = weather, way, random
        self.last_arrival = 0.0  # nothing arrives before what came earlier
        self.free_at = 0.0  # when the bandwidth has passed on what it had

    def arrival_time(self, now: float, size: int) -> float | None:
        """Of a piece of `size` bytes read now; None: never, as the way is cut for good."""
        open_at = self.fault_schedule.next_open_at(self.direction, now)
        if open_at is None:
            return None
        state = self.fault_schedule.state_at(open_at)
        start = max(open_at, self.free_at) if state.rate else open_at
        passed = start + (1e3 * size / state.rate if state.rate else 0.0)
        self.free_at = passed
        self.last_arrival = max(
            self.last_arrival, passed + state.delay_ms + self.random.uniform(0.0, state.spread_ms)
        )
        return self.last_arrival


class DatagramFlow:
    """One direction of datagrams: each arrives never, once or twice, at these times."""

    def __init__(self, weather: FaultSchedule, way: Direction, random: Random) -> None:
        self.fault_schedule, self.direction, self.random = weather, way, random

    def arrival_times(self, now: float) -> list[float]:
        state, random = self.fault_schedule.state_at(now), self.random
        # As many draws for each, whatever the state: a change of the weather moves no later draw.
        lost, again, late, *parts = (random.random() for _ in range(7))
        if self.direction in state.cut or lost < state.loss_share:
            return []
        held = state.max_hold_ms * parts[0] if late < state.reorder_share else 0.0
        times = [now + state.delay_ms + state.spread_ms * parts[1] + held]
        if again < state.duplicate_share:
            times.append(times[0] + state.max_hold_ms * parts[2])
        return times

"""Bounds on how a crowd asks one service again, judged from what a relay before it recorded.

No I/O, and nothing of what the allocators say themselves. A bound that was never in danger is *not tried*."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise
from typing import Protocol

from glencleat.checker.chance_bounds import (
    BoundVerdict,
    count_busiest_window,
    chance_limit_in_window,
    judge_bound,
)
from glencleat.checker.invariants import TraceHistory
from glencleat.checker.trace import TraceEntry

SETTLE_MS = 3_000.0  # first tries are spread over less; what goes on is judged from here
MAX_RATE_PER_S = 0.98  # connections a second of each: a tenth of what fixed steps of 0.1 s came to
BUSIEST_WINDOW_MS, MAX_BUSIEST_SHARE = 100.0, 0.25  # the busiest such time holds less than this part of all
EQUAL_WAIT_TOLERANCE_MS, MIN_JITTER_RANGE_MS = (
    30.0,
    500.0,
)  # waits that differ by less are one; the narrowest span they come from
RECONNECT_LIMIT_MS = 4_000.0  # after the service is well again
MIN_OUTAGE_MS, MIN_CLIENTS = SETTLE_MS + 1_500.0, 12


class ConnectionEvent(Protocol):
    """What a relay saw, as far as it is judged."""

    @property
    def at_ms(self) -> float: ...
    @property
    def relay(self) -> str: ...
    @property
    def kind(self) -> str: ...
    @property
    def number(self) -> int: ...


@dataclass(frozen=True, slots=True)
class ObservedConnectionEvent:
    """The same, from a play's record."""

    at_ms: float
    relay: str
    kind: str
    number: int


def judge_outage(
    events: Iterable[ConnectionEvent],
    client_count: int,
    down_at_ms: float,
    recovered_at_ms: float,
    running_clients: set[str] | None = None,
) -> list[BoundVerdict]:
    """Of `count` allocators at a service that turned everybody away from `down_ms` to `well_ms`.

    `ran`: with a wire for each, those that can be back in time, as they were not stopped meanwhile."""
    record = sorted(events, key=lambda one: one.at_ms)
    tries = [
        one.at_ms for one in record if one.kind == "refused" and down_at_ms <= one.at_ms < recovered_at_ms
    ]
    later = [at for at in tries if at >= down_at_ms + SETTLE_MS]
    seconds = (recovered_at_ms - down_at_ms - SETTLE_MS) / 1e3
    tried = bool(later) and recovered_at_ms - down_at_ms >= MIN_OUTAGE_MS and client_count >= MIN_CLIENTS
    return [
        _judge_rate(later, client_count, seconds, tried),
        _judge_busiest_window(later, client_count, seconds, tried),
        _judge_reconnection(record, client_count, recovered_at_ms, running_clients),
        _judge_jitter(record, client_count, down_at_ms, recovered_at_ms),
    ]


def _judge_rate(later: list[float], count: int, seconds: float, tried: bool) -> BoundVerdict:
    each = len(later) / seconds / count if tried else 0.0
    return judge_bound(
        "rate", tried, each < MAX_RATE_PER_S, f"{each:.2f} connections a second each, under {MAX_RATE_PER_S}"
    )


def _judge_busiest_window(later: list[float], count: int, seconds: float, tried: bool) -> BoundVerdict:
    """Of few, more than a quarter meet by chance: then only what chance does not bring is broken."""
    most = count_busiest_window(later, BUSIEST_WINDOW_MS)
    rate = min(len(later) / seconds, MAX_RATE_PER_S * count) if tried else 0.0
    limit = max(
        math.ceil(MAX_BUSIEST_SHARE * count),
        chance_limit_in_window(len(later), rate * BUSIEST_WINDOW_MS / 1e3) if tried else 0,
    )
    text = f"{most} of {count} in the busiest {BUSIEST_WINDOW_MS:.0f} ms, under {limit}"
    return judge_bound("busiest", tried and limit <= count, most < limit, text)


def _judge_reconnection(
    record: list[ConnectionEvent], count: int, well_ms: float, ran: set[str] | None
) -> BoundVerdict:
    """Connections that were let in since, and have not ended by the time that all should be back."""
    until = well_ms + RECONNECT_LIMIT_MS
    there: set[tuple[str, int]] = set()
    for one in record:
        if well_ms <= one.at_ms <= until and one.kind == "opened":
            there.add((one.relay, one.number))
        elif one.at_ms <= until and one.kind in ("ended", "reset", "refused"):
            there.discard((one.relay, one.number))
    tried = any(one.at_ms < well_ms and one.kind == "refused" for one in record)
    back = len(there)
    if ran is not None:
        back, count = len(ran & {relay for relay, _ in there}), len(ran)
    text = f"{back} of {count} back within {RECONNECT_LIMIT_MS / 1e3:.0f} s"
    return judge_bound("back", tried and record[-1].at_ms >= well_ms, back >= count, text)


def _judge_jitter(record: list[ConnectionEvent], count: int, down_ms: float, well_ms: float) -> BoundVerdict:
    """Whether waits are drawn: by wires of their own, since those that start apart go apart without it."""
    times = defaultdict[str, list[float]](list)
    for one in record:
        if one.kind == "refused" and down_ms <= one.at_ms < well_ms:
            times[one.relay].append(one.at_ms)
    waits = sorted(b - a for each in times.values() for a, b in pairwise(each))
    limit = (
        chance_limit_in_window(len(waits), len(waits) * EQUAL_WAIT_TOLERANCE_MS / MIN_JITTER_RANGE_MS)
        if waits
        else 0
    )
    most = count_busiest_window(waits, EQUAL_WAIT_TOLERANCE_MS)
    text = f"{most} of {len(waits)} waits alike to {EQUAL_WAIT_TOLERANCE_MS:.0f} ms, under {limit}"
    tried = len(times) >= MIN_CLIENTS and len(waits) >= count and limit <= len(waits)
    return judge_bound("alike", tried, most < limit, text)


def find_list_outages(entries: list[TraceEntry]) -> Iterable[tuple[float, float, set[str]]]:
    """Each time in a play's record at which its list turned all its allocators away: from, until, who.

    One that was started meanwhile has its first tries then: the time counts from when the last was up."""
    names = {entry.allocator for entry in entries if entry.kind == "allocator"}
    away, down = set[str](), 0.0
    for entry in entries:
        if entry.kind == "allocator" and entry.state == "up":
            down = entry.at
        if entry.kind != "wire" or entry.who != "list" or entry.reason != "turns away":
            continue
        if entry.state == "begins":
            away.add(entry.allocator)
            down = entry.at
        elif away == names:
            yield down, entry.at, names
            away.clear()
        else:
            away.discard(entry.allocator)


def judge_trace(entries: list[TraceEntry]) -> list[BoundVerdict]:
    """Of each such time, by wires of their own."""
    passed = [
        ObservedConnectionEvent(entry.at, entry.allocator, entry.state, entry.number)
        for entry in entries
        if entry.kind == "passed" and entry.who == "list" and entry.state != "bytes"
    ]
    verdicts, story = list[BoundVerdict](), TraceHistory(entries)
    for down, well, names in find_list_outages(entries):
        ran = {name for name in names if story.has_run_throughout(name, well, well + RECONNECT_LIMIT_MS)}
        verdicts += judge_outage(passed, len(names), down, well, ran)
    return verdicts

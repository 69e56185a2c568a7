"""Bounds on how often clients poll a service that is down, checked from what a proxy in front of it recorded.

No I/O, and no data that the allocators report themselves. A bound that the trace could not have exceeded is
*not tried*.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import pairwise
from typing import Protocol

from glencleat.checker.chance_bounds import (
    BoundVerdict,
    chance_limit_in_window,
    count_busiest_window,
    judge_bound,
)
from glencleat.checker.trace import TraceEntry
from glencleat.checker.trace_history import TraceHistory

SETTLE_MS = 3_000.0  # first attempts are spread over less; steady polling is measured from here
MAX_RATE_PER_S = 0.98  # connections of each client: a tenth of the rate with fixed waits of 0.1 s
BUSIEST_WINDOW_MS = 100.0
MAX_BUSIEST_SHARE = 0.25  # of all clients, in the busiest such window
EQUAL_WAIT_TOLERANCE_MS = 30.0  # waits that differ by less count as equal
MIN_JITTER_RANGE_MS = 500.0  # the narrowest range that waits are drawn from
RECONNECT_LIMIT_MS = 4_000.0  # after the service has recovered
MIN_OUTAGE_MS = SETTLE_MS + 1_500.0  # a shorter outage exercises no bound
MIN_CLIENTS = 12  # fewer clients exercise no bound
MS_PER_S = 1_000.0


class ConnectionEvent(Protocol):
    """An event of one connection at a proxy, with the fields that the bounds use."""

    @property
    def at_ms(self) -> float:
        """The time on the trace's clock."""

    @property
    def proxy_name(self) -> str:
        """The proxy's name; with a proxy for each client, the client's."""

    @property
    def kind(self) -> str:
        """One of opened, refused, ended and reset; other kinds are ignored."""

    @property
    def number(self) -> int:
        """The connection's number at its proxy."""


@dataclass(frozen=True, slots=True)
class ObservedConnectionEvent:
    """A connection event read from a trace."""

    at_ms: float
    proxy_name: str
    kind: str
    number: int


@dataclass(frozen=True, slots=True)
class Outage:
    """A service refused all of `clients` from `down_at_ms` to `recovered_at_ms`."""

    down_at_ms: float
    recovered_at_ms: float
    clients: frozenset[str]


def judge_outage(
    events: Iterable[ConnectionEvent],
    client_count: int,
    down_at_ms: float,
    recovered_at_ms: float,
    running_clients: set[str] | None = None,
) -> list[BoundVerdict]:
    """Checks the bounds for `client_count` clients of a service that refused all of them during an outage.

    `running_clients`, with a proxy for each client, are those that ran long enough after the recovery to
    reconnect in time.
    """
    timeline = sorted(events, key=lambda event: event.at_ms)
    settled_at_ms = down_at_ms + SETTLE_MS
    polls = [
        event.at_ms
        for event in timeline
        if event.kind == "refused" and settled_at_ms <= event.at_ms < recovered_at_ms
    ]
    seconds = (recovered_at_ms - settled_at_ms) / MS_PER_S
    is_long_enough = recovered_at_ms - down_at_ms >= MIN_OUTAGE_MS
    was_tried = bool(polls) and is_long_enough and client_count >= MIN_CLIENTS
    rate_per_s = len(polls) / seconds if was_tried else 0.0
    return [
        _judge_rate(rate_per_s / client_count if was_tried else 0.0, was_tried),
        _judge_busiest_window(polls, client_count, rate_per_s, was_tried),
        _judge_reconnection(timeline, client_count, recovered_at_ms, running_clients),
        _judge_jitter(timeline, client_count, down_at_ms, recovered_at_ms),
    ]


def _judge_rate(rate_per_client: float, was_tried: bool) -> BoundVerdict:
    text = f"{rate_per_client:.2f} connections a second each, under {MAX_RATE_PER_S}"
    return judge_bound("rate", was_tried, rate_per_client < MAX_RATE_PER_S, text)


def _judge_busiest_window(
    polls: list[float], client_count: int, rate_per_s: float, was_tried: bool
) -> BoundVerdict:
    """Checks the largest share of clients that connect in one short window.

    More than a quarter of a few clients coincide by chance, so the limit is at least chance_limit_in_window.
    """
    most = count_busiest_window(polls, BUSIEST_WINDOW_MS)
    limit = math.ceil(MAX_BUSIEST_SHARE * client_count)
    if was_tried:
        allowed_rate_per_s = min(rate_per_s, MAX_RATE_PER_S * client_count)
        mean = allowed_rate_per_s * BUSIEST_WINDOW_MS / MS_PER_S
        limit = max(limit, chance_limit_in_window(len(polls), mean))
    text = f"{most} of {client_count} in the busiest {BUSIEST_WINDOW_MS:.0f} ms, under {limit}"
    return judge_bound("busiest", was_tried and limit <= client_count, most < limit, text)


def _judge_reconnection(
    timeline: list[ConnectionEvent],
    client_count: int,
    recovered_at_ms: float,
    running_clients: set[str] | None,
) -> BoundVerdict:
    """Checks that all clients have a connection, accepted since the recovery, open at the reconnect limit."""
    until_ms = recovered_at_ms + RECONNECT_LIMIT_MS
    open_connections: set[tuple[str, int]] = set()
    for event in timeline:
        if event.at_ms > until_ms:
            break
        connection = event.proxy_name, event.number
        if event.kind == "opened" and event.at_ms >= recovered_at_ms:
            open_connections.add(connection)
        elif event.kind in ("ended", "reset", "refused"):
            open_connections.discard(connection)
    was_tried = any(event.kind == "refused" and event.at_ms < recovered_at_ms for event in timeline)
    expected, reconnected = client_count, len(open_connections)
    if running_clients is not None:
        expected = len(running_clients)
        reconnected = len(running_clients & {proxy_name for proxy_name, _ in open_connections})
    text = f"{reconnected} of {expected} reconnected within {RECONNECT_LIMIT_MS / MS_PER_S:.0f} s"
    is_recorded = was_tried and timeline[-1].at_ms >= recovered_at_ms
    return judge_bound("back", is_recorded, reconnected >= expected, text)


def _judge_jitter(
    timeline: list[ConnectionEvent], client_count: int, down_at_ms: float, recovered_at_ms: float
) -> BoundVerdict:
    """Checks that clients draw their waits at random.

    Compares the waits of each client rather than the times of connections: clients that start at different
    times stay apart without jitter.
    """
    polls_by_proxy = defaultdict[str, list[float]](list)
    for event in timeline:
        if event.kind == "refused" and down_at_ms <= event.at_ms < recovered_at_ms:
            polls_by_proxy[event.proxy_name].append(event.at_ms)
    waits = sorted(after - before for polls in polls_by_proxy.values() for before, after in pairwise(polls))
    limit = 0
    if waits:
        mean = len(waits) * EQUAL_WAIT_TOLERANCE_MS / MIN_JITTER_RANGE_MS
        limit = chance_limit_in_window(len(waits), mean)
    most = count_busiest_window(waits, EQUAL_WAIT_TOLERANCE_MS)
    text = f"{most} of {len(waits)} waits equal to within {EQUAL_WAIT_TOLERANCE_MS:.0f} ms, under {limit}"
    has_enough = len(polls_by_proxy) >= MIN_CLIENTS and len(waits) >= client_count
    return judge_bound("alike", has_enough and limit <= len(waits), most < limit, text)


def find_list_outages(entries: list[TraceEntry]) -> Iterator[Outage]:
    """Yields each period of a trace in which the list service refused all allocators.

    An allocator that starts during the outage makes its first attempts then, so the outage counts from the
    start of the last one.
    """
    names = frozenset(entry.allocator for entry in entries if entry.kind == "allocator")
    refused_allocators = set[str]()
    down_at_ms = 0.0
    for entry in entries:
        if entry.kind == "allocator" and entry.state == "up":
            down_at_ms = entry.at
        if entry.kind != "wire" or entry.who != "list" or entry.reason != "turns away":
            continue
        if entry.state == "begins":
            refused_allocators.add(entry.allocator)
            down_at_ms = entry.at
        elif refused_allocators == names:
            yield Outage(down_at_ms, entry.at, names)
            refused_allocators.clear()
        else:
            refused_allocators.discard(entry.allocator)


def judge_trace(entries: list[TraceEntry]) -> list[BoundVerdict]:
    """Checks the bounds for each outage of the list service, with a proxy for each allocator."""
    events = [
        ObservedConnectionEvent(entry.at, entry.allocator, entry.state, entry.number)
        for entry in entries
        if entry.kind == "passed" and entry.who == "list" and entry.state != "bytes"
    ]
    history = TraceHistory(entries)
    verdicts = list[BoundVerdict]()
    for outage in find_list_outages(entries):
        down_at_ms, recovered_at_ms = outage.down_at_ms, outage.recovered_at_ms
        until_ms = recovered_at_ms + RECONNECT_LIMIT_MS
        running = {
            name for name in outage.clients if history.has_run_throughout(name, recovered_at_ms, until_ms)
        }
        verdicts += judge_outage(events, len(outage.clients), down_at_ms, recovered_at_ms, running)
    return verdicts

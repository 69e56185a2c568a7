"""A bound on the slow start of allocators after an outage in which they could place nothing. No I/O.

An allocator with queued tasks may have as many attempts outstanding as its first window, plus one for each
task placed since and one for each task requested since. A host reads a LAUNCH after it was sent and writes
its status before the allocator reads it, so the trace never shows more outstanding attempts than the
allocator knew of.
"""

from __future__ import annotations

from bisect import bisect_right

from glencleat.checker.chance_bounds import BoundVerdict, judge_bound
from glencleat.checker.polling_bounds import MIN_CLIENTS, RECONNECT_LIMIT_MS, Outage, find_list_outages
from glencleat.checker.trace import TraceEntry
from glencleat.checker.trace_history import (
    NEVER,
    PLACED_STATES,
    UNPLACED_STATES,
    ObservedAttempt,
    TraceHistory,
)

# An attempt without a status for longer waits for capacity, and delays no other task.
OUTSTANDING_LIMIT_MS = 1_000.0
MIN_QUEUED_BEYOND_WINDOW = 3  # tasks that an allocator without slow start would send at once


def judge_trace(entries: list[TraceEntry]) -> list[BoundVerdict]:
    """Checks the bound after each outage of the list service for all allocators."""
    history = TraceHistory(entries)
    return [_judge_recovery(history, outage) for outage in find_list_outages(entries)]


def _judge_recovery(history: TraceHistory, outage: Outage) -> BoundVerdict:
    recovered_at = outage.recovered_at_ms
    until = recovered_at + RECONNECT_LIMIT_MS
    hosts = {entry.who for entry in history.entries if entry.kind == "up" and entry.at <= recovered_at}
    first_window = max(1.0, len(hosts) / len(outage.clients))
    names = [name for name in sorted(outage.clients) if history.has_run_throughout(name, recovered_at, until)]
    queued_counts = [_count_queued(history, name, outage.down_at_ms, recovered_at) for name in names]
    backlogged_count = sum(count >= first_window + MIN_QUEUED_BEYOND_WINDOW for count in queued_counts)
    excesses = [_max_outstanding_beyond_placed(history, name, recovered_at, until) for name in names]
    worst = max(excesses, default=0)
    text = (
        f"{worst} attempts outstanding beyond those placed at one allocator, at most {first_window:.0f}; "
        f"{backlogged_count} allocators had more queued"
    )
    return judge_bound("slow start", backlogged_count >= MIN_CLIENTS, worst <= first_window, text)


def _count_queued(history: TraceHistory, name: str, down_at: float, recovered_at: float) -> int:
    """Requests from the outage that had no final answer, and time left, at its end."""
    count = 0
    for (allocator, task), requests in history.requests_by_task.items():
        if allocator != name:
            continue
        answers = history.answers_by_task.get((allocator, task), ())
        answered_at = [entry.at for entry in answers if entry.state in PLACED_STATES + UNPLACED_STATES]
        for request in requests:
            is_open = down_at <= request.at <= recovered_at < request.at + request.left
            count += is_open and not any(request.at <= at <= recovered_at for at in answered_at)
    return count


def _max_outstanding_beyond_placed(
    history: TraceHistory, name: str, recovered_at: float, until: float
) -> int:
    """The maximum, over all LAUNCHes, of outstanding attempts less tasks placed and tasks requested since."""
    attempts = [
        attempt
        for attempt in history.attempts_by_id.values()
        if attempt.offer.allocator == name and recovered_at <= attempt.offer.at <= until
    ]
    attempts.sort(key=lambda attempt: attempt.offer.at)
    ends = sorted(map(_outstanding_until, attempts))
    acceptances = [attempt.acceptance() for attempt in attempts]
    placed_at = sorted(acceptance.at for acceptance in acceptances if acceptance is not None)
    requested_at = sorted(
        request.at
        for (allocator, _), requests in history.requests_by_task.items()
        if allocator == name
        for request in requests
        if request.at > recovered_at
    )
    worst = 0
    for number, attempt in enumerate(attempts, 1):
        at = attempt.offer.at
        outstanding = number - bisect_right(ends, at)
        worst = max(worst, outstanding - bisect_right(placed_at, at) - bisect_right(requested_at, at))
    return worst


def _outstanding_until(attempt: ObservedAttempt) -> float:
    first_status_at = min((status.at for status in attempt.statuses), default=NEVER)
    timed_out_at = attempt.offer.at + min(OUTSTANDING_LIMIT_MS, attempt.offer.within)
    return min(first_status_at, attempt.lost_at, timed_out_at)

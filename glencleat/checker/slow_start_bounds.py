"""A bound on what hosts hear once a crowd that could place nothing can: slow start, from the record alone.

No I/O. Each allocator that has held tasks back may have as many out as its first window, and one more for
each that was placed; tasks that were asked for since go beyond it. Hosts read a LAUNCH after it was sent and
write their word before it is heard, so that what is out by the record is never more than what the allocator
knew."""

from __future__ import annotations

from bisect import bisect_right

from glencleat.checker.chance_bounds import BoundVerdict, judge_bound
from glencleat.checker.invariants import PLACED_STATES, UNPLACED_STATES, ObservedAttempt, TraceHistory
from glencleat.checker.polling_bounds import RECONNECT_LIMIT_MS, MIN_CLIENTS, find_list_outages
from glencleat.checker.trace import TraceEntry

OUTSTANDING_LIMIT_MS = 1_000.0  # one without an answer for longer waits for room, and holds up nobody
MIN_HELD_BACK = 3  # tasks that one allocator held back, and would send at once


def judge_trace(entries: list[TraceEntry]) -> list[BoundVerdict]:
    """Of each time in a play's record at which the list came back to all its allocators."""
    story, found = TraceHistory(entries), list[BoundVerdict]()
    for down, well, names in find_list_outages(entries):
        hosts = {entry.who for entry in entries if entry.kind == "up" and entry.at <= well}
        first = max(1.0, len(hosts) / len(names))
        until = well + RECONNECT_LIMIT_MS
        ran = [name for name in sorted(names) if story.has_run_throughout(name, well, until)]
        crowd = sum(_count_held_back(story, name, down, well) >= first + MIN_HELD_BACK for name in ran)
        worst = max((_max_outstanding_beyond_placed(story, name, well, until) for name in ran), default=0)
        text = f"{worst} out beyond those placed at one allocator, at most {first:.0f}; {crowd} had held more"
        found.append(judge_bound("slow start", crowd >= MIN_CLIENTS, worst <= first, text))
    return found


def _count_held_back(story: TraceHistory, name: str, down: float, well: float) -> int:
    """Asks of that time whose answer, if any, came later."""
    count = 0
    for (allocator, task), asked in story.requests_by_task.items():
        if allocator != name:
            continue
        heard = story.answers_by_task.get((allocator, task), ())
        told = [entry.at for entry in heard if entry.state in PLACED_STATES + UNPLACED_STATES]
        for ask in asked:
            waits = down <= ask.at <= well < ask.at + ask.left
            count += waits and not any(ask.at <= at <= well for at in told)
    return count


def _max_outstanding_beyond_placed(story: TraceHistory, name: str, well: float, until: float) -> int:
    """Attempts out, less those placed and those asked for since: the most at any LAUNCH."""
    attempts = [a for a in story.attempts_by_id.values() if a.offer.allocator == name]
    attempts = sorted((a for a in attempts if well <= a.offer.at <= until), key=lambda a: a.offer.at)
    ends = sorted(map(_outstanding_until, attempts))
    placed = sorted(yes.at for a in attempts if (yes := a.acceptance()) is not None)
    times = [ask.at for (who, _), asks in story.requests_by_task.items() if who == name for ask in asks]
    since = sorted(at for at in times if at > well)
    worst = 0
    for number, attempt in enumerate(attempts, 1):
        at = attempt.offer.at
        out = number - bisect_right(ends, at)
        worst = max(worst, out - bisect_right(placed, at) - bisect_right(since, at))
    return worst


def _outstanding_until(attempt: ObservedAttempt) -> float:
    told = min((entry.at for entry in attempt.statuses), default=float("inf"))
    return min(told, attempt.lost_at, attempt.offer.at + min(OUTSTANDING_LIMIT_MS, attempt.offer.within))

"""A bound on what hosts hear once a crowd that could place nothing can: slow start, from the record alone.

No I/O. Each allocator that has held tasks back may have as many out as its first window, and one more for
each that was placed; tasks that were asked for since go beyond it. Hosts read a LAUNCH after it was sent and
write their word before it is heard, so that what is out by the record is never more than what the allocator
knew."""

from __future__ import annotations

from bisect import bisect_right

from glencleat.checker.chance_bounds import BoundVerdict, verdict
from glencleat.checker.invariants import PLACED, TURNED, ObservedAttempt, TraceHistory
from glencleat.checker.polling_bounds import BACK_MS, LEAST_CROWD, turned_away
from glencleat.checker.trace import TraceEntry

OUT_MS = 1_000.0  # one without an answer for longer waits for room, and holds up nobody
HELD = 3  # tasks that one allocator held back, and would send at once


def judge_play(entries: list[TraceEntry]) -> list[BoundVerdict]:
    """Of each time in a play's record at which the list came back to all its allocators."""
    story, found = TraceHistory(entries), list[BoundVerdict]()
    for down, well, names in turned_away(entries):
        hosts = {entry.who for entry in entries if entry.kind == "up" and entry.at <= well}
        first = max(1.0, len(hosts) / len(names))
        until = well + BACK_MS
        ran = [name for name in sorted(names) if story.ran(name, well, until)]
        crowd = sum(_held(story, name, down, well) >= first + HELD for name in ran)
        worst = max((_beyond(story, name, well, until) for name in ran), default=0)
        text = f"{worst} out beyond those placed at one allocator, at most {first:.0f}; {crowd} had held more"
        found.append(verdict("slow start", crowd >= LEAST_CROWD, worst <= first, text))
    return found


def _held(story: TraceHistory, name: str, down: float, well: float) -> int:
    """Asks of that time whose answer, if any, came later."""
    count = 0
    for (allocator, task), asked in story.asked.items():
        if allocator != name:
            continue
        heard = story.answers.get((allocator, task), ())
        told = [entry.at for entry in heard if entry.state in PLACED + TURNED]
        for ask in asked:
            waits = down <= ask.at <= well < ask.at + ask.left
            count += waits and not any(ask.at <= at <= well for at in told)
    return count


def _beyond(story: TraceHistory, name: str, well: float, until: float) -> int:
    """Attempts out, less those placed and those asked for since: the most at any LAUNCH."""
    attempts = [a for a in story.attempts.values() if a.offered.allocator == name]
    attempts = sorted((a for a in attempts if well <= a.offered.at <= until), key=lambda a: a.offered.at)
    ends = sorted(map(_end, attempts))
    placed = sorted(yes.at for a in attempts if (yes := a.yes()) is not None)
    times = [ask.at for (who, _), asks in story.asked.items() if who == name for ask in asks]
    since = sorted(at for at in times if at > well)
    worst = 0
    for number, attempt in enumerate(attempts, 1):
        at = attempt.offered.at
        out = number - bisect_right(ends, at)
        worst = max(worst, out - bisect_right(placed, at) - bisect_right(since, at))
    return worst


def _end(attempt: ObservedAttempt) -> float:
    told = min((entry.at for entry in attempt.said), default=float("inf"))
    return min(told, attempt.lost_at, attempt.offered.at + min(OUT_MS, attempt.offered.within))

"""Bounds on how a crowd asks one service again, judged from what a relay before it recorded.

No I/O, and nothing of what the allocators say themselves. A bound that was never in danger is *not tried*."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from glencleat.check.record import Entry
from glencleat.check.rules import Story
from glencleat.standins.relay import Passed

AFTER_MS = 3_000.0  # first tries are spread over less; what goes on is judged from here
RATE = 0.98  # connections a second of each: a tenth of what fixed steps of 0.1 s came to
WINDOW_MS, PART = 100.0, 0.25  # the busiest such time holds less than this part of all
BACK_MS = 4_000.0  # after the service is well again
LEAST_DOWN_MS, LEAST_CROWD = AFTER_MS + 1_500.0, 12
LEAST_BUSY = 40  # of fewer a quarter meet in such a time by chance


class State(Enum):
    KEPT = "kept"
    BROKEN = "broken"
    NOT_TRIED = "not tried"


@dataclass(frozen=True, slots=True)
class Verdict:
    bound: str
    state: State
    text: str


def judge(
    passed: Iterable[Passed], count: int, down_ms: float, well_ms: float, ran: set[str] | None = None
) -> list[Verdict]:
    """Of `count` allocators at a service that turned everybody away from `down_ms` to `well_ms`.

    `ran`: with a wire for each, those that can be back in time, as they were not stopped meanwhile."""
    record = sorted(passed, key=lambda one: one.at_ms)
    tries = [one.at_ms for one in record if one.kind == "refused" and down_ms <= one.at_ms < well_ms]
    later = [at for at in tries if at >= down_ms + AFTER_MS]
    seconds = (well_ms - down_ms - AFTER_MS) / 1e3
    tried = bool(later) and well_ms - down_ms >= LEAST_DOWN_MS and count >= LEAST_CROWD
    return [
        _rate(later, count, seconds, tried),
        _busiest(later, count, tried),
        _back(record, count, well_ms, ran),
    ]


def busiest(times: list[float], window_ms: float) -> int:
    """How many of these times, in order, fall within the window that holds most."""
    return max((bisect_left(times, at + window_ms) - i for i, at in enumerate(times)), default=0)


def _verdict(bound: str, tried: bool, kept: bool, text: str) -> Verdict:
    return Verdict(bound, State.NOT_TRIED if not tried else State.KEPT if kept else State.BROKEN, text)


def _rate(later: list[float], count: int, seconds: float, tried: bool) -> Verdict:
    each = len(later) / seconds / count if tried else 0.0
    return _verdict("rate", tried, each < RATE, f"{each:.2f} connections a second each, under {RATE}")


def _busiest(later: list[float], count: int, tried: bool) -> Verdict:
    most = busiest(later, WINDOW_MS)
    text = f"{most} of {count} in the busiest {WINDOW_MS:.0f} ms, under {PART:.0%}"
    return _verdict("busiest", tried and count >= LEAST_BUSY, most < PART * count, text)


def _back(record: list[Passed], count: int, well_ms: float, ran: set[str] | None) -> Verdict:
    """Connections that were let in since, and have not ended by the time that all should be back."""
    until = well_ms + BACK_MS
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
    text = f"{back} of {count} back within {BACK_MS / 1e3:.0f} s"
    return _verdict("back", tried and record[-1].at_ms >= well_ms, back >= count, text)


def judge_play(entries: list[Entry]) -> list[Verdict]:
    """Of each time in a play's record that turned all its allocators away from their list.

    One that was started meanwhile has its first tries then: the time counts from when the last was up."""
    names = {entry.allocator for entry in entries if entry.kind == "allocator"}
    passed = [
        Passed(entry.at, entry.allocator, entry.state, entry.number)
        for entry in entries
        if entry.kind == "passed" and entry.who == "list" and entry.state != "bytes"
    ]
    verdicts, away, down, story = list[Verdict](), set[str](), 0.0, Story(entries)
    for entry in entries:
        if entry.kind == "allocator" and entry.state == "up":
            down = entry.at
        if entry.kind != "wire" or entry.who != "list" or entry.reason != "turns away":
            continue
        if entry.state == "begins":
            away.add(entry.allocator)
            down = entry.at
        elif away == names:
            ran = {name for name in names if story.ran(name, entry.at, entry.at + BACK_MS)}
            verdicts += judge(passed, len(names), down, entry.at, ran)
            away.clear()
        else:
            away.discard(entry.allocator)
    return verdicts

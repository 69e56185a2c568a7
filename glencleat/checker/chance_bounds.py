"""Verdicts on statistical bounds, and what chance alone may bring. No I/O.

A bound that was never in danger is *not tried*; one that is exceeded is broken, however few there were.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from dataclasses import dataclass
from enum import Enum

MAX_FALSE_ALARM_PROBABILITY = 1e-6  # a sound fleet exceeds a bound in so few of its plays


class BoundState(Enum):
    """What a trace shows of a bound."""

    KEPT = "kept"
    BROKEN = "broken"
    NOT_TRIED = "not tried"


@dataclass(frozen=True, slots=True)
class BoundVerdict:
    """One bound by its name, its state, and the figures behind it in words."""

    bound: str
    state: BoundState
    text: str


def judge_bound(bound: str, was_tried: bool, is_kept: bool, text: str) -> BoundVerdict:
    """The verdict on a bound; `is_kept` counts only where the trace put the bound to the test."""
    if not was_tried:
        return BoundVerdict(bound, BoundState.NOT_TRIED, text)
    return BoundVerdict(bound, BoundState.KEPT if is_kept else BoundState.BROKEN, text)


def count_busiest_window(times: list[float], window_ms: float) -> int:
    """How many of these ascending times, in milliseconds, fall within the window that holds most."""
    return max((bisect_left(times, at + window_ms) - i for i, at in enumerate(times)), default=0)


def poisson_tail(at_least: int, mean: float) -> float:
    """The chance of `least` or more events where `mean` are expected and none knows of another.

    >>> round(poisson_tail(1, 1.0), 4), round(poisson_tail(5, 1.0), 4)
    (0.6321, 0.0037)
    """
    terms = (
        math.exp(n * math.log(mean) - mean - math.lgamma(n + 1)) for n in range(at_least, at_least + 200)
    )
    return min(1.0, math.fsum(terms)) if mean > 0.0 else float(at_least <= 0)


def chance_limit_in_window(attempts: int, mean: float) -> int:
    """The least number in one window that independent attempts reach by chance too rarely to count.

    Too rarely is under MAX_FALSE_ALARM_PROBABILITY. `mean`: attempts in a window. Each of `attempts` begins a
    window and has the others in it by chance (a union bound).
    """
    limit = 2
    while attempts * poisson_tail(limit - 1, mean) >= MAX_FALSE_ALARM_PROBABILITY:
        limit += 1
    return limit

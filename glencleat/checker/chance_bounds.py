"""Verdicts on statistical bounds, and the limits that independent events exceed only by rare chance. No I/O.

A bound that the trace could not have exceeded is *not tried*. One that is exceeded is broken, however small
the sample.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from dataclasses import dataclass
from enum import Enum

MAX_FALSE_ALARM_PROBABILITY = 1e-6  # share of plays of a correct fleet that exceed a bound


class BoundState(Enum):
    """Whether a trace keeps a bound, breaks it, or does not exercise it."""

    KEPT = "kept"
    BROKEN = "broken"
    NOT_TRIED = "not tried"


@dataclass(frozen=True, slots=True)
class BoundVerdict:
    """The name of a bound, its state, and a sentence with the measured values."""

    bound: str
    state: BoundState
    text: str


def judge_bound(bound: str, was_tried: bool, is_kept: bool, text: str) -> BoundVerdict:
    """Returns the verdict on a bound; `is_kept` is ignored where the trace did not exercise the bound."""
    if not was_tried:
        return BoundVerdict(bound, BoundState.NOT_TRIED, text)
    return BoundVerdict(bound, BoundState.KEPT if is_kept else BoundState.BROKEN, text)


def count_busiest_window(times: list[float], window_ms: float) -> int:
    """The largest number of these ascending times, in milliseconds, within any window of `window_ms`."""
    return max((bisect_left(times, at + window_ms) - i for i, at in enumerate(times)), default=0)


def poisson_tail(at_least: int, mean: float) -> float:
    """The probability of `at_least` or more independent events where `mean` are expected.

    >>> round(poisson_tail(1, 1.0), 4), round(poisson_tail(5, 1.0), 4)
    (0.6321, 0.0037)
    """
    terms = (
        math.exp(n * math.log(mean) - mean - math.lgamma(n + 1)) for n in range(at_least, at_least + 200)
    )
    return min(1.0, math.fsum(terms)) if mean > 0.0 else float(at_least <= 0)


def chance_limit_in_window(attempts: int, mean: float) -> int:
    """The smallest count in one window that independent attempts reach with negligible probability.

    Negligible is under MAX_FALSE_ALARM_PROBABILITY. `mean` is the expected number of attempts in a window. A
    window begins at each of the `attempts`, and the union bound adds up their probabilities.
    """
    limit = 2
    while attempts * poisson_tail(limit - 1, mean) >= MAX_FALSE_ALARM_PROBABILITY:
        limit += 1
    return limit

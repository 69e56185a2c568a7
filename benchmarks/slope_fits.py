"""Which curve a cost follows as a size grows, with its 95% interval; no I/O.

Four curves are tried by least squares of relative errors, in logarithms (scipy): no growth, a line, a
logarithm, a power. The one with the least corrected Akaike criterion is taken: a parameter more has to pay
for itself."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np
from scipy import optimize, stats

LEVEL = 0.95  # of all intervals

Curve = Callable[..., Any]
CURVES: dict[str, tuple[Curve, str]] = {
    "flat": (lambda x, a: a + 0.0 * x, "{0}"),
    "line": (lambda x, a, b: a + b * x, "{0} + {1} x"),
    "log": (lambda x, a, b: a + b * np.log(x), "{0} + {1} ln x"),
    "power": (lambda x, a, b: a * x**b, "{0} x^{1:.2f}"),
}


@dataclass(frozen=True, slots=True)
class Fit:
    """A curve through the points, in the units of its y. `worst`: the greatest part by which the median at a
    size lies off the curve; `off`: the spread of single points about it, as a part (standard deviation)."""

    curve: str
    values: tuple[float, ...]
    errors: tuple[float, ...]  # half widths of their 95% intervals
    covariance: tuple[tuple[float, ...], ...]
    points: int
    least: float
    most: float
    worst: float
    off: float

    def at(self, x: float) -> float:
        return float(CURVES[self.curve][0](np.asarray(x, dtype=float), *self.values))

    def interval(self, x: float) -> tuple[float, float]:
        """Of the curve's mean at x (delta method, Student's t)."""
        steps = [max(abs(value), 1e-12) * 1e-5 for value in self.values]
        slopes = [(self._shifted(x, i, step) - self._shifted(x, i, -step)) / (2.0 * step)
                  for i, step in enumerate(steps)]  # fmt: skip
        gradient = np.array(slopes)
        spread = math.sqrt(max(0.0, float(gradient @ np.array(self.covariance) @ gradient)))
        half = spread * student(self.points - len(self.values))
        return max(0.0, self.at(x) - half), self.at(x) + half

    def _shifted(self, x: float, place: int, by: float) -> float:
        values = list(self.values)
        values[place] += by
        return float(CURVES[self.curve][0](np.asarray(x, dtype=float), *values))

    def stretched(self, x: float) -> float:
        """How far x lies beyond the sizes measured; 1 within them."""
        return max(1.0, x / self.most, self.least / x if x else 1.0)

    def text(self, scale: float = 1.0) -> str:
        linear = 1 if self.curve == "power" else len(self.values)
        values = [value * scale if i < linear else value for i, value in enumerate(self.values)]
        return CURVES[self.curve][1].format(*(f"{v:.3g}" if i < linear else v for i, v in enumerate(values)))


def student(freedom: int) -> float:
    return float(stats.t.ppf(0.5 + LEVEL / 2.0, max(1, freedom)))


def fitted(curve: str, x: np.ndarray, y: np.ndarray) -> tuple[Fit, float]:
    """The curve through the points and its criterion."""
    law = CURVES[curve][0]
    start = {"flat": [y.mean()], "line": [y.min(), (y.max() - y.min()) / x.max()], "log": [y.min(), y.std()],
             "power": [y.mean() / x.mean() ** 0.5, 0.5]}[curve]  # fmt: skip
    values, covariance = optimize.curve_fit(
        lambda x, *p: np.log(np.maximum(law(x, *p), 1e-30)), x, np.log(y), p0=start, maxfev=20_000
    )
    relative = np.log(np.maximum(law(x, *values), 1e-30) / y)
    count, parameters = len(x), len(values) + 1
    penalty = 2.0 * parameters * count / max(1.0, count - parameters - 1.0)
    criterion = count * math.log(max(float((relative**2).mean()), 1e-12)) + penalty
    medians = [abs(float(law(size, *values)) / float(np.median(y[x == size])) - 1.0) for size in np.unique(x)]
    errors = student(count - len(values)) * np.sqrt(np.diag(covariance))
    return Fit(
        curve, tuple(map(float, values)), tuple(map(float, errors)),
        tuple(tuple(map(float, row)) for row in covariance), count,
        float(x.min()), float(x.max()), max(medians), float(relative.std()),
    ), criterion  # fmt: skip


def fit(points: Sequence[tuple[float, float]]) -> Fit | None:
    """The best of the curves; None where there are fewer than three sizes, or nothing to be told apart."""
    known = [(x, y) for x, y in points if y > 0.0]
    if len({x for x, _ in known}) < 3 or len(known) < 4:
        return None
    x, y = (np.array(values, dtype=float) for values in zip(*known, strict=True))
    found = []
    for curve in CURVES:
        try:
            found.append(fitted(curve, x, y))
        except (RuntimeError, optimize.OptimizeWarning):
            continue
    found = [(one, criterion) for one, criterion in found if all(map(math.isfinite, one.errors))]
    return min(found, key=lambda item: item[1])[0] if found else None


def mean_interval(values: Sequence[float]) -> tuple[float, float, float]:
    """Median, and the 95% interval of the mean by Student's t; of one value itself alone."""
    middle = float(np.median(values))
    if len(values) < 2 or max(values) == min(values):
        return middle, middle, middle
    half = student(len(values) - 1) * float(np.std(values, ddof=1)) / math.sqrt(len(values))
    mean = float(np.mean(values))
    return middle, max(0.0, mean - half), mean + half

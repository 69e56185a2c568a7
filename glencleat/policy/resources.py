"""Amounts of cores and memory, and time values that stand for "never".

An amount is a plain tuple: each placement creates dozens of them, and named tuples made it nearly half as
slow again.
"""

from __future__ import annotations

from typing import TypeAlias

Resources: TypeAlias = tuple[float, float]  # cores and memory, in the units of the machines' sizes

NO_RESOURCES: Resources = (0.0, 0.0)
CORES_AND_MEMORY = (0, 1)  # indices into an amount

NEVER_MS = -1e18  # when something happened that has not happened: before any clock value
NOT_DUE_MS = float("inf")  # when something is due that is not scheduled: after any clock value


def add(first: Resources, second: Resources) -> Resources:
    """The sum, component by component."""
    return first[0] + second[0], first[1] + second[1]


def multiply(first: Resources, second: Resources) -> Resources:
    """The product, component by component."""
    return first[0] * second[0], first[1] * second[1]


def covers(available: Resources, wanted: Resources) -> bool:
    """Whether both components of `available` are at least those of `wanted`."""
    return available[0] >= wanted[0] and available[1] >= wanted[1]

"""Amounts of cores and memory, and the bounds of time that stand for "never".

An amount is a plain pair and not a named tuple: each placement makes dozens of them, and named tuples made it
nearly half as slow again.
"""

from __future__ import annotations

from typing import TypeAlias

Resources: TypeAlias = tuple[float, float]  # cores and memory, in the units of the machines' sizes

NO_RESOURCES: Resources = (0.0, 0.0)
CORES_AND_MEMORY = (0, 1)  # the indices of an amount, for loops over both

NEVER_MS = -1e18  # time of what has not happened yet: before any clock
NOT_DUE_MS = float("inf")  # time of what is not going to happen: after any clock


def add(first: Resources, second: Resources) -> Resources:
    """The sum, part by part."""
    return first[0] + second[0], first[1] + second[1]


def multiply(first: Resources, second: Resources) -> Resources:
    """The product, part by part: an amount by the factors of its cores and memory."""
    return first[0] * second[0], first[1] * second[1]


def covers(available: Resources, wanted: Resources) -> bool:
    """Whether both parts of `available` are at least those of `wanted`."""
    return available[0] >= wanted[0] and available[1] >= wanted[1]

"""Decides whether a task is told to the module at all. Pure.

The bounds are on what a peer could otherwise pile up here; a refusal by them is at once and harmless, as
nothing was sent. A second start of a task that must not start twice is caught here too, when its owner asks
again although it may have run."""

from __future__ import annotations

from dataclasses import dataclass

from glencleat import interface as api
from glencleat.allocator.ledger import Call
from glencleat.allocator.tables import Fate


@dataclass(frozen=True, slots=True)
class Limits:
    open_most: int = 100_000  # tasks without an answer, in all
    open_each: int = 20_000  # of one framework
    placed_most: int = 500_000  # calls that the module knows


@dataclass(frozen=True, slots=True)
class Load:
    open: int
    open_here: int  # of the framework that asks
    known: int
    behind: bool  # the framework does not acknowledge its updates
    ending: bool  # SIGTERM came


def refuses(load: Load, limits: Limits) -> str | None:
    """Why a new task can't be taken now, or None."""
    if load.ending:
        return "the allocator is shutting down"
    if load.behind:
        return "too many of the framework's updates are unacknowledged"
    if load.open_here >= limits.open_each:
        return f"the framework has {load.open_here} tasks without an answer; at most {limits.open_each}"
    if load.open >= limits.open_most:
        return f"{load.open} tasks are without an answer; at most {limits.open_most}"
    if load.known >= limits.placed_most:
        return f"{load.known} tasks are placed; at most {limits.placed_most}"
    return None


def repeats(before: Call | None) -> str | None:
    """What a LAUNCH of a task that was here before is: the same ask again ("same"), a second start that must
    not be ("never"), or a new placing (None)."""
    if before is None:
        return None
    if before.given is None or not before.over:
        return "same"  # a client that lost its connection in mid-call and sends it again
    if before.effect is api.Effect.UNSAFE and before.fate() is not Fate.NEVER_RAN:
        return "never"
    return None

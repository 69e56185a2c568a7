"""Decides when a newly started allocator may begin to place. Pure.

Tasks that its previous incarnation placed continue to run, and each agent reports them when it subscribes.
Until then the spread of services is not known, nor what the previous incarnation offered to machines that are
warming up. Calls are therefore held until every listed machine has subscribed or `grace_ms` is over, and for
at least `min_wait_ms` (1.25 times the window over which offers to a machine that warms up are counted).
"""

from __future__ import annotations

from collections.abc import Iterable


class StartupGate:
    """Holds back placements after a start; once open, it stays open."""

    def __init__(self, started_at_ms: float, min_wait_ms: float, grace_ms: float) -> None:
        self.started_at_ms, self.min_wait_ms, self.grace_ms = started_at_ms, min_wait_ms, grace_ms
        self.is_open = False

    def try_open(self, now: float, listed: Iterable[str] | None, subscribed: Iterable[str]) -> bool:
        """Opens the gate if it may open, and returns whether it is open.

        `listed` is None before the first machine list. An empty list doesn't count as complete: a directory
        that comes back empty would open every allocator at once, and they would place by the next list before
        they know what runs on its machines.
        """
        if not self.is_open:
            waited_ms = now - self.started_at_ms
            names = set(listed or ())
            has_all_subscribed = bool(names) and names <= set(subscribed)
            self.is_open = waited_ms >= self.min_wait_ms and (
                has_all_subscribed or waited_ms >= max(self.min_wait_ms, self.grace_ms)
            )
        return self.is_open

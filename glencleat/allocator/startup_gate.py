"""Decides when a newly started allocator may begin to place. Does no I/O: time is an argument.

Tasks that its previous incarnation placed continue to run, and each agent reports them when it subscribes.
Until then the spread of services is not known, nor how many tasks the previous incarnation sent to machines
that are warming up. Calls are therefore held until every listed machine has subscribed or `grace_ms` is over,
and for at least `min_wait_ms` (1.25 times the window over which tasks sent to a machine that warms up are
counted).
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

        `listed` is None before the first machine list. An empty list doesn't count as complete. Otherwise a
        directory that restarts with an empty list would open the gate of every allocator, and after the next
        list they would place tasks before its machines have reported theirs.
        """
        if not self.is_open:
            waited_ms = now - self.started_at_ms
            names = set(listed or ())
            has_all_subscribed = bool(names) and names <= set(subscribed)
            self.is_open = waited_ms >= self.min_wait_ms and (
                has_all_subscribed or waited_ms >= max(self.min_wait_ms, self.grace_ms)
            )
        return self.is_open

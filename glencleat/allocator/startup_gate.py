"""Decides when a freshly started allocator may begin to place. Pure.

Tasks that its former incarnation placed run on, and each agent lists them when it subscribes. Until then the
spread of services is not known, and nobody here remembers what was offered just before the end to machines
that are warming up. So calls are held until every listed machine has subscribed, or `grace_ms` is over, and
in any case for `min_wait_ms` (the window in which offers to a machine that is warming up count, and a
quarter).
"""

from __future__ import annotations

from collections.abc import Iterable


class StartupGate:
    """Opens once after the start and stays open."""

    def __init__(self, started_at_ms: float, min_wait_ms: float, grace_ms: float) -> None:
        self.started_at_ms = started_at_ms
        self.min_wait_ms = min_wait_ms
        self.grace_ms = grace_ms
        self.is_open = False

    def try_open(self, now: float, listed: Iterable[str] | None, subscribed: Iterable[str]) -> bool:
        """Open the gate if nothing is waited for any more, and return whether it is open.

        An empty machine list counts as incomplete: a directory that comes back empty would open all
        allocators at once, to place by the right list before anything is known of what runs there.

        Args:
            now: Monotonic milliseconds.
            listed: The machines of the list; None before the first list.
            subscribed: The machines whose agents have subscribed.
        """
        if not self.is_open:
            waited_ms = now - self.started_at_ms
            names = set(listed or ())
            is_complete = bool(names) and names <= set(subscribed)
            has_grace_ended = waited_ms >= max(self.min_wait_ms, self.grace_ms)
            self.is_open = waited_ms >= self.min_wait_ms and (is_complete or has_grace_ended)
        return self.is_open

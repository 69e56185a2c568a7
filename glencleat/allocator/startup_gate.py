"""Decides when a freshly started allocator may begin to place. Pure.

Tasks that its former incarnation placed run on, and each agent tells them when it subscribes. Until then the
spread of services is not known, and nobody here remembers what was offered to cold machines just before the
end. So asks are held until every listed machine has subscribed, or `grace_ms` is over, and in any case for
`least_ms` (the window in which a cold machine's offers count, and a quarter)."""

from __future__ import annotations

from collections.abc import Iterable


class StartupGate:
    def __init__(self, started: float, least_ms: float, grace_ms: float) -> None:
        self.started_at_ms, self.min_wait_ms, self.grace_ms = started, least_ms, grace_ms
        self.is_open = False

    def try_open(self, now: float, listed: Iterable[str] | None, subscribed: Iterable[str]) -> bool:
        """Whether asks may be told now; once open it stays so. `listed` is None before the first list.

        An empty list is no whole one: a directory that comes back empty would open everybody at once, to
        place by the right list before anything is known of what runs there."""
        if not self.is_open:
            waited = now - self.started_at_ms
            names = set(listed or ())
            whole = bool(names) and names <= set(subscribed)
            self.is_open = waited >= self.min_wait_ms and (
                whole or waited >= max(self.min_wait_ms, self.grace_ms)
            )
        return self.is_open

"""When connections to a host could be opened, and when that began anew after failures. No I/O, no clock.

A connection that opens shows that some process listens at the address. It is the former one only as long as
no connect has failed in between, or once the machine list has had the time to tell of another one.
"""

from __future__ import annotations

from collections import deque

from glencleat.platform_server.failure_detector import NEVER

MIN_INTERVAL_MS = 400.0
"""Of several connections that open within this time the first one counts."""

MAX_OPENINGS = 16
"""Openings that are kept: at MIN_INTERVAL_MS, more than the list's usual delay."""


class ReachabilityHistory:
    """The recent times at which connections to a host opened.

    >>> history = ReachabilityHistory()
    >>> history.record_opened(0.0, is_after_failure=False)
    >>> history.record_opened(1_000.0, is_after_failure=False)
    >>> history.record_opened(7_000.0, is_after_failure=True)
    >>> history.find_uninterrupted_until(0.0), history.find_latest_opening(6_000.0), history.restored_at_ms
    (1000.0, 1000.0, 7000.0)
    """

    __slots__ = ("openings", "restored_at_ms")

    def __init__(self) -> None:
        """Starts without a connection."""
        self.openings: deque[tuple[float, bool]] = deque(maxlen=MAX_OPENINGS)  # when; whether after a failure
        self.restored_at_ms = -NEVER  # when a connection last opened after a connect had failed

    def record_opened(self, now_ms: float, *, is_after_failure: bool) -> None:
        """A connection has opened; `is_after_failure`: a connect has failed since the one before."""
        if is_after_failure:
            self.restored_at_ms = now_ms
        elif self.openings and now_ms - self.openings[-1][0] < MIN_INTERVAL_MS:
            return
        self.openings.append((now_ms, is_after_failure))

    def find_latest_opening(self, until_ms: float) -> float:
        """Returns when the last connection up to a time opened; -NEVER without one."""
        return max((at_ms for at_ms, _ in self.openings if at_ms <= until_ms), default=-NEVER)

    def find_uninterrupted_until(self, from_ms: float) -> float:
        """Returns the last opening that no failure separates from a time, or that time without one."""
        until_ms = from_ms
        for at_ms, is_after_failure in self.openings:
            if at_ms <= from_ms:
                continue
            if is_after_failure:
                break
            until_ms = at_ms
        return until_ms

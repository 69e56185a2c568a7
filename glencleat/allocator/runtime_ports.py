"""What the allocator needs of its runtime: a clock, timers and byte streams to its peers.

The event loop and the HTTP servers implement these protocols, and so do the tests' doubles.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class ClockPort(Protocol):
    """The time of day."""

    def wall(self) -> float:
        """Return the milliseconds since the epoch."""
        ...


class TimerPort(Protocol):
    """A timer that has been set."""

    def cancel(self) -> None:
        """Drop the timer; has no effect on one that has fired."""
        ...


class TimingPort(Protocol):
    """Monotonic time and one-shot timers."""

    @property
    def clock(self) -> ClockPort:
        """The clock that gives the time of day."""
        ...

    def now(self) -> float:
        """Return monotonic milliseconds."""
        ...

    def call_in(self, in_ms: float, call: Callable[[], None], /) -> TimerPort:
        """Call `call` once, `in_ms` milliseconds from now."""
        ...


class SessionStreamPort(Protocol):
    """The stream of records of one session, as an HTTP server gives it."""

    def send(self, record: bytes, /) -> tuple[int, int]:
        """Queue a record and return its begin and end offset in the stream.

        On failure the stream closes itself and does not raise.
        """
        ...

    def written(self) -> int:
        """Return up to which offset the stream has been handed to the socket."""
        ...

    def close(self, why: str, /) -> None:
        """End the session; `why` is told to the session's owner."""
        ...

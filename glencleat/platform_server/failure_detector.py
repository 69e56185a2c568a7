"""Evidence that a host with standing tasks has ended, and what to do to find out.

`FailureDetector` records what the connection pool sees of one host; `assess` weighs it. There is no I/O and
no clock: time is an argument, in milliseconds of the event loop's clock. Nothing is ever sent again because
of an assessment: the tasks of a host that is declared dead are reported to their owners as lost. A wrong
verdict costs the rest of tasks that run on; a late one exceeds the 8 s within which an end must be reported.

    observation                                        verdict                             may be wrong about
    no machine list names the host                     dead after UNLISTED_MS              a list that is late
    connections refused, none open                     dead after REFUSAL_PROOF_MS         one that takes none
    the same, while draining or after an eviction      dead after                          tasks that run on
                                                       DRAINING_REFUSAL_PROOF_MS
    refused since the list says that it is removed     dead                                an erroneous list
    refused, nothing unsolicited on open connections   dead after UNREACHABLE_MS           undisturbed tasks
    no connection comes up, nothing heard              dead after UNREACHABLE_MS and       a longer cut
                                                       one last connect after that
    quiet, not connected, or the last connect failed   open a connection
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

QUIET_MS = 1_000.0
"""A host with standing tasks that says nothing for so long is tried by a new connection."""

EVICTED_QUIET_MS = 3_000.0
"""The same for a host whose connection was evicted: its releases are due 8 s after a task's end."""

REFUSAL_PROOF_MS = 100.0
"""Connections refused for so long, with none open, prove that the host's process has ended."""

UNREACHABLE_MS = 7_000.0
"""Silence of this length, while no connection comes up, counts as the host's end.

Its tasks may run on behind a network cut, and their owners would start second copies, so it is as long as the
protocol permits: a release is due 8 s after a task's end, which may have come as soon as the host was last
heard; less a tick, a connect and the lag of the event loop."""

SIMULTANEOUS_LOSS_MS = 100.0
"""Connections lost within this time were lost together."""

DRAINING_REFUSAL_PROOF_MS = 2_500.0
"""Takes the place of REFUSAL_PROOF_MS where a refusal says little: the host is draining and its connections
were idle, or we evicted its only connection."""

UNLISTED_MS = 5_000.0
"""Tasks that were handed over at a host that no list names are lost after this time."""

NEVER = float("inf")
"""A time that does not come; `-NEVER` is one that has always passed."""


class DetectorAction(Enum):
    """What the connection pool is to do about a host."""

    NOTHING = "nothing"
    CONNECT = "open a connection, when one is due"
    CONNECT_NOW = "open a connection now: it decides"
    DECLARE_DEAD = "what stands there has ended"


@dataclass(frozen=True, slots=True)
class Assessment:
    """An action and, where it is DECLARE_DEAD, the evidence for it."""

    action: DetectorAction
    reason: str = ""


_NO_ACTION = Assessment(DetectorAction.NOTHING)
_CONNECT = Assessment(DetectorAction.CONNECT)
_CONNECT_NOW = Assessment(DetectorAction.CONNECT_NOW)
_UNLISTED = Assessment(DetectorAction.DECLARE_DEAD, "no list names it")
_REFUSED = Assessment(DetectorAction.DECLARE_DEAD, "connections are refused")
_UNREACHABLE = Assessment(DetectorAction.DECLARE_DEAD, "no connection comes up")
_REMOVED = Assessment(DetectorAction.DECLARE_DEAD, "the list calls it gone, and connections are refused")
_MUTE = Assessment(DetectorAction.DECLARE_DEAD, "it says nothing by itself, and connections are refused")


class FailureDetector:
    """What was observed of one host, and what that is evidence of.

    The `record_` methods take in observations; `assess` and `next_assessment_ms` only read them.
    """

    def __init__(self, now_ms: float) -> None:
        """Starts as if the host was heard at `now_ms`."""
        self.created_at_ms = now_ms
        # What the machine list says.
        self.is_removed = False
        self.is_draining = False
        self.removed_at_ms = NEVER
        # What the host says: any bytes; what is not the answer to a health check.
        self.last_heard_at_ms = now_ms
        self.last_unsolicited_at_ms = now_ms
        # How connects fare. Refusals count only while no connection is open.
        self.refused_since_ms = NEVER
        self.failing_since_ms = NEVER
        self.last_failure_at_ms = -NEVER
        self.is_refusing = False  # the last connect was refused: the machine is there
        # How connections end.
        self.recent_losses_ms: list[float] = []
        self.has_process_ended = False  # the last connection broke as when a process ends
        self.is_connection_evicted = False  # its only connection was given up for want of descriptors
        self.is_reported_unreachable = False  # the policy was told that it can't be reached

    def record_removed(self, now_ms: float) -> None:
        """The machine list no longer names the host, or names it as removed."""
        if not self.is_removed:
            self.is_removed = True
            self.is_draining = False
            self.removed_at_ms = now_ms

    def record_listed(self, *, draining: bool) -> None:
        """The machine list names the host as serving or as draining."""
        self.is_removed = False
        self.removed_at_ms = NEVER
        self.is_draining = draining

    def record_connected(self, now_ms: float) -> None:
        """A connection came up: releases that the host owes us come now."""
        self.last_heard_at_ms = now_ms
        self.last_unsolicited_at_ms = now_ms
        self.refused_since_ms = NEVER
        self.failing_since_ms = NEVER
        self.is_refusing = False
        self.has_process_ended = False
        self.is_connection_evicted = False

    def record_bytes(self, now_ms: float) -> None:
        """Bytes of any kind came from the host."""
        self.last_heard_at_ms = now_ms

    def record_unsolicited_message(self, now_ms: float) -> None:
        """The host sent something other than the answer to a health check."""
        self.last_unsolicited_at_ms = now_ms

    def record_connect_failure(self, now_ms: float, *, refused: bool, disconnected: bool) -> None:
        """A connect failed.

        Args:
            now_ms: When it failed.
            refused: The machine refused it; otherwise it was not up in time.
            disconnected: No other connection to the host is up.
        """
        self.failing_since_ms = min(self.failing_since_ms, now_ms)
        self.last_failure_at_ms = now_ms
        self.is_refusing = refused
        self.refused_since_ms = min(self.refused_since_ms, now_ms) if refused and disconnected else NEVER

    def record_connection_lost(self, now_ms: float, *, idle: bool, disconnected: bool) -> bool:
        """A connection broke. Returns whether that tells that the host's process has ended.

        All of several connections lost at one moment are a process that ended, also where the host is
        draining. So is the last one, unless it was idle: a draining host takes no new connection, so waiting
        longer brings no further evidence, and the release is due 1 s after the end. This is wrong where a
        single reset meets a draining host that lives: its tasks are reported lost.

        Args:
            now_ms: When it broke.
            idle: It was unused for so long that the host may have closed it for that.
            disconnected: No other connection to the host is up.
        """
        recent_losses_ms = [at_ms for at_ms in self.recent_losses_ms if now_ms - at_ms < SIMULTANEOUS_LOSS_MS]
        recent_losses_ms.append(now_ms)
        self.recent_losses_ms = recent_losses_ms
        self.has_process_ended = disconnected and (len(recent_losses_ms) > 1 or not idle)
        return self.has_process_ended

    def is_silent(self, connect_ms: float) -> bool:
        """Whether nothing was heard since a failed connect began: what is sent there may run unheard.

        A new connection that does not come up proves that nothing ran. A connection left over from before a
        network cut takes the bytes and stays silent, after which a non-idempotent task can't be retried.

        Args:
            connect_ms: The time-out of a connect.
        """
        return not self.is_refusing and self.last_heard_at_ms < self.last_failure_at_ms - connect_ms

    def is_unreachable(self, connect_ms: float, *, disconnected: bool) -> bool:
        """Whether connects failed more than once and no open connection contradicts that.

        A single failure may be a connection that comes up late.

        Args:
            connect_ms: The time-out of a connect.
            disconnected: No connection to the host is up.
        """
        has_failed_again = self.failing_since_ms < self.last_failure_at_ms
        return has_failed_again and (disconnected if self.is_refusing else self.is_silent(connect_ms))

    def refusal_proof_ms(self) -> float:
        """How long connects must be refused, with no connection open, to prove that the process has ended."""
        if self.is_removed:
            return 0.0
        # A host that began to drain after we evicted its connection refuses as well, and the list may not
        # say so yet.
        if self.is_connection_evicted or (self.is_draining and not self.has_process_ended):
            return DRAINING_REFUSAL_PROOF_MS
        return REFUSAL_PROOF_MS

    def assess(
        self, now_ms: float, *, has_address: bool, has_connection: bool, quiet_limit_ms: float
    ) -> Assessment:
        """Weighs what is known of a host at which tasks stand.

        Args:
            now_ms: The time of the assessment.
            has_address: A machine list says where the host is.
            has_connection: There is a connection to it, up or coming up.
            quiet_limit_ms: How long the host may be quiet, by the number of allocators; at least QUIET_MS.
        """
        if not has_address:
            return _UNLISTED if now_ms - self.created_at_ms > UNLISTED_MS else _NO_ACTION
        if now_ms - self.refused_since_ms > self.refusal_proof_ms():
            return _REFUSED
        if self.is_refusing:
            dead = self._assess_refusing(now_ms)
            if dead is not None:
                return dead
        elif self.failing_since_ms < now_ms and now_ms - self.last_unsolicited_at_ms > UNREACHABLE_MS:
            if self.last_failure_at_ms - self.last_unsolicited_at_ms > UNREACHABLE_MS:
                return _UNREACHABLE
            return _CONNECT_NOW  # the connect before it may be nearly a second old
        if self.is_connection_evicted and self.failing_since_ms > now_ms:
            return _CONNECT if now_ms - self.last_unsolicited_at_ms > EVICTED_QUIET_MS else _NO_ACTION
        is_quiet = now_ms - self.last_unsolicited_at_ms > max(QUIET_MS, quiet_limit_ms)
        return _CONNECT if is_quiet or not has_connection or self.failing_since_ms < now_ms else _NO_ACTION

    def next_assessment_ms(self, *, has_address: bool, has_connection: bool, quiet_limit_ms: float) -> float:
        """The first time at which `assess` may ask for an action if nothing is observed until then.

        Before that time `assess`, called with the same arguments, asks for none. It is -NEVER where it may
        ask for one already.
        """
        if not has_address:
            return self.created_at_ms + UNLISTED_MS
        is_refused_after_removal = self.is_refusing and self.last_failure_at_ms > self.removed_at_ms
        if is_refused_after_removal or not (has_connection or self.is_connection_evicted):
            return -NEVER
        quiet_ms = EVICTED_QUIET_MS if self.is_connection_evicted else max(QUIET_MS, quiet_limit_ms)
        return min(
            self.refused_since_ms + self.refusal_proof_ms(),
            self.last_unsolicited_at_ms + UNREACHABLE_MS if self.is_refusing else NEVER,
            self.failing_since_ms,
            self.last_unsolicited_at_ms + quiet_ms,
        )

    def _assess_refusing(self, now_ms: float) -> Assessment | None:
        """The verdict on a host that refuses connections, if there is one besides how long it has done so."""
        if self.last_failure_at_ms > self.removed_at_ms:
            return _REMOVED
        if now_ms - self.last_unsolicited_at_ms > UNREACHABLE_MS:
            # A draining host takes no connection, and may end tasks without reporting it; a process may end
            # with a connection left open, silent. Health checks on it had a price and showed no ends.
            return _MUTE
        return None

"""Decides from the available evidence whether a host with placed tasks is dead, and which evidence to gather.

`FailureDetector` records what the connection pool observes of one host; `assess` evaluates it. The module
does no I/O and reads no clock: time is an argument, in milliseconds of the event loop's clock. An assessment
never causes a retry: the tasks of a host that is declared dead are reported to their clients as lost. A wrong
verdict abandons tasks that are still running; a late one exceeds the 8 s within which an end must be
reported.

    observation                                        verdict                             may be wrong about
    connections refused, none open                     dead after REFUSAL_PROOF_MS         a live host
    the same, and none ever was                        dead after UNREACHABLE_MS           tasks still running
    the same, while draining or replaced, or after     dead after                          tasks still running
    an eviction                                        DRAINING_REFUSAL_PROOF_MS
    refused since the list removed the host            dead                                an erroneous list
    refused, no unsolicited message on a connection    dead after UNREACHABLE_MS           tasks still running
    connects time out, no unsolicited message          dead after UNREACHABLE_MS and       a longer partition
                                                       a further failed connect
    quiet, not connected, or the last connect failed   none: open a connection
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

QUIET_MS = 1_000.0
"""A host with placed tasks that sends nothing unsolicited for so long is checked by a new connection."""

EVICTED_QUIET_MS = 3_000.0
"""Replaces QUIET_MS for a host whose connection was evicted: a release is due 8 s after its task's end."""

REFUSAL_PROOF_MS = 100.0
"""If connects have been refused for so long while none is open, the host's process has ended."""

UNREACHABLE_MS = 7_000.0
"""A host that has sent nothing unsolicited for so long, and to which no connection can be opened, is dead.

Behind a network partition its tasks may still run, and their clients would start second copies, so the time
is as long as the protocol permits: a release is due 8 s after a task's end, which may have followed the last
message at once; less a tick, a connect and the lag of the event loop."""

SIMULTANEOUS_LOSS_MS = 100.0
"""Connections that break within this time count as broken at one moment."""

DRAINING_REFUSAL_PROOF_MS = 2_500.0
"""Replaces REFUSAL_PROOF_MS where a refusal is weak evidence: the host is draining and its connections were
idle, or its only connection was evicted."""

NEVER = float("inf")
"""A time that is never reached; `-NEVER` is one that has always passed."""


class DetectorAction(Enum):
    """What the connection pool is to do about a host."""

    NOTHING = "nothing"
    CONNECT = "open a connection, when one is due"
    CONNECT_NOW = "open a connection now, which decides"
    DECLARE_DEAD = "its tasks have ended"


@dataclass(frozen=True, slots=True)
class Assessment:
    """An action and, where it is DECLARE_DEAD, the evidence for it."""

    action: DetectorAction
    reason: str = ""


_NO_ACTION = Assessment(DetectorAction.NOTHING)
_CONNECT = Assessment(DetectorAction.CONNECT)
_CONNECT_NOW = Assessment(DetectorAction.CONNECT_NOW)
_REFUSED = Assessment(DetectorAction.DECLARE_DEAD, "connections are refused")
_UNREACHABLE = Assessment(DetectorAction.DECLARE_DEAD, "no connection can be opened")
_REMOVED = Assessment(
    DetectorAction.DECLARE_DEAD, "the machine list has removed it, and connections are refused"
)
_NO_UNSOLICITED_MESSAGE = Assessment(
    DetectorAction.DECLARE_DEAD, "it sends nothing unsolicited, and connections are refused"
)


class FailureDetector:
    """Collects observations of one host and assesses whether it is dead.

    The `record_` methods take in observations; `assess` and `next_assessment_ms` only read them.
    """

    def __init__(self, now_ms: float) -> None:
        """Starts as if the host had sent a message at `now_ms`."""
        # From the machine list.
        self.is_removed = False
        self.is_replaced = False  # by the host that has its address now, in whose process its tasks run
        self.is_draining = False
        self.removed_at_ms = NEVER
        # From received data: bytes of any kind, and messages other than answers to health checks.
        self.last_heard_at_ms = now_ms
        self.last_unsolicited_at_ms = now_ms
        # From connects. Refusals count only while no connection is open.
        self.refused_since_ms = NEVER
        self.failing_since_ms = NEVER
        self.last_failure_at_ms = -NEVER
        self.is_refusing = False  # the last connect was refused, so the machine is reachable
        self.has_connected = False  # a connection was open at some time
        # From connections that ended.
        self.recent_losses_ms: list[float] = []
        self.has_process_ended = False  # the last connection broke as it does when a process ends
        self.is_connection_evicted = False  # its only connection was evicted to free the descriptor
        self.is_reported_unreachable = False  # the policy was notified that it can't be reached

    def record_removed(self, now_ms: float) -> None:
        """The machine list no longer names the host, or names it as removed."""
        if not self.is_removed:
            self.is_removed = True
            self.is_draining = False
            self.removed_at_ms = now_ms

    def record_replaced(self, now_ms: float) -> None:
        """The machine list names another host at its address.

        So the host counts as removed, but a refusal is that of the other one, which may be draining.
        """
        self.record_removed(now_ms)
        self.is_replaced = True
        self.removed_at_ms = NEVER

    def record_listed(self, *, draining: bool) -> None:
        """The machine list names the host as serving or as draining."""
        self.is_removed = self.is_replaced = False
        self.removed_at_ms = NEVER
        self.is_draining = draining

    def record_first_task(self, now_ms: float) -> None:
        """A task is placed on the host, on which none was: what was observed before tells nothing of it."""
        self.last_unsolicited_at_ms = now_ms
        self.refused_since_ms = NEVER

    def record_connected(self, now_ms: float) -> None:
        """A connection was opened: the host now sends the releases that are still unacknowledged."""
        self.last_heard_at_ms = now_ms
        self.last_unsolicited_at_ms = now_ms
        self.refused_since_ms = NEVER
        self.failing_since_ms = NEVER
        self.is_refusing = False
        self.has_connected = True
        self.has_process_ended = False
        self.is_connection_evicted = False

    def record_bytes(self, now_ms: float) -> None:
        """Bytes of any kind were received from the host."""
        self.last_heard_at_ms = now_ms

    def record_unsolicited_message(self, now_ms: float) -> None:
        """The host sent something other than the answer to a health check."""
        self.last_unsolicited_at_ms = now_ms

    def record_connect_failure(self, now_ms: float, *, refused: bool, disconnected: bool) -> None:
        """A connect failed.

        Args:
            now_ms: When it failed.
            refused: The machine refused it; otherwise it timed out.
            disconnected: No other connection to the host is up.
        """
        self.failing_since_ms = min(self.failing_since_ms, now_ms)
        self.last_failure_at_ms = now_ms
        self.is_refusing = refused
        self.refused_since_ms = min(self.refused_since_ms, now_ms) if refused and disconnected else NEVER

    def record_connection_lost(self, now_ms: float, *, idle: bool, disconnected: bool) -> bool:
        """A connection broke. Returns whether that shows that the host's process has ended.

        If all of several connections break at one moment the process has ended, even if the host is draining.
        The same holds for the last one, unless it was idle: a draining host accepts no new connection, so
        waiting longer brings no further evidence, and the release is due 1 s after the end. This is wrong if
        a live draining host loses its last connection to a reset: its tasks are reported lost.

        Args:
            now_ms: When it broke.
            idle: It was unused for so long that the host may have closed it as idle.
            disconnected: No other connection to the host is up.
        """
        self.has_connected = True
        recent_losses_ms = [at_ms for at_ms in self.recent_losses_ms if now_ms - at_ms < SIMULTANEOUS_LOSS_MS]
        recent_losses_ms.append(now_ms)
        self.recent_losses_ms = recent_losses_ms
        self.has_process_ended = disconnected and (len(recent_losses_ms) > 1 or not idle)
        return self.has_process_ended

    def is_silent(self, connect_ms: float) -> bool:
        """Whether nothing was received since a failed connect began: an attempt sent there may run unnoticed.

        A new connection that can't be opened proves that nothing ran. A connection from before a network
        partition accepts the bytes and stays silent, after which a non-idempotent task can't be retried.

        Args:
            connect_ms: The time-out of a connect.
        """
        return not self.is_refusing and self.last_heard_at_ms < self.last_failure_at_ms - connect_ms

    def is_unreachable(self, connect_ms: float, *, disconnected: bool) -> bool:
        """Whether connects failed more than once and no open connection contradicts that.

        A single failure may be a connect that is merely slow.

        Args:
            connect_ms: The time-out of a connect.
            disconnected: No connection to the host is up.
        """
        has_failed_again = self.failing_since_ms < self.last_failure_at_ms
        return has_failed_again and (disconnected if self.is_refusing else self.is_silent(connect_ms))

    def refusal_proof_ms(self) -> float:
        """How long connects must be refused, with no connection open, until the process counts as ended."""
        if self.is_removed and not self.is_replaced:
            return 0.0
        if not self.has_connected:
            return UNREACHABLE_MS
        # A host that began to drain after its connection was evicted refuses as well, and the machine list
        # may not show the drain yet.
        may_be_draining = self.is_draining or self.is_replaced
        if self.is_connection_evicted or (may_be_draining and not self.has_process_ended):
            return DRAINING_REFUSAL_PROOF_MS
        return REFUSAL_PROOF_MS

    def assess(
        self, now_ms: float, *, has_address: bool, has_connection: bool, quiet_limit_ms: float
    ) -> Assessment:
        """Assesses a host with placed tasks.

        Args:
            now_ms: The time of the assessment.
            has_address: A machine list gives the host's address.
            has_connection: A connection to it is open or being opened.
            quiet_limit_ms: How long the host may send nothing, by the number of allocators; at least
                QUIET_MS.
        """
        if not has_address:
            return _NO_ACTION  # its tasks have leases, see `task_leases.py`
        if now_ms - self.refused_since_ms > self.refusal_proof_ms():
            return _REFUSED
        if self.is_refusing:
            dead = self._assess_refusing(now_ms)
            if dead is not None:
                return dead
        elif self.failing_since_ms < now_ms and now_ms - self.last_unsolicited_at_ms > UNREACHABLE_MS:
            if self.last_failure_at_ms - self.last_unsolicited_at_ms > UNREACHABLE_MS:
                return _UNREACHABLE
            return _CONNECT_NOW  # the last connect may be nearly a second old
        if self.is_connection_evicted and self.failing_since_ms > now_ms:
            return _CONNECT if now_ms - self.last_unsolicited_at_ms > EVICTED_QUIET_MS else _NO_ACTION
        is_quiet = now_ms - self.last_unsolicited_at_ms > max(QUIET_MS, quiet_limit_ms)
        return _CONNECT if is_quiet or not has_connection or self.failing_since_ms < now_ms else _NO_ACTION

    def next_assessment_ms(self, *, has_address: bool, has_connection: bool, quiet_limit_ms: float) -> float:
        """The first time at which `assess` may request an action if nothing is observed until then.

        Before that time `assess`, called with the same arguments, requests none. The result is -NEVER if it
        may request one already.
        """
        if not has_address:
            return NEVER
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
        """The verdict on a host that refuses connections, by evidence other than how long it has refused."""
        if self.last_failure_at_ms > self.removed_at_ms:
            return _REMOVED
        if now_ms - self.last_unsolicited_at_ms > UNREACHABLE_MS:
            # A draining host accepts no connection and may end tasks without reporting it, and a process may
            # end and leave a silent connection open. Health checks on that connection cost messages and did
            # not reveal the end of tasks.
            return _NO_UNSOLICITED_MESSAGE
        return None

"""Whether a host with standing tasks lives: what was seen of it, and what that is evidence of.

No I/O, no clock: time is an argument, milliseconds. `platform_server/connection_pool.py` tells it
what its links see and does what
`look` says. Nothing of it sends anything again: what it calls over is told to owners as lost, so a wrong word
costs the rest of tasks that ran on, and a late one breaks the 8 s in which an end has to be told.

    seen                                                  then                       could be wrong about
    no list names it                                      over after UNLISTED        a list that is late
    refused, no link open                                 over after REFUSED         a host that takes none
    the same, where it drains or we gave its link up      over after DRAIN_REFUSED   tasks that go on
    refused since the list calls it gone                  over                       a list that errs
    refused, nothing of its own on open links             over after NEVER_UP        tasks left undisturbed
    nothing comes up, unheard                             over after NEVER_UP,       a cut that lasts longer
                                                          and a last try after that
    quiet, or no link, or the last try failed             looked at"""

from __future__ import annotations

from enum import Enum

QUIET_MS = 1_000.0  # a host with standing tasks that says nothing for so long is tried by a new connection
EVICTED_QUIET_MS = (
    3_000.0  # then a host without a link is heard again: its releases are due 8 s after the end
)
REFUSAL_PROOF_MS = 100.0  # connections refused for so long end what stands there
# So does silence since a host was last heard, while no connection comes up. Its tasks may run on behind a
# cut, and their owners would ask for second ones: so it is as long as the page allows. A release is due 8 s
# after a task's end, which may have come as soon as we last heard; less a sweep, a try and the lag of a loop.
UNREACHABLE_MS = 7_000.0
SIMULTANEOUS_LOSS_MS = 100.0  # links that break within this break together
DRAINING_REFUSAL_PROOF_MS = (
    2_500.0  # at one that drains, its links idle or given up: a refusal says little there
)
UNLISTED_MS = 5_000.0  # what was handed over at a host that no list names is over after this
NEVER = float("inf")


class DetectorAction(Enum):
    NOTHING = "nothing"
    CONNECT = "open a connection, when one is due"
    CONNECT_NOW = "open a connection now: it decides"
    DECLARE_DEAD = "what stands there has ended"


class FailureDetector:
    """What was seen of one host."""

    def __init__(self, now: float) -> None:
        self.created_at_ms = now
        self.is_removed = self.is_draining = False  # by the list
        self.removed_at_ms = NEVER  # since when
        self.last_heard_at_ms = self.last_unsolicited_at_ms = (
            now  # anything; of itself, which is not an answer to a test
        )
        self.refused_since_ms = self.failing_since_ms = (
            NEVER  # since when, with no link open; since when tries fail
        )
        self.last_failure_at_ms = -NEVER  # the last try that failed
        self.is_refusing = False  # the last try: its machine is there
        self.recent_losses_ms: list[float] = []  # when its last links broke
        self.has_process_ended = False  # the last of its links broke, as when a process ends
        self.is_connection_evicted = False  # its only link was, for want of descriptors
        self.is_reported_unreachable = False  # the module was told that it can't be reached

    def record_removed(self, now: float) -> None:
        """The list names it no more, or as gone."""
        if not self.is_removed:
            self.is_removed, self.is_draining, self.removed_at_ms = True, False, now

    def record_listed(self, draining: bool) -> None:
        self.is_removed, self.removed_at_ms, self.is_draining = False, NEVER, draining

    def record_connected(self, now: float) -> None:
        """A connection came up: what the host owed us comes now."""
        self.last_heard_at_ms = self.last_unsolicited_at_ms = now
        self.refused_since_ms = self.failing_since_ms = NEVER
        self.is_refusing = self.has_process_ended = self.is_connection_evicted = False

    def record_bytes(self, now: float) -> None:
        """Bytes of it came, of whatever kind."""
        self.last_heard_at_ms = now

    def record_unsolicited_message(self, now: float) -> None:
        """It said something of itself, which an answer to a test is not."""
        self.last_unsolicited_at_ms = now

    def record_connect_failure(self, now: float, refused: bool, alone: bool) -> None:
        """A try failed; `alone`: no link is up."""
        self.failing_since_ms, self.last_failure_at_ms, self.is_refusing = (
            min(self.failing_since_ms, now),
            now,
            refused,
        )
        self.refused_since_ms = min(self.refused_since_ms, now) if refused and alone else NEVER

    def record_connection_lost(self, now: float, idle: bool, alone: bool) -> bool:
        """A link broke, idle for so long that the host may have closed it or not; whether its process fell.

        All of several links at one moment is a process that ended, also where the host drains. So is the last
        one, unless it was idle: a host that drains takes no new connection, waiting longer brings no other
        word, and its release is due 1 s after the end. It may do harm where a single reset meets a host that
        drains and lives: its tasks are told lost."""
        self.recent_losses_ms = [at for at in self.recent_losses_ms if now - at < SIMULTANEOUS_LOSS_MS] + [
            now
        ]
        self.has_process_ended = alone and (len(self.recent_losses_ms) > 1 or not idle)
        return self.has_process_ended

    def is_silent(self, connect_ms: float) -> bool:
        """Nothing was heard since a try that failed began: what is sent on a link there may run unheard.

        A new connection that does not come up proves that nothing ran; a link left over from before a cut
        takes the bytes and keeps its silence, which ends an unsafe task."""
        return not self.is_refusing and self.last_heard_at_ms < self.last_failure_at_ms - connect_ms

    def is_unreachable(self, connect_ms: float, alone: bool) -> bool:
        """Tries fail, not for the first time, and no link tells otherwise: a set-up would come to nothing.

        One failure alone may be a connection that comes up late."""
        again = self.failing_since_ms < self.last_failure_at_ms
        return again and (alone if self.is_refusing else self.is_silent(connect_ms))

    def refusal_proof_ms(self) -> float:
        """How long connections must be refused, with no link open, to tell that its process has ended."""
        if self.is_removed:
            return 0.0
        # One that began to drain after we gave up its link refuses as well, and the list may not tell it yet.
        return (
            DRAINING_REFUSAL_PROOF_MS
            if self.is_connection_evicted or (self.is_draining and not self.has_process_ended)
            else REFUSAL_PROOF_MS
        )

    def assess(self, now: float, addressed: bool, linked: bool, look_ms: float) -> tuple[DetectorAction, str]:
        """What to do about a host where tasks stand, and why it is over where it is.

        `addressed`: a list tells where it is; `linked`: there is a link, up or coming up; `look_ms`: how long
        it may be quiet, by how many look at it."""
        if not addressed:
            return (
                (DetectorAction.DECLARE_DEAD, "no list names it")
                if now - self.created_at_ms > UNLISTED_MS
                else (DetectorAction.NOTHING, "")
            )
        if now - self.refused_since_ms > self.refusal_proof_ms():
            return DetectorAction.DECLARE_DEAD, "connections are refused"
        if self.is_refusing:
            found = self._assess_refusing(now)
            if found is not None:
                return found
        elif self.failing_since_ms < now and now - self.last_unsolicited_at_ms > UNREACHABLE_MS:
            if self.last_failure_at_ms - self.last_unsolicited_at_ms > UNREACHABLE_MS:
                return DetectorAction.DECLARE_DEAD, "no connection comes up"
            return DetectorAction.CONNECT_NOW, ""  # one before it may be nearly a second old
        if self.is_connection_evicted and self.failing_since_ms > now:
            return (
                DetectorAction.CONNECT
                if now - self.last_unsolicited_at_ms > EVICTED_QUIET_MS
                else DetectorAction.NOTHING
            ), ""
        due = (
            now - self.last_unsolicited_at_ms > max(QUIET_MS, look_ms)
            or not linked
            or self.failing_since_ms < now
        )
        return (DetectorAction.CONNECT if due else DetectorAction.NOTHING), ""

    def next_assessment_ms(self, addressed: bool, linked: bool, look_ms: float) -> float:
        """The first instant at which `look`, so asked, may say anything but NOTHING if nothing is seen until
        then. Before every instant that it gives, `look` says NOTHING; -NEVER where it may say so already."""
        if not addressed:
            return self.created_at_ms + UNLISTED_MS
        if (
            not linked
            and not self.is_connection_evicted
            or (self.is_refusing and self.last_failure_at_ms > self.removed_at_ms)
        ):
            return -NEVER
        silent = self.last_unsolicited_at_ms + UNREACHABLE_MS if self.is_refusing else NEVER
        quiet = self.last_unsolicited_at_ms + (
            EVICTED_QUIET_MS if self.is_connection_evicted else max(QUIET_MS, look_ms)
        )
        return min(self.refused_since_ms + self.refusal_proof_ms(), silent, self.failing_since_ms, quiet)

    def _assess_refusing(self, now: float) -> tuple[DetectorAction, str] | None:
        if self.last_failure_at_ms > self.removed_at_ms:
            return DetectorAction.DECLARE_DEAD, "the list calls it gone, and connections are refused"
        if now - self.last_unsolicited_at_ms > UNREACHABLE_MS:
            # One that drains takes no connection, and may end tasks without a word of it; a process may end
            # with a link left open, silent. Testing it on that link had a price and told no ends.
            return DetectorAction.DECLARE_DEAD, "it says nothing by itself, and connections are refused"
        return None

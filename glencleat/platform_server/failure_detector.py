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
HEAR_MS = 3_000.0  # then a host without a link is heard again: its releases are due 8 s after the end
REFUSED_MS = 100.0  # connections refused for so long end what stands there
# So does silence since a host was last heard, while no connection comes up. Its tasks may run on behind a
# cut, and their owners would ask for second ones: so it is as long as the page allows. A release is due 8 s
# after a task's end, which may have come as soon as we last heard; less a sweep, a try and the lag of a loop.
NEVER_UP_MS = 7_000.0
AT_ONCE_MS = 100.0  # links that break within this break together
DRAIN_REFUSED_MS = 2_500.0  # at one that drains, its links idle or given up: a refusal says little there
UNLISTED_MS = 5_000.0  # what was handed over at a host that no list names is over after this
NEVER = float("inf")


class DetectorAction(Enum):
    NOTHING = "nothing"
    LOOK = "open a connection, when one is due"
    LAST = "open a connection now: it decides"
    OVER = "what stands there has ended"


class FailureDetector:
    """What was seen of one host."""

    def __init__(self, now: float) -> None:
        self.since = now
        self.gone = self.draining = False  # by the list
        self.gone_at = NEVER  # since when
        self.heard = self.spoke = now  # anything; of itself, which is not an answer to a test
        self.refused = self.failing = NEVER  # since when, with no link open; since when tries fail
        self.failed_at = -NEVER  # the last try that failed
        self.refusing = False  # the last try: its machine is there
        self.broke: list[float] = []  # when its last links broke
        self.fell = False  # the last of its links broke, as when a process ends
        self.given_up = False  # its only link was, for want of descriptors
        self.away = False  # the module was told that it can't be reached

    def leaves(self, now: float) -> None:
        """The list names it no more, or as gone."""
        if not self.gone:
            self.gone, self.draining, self.gone_at = True, False, now

    def listed(self, draining: bool) -> None:
        self.gone, self.gone_at, self.draining = False, NEVER, draining

    def up(self, now: float) -> None:
        """A connection came up: what the host owed us comes now."""
        self.heard = self.spoke = now
        self.refused = self.failing = NEVER
        self.refusing = self.fell = self.given_up = False

    def hears(self, now: float) -> None:
        """Bytes of it came, of whatever kind."""
        self.heard = now

    def speaks(self, now: float) -> None:
        """It said something of itself, which an answer to a test is not."""
        self.spoke = now

    def fails(self, now: float, refused: bool, alone: bool) -> None:
        """A try failed; `alone`: no link is up."""
        self.failing, self.failed_at, self.refusing = min(self.failing, now), now, refused
        self.refused = min(self.refused, now) if refused and alone else NEVER

    def breaks(self, now: float, idle: bool, alone: bool) -> bool:
        """A link broke, idle for so long that the host may have closed it or not; whether its process fell.

        All of several links at one moment is a process that ended, also where the host drains. So is the last
        one, unless it was idle: a host that drains takes no new connection, waiting longer brings no other
        word, and its release is due 1 s after the end. It may do harm where a single reset meets a host that
        drains and lives: its tasks are told lost."""
        self.broke = [at for at in self.broke if now - at < AT_ONCE_MS] + [now]
        self.fell = alone and (len(self.broke) > 1 or not idle)
        return self.fell

    def silent(self, connect_ms: float) -> bool:
        """Nothing was heard since a try that failed began: what is sent on a link there may run unheard.

        A new connection that does not come up proves that nothing ran; a link left over from before a cut
        takes the bytes and keeps its silence, which ends an unsafe task."""
        return not self.refusing and self.heard < self.failed_at - connect_ms

    def unreached(self, connect_ms: float, alone: bool) -> bool:
        """Tries fail, not for the first time, and no link tells otherwise: a set-up would come to nothing.

        One failure alone may be a connection that comes up late."""
        again = self.failing < self.failed_at
        return again and (alone if self.refusing else self.silent(connect_ms))

    def proof_ms(self) -> float:
        """How long connections must be refused, with no link open, to tell that its process has ended."""
        if self.gone:
            return 0.0
        # One that began to drain after we gave up its link refuses as well, and the list may not tell it yet.
        return DRAIN_REFUSED_MS if self.given_up or (self.draining and not self.fell) else REFUSED_MS

    def look(self, now: float, addressed: bool, linked: bool, look_ms: float) -> tuple[DetectorAction, str]:
        """What to do about a host where tasks stand, and why it is over where it is.

        `addressed`: a list tells where it is; `linked`: there is a link, up or coming up; `look_ms`: how long
        it may be quiet, by how many look at it."""
        if not addressed:
            return (
                (DetectorAction.OVER, "no list names it")
                if now - self.since > UNLISTED_MS
                else (DetectorAction.NOTHING, "")
            )
        if now - self.refused > self.proof_ms():
            return DetectorAction.OVER, "connections are refused"
        if self.refusing:
            found = self._refusing(now)
            if found is not None:
                return found
        elif self.failing < now and now - self.spoke > NEVER_UP_MS:
            if self.failed_at - self.spoke > NEVER_UP_MS:
                return DetectorAction.OVER, "no connection comes up"
            return DetectorAction.LAST, ""  # one before it may be nearly a second old
        if self.given_up and self.failing > now:
            return (DetectorAction.LOOK if now - self.spoke > HEAR_MS else DetectorAction.NOTHING), ""
        due = now - self.spoke > max(QUIET_MS, look_ms) or not linked or self.failing < now
        return (DetectorAction.LOOK if due else DetectorAction.NOTHING), ""

    def due(self, addressed: bool, linked: bool, look_ms: float) -> float:
        """The first instant at which `look`, so asked, may say anything but NOTHING if nothing is seen until
        then. Before every instant that it gives, `look` says NOTHING; -NEVER where it may say so already."""
        if not addressed:
            return self.since + UNLISTED_MS
        if not linked and not self.given_up or (self.refusing and self.failed_at > self.gone_at):
            return -NEVER
        silent = self.spoke + NEVER_UP_MS if self.refusing else NEVER
        quiet = self.spoke + (HEAR_MS if self.given_up else max(QUIET_MS, look_ms))
        return min(self.refused + self.proof_ms(), silent, self.failing, quiet)

    def _refusing(self, now: float) -> tuple[DetectorAction, str] | None:
        if self.failed_at > self.gone_at:
            return DetectorAction.OVER, "the list calls it gone, and connections are refused"
        if now - self.spoke > NEVER_UP_MS:
            # One that drains takes no connection, and may end tasks without a word of it; a process may end
            # with a link left open, silent. Testing it on that link had a price and told no ends.
            return DetectorAction.OVER, "it says nothing by itself, and connections are refused"
        return None

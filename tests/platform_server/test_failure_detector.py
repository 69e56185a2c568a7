"""Which evidence declares a host dead: every order of observations of one, explored at small scope."""

import math
from dataclasses import dataclass
from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glencleat.platform_server.failure_detector import NEVER, UNREACHABLE_MS, DetectorAction, FailureDetector

TICK_MS, STEP_MS, RETRY_MS, CONNECT_MS, REPORT_DUE_MS = 200.0, 1_000.0, 1_000.0, 250.0, 8_000.0


@dataclass(frozen=True)
class Phase:
    """A second of a host: what connects meet, what it says, whether its connection stays, what the list says."""

    connects: str  # up, refused, nothing (no answer)
    says: str  # own, tests (answers health checks), nothing
    stays_connected: bool  # an open connection stays; else it breaks at the start
    listed: str  # serving, draining, gone


PHASES = [Phase(*p) for p in product(("up", "refused", "nothing"), ("own", "tests", "nothing"), (True, False),
                                     ("serving", "draining", "gone"))]  # fmt: skip


class DetectorRun:
    """One host's detector, driven as the pool drives it: a tick each 200 ms, connects at most a second apart."""

    def __init__(self):
        self.now = 0.0
        self.detector = FailureDetector(0.0)
        self.is_up = True
        self.next_connect_at = 0.0
        # The last sign that its releases reach us: an unsolicited message, or a connection that came up.
        self.last_sign_at = 0.0
        self.pending_connects = []  # at most one: when it ends, and how

    def begin(self, phase):
        if phase.listed == "gone":
            self.detector.record_removed(self.now)
        else:
            self.detector.record_listed(draining=phase.listed == "draining")
        if self.is_up and not phase.stays_connected:
            self.is_up = False
            if self.detector.record_connection_lost(self.now, idle=False, disconnected=True):
                self.next_connect_at = self.now

    def tick(self, phase):
        """The assessment of one tick."""
        self.now += TICK_MS
        while self.pending_connects and self.pending_connects[0][0] <= self.now:
            at, how = self.pending_connects.pop()
            if how == "up":
                self.is_up = True
                self.last_sign_at = at
                self.detector.record_connected(at)
            else:
                self.detector.record_connect_failure(
                    at, refused=how == "refused", disconnected=not self.is_up
                )
                self.next_connect_at = at + RETRY_MS
        if self.is_up and phase.says == "own":
            self.last_sign_at = self.now
            self.detector.record_bytes(self.now)
            self.detector.record_unsolicited_message(self.now)
        assessment = self.detector.assess(
            self.now,
            has_address=True,
            has_connection=self.is_up or bool(self.pending_connects),
            quiet_limit_ms=500.0,
        )
        action = assessment.action
        if self.is_up and phase.says == "tests":  # those of the policy: the detector makes none
            self.detector.record_bytes(self.now)
        if action is DetectorAction.CONNECT_NOW:
            self.next_connect_at = self.now
        if (
            action in (DetectorAction.CONNECT, DetectorAction.CONNECT_NOW)
            and not self.pending_connects
            and self.now >= self.next_connect_at
        ):
            takes = {"up": 1.0, "refused": 1.0, "nothing": CONNECT_MS}[phase.connects]
            self.pending_connects.append((self.now + takes, phase.connects))
        return assessment


@pytest.mark.parametrize("end", [Phase(t, s, link, "draining") for t in ("refused", "nothing")
                                 for s in ("tests", "nothing") for link in (True, False)], ids=str)  # fmt: skip
def test_an_end_that_is_never_told_is_known_in_time(end):
    """After any two seconds of a host, its tasks end and nothing says so: it is over 8 s after its last word."""
    for before in product(PHASES, repeat=2):
        run, over = DetectorRun(), None
        for phase in before:
            run.begin(phase)
            for _ in range(int(STEP_MS / TICK_MS)):
                over = over or run.tick(phase).action is DetectorAction.DECLARE_DEAD
        if over:
            continue  # it was given up before
        run.begin(end)
        while run.tick(end).action is not DetectorAction.DECLARE_DEAD:
            assert run.now - run.last_sign_at < REPORT_DUE_MS, (before, run.detector.__dict__)


def test_a_host_that_is_heard_on_an_open_link_is_never_over():
    """Not even where it refuses connections, as one that drains does; unless the list calls it gone."""
    tried = 0
    for before in product(PHASES, repeat=3):
        run, over = DetectorRun(), False
        for phase in before:
            run.begin(phase)
            for _ in range(int(STEP_MS / TICK_MS)):
                assessment = run.tick(phase)
                is_dead = assessment.action is DetectorAction.DECLARE_DEAD
                over |= is_dead
                heard = run.is_up and phase.says == "own" and phase.listed != "gone"
                tried += heard
                assert not (heard and is_dead), (before, assessment.reason)
            if over:
                break
    assert tried > 100_000


def test_what_only_answers_tests_is_heard_and_tells_no_ends():
    """The full fleet test broke 'lost' on it: each answer began 4 + 2.5 s anew."""
    run = DetectorRun()
    drains = Phase("refused", "tests", True, "draining")
    run.begin(drains)
    while run.tick(drains).action is not DetectorAction.DECLARE_DEAD:
        assert run.now < REPORT_DUE_MS
    assert run.now >= UNREACHABLE_MS and run.detector.last_heard_at_ms > run.now - 4_000.0


@pytest.mark.parametrize(("gone", "ms"), [(False, 8_000.0), (True, 1_600.0)])
def test_a_refusal_after_the_list_called_it_gone_is_enough(gone, ms):
    """A link that its process left open says nothing more; refusals from before say that it drained."""
    run, drains = DetectorRun(), Phase("refused", "nothing", True, "draining")
    run.begin(drains)
    for _ in range(10):
        assert run.tick(drains).action is not DetectorAction.DECLARE_DEAD
    ends = Phase("refused", "nothing", True, "gone" if gone else "draining")
    run.begin(ends)
    began = run.now
    while run.tick(ends).action is not DetectorAction.DECLARE_DEAD:
        assert run.now - began < ms
    assert gone == (run.now - began < 1_600.0)


def test_what_the_list_says_waits_for_a_refusal_of_its_own():
    detector = FailureDetector(0.0)
    detector.record_listed(draining=True)
    detector.record_connect_failure(1_000.0, refused=True, disconnected=False)
    detector.record_removed(1_100.0)
    assert (
        detector.assess(1_200.0, has_address=True, has_connection=True, quiet_limit_ms=500.0).action
        is not DetectorAction.DECLARE_DEAD
    )
    detector.record_connect_failure(1_300.0, refused=True, disconnected=False)
    assert (
        detector.assess(1_400.0, has_address=True, has_connection=True, quiet_limit_ms=500.0).action
        is DetectorAction.DECLARE_DEAD
    )


def test_a_quiet_host_that_takes_connections_is_not_over_at_its_first_refusal():
    detector = FailureDetector(0.0)
    for at in range(1_000, 20_000, 1_000):
        detector.record_connected(float(at))
    detector.record_connect_failure(20_000.0, refused=True, disconnected=False)
    assert (
        detector.assess(20_100.0, has_address=True, has_connection=True, quiet_limit_ms=500.0).action
        is DetectorAction.CONNECT
    )


@pytest.mark.parametrize(
    ("drains", "idle", "least_ms", "most_ms"),
    [
        pytest.param(True, True, 2_500.0, 2_800.0, id="draining, idle"),
        pytest.param(True, False, 100.0, 400.0, id="draining, in use"),
        pytest.param(False, True, 100.0, 400.0, id="serving, idle"),
    ],
)
def test_a_draining_host_whose_idle_connection_ends_is_dead_in_seconds_and_others_at_once(
    drains, idle, least_ms, most_ms
):
    detector = FailureDetector(0.0)
    detector.record_listed(draining=drains)
    detector.record_connection_lost(0.0, idle=idle, disconnected=True)
    asked = {"has_address": True, "has_connection": False, "quiet_limit_ms": 500.0}
    # A release may have been on its way.
    assert detector.assess(1.0, **asked).action is DetectorAction.CONNECT
    detector.record_connect_failure(10.0, refused=True, disconnected=True)
    dead_at = next(
        at
        for at in range(0, 3_000, 50)
        if detector.assess(10.0 + at, **asked).action is DetectorAction.DECLARE_DEAD
    )
    assert least_ms < dead_at <= most_ms


@pytest.mark.parametrize(
    ("refused", "disconnected", "is_heard", "is_unreachable"),
    [
        pytest.param(False, False, False, True, id="no answer"),
        pytest.param(False, False, True, False, id="no answer, heard on a connection"),
        pytest.param(True, False, False, False, id="refused beside a connection"),
        pytest.param(True, True, False, True, id="refused without a connection"),
    ],
)
def test_a_host_is_unreachable_after_two_failed_connects_that_nothing_contradicts(
    refused, disconnected, is_heard, is_unreachable
):
    """A connection may come up late, and a refusal beside a connection that lives is a drain."""
    detector = FailureDetector(0.0)
    detector.record_connect_failure(1_000.0, refused=refused, disconnected=disconnected)
    assert not detector.is_unreachable(CONNECT_MS, disconnected=disconnected)
    if is_heard:
        detector.record_bytes(1_900.0)
        detector.record_unsolicited_message(1_900.0)
    detector.record_connect_failure(2_000.0, refused=refused, disconnected=disconnected)
    assert detector.is_unreachable(CONNECT_MS, disconnected=disconnected) is is_unreachable
    detector.record_connected(2_100.0)
    assert not detector.is_unreachable(CONNECT_MS, disconnected=disconnected)


def assert_next_assessment_is_exact(detector, now, has_address, has_connection, quiet_limit_ms):
    """`assess` asks for NOTHING at every instant before `next_assessment_ms`, and for something just after."""
    asked = {"has_address": has_address, "has_connection": has_connection, "quiet_limit_ms": quiet_limit_ms}
    due = detector.next_assessment_ms(**asked)
    at = lambda when: detector.assess(when, **asked).action  # noqa: E731
    told = (now, now + 1.0, now + 199.0, (now + due) / 2.0, due - 1.0, math.nextafter(due, -NEVER))
    said = [(when, at(when)) for when in told if now <= when < due and when < NEVER]
    assert all(do is DetectorAction.NOTHING for _, do in said), (said, due, vars(detector))
    if due < NEVER:
        assert at(max(due + 0.01, now)) is not DetectorAction.NOTHING, (due, vars(detector))
    else:
        assert at(now + 1e9) is DetectorAction.NOTHING, vars(detector)


def test_before_it_is_due_a_look_would_have_said_nothing():
    """After any two seconds of a host and at each sweep of a third, however it is asked."""
    asked = list(product((True, False), (True, False), (500.0, 3_000.0), (True, False)))
    states = set()
    for before in product(PHASES, repeat=3):
        run = DetectorRun()
        for number, phase in enumerate(before):
            run.begin(phase)
            for _ in range(int(STEP_MS / TICK_MS)):
                if run.tick(phase).action is DetectorAction.DECLARE_DEAD:
                    break
                detector = run.detector
                state = (run.now, detector.created_at_ms, detector.is_removed, detector.is_draining, detector.removed_at_ms, detector.last_unsolicited_at_ms, detector.refused_since_ms,
                         detector.failing_since_ms, detector.last_failure_at_ms, detector.is_refusing, detector.has_process_ended)  # fmt: skip
                if number < 2 or state in states:
                    continue
                states.add(state)
                for addressed, linked, look_ms, given_up in asked:
                    kept, detector.is_connection_evicted = detector.is_connection_evicted, given_up
                    assert_next_assessment_is_exact(detector, run.now, addressed, linked, look_ms)
                    detector.is_connection_evicted = kept
    assert len(states) > 1_000


SEEN = st.sampled_from(["leaves", "serves", "drains", "up", "says", "answers", "refused", "refused alone", "nothing",
                        "nothing alone", "breaks", "breaks idle", "breaks alone", "given up"])  # fmt: skip


@given(
    st.lists(st.tuples(st.floats(0.0, 9_000.0), SEEN), max_size=20),
    st.booleans(),
    st.booleans(),
    st.floats(0.0, 3_000.0),
)
def test_due_by_drawn_histories(seen, addressed, linked, look_ms):
    now, detector = 0.0, FailureDetector(0.0)
    for ms, what in seen:
        now += ms
        match what.split():
            case ["leaves"]:
                detector.record_removed(now)
            case ["serves"] | ["drains"]:
                detector.record_listed(draining=what == "drains")
            case ["up"]:
                detector.record_connected(now)
            case ["says"] | ["answers"]:
                detector.record_bytes(now)
                if what == "says":
                    detector.record_unsolicited_message(now)
            case ["refused" | "nothing" as how, *alone]:
                detector.record_connect_failure(now, refused=how == "refused", disconnected=bool(alone))
            case ["breaks", *how]:
                detector.record_connection_lost(now, idle=how == ["idle"], disconnected=how == ["alone"])
            case _:
                detector.is_connection_evicted = True
        assert_next_assessment_is_exact(detector, math.nextafter(now, NEVER), addressed, linked, look_ms)

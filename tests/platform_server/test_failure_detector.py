"""The evidence by which a host is declared dead: all short sequences of observations, explored
exhaustively."""

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
    """One second of a host: how connects end, what it sends, whether its connection stays, its listed
    phase."""

    connects: str  # up, refused, nothing (they time out)
    sends: str  # own (unsolicited messages), tests (answers to health checks), nothing
    stays_connected: bool  # an open connection stays; otherwise it breaks at the start
    listed: str  # serving, draining, gone


PHASES = [Phase(*p) for p in product(("up", "refused", "nothing"), ("own", "tests", "nothing"), (True, False),
                                     ("serving", "draining", "gone"))]  # fmt: skip


class DetectorRun:
    """Drives a detector as the pool does: ticks every 200 ms, connects at most a second apart."""

    def __init__(self):
        self.now = 0.0
        self.detector = FailureDetector(0.0)
        self.is_up = True
        self.next_connect_at = 0.0
        # The last sign that its releases arrive: an unsolicited message, or a connection that opened.
        self.last_sign_at = 0.0
        self.pending_connects = []  # at most one, as (time at which it ends, how)

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
        """Runs one tick and returns its assessment."""
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
        if self.is_up and phase.sends == "own":
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
        if (
            self.is_up and phase.sends == "tests"
        ):  # answers to the policy's health checks: the detector makes none
            self.detector.record_bytes(self.now)
        if action is DetectorAction.CONNECT_NOW:
            self.next_connect_at = self.now
        if (
            action in (DetectorAction.CONNECT, DetectorAction.CONNECT_NOW)
            and not self.pending_connects
            and self.now >= self.next_connect_at
        ):
            connect_duration_ms = {"up": 1.0, "refused": 1.0, "nothing": CONNECT_MS}[phase.connects]
            self.pending_connects.append((self.now + connect_duration_ms, phase.connects))
        return assessment


@pytest.mark.parametrize("end", [Phase(connects, sends, stays, "draining") for connects in ("refused", "nothing")
                                 for sends in ("tests", "nothing") for stays in (True, False)], ids=str)  # fmt: skip
def test_an_end_that_is_never_told_is_known_in_time(end):
    """After any two seconds of a host its tasks end without a report: it is dead within 8 s of its last
    message."""
    for before in product(PHASES, repeat=2):
        run, is_dead = DetectorRun(), None
        for phase in before:
            run.begin(phase)
            for _ in range(int(STEP_MS / TICK_MS)):
                is_dead = is_dead or run.tick(phase).action is DetectorAction.DECLARE_DEAD
        if is_dead:
            continue  # declared dead before
        run.begin(end)
        while run.tick(end).action is not DetectorAction.DECLARE_DEAD:
            assert run.now - run.last_sign_at < REPORT_DUE_MS, (before, run.detector.__dict__)


def test_a_host_that_sends_unsolicited_messages_is_never_declared_dead():
    """Not even if it refuses connections, as a draining host does; unless the machine list has removed it."""
    checked_count = 0
    for before in product(PHASES, repeat=3):
        run, was_dead = DetectorRun(), False
        for phase in before:
            run.begin(phase)
            for _ in range(int(STEP_MS / TICK_MS)):
                assessment = run.tick(phase)
                is_dead = assessment.action is DetectorAction.DECLARE_DEAD
                was_dead |= is_dead
                heard = run.is_up and phase.sends == "own" and phase.listed != "gone"
                checked_count += heard
                assert not (heard and is_dead), (before, assessment.reason)
            if was_dead:
                break
    assert checked_count > 100_000


def test_answers_to_health_checks_do_not_show_that_tasks_run():
    """In the full fleet test each answer restarted a wait of 4 + 2.5 s, which violated its `lost` criterion."""
    run = DetectorRun()
    draining = Phase("refused", "tests", True, "draining")
    run.begin(draining)
    while run.tick(draining).action is not DetectorAction.DECLARE_DEAD:
        assert run.now < REPORT_DUE_MS
    assert run.now >= UNREACHABLE_MS and run.detector.last_heard_at_ms > run.now - 4_000.0


@pytest.mark.parametrize(("is_removed", "limit_ms"), [(False, 8_000.0), (True, 1_600.0)])
def test_one_refusal_after_the_list_removed_the_host_is_enough(is_removed, limit_ms):
    """A connection that the ended process left open stays silent; earlier refusals only show that it
    drained."""
    run, draining = DetectorRun(), Phase("refused", "nothing", True, "draining")
    run.begin(draining)
    for _ in range(10):
        assert run.tick(draining).action is not DetectorAction.DECLARE_DEAD
    ends = Phase("refused", "nothing", True, "gone" if is_removed else "draining")
    run.begin(ends)
    began = run.now
    while run.tick(ends).action is not DetectorAction.DECLARE_DEAD:
        assert run.now - began < limit_ms
    assert is_removed == (run.now - began < 1_600.0)


def test_a_removal_by_the_list_requires_a_later_refusal():
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


def test_a_quiet_host_that_accepted_connections_is_not_dead_at_its_first_refusal():
    detector = FailureDetector(0.0)
    for at in range(1_000, 20_000, 1_000):
        detector.record_connected(float(at))
    detector.record_connect_failure(20_000.0, refused=True, disconnected=False)
    assert (
        detector.assess(20_100.0, has_address=True, has_connection=True, quiet_limit_ms=500.0).action
        is DetectorAction.CONNECT
    )


@pytest.mark.parametrize(
    ("is_draining", "is_idle", "min_ms", "max_ms"),
    [
        pytest.param(True, True, 2_500.0, 2_800.0, id="draining, idle"),
        pytest.param(True, False, 100.0, 400.0, id="draining, in use"),
        pytest.param(False, True, 100.0, 400.0, id="serving, idle"),
    ],
)
def test_a_draining_host_whose_idle_connection_ends_is_dead_in_seconds_and_others_at_once(
    is_draining, is_idle, min_ms, max_ms
):
    detector = FailureDetector(0.0)
    detector.record_listed(draining=is_draining)
    detector.record_connection_lost(0.0, idle=is_idle, disconnected=True)
    asked = {"has_address": True, "has_connection": False, "quiet_limit_ms": 500.0}
    # A release may have been in transit.
    assert detector.assess(1.0, **asked).action is DetectorAction.CONNECT
    detector.record_connect_failure(10.0, refused=True, disconnected=True)
    dead_at = next(
        at
        for at in range(0, 3_000, 50)
        if detector.assess(10.0 + at, **asked).action is DetectorAction.DECLARE_DEAD
    )
    assert min_ms < dead_at <= max_ms


@pytest.mark.parametrize(
    ("refused", "disconnected", "is_heard", "is_unreachable"),
    [
        pytest.param(False, False, False, True, id="no answer"),
        pytest.param(False, False, True, False, id="no answer, data received on a connection"),
        pytest.param(True, False, False, False, id="refused beside a connection"),
        pytest.param(True, True, False, True, id="refused without a connection"),
    ],
)
def test_a_host_is_unreachable_after_two_failed_connects_that_nothing_contradicts(
    refused, disconnected, is_heard, is_unreachable
):
    """A connection may open late, and a refusal while another connection is open shows a drain."""
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
    """`assess` requests NOTHING at any time before `next_assessment_ms`, and an action just after it."""
    arguments = {
        "has_address": has_address,
        "has_connection": has_connection,
        "quiet_limit_ms": quiet_limit_ms,
    }
    due = detector.next_assessment_ms(**arguments)
    action_at = lambda when: detector.assess(when, **arguments).action  # noqa: E731
    times = (now, now + 1.0, now + 199.0, (now + due) / 2.0, due - 1.0, math.nextafter(due, -NEVER))
    early_actions = [(when, action_at(when)) for when in times if now <= when < due and when < NEVER]
    assert all(action is DetectorAction.NOTHING for _, action in early_actions), (
        early_actions,
        due,
        vars(detector),
    )
    if due < NEVER:
        assert action_at(max(due + 0.01, now)) is not DetectorAction.NOTHING, (due, vars(detector))
    else:
        assert action_at(now + 1e9) is DetectorAction.NOTHING, vars(detector)


def test_the_next_assessment_time_is_exact_after_every_short_sequence():
    """After any two seconds of a host and at each tick of a third, for all combinations of arguments."""
    argument_combinations = list(product((True, False), (True, False), (500.0, 3_000.0), (True, False)))
    states = set()
    for before in product(PHASES, repeat=3):
        run = DetectorRun()
        for number, phase in enumerate(before):
            run.begin(phase)
            for _ in range(int(STEP_MS / TICK_MS)):
                if run.tick(phase).action is DetectorAction.DECLARE_DEAD:
                    break
                detector = run.detector
                state = (run.now, detector.is_removed, detector.is_draining, detector.removed_at_ms, detector.last_unsolicited_at_ms, detector.refused_since_ms,
                         detector.failing_since_ms, detector.last_failure_at_ms, detector.is_refusing, detector.has_process_ended)  # fmt: skip
                if number < 2 or state in states:
                    continue
                states.add(state)
                for has_address, has_connection, quiet_limit_ms, is_evicted in argument_combinations:
                    original, detector.is_connection_evicted = detector.is_connection_evicted, is_evicted
                    assert_next_assessment_is_exact(
                        detector, run.now, has_address, has_connection, quiet_limit_ms
                    )
                    detector.is_connection_evicted = original
    assert len(states) > 1_000


OBSERVATIONS = st.sampled_from(["leaves", "serves", "drains", "up", "says", "answers", "refused", "refused alone", "nothing",
                        "nothing alone", "breaks", "breaks idle", "breaks alone", "given up"])  # fmt: skip


@given(
    st.lists(st.tuples(st.floats(0.0, 9_000.0), OBSERVATIONS), max_size=20),
    st.booleans(),
    st.booleans(),
    st.floats(0.0, 3_000.0),
)
def test_the_next_assessment_time_is_exact_after_random_sequences(
    observations, has_address, has_connection, quiet_limit_ms
):
    now, detector = 0.0, FailureDetector(0.0)
    for ms, what in observations:
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
        assert_next_assessment_is_exact(
            detector, math.nextafter(now, NEVER), has_address, has_connection, quiet_limit_ms
        )

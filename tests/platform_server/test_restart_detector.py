"""The evidence by which a host that was unreachable counts as started again, and by which it doesn't."""

from itertools import permutations

import pytest

from glencleat.platform_server.failure_detector import NEVER, UNREACHABLE_MS
from glencleat.platform_server.restart_detector import MIN_OUTAGE_MS, RestartDetector

LAST_SIGN_MS, BACK_MS = 100.0, 6_000.0
VERDICT_MS = LAST_SIGN_MS + UNREACHABLE_MS


def make_detector(*connections):
    detector = RestartDetector()
    detector.begin_outage(LAST_SIGN_MS, connections)
    return detector


OBSERVATIONS = {
    "back": lambda detector: detector.record_reconnected(BACK_MS),
    "first is reset": lambda detector: detector.record_ended("first", was_reset=True),
    "second is reset": lambda detector: detector.record_ended("second", was_reset=True),
    "first is closed": lambda detector: detector.record_ended("first", was_reset=False),
    "bytes on second": lambda detector: detector.record_received("second"),
    "bytes on another": lambda detector: detector.record_received("another"),
    "a task from before": lambda detector: detector.record_task_message(50.0),
    "a task from after": lambda detector: detector.record_task_message(BACK_MS + 1.0),
}
RESTARTED = {"back", "first is reset", "second is reset"}
CONTRARY = {"first is closed", "bytes on second", "a task from before"}


@pytest.mark.parametrize("count", [0, 1, 2, 3, 4])
def test_every_order_of_up_to_four_observations(count):
    """A verdict takes the reset of all connections from before, in any order, and no sign of the process."""
    for names in permutations(OBSERVATIONS, count):
        detector = make_detector("first", "second")
        for name in names:
            OBSERVATIONS[name](detector)
        seen = set(names)
        # What a connection says after its reset is impossible; a task from "after" needs the return first.
        is_possible = not (
            ("bytes on second" in seen and "second is reset" in seen)
            or ("first is closed" in seen and "first is reset" in seen)
            or ("a task from after" in seen and "back" not in names[: names.index("a task from after")])
        )
        if not is_possible:
            continue
        is_shown = seen >= RESTARTED and not CONTRARY & seen
        assert detector.find_restart_ms(VERDICT_MS) is None, names
        assert detector.find_restart_ms(VERDICT_MS + 1.0) == (BACK_MS if is_shown else None), names
        assert detector.verdict_due_ms == (VERDICT_MS if is_shown else NEVER), names


def test_a_short_absence_is_no_outage():
    detector = make_detector("first")
    assert detector.record_reconnected(LAST_SIGN_MS + MIN_OUTAGE_MS - 1.0) == []
    detector.record_ended("first", was_reset=True)
    assert detector.find_restart_ms(NEVER) is None


def test_health_checks_are_sent_once_and_on_the_connections_from_before_alone():
    detector = make_detector("first", "second")
    detector.record_ended("first", was_reset=True)
    assert detector.record_reconnected(BACK_MS) == ["second"]
    assert detector.record_reconnected(BACK_MS + 1_000.0) == []


def test_a_second_outage_counts_from_the_first():
    """The tasks placed between the two connections ran in the new process."""
    detector = make_detector("first")
    detector.record_reconnected(BACK_MS)
    detector.begin_outage(BACK_MS, ["second"])
    detector.record_reconnected(BACK_MS + 4_000.0)
    detector.record_ended("first", was_reset=True)
    assert detector.find_restart_ms(VERDICT_MS + 1.0) == BACK_MS


def test_without_a_connection_from_before_nothing_is_shown():
    detector = make_detector()
    assert detector.record_reconnected(BACK_MS) == [] and detector.verdict_due_ms == NEVER

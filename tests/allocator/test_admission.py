"""Admission: a rejection names its limit, and a non-idempotent task that may have run does not start twice."""

import pytest

from glencleat import interface as api
from glencleat.allocator import admission
from glencleat.allocator.call_table import Attempt, FinalAnswer
from glencleat.allocator.status_mapping import AttemptStep
from tests.support.calls import make_call


def test_a_rejection_names_the_limit():
    limits = admission.AdmissionLimits(max_open_tasks=10, max_open_tasks_per_framework=5, max_known_calls=20)
    idle = admission.AdmissionLoad(0, 0, 0, False, False)
    assert admission.check_limits(idle, limits) is None
    for load, expected_text in (
        (admission.AdmissionLoad(10, 0, 0, False, False), "at most 10"),
        (admission.AdmissionLoad(0, 5, 0, False, False), "at most 5"),
        (admission.AdmissionLoad(0, 0, 20, False, False), "at most 20"),
        (admission.AdmissionLoad(0, 0, 0, True, False), "unacknowledged"),
        (admission.AdmissionLoad(0, 0, 0, False, True), "shutting down"),
    ):
        assert expected_text in admission.check_limits(load, limits)


@pytest.mark.parametrize(
    ("step", "has_run", "expected"),
    [
        (AttemptStep.ENDED, False, None),
        (AttemptStep.ENDED, None, "never"),
        (AttemptStep.DISPATCHED, None, "never"),
        (AttemptStep.RUNNING, None, "never"),
    ],
)
def test_a_non_idempotent_task_starts_again_only_if_it_never_ran(step, has_run, expected):
    previous = make_call()
    previous.final_answer, previous.is_closed = FinalAnswer.FAILED, True
    previous.attempts.append(Attempt(previous, 0, "h", "a", step=step, is_concluded=True, has_run=has_run))
    assert admission.classify_repeat(previous) == expected
    previous.idempotency = api.Idempotency.IDEMPOTENT
    assert admission.classify_repeat(previous) is None

"""Admission: the limit that rejects a task is named, and a task that may have run does not start twice."""

import pytest

from glencleat import interface as api
from glencleat.allocator import admission
from glencleat.allocator.call_table import Attempt, FinalAnswer
from glencleat.allocator.status_mapping import AttemptStep
from tests.support.calls import make_call


def test_admission_names_the_limit():
    limits = admission.AdmissionLimits(max_open_tasks=10, max_open_tasks_per_framework=5, max_known_calls=20)
    free = admission.AdmissionLoad(0, 0, 0, False, False)
    assert admission.check_limits(free, limits) is None
    for load, named in (
        (admission.AdmissionLoad(10, 0, 0, False, False), "at most 10"),
        (admission.AdmissionLoad(0, 5, 0, False, False), "at most 5"),
        (admission.AdmissionLoad(0, 0, 20, False, False), "at most 20"),
        (admission.AdmissionLoad(0, 0, 0, True, False), "unacknowledged"),
        (admission.AdmissionLoad(0, 0, 0, False, True), "shutting down"),
    ):
        assert named in admission.check_limits(load, limits)


@pytest.mark.parametrize(
    ("step", "ran", "told"),
    [
        (AttemptStep.ENDED, False, None),
        (AttemptStep.ENDED, None, "never"),
        (AttemptStep.DISPATCHED, None, "never"),
        (AttemptStep.RUNNING, None, "never"),
    ],
)
def test_an_unsafe_task_starts_again_only_if_it_never_ran(step, ran, told):
    before = make_call()
    before.final_answer, before.is_closed = FinalAnswer.FAILED, True
    before.attempts.append(Attempt(before, 0, "h", "a", step=step, is_concluded=True, has_run=ran))
    assert admission.classify_repeat(before) == told
    before.idempotency = api.Idempotency.IDEMPOTENT
    assert admission.classify_repeat(before) is None

"""Admission: the limit that rejects a task is named, and a task that may have run does not start twice."""

import pytest

from glencleat import interface as api
from glencleat.allocator import admission
from glencleat.allocator.call_table import Attempt, FinalAnswer
from glencleat.allocator.status_mapping import AttemptStep
from tests.support.calls import make_call


def test_admission_names_the_limit():
    limits = admission.AdmissionLimits(open_most=10, open_each=5, placed_most=20)
    free = admission.AdmissionLoad(0, 0, 0, False, False)
    assert admission.refuses(free, limits) is None
    for load, named in (
        (admission.AdmissionLoad(10, 0, 0, False, False), "at most 10"),
        (admission.AdmissionLoad(0, 5, 0, False, False), "at most 5"),
        (admission.AdmissionLoad(0, 0, 20, False, False), "at most 20"),
        (admission.AdmissionLoad(0, 0, 0, True, False), "unacknowledged"),
        (admission.AdmissionLoad(0, 0, 0, False, True), "shutting down"),
    ):
        assert named in admission.refuses(load, limits)


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
    before.given, before.over = FinalAnswer.FAILED, True
    before.attempts.append(Attempt(before, 0, "h", "a", step=step, back=True, ran=ran))
    assert admission.repeats(before) == told
    before.effect = api.Idempotency.IDEMPOTENT
    assert admission.repeats(before) is None

"""Mapping between Mesos task states and outcomes: no status promises more than is known."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glencleat import interface as api
from glencleat.allocator import status_mapping
from glencleat.allocator.status_mapping import (
    AttemptStep,
    ExecutionStatus,
    RetryAdvice,
    StatusReason,
    TaskState,
)


@given(st.lists(st.sampled_from(ExecutionStatus)))
def test_a_task_never_ran_only_if_no_attempt_did(statuses):
    combined = status_mapping.combine_execution_statuses(statuses)
    is_never_ran = all(status is ExecutionStatus.NEVER_RAN for status in statuses)
    assert (combined is ExecutionStatus.NEVER_RAN) == is_never_ran
    if ExecutionStatus.RUNNING in statuses:
        assert combined is ExecutionStatus.RUNNING


@pytest.mark.parametrize("state", TaskState)
def test_only_dropped_and_error_mean_that_nothing_ran(state):
    meaning = status_mapping.read_status(state.value, None, None)
    if meaning is not None and meaning.step is AttemptStep.ENDED:
        assert meaning.may_have_run == (state.value not in ("TASK_DROPPED", "TASK_ERROR"))
        assert (meaning.outcome is api.Outcome.REJECTED) == (not meaning.may_have_run)
    else:
        assert meaning is None or meaning.may_have_run


@pytest.mark.parametrize(
    ("cause", "reason"),
    [
        ("cores", api.OutcomeReason.INSUFFICIENT_CORES),
        ("line", api.OutcomeReason.QUEUE_FULL),
        ("odd", api.OutcomeReason.UNSPECIFIED),
        (None, api.OutcomeReason.UNSPECIFIED),
    ],
)
def test_the_cause_label_gives_the_reason_of_a_rejection(cause, reason):
    assert status_mapping.read_status("TASK_DROPPED", None, cause).reason is reason


@pytest.mark.parametrize(
    ("state", "reason", "expected"),
    [
        ("TASK_FAILED", "REASON_CONTAINER_LIMITATION_MEMORY", api.OutcomeReason.EVICTED),
        ("TASK_FAILED", "REASON_CONTAINER_PREEMPTED", api.OutcomeReason.PREEMPTED),
        ("TASK_FAILED", "REASON_AGENT_DRAINING", api.OutcomeReason.UNSPECIFIED),
        ("TASK_KILLED", "REASON_AGENT_DRAINING", api.OutcomeReason.DRAINED),
        ("TASK_KILLED", None, api.OutcomeReason.UNSPECIFIED),
    ],
)
def test_the_status_reason_gives_the_reason_of_an_end(state, reason, expected):
    assert status_mapping.read_status(state, reason, None).reason is expected


def test_a_rejection_promises_that_nothing_ran_only_if_known():
    assert status_mapping.rejection_answer(may_have_run=False).state == "TASK_DROPPED"
    assert status_mapping.rejection_answer(may_have_run=True).state == "TASK_LOST"


def test_a_failure_advises_its_client_to_reconcile():
    assert status_mapping.failure_answer().retry_advice is RetryAdvice.RECONCILE


def test_reconciliation_calls_a_retry_harmless_only_if_nothing_ran():
    harmless = {
        execution
        for execution in (*ExecutionStatus, None)
        if status_mapping.reconciliation_answer(execution).retry_advice is RetryAdvice.HARMLESS
    }
    assert harmless == {ExecutionStatus.NEVER_RAN}


def test_reconciliation_distinguishes_an_accepted_task_from_a_running_one():
    accepted = status_mapping.reconciliation_answer(ExecutionStatus.RUNNING, is_accepted=True)
    running = status_mapping.reconciliation_answer(ExecutionStatus.RUNNING)
    assert (accepted.state, running.state) == ("TASK_STARTING", "TASK_RUNNING")
    assert accepted.reason is StatusReason.RECONCILIATION

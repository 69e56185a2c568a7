"""Decisions about uncertain attempts: complete tables, and none treats a possible run as no run."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glencleat import interface as api
from glencleat.allocator import delivery_status
from glencleat.allocator.call_table import FinalAnswer
from glencleat.allocator.delivery_status import (
    DeliveryAction,
    DeliveryStatus,
    LateAcceptance,
    LateAcceptanceCase,
)
from glencleat.allocator.status_mapping import AttemptStep


@given(st.integers(0, 100), st.integers(0, 100), st.integers(1, 50))
def test_a_record_is_sent_only_with_its_last_byte(written, begin, length):
    delivery = delivery_status.classify_delivery(written, begin, begin + length)
    assert (delivery is DeliveryStatus.SENT) == (written >= begin + length)
    assert (delivery is DeliveryStatus.NOT_SENT) == (written <= begin)


def test_every_combination_has_a_decision():
    assert set(delivery_status.SESSION_LOST_DECISIONS) == set(
        itertools.product(DeliveryStatus, api.Idempotency)
    )
    assert set(delivery_status.TIMEOUT_DECISIONS) == set(DeliveryStatus)
    assert set(delivery_status.NOT_LISTED_DECISIONS) == set(itertools.product(AttemptStep, (True, False)))


@pytest.mark.parametrize("idempotency", api.Idempotency)
@pytest.mark.parametrize("step", AttemptStep)
@pytest.mark.parametrize("delivery", DeliveryStatus)
def test_a_lost_session_never_reports_a_sent_attempt_as_not_run(step, delivery, idempotency):
    decision = delivery_status.decide_on_session_lost(step, delivery, idempotency)
    if decision.action is DeliveryAction.CONCLUDE and delivery is DeliveryStatus.SENT:
        assert decision.may_have_run
        assert decision.outcome is api.Outcome.LOST
        assert idempotency is api.Idempotency.IDEMPOTENT
    if step is AttemptStep.DISPATCHED and delivery is not DeliveryStatus.SENT:
        assert decision.action is DeliveryAction.CONCLUDE
        assert not decision.may_have_run
    if step is not AttemptStep.DISPATCHED:
        assert decision.action is DeliveryAction.WAIT


@pytest.mark.parametrize("step", AttemptStep)
@pytest.mark.parametrize("delivery", DeliveryStatus)
def test_a_timeout_closes_the_session_of_an_attempt_not_sent_in_full(step, delivery):
    decision = delivery_status.decide_on_timeout(step, delivery)
    assert (decision.action is DeliveryAction.IGNORE) == (step is not AttemptStep.DISPATCHED)
    if step is AttemptStep.DISPATCHED:
        is_sent = delivery is DeliveryStatus.SENT
        assert (decision.action is DeliveryAction.CLOSE_SESSION) == (not is_sent)
        assert decision.may_have_run == is_sent


@pytest.mark.parametrize("step", [AttemptStep.DISPATCHED, AttemptStep.ACCEPTED, AttemptStep.RUNNING])
@pytest.mark.parametrize("is_same", [True, False], ids=["same incarnation", "new incarnation"])
def test_only_the_same_incarnation_proves_that_it_never_had_a_task(step, is_same):
    not_listed = delivery_status.decide_on_resubscribe(step, is_listed=False, is_same_incarnation=is_same)
    assert not_listed.may_have_run == (not (step is AttemptStep.DISPATCHED and is_same))
    listed = delivery_status.decide_on_resubscribe(step, is_listed=True, is_same_incarnation=is_same)
    assert listed.action is DeliveryAction.IGNORE


@pytest.mark.parametrize(
    ("case", "expected"),
    [
        pytest.param(
            LateAcceptanceCase(answer=FinalAnswer.FAILED, was_placed=False),
            LateAcceptance.ADOPT,
            id="client was answered failed",
        ),
        pytest.param(
            LateAcceptanceCase(answer=FinalAnswer.PLACED, was_placed=True),
            LateAcceptance.ADOPT,
            id="placed task of an agent that subscribed again",
        ),
        pytest.param(
            LateAcceptanceCase(answer=FinalAnswer.PLACED, was_placed=False),
            LateAcceptance.KILL,
            id="duplicate of a task that ended elsewhere",
        ),
        pytest.param(
            LateAcceptanceCase(answer=FinalAnswer.REJECTED, was_placed=False),
            LateAcceptance.KILL,
            id="client was answered rejected",
        ),
        pytest.param(
            LateAcceptanceCase(answer=FinalAnswer.FAILED, was_placed=True, has_other_dispatched=True),
            LateAcceptance.KILL,
            id="another attempt dispatched",
        ),
        pytest.param(
            LateAcceptanceCase(answer=FinalAnswer.FAILED, was_placed=True, has_other_placed=True),
            LateAcceptance.KILL,
            id="another attempt placed",
        ),
        pytest.param(
            LateAcceptanceCase(answer=FinalAnswer.FAILED, was_placed=True, is_framework_gone=True),
            LateAcceptance.KILL,
            id="client gone",
        ),
    ],
)
def test_late_acceptance_adopts_only_a_task_that_its_client_still_tracks(case, expected):
    assert delivery_status.decide_late_acceptance(case) is expected


@pytest.mark.parametrize(
    ("is_live_elsewhere", "expected"), [(False, LateAcceptance.ADOPT), (True, LateAcceptance.KILL)]
)
def test_an_unknown_task_is_adopted_unless_another_attempt_is_live(is_live_elsewhere, expected):
    assert delivery_status.decide_unknown_task(is_live_elsewhere=is_live_elsewhere) is expected

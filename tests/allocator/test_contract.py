"""The contract between the core and the policy, checked in both directions."""

import pytest

from glencleat import interface as api
from glencleat.allocator.contract import ContractChecker, ContractError


class ScriptedModule:
    """A policy that returns the actions it was given."""

    def __init__(self):
        self.actions = []

    def handle(self, now, event):
        return self.actions


def make_checker():
    module = ScriptedModule()
    return module, ContractChecker(module)


def handle(checker, module, event, *actions, now=0.0):
    module.actions = list(actions)
    checker.handle(now, event)


REQUESTED = api.PlacementRequested(1, "c", "s", 1.0, 1.0, 100.0)
REJECTED = api.Outcome.REJECTED


def test_a_correct_caller_passes_and_its_calls_are_forgotten():
    module, checker = make_checker()
    handle(checker, module, REQUESTED, api.Bind(1, "h"))
    handle(checker, module, api.AttemptEnded(1, 0, "h", REJECTED, 1.0, False), api.Bind(1, "g"))
    handle(checker, module, api.AttemptAccepted(1, 1, "g", 1.0))
    handle(checker, module, api.AttemptEnded(1, 1, "g", api.Outcome.COMPLETED, 1.0, True))
    handle(checker, module, api.PlacementRequested(2, "c", "s", 1.0, 1.0, machine="h"))
    handle(
        checker, module, api.AttemptEnded(2, 0, "h", api.Outcome.COMPLETED, 1.0, True), api.SetTimer(1.0, 0)
    )
    handle(checker, module, api.TimerFired(0))
    assert checker.calls_by_id == {}


@pytest.mark.parametrize(
    ("event", "expected_text"),
    [
        (api.AttemptEnded(1, 1, "h", REJECTED, 1.0, False), "count from 0"),
        (api.AttemptAccepted(1, 1, "h", 1.0), "count from 0"),
        (api.AttemptEnded(1, 0, "g", REJECTED, 1.0, False), "bound to h"),
        (api.AttemptAccepted(1, 0, "h", -1.0), "elapsed_ms"),
        (api.AttemptEnded(9, 0, "h", REJECTED, 1.0, False), "never requested"),
        (api.CallAbandoned(9), "never requested"),
        (REQUESTED, "requested twice"),
        (api.PlacementRequested(2, "c", "s", 1.0, 1.0), "remaining_ms"),
        (api.TimerFired(0), "without a SetTimer"),
        (api.ProbeEnded("h", REJECTED), "without a Probe"),
    ],
)
def test_a_mistake_of_the_caller_raises(event, expected_text):
    module, checker = make_checker()
    handle(checker, module, REQUESTED, api.Bind(1, "h"))
    with pytest.raises(ContractError, match=expected_text):
        handle(checker, module, event)


def test_a_repeated_acceptance_and_a_clock_that_goes_back_raise():
    module, checker = make_checker()
    handle(checker, module, REQUESTED, api.Bind(1, "h"), now=5.0)
    handle(checker, module, api.AttemptAccepted(1, 0, "h", 1.0), now=5.0)
    with pytest.raises(ContractError, match="twice"):
        handle(checker, module, api.AttemptAccepted(1, 0, "h", 1.0), now=5.0)
    with pytest.raises(ContractError, match="must close the call"):
        handle(checker, module, api.AttemptEnded(1, 0, "h", REJECTED, 1.0, False), now=5.0)
    with pytest.raises(ContractError, match="went back"):
        handle(checker, module, api.CallAbandoned(1), now=4.0)


@pytest.mark.parametrize(
    ("actions", "expected_text"),
    [
        ([api.Bind(1, "h"), api.Bind(1, "g")], "while attempt 0 is in flight"),
        ([api.Bind(1, "h"), api.Reject(1)], "while attempt 0 is in flight"),
        ([api.Reject(1), api.Fail(1)], "after its final answer"),
        ([api.Fail(1), api.Bind(1, "h")], "after its final answer"),
        ([api.Bind(7, "h")], "after its final answer"),
    ],
)
def test_a_mistake_of_the_policy_raises(actions, expected_text):
    module, checker = make_checker()
    with pytest.raises(ContractError, match=expected_text):
        handle(checker, module, REQUESTED, *actions)

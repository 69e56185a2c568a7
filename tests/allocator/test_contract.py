"""The contract between the core and the decision module, checked on both sides."""

import pytest

from glencleat import interface as api
from glencleat.allocator.contract import ContractChecker, ContractError


class Says:
    """A module that answers what it is told to."""

    def __init__(self):
        self.actions = []

    def handle(self, now, event):
        return self.actions


def contract():
    module = Says()
    return module, ContractChecker(module)


def tell(contract, module, event, *actions, now=0.0):
    module.actions = list(actions)
    contract.handle(now, event)


ASKED = api.PlacementRequested(1, "c", "s", 1.0, 1.0, 100.0)
BACK = api.Outcome.REJECTED


def test_a_right_caller_is_let_be_and_forgotten():
    module, checked = contract()
    tell(checked, module, ASKED, api.Bind(1, "h"))
    tell(checked, module, api.AttemptEnded(1, 0, "h", BACK, 1.0, False), api.Bind(1, "g"))
    tell(checked, module, api.AttemptAccepted(1, 1, "g", 1.0))
    tell(checked, module, api.AttemptEnded(1, 1, "g", api.Outcome.COMPLETED, 1.0, True))
    tell(checked, module, api.PlacementRequested(2, "c", "s", 1.0, 1.0, machine="h"))
    tell(checked, module, api.AttemptEnded(2, 0, "h", api.Outcome.COMPLETED, 1.0, True), api.SetTimer(1.0, 0))
    tell(checked, module, api.TimerFired(0))
    assert checked.calls_by_id == {}


@pytest.mark.parametrize(
    ("event", "named"),
    [
        (api.AttemptEnded(1, 1, "h", BACK, 1.0, False), "count from 0"),
        (api.AttemptAccepted(1, 1, "h", 1.0), "count from 0"),
        (api.AttemptEnded(1, 0, "g", BACK, 1.0, False), "bound to h"),
        (api.AttemptAccepted(1, 0, "h", -1.0), "spent_ms"),
        (api.AttemptEnded(9, 0, "h", BACK, 1.0, False), "never asked"),
        (api.CallAbandoned(9), "never asked"),
        (ASKED, "Asked twice"),
        (api.PlacementRequested(2, "c", "s", 1.0, 1.0), "left_ms"),
        (api.TimerFired(0), "without a SetTimer"),
        (api.ProbeEnded("h", BACK), "without a Probe"),
    ],
)
def test_a_mistaken_caller_is_told(event, named):
    module, checked = contract()
    tell(checked, module, ASKED, api.Bind(1, "h"))
    with pytest.raises(ContractError, match=named):
        tell(checked, module, event)


def test_double_words_and_a_clock_that_goes_back():
    module, checked = contract()
    tell(checked, module, ASKED, api.Bind(1, "h"), now=5.0)
    tell(checked, module, api.AttemptAccepted(1, 0, "h", 1.0), now=5.0)
    with pytest.raises(ContractError, match="twice"):
        tell(checked, module, api.AttemptAccepted(1, 0, "h", 1.0), now=5.0)
    with pytest.raises(ContractError, match="must be over"):
        tell(checked, module, api.AttemptEnded(1, 0, "h", BACK, 1.0, False), now=5.0)
    with pytest.raises(ContractError, match="went back"):
        tell(checked, module, api.CallAbandoned(1), now=4.0)


@pytest.mark.parametrize(
    ("actions", "named"),
    [
        ([api.Bind(1, "h"), api.Bind(1, "g")], "while attempt 0 is out"),
        ([api.Bind(1, "h"), api.Reject(1)], "while attempt 0 is out"),
        ([api.Reject(1), api.Fail(1)], "after its answer"),
        ([api.Fail(1), api.Bind(1, "h")], "after its answer"),
        ([api.Bind(7, "h")], "after its answer"),
    ],
)
def test_a_mistaken_module_is_told_too(actions, named):
    module, checked = contract()
    with pytest.raises(ContractError, match=named):
        tell(checked, module, ASKED, *actions)

"""The states of a call: each allowed event leads where the table says, every other one is an error."""

import itertools

import pytest

from glencleat.platform_protocol.setup_calls import (
    TRANSITIONS,
    SetupCall,
    SetupEvent,
    SetupState,
    SetupStateError,
)
from tests.support.exchange_world import Owner

PAIRS = sorted(itertools.product(SetupState, SetupEvent), key=lambda pair: (pair[0].name, pair[1].name))
FORBIDDEN = [pair for pair in PAIRS if pair not in TRANSITIONS]


def call_in(state):
    return SetupCall(call_id=1, setup=None, client=Owner(), state=state)


@pytest.mark.parametrize(("state", "event"), TRANSITIONS, ids=lambda member: member.name)
def test_allowed_event_leads_to_the_state_of_the_table(state, event):
    call = call_in(state)
    call.apply(event)
    assert call.state is TRANSITIONS[state, event]


@pytest.mark.parametrize(("state", "event"), FORBIDDEN, ids=lambda member: member.name)
def test_forbidden_event_is_an_error_and_changes_nothing(state, event):
    call = call_in(state)
    with pytest.raises(SetupStateError) as raised:
        call.apply(event)
    assert (raised.value.state, raised.value.event) == (state, event)
    assert call.state is state


def test_closed_call_allows_no_event():
    assert {pair for pair in FORBIDDEN if pair[0] is SetupState.CLOSED} == {
        (SetupState.CLOSED, event) for event in SetupEvent
    }

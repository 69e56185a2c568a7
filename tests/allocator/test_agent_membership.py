"""Membership of agents: subscriptions, heartbeats, time-outs and the limit on the number of agents."""

import itertools

import pytest

from glencleat.allocator.agent_membership import (
    TRANSITIONS,
    AgentEvent,
    AgentLimitError,
    AgentMembership,
    AgentState,
    split_executor_id,
)


@pytest.fixture
def members():
    return AgentMembership(heartbeat_ms=1_000.0, max_missed_heartbeats=3, reregistration_timeout_ms=5_000.0)


def ids(members):
    return [member.id for member in members]


def test_an_agent_goes_from_subscribed_to_away_to_lost_and_comes_back(members):
    first = object()
    second = object()
    assert not members.subscribe("h", "r1", first, 0.0).is_same_incarnation
    assert members.record_heartbeat("h", "r1", 900.0)
    assert not members.record_heartbeat("h", "r0", 900.0)
    assert members.find_unresponsive(3_900.0) == []
    assert ids(members.find_unresponsive(3_901.0)) == ["h"]
    assert members.close_session("h", first, 4_000.0)
    assert not members.close_session("h", first, 4_001.0)
    assert not members.record_heartbeat("h", "r1", 4_100.0)
    assert members.mark_lost(9_000.0) == []
    assert ids(members.mark_lost(9_001.0)) == ["h"]
    assert members.mark_lost(9_999.0) == []
    subscription = members.subscribe("h", "r1", second, 10_000.0)
    assert subscription.is_same_incarnation
    assert subscription.replaced_session is None
    assert subscription.member.state is AgentState.SUBSCRIBED


def test_a_newer_session_replaces_the_open_one(members):
    first = object()
    second = object()
    members.subscribe("h", "r1", second, 10_000.0)
    replaced = members.subscribe("h", "r2", first, 10_001.0)
    assert replaced.replaced_session is second
    assert not replaced.is_same_incarnation
    assert replaced.member.incarnation_count == 2
    # The end of the replaced session does not close the new one.
    assert not members.close_session("h", second, 10_002.0)


def test_an_executor_id_is_split_at_its_last_dot():
    assert split_executor_id("h07") == ("h07", "")
    assert split_executor_id("rack.1.r9") == ("rack.1", "r9")


def test_an_unnamed_incarnation_is_never_the_same(members):
    members.subscribe("h", "", object(), 0.0)
    assert not members.subscribe("h", "", object(), 1.0).is_same_incarnation


def test_a_full_membership_evicts_only_lost_agents():
    members = AgentMembership(
        heartbeat_ms=1_000.0, max_missed_heartbeats=3, reregistration_timeout_ms=100.0, max_agents=2
    )
    session = object()
    members.subscribe("a", "r", session, 0.0)
    members.subscribe("b", "r", object(), 0.0)
    with pytest.raises(AgentLimitError, match="2 agents are known") as raised:
        members.subscribe("c", "r", object(), 0.0)
    assert raised.value.max_agents == 2
    members.close_session("a", session, 0.0)
    members.mark_lost(200.0)
    members.subscribe("c", "r", object(), 200.0)
    assert set(members.members_by_agent) == {"b", "c"}


@pytest.mark.parametrize(("state", "event"), list(itertools.product(AgentState, AgentEvent)))
def test_a_transition_is_listed_or_impossible(members, state, event):
    member = members.subscribe("h", "r1", object(), 0.0).member
    member.state = state
    if (state, event) in TRANSITIONS:
        member.apply(event, 7.0)
        assert (member.state, member.state_since_ms) == (TRANSITIONS[state, event], 7.0)
    else:
        with pytest.raises(KeyError):
            member.apply(event, 7.0)
        assert (member.state, member.state_since_ms) == (state, 0.0)

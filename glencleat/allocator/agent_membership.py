"""Membership of agents: their sessions, heartbeats and time-outs, without I/O or a clock.

An agent is identified by its id, and each start of its process is an incarnation with its own name (the
ExecutorID is `AGENT.INCARNATION`). An agent has at most one current session, the newest. `TRANSITIONS` is the
state machine of a member. The current time is passed in; times are in milliseconds on the event loop's clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

from glencleat.allocator.errors import AllocatorError
from glencleat.allocator.session_stream import SessionStream

DEFAULT_MAX_AGENTS = 20_000


class AgentState(Enum):
    """Membership state of an agent."""

    SUBSCRIBED = "subscribed"  # a session is open
    AWAY = "away"  # its session ended; it may resubscribe with its tasks
    LOST = "lost"  # away for longer than the time-out: its tasks are reported as unreachable


class AgentEvent(Enum):
    """Event that changes the state of an agent."""

    SUBSCRIBE = "subscribe"
    SESSION_CLOSED = "session closed"
    REREGISTRATION_TIMEOUT = "reregistration timeout"


# An event that has no entry for a state can't happen in that state.
TRANSITIONS: Mapping[tuple[AgentState, AgentEvent], AgentState] = MappingProxyType(
    {
        # A newer session replaces the open one.
        (AgentState.SUBSCRIBED, AgentEvent.SUBSCRIBE): AgentState.SUBSCRIBED,
        (AgentState.SUBSCRIBED, AgentEvent.SESSION_CLOSED): AgentState.AWAY,
        (AgentState.AWAY, AgentEvent.SUBSCRIBE): AgentState.SUBSCRIBED,
        (AgentState.AWAY, AgentEvent.REREGISTRATION_TIMEOUT): AgentState.LOST,
        (AgentState.LOST, AgentEvent.SUBSCRIBE): AgentState.SUBSCRIBED,
    }
)


@dataclass(slots=True, eq=False)
class AgentMember:
    """An agent and its state. `session` is set exactly while the agent is subscribed."""

    id: str
    incarnation: str
    session: SessionStream | None
    state: AgentState
    last_heard_at_ms: float
    state_since_ms: float
    incarnation_count: int = 1

    def apply(self, event: AgentEvent, now_ms: float) -> None:
        """Changes to the state that follows the event; raises KeyError if it can't happen in this state."""
        self.state = TRANSITIONS[self.state, event]
        self.state_since_ms = now_ms


@dataclass(frozen=True, slots=True)
class AgentSubscription:
    """Result of an agent's SUBSCRIBE."""

    member: AgentMember
    replaced_session: SessionStream | None = None  # the earlier session, if it was still open
    is_same_incarnation: bool = False  # the process did not restart, so the tasks that it lists are complete


class AgentLimitError(AllocatorError):
    """The membership is full and no lost agent can be evicted.

    Attributes:
        max_agents: the maximum number of agents.

    """

    def __init__(self, max_agents: int) -> None:
        super().__init__(f"{max_agents} agents are known; expected no more")
        self.max_agents = max_agents


class ExecutorIdParts(NamedTuple):
    """The two parts of an ExecutorID."""

    agent: str
    incarnation: str


def split_executor_id(executor_id: str) -> ExecutorIdParts:
    """Splits an ExecutorID at its last dot.

    Without a dot the incarnation is empty, and an empty incarnation never equals another one.
    """
    agent, _, incarnation = executor_id.rpartition(".")
    return ExecutorIdParts(agent, incarnation) if agent else ExecutorIdParts(executor_id, "")


class AgentMembership:
    """The known agents, by id: subscribed, away or lost."""

    def __init__(
        self,
        heartbeat_ms: float,
        max_missed_heartbeats: int,
        reregistration_timeout_ms: float,
        max_agents: int = DEFAULT_MAX_AGENTS,
    ) -> None:
        """Creates an empty membership.

        Args:
            heartbeat_ms: interval at which agents send heartbeats.
            max_missed_heartbeats: consecutive heartbeats that a subscribed agent may miss.
            reregistration_timeout_ms: how long an agent may be away before it is lost.
            max_agents: maximum number of agents; a new one evicts the agent that has been lost the longest.

        """
        self.heartbeat_ms = heartbeat_ms
        self.max_missed_heartbeats = max_missed_heartbeats
        self.reregistration_timeout_ms = reregistration_timeout_ms
        self.max_agents = max_agents
        self.members_by_agent: dict[str, AgentMember] = {}

    def subscribe(
        self, agent: str, incarnation: str, session: SessionStream, now_ms: float
    ) -> AgentSubscription:
        """Records a new session of an agent; raises AgentLimitError if the membership is full."""
        member = self.members_by_agent.get(agent)
        if member is None:
            return AgentSubscription(self._add_member(agent, incarnation, session, now_ms))
        is_same_incarnation = bool(incarnation) and member.incarnation == incarnation
        replaced_session = member.session
        if not is_same_incarnation:
            member.incarnation_count += 1
        member.incarnation = incarnation
        member.session = session
        member.last_heard_at_ms = now_ms
        member.apply(AgentEvent.SUBSCRIBE, now_ms)
        return AgentSubscription(member, replaced_session, is_same_incarnation)

    def _add_member(self, agent: str, incarnation: str, session: SessionStream, now_ms: float) -> AgentMember:
        if len(self.members_by_agent) >= self.max_agents:
            self._evict_lost_member()
        member = AgentMember(
            id=agent,
            incarnation=incarnation,
            session=session,
            state=AgentState.SUBSCRIBED,
            last_heard_at_ms=now_ms,
            state_since_ms=now_ms,
        )
        self.members_by_agent[agent] = member
        return member

    def _evict_lost_member(self) -> None:
        """Removes the agent that has been lost the longest; raises AgentLimitError if none is lost."""
        lost = [member for member in self.members_by_agent.values() if member.state is AgentState.LOST]
        if not lost:
            raise AgentLimitError(self.max_agents)
        oldest = min(lost, key=lambda member: member.state_since_ms)
        del self.members_by_agent[oldest.id]

    def record_heartbeat(self, agent: str, incarnation: str, now_ms: float) -> bool:
        """Records that an agent sent a call.

        Returns False if the call is not from the subscribed incarnation; the caller must then ignore it.
        """
        member = self.members_by_agent.get(agent)
        if member is None or member.incarnation != incarnation or member.state is not AgentState.SUBSCRIBED:
            return False
        member.last_heard_at_ms = now_ms
        return True

    def session_of(self, agent: str) -> SessionStream | None:
        """Returns the open session of an agent, or None."""
        member = self.members_by_agent.get(agent)
        return member.session if member is not None else None

    def close_session(self, agent: str, session: SessionStream, now_ms: float) -> bool:
        """Records that a session ended; returns False if it was not the agent's current session."""
        member = self.members_by_agent.get(agent)
        if member is None or member.session is not session:
            return False
        member.session = None
        member.apply(AgentEvent.SESSION_CLOSED, now_ms)
        return True

    def find_unresponsive(self, now_ms: float) -> list[AgentMember]:
        """Returns the subscribed agents whose heartbeats stopped, so that their sessions can be closed.

        A connection may seem open for hours after its machine disappeared without closing it.
        """
        limit_ms = self.heartbeat_ms * self.max_missed_heartbeats
        return [
            member
            for member in self.members_by_agent.values()
            if member.state is AgentState.SUBSCRIBED and now_ms - member.last_heard_at_ms > limit_ms
        ]

    def mark_lost(self, now_ms: float) -> list[AgentMember]:
        """Marks agents that exceeded the reregistration time-out as lost; returns those newly marked."""
        expired = [
            member
            for member in self.members_by_agent.values()
            if member.state is AgentState.AWAY
            and now_ms - member.state_since_ms > self.reregistration_timeout_ms
        ]
        for member in expired:
            member.apply(AgentEvent.REREGISTRATION_TIMEOUT, now_ms)
        return expired

"""Which agents there are: sessions, heartbeats, absence. Pure; the time is an argument.

An agent is known by its id; each start of its process is an incarnation with a name of its own (the
ExecutorID is `AGENT.INCARNATION`). At most one session of an agent counts, the newest. `TRANSITIONS` is the
state machine of a member; times are in milliseconds on the clock of the event loop.
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
    """State of an agent as a member."""

    SUBSCRIBED = "subscribed"  # a session is open and heard
    AWAY = "away"  # its session ended; it may come back with its tasks
    LOST = "lost"  # away for too long: its tasks are reported as unreachable


class AgentEvent(Enum):
    """What moves an agent from state to state."""

    SUBSCRIBE = "subscribe"
    SESSION_CLOSED = "session closed"
    REREGISTRATION_TIMEOUT = "reregistration timeout"


# An event that is not listed for a state can't happen in it.
TRANSITIONS: Mapping[tuple[AgentState, AgentEvent], AgentState] = MappingProxyType(
    {
        (AgentState.SUBSCRIBED, AgentEvent.SUBSCRIBE): AgentState.SUBSCRIBED,  # a newer session replaces it
        (AgentState.SUBSCRIBED, AgentEvent.SESSION_CLOSED): AgentState.AWAY,
        (AgentState.AWAY, AgentEvent.SUBSCRIBE): AgentState.SUBSCRIBED,
        (AgentState.AWAY, AgentEvent.REREGISTRATION_TIMEOUT): AgentState.LOST,
        (AgentState.LOST, AgentEvent.SUBSCRIBE): AgentState.SUBSCRIBED,
    }
)


@dataclass(slots=True, eq=False)
class AgentMember:
    """One agent. `session` is set exactly while it is subscribed."""

    id: str
    incarnation: str
    session: SessionStream | None
    state: AgentState
    last_heard_at_ms: float
    state_since_ms: float
    incarnation_count: int = 1

    def apply(self, event: AgentEvent, now_ms: float) -> None:
        """Moves to the state that follows the event; raises KeyError where the event can't happen."""
        self.state = TRANSITIONS[self.state, event]
        self.state_since_ms = now_ms


@dataclass(frozen=True, slots=True)
class AgentSubscription:
    """What a SUBSCRIBE of an agent came to."""

    member: AgentMember
    replaced_session: SessionStream | None = None  # the session that was still open
    is_same_incarnation: bool = False  # the process that was here before: its list of tasks is complete


class AgentLimitError(AllocatorError):
    """An agent can't be taken, as too many are known.

    Attributes:
        max_agents: how many may be known.

    """

    def __init__(self, max_agents: int) -> None:
        super().__init__(f"{max_agents} agents are known; expected no more")
        self.max_agents = max_agents


class ExecutorName(NamedTuple):
    """The two parts of an ExecutorID."""

    agent: str
    incarnation: str


def split_executor_id(executor_id: str) -> ExecutorName:
    """Agent and incarnation of an ExecutorID.

    Without a dot the incarnation is unnamed (empty) and never counts as the same.
    """
    agent, _, incarnation = executor_id.rpartition(".")
    return ExecutorName(agent, incarnation) if agent else ExecutorName(executor_id, "")


class AgentMembership:
    """The agents that are subscribed, away or lost."""

    def __init__(
        self,
        heartbeat_ms: float,
        max_missed_heartbeats: int,
        reregistration_timeout_ms: float,
        max_agents: int = DEFAULT_MAX_AGENTS,
    ) -> None:
        """An empty membership.

        Args:
            heartbeat_ms: how often agents send a heartbeat.
            max_missed_heartbeats: how many a subscribed agent may miss.
            reregistration_timeout_ms: how long an agent may be away.
            max_agents: how many agents may be known; lost ones give way.

        """
        self.heartbeat_ms = heartbeat_ms
        self.max_missed_heartbeats = max_missed_heartbeats
        self.reregistration_timeout_ms = reregistration_timeout_ms
        self.max_agents = max_agents
        self.members_by_agent: dict[str, AgentMember] = {}

    def subscribe(
        self, agent: str, incarnation: str, session: SessionStream, now_ms: float
    ) -> AgentSubscription:
        """Records that a session of an agent begins; raises AgentLimitError."""
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
        """Forgets the agent that is lost for longest; raises AgentLimitError where none is lost."""
        lost = [member for member in self.members_by_agent.values() if member.state is AgentState.LOST]
        if not lost:
            raise AgentLimitError(self.max_agents)
        oldest = min(lost, key=lambda member: member.state_since_ms)
        del self.members_by_agent[oldest.id]

    def record_heartbeat(self, agent: str, incarnation: str, now_ms: float) -> bool:
        """Records a call of an agent.

        Returns False where it is not of the incarnation that is subscribed: the call must not count.
        """
        member = self.members_by_agent.get(agent)
        if member is None or member.incarnation != incarnation or member.state is not AgentState.SUBSCRIBED:
            return False
        member.last_heard_at_ms = now_ms
        return True

    def session_of(self, agent: str) -> SessionStream | None:
        """The open session of an agent, if there is one."""
        member = self.members_by_agent.get(agent)
        return member.session if member is not None else None

    def close_session(self, agent: str, session: SessionStream, now_ms: float) -> bool:
        """Records that a session ended; returns False if it was not the one that counts."""
        member = self.members_by_agent.get(agent)
        if member is None or member.session is not session:
            return False
        member.session = None
        member.apply(AgentEvent.SESSION_CLOSED, now_ms)
        return True

    def find_unresponsive(self, now_ms: float) -> list[AgentMember]:
        """Subscribed agents whose heartbeats stopped: their sessions are to be closed.

        The connection may look open for hours when a machine is gone without a word.
        """
        limit_ms = self.heartbeat_ms * self.max_missed_heartbeats
        return [
            member
            for member in self.members_by_agent.values()
            if member.state is AgentState.SUBSCRIBED and now_ms - member.last_heard_at_ms > limit_ms
        ]

    def mark_lost(self, now_ms: float) -> list[AgentMember]:
        """Marks agents that are away for too long as lost; returns them, each once."""
        expired = [
            member
            for member in self.members_by_agent.values()
            if member.state is AgentState.AWAY
            and now_ms - member.state_since_ms > self.reregistration_timeout_ms
        ]
        for member in expired:
            member.apply(AgentEvent.REREGISTRATION_TIMEOUT, now_ms)
        return expired

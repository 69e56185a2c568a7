"""Which agents are there: sessions, heartbeats, absence. Pure: the time is an argument.

An agent is known by its id; each start of its process is a run with a name of its own (the ExecutorID is
`AGENT.RUN`). States: SUBSCRIBED (a session is open and heard), AWAY (its session ended; it may come back with
its tasks), LOST (away for longer than `return_ms`: its tasks are told as unreachable). At most one session of
an agent counts, the newest."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class AgentState(Enum):
    SUBSCRIBED = "subscribed"
    AWAY = "away"
    LOST = "lost"


@dataclass(slots=True, eq=False)
class AgentMember:
    id: str
    incarnation: str
    session: object | None
    state: AgentState
    last_heard_at_ms: float
    state_since_ms: float  # of the present state
    incarnation_count: int = 1


@dataclass(frozen=True, slots=True)
class AgentSubscription:
    member: AgentMember
    replaced_session: object | None  # the session that this one puts out, if it was still open
    is_same_incarnation: (
        bool  # it is the process that was here before, so that its list of tasks is the whole truth
    )


class AgentLimitError(Exception):
    """An agent that can't be taken; the text says why."""


def split_executor_id(executor_id: str) -> tuple[str, str]:
    """Agent and run of an ExecutorID; without a dot the run is unnamed and never counts as the same."""
    agent, _, run = executor_id.rpartition(".")
    return (agent, run) if agent else (executor_id, "")


class AgentMembership:
    def __init__(
        self,
        heartbeat_ms: float,
        max_missed_heartbeats: int,
        reregistration_timeout_ms: float,
        max_agents: int = 20_000,
    ) -> None:
        self.heartbeat_ms, self.max_missed_heartbeats, self.reregistration_timeout_ms, self.max_agents = (
            heartbeat_ms,
            max_missed_heartbeats,
            reregistration_timeout_ms,
            max_agents,
        )
        self.members_by_agent: dict[str, AgentMember] = {}

    def subscribe(self, agent: str, run: str, session: object, now: float) -> AgentSubscription:
        member = self.members_by_agent.get(agent)
        if member is None:
            if len(self.members_by_agent) >= self.max_agents:
                self._evict_lost_member()
            member = self.members_by_agent[agent] = AgentMember(
                agent, run, session, AgentState.SUBSCRIBED, now, now
            )
            return AgentSubscription(member, None, False)
        same = bool(run) and member.incarnation == run
        replaced, member.session = member.session, session
        member.incarnation_count += not same
        member.incarnation, member.state, member.last_heard_at_ms, member.state_since_ms = (
            run,
            AgentState.SUBSCRIBED,
            now,
            now,
        )
        return AgentSubscription(member, replaced, same)

    def _evict_lost_member(self) -> None:
        lost = [m for m in self.members_by_agent.values() if m.state is AgentState.LOST]
        if not lost:
            raise AgentLimitError(f"{self.max_agents} agents are known; expected no more")
        del self.members_by_agent[min(lost, key=lambda m: m.state_since_ms).id]

    def record_heartbeat(self, agent: str, run: str, now: float) -> bool:
        """A call of an agent; False: it is not of the run that is subscribed, and must not count."""
        member = self.members_by_agent.get(agent)
        if member is None or member.incarnation != run or member.state is not AgentState.SUBSCRIBED:
            return False
        member.last_heard_at_ms = now
        return True

    def session_of(self, agent: str) -> object | None:
        member = self.members_by_agent.get(agent)
        return member.session if member is not None else None

    def close_session(self, agent: str, session: object, now: float) -> bool:
        """A session ended; False if it was not the one that counts."""
        member = self.members_by_agent.get(agent)
        if member is None or member.session is not session:
            return False
        member.session, member.state, member.state_since_ms = None, AgentState.AWAY, now
        return True

    def find_unresponsive(self, now: float) -> list[AgentMember]:
        """Subscribed agents whose heartbeats stopped: their sessions are to be cut.

        The connection may look open for hours when a machine is gone without a word."""
        limit = self.heartbeat_ms * self.max_missed_heartbeats
        return [
            m
            for m in self.members_by_agent.values()
            if m.state is AgentState.SUBSCRIBED and now - m.last_heard_at_ms > limit
        ]

    def mark_lost(self, now: float) -> list[AgentMember]:
        """Agents away for too long; each is given once."""
        gone = [
            m
            for m in self.members_by_agent.values()
            if m.state is AgentState.AWAY and now - m.state_since_ms > self.reregistration_timeout_ms
        ]
        for member in gone:
            member.state, member.state_since_ms = AgentState.LOST, now
        return gone

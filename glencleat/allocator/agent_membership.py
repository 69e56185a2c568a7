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
    run: str
    session: object | None
    state: AgentState
    heard_at: float
    since: float  # of the present state
    runs: int = 1


@dataclass(frozen=True, slots=True)
class Joined:
    member: AgentMember
    replaced: object | None  # the session that this one puts out, if it was still open
    same_run: bool  # it is the process that was here before, so that its list of tasks is the whole truth


class AgentLimitError(Exception):
    """An agent that can't be taken; the text says why."""


def split_id(executor_id: str) -> tuple[str, str]:
    """Agent and run of an ExecutorID; without a dot the run is unnamed and never counts as the same."""
    agent, _, run = executor_id.rpartition(".")
    return (agent, run) if agent else (executor_id, "")


class AgentMembership:
    def __init__(self, heartbeat_ms: float, missed: int, return_ms: float, most: int = 20_000) -> None:
        self.heartbeat_ms, self.missed, self.return_ms, self.most = heartbeat_ms, missed, return_ms, most
        self.members: dict[str, AgentMember] = {}

    def subscribe(self, agent: str, run: str, session: object, now: float) -> Joined:
        member = self.members.get(agent)
        if member is None:
            if len(self.members) >= self.most:
                self._make_room()
            member = self.members[agent] = AgentMember(agent, run, session, AgentState.SUBSCRIBED, now, now)
            return Joined(member, None, False)
        same = bool(run) and member.run == run
        replaced, member.session = member.session, session
        member.runs += not same
        member.run, member.state, member.heard_at, member.since = run, AgentState.SUBSCRIBED, now, now
        return Joined(member, replaced, same)

    def _make_room(self) -> None:
        lost = [m for m in self.members.values() if m.state is AgentState.LOST]
        if not lost:
            raise AgentLimitError(f"{self.most} agents are known; expected no more")
        del self.members[min(lost, key=lambda m: m.since).id]

    def heard(self, agent: str, run: str, now: float) -> bool:
        """A call of an agent; False: it is not of the run that is subscribed, and must not count."""
        member = self.members.get(agent)
        if member is None or member.run != run or member.state is not AgentState.SUBSCRIBED:
            return False
        member.heard_at = now
        return True

    def session(self, agent: str) -> object | None:
        member = self.members.get(agent)
        return member.session if member is not None else None

    def closed(self, agent: str, session: object, now: float) -> bool:
        """A session ended; False if it was not the one that counts."""
        member = self.members.get(agent)
        if member is None or member.session is not session:
            return False
        member.session, member.state, member.since = None, AgentState.AWAY, now
        return True

    def silent(self, now: float) -> list[AgentMember]:
        """Subscribed agents whose heartbeats stopped: their sessions are to be cut.

        The connection may look open for hours when a machine is gone without a word."""
        limit = self.heartbeat_ms * self.missed
        return [
            m for m in self.members.values() if m.state is AgentState.SUBSCRIBED and now - m.heard_at > limit
        ]

    def lost(self, now: float) -> list[AgentMember]:
        """Agents away for too long; each is given once."""
        gone = [
            m for m in self.members.values() if m.state is AgentState.AWAY and now - m.since > self.return_ms
        ]
        for member in gone:
            member.state, member.since = AgentState.LOST, now
        return gone

"""Calls and events of the Operator API (mesos/v1/master/master.proto)."""

from __future__ import annotations

from glencleat.mesos.common_messages import AgentInfo, Resource, Struct, Value


class DrainInfo(Struct):
    """How far draining of an agent is."""

    state: str  # DRAINING or DRAINED


class TimeInfo(Struct):
    """A time since the epoch."""

    nanoseconds: int


class Agent(Struct):
    """An agent as the operator API lists it."""

    agent_info: AgentInfo
    active: bool = True
    version: str = ""
    registered_time: TimeInfo | None = None
    reregistered_time: TimeInfo | None = None
    total_resources: list[Resource] = []
    allocated_resources: list[Resource] = []
    drain_info: DrainInfo | None = None
    deactivated: bool = False


class GetAgents(Struct):
    """Response of GET_AGENTS."""

    agents: list[Agent] = []


class GetState(Struct):
    """The state at the time of a subscription."""

    get_agents: GetAgents | None = None


class SubscribedOperator(Struct):
    """Event SUBSCRIBED of the operator API."""

    get_state: GetState | None = None
    heartbeat_interval_seconds: float | None = None


class AgentAdded(Struct):
    """Event AGENT_ADDED."""

    agent: Agent


class AgentRemoved(Struct):
    """Event AGENT_REMOVED."""

    agent_id: Value


class OperatorCall(Struct):
    """A call of an operator."""

    type: str


class OperatorEvent(Struct):
    """Events of SUBSCRIBE, and the response of GET_AGENTS (`type` GET_AGENTS)."""

    type: str
    subscribed: SubscribedOperator | None = None
    agent_added: AgentAdded | None = None
    agent_removed: AgentRemoved | None = None
    get_agents: GetAgents | None = None

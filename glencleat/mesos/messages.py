"""Message schemas of the v1 API, used by both ends, with the published names (mesos/v1/*.proto as JSON).

Only the fields in use are defined; unknown fields are ignored, as in protobuf parsers. Data without a field
in the specification is sent in the labels of TaskInfo and in the payloads of MESSAGE and TaskStatus.data: see
`Payload`.
"""

from __future__ import annotations

import base64
from typing import Any, TypeVar

import msgspec


class MessageError(Exception):
    """An invalid message from the peer; the text says what was wrong and what was expected."""


class Struct(msgspec.Struct, omit_defaults=True):
    """The base of all messages: fields with their default value are not encoded."""


class Value(Struct):
    """A FrameworkID, AgentID, TaskID, ExecutorID or OfferID: an object with one field, `value`."""

    value: str


class Scalar(Struct):
    """A scalar amount, for example of a resource."""

    value: float


class Text(Struct):
    """A text, for example of an attribute."""

    value: str


class Resource(Struct):
    """A resource of an agent, an offer or a task."""

    name: str
    type: str = "SCALAR"
    scalar: Scalar | None = None
    role: str | None = None


class Attribute(Struct):
    """An attribute of an agent."""

    name: str
    type: str = "TEXT"
    text: Text | None = None
    scalar: Scalar | None = None


class Label(Struct):
    """A key with an optional value."""

    key: str
    value: str | None = None


class Labels(Struct):
    """A list of labels."""

    labels: list[Label] = []


class NamedPart(Struct):
    """The name of a region or a zone."""

    name: str


class FaultDomain(Struct):
    """The region and zone of an agent."""

    region: NamedPart
    zone: NamedPart


class DomainInfo(Struct):
    """The domain of an agent."""

    fault_domain: FaultDomain | None = None


class Capability(Struct):
    """A capability of a framework."""

    type: str


class FrameworkInfo(Struct):
    """The description of a framework."""

    user: str = ""
    name: str = ""
    id: Value | None = None
    role: str | None = None
    roles: list[str] = []
    failover_timeout: float = 0.0  # seconds
    checkpoint: bool = False
    principal: str | None = None
    capabilities: list[Capability] = []


class AgentInfo(Struct):
    """The description of an agent."""

    hostname: str = ""
    id: Value | None = None
    resources: list[Resource] = []
    attributes: list[Attribute] = []
    domain: DomainInfo | None = None


class ExecutorInfo(Struct):
    """The description of an executor."""

    executor_id: Value
    framework_id: Value | None = None


class TaskInfo(Struct):
    """The description of a task to launch."""

    name: str
    task_id: Value
    agent_id: Value | None = None
    resources: list[Resource] = []
    labels: Labels | None = None
    data: str | None = None


class TaskStatus(Struct):
    """A task's state, with its source and reason."""

    task_id: Value
    state: str
    source: str | None = None
    reason: str | None = None
    message: str | None = None
    agent_id: Value | None = None
    executor_id: Value | None = None
    timestamp: float | None = None
    uuid: str | None = None
    labels: Labels | None = None
    data: str | None = None


# ---- Scheduler API (mesos/v1/scheduler/scheduler.proto) ----


class Launch(Struct):
    """The tasks of a LAUNCH operation."""

    task_infos: list[TaskInfo]


class Operation(Struct):
    """An operation on accepted offers."""

    type: str
    launch: Launch | None = None


class Filters(Struct):
    """How long declined or unused resources are not offered again."""

    refuse_seconds: float = 5.0


class Accept(Struct):
    """ACCEPT: the offers to use and the operations on them."""

    offer_ids: list[Value]
    operations: list[Operation] = []
    filters: Filters | None = None


class Decline(Struct):
    """DECLINE: the offers not to use."""

    offer_ids: list[Value]
    filters: Filters | None = None


class Kill(Struct):
    """KILL: the task to stop."""

    task_id: Value
    agent_id: Value | None = None


class Acknowledge(Struct):
    """ACKNOWLEDGE: the receipt of a status update."""

    agent_id: Value
    task_id: Value
    uuid: str


class ReconcileTask(Struct):
    """A task whose status is requested."""

    task_id: Value
    agent_id: Value | None = None


class Reconcile(Struct):
    """RECONCILE: the tasks whose status is requested."""

    tasks: list[ReconcileTask] = []


class SubscribeFramework(Struct):
    """SUBSCRIBE of a framework."""

    framework_info: FrameworkInfo


class SchedulerCall(Struct):
    """A call of a framework; `type` names the field that is set."""

    type: str
    framework_id: Value | None = None
    subscribe: SubscribeFramework | None = None
    accept: Accept | None = None
    decline: Decline | None = None
    kill: Kill | None = None
    acknowledge: Acknowledge | None = None
    reconcile: Reconcile | None = None


class MasterInfo(Struct):
    """The address and version of the master."""

    id: str
    ip: int
    port: int
    hostname: str = ""
    version: str = ""


class SubscribedFramework(Struct):
    """SUBSCRIBED: the first event of a framework's stream."""

    framework_id: Value
    heartbeat_interval_seconds: float | None = None
    master_info: MasterInfo | None = None


class Offer(Struct):
    """Resources of one agent offered to a framework."""

    id: Value
    framework_id: Value
    agent_id: Value
    hostname: str
    resources: list[Resource] = []
    attributes: list[Attribute] = []


class Offers(Struct):
    """OFFERS: new offers."""

    offers: list[Offer]


class UpdateEvent(Struct):
    """UPDATE: a status update for a framework."""

    status: TaskStatus


class Rescind(Struct):
    """RESCIND: an offer that is no longer valid."""

    offer_id: Value


class Failure(Struct):
    """FAILURE: an agent that failed or was removed."""

    agent_id: Value | None = None


class ErrorEvent(Struct):
    """ERROR: what was wrong, as text."""

    message: str


class SchedulerEvent(Struct):
    """An event to a framework; `type` names the field that is set."""

    type: str
    subscribed: SubscribedFramework | None = None
    offers: Offers | None = None
    update: UpdateEvent | None = None
    rescind: Rescind | None = None
    failure: Failure | None = None
    error: ErrorEvent | None = None


# ---- Executor API (mesos/v1/executor/executor.proto) ----


class UpdateCall(Struct):
    """UPDATE: a status update from an executor."""

    status: TaskStatus


class SubscribeExecutor(Struct):
    """SUBSCRIBE of an executor, with its unacknowledged tasks and status updates."""

    unacknowledged_tasks: list[TaskInfo] = []
    unacknowledged_updates: list[UpdateCall] = []


class Message(Struct):
    """MESSAGE: a payload in either direction."""

    data: str  # base64


class ExecutorCall(Struct):
    """A call of an executor; `type` names the field that is set."""

    type: str
    executor_id: Value
    framework_id: Value
    subscribe: SubscribeExecutor | None = None
    update: UpdateCall | None = None
    message: Message | None = None


class SubscribedExecutor(Struct):
    """SUBSCRIBED: the first event of an executor's stream."""

    executor_info: ExecutorInfo
    framework_info: FrameworkInfo
    agent_info: AgentInfo


class LaunchEvent(Struct):
    """LAUNCH: a task to start."""

    task: TaskInfo


class KillEvent(Struct):
    """KILL: a task to stop."""

    task_id: Value


class Acknowledged(Struct):
    """ACKNOWLEDGED: the receipt of an executor's status update."""

    task_id: Value
    uuid: str


class ExecutorEvent(Struct):
    """An event to an executor; `type` names the field that is set."""

    type: str
    subscribed: SubscribedExecutor | None = None
    launch: LaunchEvent | None = None
    kill: KillEvent | None = None
    acknowledged: Acknowledged | None = None
    message: Message | None = None
    error: ErrorEvent | None = None


# ---- Operator API (mesos/v1/master/master.proto) ----


class DrainInfo(Struct):
    """The progress of draining an agent."""

    state: str  # DRAINING or DRAINED


class TimeInfo(Struct):
    """A time since the Unix epoch."""

    nanoseconds: int


class Agent(Struct):
    """An agent with its resources and state."""

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
    """The list of all agents."""

    agents: list[Agent] = []


class GetState(Struct):
    """The state of the cluster at subscription."""

    get_agents: GetAgents | None = None


class SubscribedOperator(Struct):
    """SUBSCRIBED: the first event of an operator's stream."""

    get_state: GetState | None = None
    heartbeat_interval_seconds: float | None = None


class AgentAdded(Struct):
    """AGENT_ADDED: an agent and its present state."""

    agent: Agent


class AgentRemoved(Struct):
    """AGENT_REMOVED: an agent that has left."""

    agent_id: Value


class OperatorCall(Struct):
    """A call of an operator."""

    type: str


class OperatorEvent(Struct):
    """An event of an operator's stream, or the response to GET_AGENTS (`type` GET_AGENTS)."""

    type: str
    subscribed: SubscribedOperator | None = None
    agent_added: AgentAdded | None = None
    agent_removed: AgentRemoved | None = None
    get_agents: GetAgents | None = None


# ---- Extensions: data without a field in the specification ----


class TaskUse(Struct):
    """The resource use of one task, as its agent reports it."""

    task_id: str
    cores: float | None = None
    memory: float | None = None  # MB
    served: float | None = None  # fraction of full service, 0 to 1


class Payload(Struct):
    """The payload of MESSAGE and TaskStatus.data, sent as base64 of its JSON.

    `kind` is "probe" (allocator to agent, with the probe's number in `probe`) or "report" (agent to
    allocator, with that number if it answers a probe). Free amounts are in cores and MB, `queue` is a count,
    and the other figures are fractions from 0 to 1.
    """

    kind: str
    probe: int | None = None
    cores_free: float | None = None
    memory_free: float | None = None
    busy: float | None = None
    queue: float | None = None
    memory_used: float | None = None  # fraction of the machine's memory in use
    tasks: list[TaskUse] = []


T = TypeVar("T", bound=Struct)
ENCODER = msgspec.json.Encoder()
DECODERS: dict[type[Any], msgspec.json.Decoder[Any]] = {
    kind: msgspec.json.Decoder(kind)
    for kind in (
        SchedulerCall,
        SchedulerEvent,
        ExecutorCall,
        ExecutorEvent,
        OperatorCall,
        OperatorEvent,
        Payload,
        TaskInfo,
    )
}


def encode(message: Struct) -> bytes:
    """Encodes a message as JSON."""
    return ENCODER.encode(message)


def decode(kind: type[T], data: bytes) -> T:
    """Decodes a message; raises MessageError that names the field and what was expected."""
    try:
        message: T = DECODERS[kind].decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(f"{kind.__name__}: {str(error)[:300]}") from None
    return message


def encode_payload(payload: Payload) -> str:
    """Encodes a payload as base64 of its JSON."""
    return base64.b64encode(ENCODER.encode(payload)).decode()


def decode_payload(data: str) -> Payload:
    """Decodes the payload of a MESSAGE or a TaskStatus; raises MessageError."""
    try:
        raw = base64.b64decode(data, validate=True)
    except ValueError as error:
        raise MessageError(f"payload: {error}; expected base64") from None
    return decode(Payload, raw)


def sum_scalar(resources: list[Resource], name: str) -> float | None:
    """Returns the sum of the scalar resources with that name; None if there are none."""
    values = [r.scalar.value for r in resources if r.name == name and r.scalar is not None]
    return sum(values) if values else None


def find_label(labels: Labels | None, key: str) -> str | None:
    """Returns the value of the first label with that key; None if there is none."""
    for item in labels.labels if labels is not None else ():
        if item.key == key:
            return item.value
    return None


def make_resources(cores: float, memory: float) -> list[Resource]:
    """Returns cores and memory (MB) as the resources `cpus` and `mem`."""
    return [Resource("cpus", scalar=Scalar(cores)), Resource("mem", scalar=Scalar(memory))]

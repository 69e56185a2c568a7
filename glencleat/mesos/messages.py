"""Schemas of the v1 API that both ends check against, names as published (mesos/v1/*.proto, JSON mapping).

Only the fields in use are here; unknown ones are ignored, as protobuf readers do. What the specification has
no field for travels in labels of TaskInfo or in payloads of MESSAGE and TaskStatus.data: see `Payload`."""

from __future__ import annotations

import base64
from typing import Any, TypeVar

import msgspec


class MessageError(Exception):
    """The peer's fault: what was wrong in the message and what was expected."""


class Struct(msgspec.Struct, omit_defaults=True):
    """Base of all messages: fields that are not set don't travel."""


class Value(Struct):
    """FrameworkID, AgentID, TaskID, ExecutorID, OfferID: each is an object with one `value`."""

    value: str


class Scalar(Struct):
    value: float


class Text(Struct):
    value: str


class Resource(Struct):
    name: str
    type: str = "SCALAR"
    scalar: Scalar | None = None
    role: str | None = None


class Attribute(Struct):
    name: str
    type: str = "TEXT"
    text: Text | None = None
    scalar: Scalar | None = None


class Label(Struct):
    key: str
    value: str | None = None


class Labels(Struct):
    labels: list[Label] = []


class NamedPart(Struct):
    name: str


class FaultDomain(Struct):
    region: NamedPart
    zone: NamedPart


class DomainInfo(Struct):
    fault_domain: FaultDomain | None = None


class Capability(Struct):
    type: str


class FrameworkInfo(Struct):
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
    hostname: str = ""
    id: Value | None = None
    resources: list[Resource] = []
    attributes: list[Attribute] = []
    domain: DomainInfo | None = None


class ExecutorInfo(Struct):
    executor_id: Value
    framework_id: Value | None = None


class TaskInfo(Struct):
    name: str
    task_id: Value
    agent_id: Value | None = None
    resources: list[Resource] = []
    labels: Labels | None = None
    data: str | None = None


class TaskStatus(Struct):
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
    task_infos: list[TaskInfo]


class Operation(Struct):
    type: str
    launch: Launch | None = None


class Filters(Struct):
    refuse_seconds: float = 5.0


class Accept(Struct):
    offer_ids: list[Value]
    operations: list[Operation] = []
    filters: Filters | None = None


class Decline(Struct):
    offer_ids: list[Value]
    filters: Filters | None = None


class Kill(Struct):
    task_id: Value
    agent_id: Value | None = None


class Acknowledge(Struct):
    agent_id: Value
    task_id: Value
    uuid: str


class ReconcileTask(Struct):
    task_id: Value
    agent_id: Value | None = None


class Reconcile(Struct):
    tasks: list[ReconcileTask] = []


class SubscribeFramework(Struct):
    framework_info: FrameworkInfo


class SchedulerCall(Struct):
    type: str
    framework_id: Value | None = None
    subscribe: SubscribeFramework | None = None
    accept: Accept | None = None
    decline: Decline | None = None
    kill: Kill | None = None
    acknowledge: Acknowledge | None = None
    reconcile: Reconcile | None = None


class MasterInfo(Struct):
    id: str
    ip: int
    port: int
    hostname: str = ""
    version: str = ""


class SubscribedFramework(Struct):
    framework_id: Value
    heartbeat_interval_seconds: float | None = None
    master_info: MasterInfo | None = None


class Offer(Struct):
    id: Value
    framework_id: Value
    agent_id: Value
    hostname: str
    resources: list[Resource] = []
    attributes: list[Attribute] = []


class Offers(Struct):
    offers: list[Offer]


class UpdateEvent(Struct):
    status: TaskStatus


class Rescind(Struct):
    offer_id: Value


class Failure(Struct):
    agent_id: Value | None = None


class ErrorEvent(Struct):
    message: str


class SchedulerEvent(Struct):
    type: str
    subscribed: SubscribedFramework | None = None
    offers: Offers | None = None
    update: UpdateEvent | None = None
    rescind: Rescind | None = None
    failure: Failure | None = None
    error: ErrorEvent | None = None


# ---- Executor API (mesos/v1/executor/executor.proto) ----


class UpdateCall(Struct):
    status: TaskStatus


class SubscribeExecutor(Struct):
    unacknowledged_tasks: list[TaskInfo] = []
    unacknowledged_updates: list[UpdateCall] = []


class Message(Struct):
    data: str  # base64


class ExecutorCall(Struct):
    type: str
    executor_id: Value
    framework_id: Value
    subscribe: SubscribeExecutor | None = None
    update: UpdateCall | None = None
    message: Message | None = None


class SubscribedExecutor(Struct):
    executor_info: ExecutorInfo
    framework_info: FrameworkInfo
    agent_info: AgentInfo


class LaunchEvent(Struct):
    task: TaskInfo


class KillEvent(Struct):
    task_id: Value


class Acknowledged(Struct):
    task_id: Value
    uuid: str


class ExecutorEvent(Struct):
    type: str
    subscribed: SubscribedExecutor | None = None
    launch: LaunchEvent | None = None
    kill: KillEvent | None = None
    acknowledged: Acknowledged | None = None
    message: Message | None = None
    error: ErrorEvent | None = None


# ---- Operator API (mesos/v1/master/master.proto) ----


class DrainInfo(Struct):
    state: str  # DRAINING or DRAINED


class TimeInfo(Struct):
    nanoseconds: int


class Agent(Struct):
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
    agents: list[Agent] = []


class GetState(Struct):
    get_agents: GetAgents | None = None


class SubscribedOperator(Struct):
    get_state: GetState | None = None
    heartbeat_interval_seconds: float | None = None


class AgentAdded(Struct):
    agent: Agent


class AgentRemoved(Struct):
    agent_id: Value


class OperatorCall(Struct):
    type: str


class OperatorEvent(Struct):
    """Events of SUBSCRIBE, and the response of GET_AGENTS (`type` GET_AGENTS)."""

    type: str
    subscribed: SubscribedOperator | None = None
    agent_added: AgentAdded | None = None
    agent_removed: AgentRemoved | None = None
    get_agents: GetAgents | None = None


# ---- what the specification has no field for ----


class TaskUse(Struct):
    task_id: str
    cores: float | None = None
    memory: float | None = None  # MB
    served: float | None = None  # share of full service, 0 to 1


class Payload(Struct):
    """Of MESSAGE and TaskStatus.data, as base64 of this JSON.

    `kind` is "probe" (allocator to agent, `probe` numbers it) or "report" (agent to allocator; `probe` where
    it answers one). Free amounts are in cores and MB, the others are shares from 0 to 1, `queue` a count."""

    kind: str
    probe: int | None = None
    cores_free: float | None = None
    memory_free: float | None = None
    busy: float | None = None
    queue: float | None = None
    memory_used: float | None = None  # share of the machine's memory in use
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
    return ENCODER.encode(message)


def decode(kind: type[T], data: bytes) -> T:
    """The message; raises BadMessage naming the field and what was expected."""
    try:
        message: T = DECODERS[kind].decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(f"{kind.__name__}: {str(error)[:300]}") from None
    return message


def encode_payload(payload: Payload) -> str:
    return base64.b64encode(ENCODER.encode(payload)).decode()


def decode_payload(data: str) -> Payload:
    """The payload of a MESSAGE or a status; raises BadMessage."""
    try:
        raw = base64.b64decode(data, validate=True)
    except ValueError as error:
        raise MessageError(f"payload: {error}; expected base64") from None
    return decode(Payload, raw)


def sum_scalar(resources: list[Resource], name: str) -> float | None:
    """Sum of the scalar resources of that name; None where there is none."""
    values = [r.scalar.value for r in resources if r.name == name and r.scalar is not None]
    return sum(values) if values else None


def find_label(labels: Labels | None, key: str) -> str | None:
    for item in labels.labels if labels is not None else ():
        if item.key == key:
            return item.value
    return None


def make_resources(cores: float, memory: float) -> list[Resource]:
    return [Resource("cpus", scalar=Scalar(cores)), Resource("mem", scalar=Scalar(memory))]

"""Codec of the v1 API: the messages that both ends check against, names as published (mesos/v1/*.proto).

The JSON mapping of protobuf. Only the fields in use are declared; unknown ones are ignored, as protobuf
readers do. What the specification has no field for travels in labels of TaskInfo or in payloads of
MESSAGE and TaskStatus.data: see `Payload`. The messages of each API stand in a module of their own and are
offered here.
"""

from __future__ import annotations

import base64
from typing import Any, TypeVar

import msgspec

from glencleat.mesos.common_messages import (
    AgentInfo,
    Attribute,
    Capability,
    DomainInfo,
    ExecutorInfo,
    FaultDomain,
    FrameworkInfo,
    Label,
    Labels,
    NamedPart,
    Resource,
    Scalar,
    Struct,
    TaskInfo,
    TaskStatus,
    Text,
    Value,
    build_resources,
    find_label,
    sum_scalar,
)
from glencleat.mesos.errors import MesosProtocolError
from glencleat.mesos.executor_messages import (
    Acknowledged,
    ExecutorCall,
    ExecutorEvent,
    KillEvent,
    LaunchEvent,
    Message,
    SubscribedExecutor,
    SubscribeExecutor,
    UpdateCall,
)
from glencleat.mesos.operator_messages import (
    Agent,
    AgentAdded,
    AgentRemoved,
    DrainInfo,
    GetAgents,
    GetState,
    OperatorCall,
    OperatorEvent,
    SubscribedOperator,
    TimeInfo,
)
from glencleat.mesos.payloads import Payload, TaskUse
from glencleat.mesos.scheduler_messages import (
    Accept,
    Acknowledge,
    Decline,
    ErrorEvent,
    Failure,
    Filters,
    Kill,
    Launch,
    MasterInfo,
    Offer,
    Offers,
    Operation,
    Reconcile,
    ReconcileTask,
    Rescind,
    SchedulerCall,
    SchedulerEvent,
    SubscribedFramework,
    SubscribeFramework,
    UpdateEvent,
)

__all__ = [
    "DECODERS",
    "Accept",
    "Acknowledge",
    "Acknowledged",
    "Agent",
    "AgentAdded",
    "AgentInfo",
    "AgentRemoved",
    "Attribute",
    "Capability",
    "Decline",
    "DomainInfo",
    "DrainInfo",
    "ErrorEvent",
    "ExecutorCall",
    "ExecutorEvent",
    "ExecutorInfo",
    "Failure",
    "FaultDomain",
    "Filters",
    "FrameworkInfo",
    "GetAgents",
    "GetState",
    "Kill",
    "KillEvent",
    "Label",
    "Labels",
    "Launch",
    "LaunchEvent",
    "MasterInfo",
    "Message",
    "MessageError",
    "NamedPart",
    "Offer",
    "Offers",
    "Operation",
    "OperatorCall",
    "OperatorEvent",
    "Payload",
    "Reconcile",
    "ReconcileTask",
    "Rescind",
    "Resource",
    "Scalar",
    "SchedulerCall",
    "SchedulerEvent",
    "Struct",
    "SubscribeExecutor",
    "SubscribeFramework",
    "SubscribedExecutor",
    "SubscribedFramework",
    "SubscribedOperator",
    "TaskInfo",
    "TaskStatus",
    "TaskUse",
    "Text",
    "TimeInfo",
    "UpdateCall",
    "UpdateEvent",
    "Value",
    "build_resources",
    "decode",
    "decode_payload",
    "encode",
    "encode_payload",
    "find_label",
    "sum_scalar",
]


class MessageError(MesosProtocolError):
    """A message that is not as published: what was wrong, and what was expected."""


T = TypeVar("T", bound=Struct)
MAX_REASON_LENGTH = 300  # characters of the decoder's reason in an error
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
    """Return the message as JSON; fields that are not set are left out."""
    return ENCODER.encode(message)


def decode(kind: type[T], data: bytes) -> T:
    """Return the message; raises MessageError naming the field and what was expected."""
    try:
        message: T = DECODERS[kind].decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(f"{kind.__name__}: {str(error)[:MAX_REASON_LENGTH]}") from error
    return message


def encode_payload(payload: Payload) -> str:
    """Return a payload as base64 of its JSON."""
    return base64.b64encode(ENCODER.encode(payload)).decode()


def decode_payload(data: str) -> Payload:
    """Return the payload of a MESSAGE or a status; raises MessageError."""
    try:
        raw = base64.b64decode(data, validate=True)
    except ValueError as error:
        raise MessageError(f"payload: {error}; expected base64") from error
    return decode(Payload, raw)

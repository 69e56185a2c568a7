"""Objects of the v1 API that its calls and events share (mesos/v1/mesos.proto)."""

from __future__ import annotations

import msgspec


class Struct(msgspec.Struct, omit_defaults=True):
    """Base of all messages: fields that are not set don't travel."""


class Value(Struct):
    """FrameworkID, AgentID, TaskID, ExecutorID, OfferID: each is an object with one `value`."""

    value: str


class Scalar(Struct):
    """A number."""

    value: float


class Text(Struct):
    """A text."""

    value: str


class Resource(Struct):
    """An amount of `cpus`, or of `mem` in MB."""

    name: str
    type: str = "SCALAR"
    scalar: Scalar | None = None
    role: str | None = None


class Attribute(Struct):
    """A property of an agent."""

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
    """A region or zone."""

    name: str


class FaultDomain(Struct):
    """Where an agent stands: region and zone."""

    region: NamedPart
    zone: NamedPart


class DomainInfo(Struct):
    """The domain of an agent."""

    fault_domain: FaultDomain | None = None


class Capability(Struct):
    """A feature that a framework supports."""

    type: str


class FrameworkInfo(Struct):
    """What a framework says of itself at its subscription."""

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
    """An agent with what it offers."""

    hostname: str = ""
    id: Value | None = None
    resources: list[Resource] = []
    attributes: list[Attribute] = []
    domain: DomainInfo | None = None


class ExecutorInfo(Struct):
    """The executor of an agent."""

    executor_id: Value
    framework_id: Value | None = None


class TaskInfo(Struct):
    """A task to be launched."""

    name: str
    task_id: Value
    agent_id: Value | None = None
    resources: list[Resource] = []
    labels: Labels | None = None
    data: str | None = None


class TaskStatus(Struct):
    """The state of a task, acknowledged by `uuid` where that is set."""

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


def sum_scalar(resources: list[Resource], name: str) -> float | None:
    """Return the sum of the scalar resources of that name, None where there is none."""
    values = [r.scalar.value for r in resources if r.name == name and r.scalar is not None]
    return sum(values) if values else None


def find_label(labels: Labels | None, key: str) -> str | None:
    """Return the value of the first label with that key, None without one."""
    for item in labels.labels if labels is not None else ():
        if item.key == key:
            return item.value
    return None


def build_resources(cores: float, memory: float) -> list[Resource]:
    """Return resources of so many cores and MB of memory."""
    return [Resource("cpus", scalar=Scalar(cores)), Resource("mem", scalar=Scalar(memory))]

"""Schemas of the REST API: they validate requests, and the OpenAPI document is generated from them.

JSON names are in camelCase. Times are milliseconds, memory is MB, cores are cores; `resourceVersion` is
opaque and may only be compared for equality. The docstrings of schema classes and the `Meta` descriptions
are published in the OpenAPI document.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

NAME_PATTERN = r"^[A-Za-z0-9]([A-Za-z0-9_.-]{0,126}[A-Za-z0-9])?$"
TENANT_PATTERN = r"[A-Za-z0-9]([A-Za-z0-9_./-]*[A-Za-z0-9])?"
LABEL_KEY = r"^[A-Za-z0-9]([A-Za-z0-9_./-]{0,62}[A-Za-z0-9])?$"
LABEL_VALUE = r"^([A-Za-z0-9]([A-Za-z0-9_.-]{0,62}[A-Za-z0-9])?)?$"

Name = Annotated[
    str, Meta(pattern=NAME_PATTERN, max_length=128, description="Letters, digits, `_`, `.`, `-`.")
]
MAX_LABELS, MAX_LABEL_CHARACTERS = 32, 64  # labels of a resource; characters of a key or value
LabelKey = Annotated[str, Meta(pattern=LABEL_KEY, max_length=MAX_LABEL_CHARACTERS)]
LabelValue = Annotated[str, Meta(pattern=LABEL_VALUE, max_length=MAX_LABEL_CHARACTERS)]
Labels = Annotated[dict[LabelKey, LabelValue], Meta(max_length=MAX_LABELS)]
Text = Annotated[str, Meta(min_length=1, max_length=256)]
Millis = Annotated[float, Meta(ge=1, le=86_400_000, description="Milliseconds.")]

Data = Annotated[str, Meta(max_length=65_536)]

MAX_TASKS_PER_JOB = 1_000


class CamelCaseModel(msgspec.Struct, rename="camel", omit_defaults=True, frozen=True, kw_only=True, gc=False):
    """Base of all schemas; fields at their default are left out.

    No instance can be part of a reference cycle, and there are many of them. They are not tracked by the
    garbage collector, as a full collection over them would delay placements.
    """


class StrictModel(CamelCaseModel, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base of what clients send; an unknown field is an error."""


class JobSpec(StrictModel, frozen=True, kw_only=True):
    """What a job asks for."""

    task_class: Annotated[Text, Meta(description="A class of the allocator's configuration.")] = (
        msgspec.field(name="class")
    )
    service: Text
    tasks: Annotated[int, Meta(ge=1, le=MAX_TASKS_PER_JOB, description="How many tasks.")] = 1
    cores: Annotated[float, Meta(gt=0, le=100_000)]
    memory: Annotated[float, Meta(gt=0, le=1e9, description="MB.")]
    wait_ms: Annotated[
        Millis | None,
        Meta(description="How long each task may wait for its place; the class's deadline if absent."),
    ] = None
    life_ms: Annotated[Millis | None, Meta(description="Expected life, rough.")] = None
    key: Annotated[
        Text | None,
        Meta(
            description="Names the work within the tenant; task I has the key `KEY.I`. Also for frameworks."
        ),
    ] = None
    when_lost: Annotated[
        Literal["leave", "again"],
        Meta(
            description="What follows when a placed task was stopped or lost and a second run does no harm."
        ),
    ] = "leave"
    data: Annotated[Data | None, Meta(description="Handed to the agent as it is.")] = None


class NewJob(StrictModel, frozen=True, kw_only=True):
    """The body of a creation."""

    name: Annotated[Name | None, Meta(description="Unique within the tenant; made if absent.")] = None
    labels: Labels = {}
    spec: JobSpec


class LabelPatch(StrictModel, frozen=True, kw_only=True):
    """A merge patch (RFC 7396) of a job's labels; null takes one away."""

    labels: Annotated[dict[LabelKey, LabelValue | None], Meta(max_length=MAX_LABELS)]


class Cause(CamelCaseModel, frozen=True, kw_only=True):
    """One reason why a task waits, or was not placed."""

    kind: str
    text: str
    count: int | None = None
    machine: Annotated[str | None, Meta(description="The one that said it last.")] = None
    at_ms: Annotated[float | None, Meta(description="When it was said last; since the epoch.")] = None


class Why(CamelCaseModel, frozen=True, kw_only=True):
    """Why a task waits, the weightiest cause first. What machines said is told as they said it."""

    summary: str
    causes: list[Cause] = []


class JobStatus(CamelCaseModel, frozen=True, kw_only=True):
    """Tasks by how they stand."""

    phase: Literal["waiting", "placed", "over", "cancelled"]
    waiting: int = 0
    placed: int = 0
    finished: int = 0
    ended: int = 0  # was placed, and ended without finishing
    refused: int = 0
    failed: int = 0


class ResourceModel(CamelCaseModel, frozen=True, kw_only=True):
    """Fields that all resources have."""

    resource_version: str = ""
    labels: dict[str, str] = {}
    created_at_ms: float | None = None


class Job(ResourceModel, frozen=True, kw_only=True):
    tenant: str
    name: str
    uid: str
    spec: JobSpec
    status: JobStatus


class Task(ResourceModel, frozen=True, kw_only=True):
    """A task of either front. States are those of the Mesos v1 API; TASK_STAGING is one that waits."""

    tenant: str
    framework: str
    name: str
    job: str | None = None
    task_class: str = msgspec.field(name="class")
    service: str
    cores: float
    memory: float
    state: str
    answer: Annotated[
        Literal["served", "refused", "failed"] | None, Meta(description="The one final answer, once given.")
    ] = None
    retry: Annotated[
        Literal["harmless", "reconcile", "never"] | None, Meta(description="What may be done about it.")
    ] = None
    reason: str | None = None
    message: str | None = None
    machine: str | None = None
    attempts: int = 0
    why: Why | None = None


class Machine(ResourceModel, frozen=True, kw_only=True):
    name: str
    kind: str
    zone: str
    cell: int
    phase: Literal["serving", "draining", "gone"]
    agent: Literal["subscribed", "away", "lost", "unknown"]
    cores_left: float | None = None
    memory_left: float | None = None


class Service(ResourceModel, frozen=True, kw_only=True):
    tenant: str
    name: str
    waiting: int = 0
    placed: int = 0
    zones: Annotated[dict[str, int], Meta(description="Placed tasks by hall.")] = {}


Resource = Job | Task | Machine | Service
TYPES_BY_KIND: dict[str, type[Any]] = {"jobs": Job, "tasks": Task, "machines": Machine, "services": Service}


class Listing(CamelCaseModel, frozen=True, kw_only=True):
    """A page. All pages of one list show the state at `resourceVersion`; a watch goes on from there."""

    resource_version: str
    items: list[Any]
    next: Annotated[str | None, Meta(description="Token of the next page; absent on the last one.")] = (
        msgspec.field(name="continue", default=None)
    )


class JobList(Listing, frozen=True, kw_only=True):
    items: list[Job]


class TaskList(Listing, frozen=True, kw_only=True):
    items: list[Task]


class MachineList(Listing, frozen=True, kw_only=True):
    items: list[Machine]


class ServiceList(Listing, frozen=True, kw_only=True):
    items: list[Service]


class WatchEvent(CamelCaseModel, frozen=True, kw_only=True):
    """A line of a watch. BOOKMARK has only `resourceVersion`; ERROR has a problem and is the last line."""

    type: Literal["ADDED", "MODIFIED", "DELETED", "BOOKMARK", "ERROR"]
    object: Any


class Problem(CamelCaseModel, frozen=True, kw_only=True):
    """An error (RFC 9457)."""

    type: str = "about:blank"
    title: str
    status: int
    detail: str = ""
    retry_after_ms: float | None = None


class Query(StrictModel, frozen=True, kw_only=True):
    """Of a list, and with `watch=1` of a watch."""

    label_selector: Annotated[
        str,
        Meta(
            max_length=1_024,
            description="`a=b,c!=d,e in (f,g),h notin (i),j,!k`; a key with a dot before it is a field: "
            "`.state`, `.class`, `.service`, `.machine`, `.job`, `.framework`, `.zone`, `.phase`, `.agent`.",
        ),
    ] = ""
    limit: Annotated[int, Meta(ge=1, le=1_000)] = 500
    next: Annotated[str, Meta(max_length=1_024)] = msgspec.field(name="continue", default="")
    watch: Literal["0", "1", "true", "false"] = "0"
    resource_version: Annotated[
        str, Meta(max_length=128, description="Of a watch: where it goes on. Absent: all that is, then news.")
    ] = ""
    timeout_seconds: Annotated[int, Meta(ge=1, le=86_400, description="Ends a watch.")] = 3_600


ENCODER = msgspec.json.Encoder()


BODY_DECODERS: dict[type[Any], msgspec.json.Decoder[Any]] = {
    kind: msgspec.json.Decoder(kind) for kind in (NewJob, LabelPatch)
}


def encode(value: Any) -> bytes:
    """The value as JSON."""
    return ENCODER.encode(value)


def encode_at_version(value: Any, version: str) -> bytes:
    """A resource's JSON with the given version.

    Resources are stored without a version, so that equal states compare equal.
    """
    return b'{"resourceVersion":"%b",%b' % (version.encode(), encode(value)[1:])

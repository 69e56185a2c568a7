"""Resources of the REST interface as clients read them from JSON.

Only the fields that the commands read are declared. Resources are plain dictionaries, so that `-o json`
prints every field that the server sent. Import this module only for type checking: building the types would
delay the start of every command.
"""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict

JobSpec = TypedDict(
    "JobSpec",
    {
        "class": NotRequired[str | None],
        "service": NotRequired[str | None],
        "tasks": NotRequired[int],
        "cores": NotRequired[float | None],
        "memory": NotRequired[float | None],
        "waitMs": NotRequired[float | None],
        "lifeMs": NotRequired[float | None],
        "key": NotRequired[str | None],
        "whenLost": NotRequired[Literal["again"] | None],
    },
)


class JobStatus(TypedDict):
    """The phase of a job, and the counts of its tasks by state; a count of zero may be absent."""

    phase: str
    waiting: NotRequired[int]
    placed: NotRequired[int]
    finished: NotRequired[int]
    ended: NotRequired[int]
    refused: NotRequired[int]
    failed: NotRequired[int]


class Job(TypedDict):
    """A set of identical tasks of a tenant."""

    tenant: str
    name: str
    resourceVersion: str
    spec: JobSpec
    status: JobStatus


class WaitCause(TypedDict):
    """One cause why a task waits; `atMs` is in Unix milliseconds."""

    kind: str
    text: str
    count: NotRequired[int]
    machine: NotRequired[str]
    atMs: NotRequired[float]


class WaitExplanation(TypedDict):
    """Why a task waits; the most important cause comes first."""

    summary: str
    causes: NotRequired[list[WaitCause]]


Task = TypedDict(
    "Task",
    {
        "tenant": str,
        "framework": str,
        "name": str,
        "resourceVersion": str,
        "class": str,
        "service": str,
        "state": str,
        "machine": NotRequired[str],
        "message": NotRequired[str],
        "why": NotRequired[WaitExplanation],
    },
)


class Machine(TypedDict):
    """A machine of the cluster; `memoryLeft` is in MB."""

    name: str
    resourceVersion: str
    kind: str
    zone: str
    cell: int
    phase: str
    agent: str
    coresLeft: NotRequired[float]
    memoryLeft: NotRequired[float]


class Service(TypedDict):
    """A service of a tenant and the counts of its tasks; `zones` counts the placed tasks by zone."""

    tenant: str
    name: str
    resourceVersion: str
    waiting: NotRequired[int]
    placed: NotRequired[int]
    zones: NotRequired[dict[str, int]]


Resource = Job | Task | Machine | Service


class WatchEvent(TypedDict):
    """A line of a watch. A BOOKMARK's object has only a resource version; an ERROR's object is a problem."""

    type: Literal["ADDED", "MODIFIED", "DELETED", "BOOKMARK", "ERROR"]
    object: Resource


class JobRequest(TypedDict):
    """The body that creates a job."""

    labels: dict[str, str]
    spec: JobSpec
    name: NotRequired[str]


class JobOptions(TypedDict):
    """Options of `submit` that describe the job."""

    task_class: str | None
    service: str | None
    name: str | None
    tasks: int
    cores: float | None
    memory_mb: float | None
    wait_ms: float | None
    life_ms: float | None
    key: str | None
    labels: tuple[tuple[str, str], ...]
    again: bool

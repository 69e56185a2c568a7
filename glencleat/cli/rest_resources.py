"""Resources of the REST interface as clients read them from JSON.

Only the fields that the commands read are declared. Resources stay plain dictionaries, so that `-o json`
prints every field that the server sent. Import this module for type checking alone: building the types takes
time that every command would pay at its start.
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
    """A job's phase, and its tasks by how they stand; counts of zero may be absent."""

    phase: str
    waiting: NotRequired[int]
    placed: NotRequired[int]
    finished: NotRequired[int]
    ended: NotRequired[int]
    refused: NotRequired[int]
    failed: NotRequired[int]


class Job(TypedDict):
    """A set of equal tasks of a tenant."""

    tenant: str
    name: str
    resourceVersion: str
    spec: JobSpec
    status: JobStatus


class WaitCause(TypedDict):
    """One cause why a task waits; `atMs` is since the epoch."""

    kind: str
    text: str
    count: NotRequired[int]
    machine: NotRequired[str]
    atMs: NotRequired[float]


class WaitExplanation(TypedDict):
    """Why a task waits, the weightiest cause first."""

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
    """A service of a tenant with its tasks; `zones` counts the placed ones by zone."""

    tenant: str
    name: str
    resourceVersion: str
    waiting: NotRequired[int]
    placed: NotRequired[int]
    zones: NotRequired[dict[str, int]]


Resource = Job | Task | Machine | Service


class WatchEvent(TypedDict):
    """A line of a watch. The object of BOOKMARK has a resource version alone, that of ERROR is a problem."""

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

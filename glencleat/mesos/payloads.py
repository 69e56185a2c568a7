"""What the published API has no field for: load reports and probes, in MESSAGE and TaskStatus.data."""

from __future__ import annotations

from glencleat.mesos.common_messages import Struct


class TaskUse(Struct):
    """What one task uses, and the share of full service that it gets."""

    task_id: str
    cores: float | None = None
    memory: float | None = None  # MB
    served: float | None = None  # share of full service, 0 to 1


class Payload(Struct):
    """Of MESSAGE and TaskStatus.data, as base64 of this JSON.

    `kind` is "probe" (allocator to agent, `probe` numbers it) or "report" (agent to allocator; `probe` where
    it answers one). Free amounts are in cores and MB, the others are shares from 0 to 1, `queue` a count.
    """

    kind: str
    probe: int | None = None
    cores_free: float | None = None
    memory_free: float | None = None
    busy: float | None = None
    queue: float | None = None
    memory_used: float | None = None  # share of the machine's memory in use
    tasks: list[TaskUse] = []

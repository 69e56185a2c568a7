"""Calls and events of the Executor API (mesos/v1/executor/executor.proto)."""

from __future__ import annotations

from glencleat.mesos.common_messages import (
    AgentInfo,
    ExecutorInfo,
    FrameworkInfo,
    Struct,
    TaskInfo,
    TaskStatus,
    Value,
)
from glencleat.mesos.scheduler_messages import ErrorEvent


class UpdateCall(Struct):
    """Call UPDATE: a task changed its state."""

    status: TaskStatus


class SubscribeExecutor(Struct):
    """Call SUBSCRIBE of an executor, with what was not acknowledged to it."""

    unacknowledged_tasks: list[TaskInfo] = []
    unacknowledged_updates: list[UpdateCall] = []


class Message(Struct):
    """A message between executor and framework; see `Payload`."""

    data: str  # base64


class ExecutorCall(Struct):
    """A call of an executor; `type` says which field is set."""

    type: str
    executor_id: Value
    framework_id: Value
    subscribe: SubscribeExecutor | None = None
    update: UpdateCall | None = None
    message: Message | None = None


class SubscribedExecutor(Struct):
    """Event SUBSCRIBED of the executor API."""

    executor_info: ExecutorInfo
    framework_info: FrameworkInfo
    agent_info: AgentInfo


class LaunchEvent(Struct):
    """Event LAUNCH: start a task."""

    task: TaskInfo


class KillEvent(Struct):
    """Event KILL: end a task."""

    task_id: Value


class Acknowledged(Struct):
    """Event ACKNOWLEDGED: a status update was received."""

    task_id: Value
    uuid: str


class ExecutorEvent(Struct):
    """An event to an executor; `type` says which field is set."""

    type: str
    subscribed: SubscribedExecutor | None = None
    launch: LaunchEvent | None = None
    kill: KillEvent | None = None
    acknowledged: Acknowledged | None = None
    message: Message | None = None
    error: ErrorEvent | None = None

"""Calls and events of the Scheduler API (mesos/v1/scheduler/scheduler.proto)."""

from __future__ import annotations

from glencleat.mesos.common_messages import (
    Attribute,
    FrameworkInfo,
    Resource,
    Struct,
    TaskInfo,
    TaskStatus,
    Value,
)


class Launch(Struct):
    """Operation LAUNCH of an ACCEPT."""

    task_infos: list[TaskInfo]


class Operation(Struct):
    """What to do with accepted offers."""

    type: str
    launch: Launch | None = None


class Filters(Struct):
    """How long declined resources are not offered again."""

    refuse_seconds: float = 5.0


class Accept(Struct):
    """Call ACCEPT: use offers."""

    offer_ids: list[Value]
    operations: list[Operation] = []
    filters: Filters | None = None


class Decline(Struct):
    """Call DECLINE: return offers."""

    offer_ids: list[Value]
    filters: Filters | None = None


class Kill(Struct):
    """Call KILL: end a task."""

    task_id: Value
    agent_id: Value | None = None


class Acknowledge(Struct):
    """Call ACKNOWLEDGE: a status update was received."""

    agent_id: Value
    task_id: Value
    uuid: str


class ReconcileTask(Struct):
    """A task whose state is asked for."""

    task_id: Value
    agent_id: Value | None = None


class Reconcile(Struct):
    """Call RECONCILE: ask for the latest states; no tasks means all."""

    tasks: list[ReconcileTask] = []


class SubscribeFramework(Struct):
    """Call SUBSCRIBE of a framework."""

    framework_info: FrameworkInfo


class SchedulerCall(Struct):
    """A call of a framework; `type` says which field is set."""

    type: str
    framework_id: Value | None = None
    subscribe: SubscribeFramework | None = None
    accept: Accept | None = None
    decline: Decline | None = None
    kill: Kill | None = None
    acknowledge: Acknowledge | None = None
    reconcile: Reconcile | None = None


class MasterInfo(Struct):
    """The allocator that a framework is subscribed with."""

    id: str
    ip: int
    port: int
    hostname: str = ""
    version: str = ""


class SubscribedFramework(Struct):
    """Event SUBSCRIBED of the scheduler API."""

    framework_id: Value
    heartbeat_interval_seconds: float | None = None
    master_info: MasterInfo | None = None


class Offer(Struct):
    """Resources of an agent that a framework may use."""

    id: Value
    framework_id: Value
    agent_id: Value
    hostname: str
    resources: list[Resource] = []
    attributes: list[Attribute] = []


class Offers(Struct):
    """Event OFFERS."""

    offers: list[Offer]


class UpdateEvent(Struct):
    """Event UPDATE."""

    status: TaskStatus


class Rescind(Struct):
    """Event RESCIND: an offer is void."""

    offer_id: Value


class Failure(Struct):
    """Event FAILURE: an agent was lost."""

    agent_id: Value | None = None


class ErrorEvent(Struct):
    """Event ERROR."""

    message: str


class SchedulerEvent(Struct):
    """An event to a framework; `type` says which field is set."""

    type: str
    subscribed: SubscribedFramework | None = None
    offers: Offers | None = None
    update: UpdateEvent | None = None
    rescind: Rescind | None = None
    failure: Failure | None = None
    error: ErrorEvent | None = None

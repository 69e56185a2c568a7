"""The Scheduler API at /api/v1/scheduler, for owners (mesos/v1/scheduler/scheduler.proto).

SUBSCRIBE is answered with a stream of events and a `Mesos-Stream-Id`; every other call is a POST of its own
that names framework and stream, and is answered 202. A call that can't be read is 400 and changes nothing."""

from __future__ import annotations

from collections.abc import Callable

from glencleat.allocator.core import Core
from glencleat.allocator.frameworks import Framework, FrameworkLimitError
from glencleat.mesos import messages as m
from glencleat.mesos.http import HttpError, Request, Response
from glencleat.servers.http_server import RecordLink, SessionResponse, json_call, require_field

TARGET = "/api/v1/scheduler"
HEARTBEAT = m.encode(m.SchedulerEvent("HEARTBEAT"))
TYPES = (
    "SUBSCRIBE",
    "TEARDOWN",
    "ACCEPT",
    "DECLINE",
    "REVIVE",
    "SUPPRESS",
    "KILL",
    "ACKNOWLEDGE",
    "RECONCILE",
)


class SchedulerApi:
    def __init__(self, core: Core) -> None:
        self.core = core

    def handle(self, request: Request) -> Response | SessionResponse:
        call = json_call(request, TARGET, m.SchedulerCall)
        if call.type == "SUBSCRIBE":
            return self._subscribe(call)
        if call.type not in TYPES:
            raise HttpError(400, f"type is {call.type[:40]!r}; expected one of {', '.join(TYPES)}")
        framework = self._framework(call, request)
        self._call(framework, call)
        return Response(202)

    def _framework(self, call: m.SchedulerCall, request: Request) -> Framework:
        if call.framework_id is None:
            raise HttpError(400, "Expecting 'framework_id' to be present")
        framework = self.core.frameworks.frameworks_by_id.get(call.framework_id.value)
        stream_id = request.headers.get("mesos-stream-id")
        if stream_id is None:
            raise HttpError(400, "All non-subscribe calls should include the 'Mesos-Stream-Id' header")
        if framework is None or framework.session is None:
            raise HttpError(403, "Framework is not subscribed")
        if framework.stream_id != stream_id:
            text = "The stream ID included in this request didn't match the stream ID currently associated"
            raise HttpError(400, f"{text} with framework ID {framework.id[:80]}")
        return framework

    def _subscribe(self, call: m.SchedulerCall) -> SessionResponse:
        if call.subscribe is None:
            raise HttpError(400, "Expecting 'subscribe' to be present")
        info = call.subscribe.framework_info
        told = info.id.value if info.id is not None else None
        named = call.framework_id.value if call.framework_id is not None else told
        if told != named and told is not None:
            raise HttpError(400, "'framework_id' differs from 'subscribe.framework_info.id'")
        if (
            named is not None
            and named.partition(":")[0] in self.core.in_process_frameworks_by_prefix
            and ":" in named
        ):
            raise HttpError(403, f"framework_id is {named[:80]!r}; expected none of the allocator's own")
        if named is not None:
            info.id = m.Value(named)
        try:
            self.core.frameworks.check_capacity(named)  # while a status can still tell it
        except FrameworkLimitError as error:
            raise HttpError(503, str(error)) from None
        stream_id = f"{self.core.random.getrandbits(128):032x}"

        def begin(link: RecordLink) -> Callable[[str], None]:
            framework = self.core.framework_sessions.subscribe(info, stream_id, link)
            return lambda why: self.core.framework_sessions.close_session(framework, link, why)

        return SessionResponse(
            {"Mesos-Stream-Id": stream_id}, begin, HEARTBEAT, self.core.options.heartbeat_ms
        )

    def _call(self, framework: Framework, call: m.SchedulerCall) -> None:
        owners, core = self.core.framework_sessions, self.core
        if call.type == "ACCEPT":
            owners.accept(framework, require_field(call.accept, "accept"))
        elif call.type == "ACKNOWLEDGE":
            owners.acknowledge(framework, require_field(call.acknowledge, "acknowledge").uuid)
        elif call.type == "KILL":
            owners.kill(framework, require_field(call.kill, "kill").task_id.value)
        elif call.type == "RECONCILE":
            owners.reconcile(framework, require_field(call.reconcile, "reconcile").tasks)
        elif call.type == "DECLINE":
            owners.decline(framework, require_field(call.decline, "decline"))
        elif call.type == "SUPPRESS":
            framework.is_suppressed = True
        elif call.type == "REVIVE":
            core.frameworks.revive(framework, core.now())
        elif call.type == "TEARDOWN":
            owners.teardown(framework, "teardown")

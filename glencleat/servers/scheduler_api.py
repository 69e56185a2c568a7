"""The Scheduler API at /api/v1/scheduler, for frameworks (mesos/v1/scheduler/scheduler.proto).

The response to SUBSCRIBE is a stream of events and carries a `Mesos-Stream-Id`. Every other call is a
separate POST request that names the framework and the stream, with the response 202. A malformed call gets
400 and changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from glencleat.allocator.core import Core
from glencleat.allocator.frameworks import Framework, FrameworkLimitError
from glencleat.mesos import messages as m
from glencleat.mesos.http import HttpError, Request, Response
from glencleat.servers.http_server import RecordLink, SessionResponse, json_call, require_field

TARGET = "/api/v1/scheduler"
HEARTBEAT = m.encode(m.SchedulerEvent("HEARTBEAT"))
CALL_TYPES = (
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
    """Request handler of the Scheduler API."""

    def __init__(self, core: Core) -> None:
        self.core = core

    def handle(self, request: Request) -> Response | SessionResponse:
        """Executes the call in a request.

        Raises HttpError if the call is malformed or its framework isn't subscribed.
        """
        call = json_call(request, TARGET, m.SchedulerCall)
        if call.type == "SUBSCRIBE":
            return self._subscribe(call)
        if call.type not in CALL_TYPES:
            raise HttpError(400, f"type is {call.type[:40]!r}; expected one of {', '.join(CALL_TYPES)}")
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
        info_id = info.id.value if info.id is not None else None
        framework_id = call.framework_id.value if call.framework_id is not None else info_id
        if info_id != framework_id and info_id is not None:
            raise HttpError(400, "'framework_id' differs from 'subscribe.framework_info.id'")
        if (
            framework_id is not None
            and framework_id.partition(":")[0] in self.core.in_process_frameworks_by_prefix
            and ":" in framework_id
        ):
            raise HttpError(
                403, f"framework_id is {framework_id[:80]!r}; expected none of the allocator's own"
            )
        if framework_id is not None:
            info.id = m.Value(framework_id)
        try:
            # Before the stream begins, because only then can the failure be reported as a status code.
            self.core.frameworks.check_capacity(framework_id)
        except FrameworkLimitError as error:
            raise HttpError(503, str(error)) from None
        stream_id = f"{self.core.random.getrandbits(128):032x}"

        def open_session(link: RecordLink) -> Callable[[str], None]:
            framework = self.core.framework_sessions.subscribe(info, stream_id, link)
            return lambda why: self.core.framework_sessions.close_session(framework, link, why)

        return SessionResponse(
            {"Mesos-Stream-Id": stream_id}, open_session, HEARTBEAT, self.core.options.heartbeat_ms
        )

    def _call(self, framework: Framework, call: m.SchedulerCall) -> None:
        sessions, core = self.core.framework_sessions, self.core
        if call.type == "ACCEPT":
            sessions.accept(framework, require_field(call.accept, "accept"))
        elif call.type == "ACKNOWLEDGE":
            sessions.acknowledge(framework, require_field(call.acknowledge, "acknowledge").uuid)
        elif call.type == "KILL":
            sessions.kill(framework, require_field(call.kill, "kill").task_id.value)
        elif call.type == "RECONCILE":
            sessions.reconcile(framework, require_field(call.reconcile, "reconcile").tasks)
        elif call.type == "DECLINE":
            sessions.decline(framework, require_field(call.decline, "decline"))
        elif call.type == "SUPPRESS":
            framework.is_suppressed = True
        elif call.type == "REVIVE":
            core.frameworks.revive(framework, core.now())
        elif call.type == "TEARDOWN":
            sessions.teardown(framework, "teardown")

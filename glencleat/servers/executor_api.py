"""The Executor API at /api/v1/executor, for the agents of machines (mesos/v1/executor/executor.proto).

The response to SUBSCRIBE is a stream of events. UPDATE, MESSAGE and HEARTBEAT are separate POST requests
with the response 202. A call of an incarnation that is not subscribed gets 403; its agent then subscribes
again and reports all of its tasks.
"""

from __future__ import annotations

from collections.abc import Callable

from glencleat.allocator.agent_membership import AgentLimitError
from glencleat.allocator.agent_sessions import NotSubscribedError
from glencleat.allocator.core import Core
from glencleat.mesos import messages as m
from glencleat.mesos.http import HttpError, Request, Response
from glencleat.servers.http_server import RecordLink, SessionResponse, json_call, parse_failure, require_field

TARGET = "/api/v1/executor"
HEARTBEAT = m.encode(m.ExecutorEvent("HEARTBEAT"))
CALL_TYPES = ("SUBSCRIBE", "UPDATE", "MESSAGE", "HEARTBEAT")
MAX_ID_CHARACTERS = 256


class ExecutorApi:
    """Request handler of the Executor API."""

    def __init__(self, core: Core) -> None:
        self.core = core

    def handle(self, request: Request) -> Response | SessionResponse:
        """Executes the call in a request.

        Raises HttpError if the call is invalid or its agent isn't subscribed.
        """
        call = json_call(request, TARGET, m.ExecutorCall)
        try:
            if not call.executor_id.value or len(call.executor_id.value) > MAX_ID_CHARACTERS:
                raise HttpError(400, f"executor_id: expected 1 to {MAX_ID_CHARACTERS} characters")
            if call.type == "SUBSCRIBE":
                return self._subscribe(call)
            self._call(call)
        except m.MessageError as error:
            raise parse_failure(error) from None
        except NotSubscribedError as error:
            raise HttpError(403, f"Executor is not subscribed: {error}") from None
        return Response(202)

    def _subscribe(self, call: m.ExecutorCall) -> SessionResponse:
        def open_session(link: RecordLink) -> Callable[[str], None]:
            try:
                agent = self.core.agent_sessions.subscribe(call, link)
            except (AgentLimitError, m.MessageError, NotSubscribedError) as error:
                link.send(m.encode(m.ExecutorEvent("ERROR", error=m.ErrorEvent(str(error)))))
                link.close(str(error))
                return lambda why: None
            return lambda why: self.core.agent_sessions.close_session(agent, link, why)

        return SessionResponse({}, open_session, HEARTBEAT, self.core.options.heartbeat_ms)

    def _call(self, call: m.ExecutorCall) -> None:
        agents, name = self.core.agent_sessions, call.executor_id.value
        if call.type == "UPDATE":
            agents.handle_update(name, require_field(call.update, "update").status)
        elif call.type == "MESSAGE":
            agents.handle_message(name, m.decode_payload(require_field(call.message, "message").data))
        elif call.type == "HEARTBEAT":
            agents.record_heartbeat(name)
        else:
            raise HttpError(400, f"type is {call.type[:40]!r}; expected one of {', '.join(CALL_TYPES)}")

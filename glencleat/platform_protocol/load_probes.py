"""Load reports that the policy requests of hosts: the requests that are out, their time-outs and answers."""

from __future__ import annotations

from glencleat import interface as api
from glencleat.allocator.event_dispatcher import EventDispatcher
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol import value_mapping
from glencleat.platform_protocol.exchange_ports import ExchangePorts


class LoadProbes:
    """The requests by token, which is the id of the health check that asks for the report."""

    def __init__(self, ports: ExchangePorts, event_dispatcher: EventDispatcher, timeout_ms: float) -> None:
        """Starts without requests; one without an answer ends after `timeout_ms`."""
        self.ports, self.event_dispatcher, self.timeout_ms = ports, event_dispatcher, timeout_ms
        self.hosts_by_token: dict[int, str] = {}
        self.last_token = 0

    def allocate_token(self) -> int:
        """Returns the id of a new health check; its answer is ignored unless the policy asked for it."""
        self.last_token += 1
        return self.last_token

    def start(self, action: api.Probe) -> None:
        """Requests the report that the policy asks for."""
        token = self.allocate_token()
        self.hosts_by_token[token] = action.machine
        if self.ports.request_load_report(action.machine, token):
            self.ports.call_in(self.timeout_ms, lambda: self._end(token, api.Outcome.TIMED_OUT, None))
        else:
            self.ports.call_in(0.0, lambda: self._end(token, api.Outcome.UNREACHABLE, None))

    def handle_answer(self, host: str, message: m.PlatformMessage) -> None:
        """Handles a host's answer to a health check.

        Raises:
            ProtocolError: The message is invalid; nothing has been changed.
        """
        outcome = api.Outcome.COMPLETED if message.cause == 1 else api.Outcome.ERROR
        report = value_mapping.read_load_report(message)
        if self.hosts_by_token.get(message.task_id) == host:
            self._end(message.task_id, outcome, report)

    def _end(self, token: int, outcome: api.Outcome, report: api.LoadReport | None) -> None:
        host = self.hosts_by_token.pop(token, None)
        if host is not None:
            self.event_dispatcher.dispatch_event(api.ProbeEnded(host, outcome, report))

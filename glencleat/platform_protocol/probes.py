"""Probes of hosts for their load reports: one answer, or one time-out, a probe.

Imports the ports, the event dispatcher and the interface.
"""

from __future__ import annotations

from glencleat import interface as api
from glencleat.allocator.event_dispatcher import EventDispatcher
from glencleat.platform_protocol.ports import ExchangePorts


class ProbeTable:
    """The probes that are under way, by token."""

    def __init__(self, dispatcher: EventDispatcher, ports: ExchangePorts, timeout_ms: float) -> None:
        self.dispatcher = dispatcher
        self.ports = ports
        self.timeout_ms = timeout_ms
        self._host_by_token: dict[int, str] = {}
        self._last_token = 0

    def start(self, host: str) -> None:
        """Asks a host for its load report; the end is reported to the decision module, never from within."""
        self._last_token += 1
        token = self._last_token
        self._host_by_token[token] = host
        if self.ports.send_probe(host, token):
            self.ports.call_in(self.timeout_ms, lambda: self._end(token, api.Outcome.TIMED_OUT, None))
        else:
            self.ports.call_in(0.0, lambda: self._end(token, api.Outcome.UNREACHABLE, None))

    def receive_result(
        self, host: str, token: int, outcome: api.Outcome, report: api.LoadReport | None
    ) -> None:
        """Takes a host's answer; one that is late, repeated or another host's changes nothing."""
        if self._host_by_token.get(token) == host:
            self._end(token, outcome, report)

    def _end(self, token: int, outcome: api.Outcome, report: api.LoadReport | None) -> None:
        host = self._host_by_token.pop(token, None)
        if host is not None:
            self.dispatcher.dispatch(api.ProbeEnded(host, outcome, report))

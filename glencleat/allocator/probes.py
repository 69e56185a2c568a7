"""Probes: requests to agents for a load report, each with its own time-out."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from glencleat import interface as api
from glencleat.allocator.attempts import find_session
from glencleat.mesos import messages as m

if TYPE_CHECKING:
    from glencleat.allocator.ports import CorePort
    from glencleat.allocator.runtime_ports import TimerPort


@dataclass(frozen=True, slots=True)
class PendingProbe:
    """A probe that has neither been answered nor timed out."""

    number: int
    timer: TimerPort


class ProbeTracker:
    """Sends probes and tells the policy how each ended, once."""

    def __init__(self, core: CorePort) -> None:
        self.core = core
        self.numbers = itertools.count(1)
        self.pending_by_machine: dict[str, list[PendingProbe]] = {}

    def send_probe(self, machine: str) -> None:
        """Ask an agent for its load report; without a session the probe ends as unreachable at once."""
        session = find_session(self.core.membership, machine)
        if session is None:
            self.core.dispatch(api.ProbeEnded(machine, api.Outcome.UNREACHABLE))
            return
        number = next(self.numbers)
        timeout_ms = self.core.options.probe_timeout_ms
        timer = self.core.timing.call_in(timeout_ms, lambda: self.conclude_probe(machine, number, None))
        self.pending_by_machine.setdefault(machine, []).append(PendingProbe(number, timer))
        payload = m.encode_payload(m.Payload("probe", probe=number))
        session.send(m.encode(m.ExecutorEvent("MESSAGE", message=m.Message(payload))))

    def conclude_probe(self, machine: str, number: int, report: api.LoadReport | None) -> None:
        """Tell the policy that a probe ended: with the agent's report, or (None) by its time-out.

        A probe that is not pending any more is ignored.
        """
        pending = self.pending_by_machine.get(machine, [])
        probe = next((probe for probe in pending if probe.number == number), None)
        if probe is None:
            return
        pending.remove(probe)
        probe.timer.cancel()
        if not pending:
            del self.pending_by_machine[machine]
        outcome = api.Outcome.TIMED_OUT if report is None else api.Outcome.COMPLETED
        self.core.dispatch(api.ProbeEnded(machine, outcome, report))

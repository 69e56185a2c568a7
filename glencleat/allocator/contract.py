"""The contract of the module's interface, checked at run time in both directions.

Between core and module: `ContractChecker.handle` has the module's own signature. An embedder's mistake (a
wrong attempt number, an answer told twice) is silently ignored by the module, which then thinks an attempt is
out for ever and soon sends four offers a machine and no more. Here it raises ContractError at the event that
is wrong."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Protocol

from glencleat import interface as api


class ContractError(AssertionError):
    """A caller or the module broke the contract of `glencleat/interface.py`; the text says how."""


class DecisionModule(Protocol):
    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]: ...


@dataclass(slots=True)
class TrackedCall:
    """What the contract remembers of one call."""

    bind_count: int = 0
    machine: str = ""
    has_active_attempt: bool = False  # the last attempt has had no Returned
    is_accepted: bool = False
    is_closed: bool = False  # answered, left or ended: nothing more may be bound


class ContractChecker:
    """Wraps a module; forgets a call once it is over and its last attempt is back."""

    def __init__(self, module: DecisionModule) -> None:
        self.module = module
        self.last_now_ms = float("-inf")
        self.calls_by_id: dict[int, TrackedCall] = {}
        self.timer_count = 0
        self.module_cpu_s, self.event_count = (
            0.0,
            0,
        )  # CPU time that the module itself took, and for how many events
        self.probe_counts_by_machine: dict[str, int] = {}

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        if now_ms < self.last_now_ms:
            raise ContractError(f"the clock went back from {self.last_now_ms} to {now_ms}")
        self.last_now_ms = now_ms
        self._event(event)
        began = time.thread_time()
        actions = self.module.handle(now_ms, event)
        self.module_cpu_s += time.thread_time() - began
        self.event_count += 1
        if isinstance(event, api.AttemptEnded | api.CallAbandoned):
            self._forget(event.call_id)
        for action in actions:
            self._action(action)
        return actions

    # ---- what we tell ----

    def _event(self, event: api.Event) -> None:
        if isinstance(event, api.PlacementRequested):
            self._asked(event)
        elif isinstance(event, api.AttemptAccepted):
            known = self._attempt(event, "Accepted")
            if known.is_accepted:
                raise ContractError(f"call {event.call_id}: Accepted told twice")
            known.is_accepted = True
        elif isinstance(event, api.AttemptEnded):
            known = self._attempt(event, "Returned")
            known.has_active_attempt = False
            if known.is_accepted and not event.is_call_closed:
                raise ContractError(f"call {event.call_id}: Returned after Accepted must be over")
            known.is_closed |= event.is_call_closed
        elif isinstance(event, api.CallAbandoned):
            self._known(event.call_id, "Left").is_closed = True
        elif isinstance(event, api.TimerFired):
            self._count("timer_count", "TimerDue without a SetTimer")
        elif isinstance(event, api.ProbeEnded):
            if self.probe_counts_by_machine.get(event.machine, 0) < 1:
                raise ContractError(f"machine {event.machine}: Probed without a Probe")
            self.probe_counts_by_machine[event.machine] -= 1
            if not self.probe_counts_by_machine[event.machine]:
                del self.probe_counts_by_machine[event.machine]

    def _asked(self, event: api.PlacementRequested) -> None:
        if event.call_id in self.calls_by_id:
            raise ContractError(f"call {event.call_id}: Asked twice; expected a number not in use")
        if event.machine is None and not event.remaining_ms > 0.0:
            raise ContractError(
                f"call {event.call_id}: left_ms is {event.remaining_ms}; expected a time above 0"
            )
        adopted = event.machine is not None
        self.calls_by_id[event.call_id] = TrackedCall(int(adopted), event.machine or "", adopted, adopted)

    def _known(self, call: int, name: str) -> TrackedCall:
        if call not in self.calls_by_id:
            raise ContractError(f"call {call}: {name} of a call never asked or over")
        return self.calls_by_id[call]

    def _attempt(self, event: api.AttemptAccepted | api.AttemptEnded, name: str) -> TrackedCall:
        known = self._known(event.call_id, name)
        if event.attempt != known.bind_count - 1:
            told = f"{name} of attempt {event.attempt}"
            raise ContractError(
                f"call {event.call_id}: {told}; attempts count from 0, out is {known.bind_count - 1}"
            )
        if event.machine != known.machine:
            raise ContractError(f"call {event.call_id}: {name} by {event.machine}, bound to {known.machine}")
        if not known.has_active_attempt:
            raise ContractError(
                f"call {event.call_id}: {name} of attempt {event.attempt}, which is back already"
            )
        if event.elapsed_ms < 0.0:
            raise ContractError(f"call {event.call_id}: spent_ms is {event.elapsed_ms}")
        return known

    def _count(self, name: str, fault: str) -> None:
        left = getattr(self, name) - 1
        if left < 0:
            raise ContractError(fault)
        setattr(self, name, left)

    # ---- what it answers ----

    def _action(self, action: api.Action) -> None:
        if isinstance(action, api.Bind):
            known = self._open(action.call_id, "Bind")
            if known.has_active_attempt:
                raise ContractError(
                    f"call {action.call_id}: Bind while attempt {known.bind_count - 1} is out"
                )
            known.bind_count, known.machine = known.bind_count + 1, action.machine
            known.has_active_attempt, known.is_accepted = True, False
        elif isinstance(action, api.Reject | api.Fail):
            known = self._open(action.call_id, type(action).__name__)
            if known.has_active_attempt:
                raise ContractError(
                    f"call {action.call_id}: answered while attempt {known.bind_count - 1} is out"
                )
            known.is_closed = True
            self._forget(action.call_id)
        elif isinstance(action, api.SetTimer):
            self.timer_count += 1
        elif isinstance(action, api.Probe):
            self.probe_counts_by_machine[action.machine] = (
                self.probe_counts_by_machine.get(action.machine, 0) + 1
            )

    def _open(self, call: int, name: str) -> TrackedCall:
        known = self.calls_by_id.get(call)
        if known is None or known.is_closed:
            raise ContractError(f"call {call}: {name} after its answer")
        return known

    def _forget(self, call: int) -> None:
        known = self.calls_by_id.get(call)
        if known is not None and known.is_closed and not known.has_active_attempt:
            del self.calls_by_id[call]

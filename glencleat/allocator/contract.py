"""Checks the contract of the policy's interface at run time, in both directions.

`ContractChecker` sits between the caller and the policy and has the policy's own signature. The policy
silently ignores a caller's mistake, such as a wrong attempt number or an answer reported twice; it then
counts an attempt as in flight for ever, and after four of these at a machine it sends nothing more there. The
checker raises ContractError at the faulty event instead.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Protocol

from glencleat import interface as api


class ContractError(AssertionError):
    """The caller or the policy broke the contract of `glencleat/interface.py`; the text says how."""


class DecisionModule(Protocol):
    """A policy: takes events, returns actions."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Returns the actions that follow the event, in the order in which they are to be carried out."""


@dataclass(slots=True)
class TrackedCall:
    """State of one call, as far as the contract depends on it."""

    bind_count: int = 0
    machine: str = ""
    has_active_attempt: bool = False  # the last attempt has had no AttemptEnded
    is_accepted: bool = False
    is_closed: bool = False  # answered, abandoned or ended: no further Bind is allowed


class ContractChecker:
    """Wraps a policy; forgets a call once it is closed and its last attempt has ended."""

    def __init__(self, module: DecisionModule) -> None:
        self.module = module
        self.last_now_ms = float("-inf")
        self.calls_by_id: dict[int, TrackedCall] = {}
        self.timer_count = 0  # timers that were set and have not fired
        # CPU time of the policy alone, and the number of events that it handled in it.
        self.module_cpu_s, self.event_count = 0.0, 0
        self.probe_counts_by_machine: dict[str, int] = {}

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Checks the event, passes it to the policy, and checks and returns the policy's actions.

        Raises ContractError.
        """
        if now_ms < self.last_now_ms:
            raise ContractError(f"the clock went back from {self.last_now_ms} to {now_ms}")
        self.last_now_ms = now_ms
        self._check_event(event)
        started_s = time.thread_time()
        actions = self.module.handle(now_ms, event)
        self.module_cpu_s += time.thread_time() - started_s
        self.event_count += 1
        if isinstance(event, api.AttemptEnded | api.CallAbandoned):
            self._forget_if_done(event.call_id)
        for action in actions:
            self._check_action(action)
        return actions

    # ---- events to the policy ----

    def _check_event(self, event: api.Event) -> None:
        if isinstance(event, api.PlacementRequested):
            self._check_request(event)
        elif isinstance(event, api.AttemptAccepted):
            call = self._check_attempt(event, "AttemptAccepted")
            if call.is_accepted:
                raise ContractError(f"call {event.call_id}: AttemptAccepted reported twice")
            call.is_accepted = True
        elif isinstance(event, api.AttemptEnded):
            call = self._check_attempt(event, "AttemptEnded")
            call.has_active_attempt = False
            if call.is_accepted and not event.is_call_closed:
                raise ContractError(
                    f"call {event.call_id}: AttemptEnded after AttemptAccepted must close the call"
                )
            call.is_closed |= event.is_call_closed
        elif isinstance(event, api.CallAbandoned):
            self._find_call(event.call_id, "CallAbandoned").is_closed = True
        elif isinstance(event, api.TimerFired):
            self._decrement("timer_count", "TimerFired without a SetTimer")
        elif isinstance(event, api.ProbeEnded):
            if self.probe_counts_by_machine.get(event.machine, 0) < 1:
                raise ContractError(f"machine {event.machine}: ProbeEnded without a Probe")
            self.probe_counts_by_machine[event.machine] -= 1
            if not self.probe_counts_by_machine[event.machine]:
                del self.probe_counts_by_machine[event.machine]

    def _check_request(self, event: api.PlacementRequested) -> None:
        if event.call_id in self.calls_by_id:
            raise ContractError(f"call {event.call_id}: requested twice; expected an id that is not in use")
        if event.machine is None and not event.remaining_ms > 0.0:
            raise ContractError(
                f"call {event.call_id}: remaining_ms is {event.remaining_ms}; expected a time above 0"
            )
        is_adopted = event.machine is not None
        self.calls_by_id[event.call_id] = TrackedCall(
            int(is_adopted), event.machine or "", is_adopted, is_adopted
        )

    def _find_call(self, call_id: int, event_name: str) -> TrackedCall:
        if call_id not in self.calls_by_id:
            raise ContractError(f"call {call_id}: {event_name} of a call that was never requested or is over")
        return self.calls_by_id[call_id]

    def _check_attempt(self, event: api.AttemptAccepted | api.AttemptEnded, event_name: str) -> TrackedCall:
        call = self._find_call(event.call_id, event_name)
        if event.attempt != call.bind_count - 1:
            found = f"{event_name} of attempt {event.attempt}"
            raise ContractError(
                f"call {event.call_id}: {found}; attempts count from 0, the last is {call.bind_count - 1}"
            )
        if event.machine != call.machine:
            raise ContractError(
                f"call {event.call_id}: {event_name} by {event.machine}, bound to {call.machine}"
            )
        if not call.has_active_attempt:
            raise ContractError(
                f"call {event.call_id}: {event_name} of attempt {event.attempt}, which has ended already"
            )
        if event.elapsed_ms < 0.0:
            raise ContractError(f"call {event.call_id}: elapsed_ms is {event.elapsed_ms}; expected 0 or more")
        return call

    def _decrement(self, counter_name: str, fault: str) -> None:
        remaining = getattr(self, counter_name) - 1
        if remaining < 0:
            raise ContractError(fault)
        setattr(self, counter_name, remaining)

    # ---- actions of the policy ----

    def _check_action(self, action: api.Action) -> None:
        if isinstance(action, api.Bind):
            call = self._find_open_call(action.call_id, "Bind")
            if call.has_active_attempt:
                raise ContractError(
                    f"call {action.call_id}: Bind while attempt {call.bind_count - 1} is in flight"
                )
            call.bind_count, call.machine = call.bind_count + 1, action.machine
            call.has_active_attempt, call.is_accepted = True, False
        elif isinstance(action, api.Reject | api.Fail):
            call = self._find_open_call(action.call_id, type(action).__name__)
            if call.has_active_attempt:
                raise ContractError(
                    f"call {action.call_id}: answered while attempt {call.bind_count - 1} is in flight"
                )
            call.is_closed = True
            self._forget_if_done(action.call_id)
        elif isinstance(action, api.SetTimer):
            self.timer_count += 1
        elif isinstance(action, api.Probe):
            self.probe_counts_by_machine[action.machine] = (
                self.probe_counts_by_machine.get(action.machine, 0) + 1
            )

    def _find_open_call(self, call_id: int, action_name: str) -> TrackedCall:
        call = self.calls_by_id.get(call_id)
        if call is None or call.is_closed:
            raise ContractError(f"call {call_id}: {action_name} after its final answer")
        return call

    def _forget_if_done(self, call_id: int) -> None:
        call = self.calls_by_id.get(call_id)
        if call is not None and call.is_closed and not call.has_active_attempt:
            del self.calls_by_id[call_id]

"""The contract of the policy's interface, checked at run time in both directions.

Stands between core and policy: `Contract.handle` has the policy's own signature. An embedder's mistake (a
wrong attempt number, an answer told twice) is silently ignored by the policy, which then takes an attempt to
be active for ever and soon sends four offers a machine and no more. Here it raises ContractError at the event
that is wrong.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Protocol

from glencleat import interface as api


class ContractError(AssertionError):
    """A caller or the policy broke the contract of `glencleat/interface.py`; the text says how.

    Attributes:
        call_id: The call that the event or action is about, if any.
        machine: The machine that it is about, if it is not about a call.
    """

    def __init__(self, fault: str, *, call_id: int | None = None, machine: str | None = None) -> None:
        subject = ""
        if call_id is not None:
            subject = f"call {call_id}: "
        elif machine is not None:
            subject = f"machine {machine}: "
        super().__init__(subject + fault)
        self.call_id = call_id
        self.machine = machine


class PolicyPort(Protocol):
    """Takes events and answers with actions, as `interface.py` describes."""

    def handle(self, now_ms: float, event: api.Event, /) -> list[api.Action]:
        """Take an event at a monotonic time and return the actions to carry out, in order."""
        ...


@dataclass(slots=True)
class TrackedCall:
    """What the contract remembers of one call."""

    attempt_count: int = 0
    machine: str = ""  # of the last attempt
    is_attempt_active: bool = False  # the last attempt has had no AttemptEnded
    is_accepted: bool = False
    is_closed: bool = False  # answered, abandoned or ended: nothing more may be bound


class Contract:
    """Wraps a policy; forgets a call once it is closed and its last attempt has ended."""

    def __init__(self, policy: PolicyPort) -> None:
        self.policy = policy
        self.now = float("-inf")
        self.calls: dict[int, TrackedCall] = {}
        self.pending_timers = 0
        self.pending_probes: dict[str, int] = {}  # machine -> probes that have not ended
        self.policy_cpu_s = 0.0  # CPU time that the policy itself took
        self.event_count = 0

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Check an event, pass it to the policy, and check and return its actions.

        Raises:
            ContractError: the event or an action breaks the contract, or the clock went back.
        """
        if now_ms < self.now:
            raise ContractError(f"the clock went back from {self.now} to {now_ms}")
        self.now = now_ms
        self._check_event(event)
        started_s = time.thread_time()
        actions = self.policy.handle(now_ms, event)
        self.policy_cpu_s += time.thread_time() - started_s
        self.event_count += 1
        if isinstance(event, api.AttemptEnded | api.CallAbandoned):
            self._forget_if_over(event.call_id)
        for action in actions:
            self._check_action(action)
        return actions

    # ---- events ----

    def _check_event(self, event: api.Event) -> None:
        if isinstance(event, api.PlacementRequested):
            self._check_request(event)
        elif isinstance(event, api.AttemptAccepted):
            self._check_acceptance(event)
        elif isinstance(event, api.AttemptEnded):
            self._check_end(event)
        elif isinstance(event, api.CallAbandoned):
            self._find_call(event).is_closed = True
        elif isinstance(event, api.TimerFired):
            self._check_timer()
        elif isinstance(event, api.ProbeEnded):
            self._check_probe(event.machine)

    def _check_request(self, event: api.PlacementRequested) -> None:
        if event.call_id in self.calls:
            raise ContractError(
                "PlacementRequested twice; expected a number not in use", call_id=event.call_id
            )
        is_adopted = event.machine is not None
        if not is_adopted and not event.remaining_ms > 0.0:
            raise ContractError(
                f"remaining_ms is {event.remaining_ms}; expected a time above 0", call_id=event.call_id
            )
        self.calls[event.call_id] = TrackedCall(
            attempt_count=int(is_adopted),
            machine=event.machine or "",
            is_attempt_active=is_adopted,
            is_accepted=is_adopted,
        )

    def _check_acceptance(self, event: api.AttemptAccepted) -> None:
        call = self._find_active_attempt(event)
        if call.is_accepted:
            raise ContractError("AttemptAccepted twice", call_id=event.call_id)
        call.is_accepted = True

    def _check_end(self, event: api.AttemptEnded) -> None:
        call = self._find_active_attempt(event)
        call.is_attempt_active = False
        if call.is_accepted and not event.is_call_closed:
            raise ContractError("AttemptEnded after AttemptAccepted must close it", call_id=event.call_id)
        if event.is_call_closed:
            call.is_closed = True

    def _check_timer(self) -> None:
        if self.pending_timers < 1:
            raise ContractError("TimerFired without a SetTimer")
        self.pending_timers -= 1

    def _check_probe(self, machine: str) -> None:
        if self.pending_probes.get(machine, 0) < 1:
            raise ContractError("ProbeEnded without a Probe", machine=machine)
        self.pending_probes[machine] -= 1
        if not self.pending_probes[machine]:
            del self.pending_probes[machine]

    def _find_call(self, event: api.AttemptAccepted | api.AttemptEnded | api.CallAbandoned) -> TrackedCall:
        call = self.calls.get(event.call_id)
        if call is None:
            name = type(event).__name__
            raise ContractError(f"{name} of a call never requested or closed", call_id=event.call_id)
        return call

    def _find_active_attempt(self, event: api.AttemptAccepted | api.AttemptEnded) -> TrackedCall:
        """Return the call of an event about its last attempt, which must be active."""
        call = self._find_call(event)
        fault = None
        name = type(event).__name__
        last = call.attempt_count - 1
        if event.attempt != last:
            fault = f"{name} of attempt {event.attempt}; attempts count from 0, the last is {last}"
        elif event.machine != call.machine:
            fault = f"{name} by {event.machine}, bound to {call.machine}"
        elif not call.is_attempt_active:
            fault = f"{name} of attempt {event.attempt}, which has ended already"
        elif event.elapsed_ms < 0.0:
            fault = f"elapsed_ms is {event.elapsed_ms}"
        if fault is not None:
            raise ContractError(fault, call_id=event.call_id)
        return call

    # ---- actions ----

    def _check_action(self, action: api.Action) -> None:
        if isinstance(action, api.Bind):
            call = self._find_open_call(action)
            call.attempt_count += 1
            call.machine = action.machine
            call.is_attempt_active = True
            call.is_accepted = False
        elif isinstance(action, api.Reject | api.Fail):
            call = self._find_open_call(action)
            call.is_closed = True
            self._forget_if_over(action.call_id)
        elif isinstance(action, api.SetTimer):
            self.pending_timers += 1
        elif isinstance(action, api.Probe):
            self.pending_probes[action.machine] = self.pending_probes.get(action.machine, 0) + 1

    def _find_open_call(self, action: api.Bind | api.Reject | api.Fail) -> TrackedCall:
        """Return the call of an action, which must be open and without an active attempt."""
        call = self.calls.get(action.call_id)
        name = type(action).__name__
        if call is None or call.is_closed:
            raise ContractError(f"{name} after its answer", call_id=action.call_id)
        if call.is_attempt_active:
            last = call.attempt_count - 1
            raise ContractError(f"{name} while attempt {last} is active", call_id=action.call_id)
        return call

    def _forget_if_over(self, call_id: int) -> None:
        call = self.calls.get(call_id)
        if call is not None and call.is_closed and not call.is_attempt_active:
            del self.calls[call_id]

"""The table of calls: the state of every task that is open or was answered lately.

Pure state with bounded memory. A call is one request of an owner to place a task; each Bind of the policy
makes one attempt of it. Closed calls are kept while an agent may still report about them or an owner may
ask; beyond `max_closed_calls` the oldest of these are forgotten.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from glencleat import interface as api
from glencleat.allocator.pending_reasons import PendingReasons
from glencleat.allocator.runtime_ports import SessionStreamPort, TimerPort
from glencleat.allocator.status_mapping import AttemptStep, ExecutionStatus, combine_execution_statuses
from glencleat.mesos.messages import TaskInfo

# Remembered of an attempt's updates; older ones are stale by their step anyhow.
MAX_UPDATE_UUIDS = 8


class FinalAnswer(Enum):
    """The one final answer of a call; the values are labels of metrics."""

    PLACED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class TaskRequest:
    """What a TaskInfo requests, checked by `task_requests.read`."""

    task_class: str
    service: str
    key: str
    cores: float
    memory: float  # in the unit of the machine list
    remaining_ms: float  # until its owner gives up, counted from when it was accepted
    expected_run_ms: float | None = None
    is_retry: bool = False
    has_explicit_key: bool = False  # the owner gave the key: it names the work, whatever the task id or API


@dataclass(slots=True, eq=False)
class Attempt:
    """One LAUNCH to one agent, from the Bind to the last report about it."""

    call: Call
    number: int  # counted from 0 within the call
    machine: str
    id: str  # the task's id towards the agent; unique over allocators and their restarts
    sent_at_ms: float = 0.0
    session: SessionStreamPort | None = None  # the agent's session that the LAUNCH went to
    begin_offset: int = 0  # the LAUNCH's place in that session's stream
    end_offset: int = 0
    step: AttemptStep = AttemptStep.DISPATCHED
    is_concluded: bool = False  # the policy has been told AttemptEnded
    was_placed: bool = False  # accepted while the policy still waited for it, or adopted
    has_run: bool | None = None  # None: not known
    timer: TimerPort | None = None
    update_uuids: list[str] = field(default_factory=list)

    def execution_status(self) -> ExecutionStatus:
        """Return what is known of whether the task ran."""
        if self.has_run is False:
            return ExecutionStatus.NEVER_RAN
        if self.step is AttemptStep.ENDED:
            return ExecutionStatus.ENDED
        return ExecutionStatus.UNCERTAIN if self.step is AttemptStep.DISPATCHED else ExecutionStatus.RUNNING

    def has_seen_update(self, uuid: str | None) -> bool:
        """Return whether an update with this uuid was handled before, and remember it."""
        if uuid is None:
            return False
        if uuid in self.update_uuids:
            return True
        self.update_uuids.append(uuid)
        del self.update_uuids[:-MAX_UPDATE_UUIDS]
        return False


@dataclass(slots=True, eq=False)
class Call:
    """One owner's request to place a task, until nothing more can be heard of it."""

    number: int
    framework: str  # id of the framework, or of an owner within the process
    task_id: str
    info: TaskInfo
    request: TaskRequest
    idempotency: api.Idempotency
    tenant: str | None
    accepted_at_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    final_answer: FinalAnswer | None = None
    is_adopted: bool = False  # placed by a former incarnation
    is_abandoned: bool = False  # its owner killed it or is gone
    is_closed: bool = False  # nothing more is expected of the policy
    is_requested: bool = False  # the policy has been told PlacementRequested
    pending_reasons: PendingReasons = field(default_factory=PendingReasons)

    def last_attempt(self) -> Attempt | None:
        """Return the latest attempt, if there was one."""
        return self.attempts[-1] if self.attempts else None

    def active_attempt(self) -> Attempt | None:
        """Return the attempt that the policy counts as dispatched or placed."""
        last = self.last_attempt()
        return last if last is not None and not last.is_concluded else None

    def is_placed(self) -> bool:
        """Return whether an agent has accepted the active attempt."""
        active = self.active_attempt()
        return active is not None and active.step in (AttemptStep.ACCEPTED, AttemptStep.RUNNING)

    def execution_status(self) -> ExecutionStatus:
        """Return what is known of whether any attempt ran."""
        return combine_execution_statuses([attempt.execution_status() for attempt in self.attempts])

    def may_have_run(self) -> bool:
        """Return whether an attempt ran, or none is known not to have."""
        return any(attempt.has_run is not False for attempt in self.attempts)


class AnsweredTwiceError(AssertionError):
    """A call was given a second final answer."""

    def __init__(self, call_number: int, answer: FinalAnswer, earlier: FinalAnswer) -> None:
        super().__init__(f"call {call_number}: {answer.value} after {earlier.value}")
        self.call_number = call_number
        self.answer = answer
        self.earlier = earlier


class CallTable:
    """Calls by number and by owner's task, attempts by their id and by machine."""

    def __init__(self, max_closed_calls: int = 50_000) -> None:
        self.max_closed_calls = max_closed_calls
        self.active_calls: dict[int, Call] = {}  # those of which the policy still expects something
        self.calls_by_framework: dict[str, dict[str, Call]] = {}  # framework -> task id -> its latest call
        self.attempts_by_id: dict[str, Attempt] = {}
        self.attempts_by_machine: dict[str, dict[str, Attempt]] = {}
        self.closed_calls: OrderedDict[int, Call] = OrderedDict()
        self.calls_by_key: dict[tuple[str, str], Call] = {}  # (tenant, explicit key) -> non-idempotent call
        self.unanswered_count = 0
        self.on_forgotten: Callable[[Call], None] = lambda call: None

    def add_call(self, call: Call) -> None:
        """Add a call; it becomes the latest one of its owner's task."""
        self.active_calls[call.number] = call
        self.calls_by_framework.setdefault(call.framework, {})[call.task_id] = call
        is_non_idempotent = call.idempotency is api.Idempotency.NON_IDEMPOTENT
        if is_non_idempotent and call.tenant and call.request.has_explicit_key:
            self.calls_by_key[call.tenant, call.request.key] = call
        if call.final_answer is None:
            self.unanswered_count += 1

    def add_attempt(self, attempt: Attempt) -> None:
        """Add an attempt to its call and to its machine."""
        attempt.call.attempts.append(attempt)
        self.attempts_by_id[attempt.id] = attempt
        self.attempts_by_machine.setdefault(attempt.machine, {})[attempt.id] = attempt

    def record_answer(self, call: Call, final_answer: FinalAnswer) -> None:
        """Record the final answer of a call.

        Raises:
            AnsweredTwiceError: the call has one already.
        """
        if call.final_answer is not None:
            raise AnsweredTwiceError(call.number, final_answer, call.final_answer)
        call.final_answer = final_answer
        self.unanswered_count -= 1

    def close_call(self, call: Call) -> None:
        """Close a call that the policy is done with; it is kept for late reports and RECONCILE."""
        if call.is_closed:
            return
        call.is_closed = True
        self.active_calls.pop(call.number, None)
        self.closed_calls[call.number] = call
        while len(self.closed_calls) > self.max_closed_calls:
            _, oldest = self.closed_calls.popitem(last=False)
            self.forget_call(oldest)

    def forget_call(self, call: Call) -> None:
        """Remove a call and its attempts from every index and call `on_forgotten`."""
        self.closed_calls.pop(call.number, None)
        key = (call.tenant or "", call.request.key)
        if self.calls_by_key.get(key) is call:
            del self.calls_by_key[key]
        if self.find_call(call.framework, call.task_id) is call:
            del self.calls_by_framework[call.framework][call.task_id]
            if not self.calls_by_framework[call.framework]:
                del self.calls_by_framework[call.framework]
        for attempt in call.attempts:
            self.forget_attempt(attempt)
        self.on_forgotten(call)

    def forget_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt of which no more can be heard."""
        self.attempts_by_id.pop(attempt.id, None)
        self.settle_attempt(attempt)

    def settle_attempt(self, attempt: Attempt) -> None:
        """Stop counting an attempt at its machine: the last report about it came."""
        attempts = self.attempts_by_machine.get(attempt.machine)
        if attempts is not None:
            attempts.pop(attempt.id, None)
            if not attempts:
                del self.attempts_by_machine[attempt.machine]

    def attempts_on(self, machine: str) -> list[Attempt]:
        """Return the attempts at a machine of which more may be heard."""
        return list(self.attempts_by_machine.get(machine, {}).values())

    def find_call(self, framework: str, task_id: str) -> Call | None:
        """Return the latest call of an owner's task."""
        return self.calls_by_framework.get(framework, {}).get(task_id)

    def calls_of(self, framework: str) -> list[Call]:
        """Return the latest calls of all tasks of an owner."""
        return list(self.calls_by_framework.get(framework, {}).values())

"""The table of calls: from it the state of every task, open or lately answered, can be told at any instant.

Pure state with bounded memory. A call is one placing of an owner's task; each Bind of the module makes one
attempt of it. Answered calls stay as long as an agent may still say something about them, or an owner may
ask; the oldest of these go first when there are more than `max_closed_calls`."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from glencleat import interface as api
from glencleat.allocator.pending_reasons import PendingReasons
from glencleat.allocator.status_mapping import AttemptStep, ExecutionStatus, combine_execution_statuses
from glencleat.mesos.messages import TaskInfo

MAX_REMEMBERED_UUIDS = 8  # of an attempt's updates; older ones are stale by their step anyhow


class FinalAnswer(Enum):
    """The one final answer of a call."""

    PLACED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class TaskRequest:
    """What a TaskInfo asks for, checked (`asks.read`)."""

    task_class: str
    service: str
    idempotency_key: str
    cores: float
    memory: float
    remaining_ms: float
    expected_run_ms: float | None = None
    is_retry: bool = False
    has_explicit_key: bool = False  # the owner gave the key: it names the work, whatever the task id or front


@dataclass(slots=True, eq=False)
class Attempt:
    """One LAUNCH to one agent, from the Bind to the last word about it."""

    call: Call
    number: int
    machine: str
    id: str  # the task's id towards the agent; unique over allocators and their restarts
    sent_at_ms: float = 0.0
    session: object = None  # the agent's session that the LAUNCH went to
    launch_begin: int = 0  # the LAUNCH's place in that session's stream
    launch_end: int = 0
    step: AttemptStep = AttemptStep.DISPATCHED
    is_concluded: bool = False  # the module has had its Returned
    was_placed: bool = False  # its yes came while the module still waited for it, or it was adopted
    has_run: bool | None = None  # None: not known
    timer: object = None
    update_uuids: list[str] = field(default_factory=list)

    def execution_status(self) -> ExecutionStatus:
        if self.has_run is False:
            return ExecutionStatus.NEVER_RAN
        if self.step is AttemptStep.ENDED:
            return ExecutionStatus.ENDED
        return ExecutionStatus.UNCERTAIN if self.step is AttemptStep.DISPATCHED else ExecutionStatus.RUNNING

    def check_duplicate_update(self, uuid: str | None) -> bool:
        """Whether an update with this uuid was handled before; remembers it."""
        if uuid is None:
            return False
        if uuid in self.update_uuids:
            return True
        self.update_uuids.append(uuid)
        del self.update_uuids[:-MAX_REMEMBERED_UUIDS]
        return False


@dataclass(slots=True, eq=False)
class Call:
    number: int
    framework_id: str
    task_id: str
    info: TaskInfo
    task_request: TaskRequest
    idempotency: api.Idempotency
    tenant: str | None
    received_at_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    final_answer: FinalAnswer | None = None
    is_adopted: bool = False
    is_cancelled: bool = False  # its owner killed it or is gone
    is_closed: bool = False  # nothing more is expected of the module
    is_placement_requested: bool = False  # the module has been asked
    pending_reasons: PendingReasons = field(default_factory=PendingReasons)

    def last_attempt(self) -> Attempt | None:
        return self.attempts[-1] if self.attempts else None

    def active_attempt(self) -> Attempt | None:
        """The attempt that the module counts as out or placed."""
        last = self.last_attempt()
        return last if last is not None and not last.is_concluded else None

    def is_placed(self) -> bool:
        out = self.active_attempt()
        return out is not None and out.step in (AttemptStep.ACCEPTED, AttemptStep.RUNNING)

    def execution_status(self) -> ExecutionStatus:
        return combine_execution_statuses([a.execution_status() for a in self.attempts])

    def may_have_run(self) -> bool:
        return any(a.has_run is not False for a in self.attempts)


class CallTable:
    """Calls by number and by owner's task, attempts by their id and by machine."""

    def __init__(self, max_closed_calls: int = 50_000) -> None:
        self.max_closed_calls = max_closed_calls
        self.active_calls_by_number: dict[int, Call] = {}  # those of which the module still expects something
        self.latest_calls_by_framework: dict[
            str, dict[str, Call]
        ] = {}  # framework -> task id -> its latest call
        self.attempts_by_id: dict[str, Attempt] = {}
        self.attempts_by_machine: dict[str, dict[str, Attempt]] = {}
        self.closed_calls_by_number: OrderedDict[int, Call] = OrderedDict()
        self.calls_by_idempotency_key: dict[tuple[str, str], Call] = {}  # tenant, key told -> unsafe call
        self.open_task_count = 0  # taken and without an answer
        self.on_forget: Callable[[Call], None] = lambda call: None

    def add_call(self, call: Call) -> None:
        self.active_calls_by_number[call.number] = call
        self.latest_calls_by_framework.setdefault(call.framework_id, {})[call.task_id] = call
        if (
            call.idempotency is api.Idempotency.NON_IDEMPOTENT
            and call.tenant
            and call.task_request.has_explicit_key
        ):
            self.calls_by_idempotency_key[call.tenant, call.task_request.idempotency_key] = call
        self.open_task_count += call.final_answer is None

    def bind(self, attempt: Attempt) -> None:
        attempt.call.attempts.append(attempt)
        self.attempts_by_id[attempt.id] = attempt
        self.attempts_by_machine.setdefault(attempt.machine, {})[attempt.id] = attempt

    def record_answer(self, call: Call, given: FinalAnswer) -> None:
        if call.final_answer is not None:
            raise AssertionError(f"call {call.number}: {given.value} after {call.final_answer.value}")
        call.final_answer = given
        self.open_task_count -= 1

    def close(self, call: Call) -> None:
        """The module is done with the call; it is remembered for late words and RECONCILE."""
        if call.is_closed:
            return
        call.is_closed = True
        self.active_calls_by_number.pop(call.number, None)
        self.closed_calls_by_number[call.number] = call
        while len(self.closed_calls_by_number) > self.max_closed_calls:
            _, oldest = self.closed_calls_by_number.popitem(last=False)
            self.forget(oldest)

    def forget(self, call: Call) -> None:
        self.closed_calls_by_number.pop(call.number, None)
        if self.calls_by_idempotency_key.get((call.tenant or "", call.task_request.idempotency_key)) is call:
            del self.calls_by_idempotency_key[call.tenant or "", call.task_request.idempotency_key]
        if self.find_call(call.framework_id, call.task_id) is call:
            del self.latest_calls_by_framework[call.framework_id][call.task_id]
            if not self.latest_calls_by_framework[call.framework_id]:
                del self.latest_calls_by_framework[call.framework_id]
        for attempt in call.attempts:
            self.drop(attempt)
        self.on_forget(call)

    def drop(self, attempt: Attempt) -> None:
        """Forgets an attempt of which no more can be heard."""
        self.attempts_by_id.pop(attempt.id, None)
        self.remove_from_machine(attempt)

    def remove_from_machine(self, attempt: Attempt) -> None:
        """The last word about an attempt came: it no longer counts at its machine."""
        there = self.attempts_by_machine.get(attempt.machine)
        if there is not None:
            there.pop(attempt.id, None)
            if not there:
                del self.attempts_by_machine[attempt.machine]

    def attempts_at(self, machine: str) -> list[Attempt]:
        """Attempts at a machine of which more may be heard."""
        return list(self.attempts_by_machine.get(machine, {}).values())

    def find_call(self, framework: str, task_id: str) -> Call | None:
        return self.latest_calls_by_framework.get(framework, {}).get(task_id)

    def calls_of(self, framework: str) -> list[Call]:
        return list(self.latest_calls_by_framework.get(framework, {}).values())

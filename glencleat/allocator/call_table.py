"""The table of calls: the state of every task, open or recently answered.

Pure state with bounded memory. A call is one placement of a client's task; each Bind of the policy makes one
attempt of it. Answered calls are kept while an agent may still report on them or a client may ask about them;
beyond `max_closed_calls`, the oldest are forgotten first.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from glencleat import interface as api
from glencleat.allocator.pending_reasons import PendingReasons
from glencleat.allocator.status_mapping import AttemptStep, ExecutionStatus, combine_execution_statuses
from glencleat.mesos.messages import TaskInfo

MAX_REMEMBERED_UUIDS = 8  # of an attempt's updates; older updates are recognized as stale by their step


class FinalAnswer(Enum):
    """The one final answer of a call."""

    PLACED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class TaskRequest:
    """The validated request of a TaskInfo (`task_requests`)."""

    task_class: str
    service: str
    idempotency_key: str
    cores: float
    memory: float
    remaining_ms: float
    expected_run_ms: float | None = None
    is_retry: bool = False
    has_explicit_key: bool = False  # set by the client: it identifies the work, whatever the task id or API


@dataclass(slots=True, eq=False)
class Attempt:
    """One LAUNCH to one agent, from the Bind to the last update about it."""

    call: Call
    number: int
    machine: str
    id: str  # the task id that the agent sees; unique over allocators and their restarts
    sent_at_ms: float = 0.0
    session: object = None  # the agent's session that the LAUNCH was written to
    launch_begin: int = 0  # byte offset of the LAUNCH in that session's stream
    launch_end: int = 0
    step: AttemptStep = AttemptStep.DISPATCHED
    is_concluded: bool = False  # AttemptEnded was reported to the policy
    was_placed: bool = False  # accepted while the policy still waited for it, or adopted
    has_run: bool | None = None  # None: not known
    timer: object = None
    update_uuids: list[str] = field(default_factory=list)

    def execution_status(self) -> ExecutionStatus:
        """Whether the attempt ran, as far as is known."""
        if self.has_run is False:
            return ExecutionStatus.NEVER_RAN
        if self.step is AttemptStep.ENDED:
            return ExecutionStatus.ENDED
        return ExecutionStatus.UNCERTAIN if self.step is AttemptStep.DISPATCHED else ExecutionStatus.RUNNING

    def check_duplicate_update(self, uuid: str | None) -> bool:
        """Returns whether an update with this uuid was handled before, and remembers it."""
        if uuid is None:
            return False
        if uuid in self.update_uuids:
            return True
        self.update_uuids.append(uuid)
        del self.update_uuids[:-MAX_REMEMBERED_UUIDS]
        return False


@dataclass(slots=True, eq=False)
class Call:
    """One placement of a client's task, with its attempts."""

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
    is_cancelled: bool = False  # its client killed it or is disconnected for good
    is_closed: bool = False  # no further action of the policy is expected
    is_placement_requested: bool = False  # PlacementRequested was passed to the policy
    pending_reasons: PendingReasons = field(default_factory=PendingReasons)

    def last_attempt(self) -> Attempt | None:
        """The newest attempt, or None."""
        return self.attempts[-1] if self.attempts else None

    def active_attempt(self) -> Attempt | None:
        """The attempt that the policy counts as in flight or placed, or None."""
        last = self.last_attempt()
        return last if last is not None and not last.is_concluded else None

    def is_placed(self) -> bool:
        """Whether the active attempt was accepted by its agent and has not ended."""
        active = self.active_attempt()
        return active is not None and active.step in (AttemptStep.ACCEPTED, AttemptStep.RUNNING)

    def execution_status(self) -> ExecutionStatus:
        """Whether the task ran, over all attempts."""
        return combine_execution_statuses([a.execution_status() for a in self.attempts])

    def may_have_run(self) -> bool:
        """Whether any attempt is not known to have never run."""
        return any(a.has_run is not False for a in self.attempts)


class CallTable:
    """Calls by number and by client's task; attempts by their id and by machine."""

    def __init__(self, max_closed_calls: int = 50_000) -> None:
        self.max_closed_calls = max_closed_calls
        self.active_calls_by_number: dict[int, Call] = {}  # calls that are not closed
        self.latest_calls_by_framework: dict[
            str, dict[str, Call]
        ] = {}  # framework -> task id -> its latest call
        self.attempts_by_id: dict[str, Attempt] = {}
        self.attempts_by_machine: dict[str, dict[str, Attempt]] = {}
        self.closed_calls_by_number: OrderedDict[int, Call] = OrderedDict()
        # By tenant and explicit key; non-idempotent calls only.
        self.calls_by_idempotency_key: dict[tuple[str, str], Call] = {}
        self.open_task_count = 0  # calls without a final answer
        self.on_forget: Callable[[Call], None] = lambda call: None

    def add_call(self, call: Call) -> None:
        """Adds an active call; it becomes the latest one of its task."""
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
        """Adds an attempt to its call and to the indexes."""
        attempt.call.attempts.append(attempt)
        self.attempts_by_id[attempt.id] = attempt
        self.attempts_by_machine.setdefault(attempt.machine, {})[attempt.id] = attempt

    def record_answer(self, call: Call, final_answer: FinalAnswer) -> None:
        """Sets the final answer of a call; raises AssertionError if it has one already."""
        if call.final_answer is not None:
            raise AssertionError(f"call {call.number}: {final_answer.value} after {call.final_answer.value}")
        call.final_answer = final_answer
        self.open_task_count -= 1

    def close(self, call: Call) -> None:
        """Closes a call for the policy; it stays known for late updates and RECONCILE."""
        if call.is_closed:
            return
        call.is_closed = True
        self.active_calls_by_number.pop(call.number, None)
        self.closed_calls_by_number[call.number] = call
        while len(self.closed_calls_by_number) > self.max_closed_calls:
            _, oldest = self.closed_calls_by_number.popitem(last=False)
            self.forget(oldest)

    def forget(self, call: Call) -> None:
        """Removes a call and its attempts from every index."""
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
        """Removes an attempt about which no update can come any more."""
        self.attempts_by_id.pop(attempt.id, None)
        self.remove_from_machine(attempt)

    def remove_from_machine(self, attempt: Attempt) -> None:
        """Removes an attempt from its machine after the last update about it."""
        attempts_by_id = self.attempts_by_machine.get(attempt.machine)
        if attempts_by_id is not None:
            attempts_by_id.pop(attempt.id, None)
            if not attempts_by_id:
                del self.attempts_by_machine[attempt.machine]

    def attempts_at(self, machine: str) -> list[Attempt]:
        """Attempts at a machine about which updates may still come."""
        return list(self.attempts_by_machine.get(machine, {}).values())

    def find_call(self, framework_id: str, task_id: str) -> Call | None:
        """The latest call of a framework's task, or None."""
        return self.latest_calls_by_framework.get(framework_id, {}).get(task_id)

    def calls_of(self, framework_id: str) -> list[Call]:
        """The latest call of each known task of a framework."""
        return list(self.latest_calls_by_framework.get(framework_id, {}).values())

"""The table of calls: from it the state of every task, open or lately answered, can be told at any instant.

Pure state with bounded memory. A call is one placing of an owner's task; each Bind of the module makes one
attempt of it. Answered calls stay as long as an agent may still say something about them, or an owner may
ask; the oldest of these go first when there are more than `remembered`."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from glencleat import interface as api
from glencleat.allocator.pending_reasons import PendingReasons
from glencleat.allocator.status_mapping import AttemptStep, ExecutionStatus, combine_execution_statuses
from glencleat.mesos.messages import TaskInfo

UUIDS = 8  # of an attempt's updates; older ones are stale by their step anyhow


class FinalAnswer(Enum):
    """The one final answer of a call."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class TaskRequest:
    """What a TaskInfo asks for, checked (`asks.read`)."""

    task_class: str
    service: str
    key: str
    cores: float
    memory: float
    left_ms: float
    life_ms: float | None = None
    again: bool = False
    key_told: bool = False  # the owner gave the key: it names the work, whatever the task id or front


@dataclass(slots=True, eq=False)
class Attempt:
    """One LAUNCH to one agent, from the Bind to the last word about it."""

    call: Call
    number: int
    machine: str
    id: str  # the task's id towards the agent; unique over allocators and their restarts
    sent_at: float = 0.0
    session: object = None  # the agent's session that the LAUNCH went to
    begin: int = 0  # the LAUNCH's place in that session's stream
    end: int = 0
    step: AttemptStep = AttemptStep.DISPATCHED
    back: bool = False  # the module has had its Returned
    placed: bool = False  # its yes came while the module still waited for it, or it was adopted
    ran: bool | None = None  # None: not known
    timer: object = None
    uuids: list[str] = field(default_factory=list)

    def fate(self) -> ExecutionStatus:
        if self.ran is False:
            return ExecutionStatus.NEVER_RAN
        if self.step is AttemptStep.ENDED:
            return ExecutionStatus.ENDED
        return ExecutionStatus.UNCERTAIN if self.step is AttemptStep.DISPATCHED else ExecutionStatus.RUNNING

    def seen(self, uuid: str | None) -> bool:
        """Whether an update with this uuid was handled before; remembers it."""
        if uuid is None:
            return False
        if uuid in self.uuids:
            return True
        self.uuids.append(uuid)
        del self.uuids[:-UUIDS]
        return False


@dataclass(slots=True, eq=False)
class Call:
    number: int
    framework: str
    task_id: str
    info: TaskInfo
    ask: TaskRequest
    effect: api.Idempotency
    tenant: str | None
    taken_at: float
    attempts: list[Attempt] = field(default_factory=list)
    given: FinalAnswer | None = None
    adopted: bool = False
    left: bool = False  # its owner killed it or is gone
    over: bool = False  # nothing more is expected of the module
    told: bool = False  # the module has been asked
    why: PendingReasons = field(default_factory=PendingReasons)

    def last(self) -> Attempt | None:
        return self.attempts[-1] if self.attempts else None

    def out(self) -> Attempt | None:
        """The attempt that the module counts as out or placed."""
        last = self.last()
        return last if last is not None and not last.back else None

    def placed(self) -> bool:
        out = self.out()
        return out is not None and out.step in (AttemptStep.ACCEPTED, AttemptStep.RUNNING)

    def fate(self) -> ExecutionStatus:
        return combine_execution_statuses([a.fate() for a in self.attempts])

    def may_have_run(self) -> bool:
        return any(a.ran is not False for a in self.attempts)


class CallTable:
    """Calls by number and by owner's task, attempts by their id and by machine."""

    def __init__(self, remembered: int = 50_000) -> None:
        self.remembered = remembered
        self.calls: dict[int, Call] = {}  # those of which the module still expects something
        self.tasks: dict[str, dict[str, Call]] = {}  # framework -> task id -> its latest call
        self.attempts: dict[str, Attempt] = {}
        self.machines: dict[str, dict[str, Attempt]] = {}
        self.answered: OrderedDict[int, Call] = OrderedDict()
        self.keys: dict[tuple[str, str], Call] = {}  # tenant, key told -> unsafe call
        self.open = 0  # taken and without an answer
        self.forgot: Callable[[Call], None] = lambda call: None

    def take(self, call: Call) -> None:
        self.calls[call.number] = call
        self.tasks.setdefault(call.framework, {})[call.task_id] = call
        if call.effect is api.Idempotency.NON_IDEMPOTENT and call.tenant and call.ask.key_told:
            self.keys[call.tenant, call.ask.key] = call
        self.open += call.given is None

    def bind(self, attempt: Attempt) -> None:
        attempt.call.attempts.append(attempt)
        self.attempts[attempt.id] = attempt
        self.machines.setdefault(attempt.machine, {})[attempt.id] = attempt

    def give(self, call: Call, given: FinalAnswer) -> None:
        if call.given is not None:
            raise AssertionError(f"call {call.number}: {given.value} after {call.given.value}")
        call.given = given
        self.open -= 1

    def close(self, call: Call) -> None:
        """The module is done with the call; it is remembered for late words and RECONCILE."""
        if call.over:
            return
        call.over = True
        self.calls.pop(call.number, None)
        self.answered[call.number] = call
        while len(self.answered) > self.remembered:
            _, oldest = self.answered.popitem(last=False)
            self.forget(oldest)

    def forget(self, call: Call) -> None:
        self.answered.pop(call.number, None)
        if self.keys.get((call.tenant or "", call.ask.key)) is call:
            del self.keys[call.tenant or "", call.ask.key]
        if self.task(call.framework, call.task_id) is call:
            del self.tasks[call.framework][call.task_id]
            if not self.tasks[call.framework]:
                del self.tasks[call.framework]
        for attempt in call.attempts:
            self.drop(attempt)
        self.forgot(call)

    def drop(self, attempt: Attempt) -> None:
        """Forgets an attempt of which no more can be heard."""
        self.attempts.pop(attempt.id, None)
        self.settle(attempt)

    def settle(self, attempt: Attempt) -> None:
        """The last word about an attempt came: it no longer counts at its machine."""
        there = self.machines.get(attempt.machine)
        if there is not None:
            there.pop(attempt.id, None)
            if not there:
                del self.machines[attempt.machine]

    def at(self, machine: str) -> list[Attempt]:
        """Attempts at a machine of which more may be heard."""
        return list(self.machines.get(machine, {}).values())

    def task(self, framework: str, task_id: str) -> Call | None:
        return self.tasks.get(framework, {}).get(task_id)

    def of(self, framework: str) -> list[Call]:
        return list(self.tasks.get(framework, {}).values())

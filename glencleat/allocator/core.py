"""The core: events in, the module's actions out, and the state of every task in between.

Fronts call `owners` and `agents` (owner_side, agent_side) with parsed calls; the core keeps ledger, members
and frameworks, tells the module, carries out what it answers. Clock and timers come from the kernel's Loop
(or anything with its `now`, `call_in` and `clock.wall`)."""

from __future__ import annotations

import base64
import itertools
import uuid
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from glencleat import interface as api
from glencleat.allocator import delivery_status, status_mapping
from glencleat.allocator.admission import DuplicateFilter
from glencleat.allocator.admission_queue import AdmissionQueue
from glencleat.allocator.agent_membership import AgentMembership, AgentState
from glencleat.allocator.agent_sessions import AgentSessions
from glencleat.allocator.call_table import Attempt, Call, CallTable, FinalAnswer
from glencleat.allocator.contract import Contract, DecisionModule
from glencleat.allocator.counters import TaskCounters
from glencleat.allocator.domain_events import (
    AdmissionDecision,
    AdmissionRequest,
    AgentStateChanged,
    AttemptConcluded,
    AttemptSent,
    CallAnswered,
    CallForgotten,
    Decider,
    Happened,
    Hear,
    InProcessOwner,
    MachineListChanged,
    PlacementOpened,
)
from glencleat.allocator.event_dispatcher import EventDispatcher
from glencleat.allocator.framework_sessions import FrameworkSessions
from glencleat.allocator.frameworks import Framework, Frameworks
from glencleat.allocator.options import Options
from glencleat.allocator.ports import TimingPort
from glencleat.allocator.startup_gate import StartupGate
from glencleat.allocator.status_mapping import AttemptStep, StatusAnswer
from glencleat.mesos import messages as m


class Core:
    def __init__(
        self,
        settings: api.Settings,
        module: DecisionModule,
        options: Options,
        timing: TimingPort,
        seed: int,
        log: Callable[..., None] = lambda event, **more: None,
    ) -> None:
        self.settings, self.options, self.timing, self.log = settings, options, timing, log
        self.classes = {c.name: c for c in settings.classes}
        self.module = Contract(module)
        self.random = Random(seed)
        self.ledger = CallTable(options.remembered)
        self.figures = TaskCounters(self.ledger)
        self.members = AgentMembership(
            options.heartbeat_ms, options.missed, options.return_ms, options.agents_most
        )
        self.frameworks = Frameworks(
            options.frameworks_most, options.unacked_most, update_retry_ms=options.update_retry_ms
        )
        self.incarnation = f"{self.random.getrandbits(40):010x}"
        self.numbers, self.probe_numbers = itertools.count(1), itertools.count(1)
        self.probes: dict[str, deque[tuple[int, Any]]] = {}  # machine -> probe number and its timer
        self.telling = EventDispatcher(self.module, self.now, self._act)
        self.ending = False
        self.watch: Callable[[], None] = lambda: None  # set by the directory's client
        self.on_idle: Callable[[], None] = lambda: None  # the last open call was answered while ending
        self.last_now = timing.now()
        least = 1.25 * settings.warm_up_window_ms if settings.warm_up_offers else 0.0
        self.opening = StartupGate(self.last_now, least, options.grace_ms)
        self.listed: set[str] | None = None  # machines that the list tells as serving
        self.hearers: list[Hear] = []
        self.early = AdmissionQueue(self)  # tasks that came before the opening, or soon after it
        self.deciders: list[Decider] = [DuplicateFilter(self.ledger).decide]
        self.insiders: dict[str, InProcessOwner] = {}
        self.ledger.forgot = lambda call: self.happened(CallForgotten(call))
        self.owners = self.told = FrameworkSessions(self)
        self.agents = AgentSessions(self)
        timing.call_in(options.sweep_ms, self._sweep)

    # ---- the seam ----

    def hear(self, hearer: Hear) -> None:
        """Subscribes to what happens; see seam.py for what a hearer may do."""
        self.hearers.append(hearer)

    def happened(self, what: Happened) -> None:
        for hearer in self.hearers:
            hearer(what)

    def decide(self, asking: AdmissionRequest) -> AdmissionDecision | None:
        """The first verdict of the chain; None: the task is taken."""
        for decider in self.deciders:
            verdict = decider(asking)
            if verdict is not None:
                return verdict
        return None

    def admit(self, insider: InProcessOwner) -> None:
        """Makes an owner within the process known; frameworks can't subscribe under its prefix."""
        self.insiders[insider.prefix] = insider

    def wanted(self, call: Call) -> bool:
        """Whether a task's owner is known here."""
        insider = self.insiders.get(call.framework.partition(":")[0])
        return insider.wants(call) if insider is not None else self.framework_of(call) is not None

    # ---- to the module and back ----

    def now(self) -> float:
        self.last_now = max(self.last_now, self.timing.now())
        return self.last_now

    def tell(self, event: api.Event) -> None:
        """Tells the module, in order: what its actions cause at once is told after them."""
        self.telling.tell(event)

    def list_told(self, event: api.MachineListUpdated) -> None:
        """News of the machine list."""
        if event.kind is not api.ListUpdateKind.FAILED:
            serving = {
                machine.name for machine in event.machines if machine.phase is api.MachinePhase.SERVING
            }
            if event.kind is api.ListUpdateKind.SNAPSHOT or self.listed is None:
                self.listed = serving
            else:
                self.listed -= {machine.name for machine in event.machines}
                self.listed |= serving
        self.happened(MachineListChanged(event))
        self.tell(event)
        self.open_up()

    def ask(self, call: Call) -> None:
        """A task to be placed: told to the module, or in its turn when this allocator has just started."""
        if not self.early.over:
            self.early.add(call)
            return
        left = call.ask.left_ms - (self.now() - call.taken_at)
        if left <= 0.0:
            self.answer(call, FinalAnswer.REFUSED, status_mapping.rejection_answer(False))
        else:
            self.tell_asked(call, left)

    def tell_asked(self, call: Call, left_ms: float, machine: str | None = None) -> None:
        """The call becomes the module's: to be placed, or with `machine` one that runs there already."""
        ask = call.ask
        call.told = True
        self.tell(
            api.PlacementRequested(
                call.number,
                ask.task_class,
                ask.service,
                ask.cores,
                ask.memory,
                left_ms,
                call.tenant,
                ask.life_ms,
                machine,
                ask.again,
            )
        )

    def open_up(self) -> None:
        if self.early.start is not None:
            return
        here = (x.id for x in self.members.members_by_agent.values() if x.state is AgentState.SUBSCRIBED)
        before = self.opening.done
        if not self.opening.opens(self.now(), self.listed, here):
            return
        if not before:
            self.happened(PlacementOpened())
        if self.listed:
            self.early.begin()

    def unready(self) -> str | None:
        """Why owners do better elsewhere just now, or None. What they ask here is held meanwhile."""
        if self.ending:
            return "shutting down"
        if self.early.start is None:
            return "machines have yet to tell what they run" if self.listed else "no machine is listed yet"
        return None

    def _act(self, action: api.Action) -> None:
        if isinstance(action, api.Bind):
            self._bind(action)
        elif isinstance(action, api.Reject):
            call = self.ledger.calls[action.call_id]
            self.answer(call, FinalAnswer.REFUSED, status_mapping.rejection_answer(call.may_have_run()))
        elif isinstance(action, api.Fail):
            self.answer(
                self.ledger.calls[action.call_id], FinalAnswer.FAILED, status_mapping.failure_answer()
            )
        elif isinstance(action, api.SetTimer):
            token = action.token
            self.timing.call_in(action.delay_ms, lambda: self.tell(api.TimerFired(token)))
        elif isinstance(action, api.Probe):
            self._probe(action.machine)
        elif isinstance(action, api.WatchMachineList):
            self.watch()
        elif isinstance(action, api.LogMessage):
            self.log("module", text=action.text)
        elif isinstance(action, api.Migrate):
            self._move(action.call_id)

    # ---- attempts ----

    def _bind(self, action: api.Bind) -> None:
        call, now = self.ledger.calls[action.call_id], self.now()
        number = len(call.attempts)
        name = f"{self.options.name}-{self.incarnation}-{call.number}.{number}"
        attempt = Attempt(call, number, action.machine, name, now)
        self.ledger.bind(attempt)
        self.happened(AttemptSent(attempt))
        link: Any = self.members.session_of(action.machine)
        if link is None:
            self.give_up(attempt, api.Outcome.UNREACHABLE, may_have_run=False)
            return
        attempt.session = link
        attempt.begin = attempt.end = 1 << 62  # nothing is handed over until the link has told where it lies
        place = link.send(self._launch(attempt, action.timeout_ms))
        if attempt.back:
            return  # the link failed while it took the record, and its end settled the attempt
        attempt.begin, attempt.end = place
        attempt.timer = self.timing.call_in(action.timeout_ms, lambda: self._timed_out(attempt))

    def _launch(self, attempt: Attempt, timeout_ms: float) -> bytes:
        call = attempt.call
        cls = self.classes[call.ask.task_class]
        labels = {
            "class": call.ask.task_class,
            "service": call.ask.service,
            "key": call.ask.key,
            "framework": call.framework,
            "task": call.task_id,
            "tenant": call.tenant,
            "attempt": str(attempt.number),
            "answer_within_ms": f"{timeout_ms:.0f}",
            "priority": str(cls.priority),
            "effect": cls.idempotency.value,
            "life_ms": None if call.ask.life_ms is None else f"{call.ask.life_ms:.0f}",
        }
        info = m.TaskInfo(
            name=call.info.name,
            task_id=m.Value(attempt.id),
            agent_id=m.Value(attempt.machine),
            resources=m.resources(call.ask.cores, call.ask.memory),
            labels=m.Labels([m.Label(k, v) for k, v in labels.items() if v is not None]),
            data=call.info.data,
        )
        return m.encode(m.ExecutorEvent("LAUNCH", launch=m.LaunchEvent(info)))

    def handed(self, attempt: Attempt) -> delivery_status.DeliveryStatus:
        session: Any = attempt.session
        if session is None:
            return delivery_status.DeliveryStatus.NOT_SENT
        return delivery_status.classify_delivery(session.written(), attempt.begin, attempt.end)

    def _timed_out(self, attempt: Attempt) -> None:
        if attempt.back:
            return
        verdict = delivery_status.decide_on_timeout(attempt.step, self.handed(attempt))
        if verdict.action is delivery_status.DeliveryAction.CLOSE_SESSION:
            session: Any = attempt.session
            session.close("the agent does not read")  # ends as a lost session, which settles the attempt
        if verdict.action is not delivery_status.DeliveryAction.IGNORE and not attempt.back:
            self.give_up(attempt, verdict.outcome, verdict.may_have_run)

    def give_up(self, attempt: Attempt, outcome: api.Outcome, may_have_run: bool) -> None:
        """The attempt is back without a yes; what the agent may still say of it is late from here on."""
        if not may_have_run:
            attempt.ran = False
            self.ledger.settle(attempt)
        self.returned(attempt, outcome, over=attempt.call.left)

    def returned(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        over: bool,
        why: api.OutcomeReason = api.OutcomeReason.UNSPECIFIED,
        report: api.LoadReport | None = None,
    ) -> None:
        """Tells the module that an attempt is back, once."""
        call = attempt.call
        attempt.back = True
        self.stop_timer(attempt)
        self.figures.attempts[outcome.value] += 1
        spent = max(0.0, self.now() - attempt.sent_at)
        if call.given is None:
            call.why.record(outcome, why, attempt.machine, self.now())
        if over and call.given is not None:
            self.ledger.close(call)
        self.happened(AttemptConcluded(attempt, outcome, why))
        self.tell(
            api.AttemptEnded(call.number, attempt.number, attempt.machine, outcome, spent, over, why, report)
        )
        if call.given is None and call.left:
            self._withdrawn(call)

    def _withdrawn(self, call: Call) -> None:
        """The owner killed the task while an attempt was out, and the attempt is back."""
        if call.may_have_run():
            self.answer(call, FinalAnswer.FAILED, status_mapping.failure_answer())
        else:
            self.answer(
                call,
                FinalAnswer.REFUSED,
                StatusAnswer(status_mapping.TaskState.KILLED, status_mapping.RetryAdvice.HARMLESS),
            )

    def stop_timer(self, attempt: Attempt) -> None:
        timer: Any = attempt.timer
        if timer is not None:
            timer.cancel()
            attempt.timer = None

    def _move(self, number: int) -> None:
        out = self.ledger.calls[number].out()
        if out is not None:
            self.kill(out)

    def kill(self, attempt: Attempt) -> None:
        """Asks the agent to stop the task; follows its LAUNCH on the same stream, so it can't overtake it."""
        link: Any = self.members.session_of(attempt.machine)
        if link is not None and attempt.step is not AttemptStep.ENDED:
            self.figures.events["kill"] += 1
            link.send(m.encode(m.ExecutorEvent("KILL", kill=m.KillEvent(m.Value(attempt.id)))))

    # ---- probes ----

    def _probe(self, machine: str) -> None:
        link: Any = self.members.session_of(machine)
        if link is None:
            self.tell(api.ProbeEnded(machine, api.Outcome.UNREACHABLE))
            return
        number = next(self.probe_numbers)
        timeout = self.options.probe_timeout_ms
        timer = self.timing.call_in(timeout, lambda: self.probe_back(machine, number, None))
        self.probes.setdefault(machine, deque()).append((number, timer))
        payload = m.pack(m.Payload("probe", probe=number))
        link.send(m.encode(m.ExecutorEvent("MESSAGE", message=m.Message(payload))))

    def probe_back(self, machine: str, number: int, report: api.LoadReport | None) -> None:
        waiting = self.probes.get(machine, deque())
        for item in waiting:
            if item[0] == number:
                waiting.remove(item)
                item[1].cancel()
                if not waiting:
                    del self.probes[machine]
                outcome = api.Outcome.TIMED_OUT if report is None else api.Outcome.COMPLETED
                self.tell(api.ProbeEnded(machine, outcome, report))
                return

    # ---- answers ----

    def answer(self, call: Call, given: FinalAnswer, answer: StatusAnswer) -> None:
        """The one final answer of a call, to figures, ledger and owner."""
        self.ledger.give(call, given)
        self.figures.give(call.ask.task_class, given)
        framework = self.framework_of(call)
        if framework is not None:
            framework.open_task_count -= 1
        if given is not FinalAnswer.SERVED:
            self.ledger.close(call)
        self.happened(CallAnswered(call, given))
        text = None if given is FinalAnswer.SERVED else call.why.describe(len(self.listed or ()))
        self.owners.status(call, answer, text)
        if self.ending and not self.ledger.open:
            self.on_idle()

    def status(
        self,
        task_id: str,
        answer: StatusAnswer,
        machine: str | None,
        message: str | None = None,
        acked: bool = True,
    ) -> m.TaskStatus:
        """A status for an owner; with a uuid if it is to be acknowledged."""
        token = uuid.UUID(int=self.random.getrandbits(128), version=4).bytes
        return m.TaskStatus(
            task_id=m.Value(task_id),
            state=answer.state,
            source="SOURCE_MASTER" if machine is None else "SOURCE_EXECUTOR",
            reason=answer.reason,
            message=message,
            agent_id=m.Value(machine or self.options.pool),
            timestamp=self.timing.clock.wall() / 1000.0,
            uuid=base64.b64encode(token).decode() if acked else None,
            labels=m.Labels([m.Label("retry", answer.retry_advice.value)]),
        )

    # ---- time ----

    def _sweep(self) -> None:
        """Looks for silent and lost agents, owners that stay away, updates and offers that are due."""
        self.timing.call_in(self.options.sweep_ms, self._sweep)
        self.open_up()
        now = self.now()
        for member in self.members.find_unresponsive(now):
            session: Any = member.session
            if session is None:
                continue  # it broke just now: the end of another's session bound a task to this one
            self.log("agent silent", agent=member.id, heard_ms_ago=round(now - member.last_heard_at_ms))
            session.close("no heartbeat")
        for member in self.members.mark_lost(now):
            self.log("agent lost", agent=member.id)
            self.happened(AgentStateChanged(member.id, AgentState.LOST.value))
            self.agents.handle_lost_agent(member.id)
        self.owners.sweep(now)

    # ---- the end ----

    def end(self) -> None:
        """SIGTERM: no new tasks from here on; `on_idle` follows when all that is held has its answer."""
        self.ending = True
        if not self.ledger.open:
            self.on_idle()

    def finish(self) -> None:
        """The end's time is up: what has no answer yet gets the one that is true now."""
        for call in [c for c in self.ledger.calls.values() if c.given is None]:
            call.left = True
            if call.told:
                self.tell(api.CallAbandoned(call.number))
            out = call.out()
            if out is not None and self.handed(out) is not delivery_status.DeliveryStatus.SENT:
                session: Any = out.session
                session.close("shutting down")  # so the LAUNCH can't arrive, and the session's end says so
            elif out is not None:
                self.kill(out)
            if call.given is None:
                may = call.may_have_run() and call.effect is not api.Idempotency.IDEMPOTENT
                answer = (
                    status_mapping.failure_answer()
                    if may
                    else status_mapping.rejection_answer(call.may_have_run())
                )
                self.answer(call, FinalAnswer.FAILED if may else FinalAnswer.REFUSED, answer)

    def framework_of(self, call: Call) -> Framework | None:
        return self.frameworks.frameworks_by_id.get(call.framework)

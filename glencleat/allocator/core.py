"""The core: events in, the module's actions out, and the state of every task in between.

Fronts call `framework_sessions` and `agent_sessions` (owner_side, agent_side) with parsed calls; the core
keeps ledger, members and frameworks, tells the module, carries out what it answers. Clock and timers come
from the kernel's Loop (or anything with its `now`, `call_in` and `clock.wall`)."""

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
from glencleat.allocator.contract import ContractChecker, DecisionModule
from glencleat.allocator.counters import TaskCounters
from glencleat.allocator.domain_events import (
    AdmissionCheck,
    AdmissionDecision,
    AdmissionRequest,
    AgentStateChanged,
    AttemptConcluded,
    AttemptSent,
    CallAnswered,
    CallForgotten,
    DomainEvent,
    DomainEventListener,
    InProcessFramework,
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
        self.classes_by_name = {c.name: c for c in settings.classes}
        self.module = ContractChecker(module)
        self.random = Random(seed)
        self.call_table = CallTable(options.max_closed_calls)
        self.counters = TaskCounters(self.call_table)
        self.membership = AgentMembership(
            options.heartbeat_ms,
            options.max_missed_heartbeats,
            options.reregistration_timeout_ms,
            options.max_agents,
        )
        self.frameworks = Frameworks(
            options.max_frameworks, options.max_unacknowledged, update_retry_ms=options.update_retry_ms
        )
        self.incarnation = f"{self.random.getrandbits(40):010x}"
        self.call_numbers, self.probe_numbers = itertools.count(1), itertools.count(1)
        self.pending_probes_by_machine: dict[
            str, deque[tuple[int, Any]]
        ] = {}  # machine -> probe number and its timer
        self.event_dispatcher = EventDispatcher(self.module, self.now, self._act)
        self.is_shutting_down = False
        self.watch_machine_list: Callable[[], None] = lambda: None  # set by the directory's client
        self.on_idle: Callable[[], None] = lambda: None  # the last open call was answered while ending
        self.last_now_ms = timing.now()
        least = 1.25 * settings.warm_up_window_ms if settings.warm_up_offers else 0.0
        self.startup_gate = StartupGate(self.last_now_ms, least, options.startup_grace_ms)
        self.serving_machines: set[str] | None = None  # machines that the list tells as serving
        self.listeners: list[DomainEventListener] = []
        self.admission_queue = AdmissionQueue(self)  # tasks that came before the opening, or soon after it
        self.admission_chain: list[AdmissionCheck] = [DuplicateFilter(self.call_table).decide_admission]
        self.in_process_frameworks_by_prefix: dict[str, InProcessFramework] = {}
        self.call_table.on_forget = lambda call: self.publish_event(CallForgotten(call))
        self.framework_sessions = self.status_reporter = FrameworkSessions(self)
        self.agent_sessions = AgentSessions(self)
        timing.call_in(options.sweep_interval_ms, self._sweep)

    # ---- the seam ----

    def add_listener(self, hearer: DomainEventListener) -> None:
        """Subscribes to what happens; see seam.py for what a hearer may do."""
        self.listeners.append(hearer)

    def publish_event(self, what: DomainEvent) -> None:
        for hearer in self.listeners:
            hearer(what)

    def decide_admission(self, asking: AdmissionRequest) -> AdmissionDecision | None:
        """The first verdict of the chain; None: the task is taken."""
        for decider in self.admission_chain:
            verdict = decider(asking)
            if verdict is not None:
                return verdict
        return None

    def register_in_process(self, insider: InProcessFramework) -> None:
        """Makes an owner within the process known; frameworks can't subscribe under its prefix."""
        self.in_process_frameworks_by_prefix[insider.prefix] = insider

    def is_framework_known(self, call: Call) -> bool:
        """Whether a task's owner is known here."""
        insider = self.in_process_frameworks_by_prefix.get(call.framework_id.partition(":")[0])
        return insider.is_task_needed(call) if insider is not None else self.framework_of(call) is not None

    # ---- to the module and back ----

    def now(self) -> float:
        self.last_now_ms = max(self.last_now_ms, self.timing.now())
        return self.last_now_ms

    def dispatch_event(self, event: api.Event) -> None:
        """Tells the module, in order: what its actions cause at once is told after them."""
        self.event_dispatcher.dispatch_event(event)

    def update_machine_list(self, event: api.MachineListUpdated) -> None:
        """News of the machine list."""
        if event.kind is not api.ListUpdateKind.FAILED:
            serving = {
                machine.name for machine in event.machines if machine.phase is api.MachinePhase.SERVING
            }
            if event.kind is api.ListUpdateKind.SNAPSHOT or self.serving_machines is None:
                self.serving_machines = serving
            else:
                self.serving_machines -= {machine.name for machine in event.machines}
                self.serving_machines |= serving
        self.publish_event(MachineListChanged(event))
        self.dispatch_event(event)
        self.open_gate_if_ready()

    def request_placement(self, call: Call) -> None:
        """A task to be placed: told to the module, or in its turn when this allocator has just started."""
        if not self.admission_queue.is_bypassed:
            self.admission_queue.add(call)
            return
        left = call.task_request.remaining_ms - (self.now() - call.received_at_ms)
        if left <= 0.0:
            self.answer(call, FinalAnswer.REJECTED, status_mapping.rejection_answer(False))
        else:
            self.dispatch_placement(call, left)

    def dispatch_placement(self, call: Call, left_ms: float, machine: str | None = None) -> None:
        """The call becomes the module's: to be placed, or with `machine` one that runs there already."""
        ask = call.task_request
        call.is_placement_requested = True
        self.dispatch_event(
            api.PlacementRequested(
                call.number,
                ask.task_class,
                ask.service,
                ask.cores,
                ask.memory,
                left_ms,
                call.tenant,
                ask.expected_run_ms,
                machine,
                ask.is_retry,
            )
        )

    def open_gate_if_ready(self) -> None:
        if self.admission_queue.slow_start is not None:
            return
        here = (x.id for x in self.membership.members_by_agent.values() if x.state is AgentState.SUBSCRIBED)
        before = self.startup_gate.is_open
        if not self.startup_gate.try_open(self.now(), self.serving_machines, here):
            return
        if not before:
            self.publish_event(PlacementOpened())
        if self.serving_machines:
            self.admission_queue.begin_slow_start()

    def find_unready_reason(self) -> str | None:
        """Why owners do better elsewhere just now, or None. What they ask here is held meanwhile."""
        if self.is_shutting_down:
            return "shutting down"
        if self.admission_queue.slow_start is None:
            return (
                "machines have yet to tell what they run"
                if self.serving_machines
                else "no machine is listed yet"
            )
        return None

    def _act(self, action: api.Action) -> None:
        if isinstance(action, api.Bind):
            self._bind(action)
        elif isinstance(action, api.Reject):
            call = self.call_table.active_calls_by_number[action.call_id]
            self.answer(call, FinalAnswer.REJECTED, status_mapping.rejection_answer(call.may_have_run()))
        elif isinstance(action, api.Fail):
            self.answer(
                self.call_table.active_calls_by_number[action.call_id],
                FinalAnswer.FAILED,
                status_mapping.failure_answer(),
            )
        elif isinstance(action, api.SetTimer):
            token = action.token
            self.timing.call_in(action.delay_ms, lambda: self.dispatch_event(api.TimerFired(token)))
        elif isinstance(action, api.Probe):
            self._probe(action.machine)
        elif isinstance(action, api.WatchMachineList):
            self.watch_machine_list()
        elif isinstance(action, api.LogMessage):
            self.log("module", text=action.text)
        elif isinstance(action, api.Migrate):
            self._move(action.call_id)

    # ---- attempts ----

    def _bind(self, action: api.Bind) -> None:
        call, now = self.call_table.active_calls_by_number[action.call_id], self.now()
        number = len(call.attempts)
        name = f"{self.options.name}-{self.incarnation}-{call.number}.{number}"
        attempt = Attempt(call, number, action.machine, name, now)
        self.call_table.bind(attempt)
        self.publish_event(AttemptSent(attempt))
        link: Any = self.membership.session_of(action.machine)
        if link is None:
            self.fail_attempt(attempt, api.Outcome.UNREACHABLE, may_have_run=False)
            return
        attempt.session = link
        attempt.launch_begin = attempt.launch_end = (
            1 << 62
        )  # nothing is handed over until the link has told where it lies
        place = link.send(self._launch(attempt, action.timeout_ms))
        if attempt.is_concluded:
            return  # the link failed while it took the record, and its end settled the attempt
        attempt.launch_begin, attempt.launch_end = place
        attempt.timer = self.timing.call_in(action.timeout_ms, lambda: self._timed_out(attempt))

    def _launch(self, attempt: Attempt, timeout_ms: float) -> bytes:
        call = attempt.call
        cls = self.classes_by_name[call.task_request.task_class]
        labels = {
            "class": call.task_request.task_class,
            "service": call.task_request.service,
            "key": call.task_request.idempotency_key,
            "framework": call.framework_id,
            "task": call.task_id,
            "tenant": call.tenant,
            "attempt": str(attempt.number),
            "answer_within_ms": f"{timeout_ms:.0f}",
            "priority": str(cls.priority),
            "effect": cls.idempotency.value,
            "life_ms": None
            if call.task_request.expected_run_ms is None
            else f"{call.task_request.expected_run_ms:.0f}",
        }
        info = m.TaskInfo(
            name=call.info.name,
            task_id=m.Value(attempt.id),
            agent_id=m.Value(attempt.machine),
            resources=m.make_resources(call.task_request.cores, call.task_request.memory),
            labels=m.Labels([m.Label(k, v) for k, v in labels.items() if v is not None]),
            data=call.info.data,
        )
        return m.encode(m.ExecutorEvent("LAUNCH", launch=m.LaunchEvent(info)))

    def find_delivery_status(self, attempt: Attempt) -> delivery_status.DeliveryStatus:
        session: Any = attempt.session
        if session is None:
            return delivery_status.DeliveryStatus.NOT_SENT
        return delivery_status.classify_delivery(
            session.written_bytes(), attempt.launch_begin, attempt.launch_end
        )

    def _timed_out(self, attempt: Attempt) -> None:
        if attempt.is_concluded:
            return
        verdict = delivery_status.decide_on_timeout(attempt.step, self.find_delivery_status(attempt))
        if verdict.action is delivery_status.DeliveryAction.CLOSE_SESSION:
            session: Any = attempt.session
            session.close("the agent does not read")  # ends as a lost session, which settles the attempt
        if verdict.action is not delivery_status.DeliveryAction.IGNORE and not attempt.is_concluded:
            self.fail_attempt(attempt, verdict.outcome, verdict.may_have_run)

    def fail_attempt(self, attempt: Attempt, outcome: api.Outcome, may_have_run: bool) -> None:
        """The attempt is back without a yes; what the agent may still say of it is late from here on."""
        if not may_have_run:
            attempt.has_run = False
            self.call_table.remove_from_machine(attempt)
        self.conclude_attempt(attempt, outcome, over=attempt.call.is_cancelled)

    def conclude_attempt(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        over: bool,
        why: api.OutcomeReason = api.OutcomeReason.UNSPECIFIED,
        report: api.LoadReport | None = None,
    ) -> None:
        """Tells the module that an attempt is back, once."""
        call = attempt.call
        attempt.is_concluded = True
        self.stop_timer(attempt)
        self.counters.attempts_by_outcome[outcome.value] += 1
        spent = max(0.0, self.now() - attempt.sent_at_ms)
        if call.final_answer is None:
            call.pending_reasons.record(outcome, why, attempt.machine, self.now())
        if over and call.final_answer is not None:
            self.call_table.close(call)
        self.publish_event(AttemptConcluded(attempt, outcome, why))
        self.dispatch_event(
            api.AttemptEnded(call.number, attempt.number, attempt.machine, outcome, spent, over, why, report)
        )
        if call.final_answer is None and call.is_cancelled:
            self._withdrawn(call)

    def _withdrawn(self, call: Call) -> None:
        """The owner killed the task while an attempt was out, and the attempt is back."""
        if call.may_have_run():
            self.answer(call, FinalAnswer.FAILED, status_mapping.failure_answer())
        else:
            self.answer(
                call,
                FinalAnswer.REJECTED,
                StatusAnswer(status_mapping.TaskState.KILLED, status_mapping.RetryAdvice.HARMLESS),
            )

    def stop_timer(self, attempt: Attempt) -> None:
        timer: Any = attempt.timer
        if timer is not None:
            timer.cancel()
            attempt.timer = None

    def _move(self, number: int) -> None:
        out = self.call_table.active_calls_by_number[number].active_attempt()
        if out is not None:
            self.kill(out)

    def kill(self, attempt: Attempt) -> None:
        """Asks the agent to stop the task; follows its LAUNCH on the same stream, so it can't overtake it."""
        link: Any = self.membership.session_of(attempt.machine)
        if link is not None and attempt.step is not AttemptStep.ENDED:
            self.counters.counts_by_event["kill"] += 1
            link.send(m.encode(m.ExecutorEvent("KILL", kill=m.KillEvent(m.Value(attempt.id)))))

    # ---- probes ----

    def _probe(self, machine: str) -> None:
        link: Any = self.membership.session_of(machine)
        if link is None:
            self.dispatch_event(api.ProbeEnded(machine, api.Outcome.UNREACHABLE))
            return
        number = next(self.probe_numbers)
        timeout = self.options.probe_timeout_ms
        timer = self.timing.call_in(timeout, lambda: self.conclude_probe(machine, number, None))
        self.pending_probes_by_machine.setdefault(machine, deque()).append((number, timer))
        payload = m.encode_payload(m.Payload("probe", probe=number))
        link.send(m.encode(m.ExecutorEvent("MESSAGE", message=m.Message(payload))))

    def conclude_probe(self, machine: str, number: int, report: api.LoadReport | None) -> None:
        waiting = self.pending_probes_by_machine.get(machine, deque())
        for item in waiting:
            if item[0] == number:
                waiting.remove(item)
                item[1].cancel()
                if not waiting:
                    del self.pending_probes_by_machine[machine]
                outcome = api.Outcome.TIMED_OUT if report is None else api.Outcome.COMPLETED
                self.dispatch_event(api.ProbeEnded(machine, outcome, report))
                return

    # ---- answers ----

    def answer(self, call: Call, given: FinalAnswer, answer: StatusAnswer) -> None:
        """The one final answer of a call, to figures, ledger and owner."""
        self.call_table.record_answer(call, given)
        self.counters.record_answer(call.task_request.task_class, given)
        framework = self.framework_of(call)
        if framework is not None:
            framework.open_task_count -= 1
        if given is not FinalAnswer.PLACED:
            self.call_table.close(call)
        self.publish_event(CallAnswered(call, given))
        text = (
            None
            if given is FinalAnswer.PLACED
            else call.pending_reasons.describe(len(self.serving_machines or ()))
        )
        self.framework_sessions.report_status(call, answer, text)
        if self.is_shutting_down and not self.call_table.open_task_count:
            self.on_idle()

    def build_status(
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
        self.timing.call_in(self.options.sweep_interval_ms, self._sweep)
        self.open_gate_if_ready()
        now = self.now()
        for member in self.membership.find_unresponsive(now):
            session: Any = member.session
            if session is None:
                continue  # it broke just now: the end of another's session bound a task to this one
            self.log("agent silent", agent=member.id, heard_ms_ago=round(now - member.last_heard_at_ms))
            session.close("no heartbeat")
        for member in self.membership.mark_lost(now):
            self.log("agent lost", agent=member.id)
            self.publish_event(AgentStateChanged(member.id, AgentState.LOST.value))
            self.agent_sessions.handle_lost_agent(member.id)
        self.framework_sessions.sweep(now)

    # ---- the end ----

    def begin_shutdown(self) -> None:
        """SIGTERM: no new tasks from here on; `on_idle` follows when all that is held has its answer."""
        self.is_shutting_down = True
        if not self.call_table.open_task_count:
            self.on_idle()

    def finish_shutdown(self) -> None:
        """The end's time is up: what has no answer yet gets the one that is true now."""
        for call in [c for c in self.call_table.active_calls_by_number.values() if c.final_answer is None]:
            call.is_cancelled = True
            if call.is_placement_requested:
                self.dispatch_event(api.CallAbandoned(call.number))
            out = call.active_attempt()
            if out is not None and self.find_delivery_status(out) is not delivery_status.DeliveryStatus.SENT:
                session: Any = out.session
                session.close("shutting down")  # so the LAUNCH can't arrive, and the session's end says so
            elif out is not None:
                self.kill(out)
            if call.final_answer is None:
                may = call.may_have_run() and call.idempotency is not api.Idempotency.IDEMPOTENT
                answer = (
                    status_mapping.failure_answer()
                    if may
                    else status_mapping.rejection_answer(call.may_have_run())
                )
                self.answer(call, FinalAnswer.FAILED if may else FinalAnswer.REJECTED, answer)

    def framework_of(self, call: Call) -> Framework | None:
        return self.frameworks.frameworks_by_id.get(call.framework_id)

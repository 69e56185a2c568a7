"""The core: takes events, carries out the policy's actions, and holds the state of every task.

Servers call `framework_sessions` and `agent_sessions` with parsed calls. The core owns the call table, the
agents and the frameworks, passes events to the policy and carries out the actions that it returns. Clock and
timers come from the event loop or another implementation of `TimingPort`.
"""

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

# Multiple of the warm-up window; after this wait the attempts of an earlier incarnation have left it.
WARM_UP_WAIT_FACTOR = 1.25
UNKNOWN_STREAM_OFFSET = 1 << 62  # beyond any byte that was written, so that the record counts as not sent


class Core:
    """State and operations of one allocator; implements `ports.CorePort`.

    Arguments:
        settings: settings of the policy.
        module: the policy.
        options: options of the process.
        timing: clock and timers.
        seed: seed of the generator of the incarnation, the ids of frameworks and the uuids of statuses.
        log: takes the name of an event, and its fields.

    """

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
        self.event_dispatcher = EventDispatcher(self.module, self.now, self._execute_action)
        self.is_shutting_down = False
        self.watch_machine_list: Callable[[], None] = lambda: None  # set by the directory client
        # Set by the daemon; called during shutdown when no call is open.
        self.on_idle: Callable[[], None] = lambda: None
        self.last_now_ms = timing.now()
        min_wait_ms = WARM_UP_WAIT_FACTOR * settings.warm_up_window_ms if settings.warm_up_offers else 0.0
        self.startup_gate = StartupGate(self.last_now_ms, min_wait_ms, options.startup_grace_ms)
        self.serving_machines: set[str] | None = None  # by the machine list; None before the first
        self.listeners: list[DomainEventListener] = []
        self.admission_queue = AdmissionQueue(self)  # tasks that came before the gate opened, or soon after
        self.admission_chain: list[AdmissionCheck] = [DuplicateFilter(self.call_table).decide_admission]
        self.in_process_frameworks_by_prefix: dict[str, InProcessFramework] = {}
        self.call_table.on_forget = lambda call: self.publish_event(CallForgotten(call))
        # `status_reporter` is the port by which agent_sessions and task_adoption use the same object.
        self.framework_sessions = self.status_reporter = FrameworkSessions(self)
        self.agent_sessions = AgentSessions(self)
        timing.call_in(options.sweep_interval_ms, self._sweep)

    # ---- domain events and admission chain ----

    def add_listener(self, listener: DomainEventListener) -> None:
        """Subscribes to domain events; `domain_events` says what a listener may do."""
        self.listeners.append(listener)

    def publish_event(self, event: DomainEvent) -> None:
        """Passes a domain event to every listener."""
        for listener in self.listeners:
            listener(event)

    def decide_admission(self, request: AdmissionRequest) -> AdmissionDecision | None:
        """Returns the first rejection of the admission chain, or None if the task is admitted."""
        for check in self.admission_chain:
            decision = check(request)
            if decision is not None:
                return decision
        return None

    def register_in_process(self, framework: InProcessFramework) -> None:
        """Registers a client in this process; other frameworks can't subscribe under its prefix."""
        self.in_process_frameworks_by_prefix[framework.prefix] = framework

    def is_framework_known(self, call: Call) -> bool:
        """Whether the call's client is known here; an in-process client must still want the task."""
        framework = self.in_process_frameworks_by_prefix.get(call.framework_id.partition(":")[0])
        return (
            framework.is_task_needed(call) if framework is not None else self.framework_of(call) is not None
        )

    # ---- events to the policy, and its actions ----

    def now(self) -> float:
        """Milliseconds on a clock that never goes back."""
        self.last_now_ms = max(self.last_now_ms, self.timing.now())
        return self.last_now_ms

    def dispatch_event(self, event: api.Event) -> None:
        """Passes an event to the policy and carries out its actions; events these cause follow after them."""
        self.event_dispatcher.dispatch_event(event)

    def update_machine_list(self, event: api.MachineListUpdated) -> None:
        """Applies a snapshot, delta or failure of the machine list."""
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
        """Requests a placement: at once, or through the admission queue until that is bypassed."""
        if not self.admission_queue.is_bypassed:
            self.admission_queue.add(call)
            return
        remaining_ms = call.task_request.remaining_ms - (self.now() - call.received_at_ms)
        if remaining_ms <= 0.0:
            self.answer(call, FinalAnswer.REJECTED, status_mapping.rejection_answer(False))
        else:
            self.dispatch_placement(call, remaining_ms)

    def dispatch_placement(self, call: Call, remaining_ms: float, machine: str | None = None) -> None:
        """Passes the call to the policy; if `machine` is given, as a task that already runs on it."""
        request = call.task_request
        call.is_placement_requested = True
        self.dispatch_event(
            api.PlacementRequested(
                call.number,
                request.task_class,
                request.service,
                request.cores,
                request.memory,
                remaining_ms,
                call.tenant,
                request.expected_run_ms,
                machine,
                request.is_retry,
            )
        )

    def open_gate_if_ready(self) -> None:
        """Opens the startup gate, and the admission queue once a machine serves, if the gate may open."""
        if self.admission_queue.slow_start is not None:
            return
        subscribed = (
            member.id
            for member in self.membership.members_by_agent.values()
            if member.state is AgentState.SUBSCRIBED
        )
        was_open = self.startup_gate.is_open
        if not self.startup_gate.try_open(self.now(), self.serving_machines, subscribed):
            return
        if not was_open:
            self.publish_event(PlacementOpened())
        if self.serving_machines:
            self.admission_queue.begin_slow_start()

    def find_unready_reason(self) -> str | None:
        """Returns why clients should use another allocator for now, or None if this one is ready.

        Calls that arrive before it is ready are queued; during shutdown no new task is accepted.
        """
        if self.is_shutting_down:
            return "shutting down"
        if self.admission_queue.slow_start is None:
            return (
                "machines have yet to tell what they run"
                if self.serving_machines
                else "no machine is listed yet"
            )
        return None

    def _execute_action(self, action: api.Action) -> None:
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
            self._send_probe(action.machine)
        elif isinstance(action, api.WatchMachineList):
            self.watch_machine_list()
        elif isinstance(action, api.LogMessage):
            self.log("policy message", text=action.text)
        elif isinstance(action, api.Migrate):
            self._migrate(action.call_id)

    # ---- attempts ----

    def _bind(self, action: api.Bind) -> None:
        call, now = self.call_table.active_calls_by_number[action.call_id], self.now()
        number = len(call.attempts)
        attempt_id = f"{self.options.name}-{self.incarnation}-{call.number}.{number}"
        attempt = Attempt(call, number, action.machine, attempt_id, now)
        self.call_table.bind(attempt)
        self.publish_event(AttemptSent(attempt))
        session: Any = self.membership.session_of(action.machine)
        if session is None:
            self.fail_attempt(attempt, api.Outcome.UNREACHABLE, may_have_run=False)
            return
        attempt.session = session
        # The LAUNCH counts as not sent until the session returns its place in the stream.
        attempt.launch_begin = attempt.launch_end = UNKNOWN_STREAM_OFFSET
        launch_range = session.send(self._encode_launch(attempt, action.timeout_ms))
        if attempt.is_concluded:
            return  # the session failed while it took the record, which concluded the attempt
        attempt.launch_begin, attempt.launch_end = launch_range
        attempt.timer = self.timing.call_in(action.timeout_ms, lambda: self._on_attempt_timeout(attempt))

    def _encode_launch(self, attempt: Attempt, timeout_ms: float) -> bytes:
        call = attempt.call
        task_class = self.classes_by_name[call.task_request.task_class]
        labels = {
            "class": call.task_request.task_class,
            "service": call.task_request.service,
            "key": call.task_request.idempotency_key,
            "framework": call.framework_id,
            "task": call.task_id,
            "tenant": call.tenant,
            "attempt": str(attempt.number),
            "answer_within_ms": f"{timeout_ms:.0f}",
            "priority": str(task_class.priority),
            "effect": task_class.idempotency.value,
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
        """How much of the attempt's LAUNCH left this process."""
        session: Any = attempt.session
        if session is None:
            return delivery_status.DeliveryStatus.NOT_SENT
        return delivery_status.classify_delivery(
            session.written_bytes(), attempt.launch_begin, attempt.launch_end
        )

    def _on_attempt_timeout(self, attempt: Attempt) -> None:
        if attempt.is_concluded:
            return
        decision = delivery_status.decide_on_timeout(attempt.step, self.find_delivery_status(attempt))
        if decision.action is delivery_status.DeliveryAction.CLOSE_SESSION:
            session: Any = attempt.session
            session.close("the agent does not read")  # handled as a lost session, which concludes the attempt
        if decision.action is not delivery_status.DeliveryAction.IGNORE and not attempt.is_concluded:
            self.fail_attempt(attempt, decision.outcome, decision.may_have_run)

    def fail_attempt(self, attempt: Attempt, outcome: api.Outcome, may_have_run: bool) -> None:
        """Concludes an attempt that was not accepted.

        Later updates of the agent about it are handled by `AgentSessions._apply_late_status`.
        """
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
        """Reports the end of an attempt to the policy, once.

        `over` is the event's `is_call_closed`; with it the call is closed if it has a final answer. `why` is
        the reason of the outcome, `report` the agent's load report.
        """
        call = attempt.call
        attempt.is_concluded = True
        self.stop_timer(attempt)
        self.counters.attempts_by_outcome[outcome.value] += 1
        elapsed_ms = max(0.0, self.now() - attempt.sent_at_ms)
        if call.final_answer is None:
            call.pending_reasons.record(outcome, why, attempt.machine, self.now())
        if over and call.final_answer is not None:
            self.call_table.close(call)
        self.publish_event(AttemptConcluded(attempt, outcome, why))
        self.dispatch_event(
            api.AttemptEnded(
                call.number, attempt.number, attempt.machine, outcome, elapsed_ms, over, why, report
            )
        )
        if call.final_answer is None and call.is_cancelled:
            self._answer_cancelled(call)

    def _answer_cancelled(self, call: Call) -> None:
        """Answers a call that its client cancelled during an attempt, once the attempt has ended."""
        if call.may_have_run():
            self.answer(call, FinalAnswer.FAILED, status_mapping.failure_answer())
        else:
            self.answer(
                call,
                FinalAnswer.REJECTED,
                StatusAnswer(status_mapping.TaskState.KILLED, status_mapping.RetryAdvice.HARMLESS),
            )

    def stop_timer(self, attempt: Attempt) -> None:
        """Cancels the attempt's time-out."""
        timer: Any = attempt.timer
        if timer is not None:
            timer.cancel()
            attempt.timer = None

    def _migrate(self, call_number: int) -> None:
        """Kills the task on its machine; its client requests it again (see `interface.Migrate`)."""
        attempt = self.call_table.active_calls_by_number[call_number].active_attempt()
        if attempt is not None:
            self.kill(attempt)

    def kill(self, attempt: Attempt) -> None:
        """Sends a KILL to the agent, on the same stream as the LAUNCH, so that it can't overtake it."""
        session: Any = self.membership.session_of(attempt.machine)
        if session is not None and attempt.step is not AttemptStep.ENDED:
            self.counters.counts_by_event["kill"] += 1
            session.send(m.encode(m.ExecutorEvent("KILL", kill=m.KillEvent(m.Value(attempt.id)))))

    # ---- probes ----

    def _send_probe(self, machine: str) -> None:
        session: Any = self.membership.session_of(machine)
        if session is None:
            self.dispatch_event(api.ProbeEnded(machine, api.Outcome.UNREACHABLE))
            return
        number = next(self.probe_numbers)
        timeout_ms = self.options.probe_timeout_ms
        timer = self.timing.call_in(timeout_ms, lambda: self.conclude_probe(machine, number, None))
        self.pending_probes_by_machine.setdefault(machine, deque()).append((number, timer))
        payload = m.encode_payload(m.Payload("probe", probe=number))
        session.send(m.encode(m.ExecutorEvent("MESSAGE", message=m.Message(payload))))

    def conclude_probe(self, machine: str, number: int, report: api.LoadReport | None) -> None:
        """Ends a probe with the agent's report, or with None after its time-out.

        Ignores a number that is not pending.
        """
        pending_probes = self.pending_probes_by_machine.get(machine, deque())
        for probe in pending_probes:
            if probe[0] == number:
                pending_probes.remove(probe)
                probe[1].cancel()
                if not pending_probes:
                    del self.pending_probes_by_machine[machine]
                outcome = api.Outcome.TIMED_OUT if report is None else api.Outcome.COMPLETED
                self.dispatch_event(api.ProbeEnded(machine, outcome, report))
                return

    # ---- answers ----

    def answer(self, call: Call, final_answer: FinalAnswer, answer: StatusAnswer) -> None:
        """Records and counts a call's one final answer, and reports the status `answer` to the client."""
        self.call_table.record_answer(call, final_answer)
        self.counters.record_answer(call.task_request.task_class, final_answer)
        framework = self.framework_of(call)
        if framework is not None:
            framework.open_task_count -= 1
        if final_answer is not FinalAnswer.PLACED:
            self.call_table.close(call)
        self.publish_event(CallAnswered(call, final_answer))
        text = (
            None
            if final_answer is FinalAnswer.PLACED
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
        """Builds a status for a client; with `acked` it has a uuid and needs the client's acknowledgement.

        `machine` is None where the allocator and not an agent is the source of the status.
        """
        update_uuid = uuid.UUID(int=self.random.getrandbits(128), version=4).bytes
        return m.TaskStatus(
            task_id=m.Value(task_id),
            state=answer.state,
            source="SOURCE_MASTER" if machine is None else "SOURCE_EXECUTOR",
            reason=answer.reason,
            message=message,
            agent_id=m.Value(machine or self.options.pool),
            timestamp=self.timing.clock.wall() / 1000.0,
            uuid=base64.b64encode(update_uuid).decode() if acked else None,
            labels=m.Labels([m.Label("retry", answer.retry_advice.value)]),
        )

    # ---- periodic work ----

    def _sweep(self) -> None:
        """Handles unresponsive and lost agents, framework failover time-outs, and updates and offers due."""
        self.timing.call_in(self.options.sweep_interval_ms, self._sweep)
        self.open_gate_if_ready()
        now = self.now()
        for member in self.membership.find_unresponsive(now):
            session: Any = member.session
            if session is None:
                # Closing another session in this sweep made the policy bind a task to this agent, and sending
                # it closed the session.
                continue
            self.log("agent silent", agent=member.id, heard_ms_ago=round(now - member.last_heard_at_ms))
            session.close("no heartbeat")
        for member in self.membership.mark_lost(now):
            self.log("agent lost", agent=member.id)
            self.publish_event(AgentStateChanged(member.id, AgentState.LOST.value))
            self.agent_sessions.handle_lost_agent(member.id)
        self.framework_sessions.sweep(now)

    # ---- shutdown ----

    def begin_shutdown(self) -> None:
        """Begins a graceful shutdown, in which no new task is accepted.

        `on_idle` is called here if no call is open, else when the last open call is answered.
        """
        self.is_shutting_down = True
        if not self.call_table.open_task_count:
            self.on_idle()

    def finish_shutdown(self) -> None:
        """Ends a graceful shutdown: answers each open call by what is known of its execution now."""
        for call in [c for c in self.call_table.active_calls_by_number.values() if c.final_answer is None]:
            call.is_cancelled = True
            if call.is_placement_requested:
                self.dispatch_event(api.CallAbandoned(call.number))
            attempt = call.active_attempt()
            if (
                attempt is not None
                and self.find_delivery_status(attempt) is not delivery_status.DeliveryStatus.SENT
            ):
                session: Any = attempt.session
                # The LAUNCH can't arrive once the session is closed; the close concludes the attempt.
                session.close("shutting down")
            elif attempt is not None:
                self.kill(attempt)
            if call.final_answer is None:
                is_failed = call.may_have_run() and call.idempotency is not api.Idempotency.IDEMPOTENT
                answer = (
                    status_mapping.failure_answer()
                    if is_failed
                    else status_mapping.rejection_answer(call.may_have_run())
                )
                self.answer(call, FinalAnswer.FAILED if is_failed else FinalAnswer.REJECTED, answer)

    def framework_of(self, call: Call) -> Framework | None:
        """The Mesos framework that owns the call's task, or None."""
        return self.frameworks.frameworks_by_id.get(call.framework_id)

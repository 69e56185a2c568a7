"""The core: takes events in, carries out the policy's actions and keeps the state of every task in between.

The API servers call `framework_sessions` and `agent_sessions` with parsed calls. The core keeps the call
table, the membership of agents and the frameworks, passes events to the policy and carries out its actions.
Clock and timers come from a TimingPort, such as the event loop.
"""

from __future__ import annotations

import base64
import itertools
import uuid
from collections.abc import Callable
from random import Random
from typing import Any

from glencleat import interface as api
from glencleat.allocator import delivery_status, status_mapping
from glencleat.allocator.admission import DuplicateFilter
from glencleat.allocator.admission_queue import AdmissionQueue
from glencleat.allocator.agent_membership import AgentMembership, AgentState
from glencleat.allocator.agent_sessions import AgentSessions
from glencleat.allocator.attempts import AttemptManager
from glencleat.allocator.call_table import Attempt, Call, CallTable, FinalAnswer
from glencleat.allocator.contract import Contract, PolicyPort
from glencleat.allocator.counters import TaskCounters
from glencleat.allocator.domain_events import (
    AdmissionCheck,
    AdmissionDecision,
    AdmissionRequest,
    AgentStateChanged,
    CallAnswered,
    CallForgotten,
    DomainEvent,
    EventSubscriber,
    InProcessOwner,
    MachineListChanged,
    PlacementOpened,
)
from glencleat.allocator.event_dispatcher import EventDispatcher
from glencleat.allocator.framework_sessions import FrameworkSessions
from glencleat.allocator.frameworks import Framework, Frameworks
from glencleat.allocator.options import Options
from glencleat.allocator.probes import ProbeTracker
from glencleat.allocator.runtime_ports import TimingPort
from glencleat.allocator.startup_gate import StartupGate
from glencleat.allocator.status_mapping import StatusAnswer
from glencleat.mesos import messages as m

# Placing waits this many warm-up windows after the start: what the former incarnation offered to machines
# that were warming up then no longer counts.
WARM_UP_WINDOWS_WAITED = 1.25


class Core:
    """One allocator without its sockets; implements `ports.CorePort`."""

    def __init__(
        self,
        settings: api.Settings,
        policy: PolicyPort,
        options: Options,
        timing: TimingPort,
        seed: int,
        log: Callable[..., None] = lambda event, **more: None,
    ) -> None:
        self.settings = settings
        self.options = options
        self.timing = timing
        self.log = log
        self.random = Random(seed)
        self.incarnation = f"{self.random.getrandbits(40):010x}"
        self.last_now_ms = timing.now()
        self.is_shutting_down = False
        self.on_watch_requested: Callable[[], None] = lambda: None  # set by the directory's client
        self.on_idle: Callable[[], None] = lambda: None  # the last call was answered while shutting down
        self.contract = Contract(policy)
        self.dispatcher = EventDispatcher(self.contract, self.now, self._carry_out)
        self.subscribers: list[EventSubscriber] = []
        self.in_process_owners: dict[str, InProcessOwner] = {}  # by the prefix of their ids
        self._build_state()
        self._build_parts()
        timing.call_in(options.sweep_interval_ms, self._sweep)

    def _build_state(self) -> None:
        options = self.options
        self.classes_by_name = {task_class.name: task_class for task_class in self.settings.classes}
        self.call_numbers = itertools.count(1)
        self.call_table = CallTable(options.max_closed_calls)
        self.call_table.on_forgotten = lambda call: self.publish(CallForgotten(call))
        self.counters = TaskCounters(self.call_table)
        self.membership = AgentMembership(
            options.heartbeat_interval_ms,
            options.max_missed_heartbeats,
            options.agent_return_timeout_ms,
            options.max_agents,
        )
        self.frameworks = Frameworks(
            options.max_frameworks,
            options.max_unacknowledged_updates,
            update_retry_ms=options.update_retry_ms,
        )
        self.listed_machines: set[str] | None = None  # those that the machine list says are serving

    def _build_parts(self) -> None:
        window_ms = self.settings.warm_up_window_ms if self.settings.warm_up_offers else 0.0
        min_wait_ms = WARM_UP_WINDOWS_WAITED * window_ms
        self.startup_gate = StartupGate(self.last_now_ms, min_wait_ms, self.options.startup_grace_ms)
        self.admission_queue = AdmissionQueue(self)
        self.admission_checks: list[AdmissionCheck] = [DuplicateFilter(self.call_table).check]
        self.attempts = AttemptManager(self)
        self.probes = ProbeTracker(self)
        self.framework_sessions = FrameworkSessions(self)
        self.agent_sessions = AgentSessions(self)

    # ---- domain events and the admission chain ----

    def subscribe(self, subscriber: EventSubscriber) -> None:
        """Call `subscriber` with each domain event; see `domain_events` for what it may do."""
        self.subscribers.append(subscriber)

    def publish(self, event: DomainEvent) -> None:
        """Pass a domain event to all subscribers."""
        for subscriber in self.subscribers:
            subscriber(event)

    def decide_admission(self, request: AdmissionRequest) -> AdmissionDecision | None:
        """Return the first decision of the admission chain; None admits the task."""
        for check in self.admission_checks:
            decision = check(request)
            if decision is not None:
                return decision
        return None

    def register_owner(self, owner: InProcessOwner) -> None:
        """Make an owner within the process known; frameworks can't subscribe under its prefix."""
        self.in_process_owners[owner.prefix] = owner

    def is_owner_known(self, call: Call) -> bool:
        """Return whether the owner of a call's task is known and still wants it."""
        owner = self.in_process_owners.get(call.framework.partition(":")[0])
        if owner is not None:
            return owner.is_wanted(call)
        return self.find_framework(call) is not None

    def find_framework(self, call: Call) -> Framework | None:
        """Return the framework that owns a call, if it is known."""
        return self.frameworks.frameworks_by_id.get(call.framework)

    # ---- to the policy and back ----

    def now(self) -> float:
        """Return monotonic milliseconds; never less than the last time."""
        self.last_now_ms = max(self.last_now_ms, self.timing.now())
        return self.last_now_ms

    def dispatch(self, event: api.Event) -> None:
        """Pass an event to the policy; events that its actions cause at once follow after them."""
        self.dispatcher.dispatch(event)

    def update_machine_list(self, event: api.MachineListUpdated) -> None:
        """Take in a snapshot or a delta of the machine list, or that it could not be read."""
        if event.kind is not api.ListUpdateKind.FAILED:
            serving = {
                machine.name for machine in event.machines if machine.phase is api.MachinePhase.SERVING
            }
            if event.kind is api.ListUpdateKind.SNAPSHOT or self.listed_machines is None:
                self.listed_machines = serving
            else:
                self.listed_machines -= {machine.name for machine in event.machines}
                self.listed_machines |= serving
        self.publish(MachineListChanged(event))
        self.dispatch(event)
        self.open_if_ready()

    def request_placement(self, call: Call) -> None:
        """Pass a call to the policy, or queue it when this allocator has just started."""
        if not self.admission_queue.is_finished:
            self.admission_queue.enqueue(call)
            return
        remaining_ms = call.request.remaining_ms - (self.now() - call.accepted_at_ms)
        if remaining_ms <= 0.0:
            self.answer_call(call, FinalAnswer.REJECTED, status_mapping.rejection_answer(may_have_run=False))
        else:
            self.dispatch_request(call, remaining_ms)

    def dispatch_request(self, call: Call, remaining_ms: float, machine: str | None = None) -> None:
        """Pass a call to the policy: to be placed, or with `machine` one whose task runs there already."""
        request = call.request
        call.is_requested = True
        self.dispatch(
            api.PlacementRequested(
                call_id=call.number,
                task_class=request.task_class,
                service=request.service,
                cores=request.cores,
                memory=request.memory,
                remaining_ms=remaining_ms,
                tenant=call.tenant,
                expected_run_ms=request.expected_run_ms,
                machine=machine,
                is_retry=request.is_retry,
            )
        )

    def open_if_ready(self) -> None:
        """Open the startup gate when the agents of all listed machines are there, or the wait is over."""
        if self.admission_queue.slow_start is not None:
            return
        subscribed = (
            member.id
            for member in self.membership.members_by_agent.values()
            if member.state is AgentState.SUBSCRIBED
        )
        was_open = self.startup_gate.is_open
        if not self.startup_gate.try_open(self.now(), self.listed_machines, subscribed):
            return
        if not was_open:
            self.publish(PlacementOpened())
        if self.listed_machines:
            self.admission_queue.begin_dispatching()

    def find_unready_reason(self) -> str | None:
        """Return why owners do better to ask elsewhere now, or None; their calls are queued meanwhile."""
        if self.is_shutting_down:
            return "shutting down"
        if self.admission_queue.slow_start is None:
            if self.listed_machines:
                return "machines have yet to tell what they run"
            return "no machine is listed yet"
        return None

    def _carry_out(self, action: api.Action) -> None:
        if isinstance(action, api.Bind):
            self.attempts.launch(action)
        elif isinstance(action, api.Reject):
            call = self.call_table.active_calls[action.call_id]
            self.answer_call(call, FinalAnswer.REJECTED, status_mapping.rejection_answer(call.may_have_run()))
        elif isinstance(action, api.Fail):
            call = self.call_table.active_calls[action.call_id]
            self.answer_call(call, FinalAnswer.FAILED, status_mapping.failure_answer())
        elif isinstance(action, api.SetTimer):
            token = action.token
            self.timing.call_in(action.delay_ms, lambda: self.dispatch(api.TimerFired(token)))
        elif isinstance(action, api.Probe):
            self.probes.send_probe(action.machine)
        elif isinstance(action, api.WatchMachineList):
            self.on_watch_requested()
        elif isinstance(action, api.LogMessage):
            self.log("module", text=action.text)
        elif isinstance(action, api.Migrate):
            self._migrate(self.call_table.active_calls[action.call_id])

    def _migrate(self, call: Call) -> None:
        """Stop the task where it is; the policy places it elsewhere when it has ended."""
        active = call.active_attempt()
        if active is not None:
            self.kill_attempt(active)

    # ---- attempts and probes, for the sessions of agents and frameworks ----

    def get_delivery_status(self, attempt: Attempt) -> delivery_status.DeliveryStatus:
        """Return how much of the attempt's LAUNCH was handed to the socket."""
        return self.attempts.get_delivery_status(attempt)

    def fail_attempt(self, attempt: Attempt, outcome: api.Outcome, may_have_run: bool) -> None:
        """Conclude an attempt that was not accepted."""
        self.attempts.fail(attempt, outcome, may_have_run)

    def conclude_attempt(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        is_call_closed: bool,
        reason: api.OutcomeReason = api.OutcomeReason.UNSPECIFIED,
        report: api.LoadReport | None = None,
    ) -> None:
        """Tell the policy that an attempt has ended, once; see `AttemptManager.conclude`."""
        self.attempts.conclude(attempt, outcome, is_call_closed, reason, report)

    def cancel_timer(self, attempt: Attempt) -> None:
        """Drop the attempt's time-out."""
        self.attempts.cancel_timer(attempt)

    def kill_attempt(self, attempt: Attempt) -> None:
        """Ask the agent to stop the attempt's task."""
        self.attempts.kill(attempt)

    def conclude_probe(self, machine: str, number: int, report: api.LoadReport | None) -> None:
        """Take in an agent's answer to a probe."""
        self.probes.conclude_probe(machine, number, report)

    # ---- answers ----

    def answer_call(self, call: Call, final_answer: FinalAnswer, answer: StatusAnswer) -> None:
        """Give a call its one final answer: to the call table, the counters and the owner.

        Raises:
            AnsweredTwiceError: the call has one already.
        """
        self.call_table.record_answer(call, final_answer)
        self.counters.count_answered(call.request.task_class, final_answer)
        framework = self.find_framework(call)
        if framework is not None:
            framework.open_task_count -= 1
        is_placed = final_answer is FinalAnswer.PLACED
        if not is_placed:
            self.call_table.close_call(call)
        self.publish(CallAnswered(call, final_answer))
        text = None if is_placed else call.pending_reasons.describe(len(self.listed_machines or ()))
        self.framework_sessions.status(call, answer, text)
        if self.is_shutting_down and not self.call_table.unanswered_count:
            self.on_idle()

    def build_status(
        self,
        task_id: str,
        answer: StatusAnswer,
        machine: str | None,
        message: str | None = None,
        acked: bool = True,
    ) -> m.TaskStatus:
        """Build a status for an owner.

        Args:
            task_id: The owner's id of the task.
            answer: State, reason and advice on repeating it.
            machine: Where the task is; None for what the allocator says by itself.
            message: Text for people.
            acked: Whether the owner is to acknowledge it, which takes a uuid.
        """
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
        """Look for silent and lost agents, owners that stay away, and updates and offers that are due."""
        self.timing.call_in(self.options.sweep_interval_ms, self._sweep)
        self.open_if_ready()
        now = self.now()
        for member in self.membership.find_unresponsive(now):
            session: Any = member.session
            if session is None:
                continue  # it broke just now: the end of another's session bound a task to this one
            self.log("agent silent", agent=member.id, heard_ms_ago=round(now - member.last_heard_at_ms))
            session.close("no heartbeat")
        for member in self.membership.mark_lost(now):
            self.log("agent lost", agent=member.id)
            self.publish(AgentStateChanged(member.id, AgentState.LOST.value))
            self.agent_sessions.handle_lost_agent(member.id)
        self.framework_sessions.sweep(now)

    # ---- graceful shutdown ----

    def begin_shutdown(self) -> None:
        """Admit no further tasks; `on_idle` is called when every call has its answer."""
        self.is_shutting_down = True
        if not self.call_table.unanswered_count:
            self.on_idle()

    def finish_shutdown(self) -> None:
        """Answer every open call at once with what is true now: the time for the shutdown is up."""
        open_calls = [call for call in self.call_table.active_calls.values() if call.final_answer is None]
        for call in open_calls:
            call.is_abandoned = True
            if call.is_requested:
                self.dispatch(api.CallAbandoned(call.number))
            self._stop_active_attempt(call)
            if call.final_answer is None:
                self._answer_at_shutdown(call)

    def _stop_active_attempt(self, call: Call) -> None:
        active = call.active_attempt()
        if active is None:
            return
        if self.get_delivery_status(active) is delivery_status.DeliveryStatus.SENT:
            self.kill_attempt(active)
        else:
            session: Any = active.session
            session.close("shutting down")  # so the LAUNCH can't arrive, and the session's end says so

    def _answer_at_shutdown(self, call: Call) -> None:
        may_have_run = call.may_have_run()
        if may_have_run and call.idempotency is not api.Idempotency.IDEMPOTENT:
            self.answer_call(call, FinalAnswer.FAILED, status_mapping.failure_answer())
        else:
            self.answer_call(call, FinalAnswer.REJECTED, status_mapping.rejection_answer(may_have_run))

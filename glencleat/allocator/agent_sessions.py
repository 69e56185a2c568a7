"""Agents' half of the core: their subscriptions, status updates, messages and absence.

Called by the server of the executor API and by the core. `status_mapping` reads what an agent says,
`delivery_status` decides what it means for an attempt whose execution is uncertain.
"""

from __future__ import annotations

from glencleat import interface as api
from glencleat.allocator import delivery_status, status_mapping
from glencleat.allocator.agent_membership import AgentState, split_executor_id
from glencleat.allocator.call_table import Attempt, FinalAnswer
from glencleat.allocator.delivery_status import DeliveryAction
from glencleat.allocator.domain_events import AgentStateChanged
from glencleat.allocator.errors import AllocatorError
from glencleat.allocator.ports import CorePort
from glencleat.allocator.session_stream import SessionStream
from glencleat.allocator.status_mapping import (
    AttemptStep,
    ExecutionStatus,
    RetryAdvice,
    StatusAnswer,
    StatusMeaning,
    StatusReason,
    TaskState,
)
from glencleat.allocator.task_adoption import TaskAdoption
from glencleat.mesos import messages as m

SETTLED_STATUSES = (ExecutionStatus.NEVER_RAN, ExecutionStatus.ENDED)


class NotSubscribedError(AllocatorError):
    """A call of an agent's incarnation that has no session.

    Attributes:
        executor_id: the ExecutorID of the call.

    """

    def __init__(self, executor_id: str) -> None:
        super().__init__(f"{executor_id} is not subscribed")
        self.executor_id = executor_id


def to_load_report(payload: m.Payload) -> api.LoadReport:
    """The load report of an agent's message."""
    return api.LoadReport(payload.cores_free, payload.memory_free, payload.busy, payload.queue)


class AgentSessions:
    """Handles what agents say, and that they stop to say anything."""

    def __init__(self, core: CorePort) -> None:
        self.core = core
        self.adoption = TaskAdoption(core)

    # ---- sessions ----

    def subscribe(self, call: m.ExecutorCall, session: SessionStream) -> str:
        """Begins a session and returns the agent's id; raises AgentLimitError.

        Updates that the agent still holds are handled as if just sent.
        """
        core = self.core
        agent, incarnation = split_executor_id(call.executor_id.value)
        reported = call.subscribe or m.SubscribeExecutor()
        subscription = core.membership.subscribe(agent, incarnation, session, core.now())
        core.publish_event(AgentStateChanged(agent, AgentState.SUBSCRIBED.value))
        core.log("agent subscribed", agent=agent, run=incarnation, tasks=len(reported.unacknowledged_tasks))
        # An old stream that was still open may hold a LAUNCH which this incarnation has yet to read.
        is_list_complete = subscription.is_same_incarnation and subscription.replaced_session is None
        if subscription.replaced_session is not None:
            self._end_replaced_session(agent, subscription.replaced_session)
        self._send_subscribed(call, agent, session)
        for update in reported.unacknowledged_updates:
            self.handle_update(call.executor_id.value, update.status)
        self._compare_with_reported(agent, session, reported, is_list_complete=is_list_complete)
        for task in reported.unacknowledged_tasks:
            self._handle_listed_task(agent, task)
        core.open_gate_if_ready()
        return agent

    def _end_replaced_session(self, agent: str, session: SessionStream) -> None:
        text = "another connection subscribed under this id"
        session.send(m.encode(m.ExecutorEvent("ERROR", error=m.ErrorEvent(text))))
        session.close(text)
        self._resolve_lost_session(agent, session)

    def _send_subscribed(self, call: m.ExecutorCall, agent: str, session: SessionStream) -> None:
        subscribed = m.SubscribedExecutor(
            m.ExecutorInfo(call.executor_id, call.framework_id),
            m.FrameworkInfo(name="glencleat", id=call.framework_id),
            m.AgentInfo(hostname=agent, id=m.Value(agent)),
        )
        session.send(m.encode(m.ExecutorEvent("SUBSCRIBED", subscribed=subscribed)))

    def close_session(self, agent: str, session: SessionStream, why: str) -> None:
        """Handles the end of a session's connection."""
        core = self.core
        if core.membership.close_session(agent, session, core.now()):
            core.publish_event(AgentStateChanged(agent, AgentState.AWAY.value))
            core.log("agent away", agent=agent, why=why)
        self._resolve_lost_session(agent, session)

    def _resolve_lost_session(self, agent: str, session: SessionStream) -> None:
        """Decides about each attempt whose LAUNCH went to a session that ended."""
        for attempt in self.core.call_table.attempts_at(agent):
            if attempt.session is not session or attempt.is_concluded:
                continue
            decision = delivery_status.decide_on_session_lost(
                attempt.step, self.core.find_delivery_status(attempt), attempt.call.idempotency
            )
            if decision.action is DeliveryAction.CONCLUDE:
                self.core.fail_attempt(attempt, decision.outcome, decision.may_have_run)

    def _compare_with_reported(
        self, agent: str, session: SessionStream, reported: m.SubscribeExecutor, *, is_list_complete: bool
    ) -> None:
        """Compares the attempts of earlier sessions with the tasks and updates that the agent reports."""
        listed_ids = {task.task_id.value for task in reported.unacknowledged_tasks}
        listed_ids |= {update.status.task_id.value for update in reported.unacknowledged_updates}
        for attempt in self.core.call_table.attempts_at(agent):
            if attempt.session is not session:
                decision = delivery_status.decide_on_resubscribe(
                    attempt.step, is_listed=attempt.id in listed_ids, is_same_incarnation=is_list_complete
                )
                if decision.action is not DeliveryAction.IGNORE:
                    self._conclude_not_listed(attempt, decision)

    def _conclude_not_listed(self, attempt: Attempt, decision: delivery_status.DeliveryDecision) -> None:
        if attempt.is_concluded:
            if decision.may_have_run:
                attempt.step = AttemptStep.ENDED
            else:
                attempt.has_run = False
            self.core.call_table.remove_from_machine(attempt)
        elif attempt.step is AttemptStep.DISPATCHED:
            if decision.may_have_run:
                attempt.step = AttemptStep.ENDED
            self.core.fail_attempt(attempt, decision.outcome, decision.may_have_run)
        else:
            self._record_end(attempt, StatusMeaning(AttemptStep.ENDED, decision.outcome), None)

    # ---- tasks that an agent lists ----

    def _handle_listed_task(self, agent: str, task: m.TaskInfo) -> None:
        """A task that the agent holds: known, or placed by a former incarnation of this allocator."""
        attempt = self.core.call_table.attempts_by_id.get(task.task_id.value)
        if attempt is None:
            self.adoption.handle_unknown_task(agent, task)
        elif not attempt.is_concluded:
            if attempt.step is AttemptStep.DISPATCHED:
                self._record_accepted(attempt)
        elif attempt.step is not AttemptStep.ENDED:
            if attempt.step is AttemptStep.DISPATCHED:
                attempt.step = AttemptStep.ACCEPTED
            self.adoption.handle_late_acceptance(attempt, was_placed=attempt.was_placed)

    # ---- status updates ----

    def handle_update(self, executor_id: str, status: m.TaskStatus) -> None:
        """Handles an UPDATE; raises NotSubscribedError.

        It is acknowledged whatever it says, as its agent repeats it until then.
        """
        core = self.core
        agent = self.record_heartbeat(executor_id)
        payload = m.decode_payload(status.data) if status.data else None
        attempt = core.call_table.attempts_by_id.get(status.task_id.value)
        if status.uuid is not None:
            self._acknowledge(agent, status.task_id, status.uuid)
        meaning = status_mapping.read_status(
            status.state, status.reason, m.find_label(status.labels, "cause")
        )
        if attempt is None or meaning is None or attempt.machine != agent:
            core.counters.counts_by_event["update unknown"] += 1
            return
        if attempt.check_duplicate_update(status.uuid) or meaning.step.value <= attempt.step.value:
            core.counters.counts_by_event["update stale"] += 1  # a duplicate, or overtaken by a later one
            return
        self._apply_status(attempt, meaning, None if payload is None else to_load_report(payload))

    def _acknowledge(self, agent: str, task_id: m.Value, uuid: str) -> None:
        session = self.core.membership.session_of(agent)
        if session is not None:
            acknowledged = m.Acknowledged(task_id, uuid)
            session.send(m.encode(m.ExecutorEvent("ACKNOWLEDGED", acknowledged=acknowledged)))

    def _apply_status(self, attempt: Attempt, meaning: StatusMeaning, report: api.LoadReport | None) -> None:
        if attempt.is_concluded:
            self._apply_late_status(attempt, meaning)
            return
        if meaning.step is AttemptStep.ENDED and not meaning.may_have_run:
            self._record_rejected(attempt, meaning, report)
            return
        if attempt.step is AttemptStep.DISPATCHED:
            self._record_accepted(attempt)
        if meaning.step is AttemptStep.RUNNING and not attempt.is_concluded:
            self._record_running(attempt)
        elif meaning.step is AttemptStep.ENDED:
            self._record_end(attempt, meaning, report)

    def _apply_late_status(self, attempt: Attempt, meaning: StatusMeaning) -> None:
        """Applies a status of an attempt that was concluded; reports what it settles to an owner in doubt."""
        # Not by its step: a late acceptance moves that on too, and its next status would pass for a placed
        # task's.
        was_placed = attempt.was_placed
        call = attempt.call
        attempt.step = meaning.step
        if meaning.step is not AttemptStep.ENDED:
            self.adoption.handle_late_acceptance(attempt, was_placed=was_placed)
            return
        if not meaning.may_have_run:
            attempt.has_run = False
        self.core.call_table.remove_from_machine(attempt)
        if self.core.call_table.find_call(call.framework_id, call.task_id) is not call:
            return  # it was asked for again since
        if was_placed and call.final_answer is FinalAnswer.PLACED and attempt is call.last_attempt():
            self.core.status_reporter.report_status(
                call, status_mapping.end_answer(meaning.outcome, meaning.reason)
            )
        elif call.final_answer is FinalAnswer.FAILED and call.execution_status() in SETTLED_STATUSES:
            self.core.status_reporter.report_status(
                call, status_mapping.reconciliation_answer(call.execution_status())
            )

    def _record_rejected(
        self, attempt: Attempt, meaning: StatusMeaning, report: api.LoadReport | None
    ) -> None:
        """The agent dropped the task: it is known not to have run."""
        attempt.step = AttemptStep.ENDED
        attempt.has_run = False
        self.core.call_table.remove_from_machine(attempt)
        self.core.conclude_attempt(
            attempt, meaning.outcome, over=attempt.call.is_cancelled, why=meaning.reason, report=report
        )

    def _record_accepted(self, attempt: Attempt) -> None:
        """The agent accepted the task: it is placed, which is its answer."""
        core = self.core
        call = attempt.call
        core.stop_timer(attempt)
        attempt.step = AttemptStep.ACCEPTED
        attempt.was_placed = True
        spent_ms = max(0.0, core.now() - attempt.sent_at_ms)
        core.dispatch_event(api.AttemptAccepted(call.number, attempt.number, attempt.machine, spent_ms))
        core.answer(call, FinalAnswer.PLACED, StatusAnswer(TaskState.STARTING, RetryAdvice.NEVER))
        if call.is_cancelled:
            core.kill(attempt)  # its owner cancelled it just as the machine accepted

    def _record_running(self, attempt: Attempt) -> None:
        call = attempt.call
        attempt.step = AttemptStep.RUNNING
        self.core.dispatch_event(
            api.TaskObserved(call.number, attempt.machine, api.ObservationKind.RUNNING, 1.0)
        )
        if call.final_answer is not None:
            self.core.status_reporter.report_status(call, StatusAnswer(TaskState.RUNNING, RetryAdvice.NEVER))

    def _record_end(self, attempt: Attempt, meaning: StatusMeaning, report: api.LoadReport | None) -> None:
        """The end of a placed task."""
        attempt.step = AttemptStep.ENDED
        self.core.call_table.remove_from_machine(attempt)
        self.core.conclude_attempt(attempt, meaning.outcome, over=True, why=meaning.reason, report=report)
        self.core.status_reporter.report_status(
            attempt.call, status_mapping.end_answer(meaning.outcome, meaning.reason)
        )

    # ---- messages ----

    def handle_message(self, executor_id: str, payload: m.Payload) -> None:
        """Handles a MESSAGE: an answer to a probe, and what tasks use; raises NotSubscribedError."""
        agent = self.record_heartbeat(executor_id)
        if payload.probe is not None:
            self.core.conclude_probe(agent, payload.probe, to_load_report(payload))
        for use in payload.tasks:
            self._observe_task(agent, use, payload.memory_used)

    def _observe_task(self, agent: str, use: m.TaskUse, memory_used: float | None) -> None:
        attempt = self.core.call_table.attempts_by_id.get(use.task_id)
        if attempt is None or attempt.is_concluded or attempt.machine != agent:
            return
        if attempt.step is AttemptStep.DISPATCHED:
            return
        observations = (
            (api.ObservationKind.CORES_IN_USE, use.cores),
            (api.ObservationKind.MEMORY_IN_USE, use.memory),
            (api.ObservationKind.SERVICE_LEVEL, use.served),
            (api.ObservationKind.MACHINE_MEMORY_IN_USE, memory_used),
        )
        for kind, value in observations:
            if value is not None:
                self.core.dispatch_event(api.TaskObserved(attempt.call.number, agent, kind, value))

    def record_heartbeat(self, executor_id: str) -> str:
        """Records a sign of life, which every call is, and returns the agent's id.

        Raises NotSubscribedError where the call is not of the incarnation that is subscribed.
        """
        agent, incarnation = split_executor_id(executor_id)
        if not self.core.membership.record_heartbeat(agent, incarnation, self.core.now()):
            raise NotSubscribedError(executor_id)
        return agent

    # ---- absence ----

    def handle_lost_agent(self, agent: str) -> None:
        """Ends the placed tasks of an agent that was away for too long; whether they run is uncertain."""
        for attempt in self.core.call_table.attempts_at(agent):
            if attempt.is_concluded or attempt.step is AttemptStep.DISPATCHED:
                continue
            call = attempt.call
            self.core.conclude_attempt(attempt, api.Outcome.LOST, over=True)
            is_idempotent = call.idempotency is api.Idempotency.IDEMPOTENT
            retry_advice = RetryAdvice.HARMLESS if is_idempotent else RetryAdvice.RECONCILE
            answer = StatusAnswer(TaskState.UNREACHABLE, retry_advice, StatusReason.AGENT_REMOVED)
            self.core.status_reporter.report_status(call, answer)

"""The part of the core that handles agents: their subscriptions, status updates, messages and loss.

Called by the server of the executor API and by the core. Sessions are kept by `core.membership`, attempts by
`core.call_table`. `status_mapping` interprets the statuses that agents send, and `delivery_status` decides
about attempts whose execution is uncertain.
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
    """An incarnation of an agent sent a call without having an open session.

    Attributes:
        executor_id: ExecutorID of the call.

    """

    def __init__(self, executor_id: str) -> None:
        super().__init__(f"{executor_id} is not subscribed")
        self.executor_id = executor_id


def to_load_report(payload: m.Payload) -> api.LoadReport:
    """Converts the payload of an agent's message to a load report."""
    return api.LoadReport(payload.cores_free, payload.memory_free, payload.busy, payload.queue)


class AgentSessions:
    """Handles the calls of agents, the end of their sessions and their loss."""

    def __init__(self, core: CorePort) -> None:
        self.core = core
        self.adoption = TaskAdoption(core)

    # ---- sessions ----

    def subscribe(self, call: m.ExecutorCall, session: SessionStream) -> str:
        """Starts a session and returns the agent's id; raises AgentLimitError.

        Unacknowledged updates that the agent reports are handled like new ones.
        """
        core = self.core
        agent, incarnation = split_executor_id(call.executor_id.value)
        reported = call.subscribe or m.SubscribeExecutor()
        subscription = core.membership.subscribe(agent, incarnation, session, core.now())
        core.publish_event(AgentStateChanged(agent, AgentState.SUBSCRIBED.value))
        core.log(
            "agent subscribed",
            agent=agent,
            incarnation=incarnation,
            tasks=len(reported.unacknowledged_tasks),
        )
        # Whether a dispatched attempt that the agent doesn't report never ran. If a session was replaced, the
        # agent may still read a LAUNCH from its stream and start the task; after a new start of the agent the
        # task may have run before.
        is_absence_conclusive = subscription.is_same_incarnation and subscription.replaced_session is None
        if subscription.replaced_session is not None:
            self._end_replaced_session(agent, subscription.replaced_session)
        self._send_subscribed(call, agent, session)
        for update in reported.unacknowledged_updates:
            self.handle_update(call.executor_id.value, update.status)
        self._compare_with_reported(agent, session, reported, is_absence_conclusive=is_absence_conclusive)
        for task in reported.unacknowledged_tasks:
            self._handle_listed_task(agent, task)
        core.open_gate_if_ready()
        return agent

    def _end_replaced_session(self, agent: str, session: SessionStream) -> None:
        reason = "another connection subscribed under this id"
        session.send(m.encode(m.ExecutorEvent("ERROR", error=m.ErrorEvent(reason))))
        session.close(reason)
        self._resolve_lost_session(agent, session)

    def _send_subscribed(self, call: m.ExecutorCall, agent: str, session: SessionStream) -> None:
        subscribed = m.SubscribedExecutor(
            m.ExecutorInfo(call.executor_id, call.framework_id),
            m.FrameworkInfo(name="glencleat", id=call.framework_id),
            m.AgentInfo(hostname=agent, id=m.Value(agent)),
        )
        session.send(m.encode(m.ExecutorEvent("SUBSCRIBED", subscribed=subscribed)))

    def close_session(self, agent: str, session: SessionStream, reason: str) -> None:
        """Handles the end of a session's connection."""
        core = self.core
        if core.membership.close_session(agent, session, core.now()):
            core.publish_event(AgentStateChanged(agent, AgentState.AWAY.value))
            core.log("agent away", agent=agent, why=reason)
        self._resolve_lost_session(agent, session)

    def _resolve_lost_session(self, agent: str, session: SessionStream) -> None:
        """Concludes the open attempts of a session that ended, where `decide_on_session_lost` says so.

        The others stay open until the agent subscribes again or is lost.
        """
        for attempt in self.core.call_table.attempts_at(agent):
            if attempt.session is not session or attempt.is_concluded:
                continue
            decision = delivery_status.decide_on_session_lost(
                attempt.step, self.core.find_delivery_status(attempt), attempt.call.idempotency
            )
            if decision.action is DeliveryAction.CONCLUDE:
                self.core.fail_attempt(attempt, decision.outcome, decision.may_have_run)

    def _compare_with_reported(
        self,
        agent: str,
        session: SessionStream,
        reported: m.SubscribeExecutor,
        *,
        is_absence_conclusive: bool,
    ) -> None:
        """Concludes attempts of earlier sessions that the agent reports in no task and no update."""
        reported_ids = {task.task_id.value for task in reported.unacknowledged_tasks}
        reported_ids |= {update.status.task_id.value for update in reported.unacknowledged_updates}
        for attempt in self.core.call_table.attempts_at(agent):
            if attempt.session is not session:
                decision = delivery_status.decide_on_resubscribe(
                    attempt.step,
                    is_listed=attempt.id in reported_ids,
                    is_same_incarnation=is_absence_conclusive,
                )
                if decision.action is not DeliveryAction.IGNORE:
                    self._conclude_not_listed(attempt, decision)

    def _conclude_not_listed(self, attempt: Attempt, decision: delivery_status.DeliveryDecision) -> None:
        """Applies the decision about an attempt that the agent did not report.

        A concluded attempt gets its execution status, an unanswered one fails, a placed task ends.
        """
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

    # ---- tasks that an agent reports ----

    def _handle_listed_task(self, agent: str, task: m.TaskInfo) -> None:
        """Handles a reported task, of a known attempt or of an earlier incarnation of this allocator."""
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

        The update is acknowledged whatever its content, because the agent repeats it until then.
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
            # A duplicate, or older than a status already applied.
            core.counters.counts_by_event["update stale"] += 1
            return
        self._apply_status(attempt, meaning, None if payload is None else to_load_report(payload))

    def _acknowledge(self, agent: str, task_id: m.Value, uuid: str) -> None:
        session = self.core.membership.session_of(agent)
        if session is not None:
            acknowledged = m.Acknowledged(task_id, uuid)
            session.send(m.encode(m.ExecutorEvent("ACKNOWLEDGED", acknowledged=acknowledged)))

    def _apply_status(
        self, attempt: Attempt, meaning: StatusMeaning, load_report: api.LoadReport | None
    ) -> None:
        if attempt.is_concluded:
            self._apply_late_status(attempt, meaning)
            return
        if meaning.step is AttemptStep.ENDED and not meaning.may_have_run:
            self._record_rejected(attempt, meaning, load_report)
            return
        if attempt.step is AttemptStep.DISPATCHED:
            self._record_accepted(attempt)
        if meaning.step is AttemptStep.RUNNING and not attempt.is_concluded:
            self._record_running(attempt)
        elif meaning.step is AttemptStep.ENDED:
            self._record_end(attempt, meaning, load_report)

    def _apply_late_status(self, attempt: Attempt, meaning: StatusMeaning) -> None:
        """Applies a status of a concluded attempt.

        Reports it to the client if it settles whether the task ran or has ended.
        """
        # `attempt.step` can't be used for this: a late acceptance also advances it to ACCEPTED although the
        # attempt was not answered as placed, and the next status would be taken for one of a placed task.
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
            return  # a newer call of the same task has replaced it
        if was_placed and call.final_answer is FinalAnswer.PLACED and attempt is call.last_attempt():
            self.core.status_reporter.report_status(
                call, status_mapping.end_answer(meaning.outcome, meaning.reason)
            )
        elif call.final_answer is FinalAnswer.FAILED and call.execution_status() in SETTLED_STATUSES:
            self.core.status_reporter.report_status(
                call, status_mapping.reconciliation_answer(call.execution_status())
            )

    def _record_rejected(
        self, attempt: Attempt, meaning: StatusMeaning, load_report: api.LoadReport | None
    ) -> None:
        """Records that the agent rejected the task, which is then known not to have run."""
        attempt.step = AttemptStep.ENDED
        attempt.has_run = False
        self.core.call_table.remove_from_machine(attempt)
        self.core.conclude_attempt(
            attempt, meaning.outcome, over=attempt.call.is_cancelled, why=meaning.reason, report=load_report
        )

    def _record_accepted(self, attempt: Attempt) -> None:
        """Records that the agent accepted the task, and answers the call as placed."""
        core = self.core
        call = attempt.call
        core.stop_timer(attempt)
        attempt.step = AttemptStep.ACCEPTED
        attempt.was_placed = True
        spent_ms = max(0.0, core.now() - attempt.sent_at_ms)
        core.dispatch_event(api.AttemptAccepted(call.number, attempt.number, attempt.machine, spent_ms))
        core.answer(call, FinalAnswer.PLACED, StatusAnswer(TaskState.STARTING, RetryAdvice.NEVER))
        if call.is_cancelled:
            core.kill(attempt)  # the client cancelled it while the acceptance was on its way

    def _record_running(self, attempt: Attempt) -> None:
        call = attempt.call
        attempt.step = AttemptStep.RUNNING
        self.core.dispatch_event(
            # The value 1.0 is ignored for RUNNING.
            api.TaskObserved(call.number, attempt.machine, api.ObservationKind.RUNNING, 1.0)
        )
        if call.final_answer is not None:
            self.core.status_reporter.report_status(call, StatusAnswer(TaskState.RUNNING, RetryAdvice.NEVER))

    def _record_end(
        self, attempt: Attempt, meaning: StatusMeaning, load_report: api.LoadReport | None
    ) -> None:
        """Records the end of a placed task and reports it to the client."""
        attempt.step = AttemptStep.ENDED
        self.core.call_table.remove_from_machine(attempt)
        self.core.conclude_attempt(
            attempt, meaning.outcome, over=True, why=meaning.reason, report=load_report
        )
        self.core.status_reporter.report_status(
            attempt.call, status_mapping.end_answer(meaning.outcome, meaning.reason)
        )

    # ---- messages ----

    def handle_message(self, executor_id: str, payload: m.Payload) -> None:
        """Handles a MESSAGE with a probe's answer or the usage of tasks; raises NotSubscribedError."""
        agent = self.record_heartbeat(executor_id)
        if payload.probe is not None:
            self.core.conclude_probe(agent, payload.probe, to_load_report(payload))
        for usage in payload.tasks:
            self._observe_task(agent, usage, payload.memory_used)

    def _observe_task(self, agent: str, usage: m.TaskUse, memory_used: float | None) -> None:
        attempt = self.core.call_table.attempts_by_id.get(usage.task_id)
        if attempt is None or attempt.is_concluded or attempt.machine != agent:
            return
        if attempt.step is AttemptStep.DISPATCHED:
            return
        observations = (
            (api.ObservationKind.CORES_IN_USE, usage.cores),
            (api.ObservationKind.MEMORY_IN_USE, usage.memory),
            (api.ObservationKind.SERVICE_LEVEL, usage.served),
            (api.ObservationKind.MACHINE_MEMORY_IN_USE, memory_used),
        )
        for kind, value in observations:
            if value is not None:
                self.core.dispatch_event(api.TaskObserved(attempt.call.number, agent, kind, value))

    def record_heartbeat(self, executor_id: str) -> str:
        """Records a heartbeat, as every call is one, and returns the agent's id.

        Raises NotSubscribedError if the call is not from the subscribed incarnation.
        """
        agent, incarnation = split_executor_id(executor_id)
        if not self.core.membership.record_heartbeat(agent, incarnation, self.core.now()):
            raise NotSubscribedError(executor_id)
        return agent

    # ---- lost agents ----

    def handle_lost_agent(self, agent: str) -> None:
        """Concludes the placed tasks of a lost agent as lost; whether they still run is uncertain."""
        for attempt in self.core.call_table.attempts_at(agent):
            if attempt.is_concluded or attempt.step is AttemptStep.DISPATCHED:
                continue
            call = attempt.call
            self.core.conclude_attempt(attempt, api.Outcome.LOST, over=True)
            is_idempotent = call.idempotency is api.Idempotency.IDEMPOTENT
            retry_advice = RetryAdvice.HARMLESS if is_idempotent else RetryAdvice.RECONCILE
            answer = StatusAnswer(TaskState.UNREACHABLE, retry_advice, StatusReason.AGENT_REMOVED)
            self.core.status_reporter.report_status(call, answer)

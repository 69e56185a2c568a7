"""Frameworks' half of the core: handling of Scheduler API calls, and status updates to frameworks.

Called by the server of the scheduler API, by clients within the process and by the core.
"""

from __future__ import annotations

from glencleat import interface as api
from glencleat.allocator import admission, status_mapping
from glencleat.allocator.call_table import Call, FinalAnswer, TaskRequest
from glencleat.allocator.domain_events import (
    AdmissionDecision,
    AdmissionRequest,
    CallAdded,
    TaskStatusReported,
)
from glencleat.allocator.framework_offers import FrameworkOffers
from glencleat.allocator.frameworks import MS_PER_S, Framework
from glencleat.allocator.pending_reasons import PendingReasons
from glencleat.allocator.ports import CorePort
from glencleat.allocator.reconciliation import ReconciliationQueue
from glencleat.allocator.session_stream import SessionStream
from glencleat.allocator.status_mapping import (
    AttemptStep,
    RetryAdvice,
    StatusAnswer,
    StatusReason,
    TaskState,
)
from glencleat.allocator.task_requests import TaskRequestError, read_task_request
from glencleat.mesos import messages as m

MAX_LOGGED_TYPE_CHARACTERS = 40  # longest part of an unsupported operation's type that is logged
UNKNOWN_CLASS = "-"  # label of the counters for a task of an unknown class

INVALID_OFFERS_TEXT = "the offer is not valid any more; expected one that was made in this session"


class FrameworkSessions:
    """Handles the calls of frameworks and reports the status of their tasks to them."""

    def __init__(self, core: CorePort) -> None:
        self.core = core
        self.offers = FrameworkOffers(core)
        self.reconciliation_queue = ReconciliationQueue(core, self._send_reconciliation)

    # ---- sessions ----

    def subscribe(self, info: m.FrameworkInfo, stream_id: str, session: SessionStream) -> Framework:
        """Starts a session and returns its framework; raises FrameworkLimitError.

        Unacknowledged updates are sent again.
        """
        core = self.core
        now_ms = core.now()
        subscription = core.frameworks.subscribe(
            info,
            new_id=f"{core.options.name}-{core.random.getrandbits(64):016x}",
            stream_id=stream_id,
            session=session,
            now_ms=now_ms,
        )
        framework = subscription.framework
        if subscription.replaced_session is not None:
            self._end_replaced_session(subscription.replaced_session)
        subscribed = m.SubscribedFramework(m.Value(framework.id), core.options.heartbeat_ms / MS_PER_S)
        session.send(m.encode(m.SchedulerEvent("SUBSCRIBED", subscribed=subscribed)))
        for status in core.frameworks.unacknowledged_statuses(framework):
            self._send_update(framework, status)
        self.offers.send_if_due(framework, now_ms)
        core.log("framework subscribed", framework=framework.id, role=framework.role())
        return framework

    def _end_replaced_session(self, session: SessionStream) -> None:
        error = m.ErrorEvent("Framework failed over")
        session.send(m.encode(m.SchedulerEvent("ERROR", error=error)))
        session.close("framework failed over")

    def close_session(self, framework: Framework, session: SessionStream, reason: str) -> None:
        """Handles the end of a session's connection."""
        core = self.core
        if core.frameworks.close_session(framework, session, core.now()):
            core.log("framework away", framework=framework.id, why=reason)

    def teardown(self, framework: Framework, reason: str) -> None:
        """Removes a framework, cancels its tasks and drops its unacknowledged updates."""
        core = self.core
        for call in core.call_table.calls_of(framework.id):
            self.cancel(call)
        core.frameworks.remove(framework)
        session = framework.session
        framework.session = None
        if session is not None:
            session.close(reason)
        core.log("framework removed", framework=framework.id, why=reason)

    def sweep(self, now_ms: float) -> None:
        """Removes frameworks past their failover timeout, resends overdue updates and sends due offers."""
        frameworks = self.core.frameworks
        for framework in frameworks.find_expired(now_ms):
            self.teardown(framework, "failover timeout")
        for framework in list(frameworks.frameworks_by_id.values()):
            if framework.session is None:
                continue
            if framework.unacknowledged_by_uuid:
                for status in frameworks.take_due_retries(framework, now_ms):
                    self._send_update(framework, status)
            self.offers.send_if_due(framework, now_ms)

    def decline(self, framework: Framework, decline: m.Decline) -> None:
        """Handles a DECLINE of offers."""
        self.offers.decline(framework, decline)

    # ---- launches ----

    def accept(self, framework: Framework, accept: m.Accept) -> None:
        """Handles an ACCEPT with LAUNCH operations; each task, valid or not, gets exactly one answer."""
        has_valid_offers = self.offers.use_offers(framework, accept)
        for operation in accept.operations:
            if operation.type != "LAUNCH" or operation.launch is None:
                type_text = operation.type[:MAX_LOGGED_TYPE_CHARACTERS]
                self.core.log("operation ignored", framework=framework.id, type=type_text)
                continue
            for info in operation.launch.task_infos:
                if has_valid_offers:
                    self._launch(framework, info)
                else:
                    answer = StatusAnswer(
                        TaskState.DROPPED, RetryAdvice.HARMLESS, StatusReason.INVALID_OFFERS
                    )
                    self._reject_launch(framework, info, answer, INVALID_OFFERS_TEXT)

    def _launch(self, framework: Framework, info: m.TaskInfo) -> None:
        core = self.core
        previous_call = core.call_table.find_call(framework.id, info.task_id.value)
        if admission.classify_repeat(previous_call) == "same" and previous_call is not None:
            core.counters.counts_by_event["launch repeated"] += 1
            if previous_call.final_answer is not None:
                self._send_reconciliation(framework, previous_call.task_id, previous_call)
            return
        decision = self._check_admission(
            previous_call,
            open_task_count=framework.open_task_count,
            has_update_backlog=core.frameworks.has_update_backlog(framework),
        )
        if decision is not None:
            self._reject_launch(framework, info, decision.answer, decision.text)
            return
        try:
            request = read_task_request(
                info,
                core.classes_by_name,
                default_class=core.options.default_class,
                answer_margin_ms=core.options.answer_margin_ms,
            )
        except TaskRequestError as error:
            answer = StatusAnswer(TaskState.ERROR, RetryAdvice.NEVER, StatusReason.TASK_INVALID)
            self._reject_launch(framework, info, answer, str(error))
            return
        admitted = self._admit(framework.id, framework.role(), info, request)
        if isinstance(admitted, AdmissionDecision):
            self._reject_launch(framework, info, admitted.answer, admitted.text)
            return
        framework.open_task_count += 1
        core.request_placement(admitted)

    def _check_admission(
        self, previous_call: Call | None, *, open_task_count: int, has_update_backlog: bool
    ) -> AdmissionDecision | None:
        """Returns why a task is not admitted, without reading its request, or None if it may be.

        `previous_call` is the latest call of the same task, if any; it is neither open nor placed.
        """
        core = self.core
        if admission.classify_repeat(previous_call) == "never" and previous_call is not None:
            answer = status_mapping.reconciliation_answer(previous_call.execution_status())
            return AdmissionDecision(answer, "it may have run before")
        load = admission.AdmissionLoad(
            open_task_count=core.call_table.open_task_count,
            framework_open_task_count=open_task_count,
            known_call_count=len(core.call_table.active_calls_by_number),
            has_update_backlog=has_update_backlog,
            is_shutting_down=core.is_shutting_down,
        )
        rejection_reason = admission.check_limits(load, core.options.limits)
        if rejection_reason is None:
            return None
        return AdmissionDecision(status_mapping.rejection_answer(may_have_run=False), rejection_reason)

    def _admit(
        self, framework_id: str, tenant: str | None, info: m.TaskInfo, request: TaskRequest
    ) -> Call | AdmissionDecision:
        """Adds a task as a new call, unless the admission chain rejects it."""
        core = self.core
        task_id = info.task_id.value
        idempotency = core.classes_by_name[request.task_class].idempotency
        decision = core.decide_admission(
            AdmissionRequest(
                framework_id=framework_id,
                tenant=tenant,
                task_id=task_id,
                idempotency=idempotency,
                task_request=request,
            )
        )
        if decision is not None:
            return decision
        call = Call(
            number=next(core.call_numbers),
            framework_id=framework_id,
            task_id=task_id,
            info=info,
            task_request=request,
            idempotency=idempotency,
            tenant=tenant,
            received_at_ms=core.now(),
        )
        core.call_table.add_call(call)
        core.counters.record_received(request.task_class)
        core.publish_event(CallAdded(call))
        return call

    def launch_in_process(
        self,
        client_id: str,
        tenant: str,
        info: m.TaskInfo,
        request: TaskRequest,
        pending_reasons: PendingReasons | None = None,
    ) -> Call | AdmissionDecision:
        """Launches a task of a client within the process, as a LAUNCH does for a framework.

        Args:
            client_id: the client's id, in the place of a framework's.
            tenant: the tenant that the task belongs to.
            info: the task.
            request: the task's requirements, as read from `info`.
            pending_reasons: reasons from earlier rounds of the task, to which this round's are added.

        Returns:
            The call, or why the task is not admitted. The existing call of a task that is already open or
            placed is returned unchanged: the request is a repeat, or the task was adopted from an earlier
            incarnation.

        """
        core = self.core
        previous_call = core.call_table.find_call(client_id, info.task_id.value)
        if admission.classify_repeat(previous_call) == "same" and previous_call is not None:
            core.counters.counts_by_event["launch repeated"] += 1
            return previous_call
        decision = self._check_admission(previous_call, open_task_count=0, has_update_backlog=False)
        if decision is not None:
            return decision
        admitted = self._admit(client_id, tenant, info, request)
        if isinstance(admitted, Call):
            if pending_reasons is not None:
                admitted.pending_reasons = pending_reasons
            core.request_placement(admitted)
        return admitted

    def _reject_launch(self, framework: Framework, info: m.TaskInfo, answer: StatusAnswer, text: str) -> None:
        """Answers a launch that the policy never saw; counts it as received and as rejected or failed."""
        label = m.find_label(info.labels, "class")
        task_class = label if label in self.core.classes_by_name else UNKNOWN_CLASS
        is_harmless = answer.retry_advice is RetryAdvice.HARMLESS
        self.core.counters.record_received(task_class)
        self.core.counters.record_answer(
            task_class, FinalAnswer.REJECTED if is_harmless else FinalAnswer.FAILED
        )
        self._send_status(framework, info.task_id.value, answer, text=text)

    # ---- cancellation ----

    def kill(self, framework: Framework, task_id: str) -> None:
        """Handles a KILL of a task."""
        call = self.core.call_table.find_call(framework.id, task_id)
        if call is not None:
            self.cancel(call)
            return
        answer = StatusAnswer(TaskState.UNKNOWN, RetryAdvice.RECONCILE, StatusReason.RECONCILIATION)
        self._send_status(framework, task_id, answer, text="no such task here", is_acknowledged=False)

    def cancel(self, call: Call) -> None:
        """Cancels a call for its client; with an active attempt, the answer waits for the attempt's end."""
        core = self.core
        if call.is_closed or call.is_cancelled:
            return
        attempt = call.active_attempt()
        call.is_cancelled = True
        if call.is_placement_requested:
            core.dispatch_event(api.CallAbandoned(call.number))
        if attempt is not None:
            core.kill(attempt)
        elif call.final_answer is None:
            self._answer_cancelled(call)

    def _answer_cancelled(self, call: Call) -> None:
        if call.may_have_run() and call.idempotency is not api.Idempotency.IDEMPOTENT:
            self.core.answer(call, FinalAnswer.FAILED, status_mapping.failure_answer())
        else:
            answer = StatusAnswer(TaskState.KILLED, RetryAdvice.HARMLESS)
            self.core.answer(call, FinalAnswer.REJECTED, answer)

    # ---- updates ----

    def report_status(self, call: Call, answer: StatusAnswer, text: str | None = None) -> None:
        """Reports a status of a call's task to its framework, if that is still known."""
        self.core.publish_event(TaskStatusReported(call, answer, text))
        framework = self.core.framework_of(call)
        if framework is not None:
            last_attempt = call.last_attempt()
            is_placed = last_attempt is not None and call.final_answer is FinalAnswer.PLACED
            machine = last_attempt.machine if last_attempt is not None and is_placed else None
            self._send_status(framework, call.task_id, answer, machine=machine, text=text)

    def _send_status(
        self,
        framework: Framework,
        task_id: str,
        answer: StatusAnswer,
        *,
        machine: str | None = None,
        text: str | None = None,
        is_acknowledged: bool = True,
    ) -> None:
        """Sends a status; if it requires acknowledgement, it is stored and resent until acknowledged."""
        status = self.core.build_status(task_id, answer, machine, text, is_acknowledged)
        self.core.frameworks.record_update(framework, status, self.core.now())
        self._send_update(framework, status)

    def _send_update(self, framework: Framework, status: m.TaskStatus) -> None:
        framework.send_event(m.SchedulerEvent("UPDATE", update=m.UpdateEvent(status)))

    def acknowledge(self, framework: Framework, uuid: str) -> None:
        """Handles an ACKNOWLEDGE of an update."""
        if not self.core.frameworks.acknowledge(framework, uuid):
            self.core.counters.counts_by_event["acknowledge unknown"] += 1

    # ---- reconciliation ----

    def reconcile(self, framework: Framework, tasks: list[m.ReconcileTask]) -> None:
        """Handles a RECONCILE: explicit for the listed tasks, implicit (all placed tasks) without any."""
        self.reconciliation_queue.enqueue(framework, [task.task_id.value for task in tasks])

    def _send_reconciliation(self, framework: Framework, task_id: str, call: Call | None) -> None:
        machine = None
        if call is None:
            answer = status_mapping.reconciliation_answer(None)
        elif call.final_answer is None:
            answer = StatusAnswer(TaskState.STAGING, RetryAdvice.NEVER, StatusReason.RECONCILIATION)
        else:
            last_attempt = call.last_attempt()
            is_accepted = last_attempt is not None and last_attempt.step is AttemptStep.ACCEPTED
            answer = status_mapping.reconciliation_answer(call.execution_status(), is_accepted=is_accepted)
            machine = last_attempt.machine if last_attempt is not None and call.is_placed() else None
        self._send_status(framework, task_id, answer, machine=machine, is_acknowledged=False)

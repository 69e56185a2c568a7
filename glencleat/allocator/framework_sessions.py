"""The owners' half of the core: the Scheduler API's calls on frameworks and tasks, and their updates.

Called by the scheduler front and the core; sessions are links to write to."""

from __future__ import annotations

from typing import Any

from glencleat import interface as api
from glencleat.allocator import admission, status_mapping
from glencleat.allocator.call_table import Call, FinalAnswer, TaskRequest
from glencleat.allocator.domain_events import (
    AdmissionDecision,
    AdmissionRequest,
    CallTaken,
    TaskStatusReported,
)
from glencleat.allocator.frameworks import Framework
from glencleat.allocator.pending_reasons import PendingReasons
from glencleat.allocator.ports import CorePort
from glencleat.allocator.reconciliation import ReconciliationQueue
from glencleat.allocator.status_mapping import RetryAdvice, StatusAnswer
from glencleat.allocator.task_requests import TaskRequestError, read
from glencleat.mesos import messages as m


class FrameworkSessions:
    def __init__(self, core: CorePort) -> None:
        self.core = core
        self.offer_number = 0
        self.reconciling = ReconciliationQueue(core, self._reconciled)

    # ---- sessions ----

    def subscribe(self, info: m.FrameworkInfo, stream_id: str, session: Any) -> Framework:
        """A session begins; raises frameworks.Refused. What was not acknowledged is sent again."""
        core, now = self.core, self.core.now()
        new_id = f"{core.options.name}-{core.random.getrandbits(64):016x}"
        framework, replaced = core.frameworks.subscribe(info, new_id, stream_id, session, now)
        if replaced is not None:
            old: Any = replaced
            old.send(m.encode(m.SchedulerEvent("ERROR", error=m.ErrorEvent("Framework failed over"))))
            old.close("framework failed over")
        told = m.SubscribedFramework(m.Value(framework.id), core.options.heartbeat_interval_ms / 1000.0)
        session.send(m.encode(m.SchedulerEvent("SUBSCRIBED", subscribed=told)))
        for status in core.frameworks.unacknowledged(framework):
            self._send(framework, m.SchedulerEvent("UPDATE", update=m.UpdateEvent(status)))
        self._offer(framework, now)
        core.log("framework subscribed", framework=framework.id, role=framework.role())
        return framework

    def closed(self, framework: Framework, session: Any, why: str) -> None:
        core = self.core
        if core.frameworks.closed(framework, session, core.now()):
            core.log("framework away", framework=framework.id, why=why)

    def teardown(self, framework: Framework, why: str) -> None:
        """The framework is gone: its tasks are stopped, and nobody waits for their updates."""
        core = self.core
        for call in core.call_table.calls_of(framework.id):
            self.withdraw(call)
        core.frameworks.remove(framework)
        session: Any = framework.session
        framework.session = None
        if session is not None:
            session.close(why)
        core.log("framework removed", framework=framework.id, why=why)

    def sweep(self, now: float) -> None:
        core = self.core
        for framework in core.frameworks.overdue(now):
            self.teardown(framework, "failover timeout")
        for framework in list(core.frameworks.known.values()):
            if framework.session is None:
                continue
            for status in core.frameworks.to_repeat(framework, now) if framework.unacked else ():
                self._send(framework, m.SchedulerEvent("UPDATE", update=m.UpdateEvent(status)))
            self._offer(framework, now)

    # ---- offers ----

    def _offer(self, framework: Framework, now: float) -> None:
        core = self.core
        if core.is_shutting_down or not core.frameworks.wants_offer(framework, now):
            return
        self.offer_number += 1
        offer_id = f"{core.options.name}-{core.incarnation}-o{self.offer_number}"
        cores = sum(size.cores for size in core.settings.machine_sizes.values())
        memory = sum(size.memory for size in core.settings.machine_sizes.values())
        offer = m.Offer(
            m.Value(offer_id),
            m.Value(framework.id),
            m.Value(core.options.pool),
            core.options.pool,
            m.resources(cores, memory),
            [m.Attribute("zone", text=m.Text(core.settings.zone))],
        )
        rescinded = core.frameworks.offer(framework, offer_id, now)
        if rescinded is not None:
            self._send(framework, m.SchedulerEvent("RESCIND", rescind=m.Rescind(m.Value(rescinded))))
        self._send(framework, m.SchedulerEvent("OFFERS", offers=m.Offers([offer])))

    def decline(self, framework: Framework, decline: m.Decline) -> None:
        seconds = decline.filters.refuse_seconds if decline.filters is not None else 5.0
        for offer in decline.offer_ids:
            wait = 1000.0 * min(max(0.0, seconds), 31_536_000.0)
            self.core.frameworks.decline(framework, offer.value, self.core.now(), wait)

    # ---- tasks ----

    def accept(self, framework: Framework, accept: m.Accept) -> None:
        """ACCEPT with LAUNCH: every task gets exactly one answer, whatever is wrong with it."""
        core, now = self.core, self.core.now()
        again = core.options.offer_interval_ms
        valid = [core.frameworks.use(framework, o.value, now, again) for o in accept.offer_ids]
        for operation in accept.operations:
            if operation.type != "LAUNCH" or operation.launch is None:
                core.log("operation ignored", framework=framework.id, type=operation.type[:40])
                continue
            for info in operation.launch.task_infos:
                if valid and all(valid):
                    self._launch(framework, info)
                else:
                    text = "the offer is not valid any more; expected one that was made in this session"
                    answer = StatusAnswer(
                        status_mapping.DROPPED, RetryAdvice.HARMLESS, status_mapping.INVALID_OFFERS
                    )
                    self._turn_away(framework, info, answer, text)

    def _launch(self, framework: Framework, info: m.TaskInfo) -> None:
        core = self.core
        before = core.call_table.find_call(framework.id, info.task_id.value)
        if admission.classify_repeat(before) == "same" and before is not None:
            core.counters.events["launch repeated"] += 1
            if before.final_answer is not None:
                self._reconciled(framework, before.task_id, before)
            return
        verdict = self._refused(before, framework.open, core.frameworks.behind(framework))
        if verdict is not None:
            self._turn_away(framework, info, verdict.answer, verdict.text)
            return
        try:
            ask = read(info, core.classes_by_name, core.options.default_class, core.options.answer_margin_ms)
        except TaskRequestError as error:
            answer = StatusAnswer(status_mapping.ERROR, RetryAdvice.NEVER, status_mapping.TASK_INVALID)
            self._turn_away(framework, info, answer, str(error))
            return
        taken = self._take(framework.id, framework.role(), info, ask)
        if isinstance(taken, AdmissionDecision):
            self._turn_away(framework, info, taken.answer, taken.text)
            return
        framework.open += 1
        core.request_placement(taken)

    def _refused(self, before: Call | None, open_here: int, behind: bool) -> AdmissionDecision | None:
        """Why a task that is no repeat of one in hand is not taken, before what it asks for is looked at."""
        core = self.core
        if admission.classify_repeat(before) == "never" and before is not None:
            return AdmissionDecision(
                status_mapping.reconciled(before.execution_status()), "it may have run before"
            )
        load = admission.AdmissionLoad(
            core.call_table.unanswered_count,
            open_here,
            len(core.call_table.active_calls),
            behind,
            core.is_shutting_down,
        )
        why = admission.find_exceeded_limit(load, core.options.admission_limits)
        return AdmissionDecision(status_mapping.refusal(False), why) if why is not None else None

    def _take(
        self, owner: str, tenant: str | None, info: m.TaskInfo, ask: TaskRequest
    ) -> Call | AdmissionDecision:
        core = self.core
        effect = core.classes_by_name[ask.task_class].idempotency
        verdict = core.decide_admission(AdmissionRequest(owner, tenant, info.task_id.value, effect, ask))
        if verdict is not None:
            return verdict
        call = Call(next(core.call_numbers), owner, info.task_id.value, info, ask, effect, tenant, core.now())
        core.call_table.add_call(call)
        core.counters.count_taken(ask.task_class)
        core.publish(CallTaken(call))
        return call

    def take_inside(
        self,
        owner: str,
        tenant: str,
        info: m.TaskInfo,
        ask: TaskRequest,
        record: PendingReasons | None = None,
    ) -> Call | AdmissionDecision:
        """A task of an insider, as a LAUNCH of a framework; a Verdict where it was not taken.

        `record`: the reasons of its earlier rounds, to which this one's are added. A task that is open or
        placed already is given as it is: the same ask again, or adopted from a former incarnation."""
        core = self.core
        before = core.call_table.find_call(owner, info.task_id.value)
        if admission.classify_repeat(before) == "same" and before is not None:
            core.counters.events["launch repeated"] += 1
            return before
        verdict = self._refused(before, 0, False)
        if verdict is not None:
            return verdict
        taken = self._take(owner, tenant, info, ask)
        if isinstance(taken, Call):
            if record is not None:
                taken.pending_reasons = record
            core.request_placement(taken)
        return taken

    def _turn_away(self, framework: Framework, info: m.TaskInfo, answer: StatusAnswer, text: str) -> None:
        """An answer without a call: the module was never asked. Counted as taken and refused or failed."""
        name = m.label(info.labels, "class") or "-"
        name = name if name in self.core.classes_by_name else "-"
        given = FinalAnswer.FAILED if answer.retry is not RetryAdvice.HARMLESS else FinalAnswer.REJECTED
        self.core.counters.count_taken(name)
        self.core.counters.count_answered(name, given)
        self._status(framework, info.task_id.value, answer, None, text)

    def kill(self, framework: Framework, task_id: str) -> None:
        call = self.core.call_table.find_call(framework.id, task_id)
        if call is None:
            answer = StatusAnswer(
                status_mapping.UNKNOWN, RetryAdvice.RECONCILE, status_mapping.RECONCILIATION
            )
            self._status(framework, task_id, answer, None, "no such task here", acked=False)
        else:
            self.withdraw(call)

    def withdraw(self, call: Call) -> None:
        """The owner wants no more of the task; with an attempt out, the answer waits for its end."""
        core = self.core
        if call.is_closed or call.is_abandoned:
            return
        out = call.active_attempt()
        call.is_abandoned = True
        if call.is_requested:
            core.dispatch(api.CallAbandoned(call.number))
        if out is not None:
            core.kill_attempt(out)
        elif call.final_answer is None:
            if call.may_have_run() and call.idempotency is not api.Idempotency.IDEMPOTENT:
                core.answer_call(call, FinalAnswer.FAILED, status_mapping.failure())
            else:
                core.answer_call(
                    call, FinalAnswer.REJECTED, StatusAnswer(status_mapping.KILLED, RetryAdvice.HARMLESS)
                )

    # ---- updates ----

    def status(self, call: Call, answer: StatusAnswer, text: str | None = None) -> None:
        """A status of a call's task to its owner, if that is still known."""
        self.core.publish(TaskStatusReported(call, answer, text))
        framework = self.core.find_framework(call)
        if framework is not None:
            out = call.last_attempt()
            machine = out.machine if out is not None and call.final_answer is FinalAnswer.PLACED else None
            self._status(framework, call.task_id, answer, machine, text)

    def _status(
        self,
        framework: Framework,
        task_id: str,
        answer: StatusAnswer,
        machine: str | None,
        text: str | None = None,
        acked: bool = True,
    ) -> None:
        status = self.core.build_status(task_id, answer, machine, text, acked)
        self.core.frameworks.push(framework, status, self.core.now())
        self._send(framework, m.SchedulerEvent("UPDATE", update=m.UpdateEvent(status)))

    def _send(self, framework: Framework, event: m.SchedulerEvent) -> None:
        session: Any = framework.session
        if session is not None:
            session.send(m.encode(event))

    def acknowledge(self, framework: Framework, uuid: str) -> None:
        if not self.core.frameworks.acknowledge(framework, uuid):
            self.core.counters.events["acknowledge unknown"] += 1

    def reconcile(self, framework: Framework, tasks: list[m.ReconcileTask]) -> None:
        """RECONCILE: explicit for the named tasks, implicit (all that are not over) for none."""
        self.reconciling.ask(framework, [task.task_id.value for task in tasks])

    def _reconciled(self, framework: Framework, task_id: str, call: Call | None) -> None:
        if call is not None and call.final_answer is None:
            answer, machine = (
                StatusAnswer(status_mapping.STAGING, RetryAdvice.NEVER, status_mapping.RECONCILIATION),
                None,
            )
        else:
            last = call.last_attempt() if call is not None else None
            accepted = last is not None and last.step is status_mapping.AttemptStep.ACCEPTED
            answer = status_mapping.reconciled(None if call is None else call.execution_status(), accepted)
            machine = last.machine if last is not None and call is not None and call.is_placed() else None
        self._status(framework, task_id, answer, machine, acked=False)

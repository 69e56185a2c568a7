"""Adoption of tasks that an agent holds and that no call tracks.

Either an earlier incarnation of this allocator placed the task, or its attempt was concluded before the agent
accepted it. `delivery_status` decides whether such a task is adopted or killed.
"""

from __future__ import annotations

from glencleat.allocator import delivery_status, status_mapping
from glencleat.allocator.call_table import Attempt, Call, FinalAnswer
from glencleat.allocator.delivery_status import LateAcceptance, LateAcceptanceCase
from glencleat.allocator.domain_events import CallAdded
from glencleat.allocator.ports import CorePort
from glencleat.allocator.status_mapping import AttemptStep
from glencleat.allocator.task_requests import TaskRequestError, read_task_request
from glencleat.mesos import messages as m


class TaskAdoption:
    """Adopts or kills tasks that agents hold without a call."""

    def __init__(self, core: CorePort) -> None:
        self.core = core

    def handle_unknown_task(self, agent: str, task: m.TaskInfo) -> None:
        """Adopts or kills a task that the call table does not contain; leaves an unreadable one alone."""
        core = self.core
        try:
            attempt = self._read_unknown_task(agent, task)
        except TaskRequestError as error:
            core.log("task not adopted", agent=agent, task=task.task_id.value, why=str(error))
            return
        previous_call = core.call_table.find_call(attempt.call.framework_id, attempt.call.task_id)
        is_live_elsewhere = previous_call is not None and (
            previous_call.final_answer is None or previous_call.is_placed()
        )
        decision = delivery_status.decide_unknown_task(is_live_elsewhere=is_live_elsewhere)
        if decision is LateAcceptance.KILL:
            core.kill(attempt)
        else:
            self._adopt(attempt, attempt.call)

    def _read_unknown_task(self, agent: str, task: m.TaskInfo) -> Attempt:
        """Rebuilds an attempt and its call from the labels of the LAUNCH; raises TaskRequestError."""
        core = self.core
        framework = m.find_label(task.labels, "framework")
        task_id = m.find_label(task.labels, "task")
        if framework is None or task_id is None:
            raise TaskRequestError("labels framework and task", "are missing")
        request = read_task_request(task, core.classes_by_name, default_class=None, answer_margin_ms=0.0)
        now_ms = core.now()
        call = Call(
            number=0,
            framework_id=framework,
            task_id=task_id,
            info=task,
            task_request=request,
            idempotency=core.classes_by_name[request.task_class].idempotency,
            tenant=m.find_label(task.labels, "tenant"),
            received_at_ms=now_ms,
        )
        return Attempt(
            call=call,
            number=0,
            machine=agent,
            id=task.task_id.value,
            sent_at_ms=now_ms,
            step=AttemptStep.ACCEPTED,
        )

    def _adopt(self, attempt: Attempt, call: Call) -> None:
        """Adds a placed call for a task that an agent already holds, so that it is tracked from now on."""
        core = self.core
        call.number = next(core.call_numbers)
        call.final_answer = FinalAnswer.PLACED
        call.is_adopted = True
        call.attempts.clear()
        attempt.call = call
        attempt.number = 0
        attempt.is_concluded = False
        attempt.has_run = None
        attempt.was_placed = True
        core.call_table.add_call(call)
        core.call_table.bind(attempt)
        core.counters.adopted_by_class[call.task_request.task_class] += 1
        core.publish_event(CallAdded(call))
        core.dispatch_placement(call, 0.0, attempt.machine)
        is_accepted = attempt.step is AttemptStep.ACCEPTED
        core.status_reporter.report_status(
            call, status_mapping.reconciliation_answer(attempt.execution_status(), is_accepted=is_accepted)
        )

    def handle_late_acceptance(self, attempt: Attempt, *, was_placed: bool) -> None:
        """Adopts or kills a task that an agent holds although its attempt was concluded."""
        core = self.core
        call = attempt.call
        latest_call = core.call_table.find_call(call.framework_id, call.task_id) or call
        is_latest_placed = latest_call.is_placed()
        is_client_gone = call.is_cancelled or not core.is_framework_known(call)
        core.counters.counts_by_event["late yes"] += 1
        decision = delivery_status.decide_late_acceptance(
            LateAcceptanceCase(
                answer=latest_call.final_answer,
                was_placed=was_placed,
                has_other_dispatched=latest_call.active_attempt() is not None and not is_latest_placed,
                has_other_placed=is_latest_placed,
                is_framework_gone=is_client_gone,
            )
        )
        core.log("late acceptance", task=call.task_id, agent=attempt.machine, decision=decision.value)
        if decision is LateAcceptance.KILL:
            core.kill(attempt)
            return
        call.attempts.remove(attempt)
        core.call_table.forget(latest_call)
        self._adopt(attempt, self._copy_call(call))

    def _copy_call(self, call: Call) -> Call:
        """Returns a new call of the same task, for an adopted attempt."""
        return Call(
            number=0,
            framework_id=call.framework_id,
            task_id=call.task_id,
            info=call.info,
            task_request=call.task_request,
            idempotency=call.idempotency,
            tenant=call.tenant,
            received_at_ms=self.core.now(),
        )

"""The agents' half of the core: subscriptions, updates, messages, absence.

Called by the executor front and the core. What an agent says is read by `tables`, what it means for an
attempt in doubt is decided by `late`."""

from __future__ import annotations

from typing import Any

from glencleat import interface as api
from glencleat.allocator import delivery_status, status_mapping
from glencleat.allocator.agent_membership import AgentState, split_id
from glencleat.allocator.call_table import Attempt, Call, FinalAnswer
from glencleat.allocator.domain_events import AgentStateChanged, CallTaken
from glencleat.allocator.ports import CorePort
from glencleat.allocator.status_mapping import AttemptStep, ExecutionStatus, StatusMeaning
from glencleat.allocator.task_requests import TaskRequestError, read
from glencleat.mesos import messages as m


class NotSubscribedError(Exception):
    """A call of an agent's run that has no session."""


def as_report(payload: m.Payload) -> api.LoadReport:
    return api.LoadReport(payload.cores_free, payload.memory_free, payload.busy, payload.queue)


class AgentSessions:
    def __init__(self, core: CorePort) -> None:
        self.core = core

    # ---- sessions ----

    def subscribe(self, call: m.ExecutorCall, session: Any) -> str:
        """A session begins; gives the agent's id. Updates that it still held are handled as if just sent."""
        core, now = self.core, self.core.now()
        agent, run = split_id(call.executor_id.value)
        told = call.subscribe or m.SubscribeExecutor()
        joined = core.membership.subscribe(agent, run, session, now)
        core.publish(AgentStateChanged(agent, AgentState.SUBSCRIBED.value))
        core.log("agent subscribed", agent=agent, run=run, tasks=len(told.unacknowledged_tasks))
        # An old stream that was still open may hold a LAUNCH which this run has yet to read.
        whole_truth = joined.same_run and joined.replaced is None
        if joined.replaced is not None:
            text = "another connection subscribed under this id"
            old: Any = joined.replaced
            old.send(m.encode(m.ExecutorEvent("ERROR", error=m.ErrorEvent(text))))
            old.close(text)
            self._doubt(agent, old)
        self._greet(call, agent, session)
        for update in told.unacknowledged_updates:
            self.update(call.executor_id.value, update.status)
        listed = {task.task_id.value for task in told.unacknowledged_tasks}
        listed |= {update.status.task_id.value for update in told.unacknowledged_updates}
        for attempt in core.call_table.attempts_on(agent):
            if attempt.session is not session:
                self._compare(attempt, attempt.id in listed, whole_truth)
        for task in told.unacknowledged_tasks:
            self._listed(agent, task)
        core.open_if_ready()
        return agent

    def _greet(self, call: m.ExecutorCall, agent: str, session: Any) -> None:
        framework = m.FrameworkInfo(name="glencleat", id=call.framework_id)
        info = m.AgentInfo(hostname=agent, id=m.Value(agent))
        subscribed = m.SubscribedExecutor(
            m.ExecutorInfo(call.executor_id, call.framework_id), framework, info
        )
        session.send(m.encode(m.ExecutorEvent("SUBSCRIBED", subscribed=subscribed)))

    def closed(self, agent: str, session: Any, why: str) -> None:
        """A session's connection ended."""
        core = self.core
        if core.membership.closed(agent, session, core.now()):
            core.publish(AgentStateChanged(agent, AgentState.AWAY.value))
            core.log("agent away", agent=agent, why=why)
        self._doubt(agent, session)

    def _doubt(self, agent: str, session: Any) -> None:
        for attempt in self.core.call_table.attempts_on(agent):
            if attempt.session is not session or attempt.is_concluded:
                continue
            verdict = delivery_status.on_session_lost(
                attempt.step, self.core.get_delivery_status(attempt), attempt.call.idempotency
            )
            if verdict.do is delivery_status.DeliveryAction.RETURN:
                self.core.fail_attempt(attempt, verdict.outcome, verdict.may_have_run)

    def _compare(self, attempt: Attempt, listed: bool, same_run: bool) -> None:
        """An attempt of an earlier session, against what the agent says it holds."""
        verdict = delivery_status.on_resubscribe(attempt.step, listed, same_run)
        if verdict.do is delivery_status.DeliveryAction.IGNORE:
            return
        never = not verdict.may_have_run
        if attempt.is_concluded:
            attempt.has_run, attempt.step = (
                (False, attempt.step) if never else (attempt.has_run, AttemptStep.OVER)
            )
            self.core.call_table.settle_attempt(attempt)
        elif attempt.step is AttemptStep.OUT:
            attempt.step = attempt.step if never else AttemptStep.OVER
            self.core.fail_attempt(attempt, verdict.outcome, verdict.may_have_run)
        else:
            self._over(attempt, StatusMeaning(AttemptStep.OVER, verdict.outcome), None)

    def _listed(self, agent: str, task: m.TaskInfo) -> None:
        """A task that the agent holds: known, or placed by a former incarnation of ours."""
        core = self.core
        attempt = core.call_table.attempts_by_id.get(task.task_id.value)
        if attempt is not None:
            if not attempt.is_concluded and attempt.step is AttemptStep.OUT:
                self._accepted(attempt)
            elif attempt.is_concluded and attempt.step in (
                AttemptStep.OUT,
                AttemptStep.ACCEPTED,
                AttemptStep.RUNS,
            ):
                attempt.step = AttemptStep.ACCEPTED if attempt.step is AttemptStep.OUT else attempt.step
                self._late_yes(attempt, attempt.was_placed)
            return
        framework, name = m.label(task.labels, "framework"), m.label(task.labels, "task")
        try:
            if framework is None or name is None:
                raise TaskRequestError("labels framework and task are missing")
            ask = read(task, core.classes_by_name, None, 0.0)
        except TaskRequestError as error:
            core.log("task not adopted", agent=agent, task=task.task_id.value, why=str(error))
            return
        before = core.call_table.find_call(framework, name)
        elsewhere = before is not None and (before.final_answer is None or before.is_placed())
        effect = core.classes_by_name[ask.task_class].idempotency
        call = Call(0, framework, name, task, ask, effect, m.label(task.labels, "tenant"), core.now())
        attempt = Attempt(call, 0, agent, task.task_id.value, core.now(), step=AttemptStep.ACCEPTED)
        if delivery_status.on_unknown(elsewhere) is delivery_status.LateAcceptance.KILL:
            core.kill_attempt(attempt)
        else:
            self._adopt(attempt, call)

    def _adopt(self, attempt: Attempt, call: Call) -> None:
        """Makes a task that runs already a call of its own, ours from here on."""
        core = self.core
        call.number = next(core.call_numbers)
        call.final_answer, call.is_adopted = FinalAnswer.PLACED, True
        call.attempts.clear()
        attempt.call, attempt.number, attempt.is_concluded, attempt.has_run = call, 0, False, None
        attempt.was_placed = True
        core.call_table.add_call(call)
        core.call_table.add_attempt(attempt)
        core.counters.adopted[call.request.task_class] += 1
        core.publish(CallTaken(call))
        core.dispatch_request(call, 0.0, attempt.machine)
        core.framework_sessions.status(
            call, status_mapping.reconciled(attempt.execution_status(), attempt.step is AttemptStep.ACCEPTED)
        )

    # ---- updates ----

    def update(self, executor_id: str, status: m.TaskStatus) -> None:
        """An UPDATE; acknowledged whatever it says, as its agent repeats it until then."""
        core, agent = self.core, self.heartbeat(executor_id)
        payload = m.unpack(status.data) if status.data else None
        attempt = core.call_table.attempts_by_id.get(status.task_id.value)
        if status.uuid is not None:
            link: Any = core.membership.session(agent)
            done = m.Acknowledged(status.task_id, status.uuid)
            link.send(m.encode(m.ExecutorEvent("ACKNOWLEDGED", acknowledged=done)))
        told = status_mapping.read_status(status.state, status.reason, m.label(status.labels, "cause"))
        if attempt is None or told is None or attempt.machine != agent:
            core.counters.events["update unknown"] += 1
            return
        if attempt.has_seen_update(status.uuid) or told.step.value <= attempt.step.value:
            core.counters.events["update stale"] += 1  # a duplicate, or overtaken by a later one
            return
        self._apply(attempt, told, None if payload is None else as_report(payload))

    def _apply(self, attempt: Attempt, told: StatusMeaning, report: api.LoadReport | None) -> None:
        if attempt.is_concluded:
            self._apply_late(attempt, told)
            return
        if told.step is AttemptStep.OVER and not told.ran:
            attempt.step, attempt.has_run = AttemptStep.OVER, False
            self.core.call_table.settle_attempt(attempt)
            self.core.conclude_attempt(attempt, told.outcome, attempt.call.is_abandoned, told.why, report)
            return
        if attempt.step is AttemptStep.OUT:
            self._accepted(attempt)
        if told.step is AttemptStep.RUNS and not attempt.is_concluded:
            attempt.step = AttemptStep.RUNS
            self.core.dispatch(
                api.TaskObserved(attempt.call.number, attempt.machine, api.ObservationKind.RUNNING, 1.0)
            )
            if attempt.call.final_answer is not None:
                self.core.framework_sessions.status(
                    attempt.call,
                    status_mapping.StatusAnswer(status_mapping.RUNNING, status_mapping.RetryAdvice.NEVER),
                )
        elif told.step is AttemptStep.OVER:
            self._over(attempt, told, report)

    def _apply_late(self, attempt: Attempt, told: StatusMeaning) -> None:
        """A status of an attempt that was given up; what it settles, an owner left in doubt is told."""
        # Not by its step: a late yes moves that on too, and its next status would pass for a placed task's.
        call, was_placed = attempt.call, attempt.was_placed
        attempt.step = told.step
        if told.step is not AttemptStep.OVER:
            self._late_yes(attempt, was_placed)
            return
        attempt.has_run = attempt.has_run if told.ran else False
        self.core.call_table.settle_attempt(attempt)
        if self.core.call_table.find_call(call.framework, call.task_id) is not call:
            return  # it was asked for again since
        if was_placed and call.final_answer is FinalAnswer.PLACED and attempt is call.last_attempt():
            self.core.framework_sessions.status(call, status_mapping.ended(told.outcome, told.why))
        elif call.final_answer is FinalAnswer.FAILED and call.execution_status() in (
            ExecutionStatus.NEVER_RAN,
            ExecutionStatus.ENDED,
        ):
            self.core.framework_sessions.status(call, status_mapping.reconciled(call.execution_status()))

    def _accepted(self, attempt: Attempt) -> None:
        """The agent's yes: the task is placed, which is its answer."""
        core, call = self.core, attempt.call
        core.cancel_timer(attempt)
        attempt.step, attempt.was_placed = AttemptStep.ACCEPTED, True
        spent = max(0.0, core.now() - attempt.sent_at_ms)
        core.dispatch(api.AttemptAccepted(call.number, attempt.number, attempt.machine, spent))
        core.answer_call(
            call,
            FinalAnswer.PLACED,
            status_mapping.StatusAnswer(status_mapping.STARTING, status_mapping.RetryAdvice.NEVER),
        )
        if call.is_abandoned:
            core.kill_attempt(attempt)  # its owner gave up just as the machine said yes

    def _over(self, attempt: Attempt, told: StatusMeaning, report: api.LoadReport | None) -> None:
        """The end of a placed task."""
        core, call = self.core, attempt.call
        attempt.step = AttemptStep.OVER
        core.call_table.settle_attempt(attempt)
        core.conclude_attempt(attempt, told.outcome, True, told.why, report)
        core.framework_sessions.status(call, status_mapping.ended(told.outcome, told.why))

    def _late_yes(self, attempt: Attempt, was_placed: bool) -> None:
        """An agent holds a task of which the module was told that the attempt came to nothing."""
        core, call = self.core, attempt.call
        latest = core.call_table.find_call(call.framework, call.task_id) or call
        placed = latest.is_placed()
        answered = latest.final_answer.value if latest.final_answer is not None else None
        gone = call.is_abandoned or not core.is_owner_known(call)
        core.counters.events["late yes"] += 1
        verdict = delivery_status.on_late_yes(
            answered, was_placed, latest.active_attempt() is not None and not placed, placed, gone
        )
        core.log("late yes", task=call.task_id, agent=attempt.machine, verdict=verdict.value)
        if verdict is delivery_status.LateAcceptance.ADOPT:
            call.attempts.remove(attempt)
            core.call_table.forget_call(latest)
            again = Call(
                0,
                call.framework,
                call.task_id,
                call.info,
                call.request,
                call.idempotency,
                call.tenant,
                core.now(),
            )
            self._adopt(attempt, again)
        else:
            core.kill_attempt(attempt)

    # ---- messages ----

    def message(self, executor_id: str, payload: m.Payload) -> None:
        """A MESSAGE: a report, an answer to a probe, what our tasks use."""
        core, agent = self.core, self.heartbeat(executor_id)
        if payload.probe is not None:
            core.conclude_probe(agent, payload.probe, as_report(payload))
        for use in payload.tasks:
            self._use(agent, use, payload.memory_used)

    def _use(self, agent: str, use: m.TaskUse, memory_used: float | None) -> None:
        attempt = self.core.call_table.attempts_by_id.get(use.task_id)
        if (
            attempt is None
            or attempt.is_concluded
            or attempt.machine != agent
            or attempt.step is AttemptStep.OUT
        ):
            return
        kinds = api.ObservationKind
        for kind, value in (
            (kinds.CORES_IN_USE, use.cores),
            (kinds.MEMORY_IN_USE, use.memory),
            (kinds.SERVICE_LEVEL, use.served),
            (kinds.MACHINE_MEMORY_IN_USE, memory_used),
        ):
            if value is not None:
                self.core.dispatch(api.TaskObserved(attempt.call.number, agent, kind, value))

    def heartbeat(self, executor_id: str) -> str:
        """A sign of life, which every call is; gives the agent's id, raises NotSubscribed."""
        agent, run = split_id(executor_id)
        if not self.core.membership.heard(agent, run, self.core.now()):
            raise NotSubscribedError(f"{executor_id} is not subscribed")
        return agent

    # ---- absence ----

    def lost(self, agent: str) -> None:
        """The agent stayed away too long: its placed tasks are over for us, their fate is unsure."""
        for attempt in self.core.call_table.attempts_on(agent):
            if attempt.is_concluded or attempt.step is AttemptStep.OUT:
                continue
            call = attempt.call
            self.core.conclude_attempt(attempt, api.Outcome.LOST, is_call_closed=True)
            safe = call.idempotency is api.Idempotency.IDEMPOTENT
            retry = status_mapping.RetryAdvice.HARMLESS if safe else status_mapping.RetryAdvice.RECONCILE
            answer = status_mapping.StatusAnswer(
                status_mapping.UNREACHABLE, retry, status_mapping.AGENT_REMOVED
            )
            self.core.framework_sessions.status(call, answer)

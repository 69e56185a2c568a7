"""Attempts: a LAUNCH to an agent for each Bind of the policy, its time-out, KILL, and its conclusion."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from glencleat import interface as api
from glencleat.allocator import delivery_status, status_mapping
from glencleat.allocator.call_table import Attempt, Call, FinalAnswer
from glencleat.allocator.domain_events import AttemptConcluded, AttemptSent
from glencleat.allocator.status_mapping import AttemptStep, RetryAdvice, StatusAnswer
from glencleat.mesos import messages as m

if TYPE_CHECKING:
    from glencleat.allocator.agent_membership import AgentMembership
    from glencleat.allocator.ports import CorePort
    from glencleat.allocator.runtime_ports import SessionStreamPort

# Of a LAUNCH whose place in the stream is not known yet: beyond any stream's end.
UNKNOWN_OFFSET = 1 << 62


def find_session(membership: AgentMembership, machine: str) -> SessionStreamPort | None:
    """Return the session of the agent on a machine, if it is open."""
    session: Any = membership.session_of(machine)  # membership holds sessions without knowing their type
    stream: SessionStreamPort | None = session
    return stream


def build_launch(attempt: Attempt, task_class: api.TaskClass, timeout_ms: float) -> bytes:
    """Encode the LAUNCH of an attempt.

    Args:
        attempt: The attempt that the agent is offered.
        task_class: The class of its task.
        timeout_ms: Within which time the agent is to answer.
    """
    call = attempt.call
    expected_run_ms = call.request.expected_run_ms
    labels = {
        "class": call.request.task_class,
        "service": call.request.service,
        "key": call.request.key,
        "framework": call.framework,
        "task": call.task_id,
        "tenant": call.tenant,
        "attempt": str(attempt.number),
        "answer_within_ms": f"{timeout_ms:.0f}",
        "priority": str(task_class.priority),
        "effect": task_class.idempotency.value,
        "life_ms": None if expected_run_ms is None else f"{expected_run_ms:.0f}",
    }
    info = m.TaskInfo(
        name=call.info.name,
        task_id=m.Value(attempt.id),
        agent_id=m.Value(attempt.machine),
        resources=m.build_resources(call.request.cores, call.request.memory),
        labels=m.Labels([m.Label(key, value) for key, value in labels.items() if value is not None]),
        data=call.info.data,
    )
    return m.encode(m.ExecutorEvent("LAUNCH", launch=m.LaunchEvent(info)))


class AttemptManager:
    """Sends attempts to agents and tells the policy, once each, how they ended."""

    def __init__(self, core: CorePort) -> None:
        self.core = core

    def launch(self, action: api.Bind) -> None:
        """Make an attempt and send its LAUNCH; without a session it fails as unreachable at once."""
        core = self.core
        call = core.call_table.active_calls[action.call_id]
        number = len(call.attempts)
        attempt_id = f"{core.options.name}-{core.incarnation}-{call.number}.{number}"
        attempt = Attempt(call, number, action.machine, attempt_id, core.now())
        core.call_table.add_attempt(attempt)
        core.publish(AttemptSent(attempt))
        session = find_session(core.membership, action.machine)
        if session is None:
            self.fail(attempt, api.Outcome.UNREACHABLE, may_have_run=False)
            return
        attempt.session = session
        # Nothing counts as sent until the session has told where the LAUNCH lies.
        attempt.begin_offset = UNKNOWN_OFFSET
        attempt.end_offset = UNKNOWN_OFFSET
        task_class = core.classes_by_name[call.request.task_class]
        offsets = session.send(build_launch(attempt, task_class, action.timeout_ms))
        if attempt.is_concluded:
            return  # the session failed while it took the record, and its end settled the attempt
        attempt.begin_offset, attempt.end_offset = offsets
        attempt.timer = core.timing.call_in(action.timeout_ms, lambda: self._time_out(attempt))

    def get_delivery_status(self, attempt: Attempt) -> delivery_status.DeliveryStatus:
        """Return how much of the attempt's LAUNCH was handed to the socket."""
        if attempt.session is None:
            return delivery_status.DeliveryStatus.NOT_SENT
        written = attempt.session.written()
        return delivery_status.classify_delivery(written, attempt.begin_offset, attempt.end_offset)

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.is_concluded:
            return
        verdict = delivery_status.decide_on_timeout(attempt.step, self.get_delivery_status(attempt))
        if verdict.action is delivery_status.DeliveryAction.CLOSE_SESSION and attempt.session is not None:
            # Ends as a lost session, which settles the attempt.
            attempt.session.close("the agent does not read")
        if verdict.action is not delivery_status.DeliveryAction.IGNORE and not attempt.is_concluded:
            self.fail(attempt, verdict.outcome, verdict.may_have_run)

    def fail(self, attempt: Attempt, outcome: api.Outcome, may_have_run: bool) -> None:
        """Conclude an attempt that was not accepted; what its agent may still report is late from here on."""
        if not may_have_run:
            attempt.has_run = False
            self.core.call_table.settle_attempt(attempt)
        self.conclude(attempt, outcome, is_call_closed=attempt.call.is_abandoned)

    def conclude(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        is_call_closed: bool,
        reason: api.OutcomeReason = api.OutcomeReason.UNSPECIFIED,
        report: api.LoadReport | None = None,
    ) -> None:
        """Tell the policy that an attempt has ended, once.

        Args:
            attempt: The attempt.
            outcome: How it ended.
            is_call_closed: Whether the policy is to make no further attempt of the call.
            reason: Why it ended so.
            report: The machine's load, where it told it with the end.
        """
        core = self.core
        call = attempt.call
        attempt.is_concluded = True
        self.cancel_timer(attempt)
        core.counters.attempts[outcome.value] += 1
        elapsed_ms = max(0.0, core.now() - attempt.sent_at_ms)
        self._update_call(attempt, outcome, reason, is_call_closed=is_call_closed)
        core.publish(AttemptConcluded(attempt, outcome, reason))
        core.dispatch(
            api.AttemptEnded(
                call_id=call.number,
                attempt=attempt.number,
                machine=attempt.machine,
                outcome=outcome,
                elapsed_ms=elapsed_ms,
                is_call_closed=is_call_closed,
                reason=reason,
                report=report,
            )
        )
        if call.final_answer is None and call.is_abandoned:
            self._answer_abandoned(call)

    def _update_call(
        self, attempt: Attempt, outcome: api.Outcome, reason: api.OutcomeReason, *, is_call_closed: bool
    ) -> None:
        """Note why a call is still pending, or close one whose answer was given."""
        call = attempt.call
        if call.final_answer is None:
            call.pending_reasons.record(outcome, reason, attempt.machine, self.core.now())
        elif is_call_closed:
            self.core.call_table.close_call(call)

    def _answer_abandoned(self, call: Call) -> None:
        """Answer a call whose owner killed the task while an attempt was out that has ended now."""
        if call.may_have_run():
            self.core.answer_call(call, FinalAnswer.FAILED, status_mapping.failure_answer())
        else:
            killed = StatusAnswer(status_mapping.TaskState.KILLED, RetryAdvice.HARMLESS)
            self.core.answer_call(call, FinalAnswer.REJECTED, killed)

    def cancel_timer(self, attempt: Attempt) -> None:
        """Drop the attempt's time-out."""
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None

    def kill(self, attempt: Attempt) -> None:
        """Ask the agent to stop the task; follows its LAUNCH on the same stream, so it can't overtake it."""
        session = find_session(self.core.membership, attempt.machine)
        if session is not None and attempt.step is not AttemptStep.ENDED:
            self.core.counters.events["kill"] += 1
            kill = m.KillEvent(m.Value(attempt.id))
            session.send(m.encode(m.ExecutorEvent("KILL", kill=kill)))

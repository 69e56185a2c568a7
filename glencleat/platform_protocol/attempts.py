"""Attempts from bind to end: dispatch, time-out, answer, release, and the one report of each end.

Imports the calls' state, the ports and the interface; time comes from the ports. The exchange tells it what
hosts, clients and the decision module did; it notifies the module through the event dispatcher. Every
attempt, dispatched or running, ends in `end`, with the evidence as the interface's outcome.
"""

from __future__ import annotations

from glencleat import interface as api
from glencleat.allocator.event_dispatcher import EventDispatcher
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.delivery import (
    NOT_EXECUTED_OUTCOMES,
    OUTCOME_BY_DELIVERY,
    DeliveryOutcome,
)
from glencleat.platform_protocol.ports import ExchangePorts
from glencleat.platform_protocol.setup_calls import (
    SetupAttempt,
    SetupCall,
    SetupCallTable,
    SetupEvent,
    SetupState,
)

SENT_OUTCOMES = (DeliveryOutcome.ANSWER_TIMEOUT, DeliveryOutcome.CONNECTION_LOST)


class AttemptController:
    """Dispatches attempts and reports how each of them ended."""

    def __init__(self, table: SetupCallTable, dispatcher: EventDispatcher, ports: ExchangePorts) -> None:
        self.table = table
        self.dispatcher = dispatcher
        self.ports = ports
        self.failed_attempts_by_outcome: dict[api.Outcome, int] = {}  # those that came to nothing

    def dispatch(self, call: SetupCall, host: str, timeout_ms: float) -> None:
        """Sends the call's next attempt to a host."""
        now_ms = self.ports.now()
        attempt = SetupAttempt(
            call=call,
            number=call.attempt_count,
            host=host,
            began_ms=now_ms,
            deadline_ms=now_ms + timeout_ms,
        )
        call.apply(SetupEvent.BIND)
        call.attempt_count += 1
        call.attempt = attempt
        attempt.timer = self.ports.call_in(timeout_ms, lambda: self._time_out(attempt))
        self.ports.send_attempt(attempt)

    def _time_out(self, attempt: SetupAttempt, has_reread: bool = False) -> None:
        if not attempt.is_dispatched:
            return
        if not has_reread and self.ports.has_unread_data(attempt):
            # After a standstill its answer may lie there: what was answered in time is no time-out.
            attempt.timer = self.ports.call_in(0.0, lambda: self._time_out(attempt, has_reread=True))
            return
        self.end(attempt, OUTCOME_BY_DELIVERY[self.ports.cancel_attempt(attempt)])

    def accept(self, attempt: SetupAttempt, description: bytes) -> None:
        """Takes a host's answer to a dispatched attempt and passes its description on to the client."""
        call = attempt.call
        task = call.setup.task
        if not self.ports.is_client_waiting(call.client, task, exact=False):
            # Its client left before it could be notified: nobody would ever end the task.
            self.ports.release_task(attempt.host, task)
            self.end(attempt, api.Outcome.STOPPED, has_client_left=True)
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.mark_running(call, attempt.host, SetupEvent.ANSWER)
        self.ports.send_to_client(
            call.client, m.encode(m.ANSWER, task, {m.DESCRIPTION: description}), owed=False
        )
        elapsed_ms = max(0.0, self.ports.now() - attempt.began_ms)
        self.dispatcher.dispatch(
            api.AttemptAccepted(call.call_id, attempt.number, attempt.host, elapsed_ms=elapsed_ms)
        )

    def mark_running(self, call: SetupCall, host: str, event: SetupEvent) -> None:
        """Notes that the call's task runs at the host, by ANSWER or REGISTER; its client is proven then."""
        call.apply(event)
        call.running_since_ms = self.ports.now()
        call.client.open.discard(call.setup.task)
        self.ports.mark_client_proven(call.client)
        self.table.add_running(call, host)

    def end(
        self,
        attempt: SetupAttempt,
        outcome: api.Outcome,
        reason: api.OutcomeReason = api.OutcomeReason.UNSPECIFIED,
        report: api.LoadReport | None = None,
        *,
        has_client_left: bool = False,
    ) -> None:
        """Ends a call's present attempt, dispatched or running, and reports it to the decision module.

        Args:
            attempt: The attempt.
            outcome: What is known of it.
            reason: The host's reason, if it gave one.
            report: The load report that came with it, if any.
            has_client_left: The call is closed with it, as nobody waits for its answer.
        """
        call = attempt.call
        elapsed_ms = max(0.0, self.ports.now() - attempt.began_ms)
        was_running = call.state is SetupState.RUNNING
        attempt.finish()
        is_call_closed = was_running or has_client_left
        if is_call_closed:
            self.close(call, attempt.host)
        if was_running:
            self._notify_task_end(call, outcome)
        else:
            self._record_failure(attempt, outcome, elapsed_ms, has_client_left)
        ended = api.AttemptEnded(
            call_id=call.call_id,
            attempt=attempt.number,
            machine=attempt.host,
            outcome=outcome,
            elapsed_ms=elapsed_ms,
            is_call_closed=is_call_closed,
            reason=reason,
            report=report,
        )
        events = [api.CallAbandoned(call.call_id), ended] if has_client_left else [ended]
        self.dispatcher.dispatch(*events)

    def _notify_task_end(self, call: SetupCall, outcome: api.Outcome) -> None:
        """Releases the task to its client, unless we ended it ourselves."""
        if outcome is api.Outcome.STOPPED:
            return
        cause = m.NORMAL_CLEARING if outcome is api.Outcome.COMPLETED else m.TEMPORARY_FAILURE
        data = m.encode_with_cause(m.RELEASE, call.setup.task, cause)
        self.ports.send_to_client(call.client, data, owed=True)

    def _record_failure(
        self, attempt: SetupAttempt, outcome: api.Outcome, elapsed_ms: float, has_client_left: bool
    ) -> None:
        """Notes an attempt that came to nothing, and since when its call may have run."""
        call = attempt.call
        if outcome not in NOT_EXECUTED_OUTCOMES and call.first_execution_ms is None:
            call.first_execution_ms = attempt.began_ms
        self.failed_attempts_by_outcome[outcome] = self.failed_attempts_by_outcome.get(outcome, 0) + 1
        if outcome is not api.Outcome.REJECTED and not has_client_left:
            self.ports.log(
                f"host {attempt.host}: attempt {attempt.number} {outcome.value} after {elapsed_ms:.0f} ms"
            )

    def close(self, call: SetupCall, host: str = "") -> None:
        """Forgets a call, and with `host` that its task runs there."""
        if call.state is not SetupState.CLOSED:
            call.apply(SetupEvent.CLOSE)
        self.table.remove(call, host)

    def release_running(self, call: SetupCall) -> None:
        """Ends a running task of ours at its host: migrated, or released by its client."""
        attempt = call.attempt
        assert attempt is not None, "a running call has an attempt"
        self.ports.release_task(attempt.host, call.setup.task)
        self.end(attempt, api.Outcome.STOPPED)

    def withdraw(self, call: SetupCall) -> None:
        """Closes an open call whose client has left; an attempt that is out is cancelled."""
        if call.attempt is not None and call.state is SetupState.DISPATCHED:
            delivery = self.ports.cancel_attempt(call.attempt)
            is_sent = delivery in SENT_OUTCOMES
            outcome = api.Outcome.STOPPED if is_sent else OUTCOME_BY_DELIVERY[delivery]
            self.end(call.attempt, outcome, has_client_left=True)
            return
        self.close(call)
        self.dispatcher.dispatch(api.CallAbandoned(call.call_id))

    def record_delivery_failure(self, attempt: SetupAttempt, delivery: DeliveryOutcome) -> None:
        """Ends a dispatched attempt on its connection's report; one that has already ended is left alone."""
        if attempt.is_dispatched:
            has_client_left = delivery is DeliveryOutcome.CLIENT_DISCONNECTED
            self.end(attempt, OUTCOME_BY_DELIVERY[delivery], has_client_left=has_client_left)

    def end_tasks_of_host(self, host: str, before_ms: float) -> int:
        """Ends as lost what came to run at the host before that time; returns how many tasks."""
        running = self.table.running_by_host.get(host, {})
        lost_calls = [call for call in running.values() if call.running_since_ms < before_ms]
        for call in lost_calls:
            if call.attempt is not None:
                self.end(call.attempt, api.Outcome.LOST)
        return len(lost_calls)

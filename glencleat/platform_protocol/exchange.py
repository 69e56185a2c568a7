"""The exchange: clients' and hosts' messages of the platform's protocol, the decision module between them.

The connections of `glencleat/platform_server/` hand it what they received and do what `ExchangePorts` says;
time comes from there. It is the only place of the platform's side that knows the decision module: events go
to it by the dispatcher, and its actions come back to `_act`. Calls and their states are in `setup_calls.py`,
attempts in `attempts.py`, probes in `probes.py`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import assert_never

from glencleat import interface as api
from glencleat.allocator.contract import Contract, PolicyPort
from glencleat.allocator.event_dispatcher import EventDispatcher
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol import value_mapping
from glencleat.platform_protocol.attempts import AttemptController
from glencleat.platform_protocol.command_channel import ListChange
from glencleat.platform_protocol.delivery import (
    AttemptEvidence,
    DeliveryOutcome,
    find_hold_reason,
    is_duplicate_safe,
    is_turn_current,
)
from glencleat.platform_protocol.ended_tasks import EndedTask, EndedTasks
from glencleat.platform_protocol.ports import ExchangePorts
from glencleat.platform_protocol.probes import ProbeTable
from glencleat.platform_protocol.setup_calls import (
    ClientPort,
    SetupAttempt,
    SetupCall,
    SetupCallTable,
    SetupEvent,
    SetupState,
)
from glencleat.platform_protocol.setup_requests import SetupError, SetupParser, SetupRequest

__all__ = ["Exchange", "SetupAttempt", "SetupCall", "SetupState"]

MIN_RETRY_AFTER_MS = 1.0  # less is not worth a parameter
PROBE_SUCCEEDED = 1  # the cause of a probe's result that carries a report


class Exchange:
    """One allocator's calls, from the messages that open them to those that close them.

    Args:
        settings: The decision module's settings.
        module: The decision module.
        ports: The connections, timers, clock and log.
        probe_timeout_ms: How long a host may take for a load report.

    Whoever joins the parts sets `list_machines`, which returns the machine list, and `notify_host_occupied`,
    which is called with a host's name when its first task comes to run there and when its last one ends.
    """

    def __init__(
        self, settings: api.Settings, module: PolicyPort, ports: ExchangePorts, probe_timeout_ms: float
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.contract = Contract(module)
        self.dispatcher = EventDispatcher(self.contract, ports.now, self._act)
        self.parser = SetupParser(settings)
        self.table = SetupCallTable(lambda host: self.notify_host_occupied(host))
        self.attempts = AttemptController(self.table, self.dispatcher, ports)
        self.probes = ProbeTable(self.dispatcher, ports, probe_timeout_ms)
        self.ended_tasks = EndedTasks()
        self.list_machines: Callable[[], tuple[api.Machine, ...]] = tuple
        self.notify_host_occupied: Callable[[str], None] = lambda host: None
        self.invalid_setups = 0
        self.late_answers = 0
        # The table's own: read by the connections at each of their ticks.
        self.calls = self.table.calls
        self.calls_by_task = self.table.calls_by_task
        self.running_by_host = self.table.running_by_host

    @property
    def open_calls(self) -> int:
        """The number of calls that an answer is owed to."""
        return self.table.open_calls

    @property
    def accepted_calls(self) -> int:
        """The number of calls since the start, tasks that were re-registered among them."""
        return self.table.accepted_calls

    @property
    def failed_attempts_by_outcome(self) -> dict[api.Outcome, int]:
        """How many attempts came to nothing since the start."""
        return self.attempts.failed_attempts_by_outcome

    # ---- the decision module's actions ----

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Bind():
                self.attempts.dispatch(self.calls[action.call_id], action.machine, action.timeout_ms)
            case api.Reject():
                self._reject(action)
            case api.Fail():
                self._answer(self.calls[action.call_id], m.TEMPORARY_FAILURE, {})
            case api.Migrate():
                self._migrate(self.calls[action.call_id])
            case api.Probe():
                self.probes.start(action.machine)
            case api.SetTimer():
                self._set_timer(action)
            case api.WatchMachineList():
                # The connections hold a command channel at all times: what it has received is the list.
                self.dispatcher.dispatch(
                    api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, self.list_machines())
                )
            case api.LogMessage():
                self.ports.log(action.text)
            case _:
                assert_never(action)

    def _reject(self, action: api.Reject) -> None:
        parameters = {}
        if action.retry_after_ms >= MIN_RETRY_AFTER_MS:
            parameters[m.RETRY_AFTER] = b"%d" % round(action.retry_after_ms)
        self._answer(self.calls[action.call_id], m.NO_CAPACITY, parameters)

    def _answer(self, call: SetupCall, cause: int, parameters: dict[int, bytes]) -> None:
        """Sends a final answer that is no placement. Nothing is kept of the call."""
        data = m.encode_with_cause(m.RELEASE, call.setup.task, cause, parameters)
        self.attempts.close(call)
        self.ports.send_to_client(call.client, data, owed=False)

    def _migrate(self, call: SetupCall) -> None:
        if call.state is SetupState.RUNNING:
            self.ports.send_to_client(call.client, m.encode(m.MIGRATE, call.setup.task), owed=True)
            self.attempts.release_running(call)

    def _set_timer(self, action: api.SetTimer) -> None:
        event = api.TimerFired(action.token)
        self.ports.call_in(action.delay_ms, lambda: self.dispatcher.dispatch(event))

    # ---- hosts ----

    def receive_host_message(self, host: str, connection: object, message: m.PlatformMessage) -> None:
        """Takes a complete message of a host.

        Args:
            host: The host's name.
            connection: The connection that it came by: an answer counts on the attempt's own alone.
            message: The message.

        Raises:
            RemoteProtocolError: It can't be read; nothing has been changed then.
        """
        if message.kind == m.PROBE_RESULT:
            has_succeeded = message.cause == PROBE_SUCCEEDED
            outcome = api.Outcome.COMPLETED if has_succeeded else api.Outcome.ERROR
            report = value_mapping.parse_load_report(message)
            self.probes.receive_result(host, message.task, outcome, report)
            return
        attempt = self.table.find_attempt(message.task, host)
        is_awaited = attempt is not None and attempt.is_dispatched and attempt.connection is connection
        if message.kind == m.ANSWER:
            self._receive_answer(attempt if is_awaited else None, message)
        elif message.kind == m.RELEASE:
            self._receive_host_release(host, attempt, is_awaited, message)
        elif message.kind == m.OBSERVATION:
            self._receive_observation(attempt, message)

    def _receive_answer(self, awaited_attempt: SetupAttempt | None, message: m.PlatformMessage) -> None:
        if m.DESCRIPTION not in message.parameters:
            raise m.RemoteProtocolError("an answer without a description")
        if awaited_attempt is None:
            self.late_answers += (
                1  # after its time, a second time, or of nothing: by the protocol it means nothing
            )
            return
        self.attempts.accept(awaited_attempt, message.parameters[m.DESCRIPTION])

    def _receive_host_release(
        self, host: str, attempt: SetupAttempt | None, is_awaited: bool, message: m.PlatformMessage
    ) -> None:
        cause = message.cause
        reason = value_mapping.parse_outcome_reason(message)
        report = value_mapping.parse_load_report(message)
        if attempt is not None and attempt.call.state is SetupState.RUNNING:
            end = EndedTask(cause, is_client_notified=True)
            self.ended_tasks.record(message.task, host, end, self.ports.now())
            outcome = value_mapping.OUTCOME_BY_CAUSE_AFTER_ANSWER.get(cause, api.Outcome.LOST)
            self.attempts.end(attempt, outcome, reason, report)
        elif attempt is not None and is_awaited:
            outcome = value_mapping.OUTCOME_BY_CAUSE_BEFORE_ANSWER.get(cause, api.Outcome.LOST)
            self.attempts.end(attempt, outcome, reason, report)
        elif message.task not in self.calls_by_task:
            end = EndedTask(cause, is_client_notified=False)  # nobody who holds it is known
            self.ended_tasks.record(message.task, host, end, self.ports.now())

    def _receive_observation(self, attempt: SetupAttempt | None, message: m.PlatformMessage) -> None:
        topic = message.text(m.TOPIC) or ""
        value = m.parse_number(message.text(m.VALUE) or "0")
        kind = value_mapping.OBSERVATION_BY_TOPIC.get(topic)
        if attempt is not None and attempt.call.state is SetupState.RUNNING and kind is not None:
            self.dispatcher.dispatch(api.TaskObserved(attempt.call.call_id, attempt.host, kind, value))

    # ---- connections to hosts ----

    def record_delivery_failure(self, attempt: SetupAttempt, delivery: DeliveryOutcome) -> None:
        """Ends a dispatched attempt on its connection's report; one that has already ended is left alone."""
        self.attempts.record_delivery_failure(attempt, delivery)

    def find_hold_reason(
        self, attempt: SetupAttempt, is_host_serving: bool, is_warming_up: bool
    ) -> DeliveryOutcome | None:
        """Returns why an attempt may not leave, or None.

        Asked at the last instant before its first byte does.

        Args:
            attempt: The attempt.
            is_host_serving: By the machine list its host is neither draining nor removed.
            is_warming_up: Its host is warming up.
        """
        call = attempt.call
        now_ms = self.ports.now()
        evidence = AttemptEvidence(
            is_client_waiting=self.ports.is_client_waiting(call.client, call.setup.task, exact=True),
            is_host_serving=is_host_serving,
            is_in_time=now_ms < attempt.deadline_ms,
            is_duplicate_safe=is_duplicate_safe(
                call.setup.task_class, call.first_execution_ms, now_ms, self.settings.tick_ms
            ),
            is_turn_current=is_turn_current(
                is_warming_up, now_ms - attempt.began_ms, self.settings.warm_up_window_ms
            ),
        )
        return find_hold_reason(evidence)

    def end_tasks_of_host(self, host: str, before: float = math.inf) -> int:
        """Ends as lost the tasks of a host whose process is known to have ended.

        Args:
            host: The host's name.
            before: What came to run there before this time, on the module's clock in milliseconds, is over.

        Returns:
            How many tasks that were.
        """
        return self.attempts.end_tasks_of_host(host, before)

    def report_reachability(self, host: str, up: bool) -> None:
        """Notifies the decision module whether a host can be reached, as connections of no attempt showed."""
        self.dispatcher.dispatch(api.ReachabilityChanged(host, up))

    # ---- clients ----

    def receive_setup(
        self, client: ClientPort, message: m.PlatformMessage, waited_ms: float, late: bool = False
    ) -> bool:
        """Takes a set-up and returns whether it could be used.

        Args:
            client: The connection that it came by.
            message: The set-up.
            waited_ms: How long it lay in our socket and loop.
            late: It came after our shutdown had begun.

        Raises:
            RemoteProtocolError: It can't even be answered.
        """
        task = message.task
        known = self.calls_by_task.get(task)
        if known is not None and known.client is client and known.state is not SetupState.RUNNING:
            # An answer under this number would be taken for the first one's, which is still owed.
            raise m.RemoteProtocolError("a second set-up under the number of an open one")
        try:
            setup = self.parser.parse(message)
        except SetupError as error:
            return self._reject_invalid(client, task, error.reason)
        remaining_ms = setup.wait_ms - waited_ms
        if setup.current_host is not None:
            self._register(client, setup, setup.current_host)
        elif known is not None:
            return self._reject_invalid(client, task, "the number of another open set-up")
        elif late:
            self._turn_away(client, task, m.NO_CAPACITY, "it came after the end had begun")
        elif remaining_ms <= 0.0:
            self._turn_away(client, task, m.TIMER_EXPIRED, "it came after its time")
        elif self.ports.is_client_waiting(client, task, exact=False):
            client.open.add(task)
            self._request_placement(self.table.add(client, setup), remaining_ms)
        # Else its cancel or its client's end came while it lay unread: nothing is owed.
        return True

    def _reject_invalid(self, client: ClientPort, task: int, reason: str) -> bool:
        self.invalid_setups += 1
        self._turn_away(client, task, m.INVALID_CONTENTS, reason)
        return False

    def _turn_away(self, client: ClientPort, task: int, cause: int, reason: str) -> None:
        self.ports.log(f"turned away: {reason}")
        self.ports.send_to_client(client, m.encode_with_cause(m.RELEASE, task, cause), owed=False)

    def _request_placement(self, call: SetupCall, remaining_ms: float) -> None:
        setup = call.setup
        self.dispatcher.dispatch(
            api.PlacementRequested(
                call_id=call.call_id,
                task_class=setup.task_class.name,
                service=setup.service,
                cores=setup.cores,
                memory=setup.memory,
                remaining_ms=remaining_ms,
                tenant=setup.tenant,
                expected_run_ms=None,
                machine=setup.current_host,
                is_retry=setup.is_retry,
            )
        )

    def _register(self, client: ClientPort, setup: SetupRequest, host: str) -> None:
        """Adopts a task that runs already.

        One that we hold is named again at every start of its client, and changes nothing.
        """
        if setup.task in self.calls_by_task:
            return
        now_ms = self.ports.now()
        end = self.ended_tasks.claim(setup.task, host, now_ms)
        if end is not None:
            if not end.is_client_notified:
                cause = m.NORMAL_CLEARING if end.cause == m.NORMAL_CLEARING else m.TEMPORARY_FAILURE
                self.ports.send_to_client(
                    client, m.encode_with_cause(m.RELEASE, setup.task, cause), owed=True
                )
            return
        call = self.table.add(client, setup)
        call.attempt_count = 1
        call.attempt = SetupAttempt(call=call, number=0, host=host, began_ms=now_ms, deadline_ms=now_ms)
        self.attempts.mark_running(call, host, SetupEvent.REGISTER)
        self._request_placement(call, remaining_ms=0.0)

    def receive_client_release(self, client: ClientPort, message: m.PlatformMessage) -> None:
        """Takes a release: an open set-up is cancelled on its own connection, a running task ended on any."""
        call = self.calls_by_task.get(message.task)
        if call is None:
            return
        if call.state is SetupState.RUNNING:
            self.ports.send_to_client(client, m.encode(m.RELEASE_COMPLETE, message.task), owed=False)
            self.attempts.release_running(call)
        elif call.client is client:
            self.attempts.withdraw(call)

    def disconnect_client(self, client: ClientPort) -> None:
        """Withdraws what was open on a connection that has ended. What runs goes on."""
        for task in list(client.open):
            if task in self.calls_by_task:  # else the module answered it on hearing of one before
                self.attempts.withdraw(self.calls_by_task[task])

    # ---- the machine list ----

    def update_machine_list(self, change: ListChange) -> None:
        """Notifies the decision module of a change of the machine list."""
        kind = api.ListUpdateKind.SNAPSHOT if change.is_snapshot else api.ListUpdateKind.DELTA
        self.dispatcher.dispatch(api.MachineListUpdated(kind, tuple(host.machine for host in change.hosts)))

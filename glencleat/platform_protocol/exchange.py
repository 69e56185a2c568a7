"""The exchange between clients, hosts and the policy: calls, attempts and placed tasks.

Imports messages, set-up requests, `allocator.contract`, `allocator.event_dispatcher` and the interface.
`glencleat/platform_server/` passes it received messages and connection failures, and implements
`ExchangePorts`; the time comes from there too. No other module on the platform's path knows the policy.

  state      entered by         left by
  PENDING    a set-up           Bind -> IN_FLIGHT; Reject, Fail or the client leaves -> closed
  IN_FLIGHT  the policy's Bind  a host's answer -> PLACED; any other end of the attempt -> PENDING or closed
  PLACED     a host's answer,   a release by the host or a client, a migration, the host is lost -> closed
             `at` in a set-up

A closed call is removed at once: messages for it that arrive later find nothing and change nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any

from glencleat import interface as api
from glencleat.allocator.contract import ContractChecker, DecisionModule
from glencleat.allocator.event_dispatcher import EventDispatcher
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol import value_mapping
from glencleat.platform_protocol.command_channel import ListChange
from glencleat.platform_protocol.delivery import (
    NEVER_RAN,
    OUTCOMES_BY_DELIVERY,
    AttemptEvidence,
    DeliveryOutcome,
    check_send,
    is_harmless_to_send,
    is_turn_valid,
)
from glencleat.platform_protocol.ended_tasks import EndedTasks
from glencleat.platform_protocol.exchange_ports import ExchangePorts
from glencleat.platform_protocol.load_probes import LoadProbes
from glencleat.platform_protocol.process_names import ProcessNames
from glencleat.platform_protocol.setup_calls import ClientPort, SetupAttempt, SetupCall, SetupState
from glencleat.platform_protocol.setup_requests import SetupError, SetupReader, SetupRequest
from glencleat.platform_protocol.uncertain_calls import UncertainCalls
from glencleat.platform_protocol.unconfirmed_tasks import UnconfirmedTasks
from glencleat.platform_protocol.value_mapping import (
    OBSERVATION_KINDS,
    OUTCOMES_AFTER_PLACEMENT,
    OUTCOMES_BEFORE_PLACEMENT,
)


class Exchange:
    """All calls of one allocator. The process that assembles the parts sets `list_machines`."""

    def __init__(
        self, settings: api.Settings, module: DecisionModule, ports: ExchangePorts, probe_timeout_ms: float
    ) -> None:
        self.ports, self.settings = ports, settings
        self.contract = ContractChecker(module)
        self.event_dispatcher = EventDispatcher(self.contract, ports.now, self._execute_action)
        self.load_probes = LoadProbes(ports, self.event_dispatcher, probe_timeout_ms)
        self.setup_reader = SetupReader(settings)
        self.calls_by_id: dict[int, SetupCall] = {}  # by the policy's call id
        self.calls_by_task_id: dict[int, SetupCall] = {}  # by the platform's task id
        self.placed_calls_by_host: dict[str, dict[int, SetupCall]] = {}  # by host, then by task id
        self.process_names = ProcessNames()
        self.ended_tasks = EndedTasks()
        self.uncertain_calls = UncertainCalls()
        self.unconfirmed_tasks: UnconfirmedTasks[ClientPort] = UnconfirmedTasks()
        self.list_machines: Callable[[], tuple[api.Machine, ...]] = tuple
        # Called when a host's first task is placed and when its last one has ended.
        self.on_placed_changed: Callable[[str], None] = lambda host: None
        # Whether the process of a host is known, so that messages of others do not concern its tasks.
        self.is_process_known: Callable[[str], bool] = lambda host: True
        # Called with the host of a task that a client has handed over.
        self.on_task_handed_over: Callable[[str], None] = lambda host: None
        self.invalid_setup_count = self.call_count = self.late_answer_count = 0
        self.failed_attempts_by_outcome: dict[api.Outcome, int] = {}

    @property
    def open_call_count(self) -> int:
        """The number of calls without a final answer."""
        return sum(call.state is not SetupState.PLACED for call in self.calls_by_id.values())

    # ---- actions of the policy ----

    def _execute_action(self, action: api.Action) -> None:
        self.action_handlers[type(action)](self, action)

    def _start_attempt(self, action: api.Bind) -> None:
        call, now = self.calls_by_id[action.call_id], self.ports.now()
        attempt = SetupAttempt(call, call.attempt_count, action.machine, now, now + action.timeout_ms)
        call.attempt_count, call.attempt, call.state = call.attempt_count + 1, attempt, SetupState.IN_FLIGHT
        attempt.timer = self.ports.call_in(action.timeout_ms, lambda: self._handle_timeout(attempt))
        self.ports.offer_attempt(attempt)

    def _handle_timeout(self, attempt: SetupAttempt, has_deferred: bool = False) -> None:
        if not attempt.is_in_flight:
            return
        if not has_deferred and self.ports.has_unread_bytes(attempt):
            # After this process has stood still, an answer that came in time may be unread: read it first.
            attempt.timer = self.ports.call_in(0.0, lambda: self._handle_timeout(attempt, has_deferred=True))
            return
        self._end_attempt(attempt, OUTCOMES_BY_DELIVERY[self.ports.cancel_attempt(attempt)])

    def _reject_call(self, action: api.Reject) -> None:
        retry_after = (
            {m.RETRY_AFTER: b"%d" % round(action.retry_after_ms)} if action.retry_after_ms >= 1.0 else {}
        )
        self._close_unplaced(self.calls_by_id[action.call_id], m.REJECTED, retry_after)

    def _fail_call(self, action: api.Fail) -> None:
        self._close_unplaced(self.calls_by_id[action.call_id], m.FAILED, {})

    def _close_unplaced(self, call: SetupCall, cause: int, extra_parameters: dict[int, bytes]) -> None:
        """Sends a final answer other than a placement and removes the call."""
        data = m.encode_with_cause(m.RELEASE, call.setup.task_id, cause, extra_parameters)
        self._remove_call(call)
        self.ports.send_to_client(call.client, data, must_deliver=False)

    def _migrate_task(self, action: api.Migrate) -> None:
        call = self.calls_by_id[action.call_id]
        if call.state is SetupState.PLACED:
            self.ports.send_to_client(call.client, m.encode(m.MIGRATE, call.setup.task_id), must_deliver=True)
            self._stop_task(call)

    def _start_probe(self, action: api.Probe) -> None:
        self.load_probes.start(action)

    def _set_timer(self, action: api.SetTimer) -> None:
        self.ports.call_in(
            action.delay_ms, lambda: self.event_dispatcher.dispatch_event(api.TimerFired(action.token))
        )

    def _send_snapshot(self, _: api.WatchMachineList) -> None:
        # The process always watches the command channel, so its current list is the answer.
        self.event_dispatcher.dispatch_event(
            api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, self.list_machines())
        )

    def _write_log(self, action: api.LogMessage) -> None:
        self.ports.log(action.text)

    action_handlers: dict[type, Callable[[Exchange, Any], None]] = {
        api.Bind: _start_attempt,
        api.Reject: _reject_call,
        api.Fail: _fail_call,
        api.Migrate: _migrate_task,
        api.Probe: _start_probe,
        api.SetTimer: _set_timer,
        api.WatchMachineList: _send_snapshot,
        api.LogMessage: _write_log,
    }

    # ---- the end of an attempt ----

    def _end_attempt(
        self,
        attempt: SetupAttempt,
        outcome: api.Outcome,
        reason: api.OutcomeReason = api.OutcomeReason.UNSPECIFIED,
        report: api.LoadReport | None = None,
        has_client_left: bool = False,
    ) -> None:
        """Ends an attempt and notifies the policy; every attempt and every placed task ends here."""
        call, now = attempt.call, self.ports.now()
        if attempt.timer is not None:
            attempt.timer.cancel()
        was_placed = call.state is SetupState.PLACED
        call.state, call.attempt = SetupState.PENDING, None
        if outcome not in NEVER_RAN and call.first_uncertain_at_ms is None:
            call.first_uncertain_at_ms = attempt.bound_at_ms
        is_call_closed = was_placed or has_client_left
        if is_call_closed:
            self._remove_call(call, attempt.host)
        if was_placed and outcome is not api.Outcome.STOPPED:
            cause = m.ENDED if outcome is api.Outcome.COMPLETED else m.FAILED
            self.ports.send_to_client(
                call.client, m.encode_with_cause(m.RELEASE, call.setup.task_id, cause), must_deliver=True
            )
        elapsed_ms = max(0.0, now - attempt.bound_at_ms)
        if not was_placed:
            self.failed_attempts_by_outcome[outcome] = self.failed_attempts_by_outcome.get(outcome, 0) + 1
            if outcome is not api.Outcome.REJECTED and not has_client_left:
                self.ports.log(
                    f"host {attempt.host}: attempt {attempt.number} {outcome.value} after {elapsed_ms:.0f} ms"
                )
        ended = api.AttemptEnded(
            call.call_id, attempt.number, attempt.host, outcome, elapsed_ms, is_call_closed, reason, report
        )
        self.event_dispatcher.dispatch_event(
            *([api.CallAbandoned(call.call_id)] if has_client_left else []), ended
        )

    def _remove_call(self, call: SetupCall, host: str = "") -> None:
        if call.first_uncertain_at_ms is not None:
            setup, now = call.setup, self.ports.now()
            self.uncertain_calls.record(
                setup.task_id, setup.task_class, call.first_uncertain_at_ms, setup.timeout_ms, now
            )
        self.calls_by_id.pop(call.call_id, None)
        self.calls_by_task_id.pop(call.setup.task_id, None)
        call.client.open_task_ids.discard(call.setup.task_id)
        self.unconfirmed_tasks.discard(call.client, call.setup.task_id)
        placed_calls = self.placed_calls_by_host.get(host)
        if placed_calls is not None:
            placed_calls.pop(call.setup.task_id, None)
            if not placed_calls:
                del self.placed_calls_by_host[host]
                self.on_placed_changed(host)

    def _mark_placed(self, call: SetupCall, host: str) -> None:
        call.state, call.placed_at_ms = SetupState.PLACED, self.ports.now()
        call.reported_at_ms = call.placed_at_ms
        call.client.open_task_ids.discard(call.setup.task_id)
        placed_calls = self.placed_calls_by_host.setdefault(host, {})
        placed_calls[call.setup.task_id] = call
        if len(placed_calls) == 1:
            self.on_placed_changed(host)

    def _stop_task(self, call: SetupCall) -> None:
        """Releases a placed task on its host because it migrates or its client has released it."""
        attempt = call.attempt
        assert attempt is not None
        self.ports.release_task(attempt.host, call.setup.task_id)
        self._end_attempt(attempt, api.Outcome.STOPPED)

    def on_attempt_failed(self, attempt: SetupAttempt, outcome: DeliveryOutcome) -> None:
        """Handles the failure of an attempt on its connection; ignored if the attempt has ended already."""
        if attempt.is_in_flight:
            self._end_attempt(
                attempt,
                OUTCOMES_BY_DELIVERY[outcome],
                has_client_left=outcome is DeliveryOutcome.CLIENT_GONE,
            )

    def check_send(
        self, attempt: SetupAttempt, is_host_serving: bool, is_warming_up: bool
    ) -> DeliveryOutcome | None:
        """Returns why an attempt must not be sent, None if it may be.

        A connection calls it immediately before it writes the attempt's first byte.
        """
        call, now = attempt.call, self.ports.now()
        evidence = AttemptEvidence(
            self.ports.is_client_waiting(call.client, call.setup.task_id),
            is_host_serving,
            now < attempt.deadline_at_ms,
            is_harmless_to_send(
                call.setup.task_class, call.first_uncertain_at_ms, now, self.settings.tick_ms
            ),
            is_turn_valid(is_warming_up, now - attempt.bound_at_ms, self.settings.warm_up_window_ms),
        )
        return check_send(evidence)

    def declare_tasks_lost(self, host: str, task_ids: Collection[int] | None = None) -> list[int]:
        """Ends the tasks placed on a host, or those of them that are named: their process has ended.

        Returns their ids.
        """
        placed_calls = self.placed_calls_by_host.get(host, {})
        concerned = placed_calls if task_ids is None else task_ids
        lost_calls = [placed_calls[task_id] for task_id in concerned if task_id in placed_calls]
        for call in lost_calls:
            if call.attempt is not None:
                self._end_attempt(call.attempt, api.Outcome.LOST)
        return [call.setup.task_id for call in lost_calls]

    # ---- hosts ----

    def on_host_message(self, host: str, connection: Any, message: m.PlatformMessage) -> None:
        """Handles a message of a host.

        Raises:
            ProtocolError: The message is invalid; nothing has been changed.
        """
        if message.kind == m.PROBE_ANSWER:
            self.load_probes.handle_answer(host, message)
            return
        attempt = self._find_attempt(message.task_id, host)
        is_awaited = attempt is not None and attempt.is_in_flight and attempt.connection is connection
        if message.kind == m.ANSWER:
            if m.DESCRIPTION not in message.parameters:
                raise m.ProtocolError("the answer has no description")
            if attempt is not None and is_awaited:
                self._handle_answer(attempt, message)
            else:
                # Late, repeated, or for an unknown task: by the protocol page such an answer has no effect.
                self.late_answer_count += 1
        elif message.kind == m.RELEASE:
            self._handle_host_release(host, attempt, is_awaited, message)
        elif message.kind == m.OBSERVATION:
            self._handle_observation(attempt, connection, message)

    def _handle_host_release(
        self, host: str, attempt: SetupAttempt | None, is_awaited: bool, message: m.PlatformMessage
    ) -> None:
        cause, reason, report = (
            message.cause,
            value_mapping.read_reason(message),
            value_mapping.read_load_report(message),
        )
        if attempt is not None and attempt.call.state is SetupState.PLACED:
            self.ended_tasks.record_end(message.task_id, host, cause, True, self.ports.now())
            outcome = OUTCOMES_AFTER_PLACEMENT.get(cause, api.Outcome.LOST)
            self._end_attempt(attempt, outcome, reason, report)
        elif attempt is not None and is_awaited:
            outcome = OUTCOMES_BEFORE_PLACEMENT.get(cause, api.Outcome.LOST)
            self._end_attempt(attempt, outcome, reason, report)
        elif message.task_id not in self.calls_by_task_id:
            is_reported = self.ports.is_release_undelivered(message.task_id)
            self.ended_tasks.record_end(message.task_id, host, cause, is_reported, self.ports.now())

    def is_release_owed(self, host: str, task_id: int) -> bool:
        """Whether the end of a host's task has not reached a client connection yet and still may."""
        return self.ports.is_release_undelivered(task_id) or self.ended_tasks.is_unclaimed(
            task_id, host, self.ports.now()
        )

    def _find_attempt(self, task_id: int, host: str) -> SetupAttempt | None:
        """Returns our attempt or placed task on that host, None if there is none.

        A task that was handed over may have been placed in a process of which the list has not told yet, so
        that a connection by a former host's name reaches it.
        """
        call = self.calls_by_task_id.get(task_id)
        attempt = call.attempt if call is not None else None
        if call is None or attempt is None:
            return None
        is_placed = call.state is SetupState.PLACED
        is_there = self._may_be_same_process if is_placed else self.process_names.is_same_process
        return attempt if is_there(host, attempt.host) else None

    def _may_be_same_process(self, host: str, named_host: str) -> bool:
        is_same = self.process_names.is_same_process(host, named_host)
        return is_same or not self.is_process_known(named_host)

    def _handle_answer(self, attempt: SetupAttempt, message: m.PlatformMessage) -> None:
        call = attempt.call
        if not self.ports.is_client_waiting(call.client, call.setup.task_id):
            # The client left before it could be notified, so no client would ever release the task.
            self.ports.release_task(attempt.host, call.setup.task_id)
            self._end_attempt(attempt, api.Outcome.STOPPED, has_client_left=True)
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        self._mark_placed(call, attempt.host)
        self.ports.mark_trusted(call.client)
        description = {m.DESCRIPTION: message.parameters[m.DESCRIPTION]}
        self.ports.send_to_client(
            call.client, m.encode(m.ANSWER, call.setup.task_id, description), must_deliver=False
        )
        elapsed_ms = max(0.0, self.ports.now() - attempt.bound_at_ms)
        self.event_dispatcher.dispatch_event(
            api.AttemptAccepted(call.call_id, attempt.number, attempt.host, elapsed_ms)
        )

    def _handle_observation(
        self, attempt: SetupAttempt | None, connection: Any, message: m.PlatformMessage
    ) -> None:
        topic, value = message.get_text(m.TOPIC), m.parse_number(message.get_text(m.VALUE) or "0")
        if attempt is None or attempt.call.state is not SetupState.PLACED:
            return
        attempt.connection, attempt.call.reported_at_ms = connection, self.ports.now()
        if self.unconfirmed_tasks.discard(attempt.call.client, message.task_id):
            self.ports.mark_trusted(attempt.call.client)  # its host holds what the client has named
        if topic in OBSERVATION_KINDS:
            self.event_dispatcher.dispatch_event(
                api.TaskObserved(attempt.call.call_id, attempt.host, OBSERVATION_KINDS[topic], value)
            )

    # ---- clients ----

    def on_client_setup(
        self, client: ClientPort, message: m.PlatformMessage, waited_ms: float, is_late: bool = False
    ) -> bool:
        """Handles a client's set-up and returns whether it was valid.

        Args:
            client: The connection on which it came.
            message: The set-up.
            waited_ms: How long it waited in our socket and loop, which is subtracted from its timeout.
            is_late: It arrived after the graceful shutdown had stopped accepting calls.

        Raises:
            ProtocolError: An answer to it could not be told from the answer to an earlier set-up.
        """
        task_id = message.task_id
        known = self._find_awaited_call(task_id)
        if known is not None and known.client is client and known.state is not SetupState.PLACED:
            # The client would take an answer with this id for that to the first set-up, which is still due.
            raise m.ProtocolError(f"second set-up for task {task_id}, which is still open")
        try:
            setup = self.setup_reader.read(message)
        except SetupError as error:
            return self._refuse_invalid(client, task_id, str(error))
        if setup.machine is not None:
            self._adopt_task(client, setup)
        elif known is not None:
            return self._refuse_invalid(client, task_id, "another open set-up has the same task id")
        elif self._may_not_be_repeated(setup):
            # Also where the set-up would be refused: a refusal says that no attempt has run.
            self._refuse_setup(client, task_id, m.FAILED, "it came before, and may have run")
        elif is_late:
            self._refuse_setup(client, task_id, m.REJECTED, "received after the shutdown window")
        elif setup.timeout_ms - waited_ms <= 0.0:
            self._refuse_setup(client, task_id, m.EXPIRED, "its timeout had expired before it was read")
        else:
            self._open_call(client, setup, setup.timeout_ms - waited_ms)
        return True

    def _find_awaited_call(self, task_id: int) -> SetupCall | None:
        """Returns the call for a task; abandons it first if its client has left by now."""
        call = self.calls_by_task_id.get(task_id)
        if call is None or call.state is SetupState.PLACED:
            return call
        if self.ports.is_client_waiting(call.client, task_id):
            return call
        self._abandon_call(call)
        return None

    def _may_not_be_repeated(self, setup: SetupRequest) -> bool:
        """Whether an earlier call for the task may have run, and another attempt could take effect again."""
        now = self.ports.now()
        earlier = self.uncertain_calls.find(setup.task_id, now)
        return earlier is not None and not earlier.may_be_repeated(
            setup.task_class, now, self.settings.tick_ms
        )

    def _refuse_invalid(self, client: ClientPort, task_id: int, reason: str) -> bool:
        self.invalid_setup_count += 1
        self._refuse_setup(client, task_id, m.INVALID_CONTENTS, reason)
        return False

    def _refuse_setup(self, client: ClientPort, task_id: int, cause: int, reason: str) -> None:
        """Answers a set-up that the policy is not notified of."""
        self.ports.log(f"set-up refused: {reason}")
        self.ports.send_to_client(client, m.encode_with_cause(m.RELEASE, task_id, cause), must_deliver=False)

    def _create_call(self, client: ClientPort, setup: SetupRequest) -> SetupCall:
        self.call_count += 1  # also the policy's call id
        call = SetupCall(self.call_count, setup, client)
        self.calls_by_id[call.call_id] = self.calls_by_task_id[setup.task_id] = call
        return call

    def _make_placement_request(self, call: SetupCall, remaining_ms: float) -> api.PlacementRequested:
        setup = call.setup
        return api.PlacementRequested(
            call.call_id,
            setup.task_class.name,
            setup.service,
            setup.cores,
            setup.memory,
            remaining_ms,
            setup.tenant,
            None,
            setup.machine,
            setup.is_retry,
        )

    def _open_call(self, client: ClientPort, setup: SetupRequest, remaining_ms: float) -> None:
        if not self.ports.is_client_waiting(client, setup.task_id):
            return  # cancelled, or the client has left, while the set-up was unread: no answer is due
        earlier = self.uncertain_calls.find(setup.task_id, self.ports.now())
        client.open_task_ids.add(setup.task_id)
        call = self._create_call(client, setup)
        call.first_uncertain_at_ms = earlier.first_uncertain_at_ms if earlier is not None else None
        self.event_dispatcher.dispatch_event(self._make_placement_request(call, remaining_ms))

    def _adopt_task(self, client: ClientPort, setup: SetupRequest) -> None:
        """Adopts a task that already runs; clients name each at every start, so a known one is ignored."""
        if setup.task_id in self.calls_by_task_id or setup.machine is None:
            return
        if self.ports.is_release_undelivered(setup.task_id):
            return  # the task has ended; its release goes out by this connection too, if by no other
        now = self.ports.now()
        ended = self._claim_end(setup.task_id, setup.machine)
        if ended is not None:
            if not ended[1]:
                cause = m.ENDED if ended[0] == m.ENDED else m.FAILED
                self.ports.send_to_client(
                    client, m.encode_with_cause(m.RELEASE, setup.task_id, cause), must_deliver=True
                )
            return
        call = self._create_call(client, setup)
        call.attempt_count, call.attempt = 1, SetupAttempt(call, 0, setup.machine, now, now)
        self._mark_placed(call, setup.machine)
        self.on_task_handed_over(setup.machine)
        self.event_dispatcher.dispatch_event(self._make_placement_request(call, 0.0))
        self._bound_unconfirmed(client, setup.task_id)

    def _claim_end(self, task_id: int, machine: str) -> tuple[int, bool] | None:
        """Claims the end of a task that the process of a host has reported, by whichever name it is known."""
        for host in self.ended_tasks.list_hosts(task_id):
            if self._may_be_same_process(host, machine):
                ended = self.ended_tasks.claim(task_id, host, self.ports.now())
                if ended is not None:
                    return ended
        return None

    def _bound_unconfirmed(self, client: ClientPort, task_id: int) -> None:
        """Records a task that its host has not reported yet; forgets another if there are too many."""
        forgotten_task_id = self.unconfirmed_tasks.add(client, task_id)
        forgotten = self.calls_by_task_id.get(forgotten_task_id or 0)
        if forgotten is not None and forgotten.attempt is not None:
            self.ports.log(f"task {forgotten_task_id:x}: forgotten, its host has not reported it")
            self._end_attempt(forgotten.attempt, api.Outcome.STOPPED)

    def on_client_release(self, client: ClientPort, message: m.PlatformMessage) -> None:
        """Handles a client's release: of an open call on its own connection, of a placed task on any.

        Whoever names a task that was placed is an owner, whichever connection it was placed on.
        """
        call = self.calls_by_task_id.get(message.task_id)
        if call is None:
            if self.ports.is_release_undelivered(message.task_id):
                self.ports.mark_trusted(client)  # the host ended it first: its release can go out now
            return
        if call.state is SetupState.PLACED:
            self.ports.send_to_client(
                client, m.encode(m.RELEASE_COMPLETE, message.task_id), must_deliver=False
            )
            self.ports.mark_trusted(client)
            self._stop_task(call)
        elif call.client is client:
            self._abandon_call(call)

    def on_client_gone(self, client: ClientPort) -> None:
        """Abandons the open calls of a connection that has ended; placed tasks are kept."""
        for task_id in list(client.open_task_ids):
            # The policy may have answered a call when it was notified that an earlier one is abandoned.
            if task_id in self.calls_by_task_id:
                self._abandon_call(self.calls_by_task_id[task_id])

    def _abandon_call(self, call: SetupCall) -> None:
        if call.attempt is not None and call.state is SetupState.IN_FLIGHT:
            delivery = self.ports.cancel_attempt(call.attempt)
            was_sent = delivery in (DeliveryOutcome.ANSWER_TIMEOUT, DeliveryOutcome.CONNECTION_LOST)
            outcome = api.Outcome.STOPPED if was_sent else OUTCOMES_BY_DELIVERY[delivery]
            self._end_attempt(call.attempt, outcome, has_client_left=True)
        else:
            self._remove_call(call)
            self.event_dispatcher.dispatch_event(api.CallAbandoned(call.call_id))

    # ---- machines ----

    def on_reachability_changed(self, host: str, is_reachable: bool) -> None:
        """Notifies the policy of a reachability that the connection pool found out by itself."""
        self.event_dispatcher.dispatch_event(api.ReachabilityChanged(host, is_reachable))

    def apply_list_change(self, change: ListChange) -> None:
        """Notifies the policy of a change of the machine list."""
        kind = api.ListUpdateKind.SNAPSHOT if change.is_snapshot else api.ListUpdateKind.DELTA
        self.event_dispatcher.dispatch_event(
            api.MachineListUpdated(kind, tuple(host.machine for host in change.hosts))
        )

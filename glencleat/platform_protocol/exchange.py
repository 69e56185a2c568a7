"""Owners' and hosts' messages, the module between them: calls, attempts and tasks that stand.

Imports messages, set-ups, `allocator.contract` and the interface. `glencleat/platform_server/`
tells what passed on its
links and does what Ports says; time is an argument. The only place of the live path that knows the module.

    state    begins with             ends with
    TAKEN    a set-up                Bind -> OUT; Refuse, Fail: answered -> over; the owner leaves -> over
    OUT      the module's Bind       an answer -> STANDS; every other end of the attempt -> TAKEN, or over
    STANDS   a host's answer, `at`   the host's release, the owner's, a move, the host lost -> over

What is over is forgotten at once: a word that comes later finds nothing and changes nothing."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from glencleat import interface as api
from glencleat.allocator.contract import Contract, DecisionModule
from glencleat.allocator.event_dispatcher import EventDispatcher
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol import value_mapping
from glencleat.platform_protocol.command_channel import ListChange
from glencleat.platform_protocol.delivery import (
    NOT_EXECUTED_OUTCOMES,
    OUTCOME_BY_DELIVERY,
    AttemptEvidence,
    DeliveryOutcome,
    find_hold_reason,
    is_duplicate_safe,
    is_turn_current,
)
from glencleat.platform_protocol.ended_tasks import EndedTasks
from glencleat.platform_protocol.setup_requests import SetupError, SetupParser, SetupRequest
from glencleat.platform_protocol.value_mapping import (
    OBSERVATION_BY_TOPIC,
    OUTCOME_BY_CAUSE_AFTER_ANSWER,
    OUTCOME_BY_CAUSE_BEFORE_ANSWER,
)


class SetupState(Enum):
    ACCEPTED = "taken"
    DISPATCHED = "out"
    RUNNING = "stands"


class ClientPort(Protocol):
    """A connection of owners, as far as the exchange knows it."""

    open: set[int]  # ids that an answer is owed to on it


class TimerHandle(Protocol):
    def cancel(self) -> None: ...


class ExchangePorts(Protocol):
    """What the exchange asks of the sockets. None of these may call the exchange back before it returns."""

    def send_to_client(self, owner: Any, data: bytes, owed: bool) -> None:
        """On that connection; if it is gone, what is `owed` goes by any other or by the next."""

    def is_client_waiting(self, owner: Any, task: int, exact: bool) -> bool:
        """Whether its client waits for the answer, by all that had come on that connection when this round of
        the loop began; `exact`: by this instant, at the price of asking the system."""

    def mark_client_proven(self, owner: Any) -> None:
        """What came on that connection stands: no bad client's, so that releases may be told there."""

    def send_attempt(self, attempt: SetupAttempt) -> None:
        """Sends `attempt.setup_message(now)` to its host, and tells of a failure by `failed`, later."""

    def cancel_attempt(self, attempt: SetupAttempt) -> DeliveryOutcome:
        """Takes it back: the give-up is written, or its connection closed. What is known of it."""

    def has_unread_data(self, attempt: SetupAttempt) -> bool:
        """Whether something came on the connection that it went by and has not been read."""

    def release_task(self, host: str, task: int) -> None:
        """Releases a standing task at its host, at once or as soon as the host can be reached."""

    def send_probe(self, host: str, token: int) -> bool:
        """Asks the host for its report; False if there is no way to."""

    def call_in(self, in_ms: float, call: Callable[[], None]) -> TimerHandle: ...
    def now(self) -> float: ...
    def log(self, text: str) -> None: ...


@dataclass(slots=True, eq=False)
class SetupCall:
    """A task from its set-up until it is over."""

    call_id: int
    setup: SetupRequest
    client: ClientPort
    state: SetupState = SetupState.ACCEPTED
    attempt_count: int = 0
    attempt: SetupAttempt | None = None
    running_since_ms: float = 0.0  # when it came to stand
    first_execution_ms: float | None = (
        None  # the earliest moment at which an attempt that may have run could be there
    )


@dataclass(slots=True, eq=False)
class SetupAttempt:
    """One Bind. `link` is the sockets' own."""

    call: SetupCall
    number: int
    host: str
    began_ms: float
    deadline_ms: float
    timer: TimerHandle | None = None
    connection: Any = field(default=None, repr=False)

    @property
    def is_dispatched(self) -> bool:
        """It waits for the host's answer."""
        return self.call.attempt is self and self.call.state is SetupState.DISPATCHED

    def encode_setup(self, now: float) -> bytes:
        setup = self.call.setup
        wait = max(1, round(self.deadline_ms - now))
        parameters = {m.CLASS: setup.task_class.name.encode(), m.WAIT: b"%d" % wait, m.NAME: setup.name}
        if setup.idempotency_key is not None:
            parameters[m.KEY] = setup.idempotency_key
        parameters[m.DESCRIPTION] = setup.description
        return m.encode(m.SETUP, setup.task, parameters)


class Exchange:
    """One allocator's calls. `machines` is set by whoever joins the parts."""

    def __init__(
        self, settings: api.Settings, module: DecisionModule, ports: ExchangePorts, test_ms: float
    ) -> None:
        self.ports, self.probe_timeout_ms, self.settings = ports, test_ms, settings
        self.contract = Contract(module)
        self.dispatcher = EventDispatcher(self.contract, ports.now, self._act)
        self.parser = SetupParser(settings)
        self.calls: dict[int, SetupCall] = {}  # by the module's number
        self.calls_by_task: dict[int, SetupCall] = {}  # by the platform's id
        self.running_by_host: dict[str, dict[int, SetupCall]] = {}  # host -> id -> call
        self.ended_tasks = EndedTasks()
        self.probed_host_by_token: dict[int, str] = {}  # token -> host
        self.probe_count = 0
        self.list_machines: Callable[[], tuple[api.Machine, ...]] = tuple
        self.notify_host_occupied: Callable[[str], None] = lambda host: (
            None
        )  # told of a host's first, and of its last
        self.invalid_setups = self.accepted_calls = self.late_answers = 0
        self.failed_attempts_by_outcome: dict[api.Outcome, int] = {}  # attempts that came to nothing

    @property
    def open_calls(self) -> int:
        """Calls that an answer is owed to."""
        return sum(call.state is not SetupState.RUNNING for call in self.calls.values())

    # ---- the module ----

    def _act(self, action: api.Action) -> None:
        self.actors[type(action)](self, action)

    def _bind(self, action: api.Bind) -> None:
        call, now = self.calls[action.call_id], self.ports.now()
        attempt = SetupAttempt(call, call.attempt_count, action.machine, now, now + action.timeout_ms)
        call.attempt_count, call.attempt, call.state = call.attempt_count + 1, attempt, SetupState.DISPATCHED
        attempt.timer = self.ports.call_in(action.timeout_ms, lambda: self._timed_out(attempt))
        self.ports.send_attempt(attempt)

    def _timed_out(self, attempt: SetupAttempt, looked: bool = False) -> None:
        if not attempt.is_dispatched:
            return
        if not looked and self.ports.has_unread_data(attempt):
            # After a standstill its answer may lie there: what was out in time is no time-out.
            attempt.timer = self.ports.call_in(0.0, lambda: self._timed_out(attempt, looked=True))
            return
        self._back(attempt, OUTCOME_BY_DELIVERY[self.ports.cancel_attempt(attempt)])

    def _refuse(self, action: api.Reject) -> None:
        stay = {m.RETRY_AFTER: b"%d" % round(action.retry_after_ms)} if action.retry_after_ms >= 1.0 else {}
        self._answer(self.calls[action.call_id], m.NO_CAPACITY, stay)

    def _fail(self, action: api.Fail) -> None:
        self._answer(self.calls[action.call_id], m.TEMPORARY_FAILURE, {})

    def _answer(self, call: SetupCall, cause: int, more: dict[int, bytes]) -> None:
        """The final answer that is no placing. Nothing is kept of the call."""
        data = m.encode_with_cause(m.RELEASE, call.setup.task, cause, more)
        self._forget(call)
        self.ports.send_to_client(call.client, data, owed=False)

    def _move(self, action: api.Migrate) -> None:
        call = self.calls[action.call_id]
        if call.state is SetupState.RUNNING:
            self.ports.send_to_client(call.client, m.encode(m.MIGRATE, call.setup.task), owed=True)
            self._cut(call)

    def _probe(self, action: api.Probe) -> None:
        self.probe_count += 1
        token = self.probe_count
        self.probed_host_by_token[token] = action.machine
        if self.ports.send_probe(action.machine, token):
            self.ports.call_in(
                self.probe_timeout_ms, lambda: self._tested(token, api.Outcome.TIMED_OUT, None)
            )
        else:
            self.ports.call_in(0.0, lambda: self._tested(token, api.Outcome.UNREACHABLE, None))

    def _tested(self, token: int, outcome: api.Outcome, report: api.LoadReport | None) -> None:
        host = self.probed_host_by_token.pop(token, None)
        if host is not None:
            self.dispatcher.tell(api.ProbeEnded(host, outcome, report))

    def _set_timer(self, action: api.SetTimer) -> None:
        self.ports.call_in(action.delay_ms, lambda: self.dispatcher.tell(api.TimerFired(action.token)))

    def _watch(self, _: api.WatchMachineList) -> None:
        # The sockets hold a channel at all times: what it told is what there is.
        self.dispatcher.tell(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, self.list_machines()))

    def _log(self, action: api.LogMessage) -> None:
        self.ports.log(action.text)

    actors: dict[type, Callable[[Exchange, Any], None]] = {
        api.Bind: _bind,
        api.Reject: _refuse,
        api.Fail: _fail,
        api.Migrate: _move,
        api.Probe: _probe,
        api.SetTimer: _set_timer,
        api.WatchMachineList: _watch,
        api.LogMessage: _log,
    }

    # ---- what ends an attempt ----

    def _back(
        self,
        attempt: SetupAttempt,
        outcome: api.Outcome,
        why: api.OutcomeReason = api.OutcomeReason.UNSPECIFIED,
        report: api.LoadReport | None = None,
        left: bool = False,
    ) -> None:
        """The one end of every attempt, with the evidence as the module's outcome."""
        call, now = attempt.call, self.ports.now()
        if attempt.timer is not None:
            attempt.timer.cancel()
        stood = call.state is SetupState.RUNNING
        call.state, call.attempt = SetupState.ACCEPTED, None
        over = stood or left
        if over:
            self._forget(call, attempt.host)
        if stood and outcome is not api.Outcome.STOPPED:
            cause = m.NORMAL_CLEARING if outcome is api.Outcome.COMPLETED else m.TEMPORARY_FAILURE
            self.ports.send_to_client(
                call.client, m.encode_with_cause(m.RELEASE, call.setup.task, cause), owed=True
            )
        spent = max(0.0, now - attempt.began_ms)
        if outcome not in NOT_EXECUTED_OUTCOMES and call.first_execution_ms is None:
            call.first_execution_ms = attempt.began_ms
        if not stood:
            self.failed_attempts_by_outcome[outcome] = self.failed_attempts_by_outcome.get(outcome, 0) + 1
            if outcome is not api.Outcome.REJECTED and not left:
                self.ports.log(
                    f"host {attempt.host}: attempt {attempt.number} {outcome.value} after {spent:.0f} ms"
                )
        told = api.AttemptEnded(call.call_id, attempt.number, attempt.host, outcome, spent, over, why, report)
        self.dispatcher.tell(*([api.CallAbandoned(call.call_id)] if left else []), told)

    def _forget(self, call: SetupCall, host: str = "") -> None:
        self.calls.pop(call.call_id, None)
        self.calls_by_task.pop(call.setup.task, None)
        call.client.open.discard(call.setup.task)
        there = self.running_by_host.get(host)
        if there is not None:
            there.pop(call.setup.task, None)
            if not there:
                del self.running_by_host[host]
                self.notify_host_occupied(host)

    def _stands(self, call: SetupCall, host: str) -> None:
        call.state, call.running_since_ms = SetupState.RUNNING, self.ports.now()
        call.client.open.discard(call.setup.task)
        self.ports.mark_client_proven(call.client)
        there = self.running_by_host.setdefault(host, {})
        there[call.setup.task] = call
        if len(there) == 1:
            self.notify_host_occupied(host)

    def _cut(self, call: SetupCall) -> None:
        """Ends a standing task of ours at its host: moved, or released by its owner."""
        attempt = call.attempt
        assert attempt is not None
        self.ports.release_task(attempt.host, call.setup.task)
        self._back(attempt, api.Outcome.STOPPED)

    def record_delivery_failure(self, attempt: SetupAttempt, fact: DeliveryOutcome) -> None:
        """A link's word on an attempt that is out; of one that is back already it changes nothing."""
        if attempt.is_dispatched:
            self._back(attempt, OUTCOME_BY_DELIVERY[fact], left=fact is DeliveryOutcome.CLIENT_DISCONNECTED)

    def find_hold_reason(self, attempt: SetupAttempt, serves: bool, cold: bool) -> DeliveryOutcome | None:
        """Asked by a link at the last instant before its first byte leaves: why it may not, or None."""
        call, now = attempt.call, self.ports.now()
        seen = AttemptEvidence(
            self.ports.is_client_waiting(call.client, call.setup.task, exact=True),
            serves,
            now < attempt.deadline_ms,
            is_duplicate_safe(call.setup.task_class, call.first_execution_ms, now, self.settings.tick_ms),
            is_turn_current(cold, now - attempt.began_ms, self.settings.warm_up_window_ms),
        )
        return find_hold_reason(seen)

    def end_tasks_of_host(self, host: str, before: float = math.inf) -> int:
        """The host's process is known to have ended: what came to stand there `before` is over."""
        ended = [
            call for call in self.running_by_host.get(host, {}).values() if call.running_since_ms < before
        ]
        for call in ended:
            if call.attempt is not None:
                self._back(call.attempt, api.Outcome.LOST)
        return len(ended)

    # ---- hosts ----

    def receive_host_message(self, host: str, link: Any, message: m.PlatformMessage) -> None:
        """A whole message of a host; PeerError if it can't be read, before anything is changed."""
        if message.kind == m.PROBE_RESULT:
            outcome = api.Outcome.COMPLETED if message.cause == 1 else api.Outcome.ERROR
            report = value_mapping.parse_load_report(message)
            if self.probed_host_by_token.get(message.task) == host:
                self._tested(message.task, outcome, report)
            return
        attempt = self._attempt(message.task, host)
        awaited = attempt is not None and attempt.is_dispatched and attempt.connection is link
        if message.kind == m.ANSWER:
            if m.DESCRIPTION not in message.parameters:
                raise m.RemoteProtocolError("an answer without a description")
            if attempt is not None and awaited:
                self._accepted(attempt, message)
            else:
                self.late_answers += (
                    1  # after its time, a second time, or of nothing: the page says it means nothing
                )
        elif message.kind == m.RELEASE:
            cause, why, report = (
                message.cause,
                value_mapping.parse_outcome_reason(message),
                value_mapping.parse_load_report(message),
            )
            if attempt is not None and attempt.call.state is SetupState.RUNNING:
                self.ended_tasks.record(message.task, host, cause, True, self.ports.now())
                self._back(attempt, OUTCOME_BY_CAUSE_AFTER_ANSWER.get(cause, api.Outcome.LOST), why, report)
            elif attempt is not None and awaited:
                self._back(attempt, OUTCOME_BY_CAUSE_BEFORE_ANSWER.get(cause, api.Outcome.LOST), why, report)
            elif message.task not in self.calls_by_task:
                self.ended_tasks.record(message.task, host, cause, False, self.ports.now())
        elif message.kind == m.OBSERVATION:
            self._note(attempt, message)

    def _attempt(self, task: int, host: str) -> SetupAttempt | None:
        """Ours at that host under the platform's id, out or standing."""
        call = self.calls_by_task.get(task)
        attempt = call.attempt if call is not None else None
        return attempt if attempt is not None and attempt.host == host else None

    def _accepted(self, attempt: SetupAttempt, message: m.PlatformMessage) -> None:
        call = attempt.call
        if not self.ports.is_client_waiting(call.client, call.setup.task, exact=False):
            # Its client left before it could be told: nobody would ever end it.
            self.ports.release_task(attempt.host, call.setup.task)
            self._back(attempt, api.Outcome.STOPPED, left=True)
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        self._stands(call, attempt.host)
        description = {m.DESCRIPTION: message.parameters[m.DESCRIPTION]}
        self.ports.send_to_client(call.client, m.encode(m.ANSWER, call.setup.task, description), owed=False)
        spent = max(0.0, self.ports.now() - attempt.began_ms)
        self.dispatcher.tell(api.AttemptAccepted(call.call_id, attempt.number, attempt.host, spent))

    def _note(self, attempt: SetupAttempt | None, message: m.PlatformMessage) -> None:
        topic, value = message.text(m.TOPIC), m.parse_number(message.text(m.VALUE) or "0")
        if attempt is not None and attempt.call.state is SetupState.RUNNING and topic in OBSERVATION_BY_TOPIC:
            self.dispatcher.tell(
                api.TaskObserved(attempt.call.call_id, attempt.host, OBSERVATION_BY_TOPIC[topic], value)
            )

    # ---- owners ----

    def receive_setup(
        self, owner: ClientPort, message: m.PlatformMessage, waited_ms: float, late: bool = False
    ) -> bool:
        """A set-up that waited so long in our socket and loop; whether it could be used. `late`: we end.

        PeerError: it can't even be answered."""
        task = message.task
        known = self.calls_by_task.get(task)
        if known is not None and known.client is owner and known.state is not SetupState.RUNNING:
            # An answer under this number would be taken for the first one's, which is still owed.
            raise m.RemoteProtocolError("a second set-up under the number of an open one")
        try:
            setup = self.parser.parse(message)
        except SetupError as error:
            return self._unusable(owner, task, str(error))
        if setup.current_host is not None:
            self._adopt(owner, setup)
        elif known is not None:
            return self._unusable(owner, task, "the number of another open set-up")
        elif late:
            self._turn_away(owner, task, m.NO_CAPACITY, "it came after the end had begun")
        elif setup.wait_ms - waited_ms <= 0.0:
            self._turn_away(owner, task, m.TIMER_EXPIRED, "it came after its time")
        else:
            self._take(owner, setup, setup.wait_ms - waited_ms)
        return True

    def _unusable(self, owner: ClientPort, task: int, why: str) -> bool:
        self.invalid_setups += 1
        self._turn_away(owner, task, m.INVALID_CONTENTS, why)
        return False

    def _turn_away(self, owner: ClientPort, task: int, cause: int, why: str) -> None:
        self.ports.log(f"turned away: {why}")
        self.ports.send_to_client(owner, m.encode_with_cause(m.RELEASE, task, cause), owed=False)

    def _new(self, owner: ClientPort, setup: SetupRequest) -> SetupCall:
        self.accepted_calls += 1  # the module's numbers count with it
        call = SetupCall(self.accepted_calls, setup, owner)
        self.calls[call.call_id] = self.calls_by_task[setup.task] = call
        return call

    def _asked(self, call: SetupCall, left_ms: float) -> api.PlacementRequested:
        s = call.setup
        return api.PlacementRequested(
            call.call_id,
            s.task_class.name,
            s.service,
            s.cores,
            s.memory,
            left_ms,
            s.tenant,
            None,
            s.current_host,
            s.is_retry,
        )

    def _take(self, owner: ClientPort, setup: SetupRequest, left_ms: float) -> None:
        if not self.ports.is_client_waiting(owner, setup.task, exact=False):
            return  # its cancel or its client's end came while it lay unread: nothing is owed
        owner.open.add(setup.task)
        self.dispatcher.tell(self._asked(self._new(owner, setup), left_ms))

    def _adopt(self, owner: ClientPort, setup: SetupRequest) -> None:
        """A task that runs already. One that we hold is named again at every start, and changes nothing."""
        if setup.task in self.calls_by_task or setup.current_host is None:
            return
        now = self.ports.now()
        ended = self.ended_tasks.claim(setup.task, setup.current_host, now)
        if ended is not None:
            if not ended[1]:
                cause = m.NORMAL_CLEARING if ended[0] == m.NORMAL_CLEARING else m.TEMPORARY_FAILURE
                self.ports.send_to_client(owner, m.encode_with_cause(m.RELEASE, setup.task, cause), owed=True)
            return
        call = self._new(owner, setup)
        call.attempt_count, call.attempt = 1, SetupAttempt(call, 0, setup.current_host, now, now)
        self._stands(call, setup.current_host)
        self.dispatcher.tell(self._asked(call, 0.0))

    def receive_client_release(self, owner: ClientPort, message: m.PlatformMessage) -> None:
        """An open set-up is given up on its own connection; what stands may be ended on any."""
        call = self.calls_by_task.get(message.task)
        if call is None:
            return
        if call.state is SetupState.RUNNING:
            self.ports.send_to_client(owner, m.encode(m.RELEASE_COMPLETE, message.task), owed=False)
            self._cut(call)
        elif call.client is owner:
            self._leaves(call)

    def disconnect_client(self, owner: ClientPort) -> None:
        """The connection has ended: nobody waits for what was open on it. What stands goes on."""
        for task in list(owner.open):
            if task in self.calls_by_task:  # else the module answered it on hearing of one before
                self._leaves(self.calls_by_task[task])

    def _leaves(self, call: SetupCall) -> None:
        if call.attempt is not None and call.state is SetupState.DISPATCHED:
            fact = self.ports.cancel_attempt(call.attempt)
            sent = fact in (DeliveryOutcome.ANSWER_TIMEOUT, DeliveryOutcome.CONNECTION_LOST)
            outcome = api.Outcome.STOPPED if sent else OUTCOME_BY_DELIVERY[fact]
            self._back(call.attempt, outcome, left=True)
        else:
            self._forget(call)
            self.dispatcher.tell(api.CallAbandoned(call.call_id))

    # ---- machines ----

    def report_reachability(self, host: str, up: bool) -> None:
        """The links' word on a host that they tried by themselves."""
        self.dispatcher.tell(api.ReachabilityChanged(host, up))

    def update_machine_list(self, news: ListChange) -> None:
        kind = api.ListUpdateKind.SNAPSHOT if news.is_snapshot else api.ListUpdateKind.DELTA
        self.dispatcher.tell(api.MachineListUpdated(kind, tuple(host.machine for host in news.hosts)))

"""Owners' and hosts' messages, the module between them: calls, attempts and tasks that stand.

Imports messages, set-ups, `allocator.contract` and the interface. `glencleat/platform_server/`
tells what passed on its
links and does what Ports says; time is an argument. The only place of the live path that knows the module.

  state      begins with           ends with
  PENDING    a set-up              Bind -> IN_FLIGHT; Refuse, Fail: answered -> over; the owner leaves -> over
  IN_FLIGHT  the module's Bind     an answer -> PLACED; every other end of the attempt -> PENDING, or over
  PLACED     a host's answer, `at` the host's release, the owner's, a move, the host lost -> over

What is over is forgotten at once: a word that comes later finds nothing and changes nothing."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

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
from glencleat.platform_protocol.setup_requests import SetupError, SetupReader, SetupRequest
from glencleat.platform_protocol.value_mapping import (
    OBSERVATION_KINDS,
    OUTCOMES_AFTER_PLACEMENT,
    OUTCOMES_BEFORE_PLACEMENT,
)


class SetupState(Enum):
    PENDING = "taken"
    IN_FLIGHT = "out"
    PLACED = "stands"


class ClientPort(Protocol):
    """A connection of owners, as far as the exchange knows it."""

    open_task_ids: set[int]  # ids that an answer is owed to on it


class TimerHandle(Protocol):
    def cancel(self) -> None: ...


class ExchangePorts(Protocol):
    """What the exchange asks of the sockets. None of these may call the exchange back before it returns."""

    def send_to_client(self, client: Any, data: bytes, must_deliver: bool) -> None:
        """On that connection; if it is gone, what is `must_deliver` goes by any other or by the next."""

    def is_client_waiting(self, client: Any, task: int, must_poll: bool) -> bool:
        """Whether its client waits for the answer, by all that had come on that connection when this round of
        the loop began; `must_poll`: by this instant, at the price of asking the system."""

    def mark_trusted(self, client: Any) -> None:
        """What came on that connection stands: no bad client's, so that releases may be told there."""

    def offer_attempt(self, attempt: SetupAttempt) -> None:
        """Sends `attempt.encode_setup(now)` to its host, and tells of a failure by `on_attempt_failed`,
        later."""

    def cancel_attempt(self, attempt: SetupAttempt) -> DeliveryOutcome:
        """Takes it back: the give-up is written, or its connection closed. What is known of it."""

    def has_unread_bytes(self, attempt: SetupAttempt) -> bool:
        """Whether something came on the connection that it went by and has not been read."""

    def release_task(self, host: str, task: int) -> None:
        """Releases a standing task at its host, at once or as soon as the host can be reached."""

    def request_load_report(self, host: str, token: int) -> bool:
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
    state: SetupState = SetupState.PENDING
    attempt_count: int = 0
    attempt: SetupAttempt | None = None
    placed_at_ms: float = 0.0  # when it came to stand
    first_uncertain_at_ms: float | None = (
        None  # the earliest moment at which an attempt that may have run could be there
    )


@dataclass(slots=True, eq=False)
class SetupAttempt:
    """One Bind. `connection` is the sockets' own."""

    call: SetupCall
    number: int
    host: str
    bound_at_ms: float
    deadline_at_ms: float
    timer: TimerHandle | None = None
    connection: Any = field(default=None, repr=False)

    @property
    def is_in_flight(self) -> bool:
        """It waits for the host's answer."""
        return self.call.attempt is self and self.call.state is SetupState.IN_FLIGHT

    def encode_setup(self, now: float) -> bytes:
        setup = self.call.setup
        wait = max(1, round(self.deadline_at_ms - now))
        parameters = {m.CLASS: setup.task_class.name.encode(), m.TIMEOUT: b"%d" % wait, m.NAME: setup.name}
        if setup.key is not None:
            parameters[m.KEY] = setup.key
        parameters[m.DESCRIPTION] = setup.description
        return m.encode(m.SETUP, setup.task_id, parameters)


class Exchange:
    """One allocator's calls. `list_machines` is set by whoever joins the parts."""

    def __init__(
        self, settings: api.Settings, module: DecisionModule, ports: ExchangePorts, probe_timeout_ms: float
    ) -> None:
        self.ports, self.probe_timeout_ms, self.settings = ports, probe_timeout_ms, settings
        self.contract = ContractChecker(module)
        self.event_dispatcher = EventDispatcher(self.contract, ports.now, self._act)
        self.setup_reader = SetupReader(settings)
        self.calls_by_id: dict[int, SetupCall] = {}  # by the module's number
        self.calls_by_task_id: dict[int, SetupCall] = {}  # by the platform's id
        self.placed_calls_by_host: dict[str, dict[int, SetupCall]] = {}  # host -> id -> call
        self.ended_tasks = EndedTasks()
        self.hosts_by_probe_token: dict[int, str] = {}  # token -> host
        self.last_probe_token = 0
        self.list_machines: Callable[[], tuple[api.Machine, ...]] = tuple
        self.on_placed_changed: Callable[[str], None] = lambda host: (
            None
        )  # told of a host's first, and of its last
        self.invalid_setup_count = self.call_count = self.late_answer_count = 0
        self.failed_attempts_by_outcome: dict[api.Outcome, int] = {}  # attempts that came to nothing

    @property
    def open_call_count(self) -> int:
        """Calls that an answer is owed to."""
        return sum(call.state is not SetupState.PLACED for call in self.calls_by_id.values())

    # ---- the module ----

    def _act(self, action: api.Action) -> None:
        self.action_handlers[type(action)](self, action)

    def _bind(self, action: api.Bind) -> None:
        call, now = self.calls_by_id[action.call_id], self.ports.now()
        attempt = SetupAttempt(call, call.attempt_count, action.machine, now, now + action.timeout_ms)
        call.attempt_count, call.attempt, call.state = call.attempt_count + 1, attempt, SetupState.IN_FLIGHT
        attempt.timer = self.ports.call_in(action.timeout_ms, lambda: self._timed_out(attempt))
        self.ports.offer_attempt(attempt)

    def _timed_out(self, attempt: SetupAttempt, looked: bool = False) -> None:
        if not attempt.is_in_flight:
            return
        if not looked and self.ports.has_unread_bytes(attempt):
            # After a standstill its answer may lie there: what was out in time is no time-out.
            attempt.timer = self.ports.call_in(0.0, lambda: self._timed_out(attempt, looked=True))
            return
        self._back(attempt, OUTCOMES_BY_DELIVERY[self.ports.cancel_attempt(attempt)])

    def _refuse(self, action: api.Reject) -> None:
        stay = {m.RETRY_AFTER: b"%d" % round(action.retry_after_ms)} if action.retry_after_ms >= 1.0 else {}
        self._answer(self.calls_by_id[action.call_id], m.REJECTED, stay)

    def _fail(self, action: api.Fail) -> None:
        self._answer(self.calls_by_id[action.call_id], m.FAILED, {})

    def _answer(self, call: SetupCall, cause: int, more: dict[int, bytes]) -> None:
        """The final answer that is no placing. Nothing is kept of the call."""
        data = m.encode_with_cause(m.RELEASE, call.setup.task_id, cause, more)
        self._forget(call)
        self.ports.send_to_client(call.client, data, must_deliver=False)

    def _move(self, action: api.Migrate) -> None:
        call = self.calls_by_id[action.call_id]
        if call.state is SetupState.PLACED:
            self.ports.send_to_client(call.client, m.encode(m.MIGRATE, call.setup.task_id), must_deliver=True)
            self._cut(call)

    def _probe(self, action: api.Probe) -> None:
        self.last_probe_token += 1
        token = self.last_probe_token
        self.hosts_by_probe_token[token] = action.machine
        if self.ports.request_load_report(action.machine, token):
            self.ports.call_in(
                self.probe_timeout_ms, lambda: self._tested(token, api.Outcome.TIMED_OUT, None)
            )
        else:
            self.ports.call_in(0.0, lambda: self._tested(token, api.Outcome.UNREACHABLE, None))

    def _tested(self, token: int, outcome: api.Outcome, report: api.LoadReport | None) -> None:
        host = self.hosts_by_probe_token.pop(token, None)
        if host is not None:
            self.event_dispatcher.dispatch_event(api.ProbeEnded(host, outcome, report))

    def _set_timer(self, action: api.SetTimer) -> None:
        self.ports.call_in(
            action.delay_ms, lambda: self.event_dispatcher.dispatch_event(api.TimerFired(action.token))
        )

    def _watch(self, _: api.WatchMachineList) -> None:
        # The sockets hold a channel at all times: what it told is what there is.
        self.event_dispatcher.dispatch_event(
            api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, self.list_machines())
        )

    def _log(self, action: api.LogMessage) -> None:
        self.ports.log(action.text)

    action_handlers: dict[type, Callable[[Exchange, Any], None]] = {
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
        stood = call.state is SetupState.PLACED
        call.state, call.attempt = SetupState.PENDING, None
        over = stood or left
        if over:
            self._forget(call, attempt.host)
        if stood and outcome is not api.Outcome.STOPPED:
            cause = m.ENDED if outcome is api.Outcome.COMPLETED else m.FAILED
            self.ports.send_to_client(
                call.client, m.encode_with_cause(m.RELEASE, call.setup.task_id, cause), must_deliver=True
            )
        spent = max(0.0, now - attempt.bound_at_ms)
        if outcome not in NEVER_RAN and call.first_uncertain_at_ms is None:
            call.first_uncertain_at_ms = attempt.bound_at_ms
        if not stood:
            self.failed_attempts_by_outcome[outcome] = self.failed_attempts_by_outcome.get(outcome, 0) + 1
            if outcome is not api.Outcome.REJECTED and not left:
                self.ports.log(
                    f"host {attempt.host}: attempt {attempt.number} {outcome.value} after {spent:.0f} ms"
                )
        told = api.AttemptEnded(call.call_id, attempt.number, attempt.host, outcome, spent, over, why, report)
        self.event_dispatcher.dispatch_event(*([api.CallAbandoned(call.call_id)] if left else []), told)

    def _forget(self, call: SetupCall, host: str = "") -> None:
        self.calls_by_id.pop(call.call_id, None)
        self.calls_by_task_id.pop(call.setup.task_id, None)
        call.client.open_task_ids.discard(call.setup.task_id)
        there = self.placed_calls_by_host.get(host)
        if there is not None:
            there.pop(call.setup.task_id, None)
            if not there:
                del self.placed_calls_by_host[host]
                self.on_placed_changed(host)

    def _stands(self, call: SetupCall, host: str) -> None:
        call.state, call.placed_at_ms = SetupState.PLACED, self.ports.now()
        call.client.open_task_ids.discard(call.setup.task_id)
        self.ports.mark_trusted(call.client)
        there = self.placed_calls_by_host.setdefault(host, {})
        there[call.setup.task_id] = call
        if len(there) == 1:
            self.on_placed_changed(host)

    def _cut(self, call: SetupCall) -> None:
        """Ends a standing task of ours at its host: moved, or released by its owner."""
        attempt = call.attempt
        assert attempt is not None
        self.ports.release_task(attempt.host, call.setup.task_id)
        self._back(attempt, api.Outcome.STOPPED)

    def on_attempt_failed(self, attempt: SetupAttempt, fact: DeliveryOutcome) -> None:
        """A link's word on an attempt that is out; of one that is back already it changes nothing."""
        if attempt.is_in_flight:
            self._back(attempt, OUTCOMES_BY_DELIVERY[fact], left=fact is DeliveryOutcome.CLIENT_GONE)

    def check_send(self, attempt: SetupAttempt, serves: bool, cold: bool) -> DeliveryOutcome | None:
        """Asked by a link at the last instant before its first byte leaves: why it may not, or None."""
        call, now = attempt.call, self.ports.now()
        seen = AttemptEvidence(
            self.ports.is_client_waiting(call.client, call.setup.task_id, must_poll=True),
            serves,
            now < attempt.deadline_at_ms,
            is_harmless_to_send(
                call.setup.task_class, call.first_uncertain_at_ms, now, self.settings.tick_ms
            ),
            is_turn_valid(cold, now - attempt.bound_at_ms, self.settings.warm_up_window_ms),
        )
        return check_send(seen)

    def declare_tasks_lost(self, host: str, before_ms: float = math.inf) -> int:
        """The host's process is known to have ended: what came to stand there `before_ms` is over."""
        ended = [
            call for call in self.placed_calls_by_host.get(host, {}).values() if call.placed_at_ms < before_ms
        ]
        for call in ended:
            if call.attempt is not None:
                self._back(call.attempt, api.Outcome.LOST)
        return len(ended)

    # ---- hosts ----

    def on_host_message(self, host: str, link: Any, message: m.PlatformMessage) -> None:
        """A whole message of a host; ProtocolError if it can't be read, before anything is changed."""
        if message.kind == m.PROBE_ANSWER:
            outcome = api.Outcome.COMPLETED if message.cause == 1 else api.Outcome.ERROR
            report = value_mapping.read_load_report(message)
            if self.hosts_by_probe_token.get(message.task_id) == host:
                self._tested(message.task_id, outcome, report)
            return
        attempt = self._attempt(message.task_id, host)
        awaited = attempt is not None and attempt.is_in_flight and attempt.connection is link
        if message.kind == m.ANSWER:
            if m.DESCRIPTION not in message.parameters:
                raise m.ProtocolError("an answer without a description")
            if attempt is not None and awaited:
                self._accepted(attempt, message)
            else:
                self.late_answer_count += (
                    1  # after its time, a second time, or of nothing: the page says it means nothing
                )
        elif message.kind == m.RELEASE:
            cause, why, report = (
                message.cause,
                value_mapping.read_reason(message),
                value_mapping.read_load_report(message),
            )
            if attempt is not None and attempt.call.state is SetupState.PLACED:
                self.ended_tasks.record_end(message.task_id, host, cause, True, self.ports.now())
                self._back(attempt, OUTCOMES_AFTER_PLACEMENT.get(cause, api.Outcome.LOST), why, report)
            elif attempt is not None and awaited:
                self._back(attempt, OUTCOMES_BEFORE_PLACEMENT.get(cause, api.Outcome.LOST), why, report)
            elif message.task_id not in self.calls_by_task_id:
                self.ended_tasks.record_end(message.task_id, host, cause, False, self.ports.now())
        elif message.kind == m.OBSERVATION:
            self._note(attempt, message)

    def _attempt(self, task: int, host: str) -> SetupAttempt | None:
        """Ours at that host under the platform's id, out or standing."""
        call = self.calls_by_task_id.get(task)
        attempt = call.attempt if call is not None else None
        return attempt if attempt is not None and attempt.host == host else None

    def _accepted(self, attempt: SetupAttempt, message: m.PlatformMessage) -> None:
        call = attempt.call
        if not self.ports.is_client_waiting(call.client, call.setup.task_id, must_poll=False):
            # Its client left before it could be told: nobody would ever end it.
            self.ports.release_task(attempt.host, call.setup.task_id)
            self._back(attempt, api.Outcome.STOPPED, left=True)
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        self._stands(call, attempt.host)
        description = {m.DESCRIPTION: message.parameters[m.DESCRIPTION]}
        self.ports.send_to_client(
            call.client, m.encode(m.ANSWER, call.setup.task_id, description), must_deliver=False
        )
        spent = max(0.0, self.ports.now() - attempt.bound_at_ms)
        self.event_dispatcher.dispatch_event(
            api.AttemptAccepted(call.call_id, attempt.number, attempt.host, spent)
        )

    def _note(self, attempt: SetupAttempt | None, message: m.PlatformMessage) -> None:
        topic, value = message.get_text(m.TOPIC), m.parse_number(message.get_text(m.VALUE) or "0")
        if attempt is not None and attempt.call.state is SetupState.PLACED and topic in OBSERVATION_KINDS:
            self.event_dispatcher.dispatch_event(
                api.TaskObserved(attempt.call.call_id, attempt.host, OBSERVATION_KINDS[topic], value)
            )

    # ---- owners ----

    def on_client_setup(
        self, owner: ClientPort, message: m.PlatformMessage, waited_ms: float, late: bool = False
    ) -> bool:
        """A set-up that waited so long in our socket and loop; whether it could be used. `late`: we end.

        ProtocolError: it can't even be answered."""
        task = message.task_id
        known = self.calls_by_task_id.get(task)
        if known is not None and known.client is owner and known.state is not SetupState.PLACED:
            # An answer under this number would be taken for the first one's, which is still owed.
            raise m.ProtocolError("a second set-up under the number of an open one")
        try:
            setup = self.setup_reader.read(message)
        except SetupError as error:
            return self._unusable(owner, task, str(error))
        if setup.machine is not None:
            self._adopt(owner, setup)
        elif known is not None:
            return self._unusable(owner, task, "the number of another open set-up")
        elif late:
            self._turn_away(owner, task, m.REJECTED, "it came after the end had begun")
        elif setup.timeout_ms - waited_ms <= 0.0:
            self._turn_away(owner, task, m.EXPIRED, "it came after its time")
        else:
            self._take(owner, setup, setup.timeout_ms - waited_ms)
        return True

    def _unusable(self, owner: ClientPort, task: int, why: str) -> bool:
        self.invalid_setup_count += 1
        self._turn_away(owner, task, m.INVALID_CONTENTS, why)
        return False

    def _turn_away(self, owner: ClientPort, task: int, cause: int, why: str) -> None:
        self.ports.log(f"turned away: {why}")
        self.ports.send_to_client(owner, m.encode_with_cause(m.RELEASE, task, cause), must_deliver=False)

    def _new(self, owner: ClientPort, setup: SetupRequest) -> SetupCall:
        self.call_count += 1  # the module's numbers count with it
        call = SetupCall(self.call_count, setup, owner)
        self.calls_by_id[call.call_id] = self.calls_by_task_id[setup.task_id] = call
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
            s.machine,
            s.is_retry,
        )

    def _take(self, owner: ClientPort, setup: SetupRequest, left_ms: float) -> None:
        if not self.ports.is_client_waiting(owner, setup.task_id, must_poll=False):
            return  # its cancel or its client's end came while it lay unread: nothing is owed
        owner.open_task_ids.add(setup.task_id)
        self.event_dispatcher.dispatch_event(self._asked(self._new(owner, setup), left_ms))

    def _adopt(self, owner: ClientPort, setup: SetupRequest) -> None:
        """A task that runs already. One that we hold is named again at every start, and changes nothing."""
        if setup.task_id in self.calls_by_task_id or setup.machine is None:
            return
        now = self.ports.now()
        ended = self.ended_tasks.claim(setup.task_id, setup.machine, now)
        if ended is not None:
            if not ended[1]:
                cause = m.ENDED if ended[0] == m.ENDED else m.FAILED
                self.ports.send_to_client(
                    owner, m.encode_with_cause(m.RELEASE, setup.task_id, cause), must_deliver=True
                )
            return
        call = self._new(owner, setup)
        call.attempt_count, call.attempt = 1, SetupAttempt(call, 0, setup.machine, now, now)
        self._stands(call, setup.machine)
        self.event_dispatcher.dispatch_event(self._asked(call, 0.0))

    def on_client_release(self, owner: ClientPort, message: m.PlatformMessage) -> None:
        """An open set-up is given up on its own connection; what stands may be ended on any."""
        call = self.calls_by_task_id.get(message.task_id)
        if call is None:
            return
        if call.state is SetupState.PLACED:
            self.ports.send_to_client(
                owner, m.encode(m.RELEASE_COMPLETE, message.task_id), must_deliver=False
            )
            self._cut(call)
        elif call.client is owner:
            self._leaves(call)

    def on_client_gone(self, owner: ClientPort) -> None:
        """The connection has ended: nobody waits for what was open on it. What stands goes on."""
        for task in list(owner.open_task_ids):
            if task in self.calls_by_task_id:  # else the module answered it on hearing of one before
                self._leaves(self.calls_by_task_id[task])

    def _leaves(self, call: SetupCall) -> None:
        if call.attempt is not None and call.state is SetupState.IN_FLIGHT:
            fact = self.ports.cancel_attempt(call.attempt)
            sent = fact in (DeliveryOutcome.ANSWER_TIMEOUT, DeliveryOutcome.CONNECTION_LOST)
            outcome = api.Outcome.STOPPED if sent else OUTCOMES_BY_DELIVERY[fact]
            self._back(call.attempt, outcome, left=True)
        else:
            self._forget(call)
            self.event_dispatcher.dispatch_event(api.CallAbandoned(call.call_id))

    # ---- machines ----

    def on_reachability_changed(self, host: str, is_reachable: bool) -> None:
        """The links' word on a host that they tried by themselves."""
        self.event_dispatcher.dispatch_event(api.ReachabilityChanged(host, is_reachable))

    def apply_list_change(self, news: ListChange) -> None:
        kind = api.ListUpdateKind.SNAPSHOT if news.is_snapshot else api.ListUpdateKind.DELTA
        self.event_dispatcher.dispatch_event(
            api.MachineListUpdated(kind, tuple(host.machine for host in news.hosts))
        )

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
from glencleat.allocator.contract import Contract, PolicyPort
from glencleat.allocator.event_dispatcher import EventDispatcher
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol import value_mapping
from glencleat.platform_protocol.command_channel import ListChange
from glencleat.platform_protocol.delivery import (
    NEVER_RAN,
    OUTCOMES,
    AttemptEvidence,
    DeliveryOutcome,
    harmless,
    held_back,
    turn_holds,
)
from glencleat.platform_protocol.ended_tasks import EndedTasks
from glencleat.platform_protocol.setup_requests import SetupError, SetupReader, SetupRequest
from glencleat.platform_protocol.value_mapping import AFTER, BEFORE, TOPICS


class SetupState(Enum):
    TAKEN = "taken"
    OUT = "out"
    STANDS = "stands"


class ClientPort(Protocol):
    """A connection of owners, as far as the exchange knows it."""

    open: set[int]  # ids that an answer is owed to on it


class TimerHandle(Protocol):
    def cancel(self) -> None: ...


class ExchangePorts(Protocol):
    """What the exchange asks of the sockets. None of these may call the exchange back before it returns."""

    def to_owner(self, owner: Any, data: bytes, owed: bool) -> None:
        """On that connection; if it is gone, what is `owed` goes by any other or by the next."""

    def waits(self, owner: Any, task: int, exact: bool) -> bool:
        """Whether its client waits for the answer, by all that had come on that connection when this round of
        the loop began; `exact`: by this instant, at the price of asking the system."""

    def proves(self, owner: Any) -> None:
        """What came on that connection stands: no bad client's, so that releases may be told there."""

    def offer(self, attempt: SetupAttempt) -> None:
        """Sends `attempt.setup_message(now)` to its host, and tells of a failure by `failed`, later."""

    def cancel(self, attempt: SetupAttempt) -> DeliveryOutcome:
        """Takes it back: the give-up is written, or its connection closed. What is known of it."""

    def unread(self, attempt: SetupAttempt) -> bool:
        """Whether something came on the connection that it went by and has not been read."""

    def cut(self, host: str, task: int) -> None:
        """Releases a standing task at its host, at once or as soon as the host can be reached."""

    def test(self, host: str, token: int) -> bool:
        """Asks the host for its report; False if there is no way to."""

    def call_in(self, in_ms: float, call: Callable[[], None]) -> TimerHandle: ...
    def now(self) -> float: ...
    def log(self, text: str) -> None: ...


@dataclass(slots=True, eq=False)
class SetupCall:
    """A task from its set-up until it is over."""

    number: int
    setup: SetupRequest
    owner: ClientPort
    state: SetupState = SetupState.TAKEN
    attempts: int = 0
    attempt: SetupAttempt | None = None
    since: float = 0.0  # when it came to stand
    may_run: float | None = None  # the earliest moment at which an attempt that may have run could be there


@dataclass(slots=True, eq=False)
class SetupAttempt:
    """One Bind. `link` is the sockets' own."""

    call: SetupCall
    number: int
    host: str
    began: float
    until: float
    timer: TimerHandle | None = None
    link: Any = field(default=None, repr=False)

    @property
    def out(self) -> bool:
        """It waits for the host's answer."""
        return self.call.attempt is self and self.call.state is SetupState.OUT

    def setup_message(self, now: float) -> bytes:
        setup = self.call.setup
        wait = max(1, round(self.until - now))
        parameters = {m.CLASS: setup.cls.name.encode(), m.WAIT: b"%d" % wait, m.NAME: setup.name}
        if setup.key is not None:
            parameters[m.KEY] = setup.key
        parameters[m.DESCRIPTION] = setup.description
        return m.encode(m.SETUP, setup.task, parameters)


class Exchange:
    """One allocator's calls. `machines` is set by whoever joins the parts."""

    def __init__(
        self, settings: api.Settings, module: PolicyPort, ports: ExchangePorts, test_ms: float
    ) -> None:
        self.ports, self.test_ms, self.settings = ports, test_ms, settings
        self.contract = Contract(module)
        self.telling = EventDispatcher(self.contract, ports.now, self._act)
        self.reader = SetupReader(settings)
        self.calls: dict[int, SetupCall] = {}  # by the module's number
        self.tasks: dict[int, SetupCall] = {}  # by the platform's id
        self.standing: dict[str, dict[int, SetupCall]] = {}  # host -> id -> call
        self.ends = EndedTasks()
        self.tests: dict[int, str] = {}  # token -> host
        self.tokens = 0
        self.machines: Callable[[], tuple[api.Machine, ...]] = tuple
        self.stands: Callable[[str], None] = lambda host: None  # told of a host's first, and of its last
        self.bad = self.taken = self.late = 0
        self.nothing: dict[api.Outcome, int] = {}  # attempts that came to nothing

    @property
    def open(self) -> int:
        """Calls that an answer is owed to."""
        return sum(call.state is not SetupState.STANDS for call in self.calls.values())

    # ---- the module ----

    def _act(self, action: api.Action) -> None:
        self.actors[type(action)](self, action)

    def _bind(self, action: api.Bind) -> None:
        call, now = self.calls[action.call_id], self.ports.now()
        attempt = SetupAttempt(call, call.attempts, action.machine, now, now + action.timeout_ms)
        call.attempts, call.attempt, call.state = call.attempts + 1, attempt, SetupState.OUT
        attempt.timer = self.ports.call_in(action.timeout_ms, lambda: self._timed_out(attempt))
        self.ports.offer(attempt)

    def _timed_out(self, attempt: SetupAttempt, looked: bool = False) -> None:
        if not attempt.out:
            return
        if not looked and self.ports.unread(attempt):
            # After a standstill its answer may lie there: what was out in time is no time-out.
            attempt.timer = self.ports.call_in(0.0, lambda: self._timed_out(attempt, looked=True))
            return
        self._back(attempt, OUTCOMES[self.ports.cancel(attempt)])

    def _refuse(self, action: api.Reject) -> None:
        stay = {m.STAY_AWAY: b"%d" % round(action.retry_after_ms)} if action.retry_after_ms >= 1.0 else {}
        self._answer(self.calls[action.call_id], m.FULL, stay)

    def _fail(self, action: api.Fail) -> None:
        self._answer(self.calls[action.call_id], m.RESET, {})

    def _answer(self, call: SetupCall, cause: int, more: dict[int, bytes]) -> None:
        """The final answer that is no placing. Nothing is kept of the call."""
        data = m.caused(m.RELEASE, call.setup.task, cause, more)
        self._forget(call)
        self.ports.to_owner(call.owner, data, owed=False)

    def _move(self, action: api.Migrate) -> None:
        call = self.calls[action.call_id]
        if call.state is SetupState.STANDS:
            self.ports.to_owner(call.owner, m.encode(m.MOVE, call.setup.task), owed=True)
            self._cut(call)

    def _probe(self, action: api.Probe) -> None:
        self.tokens += 1
        token = self.tokens
        self.tests[token] = action.machine
        if self.ports.test(action.machine, token):
            self.ports.call_in(self.test_ms, lambda: self._tested(token, api.Outcome.TIMED_OUT, None))
        else:
            self.ports.call_in(0.0, lambda: self._tested(token, api.Outcome.UNREACHABLE, None))

    def _tested(self, token: int, outcome: api.Outcome, report: api.LoadReport | None) -> None:
        host = self.tests.pop(token, None)
        if host is not None:
            self.telling.dispatch(api.ProbeEnded(host, outcome, report))

    def _set_timer(self, action: api.SetTimer) -> None:
        self.ports.call_in(action.delay_ms, lambda: self.telling.dispatch(api.TimerFired(action.token)))

    def _watch(self, _: api.WatchMachineList) -> None:
        # The sockets hold a channel at all times: what it told is what there is.
        self.telling.dispatch(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, self.machines()))

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
        stood = call.state is SetupState.STANDS
        call.state, call.attempt = SetupState.TAKEN, None
        over = stood or left
        if over:
            self._forget(call, attempt.host)
        if stood and outcome is not api.Outcome.STOPPED:
            cause = m.ENDED if outcome is api.Outcome.COMPLETED else m.RESET
            self.ports.to_owner(call.owner, m.caused(m.RELEASE, call.setup.task, cause), owed=True)
        spent = max(0.0, now - attempt.began)
        if outcome not in NEVER_RAN and call.may_run is None:
            call.may_run = attempt.began
        if not stood:
            self.nothing[outcome] = self.nothing.get(outcome, 0) + 1
            if outcome is not api.Outcome.REJECTED and not left:
                self.ports.log(
                    f"host {attempt.host}: attempt {attempt.number} {outcome.value} after {spent:.0f} ms"
                )
        told = api.AttemptEnded(call.number, attempt.number, attempt.host, outcome, spent, over, why, report)
        self.telling.dispatch(*([api.CallAbandoned(call.number)] if left else []), told)

    def _forget(self, call: SetupCall, host: str = "") -> None:
        self.calls.pop(call.number, None)
        self.tasks.pop(call.setup.task, None)
        call.owner.open.discard(call.setup.task)
        there = self.standing.get(host)
        if there is not None:
            there.pop(call.setup.task, None)
            if not there:
                del self.standing[host]
                self.stands(host)

    def _stands(self, call: SetupCall, host: str) -> None:
        call.state, call.since = SetupState.STANDS, self.ports.now()
        call.owner.open.discard(call.setup.task)
        self.ports.proves(call.owner)
        there = self.standing.setdefault(host, {})
        there[call.setup.task] = call
        if len(there) == 1:
            self.stands(host)

    def _cut(self, call: SetupCall) -> None:
        """Ends a standing task of ours at its host: moved, or released by its owner."""
        attempt = call.attempt
        assert attempt is not None
        self.ports.cut(attempt.host, call.setup.task)
        self._back(attempt, api.Outcome.STOPPED)

    def failed(self, attempt: SetupAttempt, fact: DeliveryOutcome) -> None:
        """A link's word on an attempt that is out; of one that is back already it changes nothing."""
        if attempt.out:
            self._back(attempt, OUTCOMES[fact], left=fact is DeliveryOutcome.DISCONNECTED)

    def held_back(self, attempt: SetupAttempt, serves: bool, cold: bool) -> DeliveryOutcome | None:
        """Asked by a link at the last instant before its first byte leaves: why it may not, or None."""
        call, now = attempt.call, self.ports.now()
        seen = AttemptEvidence(
            self.ports.waits(call.owner, call.setup.task, exact=True),
            serves,
            now < attempt.until,
            harmless(call.setup.cls, call.may_run, now, self.settings.tick_ms),
            turn_holds(cold, now - attempt.began, self.settings.warm_up_window_ms),
        )
        return held_back(seen)

    def host_lost(self, host: str, before: float = math.inf) -> int:
        """The host's process is known to have ended: what came to stand there `before` is over."""
        ended = [call for call in self.standing.get(host, {}).values() if call.since < before]
        for call in ended:
            if call.attempt is not None:
                self._back(call.attempt, api.Outcome.LOST)
        return len(ended)

    # ---- hosts ----

    def host_says(self, host: str, link: Any, message: m.PlatformMessage) -> None:
        """A whole message of a host; PeerError if it can't be read, before anything is changed."""
        if message.kind == m.TESTED:
            outcome = api.Outcome.COMPLETED if message.cause == 1 else api.Outcome.ERROR
            report = value_mapping.report(message)
            if self.tests.get(message.task) == host:
                self._tested(message.task, outcome, report)
            return
        attempt = self._attempt(message.task, host)
        awaited = attempt is not None and attempt.out and attempt.link is link
        if message.kind == m.ANSWER:
            if m.DESCRIPTION not in message.parameters:
                raise m.PeerError("an answer without a description")
            if attempt is not None and awaited:
                self._accepted(attempt, message)
            else:
                self.late += 1  # after its time, a second time, or of nothing: the page says it means nothing
        elif message.kind == m.RELEASE:
            cause, why, report = message.cause, value_mapping.why(message), value_mapping.report(message)
            if attempt is not None and attempt.call.state is SetupState.STANDS:
                self.ends.heard(message.task, host, cause, True, self.ports.now())
                self._back(attempt, AFTER.get(cause, api.Outcome.LOST), why, report)
            elif attempt is not None and awaited:
                self._back(attempt, BEFORE.get(cause, api.Outcome.LOST), why, report)
            elif message.task not in self.tasks:
                self.ends.heard(message.task, host, cause, False, self.ports.now())
        elif message.kind == m.NOTE:
            self._note(attempt, message)

    def _attempt(self, task: int, host: str) -> SetupAttempt | None:
        """Ours at that host under the platform's id, out or standing."""
        call = self.tasks.get(task)
        attempt = call.attempt if call is not None else None
        return attempt if attempt is not None and attempt.host == host else None

    def _accepted(self, attempt: SetupAttempt, message: m.PlatformMessage) -> None:
        call = attempt.call
        if not self.ports.waits(call.owner, call.setup.task, exact=False):
            # Its client left before it could be told: nobody would ever end it.
            self.ports.cut(attempt.host, call.setup.task)
            self._back(attempt, api.Outcome.STOPPED, left=True)
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        self._stands(call, attempt.host)
        description = {m.DESCRIPTION: message.parameters[m.DESCRIPTION]}
        self.ports.to_owner(call.owner, m.encode(m.ANSWER, call.setup.task, description), owed=False)
        spent = max(0.0, self.ports.now() - attempt.began)
        self.telling.dispatch(api.AttemptAccepted(call.number, attempt.number, attempt.host, spent))

    def _note(self, attempt: SetupAttempt | None, message: m.PlatformMessage) -> None:
        topic, value = message.text(m.TOPIC), m.figure(message.text(m.VALUE) or "0")
        if attempt is not None and attempt.call.state is SetupState.STANDS and topic in TOPICS:
            self.telling.dispatch(api.TaskObserved(attempt.call.number, attempt.host, TOPICS[topic], value))

    # ---- owners ----

    def owner_asks(
        self, owner: ClientPort, message: m.PlatformMessage, waited_ms: float, late: bool = False
    ) -> bool:
        """A set-up that waited so long in our socket and loop; whether it could be used. `late`: we end.

        PeerError: it can't even be answered."""
        task = message.task
        known = self.tasks.get(task)
        if known is not None and known.owner is owner and known.state is not SetupState.STANDS:
            # An answer under this number would be taken for the first one's, which is still owed.
            raise m.PeerError("a second set-up under the number of an open one")
        try:
            setup = self.reader.read(message)
        except SetupError as error:
            return self._unusable(owner, task, str(error))
        if setup.at is not None:
            self._adopt(owner, setup)
        elif known is not None:
            return self._unusable(owner, task, "the number of another open set-up")
        elif late:
            self._turn_away(owner, task, m.FULL, "it came after the end had begun")
        elif setup.wait_ms - waited_ms <= 0.0:
            self._turn_away(owner, task, m.MOOT, "it came after its time")
        else:
            self._take(owner, setup, setup.wait_ms - waited_ms)
        return True

    def _unusable(self, owner: ClientPort, task: int, why: str) -> bool:
        self.bad += 1
        self._turn_away(owner, task, m.NOT_TAKEN, why)
        return False

    def _turn_away(self, owner: ClientPort, task: int, cause: int, why: str) -> None:
        self.ports.log(f"turned away: {why}")
        self.ports.to_owner(owner, m.caused(m.RELEASE, task, cause), owed=False)

    def _new(self, owner: ClientPort, setup: SetupRequest) -> SetupCall:
        self.taken += 1  # the module's numbers count with it
        call = SetupCall(self.taken, setup, owner)
        self.calls[call.number] = self.tasks[setup.task] = call
        return call

    def _asked(self, call: SetupCall, left_ms: float) -> api.PlacementRequested:
        s = call.setup
        return api.PlacementRequested(
            call.number, s.cls.name, s.service, s.cores, s.memory, left_ms, s.tenant, None, s.at, s.again
        )

    def _take(self, owner: ClientPort, setup: SetupRequest, left_ms: float) -> None:
        if not self.ports.waits(owner, setup.task, exact=False):
            return  # its cancel or its client's end came while it lay unread: nothing is owed
        owner.open.add(setup.task)
        self.telling.dispatch(self._asked(self._new(owner, setup), left_ms))

    def _adopt(self, owner: ClientPort, setup: SetupRequest) -> None:
        """A task that runs already. One that we hold is named again at every start, and changes nothing."""
        if setup.task in self.tasks or setup.at is None:
            return
        now = self.ports.now()
        ended = self.ends.claim(setup.task, setup.at, now)
        if ended is not None:
            if not ended[1]:
                cause = m.ENDED if ended[0] == m.ENDED else m.RESET
                self.ports.to_owner(owner, m.caused(m.RELEASE, setup.task, cause), owed=True)
            return
        call = self._new(owner, setup)
        call.attempts, call.attempt = 1, SetupAttempt(call, 0, setup.at, now, now)
        self._stands(call, setup.at)
        self.telling.dispatch(self._asked(call, 0.0))

    def owner_releases(self, owner: ClientPort, message: m.PlatformMessage) -> None:
        """An open set-up is given up on its own connection; what stands may be ended on any."""
        call = self.tasks.get(message.task)
        if call is None:
            return
        if call.state is SetupState.STANDS:
            self.ports.to_owner(owner, m.encode(m.RELEASE_HEARD, message.task), owed=False)
            self._cut(call)
        elif call.owner is owner:
            self._leaves(call)

    def owner_gone(self, owner: ClientPort) -> None:
        """The connection has ended: nobody waits for what was open on it. What stands goes on."""
        for task in list(owner.open):
            if task in self.tasks:  # else the module answered it on hearing of one before
                self._leaves(self.tasks[task])

    def _leaves(self, call: SetupCall) -> None:
        if call.attempt is not None and call.state is SetupState.OUT:
            fact = self.ports.cancel(call.attempt)
            sent = fact in (DeliveryOutcome.SILENT, DeliveryOutcome.BROKEN)
            outcome = api.Outcome.STOPPED if sent else OUTCOMES[fact]
            self._back(call.attempt, outcome, left=True)
        else:
            self._forget(call)
            self.telling.dispatch(api.CallAbandoned(call.number))

    # ---- machines ----

    def reached(self, host: str, up: bool) -> None:
        """The links' word on a host that they tried by themselves."""
        self.telling.dispatch(api.ReachabilityChanged(host, up))

    def list_told(self, news: ListChange) -> None:
        kind = api.ListUpdateKind.SNAPSHOT if news.whole else api.ListUpdateKind.DELTA
        self.telling.dispatch(api.MachineListUpdated(kind, tuple(host.machine for host in news.hosts)))

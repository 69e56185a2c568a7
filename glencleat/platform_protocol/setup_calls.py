"""State of clients' set-ups: calls, their attempts, and the tasks that run at each host.

Imports set-ups, the codec and the interface; no I/O, time is an argument. The exchange and the attempt
controller change this state; every change of a call's state goes through `SetupCall.apply`, by the table
TRANSITIONS. `format_transitions` prints that table.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.setup_requests import SetupRequest


class SetupState(Enum):
    """Where a call is between its set-up and its end."""

    ACCEPTED = "taken"  # an answer is owed, no attempt is out
    DISPATCHED = "out"  # an attempt waits for its host's answer
    RUNNING = "stands"  # the task runs at a host: no answer is owed any more, but a release at its end
    CLOSED = "over"  # forgotten: what comes later finds nothing and changes nothing

    __hash__ = object.__hash__  # by identity: a member's default hash is a call of Python code


class SetupEvent(Enum):
    """What changes a call's state."""

    BIND = "the decision module binds it to a host"
    ANSWER = "the host's answer"
    REGISTER = "a client re-registers a task that runs already"
    ATTEMPT_END = "every other end of the attempt"
    CLOSE = "the final answer, or its client left"

    __hash__ = object.__hash__  # as above


TRANSITIONS = {
    (SetupState.ACCEPTED, SetupEvent.BIND): SetupState.DISPATCHED,
    (SetupState.ACCEPTED, SetupEvent.REGISTER): SetupState.RUNNING,
    (SetupState.ACCEPTED, SetupEvent.CLOSE): SetupState.CLOSED,
    (SetupState.DISPATCHED, SetupEvent.ANSWER): SetupState.RUNNING,
    (SetupState.DISPATCHED, SetupEvent.ATTEMPT_END): SetupState.ACCEPTED,
    (SetupState.RUNNING, SetupEvent.ATTEMPT_END): SetupState.CLOSED,
}


def format_transitions() -> str:
    """Returns TRANSITIONS as text, one state and event a line.

    >>> print(format_transitions())
    ACCEPTED    BIND         -> DISPATCHED
    ACCEPTED    REGISTER     -> RUNNING
    ACCEPTED    CLOSE        -> CLOSED
    DISPATCHED  ANSWER       -> RUNNING
    DISPATCHED  ATTEMPT_END  -> ACCEPTED
    RUNNING     ATTEMPT_END  -> CLOSED
    """
    return "\n".join(
        f"{state.name:<10}  {event.name:<11}  -> {next_state.name}"
        for (state, event), next_state in TRANSITIONS.items()
    )


class SetupStateError(m.PlatformProtocolError):
    """An event that a call's state does not allow: a fault of the program."""

    def __init__(self, state: SetupState, event: SetupEvent) -> None:
        super().__init__(f"{event.name} in state {state.name}")
        self.state = state
        self.event = event


class ClientPort(Protocol):
    """A client's connection, as far as calls know it."""

    open: set[int]  # ids of the tasks that an answer is owed to on it


class TimerHandle(Protocol):
    """A timer that was asked for."""

    def cancel(self) -> None:
        """Keeps the timer from firing; does nothing after it has."""


@dataclass(slots=True, eq=False)
class SetupCall:
    """A task from its set-up until it is over."""

    call_id: int  # the decision module's number of it
    setup: SetupRequest
    client: ClientPort
    state: SetupState = SetupState.ACCEPTED
    attempt_count: int = 0
    attempt: SetupAttempt | None = None  # dispatched or running
    running_since_ms: float = 0.0
    first_execution_ms: float | None = (
        None  # the earliest moment at which an attempt that may have run arrived
    )

    def apply(self, event: SetupEvent) -> None:
        """Goes to the event's next state.

        Raises:
            SetupStateError: The state does not allow the event.
        """
        next_state = TRANSITIONS.get((self.state, event))
        if next_state is None:
            raise SetupStateError(self.state, event)
        self.state = next_state


@dataclass(slots=True, eq=False)
class SetupAttempt:
    """One offer of a call's task to one host."""

    call: SetupCall
    number: int  # from 0, in the order of the call's binds
    host: str
    began_ms: float
    deadline_ms: float
    timer: TimerHandle | None = None
    # The connection that carries it: set, read and typed by the connection layer alone.
    connection: Any = field(default=None, repr=False)

    @property
    def is_dispatched(self) -> bool:
        """It waits for the host's answer."""
        return self.call.attempt is self and self.call.state is SetupState.DISPATCHED

    def finish(self) -> None:
        """Stops its timer and takes it off its call."""
        if self.timer is not None:
            self.timer.cancel()
        self.call.apply(SetupEvent.ATTEMPT_END)
        self.call.attempt = None

    def encode_setup(self, now_ms: float) -> bytes:
        """Returns the message for the host: the client's set-up with the time that is left.

        Raises:
            LocalProtocolError: The message is longer than the protocol allows.
        """
        setup = self.call.setup
        remaining_ms = max(1, round(self.deadline_ms - now_ms))
        parameters = {
            m.CLASS: setup.task_class.name.encode(),
            m.WAIT: b"%d" % remaining_ms,
            m.NAME: setup.name,
        }
        if setup.idempotency_key is not None:
            parameters[m.KEY] = setup.idempotency_key
        parameters[m.DESCRIPTION] = setup.description
        return m.encode(m.SETUP, setup.task, parameters)


class SetupCallTable:
    """All calls that are not closed, by the module's number, by the platform's task id and by host.

    `notify_host_occupied` is called with a host's name when its first task comes to run there and when its
    last one ends.
    """

    def __init__(self, notify_host_occupied: Callable[[str], None]) -> None:
        self.calls: dict[int, SetupCall] = {}  # by call id
        self.calls_by_task: dict[int, SetupCall] = {}
        self.running_by_host: dict[str, dict[int, SetupCall]] = {}  # then by task id
        self.accepted_calls = 0
        self._notify_host_occupied = notify_host_occupied

    @property
    def open_calls(self) -> int:
        """The number of calls that an answer is owed to."""
        return sum(call.state is not SetupState.RUNNING for call in self.calls.values())

    def add(self, client: ClientPort, setup: SetupRequest) -> SetupCall:
        """Returns a new call; its id is the next of those that the decision module counts too."""
        self.accepted_calls += 1
        call = SetupCall(self.accepted_calls, setup, client)
        self.calls[call.call_id] = call
        self.calls_by_task[setup.task] = call
        return call

    def find_attempt(self, task: int, host: str) -> SetupAttempt | None:
        """Returns the attempt, dispatched or running, of the platform's task id at that host."""
        call = self.calls_by_task.get(task)
        attempt = call.attempt if call is not None else None
        return attempt if attempt is not None and attempt.host == host else None

    def add_running(self, call: SetupCall, host: str) -> None:
        """Notes that the call's task runs at the host."""
        running = self.running_by_host.setdefault(host, {})
        running[call.setup.task] = call
        if len(running) == 1:
            self._notify_host_occupied(host)

    def remove(self, call: SetupCall, host: str = "") -> None:
        """Forgets a call, and with `host` that its task runs there."""
        task = call.setup.task
        self.calls.pop(call.call_id, None)
        self.calls_by_task.pop(task, None)
        call.client.open.discard(task)
        running = self.running_by_host.get(host)
        if running is None:
            return
        running.pop(task, None)
        if not running:
            del self.running_by_host[host]
            self._notify_host_occupied(host)

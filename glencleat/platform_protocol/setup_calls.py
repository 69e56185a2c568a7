"""The calls and attempts of the exchange: types alone, which `exchange.py` changes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.setup_requests import SetupRequest


class SetupState(Enum):
    """The states of a call; `exchange.py` has the transitions."""

    PENDING = "taken"
    IN_FLIGHT = "out"
    PLACED = "stands"


class ClientPort(Protocol):
    """What the exchange needs of a client's connection."""

    open_task_ids: set[int]  # tasks whose answer is still due on it


class TimerHandle(Protocol):
    """A scheduled callback."""

    def cancel(self) -> None:
        """Prevents the callback from running."""


@dataclass(slots=True, eq=False)
class SetupCall:
    """A client's set-up, until it is answered without a placement or the placed task has ended."""

    call_id: int
    setup: SetupRequest
    client: ClientPort
    state: SetupState = SetupState.PENDING
    attempt_count: int = 0
    attempt: SetupAttempt | None = None
    placed_at_ms: float = 0.0
    reported_at_ms: float = 0.0  # of a placed task: when its host last reported on it
    # The earliest time at which an attempt that may have run could have reached its host.
    first_uncertain_at_ms: float | None = None


@dataclass(slots=True, eq=False)
class SetupAttempt:
    """One Bind of the policy.

    `connection` belongs to the implementer of the ports: the one that the set-up was sent on; of a placed
    task, the one on which its host last reported on it; None if a client has handed the task over and its
    host has not reported on it.
    """

    call: SetupCall
    number: int
    host: str
    bound_at_ms: float
    deadline_at_ms: float
    sent_moment: int = 0  # when it was sent, in the order of events of the implementer of the ports
    timer: TimerHandle | None = None
    connection: Any = field(default=None, repr=False)

    @property
    def is_in_flight(self) -> bool:
        """Whether it waits for the host's answer."""
        return self.call.attempt is self and self.call.state is SetupState.IN_FLIGHT

    def encode_setup(self, now: float) -> bytes:
        """Returns the set-up for the host: the client's, with the time that the attempt has left."""
        setup = self.call.setup
        remaining_ms = max(1, round(self.deadline_at_ms - now))
        parameters = {
            m.CLASS: setup.task_class.name.encode(),
            m.TIMEOUT: b"%d" % remaining_ms,
            m.NAME: setup.name,
        }
        if setup.key is not None:
            parameters[m.KEY] = setup.key
        parameters[m.DESCRIPTION] = setup.description
        return m.encode(m.SETUP, setup.task_id, parameters)

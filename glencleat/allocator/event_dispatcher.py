"""Passes events to the policy and carries out its actions, in the order of `interface.py`, contract 8."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from glencleat import interface as api
from glencleat.allocator.contract import PolicyPort


class EventDispatcher:
    """Passes events to a policy; all actions are carried out before the next event is passed."""

    def __init__(
        self, policy: PolicyPort, now: Callable[[], float], carry_out: Callable[[api.Action], None]
    ) -> None:
        self.policy = policy
        self.now = now
        self.carry_out = carry_out
        self.pending: deque[api.Event] = deque()
        self.is_dispatching = False

    def dispatch(self, *events: api.Event) -> None:
        """Pass events in order; events that an action causes at once follow after them."""
        self.pending.extend(events)
        if self.is_dispatching:
            return
        self.is_dispatching = True
        try:
            while self.pending:
                for action in self.policy.handle(self.now(), self.pending.popleft()):
                    self.carry_out(action)
        finally:
            self.is_dispatching = False

"""Passes events to the policy and carries out its actions, in the order of `interface.py`, contract 8.

Imports only the interface and the contract's types. The core has one, and so has the platform protocol's
exchange.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from glencleat import interface as api
from glencleat.allocator.contract import DecisionModule


class EventDispatcher:
    """Dispatches events to a policy; all actions of one event are carried out before the next."""

    def __init__(
        self, module: DecisionModule, now: Callable[[], float], execute_action: Callable[[api.Action], None]
    ) -> None:
        self.module, self.now, self.execute_action = module, now, execute_action
        self.pending: deque[api.Event] = deque()
        self.is_dispatching = False

    def dispatch_event(self, *events: api.Event) -> None:
        """Dispatches events in order; events that an action causes are queued behind them."""
        self.pending.extend(events)
        if self.is_dispatching:
            return
        self.is_dispatching = True
        try:
            while self.pending:
                for action in self.module.handle(self.now(), self.pending.popleft()):
                    self.execute_action(action)
        finally:
            self.is_dispatching = False

"""Events to the module and its actions back, in the order of `interface.py`, contract 8.

Imports the interface and the contract's types. The core and the live path's exchange each have one."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from glencleat import interface as api
from glencleat.allocator.contract import DecisionModule


class EventDispatcher:
    """Tells a module what happened; all its actions are carried out before the next event is told."""

    def __init__(
        self, module: DecisionModule, now: Callable[[], float], act: Callable[[api.Action], None]
    ) -> None:
        self.module, self.now, self.execute_action = module, now, act
        self.pending: deque[api.Event] = deque()
        self.is_dispatching = False

    def dispatch_event(self, *events: api.Event) -> None:
        """In order: what actions cause at once is told after them."""
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

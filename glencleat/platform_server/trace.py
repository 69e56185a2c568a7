"""Traces the policy against the messages that passed, if GLENCLEAT_TRACE=1 is set.

Each event and action of the policy and each message of the connections is one line on standard error. A line
that standard error would not accept is dropped. `task` in a line is the platform's task id: `grep ID` shows
both sides.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from glencleat import interface as api
from glencleat.allocator.contract import DecisionModule
from glencleat.platform_protocol import messages as m

if TYPE_CHECKING:
    from glencleat.platform_protocol.setup_calls import SetupCall

ROUTINE_EVENTS = (api.TimerFired, api.MachineListUpdated, api.TaskObserved)
"""Events that are traced only if the policy answers with more than a timer."""


class Trace:
    """A decision module that wraps the real one and traces it; `record_message` traces messages."""

    def __init__(
        self, module: DecisionModule, calls: dict[int, SetupCall], write_line: Callable[[str], None]
    ) -> None:
        self.module, self.calls, self.write_line = module, calls, write_line

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Passes the event to the wrapped module and traces it with the resulting actions."""
        actions = self.module.handle(now_ms, event)
        if isinstance(event, ROUTINE_EVENTS) and all(isinstance(action, api.SetTimer) for action in actions):
            return actions
        calls = [self.calls.get(getattr(item, "call_id", -1)) for item in (event, *actions)]
        platform_ids = {f"{call.setup.task_id:016x}" for call in calls if call is not None}
        shown_event = type(event).__name__ if isinstance(event, api.MachineListUpdated) else event
        self.write_line(
            f"policy {now_ms:.0f} task {' '.join(sorted(platform_ids))}: {shown_event} -> {actions}"
        )
        return actions

    def record_message(self, where: str, message: m.PlatformMessage) -> None:
        """Traces a message that passed on a connection; `where` names the kind of the peer."""
        self.write_line(f"{where} task {message.task_id:016x}: {message.kind} {message.parameters}")

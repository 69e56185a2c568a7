"""A trace for debugging: with GLENCLEAT_TRACE=1 each decision and each message is a line on standard error.

A decision is an event with the actions of the policy; messages are those of client and host connections. Off
by default; a line that standard error would not take is dropped. `pair` in a line is the platform's id:
`grep ID` shows both sides. Imports the interface and messages.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from glencleat import interface as api
from glencleat.allocator.contract import PolicyPort
from glencleat.platform_protocol import messages as m

if TYPE_CHECKING:
    from glencleat.platform_protocol.exchange import SetupCall

# Traced only where the policy answers with more than a timer.
QUIET_EVENTS = (api.TimerFired, api.MachineListUpdated, api.TaskObserved)
NO_CALL = -1  # for events and actions that are of no call


class Trace:
    """A decision module that wraps the real one and traces what it is asked and answers.

    `calls` are the open calls by number, `write_line` takes a line of text.
    """

    def __init__(
        self, module: PolicyPort, calls: dict[int, SetupCall], write_line: Callable[[str], None]
    ) -> None:
        self.module = module
        self.calls = calls
        self.write_line = write_line

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Asks the real module and traces its answer."""
        actions = self.module.handle(now_ms, event)
        if isinstance(event, QUIET_EVENTS) and all(isinstance(action, api.SetTimer) for action in actions):
            return actions
        calls = [self.calls.get(getattr(item, "call_id", NO_CALL)) for item in (event, *actions)]
        pairs = {f"{call.setup.task:016x}" for call in calls if call is not None}
        subject = type(event).__name__ if isinstance(event, api.MachineListUpdated) else event
        self.write_line(f"module {now_ms:.0f} pair {' '.join(sorted(pairs))}: {subject} -> {actions}")
        return actions

    def record_message(self, side: str, message: m.PlatformMessage) -> None:
        """Traces a message received on a connection of `side`."""
        self.write_line(f"{side} pair {message.task:016x}: {message.kind} {message.parameters}")

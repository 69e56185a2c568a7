"""Belief against fact: with GLENCLEAT_TRACE=1 every event and action of the module and every message of the
links is one line on standard error. Off by default; a line that standard error would not take is dropped.

Imports the interface and messages. `pair` in a line is the platform's id: `grep ID` shows both sides."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from glencleat import interface as api
from glencleat.allocator.contract import DecisionModule
from glencleat.platform_protocol import messages as m

if TYPE_CHECKING:
    from glencleat.platform_protocol.exchange import SetupCall

ROUTINE_EVENTS = (
    api.TimerFired,
    api.MachineListUpdated,
    api.TaskObserved,
)  # told only where the module answers with more than a timer


class Trace:
    """A module around the real one, which it asks; `record_message` is for what passes on the sockets."""

    def __init__(
        self, module: DecisionModule, calls: dict[int, SetupCall], write_line: Callable[[str], None]
    ) -> None:
        self.module, self.calls, self.write_line = module, calls, write_line

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        actions = self.module.handle(now_ms, event)
        if isinstance(event, ROUTINE_EVENTS) and all(isinstance(action, api.SetTimer) for action in actions):
            return actions
        calls = [self.calls.get(getattr(said, "call", -1)) for said in (event, *actions)]
        pairs = {f"{call.setup.task_id:016x}" for call in calls if call is not None}
        told = type(event).__name__ if isinstance(event, api.MachineListUpdated) else event
        self.write_line(f"module {now_ms:.0f} pair {' '.join(sorted(pairs))}: {told} -> {actions}")
        return actions

    def record_message(self, where: str, message: m.PlatformMessage) -> None:
        self.write_line(f"{where} pair {message.task_id:016x}: {message.kind} {message.parameters}")

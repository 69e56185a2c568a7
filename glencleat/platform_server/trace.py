"""Belief against fact: with GLENCLEAT_TRACE=1 every event and action of the module and every message of the
links is one line on standard error. Off by default; a line that standard error would not take is dropped.

Imports the interface and messages. `pair` in a line is the platform's id: `grep ID` shows both sides."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from glencleat import interface as api
from glencleat.allocator.contract import PolicyPort
from glencleat.platform_protocol import messages as m

if TYPE_CHECKING:
    from glencleat.platform_protocol.exchange import SetupCall

DULL = (
    api.TimerFired,
    api.MachineListUpdated,
    api.TaskObserved,
)  # told only where the module answers with more than a timer


class Trace:
    """A module around the real one, which it asks; `message` is for what passes on the sockets."""

    def __init__(self, module: PolicyPort, calls: dict[int, SetupCall], line: Callable[[str], None]) -> None:
        self.module, self.calls, self.line = module, calls, line

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        actions = self.module.handle(now_ms, event)
        if isinstance(event, DULL) and all(isinstance(action, api.SetTimer) for action in actions):
            return actions
        calls = [self.calls.get(getattr(said, "call", -1)) for said in (event, *actions)]
        pairs = {f"{call.setup.task:016x}" for call in calls if call is not None}
        told = type(event).__name__ if isinstance(event, api.MachineListUpdated) else event
        self.line(f"module {now_ms:.0f} pair {' '.join(sorted(pairs))}: {told} -> {actions}")
        return actions

    def message(self, where: str, message: m.PlatformMessage) -> None:
        self.line(f"{where} pair {message.task:016x}: {message.kind} {message.parameters}")

"""Belief against fact: with GLENCLEAT_TRACE=1 every event and action of the module and every message of the
links is one line on standard error. Off by default; a line that standard error would not take is dropped.

Imports the interface and messages. `pair` in a line is the platform's id: `grep ID` shows both sides."""

from __future__ import annotations

import os
import select
import time
from typing import TYPE_CHECKING

from glencleat import interface as api
from glencleat.isup import messages as m

if TYPE_CHECKING:
    from glencleat.isup.exchange import Exchange

DULL = (api.TimerDue, api.ListTold, api.Noted)  # told only where the module answers with more than a timer


class Trace:
    def __init__(self, fd: int = 2) -> None:
        self.fd = fd
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def line(self, text: str) -> None:
        if self.poll.poll(0):
            os.write(self.fd, f"{time.time():.3f} {text[:500]}\n".encode(errors="replace"))

    def module(self, exchange: Exchange, now: float, event: api.Event, actions: list[api.Action]) -> None:
        if isinstance(event, DULL) and all(isinstance(action, api.SetTimer) for action in actions):
            return
        calls = [exchange.calls.get(getattr(said, "call", -1)) for said in (event, *actions)]
        pairs = {f"{call.setup.task:016x}" for call in calls if call is not None}
        told = type(event).__name__ if isinstance(event, api.ListTold) else event
        self.line(f"module {now:.0f} pair {' '.join(sorted(pairs))}: {told} -> {actions}")

    def message(self, where: str, message: m.Message) -> None:
        self.line(f"{where} pair {message.task:016x}: {message.kind} {message.parameters}")

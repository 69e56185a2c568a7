"""A small kernel: an epoll loop that runs generators as coroutines, timers and bounded streams.

It imports nothing of glencleat. Clock and sockets come in from outside (`Loop(clock, poller)`)."""

from glencleat.event_loop.loop import (
    CancelledError,
    Clock,
    InterruptibleSleep,
    Loop,
    LoopTask,
    Poller,
    SystemClock,
)
from glencleat.event_loop.signals import Signals
from glencleat.event_loop.streams import (
    ConnectError,
    Listener,
    Stream,
    StreamClosedError,
    StreamOverflowError,
    connect,
)
from glencleat.event_loop.timers import Timer, TimerHeap, TimerWheel

__all__ = [
    "CancelledError",
    "Clock",
    "ConnectError",
    "Listener",
    "Loop",
    "StreamOverflowError",
    "InterruptibleSleep",
    "Poller",
    "Signals",
    "Stream",
    "StreamClosedError",
    "SystemClock",
    "LoopTask",
    "Timer",
    "TimerHeap",
    "TimerWheel",
    "connect",
]

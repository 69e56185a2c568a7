"""A small event loop: epoll, generators as coroutines, timers and streams with bounded buffers.

It imports nothing from the rest of glencleat. Clock and poller are injected (`Loop(clock, poller)`).
"""

from glencleat.event_loop.loop import CancelledError, Clock, Loop, LoopTask, Pause, Poller, SystemClock
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
    "Pause",
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

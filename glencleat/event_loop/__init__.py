"""A small kernel: an epoll loop that runs generators as coroutines, timers and bounded streams.

It imports nothing of glencleat. Clock and sockets come in from outside (`Loop(clock, poller)`)."""

from glencleat.event_loop.loop import Cancelled, Clock, Loop, Pause, Poller, SystemClock, Task
from glencleat.event_loop.signals import Signals
from glencleat.event_loop.streams import ConnectFailed, Listener, Overflow, Stream, StreamClosed, connect
from glencleat.event_loop.timers import Timer, TimerHeap, TimerWheel

__all__ = [
    "Cancelled",
    "Clock",
    "ConnectFailed",
    "Listener",
    "Loop",
    "Overflow",
    "Pause",
    "Poller",
    "Signals",
    "Stream",
    "StreamClosed",
    "SystemClock",
    "Task",
    "Timer",
    "TimerHeap",
    "TimerWheel",
    "connect",
]

"""The event loop: generators as coroutines over epoll, timers, and bounded streams.

This is the project's one pattern of concurrency. All code of a process runs in one thread, and nothing
blocks but the poller; there are no locks, since no code runs between two `yield`s of a coroutine but its
own.

*Coroutines.* A `Coroutine` is a generator that is run with `yield from`. To wait, it yields an *arming*
function: the loop calls it with the `LoopTask`, it starts the wait (a timer, interest in a descriptor, a
place among joiners) and returns the function that *disarms* the wait. Who ends the wait calls
`Loop.wake(task, value)`; `value` becomes the result of the `yield`.

*Ownership.* `Loop.spawn` makes a task of a coroutine. A task given a parent is cancelled when the parent
ends, however it ends; one without a parent belongs to the object that spawned it, which cancels it when it
closes. An error ends the task and is raised in those who `join` it; where nobody does, `Loop.on_error`
receives it, which by default raises it out of `run`.

*Cancellation.* `Loop.cancel` disarms the task's wait and throws `CancelledError` (a BaseException, so that
`except Exception` lets it pass) at its `yield`. The task may clean up, but not wait any more.

*Order.* A round (`Loop.run_once`) makes the poller's calls, then runs urgent tasks, due timers and ready
tasks.

Clock, poller and timers are passed to `Loop`, so that tests run the same code on a virtual clock. The
package imports nothing else of the project.
"""

from glencleat.event_loop.listener import Listener
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

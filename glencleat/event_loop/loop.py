"""The loop: generators as coroutines over epoll, in one thread; the package's docstring tells the pattern.

Clock, poller and timers are arguments, so that the same tasks can run on a virtual clock.
"""

from __future__ import annotations

import select
import time
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, Protocol

from glencleat.event_loop.timers import Timer, Timers, TimerWheel

Disarm = Callable[[], None]  # ends a wait early
Arm = Callable[["LoopTask"], Disarm]  # starts a wait
Coroutine = Generator[Arm, Any, Any]
WakeValue = Any  # what the `yield` of a wait gives; each waiting function knows its own
TaskResult = Any  # what the coroutine returns; each caller knows its own
MAX_EVENTS = 4_096  # of one poll; more than there are descriptors, so that one poll reports all of them
READ = select.EPOLLIN
WRITE = select.EPOLLOUT


class CancelledError(BaseException):
    """Thrown into a task that is cancelled; a task may clean up but not go on waiting."""


class Clock(Protocol):
    """Time as the loop sees it."""

    def now(self) -> float:
        """Return monotonic milliseconds."""

    def wall(self) -> float:
        """Return milliseconds since the epoch, for what leaves the process."""


class SystemClock:
    """The clocks of the operating system."""

    def now(self) -> float:
        """Return monotonic milliseconds."""
        return time.monotonic() * 1000.0

    def wall(self) -> float:
        """Return milliseconds since the epoch."""
        return time.time() * 1000.0


class Poller(Protocol):
    """Readiness of file descriptors; `interest` and masks are epoll's bits."""

    idle_ms: float  # spent waiting, in all

    def register(self, fd: int, interest: int, call: Callable[[int], None], last: bool = False) -> None:
        """Call `call(mask)` for events of `fd` from now on; with `last`, after all other calls of a poll."""

    def modify(self, fd: int, interest: int) -> None:
        """Replace the interest in a registered descriptor."""

    def unregister(self, fd: int) -> None:
        """Forget the descriptor, if it is registered; to be called before it is closed."""

    def poll(self, timeout_ms: float | None) -> int:
        """Wait for events at most so long (None: without end), make the calls, return their number."""


class EpollPoller:
    """Level-triggered epoll with a callback for each descriptor.

    Callbacks registered with `last` come after all others of a poll: a listener that admits a newcomer may
    evict an idle connection, and must know first on which of them something has arrived.
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.callbacks: dict[int, Callable[[int], None]] = {}
        self.deferred_fds: set[int] = set()
        self.idle_ms = 0.0

    def register(self, fd: int, interest: int, call: Callable[[int], None], last: bool = False) -> None:
        """Call `call(mask)` for events of `fd`; see `Poller`."""
        self.epoll.register(fd, interest)
        self.callbacks[fd] = call
        if last:
            self.deferred_fds.add(fd)

    def modify(self, fd: int, interest: int) -> None:
        """Replace the interest in a registered descriptor."""
        self.epoll.modify(fd, interest)

    def unregister(self, fd: int) -> None:
        """Forget the descriptor, if it is registered."""
        if self.callbacks.pop(fd, None) is not None:
            self.epoll.unregister(fd)
            self.deferred_fds.discard(fd)

    def poll(self, timeout_ms: float | None) -> int:
        """Wait for events and make their calls; see `Poller`."""
        timeout_s = None if timeout_ms is None else max(0.0, timeout_ms) / 1000.0
        began = time.monotonic()
        events = self.epoll.poll(timeout_s, MAX_EVENTS)
        self.idle_ms += 1_000.0 * (time.monotonic() - began)
        if self.deferred_fds:
            events.sort(key=lambda event: event[0] in self.deferred_fds)
        for fd, mask in events:
            call = self.callbacks.get(fd)  # an earlier callback of this poll may have closed it
            if call is not None:
                call(mask)
        return len(events)


class LoopTask:
    """A running coroutine. Its children are cancelled when it ends."""

    __slots__ = (
        "coroutine",
        "name",
        "parent",
        "is_urgent",
        "children",
        "is_done",
        "result",
        "error",
        "disarm",
        "joiners",
    )

    def __init__(
        self, coroutine: Coroutine, name: str, parent: LoopTask | None, is_urgent: bool = False
    ) -> None:
        self.coroutine = coroutine
        self.name = name
        self.parent = parent
        self.is_urgent = is_urgent
        self.children: set[LoopTask] = set()
        self.is_done = False
        self.result: TaskResult = None
        self.error: BaseException | None = None
        self.disarm: Disarm | None = None  # of the present wait; None while the task is ready or runs
        self.joiners: list[LoopTask] = []


# A ready task, what its wait gives, and what is thrown into it instead.
Step = tuple[LoopTask, WakeValue, BaseException | None]


class Loop:
    """Runs tasks, timers and descriptors until stopped; `on_error` takes errors of tasks without joiners.

    >>> loop = Loop()
    >>> def work():
    ...     yield from loop.sleep(1.0)
    ...     return 7
    >>> loop.run_until(loop.spawn(work(), "work"))
    7
    """

    def __init__(
        self, clock: Clock | None = None, poller: Poller | None = None, timers: Timers | None = None
    ) -> None:
        self.clock = clock or SystemClock()
        self.poller = poller or EpollPoller()
        self.timers: Timers = timers or TimerWheel(self.clock.now())
        self.ready: deque[Step] = deque()
        self.urgent_ready: deque[Step] = deque()  # the steps of urgent tasks
        self.due_timers: deque[Timer] = deque()  # of this round; an error in one leaves the rest to the next
        self.is_running = False
        self.current: LoopTask | None = None  # the task that takes a step now
        self.on_error: Callable[[LoopTask, BaseException], None] = self._raise

    @staticmethod
    def _raise(task: LoopTask, error: BaseException) -> None:
        raise error

    def now(self) -> float:
        """Return the clock's monotonic milliseconds."""
        return self.clock.now()

    def call_in(self, in_ms: float, call: Callable[[], None]) -> Timer:
        """Call `call` in so many milliseconds, unless the timer is cancelled before."""
        return self.timers.add(self.clock.now() + in_ms, call)

    def spawn(
        self, coroutine: Coroutine, name: str, parent: LoopTask | None = None, urgent: bool = False
    ) -> LoopTask:
        """Start a coroutine as a task; it takes its first step with the other ready tasks.

        With a `parent`, the task is cancelled when the parent ends. An `urgent` task that the poller wakes
        runs before all timers and other tasks of that round: for news that all others need, since after a
        standstill they would act on what no longer holds.
        """
        task = LoopTask(coroutine, name, parent, urgent)
        if parent is not None:
            parent.children.add(task)
        self.ready.append((task, None, None))
        return task

    def wake(self, task: LoopTask, value: WakeValue = None) -> None:
        """End the task's present wait, which gives `value`; the task goes on in this round of the loop."""
        task.disarm = None
        (self.urgent_ready if task.is_urgent else self.ready).append((task, value, None))

    def cancel(self, task: LoopTask) -> None:
        """End the task's present wait and throw CancelledError into it; without effect on an ended task."""
        if task.is_done:
            return
        if task.disarm is not None:
            task.disarm()
            task.disarm = None
        self.ready.append((task, None, CancelledError()))

    def sleep(self, ms: float) -> Coroutine:
        """Wait so many milliseconds."""

        def arm(task: LoopTask) -> Disarm:
            return self.call_in(ms, lambda: self.wake(task)).cancel

        yield arm

    def join(self, other: LoopTask) -> Coroutine:
        """Wait for the end of another task; return its result or raise its error."""
        if not other.is_done:

            def arm(task: LoopTask) -> Disarm:
                other.joiners.append(task)
                return lambda: other.joiners.remove(task)

            yield arm
        if other.error is not None:
            raise other.error
        return other.result

    def _step(self, task: LoopTask, value: WakeValue, error: BaseException | None) -> None:
        """Run the task up to its next wait or its end."""
        if task.is_done:
            return
        if error is not None and task.disarm is not None:
            task.disarm()  # it was woken and has begun another wait since it was cancelled
        task.disarm = None
        self.current = task
        try:
            arm = task.coroutine.send(value) if error is None else task.coroutine.throw(error)
        except StopIteration as stop:
            self._end(task, stop.value, None)
        except CancelledError:
            self._end(task, None, None)
        except Exception as fault:
            self._end(task, None, fault)
        else:
            task.disarm = arm(task)
        finally:
            self.current = None

    def _end(self, task: LoopTask, result: TaskResult, error: BaseException | None) -> None:
        task.is_done = True
        task.result = result
        task.error = error
        if task.parent is not None:
            task.parent.children.discard(task)
        for child in list(task.children):
            self.cancel(child)
        for joiner in task.joiners:
            self.wake(joiner)
        if error is not None and not task.joiners:
            self.on_error(task, error)
        task.joiners = []

    def run_once(self, wait: bool = True) -> None:
        """Run one round: events of the poller, urgent tasks, due timers, then the tasks that are ready.

        Tasks come last, so that a loop that one of them has stopped is not left waiting in the poller. With
        `wait` false the poller returns at once.
        """
        if self.ready or self.urgent_ready or self.due_timers or not wait:
            timeout_ms: float | None = 0.0
        else:
            due = self.timers.next_due()
            timeout_ms = None if due is None else due - self.clock.now()
        self.poller.poll(timeout_ms)
        for _ in range(len(self.urgent_ready)):
            self._step(*self.urgent_ready.popleft())
        self.due_timers.extend(self.timers.pop_due(self.clock.now()))
        while self.due_timers:
            timer = self.due_timers.popleft()
            if timer.callback is not None:  # an earlier one of this round may have cancelled it
                timer.callback()
        for _ in range(len(self.ready)):
            self._step(*self.ready.popleft())

    def run(self) -> None:
        """Run rounds until `stop`."""
        self.is_running = True
        while self.is_running:
            self.run_once()

    def run_until(self, task: LoopTask) -> TaskResult:
        """Run rounds until the task has ended; return its result or raise its error."""
        while not task.is_done:
            self.run_once()
        if task.error is not None:
            raise task.error
        return task.result

    def stop(self) -> None:
        """Let `run` return at the end of the present round."""
        self.is_running = False


class InterruptibleSleep:
    """A sleep of one task that others can end early.

    >>> loop = Loop()
    >>> retry_wait = InterruptibleSleep(loop)
    >>> timer = loop.call_in(1.0, retry_wait.interrupt)
    >>> loop.run_until(loop.spawn(retry_wait.sleep(60_000.0), "sleeper"))
    False
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self._wake: Callable[[bool], None] | None = None

    @property
    def is_asleep(self) -> bool:
        """Whether a task sleeps now."""
        return self._wake is not None

    def sleep(self, ms: float) -> Coroutine:
        """Sleep so many milliseconds; return whether it lasted to its end."""

        def arm(task: LoopTask) -> Disarm:
            def disarm() -> None:
                timer.cancel()
                self._wake = None

            def wake(is_complete: bool) -> None:
                disarm()
                self.loop.wake(task, is_complete)

            timer = self.loop.call_in(ms, lambda: wake(is_complete=True))
            self._wake = wake
            return disarm

        is_complete = yield arm
        return is_complete

    def interrupt(self) -> None:
        """End the sleep early; without effect if no task sleeps."""
        if self._wake is not None:
            self._wake(False)  # noqa: FBT003 - the one argument of a callback

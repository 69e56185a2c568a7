"""A single-threaded event loop that runs generators as coroutines over epoll.

A task waits by yielding an arm function: the loop calls it with the task, and it registers what will wake the
task. The program's entry point creates one Loop and calls `run`. Clock and poller are arguments, so that the
same tasks can run on a virtual clock. Imports the timers only.
"""

from __future__ import annotations

import select
import time
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, Protocol

from glencleat.event_loop.timers import Timer, Timers, TimerWheel

Arm = Callable[["LoopTask"], Callable[[], None]]  # starts a wait and returns the function that aborts it
Coroutine = Generator[Arm, Any, Any]
# Higher than the number of open descriptors, so that one poll reports every ready descriptor.
MAX_EVENTS_PER_POLL = 4_096
STALL_MS = 50.0  # since the descriptors were looked at: timers wait for another look
READ, WRITE = select.EPOLLIN, select.EPOLLOUT


class CancelledError(BaseException):
    """Thrown into a cancelled task, which may clean up but must not wait again."""


class Clock(Protocol):
    """The time source of a loop."""

    def now(self) -> float:
        """Monotonic milliseconds."""

    def wall(self) -> float:
        """Milliseconds since the Unix epoch, for timestamps that leave the process."""


class SystemClock:
    """The clocks of the operating system."""

    def now(self) -> float:
        """Monotonic milliseconds."""
        return time.monotonic() * 1000.0

    def wall(self) -> float:
        """Milliseconds since the Unix epoch."""
        return time.time() * 1000.0


class Poller(Protocol):
    """Waits for events on file descriptors and dispatches them to callbacks."""

    idle_ms: float  # total time spent waiting
    # Called once the ready descriptors are known, before their callbacks, with whether there are any.
    on_collected: Callable[[bool], None]

    def watch(self, fd: int, interest: int, call: Callable[[int], None], is_deferred: bool = False) -> None:
        """Registers a descriptor; `call` gets the event mask."""

    def change(self, fd: int, interest: int) -> None:
        """Replaces the event mask that a registered descriptor waits for."""

    def forget(self, fd: int) -> None:
        """Unregisters a descriptor, if it is registered."""

    def poll(self, timeout_ms: float | None) -> int:
        """Waits for events, runs their callbacks, returns the number of events; None: no timeout."""
        ...


class EpollPoller:
    """Level-triggered epoll with a callback for each descriptor.

    A descriptor watched with `is_deferred` is called back after all others of the same poll. Listeners need
    this: accepting a connection may evict another one, and must see first which ones have received data.
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.callbacks_by_fd: dict[int, Callable[[int], None]] = {}
        self.deferred_fds: set[int] = set()
        self.idle_ms = 0.0
        self.on_collected: Callable[[bool], None] = lambda has_events: None

    def watch(self, fd: int, interest: int, call: Callable[[int], None], is_deferred: bool = False) -> None:
        """Registers a descriptor; `call` gets the event mask."""
        self.epoll.register(fd, interest)
        self.callbacks_by_fd[fd] = call
        if is_deferred:
            self.deferred_fds.add(fd)

    def change(self, fd: int, interest: int) -> None:
        """Replaces the event mask that a registered descriptor waits for."""
        self.epoll.modify(fd, interest)

    def forget(self, fd: int) -> None:
        """Unregisters a descriptor, if it is registered."""
        if self.callbacks_by_fd.pop(fd, None) is not None:
            self.epoll.unregister(fd)
            self.deferred_fds.discard(fd)

    def poll(self, timeout_ms: float | None) -> int:
        """Waits for events, runs their callbacks, returns the number of events; None: no timeout."""
        timeout_s = None if timeout_ms is None else max(0.0, timeout_ms) / 1000.0
        started_s = time.monotonic()
        events = self.epoll.poll(timeout_s, MAX_EVENTS_PER_POLL)
        self.on_collected(bool(events))
        self.idle_ms += 1_000.0 * (time.monotonic() - started_s)
        if self.deferred_fds:
            events.sort(key=lambda event: event[0] in self.deferred_fds)
        for fd, mask in events:
            callback = self.callbacks_by_fd.get(fd)  # a callback before it may have unregistered it
            if callback is not None:
                callback(mask)
        return len(events)


class LoopTask:
    """A generator run by the loop. Its child tasks are cancelled when it ends."""

    __slots__ = (
        "generator", "name", "parent", "is_urgent", "children", "done", "result", "error", "disarm", "joiners"
    )  # fmt: skip

    def __init__(self, gen: Coroutine, name: str, parent: LoopTask | None, is_urgent: bool = False) -> None:
        self.generator, self.name, self.parent, self.is_urgent = gen, name, parent, is_urgent
        self.children: set[LoopTask] = set()
        self.done, self.result = False, None
        self.error: BaseException | None = None
        self.disarm: Callable[[], None] | None = None
        self.joiners: list[LoopTask] = []


class Loop:
    """Runs tasks, timers and descriptor callbacks until stopped.

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
        self.ready: deque[tuple[LoopTask, Any, BaseException | None]] = deque()
        self.urgent_ready: deque[tuple[LoopTask, Any, BaseException | None]] = deque()
        # Due in this iteration; when a callback raises, the next iteration runs the remaining ones.
        self.due_timers: deque[Timer] = deque()
        self.is_running = False
        # Polls so far, and when the last one and the one before it found out which descriptors were ready.
        self.poll_count = 0
        self.poll_began_ms = self.clock.now()
        self.last_poll_unix_ms = self.previous_poll_unix_ms = self.poll_began_unix_ms = self.clock.wall()
        self.poller.on_collected = self._record_poll
        self.current_task: LoopTask | None = None
        self.on_error: Callable[[LoopTask, BaseException], None] = self._raise

    @staticmethod
    def _raise(task: LoopTask, error: BaseException) -> None:
        raise error

    def _record_poll(self, has_events: bool) -> None:
        """Records when the poll has looked at the descriptors.

        A poll without events did so when it began: if the process is stopped until its time-out is over, it
        returns without another look.
        """
        self.poll_count += 1
        self.previous_poll_unix_ms = self.last_poll_unix_ms
        self.last_poll_unix_ms = self.clock.wall() if has_events else self.poll_began_unix_ms

    def now(self) -> float:
        """Monotonic milliseconds of the loop's clock."""
        return self.clock.now()

    def call_in(self, in_ms: float, call: Callable[[], None]) -> Timer:
        """Calls `call` once in `in_ms` milliseconds, unless the returned timer is cancelled before."""
        return self.timers.add(self.clock.now() + in_ms, call)

    def spawn(
        self, gen: Coroutine, name: str, parent: LoopTask | None = None, is_urgent: bool = False
    ) -> LoopTask:
        """Schedules a generator as a task and returns the task.

        A task with `is_urgent` runs before all timers and other tasks of the iteration in which the poller
        wakes it. It is meant for input that the others depend on: after a stall of the process they would
        otherwise act on outdated state.
        """
        task = LoopTask(gen, name, parent, is_urgent)
        if parent is not None:
            parent.children.add(task)
        self.ready.append((task, None, None))
        return task

    def wake(self, task: LoopTask, value: Any = None) -> None:
        """Ends the task's current wait with `value`; it resumes in this iteration of the loop."""
        task.disarm = None
        (self.urgent_ready if task.is_urgent else self.ready).append((task, value, None))

    def cancel(self, task: LoopTask) -> None:
        """Aborts the task's current wait and throws CancelledError into it; no effect on a finished task."""
        if task.done:
            return
        if task.disarm is not None:
            task.disarm()
            task.disarm = None
        self.ready.append((task, None, CancelledError()))

    def sleep(self, ms: float) -> Coroutine:
        """Suspends the calling task for `ms` milliseconds."""

        def arm(task: LoopTask) -> Callable[[], None]:
            return self.call_in(ms, lambda: self.wake(task)).cancel

        yield arm

    def join(self, other: LoopTask) -> Coroutine:
        """Waits for another task to finish; returns its result or raises its error."""
        if not other.done:

            def arm(task: LoopTask) -> Callable[[], None]:
                other.joiners.append(task)
                return lambda: other.joiners.remove(task)

            yield arm
        if other.error is not None:
            raise other.error
        return other.result

    def _step(self, task: LoopTask, value: Any, error: BaseException | None) -> None:
        if task.done:
            return
        if error is not None and task.disarm is not None:
            task.disarm()  # woken and waiting again since `cancel` was called
        task.disarm = None
        self.current_task = task
        try:
            arm = task.generator.send(value) if error is None else task.generator.throw(error)
        except StopIteration as stop:
            self._end(task, stop.value, None)
        except CancelledError:
            self._end(task, None, None)
        except Exception as exc:
            self._end(task, None, exc)
        else:
            task.disarm = arm(task)
        finally:
            self.current_task = None

    def _end(self, task: LoopTask, result: Any, error: BaseException | None) -> None:
        task.done, task.result, task.error = True, result, error
        if task.parent is not None:
            task.parent.children.discard(task)
        for child in list(task.children):
            self.cancel(child)
        for joiner in task.joiners:
            self.wake(joiner)
        if error is not None and not task.joiners:
            self.on_error(task, error)
        task.joiners = []

    def run_once(self, may_wait: bool = True) -> None:
        """One iteration: polls, then runs urgent tasks, due timers and ready tasks, in this order.

        Tasks run last, so that a loop stopped by one of them doesn't block in the poller once more. After a
        stall they run before the timers too: a timer that judges a peer by its silence must not run before
        what the peer has sent meanwhile is read.
        """
        if self.ready or self.urgent_ready or self.due_timers or not may_wait:
            timeout: float | None = 0.0
        else:
            next_due = self.timers.next_due()
            timeout = None if next_due is None else next_due - self.clock.now()
        previous_poll_began_ms = self.poll_began_ms
        self._poll(timeout)
        if self._may_have_stalled(previous_poll_began_ms):
            self._poll(0.0)
            self._run_ready_tasks()
        self.due_timers.extend(self.timers.pop_due(self.clock.now()))
        while self.due_timers:
            timer = self.due_timers.popleft()
            if timer.callback is not None:  # a callback before it may have cancelled it
                timer.callback()
        self._run_ready_tasks()

    def _poll(self, timeout_ms: float | None) -> None:
        """Polls and runs the urgent tasks."""
        self.poll_began_ms, self.poll_began_unix_ms = self.clock.now(), self.clock.wall()
        self.poller.poll(timeout_ms)
        for _ in range(len(self.urgent_ready)):
            self._step(*self.urgent_ready.popleft())

    def _may_have_stalled(self, previous_poll_began_ms: float) -> bool:
        """Whether a timer is due before all is read that came until its time.

        A stall may have come in this poll, after it, or after the previous one. A poll looks at the
        descriptors when it begins; one that waits returns at once when something arrives, unless the process
        is stopped until its time-out is over.
        """
        now_ms = self.clock.now()
        if now_ms - previous_poll_began_ms <= STALL_MS:
            return False
        next_due_ms = self.timers.next_due()
        return next_due_ms is not None and next_due_ms <= now_ms

    def _run_ready_tasks(self) -> None:
        for _ in range(len(self.ready)):
            self._step(*self.ready.popleft())

    def run(self) -> None:
        """Runs iterations until `stop` is called."""
        self.is_running = True
        while self.is_running:
            self.run_once()

    def run_until(self, task: LoopTask) -> Any:
        """Runs until the task has finished; returns its result or raises its error."""
        while not task.done:
            self.run_once()
        if task.error is not None:
            raise task.error
        return task.result

    def stop(self) -> None:
        """Makes `run` return after the current iteration."""
        self.is_running = False


class Pause:
    """A sleep of one task that other code can end early.

    >>> loop = Loop()
    >>> pause = Pause(loop)
    >>> sleeper = loop.spawn(pause.sleep(60_000.0), "sleeper")
    >>> loop.run_once(may_wait=False)
    >>> pause.is_sleeping, pause.wake(), loop.run_until(sleeper)
    (True, None, False)
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self._wake: Callable[[bool], None] | None = None

    @property
    def is_sleeping(self) -> bool:
        """Whether a task is in `sleep`."""
        return self._wake is not None

    def sleep(self, ms: float) -> Coroutine:
        """Suspends the calling task; returns True after the full time, False if `wake` ended it early."""

        def arm(task: LoopTask) -> Callable[[], None]:
            def disarm() -> None:
                timer.cancel()
                self._wake = None

            def wake(completed: bool) -> None:
                disarm()
                self.loop.wake(task, completed)

            timer = self.loop.call_in(ms, lambda: wake(True))
            self._wake = wake
            return disarm

        completed = yield arm
        return completed

    def wake(self) -> None:
        """Ends the current sleep early, if there is one."""
        if self._wake is not None:
            self._wake(False)

"""The loop: generators as coroutines over epoll, one thread. A task waits by yielding an arming function.

Imports the timers only. Whoever starts the program makes one Loop and calls `run`. Clock and poller are
arguments, so that the same tasks can run on a virtual clock."""

from __future__ import annotations

import select
import time
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, Protocol

from glencleat.event_loop.timers import Timer, Timers, TimerWheel

Arm = Callable[["LoopTask"], Callable[[], None]]  # starts a wait, returns what ends it early
Coroutine = Generator[Arm, Any, Any]
MAX_EVENTS = 4_096  # of one poll; more than there are descriptors, so that it tells of all that has come
READ, WRITE = select.EPOLLIN, select.EPOLLOUT


class CancelledError(BaseException):
    """Thrown into a task that is cancelled; a task may clean up but not go on waiting."""


class Clock(Protocol):
    def now(self) -> float:
        """Monotonic milliseconds."""

    def wall(self) -> float:
        """Milliseconds since the epoch, for what leaves the process."""


class SystemClock:
    def now(self) -> float:
        return time.monotonic() * 1000.0

    def wall(self) -> float:
        return time.time() * 1000.0


class Poller(Protocol):
    idle_ms: float  # spent waiting, in all

    def watch(
        self, fd: int, interest: int, call: Callable[[int], None], is_deferred: bool = False
    ) -> None: ...
    def change(self, fd: int, interest: int) -> None: ...
    def forget(self, fd: int) -> None: ...
    def poll(self, timeout_ms: float | None) -> int: ...


class EpollPoller:
    """Level-triggered epoll with a callback for each descriptor.

    `is_deferred`: called once all others of the poll were, for what has to know what they were told: who
    comes in may put out one on whom something has come."""

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.callbacks_by_fd: dict[int, Callable[[int], None]] = {}
        self.deferred_fds: set[int] = set()
        self.idle_ms = 0.0

    def watch(self, fd: int, interest: int, call: Callable[[int], None], is_deferred: bool = False) -> None:
        self.epoll.register(fd, interest)
        self.callbacks_by_fd[fd] = call
        if is_deferred:
            self.deferred_fds.add(fd)

    def change(self, fd: int, interest: int) -> None:
        self.epoll.modify(fd, interest)

    def forget(self, fd: int) -> None:
        if self.callbacks_by_fd.pop(fd, None) is not None:
            self.epoll.unregister(fd)
            self.deferred_fds.discard(fd)

    def poll(self, timeout_ms: float | None) -> int:
        wait = None if timeout_ms is None else max(0.0, timeout_ms) / 1000.0
        began = time.monotonic()
        events = self.epoll.poll(wait, MAX_EVENTS)
        self.idle_ms += 1_000.0 * (time.monotonic() - began)
        if self.deferred_fds:
            events.sort(key=lambda event: event[0] in self.deferred_fds)
        for fd, mask in events:
            call = self.callbacks_by_fd.get(fd)  # an earlier callback of this round may have closed it
            if call is not None:
                call(mask)
        return len(events)


class LoopTask:
    """A running generator. Its children are cancelled when it ends."""

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
    """Runs tasks, timers and descriptors until stopped.

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
        self.urgent_ready: deque[tuple[LoopTask, Any, BaseException | None]] = (
            deque()
        )  # the urgent ones of these
        self.due_timers: deque[Timer] = (
            deque()
        )  # of this round; an error in one leaves the others to the next
        self.is_running = False
        self.current_task: LoopTask | None = None
        self.on_error: Callable[[LoopTask, BaseException], None] = self._raise

    @staticmethod
    def _raise(task: LoopTask, error: BaseException) -> None:
        raise error

    def now(self) -> float:
        return self.clock.now()

    def call_in(self, in_ms: float, call: Callable[[], None]) -> Timer:
        return self.timers.add(self.clock.now() + in_ms, call)

    def spawn(
        self, gen: Coroutine, name: str, parent: LoopTask | None = None, is_urgent: bool = False
    ) -> LoopTask:
        """`is_urgent`: what the poller wakes it for is handled before all timers and other tasks of that
        round.

        For what all the others have to know: after a standstill they would act on what is no longer so."""
        task = LoopTask(gen, name, parent, is_urgent)
        if parent is not None:
            parent.children.add(task)
        self.ready.append((task, None, None))
        return task

    def wake(self, task: LoopTask, value: Any = None) -> None:
        """Ends the task's present wait; it goes on in this round of the loop."""
        task.disarm = None
        (self.urgent_ready if task.is_urgent else self.ready).append((task, value, None))

    def cancel(self, task: LoopTask) -> None:
        if task.done:
            return
        if task.disarm is not None:
            task.disarm()
            task.disarm = None
        self.ready.append((task, None, CancelledError()))

    def sleep(self, ms: float) -> Coroutine:
        def arm(task: LoopTask) -> Callable[[], None]:
            return self.call_in(ms, lambda: self.wake(task)).cancel

        yield arm

    def join(self, other: LoopTask) -> Coroutine:
        """Waits for the end of another task; gives its result or raises its error."""
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
            task.disarm()  # it was woken and has begun another wait since it was cancelled
        task.disarm = None
        self.current_task = task
        try:
            arm = task.generator.send(value) if error is None else task.generator.throw(error)
        except StopIteration as stop:
            self._end(task, stop.value, None)
        except CancelledError:
            self._end(task, None, None)
        except Exception as fault:
            self._end(task, None, fault)
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
        """One turn: what the poller tells, urgent tasks, what is due, then the tasks that are ready.

        Tasks come last, so that a loop that one of them has ended is not left waiting in the poller."""
        if self.ready or self.urgent_ready or self.due_timers or not may_wait:
            timeout: float | None = 0.0
        else:
            due = self.timers.next_due()
            timeout = None if due is None else due - self.clock.now()
        self.poller.poll(timeout)
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
        self.is_running = True
        while self.is_running:
            self.run_once()

    def run_until(self, task: LoopTask) -> Any:
        """Runs until the task has ended; gives its result or raises its error."""
        while not task.done:
            self.run_once()
        if task.error is not None:
            raise task.error
        return task.result

    def stop(self) -> None:
        self.is_running = False


class Pause:
    """A sleep of one task that others can end early.

    >>> loop = Loop()
    >>> pause = Pause(loop)
    >>> timer = loop.call_in(1.0, pause.wake)
    >>> loop.run_until(loop.spawn(pause.sleep(60_000.0), "sleeper"))
    False
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self._wake: Callable[[bool], None] | None = None

    @property
    def is_sleeping(self) -> bool:
        return self._wake is not None

    def sleep(self, ms: float) -> Coroutine:
        """Whether it lasted as long as it should."""

        def arm(task: LoopTask) -> Callable[[], None]:
            def disarm() -> None:
                timer.cancel()
                self._wake = None

            def wake(whole: bool) -> None:
                disarm()
                self.loop.wake(task, whole)

            timer = self.loop.call_in(ms, lambda: wake(True))
            self._wake = wake
            return disarm

        whole = yield arm
        return whole

    def wake(self) -> None:
        """Nobody may be asleep."""
        if self._wake is not None:
            self._wake(False)

"""Hollow parts as processes of their own: started, ordered about over a pipe, ended.

Imports the kernel and `scale`'s own. `runs.py` starts them. A part is an object made in its process, whose
methods are called by name from here; it ends when its pipe does, whoever ended that."""

from __future__ import annotations

import multiprocessing
import signal
from collections.abc import Callable
from multiprocessing.connection import Connection
from types import TracebackType
from typing import Any

from glencleat.event_loop import Loop
from glencleat.event_loop.loop import READ

JOIN_TIMEOUT_S = 5.0


class WorkerFailedError(Exception):
    """A part ended, or answered an order with an error."""


class WorkerStartError(WorkerFailedError):
    """The system has no port, descriptor or memory for a part."""


def serve_calls(pipe: Connection, make: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
    """The part's process: makes it, then obeys."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # an interrupt reaches the whole group; the runner ends us
    loop = Loop()
    try:
        part = make(loop, *arguments)
    except OSError as error:
        pipe.send((None, f"{type(error).__name__}: {error}"))
        return
    pipe.send((part.startup_info(), None))

    def ordered(_: int) -> None:
        try:
            name, given = pipe.recv()
        except (EOFError, OSError):
            loop.stop()
            return
        try:
            pipe.send((getattr(part, name)(*given), None))
        except Exception as error:  # told to the runner, which ends the run
            pipe.send((None, f"{name}: {type(error).__name__}: {error}"))

    loop.poller.watch(pipe.fileno(), READ, ordered)
    loop.run()
    part.close()


class WorkerProcess:
    """One of these processes, from outside. `startup_info`: what it told of itself."""

    def __init__(self, make: Callable[..., Any], *arguments: Any) -> None:
        spawn = multiprocessing.get_context("spawn")
        self.pipe, theirs = spawn.Pipe()
        self.name = make.__name__
        self.process = spawn.Process(target=serve_calls, args=(theirs, make, arguments), daemon=True)
        self.process.start()
        theirs.close()
        self.startup_info: Any = None

    def start(self) -> Any:
        """What it tells of itself once it stands; WorkerStartError if the system refuses it something."""
        try:
            self.startup_info = self.wait_result()
        except WorkerFailedError as error:
            raise WorkerStartError(str(error)) from None
        return self.startup_info

    def wait_result(self) -> Any:
        """The answer to the last order."""
        try:
            value, error = self.pipe.recv()
        except (EOFError, OSError) as fault:
            raise WorkerFailedError(f"{self.name} ended: {fault or 'its pipe did'}") from None
        if error is not None:
            raise WorkerFailedError(f"{self.name}: {error}")
        return value

    def start_call(self, name: str, *given: Any) -> None:
        """Without waiting: `wait_result` has to follow."""
        self.pipe.send((name, given))

    def call(self, name: str, *given: Any) -> Any:
        self.start_call(name, *given)
        return self.wait_result()

    def stop(self) -> None:
        self.pipe.close()
        self.process.join(JOIN_TIMEOUT_S)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()


class WorkerProcesses:
    """All that a run has started, ended in any case."""

    def __init__(self) -> None:
        self.workers: list[WorkerProcess] = []

    def __enter__(self) -> WorkerProcesses:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, at: TracebackType | None
    ) -> None:
        for part in self.workers:
            part.stop()

    def start_worker(self, make: Callable[..., Any], *arguments: Any) -> WorkerProcess:
        part = WorkerProcess(make, *arguments)
        self.workers.append(part)
        return part

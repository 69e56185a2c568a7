"""A host of the lease search, with which anything of the fault table may happen."""

from dataclasses import dataclass

from benchmarks.host_faults import FormerConnections
from glencleat.emulators.unreachable_port import UnreachablePort
from glencleat.event_loop import Listener
from glencleat.platform_protocol import messages as m
from tests.support.process_hosts import AcceptingHost
from tests.support.socket_world import reset

NOTE_INTERVAL_MS = 400.0


@dataclass(eq=False)
class Task:
    task_id: int
    process_number: int
    is_quiet: bool
    host_name: str = ""  # by which a client has named it
    known_at_ms: float | None = None  # when the allocator was told of it: by its answer or by a client
    noted_at_ms: float = -1e9
    ended_at_ms: float | None = None
    is_cut: bool = False
    released_at_ms: float | None = None


@dataclass(eq=False)
class Silence:
    """A time in which a process runs and nothing is heard of it."""

    process_number: int
    began_at_ms: float
    must_keep_tasks: bool  # the list is up and a connection to the process stays open
    ended_at_ms: float = float("inf")


class SearchHost(AcceptingHost):
    """A host that reports on its tasks, and with which anything of the fault table may happen."""

    def __init__(self, loop, random):
        self.random, self.process_number, self.tasks, self.streams_by_task = random, 0, {}, {}
        self.process_by_stream, self.resets_former_streams, self.unacknowledged = {}, False, set()
        self.is_running, self.silences, self.held, self.unreachable = True, [], [], None
        self.unfinished = []  # connections that the other side has ended, while the process is silent
        self.untold_by_hang = {}  # tasks whose release the host owes and can't send, and when it can again
        super().__init__(loop)
        loop.call_in(NOTE_INTERVAL_MS, self.send_notes)

    @property
    def is_silent(self):
        return bool(self.silences) and self.silences[-1].ended_at_ms > self.loop.now()

    def accept(self, stream):
        self.process_by_stream[stream] = self.process_number
        super().accept(stream)
        if not self.is_silent:
            self.send_releases(stream)

    def send_releases(self, stream):
        for task_id in self.unacknowledged:
            stream.send(m.encode_with_cause(m.RELEASE, task_id, m.ENDED))

    def open_streams(self):
        """The connections on which the current process can be heard."""
        if self.is_silent or not self.is_running:
            return []
        return [
            stream
            for stream in self.streams
            if stream.close_reason is None and self.process_by_stream[stream] == self.process_number
        ]

    def running(self):
        return [
            task
            for task in self.tasks.values()
            if task.process_number == self.process_number and task.ended_at_ms is None
        ]

    def start_task(self, task_id):
        is_quiet = self.random.random() < 0.4
        self.tasks[task_id] = Task(task_id, self.process_number, is_quiet)

    def handle(self, stream, message):
        if self.process_by_stream[stream] != self.process_number or not self.is_running:
            if self.resets_former_streams and self.is_running:
                reset(stream)
            return
        if self.is_silent:
            self.held.append((stream, message))
            return
        if message.kind == m.SETUP:
            self.start_task(message.task_id)
            self.streams_by_task[message.task_id] = stream
        elif message.kind == m.RELEASE_COMPLETE:
            self.unacknowledged.discard(message.task_id)
        elif message.kind == m.RELEASE:
            self.cut(message.task_id)
            stream.send(m.encode(m.RELEASE_COMPLETE, message.task_id))
        super().handle(stream, message)

    def cut(self, task_id):
        """An allocator ends a task."""
        task = self.tasks.get(task_id)
        if task is not None and task.ended_at_ms is None:
            task.ended_at_ms, task.is_cut = self.loop.now(), True

    def choose_stream(self, task):
        own, streams = self.streams_by_task.get(task.task_id), self.open_streams()
        return own if own in streams else self.random.choice(streams) if streams else None

    def send_notes(self):
        self.loop.call_in(NOTE_INTERVAL_MS, self.send_notes)
        for task in self.running():
            stream = None if task.is_quiet else self.choose_stream(task)
            if stream is not None:
                note = {m.TOPIC: b"cores", m.VALUE: b"1"}
                stream.send(m.encode(m.OBSERVATION, task.task_id, note))
                task.noted_at_ms = self.loop.now()

    def end_task(self, task):
        task.ended_at_ms = self.loop.now()
        self.unacknowledged.add(task.task_id)
        stream = self.choose_stream(task)
        if stream is not None:
            stream.send(m.encode_with_cause(m.RELEASE, task.task_id, m.ENDED))

    # ---- faults ----

    def end_process(self, connections, *, are_connects_refused):
        """Ends the process; until the next one starts connects are refused or never come up."""
        for task in self.running():
            task.ended_at_ms = self.loop.now()
        former = self.open_streams()
        self.is_running = False
        self.unacknowledged.clear()
        self.resets_former_streams = connections is FormerConnections.RESET_WHEN_WRITTEN_TO
        for stream in former if connections is FormerConnections.RESET else ():
            reset(stream)
        self.stop_listening(are_connects_refused=are_connects_refused)

    def start_process(self):
        self.process_number += 1
        self.is_running = True
        self.listen()

    def fall_silent(self, *, do_connects_come_up, must_keep_tasks):
        """The process runs on: it hangs, or its machine is cut off."""
        self.silences.append(Silence(self.process_number, self.loop.now(), must_keep_tasks))
        if not do_connects_come_up:
            self.stop_listening(are_connects_refused=False)

    def recover(self):
        """What came meanwhile is read now, and what was to be sent is sent."""
        self.silences[-1].ended_at_ms = self.loop.now()
        self.untold_by_hang.update(dict.fromkeys(self.unacknowledged, self.loop.now()))
        if self.unreachable is not None:
            self.listen()
        held, self.held = self.held, []
        for stream, message in held:
            if stream.close_reason is None:
                self.handle(stream, message)
            elif message.kind == m.RELEASE:  # what was written before a close is read
                self.cut(message.task_id)
        for stream in self.unfinished:
            stream.close()
        self.unfinished = []
        for stream in self.open_streams():
            self.send_releases(stream)

    def finish(self, stream):
        """A process that hangs closes nothing, and neither does a machine that has vanished."""
        is_former = self.process_by_stream[stream] != self.process_number or not self.is_running
        if self.is_silent or is_former:
            self.unfinished.append(stream)
        else:
            super().finish(stream)

    def stop_listening(self, *, are_connects_refused):
        self.listener.close()
        if not are_connects_refused:
            self.unreachable = UnreachablePort(self.address)

    def listen(self):
        if self.unreachable is not None:
            self.unreachable.close()
            self.unreachable = None
        self.listener = Listener(self.loop, self.address, self.accept)

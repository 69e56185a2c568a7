"""A seeded search for tasks that stand too long or are released while their host reports on them.

One host, whose processes replace each other while the list is late or silent, on virtual time. In every tick the
maintenance's self-check holds that each task without evidence of its process is reviewed before its lease expires.
"""

from dataclasses import dataclass
from random import Random

import pytest

from glencleat import interface as api
from glencleat.event_loop import Listener
from glencleat.platform_protocol import messages as m
from tests.support.exchange_world import setup
from tests.support.lease_world import LeaseWorld
from tests.support.process_hosts import AcceptingHost
from tests.support.socket_world import pass_time, reset

SEEDS = (*range(8), 102, 114, 119, 131, 180, 193, 200, 205, 254, 300, 342, 402, 490, 512, 604, 610, 636)
STEPS = 60
STEP_MS = (20.0, 900.0)
LIST_DELAYS_MS = (300.0, 2_500.0)
SILENCES_MS = (500.0, 12_000.0)
HAND_OVER_DELAYS_MS = (0.0, 4_000.0)  # from the moment at which another allocator lost a task
NOTE_INTERVAL_MS = 400.0
REPORT_LASTS_MS = 5_000.0  # a task is not released so soon after a report on it, while it runs
LOST_DUE_MS, HANDED_OVER_MS, RELEASE_DUE_MS = 8_050.0, 200.0, 1_050.0
QUIET_MS = 12_000.0  # after the last step, until all releases are due


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


class SearchHost(AcceptingHost):
    """A host that reports on its tasks, and whose process can be replaced."""

    def __init__(self, loop, random):
        self.random, self.process_number, self.tasks, self.streams_by_task = random, 0, {}, {}
        self.process_by_stream, self.resets_former_streams, self.unacknowledged = {}, False, set()
        super().__init__(loop)
        loop.call_in(NOTE_INTERVAL_MS, self.send_notes)

    def accept(self, stream):
        self.process_by_stream[stream] = self.process_number
        super().accept(stream)
        for task_id in self.unacknowledged:
            stream.send(m.encode_with_cause(m.RELEASE, task_id, m.ENDED))

    def open_streams(self):
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

    def start_task(self, task_id, known_at_ms=None):
        is_quiet = self.random.random() < 0.4
        self.tasks[task_id] = Task(task_id, self.process_number, is_quiet, known_at_ms=known_at_ms)

    def handle(self, stream, message):
        if self.process_by_stream[stream] != self.process_number:
            if self.resets_former_streams:
                reset(stream)
            return
        if message.kind == m.SETUP:
            self.start_task(message.task_id, self.loop.now())
            self.streams_by_task[message.task_id] = stream
        elif message.kind == m.RELEASE_COMPLETE:
            self.unacknowledged.discard(message.task_id)
        elif message.kind == m.RELEASE:
            task = self.tasks.get(message.task_id)
            if task is not None and task.ended_at_ms is None:
                task.ended_at_ms, task.is_cut = self.loop.now(), True
            stream.send(m.encode(m.RELEASE_COMPLETE, message.task_id))
        super().handle(stream, message)

    def choose_stream(self, task):
        own, streams = self.streams_by_task.get(task.task_id), self.open_streams()
        return own if own in streams else self.random.choice(streams) if streams else None

    def send_notes(self):
        self.loop.call_in(NOTE_INTERVAL_MS, self.send_notes)
        for task in self.running():
            stream = None if task.is_quiet else self.choose_stream(task)
            if stream is not None and task.known_at_ms is not None:
                note = {m.TOPIC: b"cores", m.VALUE: b"1"}
                stream.send(m.encode(m.OBSERVATION, task.task_id, note))
                task.noted_at_ms = self.loop.now()

    def end_task(self, task):
        task.ended_at_ms = self.loop.now()
        self.unacknowledged.add(task.task_id)
        stream = self.choose_stream(task)
        if stream is not None:
            stream.send(m.encode_with_cause(m.RELEASE, task.task_id, m.ENDED))

    def replace(self, form):
        """Ends the process and starts a new one; `form` is what becomes of the connections."""
        for task in self.running():
            task.ended_at_ms = self.loop.now()
        former = self.open_streams()
        self.listener.close()
        self.process_number += 1
        self.unacknowledged.clear()
        self.resets_former_streams = form == "reset when written to"
        for stream in former if form == "reset" else ():
            reset(stream)
        self.listener = Listener(self.loop, self.address, self.accept)


class Search:
    """A random sequence of events by its seed."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.world = LeaseWorld(lambda loop: SearchHost(loop, self.random))
        self.host, self.loop = self.world.host, self.world.loop
        self.world.module.handle = self.decide
        self.name, self.task_count, self.told_at_ms, self.untold = "h1", 0, 0.0, []
        self.listed_name, self.decoders_by_client = "h1", {}
        self.listed_at_ms_by_name = {"h1": 0.0}
        self.loop.call_in(1.0, self.read_clients)
        self.steps = [
            self.place, self.place, self.place, self.name_task, self.name_task, self.replace,
            self.reset_connection, self.silence_list, self.end_task, self.end_task, self.wait,
        ]  # fmt: skip

    def run(self):
        for _ in range(STEPS):
            self.random.choice(self.steps)()
            pass_time(self.world, self.random.uniform(*STEP_MS))
        self.end_silence()
        pass_time(self.world, QUIET_MS)
        return [fault for task in self.host.tasks.values() if (fault := self.find_fault(task))]

    def decide(self, now, event):
        self.world.module.events.append(event)
        if isinstance(event, api.PlacementRequested) and event.machine is None:
            return [api.Bind(event.call_id, self.listed_name, 900.0)]
        if isinstance(event, api.AttemptEnded) and not event.is_call_closed:
            return [api.Reject(event.call_id)]
        return []

    def send(self, data):
        """Sends on a new connection: the allocator closes those that have nothing to say."""
        self.world.client().send(data)

    def read_clients(self):
        self.loop.call_in(10.0, self.read_clients)
        for sock in self.world.clients:
            try:
                data = sock.recv(65_536)
            except (BlockingIOError, ConnectionResetError):
                continue
            decoder = self.decoders_by_client.setdefault(sock, m.MessageDecoder())
            decoder.feed(data)
            for message in decoder.messages():
                self.record(message)

    def record(self, message):
        task = self.host.tasks.get(message.task_id)
        if message.kind == m.RELEASE and task is not None and task.released_at_ms is None:
            task.released_at_ms = self.loop.now()

    # ---- steps ----

    def wait(self):
        pass_time(self.world, 2_000.0)

    def place(self):
        self.task_count += 1
        self.send(setup(self.task_count))

    def name_task(self):
        """A client names a task of another allocator, some time after that has ended."""
        self.task_count += 1
        self.host.start_task(self.task_count)
        task, name = self.host.tasks[self.task_count], self.name
        task.host_name = name

        def hand_over():
            task.known_at_ms = self.loop.now() + HANDED_OVER_MS
            extras = f"cores:1;memory:1;service:s;at:{name}"
            self.send(setup(task.task_id, extras=extras, wait=None))

        self.loop.call_in(self.random.uniform(*HAND_OVER_DELAYS_MS), hand_over)

    def end_task(self):
        tasks = self.host.running()
        if tasks:
            self.host.end_task(self.random.choice(tasks))

    def replace(self):
        form = self.random.choice(["reset", "reset", "silent", "reset when written to"])
        self.host.replace(form)
        if self.random.random() < 0.6:
            self.name = f"h{self.host.process_number + 1}"
        entry = (self.name, self.host.address, float(self.host.process_number + 1))
        self.told_at_ms = max(self.told_at_ms, self.loop.now() + self.random.uniform(*LIST_DELAYS_MS)) + 1.0
        self.loop.call_in(self.told_at_ms - self.loop.now(), lambda: self.tell(entry))

    def tell(self, entry):
        self.untold.append(entry)
        self.tell_all()

    def tell_all(self):
        while self.world.is_list_up and self.untold:
            entry = self.untold.pop(0)
            self.listed_name = entry[0]
            self.listed_at_ms_by_name.setdefault(entry[0], self.loop.now())
            self.world.list(entry)

    def reset_connection(self):
        streams = self.host.open_streams()
        if streams:
            reset(self.random.choice(streams))

    def silence_list(self):
        if self.world.is_list_up:
            self.world.is_list_up = False
            self.loop.call_in(self.random.uniform(*SILENCES_MS), self.end_silence)

    def end_silence(self):
        self.world.is_list_up = True
        self.tell_all()

    # ---- the verdict ----

    def find_fault(self, task):
        """Returns what is wrong with the release of a task, "" if nothing."""
        if task.known_at_ms is None:
            return ""
        released_at_ms, ended_at_ms = task.released_at_ms, task.ended_at_ms
        if released_at_ms is not None and (ended_at_ms is None or released_at_ms < ended_at_ms):
            # It can't be cut before the list has told of its host.
            listed_at_ms = self.listed_at_ms_by_name.get(task.host_name, 0.0)
            if ended_at_ms is None or ended_at_ms > max(released_at_ms, listed_at_ms) + RELEASE_DUE_MS:
                return f"{task}: released while it ran"
            if task.noted_at_ms > released_at_ms - REPORT_LASTS_MS:
                return f"{task}: released while its host reported on it"
        if ended_at_ms is not None:
            due_ms = max(ended_at_ms, task.known_at_ms) + LOST_DUE_MS
            if released_at_ms is None or released_at_ms > due_ms:
                return f"{task}: due at {due_ms:.0f}"
        return ""


@pytest.mark.parametrize("seed", SEEDS)
def test_every_task_has_evidence_of_its_process_or_ends_in_time(seed):
    search = Search(seed)
    faults = search.run()
    for sock in search.world.clients:
        sock.close()
    assert faults == []

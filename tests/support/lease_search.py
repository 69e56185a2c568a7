"""A seeded search for tasks that stand too long or are released while their process runs, on virtual time.

One host with the faults of `benchmarks/host_faults.py`, while the list is late or silent. In every tick the
maintenance's self-check holds that each task with a lease is reviewed before its lease expires.
"""

from dataclasses import dataclass, replace
from random import Random

from benchmarks.host_faults import (
    AT_ONCE_MS,
    COLD_START_MS,
    LIST_SILENT_MS,
    SECOND_FAULT_MS,
    START_LISTED_MS,
    HostFault,
    Successor,
    draw_cells,
)
from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from tests.support.exchange_world import setup
from tests.support.lease_world import LeaseWorld
from tests.support.search_host import SearchHost
from tests.support.socket_world import pass_time, reset

STEPS = 60
STEPS_BEFORE = 12  # of a single fault
STEP_MS = (20.0, 900.0)
SETTLED_MS = 4_000.0  # after the loss of a connection: the list vouches for the next one
SECOND_AWAY_MS = (8_000.0, COLD_START_MS)  # after a second vanishing
KEPT_MS = (
    5_500.0  # a process that is cut off for no longer keeps its tasks: UNREACHABLE_MS less a check's interval
)
HAND_OVER_DELAYS_MS = (0.0, 4_000.0)  # from the moment at which another allocator lost a task
REPORT_LASTS_MS = 5_000.0  # a task is not released so soon after a report on it, while it runs
LOST_DUE_MS, HANDED_OVER_MS, RELEASE_DUE_MS = 8_050.0, 200.0, 1_050.0
QUIET_MS = 12_000.0  # after the last step, until all releases are due


@dataclass(frozen=True)
class Entry:
    """A line of the list."""

    name: str
    address: tuple
    started_unix_ms: float
    phase: api.MachinePhase


@dataclass
class Removal:
    """The list's word that a process has gone."""

    is_cancelled: bool = False


class Search:
    """A random sequence of events by its seed, with faults from `cells`; by default all in a random order."""

    def __init__(self, seed, cells=None):
        self.random = Random(seed)
        self.cells, self.played, self.is_fault_over = cells or draw_cells(Random(seed)), [], True
        self.world = LeaseWorld(lambda loop: SearchHost(loop, self.random))
        self.host, self.loop = self.world.host, self.world.loop
        self.world.module.handle = self.decide
        self.name, self.task_count, self.told_at_ms, self.untold = "h1", 0, 0.0, []
        self.listed_name, self.decoders_by_client = "h1", {}
        self.listed_at_ms_by_name = {"h1": 0.0}
        self.connection_lost_at_ms = 0.0  # by a reset on the way or an eviction
        self.loop.call_in(1.0, self.read_clients)
        self.steps = [
            self.place, self.place, self.place, self.name_task, self.name_task, self.begin_fault,
            self.reset_connection, self.silence_list, self.end_task, self.end_task, self.wait,
            self.evict_connection,
        ]  # fmt: skip

    def run(self):
        for _ in range(STEPS):
            self.step(self.steps)
        return self.judge()

    def run_cell(self):
        """Plays one fault, with other events before it and until it is over."""
        others = [step for step in self.steps if step not in (self.begin_fault, self.silence_list)]
        for _ in range(STEPS_BEFORE):
            self.step(others)
        self.begin_fault()
        while not self.is_fault_over:
            self.step(others)
        return self.judge()

    def step(self, steps):
        self.random.choice(steps)()
        pass_time(self.world, self.random.uniform(*STEP_MS))

    def judge(self):
        while not self.is_fault_over:
            pass_time(self.world, STEP_MS[1])
        self.end_silence()
        pass_time(self.world, QUIET_MS)
        found = [fault for task in self.host.tasks.values() if (fault := self.find_fault(task))]
        for sock in self.world.clients:
            sock.close()
        self.host.close()
        return found

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
        if message.kind == m.ANSWER:
            task.known_at_ms = self.loop.now()
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
        if not self.host.is_running or self.host.is_silent:
            return
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
        if tasks and not self.host.is_silent:  # what ends at a host that hangs is not told in time
            self.host.end_task(self.random.choice(tasks))

    def begin_fault(self):
        """Begins the next fault, if the one before is over."""
        if not self.is_fault_over:
            return
        self.is_fault_over = False
        cell = next(self.cells)
        self.played.append(cell)
        if cell.is_list_silent:
            self.silence_list()
        away_ms = self.random.uniform(*cell.away_ms)
        if cell.successor is Successor.SAME_PROCESS:
            self.begin_silence(cell, away_ms)
        else:
            self.end_process(cell, away_ms)

    def begin_silence(self, cell, away_ms):
        is_hang = cell.fault is HostFault.HANGS
        must_keep_tasks = (
            not cell.is_list_silent and self.world.is_list_up and (is_hang or away_ms <= KEPT_MS)
        )
        self.host.fall_silent(do_connects_come_up=is_hang, must_keep_tasks=must_keep_tasks)
        removal = self.remove_later(cell.end_listed_ms)

        def recover():
            self.host.recover()
            self.list_start(removal)

        self.loop.call_in(away_ms, recover)

    def end_process(self, cell, away_ms):
        self.host.end_process(cell.connections, are_connects_refused=cell.are_connects_refused)
        removal = self.remove_later(cell.end_listed_ms)
        if cell.successor is Successor.NOBODY:
            self.loop.call_in(COLD_START_MS, lambda: self.start_process(cell, removal))
        elif cell.away_ms == AT_ONCE_MS:
            self.start_process(cell, removal)
        else:
            self.loop.call_in(away_ms, lambda: self.start_process(cell, removal))

    def start_process(self, cell, removal):
        self.host.start_process()
        if cell.successor is not Successor.SAME_NAME:
            self.name = f"h{self.host.process_number + 1}"
        self.list_start(removal)
        if cell.successor is Successor.VANISHES_TOO:
            once_more = replace(cell, successor=Successor.OTHER_NAME)
            second_away_ms = self.random.uniform(*SECOND_AWAY_MS)
            self.is_fault_over = False
            in_ms = self.random.uniform(*SECOND_FAULT_MS)
            self.loop.call_in(in_ms, lambda: self.end_process(once_more, second_away_ms))

    # ---- the list ----

    def remove_later(self, delays_ms):
        """The list tells that the current process has gone, unless that is cancelled before."""
        name, removal = self.name, Removal()

        def remove():
            if not removal.is_cancelled:
                self.tell_in(0.0, Entry(name, self.host.address, 1.0, api.MachinePhase.REMOVED))

        self.loop.call_in(self.random.uniform(*delays_ms), remove)
        return removal

    def list_start(self, removal):
        """The list tells of the process that runs now, after which the fault is over."""
        started = float(self.host.process_number + 1)
        entry = Entry(self.name, self.host.address, started, api.MachinePhase.SERVING)
        removal.is_cancelled = True
        self.tell_in(self.random.uniform(*START_LISTED_MS), entry)
        self.is_fault_over = True

    def tell_in(self, in_ms, entry):
        self.told_at_ms = max(self.told_at_ms, self.loop.now() + in_ms) + 1.0
        self.loop.call_in(self.told_at_ms - self.loop.now(), lambda: self.tell(entry))

    def tell(self, entry):
        self.untold.append(entry)
        self.tell_all()

    def tell_all(self):
        while self.world.is_list_up and self.untold:
            entry = self.untold.pop(0)
            if entry.phase is api.MachinePhase.SERVING:
                self.listed_name = entry.name
                self.listed_at_ms_by_name.setdefault(entry.name, self.loop.now())
            self.world.list((entry.name, entry.address, entry.started_unix_ms), phase=entry.phase)

    def evict_connection(self):
        """The allocator closes its only connection to the host, to free the descriptor."""
        host = self.world.hosts.hosts_by_name.get(self.listed_name)
        connections = list(host.connections) if host is not None else []
        if len(connections) == 1 and connections[0].is_idle and not host.unsent_releases:
            self.connection_lost_at_ms = self.loop.now()
            if self.host.is_silent:
                self.host.silences[-1].must_keep_tasks = False
            connections[0].evict()

    def reset_connection(self):
        streams = self.host.open_streams()
        if streams:
            self.connection_lost_at_ms = self.loop.now()
            reset(self.random.choice(streams))

    def silence_list(self):
        if self.world.is_list_up:
            self.world.is_list_up = False
            if self.host.is_silent:
                self.host.silences[-1].must_keep_tasks = False
            self.loop.call_in(self.random.uniform(*LIST_SILENT_MS), self.end_silence)

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
            silence = self.find_silence(task, released_at_ms)
            is_known_before = silence is not None and task.known_at_ms <= silence.began_at_ms
            if is_known_before and silence.must_keep_tasks:
                return f"{task}: released while its process was silent and ran"
            # It can't be cut before the list has told of its host, or while that is silent.
            listed_at_ms = self.listed_at_ms_by_name.get(task.host_name, 0.0)
            heard_at_ms = silence.ended_at_ms if silence is not None else 0.0
            cut_due_ms = max(released_at_ms, listed_at_ms, heard_at_ms) + RELEASE_DUE_MS
            if ended_at_ms is None or ended_at_ms > cut_due_ms:
                return f"{task}: released while it ran"
            if task.noted_at_ms > released_at_ms - REPORT_LASTS_MS:
                return f"{task}: released while its host reported on it"
        if ended_at_ms is not None:
            due_ms = max(ended_at_ms, task.known_at_ms) + LOST_DUE_MS
            if task.task_id in self.host.untold_by_hang:
                due_ms = max(due_ms, self.host.untold_by_hang[task.task_id] + RELEASE_DUE_MS)
            if released_at_ms is None or released_at_ms > due_ms:
                return f"{task}: due at {due_ms:.0f}"
        return ""

    def find_silence(self, task, at_ms):
        """Returns the time of silence of the task's process in which a moment falls."""
        for silence in self.host.silences:
            is_same_process = silence.process_number == task.process_number
            if is_same_process and silence.began_at_ms <= at_ms < silence.ended_at_ms:
                return silence
        return None

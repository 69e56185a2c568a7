"""A core on a virtual clock, with sessions that record what was sent: no sockets, no real time."""

from glencleat import Scheduler
from glencleat import interface as api
from glencleat.allocator.core import Core
from glencleat.allocator.options import Options
from glencleat.event_loop import TimerHeap
from glencleat.mesos import messages as m

CLASSES = (
    api.TaskClass("safe", api.Idempotency.IDEMPOTENT, 1000.0, 8000.0, 1.0),
    api.TaskClass(
        "keyed",
        api.Idempotency.IDEMPOTENCY_KEY,
        1000.0,
        8000.0,
        1.0,
        deduplication_scope="all",
        deduplication_window_ms=5000.0,
    ),
    api.TaskClass("unsafe", api.Idempotency.NON_IDEMPOTENT, 1000.0, 8000.0, 1.0),
)


class Timing:
    """Implements `ports.TimingPort` on a virtual clock; time passes only in `advance`."""

    def __init__(self):
        self.at = 1_000_000.0
        self.timers = TimerHeap()
        self.clock = self

    def now(self):
        return self.at

    def wall(self):
        return 1.7e12 + self.at

    def call_in(self, in_ms, call):
        return self.timers.add(self.at + in_ms, call)

    def advance(self, ms):
        """Moves the clock by `ms` and runs the timers that become due, in order."""
        until = self.at + ms
        while (due := self.timers.next_due()) is not None and due <= until:
            self.at = max(self.at, due)
            for timer in self.timers.pop_due(self.at):
                if timer.callback is not None:
                    timer.callback()
        self.at = until


class Link:
    """A session that stores its records.

    While `hold` is set, records stay in the allocator's send buffer; `sent` is the number of bytes written, and
    may be set to a part of what is queued. With `fails` the session fails at the next record. `ended` is called
    with the reason when the session closes, and `why` holds that reason.
    """

    def __init__(self, kind):
        self.kind = kind
        self.records = []
        self.queued = 0
        self.sent = 0
        self.hold = False
        self.fails = False
        self.ended = None
        self.why = None

    def send(self, record):
        begin = self.queued
        if self.fails:
            self.close("connection lost")  # a real session also fails while it takes a record
        if self.why is None:
            self.records.append(m.decode(self.kind, record))
            self.queued += len(record)
            if not self.hold:
                self.sent = self.queued
        return begin, begin + len(record)

    def written_bytes(self):
        return self.sent

    def close(self, why):
        if self.why is None:
            self.why = why
            if self.ended is not None:
                self.ended(why)

    def of(self, kind):
        """Returns the records of one type."""
        return [record for record in self.records if record.type == kind]


class Agent:
    """An agent that calls the core as the server of the executor API does."""

    def __init__(self, cluster, name, run="r1"):
        self.cluster = cluster
        self.name = name
        self.run = run
        self.link = None
        self.uuids = 0

    @property
    def id(self):
        return f"{self.name}.{self.run}"

    def subscribe(self, tasks=(), updates=()):
        subscription = m.SubscribeExecutor(list(tasks), [m.UpdateCall(status) for status in updates])
        call = m.ExecutorCall("SUBSCRIBE", m.Value(self.id), m.Value("glencleat"), subscribe=subscription)
        link = Link(m.ExecutorEvent)
        self.link = link
        sessions = self.cluster.core.agent_sessions
        name = sessions.subscribe(call, link)
        link.ended = lambda why: sessions.close_session(name, link, why)
        return self

    def launches(self):
        return [event.launch.task for event in self.link.of("LAUNCH")]

    def kills(self):
        return [event.kill.task_id.value for event in self.link.of("KILL")]

    def status(self, task, state, reason=None, cause=None):
        self.uuids += 1
        labels = m.Labels([m.Label("cause", cause)]) if cause else None
        return m.TaskStatus(
            m.Value(task), state, reason=reason, uuid=f"{self.id}-{self.uuids}", labels=labels
        )

    def say(self, task, state, reason=None, cause=None):
        self.tell(self.status(task, state, reason, cause))

    def tell(self, status):
        self.cluster.core.agent_sessions.handle_update(self.id, status)

    def beat(self):
        self.cluster.core.agent_sessions.record_heartbeat(self.id)


class Owner:
    """A framework that calls the core as the server of the scheduler API does."""

    def __init__(self, cluster, name="owner", failover_s=60.0):
        self.cluster = cluster
        self.name = name
        self.failover_s = failover_s
        self.link = None
        self.framework = None

    def subscribe(self):
        info = m.FrameworkInfo("u", self.name, m.Value(self.name), "tenant", failover_timeout=self.failover_s)
        link = Link(m.SchedulerEvent)
        self.link = link
        sessions = self.cluster.core.framework_sessions
        framework = sessions.subscribe(info, f"stream-{self.name}", link)
        self.framework = framework
        link.ended = lambda why: sessions.close_session(framework, link, why)
        return self

    def launch(self, task, cls="safe", cores=1.0, memory=100.0, left=8000.0, **more):
        values_by_key = {"class": cls, "service": "svc", "time_left_ms": str(left), **more}
        labels = m.Labels([m.Label(key, value) for key, value in values_by_key.items()])
        info = m.TaskInfo(task, m.Value(task), resources=m.make_resources(cores, memory), labels=labels)
        offer = self.link.of("OFFERS")[-1].offers.offers[0].id
        operation = m.Operation("LAUNCH", m.Launch([info]))
        self.cluster.core.framework_sessions.accept(self.framework, m.Accept([offer], [operation]))

    def statuses(self, task=None):
        statuses = [event.update.status for event in self.link.of("UPDATE")]
        return [status for status in statuses if task is None or status.task_id.value == task]

    def states(self, task):
        return [status.state for status in self.statuses(task)]

    def reconcile(self, task):
        self.cluster.core.framework_sessions.reconcile(self.framework, [m.ReconcileTask(m.Value(task))])
        return self.statuses(task)[-1]


class Cluster:
    """One allocator's core, with agents `h0`, `h1` ... subscribed and in the machine list."""

    def __init__(self, machines=2, module=None, seed=3, **options):
        self.timing = Timing()
        settings = api.Settings(
            allocator_index=0,
            allocator_count=1,
            zone="a",
            classes=CLASSES,
            machine_sizes={"std": api.MachineSize(16.0, 32_000.0)},
            cores_overcommit=2.0,
            memory_overcommit=2.0,
            max_attempts=4,
            drain_grace_ms=1000.0,
        )
        options = Options(**({"heartbeat_ms": 1000.0, "reregistration_timeout_ms": 4000.0} | options))
        module = module or Scheduler(settings, seed=1)
        self.core = Core(settings, module, options, self.timing, seed)
        names = [f"h{i}" for i in range(machines)]
        self.agents = {name: Agent(self, name).subscribe() for name in names}
        self.list(names)
        self.timing.advance(self.core.options.startup_grace_ms if not machines else 0.0)

    def list(self, names, kind=api.ListUpdateKind.SNAPSHOT, phase=api.MachinePhase.SERVING):
        machines = tuple(api.Machine(name, "std", "a", 0, phase, 16.0, 32_000.0) for name in names)
        self.core.update_machine_list(api.MachineListUpdated(kind, machines))

    def offered(self):
        """Returns the agent and task of every LAUNCH so far, in the order of their calls and attempts."""
        launches = [(agent, task) for agent in self.agents.values() for task in agent.launches()]
        return sorted(
            launches, key=lambda item: [int(x) for x in item[1].task_id.value.split("-")[2].split(".")]
        )

    def check(self):
        """Checks invariants that hold at any instant: the counters add up, and so does the open task count."""
        assert self.core.counters.find_mismatches() == {}
        assert self.core.call_table.open_task_count == sum(
            c.final_answer is None for c in self.core.call_table.active_calls_by_number.values()
        )

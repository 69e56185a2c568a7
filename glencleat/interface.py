"""Interface of the policy: the settings, events and actions of a Scheduler, and the contract of its caller.

Times are milliseconds on the caller's monotonic clock, which never goes back between two calls of
`Scheduler.handle`. Cores and memory are in the units of the machines, the same in settings, list,
requests, reports and observations. All types are frozen; a field whose value the caller does not know is
None.

The contract. A breach is not reported by the policy, which ignores what does not fit; it then takes an
attempt to be in flight for ever, and after four of these at a machine (its short queue) sends nothing
more there. `glencleat/allocator/contract.py` checks all of it at run time and raises ContractError.

1. `PlacementRequested` begins a call. Its id is the caller's choice and not that of a call still known:
   one without a final answer, or whose last attempt has had no `AttemptEnded`.
2. Each `Bind` is one attempt. The caller counts a call's attempts from 0 in the order of their `Bind`s
   and gives that number back in `AttemptAccepted` and `AttemptEnded`, with the machine of the `Bind`.
   Only the last attempt may be reported on. A call that was requested with `machine` has attempt 0 at
   that machine already, accepted; it is not sent.
3. Each `Bind` gets exactly one `AttemptEnded`, however it ended: also NOT_SENT if it could not be sent,
   and TIMED_OUT when `timeout_ms` has passed without an answer. `AttemptAccepted` comes at most once,
   before it, when the machine says yes; from then on no time-out runs, and `AttemptEnded` reports the
   placed task's end, with `is_call_closed` true.
4. `AttemptEnded` with `is_call_closed` false leaves the call open: the policy answers with another
   `Bind`, or with `Reject` or `Fail`, now or later by a timer. These two are the final answer: no action
   on the call follows.
5. `CallAbandoned` says that nobody waits for the answer any more; no answer follows. An attempt in
   flight still gets its `AttemptEnded`, with `is_call_closed` true.
6. `SetTimer` comes back as one `TimerFired` with its token, no earlier than asked for. `Probe` comes
   back as one `ProbeEnded`. `WatchMachineList` asks for the list's changes from now on and comes back as
   one `MachineListUpdated`: SNAPSHOT or FAILED, then DELTA as changes come, and a SNAPSHOT when a list
   that failed is back before it is asked for.
7. An attempt counts as known not to have run after REJECTED, UNREACHABLE and NOT_SENT, and only then. A
   caller that is not sure reports TIMED_OUT, LOST or ERROR. That no task has its effect twice rests on
   this.
8. Actions are carried out in their order, all of them, before the next event is handed in.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a second run of a task would do."""

    IDEMPOTENT = "safe"  # no harm
    IDEMPOTENCY_KEY = "keyed"  # dropped by machines that remember the task's key, within a scope and a window
    NON_IDEMPOTENT = "unsafe"  # its effect would come twice


class Outcome(Enum):
    """How an attempt ended."""

    ERROR = "error"  # the machine answered with an error; the task may have run
    COMPLETED = "ended"  # a placed task came to its end (or a probe was answered)
    REJECTED = "refused"  # the machine said no; known not to have run
    TIMED_OUT = "timed out"  # no answer within the attempt's time-out; may have run
    UNREACHABLE = "unreachable"  # nothing could be sent, the machine is not there; known not to have run
    LOST = "lost"  # the connection or the machine went after it was sent, or a placed task was lost
    STOPPED = "stopped"  # a placed task was stopped: by its owner, a move, or a drain's end
    NOT_SENT = "not sent"  # it never left; known not to have run


class OutcomeReason(Enum):
    """The reason of an outcome: the first five come with REJECTED, the others at a placed task's end."""

    UNSPECIFIED = "none"  # not given; a rejection without a reason is taken as a limit on its class or tenant
    INSUFFICIENT_CORES = "cores"
    INSUFFICIENT_MEMORY = "memory"
    QUEUE_FULL = "line"  # too many attempts wait there
    NOT_ELIGIBLE = "not here"  # wrong kind, draining, too late, or a copy runs there
    EVICTED = "evicted"  # memory ran out
    PREEMPTED = "pushed out"  # for a task of higher priority
    DRAINED = "sent away"  # the machine stops


class MachinePhase(Enum):
    """Where a machine is in its life."""

    SERVING = "serving"  # takes new tasks
    DRAINING = "draining"  # takes no new tasks; those that it has run out
    REMOVED = "gone"  # no longer there


class ListUpdateKind(Enum):
    """What an update of the machine list contains."""

    DELTA = "changes"  # its entries replace those of the same name, the others stay
    SNAPSHOT = "whole"  # all machines: one without an entry is removed
    FAILED = "failed"  # nothing; what was known stays, and the policy asks again by a timer


class ObservationKind(Enum):
    """What was measured of a running task or its machine."""

    RUNNING = "runs"  # its start is over (where the acceptance came before it); the value does not matter
    CORES_IN_USE = "cores"  # in use by the task now
    MEMORY_IN_USE = "memory"  # likewise
    SERVICE_LEVEL = "served"  # share of full service that the task gets, 0 to 1
    MACHINE_MEMORY_IN_USE = "machine memory"  # share of the machine's memory in use, by all


@dataclass(frozen=True, slots=True)
class TaskClass:
    """A class of tasks: what a start is worth, what a retry may do, and where its tasks may run."""

    name: str
    idempotency: Idempotency
    latency_objective_ms: float  # from arrival; a start within it earns its full weight
    deadline_ms: float  # from arrival, until its owner gives up
    weight: float  # of a second of full service, for a task of mean size
    late_start_weight: float = 0.0  # part of a start's weight after the latency objective
    # With an idempotency key, repeats are dropped by "all" machines, those of one "zone" or of one "cell",
    deduplication_scope: str = "all"
    # for so long from the first attempt that may have run.
    deduplication_window_ms: float = 0.0
    start_weight_s: float = 0.0  # seconds of service that a start in time is worth
    spread_by: str = "off"  # "off", "machine", "cell" or "zone"
    max_per_domain: int = 0  # tasks of a service in one such domain, of this scheduler
    machine_kind: str | None = None  # the kind of machine that it needs; None: any
    priority: int = 0  # higher ones keep cores and memory longer
    saturation_threshold: float = 1.0  # share of busy cores up to which it is served in full
    degradation_range: float = 1.0  # how much above it the service has faded to nothing


@dataclass(frozen=True, slots=True)
class MachineSize:
    """Cores and memory of a kind of machine."""

    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a scheduler is told of the cluster and of its own place in it."""

    allocator_index: int  # this scheduler's number, 0 to allocator_count - 1
    allocator_count: int  # schedulers, this one included
    zone: str  # where this scheduler is
    classes: tuple[TaskClass, ...]
    machine_sizes: dict[str, MachineSize]
    cores_overcommit: float = 1.0  # a machine accepts requests up to this multiple of its cores
    memory_overcommit: float = 1.0
    list_has_free_capacity: bool = False  # list entries carry the capacity that no accepted task asked for
    watch_on_request: bool = False  # the list comes only after WatchMachineList
    reports_count_usage: bool = False  # reported free capacity is what is not used (else: not asked for)
    reports_on_probe: bool = False  # load reports come with answers to probes
    probes_allowed: bool = False
    reports_pressure: bool = False  # observations of the service level and of machine memory come
    acceptance_means_running: bool = False  # the acceptance comes when the task runs
    max_attempts: int = 1  # of one call
    max_retry_after_ms: float = 0.0  # longest advice to wait that owners follow
    drain_grace_ms: float = 0.0  # from learning of a drain to the last attempt sent there
    warm_up_ms: float = 0.0  # after its start a machine is warm
    warm_up_window_ms: float = 0.0  # over which a machine that warms up bounds offers
    warm_up_offers: float = 0.0  # that it bears in any such window, from all schedulers
    settle_ms: float = 0.0  # an owner's wait before it requests again what may run
    tick_ms: float = 1.0  # resolution of the caller's clock and timers
    machine_price: float = 0.0  # price of each part of the fleet in use beyond need
    cross_zone_price: float = 0.0  # price of tasks in another zone than this scheduler's
    over_quota_weight: float = 1.0  # of a task beyond its tenant's quota
    tenant_quota_cores: dict[str, float] | None = None  # requested cores by tenant, at all schedulers


@dataclass(frozen=True, slots=True)
class Machine:
    """An entry of the machine list."""

    name: str
    kind: str
    zone: str
    cell: int  # a few machines of a zone that share a fate, such as a rack
    phase: MachinePhase
    free_cores: float = 0.0  # see Settings.list_has_free_capacity; below 0 where too much was accepted
    free_memory: float = 0.0
    ready_at_ms: float | None = None  # its latest start; None: long ago


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A machine's load as it reports it; what it does not report is None."""

    free_cores: float | None = None  # not asked for, or not used (Settings.reports_count_usage)
    free_memory: float | None = None
    busy_share: float | None = None  # share of its cores that are busy, 0 to 1
    queue_length: float | None = None  # attempts and starts that wait there


@dataclass(frozen=True, slots=True)
class MachineListUpdated:
    """A snapshot of the machine list, a delta, or that the watch failed."""

    kind: ListUpdateKind
    machines: tuple[Machine, ...] = ()


@dataclass(frozen=True, slots=True)
class PlacementRequested:
    """A task to be placed, or (with `machine`) one that runs there already and is now this scheduler's."""

    call_id: int
    task_class: str  # a name in Settings.classes; another raises KeyError
    service: str
    cores: float  # requested
    memory: float  # requested
    remaining_ms: float = 0.0  # until its owner gives up; not read for a task that runs already
    tenant: str | None = None
    expected_run_ms: float | None = None  # a rough estimate
    machine: str | None = None
    is_retry: bool = False  # it comes again after a rejection, failure, migration or loss


@dataclass(frozen=True, slots=True)
class AttemptAccepted:
    """The machine said yes to the last attempt: the task is placed, and that is its answer."""

    call_id: int
    attempt: int  # counted from 0 in the order of the call's Binds
    machine: str
    elapsed_ms: float  # since its Bind


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The last attempt has ended: it came to nothing, or the task that it placed is over."""

    call_id: int
    attempt: int  # counted from 0 in the order of the call's Binds
    machine: str
    outcome: Outcome
    elapsed_ms: float  # since its Bind
    is_call_closed: bool  # no final answer is owed any more; else one is
    reason: OutcomeReason = OutcomeReason.UNSPECIFIED
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    """Nobody waits for the call's answer any more; none is owed from here on."""

    call_id: int


@dataclass(frozen=True, slots=True)
class TaskObserved:
    """A measurement of a task of this scheduler while it runs, or of its machine."""

    call_id: int
    machine: str
    kind: ObservationKind
    value: float


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The end of a probe: COMPLETED with a report, or the outcome for which there is none."""

    machine: str
    outcome: Outcome
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ReachabilityChanged:
    """Whether a machine can be reached, by connections that were tried without an attempt; optional.

    Unreachable: again at each further try that fails. Reachable: once, when it can be reached again.
    """

    machine: str
    is_reachable: bool


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by SetTimer is due."""

    token: int


Event = (
    MachineListUpdated
    | PlacementRequested
    | AttemptAccepted
    | AttemptEnded
    | CallAbandoned
    | TaskObserved
    | ProbeEnded
    | ReachabilityChanged
    | TimerFired
)


@dataclass(frozen=True, slots=True)
class Bind:
    """Send the task to the machine: one attempt."""

    call_id: int
    machine: str
    timeout_ms: float = 0.0  # for its answer, from now; never beyond the call's deadline


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not placed, and requesting it again does no harm."""

    call_id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: an attempt may have run, and a second run might do harm."""

    call_id: int


@dataclass(frozen=True, slots=True)
class Migrate:
    """Stop the placed task; its owner requests it again. Its attempt still gets its AttemptEnded."""

    call_id: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask the machine for a load report."""

    machine: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Hand in TimerFired with this token, once, in so many milliseconds or a little later."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class WatchMachineList:
    """Watch the machine list: a snapshot, then its changes from now on."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the operator's log."""

    text: str


Action = Bind | Reject | Fail | Migrate | Probe | SetTimer | WatchMachineList | LogMessage

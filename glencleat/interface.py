"""Interface of the policy: the settings, events and actions of a Scheduler, and the contract of its caller.

Times are milliseconds on the caller's monotonic clock, which never goes back between two calls of
`Scheduler.handle`. Cores and memory have the units of the machine sizes in settings, list, requests, reports
and observations alike. All types are frozen; a field whose value the caller does not know is None.

The contract. The policy does not report a breach, it ignores events that don't fit. It may then count an
attempt as in flight for ever, and sends nothing more to a machine with four of these (the limit of its short
queue). `glencleat/allocator/contract.py` checks the whole contract at run time and raises ContractError.

1. `PlacementRequested` opens a call. The caller chooses its id, which must differ from that of any call
   without a final answer or without an `AttemptEnded` for its last attempt.
2. Each `Bind` is one attempt. The caller numbers a call's attempts from 0 in the order of their `Bind`s, and
   puts that number and the machine of the `Bind` into `AttemptAccepted` and `AttemptEnded`. Only the last
   attempt may be reported on. A call that was requested with `machine` begins with attempt 0 accepted by that
   machine; it is not sent.
3. Each `Bind` gets exactly one `AttemptEnded`, however it ended: also NOT_SENT if it could not be sent, and
   TIMED_OUT when `timeout_ms` has passed without an answer. `AttemptAccepted` precedes it at most once, when
   the machine accepts the task; from then on there is no time-out, and `AttemptEnded` reports the placed
   task's end, with `is_call_closed` true.
4. `AttemptEnded` with `is_call_closed` false leaves the call open: the policy answers with another `Bind`, or
   with `Reject` or `Fail`, now or later by a timer. `Reject` and `Fail` are final answers: no action on the
   call follows.
5. `CallAbandoned` reports that nobody waits for the answer any more; no answer follows. An attempt in flight
   still gets its `AttemptEnded`, with `is_call_closed` true.
6. `SetTimer` is answered by one `TimerFired` with its token, no earlier than requested, and `Probe` by one
   `ProbeEnded`. `WatchMachineList` subscribes to the machine list and is answered by one
   `MachineListUpdated`, SNAPSHOT or FAILED, then by a DELTA for each change. A list that recovers before it
   is requested again is sent as a SNAPSHOT.
7. An attempt is known not to have run after REJECTED, UNREACHABLE and NOT_SENT, and only then. A caller that
   is not sure reports TIMED_OUT, LOST or ERROR. The guarantee that no task has its effect twice depends on
   this.
8. All actions are carried out in their order before the next event is passed in.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """The effect of a second run of a task."""

    IDEMPOTENT = "safe"  # a second run is harmless
    IDEMPOTENCY_KEY = "keyed"  # machines drop a second run by the task's key, within a scope and a window
    NON_IDEMPOTENT = "unsafe"  # a second run would have the effect twice


class Outcome(Enum):
    """How an attempt ended."""

    ERROR = "error"  # the machine answered with an error; the task may have run
    COMPLETED = "ended"  # a placed task finished, or a probe was answered
    REJECTED = "refused"  # the machine rejected it; known not to have run
    TIMED_OUT = "timed out"  # no answer within the attempt's time-out; may have run
    UNREACHABLE = "unreachable"  # no connection to the machine; known not to have run
    LOST = "lost"  # the connection or machine failed after it was sent, or a placed task was lost
    STOPPED = "stopped"  # a placed task was stopped by its client, a migration, or the end of a drain
    NOT_SENT = "not sent"  # it was never sent; known not to have run


class OutcomeReason(Enum):
    """The reason of an outcome: the first five belong to REJECTED, the others to a placed task's end."""

    UNSPECIFIED = "none"  # not given; taken as a limit on the class or tenant when REJECTED
    INSUFFICIENT_CORES = "cores"
    INSUFFICIENT_MEMORY = "memory"
    QUEUE_FULL = "line"  # too many attempts wait at the machine
    NOT_ELIGIBLE = "not here"  # wrong kind, draining, too late, or a copy of the task runs there
    EVICTED = "evicted"  # the machine ran out of memory
    PREEMPTED = "pushed out"  # by a task of higher priority
    DRAINED = "sent away"  # the machine is shutting down


class MachinePhase(Enum):
    """Lifecycle phase of a machine."""

    SERVING = "serving"  # accepts new tasks
    DRAINING = "draining"  # accepts no new tasks; its running tasks may finish
    REMOVED = "gone"  # no longer in the fleet


class ListUpdateKind(Enum):
    """The kind of a machine list update."""

    DELTA = "changes"  # its entries replace those of the same name; others stay
    SNAPSHOT = "whole"  # all machines; those without an entry are removed
    FAILED = "failed"  # no entries; known machines stay, and the policy requests the list again by a timer


class ObservationKind(Enum):
    """The quantity that an observation of a running task or its machine measures."""

    RUNNING = "runs"  # its start is complete, if that is not implied by acceptance; the value is ignored
    CORES_IN_USE = "cores"  # by the task, currently
    MEMORY_IN_USE = "memory"  # by the task, currently
    SERVICE_LEVEL = "served"  # share of full service that the task receives, 0 to 1
    MACHINE_MEMORY_IN_USE = "machine memory"  # share of the machine's memory in use by all tasks


@dataclass(frozen=True, slots=True)
class TaskClass:
    """A class of tasks: its latency objective and weights, its idempotency, and where its tasks may run."""

    name: str
    idempotency: Idempotency
    latency_objective_ms: float  # from arrival; a start within it has its full weight
    deadline_ms: float  # from arrival, until the client gives up
    weight: float  # of a second of full service, for a task of mean size
    late_start_weight: float = 0.0  # share of a start's weight that remains after the latency objective
    # With an idempotency key: which machines drop repeats, "all" or those of the same "zone" or "cell".
    deduplication_scope: str = "all"
    # With an idempotency key: for how long repeats are dropped after the first attempt that may have run.
    deduplication_window_ms: float = 0.0
    start_weight_s: float = 0.0  # weight of a start within the objective, in seconds of service
    spread_by: str = "off"  # "off", "machine", "cell" or "zone"
    max_per_domain: int = 0  # own tasks of a service in one such domain
    machine_kind: str | None = None  # required kind of machine; None: any
    priority: int = 0  # higher ones lose cores and memory later
    saturation_threshold: float = 1.0  # share of busy cores up to which service is full
    degradation_range: float = 1.0  # share of busy cores above it over which service drops to nothing


@dataclass(frozen=True, slots=True)
class MachineSize:
    """Cores and memory of a kind of machine."""

    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a scheduler: the cluster, and this scheduler's position in it."""

    allocator_index: int  # this scheduler's number, 0 to allocator_count - 1
    allocator_count: int  # number of schedulers, this one included
    zone: str  # of this scheduler
    classes: tuple[TaskClass, ...]
    machine_sizes: dict[str, MachineSize]
    cores_overcommit: float = 1.0  # a machine accepts requests up to this multiple of its cores
    memory_overcommit: float = 1.0
    list_has_free_capacity: bool = False  # list entries have the capacity that no accepted task requested
    watch_on_request: bool = False  # the list is sent only after WatchMachineList
    reports_count_usage: bool = False  # reported free capacity means not used (else: not requested)
    reports_on_probe: bool = False  # load reports are sent only in answers to probes
    probes_allowed: bool = False
    reports_pressure: bool = False  # the service level and machine memory are observed
    acceptance_means_running: bool = False  # a task is accepted only once it runs
    max_attempts: int = 1  # of one call
    max_retry_after_ms: float = 0.0  # longest Retry-After that clients follow
    drain_grace_ms: float = 0.0  # after learning of a drain, attempts may still be sent there
    warm_up_ms: float = 0.0  # from a machine's start until it is warmed up
    warm_up_window_ms: float = 0.0  # over which offers to a machine that is warming up are bounded
    warm_up_offers: float = 0.0  # limit in any such window, over all schedulers
    settle_ms: float = 0.0  # a client's wait before it requests again a task that may be running
    tick_ms: float = 1.0  # resolution of the caller's clock and timers
    machine_price: float = 0.0  # price of the share of the fleet in use beyond need
    cross_zone_price: float = 0.0  # price of tasks in another zone than this scheduler's
    over_quota_weight: float = 1.0  # weight of a task beyond its tenant's quota
    tenant_quota_cores: dict[str, float] | None = None  # requested cores by tenant, over all schedulers


@dataclass(frozen=True, slots=True)
class Machine:
    """An entry of the machine list."""

    name: str
    kind: str
    zone: str
    cell: int  # machines of a zone that fail together, such as a rack
    phase: MachinePhase
    free_cores: float = 0.0  # see Settings.list_has_free_capacity; below 0 where overcommitted
    free_memory: float = 0.0
    ready_at_ms: float | None = None  # time of its latest start; None: long ago


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a machine reports; None where it does not report a value."""

    free_cores: float | None = None  # not requested, or not used (Settings.reports_count_usage)
    free_memory: float | None = None
    busy_share: float | None = None  # share of its cores that are busy, 0 to 1
    queue_length: float | None = None  # attempts and starts that are waiting


@dataclass(frozen=True, slots=True)
class MachineListUpdated:
    """A snapshot or delta of the machine list, or a failure of the watch."""

    kind: ListUpdateKind
    machines: tuple[Machine, ...] = ()


@dataclass(frozen=True, slots=True)
class PlacementRequested:
    """A task to place, or (with `machine`) a running task to adopt."""

    call_id: int
    task_class: str  # a name in Settings.classes, else KeyError is raised
    service: str
    cores: float  # requested
    memory: float  # requested
    remaining_ms: float = 0.0  # until the client gives up; ignored for a running task
    tenant: str | None = None
    expected_run_ms: float | None = None  # rough estimate
    machine: str | None = None
    is_retry: bool = False  # requested again after a rejection, failure, migration or loss


@dataclass(frozen=True, slots=True)
class AttemptAccepted:
    """The machine accepted the last attempt: the task is placed, which is its call's final answer."""

    call_id: int
    attempt: int  # counted from 0 in the order of the call's Binds
    machine: str
    elapsed_ms: float  # since its Bind


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The last attempt failed, or the task that it placed has ended."""

    call_id: int
    attempt: int  # counted from 0 in the order of the call's Binds
    machine: str
    outcome: Outcome
    elapsed_ms: float  # since its Bind
    is_call_closed: bool  # no final answer is due any more; else one is
    reason: OutcomeReason = OutcomeReason.UNSPECIFIED
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    """Nobody waits for the call's answer any more, and none may follow."""

    call_id: int


@dataclass(frozen=True, slots=True)
class TaskObserved:
    """A measurement of a running task of this scheduler, or of its machine."""

    call_id: int
    machine: str
    kind: ObservationKind
    value: float


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The end of a probe: COMPLETED with a report, or the outcome that explains why there is none."""

    machine: str
    outcome: Outcome
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ReachabilityChanged:
    """Whether a machine can be reached, from connections opened without an attempt; optional.

    Unreachable is repeated at each connection that fails; reachable is reported once, after recovery.
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
    timeout_ms: float = 0.0  # for the machine's answer, from now; never beyond the call's deadline


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not placed, and requesting the task again is harmless."""

    call_id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: an attempt may have run, and a second run might do harm."""

    call_id: int


@dataclass(frozen=True, slots=True)
class Migrate:
    """Stop the placed task, which its client requests again. Its attempt still gets its AttemptEnded."""

    call_id: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Request a load report from the machine."""

    machine: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Pass in one TimerFired with this token after the delay or a little later."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class WatchMachineList:
    """Watch the machine list: a snapshot, then deltas."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the operator's log."""

    text: str


Action = Bind | Reject | Fail | Migrate | Probe | SetTimer | WatchMachineList | LogMessage

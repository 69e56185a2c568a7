"""What the decision module is told and what it answers: settings, events and actions, in plain words.

Times are milliseconds on the caller's monotonic clock, which never goes back between two calls of `handle`;
cores and memory are in the units of the machines, the same in settings, list, asks, reports and notes.
Everything is frozen; a field that the caller does not know is None.

The contract. Whoever breaks it is not told by the module, which ignores what does not fit; it then takes an
attempt to be out for ever, and after four of these a machine (its short line) sends nothing more there.
`glencleat/allocator/contract.py` checks all of it at run time and raises ContractError.

1. `Asked` begins a call. Its number is the caller's choice and not that of a call still known: one that has
   had no answer, or whose last attempt has had no `Returned`.
2. Each `Bind` is one attempt. The caller counts a call's attempts from 0 in the order of their `Bind`s and
   gives that number back in `Accepted` and `Returned`, with the machine of the `Bind`. Only the last attempt
   may be told about. A call that was `Asked` with `machine` has attempt 0 at that machine already, accepted;
   it is not sent.
3. Each `Bind` gets exactly one `Returned`, however it ended: also NOT_SENT if it could not be sent, TIMED_OUT
   when `timeout_ms` is over without an answer. `Accepted` comes at most once, before it, when the machine
   says yes; from then on no time-out runs, and `Returned` tells the placed task's end, with `over` true.
4. `Returned` with `over` false leaves the call open: the module answers with another `Bind`, or `Refuse` or
   `Fail` now or later, by a timer. These two are the final answer, the module's last word on the call.
5. `Left` says that nobody waits for the answer any more; no answer follows. An attempt that is out still gets
   its `Returned`, with `over` true.
6. `SetTimer` comes back as one `TimerDue` with its token, no earlier than asked for. `Probe` comes back as
   one `Probed`. `Watch` asks for the list's changes from now on and comes back as one `ListTold`: WHOLE or
   FAILED, then CHANGES as they come, and a WHOLE when a list that failed is back before it is asked for.
7. An attempt counts as known not to have run after REFUSED, UNREACHABLE and NOT_SENT, and only then. A caller
   that is not sure tells TIMED_OUT, LOST or ERROR. The second rule (no effect twice) stands on this.
8. Actions are carried out in their order, all of them, before the next event is told.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a second run of a task would do."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


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
    """The reason that came with an outcome: five with REFUSED, the others with a placed task's end."""

    UNSPECIFIED = "none"  # not told; a refusal without a reason is taken as a limit on its class or tenant
    INSUFFICIENT_CORES = "cores"
    INSUFFICIENT_MEMORY = "memory"
    QUEUE_FULL = "line"  # too many offers wait there
    NOT_ELIGIBLE = "not here"  # wrong kind, draining, too late, or a copy stands
    EVICTED = "evicted"  # memory ran out
    PREEMPTED = "pushed out"  # for a task of higher priority
    DRAINED = "sent away"  # the machine stops


class MachinePhase(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "gone"


class ListUpdateKind(Enum):
    DELTA = "changes"  # the entries told replace those of the same name, the others stay
    SNAPSHOT = "whole"  # a machine that is not told is gone
    FAILED = "failed"  # no news; what was known stays, and the module asks again by a timer


class ObservationKind(Enum):
    RUNNING = "runs"  # the start is over (where the acceptance came before it); the value does not matter
    CORES_IN_USE = "cores"  # in use by the task now
    MEMORY_IN_USE = "memory"  # likewise
    SERVICE_LEVEL = "served"  # share of full service that the task gets, 0 to 1
    MACHINE_MEMORY_IN_USE = "machine memory"  # share of the machine's memory in use, by all


@dataclass(frozen=True, slots=True)
class TaskClass:
    name: str
    idempotency: Idempotency
    latency_objective_ms: float
    deadline_ms: float
    weight: float  # of a second of full service, for a task of mean size
    late_start_weight: float = 0.0  # part of a start's worth after the aim
    deduplication_scope: str = (
        "all"  # keyed: repeats are dropped by "all" machines, those of one "zone" or one "cell"
    )
    deduplication_window_ms: float = (
        0.0  # keyed: how long machines drop repeats, from the first attempt that may have run
    )
    start_weight_s: float = 0.0  # seconds of service that a start in time is worth
    spread_by: str = "off"  # "off", "machine", "cell" or "zone"
    max_per_domain: int = 0  # tasks of a service in one such place, of this scheduler
    machine_kind: str | None = None  # of machine that it needs
    priority: int = 0  # higher ones keep cores and memory longer
    saturation_threshold: float = 1.0  # served in full while this share of the cores is busy,
    degradation_range: float = 1.0  # and not at all this much above it


@dataclass(frozen=True, slots=True)
class MachineSize:
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Settings:
    allocator_index: int  # this scheduler's number, 0 to peers - 1
    allocator_count: int  # schedulers, this one included
    zone: str  # where this scheduler is
    classes: tuple[TaskClass, ...]
    machine_sizes: dict[str, MachineSize]
    cores_overcommit: float = 1.0  # a machine accepts asks up to this multiple of its cores
    memory_overcommit: float = 1.0
    list_has_free_capacity: bool = False  # the list tells what nobody has asked for
    watch_on_request: bool = False  # the list comes only when asked for
    reports_count_usage: bool = False  # reported free room is room not used (else: not asked for)
    reports_on_probe: bool = False
    probes_allowed: bool = False
    reports_pressure: bool = False
    acceptance_means_running: bool = False  # the acceptance comes when the task runs
    max_attempts: int = 1  # of one call
    max_retry_after_ms: float = 0.0  # longest advice that owners follow
    drain_grace_ms: float = 0.0  # grace from learning of a drain to the last send
    warm_up_ms: float = 0.0  # a fresh machine is warm by then
    warm_up_window_ms: float = 0.0
    warm_up_offers: float = 0.0  # borne by a cold machine in any such window, from all schedulers
    settle_ms: float = 0.0  # an owner's wait before it asks again for what may run
    tick_ms: float = 1.0  # resolution of the caller's clock and timers
    machine_price: float = 0.0  # points for each part of the fleet in use beyond need
    cross_zone_price: float = 0.0  # points for tasks in another zone than this scheduler's
    over_quota_weight: float = 1.0  # of a task beyond its tenant's share
    tenant_quota_cores: dict[str, float] | None = (
        None  # cores asked within the tenant's share, at all schedulers
    )


@dataclass(frozen=True, slots=True)
class Machine:
    name: str
    kind: str
    zone: str
    cell: int  # a few machines of a zone that share a fate, such as a rack
    phase: MachinePhase
    free_cores: float = 0.0  # not asked for by accepted tasks, below 0 where too much was (Settings.view)
    free_memory: float = 0.0
    ready_at_ms: float | None = None  # its latest start, on the caller's clock; None: long ago


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A machine's load as it told it; what it does not tell is None."""

    free_cores: float | None = None  # not asked for, or not used (Settings.reports_used)
    free_memory: float | None = None
    busy_share: float | None = None  # share of its cores that work, 0 to 1
    queue_length: float | None = None  # offers and starts that wait there


@dataclass(frozen=True, slots=True)
class MachineListUpdated:
    kind: ListUpdateKind
    machines: tuple[Machine, ...] = ()


@dataclass(frozen=True, slots=True)
class PlacementRequested:
    """A task to be placed, or (with `machine`) one that runs already and is now ours."""

    call_id: int
    task_class: str  # a name in Settings.classes; another raises KeyError
    service: str
    cores: float  # asked for
    memory: float
    remaining_ms: float = 0.0  # until its owner gives up; not read for a task that runs already
    tenant: str | None = None
    expected_run_ms: float | None = None  # expected, rough
    machine: str | None = None
    is_retry: bool = False  # it comes again after a refusal, failure, move or loss


@dataclass(frozen=True, slots=True)
class AttemptAccepted:
    """The machine said yes to the last attempt: the task is placed, and that is its answer."""

    call_id: int
    attempt: int  # counted from 0 in the order of the call's Binds
    machine: str
    elapsed_ms: float  # since its Bind


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The last attempt is back: it came to nothing, or the task that it placed has ended."""

    call_id: int
    attempt: int  # counted from 0 in the order of the call's Binds
    machine: str
    outcome: Outcome
    elapsed_ms: float  # since its Bind
    is_call_closed: bool  # the task is over for us; else it still wants its final answer
    reason: OutcomeReason = OutcomeReason.UNSPECIFIED
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    """Nobody waits for the call's answer any more; none is owed from here on."""

    call_id: int


@dataclass(frozen=True, slots=True)
class TaskObserved:
    """News of a task of ours while it runs."""

    call_id: int
    machine: str
    kind: ObservationKind
    value: float


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The end of a probe: ENDED with a report, or the outcome for which there is none."""

    machine: str
    outcome: Outcome
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ReachabilityChanged:
    """Whether a machine can be reached, by connections that were tried without an attempt. May never be told.

    Not `up`: again at each further try that fails; `up`: once, when it can be reached again."""

    machine: str
    is_reachable: bool


@dataclass(frozen=True, slots=True)
class TimerFired:
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
    """Offer the task to the machine: one attempt."""

    call_id: int
    machine: str
    timeout_ms: float = 0.0  # for its answer, from now; never beyond what the owner waits


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not placed, and asking again does no harm."""

    call_id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: an attempt may have run, and a second might do harm."""

    call_id: int


@dataclass(frozen=True, slots=True)
class Migrate:
    """Stop the placed task; its owner asks again. Its attempt still gets its Returned."""

    call_id: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask the machine for its report."""

    machine: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Tell TimerDue with this token, once, in so many milliseconds or a little later."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class WatchMachineList:
    """Ask for the list's changes from now on."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for whoever operates this scheduler."""

    text: str


Action = Bind | Reject | Fail | Migrate | Probe | SetTimer | WatchMachineList | LogMessage

"""What the decision module is told and what it answers: settings, events and actions, in plain words.

Times are milliseconds on the caller's monotonic clock; cores and memory are in the units of the machines.
Everything is frozen; a field that the caller does not know is None.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a second run of a task would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Outcome(Enum):
    """How an attempt ended."""

    ERROR = "error"
    ENDED = "ended"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    STOPPED = "stopped"
    NOT_SENT = "not sent"


class Why(Enum):
    """The reason that came with an outcome."""

    NONE = "none"
    CORES = "cores"
    MEMORY = "memory"
    LINE = "line"
    NOT_HERE = "not here"
    EVICTED = "evicted"
    PUSHED_OUT = "pushed out"
    SENT_AWAY = "sent away"


class Phase(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changes"
    WHOLE = "whole"
    FAILED = "failed"


class NoteKind(Enum):
    RUNS = "runs"
    CORES = "cores"
    MEMORY = "memory"
    SERVED = "served"
    MACHINE_MEMORY = "machine memory"


@dataclass(frozen=True, slots=True)
class TaskClass:
    name: str
    effect: Effect
    aim_ms: float
    deadline_ms: float
    worth: float
    late_worth: float = 0.0
    group: str = "all"  # keyed: repeats are dropped by "all" machines, those of one "zone" or one "cell"
    window_ms: float = 0.0
    start_s: float = 0.0
    spread: str = "off"  # "off", "machine", "cell" or "zone"
    most: int = 0
    kind: str | None = None
    priority: int = 0
    calm: float = 1.0  # served in full while this share of the cores is busy,
    fade: float = 1.0  # and not at all this much above it


@dataclass(frozen=True, slots=True)
class Size:
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Settings:
    me: int
    peers: int  # schedulers, this one included
    zone: str
    classes: tuple[TaskClass, ...]
    kinds: dict[str, Size]
    accept_cores: float = 1.0  # a machine accepts asks up to this multiple of its cores
    accept_memory: float = 1.0
    view: bool = False  # the list tells what nobody has asked for
    must_ask: bool = False  # the list comes only when asked for
    reports_used: bool = False  # reported free room is room not used (else: not asked for)
    reports_on_probe: bool = False
    probes: bool = False
    notes_pressure: bool = False
    yes_means_runs: bool = False  # the acceptance comes when the task runs
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0
    drain_ms: float = 0.0
    cold_ms: float = 0.0  # a fresh machine is warm by then
    cold_window_ms: float = 0.0
    cold_offers: float = 0.0  # borne by a cold machine in any such window, from all schedulers
    settle_ms: float = 0.0
    tick_ms: float = 1.0
    fleet_price: float = 0.0
    cross_zone_price: float = 0.0
    over_share_worth: float = 1.0
    tenant_cores: dict[str, float] | None = None  # cores asked within the tenant's share, at all schedulers


@dataclass(frozen=True, slots=True)
class Machine:
    name: str
    kind: str
    zone: str
    cell: int
    phase: Phase
    cores_left: float = 0.0
    memory_left: float = 0.0
    ready_at_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Report:
    """A machine's load as it told it; what it does not tell is None."""

    cores_free: float | None = None
    memory_free: float | None = None
    busy: float | None = None
    queue: float | None = None


@dataclass(frozen=True, slots=True)
class ListTold:
    kind: ListKind
    machines: tuple[Machine, ...] = ()


@dataclass(frozen=True, slots=True)
class Asked:
    """A task to be placed, or (with `machine`) one that runs already and is now ours."""

    call: int
    task_class: str
    service: str
    cores: float
    memory: float
    left_ms: float = 0.0
    tenant: str | None = None
    life_ms: float | None = None
    machine: str | None = None
    again: bool = False


@dataclass(frozen=True, slots=True)
class Accepted:
    call: int
    attempt: int
    machine: str
    spent_ms: float


@dataclass(frozen=True, slots=True)
class Returned:
    call: int
    attempt: int
    machine: str
    outcome: Outcome
    spent_ms: float
    over: bool  # the task is over for us; else it still wants its final answer
    why: Why = Why.NONE
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Left:
    call: int


@dataclass(frozen=True, slots=True)
class Noted:
    call: int
    machine: str
    kind: NoteKind
    value: float


@dataclass(frozen=True, slots=True)
class Probed:
    machine: str
    outcome: Outcome
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class TimerDue:
    token: int


Event = ListTold | Asked | Accepted | Returned | Left | Noted | Probed | TimerDue


@dataclass(frozen=True, slots=True)
class Bind:
    call: int
    machine: str
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Refuse:
    call: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    call: int


@dataclass(frozen=True, slots=True)
class Move:
    call: int


@dataclass(frozen=True, slots=True)
class Probe:
    machine: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    in_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask for the list's changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Bind | Refuse | Fail | Move | Probe | SetTimer | Watch | Log

"""State of the tasks and machines that the scheduler tracks; each refers to the other."""

from __future__ import annotations

from dataclasses import InitVar, dataclass, field
from itertools import count

from glencleat.index.rendezvous import hash_text
from glencleat.interface import LoadReport, Machine, MachinePhase, MachineSize, TaskClass
from glencleat.policy.resources import NEVER_MS, NO_RESOURCES, NOT_DUE_MS, Resources

PROGRAM_CACHED = 0  # a task of this scheduler uses the program on the machine, or recently did
PROGRAM_LIKELY_CACHED = 1  # by other schedulers: the machine is early in the service's hash order
PROGRAM_ABSENT = 2  # no sign that the machine has it

_arrival_numbers = count(1)


@dataclass(frozen=True, slots=True)
class UncertainAttempt:
    """An attempt that may have run, so that a retry could be a second run."""

    sent_at_ms: float
    machine: MachineState


@dataclass(slots=True, eq=False)
class TrackedTask:
    """A task of this scheduler. Times are in ms on the caller's clock."""

    call_id: int
    task_class: TaskClass
    service: str
    tenant: str | None
    requested: Resources
    arrived_at_ms: float
    deadline_at_ms: float
    arrival_number: int = field(default_factory=_arrival_numbers.__next__)
    attempt_count: int = 0
    machine: MachineState | None = None  # where an attempt is in flight or the task runs
    sent_at_ms: float = 0.0
    is_accepted: bool = False
    program_warmth: int = PROGRAM_ABSENT  # at its machine when the attempt was sent
    is_only_start: bool = False  # no other own task was starting there when it was sent
    running_since_ms: float | None = None
    is_observed_from_start: bool = True  # whether its lifetime is known
    is_abandoned: bool = False  # the client no longer waits for an answer
    first_uncertain_attempt: UncertainAttempt | None = None
    ended_at_ms_by_machine: dict[str, float] = field(default_factory=dict)  # latest failed attempt
    machines_with_error: list[MachineState] = field(default_factory=list)  # answered it with an error
    usage: Resources = NO_RESOURCES  # latest observation; 0 where not observed
    peak_usage: Resources = NO_RESOURCES

    @property
    def class_and_tenant(self) -> tuple[str, str | None]:
        """The key of `MachineState.rejection_backoffs`: machines limit classes and tenants separately."""
        return self.task_class.name, self.tenant


@dataclass(frozen=True, slots=True)
class RejectionBackoff:
    """Until when a class and tenant avoid a machine that rejected them without a reason."""

    until_ms: float
    length_ms: float


@dataclass(slots=True, eq=False)
class MachineState:
    """What this scheduler knows of a machine. Each group of fields is written by the module named above it.

    `known_size` is None for a machine of an unknown kind, or one known only from an adopted task.
    """

    # machine_list
    entry: Machine
    known_size: InitVar[MachineSize | None]
    name: str = field(init=False)
    hash: int = field(init=False)
    is_size_known: bool = field(init=False)
    size: Resources = (1.0, 1.0)
    listed_at_ms: float = NEVER_MS
    report: LoadReport | None = None
    reported_at_ms: float = NEVER_MS

    # task_registry
    tasks: dict[int, TrackedTask] = field(default_factory=dict)  # by call id
    starting_tasks: dict[int, TrackedTask] = field(default_factory=dict)  # by call id; not yet running

    # outliers
    last_answer_at_ms: float = NEVER_MS
    unanswered_attempts: int = 0
    ejection_count: int = 0  # consecutive, without an answer in between
    ejected_until_ms: float = NEVER_MS
    is_unreachable: bool = False
    reachable_since_ms: float = NEVER_MS
    full_until_ms: float = NEVER_MS
    # by class and tenant
    rejection_backoffs: dict[tuple[str, str | None], RejectionBackoff] = field(default_factory=dict)
    harvest_suspended_until_ms: float = NEVER_MS

    # placement, attempts
    probe_sent_at_ms: float = NOT_DUE_MS  # NOT_DUE_MS while no probe is in flight
    warm_up_sends_ms: list[float] = field(default_factory=list)

    # capacity: sums over this scheduler's tasks there
    sums_updated_at_ms: float = NEVER_MS
    free_capacity_as_of_ms: float = NEVER_MS  # the known free capacity includes own binds up to then
    requested: Resources = NO_RESOURCES
    predicted_needs: Resources = NO_RESOURCES
    usage: Resources = NO_RESOURCES
    unlisted_requests: Resources = NO_RESOURCES  # of own binds not yet in the known free capacity
    cores_used_by_priority: dict[int, float] = field(default_factory=dict)
    others_usage: Resources = NO_RESOURCES  # estimated usage of other schedulers' tasks

    def __post_init__(self, known_size: MachineSize | None) -> None:
        """Sets the fields that follow from the entry's name and the size."""
        self.name = self.entry.name
        self.hash = hash_text(self.name)
        self.is_size_known = known_size is not None
        if known_size is not None:
            self.size = known_size.cores, known_size.memory

    @property
    def is_removed(self) -> bool:
        """Whether the machine is no longer in the list."""
        return self.entry.phase is MachinePhase.REMOVED

    @property
    def is_suspect(self) -> bool:
        """Whether its latest attempts failed, or it was ejected and has not answered since."""
        return bool(self.unanswered_attempts or self.ejection_count)

    @property
    def is_serving(self) -> bool:
        """Whether it accepts new tasks and its size is known."""
        return self.is_size_known and self.entry.phase is MachinePhase.SERVING

    def failure_domain(self, scope: str) -> str | tuple[str, int]:
        """The domain that contains it: its "zone", its "cell", or (any other scope) the machine itself."""
        if scope == "zone":
            return self.entry.zone
        if scope == "cell":
            return self.entry.zone, self.entry.cell
        return self.name

    def up_since_ms(self) -> float:
        """When it last started, by the list, or last became reachable again, whichever is later."""
        return max(self.reachable_since_ms, self.entry.ready_at_ms or NEVER_MS)

    def count_unanswered_offers(self) -> int:
        """The number of own attempts in flight that it has not accepted yet."""
        return sum(not task.is_accepted for task in self.starting_tasks.values())

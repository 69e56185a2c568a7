"""The tasks and machines that the scheduler follows; each refers to the other."""

from __future__ import annotations

from dataclasses import InitVar, dataclass, field
from itertools import count

from glencleat.index.rendezvous import hash_text
from glencleat.interface import LoadReport, Machine, MachinePhase, MachineSize, TaskClass
from glencleat.policy.resources import NEVER_MS, NO_RESOURCES, NOT_DUE_MS, Resources

PROGRAM_KEPT = 0  # a task of ours holds the program on the machine, or did lately
PROGRAM_LIKELY = 1  # peers may hold it there, as the machine is early in the service's hash order
PROGRAM_ABSENT = 2  # nothing speaks for it

_arrival_numbers = count(1)


@dataclass(frozen=True, slots=True)
class UncertainAttempt:
    """An attempt that may have run: a further one could be a second run."""

    sent_at_ms: float
    machine: MachineState


@dataclass(slots=True, eq=False)
class TrackedTask:
    """A task of this scheduler; times are on the caller's clock, in ms."""

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
    program_warmth: int = PROGRAM_ABSENT  # at its machine when it was sent
    is_only_start: bool = False  # no other start of ours was due there when it was sent
    running_since_ms: float | None = None
    is_followed_from_start: bool = True  # so that its life can be learned
    is_abandoned: bool = False  # nobody waits for its answer
    first_uncertain_attempt: UncertainAttempt | None = None
    ended_at_ms_by_machine: dict[str, float] = field(default_factory=dict)  # ends of attempts without effect
    machines_with_error: list[MachineState] = field(default_factory=list)  # they answered it with an error
    usage: Resources = NO_RESOURCES  # observed now; 0 where not observed
    peak_usage: Resources = NO_RESOURCES

    @property
    def class_and_tenant(self) -> tuple[str, str | None]:
        """What a machine's limits are told apart by."""
        return self.task_class.name, self.tenant


@dataclass(frozen=True, slots=True)
class RejectionBackoff:
    """How long a class and tenant stay off a machine that rejected them without a reason."""

    until_ms: float
    length_ms: float


@dataclass(slots=True, eq=False)
class MachineState:
    """A machine as this scheduler knows it. Each part is written by the module that its comment names.

    `known_size` is None for a machine of an unknown kind, or one that only a running task told of.
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
    starting_tasks: dict[int, TrackedTask] = field(default_factory=dict)  # those not yet running

    # outliers
    last_answer_at_ms: float = NEVER_MS
    unanswered_attempts: int = 0
    ejection_count: int = 0  # in a row, without an answer between them
    ejected_until_ms: float = NEVER_MS
    is_unreachable: bool = False
    reachable_since_ms: float = NEVER_MS
    full_until_ms: float = NEVER_MS
    rejection_backoffs: dict[tuple[str, str | None], RejectionBackoff] = field(
        default_factory=dict
    )  # by class and tenant
    harvest_suspended_until_ms: float = NEVER_MS

    # placement, attempts
    probe_sent_at_ms: float = NOT_DUE_MS  # while a probe is in flight
    warm_up_sends_ms: list[float] = field(default_factory=list)

    # capacity: sums over our tasks there
    sums_updated_at_ms: float = NEVER_MS
    free_capacity_as_of_ms: float = NEVER_MS  # own binds up to then are in the free capacity that is told
    requested: Resources = NO_RESOURCES
    predicted_needs: Resources = NO_RESOURCES
    usage: Resources = NO_RESOURCES
    unlisted_requests: Resources = NO_RESOURCES  # of binds that the told free capacity does not contain yet
    cores_used_by_priority: dict[int, float] = field(default_factory=dict)
    others_usage: Resources = NO_RESOURCES  # thought to be used by tasks of other schedulers

    def __post_init__(self, known_size: MachineSize | None) -> None:
        """Derives what stays for as long as the machine is known."""
        self.name = self.entry.name
        self.hash = hash_text(self.name)
        self.is_size_known = known_size is not None
        if known_size is not None:
            self.size = known_size.cores, known_size.memory

    @property
    def is_removed(self) -> bool:
        """Whether the list no longer has it."""
        return self.entry.phase is MachinePhase.REMOVED

    @property
    def is_suspect(self) -> bool:
        """Whether its last attempts came to nothing, or it was ejected and has not answered since."""
        return bool(self.unanswered_attempts or self.ejection_count)

    @property
    def is_serving(self) -> bool:
        """Whether it takes new tasks, and how much it holds is known."""
        return self.is_size_known and self.entry.phase is MachinePhase.SERVING

    def failure_domain(self, scope: str) -> str | tuple[str, int]:
        """The part of the fleet that it belongs to: its "zone", its "cell", or (any other scope) itself."""
        if scope == "zone":
            return self.entry.zone
        if scope == "cell":
            return self.entry.zone, self.entry.cell
        return self.name

    def up_since_ms(self) -> float:
        """When it last started, as far as the list or a return to reach tells."""
        return max(self.reachable_since_ms, self.entry.ready_at_ms or NEVER_MS)

    def count_unanswered_offers(self) -> int:
        """Our attempts in flight that it has not accepted yet."""
        return sum(not task.is_accepted for task in self.starting_tasks.values())

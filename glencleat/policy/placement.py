"""Placement: which machines are looked at for a task, which of them will do, and which one is chosen.

The ordinary path (LIBRA sections 4 and 5, for tasks that can't be resized): a task whose request covers its
need goes to its service's hashed machine, rehashed while the slice is full; any other is bound by need where
harvested capacity of our own tasks best covers its excess; else it borrows capacity that is shown free.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import chain, islice
from typing import NamedTuple

from glencleat.interface import Idempotency, Probe
from glencleat.policy.capacity import CapacityModel
from glencleat.policy.cluster_state import MachineState, TrackedTask
from glencleat.policy.coverage import demand_coverage
from glencleat.policy.outliers import EJECTION_THRESHOLD, FULL_BACKOFF_MS
from glencleat.policy.policy_state import PolicyState
from glencleat.policy.profiles import UsageProfiles
from glencleat.policy.program_starts import ProgramStarts
from glencleat.policy.resources import NEVER_MS, Resources, covers
from glencleat.policy.warm_up import coldness, may_start

MAX_FAULTLESS = 4  # candidates without any drawback after which a walk ends
MAX_RANKED = 16  # acceptable candidates after which a walk ends
MAX_EXAMINED = 32  # machines looked at for one task, whatever the fleet
MAX_COVERAGE_SAMPLE = 8  # machines ranked by coverage, in hash order: it costs most
EQUAL_COVERAGE = 0.1  # coverages that differ by less count as equal
MIN_COVERAGE = 0.3  # less is as good as none
CROWDED_MARGIN = 0.1  # nearer to the saturation threshold ranks later: use swings
TIGHT_SHARE = 0.05  # part of a machine's size that peers may take between a list and the next
PROBE_INTERVAL_MS = 1_000.0  # where only probes tell: first choices are probed if their report is older
PROBED_CANDIDATES = 2  # first choices that are probed: probes of all machines cost more than tasks
SLOW_PROBE_MS = 100.0  # a machine that has not answered a probe by then is passed over


class CandidateRank(NamedTuple):
    """Drawbacks of a candidate, the weightiest first; the least rank is the best."""

    is_late: bool  # its start comes after the latency objective
    is_in_other_zone: bool
    is_risky: bool  # a further rejection may use up the attempts
    objectives_late: int  # latency objectives by which the start is late, begun ones counted
    is_crowded: bool
    is_tight: bool  # peers may have taken a last bit of the capacity since
    program_warmth: int

    @property
    def has_drawback(self) -> bool:
        """Whether anything but the program's warmth speaks against it."""
        return bool(
            self.is_late or self.is_in_other_zone or self.is_risky or self.is_crowded or self.is_tight
        )


class Candidate(NamedTuple):
    """A machine that would do, with its rank."""

    rank: CandidateRank
    machine: MachineState


class Placement:
    """Chooses machines; it changes nothing but when machines were probed."""

    def __init__(
        self, state: PolicyState, profiles: UsageProfiles, capacity: CapacityModel, starts: ProgramStarts
    ) -> None:
        self.state = state
        self.settings = state.settings
        self.profiles = profiles
        self.capacity = capacity
        self.starts = starts

    def choose_machine(self, task: TrackedTask) -> MachineState | None:
        """By hash, by coverage, by borrowing; first among machines where the task would start in time.

        A departure from LIBRA: a start without the program takes many times the work, and one in time is
        worth seconds of service. Where no machine would be in time, the soonest, and the hash decides which
        to warm.
        """
        need = self.profiles.predict_need(task)
        candidates = self.rank_candidates(task)
        best = [c.machine for c in candidates if c.rank[:6] == candidates[0].rank[:6]]  # by all but warmth
        self._probe_first(candidates)
        return (
            self.choose_by_hash(task, need, best)
            or self.choose_by_coverage(task, need, best)
            or next(iter(best), None)
        )

    def walk_machines(self, task: TrackedTask) -> Iterable[MachineState]:
        """The machines to look at: first those where tasks of ours hold or kept the program, then by hash.

        Of many, the first and a sample of the others: drawn at once, looked up as the caller gets there.
        """
        state = self.state
        running = state.tasks_by_service.get(task.service, {}).values()
        names = [other.machine.name for other in running if other.machine]
        names += self.starts.machines_kept_warm(task.service)
        warm = {name: state.machines[name] for name in names if name in state.machines}
        order = state.serving_machines.get_order(task.service)
        listed = [machine for machine in warm.values() if machine in state.serving_machines]
        total = len(warm) + len(order) - len(listed)
        others = order.without(listed)
        machines = chain(warm.values(), (machine for machine in order if machine.name not in warm))
        if total <= MAX_EXAMINED:
            return machines
        half = MAX_EXAMINED // 2
        drawn = state.random.sample(range(half - len(warm), total - len(warm)), half)
        first = [*warm.values()]
        return chain(islice(machines, half), (others[i] if i >= 0 else first[i] for i in drawn))

    def is_eligible(self, machine: MachineState, task: TrackedTask, occupied_domains: list[object]) -> bool:
        """Filters that no capacity outweighs: kind, drain, spread, deduplication, health, warm-up."""
        now_ms = self.state.now_ms
        task_class = task.task_class
        spread_by = task_class.spread_by
        return (
            machine.is_serving
            and task_class.machine_kind in (None, machine.entry.kind)
            and now_ms - task.ended_at_ms_by_machine.get(machine.name, NEVER_MS) >= FULL_BACKOFF_MS
            and not (machine.is_suspect and self._is_too_suspect(machine, task))
            and (not task.first_uncertain_attempt or self._drops_repeats(machine, task))
            and (
                spread_by == "off"
                or occupied_domains.count(machine.failure_domain(spread_by)) < task_class.max_per_domain
            )
            and not (machine.rejection_backoffs and self._is_backed_off(machine, task))
            and not SLOW_PROBE_MS < now_ms - machine.probe_sent_at_ms < PROBE_INTERVAL_MS
            and (not coldness(self.state, machine) or may_start(self.state, machine))
        )

    def _is_backed_off(self, machine: MachineState, task: TrackedTask) -> bool:
        """Whether the task's class and tenant stay off the machine, as it rejected them a while ago."""
        backoff = machine.rejection_backoffs.get(task.class_and_tenant)
        return backoff is not None and self.state.now_ms < backoff.until_ms

    def _is_too_suspect(self, machine: MachineState, task: TrackedTask) -> bool:
        """Whether it is ejected, or the task may not find out if it is back.

        A suspect that is let back gets one task at a time. What has a single attempt goes where the last
        one came to something, while it is in time.
        """
        now_ms = self.state.now_ms
        if machine.unanswered_attempts >= EJECTION_THRESHOLD and (
            now_ms < machine.ejected_until_ms or machine.count_unanswered_offers()
        ):
            return True
        task_class = task.task_class
        return (
            task_class.idempotency is Idempotency.NON_IDEMPOTENT
            and now_ms - task.arrived_at_ms < task_class.latency_objective_ms
        )

    @staticmethod
    def _drops_repeats(machine: MachineState, task: TrackedTask) -> bool:
        """Whether a second run there does no harm, as far as the scope of deduplication decides it."""
        uncertain = task.first_uncertain_attempt
        scope = task.task_class.deduplication_scope
        if uncertain is None or scope == "all":
            return True
        if task.task_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return True
        return machine.failure_domain(scope) == uncertain.machine.failure_domain(scope)

    def _occupied_domains(self, task: TrackedTask) -> list[object]:
        """The failure domain of each attempt of the task's service, where its class is spread."""
        spread_by = task.task_class.spread_by
        if spread_by == "off":
            return []
        running = self.state.tasks_by_service.get(task.service, {}).values()
        return [other.machine.failure_domain(spread_by) for other in running if other.machine]

    def rank_candidates(self, task: TrackedTask) -> list[Candidate]:
        """The machines that would do, of those walked, the best first."""
        usage = self.capacity.usage.estimate(task)
        occupied_domains = self._occupied_domains(task)
        candidates: list[Candidate] = []
        faultless = 0
        for machine in self.walk_machines(task):
            if not self.is_eligible(machine, task, occupied_domains):
                continue
            remaining = self.capacity.capacity_for(machine, task)
            if not remaining:
                continue
            load = self.capacity.predict_load(machine, task, usage)
            if not self.capacity.is_load_acceptable(machine, task, load):
                continue
            rank = self._rank(machine, task, remaining, load)
            candidates.append(Candidate(rank, machine))
            faultless += not rank.has_drawback
            if faultless >= MAX_FAULTLESS or len(candidates) >= MAX_RANKED:
                break
        candidates.sort(key=lambda candidate: candidate.rank)
        return candidates

    def _rank(
        self, machine: MachineState, task: TrackedTask, remaining: Resources, load: Resources
    ) -> CandidateRank:
        task_class = task.task_class
        objective_ms = task_class.latency_objective_ms
        left_ms = objective_ms - (self.state.now_ms - task.arrived_at_ms)
        warmth = self.starts.program_warmth(machine, task.service)
        start_ms = self.starts.predict_start_ms(machine, task, warmth)
        objectives_late = 0 if start_ms <= left_ms else 1 + int(start_ms / objective_ms)
        requested = task.requested
        size = machine.size
        is_tight = (
            remaining[0] - requested[0] < TIGHT_SHARE * size[0]
            or remaining[1] - requested[1] < TIGHT_SHARE * size[1]
        )
        return CandidateRank(
            objectives_late > 0,
            self.settings.cross_zone_price > 0.0 and machine.entry.zone != self.settings.zone,
            is_tight and task.attempt_count > 0,
            objectives_late,
            load[0] > task_class.saturation_threshold - CROWDED_MARGIN,
            is_tight,
            warmth,
        )

    def _probe_first(self, candidates: list[Candidate]) -> None:
        """Probes the first choices whose report is old, where only probes tell.

        So probes follow tasks; by hundreds of schedulers, of all machines each second, they cost more.
        """
        if not (self.settings.probes_allowed and self.settings.reports_on_probe):
            return
        now_ms = self.state.now_ms
        for _, machine in candidates[:PROBED_CANDIDATES]:
            is_report_old = now_ms - machine.reported_at_ms >= PROBE_INTERVAL_MS
            if is_report_old and not 0.0 <= now_ms - machine.probe_sent_at_ms < PROBE_INTERVAL_MS:
                machine.probe_sent_at_ms = now_ms
                self.state.actions.append(Probe(machine.name))

    def choose_by_hash(
        self, task: TrackedTask, need: Resources, machines: Iterable[MachineState]
    ) -> MachineState | None:
        """The first machine whose slice holds the request, if the request covers the need."""
        if not covers(task.requested, need):
            return None
        for machine in machines:
            if coldness(self.state, machine):
                continue
            if covers(self.capacity.slice_left(machine, task.requested), task.requested):
                return machine
        return None

    def choose_by_coverage(
        self, task: TrackedTask, need: Resources, machines: Sequence[MachineState]
    ) -> MachineState | None:
        """The first machine whose coverage is as good as the best, if any is good enough."""
        requested = task.requested
        fitting = (
            machine
            for machine in machines
            if covers(self.capacity.overcommitted_slice_left(machine, requested), requested)
        )
        scores = [
            (demand_coverage(self.capacity, machine, task, need), machine)
            for machine in islice(fitting, MAX_COVERAGE_SAMPLE)
            if self.state.now_ms >= machine.harvest_suspended_until_ms
        ]
        best = max([MIN_COVERAGE, *(score for score, _ in scores)])
        return next((machine for score, machine in scores if score >= best - EQUAL_COVERAGE), None)

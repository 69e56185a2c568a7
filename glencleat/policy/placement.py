"""Placement: which machines are examined for a task, which are eligible, and which one is chosen.

The ordinary path (LIBRA sections 4 and 5, for tasks that can't be resized): a task whose request covers its
predicted need goes to its service's hashed machine, or to the next one in hash order if the slice is full.
Any other task goes where harvested capacity of this scheduler's own tasks best covers its excess, else to a
machine with free capacity.
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
from glencleat.policy.warm_up import may_start, remaining_warm_up_share

MAX_FAULTLESS = 4  # candidates without a drawback after which the search ends
MAX_RANKED = 16  # candidates after which the search ends
MAX_EXAMINED = 32  # machines examined for one task, whatever the size of the fleet
MAX_COVERAGE_SAMPLE = 8  # machines whose coverage is computed: the most expensive score
COVERAGE_TOLERANCE = 0.1  # coverages that differ by no more count as equal
MIN_COVERAGE = 0.3  # a lower coverage counts as none
CROWDED_MARGIN = 0.1  # below the saturation threshold: usage fluctuates, so closer machines rank lower
TIGHT_SHARE = 0.05  # of a machine's size: other schedulers may take as much between two lists
PROBE_INTERVAL_MS = 1_000.0  # age of a load report from which top candidates are probed
MAX_PROBED_CANDIDATES = 2  # per placement: probing all machines costs more than the tasks do
SLOW_PROBE_MS = 100.0  # a machine that takes longer to answer a probe is skipped


class CandidateRank(NamedTuple):
    """Drawbacks of a candidate, the most important first; the lowest rank is the best."""

    is_late: bool  # its predicted start misses the latency objective
    is_in_other_zone: bool
    may_exhaust_attempts: bool  # a retry on a nearly full machine: another rejection may use up the attempts
    objectives_late: int  # delay of a late start in latency objectives, rounded up
    is_near_saturation: bool
    is_nearly_full: bool  # other schedulers may have taken the rest of the capacity by now
    program_warmth: int

    @property
    def has_drawback(self) -> bool:
        """Whether the candidate has any drawback, apart from the program's warmth."""
        return bool(
            self.is_late
            or self.is_in_other_zone
            or self.may_exhaust_attempts
            or self.is_near_saturation
            or self.is_nearly_full
        )


class Candidate(NamedTuple):
    """An eligible machine with its rank."""

    rank: CandidateRank
    machine: MachineState


class Placement:
    """Chooses machines. The only state that it changes is when machines were probed."""

    def __init__(
        self, state: PolicyState, profiles: UsageProfiles, capacity: CapacityModel, starts: ProgramStarts
    ) -> None:
        self.state = state
        self.settings = state.settings
        self.profiles = profiles
        self.capacity = capacity
        self.starts = starts

    def choose_machine(self, task: TrackedTask) -> MachineState | None:
        """Chooses by hash, then by coverage, then by free capacity, among the best-ranked candidates.

        Departs from LIBRA by ranking first: a start without the program takes many times the work, and a
        start within the latency objective is worth seconds of service. If no machine can meet the objective,
        those with the earliest start remain, and hash order decides which of them loads the program.

        Returns:
            The machine, or None if no candidate is left.
        """
        need = self.profiles.predict_need(task)
        candidates = self.rank_candidates(task)
        best = [c.machine for c in candidates if c.rank[:6] == candidates[0].rank[:6]]  # warmth is left out
        self._probe_top_candidates(candidates)
        return (
            self.choose_by_hash(task, need, best)
            or self.choose_by_coverage(task, need, best)
            or next(iter(best), None)
        )

    def walk_machines(self, task: TrackedTask) -> Iterable[MachineState]:
        """The machines to examine: those with own uses of the service's program, then in hash order.

        If there are more than `MAX_EXAMINED`, the first half of that number and a random sample of the
        others. The sample is drawn at once, its machines are looked up lazily.
        """
        state = self.state
        running = state.tasks_by_service.get(task.service, {}).values()
        names = [other.machine.name for other in running if other.machine]
        names += self.starts.use_times_by_machine(task.service)
        warm = {name: state.machines[name] for name in names if name in state.machines}
        order = state.serving_machines.get_order(task.service)
        warm_and_serving = [machine for machine in warm.values() if machine in state.serving_machines]
        total = len(warm) + len(order) - len(warm_and_serving)
        others = order.without(warm_and_serving)
        machines = chain(warm.values(), (machine for machine in order if machine.name not in warm))
        if total <= MAX_EXAMINED:
            return machines
        half = MAX_EXAMINED // 2
        sampled_indexes = state.random.sample(range(half - len(warm), total - len(warm)), half)
        first = [*warm.values()]
        return chain(islice(machines, half), (others[i] if i >= 0 else first[i] for i in sampled_indexes))

    def is_eligible(self, machine: MachineState, task: TrackedTask, occupied_domains: list[object]) -> bool:
        """Whether the machine passes all filters: kind, draining, spread, deduplication, health, warm-up."""
        now_ms = self.state.now_ms
        task_class = task.task_class
        spread_by = task_class.spread_by
        return (
            machine.is_serving
            and task_class.machine_kind in (None, machine.entry.kind)
            and now_ms - task.ended_at_ms_by_machine.get(machine.name, NEVER_MS) >= FULL_BACKOFF_MS
            and not (machine.is_suspect and self._is_excluded_as_suspect(machine, task))
            and (not task.first_uncertain_attempt or self._deduplicates_retry(machine, task))
            and (
                spread_by == "off"
                or occupied_domains.count(machine.failure_domain(spread_by)) < task_class.max_per_domain
            )
            and not (machine.rejection_backoffs and self._is_backed_off(machine, task))
            and not SLOW_PROBE_MS < now_ms - machine.probe_sent_at_ms < PROBE_INTERVAL_MS
            and (not remaining_warm_up_share(self.state, machine) or may_start(self.state, machine))
        )

    def _is_backed_off(self, machine: MachineState, task: TrackedTask) -> bool:
        """Whether the task's class and tenant still back off from the machine after a rejection."""
        backoff = machine.rejection_backoffs.get(task.class_and_tenant)
        return backoff is not None and self.state.now_ms < backoff.until_ms

    def _is_excluded_as_suspect(self, machine: MachineState, task: TrackedTask) -> bool:
        """Whether the suspect machine is ejected, or the task must not be the one that tests it.

        After its ejection a suspect gets one task at a time. A non-idempotent task, which has a single
        attempt, avoids suspects until its latency objective has passed.
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
    def _deduplicates_retry(machine: MachineState, task: TrackedTask) -> bool:
        """Whether the deduplication scope allows a retry there after an attempt that may have run."""
        uncertain = task.first_uncertain_attempt
        scope = task.task_class.deduplication_scope
        if uncertain is None or scope == "all":
            return True
        if task.task_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return True
        return machine.failure_domain(scope) == uncertain.machine.failure_domain(scope)

    def _occupied_domains(self, task: TrackedTask) -> list[object]:
        """The failure domain of each attempt of the task's service; empty if its class is not spread."""
        spread_by = task.task_class.spread_by
        if spread_by == "off":
            return []
        running = self.state.tasks_by_service.get(task.service, {}).values()
        return [other.machine.failure_domain(spread_by) for other in running if other.machine]

    def rank_candidates(self, task: TrackedTask) -> list[Candidate]:
        """The candidates among the machines examined, the best first."""
        usage = self.capacity.usage.estimate(task)
        occupied_domains = self._occupied_domains(task)
        candidates: list[Candidate] = []
        without_drawback = 0
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
            without_drawback += not rank.has_drawback
            if without_drawback >= MAX_FAULTLESS or len(candidates) >= MAX_RANKED:
                break
        candidates.sort(key=lambda candidate: candidate.rank)
        return candidates

    def _rank(
        self, machine: MachineState, task: TrackedTask, remaining: Resources, load: Resources
    ) -> CandidateRank:
        task_class = task.task_class
        objective_ms = task_class.latency_objective_ms
        remaining_ms = objective_ms - (self.state.now_ms - task.arrived_at_ms)
        warmth = self.starts.program_warmth(machine, task.service)
        start_ms = self.starts.predict_start_ms(machine, task, warmth)
        objectives_late = 0 if start_ms <= remaining_ms else 1 + int(start_ms / objective_ms)
        requested = task.requested
        size = machine.size
        is_nearly_full = (
            remaining[0] - requested[0] < TIGHT_SHARE * size[0]
            or remaining[1] - requested[1] < TIGHT_SHARE * size[1]
        )
        return CandidateRank(
            objectives_late > 0,
            self.settings.cross_zone_price > 0.0 and machine.entry.zone != self.settings.zone,
            is_nearly_full and task.attempt_count > 0,
            objectives_late,
            load[0] > task_class.saturation_threshold - CROWDED_MARGIN,
            is_nearly_full,
            warmth,
        )

    def _probe_top_candidates(self, candidates: list[Candidate]) -> None:
        """Probes the top candidates with outdated reports, where reports come only with probes.

        Probes thus grow with tasks. Hundreds of schedulers probing all machines each second cost more than
        the tasks.
        """
        if not (self.settings.probes_allowed and self.settings.reports_on_probe):
            return
        now_ms = self.state.now_ms
        for _, machine in candidates[:MAX_PROBED_CANDIDATES]:
            is_report_old = now_ms - machine.reported_at_ms >= PROBE_INTERVAL_MS
            if is_report_old and not 0.0 <= now_ms - machine.probe_sent_at_ms < PROBE_INTERVAL_MS:
                machine.probe_sent_at_ms = now_ms
                self.state.actions.append(Probe(machine.name))

    def choose_by_hash(
        self, task: TrackedTask, need: Resources, machines: Iterable[MachineState]
    ) -> MachineState | None:
        """The first machine whose remaining slice covers the request, if the request covers the need.

        Machines that are warming up are skipped.
        """
        if not covers(task.requested, need):
            return None
        for machine in machines:
            if remaining_warm_up_share(self.state, machine):
                continue
            if covers(self.capacity.remaining_slice(machine, task.requested), task.requested):
                return machine
        return None

    def choose_by_coverage(
        self, task: TrackedTask, need: Resources, machines: Sequence[MachineState]
    ) -> MachineState | None:
        """The first machine whose coverage is within `COVERAGE_TOLERANCE` of the best one.

        A best coverage below `MIN_COVERAGE` counts as that value. Only machines whose overcommitted slice
        covers the request are considered.
        """
        requested = task.requested
        fitting = (
            machine
            for machine in machines
            if covers(self.capacity.remaining_overcommitted_slice(machine, requested), requested)
        )
        scores = [
            (demand_coverage(self.capacity, machine, task, need), machine)
            for machine in islice(fitting, MAX_COVERAGE_SAMPLE)
            if self.state.now_ms >= machine.harvest_suspended_until_ms
        ]
        best = max([MIN_COVERAGE, *(score for score, _ in scores)])
        return next((machine for score, machine in scores if score >= best - COVERAGE_TOLERANCE), None)

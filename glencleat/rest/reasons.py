"""Why a task waits, from reports of machines, the machine list and the allocator's own state. Pure.

Nothing here looks into the policy: a reason is an observation, not the policy's own explanation. What
machines reported is repeated as reported, even where it was wrong (`allocator.pending_reasons`). Causes
that depend on the cluster and not on the task are computed once for all tasks of the same class, service
and size (`Shape`). Machines are first summed up by kind, so that a sweep costs machines + shapes x kinds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from glencleat import interface as api
from glencleat.allocator.pending_reasons import OUTCOME_TEXTS, REASON_TEXTS, PendingReason, PendingReasons
from glencleat.rest.schema import Cause, Why

Shape = tuple[str, str, float, float]  # class, service, cores, memory
MAX_NAMED_DOMAINS = 4  # a text lists at most so many domains
DOMAIN_GETTERS: dict[str, Callable[[api.Machine], str]] = {
    "zone": lambda m: m.zone,
    "cell": lambda m: f"{m.zone}/{m.cell}",
    "machine": lambda m: m.name,
}


@dataclass(slots=True)
class KindTotals:
    """Counts of the machines of one kind, by condition."""

    machine_count: int = 0
    draining: int = 0
    no_agent: int = 0
    unresponsive: int = 0
    warming_up: int = 0
    serving: list[api.Machine] = field(default_factory=list)

    def add(self, other: KindTotals) -> None:
        """Adds the counts of another kind."""
        self.machine_count += other.machine_count
        self.draining += other.draining
        self.no_agent += other.no_agent
        self.unresponsive += other.unresponsive
        self.warming_up += other.warming_up
        self.serving += other.serving


class ClusterFacts:
    """What is known of the cluster at one instant.

    `agents`: the state of each agent. `placed`: the number of placed tasks of each service, by machine.
    `silent`: machines that left attempts unanswered and have sent nothing since. `previous_causes`: the
    causes of an earlier instant; where they still hold, the same list object is returned, so that a change
    shows by identity.
    """

    def __init__(
        self,
        settings: api.Settings,
        machines: Mapping[str, api.Machine],
        agents: Mapping[str, str],
        placed: Mapping[str, Counter[str]],
        silent: Mapping[str, int],
        now: float,
        previous_causes: Mapping[Shape, list[Cause]],
    ) -> None:
        self.settings, self.machines_by_name, self.placed_by_service, self.previous_causes = (
            settings,
            machines,
            placed,
            previous_causes,
        )
        self.classes_by_name = {c.name: c for c in settings.classes}
        self.causes_by_shape: dict[Shape, list[Cause]] = {}
        self.totals_by_kind: dict[str, KindTotals] = {}
        for machine in machines.values():
            if machine.phase is api.MachinePhase.REMOVED:
                continue
            totals = self.totals_by_kind.setdefault(machine.kind, KindTotals())
            totals.machine_count += 1
            ready_at_ms = machine.ready_at_ms
            if machine.phase is api.MachinePhase.DRAINING:
                totals.draining += 1
                continue
            totals.serving.append(machine)
            if agents.get(machine.name) != "subscribed":
                totals.no_agent += 1
                continue
            totals.unresponsive += machine.name in silent
            totals.warming_up += (
                bool(settings.warm_up_offers)
                and ready_at_ms is not None
                and now - ready_at_ms < settings.warm_up_ms
            )

    def common_causes(self, shape: Shape) -> list[Cause]:
        """The causes that hold for all tasks of the shape, most important first."""
        causes = self.causes_by_shape.get(shape)
        if causes is None:
            causes = self._find_common_causes(shape)
            previous = self.previous_causes.get(shape)
            causes = self.causes_by_shape[shape] = previous if previous == causes else causes
        return causes

    def _find_common_causes(self, shape: Shape) -> list[Cause]:
        name, service, cores, memory = shape
        task_class, fitting = self.classes_by_name[name], KindTotals()
        for kind, totals in self.totals_by_kind.items():
            if self._kind_fits(kind, task_class, cores, memory):
                fitting.add(totals)
        if not fitting.machine_count:
            of = f" of kind {task_class.machine_kind}" if task_class.machine_kind is not None else ""
            text = f"no machine{of} is known that takes {cores:g} cores and {memory:g} MB"
            return [Cause(kind="no-machine", text=f"{text}; {len(self.machines_by_name)} machines are known")]
        causes = list[Cause]()
        spread = self._spread_cause(task_class, service, fitting.serving)
        if spread is not None:
            causes.append(spread)
        for kind, count, text in (
            ("draining", fitting.draining, "drain"),
            ("no-agent", fitting.no_agent, "have no agent connected"),
            ("barred", fitting.unresponsive, "left asks unanswered lately"),
            ("cold", fitting.warming_up, "came up lately and take few starts at a time"),
        ):
            if count:
                of = f"{count} of {fitting.machine_count} fitting machines"
                causes.append(Cause(kind=kind, text=f"{of} {text}", count=count))
        available = fitting.machine_count - fitting.draining - fitting.no_agent - fitting.unresponsive
        if available > 0 and spread is None:
            text = f"{available} fitting machines serve; none showed room for it"
            causes.append(Cause(kind="no-room", text=text, count=available))
        return causes

    def _kind_fits(self, kind: str, task_class: api.TaskClass, cores: float, memory: float) -> bool:
        size = self.settings.machine_sizes.get(kind)
        if size is None or task_class.machine_kind not in (None, kind):
            return False
        settings = self.settings
        return (
            cores <= size.cores * settings.cores_overcommit
            and memory <= size.memory * settings.memory_overcommit
        )

    def _spread_cause(
        self, task_class: api.TaskClass, service: str, serving: list[api.Machine]
    ) -> Cause | None:
        """The spread limit of the service, if at least one domain has reached it."""
        domain_of, placed_by_machine = (
            DOMAIN_GETTERS.get(task_class.spread_by),
            self.placed_by_service.get(service),
        )
        if domain_of is None or not placed_by_machine:
            return None
        placed_by_domain = Counter[str]()
        for name, count in placed_by_machine.items():
            machine = self.machines_by_name.get(name)
            if machine is not None:
                placed_by_domain[domain_of(machine)] += count
        domains = {domain_of(m) for m in serving}
        full = sorted(domain for domain in domains if placed_by_domain[domain] >= task_class.max_per_domain)
        if not full:
            return None
        domain_word = "hall" if task_class.spread_by == "zone" else task_class.spread_by
        named = ", ".join(full[:MAX_NAMED_DOMAINS]) + (" ..." if len(full) > MAX_NAMED_DOMAINS else "")
        limit = f"limit of {task_class.max_per_domain} tasks of {service} a {domain_word}"
        text = f"{limit}: {len(full)} of {len(domains)} at it ({named})"
        return Cause(kind="spread", text=text, count=len(full))


CAUSE_KIND_BY_OUTCOME = {
    api.Outcome.REJECTED: "refused",
    api.Outcome.TIMED_OUT: "no-answer",
    api.Outcome.UNREACHABLE: "unreachable",
    api.Outcome.NOT_SENT: "not-sent",
    api.Outcome.LOST: "lost",
    api.Outcome.ERROR: "error",
}


def machine_causes(record: PendingReasons, wall_of: Callable[[float], float]) -> list[Cause]:
    """What machines last reported about the task, newest first."""
    return [_machine_cause(reason, wall_of) for reason in reversed(record.reasons_by_kind.values())]


def _machine_cause(reason: PendingReason, wall_of: Callable[[float], float]) -> Cause:
    kind = CAUSE_KIND_BY_OUTCOME.get(reason.outcome, reason.outcome.value)
    if reason.outcome_reason in REASON_TEXTS:
        kind = f"{kind}-{reason.outcome_reason.value.replace(' ', '-')}"
    outcome_text = OUTCOME_TEXTS.get(reason.outcome, reason.outcome.value)
    cause = f" ({REASON_TEXTS[reason.outcome_reason]})" if reason.outcome_reason in REASON_TEXTS else ""
    times = f"{reason.count} times, last" if reason.count > 1 else "once,"
    text, at = f"{outcome_text}{cause} {times} by {reason.machine}", round(wall_of(reason.reported_at_ms))
    return Cause(kind=kind, text=text, count=reason.count, machine=reason.machine, at_ms=at)


DECISIVE_KINDS = ("no-machine", "opening", "spread")


def explain_wait(
    stage: Cause | None, record: PendingReasons, common: list[Cause], wall_of: Callable[[float], float]
) -> Why:
    """Combines the task's current stage, the machines' reports and the causes common to its shape.

    `stage`: what the task waits for at the moment (opening, queue, pause, out); None while the policy holds
    it. The summary is the cause that rules out all machines, if there is one, else the newest report of a
    machine.
    """
    reported = machine_causes(record, wall_of)
    causes = [*([stage] if stage is not None else []), *reported, *common]
    if not reported and (stage is None or stage.kind != "out"):
        causes.append(Cause(kind="not-tried", text="it was not offered to any machine yet"))
    decisive = next((c for c in causes if c.kind in DECISIVE_KINDS), None)
    return Why(summary=(decisive or (reported or causes)[0]).text, causes=causes)


STARTUP_CAUSE = Cause(
    kind="opening", text="the allocator has just started and waits for its machines to tell what they run"
)
QUEUE_CAUSE = Cause(kind="queue", text="it waits for its turn at this allocator")
PAUSE_CAUSE = Cause(kind="pause", text="it was refused and is asked for again after a pause")


def in_flight_cause(machine: str, attempt: int) -> Cause:
    """The stage of a task with an attempt in flight."""
    text = f"offered to {machine} (attempt {attempt + 1}), no answer yet"
    return Cause(kind="out", text=text, machine=machine)

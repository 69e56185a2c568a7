"""Why a task waits, from what was told: by machines, by the list, by the allocator's own state. Pure.

Nothing here looks into the decision module: a reason is an observation and not its thought. What machines
said is told as they said it, also when they said it wrongly (`allocator.why`). What depends on the cluster
and not on the task is worked out once for all tasks of the same class, service and size (`Shape`): machines
are summed up by kind first, so that a sweep costs machines + shapes x kinds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from glencleat import interface as api
from glencleat.allocator.pending_reasons import OUTCOME_TEXTS, REASON_TEXTS, PendingReason, PendingReasons
from glencleat.rest.schema import Cause, Why

Shape = tuple[str, str, float, float]  # class, service, cores, memory
NAMED = 4  # places that a text names
DOMAIN_GETTERS: dict[str, Callable[[api.Machine], str]] = {
    "zone": lambda m: m.zone,
    "cell": lambda m: f"{m.zone}/{m.cell}",
    "machine": lambda m: m.name,
}


@dataclass(slots=True)
class KindTotals:
    """The machines of one kind."""

    machine_count: int = 0
    draining: int = 0
    no_agent: int = 0
    unresponsive: int = 0
    warming_up: int = 0
    serving: list[api.Machine] = field(default_factory=list)

    def add(self, other: KindTotals) -> None:
        self.machine_count += other.machine_count
        self.draining += other.draining
        self.no_agent += other.no_agent
        self.unresponsive += other.unresponsive
        self.warming_up += other.warming_up
        self.serving += other.serving


class ClusterFacts:
    """What is known at one instant.

    `agents`: state of each agent; `placed`: our placed tasks of a service by machine; `silent`: machines that
    left attempts unanswered and have not been heard since. `previous_causes`: the causes of an earlier
    instant; where they still hold, the same list is given again, so that a change shows by identity."""

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
            sums = self.totals_by_kind.setdefault(machine.kind, KindTotals())
            sums.machine_count += 1
            up = machine.ready_at_ms
            if machine.phase is api.MachinePhase.DRAINING:
                sums.draining += 1
                continue
            sums.serving.append(machine)
            if agents.get(machine.name) != "subscribed":
                sums.no_agent += 1
                continue
            sums.unresponsive += machine.name in silent
            sums.warming_up += (
                bool(settings.warm_up_offers) and up is not None and now - up < settings.warm_up_ms
            )

    def common_causes(self, shape: Shape) -> list[Cause]:
        """What holds for all tasks of the shape, the weightiest first."""
        found = self.causes_by_shape.get(shape)
        if found is None:
            found = self._common(shape)
            before = self.previous_causes.get(shape)
            found = self.causes_by_shape[shape] = before if before == found else found
        return found

    def _common(self, shape: Shape) -> list[Cause]:
        name, service, cores, memory = shape
        cls, fit = self.classes_by_name[name], KindTotals()
        for kind, sums in self.totals_by_kind.items():
            if self._fits(kind, cls, cores, memory):
                fit.add(sums)
        if not fit.machine_count:
            of = f" of kind {cls.machine_kind}" if cls.machine_kind is not None else ""
            text = f"no machine{of} is known that takes {cores:g} cores and {memory:g} MB"
            return [Cause(kind="no-machine", text=f"{text}; {len(self.machines_by_name)} machines are known")]
        causes = list[Cause]()
        spread = self._spread(cls, service, fit.serving)
        if spread is not None:
            causes.append(spread)
        for kind, count, text in (
            ("draining", fit.draining, "drain"),
            ("no-agent", fit.no_agent, "have no agent connected"),
            ("barred", fit.unresponsive, "left asks unanswered lately"),
            ("cold", fit.warming_up, "came up lately and take few starts at a time"),
        ):
            if count:
                of = f"{count} of {fit.machine_count} fitting machines"
                causes.append(Cause(kind=kind, text=f"{of} {text}", count=count))
        well = fit.machine_count - fit.draining - fit.no_agent - fit.unresponsive
        if well > 0 and spread is None:
            text = f"{well} fitting machines serve; none showed room for it"
            causes.append(Cause(kind="no-room", text=text, count=well))
        return causes

    def _fits(self, kind: str, cls: api.TaskClass, cores: float, memory: float) -> bool:
        size = self.settings.machine_sizes.get(kind)
        if size is None or cls.machine_kind not in (None, kind):
            return False
        accept = self.settings
        return (
            cores <= size.cores * accept.cores_overcommit and memory <= size.memory * accept.memory_overcommit
        )

    def _spread(self, cls: api.TaskClass, service: str, serving: list[api.Machine]) -> Cause | None:
        """The limit of tasks of a service in one place, where all places are at it."""
        place, here = DOMAIN_GETTERS.get(cls.spread_by), self.placed_by_service.get(service)
        if place is None or not here:
            return None
        there = Counter[str]()
        for name, count in here.items():
            machine = self.machines_by_name.get(name)
            if machine is not None:
                there[place(machine)] += count
        places = {place(m) for m in serving}
        full = sorted(p for p in places if there[p] >= cls.max_per_domain)
        if not full:
            return None
        word = "hall" if cls.spread_by == "zone" else cls.spread_by
        named = ", ".join(full[:NAMED]) + (" ..." if len(full) > NAMED else "")
        limit = f"limit of {cls.max_per_domain} tasks of {service} a {word}"
        text = f"{limit}: {len(full)} of {len(places)} at it ({named})"
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
    """What machines last said of the task, the newest first."""
    return [_said(reason, wall_of) for reason in reversed(record.reasons_by_kind.values())]


def _said(reason: PendingReason, wall_of: Callable[[float], float]) -> Cause:
    kind = CAUSE_KIND_BY_OUTCOME.get(reason.outcome, reason.outcome.value)
    if reason.outcome_reason in REASON_TEXTS:
        kind = f"{kind}-{reason.outcome_reason.value.replace(' ', '-')}"
    word = OUTCOME_TEXTS.get(reason.outcome, reason.outcome.value)
    cause = f" ({REASON_TEXTS[reason.outcome_reason]})" if reason.outcome_reason in REASON_TEXTS else ""
    times = f"{reason.count} times, last" if reason.count > 1 else "once,"
    text, at = f"{word}{cause} {times} by {reason.machine}", round(wall_of(reason.reported_at_ms))
    return Cause(kind=kind, text=text, count=reason.count, machine=reason.machine, at_ms=at)


DECISIVE_KINDS = ("no-machine", "opening", "spread")


def explain_wait(
    stage: Cause | None, record: PendingReasons, common: list[Cause], wall_of: Callable[[float], float]
) -> Why:
    """The record: where the task stands, what machines said of it, what holds for all like it.

    `stage`: what it waits for just now (opening, queue, pause, out), None while the module holds it. The
    summary is what stands in the way of all machines, if anything does; else what machines said last."""
    heard = machine_causes(record, wall_of)
    causes = [*([stage] if stage is not None else []), *heard, *common]
    if not heard and (stage is None or stage.kind != "out"):
        causes.append(Cause(kind="not-tried", text="it was not offered to any machine yet"))
    first = next((c for c in causes if c.kind in DECISIVE_KINDS), None)
    return Why(summary=(first or (heard or causes)[0]).text, causes=causes)


STARTUP_CAUSE = Cause(
    kind="opening", text="the allocator has just started and waits for its machines to tell what they run"
)
QUEUE = Cause(kind="queue", text="it waits for its turn at this allocator")
PAUSE = Cause(kind="pause", text="it was refused and is asked for again after a pause")


def in_flight_cause(machine: str, attempt: int) -> Cause:
    text = f"offered to {machine} (attempt {attempt + 1}), no answer yet"
    return Cause(kind="out", text=text, machine=machine)

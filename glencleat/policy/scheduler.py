"""The decisions of one scheduler. Its types, events and actions: glencleat/interface.py, to be read first.

The ordinary path (LIBRA sections 4-5, bent to tasks that can't be resized): machines are split evenly among
schedulers. A task whose ask covers its need goes to its service's hashed machine, rehashed while the slice is
full; any other is bound by need where harvested room of our own tasks best covers its excess; else it borrows
room that is shown free, and waits only when none shows. In order: profiler, slices, harvested room,
choice, attempts and rules, health, list, reports."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from itertools import chain, count, islice
from typing import Any

from glencleat.index.rendezvous import Columns, RendezvousIndex, RendezvousOrder, hash_name
from glencleat.interface import (
    Action,
    AttemptAccepted,
    AttemptEnded,
    Bind,
    CallAbandoned,
    Event,
    Fail,
    Idempotency,
    ListUpdateKind,
    LoadReport,
    LogMessage,
    Machine,
    MachineListUpdated,
    MachinePhase,
    MachineSize,
    ObservationKind,
    Outcome,
    OutcomeReason,
    PlacementRequested,
    Probe,
    ProbeEnded,
    ReachabilityChanged,
    Reject,
    SetTimer,
    Settings,
    TaskClass,
    TaskObserved,
    TimerFired,
    WatchMachineList,
)

NEED_SHARE, LIFE_SHARE = 0.75, 0.25  # of peaks: 99ths leave machines half empty; of lives: 5ths lapse at once
ENOUGH = 20  # ended tasks before a histogram speaks
ALPHA = 0.5  # weight of cores in coverage; memory evicts but cores serve, so neither is put first
LIKE, LEAST_COVER = 0.1, 0.3  # coverages that differ by less are alike; less is as good as none
LOWER = 0.5  # weight of cores that lower priorities use: only a part crowds a task, which is not told
SPARE, FADED = 0.1, 0.5  # nearer to the calm level ranks later: use swings; part of the fade borne at the aim
FULL, FULLEST = 0.88, 0.94  # memory in use that a task accepts at once, and at its aim: slow, then evictions
KEPT_MS = 15_000.0  # a program is thought kept for this long after the last of our tasks
VOID_MS, VOID_EVICTED_MS = 2_000.0, 5_000.0  # harvested room void after a sign of pressure, an eviction
BUSY, TIGHT_MEMORY, POORLY = 0.95, 0.92, 0.8  # shares of cores, of memory in use, and served, that void
VIEW_LAG_MS, REPORT_LAG_MS = 1_500.0, 700.0  # age of a list's, a report's figures; newer own binds are not in
SUMS_MS = 200.0  # a node's sums are used this long when no task came or went: uses drift slower
SAMPLE, HASHED = 8, 2  # machines ranked by coverage; those first by hash that peers are taken to keep warm
TIGHT_ROOM = 0.05  # part of a machine's size that peers may take between a list and the next
LOOKED, RANKED, EXAMINED = 4, 16, 32  # faultless, acceptable and seen machines after which a walk ends
SILENT, BAR_MS = 2, 1_000.0  # unanswered attempts that bar a machine (one may be lost); first bar, doubled
TIMEOUT_MIN, TIMEOUT_MAX = 300.0, 1_500.0  # bounds of the answer time-out: a short line, and a usual aim
SLOW_NO, UNSAFE_TIMEOUT_MS = 0.35, 3_000.0  # a slow no takes part of the aim; no second try: waits longer
LINE, REFUSED_MS = 4, 500.0  # own offers unanswered at a machine; a full one is left alone so long
PULSE_MS, TRIES_A_PULSE = 100.0, 3  # held tasks are looked at so often; so many without room end a look
PROBE_MS, PROBED = 1_000.0, 2  # where only probes tell: first choices looked at if their report is older
LOOK_SHARE, SLOW_MS = 0.3, 100.0  # part of the aim that its answer is waited for; slower ones are left
FILL = 0.05  # weight of one machine in the mean of the fleet
OLD_MS, REPORT_MS = 5_000.0, 2_000.0  # an older report says less than the mean, of cores than asks do
TURNED_MS, TURNED_MAX_MS = 4_000.0, 16_000.0  # a class or tenant turned away without a reason stays off
STOOD_STILL_MS = 100.0  # a new task that comes with so much of its time gone waited for us, not we for it
KNOWN, LOG_MS = 2_000, 1_000.0  # services remembered, the longest unused go first; log lines of a kind apart
ORDERED = 8_000_000  # machines in all hash orders together, 2 bytes each; the longest unused go first
REASK_MS, REASK_MAX_MS = 500.0, 4_000.0  # asking for the list again after a failure, doubled
START_MS = (200.0, 800.0, 1_500.0)  # a start by warmth, until starts tell; own starts go in two lanes,
TWO_LANES, COLD_SLOWER = 0.5, 4.0  # slower on a cold machine; how many lanes and how slow is not told

Pair = tuple[float, float]  # cores and memory


def plus(a: Pair, b: Pair) -> Pair:
    return a[0] + b[0], a[1] + b[1]


def times(a: Pair, b: Pair) -> Pair:
    return a[0] * b[0], a[1] * b[1]


def least(a: Pair, b: Pair) -> bool:
    return a[0] >= b[0] and a[1] >= b[1]


# ---- profiler ----


class Histogram:
    """Counts of a value in even steps; percentiles by upper edge, also among values beyond a floor."""

    def __init__(self, step: float) -> None:
        self.step, self.total, self.counts = step, 0, [0] * 128
        self.known: dict[tuple[float, int], float] = {}

    def add(self, value: float) -> None:
        self.counts[min(len(self.counts) - 1, int(value / self.step))] += 1
        self.total += 1
        self.known.clear()

    def percentile(self, share: float, floor: float = 0.0) -> float:
        first = int(floor / self.step)
        if (share, first) not in self.known:
            wanted, seen, i = share * sum(self.counts[first:]), 0, first
            while i < len(self.counts) and (not seen or seen < wanted):
                seen, i = seen + self.counts[i], i + 1
            self.known[share, first] = (i if seen else first + 1) * self.step
        return self.known[share, first]


class UsageProfile:
    """Peaks as shares of the ask, and lives, of the ended tasks of a service (or of a class, pooled)."""

    def __init__(self) -> None:
        self.cores, self.memory, self.life = Histogram(0.05), Histogram(0.05), Histogram(1_000.0)

    def add(self, task: TrackedTask, life: float | None) -> None:
        if task.peak[0] and task.peak[1]:
            self.cores.add(task.peak[0] / task.ask[0])
            self.memory.add(task.peak[1] / task.ask[1])
        if life is not None:
            self.life.add(life)


# ---- slices and own binds ----


@dataclass(slots=True, eq=False)
class TrackedTask:
    """A task of ours from its arrival to its end."""

    call: int
    cls: TaskClass
    service: str
    tenant: str | None
    ask: Pair
    came: float
    deadline: float
    number: int = field(default_factory=count(1).__next__)  # in the order of arrival
    attempts: int = 0
    node: MachineState | None = None  # where an attempt is out or the task runs
    sent: float = 0.0
    placed: bool = False
    warmth: int = 2
    alone: bool = False  # no other start of ours was due there when it was sent
    runs_since: float | None = None
    lived: bool = True  # here from its start, so that its life can be learned
    answered: bool = False
    maybe: tuple[float, MachineState] | None = (
        None  # send time and machine of the first attempt that may have run
    )
    refused: dict[str, float] = field(default_factory=dict)
    erred: list[MachineState] = field(default_factory=list)  # machines that answered it with an error
    use: Pair = (0.0, 0.0)
    peak: Pair = (0.0, 0.0)


class MachineState:
    """A machine as this scheduler knows it: what the list and its answers told, and our own tasks there."""

    def __init__(self, told: Machine, size: MachineSize | None) -> None:
        self.name, self.told, self.known = told.name, told, size is not None
        self.size: Pair = (size.cores, size.memory) if size else (1.0, 1.0)
        self.tasks: dict[int, TrackedTask] = {}
        self.due: dict[int, TrackedTask] = {}  # those not yet running
        self.hash = hash_name(told.name)
        self.turned: dict[tuple[str, str | None], Pair] = {}  # class and tenant -> until when, for how long
        self.probing = float("inf")  # since when a probe is out
        self.told_at = self.left_at = -1e18  # left_at: own binds up to then are in what is told free
        self.report: LoadReport | None = None
        self.report_at = -1e18
        self.void_until = self.heard = self.barred_until = self.back_at = self.full_until = -1e18
        self.silent, self.bars, self.unreachable = 0, 0, False
        self.fresh_sends: list[float] = []
        self.sums_at = -1e18
        self.ranked: dict[int, float] = {}  # cores that our tasks use, by priority
        self.asks: Pair = (0.0, 0.0)
        self.needs = self.uses = self.others = self.fresh = self.asks

    def place(self, by: str) -> object:
        return {"zone": self.told.zone, "cell": (self.told.zone, self.told.cell)}.get(by, self.name)

    def up_since(self) -> float:
        return max(self.back_at, self.told.ready_at_ms or -1e18)

    def pending(self) -> int:
        return sum(not t.placed for t in self.due.values())


class Scheduler:
    def __init__(self, settings: Settings, seed: int) -> None:
        check(settings)
        self.set, self.random = settings, random.Random(seed)
        self.shares = (
            settings.allocator_count / settings.cores_overcommit,
            settings.allocator_count / settings.memory_overcommit,
        )
        self.classes = {c.name: c for c in settings.classes}
        self.tasks: dict[int, TrackedTask] = {}
        self.held: dict[int, TrackedTask] = {}
        self.services: dict[str, dict[int, TrackedTask]] = {}
        self.nodes: dict[str, MachineState] = {}
        self.profiles: dict[str, UsageProfile] = {}
        self.kept: dict[str, dict[str, float]] = {}  # service -> machine -> last time a task of ours held it
        self.ratio = (0.6, 0.7)  # use over ask, in the mean, until our own running tasks tell
        self.seen = Columns(4)  # use and ask of the tasks whose use is seen
        self.starts: dict[tuple[str, int], float] = {}
        self.serving = RendezvousIndex[MachineState](ORDERED, KNOWN)  # and each service's hash order of them
        self.emptied: dict[str, None] = {}  # machines that may be gone and without tasks of ours
        self.fill = (0.0, 0.0)  # shares of machines that others' tasks use, in the mean of those told
        self.timer_at = self.wake_at = float("inf")
        self.answer_ms = self.answer_dev = 100.0
        self.reask_at, self.reask_ms = 0.0 if settings.watch_on_request else float("inf"), REASK_MS
        self.logged: dict[str, float] = {}
        self.now, self.out, self.born = 0.0, list[Action](), float("inf")
        self.handlers: dict[type, Any] = {
            PlacementRequested: self.on_asked,
            AttemptAccepted: self.on_accepted,
            AttemptEnded: self.on_returned,
            CallAbandoned: self.on_left,
            TaskObserved: self.on_noted,
            MachineListUpdated: self.on_list,
            ProbeEnded: self.on_probed,
            TimerFired: self.on_timer,
            ReachabilityChanged: self.on_reached,
        }

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        self.now, self.out, self.born = now_ms, [], min(self.born, now_ms)
        self.handlers[type(event)](event)
        due = min(self.reask_at, self.wake_at, now_ms + PULSE_MS if self.held else float("inf"))
        if due < self.timer_at:  # no timer is out that would not be needed
            self.timer_at = due
            self.out.append(SetTimer(max(0.0, due - now_ms), 0))
        return self.out

    def profile(self, task: TrackedTask, part: str) -> UsageProfile:
        """The service's profile once enough tasks have ended; till then its class's, pooled."""
        own, key = self.profiles.get(task.service), "class " + task.cls.name
        if own and getattr(own, part).total >= ENOUGH:
            return own
        return self.profiles.get(key) or self.profiles.setdefault(key, UsageProfile())

    def need(self, task: TrackedTask) -> Pair:
        """Predicted peak, never under the use seen now: histograms lag behind a service that climbs."""
        seen, (cores, memory), (now_cores, now_memory) = self.profile(task, "cores"), task.ask, task.use
        if seen.cores.total >= ENOUGH:
            cores *= seen.cores.percentile(NEED_SHARE)
            memory *= seen.memory.percentile(NEED_SHARE)
        return cores if cores > now_cores else now_cores, memory if memory > now_memory else now_memory

    def life_left(self, task: TrackedTask) -> float:
        """Predicted life beyond the task's age, from the lives that grew as old."""
        age = 0.0 if task.runs_since is None else self.now - task.runs_since
        histogram = self.profile(task, "life").life
        if histogram.total < ENOUGH:
            return 5_000.0 if task.node is None else 2_500.0
        return max(0.0, histogram.percentile(LIFE_SHARE, age) - age)

    def sums(self, node: MachineState) -> MachineState:
        """Brings the node's sums up to date: own asks and needs, and what others are thought to use there."""
        if self.now - node.sums_at < SUMS_MS:
            return node
        node.sums_at = self.now
        left = self.left(node)
        asks = needs = uses = fresh = (0.0, 0.0)
        ranked = dict[int, float]()
        for task in node.tasks.values():  # added up in place: most of a decision's time goes here
            ask, need, use, rank = task.ask, self.need(task), self.use(task), task.cls.priority
            asks = asks[0] + ask[0], asks[1] + ask[1]
            needs = needs[0] + need[0], needs[1] + need[1]
            uses = uses[0] + use[0], uses[1] + use[1]
            ranked[rank] = ranked.get(rank, 0.0) + use[0]
            if task.sent > node.left_at:
                fresh = fresh[0] + ask[0], fresh[1] + ask[1]
        node.asks, node.needs, node.uses, node.fresh, node.ranked = asks, needs, uses, fresh, ranked
        if left is None:  # unheard machines count as average; own use times peers is noise with many
            node.others = times(node.size, self.fill)
        else:
            size, fill = node.size, self.fill
            cores = max(0.0, size[0] - left[0] - asks[0] + fresh[0])
            memory = max(0.0, size[1] - left[1] - asks[1] + fresh[1])
            node.others = times((cores, memory), self.ratio) if self.set.allocator_count > 1 else (0.0, 0.0)
            cores, memory = node.others[0] / size[0], node.others[1] / size[1]
            self.fill = fill[0] + FILL * (cores - fill[0]), fill[1] + FILL * (memory - fill[1])
        return node

    def left(self, node: MachineState) -> Pair | None:
        """Cores and memory that nobody has asked for, by list or report, whichever tells it."""
        report = node.report
        told = (
            report
            and not self.set.reports_count_usage
            and (not self.set.list_has_free_capacity or node.report_at >= node.told_at)
        )
        if report and told and report.free_cores is not None and report.free_memory is not None:
            node.left_at = node.report_at - REPORT_LAG_MS
            fresh = self.set.list_has_free_capacity or self.now - node.report_at < OLD_MS
            return (report.free_cores, report.free_memory) if fresh else None
        node.left_at = node.told_at - VIEW_LAG_MS
        return (node.told.free_cores, node.told.free_memory) if self.set.list_has_free_capacity else None

    def use(self, task: TrackedTask) -> Pair:
        """What a task uses now, or where it has not been seen, what tasks use of their asks in the mean."""
        mean = times(task.ask, self.ratio)
        return task.use[0] or mean[0], max(task.use[1], mean[1])

    def load(self, node: MachineState, task: TrackedTask, more: Pair) -> Pair:
        """Shares in use and `more`: mean use, as peaks don't fall together; reported busy cores if higher."""
        used, size = plus(self.sums(node).uses, node.others), node.size
        cores = used[0] / size[0]
        if node.report and node.report.busy_share is not None and self.now - node.report_at < REPORT_MS:
            cores = max(cores, node.report.busy_share)
        if node.uses[0]:  # cores used by lower priorities crowd a task less
            lower = sum(used for rank, used in node.ranked.items() if rank < task.cls.priority)
            cores *= 1.0 - (1.0 - LOWER) * lower / node.uses[0]
        return cores + more[0] / size[0], (used[1] + more[1]) / size[1]

    def bears(self, node: MachineState, task: TrackedTask, load: Pair) -> bool:
        """Whether it would be served there, asking less the longer it waits; signs of pressure bar first."""
        waited, (cores, memory) = (
            min(1.0, (self.now - task.came) / max(1.0, task.cls.latency_objective_ms)),
            load,
        )
        calm = min(1.1, task.cls.saturation_threshold + FADED * task.cls.degradation_range * waited)
        well = cores <= calm and memory <= FULL + (FULLEST - FULL) * waited
        return well and (self.now >= node.void_until or waited >= 1.0)

    def thin(self, node: MachineState, ask: Pair) -> bool:
        """Whether an even part of the machine, at what it accepts, is less than this one ask."""
        return not least(node.size, times(ask, self.shares))

    def slice_left(self, node: MachineState, ask: Pair, multiple: bool = False) -> Pair:
        """What our even share of the machine has beyond our asks, at size or at what it accepts.

        A departure: where that is less than one ask (many schedulers), nothing would ever fit. The slice
        is then what the machine would still take, so that hash order stays the ordinary path."""
        if self.thin(node, ask):
            return self.room(node)
        share = 1.0 / self.set.allocator_count
        part = (
            (self.set.cores_overcommit * share, self.set.memory_overcommit * share)
            if multiple
            else (share, share)
        )
        return plus(times(node.size, part), times(self.sums(node).asks, (-1.0, -1.0)))

    # ---- harvested room ----

    def coverage(self, node: MachineState, task: TrackedTask, need: Pair) -> float:
        """Demand coverage D: the share of the excess, over the predicted life, that harvested room covers.

        The excess is the need beyond what the slice still holds of the ask. A donor's room lapses at its
        predicted end; asks beyond the slice are a debt to be met first."""
        if self.thin(node, task.ask):  # own donors are too few: all that it does not use counts
            used = plus(self.sums(node).uses, node.others)
            share = [min(1.0, max(0.0, (node.size[i] - used[i]) / need[i])) for i in (0, 1)]
            return ALPHA * share[0] + (1.0 - ALPHA) * share[1]
        free = self.slice_left(node, task.ask)
        excess = [max(0.0, need[i] - max(0.0, min(task.ask[i], free[i]))) for i in (0, 1)]
        if not any(excess):
            return 1.0
        life, since, whole = max(500.0, self.life_left(task)), 0.0, plus(free, node.asks)
        asks, needs, covered = list(node.asks), list(node.needs), [0.0, 0.0]
        donors = sorted((self.life_left(t), t.call) for t in node.tasks.values())
        for end, call in [*donors, (life, -1)]:
            until = min(end, life)
            for i in (0, 1):
                room = asks[i] - needs[i] - max(0.0, asks[i] - whole[i])
                if excess[i]:
                    covered[i] += (until - since) * min(1.0, max(0.0, room / excess[i])) / life
                if until < life:
                    asks[i] -= node.tasks[call].ask[i]
                    needs[i] -= self.need(node.tasks[call])[i]
            since = until
            if until >= life:
                break
        share = [covered[i] if excess[i] else 1.0 for i in (0, 1)]
        return ALPHA * share[0] + (1.0 - ALPHA) * share[1]

    # ---- choice ----

    def order(self, service: str) -> RendezvousOrder[MachineState]:
        """Rendezvous hash: all schedulers order a service's machines alike, so all warm the same ones."""
        return self.serving.order(service)

    def walk(self, task: TrackedTask) -> Iterable[MachineState]:
        """The machines to look at: first those where tasks of ours hold or kept the program, then by hash.

        Of many, the first and a sample of the others: drawn at once, looked up as the caller gets there."""
        names = [t.node.name for t in self.services.get(task.service, {}).values() if t.node]
        names += self.kept.get(task.service, {})
        warm = {name: self.nodes[name] for name in names if name in self.nodes}
        order, half = self.order(task.service), EXAMINED // 2
        listed = [node for node in warm.values() if node in self.serving]
        most, rest = len(warm) + len(order) - len(listed), order.without(listed)
        nodes = chain(warm.values(), (node for node in order if node.name not in warm))
        if most <= EXAMINED:
            return nodes
        drawn, first = self.random.sample(range(half - len(warm), most - len(warm)), half), [*warm.values()]
        return chain(islice(nodes, half), (rest[i] if i >= 0 else first[i] for i in drawn))

    def warmth(self, node: MachineState, service: str) -> int:
        """0: a task of ours holds the program there or did lately; 1: peers may, by hash; 2: unlikely."""
        kept = self.kept.get(service, {}).get(node.name, -1e18)
        since = max(self.now - KEPT_MS, node.up_since())  # a restart loses its programs
        if kept > since or (node.tasks and any(t.service == service for t in node.tasks.values())):
            return 0
        return 1 if node in self.order(service)[:HASHED] else 2

    def cold(self, node: MachineState) -> float:
        """How cold a machine is that came up lately, from 1 to 0: few starts at a time, no programs."""
        left = node.up_since() + self.set.warm_up_ms - self.now
        return min(1.0, left / max(1.0, self.set.warm_up_ms)) if left > 0.0 else 0.0

    def may_start(self, node: MachineState) -> bool:
        """Whether the told offers that a cold machine bears leave one for us now: a bound on the joint sum.

        Each peer keeps to its part of them in a window. Where there are more peers than offers, half of
        the offers are handed out in each window, in turns that all compute alike from its start: any
        stretch of a window's length touches two turns, so no more than all. (One each was 300 at once.)
        What an earlier life of ours sent there is forgotten: its part is taken as used up for a window."""
        window, offers = self.set.warm_up_window_ms * 1.25, int(self.set.warm_up_offers)
        if self.now < self.born + window and node.up_since() < self.born:
            return False
        node.fresh_sends = [at for at in node.fresh_sends if self.now - at < window]
        part = offers // self.set.allocator_count
        if part == 0:
            turn = int((self.now - (node.told.ready_at_ms or 0.0)) // max(1.0, window))
            half = max(1, offers // 2)
            part = int((self.set.allocator_index + node.hash - turn * half) % self.set.allocator_count < half)
        return len(node.fresh_sends) < part

    def allowed(self, node: MachineState, task: TrackedTask, taken: list[object]) -> bool:
        """Filters that no room outweighs: kind, drain, spread, key's group, health, a cold machine's part."""
        grouped = (
            task.maybe
            and task.cls.idempotency is Idempotency.IDEMPOTENCY_KEY
            and task.cls.deduplication_scope != "all"
        )
        spread, group = task.cls.spread_by, task.cls.deduplication_scope
        # What has one try goes where the last one came to something; others find out if a suspect is back.
        once = (
            task.cls.idempotency is Idempotency.NON_IDEMPOTENT
            and self.now - task.came < task.cls.latency_objective_ms
        )
        return (
            node.known
            and node.told.phase is MachinePhase.SERVING
            and task.cls.machine_kind in (None, node.told.kind)
            and self.now - task.refused.get(node.name, -1e18) >= REFUSED_MS
            and (node.silent < SILENT or not (self.now < node.barred_until or node.pending()))
            and not (grouped and task.maybe and node.place(group) != task.maybe[1].place(group))
            and (spread == "off" or taken.count(node.place(spread)) < task.cls.max_per_domain)
            and self.now >= node.turned.get((task.cls.name, task.tenant), (0.0, 0.0))[0]
            and not SLOW_MS < self.now - node.probing < PROBE_MS
            and not (once and (node.silent or node.bars))
            and (not self.cold(node) or self.may_start(node))
        )

    def eta(self, node: MachineState, task: TrackedTask, warmth: int) -> float:
        """Time to the start there: own starts due, in a few lanes, then its own, slower while it is cold."""
        own, starts = self.starts.get((task.cls.name, warmth), START_MS[warmth]), node.due.values()
        known = ((self.starts.get((t.cls.name, t.warmth), START_MS[t.warmth]), t.sent) for t in starts)
        due = sum(max(0.0, ms - (self.now - sent)) for ms, sent in known) if starts else 0.0
        return (TWO_LANES * due + own) * (1.0 + (COLD_SLOWER - 1.0) * self.cold(node))

    def room(self, node: MachineState) -> Pair:
        """Asks that the machine would still take, as far as it is told, newer own binds taken off."""
        left, size, fresh = self.left(node) or node.size, node.size, self.sums(node).fresh
        cores, memory = (
            size[0] * (self.set.cores_overcommit - 1.0),
            size[1] * (self.set.memory_overcommit - 1.0),
        )
        return left[0] + cores - fresh[0], left[1] + memory - fresh[1]

    def accepts(self, node: MachineState, task: TrackedTask) -> Pair | None:
        """The room, if it would take the ask: few offers of ours wait in its short line, and room shows."""
        full = self.now < node.full_until or (node.due and node.pending() >= LINE)
        return None if full or not least(room := self.room(node), task.ask) else room

    def choose(self, task: TrackedTask) -> MachineState | None:
        """Hash, coverage, borrowing; first among machines where the task would start in time.

        A departure: a start without the program takes many times the work, and one in time is worth seconds
        of service. Where no machine would be in time, the soonest, and the hash decides which to warm."""
        need, use, ranked, good = self.need(task), self.use(task), [], 0
        there = self.services.get(task.service, {}).values() if task.cls.spread_by != "off" else ()
        taken = [t.node.place(task.cls.spread_by) for t in there if t.node]
        left = task.cls.latency_objective_ms - (self.now - task.came)
        for node in self.walk(task):
            if (
                not self.allowed(node, task, taken)
                or not (room := self.accepts(node, task))
                or not self.bears(node, task, load := self.load(node, task, use))
            ):
                continue
            warmth = self.warmth(node, task.service)
            eta = self.eta(node, task, warmth)
            late = 0 if eta <= left else 1 + int(eta / task.cls.latency_objective_ms)
            away = self.set.cross_zone_price > 0.0 and node.told.zone != self.set.zone
            crowded = load[0] > task.cls.saturation_threshold - SPARE
            ask, size = task.ask, node.size  # peers may have taken a last bit of the room since
            tight = room[0] - ask[0] < TIGHT_ROOM * size[0] or room[1] - ask[1] < TIGHT_ROOM * size[1]
            risky = tight and task.attempts > 0  # a further no may use up its attempts
            ranked.append(((late > 0, away, risky, late, crowded, tight, warmth), node))
            good += not (late or away or risky or crowded or tight)
            if good >= LOOKED or len(ranked) >= RANKED:
                break
        ranked.sort(key=lambda item: item[0])
        ring = [node for order, node in ranked if order[:6] == ranked[0][0][:6]]
        # So probes follow tasks; by hundreds of schedulers, of all machines each second, they cost more.
        for _, node in ranked[:PROBED] if self.set.probes_allowed and self.set.reports_on_probe else ():
            if self.now - node.report_at >= PROBE_MS and not 0.0 <= self.now - node.probing < PROBE_MS:
                node.probing = self.now
                self.out.append(Probe(node.name))
        return self.by_hash(task, need, ring) or self.by_coverage(task, need, ring) or next(iter(ring), None)

    def by_hash(self, task: TrackedTask, need: Pair, nodes: list[MachineState]) -> MachineState | None:
        fit = (n for n in nodes if not self.cold(n) and least(self.slice_left(n, task.ask), task.ask))
        return next(fit, None) if least(task.ask, need) else None

    def by_coverage(self, task: TrackedTask, need: Pair, nodes: list[MachineState]) -> MachineState | None:
        fit = (n for n in nodes if least(self.slice_left(n, task.ask, True), task.ask))
        scores = [(self.coverage(n, task, need), n) for n in islice(fit, SAMPLE) if self.now >= n.void_until]
        best = max([LEAST_COVER, *(score for score, _ in scores)])
        return next((node for score, node in scores if score >= best - LIKE), None)

    # ---- attempts and rules ----

    def on_asked(self, event: PlacementRequested) -> None:
        cls = self.classes[event.task_class]
        ask = max(event.cores, 1e-6), max(event.memory, 1e-6)
        task = TrackedTask(
            event.call_id, cls, event.service, event.tenant, ask, self.now, self.now + event.remaining_ms
        )
        self.tasks[task.call] = task
        if event.machine is not None:
            unlisted = MachineState(Machine(event.machine, "", "", 0, MachinePhase.REMOVED), None)
            # It ran before: what the list tells free is without it already, and is not lessened by it again.
            task.attempts, task.placed, task.sent = 1, True, -1e18
            self.take_room(task, self.nodes.setdefault(event.machine, unlisted))
            self.runs(task)
            task.lived = False
        elif not event.is_retry and cls.deadline_ms - event.remaining_ms > STOOD_STILL_MS:
            # We stood still while it waited: all news that came meanwhile is read before binding.
            self.held[task.call], self.wake_at = task, self.now
        else:
            self.next_try(task)

    def take_room(self, task: TrackedTask, node: MachineState) -> None:
        task.node = node
        node.tasks[task.call] = node.due[task.call] = task
        self.services.setdefault(task.service, {})[task.call] = task
        node.sums_at = -1e18
        self.see(task)

    def release(self, task: TrackedTask) -> None:
        """Gives an attempt's room back, once, whatever ended it."""
        node, task.node = task.node, None
        if node is not None:
            self.see(task)
            node.tasks.pop(task.call, None)
            node.due.pop(task.call, None)
            node.sums_at = -1e18
            if node.told.phase is MachinePhase.REMOVED:
                self.emptied[node.name] = None
        self.services.get(task.service, {}).pop(task.call, None)
        if not self.services.get(task.service):
            self.services.pop(task.service, None)

    def next_try(self, task: TrackedTask) -> bool:
        """Sends the task if a machine is found; else holds it, or answers where holding can't help."""
        if self.spent(task):
            self.answer(task)
            return False
        node = self.choose(task)
        # The answer to a probe is worth waiting for a little.
        if node is None or node.probing <= self.now <= task.came + LOOK_SHARE * task.cls.latency_objective_ms:
            self.held[task.call] = task
            return False
        self.held.pop(task.call, None)
        left = max(1.0, task.deadline - self.now)
        floor = max(TIMEOUT_MIN, SLOW_NO * task.cls.latency_objective_ms)
        timeout = min(TIMEOUT_MAX, max(floor, self.answer_ms + 6.0 * self.answer_dev))
        timeout = UNSAFE_TIMEOUT_MS if task.cls.idempotency is Idempotency.NON_IDEMPOTENT else timeout
        task.attempts += 1
        task.sent, task.placed, task.runs_since = self.now, False, None
        task.warmth, task.alone = self.warmth(node, task.service), not node.due
        self.take_room(task, node)
        self.keep(task, node)
        if self.cold(node):
            node.fresh_sends.append(self.now)
        self.out.append(Bind(task.call, node.name, round(min(timeout, left), 3)))
        return True

    def keep(self, task: TrackedTask, node: MachineState) -> None:
        self.kept.setdefault(task.service, {})[node.name] = self.now
        if len(self.kept) > KNOWN:
            self.kept = {s: at for s, at in self.kept.items() if self.now - max(at.values()) < KEPT_MS}

    def spent(self, task: TrackedTask) -> bool:
        """No further attempt is allowed: attempts used up, time up, or a second run might do harm."""
        if task.attempts >= self.set.max_attempts or self.now >= task.deadline - 2.0 * PULSE_MS:
            return True
        if task.maybe is None or task.cls.idempotency is Idempotency.IDEMPOTENT:
            return False
        left = task.maybe[0] + task.cls.deduplication_window_ms - 2.0 * self.set.tick_ms - self.now
        return task.cls.idempotency is Idempotency.NON_IDEMPOTENT or left < 0.0

    def answer(self, task: TrackedTask) -> None:
        """The final answer: a refusal promises that nothing ran or that it did no harm, a failure nothing."""
        dropped = (
            task.cls.idempotency is Idempotency.IDEMPOTENCY_KEY and task.cls.deduplication_scope == "all"
        )
        harmless = task.maybe is None or task.cls.idempotency is Idempotency.IDEMPOTENT or dropped
        self.out.append(Reject(task.call) if harmless else Fail(task.call))
        self.forget(task)

    def forget(self, task: TrackedTask) -> None:
        self.release(task)
        self.held.pop(task.call, None)
        self.tasks.pop(task.call, None)

    def on_accepted(self, event: AttemptAccepted) -> None:
        task = self.tasks.get(event.call_id)
        if node := self.nodes.get(event.machine):
            self.answered_by(node, event.elapsed_ms)
        if task is not None and task.node is node and event.attempt == task.attempts - 1:
            task.placed = True
            while task.erred:
                self.suspect(task.erred.pop(), 1)
            node.turned.pop((task.cls.name, task.tenant), None)
            if self.set.acceptance_means_running:
                self.runs(task)

    def runs(self, task: TrackedTask) -> None:
        """The start is over; starts that had no other of ours before them tell how long one takes."""
        if task.runs_since is None and task.alone:
            key, spent = (task.cls.name, task.warmth), self.now - task.sent
            known = self.starts.get(key, START_MS[task.warmth])
            self.starts[key] = known + 0.2 * (spent - known)
        task.runs_since = self.now
        if task.node is not None:
            task.node.due.pop(task.call, None)

    def on_returned(self, event: AttemptEnded) -> None:
        if node := self.nodes.get(event.machine):
            self.hear_outcome(node, event)
        task = self.tasks.get(event.call_id)
        if task is None or event.attempt != task.attempts - 1 or task.node is None:
            return
        was_placed, there = task.placed, task.node
        if was_placed and event.outcome in (Outcome.COMPLETED, Outcome.LOST, Outcome.STOPPED):
            self.learn(task, event.outcome)
        self.release(task)
        if event.is_call_closed or was_placed or task.answered:
            self.forget(task)
            return
        task.refused[there.name] = self.now
        if event.outcome not in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT):
            task.maybe = task.maybe or (task.sent, there)
        self.next_try(task)

    def learn(self, task: TrackedTask, outcome: Outcome) -> None:
        self.measure()
        since = None if not task.lived or outcome is not Outcome.COMPLETED else task.runs_since
        for key in (task.service, "class " + task.cls.name):
            profile = self.profiles[key] = self.profiles.pop(key, None) or UsageProfile()
            profile.add(task, None if since is None else self.now - since)
        while len(self.profiles) > KNOWN:
            del self.profiles[next(iter(self.profiles))]
        if task.node is not None and outcome is Outcome.COMPLETED:
            self.keep(task, task.node)

    def on_left(self, event: CallAbandoned) -> None:
        if task := self.tasks.get(event.call_id):
            task.answered = True
            if task.node is None:
                self.forget(task)

    def on_timer(self, _: TimerFired) -> None:
        self.timer_at = self.timer_at if self.now < self.timer_at - 0.5 else float("inf")
        self.wake_at = float("inf")
        if self.now >= self.reask_at - 0.5:
            self.reask_at = float("inf")
            self.out.append(WatchMachineList())
        self.try_held()

    def try_held(self, part: float = float("inf")) -> None:
        failures, held = (
            0,
            [t for t in self.held.values() if self.now - t.came <= part * t.cls.latency_objective_ms],
        )
        for task in sorted(held, key=self.turn):
            if self.spent(task):
                self.answer(task)
            elif failures < TRIES_A_PULSE:
                failures += not self.next_try(task)

    def see(self, task: TrackedTask) -> None:
        seen = task.node is not None and task.use[0] and task.use[1]
        self.seen.put(task.number, (*task.use, *task.ask) if seen else None)

    def measure(self) -> None:
        """Use over ask of our own running tasks, in the mean; of few it would be noise."""
        if len(self.seen) >= ENOUGH:
            cores, memory, cores_asked, memory_asked = self.seen.sums()
            self.ratio = cores / cores_asked, memory / memory_asked

    def turn(self, task: TrackedTask) -> tuple[float, bool, float, int]:
        """Whose turn it is when room is short: by worth, then those still in time, then in order."""
        return (-task.cls.weight, self.now - task.came > task.cls.latency_objective_ms, task.came, task.call)

    # ---- health ----

    def answered_by(self, node: MachineState, spent: float | None) -> None:
        if spent is not None:
            off = spent - self.answer_ms
            self.answer_ms += 0.05 * off
            self.answer_dev += 0.05 * (abs(off) - self.answer_dev)
        node.heard = self.now
        if node.unreachable:
            node.back_at, node.unreachable = self.now, False  # it may have restarted before the list says so
        if node.bars:
            self.log("back", f"machine {node.name} answers again")
        node.silent = node.bars = 0

    def hear_outcome(self, node: MachineState, event: AttemptEnded) -> None:
        task = self.tasks.get(event.call_id)
        if event.report:
            self.hear_report(node, event.report)
        erred = event.outcome is Outcome.ERROR
        fatal = erred and task is not None and task.cls.idempotency is Idempotency.NON_IDEMPOTENT
        if event.outcome is Outcome.REJECTED and event.reason in (
            OutcomeReason.INSUFFICIENT_CORES,
            OutcomeReason.INSUFFICIENT_MEMORY,
            OutcomeReason.QUEUE_FULL,
        ):
            node.full_until = self.now + REFUSED_MS
        elif task is not None and (
            (event.outcome is Outcome.REJECTED and event.reason is OutcomeReason.UNSPECIFIED) or fatal
        ):
            # Full without a reason while it takes others: a limit on one class or tenant, probed back gently.
            # So is an error that ends an unsafe task, which has no second try: its class stays off a while.
            key = task.cls.name, task.tenant
            length = min(TURNED_MAX_MS, 2.0 * node.turned.get(key, (0.0, TURNED_MS / 2.0))[1])
            node.turned[key] = self.now + length, length
        unheard = event.outcome is Outcome.TIMED_OUT and task is not None and node.heard < task.sent
        full_line = event.outcome is Outcome.REJECTED and event.reason is OutcomeReason.QUEUE_FULL
        if erred and task is not None and not fatal:
            # Whose fault an error is shows elsewhere: asks that none can use would bar all. It counts once
            # another takes the task; machines that all fail alike are not barred then, and need not be.
            task.erred.append(node)
        elif full_line or unheard or erred:
            # Silence, errors, a line that stays full: one kind of symptom, attempts come to nothing here.
            self.suspect(node, 1)
        elif event.outcome is Outcome.UNREACHABLE:
            node.unreachable = True
            self.suspect(node, SILENT)
        elif event.outcome is Outcome.REJECTED:
            self.answered_by(node, event.elapsed_ms)
        elif event.outcome is Outcome.LOST and event.reason is OutcomeReason.EVICTED:
            self.void(node, VOID_EVICTED_MS, "eviction")

    def suspect(self, node: MachineState, steps: int) -> None:
        """Silent attempts make a machine suspect: barred, ever longer, then let back one task at a time."""
        node.silent += steps
        if node.silent >= SILENT:
            bar = BAR_MS * 2 ** min(node.bars, 3)
            node.barred_until, node.bars = self.now + bar, node.bars + 1
            self.log("suspect", f"machine {node.name} does not answer, barred for {bar:.0f} ms")

    def void(self, node: MachineState, for_ms: float, cause: str) -> None:
        if self.now >= node.void_until:
            self.log("void", f"harvested room of {node.name} void: {cause}")
        node.void_until = max(node.void_until, self.now + for_ms)

    def on_noted(self, event: TaskObserved) -> None:
        task, node = self.tasks.get(event.call_id), self.nodes.get(event.machine)
        if event.kind is ObservationKind.MACHINE_MEMORY_IN_USE and node and event.value >= TIGHT_MEMORY:
            self.void(node, VOID_MS, "memory in use")
        elif event.kind is ObservationKind.SERVICE_LEVEL and node and event.value < POORLY:
            self.void(node, VOID_MS, "tasks served poorly")
        if task is None or task.node is None:
            return
        if event.kind is ObservationKind.RUNNING:
            self.runs(task)
        elif event.kind in (ObservationKind.CORES_IN_USE, ObservationKind.MEMORY_IN_USE):
            i = int(event.kind is ObservationKind.MEMORY_IN_USE)
            task.use = (task.use[0], event.value) if i else (event.value, task.use[1])
            task.peak = max(task.peak[0], task.use[0]), max(task.peak[1], task.use[1])
            self.see(task)

    # ---- list and reports ----

    def on_list(self, event: MachineListUpdated) -> None:
        if event.kind is ListUpdateKind.FAILED:
            self.reask_at = self.now + self.reask_ms * self.random.uniform(0.7, 1.3)
            self.reask_ms = min(REASK_MAX_MS, 2.0 * self.reask_ms)
            self.log("list", "the machine list failed, asking again")
            return
        self.reask_ms = REASK_MS
        names = {m.name: m for m in event.machines}
        for node in self.nodes.values() if event.kind is ListUpdateKind.SNAPSHOT else ():
            if node.name not in names and node.told.phase is not MachinePhase.REMOVED:
                self.list_as(node, replace(node.told, phase=MachinePhase.REMOVED))
        for told in names.values():
            node = self.nodes.get(told.name)
            if node is None or not node.known:
                old, node = node, MachineState(told, self.set.machine_sizes.get(told.kind))
                node.tasks = old.tasks if old else {}
                for task in node.tasks.values():
                    task.node = node
                self.nodes[told.name] = node
            self.list_as(node, told)
            node.told_at, node.sums_at = self.now, -1e18
        for name in self.emptied:
            if (node := self.nodes.get(name)) and node.told.phase is MachinePhase.REMOVED and not node.tasks:
                del self.nodes[name]
        self.emptied = {}

    def list_as(self, node: MachineState, told: Machine) -> None:
        node.told = told
        self.serving.put(node, node.known and told.phase is MachinePhase.SERVING)
        if told.phase is MachinePhase.REMOVED:
            self.emptied[node.name] = None

    def hear_report(self, node: MachineState, report: LoadReport) -> None:
        node.report, node.report_at, node.sums_at = report, self.now, -1e18
        if report.busy_share is not None and report.busy_share >= BUSY:
            self.void(node, VOID_MS, "cores busy")

    def on_probed(self, event: ProbeEnded) -> None:
        if node := self.nodes.get(event.machine):
            node.probing = float("inf")
            if event.outcome is Outcome.COMPLETED and event.report is not None:
                self.hear_report(node, event.report)
                self.answered_by(node, None)
            elif event.outcome is not Outcome.COMPLETED:
                self.suspect(node, 1)
            self.try_held(LOOK_SHARE)  # not all held: each try probes again, and so fed itself

    def on_reached(self, event: ReachabilityChanged) -> None:
        """What an attempt there would come to, at the cost of none: behind a cut four are soon spent."""
        node = self.nodes.get(event.machine)
        if node is not None and not event.is_reachable:
            node.unreachable = True
            self.suspect(node, SILENT)
        elif node is not None and node.unreachable:
            node.back_at, node.unreachable, node.silent = self.now, False, 0

    def log(self, kind: str, text: str) -> None:
        if self.now - self.logged.get(kind, -1e18) >= LOG_MS:
            self.logged[kind] = self.now
            self.out.append(LogMessage(text))


def check(settings: Settings) -> None:
    """Settings that can't be used are refused by name."""
    sizes = [value for size in settings.machine_sizes.values() for value in (size.cores, size.memory)]
    numbers = {
        "classes": len(settings.classes),
        "machine_sizes": min(sizes, default=1.0),
        "allocator_count": settings.allocator_count,
    }
    numbers |= {n: getattr(settings, n) for n in ("cores_overcommit", "memory_overcommit", "max_attempts")}
    for name, value in numbers.items():
        if value <= 0:
            raise ValueError(f"settings.{name} can't be used: {getattr(settings, name)!r}")

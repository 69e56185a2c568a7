"""The five rules, each checked from a record's entries and the play's stated figures. Pure.

A checker gives Breaches with the lines of the record that show them. `SLACK_MS` bounds how much later a
stand-in reads what was written earlier; nothing else is forgiven, and what is (a killed or stopped allocator,
a cut session, a wire between them that held bytes back) is in the record too."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from glencleat.checker.trace import TraceEntry

SLACK_MS = 150.0
BACKLOG_READ_MS = 100.0  # after a standstill what came meanwhile is read within this
PLACED_STATES = ("TASK_STARTING", "TASK_RUNNING")
UNPLACED_STATES = ("TASK_DROPPED", "TASK_LOST", "TASK_ERROR", "TASK_KILLED")
RECONCILIATION_REASON = "REASON_RECONCILIATION"
Intervals = list[tuple[float, float]]


@dataclass(frozen=True, slots=True)
class SpreadRule:
    domain: str  # machine, cell or zone
    max_tasks: int


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """What the rules state for the play that made the record."""

    drain_grace_ms: float = 2_000.0
    warm_up_ms: float = 0.0
    warm_up_window_ms: float = 0.0
    warm_up_offers: float = 0.0
    deduplication_window_ms_by_class: dict[str, float] = field(default_factory=dict)  # by class
    deduplication_scope_by_class: dict[str, str] = field(default_factory=dict)
    spread_by_class: dict[str, SpreadRule] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Violation:
    rule: str
    text: str
    trace_lines: tuple[int, ...]

    def __str__(self) -> str:
        return f"{self.rule}: {self.text} (record lines {', '.join(map(str, self.trace_lines))})"


@dataclass(slots=True, eq=False)
class ObservedAttempt:
    """One LAUNCH as its host saw it."""

    offer: TraceEntry
    statuses: list[TraceEntry] = field(default_factory=list)
    starts: list[TraceEntry] = field(default_factory=list)
    lost_at: float = float("inf")  # its host went down or its network was cut
    unlisted_at: float = float("inf")  # the same run of its host subscribed and did not list it
    earliest_sent_at: float = 0.0  # when it can have been sent at the earliest: it may have lain unread
    acceptance_read_at: float = float("inf")  # when its allocator can have read the yes

    def is_rejected_by(self, at: float) -> bool:
        """Whether its host had said by then that it never ran."""
        said = any(e.state == "TASK_DROPPED" and e.at <= at for e in self.statuses)
        return said or (self.unlisted_at <= at and not self.starts and self.acceptance() is None)

    def has_known_send_time(self) -> bool:
        """Whether it was sent when its host read it; else nobody can tell when it was."""
        return self.earliest_sent_at == self.offer.at

    def acceptance(self) -> TraceEntry | None:
        return next((e for e in self.statuses if e.state in PLACED_STATES), None)

    def released_at(self) -> float:
        """When its host no longer holds it."""
        over = [e.at for e in self.statuses if e.state not in PLACED_STATES]
        return min([self.lost_at, *over])

    def call_key(self) -> str:
        return self.offer.attempt.rpartition(".")[0]


def _is_free_of(times: Intervals, since: float, until: float) -> bool:
    return not any(a < until and b > since for a, b in times)


class TraceHistory:
    """A record, indexed by what the rules look for."""

    def __init__(self, entries: list[TraceEntry]) -> None:
        self.entries = entries
        # So much later than it was written the stand-ins read at most; when they stood still is recorded.
        still = max((e.left for e in entries if e.kind == "lag"), default=0.0)
        late = sum(e.left for e in entries if e.kind == "wire" and e.state == "begins")
        self.slack_ms = SLACK_MS + still + late
        self.standstills = [(e.at - e.left, e.at) for e in entries if e.kind == "lag"]
        self.blocked_by_wire: dict[tuple[str, str], Intervals] = defaultdict(
            list
        )  # place, allocator: when nothing passed
        self.attempts_by_id: dict[str, ObservedAttempt] = {}
        self.attempts_by_task: dict[str, list[ObservedAttempt]] = defaultdict(list)
        self.attempts_by_incarnation: dict[tuple[str, str, str], list[ObservedAttempt]] = defaultdict(
            list
        )  # host, allocator, run
        self.down_times_by_host: dict[str, list[float]] = defaultdict(list)
        self.absences_by_allocator: dict[str, Intervals] = defaultdict(
            list
        )  # allocator -> when it did not run
        self.cut_times_by_session: dict[tuple[str, str], list[float]] = defaultdict(list)
        self.requests_by_task: dict[tuple[str, str], list[TraceEntry]] = defaultdict(list)  # allocator, task
        self.answers_by_task: dict[tuple[str, str], list[TraceEntry]] = defaultdict(list)
        for entry in entries:
            getattr(self, "_" + entry.kind.replace(" ", "_"), self._other)(entry)
        for attempt in self.attempts_by_id.values():
            downs = self.down_times_by_host[attempt.offer.who]
            later = [at for at in downs if at >= attempt.offer.at]
            attempt.lost_at = min(later, default=float("inf"))
            offered = attempt.offer
            attempt.earliest_sent_at = offered.since or self.earliest_written(
                "agents", offered.allocator, offered.at
            )
            if (yes := attempt.acceptance()) is not None:
                attempt.acceptance_read_at = self.latest_read("agents", offered.allocator, yes.at)

    def _other(self, entry: TraceEntry) -> None:
        pass

    def _offered(self, entry: TraceEntry) -> None:
        attempt = self.attempts_by_id[entry.attempt] = ObservedAttempt(entry)
        self.attempts_by_task[entry.task].append(attempt)
        self.attempts_by_incarnation[entry.who, entry.allocator, entry.text].append(attempt)

    def _said(self, entry: TraceEntry) -> None:
        if entry.attempt in self.attempts_by_id:
            self.attempts_by_id[entry.attempt].statuses.append(entry)

    def _started(self, entry: TraceEntry) -> None:
        if entry.attempt in self.attempts_by_id:
            self.attempts_by_id[entry.attempt].starts.append(entry)

    def _listed(self, entry: TraceEntry) -> None:
        for attempt in self.attempts_by_incarnation[entry.who, entry.allocator, entry.text]:
            if attempt.offer.attempt not in entry.ids:
                attempt.unlisted_at = min(attempt.unlisted_at, entry.at)

    def _down(self, entry: TraceEntry) -> None:
        self.down_times_by_host[entry.who].append(entry.at)

    def _quiet(self, entry: TraceEntry) -> None:
        self.down_times_by_host[entry.who].append(entry.at)

    def _cut(self, entry: TraceEntry) -> None:
        self.cut_times_by_session[entry.who, entry.allocator].append(entry.at)

    def _asked(self, entry: TraceEntry) -> None:
        self.requests_by_task[entry.allocator, entry.task].append(entry)

    def _answer(self, entry: TraceEntry) -> None:
        self.answers_by_task[entry.allocator, entry.task].append(entry)

    def _allocator(self, entry: TraceEntry) -> None:
        absent = self.absences_by_allocator[entry.allocator]
        gone = bool(absent) and absent[-1][1] == float("inf")
        if entry.state in ("killed", "stopped", "stalled"):
            if not gone:  # one that is killed while it stands still is gone once
                absent.append((entry.at, float("inf")))
        elif gone:
            absent[-1] = (absent[-1][0], entry.at)

    def _wire(self, entry: TraceEntry) -> None:
        """A fault that holds bytes back; several at once are one, until the last has ended."""
        if entry.reason != "holds":
            return
        held = self.blocked_by_wire[entry.who, entry.allocator]
        if entry.state == "begins":
            held.append((entry.at, float("inf")))
        else:
            begun = next(i for i, (_, until) in enumerate(held) if until == float("inf"))
            held[begun] = (held[begun][0], entry.at)

    def earliest_arrival(self, at: float) -> float:
        """When what a stand-in read then may have been there: its process stood still, and read late."""
        for begun, ended in reversed(self.standstills):
            if begun < at <= ended + BACKLOG_READ_MS:
                at = begun
        return at

    def latest_read(self, place: str, allocator: str, at: float) -> float:
        """When what was written then on that wire can have been read at the latest."""
        while (
            end := max((b for a, b in self.blocked_by_wire[place, allocator] if a <= at < b), default=at)
        ) > at:
            at = end
        return at

    def earliest_written(self, place: str, allocator: str, at: float) -> float:
        """When what was read then from that wire can have been written at the earliest."""
        near = [a for a, b in self.blocked_by_wire[place, allocator] if a <= at <= b + self.slack_ms]
        return min(near, default=at)

    def is_wire_clear(self, place: str, allocator: str, since: float, until: float) -> bool:
        """Whether that wire passed bytes on all that time."""
        return _is_free_of(self.blocked_by_wire[place, allocator], since, until)

    def has_run_throughout(self, allocator: str, since: float, until: float) -> bool:
        """Whether the allocator's process ran all that time."""
        return _is_free_of(self.absences_by_allocator[allocator], since, until)

    def learned_at(self, allocator: str, place: str, at: float) -> float:
        """When the allocator can have read what was written to it then: a stopped process reads later."""
        at = self.latest_read(place, allocator, at)
        return next((b for a, b in self.absences_by_allocator[allocator] if a <= at < b), at)


def check_answers(story: TraceHistory, figures: RuleParameters) -> list[Violation]:
    """Rule 1: one answer for each ask, in time, and nothing sent after it."""
    breaches = []
    for (allocator, task), asked in story.requests_by_task.items():
        for number, ask in enumerate(asked):
            until = asked[number + 1].at if number + 1 < len(asked) else float("inf")
            heard = _answers_to(story, allocator, task, ask, until)
            breaches += _check_single_answer(story, ask, heard)
            breaches += _check_nothing_sent_after(story, ask, heard, until)
    return breaches


def _answers_to(
    story: TraceHistory, allocator: str, task: str, ask: TraceEntry, until: float
) -> list[TraceEntry]:
    """Answers to one ask: repeats of an update (same uuid) and replies to RECONCILE left out.

    A failed task that RECONCILE tells to run was adopted: what follows is about a task that is placed."""
    seen, heard = set[str](), list[TraceEntry]()
    for entry in story.answers_by_task.get((allocator, task), ()):
        if not ask.at <= entry.at < until or entry.text in seen:
            continue
        if entry.text:
            seen.add(entry.text)
        if entry.reason != RECONCILIATION_REASON:
            heard.append(entry)
        elif entry.state in PLACED_STATES and any(e.state == "TASK_LOST" for e in heard):
            break
    return heard


def _check_single_answer(story: TraceHistory, ask: TraceEntry, heard: list[TraceEntry]) -> list[Violation]:
    final = [e for e in heard if e.state in PLACED_STATES + UNPLACED_STATES]
    due = ask.at + ask.left
    excused = not story.has_run_throughout(ask.allocator, ask.at - story.slack_ms, due)
    excused |= not story.is_wire_clear("owners", ask.allocator, ask.at - story.slack_ms, due)
    excused |= any(
        ask.at - story.slack_ms <= at <= due for at in story.cut_times_by_session[ask.who, ask.allocator]
    )
    over = not story.entries or story.entries[-1].at < due
    if not final or story.earliest_arrival(final[0].at) > due:
        if excused or over:
            return []
        lines = (ask.line, *(e.line for e in final[:1]))
        return [Violation("no task lost", f"{ask.task} had no answer of {ask.allocator} in time", lines)]
    first, rest = final[0], final[1:]
    wrong = [e for e in rest if first.state in UNPLACED_STATES or e.state in ("TASK_DROPPED", "TASK_ERROR")]
    if wrong and not any(
        ask.at <= at <= wrong[0].at for at in story.cut_times_by_session[ask.who, ask.allocator]
    ):
        text = f"{ask.task} was answered {first.state} and then {wrong[0].state}"
        return [Violation("no task lost", text, (ask.line, first.line, wrong[0].line))]
    return []


def _check_nothing_sent_after(
    story: TraceHistory, ask: TraceEntry, heard: list[TraceEntry], until: float
) -> list[Violation]:
    turned = next((e for e in heard if e.state in UNPLACED_STATES), None)
    placed = next((e for e in heard if e.state in PLACED_STATES), None)
    answered = min((e.at for e in (turned, placed) if e is not None), default=float("inf"))
    for attempt in story.attempts_by_task.get(ask.task, ()):
        after = answered + story.slack_ms < attempt.earliest_sent_at and attempt.offer.at < until
        if attempt.offer.allocator == ask.allocator and after:
            text = f"{ask.task} was sent to {attempt.offer.who} after its answer"
            return [Violation("no task lost", text, (ask.line, attempt.offer.line))]
    return []


def check_effects(story: TraceHistory, figures: RuleParameters) -> list[Violation]:
    """Rule 2: no effect twice, and never two attempts of an ask out at once."""
    breaches = []
    for task, attempts in list(story.attempts_by_task.items()):
        effect = attempts[0].offer.effect
        if effect == "unsafe":
            breaches += _check_non_idempotent(task, attempts)
        calls: dict[str, list[ObservedAttempt]] = defaultdict(list)
        for attempt in attempts:
            calls[attempt.call_key()].append(attempt)
        for of_call in calls.values():
            breaches += _check_one_at_a_time(story, task, of_call)
            if effect == "keyed":
                breaches += _check_idempotency_key(story, task, of_call, figures)
    return breaches


def _check_non_idempotent(task: str, attempts: list[ObservedAttempt]) -> list[Violation]:
    starts = [e for a in attempts for e in a.starts]
    if len(starts) > 1:
        text = f"{task} must not start twice and started {len(starts)} times"
        return [Violation("no effect twice", text, tuple(e.line for e in starts))]
    for number, later in enumerate(attempts):
        for earlier in attempts[:number]:
            if not earlier.is_rejected_by(later.offer.at):
                text = f"{task} was sent to {later.offer.who} while it may have run at {earlier.offer.who}"
                return [Violation("no effect twice", text, (earlier.offer.line, later.offer.line))]
    return []


def _check_one_at_a_time(story: TraceHistory, task: str, attempts: list[ObservedAttempt]) -> list[Violation]:
    for before, after in zip(attempts, attempts[1:], strict=False):
        first = before.offer
        answered = min((e.at for e in before.statuses), default=float("inf"))
        out_until = min(answered, first.at + first.within, before.lost_at)
        if after.offer.at < out_until - story.slack_ms and after.earliest_sent_at >= first.at:
            text = f"{task} was out at {first.who} and {after.offer.who} at once"
            return [Violation("no effect twice", text, (first.line, after.offer.line))]
    return []


def _check_idempotency_key(
    story: TraceHistory, task: str, attempts: list[ObservedAttempt], figures: RuleParameters
) -> list[Violation]:
    cls = attempts[0].offer.cls
    window, group = (
        figures.deduplication_window_ms_by_class.get(cls, 0.0),
        figures.deduplication_scope_by_class.get(cls, "all"),
    )
    for number, later in enumerate(attempts):
        maybe = [a for a in attempts[:number] if not a.is_rejected_by(later.offer.at)]
        for earlier in maybe:
            outside = group != "all" and failure_domain(earlier.offer, group) != failure_domain(
                later.offer, group
            )
            late = later.offer.at - earlier.offer.at > window + story.slack_ms
            if outside or late:
                text = f"{task} was sent again {'out of its group' if outside else 'after its window'}"
                return [Violation("no effect twice", text, (earlier.offer.line, later.offer.line))]
    return []


def failure_domain(entry: TraceEntry, by: str) -> object:
    return {"zone": entry.zone, "cell": (entry.zone, entry.cell)}.get(by, entry.who)


def check_drains(story: TraceHistory, figures: RuleParameters) -> list[Violation]:
    """Rule 3: nothing new to a host that drains or is gone, after the grace from learning it."""
    breaches = []
    told: dict[tuple[str, str], tuple[float, int]] = {}  # since when it is told as not serving
    for entry in story.entries:
        if entry.kind == "told":
            key = entry.allocator, entry.who
            if entry.state == "serving":
                told.pop(key, None)
            elif key not in told:
                told[key] = story.learned_at(entry.allocator, "list", entry.at), entry.line
        elif entry.kind == "offered":
            since, line = told.get((entry.allocator, entry.who), (float("inf"), 0))
            sent = story.attempts_by_id[entry.attempt].earliest_sent_at
            if sent > since + figures.drain_grace_ms + story.slack_ms:
                late = sent - since
                text = (
                    f"{entry.task} went to {entry.who} {late:.0f} ms after {entry.allocator} knew it drains"
                )
                breaches.append(Violation("drains kept", text, (line, entry.line)))
    return breaches


def check_warm_up(story: TraceHistory, figures: RuleParameters) -> list[Violation]:
    """Rule 4: no cold host is offered more than it bears in a window, by all allocators, and none falls
    over."""
    breaches = []
    up: dict[str, TraceEntry] = {}
    offers: dict[str, list[TraceEntry]] = defaultdict(list)
    for entry in story.entries:
        if entry.kind == "up":
            up[entry.who] = entry
            offers[entry.who].clear()
        elif entry.kind == "down" and entry.text == "fell over":
            lines = (up[entry.who].line, entry.line) if entry.who in up else (entry.line,)
            breaches.append(Violation("cold machines spared", f"{entry.who} fell over", lines))
        elif entry.kind == "offered" and entry.who in up and up[entry.who].cold:
            warm = entry.at - up[entry.who].at >= figures.warm_up_ms
            if warm or not story.attempts_by_id[entry.attempt].has_known_send_time():
                continue
            recent = offers[entry.who]
            recent.append(entry)
            first = bisect_right(recent, entry.at - figures.warm_up_window_ms, key=lambda e: e.at)
            if len(recent) - first > figures.warm_up_offers:
                text = (
                    f"{entry.who} was offered {len(recent) - first} within {figures.warm_up_window_ms:.0f} ms"
                )
                breaches.append(
                    Violation("cold machines spared", text, tuple(e.line for e in recent[first:]))
                )
                recent.clear()
    return breaches


def check_spread(story: TraceHistory, figures: RuleParameters) -> list[Violation]:
    """Rule 5: at each send, of one service no more than stated is placed or out in one place, by one
    allocator."""
    breaches = []
    groups: dict[tuple[str, str, object], list[ObservedAttempt]] = defaultdict(list)
    for attempt in story.attempts_by_id.values():
        entry = attempt.offer
        rule = figures.spread_by_class.get(entry.cls)
        if rule is None:
            continue
        there = groups[entry.allocator, entry.service, failure_domain(entry, rule.domain)]
        counted = [a for a in there if _is_counted(story, a, entry.at)]
        if len(counted) + 1 > rule.max_tasks and attempt.has_known_send_time():
            text = f"{entry.allocator} sent a task of {entry.service} where {len(counted)} were already"
            breaches.append(Violation("spread kept", text, (*(a.offer.line for a in counted), entry.line)))
        there.append(attempt)
    return breaches


def _is_counted(story: TraceHistory, attempt: ObservedAttempt, at: float) -> bool:
    """Whether the attempt was out or placed then, as its allocator must know."""
    if attempt.released_at() <= at + story.slack_ms:
        return False
    yes, until = attempt.acceptance(), attempt.offer.at + attempt.offer.within
    if yes is None:
        return at < until - story.slack_ms
    if attempt.acceptance_read_at <= until - story.slack_ms:
        return True
    return at < until - story.slack_ms or at > attempt.acceptance_read_at + story.slack_ms


RULES: dict[str, Callable[[TraceHistory, RuleParameters], list[Violation]]] = {
    "no task lost": check_answers,
    "no effect twice": check_effects,
    "drains kept": check_drains,
    "cold machines spared": check_warm_up,
    "spread kept": check_spread,
}


def check_invariants(entries: list[TraceEntry], parameters: RuleParameters) -> list[Violation]:
    """All breaches of all rules, in the order of the rules."""
    story = TraceHistory(entries)
    return [breach for rule in RULES.values() for breach in rule(story, parameters)]

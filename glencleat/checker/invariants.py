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
BACKLOG_MS = 100.0  # after a standstill what came meanwhile is read within this
PLACED = ("TASK_STARTING", "TASK_RUNNING")
TURNED = ("TASK_DROPPED", "TASK_LOST", "TASK_ERROR", "TASK_KILLED")
RECONCILED = "REASON_RECONCILIATION"
Times = list[tuple[float, float]]


@dataclass(frozen=True, slots=True)
class Spread:
    by: str  # machine, cell or zone
    most: int


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """What the rules state for the play that made the record."""

    drain_ms: float = 2_000.0
    cold_ms: float = 0.0
    cold_window_ms: float = 0.0
    cold_offers: float = 0.0
    keyed_window_ms: dict[str, float] = field(default_factory=dict)  # by class
    keyed_group: dict[str, str] = field(default_factory=dict)
    spread: dict[str, Spread] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Violation:
    rule: str
    text: str
    lines: tuple[int, ...]

    def __str__(self) -> str:
        return f"{self.rule}: {self.text} (record lines {', '.join(map(str, self.lines))})"


@dataclass(slots=True, eq=False)
class ObservedAttempt:
    """One LAUNCH as its host saw it."""

    offered: TraceEntry
    said: list[TraceEntry] = field(default_factory=list)
    started: list[TraceEntry] = field(default_factory=list)
    lost_at: float = float("inf")  # its host went down or its network was cut
    unlisted_at: float = float("inf")  # the same run of its host subscribed and did not list it
    since: float = 0.0  # when it can have been sent at the earliest: it may have lain unread
    yes_heard: float = float("inf")  # when its allocator can have read the yes

    def refused_by(self, at: float) -> bool:
        """Whether its host had said by then that it never ran."""
        said = any(e.state == "TASK_DROPPED" and e.at <= at for e in self.said)
        return said or (self.unlisted_at <= at and not self.started and self.yes() is None)

    def dated(self) -> bool:
        """Whether it was sent when its host read it; else nobody can tell when it was."""
        return self.since == self.offered.at

    def yes(self) -> TraceEntry | None:
        return next((e for e in self.said if e.state in PLACED), None)

    def end(self) -> float:
        """When its host no longer holds it."""
        over = [e.at for e in self.said if e.state not in PLACED]
        return min([self.lost_at, *over])

    def call(self) -> str:
        return self.offered.attempt.rpartition(".")[0]


def _none_within(times: Times, since: float, until: float) -> bool:
    return not any(a < until and b > since for a, b in times)


class TraceHistory:
    """A record, indexed by what the rules look for."""

    def __init__(self, entries: list[TraceEntry]) -> None:
        self.entries = entries
        # So much later than it was written the stand-ins read at most; when they stood still is recorded.
        still = max((e.left for e in entries if e.kind == "lag"), default=0.0)
        late = sum(e.left for e in entries if e.kind == "wire" and e.state == "begins")
        self.slack = SLACK_MS + still + late
        self.still = [(e.at - e.left, e.at) for e in entries if e.kind == "lag"]
        self.held: dict[tuple[str, str], Times] = defaultdict(list)  # place, allocator: when nothing passed
        self.attempts: dict[str, ObservedAttempt] = {}
        self.by_task: dict[str, list[ObservedAttempt]] = defaultdict(list)
        self.by_run: dict[tuple[str, str, str], list[ObservedAttempt]] = defaultdict(
            list
        )  # host, allocator, run
        self.down: dict[str, list[float]] = defaultdict(list)
        self.absent: dict[str, Times] = defaultdict(list)  # allocator -> when it did not run
        self.cuts: dict[tuple[str, str], list[float]] = defaultdict(list)
        self.asked: dict[tuple[str, str], list[TraceEntry]] = defaultdict(list)  # allocator, task
        self.answers: dict[tuple[str, str], list[TraceEntry]] = defaultdict(list)
        for entry in entries:
            getattr(self, "_" + entry.kind.replace(" ", "_"), self._other)(entry)
        for attempt in self.attempts.values():
            downs = self.down[attempt.offered.who]
            later = [at for at in downs if at >= attempt.offered.at]
            attempt.lost_at = min(later, default=float("inf"))
            offered = attempt.offered
            attempt.since = offered.since or self.written("agents", offered.allocator, offered.at)
            if (yes := attempt.yes()) is not None:
                attempt.yes_heard = self.passes("agents", offered.allocator, yes.at)

    def _other(self, entry: TraceEntry) -> None:
        pass

    def _offered(self, entry: TraceEntry) -> None:
        attempt = self.attempts[entry.attempt] = ObservedAttempt(entry)
        self.by_task[entry.task].append(attempt)
        self.by_run[entry.who, entry.allocator, entry.text].append(attempt)

    def _said(self, entry: TraceEntry) -> None:
        if entry.attempt in self.attempts:
            self.attempts[entry.attempt].said.append(entry)

    def _started(self, entry: TraceEntry) -> None:
        if entry.attempt in self.attempts:
            self.attempts[entry.attempt].started.append(entry)

    def _listed(self, entry: TraceEntry) -> None:
        for attempt in self.by_run[entry.who, entry.allocator, entry.text]:
            if attempt.offered.attempt not in entry.ids:
                attempt.unlisted_at = min(attempt.unlisted_at, entry.at)

    def _down(self, entry: TraceEntry) -> None:
        self.down[entry.who].append(entry.at)

    def _quiet(self, entry: TraceEntry) -> None:
        self.down[entry.who].append(entry.at)

    def _cut(self, entry: TraceEntry) -> None:
        self.cuts[entry.who, entry.allocator].append(entry.at)

    def _asked(self, entry: TraceEntry) -> None:
        self.asked[entry.allocator, entry.task].append(entry)

    def _answer(self, entry: TraceEntry) -> None:
        self.answers[entry.allocator, entry.task].append(entry)

    def _allocator(self, entry: TraceEntry) -> None:
        absent = self.absent[entry.allocator]
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
        held = self.held[entry.who, entry.allocator]
        if entry.state == "begins":
            held.append((entry.at, float("inf")))
        else:
            begun = next(i for i, (_, until) in enumerate(held) if until == float("inf"))
            held[begun] = (held[begun][0], entry.at)

    def came(self, at: float) -> float:
        """When what a stand-in read then may have been there: its process stood still, and read late."""
        for begun, ended in reversed(self.still):
            if begun < at <= ended + BACKLOG_MS:
                at = begun
        return at

    def passes(self, place: str, allocator: str, at: float) -> float:
        """When what was written then on that wire can have been read at the latest."""
        while (end := max((b for a, b in self.held[place, allocator] if a <= at < b), default=at)) > at:
            at = end
        return at

    def written(self, place: str, allocator: str, at: float) -> float:
        """When what was read then from that wire can have been written at the earliest."""
        near = [a for a, b in self.held[place, allocator] if a <= at <= b + self.slack]
        return min(near, default=at)

    def clear(self, place: str, allocator: str, since: float, until: float) -> bool:
        """Whether that wire passed bytes on all that time."""
        return _none_within(self.held[place, allocator], since, until)

    def ran(self, allocator: str, since: float, until: float) -> bool:
        """Whether the allocator's process ran all that time."""
        return _none_within(self.absent[allocator], since, until)

    def learned(self, allocator: str, place: str, at: float) -> float:
        """When the allocator can have read what was written to it then: a stopped process reads later."""
        at = self.passes(place, allocator, at)
        return next((b for a, b in self.absent[allocator] if a <= at < b), at)


def answers(story: TraceHistory, figures: RuleParameters) -> list[Violation]:
    """Rule 1: one answer for each ask, in time, and nothing sent after it."""
    breaches = []
    for (allocator, task), asked in story.asked.items():
        for number, ask in enumerate(asked):
            until = asked[number + 1].at if number + 1 < len(asked) else float("inf")
            heard = _heard(story, allocator, task, ask, until)
            breaches += _one_answer(story, ask, heard)
            breaches += _silence_after(story, ask, heard, until)
    return breaches


def _heard(story: TraceHistory, allocator: str, task: str, ask: TraceEntry, until: float) -> list[TraceEntry]:
    """Answers to one ask: repeats of an update (same uuid) and replies to RECONCILE left out.

    A failed task that RECONCILE tells to run was adopted: what follows is about a task that is placed."""
    seen, heard = set[str](), list[TraceEntry]()
    for entry in story.answers.get((allocator, task), ()):
        if not ask.at <= entry.at < until or entry.text in seen:
            continue
        if entry.text:
            seen.add(entry.text)
        if entry.reason != RECONCILED:
            heard.append(entry)
        elif entry.state in PLACED and any(e.state == "TASK_LOST" for e in heard):
            break
    return heard


def _one_answer(story: TraceHistory, ask: TraceEntry, heard: list[TraceEntry]) -> list[Violation]:
    final = [e for e in heard if e.state in PLACED + TURNED]
    due = ask.at + ask.left
    excused = not story.ran(ask.allocator, ask.at - story.slack, due)
    excused |= not story.clear("owners", ask.allocator, ask.at - story.slack, due)
    excused |= any(ask.at - story.slack <= at <= due for at in story.cuts[ask.who, ask.allocator])
    over = not story.entries or story.entries[-1].at < due
    if not final or story.came(final[0].at) > due:
        if excused or over:
            return []
        lines = (ask.line, *(e.line for e in final[:1]))
        return [Violation("no task lost", f"{ask.task} had no answer of {ask.allocator} in time", lines)]
    first, rest = final[0], final[1:]
    wrong = [e for e in rest if first.state in TURNED or e.state in ("TASK_DROPPED", "TASK_ERROR")]
    if wrong and not any(ask.at <= at <= wrong[0].at for at in story.cuts[ask.who, ask.allocator]):
        text = f"{ask.task} was answered {first.state} and then {wrong[0].state}"
        return [Violation("no task lost", text, (ask.line, first.line, wrong[0].line))]
    return []


def _silence_after(
    story: TraceHistory, ask: TraceEntry, heard: list[TraceEntry], until: float
) -> list[Violation]:
    turned = next((e for e in heard if e.state in TURNED), None)
    placed = next((e for e in heard if e.state in PLACED), None)
    answered = min((e.at for e in (turned, placed) if e is not None), default=float("inf"))
    for attempt in story.by_task.get(ask.task, ()):
        after = answered + story.slack < attempt.since and attempt.offered.at < until
        if attempt.offered.allocator == ask.allocator and after:
            text = f"{ask.task} was sent to {attempt.offered.who} after its answer"
            return [Violation("no task lost", text, (ask.line, attempt.offered.line))]
    return []


def effects(story: TraceHistory, figures: RuleParameters) -> list[Violation]:
    """Rule 2: no effect twice, and never two attempts of an ask out at once."""
    breaches = []
    for task, attempts in list(story.by_task.items()):
        effect = attempts[0].offered.effect
        if effect == "unsafe":
            breaches += _unsafe(task, attempts)
        calls: dict[str, list[ObservedAttempt]] = defaultdict(list)
        for attempt in attempts:
            calls[attempt.call()].append(attempt)
        for of_call in calls.values():
            breaches += _at_once(story, task, of_call)
            if effect == "keyed":
                breaches += _keyed(story, task, of_call, figures)
    return breaches


def _unsafe(task: str, attempts: list[ObservedAttempt]) -> list[Violation]:
    starts = [e for a in attempts for e in a.started]
    if len(starts) > 1:
        text = f"{task} must not start twice and started {len(starts)} times"
        return [Violation("no effect twice", text, tuple(e.line for e in starts))]
    for number, later in enumerate(attempts):
        for earlier in attempts[:number]:
            if not earlier.refused_by(later.offered.at):
                text = (
                    f"{task} was sent to {later.offered.who} while it may have run at {earlier.offered.who}"
                )
                return [Violation("no effect twice", text, (earlier.offered.line, later.offered.line))]
    return []


def _at_once(story: TraceHistory, task: str, attempts: list[ObservedAttempt]) -> list[Violation]:
    for before, after in zip(attempts, attempts[1:], strict=False):
        first = before.offered
        answered = min((e.at for e in before.said), default=float("inf"))
        out_until = min(answered, first.at + first.within, before.lost_at)
        if after.offered.at < out_until - story.slack and after.since >= first.at:
            text = f"{task} was out at {first.who} and {after.offered.who} at once"
            return [Violation("no effect twice", text, (first.line, after.offered.line))]
    return []


def _keyed(
    story: TraceHistory, task: str, attempts: list[ObservedAttempt], figures: RuleParameters
) -> list[Violation]:
    cls = attempts[0].offered.cls
    window, group = figures.keyed_window_ms.get(cls, 0.0), figures.keyed_group.get(cls, "all")
    for number, later in enumerate(attempts):
        maybe = [a for a in attempts[:number] if not a.refused_by(later.offered.at)]
        for earlier in maybe:
            outside = group != "all" and place(earlier.offered, group) != place(later.offered, group)
            late = later.offered.at - earlier.offered.at > window + story.slack
            if outside or late:
                text = f"{task} was sent again {'out of its group' if outside else 'after its window'}"
                return [Violation("no effect twice", text, (earlier.offered.line, later.offered.line))]
    return []


def place(entry: TraceEntry, by: str) -> object:
    return {"zone": entry.zone, "cell": (entry.zone, entry.cell)}.get(by, entry.who)


def drains(story: TraceHistory, figures: RuleParameters) -> list[Violation]:
    """Rule 3: nothing new to a host that drains or is gone, after the grace from learning it."""
    breaches = []
    told: dict[tuple[str, str], tuple[float, int]] = {}  # since when it is told as not serving
    for entry in story.entries:
        if entry.kind == "told":
            key = entry.allocator, entry.who
            if entry.state == "serving":
                told.pop(key, None)
            elif key not in told:
                told[key] = story.learned(entry.allocator, "list", entry.at), entry.line
        elif entry.kind == "offered":
            since, line = told.get((entry.allocator, entry.who), (float("inf"), 0))
            sent = story.attempts[entry.attempt].since
            if sent > since + figures.drain_ms + story.slack:
                late = sent - since
                text = (
                    f"{entry.task} went to {entry.who} {late:.0f} ms after {entry.allocator} knew it drains"
                )
                breaches.append(Violation("drains kept", text, (line, entry.line)))
    return breaches


def cold(story: TraceHistory, figures: RuleParameters) -> list[Violation]:
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
            warm = entry.at - up[entry.who].at >= figures.cold_ms
            if warm or not story.attempts[entry.attempt].dated():
                continue
            recent = offers[entry.who]
            recent.append(entry)
            first = bisect_right(recent, entry.at - figures.cold_window_ms, key=lambda e: e.at)
            if len(recent) - first > figures.cold_offers:
                text = f"{entry.who} was offered {len(recent) - first} within {figures.cold_window_ms:.0f} ms"
                breaches.append(
                    Violation("cold machines spared", text, tuple(e.line for e in recent[first:]))
                )
                recent.clear()
    return breaches


def spread(story: TraceHistory, figures: RuleParameters) -> list[Violation]:
    """Rule 5: at each send, of one service no more than stated is placed or out in one place, by one
    allocator."""
    breaches = []
    groups: dict[tuple[str, str, object], list[ObservedAttempt]] = defaultdict(list)
    for attempt in story.attempts.values():
        entry = attempt.offered
        rule = figures.spread.get(entry.cls)
        if rule is None:
            continue
        there = groups[entry.allocator, entry.service, place(entry, rule.by)]
        counted = [a for a in there if _counts(story, a, entry.at)]
        if len(counted) + 1 > rule.most and attempt.dated():
            text = f"{entry.allocator} sent a task of {entry.service} where {len(counted)} were already"
            breaches.append(Violation("spread kept", text, (*(a.offered.line for a in counted), entry.line)))
        there.append(attempt)
    return breaches


def _counts(story: TraceHistory, attempt: ObservedAttempt, at: float) -> bool:
    """Whether the attempt was out or placed then, as its allocator must know."""
    if attempt.end() <= at + story.slack:
        return False
    yes, until = attempt.yes(), attempt.offered.at + attempt.offered.within
    if yes is None:
        return at < until - story.slack
    if attempt.yes_heard <= until - story.slack:
        return True
    return at < until - story.slack or at > attempt.yes_heard + story.slack


RULES: dict[str, Callable[[TraceHistory, RuleParameters], list[Violation]]] = {
    "no task lost": answers,
    "no effect twice": effects,
    "drains kept": drains,
    "cold machines spared": cold,
    "spread kept": spread,
}


def check(entries: list[TraceEntry], figures: RuleParameters) -> list[Violation]:
    """All breaches of all rules, in the order of the rules."""
    story = TraceHistory(entries)
    return [breach for rule in RULES.values() for breach in rule(story, figures)]

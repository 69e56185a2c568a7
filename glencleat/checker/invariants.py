"""The five invariants, each checked from a trace and the parameters stated for its play. No I/O.

Each checker gives violations with the lines of the trace that show them. Nothing is forgiven but what the
trace itself explains: an allocator that was killed or stopped, a session that was cut, a wire that held bytes
back, and `trace_history.SLACK_MS` for an emulator that reads late.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from glencleat.checker.trace import TraceEntry
from glencleat.checker.trace_history import (
    NEVER,
    PLACED_STATES,
    RECONCILIATION_REASON,
    UNPLACED_STATES,
    ObservedAttempt,
    TraceHistory,
)


@dataclass(frozen=True, slots=True)
class SpreadRule:
    """At most so many tasks of one service in one failure domain, by one allocator."""

    domain: str  # machine, cell or zone
    max_tasks: int


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """What the configuration states for the play that made the trace; times in milliseconds."""

    drain_grace_ms: float = 2_000.0
    warm_up_ms: float = 0.0
    warm_up_window_ms: float = 0.0
    warm_up_offers: float = 0.0
    deduplication_window_ms_by_class: dict[str, float] = field(default_factory=dict)  # by class
    deduplication_scope_by_class: dict[str, str] = field(default_factory=dict)
    spread_by_class: dict[str, SpreadRule] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Violation:
    """One invariant broken: its name, what happened, and the lines of the trace that show it."""

    rule: str
    text: str
    trace_lines: tuple[int, ...]

    def __str__(self) -> str:
        return f"{self.rule}: {self.text} (record lines {', '.join(map(str, self.trace_lines))})"


def check_answers(history: TraceHistory, parameters: RuleParameters) -> list[Violation]:
    """Invariant 1: one answer for each request, in time, and nothing sent after it."""
    violations = []
    for (allocator, task), requests in history.requests_by_task.items():
        for number, request in enumerate(requests):
            until = requests[number + 1].at if number + 1 < len(requests) else NEVER
            answers = _answers_to(history, allocator, task, request, until)
            violations += _check_single_answer(history, request, answers)
            violations += _check_nothing_sent_after(history, request, answers, until)
    return violations


def _answers_to(
    history: TraceHistory, allocator: str, task: str, request: TraceEntry, until: float
) -> list[TraceEntry]:
    """Answers to one request: repeats of an update (same uuid) and replies to RECONCILE left out.

    A failed task that RECONCILE tells to run was adopted: what follows is about a task that is placed.
    """
    seen_uuids = set[str]()
    answers = list[TraceEntry]()
    for entry in history.answers_by_task.get((allocator, task), ()):
        if not request.at <= entry.at < until or entry.text in seen_uuids:
            continue
        if entry.text:
            seen_uuids.add(entry.text)
        if entry.reason != RECONCILIATION_REASON:
            answers.append(entry)
        elif entry.state in PLACED_STATES and any(answer.state == "TASK_LOST" for answer in answers):
            break
    return answers


def _check_single_answer(
    history: TraceHistory, request: TraceEntry, answers: list[TraceEntry]
) -> list[Violation]:
    """One final answer before the request's deadline, and none that contradicts it."""
    final = [entry for entry in answers if entry.state in PLACED_STATES + UNPLACED_STATES]
    deadline = request.at + request.left
    if not final or history.earliest_arrival(final[0].at) > deadline:
        if _is_excused(history, request, deadline):
            return []
        lines = (request.line, *(entry.line for entry in final[:1]))
        text = f"{request.task} had no answer of {request.allocator} in time"
        return [Violation("no task lost", text, lines)]
    first = final[0]
    contradictions = [
        entry
        for entry in final[1:]
        if first.state in UNPLACED_STATES or entry.state in ("TASK_DROPPED", "TASK_ERROR")
    ]
    if not contradictions:
        return []
    second = contradictions[0]
    if any(request.at <= at <= second.at for at in _cut_times(history, request)):
        return []
    text = f"{request.task} was answered {first.state} and then {second.state}"
    return [Violation("no task lost", text, (request.line, first.line, second.line))]


def _is_excused(history: TraceHistory, request: TraceEntry, deadline: float) -> bool:
    """Whether the trace explains a missing answer: absence, a blocked wire, a cut, or its own end."""
    since = request.at - history.slack_ms
    return (
        not history.has_run_throughout(request.allocator, since, deadline)
        or not history.is_wire_clear("owners", request.allocator, since, deadline)
        or any(since <= at <= deadline for at in _cut_times(history, request))
        or not history.entries
        or history.entries[-1].at < deadline
    )


def _cut_times(history: TraceHistory, request: TraceEntry) -> list[float]:
    return history.cut_times_by_session[request.who, request.allocator]


def _check_nothing_sent_after(
    history: TraceHistory, request: TraceEntry, answers: list[TraceEntry], until: float
) -> list[Violation]:
    unplaced = next((entry for entry in answers if entry.state in UNPLACED_STATES), None)
    placed = next((entry for entry in answers if entry.state in PLACED_STATES), None)
    answered_at = min((entry.at for entry in (unplaced, placed) if entry is not None), default=NEVER)
    for attempt in history.attempts_by_task.get(request.task, ()):
        is_after = answered_at + history.slack_ms < attempt.earliest_sent_at and attempt.offer.at < until
        if attempt.offer.allocator == request.allocator and is_after:
            text = f"{request.task} was sent to {attempt.offer.who} after its answer"
            return [Violation("no task lost", text, (request.line, attempt.offer.line))]
    return []


def check_effects(history: TraceHistory, parameters: RuleParameters) -> list[Violation]:
    """Invariant 2: no effect twice, and never two attempts of a call outstanding at once."""
    violations = []
    for task, attempts in list(history.attempts_by_task.items()):
        effect = attempts[0].offer.effect
        if effect == "unsafe":
            violations += _check_non_idempotent(task, attempts)
        calls: dict[str, list[ObservedAttempt]] = defaultdict(list)
        for attempt in attempts:
            calls[attempt.call_key()].append(attempt)
        for of_call in calls.values():
            violations += _check_one_at_a_time(history, task, of_call)
            if effect == "keyed":
                violations += _check_idempotency_key(history, task, of_call, parameters)
    return violations


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


def _check_one_at_a_time(
    history: TraceHistory, task: str, attempts: list[ObservedAttempt]
) -> list[Violation]:
    for before, after in zip(attempts, attempts[1:], strict=False):
        first = before.offer
        answered = min((e.at for e in before.statuses), default=NEVER)
        out_until = min(answered, first.at + first.within, before.lost_at)
        if after.offer.at < out_until - history.slack_ms and after.earliest_sent_at >= first.at:
            text = f"{task} was out at {first.who} and {after.offer.who} at once"
            return [Violation("no effect twice", text, (first.line, after.offer.line))]
    return []


def _check_idempotency_key(
    history: TraceHistory, task: str, attempts: list[ObservedAttempt], parameters: RuleParameters
) -> list[Violation]:
    cls = attempts[0].offer.cls
    window, group = (
        parameters.deduplication_window_ms_by_class.get(cls, 0.0),
        parameters.deduplication_scope_by_class.get(cls, "all"),
    )
    for number, later in enumerate(attempts):
        maybe = [a for a in attempts[:number] if not a.is_rejected_by(later.offer.at)]
        for earlier in maybe:
            outside = group != "all" and failure_domain(earlier.offer, group) != failure_domain(
                later.offer, group
            )
            late = later.offer.at - earlier.offer.at > window + history.slack_ms
            if outside or late:
                text = f"{task} was sent again {'out of its group' if outside else 'after its window'}"
                return [Violation("no effect twice", text, (earlier.offer.line, later.offer.line))]
    return []


def failure_domain(entry: TraceEntry, by: str) -> object:
    """The machine, cell or zone of the entry's host, as `by` says."""
    return {"zone": entry.zone, "cell": (entry.zone, entry.cell)}.get(by, entry.who)


def check_drains(history: TraceHistory, parameters: RuleParameters) -> list[Violation]:
    """Invariant 3: nothing new to a host that is draining or removed, after the grace from learning it."""
    violations = []
    # Allocator and host -> since when the allocator knows that it is not serving, and the line that told it.
    not_serving: dict[tuple[str, str], tuple[float, int]] = {}
    for entry in history.entries:
        if entry.kind == "told":
            key = entry.allocator, entry.who
            if entry.state == "serving":
                not_serving.pop(key, None)
            elif key not in not_serving:
                not_serving[key] = history.learned_at(entry.allocator, "list", entry.at), entry.line
        elif entry.kind == "offered":
            since, line = not_serving.get((entry.allocator, entry.who), (NEVER, 0))
            sent = history.attempts_by_id[entry.attempt].earliest_sent_at
            if sent > since + parameters.drain_grace_ms + history.slack_ms:
                late = sent - since
                text = (
                    f"{entry.task} went to {entry.who} {late:.0f} ms after {entry.allocator} knew it drains"
                )
                violations.append(Violation("drains kept", text, (line, entry.line)))
    return violations


def check_warm_up(history: TraceHistory, parameters: RuleParameters) -> list[Violation]:
    """Invariant 4: no host is offered more than it bears while it warms up, and none falls over.

    What counts is the sum over all allocators in any window of the stated length.
    """
    violations = []
    up: dict[str, TraceEntry] = {}
    offers: dict[str, list[TraceEntry]] = defaultdict(list)
    for entry in history.entries:
        if entry.kind == "up":
            up[entry.who] = entry
            offers[entry.who].clear()
        elif entry.kind == "down" and entry.text == "fell over":
            lines = (up[entry.who].line, entry.line) if entry.who in up else (entry.line,)
            violations.append(Violation("cold machines spared", f"{entry.who} fell over", lines))
        elif entry.kind == "offered" and entry.who in up and up[entry.who].cold:
            is_warm = entry.at - up[entry.who].at >= parameters.warm_up_ms
            if is_warm or not history.attempts_by_id[entry.attempt].has_known_send_time():
                continue
            recent = offers[entry.who]
            recent.append(entry)
            window_ms = parameters.warm_up_window_ms
            first = bisect_right(recent, entry.at - window_ms, key=lambda offer: offer.at)
            in_window = recent[first:]
            if len(in_window) > parameters.warm_up_offers:
                text = f"{entry.who} was offered {len(in_window)} within {window_ms:.0f} ms"
                window_lines = tuple(offer.line for offer in in_window)
                violations.append(Violation("cold machines spared", text, window_lines))
                recent.clear()
    return violations


def check_spread(history: TraceHistory, parameters: RuleParameters) -> list[Violation]:
    """Invariant 5: no more tasks of a service than stated in one failure domain, by one allocator.

    Counted at each send, over what is placed or outstanding there.
    """
    violations = []
    groups: dict[tuple[str, str, object], list[ObservedAttempt]] = defaultdict(list)
    for attempt in history.attempts_by_id.values():
        entry = attempt.offer
        rule = parameters.spread_by_class.get(entry.cls)
        if rule is None:
            continue
        there = groups[entry.allocator, entry.service, failure_domain(entry, rule.domain)]
        counted = [a for a in there if _is_counted(history, a, entry.at)]
        if len(counted) + 1 > rule.max_tasks and attempt.has_known_send_time():
            text = f"{entry.allocator} sent a task of {entry.service} where {len(counted)} were already"
            violations.append(Violation("spread kept", text, (*(a.offer.line for a in counted), entry.line)))
        there.append(attempt)
    return violations


def _is_counted(history: TraceHistory, attempt: ObservedAttempt, at: float) -> bool:
    """Whether the attempt was out or placed then, as its allocator must know."""
    if attempt.released_at() <= at + history.slack_ms:
        return False
    yes, until = attempt.acceptance(), attempt.offer.at + attempt.offer.within
    if yes is None:
        return at < until - history.slack_ms
    if attempt.acceptance_read_at <= until - history.slack_ms:
        return True
    return at < until - history.slack_ms or at > attempt.acceptance_read_at + history.slack_ms


RULES: dict[str, Callable[[TraceHistory, RuleParameters], list[Violation]]] = {
    "no task lost": check_answers,
    "no effect twice": check_effects,
    "drains kept": check_drains,
    "cold machines spared": check_warm_up,
    "spread kept": check_spread,
}


def check_invariants(entries: list[TraceEntry], parameters: RuleParameters) -> list[Violation]:
    """All violations of all invariants, in the order of `RULES`."""
    history = TraceHistory(entries)
    return [violation for rule in RULES.values() for violation in rule(history, parameters)]

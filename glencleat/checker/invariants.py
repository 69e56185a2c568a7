"""The five invariants, each checked from a trace and the parameters configured for its play. No I/O.

Each check returns violations with the trace lines that show them. A deviation is excused only where the trace
itself explains it: an allocator that was killed or stopped, a session that was cut, a connection that held
bytes back, and `trace_history.SLACK_MS` for an emulator that reads late.
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
    """The largest number of tasks of one service that one allocator may place in one failure domain."""

    domain: str  # machine, cell or zone
    max_tasks: int


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """The limits configured for the play that produced the trace; times in milliseconds."""

    drain_grace_ms: float = 2_000.0
    warm_up_ms: float = 0.0
    warm_up_window_ms: float = 0.0
    warm_up_offers: float = 0.0
    deduplication_window_ms_by_class: dict[str, float] = field(default_factory=dict)
    deduplication_scope_by_class: dict[str, str] = field(default_factory=dict)
    spread_by_class: dict[str, SpreadRule] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken invariant: its name, what happened, and the trace lines that show it."""

    rule: str
    text: str
    trace_lines: tuple[int, ...]

    def __str__(self) -> str:
        return f"{self.rule}: {self.text} (trace lines {', '.join(map(str, self.trace_lines))})"


def check_answers(history: TraceHistory, parameters: RuleParameters) -> list[Violation]:
    """Invariant 1: one final answer for each request before its deadline, and no attempt sent after it."""
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
    """Answers to one request, without repeated updates (same uuid) and replies to RECONCILE.

    A task that was reported lost and that RECONCILE then reports as running was adopted: later updates are
    about a placed task and are no answers to the request.
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
    """Checks for a final answer before the request's deadline that no later answer contradicts."""
    final = [entry for entry in answers if entry.state in PLACED_STATES + UNPLACED_STATES]
    deadline = request.at + request.left
    if not final or history.earliest_arrival(final[0].at) > deadline:
        if _is_excused(history, request, deadline):
            return []
        lines = (request.line, *(entry.line for entry in final[:1]))
        text = f"{request.task} had no final answer from {request.allocator} before its deadline"
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
    """Whether the trace explains a missing answer.

    It does where the allocator's process did not run, the connection was blocked, the session was cut, or the
    trace ends before the deadline.
    """
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
            text = f"{request.task} was sent to {attempt.offer.who} after its final answer"
            return [Violation("no task lost", text, (request.line, attempt.offer.line))]
    return []


def check_effects(history: TraceHistory, parameters: RuleParameters) -> list[Violation]:
    """Invariant 2: no effect happens twice, and at most one attempt of a call is outstanding."""
    violations = []
    for task, attempts in list(history.attempts_by_task.items()):
        effect = attempts[0].offer.effect
        if effect == "unsafe":
            violations += _check_non_idempotent(task, attempts)
        calls: dict[str, list[ObservedAttempt]] = defaultdict(list)
        for attempt in attempts:
            calls[attempt.call_key()].append(attempt)
        for call_attempts in calls.values():
            violations += _check_one_at_a_time(history, task, call_attempts)
            if effect == "keyed":
                violations += _check_idempotency_key(history, task, call_attempts, parameters)
    return violations


def _check_non_idempotent(task: str, attempts: list[ObservedAttempt]) -> list[Violation]:
    starts = [entry for attempt in attempts for entry in attempt.starts]
    if len(starts) > 1:
        text = f"non-idempotent {task} started {len(starts)} times"
        return [Violation("no effect twice", text, tuple(entry.line for entry in starts))]
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
        first_status_at = min((status.at for status in before.statuses), default=NEVER)
        outstanding_until = min(first_status_at, first.at + first.within, before.lost_at)
        if after.offer.at < outstanding_until - history.slack_ms and after.earliest_sent_at >= first.at:
            text = f"{task} was outstanding at {first.who} and {after.offer.who} at once"
            return [Violation("no effect twice", text, (first.line, after.offer.line))]
    return []


def _check_idempotency_key(
    history: TraceHistory, task: str, attempts: list[ObservedAttempt], parameters: RuleParameters
) -> list[Violation]:
    cls = attempts[0].offer.cls
    window_ms, scope = (
        parameters.deduplication_window_ms_by_class.get(cls, 0.0),
        parameters.deduplication_scope_by_class.get(cls, "all"),
    )
    for number, later in enumerate(attempts):
        possibly_run = [
            attempt for attempt in attempts[:number] if not attempt.is_rejected_by(later.offer.at)
        ]
        for earlier in possibly_run:
            is_outside_scope = scope != "all" and failure_domain(earlier.offer, scope) != failure_domain(
                later.offer, scope
            )
            is_late = later.offer.at - earlier.offer.at > window_ms + history.slack_ms
            if is_outside_scope or is_late:
                text = (
                    f"{task} was sent again {'outside its scope' if is_outside_scope else 'after its window'}"
                )
                return [Violation("no effect twice", text, (earlier.offer.line, later.offer.line))]
    return []


def failure_domain(entry: TraceEntry, domain: str) -> object:
    """The machine, cell or zone of the entry's host, as `domain` selects."""
    return {"zone": entry.zone, "cell": (entry.zone, entry.cell)}.get(domain, entry.who)


def check_drains(history: TraceHistory, parameters: RuleParameters) -> list[Violation]:
    """Invariant 3: no attempt goes to a draining or removed host once the grace period is over.

    The grace period begins at the latest time at which the allocator can have read the host's state.
    """
    violations = []
    # By allocator and host: when the allocator learned that it is not serving, and the line of that entry.
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
                delay_ms = sent - since
                text = (
                    f"{entry.task} was sent to {entry.who} {delay_ms:.0f} ms after {entry.allocator} "
                    "learned that it is not serving"
                )
                violations.append(Violation("drains kept", text, (line, entry.line)))
    return violations


def check_warm_up(history: TraceHistory, parameters: RuleParameters) -> list[Violation]:
    """Invariant 4: a host that warms up is offered no more than its limit, and no host crashes from overload.

    The limit holds for the sum over all allocators in any window of the configured length.
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
            violations.append(Violation("cold machines spared", f"{entry.who} crashed from overload", lines))
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
                text = f"{entry.who} was offered {len(in_window)} tasks within {window_ms:.0f} ms"
                window_lines = tuple(offer.line for offer in in_window)
                violations.append(Violation("cold machines spared", text, window_lines))
                recent.clear()
    return violations


def check_spread(history: TraceHistory, parameters: RuleParameters) -> list[Violation]:
    """Invariant 5: one allocator keeps within the limit on tasks of a service in one failure domain.

    Counts, at each LAUNCH, the tasks that are placed or outstanding there.
    """
    violations = []
    attempts_by_domain: dict[tuple[str, str, object], list[ObservedAttempt]] = defaultdict(list)
    for attempt in history.attempts_by_id.values():
        entry = attempt.offer
        rule = parameters.spread_by_class.get(entry.cls)
        if rule is None:
            continue
        earlier = attempts_by_domain[entry.allocator, entry.service, failure_domain(entry, rule.domain)]
        counted = [other for other in earlier if _occupies_domain(history, other, entry.at)]
        if len(counted) + 1 > rule.max_tasks and attempt.has_known_send_time():
            text = f"{entry.allocator} sent a task of {entry.service} to a domain that held {len(counted)}"
            violations.append(
                Violation("spread kept", text, (*(other.offer.line for other in counted), entry.line))
            )
        earlier.append(attempt)
    return violations


def _occupies_domain(history: TraceHistory, attempt: ObservedAttempt, at: float) -> bool:
    """Whether the attempt was certainly outstanding or placed at that time, to its allocator's knowledge."""
    if attempt.released_at() <= at + history.slack_ms:
        return False
    acceptance, until = attempt.acceptance(), attempt.offer.at + attempt.offer.within
    if acceptance is None:
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
    """Returns the violations of all invariants, in the order of `RULES`."""
    history = TraceHistory(entries)
    return [violation for rule in RULES.values() for violation in rule(history, parameters)]

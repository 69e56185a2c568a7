"""What the soak holds against the operators' rules, from the records of its owners and hosts alone."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from benchmarks.process_soak.hosts import RunningTask
from benchmarks.process_soak.owners import CROSSED_CLOSE_MS, Request

ANSWER_SLACK_MS = 550.0  # an answer up to so long after its time only earns nothing
RELEASE_DUE_MS = 1_050.0  # after the host's release
LOST_DUE_MS = 8_050.0  # after the end, if the host could send no release
SHUTDOWN_WINDOW_MS = 700.0  # what came so long after SIGTERM is owed an answer
HANDED_OVER_MS = 200.0


@dataclass(slots=True)
class Restart:
    """An allocator's planned restart."""

    stopped_at_ms: float  # SIGTERM
    killed_at_ms: float  # the end of the process, by SIGKILL at the latest


@dataclass(slots=True)
class Record:
    """All that was observed."""

    requests: Iterable[Request]
    tasks: Iterable[RunningTask]
    restarts_by_allocator: Mapping[int, list[Restart]]
    ended_at_ms: float  # of the observation
    network_resets: int = 0
    faults: list[str] = field(default_factory=list)  # unexpected ends and lines of faults in the logs


def find_violations(record: Record) -> list[str]:
    """Returns one sentence for each broken rule."""
    tasks_by_id: dict[int, list[RunningTask]] = {}
    for task in record.tasks:
        tasks_by_id.setdefault(task.task_id, []).append(task)
    found = list(record.faults)
    for request in record.requests:
        tasks = tasks_by_id.get(request.task_id, [])
        restarts = record.restarts_by_allocator.get(request.allocator, [])
        found += _check_answer(request, restarts, record.ended_at_ms)
        found += _check_effects(request, tasks)
        if request.is_placed and not request.is_given_up:
            found += _check_end(request, tasks, restarts, record.ended_at_ms)
    return found


def _check_answer(request: Request, restarts: list[Restart], ended_at_ms: float) -> list[str]:
    name = f"request {request.task_id:x} to n{request.allocator}, sent at {request.sent_at_ms:.0f}"
    due_ms = request.sent_at_ms + request.wait_ms + ANSWER_SLACK_MS
    if len(request.answers) > 1:
        return [f"{name}: {len(request.answers)} answers"]
    if request.answers:
        late_ms = request.answers[0][0] - due_ms
        return [f"{name}: answered {late_ms:.0f} ms too late"] if late_ms > 0 else []
    if any(restart.stopped_at_ms + SHUTDOWN_WINDOW_MS < request.sent_at_ms for restart in restarts) and any(
        restart.stopped_at_ms < request.sent_at_ms <= restart.killed_at_ms for restart in restarts
    ):
        return []  # it came too late in a shutdown
    if request.closed_at_ms is not None:
        is_crossed = request.closed_at_ms - request.sent_at_ms <= CROSSED_CLOSE_MS
        return [] if is_crossed else [f"{name}: connection closed without an answer"]
    return [f"{name}: no answer"] if ended_at_ms > due_ms else []


def _check_effects(request: Request, tasks: list[RunningTask]) -> list[str]:
    if request.is_unsafe and len(tasks) > 1:
        return [f"request {request.task_id:x}: an unsafe task took effect {len(tasks)} times"]
    return []


def _check_end(
    request: Request, tasks: list[RunningTask], restarts: list[Restart], observed_until_ms: float
) -> list[str]:
    name = f"task {request.task_id:x} of n{request.allocator} on {request.placed_on}"
    task = next((other for other in reversed(tasks) if other.host_name == request.placed_on), None)
    if task is None:
        return [f"{name}: no host has accepted it"]
    released_at_ms = min(request.releases_at_ms, default=None)
    if len(request.releases_at_ms) > 1 and not request.handed_over_at_ms:
        return [f"{name}: released {len(request.releases_at_ms)} times"]
    if released_at_ms is not None and (task.ended_at_ms is None or released_at_ms < task.ended_at_ms):
        return [f"{name}: released at {released_at_ms:.0f} while it ran"]
    if task.ended_at_ms is None or task.is_cut:
        return []
    due_ms = _release_due_ms(request, task, restarts)
    if released_at_ms is None and observed_until_ms > due_ms:
        return [f"{name}: ended at {task.ended_at_ms:.0f}, never released, due at {due_ms:.0f}"]
    if released_at_ms is not None and released_at_ms > due_ms:
        return [f"{name}: ended at {task.ended_at_ms:.0f}, released {released_at_ms - due_ms:.0f} ms late"]
    return []


def _release_due_ms(request: Request, task: RunningTask, restarts: list[Restart]) -> float:
    """8 s also where the host could have sent a release at once: it may have had no connection then."""
    assert task.ended_at_ms is not None
    due_ms = task.ended_at_ms + LOST_DUE_MS
    for restart in restarts:
        if restart.stopped_at_ms <= due_ms and task.ended_at_ms <= restart.killed_at_ms:
            later = [at_ms for at_ms in request.handed_over_at_ms if at_ms > restart.stopped_at_ms]
            due_ms = min(later, default=float("inf")) + HANDED_OVER_MS + LOST_DUE_MS
    return due_ms


def summarize(record: Record) -> str:
    """Returns the counts of a run in a line."""
    requests, tasks = list(record.requests), list(record.tasks)
    counts = Counter(
        "placed" if request.is_placed else "answered" if request.answers else "unanswered"
        for request in requests
    )
    ends = sum(task.has_process_ended for task in tasks)
    restarts = sum(map(len, record.restarts_by_allocator.values()))
    return (
        f"{len(requests)} set-ups, {counts['placed']} placed, {counts['answered']} refused or failed,"
        f" {counts['unanswered']} unanswered, {len(tasks)} acceptances, {ends} ended with their process,"
        f" {restarts} restarts, {record.network_resets} resets on the way"
    )

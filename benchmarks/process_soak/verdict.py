"""What the soak holds against the operators' rules, from the records of its owners and hosts alone."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from benchmarks.process_soak.hosts import RunningTask
from benchmarks.process_soak.owners import CROSSED_CLOSE_MS, Request

ANSWER_SLACK_MS = 550.0  # an answer up to so long after its time only earns nothing
RELEASE_DUE_MS = 1_050.0  # after the host's release
LOST_DUE_MS = 8_050.0  # after the end, if the host could send no release
REPORT_LASTS_MS = 5_000.0  # a task is not released so soon after a report on it, while it runs
SHUTDOWN_WINDOW_MS = 700.0  # what came so long after SIGTERM is owed an answer
HANDED_OVER_MS = 200.0  # what is handed over counts so long after that
NEVER = float("inf")


@dataclass(slots=True)
class Restart:
    """An allocator's restart, planned or after an outright kill."""

    stopped_at_ms: float  # SIGTERM, or SIGKILL without it
    killed_at_ms: float  # the end of the process, by SIGKILL at the latest

    def was_open_at_kill(self, request: Request) -> bool:
        """Whether the request was open when its allocator was killed without notice, which can't answer it."""
        return self.stopped_at_ms == self.killed_at_ms and (
            request.sent_at_ms <= self.killed_at_ms <= (request.closed_at_ms or NEVER)
        )


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
        if request.is_placed:
            found += _check_end(request, tasks, record)
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
        if any(restart.was_open_at_kill(request) for restart in restarts):
            return []
        is_crossed = request.closed_at_ms - request.sent_at_ms <= CROSSED_CLOSE_MS
        return [] if is_crossed else [f"{name}: connection closed without an answer"]
    return [f"{name}: no answer"] if ended_at_ms > due_ms else []


def _check_effects(request: Request, tasks: list[RunningTask]) -> list[str]:
    if request.is_unsafe and len(tasks) > 1:
        return [f"request {request.task_id:x}: an unsafe task took effect {len(tasks)} times"]
    return []


def find_task(request: Request, tasks: list[RunningTask]) -> RunningTask | None:
    """Returns the task that was placed by the request, None if its host has none."""
    return next((task for task in reversed(tasks) if task.host_name == request.placed_on), None)


def _check_end(request: Request, tasks: list[RunningTask], record: Record) -> list[str]:
    name = f"task {request.task_id:x} of n{request.holder} on {request.placed_on}"
    task = find_task(request, tasks)
    if task is None:
        return [f"{name}: no host has accepted it"]
    name = f"{'quiet ' * task.is_quiet}{name}, {_describe(request, task)}"
    released_at_ms = min(request.releases_at_ms, default=None)
    if len(request.releases_at_ms) > 1 and not request.hand_overs:
        return [f"{name}: released {len(request.releases_at_ms)} times"]
    if released_at_ms is not None and (task.ended_at_ms is None or released_at_ms < task.ended_at_ms):
        return [
            f"{name}: {fault}" for fault in _check_early_release(released_at_ms, task, record.ended_at_ms)
        ]
    if task.ended_at_ms is None:
        return []
    due_ms = _release_due_ms(request, task, record.restarts_by_allocator)
    if released_at_ms is None and record.ended_at_ms > due_ms:
        return [f"{name}: ended at {task.ended_at_ms:.0f}, never released, due at {due_ms:.0f}"]
    if released_at_ms is not None and released_at_ms > due_ms:
        return [f"{name}: ended at {task.ended_at_ms:.0f}, released {released_at_ms - due_ms:.0f} ms late"]
    return []


def _describe(request: Request, task: RunningTask) -> str:
    parts = [f"placed at {request.answers[0][0]:.0f}"]
    parts += [f"handed to n{other.allocator} at {other.at_ms:.0f}" for other in request.hand_overs]
    parts += [f"noted to n{number} at {at_ms:.0f}" for number, at_ms in task.noted_at_ms.items()]
    parts += [f"release sent to n{number} at {at[0]:.0f}" for number, at in task.delivered_at_ms.items()]
    parts += ["its process ended"] * task.has_process_ended + ["cut"] * task.is_cut
    return ", ".join(parts)


def _check_early_release(released_at_ms: float, task: RunningTask, observed_until_ms: float) -> Iterator[str]:
    """An allocator may end a task of which it hears nothing, and then ends it at its host as well."""
    heard_at_ms = _find_heard_ms(task, released_at_ms)
    was_silent = heard_at_ms > released_at_ms
    cut_due_ms = heard_at_ms + RELEASE_DUE_MS
    if was_silent and task.ended_at_ms is None and cut_due_ms > observed_until_ms:
        return  # its host is not heard again before the end of the observation
    # One that ends by itself while its process is silent may do so before the release is read there.
    is_cut = task.is_cut or was_silent
    if not is_cut or task.ended_at_ms is None or task.ended_at_ms > cut_due_ms:
        yield f"released at {released_at_ms:.0f} while it ran"
    elif not task.is_quiet and any(
        at_ms > released_at_ms - REPORT_LASTS_MS for at_ms in task.noted_at_ms.values()
    ):
        yield f"released at {released_at_ms:.0f} while its host reported on it"


def _find_heard_ms(task: RunningTask, at_ms: float) -> float:
    """Returns from when on the task's process takes what is sent to it at a time."""
    for silence in task.silences:
        if silence.began_at_ms <= at_ms < silence.ended_at_ms:
            return silence.ended_at_ms
    return at_ms


def _list_periods(
    request: Request, restarts_by_allocator: Mapping[int, list[Restart]]
) -> Iterator[tuple[int, float, float]]:
    """Yields the allocators that held a task in their order, each with the times between which it did."""
    begins = [(request.allocator, request.answers[0][0])]
    begins += [(hand_over.allocator, hand_over.at_ms + HANDED_OVER_MS) for hand_over in request.hand_overs]
    for allocator, from_ms in begins:
        restarts = restarts_by_allocator.get(allocator, [])
        next_restart = next((restart for restart in restarts if restart.killed_at_ms >= from_ms), None)
        # What is placed during a shutdown is held by nobody until it is handed over.
        until_ms = max(from_ms, next_restart.stopped_at_ms) if next_restart is not None else NEVER
        yield allocator, from_ms, until_ms


def _release_due_ms(
    request: Request, task: RunningTask, restarts_by_allocator: Mapping[int, list[Restart]]
) -> float:
    """1 s after the release of the host came to the allocator that holds the task, else 8 s after its end.

    An allocator that is stopped before that owes nothing: the next one that is told of the task does.
    """
    assert task.ended_at_ms is not None
    for allocator, from_ms, until_ms in _list_periods(request, restarts_by_allocator):
        due_ms = max(task.ended_at_ms, from_ms) + LOST_DUE_MS
        if task.untold_until_ms:
            due_ms = max(due_ms, task.untold_until_ms + RELEASE_DUE_MS)
        for delivered_at_ms in task.delivered_at_ms.get(allocator, []):
            if from_ms <= delivered_at_ms < until_ms:
                due_ms = min(due_ms, delivered_at_ms + RELEASE_DUE_MS)
        if due_ms <= until_ms:
            return due_ms
    return NEVER


def summarize(record: Record) -> str:
    """Returns the counts of a run in a line."""
    requests, tasks = list(record.requests), list(record.tasks)
    counts = Counter(
        "placed" if request.is_placed else "answered" if request.answers else "unanswered"
        for request in requests
    )
    ends = sum(task.has_process_ended for task in tasks)
    restarts = sum(map(len, record.restarts_by_allocator.values()))
    hand_overs = sum(len(request.hand_overs) for request in requests)
    cuts = sum(task.is_cut for task in tasks)
    return (
        f"{len(requests)} set-ups, {counts['placed']} placed, {counts['answered']} refused or failed,"
        f" {counts['unanswered']} unanswered, {len(tasks)} acceptances, {ends} ended with their process,"
        f" {hand_overs} hand-overs, {cuts} ended by their allocator,"
        f" {restarts} restarts, {record.network_resets} resets on the way"
    )

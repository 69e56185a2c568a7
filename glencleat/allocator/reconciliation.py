"""Queue of RECONCILE requests, answered in batches once the state of the tasks is known.

After a start, every framework requests all of its tasks within the same second, while agents have yet to
report what runs. Answers at that time would report running tasks as unknown, and all frameworks would request
again. So nothing is answered before the startup gate opens, and from then on a bounded number per iteration
of the event loop, with the frameworks in rotation. A request for a task that is already queued is merged.
Requests beyond MAX_WAITING are dropped: their framework gets no answer and repeats them, as the API
specifies.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from glencleat.allocator.call_table import Call
from glencleat.allocator.domain_events import DomainEvent, PlacementOpened
from glencleat.allocator.frameworks import Framework

if TYPE_CHECKING:
    from glencleat.allocator.ports import CorePort

ANSWERS_PER_TURN = 200  # about 5 ms of work in an iteration of the event loop
ANSWERS_PER_FRAMEWORK = 50  # before the next framework in rotation
MAX_WAITING = 50_000  # queued requests of all frameworks
ALL_TASKS = ""  # requests every placed task; no task has an empty id

PendingTaskIds = dict[str, None]  # distinct task ids, in the order of the requests


class ReconciliationQueue:
    """Task ids to be reconciled, by framework."""

    def __init__(self, core: CorePort, send_answer: Callable[[Framework, str, Call | None], None]) -> None:
        """Creates an empty queue.

        Args:
            core: the core whose call table holds the tasks.
            send_answer: sends the status of a task, given its id; the call is None for an unknown task.

        """
        self.core = core
        self.send_answer = send_answer
        self.questions_by_framework: dict[str, PendingTaskIds] = {}
        self.waiting_count = 0
        self.is_scheduled = False
        core.add_listener(self._on_domain_event)

    def enqueue(self, framework: Framework, task_ids: Iterable[str]) -> None:
        """Queues a request for each of the tasks, or for all placed tasks if none is given."""
        pending_ids = self.questions_by_framework.setdefault(framework.id, {})
        for task_id in list(task_ids) or [ALL_TASKS]:
            if task_id in pending_ids:
                continue
            if not self._add_pending(pending_ids, task_id):
                break  # drops the rest of the request, which is counted once
        if not self.is_scheduled:
            self._answer_batch()  # a small request is answered before the call returns

    def _add_pending(self, pending_ids: PendingTaskIds, task_id: str) -> bool:
        """Queues a task id; if the queue is full, counts one drop and returns False."""
        if self.waiting_count >= MAX_WAITING:
            self.core.counters.counts_by_event["reconcile turned away"] += 1
            return False
        pending_ids[task_id] = None
        self.waiting_count += 1
        return True

    def _on_domain_event(self, event: DomainEvent) -> None:
        if isinstance(event, PlacementOpened):
            self._schedule()

    def _schedule(self) -> None:
        if not self.is_scheduled and self.questions_by_framework:
            self.is_scheduled = True
            self.core.timing.call_in(0.0, self._answer_batch)

    def _answer_batch(self) -> None:
        self.is_scheduled = False
        if not self.core.startup_gate.is_open:
            return
        remaining = ANSWERS_PER_TURN
        while remaining > 0 and self.questions_by_framework:
            framework_id, pending_ids = next(iter(self.questions_by_framework.items()))
            del self.questions_by_framework[framework_id]
            framework = self.core.frameworks.frameworks_by_id.get(framework_id)
            if framework is None or framework.session is None:
                self.waiting_count -= len(pending_ids)  # it requests again when it reconnects
                continue
            limit = min(remaining, ANSWERS_PER_FRAMEWORK)
            remaining -= self._answer_framework(framework, pending_ids, limit)
            if pending_ids:
                self.questions_by_framework[framework_id] = pending_ids  # rotates it behind the others
        self._schedule()

    def _answer_framework(self, framework: Framework, pending_ids: PendingTaskIds, limit: int) -> int:
        """Answers up to `limit` requests of a framework; returns how many."""
        answered_count = 0
        while pending_ids and answered_count < limit:
            task_id = next(iter(pending_ids))
            del pending_ids[task_id]
            self.waiting_count -= 1
            if task_id == ALL_TASKS:
                self._enqueue_all_tasks(framework, pending_ids)
                continue
            self.send_answer(framework, task_id, self.core.call_table.find_call(framework.id, task_id))
            answered_count += 1
        return answered_count

    def _enqueue_all_tasks(self, framework: Framework, pending_ids: PendingTaskIds) -> None:
        for call in self.core.call_table.calls_of(framework.id):
            if self.waiting_count >= MAX_WAITING:
                self.core.counters.counts_by_event["reconcile turned away"] += 1
                return
            if call.is_placed() and not call.is_closed and call.task_id not in pending_ids:
                self._add_pending(pending_ids, call.task_id)

"""Answers to RECONCILE, a bounded number in each turn of the event loop, once they can be true.

After a start every framework asks for all of its tasks in the same second, and agents have yet to report what
runs: an answer then says 'unknown' of tasks that run, and all ask again. So nothing is answered before the
startup gate opens, and then a bounded number in each turn, frameworks in rotation. A question that waits
already is the same question; what is beyond the bound is dropped, and its framework, which gets no answer,
asks again, as the API has it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from glencleat.allocator.call_table import Call
from glencleat.allocator.domain_events import DomainEvent, PlacementOpened
from glencleat.allocator.frameworks import Framework

if TYPE_CHECKING:
    from glencleat.allocator.ports import CorePort

ANSWERS_PER_TURN = 200  # some 5 ms
ANSWERS_PER_FRAMEWORK = 50  # of one framework, before the next has its turn
MAX_WAITING = 50_000  # questions that wait, of all frameworks
ALL_TASKS = ""  # a question for every task that is placed; no task has an empty id

Questions = dict[str, None]  # task ids, each once, in the order asked


class ReconciliationQueue:
    """Questions that wait for their answer, by framework."""

    def __init__(self, core: CorePort, answer: Callable[[Framework, str, Call | None], None]) -> None:
        """An empty queue.

        Args:
            core: whose call table has the answers.
            answer: sends the answer about a task, by its id; the call is None where the task is not known.

        """
        self.core = core
        self.answer = answer
        self.questions_by_framework: dict[str, Questions] = {}
        self.waiting_count = 0
        self.is_scheduled = False
        core.add_listener(self._on_domain_event)

    def enqueue(self, framework: Framework, task_ids: Iterable[str]) -> None:
        """Adds a question for each of the tasks; for none, one for all that are placed."""
        questions = self.questions_by_framework.setdefault(framework.id, {})
        for task_id in list(task_ids) or [ALL_TASKS]:
            if task_id in questions:
                continue
            if not self._add_question(questions, task_id):
                break
        if not self.is_scheduled:
            self._answer_turn()  # a small number is answered before the call returns

    def _add_question(self, questions: Questions, task_id: str) -> bool:
        """Adds a question; returns False, and counts it, where too many wait."""
        if self.waiting_count >= MAX_WAITING:
            self.core.counters.counts_by_event["reconcile turned away"] += 1
            return False
        questions[task_id] = None
        self.waiting_count += 1
        return True

    def _on_domain_event(self, event: DomainEvent) -> None:
        if isinstance(event, PlacementOpened):
            self._schedule()

    def _schedule(self) -> None:
        if not self.is_scheduled and self.questions_by_framework:
            self.is_scheduled = True
            self.core.timing.call_in(0.0, self._answer_turn)

    def _answer_turn(self) -> None:
        self.is_scheduled = False
        if not self.core.startup_gate.is_open:
            return
        remaining = ANSWERS_PER_TURN
        while remaining > 0 and self.questions_by_framework:
            framework_id, questions = next(iter(self.questions_by_framework.items()))
            del self.questions_by_framework[framework_id]
            framework = self.core.frameworks.frameworks_by_id.get(framework_id)
            if framework is None or framework.session is None:
                self.waiting_count -= len(questions)  # it asks anew when it is back
                continue
            limit = min(remaining, ANSWERS_PER_FRAMEWORK)
            remaining -= self._answer_framework(framework, questions, limit)
            if questions:
                self.questions_by_framework[framework_id] = questions  # behind the others
        self._schedule()

    def _answer_framework(self, framework: Framework, questions: Questions, limit: int) -> int:
        """Answers up to `limit` questions of a framework; returns how many."""
        count = 0
        while questions and count < limit:
            task_id = next(iter(questions))
            del questions[task_id]
            self.waiting_count -= 1
            if task_id == ALL_TASKS:
                self._enqueue_all_tasks(framework, questions)
                continue
            self.answer(framework, task_id, self.core.call_table.find_call(framework.id, task_id))
            count += 1
        return count

    def _enqueue_all_tasks(self, framework: Framework, questions: Questions) -> None:
        for call in self.core.call_table.calls_of(framework.id):
            if self.waiting_count >= MAX_WAITING:
                self.core.counters.counts_by_event["reconcile turned away"] += 1
                return
            if call.is_placed() and not call.is_closed and call.task_id not in questions:
                self._add_question(questions, call.task_id)

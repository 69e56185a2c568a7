"""RECONCILE in turns: who asked what is out, answered as fast as the loop bears, once it can be told.

After a start every owner asks for all of its tasks in the same second, and agents have yet to tell what runs:
an answer then says 'unknown' of tasks that run, and all ask again. So nothing is answered before the opening
(`recovery.Opening`), and then a bounded number in each turn of the loop, owners in turn. A question that
waits already is the same question; what is beyond the bound is not kept, and its owner, who gets no answer,
asks again, as the API has it."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from glencleat.allocator.call_table import Call
from glencleat.allocator.domain_events import Happened, PlacementOpened
from glencleat.allocator.frameworks import Framework

if TYPE_CHECKING:
    from glencleat.allocator.ports import CorePort

ANSWERS_PER_TURN = 200  # answers in one turn of the loop: some 5 ms
ANSWERS_PER_FRAMEWORK = 50  # of one owner before the next has its turn
MAX_WAITING = 50_000  # questions that wait, of all owners
ALL_TASKS = ""  # a question for every task that is out; no task has an empty id


class ReconciliationQueue:
    def __init__(self, core: CorePort, answer: Callable[[Framework, str, Call | None], None]) -> None:
        self.core, self.answer = core, answer
        self.questions_by_framework: dict[
            str, dict[str, None]
        ] = {}  # framework -> tasks, each once, in the order asked
        self.waiting_count = 0
        self.is_scheduled = False
        core.hear(self._on_domain_event)

    def enqueue(self, framework: Framework, tasks: Iterable[str]) -> None:
        """The named tasks; none named: all that are out."""
        line = self.questions_by_framework.setdefault(framework.id, {})
        for task in list(tasks) or [ALL_TASKS]:
            if task in line:
                continue
            if self.waiting_count >= MAX_WAITING:
                self.core.figures.events["reconcile turned away"] += 1
                break
            line[task] = None
            self.waiting_count += 1
        if not self.is_scheduled:
            self._answer_turn()  # few are answered before the call returns

    def _on_domain_event(self, what: Happened) -> None:
        if isinstance(what, PlacementOpened):
            self._schedule()

    def _schedule(self) -> None:
        if not self.is_scheduled and self.questions_by_framework:
            self.is_scheduled = True
            self.core.timing.call_in(0.0, self._answer_turn)

    def _answer_turn(self) -> None:
        self.is_scheduled = False
        left = ANSWERS_PER_TURN if self.core.opening.done else 0
        while left > 0 and self.questions_by_framework:
            name, line = next(iter(self.questions_by_framework.items()))
            del self.questions_by_framework[name]
            framework = self.core.frameworks.frameworks_by_id.get(name)
            if framework is None or framework.session is None:
                self.waiting_count -= len(line)  # it asks anew when it is back
                continue
            left -= self._answer_framework(framework, line, min(left, ANSWERS_PER_FRAMEWORK))
            if line:
                self.questions_by_framework[name] = line  # behind the others
        if self.core.opening.done:
            self._schedule()

    def _answer_framework(self, framework: Framework, line: dict[str, None], most: int) -> int:
        """Answers up to `most` of its questions; how many."""
        count = 0
        while line and count < most:
            task = next(iter(line))
            del line[task]
            self.waiting_count -= 1
            if task == ALL_TASKS:
                self._enqueue_all_tasks(framework, line)
                continue
            self.answer(framework, task, self.core.ledger.task(framework.id, task))
            count += 1
        return count

    def _enqueue_all_tasks(self, framework: Framework, line: dict[str, None]) -> None:
        for call in self.core.ledger.of(framework.id):
            if self.waiting_count >= MAX_WAITING:
                self.core.figures.events["reconcile turned away"] += 1
                return
            if call.placed() and not call.over and call.task_id not in line:
                line[call.task_id] = None
                self.waiting_count += 1

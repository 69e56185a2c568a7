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
from glencleat.allocator.domain_events import DomainEvent, PlacementOpened
from glencleat.allocator.frameworks import Framework

if TYPE_CHECKING:
    from glencleat.allocator.ports import CorePort

TURN = 200  # answers in one turn of the loop: some 5 ms
SHARE = 50  # of one owner before the next has its turn
MOST = 50_000  # questions that wait, of all owners
ALL = ""  # a question for every task that is out; no task has an empty id


class ReconciliationQueue:
    def __init__(self, core: CorePort, answer: Callable[[Framework, str, Call | None], None]) -> None:
        self.core, self.answer = core, answer
        self.lines: dict[str, dict[str, None]] = {}  # framework -> tasks, each once, in the order asked
        self.waiting = 0
        self.pumping = False
        core.subscribe(self._heard)

    def ask(self, framework: Framework, tasks: Iterable[str]) -> None:
        """The named tasks; none named: all that are out."""
        line = self.lines.setdefault(framework.id, {})
        for task in list(tasks) or [ALL]:
            if task in line:
                continue
            if self.waiting >= MOST:
                self.core.counters.events["reconcile turned away"] += 1
                break
            line[task] = None
            self.waiting += 1
        if not self.pumping:
            self._pump()  # few are answered before the call returns

    def _heard(self, what: DomainEvent) -> None:
        if isinstance(what, PlacementOpened):
            self._soon()

    def _soon(self) -> None:
        if not self.pumping and self.lines:
            self.pumping = True
            self.core.timing.call_in(0.0, self._pump)

    def _pump(self) -> None:
        self.pumping = False
        left = TURN if self.core.startup_gate.is_open else 0
        while left > 0 and self.lines:
            name, line = next(iter(self.lines.items()))
            del self.lines[name]
            framework = self.core.frameworks.known.get(name)
            if framework is None or framework.session is None:
                self.waiting -= len(line)  # it asks anew when it is back
                continue
            left -= self._some(framework, line, min(left, SHARE))
            if line:
                self.lines[name] = line  # behind the others
        if self.core.startup_gate.is_open:
            self._soon()

    def _some(self, framework: Framework, line: dict[str, None], most: int) -> int:
        """Answers up to `most` of its questions; how many."""
        count = 0
        while line and count < most:
            task = next(iter(line))
            del line[task]
            self.waiting -= 1
            if task == ALL:
                self._all(framework, line)
                continue
            self.answer(framework, task, self.core.call_table.find_call(framework.id, task))
            count += 1
        return count

    def _all(self, framework: Framework, line: dict[str, None]) -> None:
        for call in self.core.call_table.calls_of(framework.id):
            if self.waiting >= MOST:
                self.core.counters.events["reconcile turned away"] += 1
                return
            if call.is_placed() and not call.is_closed and call.task_id not in line:
                line[call.task_id] = None
                self.waiting += 1

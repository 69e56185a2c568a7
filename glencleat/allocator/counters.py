"""Counters of one allocator that must add up, by class: received = placed + rejected + failed + open.

`open` is counted from the call table and not derived from the other counters, so that a check of the sum can
fail. Pure; `servers.metrics` exports the counters.
"""

from __future__ import annotations

from collections import Counter

from glencleat.allocator.call_table import CallTable, FinalAnswer


class TaskCounters:
    """Counts tasks and attempts since the start."""

    def __init__(self, call_table: CallTable) -> None:
        self.call_table = call_table
        self.received_by_class: Counter[str] = Counter()
        self.answers_by_class: Counter[tuple[str, str]] = Counter()  # by class and value of FinalAnswer
        self.adopted_by_class: Counter[str] = Counter()
        self.attempts_by_outcome: Counter[str] = Counter()  # by value of Outcome
        self.counts_by_event: Counter[str] = Counter()

    def record_received(self, task_class: str) -> None:
        """Counts a task that was received from its client."""
        self.received_by_class[task_class] += 1

    def record_answer(self, task_class: str, final_answer: FinalAnswer) -> None:
        """Counts a final answer."""
        self.answers_by_class[task_class, final_answer.value] += 1

    def count_open_by_class(self) -> Counter[str]:
        """Counts the calls without a final answer from the call table; adopted calls don't count."""
        calls = self.call_table.active_calls_by_number.values()
        return Counter(
            c.task_request.task_class for c in calls if c.final_answer is None and not c.is_adopted
        )

    def find_mismatches(self, open_by_class: Counter[str] | None = None) -> dict[str, int]:
        """Returns each class whose counters don't add up, with the difference; not empty means a bug.

        `open_by_class` is the result of a `count_open_by_class` just before, which saves a second pass over
        the call table.
        """
        open_by_class = self.count_open_by_class() if open_by_class is None else open_by_class
        mismatches = {}
        for name in set(self.received_by_class) | {c for c, _ in self.answers_by_class} | set(open_by_class):
            answered_count = sum(self.answers_by_class[name, answer.value] for answer in FinalAnswer)
            if difference := self.received_by_class[name] - answered_count - open_by_class[name]:
                mismatches[name] = difference
        return mismatches

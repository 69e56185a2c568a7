"""Counts of one allocator that add up by class: taken = placed + rejected + failed + open.

`open` is counted from the call table itself and not worked out of the others, so that the identity can be
wrong and a check of it can fail. Pure; `servers.metrics` exports the counts.
"""

from __future__ import annotations

from collections import Counter

from glencleat.allocator.call_table import CallTable, FinalAnswer


class TaskCounters:
    """Counts of tasks, attempts and other events since the start."""

    def __init__(self, call_table: CallTable) -> None:
        self.call_table = call_table
        self.taken: Counter[str] = Counter()  # by class
        self.answered: Counter[tuple[str, str]] = Counter()  # by class and FinalAnswer's value
        self.adopted: Counter[str] = Counter()  # by class
        self.attempts: Counter[str] = Counter()  # by outcome
        self.events: Counter[str] = Counter()  # of any other kind, by name

    def count_taken(self, task_class: str) -> None:
        """Count a task that an owner asked for."""
        self.taken[task_class] += 1

    def count_answered(self, task_class: str, final_answer: FinalAnswer) -> None:
        """Count the final answer of a task."""
        self.answered[task_class, final_answer.value] += 1

    def count_open_by_class(self) -> Counter[str]:
        """Return how many calls have no answer, by class; visits every active call."""
        calls = self.call_table.active_calls.values()
        return Counter(
            call.request.task_class for call in calls if call.final_answer is None and not call.is_adopted
        )

    def find_mismatches(self, open_by_class: Counter[str] | None = None) -> dict[str, int]:
        """Return the classes whose counts don't add up, with the difference; anything but empty is a fault.

        Args:
            open_by_class: What `count_open_by_class` has just returned, so that the calls are visited once.
        """
        if open_by_class is None:
            open_by_class = self.count_open_by_class()
        differences = {}
        for task_class in set(self.taken) | {name for name, _ in self.answered} | set(open_by_class):
            answered = sum(self.answered[task_class, answer.value] for answer in FinalAnswer)
            difference = self.taken[task_class] - answered - open_by_class[task_class]
            if difference:
                differences[task_class] = difference
        return differences

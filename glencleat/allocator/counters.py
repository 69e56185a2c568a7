"""Figures of one allocator that add up: taken = served + refused + failed + open, by class.

`open` is counted from the ledger itself and not worked out of the others, so that the identity can be wrong
and a check of it can fail. Pure; `fronts.metrics` exports them."""

from __future__ import annotations

from collections import Counter

from glencleat.allocator.call_table import CallTable, FinalAnswer


class TaskCounters:
    def __init__(self, ledger: CallTable) -> None:
        self.call_table = ledger
        self.taken: Counter[str] = Counter()
        self.answered: Counter[tuple[str, str]] = Counter()  # class, answer
        self.adopted: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()  # by outcome
        self.events: Counter[str] = Counter()  # of any kind worth a count

    def count_taken(self, task_class: str) -> None:
        self.taken[task_class] += 1

    def count_answered(self, task_class: str, given: FinalAnswer) -> None:
        self.answered[task_class, given.value] += 1

    def count_open_by_class(self) -> Counter[str]:
        calls = self.call_table.active_calls.values()
        return Counter(c.request.task_class for c in calls if c.final_answer is None and not c.is_adopted)

    def find_mismatches(self, open_now: Counter[str] | None = None) -> dict[str, int]:
        """Classes whose sums don't add up, with the difference: always empty, or there is a fault.

        `open_now`: what `open_by_class` has just told, so that the ledger is gone through once."""
        open_now = self.count_open_by_class() if open_now is None else open_now
        off = {}
        for name in set(self.taken) | {c for c, _ in self.answered} | set(open_now):
            answered = sum(self.answered[name, g.value] for g in FinalAnswer)
            if difference := self.taken[name] - answered - open_now[name]:
                off[name] = difference
        return off

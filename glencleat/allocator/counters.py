"""Figures of one allocator that add up: taken = served + refused + failed + open, by class.

`open` is counted from the ledger itself and not worked out of the others, so that the identity can be wrong
and a check of it can fail. Pure; `fronts.metrics` exports them."""

from __future__ import annotations

from collections import Counter

from glencleat.allocator.call_table import CallTable, FinalAnswer


class TaskCounters:
    def __init__(self, ledger: CallTable) -> None:
        self.call_table = ledger
        self.received_by_class: Counter[str] = Counter()
        self.answers_by_class: Counter[tuple[str, str]] = Counter()  # class, answer
        self.adopted_by_class: Counter[str] = Counter()
        self.attempts_by_outcome: Counter[str] = Counter()  # by outcome
        self.counts_by_event: Counter[str] = Counter()  # of any kind worth a count

    def record_received(self, task_class: str) -> None:
        self.received_by_class[task_class] += 1

    def record_answer(self, task_class: str, given: FinalAnswer) -> None:
        self.answers_by_class[task_class, given.value] += 1

    def count_open_by_class(self) -> Counter[str]:
        calls = self.call_table.active_calls_by_number.values()
        return Counter(
            c.task_request.task_class for c in calls if c.final_answer is None and not c.is_adopted
        )

    def find_mismatches(self, open_now: Counter[str] | None = None) -> dict[str, int]:
        """Classes whose sums don't add up, with the difference: always empty, or there is a fault.

        `open_now`: what `count_open_by_class` has just told, so that the ledger is gone through once."""
        open_now = self.count_open_by_class() if open_now is None else open_now
        off = {}
        for name in set(self.received_by_class) | {c for c, _ in self.answers_by_class} | set(open_now):
            answered = sum(self.answers_by_class[name, g.value] for g in FinalAnswer)
            if difference := self.received_by_class[name] - answered - open_now[name]:
                off[name] = difference
        return off

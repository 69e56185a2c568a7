"""Estimates a task's current usage, from observations or from the mean ratio of usage to request."""

from __future__ import annotations

from glencleat.index.rendezvous import ColumnSums
from glencleat.policy.cluster_state import TrackedTask
from glencleat.policy.profiles import MIN_SAMPLES
from glencleat.policy.resources import Resources

INITIAL_USAGE_RATIO: Resources = (0.6, 0.7)  # until MIN_SAMPLES own running tasks have observed usage


class UsageEstimate:
    """The ratio of usage to request over this allocator's running tasks with observed usage."""

    def __init__(self) -> None:
        self.ratio = INITIAL_USAGE_RATIO
        self.observed = ColumnSums(4)  # by observed task: used cores, memory; requested cores, memory

    def observe(self, task: TrackedTask) -> None:
        """Replaces the task's row in the sums by its current usage and request.

        The row is removed if the task has no machine or no observed usage.
        """
        is_observed = task.machine is not None and task.usage[0] and task.usage[1]
        self.observed.put_row(task.arrival_number, (*task.usage, *task.requested) if is_observed else None)

    def update_ratio(self) -> None:
        """Recomputes the mean ratio if enough tasks are observed; fewer would be noise."""
        if len(self.observed) >= MIN_SAMPLES:
            cores, memory, cores_requested, memory_requested = self.observed.sum_columns()
            self.ratio = cores / cores_requested, memory / memory_requested

    def estimate(self, task: TrackedTask) -> Resources:
        """Current usage of the task; where not observed, its request times the mean ratio.

        Memory is never estimated below that product.
        """
        requested = task.requested
        cores, memory = task.usage
        mean_memory = requested[1] * self.ratio[1]
        return cores or requested[0] * self.ratio[0], memory if memory > mean_memory else mean_memory

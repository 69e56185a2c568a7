"""How much of their requests our running tasks use, in the mean, and what one of them uses now."""

from __future__ import annotations

from glencleat.index.rendezvous import ColumnSums
from glencleat.policy.cluster_state import TrackedTask
from glencleat.policy.profiles import MIN_SAMPLES
from glencleat.policy.resources import Resources

INITIAL_USAGE_RATIO: Resources = (0.6, 0.7)  # until enough of our own running tasks tell


class UsageEstimate:
    """The ratio of use to request over our running tasks whose use is observed."""

    def __init__(self) -> None:
        self.ratio = INITIAL_USAGE_RATIO
        self.observed = ColumnSums(4)  # use and request of each observed task, cores and memory

    def observe(self, task: TrackedTask) -> None:
        """Takes in what the task uses now, or leaves it out where it runs nowhere or is not observed."""
        is_observed = task.machine is not None and task.usage[0] and task.usage[1]
        self.observed.put_row(task.arrival_number, (*task.usage, *task.requested) if is_observed else None)

    def update_ratio(self) -> None:
        """Brings the mean ratio up to date; of few tasks it would be noise."""
        if len(self.observed) >= MIN_SAMPLES:
            cores, memory, cores_requested, memory_requested = self.observed.sum_columns()
            self.ratio = cores / cores_requested, memory / memory_requested

    def estimate(self, task: TrackedTask) -> Resources:
        """What a task uses now; where that is not observed, what tasks use of their requests in the mean."""
        requested = task.requested
        cores, memory = task.usage
        mean_memory = requested[1] * self.ratio[1]
        return cores or requested[0] * self.ratio[0], memory if memory > mean_memory else mean_memory

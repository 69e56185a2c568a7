"""Usage profiles (LIBRA section 4): peak usage and lifetime of services' tasks, learned from ended tasks."""

from __future__ import annotations

from glencleat.policy.cluster_state import TrackedTask
from glencleat.policy.policy_state import PolicyState
from glencleat.policy.resources import Resources

NEED_PERCENTILE = 0.75  # of peak usage: sums of 99th percentiles leave machines half empty
LIFE_PERCENTILE = 0.25  # of lifetimes: at the 5th percentile all harvested capacity expires within a second
# Minimum number of ended tasks before a histogram is used, and of observed running tasks before the mean
# ratio in `usage.py` is used; fewer give noisy estimates.
MIN_SAMPLES = 20
# Number of entries by service beyond which old ones are dropped: of profiles (those of classes included) the
# one whose last recorded end is oldest, of program uses those past PROGRAM_CACHE_MS, of rendezvous orders the
# longest unused.
MAX_REMEMBERED_SERVICES = 2_000
DEFAULT_LIFETIME_MS = 5_000.0  # of a task not yet placed, until enough tasks have ended
DEFAULT_REMAINING_LIFETIME_MS = 2_500.0  # likewise of a placed task, part of whose lifetime has passed
HISTOGRAM_BUCKETS = 128  # the last one also counts larger values
REQUEST_SHARE_BUCKET = 0.05  # width, as a fraction of the request
LIFETIME_BUCKET_MS = 1_000.0  # width


class Histogram:
    """Histogram with buckets of equal width; percentiles are upper bounds of buckets."""

    def __init__(self, bucket_width: float) -> None:
        self.bucket_width = bucket_width
        self.total = 0
        self.counts = [0] * HISTOGRAM_BUCKETS
        self._percentiles: dict[tuple[float, int], float] = {}

    def add(self, value: float) -> None:
        """Counts a value."""
        self.counts[min(len(self.counts) - 1, int(value / self.bucket_width))] += 1
        self.total += 1
        self._percentiles.clear()

    def percentile(self, fraction: float, floor: float = 0.0) -> float:
        """The percentile of the values from `floor` on; one bucket above the floor if there are none.

        Args:
            fraction: the percentile, from 0 to 1.
            floor: smaller values are ignored.
        """
        first_bucket = int(floor / self.bucket_width)
        key = (fraction, first_bucket)
        if key not in self._percentiles:
            self._percentiles[key] = self._find_percentile(fraction, first_bucket)
        return self._percentiles[key]

    def _find_percentile(self, fraction: float, first_bucket: int) -> float:
        target_count = fraction * sum(self.counts[first_bucket:])
        cumulative_count = 0
        index = first_bucket
        while index < len(self.counts) and (not cumulative_count or cumulative_count < target_count):
            cumulative_count += self.counts[index]
            index += 1
        return (index if cumulative_count else first_bucket + 1) * self.bucket_width


class UsageProfile:
    """Histograms over ended tasks of a service or class: peak usage as a fraction of request, lifetimes."""

    def __init__(self) -> None:
        self.cores = Histogram(REQUEST_SHARE_BUCKET)
        self.memory = Histogram(REQUEST_SHARE_BUCKET)
        self.lifetime = Histogram(LIFETIME_BUCKET_MS)

    def add(self, task: TrackedTask, lifetime_ms: float | None) -> None:
        """Counts an ended task's peak usage, and its lifetime if that is known."""
        if task.peak_usage[0] and task.peak_usage[1]:
            self.cores.add(task.peak_usage[0] / task.requested[0])
            self.memory.add(task.peak_usage[1] / task.requested[1])
        if lifetime_ms is not None:
            self.lifetime.add(lifetime_ms)


def class_profile_key(task: TrackedTask) -> str:
    """The key of the profile over all services of the task's class."""
    return "class " + task.task_class.name


class UsageProfiles:
    """Keeps profiles of services and classes, and predicts need and lifetime from them.

    A class's profile stands in for a service with fewer than `MIN_SAMPLES` ended tasks.
    """

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        self.profiles: dict[str, UsageProfile] = {}  # by service, or by `class_profile_key`

    def _class_profile(self, task: TrackedTask) -> UsageProfile:
        key = class_profile_key(task)
        profile = self.profiles.get(key)
        if profile is None:
            profile = self.profiles[key] = UsageProfile()
        return profile

    def predict_need(self, task: TrackedTask) -> Resources:
        """Predicted peak usage, never below current usage: histograms lag behind growing usage."""
        profile = self.profiles.get(task.service)
        if profile is None or profile.cores.total < MIN_SAMPLES:
            profile = self._class_profile(task)
        cores, memory = task.requested
        cores_now, memory_now = task.usage
        if profile.cores.total >= MIN_SAMPLES:
            cores *= profile.cores.percentile(NEED_PERCENTILE)
            memory *= profile.memory.percentile(NEED_PERCENTILE)
        return cores if cores > cores_now else cores_now, memory if memory > memory_now else memory_now

    def predict_remaining_lifetime_ms(self, task: TrackedTask) -> float:
        """Predicted remaining lifetime, from lifetimes of ended tasks that reached this task's age."""
        age_ms = 0.0 if task.running_since_ms is None else self.state.now_ms - task.running_since_ms
        profile = self.profiles.get(task.service)
        if profile is None or profile.lifetime.total < MIN_SAMPLES:
            profile = self._class_profile(task)
        if profile.lifetime.total < MIN_SAMPLES:
            return DEFAULT_LIFETIME_MS if task.machine is None else DEFAULT_REMAINING_LIFETIME_MS
        return max(0.0, profile.lifetime.percentile(LIFE_PERCENTILE, age_ms) - age_ms)

    def record_end(self, task: TrackedTask, lifetime_ms: float | None) -> None:
        """Counts an ended task for its service and its class; `lifetime_ms` is None where not known."""
        for key in (task.service, class_profile_key(task)):
            profile = self.profiles.pop(key, None) or UsageProfile()
            self.profiles[key] = profile  # reinserted last: the dict is ordered by the last recorded end
            profile.add(task, lifetime_ms)
        while len(self.profiles) > MAX_REMEMBERED_SERVICES:
            del self.profiles[next(iter(self.profiles))]

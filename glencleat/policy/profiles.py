"""Usage profiles (LIBRA section 4): need and life of a service's tasks, learned from those that ended."""

from __future__ import annotations

from glencleat.policy.cluster_state import TrackedTask
from glencleat.policy.policy_state import PolicyState
from glencleat.policy.resources import Resources

NEED_PERCENTILE = 0.75  # of peaks: sums of 99th percentiles leave machines half empty
LIFE_PERCENTILE = 0.25  # of lives: at the 5th percentile all harvested capacity lapses within a second
MIN_SAMPLES = 20  # ended tasks before a histogram is used, running ones before their mean is: few are noise
MAX_REMEMBERED_SERVICES = 2_000  # profiles, kept programs and hash orders; the longest unused go first
DEFAULT_LIFE_MS = 5_000.0  # predicted before enough tasks ended, of a task that is not placed
DEFAULT_LIFE_LEFT_MS = 2_500.0  # likewise, of one that is: it has lived a part already
HISTOGRAM_STEPS = 128  # beyond the last step, values count as the last
REQUEST_SHARE_STEP = 0.05  # of peaks, as a share of what was requested
LIFE_STEP_MS = 1_000.0


class Histogram:
    """Counts of a value in even steps; percentiles by upper edge, also among values beyond a floor."""

    def __init__(self, step: float) -> None:
        self.step = step
        self.total = 0
        self.counts = [0] * HISTOGRAM_STEPS
        self._percentiles: dict[tuple[float, int], float] = {}

    def add(self, value: float) -> None:
        """Counts a value."""
        self.counts[min(len(self.counts) - 1, int(value / self.step))] += 1
        self.total += 1
        self._percentiles.clear()

    def percentile(self, share: float, floor: float = 0.0) -> float:
        """The value that `share` of those from `floor` on lie below; of none, a step beyond the floor."""
        first = int(floor / self.step)
        key = (share, first)
        if key not in self._percentiles:
            self._percentiles[key] = self._find_percentile(share, first)
        return self._percentiles[key]

    def _find_percentile(self, share: float, first: int) -> float:
        wanted = share * sum(self.counts[first:])
        passed = 0
        index = first
        while index < len(self.counts) and (not passed or passed < wanted):
            passed += self.counts[index]
            index += 1
        return (index if passed else first + 1) * self.step


class UsageProfile:
    """Peaks as shares of the request, and lives, of the ended tasks of a service (or of a class, pooled)."""

    def __init__(self) -> None:
        self.cores = Histogram(REQUEST_SHARE_STEP)
        self.memory = Histogram(REQUEST_SHARE_STEP)
        self.life = Histogram(LIFE_STEP_MS)

    def add(self, task: TrackedTask, life_ms: float | None) -> None:
        """Counts an ended task; its life too unless that is not known."""
        if task.peak_usage[0] and task.peak_usage[1]:
            self.cores.add(task.peak_usage[0] / task.requested[0])
            self.memory.add(task.peak_usage[1] / task.requested[1])
        if life_ms is not None:
            self.life.add(life_ms)


def pooled_key(task: TrackedTask) -> str:
    """The key of the profile that all services of the task's class share."""
    return "class " + task.task_class.name


class UsageProfiles:
    """The profiles of services and classes, and the predictions made from them."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        self.profiles: dict[str, UsageProfile] = {}  # by service, or by `pooled_key`

    def _pooled(self, task: TrackedTask) -> UsageProfile:
        key = pooled_key(task)
        profile = self.profiles.get(key)
        if profile is None:
            profile = self.profiles[key] = UsageProfile()
        return profile

    def predict_need(self, task: TrackedTask) -> Resources:
        """Predicted peak, never under the use seen now: histograms lag behind a service that climbs."""
        profile = self.profiles.get(task.service)
        if profile is None or profile.cores.total < MIN_SAMPLES:
            profile = self._pooled(task)
        cores, memory = task.requested
        cores_now, memory_now = task.usage
        if profile.cores.total >= MIN_SAMPLES:
            cores *= profile.cores.percentile(NEED_PERCENTILE)
            memory *= profile.memory.percentile(NEED_PERCENTILE)
        return cores if cores > cores_now else cores_now, memory if memory > memory_now else memory_now

    def predict_life_left_ms(self, task: TrackedTask) -> float:
        """Predicted life beyond the task's age, from the lives that grew as old."""
        age_ms = 0.0 if task.running_since_ms is None else self.state.now_ms - task.running_since_ms
        profile = self.profiles.get(task.service)
        if profile is None or profile.life.total < MIN_SAMPLES:
            profile = self._pooled(task)
        if profile.life.total < MIN_SAMPLES:
            return DEFAULT_LIFE_MS if task.machine is None else DEFAULT_LIFE_LEFT_MS
        return max(0.0, profile.life.percentile(LIFE_PERCENTILE, age_ms) - age_ms)

    def record_end(self, task: TrackedTask, life_ms: float | None) -> None:
        """Counts an ended task for its service and its class; `life_ms` is None where it says nothing."""
        for key in (task.service, pooled_key(task)):
            profile = self.profiles.pop(key, None) or UsageProfile()
            self.profiles[key] = profile  # the last one used stands last
            profile.add(task, life_ms)
        while len(self.profiles) > MAX_REMEMBERED_SERVICES:
            del self.profiles[next(iter(self.profiles))]

"""The decisions of one scheduler: where a task goes, when it is retried, which machines are avoided."""

from glencleat.policy.scheduler import Scheduler

__all__ = ["Scheduler"]

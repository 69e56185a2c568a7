"""The decisions of one scheduler: where each task goes, how often it is tried, which machines are left alone."""

from glencleat.policy.scheduler import Scheduler

__all__ = ["Scheduler"]

"""The scheduling policy: where a task is placed, when it is retried, and which machines are avoided."""

from glencleat.policy.scheduler import Scheduler

__all__ = ["Scheduler"]

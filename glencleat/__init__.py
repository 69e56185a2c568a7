"""glencleat: the decisions of one cluster scheduler among many, by harvested room (after LIBRA)."""

from glencleat.policy.scheduler import Scheduler

VERSION = "0.2.0"

__all__ = ["Scheduler"]

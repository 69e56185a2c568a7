"""glencleat: the decisions of one cluster scheduler among many, by harvested room (after LIBRA)."""

from glencleat.logic import Scheduler

__all__ = ["Scheduler"]

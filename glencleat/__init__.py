"""glencleat: a cluster scheduler of which many allocators run side by side, without a leader.

`Scheduler` holds the decisions of one allocator, by harvested capacity (after LIBRA); `glencleat.interface`
is what it is told and what it answers.
"""

from glencleat.policy.scheduler import Scheduler

VERSION = "0.2.0"

__all__ = ["Scheduler"]

"""glencleat: a cluster scheduler of which many allocators run side by side, without a leader.

`Scheduler` makes the decisions of one allocator, using harvested capacity (after LIBRA);
`glencleat.interface` defines its settings, events and actions.
"""

from glencleat.policy.scheduler import Scheduler

VERSION = "0.2.0"

__all__ = ["Scheduler"]

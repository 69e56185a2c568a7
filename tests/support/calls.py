"""Builds calls of the call table without a core."""

from glencleat import interface as api
from glencleat.allocator.call_table import Call, TaskRequest
from glencleat.mesos import messages as m


def make_call(*, number=1, effect=api.Idempotency.NON_IDEMPOTENT):
    request = TaskRequest("unsafe", "s", "k", 1.0, 1.0, 100.0)
    return Call(number, "f", f"t{number}", m.TaskInfo("t", m.Value("t")), request, effect, None, 0.0)

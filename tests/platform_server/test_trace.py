"""Lines of the trace name the platform's task ids, so that both sides of a task can be searched for."""

from types import SimpleNamespace

from glencleat import interface as api
from glencleat.platform_server.trace import Trace
from tests.support.exchange_world import Script

TASK_ID = 0x7F3A


def trace_event(event, actions=()):
    """The lines that an event leaves, with the actions that the policy answers."""
    lines, module = [], Script()
    module.next.append(list(actions))
    calls = {1: SimpleNamespace(setup=SimpleNamespace(task_id=TASK_ID))}
    Trace(module, calls, lines.append).handle(0.0, event)
    return lines


def test_events_and_actions_are_traced_with_their_task():
    """Guards against lines without the task: the calls were looked up by a field that no event has."""
    for event, actions in (
        (api.CallAbandoned(1), ()),
        (api.AttemptAccepted(1, 0, "h1", 5.0), ()),
        (api.ProbeEnded("h1", api.Outcome.TIMED_OUT), (api.Bind(1, "h1", 500.0),)),
    ):
        (line,) = trace_event(event, actions)
        assert f"task {TASK_ID:016x}:" in line


def test_routine_events_without_an_action_leave_no_line():
    assert trace_event(api.TimerFired(0), [api.SetTimer(5.0, 0)]) == []
    assert trace_event(api.TimerFired(0), [api.Reject(1)])

"""The trace of decisions: a line holds the platform's id of each call that it is about."""

from types import SimpleNamespace

from glencleat import interface as api
from glencleat.platform_server.trace import Trace

CALL_ID, TASK = 3, 0xABC


class RejectingModule:
    def handle(self, now_ms, event):
        return [api.Reject(CALL_ID)]


def test_a_decision_is_traced_with_the_id_of_its_call():
    lines = []
    calls = {CALL_ID: SimpleNamespace(setup=SimpleNamespace(task=TASK))}
    trace = Trace(RejectingModule(), calls, lines.append)
    assert trace.handle(5.0, api.TimerFired(1)) == [api.Reject(CALL_ID)]
    (line,) = lines
    assert line.startswith(f"module 5 pair {TASK:016x}: ")

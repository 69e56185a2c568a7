"""The simulator adapter: events in, actions out, and clear errors for malformed input."""

import io
import json
import subprocess
import sys

import pytest

from glencleat.simulator_adapter import SimulatorAdapter, WireError

CONFIG = {
    "az": "z",
    "classes": [{"name": "web", "effect": "pure", "goal-time-ms": 1000.0, "deadline-ms": 8000.0}],
    "kinds": ["std"],
    "domain": {"cores-by-kind": [16], "kind-memory": [32.0], "cpu-booking": 2.0, "news": 1},
    "limits": {"max-attempts": 3},
    "peers-total": 1,
    "rules": {"stop-sending-within-ms": 500.0, "warm-within-ms": 1.0, "overload-for-ms": 1.0},
    "unheard-of": True,
}
START = [
    ["NEW_INSTANCE", "allocator_0", 5, CONFIG],
    ["DIRECTORY", 0, [[1, 0, "std", "SERVING", "host-a", 0, "z", 0, None]]],
    ["REGISTRY", "allocator_0", 1, 0, "cached"],
]
ARRIVAL = ["ARRIVAL", "allocator_0", 9, "web", None, "task-1", 8000.0, None, "svc", 1, 2, 1]


def frames(*batches):
    lines = []
    for number, events in enumerate(batches, 1):
        lines += [["BEGIN_BATCH", 100.0 * number, number], *events, ["EOB"]]
    return "".join(json.dumps(line) + "\n" for line in lines)


def play(text):
    sink = io.StringIO()
    SimulatorAdapter(io.StringIO(text), sink).run()
    return [json.loads(line) for line in sink.getvalue().splitlines()]


def test_an_arrival_is_bound_and_batch_numbers_are_echoed():
    replies = play(frames([], START, [ARRIVAL]))
    assert [r[1] for r in replies if r[0] == "NEXT"] == [1, 2, 3]
    assert [r[:4] for r in replies if r[0] == "BIND"] == [["BIND", "allocator_0", 9, "host-a"]]


def test_unknown_note_kinds_report_fields_and_finished_calls_are_ignored():
    note = ["STATUS_NOTE", "allocator_0", 9, 42, "host-a", 1.0, 0]
    back = ["RETURNED", "allocator_0", 9, 0, None, 1, 5.0, True, "host-a", {"moon": 1.0}]
    replies = play(frames(START, [ARRIVAL], [note, back, back, ["LEFT", "allocator_0", 9]]))
    assert replies[-1] == ["NEXT", 3]


def test_an_instance_that_was_shut_down_does_not_reply():
    replies = play(frames(START, [["SHUTDOWN", "allocator_0"], ARRIVAL]))
    assert not [r for r in replies if r[0] == "BIND"]


def test_an_exception_of_the_scheduler_becomes_a_message():
    adapter = SimulatorAdapter(io.StringIO(frames(START, [ARRIVAL])), io.StringIO())
    handle_message = adapter.handle_message

    def handle_with_failing_schedulers(now_ms, message, replies):
        handle_message(now_ms, message, replies)
        for scheduler in adapter.schedulers.values():
            scheduler.handle = lambda *_: 1 / 0

    adapter.handle_message = handle_with_failing_schedulers
    adapter.run()
    assert '"DIE","allocator_0","ZeroDivisionError' in adapter.sink.getvalue()


@pytest.mark.parametrize(
    "text",
    [
        "{nonsense\n",
        '"text"\n',
        '["WHAT"]\n',
        '["EOB"]\n',
        '["BEGIN_BATCH",1.0,1]\n["LEFT"]\n',
        '["BEGIN_BATCH",1.0,1]\n',
        '["BEGIN_BATCH",1.0,1]\n["NEW_INSTANCE","a",1,{}]\n["EOB"]\n',
    ],
)
def test_a_malformed_line_is_reported_in_one_line(text):
    with pytest.raises(WireError, match="expected"):
        play(text)
    completed = subprocess.run(
        [sys.executable, "-m", "glencleat.simulator_adapter"], input=text, capture_output=True, text=True
    )
    assert completed.returncode != 0 and "Traceback" not in completed.stderr
    assert len(completed.stderr.strip().splitlines()) == 1

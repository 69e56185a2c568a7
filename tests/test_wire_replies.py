"""The adapter's replies on the simulator's wire are byte-identical to those recorded at commit 8cdb288.

The digests and the short stream were recorded with the program of that commit; a difference from either is
a change of decisions. The day of 1 allocator and 30 hosts was recorded anew when held tasks of a class without
room stopped holding back others (`docs/design.md`).
`python -m benchmarks.equal_replies REV` compares whole trees over many more seeds."""

import io
import json
from pathlib import Path

import pytest

from glencleat.simulator_adapter import SimulatorAdapter
from tests.support.wire_day import Day, as_text, play

DATA = Path(__file__).parent / "data" / "wire"
LONG_DAYS = json.loads((DATA / "long-days.json").read_text())
EVENTS = {
    "NEW_INSTANCE", "DIRECTORY", "REGISTRY", "ARRIVAL", "STATUS_BACK", "TICK_DUE", "SHUTDOWN", "MEMO",
    "STATUS_NOTE", "OPEN", "RETURNED", "LEFT", "LANDED",
}  # fmt: skip
ACTIONS = {"BIND", "PUSH_BACK", "FAIL", "INSPECT", "SET_TIMER", "KEEP_INFORMED", "TRACE"}


class Adapter:
    """Runs the adapter in this process: text of a batch in, text of its reply out."""

    def __init__(self) -> None:
        self.adapter = SimulatorAdapter(io.StringIO(), io.StringIO())

    def __call__(self, text: str) -> str:
        self.adapter.source, self.adapter.sink = io.StringIO(text), io.StringIO()
        self.adapter.run()
        return self.adapter.sink.getvalue()


def test_replies_to_the_recorded_short_stream_are_equal():
    adapter = Adapter()
    recorded = [json.loads(line) for line in (DATA / "short-day.jsonl").read_text().splitlines()]
    assert len(recorded) == 300
    for number, (batch, reply) in enumerate(recorded):
        assert adapter(as_text(batch)) == as_text(reply), f"batch {number}"


@pytest.mark.parametrize(
    "day", LONG_DAYS, ids=lambda day: f"{day['allocators']}-allocators-{day['hosts']}-hosts"
)
def test_replies_to_a_long_day_have_the_recorded_digest(day):
    stream = Day(day["seed"], day["allocators"], day["hosts"], day["services"], day["gap_ms"])
    digest, counts = play(stream, Adapter(), day["batches"])
    assert counts == day["counts"]
    assert digest == day["digest"]


def test_the_recorded_days_contain_every_message_of_the_wire():
    seen = {name for day in LONG_DAYS for name in day["counts"]}
    assert seen >= EVENTS | ACTIONS


def test_a_day_is_deterministic():
    assert play(Day(4, 2, 10, 5, 5.0), Adapter(), 50) == play(Day(4, 2, 10, 5, 5.0), Adapter(), 50)


def test_a_differing_reply_is_reported():
    def reply_without_actions(text: str) -> str:
        return as_text([["NEXT", json.loads(text.splitlines()[0])[2]]])

    with pytest.raises(AssertionError, match="batch 0 at "):
        play(Day(4, 2, 10, 5, 5.0), Adapter(), 50, reply_without_actions)

"""The checker of the five rules, with records that break each of them and records that only look like it."""

import pytest

from glencleat.checker import report
from glencleat.checker.invariants import RuleParameters, SpreadRule, check_invariants
from glencleat.checker.trace import TraceEntry, TraceError, TraceRecorder, read_trace, write_trace

FIGURES = RuleParameters(
    drain_grace_ms=1_000.0,
    warm_up_ms=10_000.0,
    warm_up_window_ms=1_000.0,
    warm_up_offers=2.0,
    deduplication_window_ms_by_class={"k": 3_000.0, "z": 3_000.0},
    deduplication_scope_by_class={"k": "all", "z": "zone"},
    spread_by_class={"s": SpreadRule("zone", 1)},
)
END = 100_000.0


class Tape:
    """Writes a record by hand."""

    def __init__(self):
        self.entries = []
        self.numbers = {}

    def add(self, at, kind, **fields):
        self.entries.append(TraceEntry(at, kind, **fields))
        return self

    def asked(self, at, task="f/t", left=8_000.0, **more):
        return self.add(at, "asked", who="o", allocator="a", task=task, left=left, **more)

    def answer(self, at, state, task="f/t", uuid="", **more):
        return self.add(at, "answer", who="o", allocator="a", task=task, state=state, text=uuid, **more)

    def offered(self, at, host="h", attempt="c.0", task="f/t", effect="safe", within=500.0, run="r", **more):
        return self.add(
            at,
            "offered",
            who=host,
            allocator="a",
            attempt=attempt,
            task=task,
            effect=effect,
            within=within,
            text=run,
            **more,
        )

    def said(self, at, state, attempt="c.0", host="h"):
        return self.add(at, "said", who=host, allocator="a", attempt=attempt, state=state)

    def broken(self):
        entries = sorted([*self.entries, TraceEntry(END, "fault")], key=lambda e: e.at)
        for number, entry in enumerate(entries, 1):
            entry.line = number
        return [(breach.rule, breach.trace_lines) for breach in check_invariants(entries, FIGURES)]


def day():
    """A day on which all went well."""
    return (
        Tape().asked(0.0).offered(1.0).said(9.0, "TASK_STARTING").answer(10.0, "TASK_STARTING", uuid="u")
        .said(50.0, "TASK_RUNNING").answer(51.0, "TASK_RUNNING", uuid="v")
        .said(900.0, "TASK_FINISHED").answer(901.0, "TASK_FINISHED", uuid="w")
    )  # fmt: skip


def test_a_good_day():
    assert day().answer(902.0, "TASK_FINISHED", uuid="w").broken() == []


LOST = "no task lost"


@pytest.mark.parametrize(
    ("tape", "rules"),
    [
        (Tape().asked(0.0), [LOST]),
        (Tape().asked(0.0).answer(8_001.0, "TASK_STARTING"), [LOST]),
        (Tape().asked(END - 100.0), []),  # its time was not over when the record ended
        (Tape().asked(0.0).add(4_000.0, "allocator", allocator="a", state="killed"), []),
        (Tape().asked(0.0).add(4_000.0, "allocator", allocator="b", state="killed"), [LOST]),
        (  # killed while it stood still, and back: gone once, and not for ever
            Tape().add(-90.0, "allocator", allocator="a", state="stalled")
            .add(-80.0, "allocator", allocator="a", state="killed")
            .add(-70.0, "allocator", allocator="a", state="up").asked(500.0), [LOST],
        ),
        (Tape().asked(0.0).add(4_000.0, "cut", who="o", allocator="a"), []),
        (Tape().asked(0.0).add(4_000.0, "cut", who="p", allocator="a"), [LOST]),
        (Tape().asked(0.0).answer(5.0, "TASK_DROPPED", uuid="1").answer(6.0, "TASK_DROPPED", uuid="2"), [LOST]),
        (Tape().asked(0.0).answer(5.0, "TASK_DROPPED", uuid="1").answer(6.0, "TASK_DROPPED", uuid="1"), []),
        (Tape().asked(0.0).answer(5.0, "TASK_DROPPED", uuid="1").answer(6.0, "TASK_STARTING", uuid="2"), [LOST]),
        (Tape().asked(0.0).answer(5.0, "TASK_STARTING", uuid="1").answer(6.0, "TASK_DROPPED", uuid="2"), [LOST]),
        (
            Tape().asked(0.0).answer(5.0, "TASK_LOST", uuid="1")
            .answer(6.0, "TASK_RUNNING", uuid="2", reason="REASON_RECONCILIATION")
            .answer(9.0, "TASK_FINISHED", uuid="3"), [],
        ),
        (Tape().asked(0.0).answer(5.0, "TASK_LOST", uuid="1").answer(6.0, "TASK_RUNNING", uuid="2"), [LOST]),
        (Tape().asked(0.0).answer(5.0, "TASK_DROPPED").offered(300.0), [LOST]),
        (Tape().asked(0.0).answer(5.0, "TASK_DROPPED").offered(300.0, since=3.0), []),
        (Tape().asked(0.0).answer(5.0, "TASK_DROPPED").asked(290.0).offered(300.0).answer(310.0, "TASK_STARTING"), []),
    ],
)  # fmt: skip
def test_no_task_lost(tape, rules):
    assert [rule for rule, _ in tape.broken()] == rules


TWICE = "no effect twice"


def unsafe():
    return Tape().offered(0.0, "h", "c.0", effect="unsafe", within=500.0)


def second(tape, at=9_000.0, attempt="d.0", **more):
    return tape.offered(at, "g", attempt, effect="unsafe", **more)


@pytest.mark.parametrize(
    ("tape", "rules"),
    [
        (second(unsafe()), [TWICE]),
        (second(unsafe().said(8.0, "TASK_DROPPED")), []),
        (second(unsafe().said(8.0, "TASK_STARTING").said(80.0, "TASK_KILLED")), [TWICE]),
        (second(unsafe().add(50.0, "listed", who="h", allocator="a", text="r")), []),
        (second(unsafe().add(50.0, "listed", who="h", allocator="a", text="r", ids=["c.0"])), [TWICE]),
        (second(unsafe().add(50.0, "listed", who="h", allocator="a", text="r2")), [TWICE]),
        (second(unsafe().add(50.0, "listed", who="h", allocator="b", text="r")), [TWICE]),
        (
            second(unsafe().said(8.0, "TASK_DROPPED")).add(9.0, "started", attempt="c.0")
            .add(9_100.0, "started", attempt="d.0"), [TWICE],
        ),
        # two attempts out at once
        (Tape().offered(0.0).offered(200.0, "g", "c.1"), [TWICE]),
        (Tape().offered(0.0).said(20.0, "TASK_DROPPED").offered(200.0, "g", "c.1"), []),
        (Tape().offered(0.0).offered(501.0, "g", "c.1"), []),
        (Tape().offered(0.0).add(100.0, "down", who="h").offered(200.0, "g", "c.1"), []),
        (Tape().offered(0.0).add(100.0, "down", who="x").offered(200.0, "g", "c.1"), [TWICE]),
        (Tape().add(0.0, "lag", left=200.0).offered(0.0).offered(200.0, "g", "c.1"), []),  # it may have read late
        (Tape().add(0.0, "lag", left=60.0).offered(0.0).offered(200.0, "g", "c.1"), [TWICE]),
        # keyed: within its window and its group
        (Tape().offered(0.0, effect="keyed", cls="k").offered(2_000.0, "g", "c.1", effect="keyed", cls="k"), []),
        (Tape().offered(0.0, effect="keyed", cls="k").offered(3_500.0, "g", "c.1", effect="keyed", cls="k"), [TWICE]),
        (
            Tape().offered(0.0, effect="keyed", cls="z", zone="x")
            .offered(2_000.0, "g", "c.1", effect="keyed", cls="z", zone="x"), [],
        ),
        (
            Tape().offered(0.0, effect="keyed", cls="z", zone="x")
            .offered(2_000.0, "g", "c.1", effect="keyed", cls="z", zone="y"), [TWICE],
        ),
        (
            Tape().offered(0.0, effect="keyed", cls="z", zone="x").said(9.0, "TASK_DROPPED")
            .offered(2_000.0, "g", "c.1", effect="keyed", cls="z", zone="y"), [],
        ),
    ],
)  # fmt: skip
def test_no_effect_twice(tape, rules):
    assert [rule for rule, _ in tape.broken()] == rules


def told(tape, at, state, allocator="a"):
    return tape.add(at, "told", who="h", allocator=allocator, state=state)


@pytest.mark.parametrize(
    ("tape", "rules"),
    [
        (told(Tape(), 0.0, "draining").offered(1_100.0), []),
        (told(Tape(), 0.0, "draining").offered(1_200.0), ["drains kept"]),
        (told(Tape(), 0.0, "gone").offered(1_200.0), ["drains kept"]),
        (told(told(Tape(), 0.0, "draining"), 1_100.0, "draining").offered(1_200.0), ["drains kept"]),
        (told(told(Tape(), 0.0, "draining"), 1_100.0, "serving").offered(1_200.0), []),
        (told(Tape(), 0.0, "draining", "b").offered(1_200.0), []),
        (told(Tape(), 0.0, "draining").offered(1_200.0, since=900.0), []),
        (
            told(Tape().add(-1.0, "allocator", allocator="a", state="stalled"), 0.0, "draining")
            .add(900.0, "allocator", allocator="a", state="resumed").offered(1_200.0), [],
        ),
    ],
)  # fmt: skip
def test_drains_kept(tape, rules):
    assert [rule for rule, _ in tape.broken()] == rules


def cold(*times, is_cold=True):
    tape = Tape().add(0.0, "up", who="h", cold=is_cold)
    for number, at in enumerate(times):
        tape.offered(at, attempt=f"c{number}.0", task=f"f/{number}")
    return tape


@pytest.mark.parametrize(
    ("tape", "rules"),
    [
        (cold(10.0, 20.0, 1_011.0), []),
        (cold(10.0, 20.0, 30.0), ["cold machines spared"]),
        (cold(10.0, 20.0, 30.0, is_cold=False), []),
        (cold(10_001.0, 10_002.0, 10_003.0), []),
        (cold().add(50.0, "down", who="h", text="fell over"), ["cold machines spared"]),
        (cold().add(50.0, "down", who="h", text="crash"), []),
    ],
)
def test_cold_machines_spared(tape, rules):
    assert [rule for rule, _ in tape.broken()] == rules


def two(between, zone="x", service="v", allocator="a", since=0.0):
    tape = Tape().offered(0.0, attempt="c.0", task="f/1", cls="s", service="v", zone="x")
    between(tape)
    tape.add(
        2_000.0, "offered", who="g", allocator=allocator, attempt="d.0", task="f/2", cls="s", effect="safe",
        service=service, zone=zone, within=500.0, since=since,
    )  # fmt: skip
    return tape


@pytest.mark.parametrize(
    ("tape", "rules"),
    [
        (two(lambda t: t.said(9.0, "TASK_STARTING")), ["spread kept"]),
        (two(lambda t: t.said(9.0, "TASK_STARTING"), zone="y"), []),
        (two(lambda t: t.said(9.0, "TASK_STARTING"), service="w"), []),
        (two(lambda t: t.said(9.0, "TASK_STARTING"), allocator="b"), []),
        (two(lambda t: t.said(9.0, "TASK_STARTING").said(900.0, "TASK_FINISHED")), []),
        (two(lambda t: t.said(9.0, "TASK_DROPPED")), []),
        (two(lambda t: t.said(9.0, "TASK_STARTING"), since=1_000.0), []),
        (two(lambda t: t), []),  # its time to answer was over
        (two(lambda t: t.said(9.0, "TASK_STARTING").add(99.0, "down", who="h")), []),
    ],
)
def test_spread_kept(tape, rules):
    assert [rule for rule, _ in tape.broken()] == rules


def held(tape, place, begin, end, allocator="a", reason="holds", left=0.0):
    for at, state in ((begin, "begins"), (end, "ends")):
        tape.add(at, "wire", who=place, allocator=allocator, state=state, reason=reason, left=left)
    return tape


@pytest.mark.parametrize(
    ("tape", "rules"),
    [
        (held(told(Tape(), 0.0, "draining"), "list", -1.0, 900.0).offered(1_900.0), []),
        (held(told(Tape(), 0.0, "draining"), "list", -1.0, 900.0).offered(2_200.0), ["drains kept"]),
        (held(told(Tape(), 0.0, "draining"), "agents", -1.0, 900.0).offered(1_200.0), ["drains kept"]),
        (held(told(Tape(), 0.0, "draining"), "list", -1.0, 900.0, "b").offered(1_200.0), ["drains kept"]),
        (held(told(Tape(), 0.0, "draining").offered(1_200.0), "agents", 1_000.0, 1_150.0), []),
        (held(Tape().asked(0.0), "owners", 100.0, 300.0), []),
        (held(Tape().asked(0.0), "owners", 100.0, 300.0, reason="turns away"), ["no task lost"]),
        (held(Tape().asked(0.0), "list", 100.0, 300.0), ["no task lost"]),
        (held(Tape().asked(0.0), "owners", 8_500.0, 8_600.0), ["no task lost"]),
        (Tape().asked(0.0).answer(8_040.0, "TASK_DROPPED").add(8_050.0, "lag", left=80.0), []),
        (Tape().asked(0.0).answer(8_120.0, "TASK_DROPPED").add(8_050.0, "lag", left=80.0), []),
        (Tape().asked(0.0).answer(8_170.0, "TASK_DROPPED").add(8_050.0, "lag", left=80.0), ["no task lost"]),
        (Tape().asked(0.0).answer(8_040.0, "TASK_DROPPED").add(8_050.0, "lag", left=20.0), ["no task lost"]),
        # A yes that its allocator could not read is not counted where it was out of time, but once it came.
        (held(two(lambda t: t.said(9.0, "TASK_STARTING")), "agents", 5.0, 2_500.0), []),
        (held(two(lambda t: t.said(9.0, "TASK_STARTING")), "agents", 5.0, 1_500.0), ["spread kept"]),
    ],
)  # fmt: skip
def test_what_a_wire_or_a_standstill_held_back(tape, rules):
    assert [rule for rule, _ in tape.broken()] == rules


def test_a_breach_names_its_lines():
    ((rule, lines),) = Tape().asked(0.0).answer(5.0, "TASK_DROPPED").offered(300.0).broken()
    assert (rule, lines) == (LOST, (1, 3))


def test_a_record_goes_to_a_file_and_back(tmp_path):
    recorder = TraceRecorder(lambda: 1.5)
    recorder.add("asked", who="o", task="f/t", left=5.0)
    recorder.add("answer", who="o", task="f/t", state="TASK_STARTING")
    write_trace(tmp_path / "r", recorder.entries)
    assert list(read_trace(tmp_path / "r")) == recorder.entries
    (tmp_path / "r").write_text('{"at":1,"kind":"x"}\n{"at":"soon"}\n')
    with pytest.raises(TraceError, match="r:2: Expected `float`"):
        list(read_trace(tmp_path / "r"))


def test_the_summary_counts_each_ask_once():
    told = report.summarize(
        day().asked(2_000.0, cls="c").answer(2_001.0, "TASK_LOST", retry="reconcile")
        .asked(3_000.0, cls="c").answer(3_001.0, "TASK_DROPPED", retry="harmless").asked(4_000.0, cls="c").entries
    )  # fmt: skip
    assert told.outcomes_by_class[""] == {"placed": 1}
    assert told.outcomes_by_class["c"] == {"failed": 1, "refused": 1, "unanswered": 1}
    assert told.placement_ms("", 50.0) == pytest.approx(10.0, rel=0.01)

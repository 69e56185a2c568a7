"""The checks of the five invariants: traces that break each of them, and similar traces that keep it."""

import pytest

from glencleat.checker import report
from glencleat.checker.invariants import RuleParameters, SpreadRule, check_invariants
from glencleat.checker.trace import TraceEntry, TraceError, TraceRecorder, read_trace, write_trace

PARAMETERS = RuleParameters(
    drain_grace_ms=1_000.0,
    warm_up_ms=10_000.0,
    warm_up_window_ms=1_000.0,
    warm_up_offers=2.0,
    deduplication_window_ms_by_class={"k": 3_000.0, "z": 3_000.0},
    deduplication_scope_by_class={"k": "all", "z": "zone"},
    spread_by_class={"s": SpreadRule("zone", 1)},
)
TRACE_END_MS = 100_000.0


class TraceBuilder:
    """Builds a trace entry by entry; the methods are named for the kinds of entries."""

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

    def violations(self):
        entries = sorted([*self.entries, TraceEntry(TRACE_END_MS, "fault")], key=lambda entry: entry.at)
        for number, entry in enumerate(entries, 1):
            entry.line = number
        return [
            (violation.rule, violation.trace_lines) for violation in check_invariants(entries, PARAMETERS)
        ]


def finished_task():
    """A task that is requested, placed, run and finished."""
    return (
        TraceBuilder().asked(0.0).offered(1.0).said(9.0, "TASK_STARTING").answer(10.0, "TASK_STARTING", uuid="u")
        .said(50.0, "TASK_RUNNING").answer(51.0, "TASK_RUNNING", uuid="v")
        .said(900.0, "TASK_FINISHED").answer(901.0, "TASK_FINISHED", uuid="w")
    )  # fmt: skip


def test_a_finished_task_breaks_no_invariant():
    assert finished_task().answer(902.0, "TASK_FINISHED", uuid="w").violations() == []


NO_TASK_LOST = "no task lost"


@pytest.mark.parametrize(
    ("builder", "rules"),
    [
        (TraceBuilder().asked(0.0), [NO_TASK_LOST]),
        (TraceBuilder().asked(0.0).answer(8_001.0, "TASK_STARTING"), [NO_TASK_LOST]),
        (TraceBuilder().asked(TRACE_END_MS - 100.0), []),  # the trace ends before the deadline
        (TraceBuilder().asked(0.0).add(4_000.0, "allocator", allocator="a", state="killed"), []),
        (TraceBuilder().asked(0.0).add(4_000.0, "allocator", allocator="b", state="killed"), [NO_TASK_LOST]),
        (  # killed while stalled, then up again: one absence, which ends
            TraceBuilder().add(-90.0, "allocator", allocator="a", state="stalled")
            .add(-80.0, "allocator", allocator="a", state="killed")
            .add(-70.0, "allocator", allocator="a", state="up").asked(500.0), [NO_TASK_LOST],
        ),
        (TraceBuilder().asked(0.0).add(4_000.0, "cut", who="o", allocator="a"), []),
        (TraceBuilder().asked(0.0).add(4_000.0, "cut", who="p", allocator="a"), [NO_TASK_LOST]),
        (TraceBuilder().asked(0.0).answer(5.0, "TASK_DROPPED", uuid="1").answer(6.0, "TASK_DROPPED", uuid="2"), [NO_TASK_LOST]),
        (TraceBuilder().asked(0.0).answer(5.0, "TASK_DROPPED", uuid="1").answer(6.0, "TASK_DROPPED", uuid="1"), []),
        (TraceBuilder().asked(0.0).answer(5.0, "TASK_DROPPED", uuid="1").answer(6.0, "TASK_STARTING", uuid="2"), [NO_TASK_LOST]),
        (TraceBuilder().asked(0.0).answer(5.0, "TASK_STARTING", uuid="1").answer(6.0, "TASK_DROPPED", uuid="2"), [NO_TASK_LOST]),
        (
            TraceBuilder().asked(0.0).answer(5.0, "TASK_LOST", uuid="1")
            .answer(6.0, "TASK_RUNNING", uuid="2", reason="REASON_RECONCILIATION")
            .answer(9.0, "TASK_FINISHED", uuid="3"), [],
        ),
        (TraceBuilder().asked(0.0).answer(5.0, "TASK_LOST", uuid="1").answer(6.0, "TASK_RUNNING", uuid="2"), [NO_TASK_LOST]),
        (TraceBuilder().asked(0.0).answer(5.0, "TASK_DROPPED").offered(300.0), [NO_TASK_LOST]),
        (TraceBuilder().asked(0.0).answer(5.0, "TASK_DROPPED").offered(300.0, since=3.0), []),
        (TraceBuilder().asked(0.0).answer(5.0, "TASK_DROPPED").asked(290.0).offered(300.0).answer(310.0, "TASK_STARTING"), []),
    ],
)  # fmt: skip
def test_no_task_lost(builder, rules):
    assert [rule for rule, _ in builder.violations()] == rules


NO_EFFECT_TWICE = "no effect twice"


def non_idempotent_attempt():
    return TraceBuilder().offered(0.0, "h", "c.0", effect="unsafe", within=500.0)


def with_second_attempt(builder, at=9_000.0, attempt="d.0", **more):
    return builder.offered(at, "g", attempt, effect="unsafe", **more)


@pytest.mark.parametrize(
    ("builder", "rules"),
    [
        (with_second_attempt(non_idempotent_attempt()), [NO_EFFECT_TWICE]),
        (with_second_attempt(non_idempotent_attempt().said(8.0, "TASK_DROPPED")), []),
        (with_second_attempt(non_idempotent_attempt().said(8.0, "TASK_STARTING").said(80.0, "TASK_KILLED")), [NO_EFFECT_TWICE]),
        (with_second_attempt(non_idempotent_attempt().add(50.0, "listed", who="h", allocator="a", text="r")), []),
        (with_second_attempt(non_idempotent_attempt().add(50.0, "listed", who="h", allocator="a", text="r", ids=["c.0"])), [NO_EFFECT_TWICE]),
        (with_second_attempt(non_idempotent_attempt().add(50.0, "listed", who="h", allocator="a", text="r2")), [NO_EFFECT_TWICE]),
        (with_second_attempt(non_idempotent_attempt().add(50.0, "listed", who="h", allocator="b", text="r")), [NO_EFFECT_TWICE]),
        (
            with_second_attempt(non_idempotent_attempt().said(8.0, "TASK_DROPPED")).add(9.0, "started", attempt="c.0")
            .add(9_100.0, "started", attempt="d.0"), [NO_EFFECT_TWICE],
        ),
        # two attempts outstanding at once
        (TraceBuilder().offered(0.0).offered(200.0, "g", "c.1"), [NO_EFFECT_TWICE]),
        (TraceBuilder().offered(0.0).said(20.0, "TASK_DROPPED").offered(200.0, "g", "c.1"), []),
        (TraceBuilder().offered(0.0).offered(501.0, "g", "c.1"), []),
        (TraceBuilder().offered(0.0).add(100.0, "down", who="h").offered(200.0, "g", "c.1"), []),
        (TraceBuilder().offered(0.0).add(100.0, "down", who="x").offered(200.0, "g", "c.1"), [NO_EFFECT_TWICE]),
        (TraceBuilder().add(0.0, "lag", left=200.0).offered(0.0).offered(200.0, "g", "c.1"), []),  # the host may have read the first late
        (TraceBuilder().add(0.0, "lag", left=60.0).offered(0.0).offered(200.0, "g", "c.1"), [NO_EFFECT_TWICE]),
        # idempotency keys: within the deduplication window and scope
        (TraceBuilder().offered(0.0, effect="keyed", cls="k").offered(2_000.0, "g", "c.1", effect="keyed", cls="k"), []),
        (TraceBuilder().offered(0.0, effect="keyed", cls="k").offered(3_500.0, "g", "c.1", effect="keyed", cls="k"), [NO_EFFECT_TWICE]),
        (
            TraceBuilder().offered(0.0, effect="keyed", cls="z", zone="x")
            .offered(2_000.0, "g", "c.1", effect="keyed", cls="z", zone="x"), [],
        ),
        (
            TraceBuilder().offered(0.0, effect="keyed", cls="z", zone="x")
            .offered(2_000.0, "g", "c.1", effect="keyed", cls="z", zone="y"), [NO_EFFECT_TWICE],
        ),
        (
            TraceBuilder().offered(0.0, effect="keyed", cls="z", zone="x").said(9.0, "TASK_DROPPED")
            .offered(2_000.0, "g", "c.1", effect="keyed", cls="z", zone="y"), [],
        ),
    ],
)  # fmt: skip
def test_no_effect_twice(builder, rules):
    assert [rule for rule, _ in builder.violations()] == rules


def with_told(builder, at, state, allocator="a"):
    return builder.add(at, "told", who="h", allocator=allocator, state=state)


@pytest.mark.parametrize(
    ("builder", "rules"),
    [
        (with_told(TraceBuilder(), 0.0, "draining").offered(1_100.0), []),
        (with_told(TraceBuilder(), 0.0, "draining").offered(1_200.0), ["drains kept"]),
        (with_told(TraceBuilder(), 0.0, "gone").offered(1_200.0), ["drains kept"]),
        (with_told(with_told(TraceBuilder(), 0.0, "draining"), 1_100.0, "draining").offered(1_200.0), ["drains kept"]),
        (with_told(with_told(TraceBuilder(), 0.0, "draining"), 1_100.0, "serving").offered(1_200.0), []),
        (with_told(TraceBuilder(), 0.0, "draining", "b").offered(1_200.0), []),
        (with_told(TraceBuilder(), 0.0, "draining").offered(1_200.0, since=900.0), []),
        (
            with_told(TraceBuilder().add(-1.0, "allocator", allocator="a", state="stalled"), 0.0, "draining")
            .add(900.0, "allocator", allocator="a", state="resumed").offered(1_200.0), [],
        ),
    ],
)  # fmt: skip
def test_drains_kept(builder, rules):
    assert [rule for rule, _ in builder.violations()] == rules


def offers_to_cold_host(*times, is_cold=True):
    builder = TraceBuilder().add(0.0, "up", who="h", cold=is_cold)
    for number, at in enumerate(times):
        builder.offered(at, attempt=f"c{number}.0", task=f"f/{number}")
    return builder


@pytest.mark.parametrize(
    ("builder", "rules"),
    [
        (offers_to_cold_host(10.0, 20.0, 1_011.0), []),
        (offers_to_cold_host(10.0, 20.0, 30.0), ["cold machines spared"]),
        (offers_to_cold_host(10.0, 20.0, 30.0, is_cold=False), []),
        (offers_to_cold_host(10_001.0, 10_002.0, 10_003.0), []),
        (offers_to_cold_host().add(50.0, "down", who="h", text="fell over"), ["cold machines spared"]),
        (offers_to_cold_host().add(50.0, "down", who="h", text="crash"), []),
    ],
)
def test_cold_machines_spared(builder, rules):
    assert [rule for rule, _ in builder.violations()] == rules


def two_tasks_of_a_service(add_entries_between, zone="x", service="v", allocator="a", since=0.0):
    builder = TraceBuilder().offered(0.0, attempt="c.0", task="f/1", cls="s", service="v", zone="x")
    add_entries_between(builder)
    builder.add(
        2_000.0, "offered", who="g", allocator=allocator, attempt="d.0", task="f/2", cls="s", effect="safe",
        service=service, zone=zone, within=500.0, since=since,
    )  # fmt: skip
    return builder


@pytest.mark.parametrize(
    ("builder", "rules"),
    [
        (two_tasks_of_a_service(lambda trace: trace.said(9.0, "TASK_STARTING")), ["spread kept"]),
        (two_tasks_of_a_service(lambda trace: trace.said(9.0, "TASK_STARTING"), zone="y"), []),
        (two_tasks_of_a_service(lambda trace: trace.said(9.0, "TASK_STARTING"), service="w"), []),
        (two_tasks_of_a_service(lambda trace: trace.said(9.0, "TASK_STARTING"), allocator="b"), []),
        (
            two_tasks_of_a_service(
                lambda trace: trace.said(9.0, "TASK_STARTING").said(900.0, "TASK_FINISHED")
            ),
            [],
        ),
        (two_tasks_of_a_service(lambda trace: trace.said(9.0, "TASK_DROPPED")), []),
        (two_tasks_of_a_service(lambda trace: trace.said(9.0, "TASK_STARTING"), since=1_000.0), []),
        (two_tasks_of_a_service(lambda trace: trace), []),  # its time to answer had passed
        (
            two_tasks_of_a_service(lambda trace: trace.said(9.0, "TASK_STARTING").add(99.0, "down", who="h")),
            [],
        ),
    ],
)
def test_spread_kept(builder, rules):
    assert [rule for rule, _ in builder.violations()] == rules


def with_wire_fault(builder, peer, begin, end, allocator="a", reason="holds", left=0.0):
    for at, state in ((begin, "begins"), (end, "ends")):
        builder.add(at, "wire", who=peer, allocator=allocator, state=state, reason=reason, left=left)
    return builder


@pytest.mark.parametrize(
    ("builder", "rules"),
    [
        (with_wire_fault(with_told(TraceBuilder(), 0.0, "draining"), "list", -1.0, 900.0).offered(1_900.0), []),
        (with_wire_fault(with_told(TraceBuilder(), 0.0, "draining"), "list", -1.0, 900.0).offered(2_200.0), ["drains kept"]),
        (with_wire_fault(with_told(TraceBuilder(), 0.0, "draining"), "agents", -1.0, 900.0).offered(1_200.0), ["drains kept"]),
        (with_wire_fault(with_told(TraceBuilder(), 0.0, "draining"), "list", -1.0, 900.0, "b").offered(1_200.0), ["drains kept"]),
        (with_wire_fault(with_told(TraceBuilder(), 0.0, "draining").offered(1_200.0), "agents", 1_000.0, 1_150.0), []),
        (with_wire_fault(TraceBuilder().asked(0.0), "owners", 100.0, 300.0), []),
        (with_wire_fault(TraceBuilder().asked(0.0), "owners", 100.0, 300.0, reason="turns away"), ["no task lost"]),
        (with_wire_fault(TraceBuilder().asked(0.0), "list", 100.0, 300.0), ["no task lost"]),
        (with_wire_fault(TraceBuilder().asked(0.0), "owners", 8_500.0, 8_600.0), ["no task lost"]),
        (TraceBuilder().asked(0.0).answer(8_040.0, "TASK_DROPPED").add(8_050.0, "lag", left=80.0), []),
        (TraceBuilder().asked(0.0).answer(8_120.0, "TASK_DROPPED").add(8_050.0, "lag", left=80.0), []),
        (TraceBuilder().asked(0.0).answer(8_170.0, "TASK_DROPPED").add(8_050.0, "lag", left=80.0), ["no task lost"]),
        (TraceBuilder().asked(0.0).answer(8_040.0, "TASK_DROPPED").add(8_050.0, "lag", left=20.0), ["no task lost"]),
        # An acceptance that arrives after the attempt timed out counts only from its arrival.
        (with_wire_fault(two_tasks_of_a_service(lambda trace: trace.said(9.0, "TASK_STARTING")), "agents", 5.0, 2_500.0), []),
        (with_wire_fault(two_tasks_of_a_service(lambda trace: trace.said(9.0, "TASK_STARTING")), "agents", 5.0, 1_500.0), ["spread kept"]),
    ],
)  # fmt: skip
def test_delays_by_a_wire_fault_or_a_stall_are_excused(builder, rules):
    assert [rule for rule, _ in builder.violations()] == rules


def test_a_violation_names_its_trace_lines():
    ((rule, lines),) = TraceBuilder().asked(0.0).answer(5.0, "TASK_DROPPED").offered(300.0).violations()
    assert (rule, lines) == (NO_TASK_LOST, (1, 3))


def test_a_written_trace_is_read_back(tmp_path):
    recorder = TraceRecorder(lambda: 1.5)
    recorder.add("asked", who="o", task="f/t", left=5.0)
    recorder.add("answer", who="o", task="f/t", state="TASK_STARTING")
    write_trace(tmp_path / "r", recorder.entries)
    assert list(read_trace(tmp_path / "r")) == recorder.entries
    (tmp_path / "r").write_text('{"at":1,"kind":"x"}\n{"at":"soon"}\n')
    with pytest.raises(TraceError, match="r:2: Expected `float`"):
        list(read_trace(tmp_path / "r"))


def test_the_summary_counts_each_request_once():
    summary = report.summarize(
        finished_task().asked(2_000.0, cls="c").answer(2_001.0, "TASK_LOST", retry="reconcile")
        .asked(3_000.0, cls="c").answer(3_001.0, "TASK_DROPPED", retry="harmless").asked(4_000.0, cls="c").entries
    )  # fmt: skip
    assert summary.outcomes_by_class[""] == {"placed": 1}
    assert summary.outcomes_by_class["c"] == {"failed": 1, "refused": 1, "unanswered": 1}
    assert summary.placement_ms("", 50.0) == pytest.approx(10.0, rel=0.01)

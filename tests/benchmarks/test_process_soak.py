"""The soak in short, on real processes; the long run is `python -m benchmarks.process_soak`. And its verdict."""

from random import Random

import pytest

from benchmarks.process_soak.hosts import RunningTask, Silence, SoakHost
from benchmarks.process_soak.owners import HandOver, Request
from benchmarks.process_soak.play import PlayOptions, play
from benchmarks.process_soak.verdict import Record, Restart, find_violations
from glencleat.event_loop import Loop
from glencleat.platform_protocol import messages as m

SHORT_MS = 15_000.0
END_MS = 60_000.0


@pytest.mark.parametrize("seed", [3, 5])  # with and without a crowd
def test_a_short_soak_breaks_no_rule(tmp_path, seed):
    result = play(PlayOptions(seed, SHORT_MS), tmp_path)
    assert result.violations == [], result.summary


def request(**more):
    return Request(1, 0, is_unsafe=False, wait_ms=1_000.0, sent_at_ms=0.0, **more)


def placed(**more):
    return request(answers=[(10.0, m.ANSWER)], placed_on="h0", **more)


def task(**more):
    return RunningTask(1, "h0", 5.0, **more)


def silent_task(until_ms, **more):
    return task(silences=[Silence(50.0, until_ms)], **more)


# What was observed; the violation that it shows, "" for none.
@pytest.mark.parametrize(
    ("requests", "tasks", "restarts", "violation"),
    [
        ([placed()], [task()], [], ""),
        ([request()], [], [], "no answer"),
        ([request(answers=[(1_551.0, m.FAILED)])], [], [], "too late"),
        ([request(answers=[(1_549.0, m.FAILED)])], [], [], ""),
        ([request(answers=[(10.0, m.FAILED), (20.0, m.FAILED)])], [], [], "2 answers"),
        ([request(closed_at_ms=51.0)], [], [], "closed without an answer"),
        ([request(closed_at_ms=49.0)], [], [], ""),
        ([request(closed_at_ms=900.0)], [], [Restart(-701.0, 900.0)], ""),
        ([request(closed_at_ms=900.0)], [], [Restart(-699.0, 900.0)], "closed without an answer"),
        ([request(closed_at_ms=901.0)], [], [Restart(900.0, 900.0)], ""),  # killed without notice
        ([request(closed_at_ms=899.0)], [], [Restart(900.0, 900.0)], "closed without an answer"),
        ([placed()], [], [], "no host has accepted it"),
        ([placed()], [task(ended_at_ms=100.0, has_process_ended=True)], [], "never released"),
        ([placed(releases_at_ms=[8_149.0])], [task(ended_at_ms=100.0)], [], ""),
        ([placed(releases_at_ms=[8_151.0])], [task(ended_at_ms=100.0)], [], "1 ms late"),
        ([placed(releases_at_ms=[100.0])], [task()], [], "while it ran"),
        ([placed(releases_at_ms=[100.0])], [task(ended_at_ms=1_150.0, is_cut=True)], [], ""),
        ([placed(releases_at_ms=[100.0])], [task(ended_at_ms=1_151.0, is_cut=True)], [], "while it ran"),
        ([placed(releases_at_ms=[100.0])], [task(ended_at_ms=101.0)], [], "while it ran"),
        # Its process was silent then, and is cut off from what is sent until it is heard.
        ([placed(releases_at_ms=[100.0])], [silent_task(2_000.0, ended_at_ms=3_050.0, is_cut=True)], [], ""),
        (
            [placed(releases_at_ms=[100.0])],
            [silent_task(2_000.0, ended_at_ms=3_051.0, is_cut=True)],
            [],
            "while it ran",
        ),
        ([placed(releases_at_ms=[100.0])], [silent_task(2_000.0)], [], "while it ran"),
        ([placed(releases_at_ms=[100.0])], [silent_task(END_MS)], [], ""),
        # Just before the end of the observation, by a host that is heard.
        ([placed(releases_at_ms=[END_MS - 500.0])], [task()], [], "while it ran"),
        ([placed(releases_at_ms=[END_MS - 500.0])], [silent_task(60.0)], [], "while it ran"),
        ([placed(releases_at_ms=[100.0])], [silent_task(2_000.0, ended_at_ms=2_000.0)], [], ""),
        ([placed(releases_at_ms=[100.0])], [silent_task(99.0, ended_at_ms=101.0)], [], "while it ran"),
        ([placed(releases_at_ms=[8_149.0])], [task(ended_at_ms=100.0, untold_until_ms=7_000.0)], [], ""),
        (
            [placed(releases_at_ms=[9_051.0])],
            [task(ended_at_ms=100.0, untold_until_ms=8_000.0)],
            [],
            "1 ms late",
        ),
        (
            [placed(releases_at_ms=[9_000.0])],
            [task(ended_at_ms=9_001.0, is_cut=True, noted_at_ms={0: 4_001.0})],
            [],
            "while its host reported on it",
        ),
        (
            [placed(releases_at_ms=[9_000.0])],
            [task(ended_at_ms=9_001.0, is_cut=True, noted_at_ms={0: 3_999.0})],
            [],
            "",
        ),
        (
            [placed(releases_at_ms=[1_151.0])],
            [task(ended_at_ms=90.0, delivered_at_ms={0: [100.0]})],
            [],
            "1 ms late",
        ),
        ([placed(releases_at_ms=[1_149.0])], [task(ended_at_ms=90.0, delivered_at_ms={0: [100.0]})], [], ""),
        # Another allocator's connection has it, and the holder's does not.
        ([placed(releases_at_ms=[8_000.0])], [task(ended_at_ms=90.0, delivered_at_ms={1: [100.0]})], [], ""),
        ([placed(releases_at_ms=[200.0, 300.0])], [task(ended_at_ms=100.0)], [], "released 2 times"),
        ([placed()], [task(ended_at_ms=100.0, is_cut=True)], [], "never released"),
        ([placed()], [task(ended_at_ms=100.0)], [Restart(50.0, 3_750.0)], ""),
        (
            [placed(hand_overs=[HandOver(0, 5_000.0)])],
            [task(ended_at_ms=100.0)],
            [Restart(50.0, 3_750.0)],
            "never released",
        ),
        # Its host held nothing any more when its owner named it to another allocator.
        (
            [placed(hand_overs=[HandOver(1, 5_000.0)], releases_at_ms=[13_251.0])],
            [task(ended_at_ms=100.0)],
            [Restart(50.0, 3_750.0)],
            "1 ms late",
        ),
        (
            [placed(hand_overs=[HandOver(1, 5_000.0)], releases_at_ms=[13_249.0])],
            [task(ended_at_ms=100.0)],
            [Restart(50.0, 3_750.0)],
            "",
        ),
        # It was placed during the shutdown.
        (
            [placed(hand_overs=[HandOver(1, 5_000.0)], releases_at_ms=[13_249.0])],
            [task(ended_at_ms=100.0)],
            [Restart(5.0, 3_705.0)],
            "",
        ),
        (
            [placed(hand_overs=[HandOver(1, 5_000.0)], releases_at_ms=[7_551.0])],
            [task(ended_at_ms=6_000.0, delivered_at_ms={1: [6_500.0]})],
            [Restart(50.0, 3_750.0)],
            "1 ms late",
        ),
    ],
)
def test_the_verdict_of_the_soak(requests, tasks, restarts, violation):
    found = find_violations(Record(requests, tasks, {0: restarts}, END_MS))
    assert (len(found) == 1 and violation in found[0]) if violation else found == []


def test_an_unsafe_task_that_took_effect_twice_is_a_violation():
    unsafe = Request(1, 0, is_unsafe=True, wait_ms=1_000.0, sent_at_ms=0.0, answers=[(10.0, m.FAILED)])
    (violation,) = find_violations(Record([unsafe], [task(), task()], {}, END_MS))
    assert "took effect 2 times" in violation


def test_the_end_of_a_task_that_a_host_has_accepted_twice_leaves_the_second():
    """Guards against a play that stops: a set-up is sent again to a host that was silent."""
    tasks = [task(), task()]
    host = SoakHost(Loop(), "h0", Random(1), tasks, lambda task_id: 0, 1)
    host.process.tasks_by_id[1], host.process.streams_by_task_id[1] = tasks[1], None
    for ended in tasks:
        assert host.process.tasks_by_id == {1: tasks[1]}
        host._end(host.process, ended)
    assert host.process.tasks_by_id == {}
    host.close()

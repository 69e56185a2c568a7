"""The soak in short, on real processes; the long run is `python -m benchmarks.process_soak`. And its verdict."""

import pytest

from benchmarks.process_soak.hosts import RunningTask
from benchmarks.process_soak.owners import Request
from benchmarks.process_soak.play import PlayOptions, play
from benchmarks.process_soak.verdict import Record, Restart, find_violations
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
        ([placed()], [], [], "no host has accepted it"),
        ([placed()], [task(ended_at_ms=100.0, has_process_ended=True)], [], "never released"),
        ([placed(releases_at_ms=[8_149.0])], [task(ended_at_ms=100.0)], [], ""),
        ([placed(releases_at_ms=[8_151.0])], [task(ended_at_ms=100.0)], [], "1 ms late"),
        ([placed(releases_at_ms=[100.0])], [task()], [], "while it ran"),
        ([placed(releases_at_ms=[200.0, 300.0])], [task(ended_at_ms=100.0)], [], "released 2 times"),
        ([placed()], [task(ended_at_ms=100.0, is_cut=True)], [], ""),
        ([placed()], [task(ended_at_ms=100.0)], [Restart(50.0, 3_750.0)], ""),
        (
            [placed(handed_over_at_ms=[5_000.0])],
            [task(ended_at_ms=100.0)],
            [Restart(50.0, 3_750.0)],
            "never released",
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

"""The stand-in machine: that it really is as bad as a play needs it to be."""

from random import Random

import pytest

from glencleat.emulators.machine import EmulatedMachine, MachineProfile, TaskOffer
from tests.support.core_world import Timing

NATURE = MachineProfile(
    decide_ms=10.0,
    start_ms=40.0,
    missing_program_factor=5.0,
    max_queued_offers=3,
    warm_up_ms=1_000.0,
    cold_speed_factor=0.2,
    max_cold_offers=2.0,
)


class Bench:
    def __init__(self, **size):
        self.timing, self.said, self.started, self.falls = Timing(), [], [], 0
        told = {"cores": 4.0, "memory": 1_000.0} | size
        self.machine = EmulatedMachine(
            self.timing, Random(1), "h", "std", told["cores"], told["memory"], NATURE,
            lambda allocator, task, state, reason, cause: self.said.append((task, state, reason or cause)),
            lambda held: self.started.append((held.id, self.timing.at)), self.fell,
        )  # fmt: skip
        self.machine.start(cold=False)

    def fell(self):
        self.falls += 1

    def offer(
        self, task, cores=1.0, memory=100.0, key="", effect="safe", priority=0, within=1_000.0, life=500.0
    ):
        self.machine.receive_offer(
            TaskOffer(
                task, "a0", "svc", key or task, effect, priority, cores, memory, life, self.timing.at, within
            )
        )

    def says(self, task):
        return [(state, why) for name, state, why in self.said if name == task]


def test_a_tasks_life():
    bench = Bench()
    bench.offer("t")
    bench.timing.advance(9.0)
    assert bench.said == []
    bench.timing.advance(1.0)
    assert bench.says("t") == [("TASK_STARTING", None)]
    bench.timing.advance(199.0)
    assert not bench.started  # the program is not there: five times the work
    bench.timing.advance(1.0)
    bench.timing.advance(500.0)
    assert [state for state, _ in bench.says("t")] == ["TASK_STARTING", "TASK_RUNNING", "TASK_FINISHED"]
    bench.offer("u")
    bench.timing.advance(50.0)
    assert bench.started[-1][0] == "u"  # kept: started in a fifth of the time


@pytest.mark.parametrize(
    ("more", "cause"),
    [({"cores": 9.0}, "cores"), ({"memory": 1_600.0}, "memory"), ({"within": 5.0}, "not here")],
)
def test_refusals_name_their_cause(more, cause):
    bench = Bench()
    bench.offer("t", **more)
    bench.timing.advance(20.0)
    assert bench.says("t") == [("TASK_DROPPED", cause)]


def test_a_copy_a_full_line_a_drain_and_a_false_no():
    bench = Bench()
    for i in range(6):
        bench.offer(f"t{i}", key="k", effect="keyed")
    bench.timing.advance(100.0)
    assert bench.says("t0") == [("TASK_STARTING", None)] and bench.says("t1") == [
        ("TASK_DROPPED", "not here")
    ]
    assert bench.says("t5") == [("TASK_DROPPED", "line")]
    bench.machine.faults.is_falsely_full = True
    bench.offer("u")
    bench.timing.advance(20.0)
    assert bench.says("u") == [("TASK_DROPPED", "cores")]
    bench.machine.faults.is_falsely_full = False
    bench.machine.drain()
    bench.offer("v")
    bench.timing.advance(20.0)
    assert bench.says("v") == [("TASK_DROPPED", "not here")]
    bench.machine.finish_drain()
    assert bench.says("t0")[-1] == ("TASK_KILLED", "REASON_AGENT_DRAINING")


def test_memory_that_runs_out_evicts_the_lowest_priority():
    bench = Bench()
    bench.offer("low", memory=700.0, priority=0, life=9_000.0)
    bench.offer("high", memory=700.0, priority=1, life=9_000.0)
    bench.timing.advance(300.0)
    for held in bench.machine.tasks_by_id.values():
        held.usage = (0.5, 700.0)
    bench.machine.evict_for_memory()
    assert bench.says("low")[-1] == ("TASK_FAILED", "REASON_CONTAINER_LIMITATION_MEMORY")
    assert bench.says("high")[-1][0] == "TASK_RUNNING"


def test_a_cold_machine_starts_slowly_and_falls_over_when_pushed():
    bench = Bench()
    bench.machine.start(cold=True)
    assert bench.machine.speed_factor() == pytest.approx(0.2)
    for i in range(2):
        bench.offer(f"t{i}")
    assert bench.falls == 0
    bench.offer("t2")
    assert bench.falls == 1
    bench.timing.advance(1_000.0)
    assert bench.machine.speed_factor() == 1.0


def test_a_machine_that_stops_says_nothing_more():
    bench = Bench()
    bench.offer("t")
    bench.timing.advance(20.0)
    bench.machine.stop()
    bench.timing.advance(5_000.0)
    assert bench.says("t") == [("TASK_STARTING", None)] and not bench.started

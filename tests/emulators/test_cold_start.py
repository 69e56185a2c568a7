"""Several processes of the program with faults between them and the list service, judged from the relay's record."""

import subprocess
import sys
from bisect import bisect_left
from pathlib import Path
from random import Random

import pytest

from glencleat.checker import slow_start_bounds
from glencleat.checker.chance_bounds import BoundState, chance_limit_in_window, poisson_tail
from glencleat.checker.polling_bounds import judge_outage, judge_trace
from glencleat.checker.trace import TraceEntry, read_trace
from glencleat.emulators.allocator_processes import MAX_PROCESSES, AllocatorProcesses, ProcessError
from glencleat.emulators.channel import ChannelService, make_list_entry
from glencleat.emulators.proxy import Proxy, ProxyEvent
from glencleat.emulators.proxy_faults import AcceptMode, FaultSchedule, ProxyFault
from glencleat.emulators.proxy_faults import ProxyState as Wire
from glencleat.event_loop import Loop
from glencleat.flow_control.backoff import MACHINE_LIST_BACKOFF, Backoff
from tests.support.socket_world import run_until

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
COUNT, CROWD, DOWN_MS = 16, 60, 6_000.0


def made(step, count=CROWD):
    """A record of so many allocators that wait `step(asking, i)` after each try; back at their next one."""
    found = []
    for i in range(count):
        asking, at = Backoff(MACHINE_LIST_BACKOFF, Random(i)), 0.0
        while at < DOWN_MS:
            at += step(asking, i)
            kind = "refused" if at < DOWN_MS else "opened"
            found.append(ProxyEvent(at, f"a{i}", kind, len(found) + 1))
    return found


def states(record, count=CROWD, well=DOWN_MS):
    return {verdict.bound: verdict.state for verdict in judge_outage(record, count, 0.0, well)}


def test_the_judge_tells_good_asking_from_bad():
    assert set(states(made(lambda asking, i: asking.next_delay_ms())).values()) == {BoundState.KEPT}
    fixed = states(made(lambda asking, i: 100.0))
    assert fixed["rate"] is BoundState.BROKEN and fixed["busiest"] is BoundState.BROKEN
    in_step = states(made(lambda asking, i: 1_500.0))
    assert in_step["rate"] is BoundState.KEPT and in_step["busiest"] is BoundState.BROKEN
    late = states(made(lambda asking, i: 11_000.0 if i == 3 else asking.next_delay_ms()))
    assert late["back"] is BoundState.BROKEN


def test_a_bound_that_was_never_in_danger_is_not_tried():
    assert states([ProxyEvent(DOWN_MS + 5.0, "list", "opened", 1)]) == dict.fromkeys(
        ("rate", "busiest", "back", "alike"), BoundState.NOT_TRIED
    )
    short = states(made(lambda asking, i: asking.next_delay_ms())[:3], well=4_000.0)
    assert short["rate"] is BoundState.NOT_TRIED and short["busiest"] is BoundState.NOT_TRIED


@pytest.mark.parametrize("count", [12, 16, 24, 40])
def test_in_step_is_broken_however_few_there_are(count):
    """24 without jitter, 23 of them in one 100 ms, were called not tried: more than a quarter meet by chance."""
    assert states(made(lambda asking, i: 1_500.0, count), count)["busiest"] is BoundState.BROKEN
    assert states(made(lambda asking, i: asking.next_delay_ms(), count), count)["busiest"] is BoundState.KEPT


def test_waits_that_are_not_drawn_are_told_also_of_those_that_start_apart():
    """On a loaded machine 24 without jitter came up over two seconds, and were in step with nobody."""
    grows = (600.0, 1_200.0, 2_000.0)

    def apart(asking, i):
        first = asking.retry_count == 0
        asking.next_delay_ms()
        return (
            83.0 * i
            if first
            else grows[min(asking.retry_count - 2, 2)] + 20.0 * Random(asking.retry_count).random()
        )

    told = states(made(apart, 24), 24)
    assert told["busiest"] is BoundState.KEPT and told["alike"] is BoundState.BROKEN
    for seed in range(20):
        record = made(
            lambda asking, i: (
                40.0 * i if asking.retry_count == 0 and asking.next_delay_ms() else asking.next_delay_ms()
            ),
            24 + seed,
        )
        assert states(record, 24 + seed)["alike"] is BoundState.KEPT


def test_chance_is_what_independent_tries_do():
    """Against counting: a thousand seconds of tries at random instants, in windows of 0.1 s."""
    random, mean = Random(5), 1.56
    counts = [sum(random.random() < mean / 400 for _ in range(400)) for _ in range(5_000)]
    for least in (1, 3, 5):
        seen = sum(count >= least for count in counts) / len(counts)
        assert abs(seen - poisson_tail(least, mean)) < 0.02
    limit = chance_limit_in_window(110, mean)
    assert 110 * poisson_tail(limit - 1, mean) < 1e-6 <= 110 * poisson_tail(limit - 2, mean)


HELD, HOSTS = 8, 12


def start(sends, count=24, late=0.0):
    """The list is back at 6 s for `count` allocators, each with HELD tasks in hand, which it sends as `sends`.

    `sends(i)`: milliseconds after, of each LAUNCH; each is placed 20 ms later; `late`: one allocator was away."""
    entries = [TraceEntry(0.0, "up", who=f"h{i}") for i in range(HOSTS)]
    for i in range(count):
        name = f"a{i}"
        entries += [TraceEntry(0.0, "allocator", allocator=name, state="up"),
                    TraceEntry(1.0, "wire", who="list", allocator=name, state="begins", reason="turns away"),
                    TraceEntry(DOWN_MS, "wire", who="list", allocator=name, state="ends", reason="turns away")]  # fmt: skip
        for number in range(HELD):
            task, attempt = f"{name}/t{number}", f"{name}-1-{number}.0"
            entries.append(TraceEntry(4_000.0, "asked", allocator=name, task=task, left=8_000.0))
            at = DOWN_MS + 10.0 + sends(number)
            told = {"allocator": name, "task": task, "attempt": attempt, "who": "h1", "within": 1_000.0}
            entries += [
                TraceEntry(at, "offered", **told),
                TraceEntry(at + 20.0, "said", attempt=attempt, state="TASK_STARTING"),
            ]
    if late:
        entries += [TraceEntry(DOWN_MS + 1.0, "allocator", allocator="a0", state="killed")]
    ordered = sorted(entries, key=lambda entry: entry.at)
    return slow_start_bounds.judge_trace(ordered)[0]


def test_the_judge_tells_slow_start_from_all_at_once():
    assert start(lambda n: 25.0 * n).state is BoundState.KEPT  # one a turn
    grows = [0.0, 25.0, 25.0, 50.0, 50.0, 50.0, 50.0, 75.0]
    assert start(grows.__getitem__).state is BoundState.KEPT
    assert start(lambda n: 0.0).state is BoundState.BROKEN  # a window that never binds
    assert start(lambda n: 5.0 * n).state is BoundState.BROKEN  # spread over time, and no answer waited for
    assert start(lambda n: 0.0, count=8).state is BoundState.NOT_TRIED  # no crowd
    assert start(lambda n: 0.0, late=1.0).state is BoundState.BROKEN  # the others are judged all the same


def test_a_play_is_judged_only_while_all_were_turned_away():
    """From wires of their own, by the record's own times; one that was let in all along is no crowd."""

    def record(names, step):
        entries = [TraceEntry(0.0, "allocator", allocator=f"a{i}") for i in range(CROWD)]
        for at, state in ((0.0, "begins"), (DOWN_MS, "ends")):
            told = {"state": state, "reason": "turns away"}
            entries += [TraceEntry(at, "wire", who="list", allocator=name, **told) for name in names]
        for i, passed in enumerate(made(step)):
            name = (
                f"a{i % CROWD}"
                if passed.kind == "refused"
                else f"a{sum(e.state == 'opened' for e in entries)}"
            )
            entries.append(
                TraceEntry(passed.at_ms, "passed", who="list", allocator=name, state=passed.kind, number=i)
            )
        return judge_trace(sorted(entries, key=lambda entry: entry.at))

    everybody = [f"a{i}" for i in range(CROWD)]
    asked = record(everybody, lambda asking, i: asking.next_delay_ms())
    assert [verdict.state for verdict in asked] == [BoundState.KEPT] * 4
    assert record(everybody, lambda asking, i: 100.0)[0].state is BoundState.BROKEN
    assert record(everybody[1:], lambda asking, i: 100.0) == []


@pytest.mark.parametrize(
    ("stopped", "resumed", "state"),
    [(1.0, 2_000.0, BoundState.BROKEN), (1.0, DOWN_MS + 500.0, BoundState.KEPT), (DOWN_MS + 1.0, DOWN_MS + 2.0, BoundState.KEPT),
     (DOWN_MS + 9_000.0, DOWN_MS + 9_500.0, BoundState.BROKEN)],
)  # fmt: skip
def test_one_that_stood_still_need_not_be_back(stopped, resumed, state):
    entries = [TraceEntry(0.0, "allocator", allocator=f"a{i}", state="up") for i in range(CROWD)]
    entries += [TraceEntry(stopped, "allocator", allocator="a0", state="stalled"),
                TraceEntry(resumed, "allocator", allocator="a0", state="resumed")]  # fmt: skip
    for i in range(CROWD):
        entries += [TraceEntry(0.5, "wire", who="list", allocator=f"a{i}", state="begins", reason="turns away"),
                    TraceEntry(9.0, "passed", who="list", allocator=f"a{i}", state="refused", number=1),
                    TraceEntry(DOWN_MS, "wire", who="list", allocator=f"a{i}", state="ends", reason="turns away")]  # fmt: skip
        if i:
            entries.append(
                TraceEntry(DOWN_MS + 50.0, "passed", who="list", allocator=f"a{i}", state="opened", number=2)
            )
    entries.append(
        TraceEntry(DOWN_MS + 9_000.0, "passed", who="list", allocator="a0", state="opened", number=2)
    )
    assert judge_trace(sorted(entries, key=lambda entry: entry.at))[2].state is state


def test_a_play_with_faults_on_its_wires(tmp_path):
    """Twelve processes start at one instant, their directory turns all away, a wire holds, another resets."""
    (tmp_path / "campus-short.conf").write_text((EXAMPLES / "campus-short.conf").read_text())
    script = tmp_path / "wires.conf"
    script.write_text(
        "campus campus-short.conf\nplay seed 4 length 11s settle 6500ms\nallocators count 12\n"
        "hosts count 6 halls hall-a,hall-b\nowners count 12 rate 12\n"
        "want pull-front share 100% cores 0.5 memory 512MB life-from 500ms life-to 1s services 8\n"
        "at 100ms wire list door closes for 8s\nat 200ms kill all for 100ms\n"
        "at 3s wire agents cut back for 500ms of a1\nat 7500ms reset owners of a2\nat 4s stall 10% for 1s\n"
        "at 14s reset owners of a2\n"  # on a busy machine a2 is not back by the first one
        "at 5500ms wire owners delay 5ms spread 5ms for 500ms of a2\nat 9500ms half-open list of a3\n"
    )
    words = [sys.executable, "-m", "glencleat", "play", str(script), "--folder", str(tmp_path)]
    told = subprocess.run(words, capture_output=True, text=True, timeout=90)
    assert told.returncode == 0, told.stdout + told.stderr
    entries = list(read_trace(tmp_path / "record.jsonl"))
    rate, busiest, back, _ = (verdict.state for verdict in judge_trace(entries))
    assert BoundState.BROKEN not in (rate, busiest) and back is BoundState.KEPT
    wires = {(e.who, e.allocator) for e in entries if e.kind == "passed"}
    assert wires == {("agents", "a1"), ("owners", "a2"), *(("list", f"a{i}") for i in range(12))}
    assert any(e.kind == "passed" and e.who == "owners" and e.state == "reset" for e in entries)
    assert (
        sum(e.size for e in entries if e.state == "bytes" and e.who == "list" and e.text == "back") > 12 * 500
    )
    assert sum(e.kind == "answer" and e.state == "TASK_STARTING" for e in entries) > 30


class Rig:
    """A list service behind a relay, processes that are told of the relay only."""

    def __init__(self, folder, faults):
        self.loop, self.record = Loop(), []
        self.service = ChannelService(self.loop, [make_list_entry(f"h{i}") for i in range(20)])
        self.faults = FaultSchedule(Wire(), faults)
        self.relay = Proxy(self.loop, "list", self.service.address, self.faults, 1, self.record.append)
        self.nodes = AllocatorProcesses(folder, COUNT, seed=7)

    def until(self, done, ms):
        run_until(self.loop, done, ms, lambda: [self.nodes.log_path(i).read_text()[-400:] for i in range(2)])

    def close(self):
        self.relay.close()
        self.service.close()


@pytest.fixture
def rig(tmp_path):
    door = ProxyFault(0.0, float("inf"), {"door": AcceptMode.REFUSE})
    found = Rig(tmp_path, [door])
    with found.nodes:
        yield found
        children = list(found.nodes.processes_by_number.values())
    found.close()
    assert all(child.poll() is not None for child in children)  # nothing that was started is left


def test_a_crowd_that_starts_at_once_spares_a_service_that_turns_it_away(rig):
    """60 came back 9.8 times a second each; and one is killed, one stands still in the middle of it."""
    for i in range(COUNT):
        rig.nodes.configure(i, rig.relay.address, rig.service.take_snapshot())
    for i in range(COUNT):
        rig.nodes.start(i)
    rig.until(lambda: all(rig.nodes.listen_address(i) for i in range(COUNT)), 30_000.0)
    began = rig.relay.now()
    rig.until(lambda: rig.relay.now() > began + 1_000.0, 5_000.0)
    rig.nodes.stall(3)
    rig.nodes.kill(5)
    rig.until(lambda: rig.relay.now() > began + 3_000.0, 5_000.0)
    rig.nodes.resume(3)
    rig.nodes.start(5)
    rig.until(lambda: rig.relay.now() > began + DOWN_MS, 10_000.0)
    well = rig.relay.now()
    rig.faults.faults.clear()
    rig.until(lambda: len(rig.service.streams) == COUNT, 4_500.0)
    rig.record.append(ProxyEvent(rig.relay.now(), "list", "piece"))
    verdicts = judge_outage(rig.record, COUNT, began, well)
    assert [v.state for v in verdicts] == [BoundState.KEPT] * 3 + [BoundState.NOT_TRIED], (
        verdicts
    )  # one relay
    tries = sorted(one.at_ms for one in rig.record if one.kind == "refused" and one.at_ms > began + 500.0)
    assert max(bisect_left(tries, at + 100.0) - i for i, at in enumerate(tries)) < COUNT / 2  # not in step
    assert rig.service.full_list_count == 0 and {number for _, number in rig.service.requests} == {
        1
    }  # known lists are not sent
    assert all(rig.nodes.resident_mb(i) < 30.0 for i in range(COUNT))


def test_processes_that_the_machine_cannot_hold_are_refused(tmp_path):
    with pytest.raises(ProcessError, match="at most"):
        AllocatorProcesses(tmp_path, MAX_PROCESSES + 1, seed=1)

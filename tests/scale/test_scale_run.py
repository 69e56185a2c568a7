"""The scale tests' own parts: sizes that can't be used, an interrupt, hollow hosts, owners and allocators on sockets."""

import signal
import subprocess
import sys
from collections import Counter

import msgspec
import psutil
import pytest

from glencleat.event_loop import ConnectError, Loop, StreamClosedError, connect
from glencleat.platform_protocol import messages as m
from glencleat.scale import compare, report
from glencleat.scale import run_size as sizes
from glencleat.scale.allocators import HollowAllocators
from glencleat.scale.channel import ChannelServices
from glencleat.scale.hosts import HostGroup
from glencleat.scale.measure import Cost, MeasuredPhase
from glencleat.scale.message_counters import wire_size
from glencleat.scale.owners import AnswerCheck
from glencleat.scale.worker_processes import WorkerProcesses, WorkerStartError
from tests.support.exchange_world import setup
from tests.support.socket_world import run_until

SMALL = """
hosts = [24]
tasks = 12
starts_per_s = 20.0
life_s = 1.0
settle_s = 0.2
idle_s = 0.2
standing_s = 0.2
load_s = 1.0
groups = 2
rack_hosts = 4
zones = 3
limit_s = 60.0
"""
SHAPE = {"life_s": 0.05, "note_s": 0.0, "decide_ms": 1.0, "drawn": 1.0}
LONG = {**SHAPE, "life_s": 1e6}


def run(folder, text, *options, **more):
    path = folder / "size.toml"
    path.write_text(text)
    words = [sys.executable, "-m", "benchmarks.scale", str(path), "--out", str(folder / "out"), *options]
    return subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, **more)


# ---- the size and the command ----


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("hosts = [10]\nhostz = 3\n", "hostz"),
        ("hosts = []\n", "$.hosts"),
        ("hosts = [10]\nreal = 0\n", "$.real"),
        ("hosts = [10]\nlife_s = -1\n", "$.life_s"),
        ('hosts = [10]\nevents = [{kind = "flood"}]\n', "flood"),
        ('hosts = [10]\nevents = [{kind = "rack-lost", secs = 2}]\n', "secs"),
        ('hosts = [10]\nevents = [{kind = "rack-lost"}]\n', "$.rack_hosts"),
        ("hosts = [10\n", "size.toml"),
        ("hosts = [20000]\nreal = 200\nsockets = 20000\n", "descriptors in one process"),
        ("hosts = [400]\nreal = 249\n", "processes"),
    ],
)
def test_a_size_that_cannot_be_run_says_so_in_one_line(tmp_path, text, named):
    child = run(tmp_path, text)
    out, err = child.communicate(timeout=60)
    assert child.returncode == 2 and named in err and len(err.splitlines()) == 1 and not out
    assert not (tmp_path / "out").exists()


def test_what_a_size_needs_grows_with_each_part():
    small = sizes.RunSize([6_300])
    base = sizes.compute_needs(small, 6_300)
    for more in ({"real": 4}, {"hollow": 20}, {"sockets": 4_096}):
        grown = sizes.compute_needs(msgspec.structs.replace(small, **more), 6_300)
        assert grown.descriptors > base.descriptors and grown.memory_mb > base.memory_mb
    assert sizes.compute_needs(small, 12_600).ports > base.ports


def test_a_small_run_measures_every_phase_and_each_request_has_one_answer(tmp_path):
    events = 'events = [{kind = "one-host", seconds = 0.5, count = 5}, {kind = "whole-list", seconds = 0.3, count = 1}]\n'
    child = run(tmp_path, SMALL + "hollow = 1\n" + events, "--name", "small")
    out, err = child.communicate(timeout=90)
    assert child.returncode == 0, err
    found = report.load_results(tmp_path / "out" / "small.json")
    names = [phase.name for phase in found.phases]
    assert names == [
        "idle",
        "tasks stand",
        "steady load",
        "list event of one host",
        "whole list",
        "whole run",
    ]
    assert not found.partial and "partial" not in out
    whole = found.phases[-1].allocators[0]
    counts = whole.counts
    assert counts["owner asked"] >= 10 and whole.state["open"] == whole.state["faults"] == 0
    answered = sum(counts.get(f"owner {end}", 0) for end in ("placed", "refused", "failed"))
    assert counts["owner asked"] == answered and report.count_wrong(counts) == 0
    assert counts["host in set-up"] >= counts["owner placed"] == counts["owner in answer"]
    assert found.phases[-1].hollow[2]["host in set-up"] >= 10
    assert all(cost.cpu_s >= 0 and cost.rss_mb > 5 for phase in found.phases for cost in phase.allocators)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupt_ends_all_parts_and_leaves_the_table_marked_partial(tmp_path, number):
    child = run(
        tmp_path,
        SMALL.replace("load_s = 1.0", "load_s = 55.0"),
        "--name",
        "cut",
        # A shell starts its background jobs with SIGINT ignored, which the child would inherit.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    try:
        line = child.stderr.readline()
        while "tasks stand" not in line:
            assert line, "ended before it was interrupted"
            line = child.stderr.readline()
        family = psutil.Process(child.pid).children(recursive=True)
        assert len(family) >= 4
        child.send_signal(number)
        out, _ = child.communicate(timeout=60)
    finally:
        child.kill()
    assert child.returncode == 130 and "*partial*: interrupted" in out
    _, left = psutil.wait_procs(family, timeout=20.0)  # one of multiprocessing's own ends after its parent
    assert not left
    found = report.load_results(tmp_path / "out" / "cut.json")
    assert found.partial == "interrupted" and [p.name for p in found.phases] == ["idle", "tasks stand"]


def test_the_time_limit_ends_a_run_as_partial(tmp_path):
    child = run(tmp_path, SMALL.replace("limit_s = 60.0", "limit_s = 1.0"), "--name", "late")
    out, err = child.communicate(timeout=60)
    assert child.returncode == 1 and "time limit of 1 s" in err and "*partial*" in out


def fails_to_start(loop):
    raise OSError(98, "Address already in use")


def test_a_part_for_which_the_system_has_no_room_says_so():
    with WorkerProcesses() as parts, pytest.raises(WorkerStartError, match="Address already in use"):
        parts.start_worker(fails_to_start).start()


# ---- what is told ----


def test_the_ledger_counts_what_may_not_be():
    ledger = AnswerCheck()
    for task in (1, 2, 3, 4):
        ledger.record_request(task, 0.0)
    ledger.record_answer(1, 7.0)
    ledger.record_answer(1, 8.0)
    ledger.record_answer(9, 8.0)
    ledger.record_release(2, m.REJECTED)
    ledger.record_release(2, m.REJECTED)
    ledger.record_release(3, m.FAILED)
    ledger.record_release(8, m.ENDED)
    assert ledger.abandon(4) and not ledger.abandon(1)
    ledger.record_answer(4, 10.0)
    ledger.record_release(4, m.FAILED)
    ledger.record_release(1, m.FAILED)
    told = {"placed": 1, "refused": 1, "failed": 1, "no answer": 1, "lost": 1}
    told |= {"answer after its time": 1, "release after its time": 1}  # of one that is counted already
    faults = {"second answer": 1, "answer to nothing": 1, "second release": 1, "release of nothing": 1}
    assert ledger.outcome_counts == Counter(asked=4, **told, **faults)
    assert report.count_wrong({f"owner {name}": count for name, count in ledger.outcome_counts.items()}) == 5


def test_lines_over_the_number_of_hosts_are_found():
    phases = []
    for hosts in (400, 1_600, 6_300):
        for noise in (-0.01, 0.01):
            idle = Cost(1, 10.0, 0.1 + 2e-4 * hosts + noise, 0.0, 20.0 + hosts / 1e3, 21.0)
            phases.append(MeasuredPhase("idle", hosts, [idle]))
            event = Cost(1, 10.0, 0.1 + 2e-4 * hosts + 20 * hosts * 1e-6, 0.0, 20.0, 20.0)
            phases.append(MeasuredPhase("list event of one host", hosts, [event], notes={"events": 20.0}))
    found = {fit.what: fit for fit in report.fit_lines(phases)}
    assert found["idle CPU"].low < 2.0 < found["idle CPU"].high and found[
        "idle CPU"
    ].at_none == pytest.approx(1.0, rel=0.1)
    assert found["CPU of one host's list event"].slope == pytest.approx(1.0, rel=0.01)
    assert found["resident memory, idle"].slope == pytest.approx(1.0)
    assert "CPU of the whole list" not in found


def test_two_runs_are_set_beside_each_other_phase_by_phase():
    one, other = ([MeasuredPhase("idle", 400, [Cost(1, 10.0, cpu, 0.0, 20.0, 20.0)])] for cpu in (2.0, 0.5))
    lines = compare.compare_runs(
        one, [*other, MeasuredPhase("more", 400, other[0].allocators)], ("before", "after")
    )
    assert "| 400 | idle | CPU, % of a core | 20 | 5 | 0.25 |" in lines and not any(
        "more" in line for line in lines
    )


def test_hollow_and_real_agree_within_ten_percent_or_are_said_not_to():
    real = Cost(1, 10.0, 1.0, 0.0, 20.0, 20.0, {"host a": 1_000, "host b": 1_000, "host c": 20, "host d": 0})
    hollow = {2: {"host a": 1_080, "host b": 800, "host c": 40}}
    said = compare.compare_hollow(
        [MeasuredPhase("load", 400, [real], hollow), MeasuredPhase("whole run", 400, [real], hollow)]
    )
    assert [line.split(" | ")[-1].strip(" |") for line in said[2:]] == [
        "yes",
        "no",
        "too few to tell",
        "too few to tell",
    ]


# ---- hollow hosts ----


class Peer:
    """A connection of allocator 3 to a hollow host."""

    def __init__(self, loop, port, number=3):
        self.loop, self.got, self.sizes, self.ended, self.stream = loop, [], 0, None, None
        loop.spawn(self.run((f"127.0.{number}.1", port)), "peer")

    def run(self, place):
        decoder = m.MessageDecoder()
        try:
            self.stream = yield from connect(self.loop, place, 300.0)
            while data := (yield from self.stream.read()):
                self.sizes += len(data)
                decoder.feed(data)
                self.got += decoder.messages()
            self.ended = "closed"
        except ConnectError as error:
            self.ended = error.code
        except StreamClosedError:
            self.ended = "reset"

    def kinds(self):
        return [(message.kind, message.task_id) for message in self.got]


class Rig:
    def __init__(self, shape=SHAPE, names=("h0",)):
        self.loop = Loop()
        self.group = HostGroup(self.loop, list(names), 5, shape)
        self.parts = [self.group]
        self.host = self.group.hosts[names[0]]

    def peer(self, number=3, up=True):
        peer = Peer(self.loop, self.host.port, number)
        self.until(lambda: (peer.stream if up else peer.ended) is not None)
        return peer

    def add(self, part):
        self.parts.append(part)
        return part

    def close(self):
        for part in self.parts:
            part.close()
        for _ in range(5):
            self.loop.run_once(may_wait=False)  # tasks whose connections were closed end

    def until(self, done):
        run_until(self.loop, done, 5_000.0, lambda: self.group.counts())


@pytest.fixture
def rig():
    made = []

    def make(*given, **more):
        made.append(Rig(*given, **more))
        return made[-1]

    yield make
    for one in made:
        one.close()


def test_a_host_answers_notes_ends_and_tells_it_again_until_it_is_heard(rig):
    world = rig()
    peer = world.peer()
    peer.stream.send(setup(7))
    world.until(lambda: (m.RELEASE, 7) in peer.kinds())
    assert peer.kinds() == [(m.ANSWER, 7), (m.OBSERVATION, 7), (m.RELEASE, 7)]
    assert peer.got[0].parameters[m.DESCRIPTION] and peer.got[2].cause == m.ENDED
    other, again = world.peer(number=4), world.peer()
    world.until(lambda: again.got)
    assert again.kinds() == [(m.RELEASE, 7)] and not other.got  # its own allocator's alone
    again.stream.send(m.encode(m.RELEASE_COMPLETE, 7))
    world.until(lambda: not world.host.unacknowledged_releases)
    counts = world.group.counts()
    assert counts["3 connections"] == 2 and counts["4 connections"] == 1 and counts["3 ended"] == 1
    assert peer.sizes + again.sizes == sum(
        n for name, n in counts.items() if name.startswith("3 out") and name.endswith("bytes")
    )
    assert counts["3 in set-up bytes"] == len(setup(7)) and counts["3 in release heard bytes"] == 11


def test_what_is_open_on_a_connection_goes_with_it_and_what_stands_goes_on(rig):
    world = rig({**LONG, "decide_ms": 40.0})
    peer = world.peer()
    peer.stream.send(setup(1))
    world.until(lambda: world.host.tasks_by_id)
    peer.stream.close()
    world.until(lambda: not world.host.tasks_by_id)
    peer = world.peer()
    peer.stream.send(setup(2))
    world.until(lambda: peer.got)
    peer.stream.close()
    world.until(lambda: world.host.tasks_by_id[2].link is None)
    assert world.group.count_held(3) == {"tasks": 1, "hosts with tasks": 1, "links": 0}


def test_a_task_is_cut_or_given_up_by_a_release_and_a_test_is_passed(rig):
    world = rig({**LONG, "decide_ms": 1.0})
    peer = world.peer()
    peer.stream.send(setup(1))
    world.until(lambda: len(peer.got) == 2)
    peer.stream.send(m.encode_with_cause(m.RELEASE, 1, m.ENDED) + m.encode_with_cause(m.PROBE, 9, 1))
    world.until(lambda: len(peer.got) == 4)
    assert peer.kinds()[2:] == [(m.RELEASE_COMPLETE, 1), (m.PROBE_ANSWER, 9)] and peer.got[3].cause == 1
    assert not world.host.tasks_by_id


def test_a_silent_host_takes_and_says_nothing_and_comes_back_anew(rig):
    world = rig({**LONG, "decide_ms": 1.0})
    peer = world.peer()
    peer.stream.send(setup(1))
    world.until(lambda: len(peer.got) == 2)
    world.group.fail_hosts(["h0"], True)
    late = world.peer(up=False)
    assert late.ended not in ("closed", "reset", None) and peer.ended is None and not world.host.tasks_by_id
    assert world.group.counts()["3 fell"] == 1
    peer.stream.send(m.encode_with_cause(m.PROBE, 9, 0))
    world.group.restore_hosts(["h0"])
    world.until(lambda: peer.ended)
    assert len(peer.got) == 2
    fresh = world.peer()
    fresh.stream.send(setup(2))
    world.until(lambda: (m.ANSWER, 2) in fresh.kinds())


def test_a_draining_host_takes_no_connection_and_its_tasks_run_on(rig):
    world = rig({**SHAPE, "life_s": 0.2})
    peer = world.peer()
    peer.stream.send(setup(1))
    world.until(lambda: (m.ANSWER, 1) in peer.kinds())
    world.host.drain()
    assert world.peer(up=False).ended not in ("closed", "reset")
    world.until(lambda: (m.RELEASE, 1) in peer.kinds())
    world.host.crash()
    world.until(lambda: peer.ended)


def test_sizes_are_those_on_the_wire():
    decoder = m.MessageDecoder()
    decoder.feed(setup(7) + m.encode_with_cause(m.RELEASE, 7, 16))
    assert [wire_size(message) for message in decoder.messages()] == [len(setup(7)), 15]


# ---- hollow allocators and the list ----


def test_a_hollow_allocator_sends_and_says_what_it_heard(rig):
    """At hosts as a real one: all that it sent has come, all that ended was heard."""
    world = rig({**SHAPE, "life_s": 0.3}, ("h0", "h1"))
    ports = list(world.group.startup_info().items())
    channels = world.add(ChannelServices(world.loop, [3], [(name, port, "a") for name, port in ports]))
    hollow = world.add(
        HollowAllocators(world.loop, [3], channels.startup_info()[3], ports, 1, (1_024, 1), 0.5)
    )
    hollow.set_request_rate(20.0)
    world.until(lambda: hollow.counts().get("3 placed", 0) >= 10)
    hollow.set_request_rate(0.0)
    every = world.group.hosts.values()
    world.until(
        lambda: (
            not any(host.tasks_by_id or host.unacknowledged_releases for host in every)
            and not any(c.tasks for c in hollow.allocators_by_number[3].hosts_by_name.values())
        )
    )
    counts, seen = hollow.counts(), world.group.counts()
    assert (
        counts["3 asked"] == counts["3 placed"] == counts["3 ended"] == seen["3 in set-up"] == seen["3 ended"]
    )
    assert seen["3 in release heard"] >= seen["3 ended"] and counts.get("3 no answer", 0) == 0
    assert counts["3 out set-up bytes"] == seen["3 in set-up bytes"]


def test_a_hollow_allocator_keeps_within_its_descriptors(rig):
    names = [f"h{i}" for i in range(30)]
    world = rig({**LONG, "decide_ms": 1.0}, names)
    ports = list(world.group.startup_info().items())
    channels = world.add(ChannelServices(world.loop, [3], [(name, port, "a") for name, port in ports]))
    hollow = world.add(
        HollowAllocators(world.loop, [3], channels.startup_info()[3], ports, 1, (36 + 10, 1), 0.0)
    )
    tasks = [(100 + i, name) for i, name in enumerate(names)]
    world.group.adopt_tasks([(task, name, 3) for task, name in tasks])
    hollow.adopt_tasks(3, tasks)
    world.until(lambda: world.group.counts().get("3 connections", 0) >= 30)
    assert len(hollow.allocators_by_number[3].links_by_last_use) <= 10


def test_each_allocator_is_told_addresses_of_its_own():
    loop = Loop()
    channels = ChannelServices(loop, [1, 2], [("h0", 4_000, "a"), ("h1", 4_001, "b")])
    first, second = (channels.take_snapshot(k)["cmds"][0]["nodes"]["instances"] for k in (1, 2))
    assert [told["hostPort"] for told in first] == ["127.0.1.1:4000", "127.0.1.1:4001"]
    assert [told["hostPort"] for told in second] == ["127.0.2.1:4000", "127.0.2.1:4001"]
    channels.schedule_change(0.0, ["h1"], "DELETED")
    run_until(loop, lambda: channels.take_snapshot(1)["cursor"] == 2, 1_000.0, lambda: "not told")
    channels.publish_full_list()
    last = channels.take_snapshot(2)["cmds"][-1]["nodes"]
    assert last["reset"] and [told["instanceId"] for told in last["instances"]] == ["h0"]
    channels.close()
    for _ in range(5):
        loop.run_once(may_wait=False)

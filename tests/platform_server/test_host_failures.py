"""What ends the tasks at a host: refusals, network cuts, lost connections and the machine list, on real sockets."""

import pytest

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_server import (
    failure_detector,
    host_maintenance,
)
from tests.support.exchange_world import setup
from tests.support.socket_world import Peer, cut_off, kinds, settled, standing, stands


@pytest.fixture
def world(virtual_time_world):
    return virtual_time_world


def test_the_module_is_told_of_hosts_that_looks_do_not_reach(world, monkeypatch):
    """And when one is heard again, if only on a link from before."""
    monkeypatch.setattr(failure_detector, "QUIET_MS", 20.0)
    monkeypatch.setattr(host_maintenance, "TICK_MS", 20.0)
    world.hosts.connect_ms = 10.0
    (peer,), _ = standing(world, 1)
    told = lambda: [  # noqa: E731
        (e.machine, e.is_reachable) for e in world.module.events if isinstance(e, api.ReachabilityChanged)
    ]
    world.until(lambda: len(peer.streams) > 3)
    assert told() == []  # looks that come up are nothing new
    cut = cut_off(monkeypatch)
    world.until(lambda: len(told()) >= 2)
    assert set(told()) == {("h0", False)}
    peer.streams[0].send(m.encode(m.PROGRESS, 99))
    world.until(lambda: told()[-1] == ("h0", True))
    world.until(lambda: told()[-1] == ("h0", False))
    cut[0] = False
    world.until(lambda: told()[-1] == ("h0", True))
    assert sum(up for _, up in told()) == 2


@pytest.mark.parametrize("heals", [True, False])
def test_a_cut_ends_what_stands_only_when_its_release_is_nearly_due(world, monkeypatch, heals):
    """3.5 s of failed connections ended thousands of tasks that ran on behind a cut of 6 s."""
    monkeypatch.setattr(host_maintenance, "TICK_MS", 5.0)
    for name, ms in (("QUIET_MS", 20.0), ("UNREACHABLE_MS", 900.0)):
        monkeypatch.setattr(failure_detector, name, ms)
    (peer,), _ = standing(world, 1)
    cut, host = cut_off(monkeypatch), world.hosts.hosts_by_name["h0"]
    heard = host.last_heard_at_ms
    world.until(lambda: host.failing_since_ms < world.loop.now() - 200.0)
    assert "h0" in world.exchange.placed_calls_by_host
    if heals:
        cut[0] = False
        world.until(lambda: host.last_heard_at_ms > heard)
        world.until(lambda: world.loop.now() > heard + 1_300.0)
        assert "h0" in world.exchange.placed_calls_by_host
    else:
        assert world.back() == [api.Outcome.LOST]
        assert (
            host.last_failure_at_ms > host.last_heard_at_ms + 900.0
        )  # by a try that could have told of a heal until then


def test_a_host_that_died_ends_what_stood_there(world):
    peer, owner = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(owner, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    answer = world.says(owner)
    peer.die()
    assert world.back() == [api.Outcome.LOST] and any("refused" in text for text in world.logs)
    assert answer and world.says(owner) == m.encode_with_cause(m.RELEASE, 1, m.FAILED)


def test_all_links_at_once_tell_that_a_draining_host_ended(world):
    peer, owner = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    for task in (1, 2):
        world.ask(owner, task)
    world.until(lambda: len(peer.got) == 2)
    for stream, message in list(peer.got):
        stands(stream, message)
    world.until(lambda: len(world.exchange.placed_calls_by_host.get("h1", ())) == 2)
    world.list(("h1", peer.address), phase=api.MachinePhase.DRAINING)
    peer.die()
    assert world.back(2, ms=0.6 * failure_detector.DRAINING_REFUSAL_PROOF_MS) == [api.Outcome.LOST] * 2


@pytest.mark.parametrize("idle", [False, True])
def test_the_only_link_of_a_draining_host_that_breaks_tells_its_end(world, idle):
    """Its release is due 1 s after the end; nothing else will ever be heard, as it takes no new connection."""
    (peer,), _ = standing(world, 1)
    world.list(("h0", peer.address), phase=api.MachinePhase.DRAINING)
    if idle:  # the host may have closed it for that, and its tasks run on
        world.hosts.idle_ms = 10.0
        end = world.loop.now() + 30.0
        world.until(lambda: world.loop.now() > end)
    peer.die()
    began = world.loop.now()
    assert world.back() == [api.Outcome.LOST]
    assert (world.loop.now() - began > 1_000.0) is idle


@pytest.mark.parametrize(
    ("says", "over"),
    [("tests passed", True), ("notes", False), ("nothing, gone", True), ("nothing, back", False)],
)
def test_a_host_that_refuses_connections_and_says_nothing_by_itself(world, monkeypatch, says, over):
    """A draining one answered tests for 5 s without the releases of tasks that ended, which are due 8 s after.

    Nor is it asked: that had a price, and told nothing that the list and the links don't."""
    monkeypatch.setattr(failure_detector, "QUIET_MS", 50.0)
    monkeypatch.setattr(failure_detector, "UNREACHABLE_MS", 600.0 if "nothing" not in says else 60_000.0)

    words = {"notes": m.encode(m.OBSERVATION, 1, {m.TOPIC: b"cores", m.VALUE: b"1"}),
             "tests passed": m.encode_with_cause(m.PROBE_ANSWER, 9, 0)}  # fmt: skip

    def speak():
        if says in words and peer.streams[0].try_send(words[says]):
            world.loop.call_in(50.0, speak)

    peer, owner = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(owner, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    speak()
    peer.listener.close()
    world.list(
        ("h1", peer.address),
        phase=api.MachinePhase.REMOVED if "nothing" in says else api.MachinePhase.DRAINING,
    )
    if says == "nothing, back":  # it was only missing for a moment: refusals say what they said before
        world.list(("h1", peer.address), phase=api.MachinePhase.DRAINING)
    began = world.loop.now()
    world.until(lambda: "h1" not in world.exchange.placed_calls_by_host or world.loop.now() > began + 1_500.0)
    assert ("h1" not in world.exchange.placed_calls_by_host) is over
    if over:
        assert world.back() == [api.Outcome.LOST]
    assert m.PROBE not in kinds(peer)


@pytest.mark.parametrize("how", ["replaced", "restarted", "unlisted"])
def test_what_the_list_says_of_a_hosts_end(world, monkeypatch, how):
    monkeypatch.setattr(failure_detector, "UNLISTED_MS", 50.0)
    peer, owner = Peer(world.loop, stands), world.client()
    name = "h9" if how == "unlisted" else "h1"
    world.list(("h1", peer.address))
    if how == "unlisted":
        owner.send(setup(1, extras="cores:1;memory:1;service:s;at:h9", wait=None))
    else:
        world.ask(owner, 1)
    world.until(lambda: name in world.exchange.placed_calls_by_host)
    if how == "replaced":
        world.list(("h2", peer.address))
    elif how == "restarted":
        world.list(("h1", peer.address, world.loop.clock.wall() - 30_000.0))
        assert name in world.exchange.placed_calls_by_host  # a start long ago ends nothing
        settled(world)  # the task stands for some time
        world.list(("h1", peer.address, world.loop.clock.wall() + 1.0))
    assert world.back() == [api.Outcome.LOST] and not world.exchange.placed_calls_by_host


@pytest.mark.parametrize("ahead_ms", [-600_000.0, 600_000.0])
def test_a_start_told_by_a_clock_that_differs_by_minutes_ends_what_stood_and_nothing_later(world, ahead_ms):
    """By one that is behind every word of the list ended all tasks there, by one ahead none ever."""
    world.channel.clock_offset_ms += ahead_ms
    peer, owner = Peer(world.loop, stands), world.client()
    started = world.loop.clock.wall()
    world.list(("h1", peer.address, started - 5_000.0))
    world.ask(owner, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    world.list(("h1", peer.address, started - 5_000.0))  # told again, as when its room changes
    assert "h1" in world.exchange.placed_calls_by_host
    end = world.loop.now() + 5.0
    world.until(lambda: world.loop.now() > end)
    world.list(("h1", peer.address, started))
    assert world.back() == [api.Outcome.LOST] and "h1" not in world.exchange.placed_calls_by_host
    world.ask(owner, 2)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    world.list(("h1", peer.address, started))
    assert "h1" in world.exchange.placed_calls_by_host

"""Machines that vanish and come back: cold, with nothing of before, or as they were, after a partition."""

import socket

import pytest

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from tests.support.exchange_world import read
from tests.support.socket_world import Peer, cut_off, kinds, pass_time, settled, stands

RELEASE_DUE_MS = 8_000.0  # a release is due so long after the task's end
NOTE = m.encode(m.OBSERVATION, 1, {m.TOPIC: b"cores", m.VALUE: b"1"})
RESET_AT_CLOSE = b"\1\0\0\0\0\0\0\0"


class VanishingHost(Peer):
    """A host whose machine can vanish; afterwards its connections from before are reset, answer or stay silent."""

    def __init__(self, loop, monkeypatch):
        super().__init__(loop, self._handle)
        self.monkeypatch = monkeypatch
        self.is_silent = False
        self.older_streams = []
        self.older_behaviour = "answers"
        self.is_cut_off = [False]

    def _handle(self, stream, message):
        if self.is_silent:
            return
        if stream in self.older_streams and self.older_behaviour != "answers":
            if self.older_behaviour == "resets":
                stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            if self.older_behaviour != "is silent":
                stream.close()
        elif message.kind == m.PROBE:
            stream.send(m.encode_with_cause(m.PROBE_ANSWER, message.task_id, 1))
        else:
            stands(stream, message)

    def vanish(self):
        self.is_silent = True
        self.older_streams = list(self.streams)
        self.is_cut_off = cut_off(self.monkeypatch)

    def come_back(self, older_behaviour):
        self.older_behaviour = older_behaviour
        self.is_silent = self.is_cut_off[0] = False


@pytest.fixture
def placed(virtual_time_world, monkeypatch):
    """A host with task 1, which has just reported on it, and the client."""
    world = virtual_time_world
    host, client = VanishingHost(world.loop, monkeypatch), world.client()
    world.list(("h1", host.address))
    world.ask(client, 1)
    assert world.says(client) == m.encode(m.ANSWER, 1, {m.DESCRIPTION: b"ok"})
    host.streams[0].send(NOTE)
    settled(world)
    return world, host, client


def vanish_for(world, host, away_ms, older_behaviour):
    """Returns when the machine vanished."""
    vanished_at_ms = world.loop.now()
    host.vanish()
    pass_time(world, away_ms)
    host.come_back(older_behaviour)
    return vanished_at_ms


@pytest.mark.parametrize("away_ms", [3_500.0, 5_200.0, 6_000.0, 6_400.0, 6_900.0, 7_400.0])
def test_the_end_on_a_machine_that_came_back_cold_is_told_in_time(placed, away_ms):
    """Guards against tasks that are taken to run on a machine that came back cold, until the list says so."""
    world, host, client = placed
    vanished_at_ms = vanish_for(world, host, away_ms, "resets")
    assert world.says(client, ms=10_000.0) == m.encode_with_cause(m.RELEASE, 1, m.FAILED)
    assert world.loop.now() - vanished_at_ms <= RELEASE_DUE_MS
    assert world.back() == [api.Outcome.LOST]


@pytest.mark.parametrize("away_ms", [2_000.0, 5_200.0, 6_400.0])
@pytest.mark.parametrize("older_behaviour", ["answers", "is silent", "closes"])
def test_tasks_behind_a_partition_that_healed_stand(placed, away_ms, older_behaviour):
    """Only a reset shows a new process; what else became of the older connections leaves it to the list."""
    world, host, client = placed
    vanish_for(world, host, away_ms, older_behaviour)
    pass_time(world, 20_000.0)
    with pytest.raises(BlockingIOError):
        client.recv(100)
    assert 1 in world.exchange.placed_calls_by_host["h1"]


@pytest.mark.parametrize("message", [NOTE, m.encode_with_cause(m.RELEASE, 1, m.ENDED)])
def test_a_task_that_the_host_reports_on_has_survived_a_reset(placed, message):
    """A partition may end with a reset too; the host then reports on its tasks on the next connection."""
    world, host, client = placed
    vanish_for(world, host, 5_200.0, "resets")
    world.until(lambda: len(host.streams) > 1)
    host.streams[-1].send(message)
    if message is NOTE:
        pass_time(world, 20_000.0)
        assert 1 in world.exchange.placed_calls_by_host["h1"]
    else:
        assert world.says(client) == m.encode_with_cause(m.RELEASE, 1, m.ENDED)
        assert world.back() == [api.Outcome.COMPLETED]


def test_a_task_placed_after_the_return_stands(placed):
    """Guards against a verdict on the old process that takes a task of the new one with it."""
    world, host, client = placed
    vanish_for(world, host, 5_200.0, "resets")
    world.until(lambda: len(host.streams) > 1)
    settled(world)
    world.ask(client, 2)
    assert world.says(client) == m.encode(m.ANSWER, 2, {m.DESCRIPTION: b"ok"})
    assert [message.task_id for message in read(world.says(client))] == [1]
    pass_time(world, 5_000.0)
    assert list(world.exchange.placed_calls_by_host["h1"]) == [2]


def test_hosts_that_answer_connects_get_no_health_check(placed):
    """A check is sent on a connection from before an outage alone: each has a price."""
    world, host, _ = placed
    pass_time(world, 10_000.0)
    assert m.PROBE not in kinds(host)
    host.streams[-1].send(NOTE)
    settled(world)
    vanish_for(world, host, 1_500.0, "answers")  # too short to be an outage
    pass_time(world, 3_000.0)
    assert m.PROBE not in kinds(host)
    vanish_for(world, host, 5_200.0, "answers")
    pass_time(world, 3_000.0)
    assert 1 <= kinds(host).count(m.PROBE) <= len(host.older_streams)

"""The watch client with a channel that sends byte by byte, one that is slow and one that moves.

`test_watch_recovery.py` has the reconnects, `test_process.py` the complete process.
"""

from itertools import pairwise
from random import Random

import pytest

from glencleat.event_loop import StreamClosedError
from glencleat.flow_control.backoff import COMMAND_CHANNEL_BACKOFF, Backoff, BackoffPolicy
from glencleat.platform_server import watch_client
from tests.support.command_channel_world import Tower, list_event


def start_watch(world, policy, script):
    server, changes = Tower(world.loop, script), []
    client = watch_client.WatchClient(
        world.loop,
        world.channel,
        Backoff(policy, world.hosts.random),
        server.address,
        changes.append,
        world.logs.append,
    )
    return server, changes, client


def test_a_channel_that_drips_an_incomplete_line_is_silent(world, monkeypatch):
    monkeypatch.setattr(watch_client, "SILENCE_TIMEOUT_MS", 120.0)
    server, changes, _ = start_watch(
        world, BackoffPolicy(1.0, 1.0, 9e9), lambda n: list_event(1) if n == 1 else list_event(2)
    )
    world.until(lambda: changes)

    def send_blanks():
        if server.streams[0].close_reason is None and server.streams[0].try_send(b" "):
            world.loop.call_in(2.0, send_blanks)

    send_blanks()
    world.until(lambda: len(changes) == 2, ms=1_000.0)
    assert server.got[:2] == [b"resume 0\n", b"resume 1\n"]


def test_a_long_list_that_arrives_slowly_is_not_silent(world, monkeypatch):
    monkeypatch.setattr(watch_client, "SILENCE_TIMEOUT_MS", 120.0)
    monkeypatch.setattr(watch_client, "PROGRESS_BYTES", 100)
    server, changes, client = start_watch(world, BackoffPolicy(1.0, 1.0, 9e9), lambda n: b" " * 64)

    def send_more(remaining=40):
        if server.streams[0].close_reason is None:
            server.streams[0].try_send(b" " * 64 if remaining else list_event(1))
            if remaining:
                world.loop.call_in(10.0, lambda: send_more(remaining - 1))

    world.until(lambda: server.got)
    send_more()
    world.until(lambda: changes, ms=2_000.0)
    assert client.disconnect_count == 0


@pytest.mark.parametrize("when", ["backs off", "connects"])
def test_a_move_is_not_held_up_by_failures_of_the_former_address(world, when):
    """Otherwise the interval before the next attempt would be ten minutes."""
    policy = BackoffPolicy(600_000.0, 600_000.0, 9e9)
    server, changes, client = start_watch(world, policy, lambda n: list_event(1))
    world.until(lambda: changes)
    new_server = Tower(world.loop, lambda n: list_event(2))
    server.streams[0].close()
    world.until(lambda: client.retry_pause.is_sleeping)
    client.backoff.policy = BackoffPolicy(1.0, 600_000.0, 9e9)  # the interval after a move
    if when == "connects":
        client.retry_pause.wake()  # the attempt at the former address has not begun yet
    client.change_address(new_server.address)
    world.until(lambda: len(changes) == 2)
    assert new_server.got == [b"resume 1\n"]


class SlowTower(Tower):
    """Answers each connection after a time, and not at all before the `silent_count` first ones are over."""

    def __init__(self, loop, delay_ms, silent_count=0):
        super().__init__(loop, lambda n: list_event(1))
        self.delay_ms, self.silent_count, self.accepted_at_ms = delay_ms, silent_count, []

    def serve(self, stream):
        self.accepted_at_ms.append(self.loop.now())
        is_silent = len(self.accepted_at_ms) <= self.silent_count
        try:
            yield from self.loop.sleep(60_000.0 if is_silent else self.delay_ms)
            yield from super().serve(stream)
        except StreamClosedError:
            pass


def test_a_first_line_may_take_as_long_as_a_call(virtual_time_world):
    """Guards against a channel that is slow and never heard: each connection was closed after 1.8 s, and drains
    were known 9.4 s after they began."""
    world = virtual_time_world
    server, changes = SlowTower(world.loop, delay_ms=2_000.0), []
    backoff = Backoff(COMMAND_CHANNEL_BACKOFF, Random(1))
    client = watch_client.WatchClient(
        world.loop, world.channel, backoff, server.address, changes.append, world.logs.append
    )
    world.until(lambda: changes, ms=2_200.0)
    assert client.disconnect_count == 0


@pytest.mark.parametrize("seed", range(10))
def test_a_connection_silent_from_its_start_costs_its_time_out_and_a_first_interval(virtual_time_world, seed):
    """Guards against the longest interval on top of the time-out, see the directory's client."""
    world = virtual_time_world
    server, changes = SlowTower(world.loop, delay_ms=0.0, silent_count=3), []
    watch_client.WatchClient(
        world.loop,
        world.channel,
        Backoff(COMMAND_CHANNEL_BACKOFF, Random(seed)),
        server.address,
        changes.append,
        world.logs.append,
    )
    world.until(lambda: changes, ms=60_000.0)
    gaps_ms = [after - before for before, after in pairwise(server.accepted_at_ms)]
    allowed_ms = watch_client.FIRST_LINE_TIMEOUT_MS + COMMAND_CHANNEL_BACKOFF.first_ms
    assert len(gaps_ms) == 3 and max(gaps_ms) <= allowed_ms + 100.0

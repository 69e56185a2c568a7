"""The watch on the list: a channel that drips, one that is slow, one that moves. The path is test_node.py's."""

import pytest

from glencleat.flow_control.backoff import Backoff, BackoffPolicy
from glencleat.platform_server import watch_client
from tests.support.command_channel_world import Tower, list_event


def follow(world, pace, script):
    tower, told = Tower(world.loop, script), []
    made = watch_client.WatchClient(
        world.loop,
        world.channel,
        Backoff(pace, world.hosts.random),
        tower.address,
        told.append,
        world.logs.append,
    )
    return tower, told, made


def test_a_channel_that_drips_half_a_line_is_silent(world, monkeypatch):
    monkeypatch.setattr(watch_client, "SILENCE_TIMEOUT_MS", 120.0)
    tower, told, _ = follow(
        world, BackoffPolicy(1.0, 1.0, 9e9), lambda n: list_event(1) if n == 1 else list_event(2)
    )
    world.until(lambda: told)

    def drip():
        if tower.streams[0].close_reason is None and tower.streams[0].try_send(b" "):
            world.loop.call_in(2.0, drip)

    drip()
    world.until(lambda: len(told) == 2, ms=1_000.0)
    assert tower.got[:2] == [b"resume 0\n", b"resume 1\n"]


def test_a_long_list_that_comes_slowly_is_not_silent(world, monkeypatch):
    monkeypatch.setattr(watch_client, "SILENCE_TIMEOUT_MS", 120.0)
    monkeypatch.setattr(watch_client, "PROGRESS_BYTES", 100)
    tower, told, made = follow(world, BackoffPolicy(1.0, 1.0, 9e9), lambda n: b" " * 64)

    def more(left=40):
        if tower.streams[0].close_reason is None:
            tower.streams[0].try_send(b" " * 64 if left else list_event(1))
            if left:
                world.loop.call_in(10.0, lambda: more(left - 1))

    world.until(lambda: tower.got)
    more()
    world.until(lambda: told, ms=2_000.0)
    assert made.disconnect_count == 0


@pytest.mark.parametrize("when", ["backs off", "connects"])
def test_a_move_is_not_held_up_by_what_the_old_address_did(world, when):
    """Held: the wait before the next try would be ten minutes."""
    pace = BackoffPolicy(600_000.0, 600_000.0, 9e9)
    tower, told, made = follow(world, pace, lambda n: list_event(1))
    world.until(lambda: told)
    new = Tower(world.loop, lambda n: list_event(2))
    tower.streams[0].close()
    world.until(lambda: made.retry_pause.is_sleeping)
    made.backoff.policy = BackoffPolicy(1.0, 600_000.0, 9e9)  # what a move draws its wait from
    if when == "connects":
        made.retry_pause.wake()  # the try at the old one has been begun by nobody yet
    made.change_address(new.address)
    world.until(lambda: len(told) == 2)
    assert new.got == [b"resume 1\n"]

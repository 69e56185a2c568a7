"""The watch on the machine list: a channel that drips, one that is slow, one whose address changes."""

import pytest

from glencleat.flow_control.backoff import Backoff, BackoffPolicy
from glencleat.platform_server import watch_client
from tests.support.command_channel_world import Tower, list_event


def follow(world, policy, script):
    tower, changes = Tower(world.loop, script), []
    client = watch_client.WatchClient(
        world.loop,
        world.channel,
        Backoff(policy, world.hosts.random),
        tower.address,
        changes.append,
        world.logs.append,
    )
    return tower, changes, client


def test_a_channel_that_drips_a_partial_line_is_silent(world, monkeypatch):
    monkeypatch.setattr(watch_client, "SILENCE_TIMEOUT_MS", 120.0)
    tower, changes, _ = follow(
        world, BackoffPolicy(1.0, 1.0, 9e9), lambda n: list_event(1) if n == 1 else list_event(2)
    )
    world.until(lambda: changes)

    def drip():
        if tower.streams[0].close_reason is None and tower.streams[0].try_send(b" "):
            world.loop.call_in(2.0, drip)

    drip()
    world.until(lambda: len(changes) == 2, ms=1_000.0)
    assert tower.got[:2] == [b"resume 0\n", b"resume 1\n"]


def test_a_long_list_that_comes_slowly_is_not_silent(world, monkeypatch):
    monkeypatch.setattr(watch_client, "SILENCE_TIMEOUT_MS", 120.0)
    monkeypatch.setattr(watch_client, "PROGRESS_BYTES", 100)
    tower, changes, client = follow(world, BackoffPolicy(1.0, 1.0, 9e9), lambda n: b" " * 64)

    def send_more(remaining=40):
        if tower.streams[0].close_reason is None:
            tower.streams[0].try_send(b" " * 64 if remaining else list_event(1))
            if remaining:
                world.loop.call_in(10.0, lambda: send_more(remaining - 1))

    world.until(lambda: tower.got)
    send_more()
    world.until(lambda: changes, ms=2_000.0)
    assert client.disconnect_count == 0


@pytest.mark.parametrize("when", ["backs off", "connects"], ids=["while backing off", "while connecting"])
def test_a_change_of_address_is_not_delayed_by_failures_of_the_old_one(world, when):
    """The delay before the next attempt would be ten minutes."""
    policy = BackoffPolicy(600_000.0, 600_000.0, 9e9)
    tower, changes, client = follow(world, policy, lambda n: list_event(1))
    world.until(lambda: changes)
    new = Tower(world.loop, lambda n: list_event(2))
    tower.streams[0].close()
    world.until(lambda: client.retry_pause.is_asleep)
    client.backoff.policy = BackoffPolicy(
        1.0, 600_000.0, 9e9
    )  # what a change of address draws its delay from
    if when == "connects":
        client.retry_pause.interrupt()  # the attempt at the old address has not begun yet
    client.change_address(new.address)
    world.until(lambda: len(changes) == 2)
    assert new.got == [b"resume 1\n"]

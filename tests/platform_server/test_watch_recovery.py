"""The watch of the machine list on real sockets: it resumes where it was."""

import pytest

from glencleat.platform_server import (
    watch_client,
)
from tests.support.command_channel_world import Tower, asking, list_event


@pytest.mark.parametrize("trouble", ["breaks", "silent", "noise"])
def test_the_feed_asks_again_from_where_it_was(world, monkeypatch, trouble):
    monkeypatch.setattr(watch_client, "SILENCE_TIMEOUT_MS", 120.0)
    second = {"noise": b"{{\n"}.get(trouble, list_event(2)[:30])
    tower, told = Tower(world.loop, lambda n: list_event(1) + second if n == 1 else list_event(2)), []
    watch_client.WatchClient(
        world.loop, world.channel, asking(), tower.address, told.append, world.logs.append
    )
    world.until(lambda: told)
    if trouble == "breaks":
        tower.streams[0].close()
    world.until(lambda: len(told) == 2)
    assert tower.got[:2] == [b"resume 0\n", b"resume 1\n"] and [x.hosts[0].machine.name for x in told] == [
        "h1",
        "h2",
    ]


def test_the_feed_moves_and_the_numbers_go_on(world):
    old, new = (Tower(world.loop, lambda n, c=c: list_event(c)) for c in (1, 2))
    told = []
    made = watch_client.WatchClient(
        world.loop, world.channel, asking(), old.address, told.append, world.logs.append
    )
    world.until(lambda: told)
    made.change_address(new.address)
    world.until(lambda: len(told) == 2)
    assert new.got == [b"resume 1\n"]

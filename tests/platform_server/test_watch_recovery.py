"""The watch client on real sockets: it resumes from its cursor."""

import pytest

from glencleat.platform_server import watch_client
from tests.support.command_channel_world import Tower, asking, list_event


@pytest.mark.parametrize("trouble", ["breaks", "silent", "noise"])
def test_the_watch_client_reconnects_from_where_it_was(world, monkeypatch, trouble):
    monkeypatch.setattr(watch_client, "SILENCE_TIMEOUT_MS", 120.0)
    second = {"noise": b"{{\n"}.get(trouble, list_event(2)[:30])
    server, changes = Tower(world.loop, lambda n: list_event(1) + second if n == 1 else list_event(2)), []
    watch_client.WatchClient(
        world.loop, world.channel, asking(), server.address, changes.append, world.logs.append
    )
    world.until(lambda: changes)
    if trouble == "breaks":
        server.streams[0].close()
    world.until(lambda: len(changes) == 2)
    assert server.got[:2] == [b"resume 0\n", b"resume 1\n"] and [
        change.hosts[0].machine.name for change in changes
    ] == [
        "h1",
        "h2",
    ]


def test_the_watch_client_moves_and_keeps_its_cursor(world):
    old_server, new_server = (Tower(world.loop, lambda n, c=c: list_event(c)) for c in (1, 2))
    changes = []
    client = watch_client.WatchClient(
        world.loop, world.channel, asking(), old_server.address, changes.append, world.logs.append
    )
    world.until(lambda: changes)
    client.change_address(new_server.address)
    world.until(lambda: len(changes) == 2)
    assert new_server.got == [b"resume 1\n"]

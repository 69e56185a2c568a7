"""Fixtures of the platform server's tests."""

import pytest

from tests.support.socket_world import World
from tests.support.virtual_time import leaping_loop


@pytest.fixture
def virtual_time_world():
    """Like `world`, on a virtual clock that jumps to the next timer, so that deadlines hold on a busy
    machine."""
    world = World(loop=leaping_loop())
    yield world
    for sock in world.clients:
        sock.close()

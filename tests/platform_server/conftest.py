"""Worlds of the platform server's tests."""

import pytest

from tests.support.socket_world import World
from tests.support.virtual_time import leaping_loop


@pytest.fixture
def virtual_time_world():
    """As `world`, on a clock that leaps: what is due in time is so however busy the machine is."""
    made = World(loop=leaping_loop())
    yield made
    for sock in made.clients:
        sock.close()

"""Fixtures and settings of all tests.

Hypothesis generates the same cases in every run; `--hypothesis-profile=default` generates new ones.
"""

import pytest
from hypothesis import settings

from glencleat.index.due_queue import DueQueue
from glencleat.index.rendezvous import RendezvousIndex
from tests.support.socket_world import World

settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")
# Every index also computes its results from scratch and compares; host maintenance checks every host that it skips.
DueQueue.is_self_checking = RendezvousIndex.is_self_checking = True


@pytest.fixture
def world():
    """Hosts, clients and the allocator on real sockets of one loop; some test files override it."""
    world = World()
    yield world
    for sock in world.clients:
        sock.close()

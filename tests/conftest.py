"""The same verdict each time: properties draw the same cases in every run. `--hypothesis-profile=default`
draws anew."""

import pytest
from hypothesis import settings

from glencleat.index.due_queue import DueQueue
from glencleat.index.rendezvous import RendezvousIndex
from tests.support.socket_world import World

settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")
# Every index answers from scratch as well, and `Hosts` looks at all it passes over.
DueQueue.is_self_checking = RendezvousIndex.is_self_checking = True


@pytest.fixture
def world():
    """The live path on real sockets of one loop; files with another world define theirs."""
    made = World()
    yield made
    for sock in made.clients:
        sock.close()

"""The same verdict each time: properties draw the same cases in every run. `--hypothesis-profile=default`
draws anew."""

import pytest
from hypothesis import settings

from tests.sockets import World

settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")


@pytest.fixture
def world():
    """The live path on real sockets of one loop; files with another world define theirs."""
    made = World()
    yield made
    for sock in made.clients:
        sock.close()

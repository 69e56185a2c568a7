"""Fixtures of the allocator's tests."""

import pytest

from glencleat.allocator.startup_gate import StartupGate
from tests.support.core_world import Cluster, Owner


@pytest.fixture
def starting_cluster():
    """A cluster of which nothing is known yet, and an owner."""
    cluster = Cluster(0)
    cluster.core.startup_gate = StartupGate(cluster.timing.now(), 0.0, 60_000.0)
    return cluster, Owner(cluster).subscribe()

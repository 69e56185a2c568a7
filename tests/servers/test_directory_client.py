"""The directory client on real sockets and virtual time: how soon it tries again, and how often."""

from random import Random

import pytest

from glencleat.event_loop import Listener
from glencleat.flow_control.backoff import MACHINE_LIST_BACKOFF, Backoff
from glencleat.servers.directory_client import DirectoryClient
from tests.support.virtual_time import leaping_loop

SILENCE_TIMEOUT_MS = 1_500.0
OUTAGE_ATTEMPTS = 5


class SilentDirectory:
    """Closes the first connections at once, as in an outage; accepts the others and never answers."""

    def __init__(self, refused_count, seed):
        self.loop, self.refused_count = leaping_loop(), refused_count
        self.accepted_at_ms = []
        self.listener = Listener(self.loop, ("127.0.0.1", 0), self._accept)
        backoff = Backoff(MACHINE_LIST_BACKOFF, Random(seed))
        self.client = DirectoryClient(
            self.loop, self.listener.address, lambda update: None, backoff, SILENCE_TIMEOUT_MS
        )
        self.client.watch()

    def _accept(self, stream):
        self.accepted_at_ms.append(self.loop.now())
        if len(self.accepted_at_ms) <= self.refused_count:
            stream.close("refused")

    def run_until_accepted(self, count):
        for _ in range(100_000):
            if len(self.accepted_at_ms) >= count:
                return
            self.loop.run_once()
        raise AssertionError(f"{len(self.accepted_at_ms)} of {count} connections after 100,000 turns")


@pytest.mark.parametrize("seed", range(20))
def test_a_connection_silent_from_its_start_costs_the_silence_timeout_and_a_first_interval(seed):
    """Guards against the longest interval on top of the silence timeout, which an allocator waited whose first
    connection after an outage fell silent before its answer: 4.1 s after the outage it was not back."""
    directory = SilentDirectory(OUTAGE_ATTEMPTS, seed)
    directory.run_until_accepted(OUTAGE_ATTEMPTS + 2)
    directory.listener.close()
    gap_ms = directory.accepted_at_ms[-1] - directory.accepted_at_ms[-2]
    assert gap_ms <= SILENCE_TIMEOUT_MS + MACHINE_LIST_BACKOFF.first_ms + 20.0


def test_a_directory_that_never_answers_is_not_tried_too_often():
    """At most 0.98 attempts a second by each client, as while the service is down."""
    directory = SilentDirectory(refused_count=0, seed=1)
    directory.run_until_accepted(40)
    directory.listener.close()
    seconds = (directory.accepted_at_ms[-1] - directory.accepted_at_ms[0]) / 1_000.0
    assert 39 / seconds < 0.98

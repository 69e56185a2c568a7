"""Backoff: one allocator alone, and hundreds that saw the same failure."""

from bisect import bisect_left
from random import Random

import pytest

from glencleat.flow_control.backoff import (
    COMMAND_CHANNEL_BACKOFF,
    HOST_BACKOFF,
    MACHINE_LIST_BACKOFF,
    Backoff,
    BackoffPolicy,
)
from glencleat.platform_server import watch_client


def reconnect_all(count, until_ms, is_down=lambda at_ms: True, connected_ms=0.0, policy=MACHINE_LIST_BACKOFF):
    """Times of all attempts of `count` allocators that lost the peer at 0, and of each one's last attempt."""
    attempts, last = [], []
    for seed in range(count):
        backoff, at_ms = Backoff(policy, Random(seed)), 0.0
        while at_ms < until_ms:
            at_ms += backoff.next_delay_ms(connected_ms)
            attempts.append(at_ms)
            if not is_down(at_ms):
                break
        last.append(at_ms)
    return sorted(attempts), last


def busiest(attempts, window_ms=100.0):
    return max(bisect_left(attempts, start + window_ms) - i for i, start in enumerate(attempts))


@pytest.mark.parametrize("count", [50, 300, 1000])
def test_a_crowd_neither_synchronizes_nor_keeps_the_service_down(count):
    """60 came back 9.8 times a second each, all in the same 100 ms, for as long as it lasted."""
    attempts, _ = reconnect_all(count, 30_000.0)
    later = [at_ms for at_ms in attempts if at_ms >= 3_000.0]
    assert len(later) / 27.0 < 0.98 * count
    assert busiest(later) < 0.25 * count and busiest(attempts) < 0.3 * count


@pytest.mark.parametrize("up_at_ms", [0.0, 3_000.0, 11_000.0])
def test_all_are_back_soon_after_the_service_is_up(up_at_ms):
    _, back = reconnect_all(300, 60_000.0, is_down=lambda at_ms: at_ms < up_at_ms)
    assert max(back) < up_at_ms + MACHINE_LIST_BACKOFF.max_ms


def test_a_single_break_costs_less_than_the_protocol_allows():
    """The first two delays, with 0.1 s for each attempt, stay within the 2 s after which drains count as known."""
    for seed in range(500):
        backoff = Backoff(MACHINE_LIST_BACKOFF, Random(seed))
        assert backoff.next_delay_ms(60_000.0) + backoff.next_delay_ms() + 200.0 <= 2_000.0


def test_a_connection_that_ends_at_once_is_no_success():
    """Else a service that accepts connections and closes them would be tried as after a first failure, without end."""
    backoff = Backoff(MACHINE_LIST_BACKOFF, Random(1))
    delays = [backoff.next_delay_ms(connected_ms=5.0) for _ in range(6)]
    assert all(delay >= 0.5 * MACHINE_LIST_BACKOFF.max_ms for delay in delays[2:])
    assert (
        backoff.next_delay_ms(connected_ms=MACHINE_LIST_BACKOFF.stable_ms) <= MACHINE_LIST_BACKOFF.initial_ms
    )


def test_retry_after_is_kept_and_spread():
    delays = [
        Backoff(MACHINE_LIST_BACKOFF, Random(seed)).next_delay_ms(retry_after_ms=5_000.0)
        for seed in range(200)
    ]
    assert min(delays) >= 5_000.0 and max(delays) - min(delays) > 0.8 * MACHINE_LIST_BACKOFF.initial_ms


def test_a_host_is_tried_at_its_policys_rate():
    backoff = Backoff(HOST_BACKOFF, Random(3))
    delays = [backoff.next_delay_ms() for _ in range(20)]
    assert delays[0] <= 100.0 and all(500.0 <= delay <= 1_000.0 for delay in delays[5:])
    backoff.reset()
    assert backoff.next_delay_ms() <= 100.0


@pytest.mark.parametrize(
    "bounds",
    [(0.0, 1.0, 1.0), (2.0, 1.0, 1.0), (1.0, 2.0, -1.0), (1.0, 2.0, 1.0, 0.5)],
    ids=["no initial delay", "initial above max", "negative stable time", "shrinking"],
)
def test_a_policy_out_of_bounds_is_rejected(bounds):
    with pytest.raises(ValueError, match="backoff policy"):
        BackoffPolicy(*bounds)


def test_a_channel_that_is_up_again_is_reached_within_the_shortest_grace():
    """Its changes count as known at once: the longest delay, and an attempt that came just before."""
    assert COMMAND_CHANNEL_BACKOFF.max_ms + watch_client.CONNECT_TIMEOUT_MS <= 2_000.0
    backoffs = [Backoff(COMMAND_CHANNEL_BACKOFF, Random(seed)) for seed in range(200)]
    assert (
        max(backoff.next_delay_ms() for backoff in backoffs for _ in range(20))
        <= COMMAND_CHANNEL_BACKOFF.max_ms
    )

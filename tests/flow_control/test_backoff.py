"""Retry intervals: of a single client, and of hundreds that lose the same connection at one moment."""

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


def simulate_clients(count, until_ms, is_down=lambda at: True, connected_ms=0.0, policy=MACHINE_LIST_BACKOFF):
    """The times of all attempts, and of each client's last, of `count` clients that lose the service at 0.

    An attempt fails while `is_down` holds.
    """
    attempts, last = [], []
    for i in range(count):
        backoff, at = Backoff(policy, Random(i)), 0.0
        while at < until_ms:
            at += backoff.next_delay_ms(connected_ms)
            attempts.append(at)
            if not is_down(at):
                break
        last.append(at)
    return sorted(attempts), last


def count_busiest(attempts, window_ms=100.0):
    return max(bisect_left(attempts, start + window_ms) - i for i, start in enumerate(attempts))


@pytest.mark.parametrize("count", [50, 300, 1000])
def test_many_clients_are_not_synchronised_and_do_not_keep_the_service_down(count):
    """Guards against retries in step: 60 clients came back 9.8 times a second each, all in the same 100 ms."""
    attempts, _ = simulate_clients(count, 30_000.0)
    later = [at for at in attempts if at >= 3_000.0]
    assert len(later) / 27.0 < 0.98 * count
    assert count_busiest(later) < 0.25 * count and count_busiest(attempts) < 0.3 * count


@pytest.mark.parametrize("recovered_at", [0.0, 3_000.0, 11_000.0])
def test_all_clients_reconnect_soon_after_the_service_recovers(recovered_at):
    _, reconnected = simulate_clients(300, 60_000.0, is_down=lambda at: at < recovered_at)
    assert max(reconnected) < recovered_at + MACHINE_LIST_BACKOFF.max_ms


def test_a_single_interruption_costs_less_than_the_protocol_allows():
    """The first two intervals, with 0.1 s for each attempt, fit the 2 s after which drains count as known."""
    for seed in range(500):
        backoff = Backoff(MACHINE_LIST_BACKOFF, Random(seed))
        assert backoff.next_delay_ms(60_000.0) + backoff.next_delay_ms() + 200.0 <= 2_000.0


@pytest.mark.parametrize("connected_ms", [1_200.0, 1_700.0, 2_000.0])
def test_a_break_soon_after_an_outage_costs_less_than_the_protocol_allows(connected_ms):
    """Guards against the longest interval after a connection that was good until it broke, 1 to 2 s after an
    outage: the client was told of changes later than 2 s after the break."""
    for seed in range(500):
        backoff = Backoff(MACHINE_LIST_BACKOFF, Random(seed))
        for _ in range(6):  # the outage
            backoff.next_delay_ms()
        assert backoff.next_delay_ms(connected_ms) + backoff.next_delay_ms() + 200.0 <= 2_000.0


def test_a_service_that_ends_each_connection_is_not_tried_too_often():
    """Each connection lasts as long as a success must; at most 0.98 attempts a second by each client."""
    for seed in range(100):
        backoff, at, count = Backoff(MACHINE_LIST_BACKOFF, Random(seed)), 0.0, 0
        while at < 60_000.0:
            at += MACHINE_LIST_BACKOFF.reset_after_ms
            at += backoff.next_delay_ms(MACHINE_LIST_BACKOFF.reset_after_ms)
            count += 1
        assert count / 60.0 < 0.98


def test_a_connection_that_ends_at_once_does_not_count_as_a_success():
    """Otherwise a service that accepts and closes connections would see the first, short interval forever."""
    backoff = Backoff(MACHINE_LIST_BACKOFF, Random(1))
    delays = [backoff.next_delay_ms(connected_ms=5.0) for _ in range(6)]
    assert all(delay >= 0.5 * MACHINE_LIST_BACKOFF.max_ms for delay in delays[2:])
    assert (
        backoff.next_delay_ms(connected_ms=MACHINE_LIST_BACKOFF.reset_after_ms)
        <= MACHINE_LIST_BACKOFF.first_ms
    )


def test_retry_after_is_a_lower_bound_with_jitter():
    delays = [
        Backoff(MACHINE_LIST_BACKOFF, Random(seed)).next_delay_ms(retry_after_ms=5_000.0)
        for seed in range(200)
    ]
    assert min(delays) >= 5_000.0 and max(delays) - min(delays) > 0.8 * MACHINE_LIST_BACKOFF.first_ms


def test_intervals_for_hosts():
    backoff = Backoff(HOST_BACKOFF, Random(3))
    delays = [backoff.next_delay_ms() for _ in range(20)]
    assert delays[0] <= 100.0 and all(500.0 <= delay <= 1_000.0 for delay in delays[5:])
    backoff.reset()
    assert backoff.next_delay_ms() <= 100.0


@pytest.mark.parametrize("bounds", [(0.0, 1.0, 1.0), (2.0, 1.0, 1.0), (1.0, 2.0, -1.0), (1.0, 2.0, 1.0, 0.5)])
def test_invalid_bounds_are_rejected(bounds):
    with pytest.raises(ValueError, match="invalid backoff policy"):
        BackoffPolicy(*bounds)


def test_a_channel_that_recovers_is_reached_within_the_shortest_grace():
    """Changes count as known once sent: the longest interval and an attempt just too early fit the grace."""
    assert COMMAND_CHANNEL_BACKOFF.max_ms + watch_client.CONNECT_MS <= 2_000.0
    backoffs = [Backoff(COMMAND_CHANNEL_BACKOFF, Random(seed)) for seed in range(200)]
    assert (
        max(backoff.next_delay_ms() for backoff in backoffs for _ in range(20))
        <= COMMAND_CHANNEL_BACKOFF.max_ms
    )

"""Limits on new connections: bounds that hold at every moment, and the share left for set-ups."""

from bisect import bisect_right
from heapq import heapify, heappop, heappush
from random import Random

import pytest

from glencleat.checker.chance_bounds import count_busiest_window
from glencleat.flow_control.backoff import HOST_BACKOFF, Backoff
from glencleat.flow_control.connection_limiter import (
    BURST_S,
    MAX_CONNECTING_PER_ADDRESS,
    MIN_CONNECTING_LIMIT,
    MIN_RATE_PER_S,
    ConnectionLimiter,
    quiet_limit_ms,
)

HOSTS = 400


def test_no_second_exceeds_the_rate_and_a_burst():
    limiter, begun = ConnectionLimiter(), []
    for at in range(0, 5_000, 2):
        while limiter.may_connect(float(at), HOSTS):
            limiter.record_connect_begin((f"h{len(begun)}", 1), float(at))
            limiter.record_connect_end((f"h{len(begun)}", 1))
            begun.append(at)
    for start in range(0, 4_000, 250):
        assert sum(start <= at < start + 1_000 for at in begun) <= HOSTS * (1.0 + BURST_S) + 1
    assert len(begun) > 4.9 * HOSTS


def test_liveness_checks_leave_half_of_the_limits_to_set_ups():
    limiter = ConnectionLimiter()
    for count in range(10_000):
        if not limiter.may_connect(0.0, 10, is_liveness_check=True):
            break
        limiter.record_connect_begin((f"h{count}", 1), 0.0)
    assert count <= MIN_CONNECTING_LIMIT / 2 and limiter.may_connect(0.0, 10)
    assert limiter.denied_count == 1


def test_more_hosts_raise_the_limits_over_time():
    few, many = ConnectionLimiter(), ConnectionLimiter()

    def count_begun(limiter, hosts):
        begun = 0
        while limiter.may_connect(0.0, hosts):
            limiter.record_connect_begin(("h", begun), 0.0)
            begun += 1
        return begun

    # The tokens run out before the limit on connections being established is reached.
    assert count_begun(few, 10) == BURST_S * MIN_RATE_PER_S
    # The tokens of a larger list fill up over time, not at once.
    assert count_begun(many, 4_000) == BURST_S * MIN_RATE_PER_S
    assert many.may_connect(1_000.0, 4_000)


def test_each_of_many_allocators_checks_less_often():
    assert quiet_limit_ms(16) == 500.0  # below the second of a single allocator
    assert quiet_limit_ms(64) == 2_000.0 and quiet_limit_ms(300) == quiet_limit_ms(10_000) == 3_000.0


def test_an_address_is_saturated_until_one_connect_ends():
    limiter, address = ConnectionLimiter(), ("h", 1)
    for _ in range(MAX_CONNECTING_PER_ADDRESS):
        assert not limiter.is_saturated(address)
        limiter.record_connect_begin(address, 0.0)
    assert limiter.is_saturated(address) and not limiter.is_saturated(("h", 2))
    limiter.record_connect_end(address)
    assert not limiter.is_saturated(address) and limiter.connecting_count == MAX_CONNECTING_PER_ADDRESS - 1


@pytest.mark.parametrize("count", [50, 300])
def test_reconnects_of_hundreds_to_one_host_are_spread(count):
    """By a model: a host resets all connections at once. Guards against all being back at the same moment each time."""
    attempts = []
    for i in range(count):
        backoff, at = Backoff(HOST_BACKOFF, Random(i)), 0.0
        while at < 5_000.0:
            at += backoff.next_delay_ms()
            attempts.append(at)
    assert max(sum(at <= t < at + 10.0 for t in attempts) for at in range(0, 4_990, 10)) < 0.2 * count
    late = sum(1_000.0 <= t < 4_000.0 for t in attempts) / 3.0 / count
    assert 1.1 < late < 1.5  # attempts a second of each; 1.25 on average


def test_a_host_that_accepts_ten_connections_a_second_serves_all_as_soon_as_possible():
    """300 allocators connect at one moment; one that is not accepted gets no answer until the connect times out."""
    count, rate, connect_ms = 300, 10, 250.0
    backoffs = [Backoff(HOST_BACKOFF, Random(i)) for i in range(count)]
    attempts = [(0.0, i) for i in range(count)]
    heapify(attempts)
    attempted, accepted = [], []
    while attempts:
        at, i = heappop(attempts)
        attempted.append(at)
        recent = len(accepted) - bisect_right(accepted, at - 1_000.0)
        if recent < rate:
            accepted.append(at)
        else:
            heappush(attempts, (at + connect_ms + backoffs[i].next_delay_ms(), i))
    assert accepted[-1] < 1.1e3 * count / rate  # no second is unused
    later = [at for at in attempted if 3_000.0 <= at < 13_000.0]
    assert len(later) / 10.0 < 1.1 * count  # about one attempt a second each, not one a millisecond
    assert count_busiest_window(later, 100.0) < 0.25 * count

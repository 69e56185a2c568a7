"""Connection limits: bounds that hold at every instant, and what probes leave to set-ups."""

from bisect import bisect_right
from heapq import heapify, heappop, heappush
from random import Random

import pytest

from glencleat.checker.chance_bounds import count_busiest_window
from glencleat.flow_control.backoff import HOST_BACKOFF, Backoff
from glencleat.flow_control.connection_limiter import (
    BURST_S,
    MAX_CONNECTING_PER_ADDRESS,
    MIN_CONNECTING,
    MIN_RATE_PER_S,
    ConnectionLimiter,
    probe_interval_ms,
)

HOSTS = 400


def test_a_second_holds_no_more_than_the_rate_and_a_burst():
    limiter, begun = ConnectionLimiter(), []
    for at in range(0, 5_000, 2):
        while limiter.allows(float(at), HOSTS):
            limiter.record_start((f"h{len(begun)}", 1), float(at))
            limiter.record_end((f"h{len(begun)}", 1))
            begun.append(at)
    for start in range(0, 4_000, 250):
        assert sum(start <= at < start + 1_000 for at in begun) <= HOSTS * (1.0 + BURST_S) + 1
    assert len(begun) > 4.9 * HOSTS


def test_probes_leave_half_to_set_ups():
    limiter = ConnectionLimiter()
    for count in range(10_000):
        if not limiter.allows(0.0, 10, is_probe=True):
            break
        limiter.record_start((f"h{count}", 1), 0.0)
    assert count <= MIN_CONNECTING / 2 and limiter.allows(0.0, 10)
    assert limiter.rejected_count == 1


def test_more_hosts_raise_the_rate_but_not_the_first_burst():
    few, many = ConnectionLimiter(), ConnectionLimiter()

    def start_all(limiter, host_count):
        begun = 0
        while limiter.allows(0.0, host_count):
            limiter.record_start(("h", begun), 0.0)
            begun += 1
        return begun

    assert start_all(few, 10) == BURST_S * MIN_RATE_PER_S  # tokens first, then what comes up
    assert start_all(many, 4_000) == BURST_S * MIN_RATE_PER_S  # a larger list fills up over time, not at once
    assert many.allows(1_000.0, 4_000)


def test_many_allocators_probe_less_often_each():
    assert probe_interval_ms(16) == 500.0  # below the second that one alone keeps
    assert probe_interval_ms(64) == 2_000.0 and probe_interval_ms(300) == probe_interval_ms(10_000) == 3_000.0


def test_an_address_is_saturated_until_one_has_ended():
    limiter, address = ConnectionLimiter(), ("h", 1)
    for _ in range(MAX_CONNECTING_PER_ADDRESS):
        assert not limiter.is_saturated(address)
        limiter.record_start(address, 0.0)
    assert limiter.is_saturated(address) and not limiter.is_saturated(("h", 2))
    limiter.record_end(address)
    assert not limiter.is_saturated(address) and limiter.connecting_count == MAX_CONNECTING_PER_ADDRESS - 1


@pytest.mark.parametrize("count", [50, 300])
def test_hundreds_reconnect_to_a_host_spread(count):
    """A model of a host that resets all at once. Without jitter all were back in the same instant each time."""
    attempts = []
    for seed in range(count):
        backoff, at_ms = Backoff(HOST_BACKOFF, Random(seed)), 0.0
        while at_ms < 5_000.0:
            at_ms += backoff.next_delay_ms()
            attempts.append(at_ms)
    assert max(sum(at <= t < at + 10.0 for t in attempts) for at in range(0, 4_990, 10)) < 0.2 * count
    late = sum(1_000.0 <= t < 4_000.0 for t in attempts) / 3.0 / count
    assert 1.1 < late < 1.5  # attempts a second each; 1.25 on average


def test_a_host_that_accepts_ten_a_second_is_up_for_all_as_soon_as_it_can():
    """300 allocators connect at one moment; one that is not accepted waits for the connect timeout."""
    count, rate_per_s, connect_timeout_ms = 300, 10, 250.0
    backoffs = [Backoff(HOST_BACKOFF, Random(seed)) for seed in range(count)]
    attempts = [(0.0, i) for i in range(count)]
    heapify(attempts)
    attempted, accepted = [], []
    while attempts:
        at, i = heappop(attempts)
        attempted.append(at)
        recent = len(accepted) - bisect_right(accepted, at - 1_000.0)
        if recent < rate_per_s:
            accepted.append(at)
        else:
            heappush(attempts, (at + connect_timeout_ms + backoffs[i].next_delay_ms(), i))
    assert accepted[-1] < 1.1e3 * count / rate_per_s  # no second goes by unused
    later = [at for at in attempted if 3_000.0 <= at < 13_000.0]
    assert len(later) / 10.0 < 1.1 * count  # an attempt a second each, not one a millisecond
    assert count_busiest_window(later, 100.0) < 0.25 * count

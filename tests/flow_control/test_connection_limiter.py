"""How many connections begin: bounds that hold at every instant, and what is left for set-ups."""

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


def test_a_second_holds_no_more_than_the_rate_and_a_burst():
    connecting, begun = ConnectionLimiter(), []
    for at in range(0, 5_000, 2):
        while connecting.may_connect(float(at), HOSTS):
            connecting.record_connect_begin((f"h{len(begun)}", 1), float(at))
            connecting.record_connect_end((f"h{len(begun)}", 1))
            begun.append(at)
    for start in range(0, 4_000, 250):
        assert sum(start <= at < start + 1_000 for at in begun) <= HOSTS * (1.0 + BURST_S) + 1
    assert len(begun) > 4.9 * HOSTS


def test_looks_leave_half_to_set_ups():
    connecting = ConnectionLimiter()
    for count in range(10_000):
        if not connecting.may_connect(0.0, 10, is_liveness_check=True):
            break
        connecting.record_connect_begin((f"h{count}", 1), 0.0)
    assert count <= MIN_CONNECTING_LIMIT / 2 and connecting.may_connect(0.0, 10)
    assert connecting.denied_count == 1


def test_more_hosts_allow_more_and_the_rest_of_the_tokens_goes():
    few, many = ConnectionLimiter(), ConnectionLimiter()

    def count(one, hosts):
        begun = 0
        while one.may_connect(0.0, hosts):
            one.record_connect_begin(("h", begun), 0.0)
            begun += 1
        return begun

    assert count(few, 10) == BURST_S * MIN_RATE_PER_S  # tokens first, then what comes up
    assert count(many, 4_000) == BURST_S * MIN_RATE_PER_S  # a larger list fills up over time, not at once
    assert many.may_connect(1_000.0, 4_000)


def test_many_allocators_look_less_often_each():
    assert quiet_limit_ms(16) == 500.0  # below the second that one alone keeps
    assert quiet_limit_ms(64) == 2_000.0 and quiet_limit_ms(300) == quiet_limit_ms(10_000) == 3_000.0


def test_one_address_is_shared_until_one_has_ended():
    connecting, address = ConnectionLimiter(), ("h", 1)
    for _ in range(MAX_CONNECTING_PER_ADDRESS):
        assert not connecting.is_saturated(address)
        connecting.record_connect_begin(address, 0.0)
    assert connecting.is_saturated(address) and not connecting.is_saturated(("h", 2))
    connecting.record_connect_end(address)
    assert (
        not connecting.is_saturated(address) and connecting.connecting_count == MAX_CONNECTING_PER_ADDRESS - 1
    )


@pytest.mark.parametrize("count", [50, 300])
def test_hundreds_come_back_to_a_host_spread(count):
    """By model: a host resets all of them at once. Before, all were back in the same instant each time."""
    tries = []
    for i in range(count):
        asking, at = Backoff(HOST_BACKOFF, Random(i)), 0.0
        while at < 5_000.0:
            at += asking.next_delay_ms()
            tries.append(at)
    assert max(sum(at <= t < at + 10.0 for t in tries) for at in range(0, 4_990, 10)) < 0.2 * count
    late = sum(1_000.0 <= t < 4_000.0 for t in tries) / 3.0 / count
    assert 1.1 < late < 1.5  # a second each, in the mean as before (1.25)


def test_a_host_that_takes_ten_connections_a_second_is_up_for_all_as_soon_as_it_can():
    """300 allocators have something there at one moment; who is not let in hears nothing for a connect's time."""
    count, rate, connect_ms = 300, 10, 250.0
    asking = [Backoff(HOST_BACKOFF, Random(i)) for i in range(count)]
    tries = [(0.0, i) for i in range(count)]
    heapify(tries)
    asked, let_in = [], []
    while tries:
        at, i = heappop(tries)
        asked.append(at)
        recent = len(let_in) - bisect_right(let_in, at - 1_000.0)
        if recent < rate:
            let_in.append(at)
        else:
            heappush(tries, (at + connect_ms + asking[i].next_delay_ms(), i))
    assert let_in[-1] < 1.1e3 * count / rate  # no second goes by unused
    later = [at for at in asked if 3_000.0 <= at < 13_000.0]
    assert len(later) / 10.0 < 1.1 * count  # a try a second each, not one a millisecond
    assert count_busiest_window(later, 100.0) < 0.25 * count

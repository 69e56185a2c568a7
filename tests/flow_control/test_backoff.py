"""Asking again: one alone, and hundreds that saw the same break."""

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


def crowd(count, until_ms, down=lambda at: True, lasted=0.0, pace=MACHINE_LIST_BACKOFF):
    """The times of all tries of `count` who all lost the party at 0 and are turned away while it is `down`."""
    tries, last = [], []
    for i in range(count):
        asking, at = Backoff(pace, Random(i)), 0.0
        while at < until_ms:
            at += asking.next_delay_ms(lasted)
            tries.append(at)
            if not down(at):
                break
        last.append(at)
    return sorted(tries), last


def busiest(tries, window=100.0):
    return max(bisect_left(tries, start + window) - i for i, start in enumerate(tries))


@pytest.mark.parametrize("count", [50, 300, 1000])
def test_a_crowd_neither_goes_in_step_nor_keeps_the_service_down(count):
    """60 came back 9.8 times a second each, all in the same 100 ms, for as long as it lasted."""
    tries, _ = crowd(count, 30_000.0)
    later = [at for at in tries if at >= 3_000.0]
    assert len(later) / 27.0 < 0.98 * count
    assert busiest(later) < 0.25 * count and busiest(tries) < 0.3 * count


@pytest.mark.parametrize("well_at", [0.0, 3_000.0, 11_000.0])
def test_all_are_back_soon_after_it_is_well(well_at):
    _, back = crowd(300, 60_000.0, down=lambda at: at < well_at)
    assert max(back) < well_at + MACHINE_LIST_BACKOFF.max_ms


def test_a_single_break_costs_less_than_the_page_allows():
    """The first two waits, with 0.1 s for each try, keep within the 2 s after which drains count as told."""
    for seed in range(500):
        asking = Backoff(MACHINE_LIST_BACKOFF, Random(seed))
        assert asking.next_delay_ms(60_000.0) + asking.next_delay_ms() + 200.0 <= 2_000.0


def test_one_that_ends_at_once_does_not_count_as_success():
    """A service that takes connections and closes them would be asked as after a first break, without end."""
    asking = Backoff(MACHINE_LIST_BACKOFF, Random(1))
    waits = [asking.next_delay_ms(connected_ms=5.0) for _ in range(6)]
    assert all(wait >= 0.5 * MACHINE_LIST_BACKOFF.max_ms for wait in waits[2:])
    assert (
        asking.next_delay_ms(connected_ms=MACHINE_LIST_BACKOFF.reset_after_ms)
        <= MACHINE_LIST_BACKOFF.first_ms
    )


def test_the_other_sides_word_is_kept_and_spread():
    waits = [
        Backoff(MACHINE_LIST_BACKOFF, Random(seed)).next_delay_ms(retry_after_ms=5_000.0)
        for seed in range(200)
    ]
    assert min(waits) >= 5_000.0 and max(waits) - min(waits) > 0.8 * MACHINE_LIST_BACKOFF.first_ms


def test_hosts_are_asked_as_often_as_before():
    asking = Backoff(HOST_BACKOFF, Random(3))
    waits = [asking.next_delay_ms() for _ in range(20)]
    assert waits[0] <= 100.0 and all(500.0 <= wait <= 1_000.0 for wait in waits[5:])
    asking.reset()
    assert asking.next_delay_ms() <= 100.0


@pytest.mark.parametrize("bad", [(0.0, 1.0, 1.0), (2.0, 1.0, 1.0), (1.0, 2.0, -1.0), (1.0, 2.0, 1.0, 0.5)])
def test_a_pace_that_cannot_be_kept(bad):
    with pytest.raises(ValueError, match="invalid backoff policy"):
        BackoffPolicy(*bad)


def test_a_list_that_is_well_again_is_had_within_the_shortest_grace():
    """What the channel tells counts as told at once: the longest wait, and a try that came just before."""
    assert COMMAND_CHANNEL_BACKOFF.max_ms + watch_client.CONNECT_MS <= 2_000.0
    waits = [Backoff(COMMAND_CHANNEL_BACKOFF, Random(seed)) for seed in range(200)]
    assert (
        max(asking.next_delay_ms() for asking in waits for _ in range(20)) <= COMMAND_CHANNEL_BACKOFF.max_ms
    )

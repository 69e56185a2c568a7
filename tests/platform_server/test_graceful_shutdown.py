"""Graceful shutdown: the transition table, and every order of four signals and quiescence checks."""

import itertools

import pytest

from glencleat.platform_server.graceful_shutdown import (
    ADMISSION_WINDOW_MS,
    TRANSITIONS,
    UNDELIVERED_GRACE_MS,
    UNHANDLED_GRACE_MS,
    GracefulShutdown,
    ShutdownEvent,
    ShutdownObservation,
    ShutdownState,
)

STATES = list(ShutdownState)
OBSERVATIONS = [ShutdownObservation(*flags) for flags in itertools.product((False, True), repeat=3)]
TERMINATE, WAIT = "terminate", "wait"


def assert_close_is_due(now_ms, window_end_ms, observation):
    """Never closed with a call open, nor before a grace has passed for what it waits for."""
    assert not observation.has_open_calls
    assert not observation.has_unhandled_data or now_ms >= window_end_ms + UNHANDLED_GRACE_MS
    assert not observation.has_undelivered_releases or now_ms >= window_end_ms + UNDELIVERED_GRACE_MS


def test_every_order_of_signals_and_checks_ends_in_order():
    for events in itertools.product([TERMINATE, WAIT, *OBSERVATIONS], repeat=4):
        shutdown, now_ms, window_end_ms = GracefulShutdown(), 0.0, None
        for event in events:
            before = shutdown.state
            if event == TERMINATE:
                assert shutdown.begin(now_ms) is (before is ShutdownState.SERVING)
                window_end_ms = now_ms + ADMISSION_WINDOW_MS if window_end_ms is None else window_end_ms
            elif event == WAIT:
                now_ms += ADMISSION_WINDOW_MS
            else:
                shutdown.observe(now_ms, event)
            steps = STATES.index(shutdown.state) - STATES.index(before)
            assert steps in (0, 1)  # never back, never past a state
            if steps and shutdown.state is ShutdownState.CLOSING:
                assert now_ms >= window_end_ms  # no request is rejected inside the window
            if steps and shutdown.state is ShutdownState.CLOSED:
                assert_close_is_due(now_ms, window_end_ms, event)


def test_no_observation_delays_the_end_without_bound():
    shutdown = GracefulShutdown()
    shutdown.begin(0.0)
    busy = ShutdownObservation(has_open_calls=False, has_unhandled_data=True, has_undelivered_releases=True)
    states = [
        shutdown.observe(now_ms, busy)
        for now_ms in (ADMISSION_WINDOW_MS, ADMISSION_WINDOW_MS + UNHANDLED_GRACE_MS)
    ]
    assert states == [ShutdownState.CLOSING, ShutdownState.CLOSED]


@pytest.mark.parametrize("event", ShutdownEvent, ids=lambda event: event.name)
def test_each_event_moves_exactly_one_state_to_its_successor(event):
    moves = [(before, after) for (before, cause), after in TRANSITIONS.items() if cause is event]
    assert len(moves) == 1
    ((before, after),) = moves
    assert STATES.index(after) == STATES.index(before) + 1

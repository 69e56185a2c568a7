"""Graceful shutdown: the states that result from events in every order."""

import itertools

from glencleat.platform_server import graceful_shutdown


def test_every_order_of_signals_and_checks_passes_the_states_in_order():
    observations = [
        graceful_shutdown.ShutdownObservation(*values)
        for values in itertools.product((False, True), repeat=3)
    ]
    events = ["term", "wait", *observations]
    states = list(graceful_shutdown.ShutdownState)
    for sequence in itertools.product(events, repeat=4):
        shutdown, now, window_end = graceful_shutdown.GracefulShutdown(), 0.0, None
        for event in sequence:
            former_state = shutdown.state
            if event == "term":
                assert shutdown.begin(now) is (former_state is graceful_shutdown.ShutdownState.SERVING)
                window_end = now + graceful_shutdown.DRAIN_WINDOW_MS if window_end is None else window_end
            elif event == "wait":
                now += graceful_shutdown.DRAIN_WINDOW_MS
            else:
                shutdown.update_state(now, event)
            steps = states.index(shutdown.state) - states.index(former_state)
            assert steps in (0, 1)  # never back, never past a state
            if steps and shutdown.state is graceful_shutdown.ShutdownState.CLOSING:
                assert now >= window_end  # no call is refused within the window
            if steps and shutdown.state is graceful_shutdown.ShutdownState.CLOSED:
                assert not event.has_unanswered_calls  # never with a call open
                assert (
                    not event.has_unhandled_data or now >= window_end + graceful_shutdown.UNHANDLED_TIMEOUT_MS
                )
                assert (
                    not event.has_undelivered_releases
                    or now >= window_end + graceful_shutdown.UNDELIVERED_TIMEOUT_MS
                )


def test_nothing_delays_the_end_indefinitely():
    shutdown = graceful_shutdown.GracefulShutdown()
    shutdown.begin(0.0)
    busy = graceful_shutdown.ShutdownObservation(False, True, True)
    results = [
        shutdown.update_state(at, busy)
        for at in (
            graceful_shutdown.DRAIN_WINDOW_MS,
            graceful_shutdown.DRAIN_WINDOW_MS + graceful_shutdown.UNHANDLED_TIMEOUT_MS,
        )
    ]
    assert results == [graceful_shutdown.ShutdownState.CLOSING, graceful_shutdown.ShutdownState.CLOSED]

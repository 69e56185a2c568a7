"""From SIGTERM to the end of a process: states by events, in every order."""

import itertools

from glencleat.platform_server import graceful_shutdown


def test_every_order_of_signals_and_looks_ends_in_order():
    seen = [
        graceful_shutdown.ShutdownObservation(*values)
        for values in itertools.product((False, True), repeat=3)
    ]
    events = ["term", "wait", *seen]
    order = list(graceful_shutdown.ShutdownState)
    for story in itertools.product(events, repeat=4):
        made, now, windows = graceful_shutdown.GracefulShutdown(), 0.0, None
        for event in story:
            before = made.state
            if event == "term":
                assert made.begin(now) is (before is graceful_shutdown.ShutdownState.SERVING)
                windows = now + graceful_shutdown.DRAIN_WINDOW_MS if windows is None else windows
            elif event == "wait":
                now += graceful_shutdown.DRAIN_WINDOW_MS
            else:
                made.update_state(now, event)
            steps = order.index(made.state) - order.index(before)
            assert steps in (0, 1)  # never back, never past a state
            if steps and made.state is graceful_shutdown.ShutdownState.CLOSING:
                assert now >= windows  # nobody is turned away inside the window
            if steps and made.state is graceful_shutdown.ShutdownState.CLOSED:
                assert not event.has_unanswered_calls  # never with a call open
                assert not event.has_unhandled_data or now >= windows + graceful_shutdown.UNHANDLED_TIMEOUT_MS
                assert (
                    not event.has_undelivered_releases
                    or now >= windows + graceful_shutdown.UNDELIVERED_TIMEOUT_MS
                )


def test_no_look_holds_the_end_up_for_ever():
    made = graceful_shutdown.GracefulShutdown()
    made.begin(0.0)
    busy = graceful_shutdown.ShutdownObservation(False, True, True)
    looks = [
        made.update_state(at, busy)
        for at in (
            graceful_shutdown.DRAIN_WINDOW_MS,
            graceful_shutdown.DRAIN_WINDOW_MS + graceful_shutdown.UNHANDLED_TIMEOUT_MS,
        )
    ]
    assert looks == [graceful_shutdown.ShutdownState.CLOSING, graceful_shutdown.ShutdownState.CLOSED]

"""From SIGTERM to the end of a process: states by events, in every order."""

import itertools

from glencleat.platform_server import draining


def test_every_order_of_signals_and_looks_ends_in_order():
    seen = [draining.Seen(*values) for values in itertools.product((False, True), repeat=3)]
    events = ["term", "wait", *seen]
    order = list(draining.State)
    for story in itertools.product(events, repeat=4):
        made, now, windows = draining.Draining(), 0.0, None
        for event in story:
            before = made.state
            if event == "term":
                assert made.begin(now) is (before is draining.State.SERVING)
                windows = now + draining.WINDOW_MS if windows is None else windows
            elif event == "wait":
                now += draining.WINDOW_MS
            else:
                made.look(now, event)
            steps = order.index(made.state) - order.index(before)
            assert steps in (0, 1)  # never back, never past a state
            if steps and made.state is draining.State.CLOSING:
                assert now >= windows  # nobody is turned away inside the window
            if steps and made.state is draining.State.CLOSED:
                assert not event.unanswered  # never with a call open
                assert not event.unhandled or now >= windows + draining.UNHANDLED_MS
                assert not event.undelivered or now >= windows + draining.UNDELIVERED_MS


def test_no_look_holds_the_end_up_for_ever():
    made = draining.Draining()
    made.begin(0.0)
    busy = draining.Seen(False, True, True)
    looks = [made.look(at, busy) for at in (draining.WINDOW_MS, draining.WINDOW_MS + draining.UNHANDLED_MS)]
    assert looks == [draining.State.CLOSING, draining.State.CLOSED]

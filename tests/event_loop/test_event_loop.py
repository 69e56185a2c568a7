"""The kernel: timers against the plain ones, tasks, streams that bound what a peer can pile up."""

import contextlib
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glencleat.event_loop import (
    CancelledError,
    Listener,
    Loop,
    Pause,
    Stream,
    StreamClosedError,
    StreamOverflowError,
    TimerHeap,
    TimerWheel,
    connect,
    streams,
)

# ---- timers ----

OPS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.floats(0.0, 5_000.0) | st.floats(0.0, 1e8) | st.floats(1e9, 1e13)),
        st.tuples(st.just("cancel"), st.integers(0, 30)),
        st.tuples(st.just("to"), st.floats(0.0, 3_000.0) | st.floats(0.0, 2e8)),
    ),
    max_size=40,
)


@settings(max_examples=300, deadline=None)
@given(OPS, st.floats(0.0, 1e7))
def test_the_wheel_fires_what_the_heap_fires(ops, start):
    """Each once, never early, at most a tick late, whatever is cancelled in between."""
    heap, wheel, now = TimerHeap(), TimerWheel(start), start
    both, fired = [], {0: set(), 1: set()}
    for op, value in ops:
        if op == "add":
            number = len(both)
            both.append([each.add(now + value, lambda: None) for each in (heap, wheel)])
            both[-1].append(number)
        elif op == "cancel" and both:
            for timer in both[value % len(both)][:2]:
                timer.cancel()
        elif op == "to":
            now += value
            for which, timers in enumerate((heap, wheel)):
                for timer in timers.pop_due(now):
                    number = next(n for *pair, n in both if timer is pair[which])
                    assert number not in fired[which] and timer.due_ms <= now
                    fired[which].add(number)
            late = {
                n
                for n in fired[0] - fired[1]
                if both[n][0].due_ms <= now - 1.0 and both[n][1].callback is not None
            }
            assert not late and fired[1] <= fired[0]


@settings(max_examples=200, deadline=None)
@given(st.lists(st.floats(0.0, 1e6), min_size=1, max_size=20))
def test_the_wheel_tells_when_to_look_again(delays):
    """Looking only when it says so misses nothing, and fires everything."""
    wheel, now, fired = TimerWheel(), 0.0, 0
    for delay in delays:
        wheel.add(delay, lambda: None)
    while (due := wheel.next_due()) is not None:
        assert due > now
        now = due
        fired += len(wheel.pop_due(now))
    assert fired == len(delays)


# ---- tasks ----


def test_a_cancelled_task_cleans_up_and_takes_its_children_along():
    loop, seen = Loop(), []

    def child():
        try:
            yield from loop.sleep(10_000.0)
        except CancelledError:
            seen.append("child")
            raise

    def parent():
        loop.spawn(child(), "child", loop.current_task)
        try:
            yield from loop.sleep(10_000.0)
        finally:
            seen.append("parent")

    task = loop.spawn(parent(), "parent")
    loop.call_in(5.0, lambda: loop.cancel(task))
    loop.run_until(task)
    loop.run_until(loop.spawn(loop.sleep(1.0), "a round"))
    assert seen == ["parent", "child"]


def test_a_cancel_that_comes_just_after_the_wake_leaves_no_wait_behind():
    loop = Loop()

    def twice():
        yield from loop.sleep(1.0)
        yield from loop.sleep(50.0)

    task = loop.spawn(twice(), "twice")
    loop.run_once(may_wait=False)
    loop.wake(task)
    loop.cancel(task)
    loop.run_until(task)
    loop.run_until(loop.spawn(loop.sleep(80.0), "later"))  # the second wait's timer must not wake a dead task
    assert task.done and not loop.ready


def test_join_gives_the_result_or_the_error():
    loop = Loop()

    def works():
        yield from loop.sleep(1.0)
        return 5

    def fails():
        yield from loop.sleep(1.0)
        raise KeyError("x")

    def joins(gen):
        result = yield from loop.join(loop.spawn(gen, "other"))
        return result

    assert loop.run_until(loop.spawn(joins(works()), "j")) == 5
    with pytest.raises(KeyError):
        loop.run_until(loop.spawn(joins(fails()), "j"))


# ---- streams ----


def pair(loop, limit=1 << 16):
    ours, theirs = socket.socketpair()
    theirs.setblocking(False)
    return Stream(loop, ours, limit), theirs


def test_a_peer_that_stops_reading_is_cut_off():
    loop = Loop()
    stream, _theirs = pair(loop)
    why = []
    stream.close_callbacks.append(why.append)
    with pytest.raises(StreamOverflowError):
        for _ in range(1_000):
            stream.send(b"x" * 10_000)
    assert why[0].startswith("slow reader") and stream.written_bytes < stream.queued_bytes
    with pytest.raises(StreamClosedError):
        stream.send(b"more")


def test_written_counts_what_was_handed_over_and_the_rest_follows():
    loop = Loop()
    stream, theirs = pair(loop, 1 << 22)
    end = stream.send(b"x" * 1_000_000)
    assert 0 < stream.written_bytes < end
    got = 0
    flush = loop.spawn(stream.flush(), "flush")
    while not flush.done:
        loop.run_once(may_wait=False)
        try:
            got += len(theirs.recv(1 << 20))
        except BlockingIOError:
            continue
    assert stream.written_bytes == end


def test_read_gives_bytes_the_end_and_the_loss():
    loop = Loop()
    stream, theirs = pair(loop)
    theirs.send(b"abc")
    assert loop.run_until(loop.spawn(stream.read(), "r")) == b"abc"
    loop.call_in(5.0, theirs.close)
    assert loop.run_until(loop.spawn(stream.read(), "r")) == b""
    stream.close("done")
    with pytest.raises(StreamClosedError, match="done"):
        loop.run_until(loop.spawn(stream.read(), "r"))


def test_connecting_to_nobody_says_so():
    loop = Loop()
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        address = taken.getsockname()
        with pytest.raises(StreamClosedError, match="can't connect to 127.0.0.1"):
            loop.run_until(loop.spawn(connect(loop, address, 500.0), "c"))


def test_the_listener_sheds_newcomers_when_descriptors_run_out(monkeypatch):
    """The queue is emptied by the spare one: otherwise a level-triggered loop spins at full speed."""
    loop, accepted, dropped = Loop(), [], []
    listener = Listener(loop, ("127.0.0.1", 0), accepted.append, on_drop=dropped.append)
    real, tries = listener.sock, []

    class Full:
        """Refuses as the system does, until the spare descriptor has been given up."""

        def accept(self):
            tries.append(listener.spare_fd)
            if listener.spare_fd is not None:
                raise OSError(24, "Too many open files")
            return real.accept()

        def __getattr__(self, name):
            return getattr(real, name)

    clients = [socket.create_connection(listener.address) for _ in range(3)]
    listener.sock = Full()
    for _ in range(5):
        loop.run_once(may_wait=False)
    assert not accepted and dropped[0] == "out of file descriptors"
    for client in clients:
        client.settimeout(2.0)
        assert client.recv(1) == b""  # told at once, not left to hang
    listener.sock = real
    with socket.create_connection(listener.address):
        loop.run_once(may_wait=False)
        loop.run_once(may_wait=False)
    assert len(accepted) == 1
    listener.close()


def test_the_listener_keeps_to_its_most():
    loop, accepted, dropped = Loop(), [], []
    listener = Listener(loop, ("127.0.0.1", 0), accepted.append, max_connections=2, on_drop=dropped.append)
    clients = [socket.create_connection(listener.address) for _ in range(3)]
    for _ in range(3):
        loop.run_once(may_wait=False)
    assert len(accepted) == 2 and len(dropped) == 1
    accepted[0].close()
    clients.append(socket.create_connection(listener.address))
    loop.run_once(may_wait=False)
    assert len(accepted) == 3
    listener.close()


def test_a_listener_that_can_shed_nobody_rests(monkeypatch):
    """Without even the spare descriptor the queue stays full: the loop was told of it at once, without end."""
    loop, accepted = Loop(), []
    listener = Listener(loop, ("127.0.0.1", 0), accepted.append)
    real, tries = listener.sock, []

    class Full:
        def accept(self):
            tries.append(loop.now())
            raise OSError(24, "Too many open files")

        def __getattr__(self, name):
            return getattr(real, name)

    def none_left(*_):
        raise OSError(24, "Too many open files")

    client = socket.create_connection(listener.address)
    listener.sock = Full()
    with monkeypatch.context() as patch:
        patch.setattr(streams.os, "open", none_left)
        end = loop.now() + 4.0 * streams.ACCEPT_RETRY_MS
        loop.call_in(4.0 * streams.ACCEPT_RETRY_MS, lambda: None)
        while loop.now() < end:
            loop.run_once()
    assert 2 <= len(tries) <= 12  # twice at each look: the queue, and the one to shed
    listener.sock = real
    while not accepted:
        loop.run_once()
    client.close()
    listener.close()


def test_an_error_in_one_timer_leaves_the_others():
    loop, rang = Loop(), []
    loop.call_in(0.0, lambda: 1 // 0)
    for n in range(3):
        loop.call_in(0.0, lambda n=n: rang.append(n))
    loop.call_in(30.0, lambda: rang.append("later"))
    faults = 0
    while "later" not in rang:
        try:
            loop.run_once()
        except ZeroDivisionError:
            faults += 1
    assert (faults, rang) == (1, [0, 1, 2, "later"])


def test_one_that_sends_faster_than_it_is_read_takes_turns():
    """Its reader never waits: before, one round went on for as long as bytes came."""
    loop, got = Loop(), []
    ours, theirs = socket.socketpair()
    stream = Stream(loop, ours)
    theirs.setblocking(False)

    def fill():
        with contextlib.suppress(BlockingIOError):
            while True:
                theirs.send(b"x" * 65_536)

    def read():
        while True:
            got.append(len((yield from stream.read(4_096))))
            fill()  # never empty

    fill()
    loop.spawn(read(), "reader")
    for rounds in range(1, 6):
        loop.call_in(0.0, lambda: None)
        loop.run_once()
        assert len(got) <= rounds * streams.READS_PER_TURN
    assert got
    stream.close()
    theirs.close()


@pytest.mark.parametrize("early", [True, False])
def test_a_pause_ends_early_or_in_time_and_once(early):
    loop = Loop()
    pause, slept = Pause(loop), []

    def sleeper():
        slept.append((yield from pause.sleep(60_000.0 if early else 1.0)))
        slept.append((yield from pause.sleep(1.0)))

    task = loop.spawn(sleeper(), "sleeper")
    pause.wake()  # nobody is asleep yet
    if early:
        loop.run_once(may_wait=False)
        assert pause.is_sleeping
        pause.wake()
        pause.wake()
    loop.run_until(task)
    assert slept == [not early, True] and not pause.is_sleeping


def test_a_pause_that_is_cancelled_wakes_nobody():
    loop = Loop()
    pause = Pause(loop)
    task = loop.spawn(pause.sleep(60_000.0), "sleeper")
    loop.run_once(may_wait=False)
    loop.cancel(task)
    loop.run_once(may_wait=False)
    pause.wake()
    assert task.done and not pause.is_sleeping and not loop.ready

"""The event loop: timer wheel against heap, tasks, streams with bounded buffers, listeners."""

import contextlib
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glencleat.event_loop import (
    CancelledError,
    InterruptibleSleep,
    Listener,
    Loop,
    Stream,
    StreamClosedError,
    StreamOverflowError,
    TimerHeap,
    TimerWheel,
    connect,
    streams,
)
from glencleat.event_loop.listener import ACCEPT_PAUSE_MS

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
def test_timer_wheel_fires_what_the_heap_fires(ops, start):
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
def test_polling_the_wheel_at_next_due_misses_no_timer(delays):
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


def test_cancelled_task_cleans_up_and_cancels_its_children():
    loop, seen = Loop(), []

    def child():
        try:
            yield from loop.sleep(10_000.0)
        except CancelledError:
            seen.append("child")
            raise

    def parent():
        loop.spawn(child(), "child", loop.current)
        try:
            yield from loop.sleep(10_000.0)
        finally:
            seen.append("parent")

    task = loop.spawn(parent(), "parent")
    loop.call_in(5.0, lambda: loop.cancel(task))
    loop.run_until(task)
    loop.run_until(loop.spawn(loop.sleep(1.0), "a round"))
    assert seen == ["parent", "child"]


def test_cancel_after_wake_leaves_no_wait_armed():
    loop = Loop()

    def twice():
        yield from loop.sleep(1.0)
        yield from loop.sleep(50.0)

    task = loop.spawn(twice(), "twice")
    loop.run_once(wait=False)
    loop.wake(task)
    loop.cancel(task)
    loop.run_until(task)
    loop.run_until(loop.spawn(loop.sleep(80.0), "later"))  # the second wait's timer must not wake a dead task
    assert task.is_done and not loop.ready


def test_join_returns_the_result_or_raises_the_error():
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


def stream_pair(loop, limit=1 << 16):
    ours, theirs = socket.socketpair()
    theirs.setblocking(False)
    return Stream(loop, ours, limit), theirs


def test_slow_reader_is_closed_at_the_unsent_limit():
    loop = Loop()
    stream, _theirs = stream_pair(loop)
    why = []
    stream.on_close.append(why.append)
    with pytest.raises(StreamOverflowError):
        for _ in range(1_000):
            stream.send(b"x" * 10_000)
    assert why[0].startswith("slow reader") and stream.written_bytes < stream.queued_bytes
    with pytest.raises(StreamClosedError):
        stream.send(b"more")


def test_written_bytes_counts_what_the_socket_took_until_flushed():
    loop = Loop()
    stream, theirs = stream_pair(loop, 1 << 22)
    end = stream.send(b"x" * 1_000_000)
    assert 0 < stream.written_bytes < end
    got = 0
    flush = loop.spawn(stream.flush(), "flush")
    while not flush.is_done:
        loop.run_once(wait=False)
        try:
            got += len(theirs.recv(1 << 20))
        except BlockingIOError:
            continue
    assert stream.written_bytes == end


def test_read_returns_bytes_then_end_then_raises_when_closed():
    loop = Loop()
    stream, theirs = stream_pair(loop)
    theirs.send(b"abc")
    assert loop.run_until(loop.spawn(stream.read(), "r")) == b"abc"
    loop.call_in(5.0, theirs.close)
    assert loop.run_until(loop.spawn(stream.read(), "r")) == b""
    stream.close("done")
    with pytest.raises(StreamClosedError, match="done"):
        loop.run_until(loop.spawn(stream.read(), "r"))


def test_connect_without_a_listener_raises_with_the_address():
    loop = Loop()
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        address = taken.getsockname()
        with pytest.raises(StreamClosedError, match="can't connect to 127.0.0.1"):
            loop.run_until(loop.spawn(connect(loop, address, 500.0), "c"))


def test_listener_sheds_newcomers_when_descriptors_run_out(monkeypatch):
    """The queue is emptied by the spare one: otherwise a level-triggered loop spins at full speed."""
    loop, accepted, dropped = Loop(), [], []
    listener = Listener(loop, ("127.0.0.1", 0), accepted.append, on_dropped=dropped.append)
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
        loop.run_once(wait=False)
    assert not accepted and dropped[0] == "out of file descriptors"
    for client in clients:
        client.settimeout(2.0)
        assert client.recv(1) == b""  # told at once, not left to hang
    listener.sock = real
    with socket.create_connection(listener.address):
        loop.run_once(wait=False)
        loop.run_once(wait=False)
    assert len(accepted) == 1
    listener.close()


def test_listener_accepts_at_most_max_connections():
    loop, accepted, dropped = Loop(), [], []
    listener = Listener(loop, ("127.0.0.1", 0), accepted.append, max_connections=2, on_dropped=dropped.append)
    clients = [socket.create_connection(listener.address) for _ in range(3)]
    for _ in range(3):
        loop.run_once(wait=False)
    assert len(accepted) == 2 and len(dropped) == 1
    accepted[0].close()
    clients.append(socket.create_connection(listener.address))
    loop.run_once(wait=False)
    assert len(accepted) == 3
    listener.close()


def test_listener_without_spare_descriptor_pauses_accepting(monkeypatch):
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
        end = loop.now() + 4.0 * ACCEPT_PAUSE_MS
        loop.call_in(4.0 * ACCEPT_PAUSE_MS, lambda: None)
        while loop.now() < end:
            loop.run_once()
    assert 2 <= len(tries) <= 12  # twice at each look: the queue, and the one to shed
    listener.sock = real
    while not accepted:
        loop.run_once()
    client.close()
    listener.close()


def test_error_in_one_timer_leaves_the_others_due():
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


def test_fast_sender_is_read_in_turns_with_other_tasks():
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
        assert len(got) <= rounds * streams.IMMEDIATE_READS_MAX
    assert got
    stream.close()
    theirs.close()


@pytest.mark.parametrize("early", [True, False], ids=["interrupted", "complete"])
def test_interruptible_sleep_ends_once_early_or_in_time(early):
    loop = Loop()
    sleep, slept = InterruptibleSleep(loop), []

    def sleeper():
        slept.append((yield from sleep.sleep(60_000.0 if early else 1.0)))
        slept.append((yield from sleep.sleep(1.0)))

    task = loop.spawn(sleeper(), "sleeper")
    sleep.interrupt()  # nobody is asleep yet
    if early:
        loop.run_once(wait=False)
        assert sleep.is_asleep
        sleep.interrupt()
        sleep.interrupt()
    loop.run_until(task)
    assert slept == [not early, True] and not sleep.is_asleep


def test_cancelled_interruptible_sleep_wakes_no_task():
    loop = Loop()
    sleep = InterruptibleSleep(loop)
    task = loop.spawn(sleep.sleep(60_000.0), "sleeper")
    loop.run_once(wait=False)
    loop.cancel(task)
    loop.run_once(wait=False)
    sleep.interrupt()
    assert task.is_done and not sleep.is_asleep and not loop.ready

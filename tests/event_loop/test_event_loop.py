"""The event loop: the timer wheel against the heap, tasks, and streams with bounded buffers."""

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

OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.floats(0.0, 5_000.0) | st.floats(0.0, 1e8) | st.floats(1e9, 1e13)),
        st.tuples(st.just("cancel"), st.integers(0, 30)),
        st.tuples(st.just("to"), st.floats(0.0, 3_000.0) | st.floats(0.0, 2e8)),
    ),
    max_size=40,
)


@settings(max_examples=300, deadline=None)
@given(OPERATIONS, st.floats(0.0, 1e7))
def test_timer_wheel_fires_the_same_timers_as_the_heap(operations, start):
    """Each timer fires once, never early and at most one tick late, also with cancellations in between."""
    heap, wheel, now = TimerHeap(), TimerWheel(start), start
    added, fired = [], {0: set(), 1: set()}
    for operation, value in operations:
        if operation == "add":
            number = len(added)
            added.append([container.add(now + value, lambda: None) for container in (heap, wheel)])
            added[-1].append(number)
        elif operation == "cancel" and added:
            for timer in added[value % len(added)][:2]:
                timer.cancel()
        elif operation == "to":
            now += value
            for index, timers in enumerate((heap, wheel)):
                for timer in timers.pop_due(now):
                    number = next(n for *pair, n in added if timer is pair[index])
                    assert number not in fired[index] and timer.due_ms <= now
                    fired[index].add(number)
            late = {
                n
                for n in fired[0] - fired[1]
                if added[n][0].due_ms <= now - 1.0 and added[n][1].callback is not None
            }
            assert not late and fired[1] <= fired[0]


@settings(max_examples=200, deadline=None)
@given(st.lists(st.floats(0.0, 1e6), min_size=1, max_size=20))
def test_polling_timer_wheel_at_next_due_fires_every_timer(delays):
    wheel, now, fired = TimerWheel(), 0.0, 0
    for delay in delays:
        wheel.add(delay, lambda: None)
    while (due := wheel.next_due()) is not None:
        assert due > now
        now = due
        fired += len(wheel.pop_due(now))
    assert fired == len(delays)


# ---- tasks ----


def test_cancelled_task_runs_cleanup_and_cancels_its_children():
    loop, cleaned_up = Loop(), []

    def child():
        try:
            yield from loop.sleep(10_000.0)
        except CancelledError:
            cleaned_up.append("child")
            raise

    def parent():
        loop.spawn(child(), "child", loop.current_task)
        try:
            yield from loop.sleep(10_000.0)
        finally:
            cleaned_up.append("parent")

    task = loop.spawn(parent(), "parent")
    loop.call_in(5.0, lambda: loop.cancel(task))
    loop.run_until(task)
    loop.run_until(loop.spawn(loop.sleep(1.0), "another iteration"))
    assert cleaned_up == ["parent", "child"]


def test_cancel_right_after_wake_leaves_no_wait_behind():
    loop = Loop()

    def twice():
        yield from loop.sleep(1.0)
        yield from loop.sleep(50.0)

    task = loop.spawn(twice(), "twice")
    loop.run_once(may_wait=False)
    loop.wake(task)
    loop.cancel(task)
    loop.run_until(task)
    # The timer of the second wait must not wake the finished task.
    loop.run_until(loop.spawn(loop.sleep(80.0), "later"))
    assert task.done and not loop.ready


def test_join_returns_the_result_or_raises_the_error():
    loop = Loop()

    def succeed():
        yield from loop.sleep(1.0)
        return 5

    def fail():
        yield from loop.sleep(1.0)
        raise KeyError("x")

    def join(gen):
        result = yield from loop.join(loop.spawn(gen, "other"))
        return result

    assert loop.run_until(loop.spawn(join(succeed()), "j")) == 5
    with pytest.raises(KeyError):
        loop.run_until(loop.spawn(join(fail()), "j"))


# ---- streams ----


def make_stream(loop, max_unsent_bytes=1 << 16):
    local, peer = socket.socketpair()
    peer.setblocking(False)
    return Stream(loop, local, max_unsent_bytes), peer


def test_peer_that_stops_reading_is_disconnected():
    loop = Loop()
    stream, _peer = make_stream(loop)
    close_reasons = []
    stream.close_callbacks.append(close_reasons.append)
    with pytest.raises(StreamOverflowError):
        for _ in range(1_000):
            stream.send(b"x" * 10_000)
    assert close_reasons[0].startswith("slow reader") and stream.written_bytes < stream.queued_bytes
    with pytest.raises(StreamClosedError):
        stream.send(b"more")


def test_written_bytes_counts_bytes_handed_to_the_socket_and_flush_writes_the_rest():
    loop = Loop()
    stream, peer = make_stream(loop, 1 << 22)
    end = stream.send(b"x" * 1_000_000)
    assert 0 < stream.written_bytes < end
    received_bytes = 0
    flush = loop.spawn(stream.flush(), "flush")
    while not flush.done:
        loop.run_once(may_wait=False)
        try:
            received_bytes += len(peer.recv(1 << 20))
        except BlockingIOError:
            continue
    assert stream.written_bytes == end


def test_read_returns_data_then_end_of_stream_then_raises_once_closed():
    loop = Loop()
    stream, peer = make_stream(loop)
    peer.send(b"abc")
    assert loop.run_until(loop.spawn(stream.read(), "r")) == b"abc"
    loop.call_in(5.0, peer.close)
    assert loop.run_until(loop.spawn(stream.read(), "r")) == b""
    stream.close("done")
    with pytest.raises(StreamClosedError, match="done"):
        loop.run_until(loop.spawn(stream.read(), "r"))


def test_failed_connect_names_the_address():
    loop = Loop()
    with socket.socket() as not_listening:
        not_listening.bind(("127.0.0.1", 0))
        address = not_listening.getsockname()
        with pytest.raises(StreamClosedError, match="can't connect to 127.0.0.1"):
            loop.run_until(loop.spawn(connect(loop, address, 500.0), "c"))


def test_listener_drops_new_connections_when_descriptors_run_out(monkeypatch):
    """Without the spare descriptor the accept queue stays full, and a level-triggered loop spins at full speed."""
    loop, accepted, dropped = Loop(), [], []
    listener = Listener(loop, ("127.0.0.1", 0), accepted.append, on_drop=dropped.append)
    real_socket, accept_calls = listener.sock, []

    class SocketOutOfDescriptors:
        """Fails with EMFILE, as the system does, until the spare descriptor has been closed."""

        def accept(self):
            accept_calls.append(listener.spare_fd)
            if listener.spare_fd is not None:
                raise OSError(24, "Too many open files")
            return real_socket.accept()

        def __getattr__(self, name):
            return getattr(real_socket, name)

    clients = [socket.create_connection(listener.address) for _ in range(3)]
    listener.sock = SocketOutOfDescriptors()
    for _ in range(5):
        loop.run_once(may_wait=False)
    assert not accepted and dropped[0] == "out of file descriptors"
    for client in clients:
        client.settimeout(2.0)
        assert client.recv(1) == b""  # closed at once rather than left waiting
    listener.sock = real_socket
    with socket.create_connection(listener.address):
        loop.run_once(may_wait=False)
        loop.run_once(may_wait=False)
    assert len(accepted) == 1
    listener.close()


def test_listener_keeps_to_its_connection_limit():
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


def test_listener_that_can_drop_no_connection_pauses(monkeypatch):
    """Guards against a busy loop: with no spare descriptor left the accept queue stays full and wakes each poll."""
    loop, accepted = Loop(), []
    listener = Listener(loop, ("127.0.0.1", 0), accepted.append)
    real_socket, accept_calls = listener.sock, []

    class SocketOutOfDescriptors:
        def accept(self):
            accept_calls.append(loop.now())
            raise OSError(24, "Too many open files")

        def __getattr__(self, name):
            return getattr(real_socket, name)

    def fail_to_open(*_):
        raise OSError(24, "Too many open files")

    client = socket.create_connection(listener.address)
    listener.sock = SocketOutOfDescriptors()
    with monkeypatch.context() as patch:
        patch.setattr(streams.os, "open", fail_to_open)
        end = loop.now() + 4.0 * streams.ACCEPT_RETRY_MS
        loop.call_in(4.0 * streams.ACCEPT_RETRY_MS, lambda: None)
        while loop.now() < end:
            loop.run_once()
    assert 2 <= len(accept_calls) <= 12  # two calls per attempt: a regular one and one to drop a connection
    listener.sock = real_socket
    while not accepted:
        loop.run_once()
    client.close()
    listener.close()


def test_error_in_one_timer_callback_does_not_lose_the_others():
    loop, fired = Loop(), []
    loop.call_in(0.0, lambda: 1 // 0)
    for n in range(3):
        loop.call_in(0.0, lambda n=n: fired.append(n))
    loop.call_in(30.0, lambda: fired.append("later"))
    errors = 0
    while "later" not in fired:
        try:
            loop.run_once()
        except ZeroDivisionError:
            errors += 1
    assert (errors, fired) == (1, [0, 1, 2, "later"])


def test_reader_of_a_fast_sender_yields_to_other_tasks():
    """Such a reader never waits for data: without a yield one iteration lasted as long as bytes arrived."""
    loop, read_sizes = Loop(), []
    local, peer = socket.socketpair()
    stream = Stream(loop, local)
    peer.setblocking(False)

    def fill():
        with contextlib.suppress(BlockingIOError):
            while True:
                peer.send(b"x" * 65_536)

    def read():
        while True:
            read_sizes.append(len((yield from stream.read(4_096))))
            fill()  # the socket is never empty

    fill()
    loop.spawn(read(), "reader")
    for iterations in range(1, 6):
        loop.call_in(0.0, lambda: None)
        loop.run_once()
        assert len(read_sizes) <= iterations * streams.READS_PER_TURN
    assert read_sizes
    stream.close()
    peer.close()


@pytest.mark.parametrize("early", [True, False])
def test_pause_ends_exactly_once_early_or_on_time(early):
    loop = Loop()
    pause, results = Pause(loop), []

    def sleeper():
        results.append((yield from pause.sleep(60_000.0 if early else 1.0)))
        results.append((yield from pause.sleep(1.0)))

    task = loop.spawn(sleeper(), "sleeper")
    pause.wake()  # no effect: no task is asleep yet
    if early:
        loop.run_once(may_wait=False)
        assert pause.is_sleeping
        pause.wake()
        pause.wake()
    loop.run_until(task)
    assert results == [not early, True] and not pause.is_sleeping


def test_cancelled_pause_wakes_no_task():
    loop = Loop()
    pause = Pause(loop)
    task = loop.spawn(pause.sleep(60_000.0), "sleeper")
    loop.run_once(may_wait=False)
    loop.cancel(task)
    loop.run_once(may_wait=False)
    pause.wake()
    assert task.done and not pause.is_sleeping and not loop.ready

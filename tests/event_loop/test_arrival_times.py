"""Arrival times of messages: by a model of the socket, over all splits and orders, and on real sockets.

A client's wait must never be reckoned shorter than it was, or its answer comes too late.
"""

import itertools
import socket

import pytest

from glencleat.event_loop import Loop, Stream, streams
from glencleat.event_loop.loop import READ
from glencleat.event_loop.streams import SO_TIMESTAMPNS, TIMESPEC
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.inbox import Inbox
from tests.support.exchange_world import setup

UNSUPPORTED_OPTION = 9_999

STEP_MS = 10.0


class ModelClock:
    def __init__(self):
        self.at = 1_000.0

    def now(self):
        return self.at

    def wall(self):
        return self.at


class ModelPoller:
    """Reports its one descriptor while the socket holds something and reads are watched."""

    idle_ms = 0.0

    def __init__(self):
        self.sock, self.interest, self.callback = None, 0, None
        self.on_collected = lambda has_events: None

    def watch(self, fd, interest, callback, is_deferred=False):
        self.interest, self.callback = interest, callback

    def change(self, fd, interest):
        self.interest = interest

    def forget(self, fd):
        self.interest = 0

    def poll(self, timeout_ms):
        is_ready = bool(self.sock.segments) and bool(self.interest & READ)
        self.on_collected(is_ready)
        if is_ready:
            self.callback(READ)
        return int(is_ready)


class ModelSocket:
    """Segments with their times; unread ones may become one with the time of its last byte, as in Linux."""

    def __init__(self, clock, is_coalescing):
        self.clock, self.is_coalescing, self.segments = clock, is_coalescing, []

    def setblocking(self, is_blocking):
        pass

    def fileno(self):
        return 3

    def setsockopt(self, level, option, value):
        assert option == SO_TIMESTAMPNS

    def close(self):
        pass

    def arrive(self, data):
        if self.is_coalescing and self.segments:
            data = self.segments.pop()[0] + data
        self.segments.append((data, self.clock.at))

    def recvmsg(self, size, _):
        if not self.segments:
            raise BlockingIOError
        data, stamp = b"", 0.0
        while self.segments and len(data) < size:
            segment, stamp = self.segments.pop(0)
            taken, rest = segment[: size - len(data)], segment[size - len(data) :]
            data += taken
            if rest:
                self.segments.insert(0, (rest, stamp))
        raw = TIMESPEC.pack(int(stamp // 1000), int(stamp % 1000 * 1e6))
        return data, [(socket.SOL_SOCKET, SO_TIMESTAMPNS, raw)], 0, None


class Model:
    """A stream on a model socket, and what is truly so: when each byte arrived, when the socket was empty."""

    def __init__(self, is_coalescing, read_size):
        self.clock, self.poller, self.read_size = ModelClock(), ModelPoller(), read_size
        self.sock = self.poller.sock = ModelSocket(self.clock, is_coalescing)
        self.loop = Loop(self.clock, self.poller)
        self.stream = Stream(self.loop, self.sock)
        self.stream.enable_timestamps()
        self.inbox, self.arrivals_by_position, self.reckoned = Inbox(), {}, []
        self.arrived_bytes = self.read_bytes = 0
        # When a poll or a read found the socket empty; a read that fills its size can't know.
        self.known_empty, self.may_hold_more = [self.clock.at], False
        self.read()  # finds nothing; the poller watches from now on

    def arrive(self, data):
        self.sock.arrive(data)
        for _ in data:
            self.arrived_bytes += 1
            self.arrivals_by_position[self.arrived_bytes] = self.clock.at

    def poll(self):
        if not self.sock.segments and not self.may_hold_more:
            self.known_empty.append(self.clock.at)
        self.loop.poll_began_unix_ms = self.clock.wall()
        self.loop.poller.poll(0.0)

    def read(self):
        """One read, whether or not the poller has reported something."""
        data = self.stream.read_nowait(self.read_size)
        earliest_allowed = self.known_empty[-1]
        if data:
            self.inbox.feed(data, self.stream.received_after_unix_ms, self.stream.received_at_unix_ms)
            while self.inbox.has_next:
                _, arrived = self.inbox.next_message()
                self.reckoned.append((self.inbox.consumed_bytes, arrived, earliest_allowed))
        self.may_hold_more = data is not None and len(data) == self.read_size
        if not self.may_hold_more:
            self.known_empty.append(self.clock.at)


def run_model(segments, schedule, is_coalescing, read_size):
    """Before each segment the loop does what the schedule says: nothing, a poll, a read, or both."""
    model = Model(is_coalescing, read_size)
    for segment, actions in zip(segments, schedule, strict=True):
        for action in actions:
            model.clock.at += STEP_MS
            getattr(model, action)()
        model.clock.at += STEP_MS
        model.arrive(segment)
    while len(model.reckoned) * len(MESSAGE) < model.arrived_bytes:
        model.clock.at += STEP_MS
        model.poll()
        model.read()
    return model


MESSAGE = m.encode(m.PROBE, 1)
ACTIONS = [(), ("poll",), ("read",), ("poll", "read")]
SCHEDULES = list(itertools.product([("poll",)], ACTIONS, ACTIONS))


@pytest.mark.parametrize("is_coalescing", [False, True])
@pytest.mark.parametrize("read_size", [5, 11, 12, 22, 64])
def test_no_wait_is_reckoned_shorter_than_it_was(is_coalescing, read_size):
    """All splits of three messages into three segments. At most the time since the socket was last found empty
    is added to a wait."""
    data = 3 * MESSAGE
    for first, second in itertools.combinations(range(1, len(data)), 2):
        segments = data[:first], data[first:second], data[second:]
        for schedule in SCHEDULES:
            model = run_model(segments, schedule, is_coalescing, read_size)
            assert [position for position, _, _ in model.reckoned] == [11, 22, 33]
            for position, arrived, earliest_allowed in model.reckoned:
                true_arrival = model.arrivals_by_position[position]
                assert earliest_allowed <= arrived <= true_arrival, (segments, schedule, position)


def test_a_single_message_has_the_time_of_its_last_byte():
    """A message by itself, in pieces or whole, is reckoned exactly: nothing is added without a burst."""
    for cut in range(1, len(MESSAGE)):
        for schedule in itertools.product([(), ("poll",), ("poll", "read")], repeat=2):
            model = run_model((MESSAGE[:cut], MESSAGE[cut:]), schedule, True, 64)
            assert [arrived for _, arrived, _ in model.reckoned] == [model.arrivals_by_position[11]]


def test_a_read_that_may_leave_something_has_no_time_of_its_last_byte():
    """Guards against the time of a merged segment's later bytes, which are still unread."""
    model = Model(True, len(MESSAGE))
    model.arrive(MESSAGE)
    model.clock.at += STEP_MS
    model.arrive(MESSAGE)
    model.read()
    assert model.stream.received_at_unix_ms is None
    assert model.reckoned[0][1] == model.known_empty[0]


def test_a_poll_that_ends_without_another_look_proves_nothing_about_its_end(world, monkeypatch):
    """Guards against a process that is stopped within a poll until its time-out is over: as it goes on, the
    poll returns nothing, although messages wait."""
    sock = world.client()
    world.until(lambda: world.owners.connections)
    (connection,) = world.owners.connections
    poller, began_ms = world.loop.poller, world.loop.now()

    class StoppedEpoll:
        def poll(self, timeout_s, max_events):
            sock.send(setup(1) + setup(2))
            end = world.loop.now() + 80.0
            while world.loop.now() < end:
                pass
            return []

    epoll = poller.epoll
    poller.epoll = StoppedEpoll()
    world.loop.poll_began_unix_ms = world.loop.clock.wall()
    poller.poll(0.0)
    poller.epoll = epoll
    world.module.next += [[], []]
    world.until(lambda: len(world.module.events) == 2)
    waited_ms = 8_000.0 - world.module.events[0].remaining_ms
    assert 80.0 <= waited_ms <= world.loop.now() - began_ms + 300.0 and connection.stream.close_reason is None


def test_messages_that_came_during_a_stall_have_times_of_their_own(world):
    """Guards against the last message's time for all of a read, which made their waits too short."""
    sock = world.client()
    world.until(lambda: world.owners.connections)
    world.module.next += [[], [], []]
    for number, pause_ms in ((1, 60.0), (2, 60.0), (3, 0.0)):
        sock.send(setup(number, wait=8000))
        end = world.loop.now() + pause_ms
        while world.loop.now() < end:  # the loop stalls
            pass
    world.until(lambda: len(world.module.events) == 3)
    remaining_ms = [event.remaining_ms for event in world.module.events]
    assert remaining_ms[0] <= 7880.0 and remaining_ms[1] <= 7940.0
    assert min(remaining_ms) > 7000.0


def test_bytes_without_a_time_stamp_count_from_the_last_poll_without_them(world, monkeypatch):
    """Guards against a wait of 0 for what comes before the kernel stamps the accepted socket's bytes."""
    world.until(lambda: world.loop.poll_count > 2)
    monkeypatch.setattr(streams, "SO_TIMESTAMPNS", UNSUPPORTED_OPTION)
    world.owners.listener.sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 0)
    sock = world.client()
    sock.send(setup(1, wait=8000))
    end = world.loop.now() + 80.0
    while world.loop.now() < end:
        pass
    world.module.next.append([])
    world.until(lambda: world.module.events)
    assert 7000.0 < world.module.events[0].remaining_ms <= 7920.0


def test_without_time_stamps_a_message_does_not_count_from_the_start_of_its_connection(world, monkeypatch):
    """Guards against waits as long as the connection, on a system that refuses the socket option."""
    monkeypatch.setattr(streams, "SO_TIMESTAMPNS", UNSUPPORTED_OPTION)
    world.owners.listener.sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 0)
    sock = world.client()
    world.until(lambda: world.owners.connections)
    end = world.loop.now() + 400.0
    world.until(lambda: world.loop.now() > end)
    world.module.next.append([])
    sock.send(setup(1, wait=8000))
    world.until(lambda: world.module.events)
    assert 7_800.0 < world.module.events[0].remaining_ms <= 8_000.0

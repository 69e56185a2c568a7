"""A loop that stood still: what its peers have sent meanwhile is read before due timers run.

A timer that judges a peer by its silence would otherwise take a stall of this process for that silence.
"""

import socket
import time

import pytest

from glencleat.event_loop import Loop, Stream
from glencleat.event_loop.loop import STALL_MS, EpollPoller

STALL_S = 4.0 * STALL_MS / 1_000.0
TIMER_MS = 2.0 * STALL_MS


class StalledPoller(EpollPoller):
    """Stands still in its first wait until the time-out is over and returns without another look."""

    def __init__(self, during_stall):
        super().__init__()
        self.during_stall = during_stall

    def poll(self, timeout_ms):
        if timeout_ms and self.during_stall is not None:
            during_stall, self.during_stall = self.during_stall, None
            during_stall()
            time.sleep(timeout_ms / 1_000.0 + STALL_S)
            self.on_collected(False)
            return 0
        return super().poll(timeout_ms)


class Scene:
    """A stream whose peer sends `data` during the stall, and a timer that falls due within it."""

    def __init__(self, make_poller, is_urgent=False):
        ours, self.peer = socket.socketpair()
        self.loop = Loop(poller=make_poller(self.send))
        self.stream = Stream(self.loop, ours)
        self.happened = []
        self.loop.spawn(self.read(), "reader", is_urgent=is_urgent)
        self.loop.run_once(may_wait=False)  # the reader waits
        self.loop.call_in(TIMER_MS, lambda: self.happened.append("timer"))

    def send(self):
        self.peer.send(b"line")

    def read(self):
        while True:
            data = yield from self.stream.read()
            self.happened.append(data)

    def stall(self):
        self.send()
        time.sleep(STALL_S)

    def run(self):
        while "timer" not in self.happened:
            self.loop.run_once()
        return self.happened


@pytest.mark.parametrize("is_urgent", [False, True])
def test_what_came_while_the_poll_stood_still_is_read_before_a_timer_runs(is_urgent):
    """Guards against a channel that is closed as silent although its lines lie unread."""
    assert Scene(StalledPoller, is_urgent).run() == [b"line", "timer"]


@pytest.mark.parametrize("is_urgent", [False, True])
@pytest.mark.parametrize("where", ["urgent task", "task", "timer"])
def test_what_came_while_the_loop_stood_still_is_read_before_a_timer_runs(where, is_urgent):
    """The stall comes between the poll and the timers, or in an earlier iteration."""
    scene = Scene(lambda send: EpollPoller(), is_urgent)

    def stall():
        scene.stall()
        yield from scene.loop.sleep(0.0)

    if where == "timer":
        scene.loop.call_in(0.0, scene.stall)
    else:
        scene.loop.spawn(stall(), "stalls", is_urgent=where == "urgent task")
    assert scene.run() == [b"line", "timer"]


def test_without_a_stall_each_iteration_polls_once():
    """The further look costs a system call; iterations without a due timer, or in time, don't make it."""
    scene = Scene(lambda send: EpollPoller())
    polls = []
    scene.loop.poller.on_collected = polls.append
    for _ in range(5):
        scene.loop.run_once(may_wait=False)
    assert len(polls) == 5

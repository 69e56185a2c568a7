"""Ended connections and calls are freed by reference counts and leave nothing to the cycle collector.

A pass of the collector over the garbage of a burst stalled the loop for 100 ms, in which so many clients
connected that the limit on descriptors was exceeded."""

import gc
import socket
from collections import Counter

import pytest

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from tests.support.exchange_world import setup
from tests.support.socket_world import Peer, cancel, settled, stands

COUNT = 12


def count_garbage(world, act):
    """Counts by type the objects that only the collector frees after COUNT runs of `act`, following a
    warm-up."""
    for number in range(3):
        act(number)
    gc.collect()
    gc.disable()
    try:
        for number in range(3, 3 + COUNT):
            act(number)
        world.module.events.clear()
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        return Counter(type(item).__name__ for item in gc.garbage)
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()


def disconnect(world):
    sock = world.clients.pop()
    sock.close()
    settled(world, 6)


def request_and_disconnect(world, number):
    world.client().send(setup(100 + number))
    settled(world, 4)
    disconnect(world)


def send_incomplete_set_up(world, number):
    world.client().send(setup(100 + number)[:9])
    settled(world, 4)
    disconnect(world)


def send_malformed_message(world, number):
    world.client().send(b"\xff" * 40)
    settled(world, 4)
    disconnect(world)


def have_call_rejected(world, number):
    world.calls += 1
    world.module.next.append([api.Reject(world.calls)])
    world.client().send(setup(100 + number))
    settled(world, 4)
    disconnect(world)


def place_and_release_by_client(world, number):
    sock = world.client()
    world.ask(sock, 100 + number)
    world.until(lambda: 100 + number in world.exchange.placed_calls_by_host.get("h1", {}))
    sock.send(cancel(100 + number))
    settled(world, 6)
    disconnect(world)


def place_and_release_by_host(world, number):
    task = 100 + number
    world.ask(world.client(), task)
    world.until(lambda: task in world.exchange.placed_calls_by_host.get("h1", {}))
    for stream in world.peer.streams:
        if stream.close_reason is None:
            stream.send(m.encode_with_cause(m.RELEASE, task, m.ENDED))
            break
    settled(world, 6)
    disconnect(world)


def fail_attempt(world, task, host, timeout=2000.0):
    """The attempt on the host fails, and the policy then rejects the call."""
    ended_call_ids = []

    def handle(_, event):
        if isinstance(event, api.PlacementRequested):
            return [api.Bind(event.call_id, host, timeout)]
        if isinstance(event, api.AttemptEnded):
            ended_call_ids.append(event.call_id)
            return [api.Reject(event.call_id)]
        return []

    world.module.handle = handle
    world.client().send(setup(task))
    world.until(lambda: ended_call_ids)
    disconnect(world)


def time_out_at_host(world, number):
    fail_attempt(world, 100 + number, "mute", timeout=5.0)


def bind_to_refusing_host(world, number):
    fail_attempt(world, 100 + number, "away")


def connect_and_disconnect(world, number):
    world.client()
    settled(world, 4)
    disconnect(world)


def open_host_connection(world, number):
    host = world.hosts.hosts_by_name["h1"]
    connection = world.hosts._open_connection(host)
    world.until(lambda: connection.stream is not None)
    connection.abort("closed by the test")
    settled(world, 6)
    world.peer.streams.clear()


SCENARIOS = (
    connect_and_disconnect, request_and_disconnect, send_incomplete_set_up, send_malformed_message,
    have_call_rejected, place_and_release_by_client, place_and_release_by_host, time_out_at_host, bind_to_refusing_host, open_host_connection,
)  # fmt: skip


@pytest.mark.parametrize("act", SCENARIOS, ids=lambda act: act.__name__)
def test_nothing_is_left_to_the_collector(world, act):
    world.peer, world.mute = Peer(world.loop, stands), Peer(world.loop)
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        world.list(("h1", world.peer.address), ("mute", world.mute.address), ("away", closed.getsockname()))
    garbage = count_garbage(world, lambda number: act(world, number))
    assert not garbage, garbage

"""What is over is freed at once: nothing is left to the collector, whose pass over a flood's garbage was a
standstill of 100 ms, in which newcomers piled up beyond the limit on descriptors."""

import gc
import socket
from collections import Counter

import pytest

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from tests.support.exchange_world import setup
from tests.support.socket_world import Peer, cancel, settled, stands

COUNT = 12


def left(world, act):
    """What only the collector would free after `act` was done COUNT times, by type; the first are warm-up."""
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
        return Counter(type(found).__name__ for found in gc.garbage)
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()


def goes(world):
    sock = world.clients.pop()
    sock.close()
    settled(world, 6)


def asks_and_leaves(world, number):
    world.client().send(setup(100 + number))
    settled(world, 4)
    goes(world)


def sends_half(world, number):
    world.client().send(setup(100 + number)[:9])
    settled(world, 4)
    goes(world)


def sends_what_is_none(world, number):
    world.client().send(b"\xff" * 40)
    settled(world, 4)
    goes(world)


def is_refused(world, number):
    world.calls += 1
    world.module.next.append([api.Reject(world.calls)])
    world.client().send(setup(100 + number))
    settled(world, 4)
    goes(world)


def is_placed_and_released(world, number):
    sock = world.client()
    world.ask(sock, 100 + number)
    world.until(lambda: 100 + number in world.exchange.placed_calls_by_host.get("h1", {}))
    sock.send(cancel(100 + number))
    settled(world, 6)
    goes(world)


def is_placed_and_ends(world, number):
    task = 100 + number
    world.ask(world.client(), task)
    world.until(lambda: task in world.exchange.placed_calls_by_host.get("h1", {}))
    for stream in world.peer.streams:
        if stream.close_reason is None:
            stream.send(m.encode_with_cause(m.RELEASE, task, m.ENDED))
            break
    settled(world, 6)
    goes(world)


def comes_to_nothing(world, task, host, timeout=2000.0):
    """The attempt does, then the module refuses it."""
    back = []

    def handle(_, event):
        if isinstance(event, api.PlacementRequested):
            return [api.Bind(event.call_id, host, timeout)]
        if isinstance(event, api.AttemptEnded):
            back.append(event.call_id)
            return [api.Reject(event.call_id)]
        return []

    world.module.handle = handle
    world.client().send(setup(task))
    world.until(lambda: back)
    goes(world)


def is_given_up_at_its_host(world, number):
    comes_to_nothing(world, 100 + number, "mute", timeout=5.0)


def finds_a_host_that_refuses(world, number):
    comes_to_nothing(world, 100 + number, "away")


def comes_and_goes(world, number):
    world.client()
    settled(world, 4)
    goes(world)


def opens_a_link(world, number):
    host = world.hosts.hosts_by_name["h1"]
    link = world.hosts._open_connection(host)
    world.until(lambda: link.stream is not None)
    link.abort("of no further use")
    settled(world, 6)
    world.peer.streams.clear()


ENDS = (
    comes_and_goes, asks_and_leaves, sends_half, sends_what_is_none, is_refused, is_placed_and_released,
    is_placed_and_ends, is_given_up_at_its_host, finds_a_host_that_refuses, opens_a_link,
)  # fmt: skip


@pytest.mark.parametrize("act", ENDS, ids=lambda act: act.__name__)
def test_nothing_is_left_to_the_collector(world, act):
    world.peer, world.mute = Peer(world.loop, stands), Peer(world.loop)
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        world.list(("h1", world.peer.address), ("mute", world.mute.address), ("away", closed.getsockname()))
    found = left(world, lambda number: act(world, number))
    assert not found, found

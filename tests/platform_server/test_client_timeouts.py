"""Which client connections are closed for a message that does not come, and which keep their open set-ups."""

import itertools
import socket

import pytest

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_server.client_timeouts import (
    MESSAGE_TIMEOUT_MS,
    ClientActivity,
    is_message_overdue,
)
from tests.support.exchange_world import setup
from tests.support.socket_world import Peer, stands

LONGEST_DEADLINE_MS = 8_000.0
IS_PROVEN = IS_OPEN = True

TIMEOUTS = [
    # proven, open set-ups, unfinished message; the time after which it is closed, None for never
    (not IS_PROVEN, not IS_OPEN, True, MESSAGE_TIMEOUT_MS),
    (IS_PROVEN, not IS_OPEN, True, LONGEST_DEADLINE_MS),
    (not IS_PROVEN, IS_OPEN, True, None),
    (IS_PROVEN, IS_OPEN, True, None),
    (not IS_PROVEN, not IS_OPEN, False, None),
    (IS_PROVEN, not IS_OPEN, False, None),
    (not IS_PROVEN, IS_OPEN, False, None),
    (IS_PROVEN, IS_OPEN, False, None),
]


@pytest.mark.parametrize(("is_proven", "is_open", "is_partial", "timeout_ms"), TIMEOUTS)
def test_the_table_of_unfinished_messages(is_proven, is_open, is_partial, timeout_ms):
    activity = ClientActivity(0.0, True, is_proven, is_open, 500.0 if is_partial else None)
    for elapsed_ms in (0.0, 1_999.0, 2_000.0, 2_001.0, 7_999.0, 8_000.0, 8_001.0, 1e9):
        is_overdue = is_message_overdue(activity, 500.0 + elapsed_ms, LONGEST_DEADLINE_MS)
        assert is_overdue is (timeout_ms is not None and elapsed_ms > timeout_ms)


def test_a_client_without_a_complete_message_is_closed_whatever_else_is_so():
    """The page wants a faulty client closed within 3 s of connecting."""
    for is_proven, is_open, partial_since_ms in itertools.product(
        (False, True), (False, True), (None, 1_900.0)
    ):
        activity = ClientActivity(0.0, False, is_proven, is_open, partial_since_ms)
        assert not is_message_overdue(activity, MESSAGE_TIMEOUT_MS, LONGEST_DEADLINE_MS)
        assert is_message_overdue(activity, MESSAGE_TIMEOUT_MS + 1.0, LONGEST_DEADLINE_MS)
    assert MESSAGE_TIMEOUT_MS < 3_000.0


# ---- on sockets, in virtual time ----


def hold_call(world, sock, task):
    """Sends a set-up that the policy holds; returns its call id."""
    world.calls += 1
    world.module.next.append([])
    sock.send(setup(task))
    world.until(lambda: len(world.told(api.PlacementRequested)) == world.calls)
    return world.calls


def wait(world, ms):
    end = world.loop.now() + ms
    world.until(lambda: world.loop.now() >= end, ms + 1_000.0)


def open_connection(world, is_trusted):
    sock = world.client()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # virtual time runs ahead of acknowledgements
    if is_trusted:
        peer = Peer(world.loop, stands)
        world.list(("h1", peer.address))
        world.ask(sock, 1)
        assert world.says(sock)
    return sock


@pytest.mark.parametrize("is_trusted", [False, True])
@pytest.mark.parametrize("sent_bytes", [1, 5, 30], ids=["in its length", "in its head", "in its body"])
def test_an_open_set_up_keeps_its_connection_while_a_message_is_unfinished(
    virtual_time_world, is_trusted, sent_bytes
):
    """Guards against a close 2 s after a message began, when the network stops within a burst: the open
    set-up was lost."""
    world = virtual_time_world
    sock = open_connection(world, is_trusted)
    call = hold_call(world, sock, 2)
    data = setup(3)
    sock.send(data[:sent_bytes])
    wait(world, 6_000.0)
    world.module.next.append([])
    sock.send(data[sent_bytes:])
    world.calls += 1
    world.until(lambda: len(world.told(api.PlacementRequested)) == world.calls)
    world.exchange._execute_action(api.Reject(call))
    world.exchange._execute_action(api.Reject(world.calls))
    expected = b"".join(m.encode_with_cause(m.RELEASE, task, m.REJECTED) for task in (2, 3))
    assert world.says(sock) == expected


def test_the_time_of_an_unfinished_message_begins_when_the_last_call_is_answered(virtual_time_world):
    world = virtual_time_world
    sock = open_connection(world, is_trusted=False)
    call = hold_call(world, sock, 2)
    sock.send(setup(3, cls="nope") + setup(4)[:20])  # it is not proven any more
    assert world.says(sock) == m.encode_with_cause(m.RELEASE, 3, m.INVALID_CONTENTS)
    wait(world, 5_000.0)
    world.exchange._execute_action(api.Reject(call))
    assert world.says(sock) == m.encode_with_cause(m.RELEASE, 2, m.REJECTED)
    wait(world, MESSAGE_TIMEOUT_MS - 500.0)
    assert world.owners.connections
    wait(world, 1_000.0)
    assert not world.owners.connections


def test_a_proven_client_may_finish_its_message_within_the_longest_deadline(virtual_time_world):
    world = virtual_time_world
    sock = open_connection(world, is_trusted=True)
    sock.send(setup(3)[:20])
    wait(world, LONGEST_DEADLINE_MS - 500.0)
    assert world.owners.connections
    wait(world, 1_000.0)
    assert not world.owners.connections


def test_an_unproven_client_is_closed_although_bytes_of_its_message_go_on_coming(virtual_time_world):
    world = virtual_time_world
    sock = open_connection(world, is_trusted=False)
    sock.send(m.encode(m.PROBE, 1))
    assert world.says(sock)
    for byte in setup(3)[:24]:
        if world.owners.connections:
            sock.send(bytes((byte,)))
        wait(world, 100.0)
    assert not world.owners.connections

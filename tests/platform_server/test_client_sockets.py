"""Connections of clients on real sockets: what is refused, closed and answered."""

import pytest

from glencleat import interface as api
from glencleat.descriptor_budget import PeerKind
from glencleat.platform_protocol import messages as m
from glencleat.platform_server import (
    client_connections,
)
from tests.support.exchange_world import setup
from tests.support.socket_world import Peer, kinds, stands

UNREADABLE = [
    b"\x00\x02\x01\x00",
    b"\xff\xff",
    b"GET / HTTP/1.1\r\n\r\n",
    b"\x00\x0c\x01" + b"\0" * 8 + b"\x64\x00\x09",
    m.encode(m.RELEASE, 5),
]


@pytest.mark.parametrize("data", UNREADABLE, ids=str)
def test_what_cannot_be_read_is_closed_and_costs_no_other(world, data):
    bad, good = world.client(), world.client()
    good.send(m.encode(m.PROBE, 9, {m.CAUSE: b"\0"}))
    bad.send(data)
    assert world.says(bad) == b"" and world.says(good) == m.encode_with_cause(m.PROBE_ANSWER, 9, 1)


def test_endless_bytes_end_at_the_first_that_is_wrong(world):
    bad = world.client()
    bad.send(setup(1, cls="nope") + b"\xee" * 100_000)
    assert world.says(bad) in (m.encode_with_cause(m.RELEASE, 1, m.INVALID_CONTENTS), b"")
    world.until(lambda: not world.owners.connections)


@pytest.mark.parametrize("data", [b"", setup(1)[:20]], ids=["silent", "half a message"])
def test_who_says_nothing_whole_is_closed_in_time(world, monkeypatch, data):
    monkeypatch.setattr(client_connections, "MESSAGE_TIMEOUT_MS", 60.0)
    bad = world.client()
    bad.send(data)
    assert world.says(bad) == b"" and client_connections.MESSAGE_TIMEOUT_MS < 3_000.0


def test_the_same_again_after_each_refusal_ends(world):
    bad = world.client()
    for i in range(client_connections.MAX_INVALID_SETUPS + 1):
        bad.send(setup(i + 1, cls="nope"))
    world.until(
        lambda: (
            world.exchange.invalid_setup_count > client_connections.MAX_INVALID_SETUPS
            and not world.owners.connections
        )
    )
    assert world.module.events == []


def test_hundreds_at_once_take_turns_with_others(world):
    flood, good = world.client(), world.client()
    world.until(lambda: len(world.owners.connections) == 2)
    flood.send(b"".join(m.encode(m.PROGRESS, i) for i in range(1, 500)))
    good.send(m.encode(m.PROBE, 9))
    seen = []
    original = world.owners._handle_message
    world.owners._handle_message = lambda owner, message, at: (
        seen.append(message.kind),
        original(owner, message, at),
    )
    world.until(lambda: m.PROBE in seen)
    assert len(seen) <= 3 * client_connections.MESSAGES_PER_TURN


def test_one_that_sends_long_messages_faster_than_we_read_takes_turns_too(world):
    """Each read brings less than one of them, so that their number bounds nothing."""
    flood, good = world.client(), world.client()
    world.until(lambda: len(world.owners.connections) == 2)
    data = b"".join(m.encode(m.PROGRESS, i, {m.NAME: b"x" * 16_000}) for i in range(1, 100))
    while data:
        try:
            data = data[flood.send(data) :]
        except BlockingIOError:
            break
    good.send(m.encode(m.PROBE, 9))
    seen = []
    original = world.owners._handle_message
    world.owners._handle_message = lambda owner, message, at: (
        seen.append(message.kind),
        original(owner, message, at),
    )
    world.until(lambda: m.PROBE in seen)
    assert len(seen) <= 3


def test_a_full_house_closes_who_has_nothing_open(world):
    world.descriptors.capacity = 3
    world.descriptors.quotas_by_peer_kind = {PeerKind.CLIENTS: 3, PeerKind.HOSTS: 0}
    lasting = world.client()
    world.until(lambda: len(world.owners.connections) == 1)
    world.owners.mark_trusted(
        next(iter(world.owners.connections))
    )  # the longest unused, yet one that tasks came by
    quiet, busy = world.client(), world.client()
    world.ask(busy, 1, host="h9", timeout=3000.0)
    world.module.next.append([])
    world.until(lambda: len(world.owners.connections) == 3)
    busy_owner = next(o for o in world.owners.connections if o.open_task_ids)
    late = world.client()
    late.send(m.encode(m.PROBE, 9))
    assert world.says(late) == m.encode_with_cause(m.PROBE_ANSWER, 9, 1)
    assert world.says(quiet) == b"" and busy_owner.stream.close_reason is None
    lasting.send(m.encode(m.PROBE, 9))
    assert world.says(lasting) == m.encode_with_cause(m.PROBE_ANSWER, 9, 1)


def test_a_release_owed_goes_by_a_proven_owner_and_else_by_the_next(world):
    """Never to a connection on which nothing ever stood: a bad client would be told what its owner is owed."""
    peer, owner, other = Peer(world.loop, stands), world.client(), world.client()
    world.list(("h1", peer.address))
    for task, sock in ((1, owner), (2, owner), (3, other)):
        world.ask(sock, task)
        assert world.says(sock)
    world.until(lambda: len(world.exchange.placed_calls_by_host["h1"]) == 3)
    rude = world.client()
    world.module.next.append([api.Fail(4)])
    rude.send(setup(9))
    assert world.says(rude) == m.encode_with_cause(m.RELEASE, 9, m.FAILED)
    owner.close()
    world.until(lambda: len(world.owners.connections) == 2)
    peer.streams[0].send(m.encode_with_cause(m.RELEASE, 1, m.ENDED))
    assert world.says(other) == m.encode_with_cause(m.RELEASE, 1, m.ENDED)
    other.close()
    world.until(lambda: len(world.owners.connections) == 1)
    peer.streams[0].send(m.encode_with_cause(m.RELEASE, 2, m.ENDED))
    world.back(2)
    later, world.calls = world.client(), 4
    world.module.next.append([api.Bind(5, "h1", 2000.0)])
    later.send(setup(10))
    heard = m.encode_with_cause(m.RELEASE, 2, m.ENDED) + m.encode(m.ANSWER, 10, {m.DESCRIPTION: b"ok"})
    assert world.says(later) in (heard, m.encode_with_cause(m.RELEASE, 2, m.ENDED))
    with pytest.raises(BlockingIOError):
        rude.recv(100)


def test_time_in_our_socket_is_gone_from_what_the_owner_waits(world, monkeypatch):
    owner = world.client()
    wall = world.loop.clock.wall
    monkeypatch.setattr(world.loop.clock, "wall", lambda: wall() + 700.0)  # as if it was read so much later
    world.module.next.append([])
    owner.send(setup(1, wait=8000))
    world.until(lambda: world.module.events)
    assert 7000.0 < world.module.events[0].remaining_ms <= 7300.0


def test_an_owner_that_hangs_up_has_left(world):
    peer, owner = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.ask(owner, 1)
    world.until(lambda: len(peer.got) == 1)
    owner.close()
    world.until(lambda: m.RELEASE in kinds(peer))
    assert world.back() == [api.Outcome.STOPPED] and not world.exchange.calls_by_id


def test_tests_are_answered_truthfully(world):
    sock = world.client()
    for number, (listed, leaving) in enumerate(((True, False), (False, False), (True, True))):
        world.owners.is_ready, world.owners.is_draining = lambda listed=listed: listed, leaving
        sock.send(m.encode(m.PROBE, number, {m.CAUSE: b"\0"}))
        assert world.says(sock) == m.encode_with_cause(m.PROBE_ANSWER, number, int(listed and not leaving))

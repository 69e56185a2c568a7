"""Connections of clients on real sockets: what is refused, closed and answered."""

import pytest

from glencleat import interface as api
from glencleat.descriptor_budget import PeerKind
from glencleat.platform_protocol import messages as m
from glencleat.platform_server import client_connections, client_timeouts
from tests.support.exchange_world import setup
from tests.support.socket_world import Peer, kinds

INVALID_BYTES = [
    b"\x00\x02\x01\x00",
    b"\xff\xff",
    b"GET / HTTP/1.1\r\n\r\n",
    b"\x00\x0c\x01" + b"\0" * 8 + b"\x64\x00\x09",
    m.encode(m.RELEASE, 5),
]


@pytest.mark.parametrize("data", INVALID_BYTES, ids=str)
def test_invalid_bytes_close_that_connection_alone(world, data):
    invalid, valid = world.client(), world.client()
    valid.send(m.encode(m.PROBE, 9, {m.CAUSE: b"\0"}))
    invalid.send(data)
    assert world.says(invalid) == b"" and world.says(valid) == m.encode_with_cause(m.PROBE_ANSWER, 9, 1)


def test_a_stream_of_bytes_ends_at_the_first_invalid_one(world):
    invalid = world.client()
    invalid.send(setup(1, cls="nope") + b"\xee" * 100_000)
    assert world.says(invalid) in (m.encode_with_cause(m.RELEASE, 1, m.INVALID_CONTENTS), b"")
    world.until(lambda: not world.owners.connections)


@pytest.mark.parametrize("data", [b"", setup(1)[:20]], ids=["silent", "half a message"])
def test_a_client_without_a_complete_message_is_closed_in_time(world, monkeypatch, data):
    monkeypatch.setattr(client_timeouts, "MESSAGE_TIMEOUT_MS", 60.0)
    client = world.client()
    client.send(data)
    assert world.says(client) == b"" and client_timeouts.MESSAGE_TIMEOUT_MS < 3_000.0


def test_the_same_again_after_each_rejection_ends(world):
    invalid = world.client()
    for i in range(client_connections.MAX_INVALID_SETUPS + 1):
        invalid.send(setup(i + 1, cls="nope"))
    world.until(
        lambda: (
            world.exchange.invalid_setup_count > client_connections.MAX_INVALID_SETUPS
            and not world.owners.connections
        )
    )
    assert world.module.events == []


def test_hundreds_of_messages_at_once_take_turns_with_others(world):
    flood, other = world.client(), world.client()
    world.until(lambda: len(world.owners.connections) == 2)
    flood.send(b"".join(m.encode(m.PROGRESS, i) for i in range(1, 500)))
    other.send(m.encode(m.PROBE, 9))
    seen = []
    original = world.owners._handle_message
    world.owners._handle_message = lambda client, message, arrived_at: (
        seen.append(message.kind),
        original(client, message, arrived_at),
    )
    world.until(lambda: m.PROBE in seen)
    assert len(seen) <= 3 * client_connections.MESSAGES_PER_TURN


def test_a_client_that_sends_long_messages_faster_than_they_are_read_takes_turns_too(world):
    """Each read returns less than one of them, so the limit on their number never applies."""
    flood, other = world.client(), world.client()
    world.until(lambda: len(world.owners.connections) == 2)
    data = b"".join(m.encode(m.PROGRESS, i, {m.NAME: b"x" * 16_000}) for i in range(1, 100))
    while data:
        try:
            data = data[flood.send(data) :]
        except BlockingIOError:
            break
    other.send(m.encode(m.PROBE, 9))
    seen = []
    original = world.owners._handle_message
    world.owners._handle_message = lambda client, message, arrived_at: (
        seen.append(message.kind),
        original(client, message, arrived_at),
    )
    world.until(lambda: m.PROBE in seen)
    assert len(seen) <= 3


def test_a_full_descriptor_budget_closes_a_connection_without_open_calls(world):
    world.descriptors.capacity = 3
    world.descriptors.quotas_by_peer_kind = {PeerKind.CLIENTS: 3, PeerKind.HOSTS: 0}
    trusted = world.client()
    world.until(lambda: len(world.owners.connections) == 1)
    # Unused for the longest time, but trusted.
    world.owners.mark_trusted(next(iter(world.owners.connections)))
    idle, busy = world.client(), world.client()
    world.ask(busy, 1, host="h9", timeout=3000.0)
    world.module.next.append([])
    world.until(lambda: len(world.owners.connections) == 3)
    busy_connection = next(c for c in world.owners.connections if c.open_task_ids)
    newcomer = world.client()
    newcomer.send(m.encode(m.PROBE, 9))
    assert world.says(newcomer) == m.encode_with_cause(m.PROBE_ANSWER, 9, 1)
    assert world.says(idle) == b"" and busy_connection.stream.close_reason is None
    trusted.send(m.encode(m.PROBE, 9))
    assert world.says(trusted) == m.encode_with_cause(m.PROBE_ANSWER, 9, 1)


def test_time_in_the_socket_counts_against_the_clients_wait(world, monkeypatch):
    client = world.client()
    wall = world.loop.clock.wall
    monkeypatch.setattr(world.loop.clock, "wall", lambda: wall() + 700.0)  # as if it was read that much later
    world.module.next.append([])
    client.send(setup(1, wait=8000))
    world.until(lambda: world.module.events)
    assert 7000.0 < world.module.events[0].remaining_ms <= 7300.0


def test_a_client_that_disconnects_cancels_its_call(world):
    peer, client = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.ask(client, 1)
    world.until(lambda: len(peer.got) == 1)
    client.close()
    world.until(lambda: m.RELEASE in kinds(peer))
    assert world.back() == [api.Outcome.STOPPED] and not world.exchange.calls_by_id


def test_health_checks_report_readiness_and_draining(world):
    client = world.client()
    for number, (is_ready, is_draining) in enumerate(((True, False), (False, False), (True, True))):
        world.owners.is_ready, world.owners.is_draining = lambda is_ready=is_ready: is_ready, is_draining
        client.send(m.encode(m.PROBE, number, {m.CAUSE: b"\0"}))
        assert world.says(client) == m.encode_with_cause(
            m.PROBE_ANSWER, number, int(is_ready and not is_draining)
        )

"""Releases of placed tasks whose client connection is gone: which connection carries them.

By the protocol page a task belongs to no connection: its release may go out on any connection of a client.
"""

import itertools
import socket

import pytest

from glencleat import interface as api
from glencleat.descriptor_budget import PeerKind
from glencleat.platform_protocol import messages as m
from glencleat.platform_server.pending_releases import (
    MAX_PENDING_RELEASES,
    PENDING_RELEASE_TIMEOUT_MS,
    PendingReleases,
    UnsentReleases,
)
from glencleat.platform_server.release_delivery import ReleaseDelivery
from tests.support.exchange_world import read, setup
from tests.support.socket_world import Peer, cancel, settled, stands

ENDED_1 = m.encode_with_cause(m.RELEASE, 1, m.ENDED)


def end_task(world, peer, task):
    """The host releases a task; returns once the exchange has handled it."""
    ended_count = len(world.told(api.AttemptEnded))
    peer.streams[0].send(m.encode_with_cause(m.RELEASE, task, m.ENDED))
    world.until(lambda: len(world.told(api.AttemptEnded)) > ended_count)


def close_client(world, sock):
    """Closes a client's connection; returns once the allocator knows."""
    count = len(world.owners.connections)
    sock.close()
    world.until(lambda: len(world.owners.connections) < count)


def rejected_client(world, task, data=None, cause=m.REJECTED):
    """A client whose only set-up was refused; by default it was valid and had no capacity."""
    sock = world.client()
    if data is None:
        world.calls += 1
        world.module.next.append([api.Reject(world.calls)])
    sock.send(data or setup(task))
    assert world.says(sock) == m.encode_with_cause(m.RELEASE, task, cause)
    return sock


@pytest.fixture
def placed(world):
    """A host with tasks 1 and 2 of one client, whose connection is closed."""
    peer, client = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    for task in (1, 2):
        world.ask(client, task)
        assert world.says(client)
    world.until(lambda: len(world.exchange.placed_calls_by_host["h1"]) == 2)
    close_client(world, client)
    return peer


def test_a_release_goes_by_a_connection_whose_only_set_up_was_rejected(world, placed):
    """Guards against releases that are acknowledged to the host and then dropped, although a client with a
    valid set-up is connected: they waited for a connection with a placed task."""
    other = rejected_client(world, 9)
    end_task(world, placed, 1)
    assert world.says(other) == ENDED_1 and not world.owners.releases.pending


def test_a_waiting_release_goes_by_the_first_valid_set_up(world, placed):
    end_task(world, placed, 1)
    assert len(world.owners.releases.pending) == 1
    sock = world.client()
    world.calls += 1
    world.module.next.append([])  # the call is held: no answer is due yet
    sock.send(setup(9))
    assert world.says(sock) == ENDED_1 and not world.owners.releases.pending


def test_a_release_prefers_a_connection_with_a_placed_task(world, placed):
    trusted = world.client()
    world.ask(trusted, 8)
    assert world.says(trusted) == m.encode(m.ANSWER, 8, {m.DESCRIPTION: b"ok"})
    untrusted = rejected_client(world, 9)  # used later
    end_task(world, placed, 1)
    assert world.says(trusted) == ENDED_1
    with pytest.raises(BlockingIOError):
        untrusted.recv(100)


def silent_client(world):
    return world.client()


def health_checking_client(world):
    sock = world.client()
    sock.send(m.encode(m.PROBE, 3, {m.CAUSE: b"\0"}))
    assert world.says(sock)
    return sock


def invalid_client(world):
    return rejected_client(world, 9, setup(9, cls="nope"), m.INVALID_CONTENTS)


def partly_invalid_client(world):
    sock = rejected_client(world, 9)
    sock.send(setup(10, cls="nope"))
    assert world.says(sock) == m.encode_with_cause(m.RELEASE, 10, m.INVALID_CONTENTS)
    return sock


def open_and_take_back(world, sock, task):
    """The client sends a set-up, which is held, and then takes it back."""
    world.calls += 1
    world.module.next.append([])
    sock.send(setup(task))
    world.until(lambda: task in world.exchange.calls_by_task_id)
    sock.send(cancel(task))
    world.until(lambda: task not in world.exchange.calls_by_task_id)


def taking_back_client(world):
    """A client that takes back each of its set-ups: in the same write, or once it is open."""
    sock = health_checking_client(world)
    sock.send(setup(21) + cancel(21))
    open_and_take_back(world, sock, 22)
    return sock


def ending_client(world, task):
    """A client that has sent a health check and ended a placed task, and no set-up."""
    sock = health_checking_client(world)
    sock.send(m.encode_with_cause(m.RELEASE, task, m.ENDED))
    assert world.says(sock) == m.encode(m.RELEASE_COMPLETE, task)
    return sock


def test_a_release_goes_to_an_owner_that_came_again_and_ended_a_task_there(world, placed):
    """Guards against an owner that comes again without a set-up and is never told of its other task's end."""
    owner = ending_client(world, 2)
    end_task(world, placed, 1)
    assert world.says(owner) == ENDED_1 and not world.owners.releases.pending


def test_a_waiting_release_goes_with_the_answer_to_a_client_that_ends_a_placed_task(world, placed):
    end_task(world, placed, 1)
    owner = health_checking_client(world)
    owner.send(m.encode_with_cause(m.RELEASE, 2, m.ENDED))
    received = b""
    while len(received) < len(m.encode(m.RELEASE_COMPLETE, 2) + ENDED_1):
        received += world.says(owner)
    assert {message.task_id for message in read(received)} == {1, 2}
    assert not world.owners.releases.pending


def test_a_waiting_release_goes_to_the_client_that_ends_its_task(world, placed):
    """The client knows the task, though the host ended it first: its release crossed that of the host."""
    end_task(world, placed, 1)
    owner = health_checking_client(world)
    owner.send(m.encode_with_cause(m.RELEASE, 1, m.ENDED))
    assert world.says(owner) == ENDED_1 and not world.owners.releases.pending


def test_a_client_that_takes_back_one_of_its_set_ups_still_carries_releases(world, placed):
    """Owners give up what they no longer wait for; one that was answered shows that it is no faulty client."""
    owner = rejected_client(world, 9)
    open_and_take_back(world, owner, 22)
    end_task(world, placed, 1)
    assert world.says(owner) == ENDED_1


@pytest.mark.parametrize("is_reported", [False, True])
def test_a_handed_over_task_makes_its_client_trusted_once_its_host_reports_it(world, placed, is_reported):
    """Guards against faulty clients that name any id by `at` and are preferred for the releases of others."""
    sock = world.client()
    sock.send(setup(31, extras="cores:1;memory:2;service:web;at:h1"))
    world.until(lambda: 31 in world.exchange.placed_calls_by_host["h1"])
    if is_reported:
        placed.streams[0].send(m.encode(m.OBSERVATION, 31, {m.TOPIC: b"cores", m.VALUE: b"1"}))
        settled(world)
    (connection,) = world.owners.connections
    assert connection.is_trusted is is_reported


@pytest.mark.parametrize("task", [77, 8])
def test_the_release_of_an_unknown_or_open_task_proves_nothing(world, placed, task):
    """Faulty clients release ids that were never placed, and ids of other clients' open set-ups."""
    world.calls += 1
    world.module.next.append([])  # the call is held, without a placement
    world.client().send(setup(8))
    world.until(lambda: 8 in world.exchange.calls_by_task_id)
    other = health_checking_client(world)
    other.send(m.encode_with_cause(m.RELEASE, task, m.ENDED))
    settled(world)
    end_task(world, placed, 1)
    settled(world)
    with pytest.raises(BlockingIOError):
        other.recv(100)


@pytest.mark.parametrize(
    "connect",
    [silent_client, health_checking_client, invalid_client, partly_invalid_client, taking_back_client],
)
def test_a_release_waits_rather_than_go_to_a_client_that_would_drop_it(world, placed, connect):
    other = connect(world)
    end_task(world, placed, 1)
    settled(world)
    with pytest.raises(BlockingIOError):
        other.recv(100)
    world.calls += 1
    world.module.next.append([])
    later = world.client()
    later.send(setup(11))
    assert world.says(later) == ENDED_1


def test_a_waiting_release_stays_when_the_connection_that_could_carry_it_has_closed(world, placed):
    """Race: the close is unread when the set-up that lets the release go is handled."""
    end_task(world, placed, 1)
    sock = world.client()
    world.until(lambda: world.owners.connections)
    sock.send(setup(9, cls="nope"))
    assert world.says(sock)
    (connection,) = world.owners.connections
    sock.close()
    world.loop.poller.poll(0.0)
    world.owners.mark_trusted(connection)
    assert len(world.owners.releases.pending) == 1
    settled(world)
    later = rejected_client_with_release(world)
    assert later == ENDED_1


def rejected_client_with_release(world):
    """What a new client with a valid set-up reads first."""
    sock = world.client()
    world.calls += 1
    world.module.next.append([])
    sock.send(setup(12))
    return world.says(sock)


def test_a_release_avoids_a_connection_that_its_client_closed_after_the_poll(world, placed):
    """Race: the loop has polled, then the client closes, then the end of another one's task is handled."""
    quiet, leaving = rejected_client(world, 8), rejected_client(world, 9)  # the last one used is preferred
    leaving.close()
    attempt = world.exchange.calls_by_task_id[1].attempt
    (release,) = read(ENDED_1)
    world.exchange.on_host_message("h1", attempt.connection, release)
    assert world.says(quiet) == ENDED_1


def test_the_last_connection_that_can_carry_releases_is_not_evicted_without_a_trusted_one(world, placed):
    """Guards against a burst of connections that evicts the only way to a client."""
    other = rejected_client(world, 9)
    world.descriptors.capacity, world.descriptors.quotas_by_peer_kind = (
        2,
        {PeerKind.CLIENTS: 1, PeerKind.HOSTS: 1},
    )
    new_clients = [world.client() for _ in range(5)]
    assert [world.says(sock) for sock in new_clients] == [b""] * 5
    end_task(world, placed, 1)
    assert world.says(other) == ENDED_1


def stop_reading(world, sock):
    """Fills the client's connection until the server can't write any more; returns the server's side."""
    connection = next(
        c for c in world.owners.connections if c.stream.sock.getpeername() == sock.getsockname()
    )
    connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    while not connection.stream.send_buffer:
        assert connection.stream.try_send(m.encode(m.PROGRESS, 5, {m.NAME: b"x" * 1_000}))
    return connection


def place_task_beside_another_client(world):
    """A host with task 1, its client, and another client that could carry the release."""
    peer, client = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(client, 1)
    assert world.says(client)
    return peer, client, rejected_client(world, 9)


def test_an_unsent_release_goes_by_another_connection_when_its_own_breaks(world):
    """Guards against a release that is lost in the send buffer of a client that has stopped reading."""
    peer, client, other = place_task_beside_another_client(world)
    connection = stop_reading(world, client)
    end_task(world, peer, 1)
    with pytest.raises(BlockingIOError):
        other.recv(100)
    connection.stream.close("the client has stopped reading")
    assert world.says(other) == ENDED_1


def test_a_release_that_was_written_whole_is_not_sent_again(world):
    """The client may have read it before its connection broke, and must not get it twice."""
    peer, _, other = place_task_beside_another_client(world)
    (connection,) = [c for c in world.owners.connections if c.is_trusted]
    end_task(world, peer, 1)
    assert connection.stream.written_bytes == connection.stream.queued_bytes
    connection.stream.close("reset")
    settled(world)
    with pytest.raises(BlockingIOError):
        other.recv(100)
    assert not world.owners.releases.pending


def test_every_release_is_sent_once_waits_or_is_dropped():
    """All orders of six events: each release is in one place, and the queue keeps its bound and its order."""
    for events in itertools.product(("add", "send", "refuse", "expire"), repeat=6):
        now, added, sent, logs = 0.0, [], [], []
        pending = PendingReleases(logs.append)
        for event in events:
            now += 1.0
            if event == "add":
                added.append(m.encode_with_cause(m.RELEASE, len(added) + 1, m.ENDED))
                pending.add(added[-1], now)
            elif event == "send":
                pending.send_all(lambda data, sent=sent: sent.append(data) or True)
            elif event == "refuse":
                pending.send_all(lambda data: False)
            else:
                now += PENDING_RELEASE_TIMEOUT_MS
                pending.drop_expired(now)
        waiting = [data for _, data in pending.entries]
        assert pending.undelivered_task_ids >= {m.read_task_id(data) for data in waiting}
        assert sent + waiting == [data for data in added if data in sent or data in waiting]
        assert len(added) == len(sent) + len(waiting) + pending.dropped_count
        assert len(logs) == len(added) + pending.dropped_count


def test_the_oldest_is_dropped_when_too_many_wait():
    logs = []
    pending = PendingReleases(logs.append)
    for task in range(MAX_PENDING_RELEASES + 1):
        pending.add(m.encode_with_cause(m.RELEASE, task, m.ENDED), 0.0)
    assert len(pending) == MAX_PENDING_RELEASES and pending.dropped_count == 1
    assert "task 0: its release is dropped, too many wait" in logs


class FakeStream:
    """A stream of which the test decides how much the operating system takes."""

    def __init__(self):
        self.close_reason, self.queued, self.written_bytes = None, [], 0

    @property
    def queued_bytes(self):
        return sum(map(len, self.queued))

    def try_send(self, data):
        if self.close_reason is None:
            self.queued.append(data)
        return self.close_reason is None

    def written_whole(self):
        ends = itertools.accumulate(map(len, self.queued))
        return [data for data, end in zip(self.queued, ends, strict=True) if end <= self.written_bytes]


class FakeCarrier:
    def __init__(self):
        self.stream, self.unsent_releases = FakeStream(), UnsentReleases()
        self.last_used_at_ms, self.is_trusted, self.is_proven = 0.0, False, True


def test_a_release_has_one_owner_until_a_connection_has_all_of_it():
    """All orders of the events of two connections: a release waits, is in one buffer or is written whole once,
    and it is undelivered exactly until then."""
    events = ("ends", "takes half", "takes all", "breaks", "connects")
    for sequence in itertools.product(events, repeat=6):
        carriers, broken, ended = [FakeCarrier()], [], []
        delivery = ReleaseDelivery(
            carriers, lambda carrier: False, lambda carrier: None, lambda: 0.0, lambda text: None
        )
        delivery.update_carrier(carriers[0])
        for event in sequence:
            if event == "ends":
                ended.append(m.encode_with_cause(m.RELEASE, len(ended) + 1, m.ENDED))
                delivery.send(None, ended[-1])
            elif event == "connects":
                carriers.append(FakeCarrier())
                delivery.update_carrier(carriers[-1])
            elif carriers:
                carrier = carriers[0]
                unsent = carrier.stream.queued_bytes - carrier.stream.written_bytes
                if event == "takes all":
                    carrier.stream.written_bytes += unsent
                elif event == "takes half":
                    carrier.stream.written_bytes += unsent // 2
                else:
                    carrier.stream.close_reason = "broken"
                    broken.append(carriers.pop(0))
                    delivery.handle_closed(carrier)
                delivery.record_written(carrier)
        written = [data for carrier in carriers + broken for data in carrier.stream.written_whole()]
        buffered = [data for carrier in carriers for _, data in carrier.unsent_releases.entries]
        waiting = [data for _, data in delivery.pending.entries]
        assert sorted(written + buffered + waiting) == sorted(ended)
        undelivered = {data for data in ended if delivery.is_undelivered(m.read_task_id(data))}
        assert undelivered == set(buffered + waiting)

"""Races of the live path on real connections, each made to happen every time.

One loop runs the program and its peers: as long as the test does not run it, whatever is sent lies unread, so
that the order in which things come is the test's. What is held, and where, is said in each."""

import itertools
import json
from dataclasses import replace

import pytest

from glencleat import interface as api
from glencleat.flow_control.backoff import Backoff, BackoffPolicy
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.delivery import (
    AttemptEvidence,
    DeliveryOutcome,
    check_send,
    is_harmless_to_send,
    is_turn_valid,
)
from glencleat.platform_protocol.inbox import Inbox
from glencleat.platform_server import client_connections, watch_client
from tests.support.command_channel_world import Tower
from tests.support.exchange_world import KEYED, SAFE, SETTINGS, UNSAFE, setup
from tests.support.exchange_world import World as Virtual
from tests.support.socket_world import Peer, cancel, kinds, linked, sent, settled, stands


def leave(sock, how):
    if how == "cancels":
        sock.send(cancel(1))
    else:
        sock.close()


LEAVES = pytest.mark.parametrize("how", ["cancels", "closes"])


# ---- a client that left ----


@LEAVES
def test_a_client_that_left_before_its_set_up_was_read_is_not_served(world, how):
    peer, sock = linked(world)
    world.module.next.append([api.Bind(2, "h1", 2000.0)])
    sock.send(setup(1))
    leave(sock, how)  # both lie unread
    settled(world)
    assert (
        sent(peer) == [9]
        and world.exchange.open_call_count == 0
        and list(world.exchange.placed_calls_by_host["h1"]) == [9]
    )


def test_an_end_behind_hundreds_of_set_ups_is_seen_before_the_first(world):
    """Sixteen messages of one connection have their turn at a time; before, the rest went on for the dead."""
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.module.next += [[api.Bind(n, "h1", 2000.0)] for n in range(1, 301)]
    sock.send(b"".join(setup(n) for n in range(1, 301)))
    sock.close()
    settled(world)
    assert (
        m.SETUP not in kinds(peer) and len(world.told(api.PlacementRequested)) <= 1
    )  # whose attempt did not leave


@LEAVES
def test_a_client_that_left_while_a_connection_came_up_is_not_served(world, how):
    """Held: the link is up before the client leaves, and nobody has been told of either."""
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1)
    world.loop.poller.poll(0.0)  # the client's socket is not at the head of what is ready any more
    for _ in range(len(world.loop.ready)):  # the connect is begun, and is up at once; the loop polls nothing
        world.loop._step(*world.loop.ready.popleft())
    leave(sock, how)
    settled(world)
    assert len(peer.streams) == 1 and m.SETUP not in kinds(peer)
    assert world.back() == [api.Outcome.NOT_SENT] and world.exchange.open_call_count == 0


@LEAVES
def test_a_client_that_left_between_two_attempts_has_no_second_one(world, how):
    """Held: the refusal and the client's leaving both lie unread, the refusal first."""
    first, second = Peer(world.loop), Peer(world.loop, stands)
    sock, other = world.client(), world.client()
    world.list(("h1", first.address), ("h2", second.address))
    world.ask(other, 9, host="h2")
    world.until(lambda: "h2" in world.exchange.placed_calls_by_host)  # a link is up there
    world.ask(sock, 1)
    world.until(lambda: first.got)
    world.module.next.append([api.Bind(2, "h2", 2000.0)])
    first.streams[0].send(m.encode_with_cause(m.RELEASE, 1, m.REJECTED))
    leave(sock, how)
    settled(world)
    assert sent(second) == [9]
    assert world.exchange.open_call_count == 0


@LEAVES
def test_a_client_that_left_while_it_waited_for_a_descriptor_is_not_served(world, how):
    """Held: the descriptor is free before the loop has told of the client's leaving."""
    peer, sock = linked(world)
    (link,) = world.hosts.hosts_by_name["h1"].connections
    peer.script = lambda stream, message: None
    world.ask(sock, 5)  # which keeps the link
    link.is_unresponsive, world.descriptors.capacity = True, 0  # it takes nothing more, and there is no other
    world.ask(sock, 1)
    assert len(world.hosts.pending_queue) == 1
    link.is_unresponsive = False
    leave(sock, how)
    world.hosts.pending_queue.serve()
    settled(world)
    assert sent(peer) == [9, 5]


@LEAVES
def test_a_yes_for_a_client_that_left_is_taken_back(world, how):
    """Held: the host's yes and the client's leaving both lie unread, the yes first."""
    peer, sock = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1)
    world.until(lambda: peer.got)
    stands(*peer.got[0])
    leave(sock, how)
    settled(world)
    assert kinds(peer) == [m.SETUP, m.RELEASE] and not world.exchange.placed_calls_by_host
    assert world.back() == [api.Outcome.STOPPED] and not world.told(api.AttemptAccepted)


def test_what_a_client_that_left_says_of_standing_tasks_still_counts(world):
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    last = world.client()
    last.send(
        b"".join(m.encode(m.PROGRESS, n) for n in range(3 * client_connections.MESSAGES_PER_TURN)) + cancel(1)
    )
    last.close()
    settled(world)
    assert m.RELEASE in kinds(peer) and not world.exchange.placed_calls_by_host


def test_an_inbox_tells_what_lies_in_it():
    inbox = Inbox()
    data = setup(1) + setup(2) + cancel(2) + setup(2)[:20]
    for byte in data:
        inbox.feed(bytes((byte,)), 5.0)
    assert (inbox.is_client_waiting(1), inbox.is_client_waiting(2)) == (True, False)
    found = [inbox.next_message() for _ in range(3)]
    assert [message.kind for message, _ in found] == [m.SETUP, m.SETUP, m.RELEASE]
    assert (
        inbox.next_message() is None
        and inbox.has_partial_message
        and inbox.is_client_waiting(2)
        and len(inbox.arrivals) == 2
    )  # not one a byte
    inbox.feed(setup(2)[20:], 9.0)
    assert inbox.next_message()[1] == 9.0 and not inbox.has_partial_message
    inbox.feed(b"\0\1", 10.0)
    assert inbox.has_next and not inbox.has_partial_message
    with pytest.raises(m.ProtocolError):
        inbox.next_message()
    inbox.is_closed = True
    assert not inbox.is_client_waiting(1)


# ---- what is looked at last before the first byte leaves ----


def test_an_attempt_leaves_only_if_all_is_as_it_was_when_it_was_decided():
    for values in itertools.product((False, True), repeat=5):
        seen = AttemptEvidence(*values)
        expected = (
            None
            if all(values)
            else DeliveryOutcome.CLIENT_GONE
            if not seen.is_client_waiting
            else DeliveryOutcome.NOT_SENT
        )
        assert check_send(seen) is expected
    assert (
        is_harmless_to_send(SAFE, 0.0, 1e9, 2.0)
        and is_harmless_to_send(UNSAFE, None, 1e9, 2.0)
        and not is_harmless_to_send(UNSAFE, 0.0, 0.0, 2.0)
    )
    assert is_harmless_to_send(KEYED, 10.0, 10.0 + 4996.0, 2.0) and not is_harmless_to_send(
        KEYED, 10.0, 10.0 + 4996.5, 2.0
    )
    assert (
        is_turn_valid(False, 9e9, 1.0)
        and is_turn_valid(True, 9e9, 0.0)
        and is_turn_valid(True, 250.0, 1000.0)
        and not is_turn_valid(True, 251.0, 1000.0)
    )


@pytest.mark.parametrize("phase", [api.MachinePhase.DRAINING, api.MachinePhase.REMOVED])
def test_what_waited_for_a_connection_is_not_sent_to_a_host_that_drains(world, phase):
    """Held: the link is up, nobody has been told, when the list tells the drain."""
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1)
    world.list(("h1", peer.address), phase=phase)
    settled(world)
    assert m.SETUP not in kinds(peer) and world.back() == [api.Outcome.NOT_SENT]


def test_what_was_decided_too_long_ago_is_not_sent_to_a_cold_host(world, monkeypatch):
    """It would meet the turn of another allocator there."""
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    monkeypatch.setattr(world.hosts, "is_warming_up", lambda host: True)
    world.ask(sock, 1)
    (attempt,) = (a for link in world.hosts.hosts_by_name["h1"].connections for a in link.waiting_attempts)
    attempt.bound_at_ms -= 1.0
    world.exchange.settings = replace(SETTINGS, warm_up_window_ms=1.0)
    settled(world)
    assert m.SETUP not in kinds(peer) and world.back() == [api.Outcome.NOT_SENT]


def test_a_keyed_attempt_decided_in_its_window_does_not_leave_after_it():
    world = Virtual()
    world.asks(7, api.Bind(1, "h1", 300.0), cls="keyed")
    world.module.next.append([api.Bind(1, "h2", 6000.0)])
    world.advance(300.0)
    first, second = world.offers
    assert world.outcomes() == [api.Outcome.TIMED_OUT]
    world.advance(KEYED.deduplication_window_ms - 2.0 - 300.0)
    assert world.exchange.check_send(second, True, False) is None
    world.advance(1.0)
    assert world.exchange.check_send(second, True, False) is DeliveryOutcome.NOT_SENT


def test_nothing_queues_behind_bytes_that_a_host_does_not_read(world):
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    (link,) = world.hosts.hosts_by_name["h1"].connections
    link.stream.send_buffer += b"\0"  # as if the socket had taken no more
    world.ask(sock, 2)
    world.until(lambda: len(peer.streams) == 2 and m.SETUP in kinds(peer)[1:])
    assert peer.got[-1][0] is peer.streams[1]


# ---- a standstill: everything that came meanwhile lies unread, and timers are due ----


def standstill(world, ms):
    """The clock goes on without the loop."""
    now = world.loop.clock.now
    world.loop.clock.now = lambda: now() + ms


def test_an_answer_that_lies_unread_is_no_time_out(world):
    """Held: the answer came in time; when the loop goes on, the time-out is due."""
    peer, sock = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1, timeout=500.0)
    world.until(lambda: peer.got)
    stands(*peer.got[0])
    standstill(world, 600.0)
    settled(world)
    assert list(world.exchange.placed_calls_by_host["h1"]) == [1] and not world.told(api.AttemptEnded)


def test_what_lies_unread_at_a_time_out_puts_it_off_once(world):
    peer, sock = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1, timeout=500.0)
    world.until(lambda: peer.got)
    peer.streams[0].send(m.encode(m.PROGRESS, 1))
    standstill(world, 600.0)
    settled(world)
    assert world.back() == [api.Outcome.TIMED_OUT]


def test_a_drain_that_lies_unread_is_known_to_a_timer_that_is_due(world):
    """Held: the event came while we stood still; a held task's timer is due in the same round."""
    peer, sock = linked(world)
    entry = {
        "instanceId": "h1",
        "hostPort": f"127.0.0.1:{peer.address[1]}",
        "zone": "a",
        "machineType": "std",
    }
    drain = {"cursor": 1, "nodes": {"instances": [{**entry, "lifecycle": "DRAINING"}]}}
    tower = Tower(world.loop, lambda n: b"1\n" if n > 1 else b" ")
    asking = Backoff(BackoffPolicy(1.0, 1.0, 9e9), world.hosts.random)
    watch_client.WatchClient(
        world.loop, world.channel, asking, tower.address, world.hosts.apply_list_change, world.logs.append
    )
    world.until(lambda: tower.got)
    sock.send(setup(1))  # the module holds it
    world.until(lambda: len(world.told(api.PlacementRequested)) == 2)
    world.module.next.append([api.Bind(2, "h1", 2000.0)])
    tower.streams[0].send(json.dumps(drain).encode() + b"\n")
    world.loop.call_in(
        0.0, lambda: world.exchange.event_dispatcher.dispatch_event(api.ReachabilityChanged("h1", True))
    )  # any event will do
    standstill(world, 5.0)
    settled(world)
    assert sent(peer) == [9] and world.back() == [api.Outcome.NOT_SENT]


def test_a_host_is_not_given_up_for_our_own_standstill(world, monkeypatch):
    """Held: a word of it lies unread, and a sweep is due that last heard of it eight seconds ago."""
    peer, _ = linked(world)
    peer.listener.close()
    host = world.hosts.hosts_by_name["h1"]
    host.record_connect_failure(world.loop.now(), refused=True, disconnected=False)
    peer.streams[0].send(m.encode(m.OBSERVATION, 9, {m.TOPIC: b"cores", m.VALUE: b"1"}))
    standstill(world, 8_000.0)
    settled(world)
    assert list(world.exchange.placed_calls_by_host["h1"]) == [9]


def test_an_answer_by_the_module_on_hearing_of_a_client_that_left_is_no_fault(world):
    """It turns away the second call of a connection on hearing of the first."""
    sock = world.client()
    sock.send(setup(1) + setup(2))
    world.until(lambda: len(world.told(api.PlacementRequested)) == 2)
    first, second = (event.call_id for event in world.told(api.PlacementRequested))
    order = [
        world.exchange.calls_by_id[first].setup.task_id,
        world.exchange.calls_by_id[second].setup.task_id,
    ]
    (owner,) = world.owners.connections
    others = {task: world.exchange.calls_by_task_id[task].call_id for task in order}
    left = next(iter(owner.open_task_ids))
    world.module.next.append([api.Reject(next(n for task, n in others.items() if task != left))])
    world.exchange.on_client_gone(owner)
    assert not world.exchange.calls_by_id and [event.call_id for event in world.told(api.CallAbandoned)] == [
        others[left]
    ]

"""Races between clients, hosts and the platform server on real connections, each reproduced
deterministically.

One loop runs the server and its peers. Sent data stays unread until the test runs the loop, so the test
determines the order of events; "Race:" in a docstring names that order."""

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
from glencleat.platform_server import client_connections, watch_client
from tests.support.command_channel_world import Tower
from tests.support.exchange_world import KEYED, SAFE, SETTINGS, UNSAFE, read, setup
from tests.support.exchange_world import World as Virtual
from tests.support.socket_world import Peer, cancel, kinds, linked, sent, settled, stands


def leave(sock, how):
    if how == "cancels":
        sock.send(cancel(1))
    else:
        sock.close()


LEAVING_MODES = pytest.mark.parametrize("how", ["cancels", "closes"])


# ---- a client that cancelled or disconnected ----


@LEAVING_MODES
def test_a_client_that_left_before_its_set_up_was_read_is_not_served(world, how):
    peer, sock = linked(world)
    world.module.next.append([api.Bind(2, "h1", 2000.0)])
    sock.send(setup(1))
    leave(sock, how)  # both are unread
    settled(world)
    assert (
        sent(peer) == [9]
        and world.exchange.open_call_count == 0
        and list(world.exchange.placed_calls_by_host["h1"]) == [9]
    )


def test_an_end_behind_hundreds_of_set_ups_is_seen_before_the_first(world):
    """Sixteen messages of a connection are handled per turn; the others were still served after the client
    had gone."""
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.module.next += [[api.Bind(n, "h1", 2000.0)] for n in range(1, 301)]
    sock.send(b"".join(setup(n) for n in range(1, 301)))
    sock.close()
    settled(world)
    # At most one call reaches the policy, and its attempt is not sent.
    assert m.SETUP not in kinds(peer) and len(world.told(api.PlacementRequested)) <= 1


@LEAVING_MODES
def test_a_client_that_left_while_a_connection_came_up_is_not_served(world, how):
    """Race: the connection opens, then the client leaves, before the server has processed either."""
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1)
    world.loop.poller.poll(0.0)  # the client's socket is no longer first among the ready ones
    for _ in range(len(world.loop.ready)):  # begins the connect, which completes at once, without polling
        world.loop._step(*world.loop.ready.popleft())
    leave(sock, how)
    settled(world)
    assert len(peer.streams) == 1 and m.SETUP not in kinds(peer)
    assert world.back() == [api.Outcome.NOT_SENT] and world.exchange.open_call_count == 0


@LEAVING_MODES
def test_a_client_that_left_between_two_attempts_has_no_second_one(world, how):
    """Race: the rejection and the client's leaving are both unread, the rejection first."""
    first, second = Peer(world.loop), Peer(world.loop, stands)
    sock, other = world.client(), world.client()
    world.list(("h1", first.address), ("h2", second.address))
    world.ask(other, 9, host="h2")
    world.until(lambda: "h2" in world.exchange.placed_calls_by_host)  # a connection to it is open
    world.ask(sock, 1)
    world.until(lambda: first.got)
    world.module.next.append([api.Bind(2, "h2", 2000.0)])
    first.streams[0].send(m.encode_with_cause(m.RELEASE, 1, m.REJECTED))
    leave(sock, how)
    settled(world)
    assert sent(second) == [9]
    assert world.exchange.open_call_count == 0


@LEAVING_MODES
def test_a_client_that_left_while_it_waited_for_a_descriptor_is_not_served(world, how):
    """Race: a connection becomes available before the loop has reported that the client left."""
    peer, sock = linked(world)
    (connection,) = world.hosts.hosts_by_name["h1"].connections
    peer.script = lambda stream, message: None
    world.ask(sock, 5)  # keeps the connection in use
    connection.is_unresponsive, world.descriptors.capacity = True, 0  # not usable, and no other may be opened
    world.ask(sock, 1)
    assert len(world.hosts.pending_queue) == 1
    connection.is_unresponsive = False
    leave(sock, how)
    world.hosts.pending_queue.serve()
    settled(world)
    assert sent(peer) == [9, 5]


@LEAVING_MODES
def test_an_acceptance_for_a_client_that_left_is_cancelled(world, how):
    """Race: the host's acceptance and the client's leaving are both unread, the acceptance first."""
    peer, sock = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1)
    world.until(lambda: peer.got)
    stands(*peer.got[0])
    leave(sock, how)
    settled(world)
    assert kinds(peer) == [m.SETUP, m.RELEASE] and not world.exchange.placed_calls_by_host
    assert world.back() == [api.Outcome.STOPPED] and not world.told(api.AttemptAccepted)


@LEAVING_MODES
def test_a_client_that_left_after_the_poll_is_not_told_of_a_placement(world, how):
    """Race: the loop has polled, then the client leaves, then the host's acceptance is handled."""
    peer, sock = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1)
    world.until(lambda: peer.got)
    attempt = world.exchange.calls_by_task_id[1].attempt
    leave(sock, how)
    (acceptance,) = read(m.encode(m.ANSWER, 1, {m.DESCRIPTION: b"ok"}))
    world.exchange.on_host_message("h1", attempt.connection, acceptance)
    assert world.back() == [api.Outcome.STOPPED] and not world.told(api.AttemptAccepted)


@LEAVING_MODES
def test_a_client_that_left_after_the_poll_has_no_call_opened(world, how):
    """Race: the loop has polled, then the client leaves, then its set-up is handled."""
    sock = world.client()
    world.until(lambda: world.owners.connections)
    (client,) = world.owners.connections
    leave(sock, how)
    (request,) = read(setup(1))
    world.exchange.on_client_setup(client, request, 0.0)
    assert not world.told(api.PlacementRequested) and not world.exchange.calls_by_id


def test_a_release_of_a_placed_task_by_a_client_that_left_is_applied(world):
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


# ---- the check before the first byte of an attempt is sent ----


def test_an_attempt_is_sent_only_if_the_conditions_of_its_decision_still_hold():
    for values in itertools.product((False, True), repeat=5):
        evidence = AttemptEvidence(*values)
        expected = (
            None
            if all(values)
            else DeliveryOutcome.CLIENT_GONE
            if not evidence.is_client_waiting
            else DeliveryOutcome.NOT_SENT
        )
        assert check_send(evidence) is expected
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
    """Race: the connection has opened but was not processed when the machine list changes the host's
    phase."""
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1)
    world.list(("h1", peer.address), phase=phase)
    settled(world)
    assert m.SETUP not in kinds(peer) and world.back() == [api.Outcome.NOT_SENT]


def test_an_attempt_decided_too_long_ago_is_not_sent_to_a_host_that_warms_up(world, monkeypatch):
    """It would arrive in the time slice of another allocator."""
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    monkeypatch.setattr(world.hosts, "is_warming_up", lambda host: True)
    world.ask(sock, 1)
    (attempt,) = (
        a for connection in world.hosts.hosts_by_name["h1"].connections for a in connection.waiting_attempts
    )
    attempt.bound_at_ms -= 1.0
    world.exchange.settings = replace(SETTINGS, warm_up_window_ms=1.0)
    settled(world)
    assert m.SETUP not in kinds(peer) and world.back() == [api.Outcome.NOT_SENT]


def test_an_attempt_with_an_idempotency_key_is_not_sent_after_its_window():
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


def test_no_attempt_queues_behind_bytes_that_a_host_does_not_read(world):
    peer, sock = Peer(world.loop, stands), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1)
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    (connection,) = world.hosts.hosts_by_name["h1"].connections
    connection.stream.send_buffer += b"\0"  # as if the socket buffer were full
    world.ask(sock, 2)
    world.until(lambda: len(peer.streams) == 2 and m.SETUP in kinds(peer)[1:])
    assert peer.got[-1][0] is peer.streams[1]


# ---- a stall of the loop: what arrived meanwhile is unread, and timers are due ----


def stall(world, ms):
    """Advances the clock without running the loop."""
    now = world.loop.clock.now
    world.loop.clock.now = lambda: now() + ms


def test_an_unread_answer_prevents_a_time_out(world):
    """Race: the answer arrived in time, but the time-out is due when the loop continues."""
    peer, sock = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1, timeout=500.0)
    world.until(lambda: peer.got)
    stands(*peer.got[0])
    stall(world, 600.0)
    settled(world)
    assert list(world.exchange.placed_calls_by_host["h1"]) == [1] and not world.told(api.AttemptEnded)


def test_unread_data_defers_a_time_out_once(world):
    peer, sock = Peer(world.loop), world.client()
    world.list(("h1", peer.address))
    world.ask(sock, 1, timeout=500.0)
    world.until(lambda: peer.got)
    peer.streams[0].send(m.encode(m.PROGRESS, 1))
    stall(world, 600.0)
    settled(world)
    assert world.back() == [api.Outcome.TIMED_OUT]


def test_an_unread_drain_is_applied_before_timers_that_are_due(world):
    """Race: the watch event arrived during a stall, and the timer of a queued call is due in the same
    round."""
    peer, sock = linked(world)
    entry = {
        "instanceId": "h1",
        "hostPort": f"127.0.0.1:{peer.address[1]}",
        "zone": "a",
        "machineType": "std",
    }
    drain = {"cursor": 1, "nodes": {"instances": [{**entry, "lifecycle": "DRAINING"}]}}
    channel_server = Tower(world.loop, lambda n: b"1\n" if n > 1 else b" ")
    backoff = Backoff(BackoffPolicy(1.0, 1.0, 9e9), world.hosts.random)
    watch_client.WatchClient(
        world.loop,
        world.channel,
        backoff,
        channel_server.address,
        world.hosts.apply_list_change,
        world.logs.append,
    )
    world.until(lambda: channel_server.got)
    sock.send(setup(1))  # the policy does not place it yet
    world.until(lambda: len(world.told(api.PlacementRequested)) == 2)
    world.module.next.append([api.Bind(2, "h1", 2000.0)])
    channel_server.streams[0].send(json.dumps(drain).encode() + b"\n")
    world.loop.call_in(
        0.0, lambda: world.exchange.event_dispatcher.dispatch_event(api.ReachabilityChanged("h1", True))
    )  # any event has the policy bind the call
    stall(world, 5.0)
    settled(world)
    assert sent(peer) == [9] and world.back() == [api.Outcome.NOT_SENT]


def test_a_host_is_not_declared_dead_for_a_stall_of_the_loop(world, monkeypatch):
    """Race: a message of the host is unread when a tick is due, eight seconds after the last one was read."""
    peer, _ = linked(world)
    peer.listener.close()
    host = world.hosts.hosts_by_name["h1"]
    host.record_connect_failure(world.loop.now(), refused=True, disconnected=False)
    peer.streams[0].send(m.encode(m.OBSERVATION, 9, {m.TOPIC: b"cores", m.VALUE: b"1"}))
    stall(world, 8_000.0)
    settled(world)
    assert list(world.exchange.placed_calls_by_host["h1"]) == [9]


def test_a_policy_may_reject_another_call_on_the_event_that_a_client_left(world):
    """When the first call of a connection is abandoned, the policy rejects the second one."""
    sock = world.client()
    sock.send(setup(1) + setup(2))
    world.until(lambda: len(world.told(api.PlacementRequested)) == 2)
    first, second = (event.call_id for event in world.told(api.PlacementRequested))
    order = [
        world.exchange.calls_by_id[first].setup.task_id,
        world.exchange.calls_by_id[second].setup.task_id,
    ]
    (client,) = world.owners.connections
    call_ids_by_task = {task: world.exchange.calls_by_task_id[task].call_id for task in order}
    abandoned_task = next(iter(client.open_task_ids))
    world.module.next.append(
        [api.Reject(next(n for task, n in call_ids_by_task.items() if task != abandoned_task))]
    )
    world.exchange.on_client_gone(client)
    assert not world.exchange.calls_by_id and [event.call_id for event in world.told(api.CallAbandoned)] == [
        call_ids_by_task[abandoned_task]
    ]

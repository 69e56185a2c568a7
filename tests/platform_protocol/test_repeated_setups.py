"""Set-ups that come again on a new connection, after an attempt of the first sending may have run.

"If a set-up crosses such a close ..., it is sent again on a new connection, once" (protocol page).
"""

import pytest

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol import uncertain_calls
from glencleat.platform_protocol.delivery import DeliveryOutcome
from tests.support.exchange_world import KEYED, SETTINGS, UNSAFE, Owner, World, read, setup

TASK = 7
FAILED = (m.RELEASE, TASK, m.FAILED)
ZONE_KEYED = api.TaskClass(
    "keyed",
    KEYED.idempotency,
    1000.0,
    8000.0,
    1.0,
    deduplication_scope="zone",
    deduplication_window_ms=5000.0,
)


@pytest.fixture
def world():
    return World()


def send_and_leave(world, cls, cancel_outcome=DeliveryOutcome.ANSWER_TIMEOUT, how="closes"):
    """A client sends the set-up, which is passed on to a host, and leaves."""
    client = Owner()
    world.cancel_outcome = cancel_outcome
    world.asks(TASK, api.Bind(world.exchange.call_count + 1, "h1", 900.0), owner=client, cls=cls)
    if how == "closes":
        client.is_closed = True
        world.exchange.on_client_gone(client)
    else:
        world.client_releases(TASK, client)
    assert not world.exchange.calls_by_id


def send_again(world, cls, **fields):
    """The set-up comes on a new connection; returns that connection."""
    client = Owner()
    world.asks(TASK, api.Bind(world.exchange.call_count + 1, "h2", 900.0), owner=client, cls=cls, **fields)
    return client


@pytest.mark.parametrize("how", ["closes", "takes it back"])
@pytest.mark.parametrize("outcome", [DeliveryOutcome.ANSWER_TIMEOUT, DeliveryOutcome.CONNECTION_LOST])
def test_an_unsafe_task_that_may_have_run_is_not_sent_to_a_host_again(world, outcome, how):
    """Guards against an unsafe task that runs twice, as its set-up comes again after its client had left."""
    send_and_leave(world, "unsafe", outcome, how)
    client = send_again(world, "unsafe")
    assert len(world.offers) == 1 and client.replies() == [FAILED]
    assert not client.open_task_ids and not world.exchange.calls_by_id


@pytest.mark.parametrize(
    "outcome", [DeliveryOutcome.NOT_SENT, DeliveryOutcome.CONNECT_TIMEOUT, DeliveryOutcome.REFUSED]
)
def test_an_unsafe_task_that_never_ran_is_placed_when_it_comes_again(world, outcome):
    send_and_leave(world, "unsafe", outcome)
    client = send_again(world, "unsafe")
    assert len(world.offers) == 2 and client.replies() == []


def test_an_idempotent_task_is_placed_when_it_comes_again(world):
    send_and_leave(world, "safe")
    client = send_again(world, "safe")
    assert len(world.offers) == 2 and client.replies() == [] and not world.exchange.uncertain_calls


def test_a_keyed_task_is_placed_again_within_the_window_of_its_first_attempt(world):
    send_and_leave(world, "keyed")
    world.advance(1_000.0)
    send_again(world, "keyed")
    assert len(world.offers) == 2
    (attempt,) = world.offers[1:]
    assert world.exchange.check_send(attempt, True, False) is None
    world.advance(KEYED.deduplication_window_ms - 1_000.0)
    attempt.deadline_at_ms += 10_000.0
    assert world.exchange.check_send(attempt, True, False) is DeliveryOutcome.NOT_SENT


def test_a_keyed_task_fails_after_the_window_of_its_first_attempt(world):
    send_and_leave(world, "keyed")
    world.advance(KEYED.deduplication_window_ms)
    assert send_again(world, "keyed").replies() == [FAILED] and len(world.offers) == 1


def test_a_task_keyed_for_a_zone_fails_as_the_zone_is_not_known():
    settings = api.Settings(
        **{**{f: getattr(SETTINGS, f) for f in SETTINGS.__slots__}, "classes": (ZONE_KEYED,)}
    )
    world = World(settings=settings)
    send_and_leave(world, "keyed")
    assert send_again(world, "keyed").replies() == [FAILED] and len(world.offers) == 1


@pytest.mark.parametrize(
    "fields", [{"name": "another"}, {"desc": b"another"}, {"extras": "cores:2;memory:1;service:x"}]
)
def test_the_same_id_with_another_content_fails_too(world, fields):
    """Faulty clients send ids with different contents; what ran under the id is not known."""
    send_and_leave(world, "unsafe")
    assert send_again(world, "unsafe", **fields).replies() == [FAILED] and len(world.offers) == 1


def test_the_same_id_with_another_class_fails(world):
    send_and_leave(world, "keyed")
    assert send_again(world, "safe").replies() == [FAILED] and len(world.offers) == 1


@pytest.mark.parametrize("cls", ["unsafe", "safe"])
def test_a_set_up_that_comes_again_before_the_close_of_its_connection_is_read(world, cls):
    """Race: the first connection has ended, which is unread when the set-up comes on the second one."""
    first = Owner()
    world.asks(TASK, api.Bind(1, "h1", 900.0), owner=first, cls=cls)
    first.is_closed = True
    world.module.next += [[], []]  # the policy learns that the first call was abandoned and its attempt ended
    second = send_again(world, cls)
    if cls == "unsafe":
        assert len(world.offers) == 1 and second.replies() == [FAILED]
    else:
        assert len(world.offers) == 2 and second.replies() == [] and second.open_task_ids == {TASK}
    world.exchange.on_client_gone(first)  # which is read now
    assert len(world.exchange.calls_by_id) == (cls == "safe")


def test_a_set_up_with_an_id_that_another_client_waits_for_is_invalid(world):
    world.asks(TASK, api.Bind(1, "h1", 900.0), cls="unsafe")
    assert send_again(world, "unsafe").replies() == [(m.RELEASE, TASK, m.INVALID_CONTENTS)]
    assert world.owner.open_task_ids == {TASK}


@pytest.mark.parametrize("end", ["failed", "ended", "lost"])
def test_an_unsafe_task_that_is_over_does_not_run_again(world, end):
    """Its answer may have crossed the end of the connection, so that its client sends the set-up again."""
    client = Owner()
    actions = [api.Bind(1, "h1", 900.0)]
    world.asks(TASK, *actions, owner=client, cls="unsafe")
    if end == "failed":
        world.module.next.append([api.Fail(1)])
        world.host(m.RELEASE, TASK, cause=m.ERROR)
    else:
        world.host(m.ANSWER, TASK, desc=b"ok")
        if end == "ended":
            world.host(m.RELEASE, TASK, cause=m.ENDED)
        else:
            world.exchange.declare_tasks_lost("h1")
    assert not world.exchange.calls_by_id
    assert send_again(world, "unsafe").replies() == [FAILED] and len(world.offers) == 1


def test_a_task_that_its_host_holds_may_be_handed_over(world):
    """The owner looks after it: hosts tell it what they hold."""
    send_and_leave(world, "unsafe")
    world.asks(TASK, cls="unsafe", extras="cores:1;memory:2;service:web;at:h1")
    assert TASK in world.exchange.placed_calls_by_host["h1"]


@pytest.mark.parametrize("when", ["during a shutdown", "after its time"])
def test_an_unsafe_task_that_may_have_run_is_not_refused_as_harmless(world, when):
    """Guards against a refusal, which says that no attempt has run, of a set-up that comes again."""
    send_and_leave(world, "unsafe")
    client = Owner()
    (message,) = read(setup(TASK, cls="unsafe"))
    waited_ms = 9_000.0 if when == "after its time" else 0.0
    assert world.exchange.on_client_setup(client, message, waited_ms, when == "during a shutdown")
    assert client.replies() == [FAILED]


def test_calls_are_forgotten_when_their_clients_no_longer_wait(world):
    send_and_leave(world, "unsafe")
    world.advance(UNSAFE.deadline_ms + 1.0)
    assert send_again(world, "unsafe").replies() == [] and len(world.offers) == 2


def test_the_memory_of_calls_is_bounded(world, monkeypatch):
    monkeypatch.setattr(uncertain_calls, "MAX_UNCERTAIN_CALLS", 10)
    calls = uncertain_calls.UncertainCalls()
    for task in range(30):
        calls.record(task, UNSAFE, 0.0, 100.0, float(task))
    assert list(calls.calls_by_task_id) == list(range(20, 30))
    calls.record(99, UNSAFE, 0.0, 100.0, 1e6)
    assert list(calls.calls_by_task_id) == [99]

"""The exchange: the outcome of every end of an attempt, one final answer for each call, no state kept after it."""

import pytest

from glencleat import Scheduler
from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.delivery import OUTCOMES_BY_DELIVERY, DeliveryOutcome
from glencleat.platform_protocol.setup_calls import SetupState
from tests.support.exchange_world import SETTINGS, Owner, World, list_change, machine, read

NEVER_RAN_OUTCOMES = {api.Outcome.REJECTED, api.Outcome.UNREACHABLE, api.Outcome.NOT_SENT}


@pytest.fixture
def world():
    return World()


def bind(number=1, host="h1", timeout=500.0):
    return api.Bind(number, host, timeout)


def place_task(world, task=7, number=1, host="h1", **fields):
    world.asks(task, bind(number, host), **fields)
    world.host(m.ANSWER, task, host, desc=b"from the host")


def has_no_state(world):
    exchange = world.exchange
    return (
        not (
            exchange.calls_by_id
            or exchange.calls_by_task_id
            or exchange.placed_calls_by_host
            or exchange.contract.calls_by_id
            or any(exchange.event_dispatcher.pending)
        )
        and not world.owner.open_task_ids
    )


# ---- before the host's answer ----

RELEASES_BEFORE_ANSWER = [
    (34, api.Outcome.REJECTED), (102, api.Outcome.NOT_SENT), (47, api.Outcome.ERROR), (41, api.Outcome.LOST),
    (16, api.Outcome.LOST), (31, api.Outcome.LOST), (42, api.Outcome.LOST), (0, api.Outcome.LOST), (255, api.Outcome.LOST),
]  # fmt: skip


@pytest.mark.parametrize(("cause", "outcome"), RELEASES_BEFORE_ANSWER)
def test_release_before_the_answer_maps_to_an_outcome(world, cause, outcome):
    world.asks(7, bind())
    world.host(m.RELEASE, 7, cause=cause)
    (ended,) = world.events_of(api.AttemptEnded)
    assert (ended.outcome, ended.is_call_closed, ended.attempt) == (outcome, False, 0)
    # The call stays open until the policy answers it.
    assert world.owner.received == [] and world.exchange.open_call_count == 1
    assert (outcome in NEVER_RAN_OUTCOMES) == (cause in (34, 102))


@pytest.mark.parametrize("delivery", DeliveryOutcome)
def test_delivery_outcome_maps_to_an_outcome(world, delivery):
    world.asks(7, bind())
    world.exchange.on_attempt_failed(world.offers[0], delivery)
    assert world.outcomes() == [OUTCOMES_BY_DELIVERY[delivery]]
    assert (OUTCOMES_BY_DELIVERY[delivery] in NEVER_RAN_OUTCOMES) == (
        delivery
        in (
            DeliveryOutcome.REFUSED,
            DeliveryOutcome.CONNECT_TIMEOUT,
            DeliveryOutcome.NOT_SENT,
            DeliveryOutcome.CLIENT_GONE,
        )
    )
    world.exchange.on_attempt_failed(world.offers[0], delivery)  # a second report is ignored
    assert len(world.outcomes()) == 1


def test_timeout_cancels_before_the_next_attempt_is_sent(world):
    world.asks(7, bind())
    world.module.next.append([bind(host="h2")])
    world.advance(499.0)
    assert world.cancelled_attempts == []
    calls = []
    world.cancel_attempt = lambda attempt: calls.append("cancel") or DeliveryOutcome.ANSWER_TIMEOUT
    world.offer_attempt = lambda attempt: calls.append("offer")
    world.advance(1.0)
    assert calls == ["cancel", "offer"] and world.outcomes() == [api.Outcome.TIMED_OUT]


@pytest.mark.parametrize(
    ("delivery", "outcome"),
    [
        (DeliveryOutcome.NOT_SENT, api.Outcome.NOT_SENT),
        (DeliveryOutcome.CONNECT_TIMEOUT, api.Outcome.UNREACHABLE),
    ],
)
def test_timeout_of_an_unsent_attempt(world, delivery, outcome):
    world.cancel_outcome = delivery
    world.asks(7, bind())
    world.advance(500.0)
    assert world.outcomes() == [outcome]


def test_late_repeated_and_unknown_answers_are_ignored(world):
    world.asks(7, bind())
    first = world.offers[0].connection
    world.module.next.append([bind(host="h2")])
    world.advance(500.0)
    world.host(m.ANSWER, 7, "h1", first, desc=b"late")
    world.host(m.ANSWER, 7, "h2", first, desc=b"on another connection")
    world.host(m.ANSWER, 99, "h2", desc=b"for an unknown task")
    assert world.owner.received == [] and world.events_of(api.AttemptAccepted) == []
    world.host(m.ANSWER, 7, "h2", desc=b"good")
    world.host(m.ANSWER, 7, "h2", desc=b"second")
    assert [message.parameters[m.DESCRIPTION] for message in world.owner.received] == [b"good"]
    assert [event.attempt for event in world.events_of(api.AttemptAccepted)] == [1]


@pytest.mark.parametrize("bad", [{}, {"cause": 1}])
def test_answer_without_a_description_is_not_forwarded(world, bad):
    world.asks(7, bind())
    with pytest.raises(m.ProtocolError):
        world.host(m.ANSWER, 7, **bad)
    assert world.owner.received == [] and world.events_of(api.AttemptAccepted) == []


@pytest.mark.parametrize(
    "bad", [{"report": b"x0:1;x0"}, {"report": b"x0:nan"}, {"report": b"\xff"}, {"topic": b"\0"}]
)
def test_malformed_release_changes_nothing(world, bad):
    world.asks(7, bind())
    with pytest.raises(m.ProtocolError):
        world.host(m.RELEASE, 7, cause=34, **bad)
    assert world.events_of(api.AttemptEnded) == [] and world.exchange.open_call_count == 1


def test_rejection_carries_reason_and_load_report(world):
    world.asks(7, bind())
    world.host(m.RELEASE, 7, cause=34, topic=b"queue_full", report=b"x0:12;x1:40;queue:3;util:0.5")
    (ended,) = world.events_of(api.AttemptEnded)
    assert ended.reason is api.OutcomeReason.QUEUE_FULL
    assert ended.report == api.LoadReport(12.0, 40.0, 0.5, 3.0)


# ---- answers ----


def test_host_answer_is_forwarded_unchanged(world):
    place_task(world)
    (answer,) = world.owner.received
    assert (answer.kind, answer.task_id, answer.parameters) == (
        m.ANSWER,
        7,
        {m.DESCRIPTION: b"from the host"},
    )
    assert not world.owner.open_task_ids and world.exchange.open_call_count == 0


def test_setup_is_forwarded_unchanged_except_for_the_timeout():
    world = World()
    world.asks(7, bind(timeout=400.0), cls="keyed", name="n", key="kk", desc=b"\x00\xfe")
    (sent,) = read(world.offers[0].encode_setup(world.at + 150.0))
    expected = {m.CLASS: b"keyed", m.TIMEOUT: b"250", m.NAME: b"n", m.KEY: b"kk", m.DESCRIPTION: b"\x00\xfe"}
    assert (sent.kind, sent.task_id, sent.parameters) == (m.SETUP, 7, expected)


def test_rejection_and_failure_have_distinct_causes(world):
    world.asks(7, api.Reject(1, 250.0))
    world.asks(8, api.Fail(2))
    rejected, failed = world.owner.received
    assert rejected.cause in (34, 42, 102) and rejected.parameters[m.RETRY_AFTER] == b"250"
    assert failed.cause not in (34, 42, 102) and m.RETRY_AFTER not in failed.parameters
    assert has_no_state(world)


def test_waiting_time_is_subtracted_from_the_timeout(world):
    world.asks(7, waited=300.0, wait=8000)
    assert world.events_of(api.PlacementRequested)[0].remaining_ms == 7700.0
    world.asks(8, waited=8000.0, wait=8000)
    assert len(world.events_of(api.PlacementRequested)) == 1 and world.owner.replies() == [
        (m.RELEASE, 8, 102)
    ]


@pytest.mark.parametrize("is_in_flight", [False, True])
def test_cancelled_or_disconnected_client_gets_no_answer(world, is_in_flight):
    for task, number in ((7, 1), (8, 2)):
        world.asks(task, *([bind(number)] if is_in_flight else []))
    world.exchange.on_client_release(world.owner, read(m.encode_with_cause(m.RELEASE, 7, m.CANCELLED))[0])
    world.exchange.on_client_gone(world.owner)
    assert [event.call_id for event in world.events_of(api.CallAbandoned)] == [1, 2]
    assert (
        all(event.is_call_closed for event in world.events_of(api.AttemptEnded))
        and len(world.events_of(api.AttemptEnded)) == 2 * is_in_flight
    )
    assert (
        len(world.cancelled_attempts) == 2 * is_in_flight
        and world.owner.received == []
        and has_no_state(world)
    )


def test_open_call_is_cancelled_only_on_its_own_connection(world):
    world.asks(7)
    world.exchange.on_client_release(Owner(), read(m.encode_with_cause(m.RELEASE, 7, m.CANCELLED))[0])
    assert world.events_of(api.CallAbandoned) == [] and world.exchange.open_call_count == 1


# ---- invalid set-ups ----


def test_second_setup_with_an_open_task_id_is_a_protocol_error(world):
    world.asks(7, bind())
    with pytest.raises(m.ProtocolError):
        world.asks(7, desc=b"another")
    assert world.owner.received == [] and len(world.events_of(api.PlacementRequested)) == 1


def test_task_id_open_on_another_connection_is_refused(world):
    other = Owner()
    world.asks(7, bind())
    assert not world.asks(7, owner=other)
    world.host(m.ANSWER, 7, desc=b"d")
    assert other.replies() == [(m.RELEASE, 7, m.INVALID_CONTENTS)] and world.owner.replies() == [
        (m.ANSWER, 7, 0)
    ]


def test_invalid_setup_is_refused_without_asking_the_policy(world):
    assert not world.asks(7, cls="nope")
    assert (
        world.owner.replies() == [(m.RELEASE, 7, m.INVALID_CONTENTS)]
        and world.module.events == []
        and has_no_state(world)
    )


# ---- placed tasks ----

RELEASES_AFTER_ANSWER = [
    (16, api.Outcome.COMPLETED, 16), (41, api.Outcome.LOST, 41), (34, api.Outcome.LOST, 41), (47, api.Outcome.LOST, 41),
    (31, api.Outcome.STOPPED, None),
]  # fmt: skip


@pytest.mark.parametrize(("cause", "outcome", "client_cause"), RELEASES_AFTER_ANSWER)
def test_release_after_the_answer_ends_the_task_once(world, cause, outcome, client_cause):
    place_task(world)
    for _ in range(2):
        world.host(m.RELEASE, 7, connection="any connection of that host", cause=cause)
    assert world.outcomes() == [outcome] and world.events_of(api.AttemptEnded)[0].is_call_closed
    assert world.owner.replies()[1:] == (
        [] if client_cause is None else [(m.RELEASE, 7, client_cause)]
    ) and has_no_state(world)


def test_eviction_reason_reaches_the_policy(world):
    place_task(world)
    world.host(m.RELEASE, 7, cause=41, topic=b"evicted")
    assert world.events_of(api.AttemptEnded)[0].reason is api.OutcomeReason.EVICTED


def test_release_from_another_host_is_ignored(world):
    place_task(world)
    world.host(m.RELEASE, 7, "h2", cause=16)
    assert world.events_of(api.AttemptEnded) == [] and 7 in world.exchange.calls_by_task_id


def test_placed_task_is_independent_of_its_connection(world):
    place_task(world)
    world.exchange.on_client_gone(world.owner)
    assert world.events_of(api.CallAbandoned) == [] and 7 in world.exchange.calls_by_task_id
    other = Owner()
    world.exchange.on_client_release(other, read(m.encode_with_cause(m.RELEASE, 7, 16))[0])
    assert world.released_tasks == [("h1", 7)] and world.outcomes() == [api.Outcome.STOPPED]
    assert other.replies() == [(m.RELEASE_COMPLETE, 7, 0)]
    world.host(m.RELEASE, 7, cause=31)
    assert len(world.outcomes()) == 1 and has_no_state(world)


def test_migration_releases_the_task_on_its_host(world):
    place_task(world)
    world.module.next.append([api.Migrate(1)])
    world.host(m.OBSERVATION, 7, topic=b"pressure", value=b"0.97")
    assert world.events_of(api.TaskObserved)[0] == api.TaskObserved(
        1, "h1", api.ObservationKind.MACHINE_MEMORY_IN_USE, 0.97
    )
    assert (
        world.owner.replies()[1:] == [(m.MIGRATE, 7, 0)]
        and world.released_tasks == [("h1", 7)]
        and has_no_state(world)
    )


def test_a_lost_process_ends_the_tasks_that_are_named(world):
    place_task(world, 7, 1)
    world.advance(1000.0)
    place_task(world, 8, 2)
    assert world.exchange.declare_tasks_lost("h1", [7, 9]) == [7]
    assert [event.call_id for event in world.events_of(api.AttemptEnded)] == [1]
    assert world.exchange.declare_tasks_lost("h1") == [8] and world.outcomes() == [api.Outcome.LOST] * 2
    assert world.owner.replies()[2:] == [(m.RELEASE, 7, 41), (m.RELEASE, 8, 41)] and has_no_state(world)


def test_adopted_task_gets_no_answer_and_may_be_named_twice(world):
    for _ in range(2):
        world.asks(7, extras="cores:1;memory:2;service:web;at:h9", wait=None)
    (request,) = world.events_of(api.PlacementRequested)
    assert (
        request.machine == "h9"
        and world.owner.received == []
        and world.exchange.calls_by_id[1].state is SetupState.PLACED
    )
    world.host(m.OBSERVATION, 7, "h9", "a connection", topic=b"cores", value=b"0.5")
    world.host(m.RELEASE, 7, "h9", "a connection", cause=16)
    assert (
        world.outcomes() == [api.Outcome.COMPLETED]
        and world.owner.replies() == [(m.RELEASE, 7, 16)]
        and has_no_state(world)
    )


def test_observation_of_a_task_that_is_not_placed_is_ignored(world):
    world.asks(7, bind())
    world.host(m.OBSERVATION, 7, topic=b"cores", value=b"0.5")
    world.host(m.OBSERVATION, 99, topic=b"cores", value=b"0.5")
    assert world.events_of(api.TaskObserved) == []


# ---- the policy's other actions ----


def test_probes_timers_watch_and_log(world):
    world.exchange.list_machines = lambda: (machine(),)
    actions = [
        api.Probe("h1"),
        api.Probe("h1"),
        api.SetTimer(50.0, 3),
        api.WatchMachineList(),
        api.LogMessage("hello"),
    ]
    world.asks(7, *actions)
    assert world.events_of(api.MachineListUpdated)[0].machines == (machine(),) and world.logs == ["hello"]
    world.host(m.PROBE_ANSWER, world.report_requests[0][1], connection="any", cause=1, report=b"x0:3")
    world.host(
        m.PROBE_ANSWER, world.report_requests[0][1], connection="any", cause=1, report=b"x0:3"
    )  # repeated
    world.advance(49.0)
    assert world.events_of(api.TimerFired) == []
    world.advance(201.0)
    assert [(event.outcome, event.report) for event in world.events_of(api.ProbeEnded)] == [
        (api.Outcome.COMPLETED, api.LoadReport(3.0)),
        (api.Outcome.TIMED_OUT, None),
    ]
    assert world.events_of(api.TimerFired) == [api.TimerFired(3)]


def test_closed_calls_leave_no_state_behind():
    """10,000 tasks with the real policy, each with a new id, host and service: the state must not grow."""
    world = World(Scheduler(SETTINGS, 1))
    exchange, sizes = world.exchange, []
    for i in range(10_000):
        name, previous_name = f"h{i}", f"h{i - 2}"
        machines = [machine(name), machine(previous_name, api.MachinePhase.REMOVED)]
        exchange.apply_list_change(list_change(*machines, is_snapshot=False))
        assert world.asks(1 + i, extras=f"cores:1;memory:1;service:s{i}")
        attempt = world.offers[-1]
        world.exchange.on_host_message(
            attempt.host, attempt.connection, read(m.encode(m.ANSWER, 1 + i, {m.DESCRIPTION: b""}))[0]
        )
        if i % 2:
            exchange.declare_tasks_lost(attempt.host)
        else:
            world.host(m.RELEASE, 1 + i, attempt.host, cause=16)
        world.advance(50.0)
        world.offers.clear()
        if i % 2_500 == 2_499:
            module = world.module
            sizes.append(
                (
                    len(exchange.calls_by_id),
                    len(exchange.calls_by_task_id),
                    len(exchange.placed_calls_by_host),
                    len(exchange.contract.calls_by_id),
                    len(module.state.machines),
                    len(module.state.tasks),
                )
            )
            assert len(module.starts.last_held_at_ms) <= 2_001
            assert len(module.profiles.profiles) <= 2_003
            assert len(world.timers.heap) < 100
    assert len(set(sizes)) == 1 and sizes[0][:4] == (0, 0, 0, 0), sizes

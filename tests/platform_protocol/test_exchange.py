"""The exchange: every end of an attempt as the outcome it proves, one answer a call, nothing kept after it."""

import pytest

from glencleat import Scheduler
from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.delivery import OUTCOME_BY_DELIVERY, DeliveryOutcome
from glencleat.platform_protocol.exchange import SetupState
from tests.support.exchange_world import SETTINGS, Owner, World, machine, news, read

PROOFS = {api.Outcome.REJECTED, api.Outcome.UNREACHABLE, api.Outcome.NOT_SENT}


@pytest.fixture
def world():
    return World()


def bind(number=1, host="h1", timeout=500.0):
    return api.Bind(number, host, timeout)


def placed(world, task=7, number=1, host="h1", **fields):
    world.asks(task, bind(number, host), **fields)
    world.host(m.ANSWER, task, host, desc=b"from the host")


def empty(world):
    exchange = world.exchange
    is_forgotten = not (exchange.calls or exchange.calls_by_task or exchange.running_by_host)
    is_settled = not (exchange.contract.calls or any(exchange.dispatcher.pending))
    return is_forgotten and is_settled and not world.owner.open


# ---- before the answer ----

BEFORE = [
    (34, api.Outcome.REJECTED), (102, api.Outcome.NOT_SENT), (47, api.Outcome.ERROR), (41, api.Outcome.LOST),
    (16, api.Outcome.LOST), (31, api.Outcome.LOST), (42, api.Outcome.LOST), (0, api.Outcome.LOST), (255, api.Outcome.LOST),
]  # fmt: skip


@pytest.mark.parametrize(("cause", "outcome"), BEFORE, ids=str)
def test_release_before_answer_ends_attempt_with_outcome_of_cause(world, cause, outcome):
    world.asks(7, bind())
    world.host(m.RELEASE, 7, cause=cause)
    (told,) = world.told(api.AttemptEnded)
    assert (told.outcome, told.is_call_closed, told.attempt) == (outcome, False, 0)
    assert world.owner.got == []
    assert world.exchange.open_calls == 1  # the module still owes the answer
    assert (outcome in PROOFS) == (cause in (34, 102))


@pytest.mark.parametrize("fact", DeliveryOutcome, ids=lambda fact: fact.name)
def test_delivery_failure_ends_attempt_once(world, fact):
    world.asks(7, bind())
    world.exchange.record_delivery_failure(world.offers[0], fact)
    assert world.outcomes() == [OUTCOME_BY_DELIVERY[fact]]
    assert (OUTCOME_BY_DELIVERY[fact] in PROOFS) == (
        fact
        in (
            DeliveryOutcome.REFUSED,
            DeliveryOutcome.CONNECT_TIMEOUT,
            DeliveryOutcome.NOT_SENT,
            DeliveryOutcome.CLIENT_DISCONNECTED,
        )
    )
    world.exchange.record_delivery_failure(world.offers[0], fact)  # a second word on it changes nothing
    assert len(world.outcomes()) == 1


def test_timed_out_attempt_is_cancelled_before_the_next_is_sent(world):
    world.asks(7, bind())
    world.module.next.append([bind(host="h2")])
    world.advance(499.0)
    assert world.cancelled_attempts == []
    order = []
    world.cancel_attempt = lambda attempt: order.append("give-up") or DeliveryOutcome.ANSWER_TIMEOUT
    world.send_attempt = lambda attempt: order.append("offer")
    world.advance(1.0)
    assert order == ["give-up", "offer"]
    assert world.outcomes() == [api.Outcome.TIMED_OUT]


@pytest.mark.parametrize(
    ("fact", "outcome"),
    [
        (DeliveryOutcome.NOT_SENT, api.Outcome.NOT_SENT),
        (DeliveryOutcome.CONNECT_TIMEOUT, api.Outcome.UNREACHABLE),
    ],
)
def test_timeout_of_unsent_attempt_reports_not_executed(world, fact, outcome):
    world.fact = fact
    world.asks(7, bind())
    world.advance(500.0)
    assert world.outcomes() == [outcome]


def test_late_repeated_and_unknown_answers_change_nothing(world):
    world.asks(7, bind())
    first = world.offers[0].connection
    world.module.next.append([bind(host="h2")])
    world.advance(500.0)
    world.host(m.ANSWER, 7, "h1", first, desc=b"late")
    world.host(m.ANSWER, 7, "h2", first, desc=b"on another link")
    world.host(m.ANSWER, 99, "h2", desc=b"of nothing")
    assert world.owner.got == []
    assert world.told(api.AttemptAccepted) == []
    world.host(m.ANSWER, 7, "h2", desc=b"good")
    world.host(m.ANSWER, 7, "h2", desc=b"second")
    assert [x.parameters[m.DESCRIPTION] for x in world.owner.got] == [b"good"]
    assert [event.attempt for event in world.told(api.AttemptAccepted)] == [1]


@pytest.mark.parametrize("bad", [{}, {"cause": 1}], ids=str)
def test_answer_without_description_is_rejected(world, bad):
    world.asks(7, bind())
    with pytest.raises(m.RemoteProtocolError):
        world.host(m.ANSWER, 7, **bad)
    assert world.owner.got == []
    assert world.told(api.AttemptAccepted) == []


@pytest.mark.parametrize(
    "bad", [{"report": b"x0:1;x0"}, {"report": b"x0:nan"}, {"report": b"\xff"}, {"topic": b"\0"}]
)
def test_unreadable_release_ends_nothing(world, bad):
    world.asks(7, bind())
    with pytest.raises(m.RemoteProtocolError):
        world.host(m.RELEASE, 7, cause=34, **bad)
    assert world.told(api.AttemptEnded) == []
    assert world.exchange.open_calls == 1


def test_rejection_carries_reason_and_load_report(world):
    world.asks(7, bind())
    world.host(m.RELEASE, 7, cause=34, topic=b"queue_full", report=b"x0:12;x1:40;queue:3;util:0.5")
    (told,) = world.told(api.AttemptEnded)
    assert told.reason is api.OutcomeReason.QUEUE_FULL
    assert told.report == api.LoadReport(12.0, 40.0, 0.5, 3.0)


# ---- answers ----


def test_answer_is_passed_on_unchanged(world):
    placed(world)
    (answer,) = world.owner.got
    assert (answer.kind, answer.task, answer.parameters) == (m.ANSWER, 7, {m.DESCRIPTION: b"from the host"})
    assert not world.owner.open
    assert world.exchange.open_calls == 0


def test_setup_is_passed_on_unchanged_but_for_the_remaining_time():
    world = World()
    world.asks(7, bind(timeout=400.0), cls="keyed", name="n", key="kk", desc=b"\x00\xfe")
    (sent,) = read(world.offers[0].encode_setup(world.at + 150.0))
    expected = {m.CLASS: b"keyed", m.WAIT: b"250", m.NAME: b"n", m.KEY: b"kk", m.DESCRIPTION: b"\x00\xfe"}
    assert (sent.kind, sent.task, sent.parameters) == (m.SETUP, 7, expected)


def test_reject_and_fail_are_answered_with_distinct_causes(world):
    world.asks(7, api.Reject(1, 250.0))
    world.asks(8, api.Fail(2))
    refused, failed = world.owner.got
    assert refused.cause in (34, 42, 102)
    assert refused.parameters[m.RETRY_AFTER] == b"250"
    assert failed.cause not in (34, 42, 102)
    assert m.RETRY_AFTER not in failed.parameters
    assert empty(world)


def test_time_spent_here_is_taken_off_the_wait(world):
    world.asks(7, waited=300.0, wait=8000)
    assert world.told(api.PlacementRequested)[0].remaining_ms == 7700.0
    world.asks(8, waited=8000.0, wait=8000)
    assert len(world.told(api.PlacementRequested)) == 1
    assert world.owner.said() == [(m.RELEASE, 8, 102)]


@pytest.mark.parametrize("out", [False, True], ids=["accepted", "dispatched"])
def test_client_that_cancels_or_disconnects_is_owed_nothing(world, out):
    for task, number in ((7, 1), (8, 2)):
        world.asks(task, *([bind(number)] if out else []))
    world.exchange.receive_client_release(
        world.owner, read(m.encode_with_cause(m.RELEASE, 7, m.NORMAL_CLEARING))[0]
    )
    world.exchange.disconnect_client(world.owner)
    assert [event.call_id for event in world.told(api.CallAbandoned)] == [1, 2]
    assert all(event.is_call_closed for event in world.told(api.AttemptEnded))
    assert len(world.told(api.AttemptEnded)) == 2 * out
    assert len(world.cancelled_attempts) == 2 * out
    assert world.owner.got == []
    assert empty(world)


def test_setup_is_cancelled_on_its_own_connection_alone(world):
    world.asks(7)
    world.exchange.receive_client_release(
        Owner(), read(m.encode_with_cause(m.RELEASE, 7, m.NORMAL_CLEARING))[0]
    )
    assert world.told(api.CallAbandoned) == []
    assert world.exchange.open_calls == 1


# ---- bad owners ----


def test_second_setup_under_an_open_number_of_its_connection_is_an_error(world):
    world.asks(7, bind())
    with pytest.raises(m.RemoteProtocolError):
        world.asks(7, desc=b"another")
    assert world.owner.got == []
    assert len(world.told(api.PlacementRequested)) == 1


def test_setup_under_an_open_number_of_another_connection_is_rejected(world):
    other = Owner()
    world.asks(7, bind())
    assert not world.asks(7, owner=other)
    world.host(m.ANSWER, 7, desc=b"d")
    assert other.said() == [(m.RELEASE, 7, m.INVALID_CONTENTS)]
    assert world.owner.said() == [(m.ANSWER, 7, 0)]


def test_unusable_setup_is_answered_and_not_reported(world):
    assert not world.asks(7, cls="nope")
    assert world.owner.said() == [(m.RELEASE, 7, m.INVALID_CONTENTS)]
    assert world.module.events == []
    assert empty(world)


# ---- what stands ----

AFTER = [
    (16, api.Outcome.COMPLETED, 16), (41, api.Outcome.LOST, 41), (34, api.Outcome.LOST, 41), (47, api.Outcome.LOST, 41),
    (31, api.Outcome.STOPPED, None),
]  # fmt: skip


@pytest.mark.parametrize(("cause", "outcome", "told"), AFTER, ids=str)
def test_release_after_answer_ends_task_once(world, cause, outcome, told):
    placed(world)
    for _ in range(2):
        world.host(m.RELEASE, 7, link="any link of that host", cause=cause)
    assert world.outcomes() == [outcome]
    assert world.told(api.AttemptEnded)[0].is_call_closed
    assert world.owner.said()[1:] == ([] if told is None else [(m.RELEASE, 7, told)])
    assert empty(world)


def test_eviction_carries_its_reason(world):
    placed(world)
    world.host(m.RELEASE, 7, cause=41, topic=b"evicted")
    assert world.told(api.AttemptEnded)[0].reason is api.OutcomeReason.EVICTED


def test_release_from_another_host_ends_nothing(world):
    placed(world)
    world.host(m.RELEASE, 7, "h2", cause=16)
    assert world.told(api.AttemptEnded) == []
    assert 7 in world.exchange.calls_by_task


def test_running_task_outlives_its_connection_and_is_released_on_any(world):
    placed(world)
    world.exchange.disconnect_client(world.owner)
    assert world.told(api.CallAbandoned) == []
    assert 7 in world.exchange.calls_by_task
    other = Owner()
    world.exchange.receive_client_release(other, read(m.encode_with_cause(m.RELEASE, 7, 16))[0])
    assert world.cuts == [("h1", 7)]
    assert world.outcomes() == [api.Outcome.STOPPED]
    assert other.said() == [(m.RELEASE_COMPLETE, 7, 0)]
    world.host(m.RELEASE, 7, cause=31)
    assert len(world.outcomes()) == 1
    assert empty(world)


def test_migration_releases_the_task_at_its_host(world):
    placed(world)
    world.module.next.append([api.Migrate(1)])
    world.host(m.OBSERVATION, 7, topic=b"pressure", value=b"0.97")
    assert world.told(api.TaskObserved)[0] == api.TaskObserved(
        1, "h1", api.ObservationKind.MACHINE_MEMORY_IN_USE, 0.97
    )
    assert world.owner.said()[1:] == [(m.MIGRATE, 7, 0)]
    assert world.cuts == [("h1", 7)]
    assert empty(world)


def test_lost_host_ends_tasks_that_ran_before(world):
    placed(world, 7, 1)
    world.advance(1000.0)
    placed(world, 8, 2)
    assert world.exchange.end_tasks_of_host("h1", before=world.at - 500.0) == 1
    assert [event.call_id for event in world.told(api.AttemptEnded)] == [1]
    assert world.exchange.end_tasks_of_host("h1") == 1
    assert world.outcomes() == [api.Outcome.LOST] * 2
    assert world.owner.said()[2:] == [(m.RELEASE, 7, 41), (m.RELEASE, 8, 41)]
    assert empty(world)


def test_registered_task_is_owed_no_answer_and_may_be_registered_twice(world):
    for _ in range(2):
        world.asks(7, extras="cores:1;memory:2;service:web;at:h9", wait=None)
    (told,) = world.told(api.PlacementRequested)
    assert told.machine == "h9"
    assert world.owner.got == []
    assert world.exchange.calls[1].state is SetupState.RUNNING
    world.host(m.OBSERVATION, 7, "h9", "a link", topic=b"cores", value=b"0.5")
    world.host(m.RELEASE, 7, "h9", "a link", cause=16)
    assert world.outcomes() == [api.Outcome.COMPLETED]
    assert world.owner.said() == [(m.RELEASE, 7, 16)]
    assert empty(world)


def test_observation_of_task_that_does_not_run_is_dropped(world):
    world.asks(7, bind())
    world.host(m.OBSERVATION, 7, topic=b"cores", value=b"0.5")
    world.host(m.OBSERVATION, 99, topic=b"cores", value=b"0.5")
    assert world.told(api.TaskObserved) == []


# ---- the rest of the module's actions ----


def test_probe_timer_watch_and_log_actions_are_carried_out(world):
    world.exchange.list_machines = lambda: (machine(),)
    actions = [
        api.Probe("h1"),
        api.Probe("h1"),
        api.SetTimer(50.0, 3),
        api.WatchMachineList(),
        api.LogMessage("hello"),
    ]
    world.asks(7, *actions)
    assert world.told(api.MachineListUpdated)[0].machines == (machine(),)
    assert world.logs == ["hello"]
    world.host(m.PROBE_RESULT, world.tests[0][1], link="any", cause=1, report=b"x0:3")
    world.host(m.PROBE_RESULT, world.tests[0][1], link="any", cause=1, report=b"x0:3")  # twice
    world.advance(49.0)
    assert world.told(api.TimerFired) == []
    world.advance(201.0)
    assert [(e.outcome, e.report) for e in world.told(api.ProbeEnded)] == [
        (api.Outcome.COMPLETED, api.LoadReport(3.0)),
        (api.Outcome.TIMED_OUT, None),
    ]
    assert world.told(api.TimerFired) == [api.TimerFired(3)]


def kept_entries(world):
    """How much the exchange, its contract and the module still hold."""
    exchange = world.exchange
    module = world.module
    return (
        len(exchange.calls),
        len(exchange.calls_by_task),
        len(exchange.running_by_host),
        len(exchange.contract.calls),
        len(module.nodes),
        len(module.tasks),
    )


def place_on_new_host(world, number):
    """A host comes, the one before the last is removed, and a task of a new service is placed."""
    entries = [machine(f"h{number}"), machine(f"h{number - 2}", api.MachinePhase.REMOVED)]
    world.exchange.update_machine_list(news(*entries, whole=False))
    assert world.asks(1 + number, extras=f"cores:1;memory:1;service:s{number}")
    attempt = world.offers[-1]
    world.host(m.ANSWER, 1 + number, attempt.host, attempt.connection, desc=b"")
    return attempt.host


def test_ten_thousand_tasks_hosts_and_services_leave_nothing_behind():
    """Ids, hosts and services are always new; the module is the real one."""
    world = World(Scheduler(SETTINGS, 1))
    sizes = []
    for number in range(10_000):
        host = place_on_new_host(world, number)
        if number % 2:
            world.exchange.end_tasks_of_host(host)
        else:
            world.host(m.RELEASE, 1 + number, host, cause=16)
        world.advance(50.0)
        world.offers.clear()
        if number % 2_500 == 2_499:
            sizes.append(kept_entries(world))
            assert len(world.module.kept) <= 2_001
            assert len(world.module.profiles) <= 2_003
            assert len(world.timers.heap) < 100
    assert len(set(sizes)) == 1, sizes
    assert sizes[0][:4] == (0, 0, 0, 0), sizes

"""The exchange: every end of an attempt as the outcome it proves, one answer a call, nothing kept after it."""

import pytest

from glencleat import Scheduler
from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.delivery import OUTCOMES_BY_DELIVERY, DeliveryOutcome
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
    x = world.exchange
    return (
        not (
            x.calls_by_id
            or x.calls_by_task_id
            or x.placed_calls_by_host
            or x.contract.calls_by_id
            or any(x.event_dispatcher.pending)
        )
        and not world.owner.open_task_ids
    )


# ---- before the answer ----

BEFORE = [
    (34, api.Outcome.REJECTED), (102, api.Outcome.NOT_SENT), (47, api.Outcome.ERROR), (41, api.Outcome.LOST),
    (16, api.Outcome.LOST), (31, api.Outcome.LOST), (42, api.Outcome.LOST), (0, api.Outcome.LOST), (255, api.Outcome.LOST),
]  # fmt: skip


@pytest.mark.parametrize(("cause", "outcome"), BEFORE)
def test_a_release_before_the_answer(world, cause, outcome):
    world.asks(7, bind())
    world.host(m.RELEASE, 7, cause=cause)
    (told,) = world.told(api.AttemptEnded)
    assert (told.outcome, told.is_call_closed, told.attempt) == (outcome, False, 0)
    assert world.owner.got == [] and world.exchange.open_call_count == 1  # the module still owes the answer
    assert (outcome in PROOFS) == (cause in (34, 102))


@pytest.mark.parametrize("fact", DeliveryOutcome)
def test_a_links_word(world, fact):
    world.asks(7, bind())
    world.exchange.on_attempt_failed(world.offers[0], fact)
    assert world.outcomes() == [OUTCOMES_BY_DELIVERY[fact]]
    assert (OUTCOMES_BY_DELIVERY[fact] in PROOFS) == (
        fact
        in (
            DeliveryOutcome.REFUSED,
            DeliveryOutcome.CONNECT_TIMEOUT,
            DeliveryOutcome.NOT_SENT,
            DeliveryOutcome.CLIENT_GONE,
        )
    )
    world.exchange.on_attempt_failed(world.offers[0], fact)  # a second word on it changes nothing
    assert len(world.outcomes()) == 1


def test_a_time_out_gives_up_before_the_next_attempt_leaves(world):
    world.asks(7, bind())
    world.module.next.append([bind(host="h2")])
    world.advance(499.0)
    assert world.cancelled_attempts == []
    order = []
    world.cancel_attempt = lambda attempt: order.append("give-up") or DeliveryOutcome.ANSWER_TIMEOUT
    world.offer_attempt = lambda attempt: order.append("offer")
    world.advance(1.0)
    assert order == ["give-up", "offer"] and world.outcomes() == [api.Outcome.TIMED_OUT]


@pytest.mark.parametrize(
    ("fact", "outcome"),
    [
        (DeliveryOutcome.NOT_SENT, api.Outcome.NOT_SENT),
        (DeliveryOutcome.CONNECT_TIMEOUT, api.Outcome.UNREACHABLE),
    ],
)
def test_a_time_out_of_what_never_left(world, fact, outcome):
    world.fact = fact
    world.asks(7, bind())
    world.advance(500.0)
    assert world.outcomes() == [outcome]


def test_a_late_a_second_and_an_unknown_answer_change_nothing(world):
    world.asks(7, bind())
    first = world.offers[0].connection
    world.module.next.append([bind(host="h2")])
    world.advance(500.0)
    world.host(m.ANSWER, 7, "h1", first, desc=b"late")
    world.host(m.ANSWER, 7, "h2", first, desc=b"on another link")
    world.host(m.ANSWER, 99, "h2", desc=b"of nothing")
    assert world.owner.got == [] and world.told(api.AttemptAccepted) == []
    world.host(m.ANSWER, 7, "h2", desc=b"good")
    world.host(m.ANSWER, 7, "h2", desc=b"second")
    assert [x.parameters[m.DESCRIPTION] for x in world.owner.got] == [b"good"]
    assert [event.attempt for event in world.told(api.AttemptAccepted)] == [1]


@pytest.mark.parametrize("bad", [{}, {"cause": 1}])
def test_an_answer_without_a_description_is_not_passed_on(world, bad):
    world.asks(7, bind())
    with pytest.raises(m.ProtocolError):
        world.host(m.ANSWER, 7, **bad)
    assert world.owner.got == [] and world.told(api.AttemptAccepted) == []


@pytest.mark.parametrize(
    "bad", [{"report": b"x0:1;x0"}, {"report": b"x0:nan"}, {"report": b"\xff"}, {"topic": b"\0"}]
)
def test_a_release_that_cannot_be_read_ends_nothing(world, bad):
    world.asks(7, bind())
    with pytest.raises(m.ProtocolError):
        world.host(m.RELEASE, 7, cause=34, **bad)
    assert world.told(api.AttemptEnded) == [] and world.exchange.open_call_count == 1


def test_a_refusals_reason_and_report(world):
    world.asks(7, bind())
    world.host(m.RELEASE, 7, cause=34, topic=b"queue_full", report=b"x0:12;x1:40;queue:3;util:0.5")
    (told,) = world.told(api.AttemptEnded)
    assert told.reason is api.OutcomeReason.QUEUE_FULL and told.report == api.LoadReport(12.0, 40.0, 0.5, 3.0)


# ---- answers ----


def test_what_a_host_answered_is_passed_on_unchanged(world):
    placed(world)
    (answer,) = world.owner.got
    assert (answer.kind, answer.task_id, answer.parameters) == (
        m.ANSWER,
        7,
        {m.DESCRIPTION: b"from the host"},
    )
    assert not world.owner.open_task_ids and world.exchange.open_call_count == 0


def test_a_set_up_goes_on_unchanged_but_for_the_time():
    world = World()
    world.asks(7, bind(timeout=400.0), cls="keyed", name="n", key="kk", desc=b"\x00\xfe")
    (sent,) = read(world.offers[0].encode_setup(world.at + 150.0))
    expected = {m.CLASS: b"keyed", m.TIMEOUT: b"250", m.NAME: b"n", m.KEY: b"kk", m.DESCRIPTION: b"\x00\xfe"}
    assert (sent.kind, sent.task_id, sent.parameters) == (m.SETUP, 7, expected)


def test_refusal_and_failure_are_never_mixed_up(world):
    world.asks(7, api.Reject(1, 250.0))
    world.asks(8, api.Fail(2))
    refused, failed = world.owner.got
    assert refused.cause in (34, 42, 102) and refused.parameters[m.RETRY_AFTER] == b"250"
    assert failed.cause not in (34, 42, 102) and m.RETRY_AFTER not in failed.parameters
    assert empty(world)


def test_time_spent_with_us_is_gone_from_what_the_owner_waits(world):
    world.asks(7, waited=300.0, wait=8000)
    assert world.told(api.PlacementRequested)[0].remaining_ms == 7700.0
    world.asks(8, waited=8000.0, wait=8000)
    assert len(world.told(api.PlacementRequested)) == 1 and world.owner.said() == [(m.RELEASE, 8, 102)]


@pytest.mark.parametrize("out", [False, True])
def test_an_owner_that_gives_up_or_hangs_up_is_owed_nothing(world, out):
    for task, number in ((7, 1), (8, 2)):
        world.asks(task, *([bind(number)] if out else []))
    world.exchange.on_client_release(world.owner, read(m.encode_with_cause(m.RELEASE, 7, m.CANCELLED))[0])
    world.exchange.on_client_gone(world.owner)
    assert [event.call_id for event in world.told(api.CallAbandoned)] == [1, 2]
    assert (
        all(event.is_call_closed for event in world.told(api.AttemptEnded))
        and len(world.told(api.AttemptEnded)) == 2 * out
    )
    assert len(world.cancelled_attempts) == 2 * out and world.owner.got == [] and empty(world)


def test_only_its_own_connection_gives_a_set_up_up(world):
    world.asks(7)
    world.exchange.on_client_release(Owner(), read(m.encode_with_cause(m.RELEASE, 7, m.CANCELLED))[0])
    assert world.told(api.CallAbandoned) == [] and world.exchange.open_call_count == 1


# ---- bad owners ----


def test_two_set_ups_under_one_number_end_that_connection_unanswered(world):
    world.asks(7, bind())
    with pytest.raises(m.ProtocolError):
        world.asks(7, desc=b"another")
    assert world.owner.got == [] and len(world.told(api.PlacementRequested)) == 1


def test_the_number_of_anothers_open_set_up_is_turned_away(world):
    other = Owner()
    world.asks(7, bind())
    assert not world.asks(7, owner=other)
    world.host(m.ANSWER, 7, desc=b"d")
    assert other.said() == [(m.RELEASE, 7, m.INVALID_CONTENTS)] and world.owner.said() == [(m.ANSWER, 7, 0)]


def test_what_cannot_be_used_is_answered_and_not_told(world):
    assert not world.asks(7, cls="nope")
    assert (
        world.owner.said() == [(m.RELEASE, 7, m.INVALID_CONTENTS)]
        and world.module.events == []
        and empty(world)
    )


# ---- what stands ----

AFTER = [
    (16, api.Outcome.COMPLETED, 16), (41, api.Outcome.LOST, 41), (34, api.Outcome.LOST, 41), (47, api.Outcome.LOST, 41),
    (31, api.Outcome.STOPPED, None),
]  # fmt: skip


@pytest.mark.parametrize(("cause", "outcome", "told"), AFTER)
def test_a_release_after_the_answer_ends_it_once(world, cause, outcome, told):
    placed(world)
    for _ in range(2):
        world.host(m.RELEASE, 7, link="any link of that host", cause=cause)
    assert world.outcomes() == [outcome] and world.told(api.AttemptEnded)[0].is_call_closed
    assert world.owner.said()[1:] == ([] if told is None else [(m.RELEASE, 7, told)]) and empty(world)


def test_an_eviction_says_why(world):
    placed(world)
    world.host(m.RELEASE, 7, cause=41, topic=b"evicted")
    assert world.told(api.AttemptEnded)[0].reason is api.OutcomeReason.EVICTED


def test_another_hosts_word_ends_nothing(world):
    placed(world)
    world.host(m.RELEASE, 7, "h2", cause=16)
    assert world.told(api.AttemptEnded) == [] and 7 in world.exchange.calls_by_task_id


def test_a_task_belongs_to_no_connection(world):
    placed(world)
    world.exchange.on_client_gone(world.owner)
    assert world.told(api.CallAbandoned) == [] and 7 in world.exchange.calls_by_task_id
    other = Owner()
    world.exchange.on_client_release(other, read(m.encode_with_cause(m.RELEASE, 7, 16))[0])
    assert world.cuts == [("h1", 7)] and world.outcomes() == [api.Outcome.STOPPED]
    assert other.said() == [(m.RELEASE_COMPLETE, 7, 0)]
    world.host(m.RELEASE, 7, cause=31)
    assert len(world.outcomes()) == 1 and empty(world)


def test_a_move_ends_the_task_at_its_host_too(world):
    placed(world)
    world.module.next.append([api.Migrate(1)])
    world.host(m.OBSERVATION, 7, topic=b"pressure", value=b"0.97")
    assert world.told(api.TaskObserved)[0] == api.TaskObserved(
        1, "h1", api.ObservationKind.MACHINE_MEMORY_IN_USE, 0.97
    )
    assert world.owner.said()[1:] == [(m.MIGRATE, 7, 0)] and world.cuts == [("h1", 7)] and empty(world)


def test_a_lost_host_ends_what_came_to_stand_before(world):
    placed(world, 7, 1)
    world.advance(1000.0)
    placed(world, 8, 2)
    assert world.exchange.declare_tasks_lost("h1", before_ms=world.at - 500.0) == 1
    assert [event.call_id for event in world.told(api.AttemptEnded)] == [1]
    assert world.exchange.declare_tasks_lost("h1") == 1 and world.outcomes() == [api.Outcome.LOST] * 2
    assert world.owner.said()[2:] == [(m.RELEASE, 7, 41), (m.RELEASE, 8, 41)] and empty(world)


def test_adopted_tasks_are_owed_no_answer_and_may_be_named_twice(world):
    for _ in range(2):
        world.asks(7, extras="cores:1;memory:2;service:web;at:h9", wait=None)
    (told,) = world.told(api.PlacementRequested)
    assert (
        told.machine == "h9"
        and world.owner.got == []
        and world.exchange.calls_by_id[1].state is SetupState.PLACED
    )
    world.host(m.OBSERVATION, 7, "h9", "a link", topic=b"cores", value=b"0.5")
    world.host(m.RELEASE, 7, "h9", "a link", cause=16)
    assert (
        world.outcomes() == [api.Outcome.COMPLETED]
        and world.owner.said() == [(m.RELEASE, 7, 16)]
        and empty(world)
    )


def test_a_note_of_what_does_not_stand_is_not_told(world):
    world.asks(7, bind())
    world.host(m.OBSERVATION, 7, topic=b"cores", value=b"0.5")
    world.host(m.OBSERVATION, 99, topic=b"cores", value=b"0.5")
    assert world.told(api.TaskObserved) == []


# ---- the rest of the module's actions ----


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
    assert world.told(api.MachineListUpdated)[0].machines == (machine(),) and world.logs == ["hello"]
    world.host(m.PROBE_ANSWER, world.tests[0][1], link="any", cause=1, report=b"x0:3")
    world.host(m.PROBE_ANSWER, world.tests[0][1], link="any", cause=1, report=b"x0:3")  # twice
    world.advance(49.0)
    assert world.told(api.TimerFired) == []
    world.advance(201.0)
    assert [(e.outcome, e.report) for e in world.told(api.ProbeEnded)] == [
        (api.Outcome.COMPLETED, api.LoadReport(3.0)),
        (api.Outcome.TIMED_OUT, None),
    ]
    assert world.told(api.TimerFired) == [api.TimerFired(3)]


def test_ten_thousand_tasks_hosts_and_services_leave_nothing_behind():
    """Ids, hosts and services are always new; the module is the real one."""
    world = World(Scheduler(SETTINGS, 1))
    x, sizes = world.exchange, []
    for i in range(10_000):
        name, before = f"h{i}", f"h{i - 2}"
        entries = [machine(name), machine(before, api.MachinePhase.REMOVED)]
        x.apply_list_change(news(*entries, whole=False))
        assert world.asks(1 + i, extras=f"cores:1;memory:1;service:s{i}")
        attempt = world.offers[-1]
        world.exchange.on_host_message(
            attempt.host, attempt.connection, read(m.encode(m.ANSWER, 1 + i, {m.DESCRIPTION: b""}))[0]
        )
        if i % 2:
            x.declare_tasks_lost(attempt.host)
        else:
            world.host(m.RELEASE, 1 + i, attempt.host, cause=16)
        world.advance(50.0)
        world.offers.clear()
        if i % 2_500 == 2_499:
            module = world.module
            sizes.append(
                (
                    len(x.calls_by_id),
                    len(x.calls_by_task_id),
                    len(x.placed_calls_by_host),
                    len(x.contract.calls_by_id),
                    len(module.state.machines),
                    len(module.state.tasks),
                )
            )
            assert len(module.starts.last_held_at_ms) <= 2_001
            assert len(module.profiles.profiles) <= 2_003
            assert len(world.timers.heap) < 100
    assert len(set(sizes)) == 1 and sizes[0][:4] == (0, 0, 0, 0), sizes

"""Tasks that clients hand over (`at`) without a sign of them from their host: how many are kept, and whose."""

import pytest

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol import unconfirmed_tasks
from tests.support.exchange_world import Owner, World

MAX_COUNT = 50


@pytest.fixture
def world():
    world = World()
    world.exchange.unconfirmed_tasks = unconfirmed_tasks.UnconfirmedTasks(MAX_COUNT)
    return world


def hand_over(world, client, task_ids, host="h1"):
    for task in task_ids:
        assert world.asks(task, owner=client, extras=f"cores:1;memory:2;service:web;at:{host}")


def placed_ids(world, host="h1"):
    return set(world.exchange.placed_calls_by_host.get(host, ()))


@pytest.mark.parametrize("hosts", [["h1"], [f"unknown-{n}" for n in range(1_000)]])
def test_a_client_that_names_ever_new_tasks_costs_a_bounded_amount(world, hosts):
    """Guards against memory without end: each named task was adopted, whichever host it was said to be on."""
    for task in range(1_000):
        hand_over(world, world.owner, [task + 1], hosts[task % len(hosts)])
    assert len(world.exchange.calls_by_id) == len(world.exchange.unconfirmed_tasks) == MAX_COUNT
    assert sum(map(len, world.exchange.placed_calls_by_host.values())) == MAX_COUNT
    assert set(world.outcomes()) == {api.Outcome.STOPPED} and len(world.outcomes()) == 1_000 - MAX_COUNT
    assert not world.owner.received and not world.released_tasks  # nothing ended that may be running


def test_the_client_that_names_most_gives_way(world):
    client, flooder = Owner(), Owner()
    own_tasks = range(1, MAX_COUNT // 2)
    hand_over(world, client, own_tasks)
    hand_over(world, flooder, range(1_000, 2_000))
    assert placed_ids(world) >= set(own_tasks)


def test_tasks_that_their_host_reports_do_not_count(world):
    client, flooder = Owner(), Owner()
    own_tasks = range(1, 2 * MAX_COUNT)
    for task in own_tasks:
        hand_over(world, client, [task])
        world.host(m.OBSERVATION, task, connection="any", topic=b"cores", value=b"1")
    hand_over(world, flooder, range(1_000, 2_000))
    assert placed_ids(world) >= set(
        own_tasks
    ) and not world.exchange.unconfirmed_tasks.task_ids_by_client.get(client)


@pytest.mark.parametrize("end", ["by its host", "by its client", "with its host"])
def test_a_task_that_is_over_does_not_count(world, end):
    for task in range(1, 10 * MAX_COUNT):
        hand_over(world, world.owner, [task])
        if end == "by its host":
            world.host(m.RELEASE, task, connection="any", cause=m.ENDED)
        elif end == "by its client":
            world.client_releases(task)
        else:
            world.exchange.declare_tasks_lost("h1")
    assert len(world.exchange.unconfirmed_tasks) == 0 and "h1" not in world.exchange.placed_calls_by_host

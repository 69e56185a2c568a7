"""A host's process ends and another host takes its address, which the machine list tells late.

What was placed there meanwhile runs in the new process, by the former name.
"""

import pytest

from glencleat.platform_protocol import messages as m
from tests.support.process_hosts import AcceptingHost
from tests.support.socket_world import Peer, kinds, settled, stands

OLD_TASK, NEW_TASK = 1, 2


def release(task, cause):
    return m.encode_with_cause(m.RELEASE, task, cause)


class TakenAddress:
    """A client with a task in the former process and one in the new one, both placed on h1."""

    def __init__(self, world, started_unix_ms=None):
        self.world, self.client = world, world.client()
        old_process = AcceptingHost(world.loop)
        self.address = old_process.address
        world.list(("h1", self.address))
        self.place(OLD_TASK)
        self.process = old_process
        self.started_unix_ms = world.loop.clock.wall()
        self.replace_process()
        self.place(NEW_TASK)

    def place(self, task):
        self.world.ask(self.client, task)
        answer = self.world.says(self.client)
        assert answer == m.encode(m.ANSWER, task, {m.DESCRIPTION: b"ok"})

    def replace_process(self):
        """Ends the process and starts another one at its address."""
        self.process.die()
        self.process = AcceptingHost(self.world.loop, self.address)
        self.world.until(lambda: self.process.streams)  # a new connection, since a task stands
        settled(self.world)

    def tell_list(self, name="h2", started_unix_ms=None):
        self.world.list((name, self.address, started_unix_ms or self.started_unix_ms))

    def placed_tasks(self):
        return {task for tasks in self.world.exchange.placed_calls_by_host.values() for task in tasks}


@pytest.fixture
def taken(world):
    return TakenAddress(world)


def test_tasks_placed_after_another_host_took_the_address_stand(world, taken):
    """Guards against tasks that are reported lost and run on: they had been placed on the new process before
    the list told of it."""
    taken.tell_list()
    assert world.says(taken.client) == release(OLD_TASK, m.FAILED)
    assert taken.placed_tasks() == {NEW_TASK}
    settled(world)
    assert taken.placed_tasks() == {NEW_TASK}


@pytest.mark.parametrize("connection", ["the former host's", "the new host's"])
def test_the_end_of_such_a_task_is_heard_on_any_connection(world, taken, connection):
    taken.tell_list()
    assert world.says(taken.client) == release(OLD_TASK, m.FAILED)
    if connection == "the new host's":
        count = len(taken.process.streams)
        world.ask(taken.client, 3, host="h2")
        assert world.says(taken.client)
        assert len(taken.process.streams) > count
    taken.process.streams[-1].send(release(NEW_TASK, m.ENDED))
    assert world.says(taken.client) == release(NEW_TASK, m.ENDED)
    world.until(lambda: m.RELEASE_COMPLETE in kinds(taken.process))


def test_such_a_task_is_cut_when_its_client_releases_it(world, taken):
    taken.tell_list()
    assert world.says(taken.client) == release(OLD_TASK, m.FAILED)
    taken.client.send(release(NEW_TASK, m.ENDED))
    world.until(
        lambda: any(
            message.kind == m.RELEASE and message.task_id == NEW_TASK for _, message in taken.process.got
        )
    )
    world.until(lambda: "h1" not in world.hosts.hosts_by_name)  # nothing is left of the former host


def test_such_a_task_is_lost_with_the_process_that_runs_it(world, taken):
    taken.tell_list()
    assert world.says(taken.client) == release(OLD_TASK, m.FAILED)
    taken.process.die()
    assert world.says(taken.client) == release(NEW_TASK, m.FAILED)


def test_a_third_host_at_the_address_ends_the_tasks_of_both(world, taken):
    taken.tell_list()
    assert world.says(taken.client) == release(OLD_TASK, m.FAILED)
    world.ask(taken.client, 3, host="h2")
    assert world.says(taken.client)
    settled(world)
    taken.replace_process()
    taken.tell_list("h3", world.loop.clock.wall())
    ended = b"".join(sorted([world.says(taken.client, 15), world.says(taken.client, 15)]))
    assert ended == release(NEW_TASK, m.FAILED) + release(3, m.FAILED)
    assert not taken.placed_tasks()
    world.until(lambda: not world.hosts.registry.replaced_hosts_by_address)


def test_a_host_that_is_listed_elsewhere_is_forgotten_at_its_former_address(world, taken):
    """Guards against hosts that are kept for an address until another one takes it."""
    taken.tell_list()
    assert world.says(taken.client) == release(OLD_TASK, m.FAILED)
    assert world.hosts.registry.replaced_hosts_by_address
    other = Peer(world.loop, stands)
    world.list(("h1", other.address))
    assert not world.hosts.registry.replaced_hosts_by_address


def test_a_host_that_has_moved_is_not_concerned_by_who_takes_its_former_address(world):
    peer, client = Peer(world.loop, stands), world.client()
    former_address = Peer(world.loop, stands).address
    world.list(("h1", former_address))
    world.list(("h1", peer.address))
    world.ask(client, OLD_TASK)
    assert world.says(client) == m.encode(m.ANSWER, OLD_TASK, {m.DESCRIPTION: b"ok"})
    world.list(("h2", former_address, world.loop.clock.wall()))
    assert "h1" in world.exchange.placed_calls_by_host
    assert world.hosts.hosts_by_name["h1"].address == peer.address


def test_no_new_task_is_sent_by_the_former_name(world, taken):
    taken.tell_list()
    assert world.says(taken.client) == release(OLD_TASK, m.FAILED)
    world.ask(taken.client, 4, host="h1")
    world.back(2)
    assert all(message.task_id != 4 for _, message in taken.process.got)

"""A host's process ends and another host takes its address, which the machine list tells late.

What was placed there meanwhile runs in the new process, by the former name.
"""

import pytest

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from tests.support.exchange_world import setup
from tests.support.process_hosts import AcceptingHost, ReplaceableHost
from tests.support.socket_world import Peer, kinds, pass_time, reset, settled, stands

OLD_TASK, NEW_TASK = 1, 2
RELEASE_DUE_MS = 8_000.0  # from the task's end, if its host could not send one


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


def test_the_end_of_the_new_hosts_task_is_heard_on_the_former_hosts_connection(world, taken):
    """Guards against a release that is acknowledged and lost: the process sent it on a connection that was
    opened by its former name."""
    taken.tell_list()
    assert world.says(taken.client) == release(OLD_TASK, m.FAILED)
    former_stream = taken.process.streams[0]
    world.ask(taken.client, 3, host="h2")
    assert world.says(taken.client)
    former_stream.send(release(3, m.ENDED))
    assert world.says(taken.client) == release(3, m.ENDED)


def test_another_start_of_the_new_host_ends_the_tasks_of_the_former_name_too(world, taken):
    """Guards against tasks that stand at a former name while the process that ran them starts again."""
    taken.tell_list()
    assert world.says(taken.client) == release(OLD_TASK, m.FAILED)
    taken.replace_process()
    taken.tell_list("h2", taken.started_unix_ms + 1.0)
    assert world.says(taken.client) == release(NEW_TASK, m.FAILED)


@pytest.mark.parametrize("offset_ms", [-3_600_000.0, -2.0, 2.0, 3_600_000.0])
def test_another_start_by_a_clock_that_was_stepped_is_another_process(world, offset_ms):
    """Guards against a start that is ignored since the list's clock was set back."""
    host, client = AcceptingHost(world.loop), world.client()
    started_unix_ms = world.loop.clock.wall()
    world.list(("h1", host.address, started_unix_ms))
    world.ask(client, OLD_TASK)
    assert world.says(client)
    host.die()
    AcceptingHost(world.loop, host.address)
    world.list(("h1", host.address, started_unix_ms + offset_ms))
    assert world.says(client) == release(OLD_TASK, m.FAILED)


class EarlyEvent:
    """A client with a task at h1, whose process the list reports as replaced before it has ended."""

    def __init__(self, world, name):
        self.world, self.client = world, world.client()
        self.host = ReplaceableHost(world.loop)
        world.list(("h1", self.host.address, 1.0))
        world.ask(self.client, OLD_TASK)
        assert world.says(self.client)
        world.list((name, self.host.address, 2.0))
        pass_time(world, 400.0)


@pytest.mark.parametrize("name", ["h1", "h2"])
@pytest.mark.parametrize("are_connections_silent", [False, True])
def test_an_event_that_precedes_the_end_of_the_process_ends_its_tasks(
    virtual_time_world, name, are_connections_silent
):
    """Guards against tasks that stand for ever: the former process answered the check, and ended after it."""
    world = virtual_time_world
    early = EarlyEvent(world, name)
    early.host.replace(are_connections_silent=are_connections_silent)
    began_at_ms = world.loop.now()
    assert world.says(early.client, ms=10_000.0) == release(OLD_TASK, m.FAILED)
    assert world.loop.now() - began_at_ms <= RELEASE_DUE_MS


def test_an_event_about_the_process_that_is_known_already_ends_nothing(virtual_time_world):
    """The process answers the check, and the second one: all connections reach the new process."""
    world = virtual_time_world
    early = EarlyEvent(world, "h2")
    pass_time(world, 20_000.0)
    assert OLD_TASK in world.exchange.placed_calls_by_host["h1"]
    early.host.end_task(OLD_TASK)
    assert world.says(early.client) == release(OLD_TASK, m.ENDED)


class UncertainTask:
    """A task at h1 that a new process accepted; its connection was reset before the list told of the process."""

    def __init__(self, world):
        self.world, self.client = world, world.client()
        self.host = ReplaceableHost(world.loop)
        world.list(("h1", self.host.address, 1.0))
        world.ask(self.client, OLD_TASK)
        assert world.says(self.client)
        self.host.replace(are_connections_silent=False)
        world.until(lambda: self.host.streams)
        settled(world)
        world.ask(self.client, NEW_TASK)
        assert world.says(self.client)
        reset(self.host.streams[0])
        world.until(lambda: len(self.host.streams) > 1)
        settled(world)
        world.list(("h2", self.host.address, 2.0))
        assert world.says(self.client) == release(OLD_TASK, m.FAILED)


def test_a_task_of_which_no_connection_tells_stands_if_the_host_reports_on_it(virtual_time_world):
    world = virtual_time_world
    uncertain = UncertainTask(world)
    pass_time(world, 3_000.0)
    stream = next(stream for stream in uncertain.host.streams if stream.close_reason is None)
    stream.send(m.encode(m.OBSERVATION, NEW_TASK, {m.TOPIC: b"cores", m.VALUE: b"1"}))
    pass_time(world, 20_000.0)
    assert NEW_TASK in world.exchange.placed_calls_by_host["h1"]
    uncertain.host.end_task(NEW_TASK)
    assert world.says(uncertain.client) == release(NEW_TASK, m.ENDED)


def test_a_task_of_which_nothing_tells_is_released_in_time_and_cut(virtual_time_world):
    """Its client may ask for it again, so it must not run on."""
    world = virtual_time_world
    uncertain = UncertainTask(world)
    began_at_ms = world.loop.now()
    assert world.says(uncertain.client, ms=10_000.0) == release(NEW_TASK, m.FAILED)
    assert world.loop.now() - began_at_ms <= RELEASE_DUE_MS
    world.until(lambda: not uncertain.host.running_tasks)


def test_a_task_whose_connection_was_closed_as_unneeded_stands(virtual_time_world):
    """The host closes its half too, which shows that its process ran beside the connections that remain."""
    world = virtual_time_world
    host, client = ReplaceableHost(world.loop), world.client()
    world.list(("h1", host.address, 1.0))
    world.ask(client, NEW_TASK)
    assert world.says(client)
    task_stream = host.streams[0]
    world.until(lambda: task_stream.close_reason is not None, 10_000.0)
    world.list(("h2", host.address, 2.0))
    pass_time(world, 20_000.0)
    assert NEW_TASK in world.exchange.placed_calls_by_host["h1"]
    host.end_task(NEW_TASK)
    assert world.says(client) == release(NEW_TASK, m.ENDED)


def test_an_answer_of_the_former_process_that_is_read_after_the_event(virtual_time_world):
    """Guards against a task that counts as the new process's by the time at which its answer was read."""
    world = virtual_time_world
    former, client = Peer(world.loop), world.client()
    world.list(("h1", former.address, 1.0))
    world.ask(client, OLD_TASK)
    world.until(lambda: former.got)
    former.streams[0].send(m.encode(m.ANSWER, OLD_TASK, {m.DESCRIPTION: b"ok"}))
    former.listener.close()
    AcceptingHost(world.loop, former.address)
    world.list(("h2", former.address, 2.0))  # before the answer is read
    assert world.says(client) == m.encode(m.ANSWER, OLD_TASK, {m.DESCRIPTION: b"ok"})
    assert world.says(client, ms=10_000.0) == release(OLD_TASK, m.FAILED)


def test_no_set_up_is_sent_on_a_connection_that_is_being_checked(virtual_time_world):
    """Guards against work that goes to a machine that has gone, and can't be retried as it may have run."""
    world = virtual_time_world
    host, client = ReplaceableHost(world.loop), world.client()
    world.list(("h1", host.address, 1.0))
    world.ask(client, OLD_TASK)
    assert world.says(client)
    host.replace(are_connections_silent=True)
    world.list(("h1", host.address, 2.0))
    world.ask(client, NEW_TASK)
    assert world.says(client) == m.encode(m.ANSWER, NEW_TASK, {m.DESCRIPTION: b"ok"})
    assert host.running_tasks == {NEW_TASK}
    assert world.says(client) == release(OLD_TASK, m.FAILED)
    pass_time(world, 5_000.0)
    assert list(world.exchange.placed_calls_by_host["h1"]) == [NEW_TASK]


def test_a_task_that_is_reported_on_a_connection_of_the_other_host_stands(world, taken):
    """Guards against a verdict on the tasks of one host by its own connections alone."""
    taken.tell_list()
    assert world.says(taken.client) == release(OLD_TASK, m.FAILED)
    known = set(taken.process.streams)
    world.ask(taken.client, 3, host="h2")
    assert world.says(taken.client)
    (stream,) = set(taken.process.streams) - known
    stream.send(m.encode(m.OBSERVATION, NEW_TASK, {m.TOPIC: b"cores", m.VALUE: b"1"}))
    settled(world)
    taken.tell_list("h2", taken.started_unix_ms + 1.0)  # another start of the same process
    pass_time(world, 1_500.0)
    assert taken.placed_tasks() == {NEW_TASK, 3}


def test_tasks_that_were_handed_over_while_their_host_refused_connections(virtual_time_world):
    """Guards against tasks that are taken to run in a new process: it was the first that could be reached."""
    world = virtual_time_world
    host, client = ReplaceableHost(world.loop), world.client()
    world.list(("h1", host.address, 1.0), phase=api.MachinePhase.DRAINING)
    host.listener.close()
    client.send(setup(OLD_TASK, extras="cores:1;memory:1;service:s;at:h1", wait=None))
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    handed_over_at_ms = world.loop.now()
    pass_time(world, 1_000.0)
    host.replace(are_connections_silent=False)
    world.until(lambda: host.streams)
    world.list(("h2", host.address, 2.0))
    assert world.says(client, ms=10_000.0) == release(OLD_TASK, m.FAILED)
    assert world.loop.now() - handed_over_at_ms <= RELEASE_DUE_MS


def test_a_connection_that_opens_after_its_host_has_moved_leaves_nothing(world):
    """Guards against evidence that is kept for ever of connections that were aborted while being opened."""
    host, client = AcceptingHost(world.loop), world.client()
    world.list(("h1", host.address))
    world.ask(client, OLD_TASK)
    (connection,) = world.hosts.hosts_by_name["h1"].connections
    assert connection.stream is None
    world.list(("h1", AcceptingHost(world.loop).address))
    world.until(lambda: connection.stream is not None)
    assert connection.evidence not in world.hosts.hosts_by_name["h1"].process_record.history.open


@pytest.mark.parametrize("reports_on_others", [True, False])
def test_tasks_that_were_handed_over_before_the_first_connection(virtual_time_world, reports_on_others):
    """Guards against tasks whose process ended between the handing over and the first connection, also where
    the host reports on no task at all."""
    world = virtual_time_world
    host, client = ReplaceableHost(world.loop), world.client()
    world.list(("h1", host.address, 1.0))
    client.send(setup(OLD_TASK, extras="cores:1;memory:1;service:s;at:h1", wait=None))
    world.until(lambda: "h1" in world.exchange.placed_calls_by_host)
    handed_over_at_ms = world.loop.now()
    host.replace(are_connections_silent=False)
    world.calls += 1
    world.ask(client, NEW_TASK)
    assert world.says(client) == m.encode(m.ANSWER, NEW_TASK, {m.DESCRIPTION: b"ok"})
    world.list(("h1", host.address, 2.0))

    def report():
        host.streams[0].try_send(m.encode(m.OBSERVATION, NEW_TASK, {m.TOPIC: b"cores", m.VALUE: b"1"}))
        world.loop.call_in(400.0, report)

    if reports_on_others:
        report()
    assert world.says(client, ms=10_000.0) == release(OLD_TASK, m.FAILED)
    assert world.loop.now() - handed_over_at_ms <= RELEASE_DUE_MS
    pass_time(world, 20_000.0)
    assert set(world.exchange.placed_calls_by_host["h1"]) == {NEW_TASK}


def test_such_a_task_stands_while_the_host_that_took_the_address_drains(virtual_time_world):
    """Guards against a verdict by the former name, which the list has removed: a host that drains refuses
    connections while its tasks run on."""
    world = virtual_time_world
    taken = TakenAddress(world)
    taken.tell_list()
    assert world.says(taken.client) == release(OLD_TASK, m.FAILED)
    world.list(("h2", taken.address, taken.started_unix_ms), phase=api.MachinePhase.DRAINING)
    taken.process.listener.close()
    pass_time(world, 5_000.0)
    assert taken.placed_tasks() == {NEW_TASK}
    taken.process.streams[0].send(release(NEW_TASK, m.ENDED))
    assert world.says(taken.client) == release(NEW_TASK, m.ENDED)

"""A host whose process can be replaced, and a list that may fall silent, on virtual time and real sockets."""

from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.command_channel import CommandChannel
from tests.support.exchange_world import setup
from tests.support.process_hosts import ReplaceableHost
from tests.support.socket_world import World, reset
from tests.support.virtual_time import leaping_loop

HEARTBEAT_MS = 1_000.0


class LeaseWorld(World):
    """A host with a command channel that sends a line every second while `is_list_up`."""

    def __init__(self, make_host=ReplaceableHost):
        loop = leaping_loop()
        super().__init__(loop=loop, channel=CommandChannel(loop.clock.wall() - loop.now()))
        self.host, self.owner, self.is_list_up = make_host(loop), self.client(), True
        self._beat()
        self.list(("h1", self.host.address, 1.0))

    def _beat(self):
        if self.is_list_up:
            self.channel.confirmed_at_ms = self.loop.now()
        self.loop.call_in(HEARTBEAT_MS, self._beat)

    def place(self, task):
        self.ask(self.owner, task)
        assert self.says(self.owner) == m.encode(m.ANSWER, task, {m.DESCRIPTION: b"ok"})

    def hand_over(self, task):
        self.owner.send(setup(task, extras="cores:1;memory:1;service:s;at:h1", wait=None))
        self.until(lambda: task in self.placed_tasks())
        self.calls += 1

    def placed_tasks(self):
        return {task for tasks in self.exchange.placed_calls_by_host.values() for task in tasks}

    def open_streams(self):
        return [stream for stream in self.host.streams if stream.close_reason is None]

    def report(self, task):
        note = m.encode(m.OBSERVATION, task, {m.TOPIC: b"cores", m.VALUE: b"1"})
        self.open_streams()[-1].send(note)

    def reset_all(self):
        for stream in self.open_streams():
            reset(stream)
        self.until(self.open_streams)

    def await_release(self, task, due_ms):
        assert self.says(self.owner, ms=due_ms) == m.encode_with_cause(m.RELEASE, task, m.FAILED)

    def releases_at_host(self):
        return [message.task_id for _, message in self.host.got if message.kind == m.RELEASE]

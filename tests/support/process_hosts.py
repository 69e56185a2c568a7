"""Hosts for tests with allocator processes."""

from glencleat.platform_protocol import messages as m
from tests.support.socket_world import Peer


class AcceptingHost(Peer):
    """Accepts every set-up and answers health checks."""

    def __init__(self, loop):
        super().__init__(loop, self.handle)
        self.port = self.address[1]

    def close(self):
        self.listener.close()

    def handle(self, stream, message):
        if message.kind == m.SETUP:
            stream.send(m.encode(m.ANSWER, message.task_id, {m.DESCRIPTION: b"ok"}))
        elif message.kind == m.PROBE:
            stream.send(m.encode_with_cause(m.PROBE_ANSWER, message.task_id, 1))

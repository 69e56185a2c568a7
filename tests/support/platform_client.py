"""A client's connection to an allocator process, on the test's own loop."""

from glencleat.event_loop import StreamClosedError, connect
from glencleat.platform_protocol import messages as m

CONNECT_TIMEOUT_MS = 5_000.0


class PlatformClient:
    """Connects at once; `stream` is None until then. Messages are passed to `record` as they come."""

    def __init__(self, loop, address):
        self.loop, self.stream = loop, None
        self.received = []  # (kind, task) of each message
        loop.spawn(self._run(address), "client")

    def _run(self, address):
        decoder = m.MessageDecoder()
        try:
            self.stream = yield from connect(self.loop, address, CONNECT_TIMEOUT_MS)
            while data := (yield from self.stream.read()):
                decoder.feed(data)
                for message in decoder.messages():
                    self.record(message)
        except StreamClosedError:
            pass

    def record(self, message):
        self.received.append((message.kind, message.task_id))

"""A client that sends as fast as its connection takes it, on the test's own loop."""

from glencleat.event_loop import StreamClosedError, connect

CONNECT_TIMEOUT_MS = 5_000.0


class FloodingClient:
    """Sends `make_batch()` over and over until `stop`, connects again when it is closed, and drops what it reads."""

    def __init__(self, loop, address, make_batch):
        self.loop, self.address, self.make_batch = loop, address, make_batch
        self.is_running = True
        self.stream = None
        self.connection_count = self.sent_bytes = 0
        loop.spawn(self._run(), "flooding client")

    def _run(self):
        while self.is_running:
            try:
                self.stream = yield from connect(self.loop, self.address, CONNECT_TIMEOUT_MS)
                self.connection_count += 1
                self.loop.spawn(self._read(self.stream), "flooding client's reader")
                yield from self._send(self.stream)
            except StreamClosedError:
                yield from self.loop.sleep(1.0)

    def _send(self, stream):
        while self.is_running:
            batch = self.make_batch()
            stream.send(batch)
            yield from stream.flush()
            self.sent_bytes += len(batch)
            yield from self.loop.sleep(0.0)

    def _read(self, stream):
        try:
            while (yield from stream.read()):
                pass
        except StreamClosedError:
            pass
        stream.close("the allocator has closed it")

    def stop(self):
        self.is_running = False
        if self.stream is not None:
            self.stream.close("stopped")

"""Hosts for tests with allocator processes."""

from glencleat.emulators.unreachable_port import UnreachablePort
from glencleat.event_loop import Listener
from glencleat.platform_protocol import messages as m
from tests.support.socket_world import Peer, reset


class AcceptingHost(Peer):
    """Accepts every set-up and answers health checks."""

    def __init__(self, loop, address=("127.0.0.1", 0)):
        super().__init__(loop, self.handle, address)
        self.port = self.address[1]

    def close(self):
        self.listener.close()

    def handle(self, stream, message):
        if message.kind == m.SETUP:
            stream.send(m.encode(m.ANSWER, message.task_id, {m.DESCRIPTION: b"ok"}))
        elif message.kind == m.PROBE:
            stream.send(m.encode_with_cause(m.PROBE_ANSWER, message.task_id, 1))


class RepeatingHost(AcceptingHost):
    """Accepts every set-up; sends an unacknowledged release on each connection that is opened."""

    def __init__(self, loop):
        super().__init__(loop)
        self.unacknowledged = set()

    def accept(self, stream):
        super().accept(stream)
        self.send_releases(stream)

    def handle(self, stream, message):
        super().handle(stream, message)
        if message.kind == m.RELEASE_COMPLETE:
            self.unacknowledged.discard(message.task_id)

    def send_releases(self, stream):
        for task in self.unacknowledged:
            stream.send(m.encode_with_cause(m.RELEASE, task, m.ENDED))

    def end_task(self, task):
        self.unacknowledged.add(task)
        for stream in [stream for stream in self.streams if stream.close_reason is None][:1]:
            self.send_releases(stream)


class ReplaceableHost(AcceptingHost):
    """Accepts every set-up; its process can be replaced by a new one at its address.

    Sends nothing about a task but its answer and its release.
    """

    def __init__(self, loop):
        super().__init__(loop)
        self.former_streams = []  # connections of former processes
        self.running_tasks = set()  # of the current process
        self.resets_former_streams = False  # when something comes on them, as a machine that is back does

    def replace(self, *, are_connections_silent):
        """Ends the process and starts a new one. The connections of the former one are reset, or stay open and
        silent as after the loss of a machine."""
        self.listener.close()
        former, self.streams = self.streams, []
        self.former_streams += former
        self.running_tasks.clear()
        for stream in () if are_connections_silent else former:
            reset(stream)
        self.listener = Listener(self.loop, self.address, self.accept)

    def handle(self, stream, message):
        if stream in self.former_streams:
            if self.resets_former_streams:
                reset(stream)
            return
        super().handle(stream, message)
        if message.kind == m.SETUP:
            self.running_tasks.add(message.task_id)
        elif message.kind == m.RELEASE:
            self.running_tasks.discard(message.task_id)

    def end_task(self, task):
        """Sends the task's release on the oldest open connection."""
        self.running_tasks.discard(task)
        stream = next(stream for stream in self.streams if stream.close_reason is None)
        stream.send(m.encode_with_cause(m.RELEASE, task, m.ENDED))


class VanishingHost(ReplaceableHost):
    """A host whose machine can vanish, be cut off or hang: its connections stay open and silent meanwhile."""

    def __init__(self, loop):
        self.unreachable, self.is_silent, self.held, self.unfinished = None, False, [], []
        super().__init__(loop)

    def close(self):
        self.restore_port()
        super().close()

    def vanish(self, *, are_connects_refused=False):
        """Its tasks have ended; connects never come up, or are refused by another machine's port."""
        former, self.streams = self.streams, []
        self.former_streams += former
        self.running_tasks.clear()
        self.listener.close()
        if not are_connects_refused:
            self.unreachable = UnreachablePort(self.address)

    def start_process(self):
        """A process listens at the address once more."""
        self.restore_port()
        self.listener = Listener(self.loop, self.address, self.accept)

    def restore_port(self):
        if self.unreachable is not None:
            self.unreachable.close()
            self.unreachable = None

    def fall_silent(self, *, do_connects_come_up):
        """The process lives on: it hangs, or its machine is cut off."""
        self.is_silent = True
        if not do_connects_come_up:
            self.listener.close()
            self.unreachable = UnreachablePort(self.address)

    def recover(self):
        """What came meanwhile is read now."""
        self.is_silent = False
        if self.unreachable is not None:
            self.start_process()
        held, self.held = self.held, []
        for stream, message in held:
            self.handle(stream, message)
        for stream in self.unfinished:
            stream.close()

    def finish(self, stream):
        """A process that hangs closes nothing."""
        if self.is_silent:
            self.unfinished.append(stream)
        else:
            super().finish(stream)

    def handle(self, stream, message):
        if self.is_silent and stream not in self.former_streams:
            self.held.append((stream, message))
        else:
            super().handle(stream, message)

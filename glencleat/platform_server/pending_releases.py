"""Releases of placed tasks that no client connection has taken yet. No I/O: time and the write are arguments.

From the host's end of a task to the client, a release is owed by `ReleaseDelivery`, which sends it on the
connection of the task's client, on another that may carry it, or adds it here. It leaves the queue once it is
written, and comes back if that connection breaks before the operating system has all of it. What is written
whole is never sent again, since a client that has read it would get it twice. Until then it is undelivered,
and its host is not sent an acknowledgement (`release_acknowledgements.py`).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from glencleat.platform_protocol import messages as m

MAX_PENDING_RELEASES = 2_000
"""Releases that wait for a connection; beyond it the oldest is dropped."""

PENDING_RELEASE_TIMEOUT_MS = 600_000.0
"""The longest wait of a release for a connection."""


class PendingReleases:
    """The releases that wait for a client connection, the oldest first.

    >>> pending = PendingReleases(log=print)
    >>> pending.add(m.encode_with_cause(m.RELEASE, 0x7F, m.ENDED), now=0.0)
    task 7f: its release waits for a client connection
    >>> pending.send_all(lambda data: False), len(pending)
    (None, 1)
    >>> pending.drop_expired(now=600_001.0)
    task 7f: its release is dropped, no client connection could carry it in time
    """

    def __init__(self, log: Callable[[str], None]) -> None:
        self.log = log
        self.dropped_count = 0
        self.entries: deque[tuple[float, bytes]] = deque()  # since when it waits, and the message
        # Of the releases that wait here, or of which the operating system has not got all.
        self.undelivered_task_ids: set[int] = set()

    def __len__(self) -> int:
        return len(self.entries)

    def add(self, data: bytes, now: float) -> None:
        """Queues a release."""
        if len(self.entries) == MAX_PENDING_RELEASES:
            self._drop_oldest("too many wait")
        self.entries.append((now, data))
        self.undelivered_task_ids.add(m.read_task_id(data))
        self.log(f"task {m.read_task_id(data):x}: its release waits for a client connection")

    def send_all(self, try_send: Callable[[bytes], bool]) -> None:
        """Sends the releases in their order until one can't be sent; that one and the others stay."""
        while self.entries and try_send(self.entries[0][1]):
            self.entries.popleft()

    def drop_expired(self, now: float) -> None:
        """Drops the releases that have waited for too long."""
        while self.entries and now - self.entries[0][0] > PENDING_RELEASE_TIMEOUT_MS:
            self._drop_oldest("no client connection could carry it in time")

    def record_sending(self, data: bytes) -> None:
        """A connection has the release in its send buffer."""
        self.undelivered_task_ids.add(m.read_task_id(data))

    def record_delivered(self, data: bytes) -> None:
        """The operating system has the release whole."""
        self.undelivered_task_ids.discard(m.read_task_id(data))

    def _drop_oldest(self, reason: str) -> None:
        _, data = self.entries.popleft()
        self.undelivered_task_ids.discard(m.read_task_id(data))
        self.dropped_count += 1
        self.log(f"task {m.read_task_id(data):x}: its release is dropped, {reason}")


@dataclass(slots=True)
class UnsentReleases:
    """The releases in the send buffer of one connection.

    >>> unsent = UnsentReleases()
    >>> unsent.record_queued(b"first", end=5), unsent.record_queued(b"second", end=11)
    (None, None)
    >>> list(unsent.take_written(written_bytes=8)), list(unsent.take_all())
    ([b'first'], [b'second'])
    """

    # Each with the stream position of its end.
    entries: deque[tuple[int, bytes]] = field(default_factory=deque)

    def record_queued(self, data: bytes, end: int) -> None:
        """Records a release that was queued, and where it ends."""
        self.entries.append((end, data))

    def take_written(self, written_bytes: int) -> Iterator[bytes]:
        """Yields, and removes, the releases that the operating system has whole."""
        while self.entries and self.entries[0][0] <= written_bytes:
            yield self.entries.popleft()[1]

    def take_all(self) -> Iterator[bytes]:
        """Yields, and removes, the others, which no client can have read."""
        while self.entries:
            yield self.entries.popleft()[1]

"""Messages and bytes by kind, counted where a hollow part reads and writes them.

Imports `isup.messages`. Hollow hosts, owners and allocators hold a MessageCounters. Bytes are those handed to
and taken from TCP; headers, handshakes and acknowledgements are not among them, connections are counted
beside them."""

from __future__ import annotations

from collections import Counter

from glencleat.platform_protocol import messages as m

MESSAGE_NAMES = {
    m.SETUP: "set-up",
    m.PROGRESS: "progress",
    m.ANSWER: "answer",
    m.RELEASE: "release",
    m.RELEASE_COMPLETE: "release heard",
    m.OBSERVATION: "note",
    m.MIGRATE: "move",
    m.PROBE: "test",
    m.PROBE_ANSWER: "tested",
}
Counts = dict[str, int]


def wire_size(message: m.PlatformMessage) -> int:
    """Bytes of a message on the wire.

    >>> wire_size(m.PlatformMessage(m.PROBE_ANSWER, 7, {m.CAUSE: b"x"}))
    15
    """
    return m.HEADER.size + sum(m.PARAMETER_HEADER.size + len(raw) for raw in message.parameters.values())


class MessageCounters:
    """Counts by allocator: `3 in release` are messages of allocator 3, `3 in release bytes` their bytes.

    >>> tally = MessageCounters()
    >>> tally.count_sent(0, m.encode(m.RELEASE_COMPLETE, 5))
    >>> tally.counts
    Counter({'0 out release heard bytes': 11, '0 out release heard': 1})
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def count_sent(self, allocator: int, data: bytes) -> None:
        """One whole message."""
        name = f"{allocator} out {MESSAGE_NAMES[data[2]]}"
        self.counts[name] += 1
        self.counts[name + " bytes"] += len(data)

    def count_received(self, allocator: int, message: m.PlatformMessage) -> None:
        name = f"{allocator} in {MESSAGE_NAMES[message.kind]}"
        self.counts[name] += 1
        self.counts[name + " bytes"] += wire_size(message)

    def count(self, allocator: int, what: str, by: int = 1) -> None:
        self.counts[f"{allocator} {what}"] += by


def allocator_counts(counts: Counts, allocator: int) -> Counts:
    """What a MessageCounters' counts say of one allocator, without its number."""
    begin = f"{allocator} "
    return {name[len(begin) :]: count for name, count in counts.items() if name.startswith(begin)}

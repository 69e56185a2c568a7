"""The trace of a play: what the emulators read from and wrote to their sockets, in order, one JSON line each.

Times are milliseconds on one clock, as all emulators of a play share a process. Emulators write entries; the
checker reads nothing else. The names of fields and kinds are those of the stored format, which must stay
readable across versions. Kinds, with the fields that they carry:

| kind | who | what happened |
| --- | --- | --- |
| asked | owner | wrote an ACCEPT that launches `task` to `allocator`, `left` ms before it gives up |
| answer | owner | read an UPDATE of `task`: `state`, `retry`, `reason`, its uuid as `text` |
| gave up | owner | its deadline for `task` at `allocator` passed |
| cut | owner | its session with `allocator` ended |
| offered | host | read a LAUNCH: `attempt`, `task`, `cls`, `effect`, `service`, `zone`, `within` ms |
| | | (`text` is its incarnation; `since`: it may have been unread since then) |
| listed | host | subscribed as incarnation `text` and listed `ids` as all attempts that it holds |
| said | host | wrote an UPDATE of `attempt`: `state`, and for a rejection its cause as `text` |
| kill | host | read a KILL of `attempt` |
| started | host | the program of `attempt` began (this is the effect) |
| up, down | host | started (`cold` if it has to warm up), stopped |
| quiet | host | its network drops all traffic for a time |
| told | directory | wrote an entry to `allocator`: `host` and its `phase` |
| allocator | play | `allocator`'s process: `state` up, killed, stopped, stalled, resumed |
| passed | proxy | between `allocator` and `who` (list, agents, owners): connection `number` was |
| | | opened, refused, ended or reset; `bytes`, once it has ended: `size` in direction `text` |
| wire | play | a fault of that proxy begins or ends: it (`reason`) holds bytes back, turns away new |
| | | connections, or delays bytes; `left` ms is the largest added delay |
| lag | play | the emulators' own process was stalled for `left` ms, so that they read late |
| fault | play | a line of the script began or ended: `text` |
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import TextIO

import msgspec


class TraceEntry(msgspec.Struct, omit_defaults=True):
    """One line of a trace; the table above says which fields a kind carries. Times are in milliseconds."""

    at: float
    kind: str
    who: str = ""
    allocator: str = ""
    task: str = ""
    attempt: str = ""
    cls: str = ""
    effect: str = ""
    service: str = ""
    state: str = ""
    retry: str = ""
    reason: str = ""
    zone: str = ""
    cell: int = 0
    left: float = 0.0
    within: float = 0.0
    cold: bool = False
    text: str = ""
    ids: list[str] = []
    since: float = 0.0
    number: int = 0
    size: int = 0
    line: int = 0


ENCODER = msgspec.json.Encoder()
DECODER = msgspec.json.Decoder(TraceEntry)


class TraceError(Exception):
    """A line of a trace can't be decoded; the message names file, line and cause."""


class TraceRecorder:
    """Keeps entries in memory and, with `sink`, writes each as a JSON line."""

    def __init__(self, now: Callable[[], float], sink: TextIO | None = None) -> None:
        self.now, self.sink = now, sink
        self.entries: list[TraceEntry] = []
        self.is_closed = False

    def close(self) -> None:
        """Ends the trace; entries added later, as when emulators are discarded, are not recorded."""
        self.is_closed = True
        if self.sink is not None:
            self.sink.close()

    def add(self, kind: str, **fields: object) -> TraceEntry:
        """Records an entry at the current time; `fields` are those of TraceEntry."""
        entry = TraceEntry(round(self.now(), 3), kind, line=len(self.entries) + 1, **fields)  # type: ignore[arg-type]
        if self.is_closed:
            return entry
        self.entries.append(entry)
        if self.sink is not None:
            self.sink.write(ENCODER.encode(entry).decode() + "\n")
        return entry


def read_trace(path: Path) -> Iterator[TraceEntry]:
    """Yields the entries of a stored trace with their line numbers. Raises TraceError or OSError."""
    with path.open("rb") as source:
        for number, line in enumerate(source, 1):
            try:
                entry = DECODER.decode(line)
            except msgspec.DecodeError as error:
                raise TraceError(f"{path}:{number}: {error}; expected a trace entry") from error
            entry.line = number
            yield entry


def write_trace(path: Path, entries: Iterable[TraceEntry]) -> None:
    """Writes entries in the format that `read_trace` reads."""
    with path.open("wb") as sink:
        for entry in entries:
            sink.write(ENCODER.encode(entry) + b"\n")

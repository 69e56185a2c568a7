"""Watches: which watcher gets which event, and how far each has read. Pure; the server sends the bytes.

Watchers with the same kind, tenant and selector share a channel. An index by one label value finds the
channels that an event may concern, so that the cost of an event depends on the matching watches and not on
all of them. A channel keeps the lines that its watchers have not read yet, and each watcher has a cursor,
so a slow watcher takes no memory of its own. A watcher is closed when its cursor falls behind the lines
kept, or when it reads nothing for too long while there are events for it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from glencleat.rest.schema import Problem, encode, encode_at_version
from glencleat.rest.selector import Selector, index_terms
from glencleat.rest.version_store import VersionEvent, VersionGoneError

ChannelKey = tuple[str, str | None, Selector]  # kind, tenant (None: all tenants), selector


@dataclass(frozen=True, slots=True)
class WatchLimits:
    """Limits on watchers and on what is kept for them."""

    max_watchers: int = 5_000
    max_watchers_per_tenant: int = 1_000  # also the limit of watchers of all tenants at once
    max_lines: int = 20_000  # unread lines kept per channel
    max_chunk_bytes: int = 65_536  # per read of a watcher
    stall_timeout_ms: float = 5_000.0  # a watcher with unread events must read within this time


class WatchLimitError(Exception):
    """The limit of watchers is reached; the text says which one."""


@dataclass(slots=True, eq=False)
class Watcher:
    """One client's position in a channel."""

    channel: WatchChannel
    cursor: int  # number of the next line to read
    backlog: Iterator[bytes] | None  # chunks from before it joined: a resumed range, or the initial list
    progress_at_ms: float
    wake: Callable[[], None] = lambda: None
    close_reason: str | None = None  # why it was closed by the server
    last_sent_at_ms: float = 0.0  # of the last chunk or bookmark


@dataclass(slots=True, eq=False)
class WatchChannel:
    """The lines for all watchers with the same kind, tenant and selector."""

    key: ChannelKey
    watchers: dict[Watcher, None] = field(default_factory=dict)
    idle_watchers: dict[Watcher, None] = field(default_factory=dict)  # those that have read everything
    lines: list[bytes] = field(default_factory=list)
    first_line_number: int = 0  # of the first line kept
    # The last chunk read (start, end, bytes): most watchers read the same range.
    cached_chunk: tuple[int, int, bytes] | None = None

    def end_line_number(self) -> int:
        """The number of the next line to be added."""
        return self.first_line_number + len(self.lines)

    def read_chunk(self, start_line: int, max_bytes: int) -> tuple[int, bytes]:
        """Lines from `start_line` on, up to `max_bytes` but at least one; returns the end and the bytes."""
        if self.cached_chunk is not None and self.cached_chunk[0] == start_line:
            return self.cached_chunk[1], self.cached_chunk[2]
        size, index = 0, start_line - self.first_line_number
        while index < len(self.lines) and (not size or size + len(self.lines[index]) <= max_bytes):
            size += len(self.lines[index])
            index += 1
        data = b"".join(self.lines[start_line - self.first_line_number : index])
        self.cached_chunk = start_line, self.first_line_number + index, data
        return self.first_line_number + index, data

    def trim_lines(self, max_lines: int) -> None:
        """Drops lines that all watchers have read, and unread ones above `max_lines`."""
        oldest_needed = min((w.cursor for w in self.watchers), default=self.end_line_number())
        new_first_line = max(oldest_needed, self.end_line_number() - max_lines)
        if new_first_line - self.first_line_number > len(self.lines) // 2 or len(self.lines) > max_lines:
            del self.lines[: new_first_line - self.first_line_number]
            self.first_line_number = new_first_line


def event_line(event: VersionEvent, event_type: str, format_version: Callable[[int], str]) -> bytes:
    """The event's line for a watch, encoded once for all watchers."""
    if event.lines_by_type is None:
        event.lines_by_type = {}
    line = event.lines_by_type.get(event_type)
    if line is None:
        source = event.record if event.record.value is not None else event.previous
        assert source is not None
        # A deletion has the last state with the deletion's version, so that a watch can be resumed after it.
        body = encode_at_version(source.value, format_version(event.version))
        line = event.lines_by_type[event_type] = watch_line(event_type, body)
    return line


def watch_line(event_type: str, body: bytes) -> bytes:
    """One line of a watch."""
    return b'{"type":"%b","object":%b}\n' % (event_type.encode(), body)


class WatchChannels:
    """All channels and watchers, with the index from labels to channels."""

    def __init__(self, limits: WatchLimits, format_version: Callable[[int], str]) -> None:
        self.limits, self.format_version = limits, format_version
        self.channels_by_key: dict[ChannelKey, WatchChannel] = {}
        # (kind, label, value) -> channels whose selector requires it; the others by kind.
        self.channels_by_label: dict[tuple[str, str, str], dict[WatchChannel, None]] = {}
        self.unindexed_channels: dict[str, dict[WatchChannel, None]] = {}
        self.watcher_count = 0
        self.watcher_counts_by_tenant: dict[str | None, int] = {}
        self.ready_watchers: dict[Watcher, None] = {}  # those to be woken, oldest first
        # Whether the last chunk is still unsent; set by the server.
        self.is_blocked: Callable[[Watcher], bool] = lambda watcher: True

    # ---- adding and removing ----

    def check_limits(self, tenant: str | None) -> None:
        """Raises WatchLimitError if no further watcher is allowed."""
        if self.watcher_count >= self.limits.max_watchers:
            raise WatchLimitError(f"{self.watcher_count} watches are open; expected no more")
        if self.watcher_counts_by_tenant.get(tenant, 0) >= self.limits.max_watchers_per_tenant:
            raise WatchLimitError(
                f"{self.limits.max_watchers_per_tenant} watches of {tenant or 'all tenants'} are open;"
                " no more"
            )

    def add_watcher(self, key: ChannelKey, backlog: Iterator[bytes] | None, now: float) -> Watcher:
        """Adds a watcher of all events published from now on, preceded by the chunks of `backlog`.

        The backlog is generated while it is read; a VersionGoneError from it closes the watcher.
        """
        self.check_limits(key[1])
        channel = self.channels_by_key.get(key)
        if channel is None:
            channel = self.channels_by_key[key] = WatchChannel(key)
            self._index_bucket(channel)[channel] = None
        watcher = Watcher(channel, channel.end_line_number(), backlog, now, last_sent_at_ms=now)
        channel.watchers[watcher] = None
        self.watcher_count += 1
        self.watcher_counts_by_tenant[key[1]] = self.watcher_counts_by_tenant.get(key[1], 0) + 1
        return watcher

    def remove_watcher(self, watcher: Watcher) -> None:
        """Removes a watcher, and its channel with the last one; removing it twice is allowed."""
        channel = watcher.channel
        self.ready_watchers.pop(watcher, None)
        channel.idle_watchers.pop(watcher, None)
        if channel.watchers.pop(watcher, self) is self:
            return
        self.watcher_count -= 1
        tenant = channel.key[1]
        self.watcher_counts_by_tenant[tenant] -= 1
        if not self.watcher_counts_by_tenant[tenant]:
            del self.watcher_counts_by_tenant[tenant]
        if not channel.watchers:
            del self.channels_by_key[channel.key]
            bucket = self._index_bucket(channel)
            del bucket[channel]

    def _index_bucket(self, channel: WatchChannel) -> dict[WatchChannel, None]:
        kind, _, selector = channel.key
        terms = index_terms(selector)
        if not terms:
            return self.unindexed_channels.setdefault(kind, {})
        return self.channels_by_label.setdefault((kind, *terms[0]), {})

    # ---- events ----

    def find_channels(self, event: VersionEvent) -> Iterable[WatchChannel]:
        """Channels indexed under a label that the resource has or had, each once; their selectors decide."""
        found = dict(self.unindexed_channels.get(event.kind, {}))
        records = [event.record] if event.previous is None else [event.record, event.previous]
        for record in records if self.channels_by_label else ():
            for label in record.labels.items():
                bucket = self.channels_by_label.get((event.kind, *label))
                if bucket:
                    found |= bucket
        return found

    def publish(self, event: VersionEvent, now: float) -> None:
        """Appends the event to each channel that it concerns and marks their idle watchers as ready."""
        for channel in self.find_channels(event):
            _, tenant, selector = channel.key
            if tenant is not None and event.record.key[0] != tenant:
                continue
            event_type = event.type_for(selector)
            if event_type is None:
                continue
            channel.lines.append(event_line(event, event_type, self.format_version))
            if len(channel.lines) > self.limits.max_lines:
                channel.trim_lines(self.limits.max_lines)
            for watcher in channel.idle_watchers:
                # The stall timeout runs from the first unread event, not from the watcher's last read.
                watcher.progress_at_ms = now
                self.ready_watchers[watcher] = None
            channel.idle_watchers.clear()

    # ---- reading ----

    def take_chunk(self, watcher: Watcher, now: float) -> bytes:
        """The next chunk for a watcher; b"" if it has read everything, and it is woken for more.

        Sets `close_reason` if the watcher is too far behind.
        """
        watcher.progress_at_ms = now
        data = self._next_chunk(watcher)
        if data:
            watcher.last_sent_at_ms = now
        return data

    def _next_chunk(self, watcher: Watcher) -> bytes:
        if watcher.backlog is not None:
            try:
                return next(watcher.backlog)
            except StopIteration:
                watcher.backlog = None
            except VersionGoneError as error:
                watcher.close_reason = f"too slow: {error}"
                return b""
        channel = watcher.channel
        if watcher.cursor < channel.first_line_number:
            behind = channel.first_line_number - watcher.cursor
            watcher.close_reason = f"too slow: {behind} events that it had not taken are no longer kept"
            return b""
        if watcher.cursor == channel.end_line_number():
            channel.idle_watchers[watcher] = None
            return b""
        watcher.cursor, data = channel.read_chunk(watcher.cursor, self.limits.max_chunk_bytes)
        if watcher.cursor == channel.end_line_number() and len(channel.lines) > 64:
            channel.trim_lines(self.limits.max_lines)
        return data

    def requeue_if_behind(self, watcher: Watcher) -> bool:
        """Queues another wake-up if the watcher has more to read; returns whether it has."""
        if not self.is_behind(watcher):
            return False
        self.ready_watchers[watcher] = None
        return True

    def queue_wake(self, watcher: Watcher) -> None:
        """Queues a wake-up although there are no events."""
        self.ready_watchers[watcher] = None

    def is_behind(self, watcher: Watcher) -> bool:
        """Whether the watcher has something left to read."""
        return watcher.backlog is not None or watcher.cursor < watcher.channel.end_line_number()

    def mark_stalled(self, now: float) -> list[Watcher]:
        """Finds watchers that have read nothing for too long while behind, and sets their close reason."""
        stalled = []
        for channel in self.channels_by_key.values():
            for watcher in channel.watchers:
                waited_ms = now - watcher.progress_at_ms
                is_late = watcher.close_reason is None and waited_ms > self.limits.stall_timeout_ms
                if is_late and self.is_behind(watcher) and self.is_blocked(watcher):
                    watcher.close_reason = f"too slow: nothing was read for {waited_ms / 1000.0:.0f} s"
                    stalled.append(watcher)
        return stalled

    def wake_watchers(self, max_count: int) -> int:
        """Wakes up to `max_count` watchers that have events to read; returns how many are left."""
        for watcher in list(islice(self.ready_watchers, max_count)):
            del self.ready_watchers[watcher]
            watcher.wake()
        return len(self.ready_watchers)


def bookmark_line(version: str) -> bytes:
    """A line that only carries the current version."""
    return watch_line("BOOKMARK", encode({"resourceVersion": version}))


def problem_line(status: int, title: str, detail: str) -> bytes:
    """The last line of a watch that failed."""
    return watch_line("ERROR", encode(Problem(title=title, status=status, detail=detail)))

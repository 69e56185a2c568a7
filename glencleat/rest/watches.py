"""Watches: which watcher is told which event, and how far each has read. Pure; the front carries the bytes.

Watchers of the same kind, tenant and selector share a Channel. An index finds the channels that an event
may concern by one label's value, so that an event costs what it matters to, not what is watched. A channel
keeps the lines that its watchers have yet to take; they read at their own pace by a cursor, so that a slow
one costs no memory of its own, and it is cut off when its cursor falls out of what is kept, or when it
stands still for too long while there is news."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from glencleat.rest.schema import Problem, encode, encode_at_version
from glencleat.rest.selector import Selector, index_terms
from glencleat.rest.version_store import VersionEvent, VersionGoneError

ChannelKey = tuple[str, str | None, Selector]  # kind, tenant or all, selector


@dataclass(frozen=True, slots=True)
class WatchLimits:
    max_watchers: int = 5_000
    max_watchers_per_tenant: int = 1_000  # of one tenant, or of all tenants at once
    max_lines: int = 20_000  # that a channel keeps for its watchers
    max_chunk_bytes: int = 65_536  # bytes that a watcher is handed at a time
    stall_timeout_ms: float = 5_000.0  # so long may a watcher take nothing while there is news


class WatchLimitError(Exception):
    """No more watchers are taken; the text says which limit."""


@dataclass(slots=True, eq=False)
class Watcher:
    channel: WatchChannel
    cursor: int  # lines of the channel taken, counted from its beginning
    backlog: Iterator[bytes] | None  # pieces from before it joined: what it resumed, or all that was there
    progress_at_ms: float
    wake: Callable[[], None] = lambda: None
    close_reason: str | None = None  # why it was cut off
    last_sent_at_ms: float = 0.0  # the last piece or bookmark


@dataclass(slots=True, eq=False)
class WatchChannel:
    key: ChannelKey
    watchers: dict[Watcher, None] = field(default_factory=dict)
    idle_watchers: dict[Watcher, None] = field(default_factory=dict)  # those that have taken all
    lines: list[bytes] = field(default_factory=list)
    first_line_number: int = 0  # number of the first line kept
    cached_chunk: tuple[int, int, bytes] | None = (
        None  # the last piece made, as most watchers are equally far
    )

    def end_line_number(self) -> int:
        return self.first_line_number + len(self.lines)

    def read_chunk(self, begin: int, most: int) -> tuple[int, bytes]:
        """Lines from `begin` on, at least one and no more than `most` bytes; and where they end."""
        if self.cached_chunk is not None and self.cached_chunk[0] == begin:
            return self.cached_chunk[1], self.cached_chunk[2]
        size, at = 0, begin - self.first_line_number
        while at < len(self.lines) and (not size or size + len(self.lines[at]) <= most):
            size += len(self.lines[at])
            at += 1
        data = b"".join(self.lines[begin - self.first_line_number : at])
        self.cached_chunk = begin, self.first_line_number + at, data
        return self.first_line_number + at, data

    def trim_lines(self, most: int) -> None:
        """Forgets lines that all have taken, and more where a watcher is too far behind."""
        needed = min((w.cursor for w in self.watchers), default=self.end_line_number())
        base = max(needed, self.end_line_number() - most)
        if base - self.first_line_number > len(self.lines) // 2 or len(self.lines) > most:
            del self.lines[: base - self.first_line_number]
            self.first_line_number = base


def event_line(event: VersionEvent, kind: str, format_version: Callable[[int], str]) -> bytes:
    """The event's line for a watch, made once for all who get it."""
    if event.lines_by_type is None:
        event.lines_by_type = {}
    made = event.lines_by_type.get(kind)
    if made is None:
        source = event.record if event.record.value is not None else event.previous
        assert source is not None
        # A deletion shows the last state under the deletion's version: a watch can be resumed after it.
        body = encode_at_version(source.value, format_version(event.version))
        made = event.lines_by_type[kind] = watch_line(kind, body)
    return made


def watch_line(kind: str, body: bytes) -> bytes:
    """A line of a watch."""
    return b'{"type":"%b","object":%b}\n' % (kind.encode(), body)


class WatchChannels:
    def __init__(self, limits: WatchLimits, format_version: Callable[[int], str]) -> None:
        self.limits, self.format_version = limits, format_version
        self.channels_by_key: dict[ChannelKey, WatchChannel] = {}
        self.channels_by_label: dict[
            tuple[str, str, str], dict[WatchChannel, None]
        ] = {}  # kind, label, value
        self.unanchored: dict[str, dict[WatchChannel, None]] = {}  # by kind
        self.watcher_count = 0
        self.watcher_counts_by_tenant: dict[str | None, int] = {}
        self.ready_watchers: dict[
            Watcher, None
        ] = {}  # those with news to take, in the order in which it came
        self.is_blocked: Callable[[Watcher], bool] = lambda watcher: (
            True
        )  # whether it has a piece to read still

    # ---- joining ----

    def check_limits(self, tenant: str | None) -> None:
        """Raises Refused where one more can't be taken."""
        if self.watcher_count >= self.limits.max_watchers:
            raise WatchLimitError(f"{self.watcher_count} watches are open; expected no more")
        if self.watcher_counts_by_tenant.get(tenant, 0) >= self.limits.max_watchers_per_tenant:
            raise WatchLimitError(
                f"{self.limits.max_watchers_per_tenant} watches of {tenant or 'all tenants'} are open;"
                " no more"
            )

    def add_watcher(self, where: ChannelKey, early: Iterator[bytes] | None, now: float) -> Watcher:
        """A watcher of all that is published from now on, after the pieces of `early`.

        These are made as the reader takes them; Gone out of them cuts the watcher off."""
        self.check_limits(where[1])
        channel = self.channels_by_key.get(where)
        if channel is None:
            channel = self.channels_by_key[where] = WatchChannel(where)
            self._bucket(channel)[channel] = None
        watcher = Watcher(channel, channel.end_line_number(), early, now, last_sent_at_ms=now)
        channel.watchers[watcher] = None
        self.watcher_count += 1
        self.watcher_counts_by_tenant[where[1]] = self.watcher_counts_by_tenant.get(where[1], 0) + 1
        return watcher

    def remove_watcher(self, watcher: Watcher) -> None:
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
            bucket = self._bucket(channel)
            del bucket[channel]

    def _bucket(self, channel: WatchChannel) -> dict[WatchChannel, None]:
        kind, _, selector = channel.key
        terms = index_terms(selector)
        if not terms:
            return self.unanchored.setdefault(kind, {})
        return self.channels_by_label.setdefault((kind, *terms[0]), {})

    # ---- events ----

    def find_channels(self, event: VersionEvent) -> Iterable[WatchChannel]:
        """Channels whose anchor the event has now or had before, each once; their selectors decide."""
        found = dict(self.unanchored.get(event.kind, {}))
        sides = [event.record] if event.previous is None else [event.record, event.previous]
        for record in sides if self.channels_by_label else ():
            for label in record.labels.items():
                bucket = self.channels_by_label.get((event.kind, *label))
                if bucket:
                    found |= bucket
        return found

    def publish(self, event: VersionEvent, now: float) -> None:
        for channel in self.find_channels(event):
            _, tenant, selector = channel.key
            if tenant is not None and event.record.key[0] != tenant:
                continue
            kind = event.type_for(selector)
            if kind is None:
                continue
            channel.lines.append(event_line(event, kind, self.format_version))
            if len(channel.lines) > self.limits.max_lines:
                channel.trim_lines(self.limits.max_lines)
            for watcher in channel.idle_watchers:
                watcher.progress_at_ms = now  # its time to take begins with the first news, not with its last
                self.ready_watchers[watcher] = None
            channel.idle_watchers.clear()

    # ---- reading ----

    def take_chunk(self, watcher: Watcher, now: float) -> bytes:
        """The next piece for a watcher that has room for it; b"" when it has all and will be woken.

        Sets `close_reason` where it is too late."""
        watcher.progress_at_ms = now
        data = self._piece(watcher)
        if data:
            watcher.last_sent_at_ms = now
        return data

    def _piece(self, watcher: Watcher) -> bytes:
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
        """Has the watcher woken once more if there is more to take; False: there is not."""
        if not self.is_behind(watcher):
            return False
        self.ready_watchers[watcher] = None
        return True

    def queue_wake(self, watcher: Watcher) -> None:
        """Has the watcher woken in its turn although there is no news."""
        self.ready_watchers[watcher] = None

    def is_behind(self, watcher: Watcher) -> bool:
        return watcher.backlog is not None or watcher.cursor < watcher.channel.end_line_number()

    def mark_stalled(self, now: float) -> list[Watcher]:
        """Watchers that have taken nothing for too long although there was news; each is marked as cut."""
        found = []
        for channel in self.channels_by_key.values():
            for watcher in channel.watchers:
                waited = now - watcher.progress_at_ms
                late = watcher.close_reason is None and waited > self.limits.stall_timeout_ms
                if late and self.is_behind(watcher) and self.is_blocked(watcher):
                    watcher.close_reason = f"too slow: nothing was read for {waited / 1000.0:.0f} s"
                    found.append(watcher)
        return found

    def wake_watchers(self, most: int) -> int:
        """Wakes the next watchers that have news, at most so many; gives how many still wait."""
        for watcher in list(islice(self.ready_watchers, most)):
            del self.ready_watchers[watcher]
            watcher.wake()
        return len(self.ready_watchers)


def bookmark_line(version: str) -> bytes:
    return watch_line("BOOKMARK", encode({"resourceVersion": version}))


def problem_line(status: int, title: str, detail: str) -> bytes:
    return watch_line("ERROR", encode(Problem(title=title, status=status, detail=detail)))

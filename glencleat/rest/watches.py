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

from glencleat.rest.schema import Problem, encode, stamped
from glencleat.rest.selector import Selector, anchors
from glencleat.rest.version_store import VersionEvent, VersionGoneError

Where = tuple[str, str | None, Selector]  # kind, tenant or all, selector


@dataclass(frozen=True, slots=True)
class WatchLimits:
    watchers: int = 5_000
    each: int = 1_000  # of one tenant, or of all tenants at once
    lines: int = 20_000  # that a channel keeps for its watchers
    piece: int = 65_536  # bytes that a watcher is handed at a time
    stall_ms: float = 5_000.0  # so long may a watcher take nothing while there is news


class WatchLimitError(Exception):
    """No more watchers are taken; the text says which limit."""


@dataclass(slots=True, eq=False)
class Watcher:
    channel: WatchChannel
    cursor: int  # lines of the channel taken, counted from its beginning
    early: Iterator[bytes] | None  # pieces from before it joined: what it resumed, or all that was there
    progress_at: float
    wake: Callable[[], None] = lambda: None
    cut: str | None = None  # why it was cut off
    told_at: float = 0.0  # the last piece or bookmark


@dataclass(slots=True, eq=False)
class WatchChannel:
    where: Where
    watchers: dict[Watcher, None] = field(default_factory=dict)
    idle: dict[Watcher, None] = field(default_factory=dict)  # those that have taken all
    lines: list[bytes] = field(default_factory=list)
    base: int = 0  # number of the first line kept
    joined: tuple[int, int, bytes] | None = None  # the last piece made, as most watchers are equally far

    def end(self) -> int:
        return self.base + len(self.lines)

    def piece(self, begin: int, most: int) -> tuple[int, bytes]:
        """Lines from `begin` on, at least one and no more than `most` bytes; and where they end."""
        if self.joined is not None and self.joined[0] == begin:
            return self.joined[1], self.joined[2]
        size, at = 0, begin - self.base
        while at < len(self.lines) and (not size or size + len(self.lines[at]) <= most):
            size += len(self.lines[at])
            at += 1
        data = b"".join(self.lines[begin - self.base : at])
        self.joined = begin, self.base + at, data
        return self.base + at, data

    def trim(self, most: int) -> None:
        """Forgets lines that all have taken, and more where a watcher is too far behind."""
        needed = min((w.cursor for w in self.watchers), default=self.end())
        base = max(needed, self.end() - most)
        if base - self.base > len(self.lines) // 2 or len(self.lines) > most:
            del self.lines[: base - self.base]
            self.base = base


def line(event: VersionEvent, kind: str, told: Callable[[int], str]) -> bytes:
    """The event's line for a watch, made once for all who get it."""
    if event.lines is None:
        event.lines = {}
    made = event.lines.get(kind)
    if made is None:
        source = event.record if event.record.value is not None else event.before
        assert source is not None
        # A deletion shows the last state under the deletion's version: a watch can be resumed after it.
        body = stamped(source.value, told(event.version))
        made = event.lines[kind] = wrap(kind, body)
    return made


def wrap(kind: str, body: bytes) -> bytes:
    """A line of a watch."""
    return b'{"type":"%b","object":%b}\n' % (kind.encode(), body)


class WatchChannels:
    def __init__(self, limits: WatchLimits, told: Callable[[int], str]) -> None:
        self.limits, self.told = limits, told
        self.channels: dict[Where, WatchChannel] = {}
        self.by_label: dict[tuple[str, str, str], dict[WatchChannel, None]] = {}  # kind, label, value
        self.unanchored: dict[str, dict[WatchChannel, None]] = {}  # by kind
        self.count = 0
        self.by_tenant: dict[str | None, int] = {}
        self.awake: dict[Watcher, None] = {}  # those with news to take, in the order in which it came
        self.blocked: Callable[[Watcher], bool] = lambda watcher: True  # whether it has a piece to read still

    # ---- joining ----

    def check(self, tenant: str | None) -> None:
        """Raises Refused where one more can't be taken."""
        if self.count >= self.limits.watchers:
            raise WatchLimitError(f"{self.count} watches are open; expected no more")
        if self.by_tenant.get(tenant, 0) >= self.limits.each:
            raise WatchLimitError(
                f"{self.limits.each} watches of {tenant or 'all tenants'} are open; no more"
            )

    def join(self, where: Where, early: Iterator[bytes] | None, now: float) -> Watcher:
        """A watcher of all that is published from now on, after the pieces of `early`.

        These are made as the reader takes them; Gone out of them cuts the watcher off."""
        self.check(where[1])
        channel = self.channels.get(where)
        if channel is None:
            channel = self.channels[where] = WatchChannel(where)
            self._bucket(channel)[channel] = None
        watcher = Watcher(channel, channel.end(), early, now, told_at=now)
        channel.watchers[watcher] = None
        self.count += 1
        self.by_tenant[where[1]] = self.by_tenant.get(where[1], 0) + 1
        return watcher

    def leave(self, watcher: Watcher) -> None:
        channel = watcher.channel
        self.awake.pop(watcher, None)
        channel.idle.pop(watcher, None)
        if channel.watchers.pop(watcher, self) is self:
            return
        self.count -= 1
        tenant = channel.where[1]
        self.by_tenant[tenant] -= 1
        if not self.by_tenant[tenant]:
            del self.by_tenant[tenant]
        if not channel.watchers:
            del self.channels[channel.where]
            bucket = self._bucket(channel)
            del bucket[channel]

    def _bucket(self, channel: WatchChannel) -> dict[WatchChannel, None]:
        kind, _, selector = channel.where
        terms = anchors(selector)
        if not terms:
            return self.unanchored.setdefault(kind, {})
        return self.by_label.setdefault((kind, *terms[0]), {})

    # ---- events ----

    def concerned(self, event: VersionEvent) -> Iterable[WatchChannel]:
        """Channels whose anchor the event has now or had before, each once; their selectors decide."""
        found = dict(self.unanchored.get(event.kind, {}))
        sides = [event.record] if event.before is None else [event.record, event.before]
        for record in sides if self.by_label else ():
            for label in record.labels.items():
                bucket = self.by_label.get((event.kind, *label))
                if bucket:
                    found |= bucket
        return found

    def publish(self, event: VersionEvent, now: float) -> None:
        for channel in self.concerned(event):
            _, tenant, selector = channel.where
            if tenant is not None and event.record.key[0] != tenant:
                continue
            kind = event.type_for(selector)
            if kind is None:
                continue
            channel.lines.append(line(event, kind, self.told))
            if len(channel.lines) > self.limits.lines:
                channel.trim(self.limits.lines)
            for watcher in channel.idle:
                watcher.progress_at = now  # its time to take begins with the first news, not with its last
                self.awake[watcher] = None
            channel.idle.clear()

    # ---- reading ----

    def take(self, watcher: Watcher, now: float) -> bytes:
        """The next piece for a watcher that has room for it; b"" when it has all and will be woken.

        Sets `cut` where it is too late."""
        watcher.progress_at = now
        data = self._piece(watcher)
        if data:
            watcher.told_at = now
        return data

    def _piece(self, watcher: Watcher) -> bytes:
        if watcher.early is not None:
            try:
                return next(watcher.early)
            except StopIteration:
                watcher.early = None
            except VersionGoneError as error:
                watcher.cut = f"too slow: {error}"
                return b""
        channel = watcher.channel
        if watcher.cursor < channel.base:
            behind = channel.base - watcher.cursor
            watcher.cut = f"too slow: {behind} events that it had not taken are no longer kept"
            return b""
        if watcher.cursor == channel.end():
            channel.idle[watcher] = None
            return b""
        watcher.cursor, data = channel.piece(watcher.cursor, self.limits.piece)
        if watcher.cursor == channel.end() and len(channel.lines) > 64:
            channel.trim(self.limits.lines)
        return data

    def again(self, watcher: Watcher) -> bool:
        """Has the watcher woken once more if there is more to take; False: there is not."""
        if not self.behind(watcher):
            return False
        self.awake[watcher] = None
        return True

    def remind(self, watcher: Watcher) -> None:
        """Has the watcher woken in its turn although there is no news."""
        self.awake[watcher] = None

    def behind(self, watcher: Watcher) -> bool:
        return watcher.early is not None or watcher.cursor < watcher.channel.end()

    def stalled(self, now: float) -> list[Watcher]:
        """Watchers that have taken nothing for too long although there was news; each is marked as cut."""
        found = []
        for channel in self.channels.values():
            for watcher in channel.watchers:
                waited = now - watcher.progress_at
                late = watcher.cut is None and waited > self.limits.stall_ms
                if late and self.behind(watcher) and self.blocked(watcher):
                    watcher.cut = f"too slow: nothing was read for {waited / 1000.0:.0f} s"
                    found.append(watcher)
        return found

    def wake(self, most: int) -> int:
        """Wakes the next watchers that have news, at most so many; gives how many still wait."""
        for watcher in list(islice(self.awake, most)):
            del self.awake[watcher]
            watcher.wake()
        return len(self.awake)


def bookmark(version: str) -> bytes:
    return wrap("BOOKMARK", encode({"resourceVersion": version}))


def problem_line(status: int, title: str, detail: str) -> bytes:
    return wrap("ERROR", encode(Problem(title=title, status=status, detail=detail)))

"""Versioned resources: each kind a sorted map that can be read at any version of a bounded past. Pure state.

One counter numbers all changes. Each change is an Event in its kind's log, which holds the last `max_events`
of them; each Record points at the one before it, so that a list in many pages shows one instant although the
resources go on changing (multi-version concurrency control). What falls out of the log takes its old Records
with it. The alternative, a copy of the map for each list, is measured in benchmarks/watch_index.py."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
from sortedcontainers import SortedDict

from glencleat.rest.selector import Selector, index_terms, matches

Key = tuple[str, ...]  # the tenant first, where a kind has one
MAX_SCANNED_KEYS = 2_000  # keys that one page looks at, whether they match or not


class VersionGoneError(Exception):
    """The version is older than what the log holds, or is another process's; list again (410)."""


class ResourceRecord(msgspec.Struct, eq=False, gc=False):
    """One resource from `version` on; `value` None: deleted. `labels`: what selectors see.

    Records and Events form chains and no cycles, and are too many for the garbage collector to go through."""

    key: Key
    version: int
    value: Any
    labels: Mapping[str, str]
    previous: ResourceRecord | None = None
    encoded: bytes | None = None  # filled by whoever writes it first


class VersionEvent(msgspec.Struct, eq=False, gc=False):
    kind: str
    version: int
    record: ResourceRecord
    previous: ResourceRecord | None
    lines_by_type: dict[str, bytes] | None = (
        None  # its line of a watch, by type; filled by whoever writes it first
    )

    def type_for(self, selector: Selector) -> str | None:
        """What the change is to a watcher of the selector; None: nothing."""
        now = self.record.value is not None and matches(selector, self.record.labels)
        before = self.previous is not None and self.previous.value is not None
        before = before and matches(selector, self.previous.labels)  # type: ignore[union-attr]
        if now:
            return "MODIFIED" if before else "ADDED"
        return "DELETED" if before else None


class KindStore:
    """One kind's resources and log."""

    def __init__(self, most: int) -> None:
        self.max_events = most
        self.records: SortedDict[Key, ResourceRecord] = SortedDict()
        self.log: list[VersionEvent] = []
        self.log_start = 0  # of the log's list; what lies before it is out
        self.compacted_version = 0  # the newest version that can't be resumed before
        self.live_count = 0
        # (label, value) -> keys of which a Record that can still be read has it, and how many do
        self.keys_by_label: dict[tuple[str, str], dict[Key, int]] = {}

    def update_index(self, record: ResourceRecord, change: int) -> None:
        """Counts a Record in (1) or out (-1) of what its labels find."""
        if record.value is None:
            return
        for label in record.labels.items():
            keys = self.keys_by_label.setdefault(label, {})
            count = keys.get(record.key, 0) + change
            if count:
                keys[record.key] = count
                continue
            del keys[record.key]
            if not keys:
                del self.keys_by_label[label]

    def candidate_keys(self, selector: Selector, after: Key | None, tenant: str | None) -> Iterable[Key]:
        """Keys that may match, in order: those of the rarest wanted label, or all where none is wanted."""
        wanted = [self.keys_by_label.get(label, {}) for label in index_terms(selector)]
        if wanted:
            _, _, rarest = min((len(keys), number, keys) for number, keys in enumerate(wanted))
            found = sorted(rarest)
            if tenant is not None:
                found = [key for key in found if key[0] == tenant]
            return found if after is None else found[bisect_right(found, after) :]
        low = after if after is not None else (tenant,) if tenant is not None else None
        high = (tenant + "\0",) if tenant is not None else None
        return self.records.irange(low, high, inclusive=(after is None, False))

    def append_event(self, event: VersionEvent) -> None:
        self.log.append(event)
        while len(self.log) - self.log_start > self.max_events:
            self._compact(self.log[self.log_start])
            self.log_start += 1
        if self.log_start > self.max_events:
            del self.log[: self.log_start]
            self.log_start = 0

    def _compact(self, event: VersionEvent) -> None:
        self.compacted_version = event.version
        if event.previous is not None:
            self.update_index(event.previous, -1)
        event.record.previous = event.previous = None
        if event.record.value is None and self.records.get(event.record.key) is event.record:
            del self.records[event.record.key]

    def events_since(self, version: int) -> list[VersionEvent]:
        at = bisect_right(self.log, version, lo=self.log_start, key=lambda event: event.version)
        return self.log[at:]


class VersionStore:
    """All kinds. A version as clients see it is `EPOCH-NUMBER`: another process's is never taken for ours."""

    def __init__(self, epoch: str, kinds: Mapping[str, int]) -> None:
        self.epoch, self.current_version = epoch, 0
        self.stores_by_kind = {name: KindStore(most) for name, most in kinds.items()}

    def format_version(self, number: int | None = None) -> str:
        return f"{self.epoch}-{self.current_version if number is None else number}"

    def parse_version(self, text: str) -> int:
        """The number of a version that a client gives back; raises Gone, or ValueError if it is none."""
        epoch, dash, number = text.rpartition("-")
        shaped = dash and epoch.isalnum() and number.isascii() and number.isdigit()
        if not shaped or len(number) > 18:
            raise ValueError(f"resourceVersion is {text[:40]!r}; expected one that this server told")
        if epoch != self.epoch:
            raise VersionGoneError("the resourceVersion is another process's; list again")
        if int(number) > self.current_version:
            raise ValueError(f"resourceVersion {text[:40]!r} is yet to come")
        return int(number)

    def put(self, kind: str, key: Key, value: Any, labels: Mapping[str, str]) -> VersionEvent | None:
        """A new state of a resource; None where nothing changed. Values compare by their fields."""
        store = self.stores_by_kind[kind]
        before = store.records.get(key)
        if before is not None and before.value == value and before.labels == labels:
            return None
        store.live_count += before is None or before.value is None
        return self._change(
            store, kind, ResourceRecord(key, self.current_version + 1, value, labels, before), before
        )

    def delete(self, kind: str, key: Key) -> VersionEvent | None:
        store = self.stores_by_kind[kind]
        before = store.records.get(key)
        if before is None or before.value is None:
            return None
        store.live_count -= 1
        return self._change(
            store, kind, ResourceRecord(key, self.current_version + 1, None, before.labels, before), before
        )

    def _change(
        self, store: KindStore, kind: str, record: ResourceRecord, before: ResourceRecord | None
    ) -> VersionEvent:
        self.current_version = record.version
        store.records[record.key] = record
        store.update_index(record, 1)
        event = VersionEvent(kind, record.version, record, before)
        store.append_event(event)
        return event

    def get(self, kind: str, key: Key) -> ResourceRecord | None:
        record = self.stores_by_kind[kind].records.get(key)
        return record if record is not None and record.value is not None else None

    def events_since(self, kind: str, version: int) -> list[VersionEvent]:
        """What happened after a version; raises Gone."""
        store = self.stores_by_kind[kind]
        if version < store.compacted_version:
            raise VersionGoneError(f"resourceVersion {self.format_version(version)} is too old; list again")
        return store.events_since(version)

    def read_page(
        self,
        kind: str,
        version: int,
        selector: Selector,
        limit: int,
        after: Key | None = None,
        tenant: str | None = None,
    ) -> tuple[list[ResourceRecord], Key | None]:
        """Resources as they were at the version, in order of their keys, and the key to go on after.

        A page ends early, with a key to go on after, when many in a row don't match. Raises Gone."""
        store = self.stores_by_kind[kind]
        if version < store.compacted_version:
            raise VersionGoneError("the list took too long: its resourceVersion is too old; list again")
        found = list[ResourceRecord]()
        scanned = 0
        for key in store.candidate_keys(selector, after, tenant):
            if len(found) == limit or scanned == MAX_SCANNED_KEYS:
                return found, after
            after, scanned = key, scanned + 1
            record: ResourceRecord | None = store.records[key]
            while record is not None and record.version > version:
                record = record.previous
            if record is not None and record.value is not None and matches(selector, record.labels):
                found.append(record)
        return found, None

"""Versioned resources: each kind is a sorted map that can be read at any recent version. Pure state.

One counter numbers all changes. Each change is an event in the log of its kind, which keeps the last
`max_events` events. Each record links to its predecessor, so that a list in many pages shows one instant
while the resources go on changing (multi-version concurrency control). When an event drops out of the log,
the record that it replaced is dropped too. The alternative, a copy of the map for each list, is measured in
benchmarks/watch_index.py.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
from sortedcontainers import SortedDict

from glencleat.rest.selector import Selector, index_terms, matches

Key = tuple[str, ...]  # begins with the tenant if the kind has tenants
MAX_SCANNED_KEYS = 2_000  # limit of keys read for one page, matching or not


class VersionGoneError(Exception):
    """The version is older than the log or belongs to another process; the client has to list again (410)."""


class ResourceRecord(msgspec.Struct, eq=False, gc=False):
    """One resource from `version` on; `value` is None if deleted, `labels` are what selectors match.

    Records and events form chains and no cycles, and are too many for the garbage collector to traverse.
    """

    key: Key
    version: int
    value: Any
    labels: Mapping[str, str]
    previous: ResourceRecord | None = None
    encoded: bytes | None = None  # JSON, cached by the first reader


class VersionEvent(msgspec.Struct, eq=False, gc=False):
    """One change of a resource."""

    kind: str
    version: int
    record: ResourceRecord
    previous: ResourceRecord | None
    lines_by_type: dict[str, bytes] | None = None  # encoded watch lines, cached by the first writer

    def type_for(self, selector: Selector) -> str | None:
        """The type of the change for a watcher with the selector; None if it doesn't concern the watcher."""
        now = self.record.value is not None and matches(selector, self.record.labels)
        before = self.previous is not None and self.previous.value is not None
        before = before and matches(selector, self.previous.labels)  # type: ignore[union-attr]
        if now:
            return "MODIFIED" if before else "ADDED"
        return "DELETED" if before else None


class KindStore:
    """The resources and the event log of one kind."""

    def __init__(self, max_events: int) -> None:
        self.max_events = max_events
        self.records: SortedDict[Key, ResourceRecord] = SortedDict()
        self.log: list[VersionEvent] = []
        self.log_start = 0  # index of the oldest event kept; entries before it are dropped in bulk
        self.compacted_version = 0  # the oldest version from which a watch can be resumed
        self.live_count = 0
        # (label, value) -> keys with readable records that have the label, and how many records those are
        self.keys_by_label: dict[tuple[str, str], dict[Key, int]] = {}

    def update_index(self, record: ResourceRecord, change: int) -> None:
        """Adds a record to the label index (1) or removes it (-1)."""
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
        """Keys that may match, in order: those of the rarest required label, or all if none is required."""
        key_sets = [self.keys_by_label.get(label, {}) for label in index_terms(selector)]
        if key_sets:
            _, _, rarest = min((len(keys), number, keys) for number, keys in enumerate(key_sets))
            candidates = sorted(rarest)
            if tenant is not None:
                candidates = [key for key in candidates if key[0] == tenant]
            return candidates if after is None else candidates[bisect_right(candidates, after) :]
        lower = after if after is not None else (tenant,) if tenant is not None else None
        upper = (tenant + "\0",) if tenant is not None else None
        return self.records.irange(lower, upper, inclusive=(after is None, False))

    def append_event(self, event: VersionEvent) -> None:
        """Appends to the log and drops the oldest events above the limit."""
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
        """The events after a version, which the log must still cover."""
        position = bisect_right(self.log, version, lo=self.log_start, key=lambda event: event.version)
        return self.log[position:]


class VersionStore:
    """The resources of all kinds.

    A version has the form `EPOCH-NUMBER` for clients, so that a version of another process is recognized.
    """

    def __init__(self, epoch: str, max_events_by_kind: Mapping[str, int]) -> None:
        self.epoch, self.current_version = epoch, 0
        self.stores_by_kind = {name: KindStore(max_events) for name, max_events in max_events_by_kind.items()}

    def format_version(self, number: int | None = None) -> str:
        """The version as clients see it; without a number, the current one."""
        return f"{self.epoch}-{self.current_version if number is None else number}"

    def parse_version(self, text: str) -> int:
        """The number of a client's version; raises VersionGoneError, or ValueError if it is malformed."""
        epoch, dash, number = text.rpartition("-")
        is_well_formed = dash and epoch.isalnum() and number.isascii() and number.isdigit()
        if not is_well_formed or len(number) > 18:
            raise ValueError(f"resourceVersion is {text[:40]!r}; expected one that this server told")
        if epoch != self.epoch:
            raise VersionGoneError("the resourceVersion is another process's; list again")
        if int(number) > self.current_version:
            raise ValueError(f"resourceVersion {text[:40]!r} is yet to come")
        return int(number)

    def put(self, kind: str, key: Key, value: Any, labels: Mapping[str, str]) -> VersionEvent | None:
        """Stores a new state of a resource; None if nothing changed. Values are compared by their fields."""
        store = self.stores_by_kind[kind]
        before = store.records.get(key)
        if before is not None and before.value == value and before.labels == labels:
            return None
        store.live_count += before is None or before.value is None
        return self._apply_change(
            store, kind, ResourceRecord(key, self.current_version + 1, value, labels, before), before
        )

    def delete(self, kind: str, key: Key) -> VersionEvent | None:
        """Deletes a resource; None if it doesn't exist."""
        store = self.stores_by_kind[kind]
        before = store.records.get(key)
        if before is None or before.value is None:
            return None
        store.live_count -= 1
        return self._apply_change(
            store, kind, ResourceRecord(key, self.current_version + 1, None, before.labels, before), before
        )

    def _apply_change(
        self, store: KindStore, kind: str, record: ResourceRecord, before: ResourceRecord | None
    ) -> VersionEvent:
        self.current_version = record.version
        store.records[record.key] = record
        store.update_index(record, 1)
        event = VersionEvent(kind, record.version, record, before)
        store.append_event(event)
        return event

    def get(self, kind: str, key: Key) -> ResourceRecord | None:
        """The current record of a resource; None if it doesn't exist."""
        record = self.stores_by_kind[kind].records.get(key)
        return record if record is not None and record.value is not None else None

    def events_since(self, kind: str, version: int) -> list[VersionEvent]:
        """The events after a version; raises VersionGoneError."""
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
        """Resources as they were at the version, in key order, and the key to continue after.

        A page ends early, with a key to continue after, when too many keys were scanned. Raises
        VersionGoneError.
        """
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

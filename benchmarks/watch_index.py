"""The structures of the REST front against plain ones: the channels' index, versions, the label index of lists.

python -m benchmarks.watch_index"""

import time
from random import Random

from benchmarks.common import table
from glencleat.rest import schema as s
from glencleat.rest import watches
from glencleat.rest.selector import matches, parse_selector
from glencleat.rest.version_store import VersionStore

EVENTS, TASKS = 4_000, 20_000


def value(name: str, number: int) -> s.Service:
    return s.Service(tenant="t", name=name, waiting=number)


def labels(number: int, kinds: int) -> dict[str, str]:
    return {
        ".service": f"s{number % kinds}",
        ".state": f"st{number % 3}",
        "app": f"a{number % 7}",
        "owner": f"o{number % 11}",
    }


def index(watchers: int, same: bool) -> list[str]:
    """Microseconds an event: each watcher's filter asked, and channels found by the index."""
    kinds = 1 if same else watchers
    random = Random(3)
    told = VersionStore("e", {"k": EVENTS})
    hub = watches.WatchChannels(
        watches.WatchLimits(watchers, watchers, max_lines=EVENTS), told.format_version
    )
    asked = []
    for i in range(watchers):
        selector = parse_selector(f".service=s{i % kinds},.state!=st2")
        asked.append(selector)
        hub.take_chunk(hub.add_watcher(("k", "t", selector), None, 0.0), 0.0)
    events = []
    for _ in range(EVENTS):
        number = random.randrange(10 * max(1, kinds))
        events.append(told.put("k", ("t", f"n{number}"), value("n", random.random()), labels(number, kinds)))
    some = events[: max(20, min(EVENTS, 400_000 // watchers))]
    began, hits = time.perf_counter(), 0
    for event in some:
        for selector in asked:
            now = matches(selector, event.record.labels)
            before = event.previous is not None and matches(selector, event.previous.labels)
            hits += now or before
    plain = (time.perf_counter() - began) / len(some)
    began = time.perf_counter()
    for event in events:
        hub.publish(event, 0.0)
    made = (time.perf_counter() - began) / len(events)
    name = "the same selector" if same else "a service each"
    return [
        f"{watchers:,}, {name}",
        f"{1e6 * plain:,.0f}",
        f"{1e6 * made:,.1f}",
        f"{plain / made:,.0f}",
        f"{hits / len(some):.1f}",
    ]


def lists() -> list[list[str]]:
    """Milliseconds for a list of 20,000 resources in pages of 500, 100 changes between two pages."""
    random = Random(4)
    told = VersionStore("e", {"k": 50_000})
    for i in range(TASKS):
        told.put("k", ("t", f"n{i:05}"), value("n", i), labels(i, 200))

    def change():
        for _ in range(100):
            number = random.randrange(TASKS)
            told.put("k", ("t", f"n{number:05}"), value("n", random.random()), labels(number, 200))

    def walk(selector, page):
        total, after, count = 0.0, None, 0
        while True:
            began = time.perf_counter()
            found, after = page(selector, after)
            total, count = total + time.perf_counter() - began, count + len(found)
            if after is None:
                return 1e3 * total, count
            change()

    copied: dict[str, list] = {}

    def by_copy(selector, after):
        if after is None:
            copied["all"] = [
                (k, r) for k, r in told.stores_by_kind["k"].records.items() if matches(selector, r.labels)
            ]
        start = 0 if after is None else after
        part = copied["all"][start : start + 500]
        return part, start + 500 if start + 500 < len(copied["all"]) else None

    rows = []
    for text in ("", ".service=s7"):
        selector = parse_selector(text)
        version = told.number

        def by_versions(selector, after, version=version):
            return told.read_page("k", version, selector, 500, after, "t")

        plain, many = walk(selector, by_copy)
        made, same = walk(selector, by_versions)
        assert many == same
        held = f"{many:,} references a list" if text == "" else "the matching ones"
        rows.append([text or "all", f"{many:,}", f"{plain:.1f}", f"{made:.1f}", f"{plain / made:.2f}", held])
    return rows


def main() -> None:
    rows = [
        index(n, same)
        for n, same in ((10, False), (100, False), (1_000, False), (5_000, False), (1_000, True))
    ]
    head = [
        "watchers",
        "filter each, us an event",
        "index, us an event",
        "filter / index",
        "watchers concerned",
    ]
    table(
        "watch-index",
        "Finding the watchers of an event",
        f"{EVENTS:,} events, two terms a selector, seed 3",
        head,
        rows,
    )
    head = [
        "selector",
        "found",
        "copy at the first page, ms",
        "versions and label index, ms",
        "copy / versions",
        "a copy holds",
    ]
    notes = "Versions need no copy kept for a reader that may never come back; the first page of a copy takes it all at once."
    table(
        "rest-lists",
        "Consistent lists in pages of 500",
        f"{TASKS:,} resources, 100 changes between pages, seed 4",
        head,
        lists(),
        notes,
    )


if __name__ == "__main__":
    main()

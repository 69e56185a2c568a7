"""Seeded event streams on the simulator's wire protocol, and an adapter's replies to them.

Nothing here imports the scheduler: a stream is lines of text in and out, so that it can compare two versions
of the program whose Python names differ. `Day` simulates the simulator for several allocators over one fleet
of hosts. It depends only on the replies and on `random.Random`, and sends every kind of event of the wire."""

from __future__ import annotations

import hashlib
import heapq
import itertools
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

Line = list[Any]
Adapter = Callable[[str], str]  # text of one batch -> text of its reply

TICK_MS = 2.0
START_MS = 1_000_000.0
HOST_KINDS = {"standard": (16, 32.0), "large": (32, 64.0)}
ZONES = ("zone-a", "zone-b", "zone-c")
# name, effect, group, priority, domain of spread, most tasks in one such domain, machine kind index
CLASSES = (
    ("front", "pure", "all", 0, "off", 0, -1),
    ("urgent", "pure", "all", 2, "off", 0, -1),
    ("copy", "token", "zone", 0, "off", 0, -1),
    ("copy-cell", "token", "cell", 0, "off", 0, -1),
    ("copy-all", "token", "all", 0, "off", 0, -1),
    ("compact", "side_effect", "all", 1, "off", 0, -1),
    ("spread", "pure", "all", 0, "machine", 1, -1),
    ("spread-zone", "pure", "all", 0, "zone", 4, -1),
    ("large-only", "pure", "all", 0, "off", 0, 1),
)
REJECTED, TIMED_OUT, UNREACHABLE, COMPLETED, ERROR, LOST, STOPPED, NOT_SENT = 2, 3, 4, 1, 0, 5, 6, 7


@dataclass
class Call:
    """An open call of one allocator."""

    task_class: str
    service: str
    attempts: int = 0
    is_attempt_in_flight: bool = False
    is_abandoned: bool = False


@dataclass
class Allocator:
    """The simulator's state of one instance."""

    name: str
    number: int
    calls: dict[int, Call] = field(default_factory=dict)
    running: dict[int, tuple[int, str]] = field(default_factory=dict)  # call -> attempt, host
    revision: int = 0
    incarnation: int = 0


class Day:
    """One seeded stream: `next_batch` returns the lines of a batch, `handle_reply` reacts to its reply."""

    def __init__(self, seed: int, allocators: int, hosts: int, services: int, gap_ms: float) -> None:
        """`gap_ms`: mean time between two random events, over all allocators."""
        self.random = random.Random(seed)
        self.gap_ms = gap_ms
        self.services = services
        self.now = START_MS
        self.order = itertools.count()
        self.call_numbers = itertools.count(1)
        self.host_numbers = itertools.count(hosts)
        self.directory_numbers = itertools.count()
        self.due_events: list[tuple[float, int, Callable[[], list[Line]]]] = []
        self.settings = self._draw_settings(allocators)
        self.hosts = {f"host-{i}": self._entry(f"host-{i}", i) for i in range(hosts)}
        self.removed_names: list[str] = []
        self.allocators = [Allocator(f"allocator_{i}", i) for i in range(allocators)]
        self.by_name = {allocator.name: allocator for allocator in self.allocators}
        for allocator in self.allocators:
            self._schedule(0.0, lambda allocator=allocator: self._start_instance(allocator))
        self._schedule(TICK_MS, self._draw_event)

    # ---- settings and hosts ----

    def _draw_settings(self, allocators: int) -> dict[str, Any]:
        draw = self.random.random
        classes = [
            {
                "name": name,
                "effect": effect,
                "group": group,
                "goal-time-ms": 600.0 if name == "urgent" else 1_000.0,
                "deadline-ms": 8_000.0,
                "late-worth": 0.1,
                "memory-span-ms": 5_000.0,
                "worth": 3.0 if name == "urgent" else 1.0,
                "lasting": True,
            }
            for name, effect, group, *_ in CLASSES
        ]
        return {
            "az": ZONES[0],
            "classes": classes,
            "kinds": list(HOST_KINDS),
            "discovery": "ask" if draw() < 0.5 else "push",
            "peers-total": allocators,
            "resolution-ms": TICK_MS,
            "domain": {
                "accepts-memory": 1.5,
                "cpu-booking": 2.0,
                "calm-level": [0.7 if name == "urgent" else 1.0 for name, *_ in CLASSES],
                "class-fade": [0.3 for _ in CLASSES],
                "class-most": [most for *_, most, _ in CLASSES],
                "cores-by-kind": [cores for cores, _ in HOST_KINDS.values()],
                "kind-memory": [memory for _, memory in HOST_KINDS.values()],
                "fresh-offers": 10.0,
                "needs-kind": [kind for *_, kind in CLASSES],
                "precedence": [priority for _, _, _, priority, *_ in CLASSES],
                "report-counts": "used" if draw() < 0.3 else "asked",
                "says-yes": "running" if draw() < 0.3 else "accepted",
                "settle-ms": 500.0,
                "spread-by": [place for *_, place, _, _ in CLASSES],
                "start-seconds": [2.0 for _ in CLASSES],
                "tells-pressure": True,
                "view": draw() < 0.6,
            },
            "feedback": {
                "fields": ["x0", "x1", "busy", "q"],
                "how": "on_probe" if draw() < 0.5 else "inline",
            },
            "limits": {
                "max-attempts": 4,
                "probes": draw() < 0.6,
                "retry-after": True,
                "max-retry-after-ms": 3_000.0,
            },
            "prices": {"cross-zone": 0.1 if draw() < 0.5 else 0.0, "fleet": 0.15},
            "rules": {
                "stop-sending-within-ms": 2_000.0,
                "warm-within-ms": 10_000.0,
                "overload-for-ms": 1_000.0,
            },
            "customers": [{"name": f"tenant-{i}"} for i in range(3)],
        }

    def _entry(self, name: str, number: int, phase: str = "SERVING") -> Line:
        kind = "large" if number % 5 == 0 else "odd" if number % 97 == 13 else "standard"
        ready = (
            None if self.random.random() < 0.7 else round(self.now - self.random.uniform(0.0, 20_000.0), 3)
        )
        cores, memory = self.random.uniform(-2.0, 16.0), self.random.uniform(0.0, 32.0)
        place = [ZONES[number % len(ZONES)], number // 3 % 4]
        return [1.0, round(memory, 3), kind, phase, name, round(cores, 3), *place, ready]

    # ---- clock ----

    def _schedule(self, delay_ms: float, make_lines: Callable[[], list[Line]]) -> None:
        heapq.heappush(self.due_events, (self.now + delay_ms, next(self.order), make_lines))

    def next_batch(self) -> list[Line]:
        """The batch of the next tick that has events, from BEGIN_BATCH to EOB."""
        lines: list[Line] = []
        while not lines:
            self.now = max(self.now + TICK_MS, TICK_MS * -(-self.due_events[0][0] // TICK_MS))
            while self.due_events and self.due_events[0][0] <= self.now:
                lines.extend(heapq.heappop(self.due_events)[2]())
        return [["BEGIN_BATCH", self.now, next(self.order)], *lines, ["EOB"]]

    def _draw_event(self) -> list[Line]:
        self._schedule(self.random.expovariate(1.0 / self.gap_ms), self._draw_event)
        allocator, draw = self.random.choice(self.allocators), self.random.random()
        if draw < 0.12:
            return self._change_fleet()
        if draw < 0.13:
            return self._restart(allocator)
        if draw < 0.14:
            return self._send_list(allocator, "full" if self.random.random() < 0.6 else "failed")
        if draw < 0.15:
            return [["MEMO", allocator.name, 0, "aGVsbG8="]]
        if draw < 0.45 and allocator.running:
            return self._observe_task(allocator)
        if draw < 0.48 and allocator.calls:
            return self._abandon_call(allocator)
        if draw < 0.52:
            return self._adopt(allocator)
        return self._request_placement(allocator)

    # ---- events ----

    def _start_instance(self, allocator: Allocator) -> list[Line]:
        allocator.incarnation += 1
        config = {**self.settings, "position": allocator.number, "az": ZONES[allocator.number % len(ZONES)]}
        seed = 1_000 * allocator.incarnation + allocator.number
        return [["NEW_INSTANCE", allocator.name, seed, config], *self._send_list(allocator, "cached")]

    def _restart(self, allocator: Allocator) -> list[Line]:
        allocator.calls.clear()
        allocator.running.clear()
        return [["SHUTDOWN", allocator.name], *self._start_instance(allocator)]

    def _send_list(self, allocator: Allocator, kind: str, entries: list[Line] | None = None) -> list[Line]:
        allocator.revision += 1
        if kind == "failed":
            return [["REGISTRY", allocator.name, allocator.revision, 0, kind]]
        if entries is None:
            entries = [entry for entry in self.hosts.values() if self.random.random() < 0.97]
        directory = next(self.directory_numbers) % 16
        return [
            ["DIRECTORY", directory, entries],
            ["REGISTRY", allocator.name, allocator.revision, directory, kind],
        ]

    def _change_fleet(self) -> list[Line]:
        """Sends a delta of one or many hosts to all: added, returned, draining, removed, other load."""
        count = 1 if self.random.random() < 0.9 else self.random.randrange(2, 4 + len(self.hosts) // 8)
        changed: dict[str, Line] = {}
        for _ in range(count):
            entry = self._changed_host(self.random.random())
            changed[entry[4]] = entry
        entries = list(changed.values())
        for allocator in self.allocators:
            delay_ms = self.random.uniform(0.0, 40.0)
            self._schedule(delay_ms, lambda allocator=allocator: self._send_list(allocator, "delta", entries))
        return []

    def _changed_host(self, draw: float) -> Line:
        if draw < 0.3 and len(self.hosts) > 3:
            name = self.random.choice(list(self.hosts))
            entry = list(self.hosts.pop(name))
            entry[3] = "DELETED"
            self.removed_names.append(name)
            return entry
        if draw < 0.55 and self.removed_names:
            name = self.removed_names.pop(self.random.randrange(len(self.removed_names)))
            self.hosts[name] = self._entry(name, int(name[5:]))
            return self.hosts[name]
        if draw < 0.65:
            number = next(self.host_numbers)
            name = f"host-{number}"
            self.hosts[name] = self._entry(name, number)
            return self.hosts[name]
        name = self.random.choice(list(self.hosts))
        phase = "DRAINING" if draw < 0.75 else "SERVING"
        self.hosts[name] = self._entry(name, int(name[5:]), phase)
        return self.hosts[name]

    def _draw_task(self) -> tuple[str, str, float, float]:
        task_class = self.random.choice(CLASSES)[0]
        rank = min(int(self.random.expovariate(4.0 / self.services)), self.services - 1)
        return (
            task_class,
            f"service-{rank}",
            self.random.choice([0.2, 1.0, 4.0]),
            self.random.choice([0.5, 2.0, 8.0]),
        )

    def _request_placement(
        self, allocator: Allocator, retried: tuple[str, str, float, float] | None = None, flags: int = 0
    ) -> list[Line]:
        call, task = next(self.call_numbers), retried or self._draw_task()
        task_class, service, cores, memory = task
        allocator.calls[call] = Call(task_class, service)
        remaining_ms = 8_000.0 - (200.0 if self.random.random() < 0.1 else 0.0)
        tenant = f"tenant-{call % 3}" if call % 4 else 0
        rest = [f"task-{call}", remaining_ms, 5_000.0, service, cores, memory, flags]
        return [["ARRIVAL", allocator.name, call, task_class, tenant, *rest]]

    def _adopt(self, allocator: Allocator) -> list[Line]:
        call, (task_class, service, cores, memory) = next(self.call_numbers), self._draw_task()
        host = self.random.choice([*self.hosts, "host-unlisted"])
        allocator.calls[call] = Call(task_class, service, attempts=1, is_attempt_in_flight=True)
        self._record_running(allocator, call, 0, host)
        rest = [host, 5_000.0, memory, f"task-{call}"]
        return [
            [
                "OPEN",
                allocator.name,
                call,
                cores,
                1,
                service,
                8_000.0,
                f"tenant-{call % 3}",
                task_class,
                *rest,
            ]
        ]

    def _observe_task(self, allocator: Allocator) -> list[Line]:
        call = self.random.choice(list(allocator.running))
        attempt, host = allocator.running[call]
        value = round(self.random.uniform(0.0, 1.5), 4)
        return [["STATUS_NOTE", allocator.name, call, self.random.randint(1, 6), host, value, attempt]]

    def _abandon_call(self, allocator: Allocator) -> list[Line]:
        call = self.random.choice(list(allocator.calls))
        allocator.calls[call].is_abandoned = True
        # The reply to this batch may still contain an attempt from before the LEFT was handled.
        self._schedule_unless_ended(allocator, 0.0, lambda: self._forget_abandoned(allocator, call), call)
        return [["LEFT", allocator.name, call]]

    def _forget_abandoned(self, allocator: Allocator, call: int) -> list[Line]:
        if not allocator.calls[call].is_attempt_in_flight:
            del allocator.calls[call]
        return []

    def _report(self) -> dict[str, float]:
        report = {"busy": round(self.random.random(), 4), "q": self.random.randrange(4)}
        if self.random.random() < 0.8:
            report |= {
                "x0": round(self.random.uniform(0.0, 16.0), 3),
                "x1": round(self.random.uniform(0.0, 32.0), 3),
            }
        return report

    # ---- reactions to the allocators' replies ----

    def handle_reply(self, reply: list[Line]) -> None:
        for name, *values in reply:
            if name in ("BIND", "PUSH_BACK", "FAIL") and values[1] not in self.by_name[values[0]].calls:
                continue  # from an instance that was shut down later in the same batch
            if name == "BIND":
                self._start_attempt(self.by_name[values[0]], *values[1:])
            elif name == "SET_TIMER":
                self._set_timer(self.by_name[values[0]], *values[1:])
            elif name == "KEEP_INFORMED":
                self._answer_watch(self.by_name[values[0]])
            elif name == "INSPECT":
                self._answer_probe(self.by_name[values[0]], values[1])
            elif name in ("PUSH_BACK", "FAIL"):
                self._close_call(self.by_name[values[0]], values[1])
            elif name not in ("TRACE", "NEXT", "SHIFT"):
                raise AssertionError(f"unexpected message in a reply: {name} {values}")

    def _schedule_unless_ended(
        self,
        allocator: Allocator,
        delay_ms: float,
        make_lines: Callable[[], list[Line]],
        call: int | None = None,
    ) -> None:
        """Schedules an event that is dropped if the allocator restarts or the call ends before it."""
        incarnation = allocator.incarnation

        def make_lines_unless_ended() -> list[Line]:
            is_known = call is None or call in allocator.calls
            return make_lines() if allocator.incarnation == incarnation and is_known else []

        self._schedule(delay_ms, make_lines_unless_ended)

    def _set_timer(self, allocator: Allocator, delay_ms: float, token: int) -> None:
        self._schedule_unless_ended(allocator, delay_ms, lambda: [["TICK_DUE", allocator.name, token]])

    def _answer_watch(self, allocator: Allocator) -> None:
        kind = "failed" if self.random.random() < 0.3 else "full"
        self._schedule_unless_ended(allocator, 5.0, lambda: self._send_list(allocator, kind))

    def _answer_probe(self, allocator: Allocator, host: str) -> None:
        elapsed_ms = round(self.random.uniform(2.0, 90.0), 3)
        answered = self.random.random() < 0.85
        rest = [COMPLETED, elapsed_ms, self._report()] if answered else [TIMED_OUT, elapsed_ms]
        self._schedule_unless_ended(
            allocator, elapsed_ms, lambda: [["STATUS_BACK", allocator.name, host, *rest]]
        )

    def _close_call(self, allocator: Allocator, call: int) -> None:
        closed = allocator.calls.pop(call)
        if self.random.random() < 0.5 and not closed.is_abandoned:
            retried = closed.task_class, closed.service, 1.0, 2.0
            self._schedule_unless_ended(
                allocator, 100.0, lambda: self._request_placement(allocator, retried, flags=16)
            )

    def _start_attempt(self, allocator: Allocator, number: int, host: str, timeout_ms: float) -> None:
        call = allocator.calls[number]
        attempt, call.attempts = call.attempts, call.attempts + 1
        call.is_attempt_in_flight = True
        draw, elapsed_ms = self.random.random(), round(self.random.uniform(1.0, 150.0), 3)
        if host not in self.hosts or draw < 0.03:
            outcome, reason = UNREACHABLE, None
        elif draw < 0.7:
            self._schedule_unless_ended(
                allocator,
                elapsed_ms,
                lambda: self._accept_attempt(allocator, number, attempt, host, elapsed_ms),
                number,
            )
            return
        elif draw < 0.85:
            outcome, reason = REJECTED, self.random.choice([0, 1, 2, 3, 4])
        else:
            outcome, reason = self.random.choice([TIMED_OUT, LOST, ERROR, NOT_SENT]), None
            elapsed_ms = timeout_ms if outcome == TIMED_OUT else elapsed_ms
        self._schedule_unless_ended(
            allocator,
            elapsed_ms,
            lambda: self._end_attempt(allocator, number, attempt, host, outcome, reason, elapsed_ms),
            number,
        )

    def _accept_attempt(
        self, allocator: Allocator, number: int, attempt: int, host: str, elapsed_ms: float
    ) -> list[Line]:
        self._record_running(allocator, number, attempt, host)
        return [["LANDED", allocator.name, number, attempt, host, elapsed_ms]]

    def _record_running(self, allocator: Allocator, number: int, attempt: int, host: str) -> None:
        allocator.running[number] = attempt, host
        lifetime_ms = round(self.random.expovariate(1.0 / 3_000.0), 3)
        self._schedule_unless_ended(
            allocator,
            lifetime_ms,
            lambda: self._end_task(allocator, number, attempt, host, lifetime_ms),
            number,
        )

    def _end_task(
        self, allocator: Allocator, number: int, attempt: int, host: str, lifetime_ms: float
    ) -> list[Line]:
        del allocator.calls[number], allocator.running[number]
        draw = self.random.random()
        outcome = COMPLETED if draw < 0.8 else LOST if draw < 0.95 else STOPPED
        reason = None if outcome == COMPLETED else self.random.choice([5, 6, 7, 0])
        report = [self._report()] if self.random.random() < 0.3 else []
        return [
            ["RETURNED", allocator.name, number, attempt, reason, outcome, lifetime_ms, True, host, *report]
        ]

    def _end_attempt(
        self,
        allocator: Allocator,
        number: int,
        attempt: int,
        host: str,
        outcome: int,
        reason: int | None,
        elapsed_ms: float,
    ) -> list[Line]:
        call = allocator.calls[number]
        call.is_attempt_in_flight = False
        if call.is_abandoned:
            del allocator.calls[number]
        report = [self._report()] if outcome == REJECTED and self.random.random() < 0.5 else []
        return [
            [
                "RETURNED",
                allocator.name,
                number,
                attempt,
                reason,
                outcome,
                elapsed_ms,
                call.is_abandoned,
                host,
                *report,
            ]
        ]


def as_text(lines: list[Line]) -> str:
    return "".join(json.dumps(line, separators=(",", ":")) + "\n" for line in lines)


def play(day: Day, adapter: Adapter, batches: int, *others: Adapter) -> tuple[str, dict[str, int]]:
    """Passes batches to the adapter; returns the digest of all replies and the count of each message.

    Raises AssertionError at the first reply that differs in one of the other adapters."""
    digest, counts = hashlib.sha256(), dict[str, int]()
    for number in range(batches):
        batch = day.next_batch()
        text = as_text(batch)
        reply = adapter(text)
        for other in others:
            answer = other(text)
            assert answer == reply, (
                f"batch {number} at {day.now}: {reply[:2_000]} differs from {answer[:2_000]}"
            )
        digest.update(reply.encode())
        lines = [json.loads(line) for line in reply.splitlines()]
        for line in (*batch, *lines):
            counts[line[0]] = counts.get(line[0], 0) + 1
        day.handle_reply(lines)
    return digest.hexdigest(), counts

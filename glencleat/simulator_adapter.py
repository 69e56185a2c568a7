"""The bench's wire to the module's types and back: one Scheduler an instance, no decision of its own."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from glencleat import interface as api
from glencleat.platform_settings import PHASES, read_report, read_settings
from glencleat.policy.scheduler import Scheduler

OUTCOMES = {
    0: api.Outcome.ERROR,
    1: api.Outcome.COMPLETED,
    2: api.Outcome.REJECTED,
    3: api.Outcome.TIMED_OUT,
    4: api.Outcome.UNREACHABLE,
    5: api.Outcome.LOST,
    6: api.Outcome.STOPPED,
    7: api.Outcome.NOT_SENT,
}
REASONS = {
    1: api.OutcomeReason.INSUFFICIENT_CORES,
    2: api.OutcomeReason.INSUFFICIENT_MEMORY,
    3: api.OutcomeReason.QUEUE_FULL,
    4: api.OutcomeReason.NOT_ELIGIBLE,
    5: api.OutcomeReason.EVICTED,
    6: api.OutcomeReason.PREEMPTED,
    7: api.OutcomeReason.DRAINED,
}
NOTES = {
    1: api.ObservationKind.RUNNING,
    2: api.ObservationKind.CORES_IN_USE,
    3: api.ObservationKind.MEMORY_IN_USE,
    4: api.ObservationKind.SERVICE_LEVEL,
    5: api.ObservationKind.MACHINE_MEMORY_IN_USE,
}
LISTS = {
    "delta": api.ListUpdateKind.DELTA,
    "full": api.ListUpdateKind.SNAPSHOT,
    "cached": api.ListUpdateKind.SNAPSHOT,
    "failed": api.ListUpdateKind.FAILED,
}
FIELDS = {  # fields each message needs, its name included
    "BEGIN_BATCH": 3,
    "EOB": 1,
    "NEW_INSTANCE": 4,
    "DIRECTORY": 3,
    "REGISTRY": 5,
    "ARRIVAL": 11,
    "STATUS_BACK": 4,
    "TICK_DUE": 3,
    "SHUTDOWN": 2,
    "MEMO": 4,
    "STATUS_NOTE": 6,
    "OPEN": 12,
    "RETURNED": 9,
    "LEFT": 3,
    "LANDED": 6,
}


class WireError(Exception):
    """A line that is not on the wire's page: what was wrong and what was expected."""


def read_machine(row: list[Any]) -> api.Machine:
    _, memory_left, kind, phase, name, cores_left, zone, cell = row[:8]
    ready = row[8] if len(row) > 8 else None
    left = (cores_left or 0.0, memory_left or 0.0)
    return api.Machine(name, kind, zone or "", cell or 0, PHASES[phase], *left, ready or None)


def read_event(line: list[Any], rosters: dict[int, tuple[api.Machine, ...]]) -> api.Event | None:
    """The event of one line about an instance, or None where the module has no use for it."""
    name, values = line[0], line[2:]
    if name == "ARRIVAL":
        call, band, team, _, left, lasts, service, cores, memory = values[:9]
        again = bool((values[9] or 0) & 16) if len(values) > 9 else False
        return api.PlacementRequested(
            call, band, service, cores, memory, left, team or None, lasts, None, again
        )
    if name == "OPEN":
        call, cores, _, service, _, team, band, host, lasts, memory = values[:10]
        return api.PlacementRequested(call, band, service, cores, memory, 0.0, team or None, lasts, host)
    if name == "RETURNED":
        call, attempt, info, how, spent, over, host = values[:7]
        report = read_report(values[7]) if len(values) > 7 else None
        why = REASONS.get(info or 0, api.OutcomeReason.UNSPECIFIED)
        return api.AttemptEnded(
            call, attempt, host, OUTCOMES[how or 0], spent or 0.0, bool(over), why, report
        )
    if name == "LANDED":
        return api.AttemptAccepted(*values[:4])
    if name == "STATUS_NOTE":
        call, topic, host, value = values[:4]
        return api.TaskObserved(call, host, NOTES[topic], value or 0.0) if topic in NOTES else None
    if name == "REGISTRY":
        kind = LISTS[values[2]]
        return api.MachineListUpdated(kind, () if kind is api.ListUpdateKind.FAILED else rosters[values[1]])
    if name == "STATUS_BACK":
        report = read_report(values[3]) if len(values) > 3 else None
        return api.ProbeEnded(values[0], OUTCOMES[values[1] or 0], report)
    if name == "LEFT":
        return api.CallAbandoned(values[0])
    if name == "TICK_DUE":
        return api.TimerFired(values[0])
    return None


WRITERS: dict[type, Callable[[str, Any], list[Any]]] = {
    api.Bind: lambda inst, a: ["BIND", inst, a.call_id, a.machine, a.timeout_ms],
    api.Reject: lambda inst, a: ["PUSH_BACK", inst, a.call_id, a.retry_after_ms],
    api.Fail: lambda inst, a: ["FAIL", inst, a.call_id],
    api.Migrate: lambda inst, a: ["SHIFT", inst, a.call_id],
    api.Probe: lambda inst, a: ["INSPECT", inst, a.machine],
    api.SetTimer: lambda inst, a: ["SET_TIMER", inst, a.delay_ms, a.token],
    api.WatchMachineList: lambda inst, a: ["KEEP_INFORMED", inst, True],
    api.LogMessage: lambda inst, a: ["TRACE", inst, a.text],
}


class Link:
    """Reads batches, keeps one Scheduler an instance, writes their replies."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source, self.sink = source, sink
        self.instances: dict[str, Scheduler] = {}
        self.rosters: dict[int, tuple[api.Machine, ...]] = {}

    def read_line(self) -> list[Any] | None:
        text = self.source.readline()
        while text and not text.strip():
            text = self.source.readline()
        if not text:
            return None
        try:
            line = json.loads(text)
        except ValueError:
            raise WireError(f"not JSON: {text.strip()[:80]!r}; expected one JSON array a line") from None
        if not isinstance(line, list) or not line or not isinstance(line[0], str):
            raise WireError(f"not a message: {text.strip()[:80]!r}; expected an array led by a name")
        if line[0] not in FIELDS:
            raise WireError(f"unknown message {line[0][:40]!r}; expected one of {', '.join(FIELDS)}")
        if len(line) < FIELDS[line[0]]:
            raise WireError(f"{line[0]} has {len(line)} fields; expected at least {FIELDS[line[0]]}")
        return line

    def run(self) -> None:
        while (line := self.read_line()) is not None:
            if line[0] != "BEGIN_BATCH":
                raise WireError(f"{line[0]} outside a batch; expected BEGIN_BATCH")
            if not isinstance(line[1], int | float) or not isinstance(line[2], int):
                raise WireError(f"BEGIN_BATCH with {line[1:3]!r}; expected a clock and a batch number")
            reply = self.batch(float(line[1]))
            reply.append(["NEXT", line[2]])
            self.sink.write("".join(json.dumps(item, separators=(",", ":")) + "\n" for item in reply))
            self.sink.flush()

    def batch(self, now: float) -> list[list[Any]]:
        reply: list[list[Any]] = []
        while True:
            line = self.read_line()
            if line is None:
                raise WireError("input ended within a batch; expected EOB")
            if line[0] == "EOB":
                return reply
            if line[0] == "BEGIN_BATCH":
                raise WireError("BEGIN_BATCH within a batch; expected an event or EOB")
            try:
                self.one(now, line, reply)
            except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
                shown = f"{line[0]} can't be read ({error!r}): {json.dumps(line)[:120]}"
                raise WireError(f"{shown}; expected the fields of the wire's page") from None

    def one(self, now: float, line: list[Any], reply: list[list[Any]]) -> None:
        name = line[0]
        if name == "DIRECTORY":
            self.rosters[line[1]] = tuple(read_machine(row) for row in line[2])
            return
        inst = line[1]
        if name == "NEW_INSTANCE":
            settings = read_settings(line[3])
            self.instances[inst] = Scheduler(settings, line[2])
            return
        if name == "SHUTDOWN":
            self.instances.pop(inst, None)
            return
        event = read_event(line, self.rosters)
        scheduler = self.instances.get(inst)
        if event is None or scheduler is None:
            return
        reply.extend(act(scheduler, inst, now, event))


def act(scheduler: Scheduler, inst: str, now: float, event: api.Event) -> list[list[Any]]:
    """What the module answers; a fault of the module is told to the bench, not raised here."""
    try:
        return [WRITERS[type(action)](inst, action) for action in scheduler.handle(now, event)]
    except Exception as error:  # the wire wants any fault of the module as a message
        where = error.__traceback__
        while where is not None and where.tb_next is not None:
            where = where.tb_next
        line = where.tb_lineno if where is not None else 0
        return [["DIE", inst, f"{type(error).__name__} at line {line}: {error}"]]


def main() -> int:
    try:
        Link(sys.stdin, sys.stdout).run()
    except WireError as error:
        print(f"glencleat.simulator_adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Adapter for the simulator's wire protocol: one Scheduler for each instance, no decisions of its own.

    python -m glencleat.simulator_adapter

Reads batches of JSON arrays, one a line, from standard input, and answers each batch on standard output with
the actions of the schedulers that it addresses. Names and codes of the wire are translated here alone.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from types import TracebackType
from typing import Any, Final, TextIO, TypeAlias, TypeVar

from glencleat import interface as api
from glencleat.platform_settings import PHASES, read_report, read_settings
from glencleat.policy import Scheduler

WireMessage: TypeAlias = list[Any]  # message name, instance (in most messages), fields
Directory: TypeAlias = tuple[api.Machine, ...]  # machines that REGISTRY messages refer to by directory number
T = TypeVar("T")

OUTCOMES: Final = {
    0: api.Outcome.ERROR,
    1: api.Outcome.COMPLETED,
    2: api.Outcome.REJECTED,
    3: api.Outcome.TIMED_OUT,
    4: api.Outcome.UNREACHABLE,
    5: api.Outcome.LOST,
    6: api.Outcome.STOPPED,
    7: api.Outcome.NOT_SENT,
}
REASONS: Final = {
    1: api.OutcomeReason.INSUFFICIENT_CORES,
    2: api.OutcomeReason.INSUFFICIENT_MEMORY,
    3: api.OutcomeReason.QUEUE_FULL,
    4: api.OutcomeReason.NOT_ELIGIBLE,
    5: api.OutcomeReason.EVICTED,
    6: api.OutcomeReason.PREEMPTED,
    7: api.OutcomeReason.DRAINED,
}
OBSERVATION_KINDS: Final = {
    1: api.ObservationKind.RUNNING,
    2: api.ObservationKind.CORES_IN_USE,
    3: api.ObservationKind.MEMORY_IN_USE,
    4: api.ObservationKind.SERVICE_LEVEL,
    5: api.ObservationKind.MACHINE_MEMORY_IN_USE,
}
LIST_UPDATE_KINDS: Final = {
    "delta": api.ListUpdateKind.DELTA,
    "full": api.ListUpdateKind.SNAPSHOT,
    "cached": api.ListUpdateKind.SNAPSHOT,
    "failed": api.ListUpdateKind.FAILED,
}
MIN_FIELDS: Final = {  # by message, its name included
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
RETRY_FLAG: Final = 16  # in the flags of an ARRIVAL: the task is requested again

# Indices of optional fields, counted after the message's name and instance.
ARRIVAL_FLAGS_FIELD: Final = 9
RETURNED_REPORT_FIELD: Final = 7
STATUS_REPORT_FIELD: Final = 3
MACHINE_READY_FIELD: Final = 8  # counted from the start of a DIRECTORY row

MAX_SHOWN_LINE_CHARS: Final = 80  # of a malformed line, in an error
MAX_SHOWN_NAME_CHARS: Final = 40
MAX_SHOWN_MESSAGE_CHARS: Final = 120
EXIT_MALFORMED: Final = 2


class WireError(Exception):
    """Input that violates the wire protocol.

    Args:
        problem: what was found.
        expected: what was expected instead.
    """

    def __init__(self, problem: str, expected: str) -> None:
        super().__init__(f"{problem}; expected {expected}")
        self.problem = problem
        self.expected = expected


def _field_or_none(values: list[T], index: int) -> T | None:
    """The field at this index; None if the message is shorter."""
    return values[index] if len(values) > index else None


def read_machine(row: list[Any]) -> api.Machine:
    """Reads one row of a DIRECTORY message."""
    _, free_memory, kind, phase, name, free_cores, zone, cell = row[:MACHINE_READY_FIELD]
    return api.Machine(
        name=name,
        kind=kind,
        zone=zone or "",
        cell=cell or 0,
        phase=PHASES[phase],
        free_cores=free_cores or 0.0,
        free_memory=free_memory or 0.0,
        ready_at_ms=_field_or_none(row, MACHINE_READY_FIELD) or None,
    )


def _read_arrival(values: list[Any]) -> api.PlacementRequested:
    call_id, task_class, tenant, _, remaining_ms, expected_run_ms, service, cores, memory = values[:9]
    flags = _field_or_none(values, ARRIVAL_FLAGS_FIELD) or 0
    return api.PlacementRequested(
        call_id=call_id,
        task_class=task_class,
        service=service,
        cores=cores,
        memory=memory,
        remaining_ms=remaining_ms,
        tenant=tenant or None,
        expected_run_ms=expected_run_ms,
        is_retry=bool(flags & RETRY_FLAG),
    )


def _read_open(values: list[Any]) -> api.PlacementRequested:
    call_id, cores, _, service, _, tenant, task_class, machine, expected_run_ms, memory = values[:10]
    return api.PlacementRequested(
        call_id=call_id,
        task_class=task_class,
        service=service,
        cores=cores,
        memory=memory,
        tenant=tenant or None,
        expected_run_ms=expected_run_ms,
        machine=machine,
    )


def _read_returned(values: list[Any]) -> api.AttemptEnded:
    call_id, attempt, reason, outcome, elapsed_ms, is_closed, machine = values[:RETURNED_REPORT_FIELD]
    return api.AttemptEnded(
        call_id=call_id,
        attempt=attempt,
        machine=machine,
        outcome=OUTCOMES[outcome or 0],
        elapsed_ms=elapsed_ms or 0.0,
        is_call_closed=bool(is_closed),
        reason=REASONS.get(reason or 0, api.OutcomeReason.UNSPECIFIED),
        report=read_report(_field_or_none(values, RETURNED_REPORT_FIELD)),
    )


def _read_landed(values: list[Any]) -> api.AttemptAccepted:
    call_id, attempt, machine, elapsed_ms = values[:4]
    return api.AttemptAccepted(call_id, attempt, machine, elapsed_ms)


def _read_status_note(values: list[Any]) -> api.TaskObserved | None:
    call_id, topic, machine, value = values[:4]
    if topic not in OBSERVATION_KINDS:
        return None
    return api.TaskObserved(call_id, machine, OBSERVATION_KINDS[topic], value or 0.0)


def _read_status_back(values: list[Any]) -> api.ProbeEnded:
    report = read_report(_field_or_none(values, STATUS_REPORT_FIELD))
    return api.ProbeEnded(values[0], OUTCOMES[values[1] or 0], report)


def _read_left(values: list[Any]) -> api.CallAbandoned:
    return api.CallAbandoned(values[0])


def _read_tick_due(values: list[Any]) -> api.TimerFired:
    return api.TimerFired(values[0])


READERS: Final[dict[str, Callable[[list[Any]], api.Event | None]]] = {
    "ARRIVAL": _read_arrival,
    "OPEN": _read_open,
    "RETURNED": _read_returned,
    "LANDED": _read_landed,
    "STATUS_NOTE": _read_status_note,
    "STATUS_BACK": _read_status_back,
    "LEFT": _read_left,
    "TICK_DUE": _read_tick_due,
}


def read_list_update(values: list[Any], directories: dict[int, Directory]) -> api.MachineListUpdated:
    """Reads a REGISTRY message, with the machines of the directory that it refers to."""
    kind = LIST_UPDATE_KINDS[values[2]]
    if kind is api.ListUpdateKind.FAILED:
        return api.MachineListUpdated(kind)
    return api.MachineListUpdated(kind, directories[values[1]])


def read_event(message: WireMessage, directories: dict[int, Directory]) -> api.Event | None:
    """Reads a message to an instance; None if the policy does not handle it."""
    name = message[0]
    values = message[2:]
    if name == "REGISTRY":
        return read_list_update(values, directories)
    reader = READERS.get(name)
    return reader(values) if reader is not None else None


def write_action(instance: str, action: api.Action) -> WireMessage:
    """Translates an instance's action into a message."""
    match action:
        case api.Bind():
            return ["BIND", instance, action.call_id, action.machine, action.timeout_ms]
        case api.Reject():
            return ["PUSH_BACK", instance, action.call_id, action.retry_after_ms]
        case api.Fail():
            return ["FAIL", instance, action.call_id]
        case api.Migrate():
            return ["SHIFT", instance, action.call_id]
        case api.Probe():
            return ["INSPECT", instance, action.machine]
        case api.SetTimer():
            return ["SET_TIMER", instance, action.delay_ms, action.token]
        case api.WatchMachineList():
            return ["KEEP_INFORMED", instance, True]
        case api.LogMessage():
            return ["TRACE", instance, action.text]


class SimulatorAdapter:
    """Reads batches, keeps a Scheduler for each instance, and writes their replies.

    Args:
        source: lines from the simulator.
        sink: receives the replies; flushed after each batch.
    """

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.schedulers: dict[str, Scheduler] = {}  # by instance
        self.directories: dict[int, Directory] = {}

    def run(self) -> None:
        """Answers batches until the input ends.

        Raises:
            WireError: a line violates the wire protocol.
        """
        while (message := self._read_message()) is not None:
            if message[0] != "BEGIN_BATCH":
                raise WireError(f"{message[0]} outside a batch", "BEGIN_BATCH")
            _, now_ms, number = message[:3]
            if not isinstance(now_ms, int | float) or not isinstance(number, int):
                raise WireError(f"BEGIN_BATCH with {message[1:3]!r}", "a clock value and a batch number")
            replies = self._answer_batch(float(now_ms))
            replies.append(["NEXT", number])
            self.sink.write("".join(json.dumps(reply, separators=(",", ":")) + "\n" for reply in replies))
            self.sink.flush()

    def _read_message(self) -> WireMessage | None:
        """Reads the next message; None at the end of the input. Empty lines are skipped."""
        text = self.source.readline()
        while text and not text.strip():
            text = self.source.readline()
        if not text:
            return None
        shown = repr(text.strip()[:MAX_SHOWN_LINE_CHARS])
        try:
            message = json.loads(text)
        except ValueError as error:
            raise WireError(f"not JSON: {shown}", "one JSON array on each line") from error
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise WireError(f"not a message: {shown}", "a JSON array that begins with a message name")
        name = message[0]
        if name not in MIN_FIELDS:
            raise WireError(
                f"unknown message {name[:MAX_SHOWN_NAME_CHARS]!r}", f"one of {', '.join(MIN_FIELDS)}"
            )
        if len(message) < MIN_FIELDS[name]:
            raise WireError(f"{name} has {len(message)} fields", f"at least {MIN_FIELDS[name]}")
        return message

    def _answer_batch(self, now_ms: float) -> list[WireMessage]:
        """Handles the messages up to the end of the batch, and returns all replies."""
        replies: list[WireMessage] = []
        while True:
            message = self._read_message()
            if message is None:
                raise WireError("input ended within a batch", "EOB")
            if message[0] == "EOB":
                return replies
            if message[0] == "BEGIN_BATCH":
                raise WireError("BEGIN_BATCH within a batch", "an event or EOB")
            try:
                self.handle_message(now_ms, message, replies)
            except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
                shown = json.dumps(message)[:MAX_SHOWN_MESSAGE_CHARS]
                raise WireError(
                    f"{message[0]} can't be read ({error!r}): {shown}",
                    "the fields that the wire protocol defines",
                ) from error

    def handle_message(self, now_ms: float, message: WireMessage, replies: list[WireMessage]) -> None:
        """Handles one message of a batch, and appends its replies."""
        name = message[0]
        if name == "DIRECTORY":
            self.directories[message[1]] = tuple(read_machine(row) for row in message[2])
            return
        instance = message[1]
        if name == "NEW_INSTANCE":
            settings = read_settings(message[3])
            self.schedulers[instance] = Scheduler(settings, message[2])
            return
        if name == "SHUTDOWN":
            self.schedulers.pop(instance, None)
            return
        event = read_event(message, self.directories)
        scheduler = self.schedulers.get(instance)
        if event is not None and scheduler is not None:
            replies.extend(answer_event(scheduler, instance, now_ms, event))


def answer_event(scheduler: Scheduler, instance: str, now_ms: float, event: api.Event) -> list[WireMessage]:
    """Lets the scheduler handle the event and returns its actions as messages; an exception becomes DIE."""
    try:
        return [write_action(instance, action) for action in scheduler.handle(now_ms, event)]
    except Exception as error:  # the protocol reports any exception of the policy as a message
        line = raising_line_number(error.__traceback__)
        return [["DIE", instance, f"{type(error).__name__} at line {line}: {error}"]]


def raising_line_number(traceback: TracebackType | None) -> int:
    """The line number at which an exception was raised; 0 without a traceback."""
    if traceback is None:
        return 0
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    return traceback.tb_lineno


def main() -> int:
    """Runs the adapter on standard input and output, and returns the exit status."""
    try:
        SimulatorAdapter(sys.stdin, sys.stdout).run()
    except WireError as error:
        print(f"glencleat.simulator_adapter: {error}", file=sys.stderr)
        return EXIT_MALFORMED
    return 0


if __name__ == "__main__":
    sys.exit(main())

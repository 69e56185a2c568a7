"""Adapter for the simulator's wire: one Scheduler an instance, no decision of its own.

    python -m glencleat.simulator_adapter

Lines of JSON arrays come on standard input in batches, and each batch is answered on standard output by the
actions of the schedulers that it names. Words and codes of the wire are translated here and nowhere else.
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

WireMessage: TypeAlias = list[Any]  # a name, an instance in most, and the fields of the wire's page
Directory: TypeAlias = tuple[api.Machine, ...]  # the machines that list messages refer to by number
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
MIN_FIELDS: Final = {  # that each message needs, its name included
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
RETRY_FLAG: Final = 16  # of an arrival's flags: it comes again

# Places of fields that a message may lack, counted after its name and instance.
ARRIVAL_FLAGS_FIELD: Final = 9
RETURNED_REPORT_FIELD: Final = 7
STATUS_REPORT_FIELD: Final = 3
MACHINE_READY_FIELD: Final = 8  # counted from the row's begin

SHOWN_TEXT: Final = 80  # characters of a malformed line that an error shows
SHOWN_NAME: Final = 40
SHOWN_MESSAGE: Final = 120
EXIT_MALFORMED: Final = 2


class WireError(Exception):
    """Input that is not on the wire's page.

    Args:
        problem: what was found.
        expected: what should have been there.
    """

    def __init__(self, problem: str, expected: str) -> None:
        super().__init__(f"{problem}; expected {expected}")
        self.problem = problem
        self.expected = expected


def _optional(values: list[T], place: int) -> T | None:
    """The field at this place, None where the message ends before it."""
    return values[place] if len(values) > place else None


def read_machine(row: list[Any]) -> api.Machine:
    """The machine of one row of a DIRECTORY message."""
    _, free_memory, kind, phase, name, free_cores, zone, cell = row[:MACHINE_READY_FIELD]
    return api.Machine(
        name=name,
        kind=kind,
        zone=zone or "",
        cell=cell or 0,
        phase=PHASES[phase],
        free_cores=free_cores or 0.0,
        free_memory=free_memory or 0.0,
        ready_at_ms=_optional(row, MACHINE_READY_FIELD) or None,
    )


def _read_arrival(values: list[Any]) -> api.PlacementRequested:
    call_id, task_class, tenant, _, remaining_ms, expected_run_ms, service, cores, memory = values[:9]
    flags = _optional(values, ARRIVAL_FLAGS_FIELD) or 0
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
        report=read_report(_optional(values, RETURNED_REPORT_FIELD)),
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
    report = read_report(_optional(values, STATUS_REPORT_FIELD))
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
    """The event of a REGISTRY message; its machines are those of the directory that it names."""
    kind = LIST_UPDATE_KINDS[values[2]]
    if kind is api.ListUpdateKind.FAILED:
        return api.MachineListUpdated(kind)
    return api.MachineListUpdated(kind, directories[values[1]])


def read_event(message: WireMessage, directories: dict[int, Directory]) -> api.Event | None:
    """The event of a message about an instance, or None where the policy has no use for it."""
    name = message[0]
    values = message[2:]
    if name == "REGISTRY":
        return read_list_update(values, directories)
    reader = READERS.get(name)
    return reader(values) if reader is not None else None


def write_action(instance: str, action: api.Action) -> WireMessage:
    """The message that carries an instance's action."""
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
    """Reads batches, keeps one Scheduler an instance, writes their replies.

    Args:
        source: lines of the wire, from the simulator.
        sink: where replies are written, flushed after each batch.
    """

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.schedulers: dict[str, Scheduler] = {}  # by instance
        self.directories: dict[int, Directory] = {}

    def run(self) -> None:
        """Answers batches until the input ends.

        Raises:
            WireError: a line that is not on the wire's page.
        """
        while (message := self._read_message()) is not None:
            if message[0] != "BEGIN_BATCH":
                raise WireError(f"{message[0]} outside a batch", "BEGIN_BATCH")
            _, now_ms, number = message[:3]
            if not isinstance(now_ms, int | float) or not isinstance(number, int):
                raise WireError(f"BEGIN_BATCH with {message[1:3]!r}", "a clock and a batch number")
            replies = self._answer_batch(float(now_ms))
            replies.append(["NEXT", number])
            self.sink.write("".join(json.dumps(reply, separators=(",", ":")) + "\n" for reply in replies))
            self.sink.flush()

    def _read_message(self) -> WireMessage | None:
        """The next message, or None at the end of the input; empty lines are skipped."""
        text = self.source.readline()
        while text and not text.strip():
            text = self.source.readline()
        if not text:
            return None
        shown = repr(text.strip()[:SHOWN_TEXT])
        try:
            message = json.loads(text)
        except ValueError as error:
            raise WireError(f"not JSON: {shown}", "one JSON array a line") from error
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise WireError(f"not a message: {shown}", "an array led by a name")
        name = message[0]
        if name not in MIN_FIELDS:
            raise WireError(f"unknown message {name[:SHOWN_NAME]!r}", f"one of {', '.join(MIN_FIELDS)}")
        if len(message) < MIN_FIELDS[name]:
            raise WireError(f"{name} has {len(message)} fields", f"at least {MIN_FIELDS[name]}")
        return message

    def _answer_batch(self, now_ms: float) -> list[WireMessage]:
        """Handles messages up to the batch's end, and gives the replies to all of them."""
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
                shown = json.dumps(message)[:SHOWN_MESSAGE]
                raise WireError(
                    f"{message[0]} can't be read ({error!r}): {shown}", "the fields of the wire's page"
                ) from error

    def handle_message(self, now_ms: float, message: WireMessage, replies: list[WireMessage]) -> None:
        """Carries out one message of a batch, and appends its replies."""
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
    """The messages of a scheduler's actions; a fault of the policy is a message too, and not raised here."""
    try:
        return [write_action(instance, action) for action in scheduler.handle(now_ms, event)]
    except Exception as error:  # the wire wants any fault of the policy as a message
        line = last_line(error.__traceback__)
        return [["DIE", instance, f"{type(error).__name__} at line {line}: {error}"]]


def last_line(traceback: TracebackType | None) -> int:
    """The line at which an error was raised; 0 if it was not raised."""
    if traceback is None:
        return 0
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    return traceback.tb_lineno


def main() -> int:
    """Runs the adapter on standard input and output; gives the process's exit status."""
    try:
        SimulatorAdapter(sys.stdin, sys.stdout).run()
    except WireError as error:
        print(f"glencleat.simulator_adapter: {error}", file=sys.stderr)
        return EXIT_MALFORMED
    return 0


if __name__ == "__main__":
    sys.exit(main())

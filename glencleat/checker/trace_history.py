"""A trace indexed by what the invariants look for.

No I/O. The emulators' process reads late when it stood still, a fault-injecting proxy holds bytes back, and
an allocator that is stopped reads later: the history gives the earliest and latest instants that the trace
allows, so that a violation is reported only where no such delay explains it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from glencleat.checker.trace import TraceEntry

SLACK_MS = 150.0  # how much later an emulator reads what was written, on a machine that is not overloaded
BACKLOG_READ_MS = 100.0  # after a standstill what came meanwhile is read within this
NEVER = float("inf")
PLACED_STATES = ("TASK_STARTING", "TASK_RUNNING")
UNPLACED_STATES = ("TASK_DROPPED", "TASK_LOST", "TASK_ERROR", "TASK_KILLED")
RECONCILIATION_REASON = "REASON_RECONCILIATION"
ABSENT_STATES = ("killed", "stopped", "stalled")  # of an allocator's process

Intervals = list[tuple[float, float]]
"""From and until, milliseconds of the trace's clock, in order of their beginning."""


@dataclass(slots=True, eq=False)
class ObservedAttempt:
    """One LAUNCH as its host saw it, with what the host said of it."""

    offer: TraceEntry
    statuses: list[TraceEntry] = field(default_factory=list)
    starts: list[TraceEntry] = field(default_factory=list)
    lost_at: float = NEVER  # its host went down, or its network was cut
    unlisted_at: float = NEVER  # the same incarnation of its host subscribed and did not list it
    earliest_sent_at: float = 0.0  # when it can have been sent at the earliest: it may have lain unread
    acceptance_read_at: float = NEVER  # when its allocator can have read the acceptance

    def is_rejected_by(self, at: float) -> bool:
        """Whether its host had said by then that it never ran."""
        if any(status.state == "TASK_DROPPED" and status.at <= at for status in self.statuses):
            return True
        return self.unlisted_at <= at and not self.starts and self.acceptance() is None

    def has_known_send_time(self) -> bool:
        """Whether it was sent when its host read it; else nobody can tell when it was."""
        return self.earliest_sent_at == self.offer.at

    def acceptance(self) -> TraceEntry | None:
        """The first status by which its host accepted it, if there is one."""
        return next((status for status in self.statuses if status.state in PLACED_STATES), None)

    def released_at(self) -> float:
        """When its host no longer holds it."""
        ends = [status.at for status in self.statuses if status.state not in PLACED_STATES]
        return min([self.lost_at, *ends])

    def call_key(self) -> str:
        """The call that it belongs to: its id without the attempt's number."""
        return self.offer.attempt.rpartition(".")[0]


def _is_free_of(intervals: Intervals, since: float, until: float) -> bool:
    return not any(begin < until and end > since for begin, end in intervals)


def _read_slack_ms(entries: list[TraceEntry]) -> float:
    """How much later than it was written the emulators read at most; the trace tells their standstills."""
    standstill = max((entry.left for entry in entries if entry.kind == "lag"), default=0.0)
    wire_delay = sum(entry.left for entry in entries if entry.kind == "wire" and entry.state == "begins")
    return SLACK_MS + standstill + wire_delay


class TraceHistory:
    """The entries of one trace, and indexes over them.

    Times are milliseconds on the trace's clock.
    """

    def __init__(self, entries: list[TraceEntry]) -> None:
        self.entries = entries
        self.slack_ms = _read_slack_ms(entries)
        self.standstills = [(entry.at - entry.left, entry.at) for entry in entries if entry.kind == "lag"]
        # Place and allocator of a wire -> when it passed no bytes on.
        self.blocked_by_wire: dict[tuple[str, str], Intervals] = defaultdict(list)
        self.attempts_by_id: dict[str, ObservedAttempt] = {}
        self.attempts_by_task: dict[str, list[ObservedAttempt]] = defaultdict(list)
        # Host, allocator and the host's run -> its attempts.
        self.attempts_by_incarnation: dict[tuple[str, str, str], list[ObservedAttempt]] = defaultdict(list)
        self.down_times_by_host: dict[str, list[float]] = defaultdict(list)
        # When the allocator's process did not run.
        self.absences_by_allocator: dict[str, Intervals] = defaultdict(list)
        # Owner and allocator -> when their session was cut.
        self.cut_times_by_session: dict[tuple[str, str], list[float]] = defaultdict(list)
        # Allocator and task -> what was asked, what was answered.
        self.requests_by_task: dict[tuple[str, str], list[TraceEntry]] = defaultdict(list)
        self.answers_by_task: dict[tuple[str, str], list[TraceEntry]] = defaultdict(list)
        self._index_entries()
        self._date_attempts()

    def _index_entries(self) -> None:
        handlers: dict[str, Callable[[TraceEntry], None]] = {
            "offered": self._add_offer,
            "said": self._add_status,
            "started": self._add_start,
            "listed": self._add_listing,
            "down": self._add_down,
            "quiet": self._add_down,
            "cut": self._add_cut,
            "asked": self._add_request,
            "answer": self._add_answer,
            "allocator": self._add_process_state,
            "wire": self._add_wire_fault,
        }
        for entry in self.entries:
            handler = handlers.get(entry.kind)
            if handler is not None:
                handler(entry)

    def _date_attempts(self) -> None:
        for attempt in self.attempts_by_id.values():
            offer = attempt.offer
            later_downs = [at for at in self.down_times_by_host[offer.who] if at >= offer.at]
            attempt.lost_at = min(later_downs, default=NEVER)
            earliest = self.earliest_written("agents", offer.allocator, offer.at)
            attempt.earliest_sent_at = offer.since or earliest
            acceptance = attempt.acceptance()
            if acceptance is not None:
                attempt.acceptance_read_at = self.latest_read("agents", offer.allocator, acceptance.at)

    def _add_offer(self, entry: TraceEntry) -> None:
        attempt = ObservedAttempt(entry)
        self.attempts_by_id[entry.attempt] = attempt
        self.attempts_by_task[entry.task].append(attempt)
        self.attempts_by_incarnation[entry.who, entry.allocator, entry.text].append(attempt)

    def _add_status(self, entry: TraceEntry) -> None:
        if entry.attempt in self.attempts_by_id:
            self.attempts_by_id[entry.attempt].statuses.append(entry)

    def _add_start(self, entry: TraceEntry) -> None:
        if entry.attempt in self.attempts_by_id:
            self.attempts_by_id[entry.attempt].starts.append(entry)

    def _add_listing(self, entry: TraceEntry) -> None:
        for attempt in self.attempts_by_incarnation[entry.who, entry.allocator, entry.text]:
            if attempt.offer.attempt not in entry.ids:
                attempt.unlisted_at = min(attempt.unlisted_at, entry.at)

    def _add_down(self, entry: TraceEntry) -> None:
        self.down_times_by_host[entry.who].append(entry.at)

    def _add_cut(self, entry: TraceEntry) -> None:
        self.cut_times_by_session[entry.who, entry.allocator].append(entry.at)

    def _add_request(self, entry: TraceEntry) -> None:
        self.requests_by_task[entry.allocator, entry.task].append(entry)

    def _add_answer(self, entry: TraceEntry) -> None:
        self.answers_by_task[entry.allocator, entry.task].append(entry)

    def _add_process_state(self, entry: TraceEntry) -> None:
        absences = self.absences_by_allocator[entry.allocator]
        is_absent = bool(absences) and absences[-1][1] == NEVER
        if entry.state in ABSENT_STATES:
            if not is_absent:  # one that is killed while it stands still is absent once
                absences.append((entry.at, NEVER))
        elif is_absent:
            absences[-1] = (absences[-1][0], entry.at)

    def _add_wire_fault(self, entry: TraceEntry) -> None:
        """A fault that holds bytes back; several at once are one, until the last has ended."""
        if entry.reason != "holds":
            return
        held = self.blocked_by_wire[entry.who, entry.allocator]
        if entry.state == "begins":
            held.append((entry.at, NEVER))
        else:
            begun = next(i for i, (_, until) in enumerate(held) if until == NEVER)
            held[begun] = (held[begun][0], entry.at)

    def earliest_arrival(self, at: float) -> float:
        """When what an emulator read then may have been there: its process stood still, and read late."""
        for begun, ended in reversed(self.standstills):
            if begun < at <= ended + BACKLOG_READ_MS:
                at = begun
        return at

    def latest_read(self, place: str, allocator: str, at: float) -> float:
        """When what was written then on that wire can have been read at the latest."""
        intervals = self.blocked_by_wire[place, allocator]
        while True:
            end = max((until for since, until in intervals if since <= at < until), default=at)
            if end <= at:
                return at
            at = end

    def earliest_written(self, place: str, allocator: str, at: float) -> float:
        """When what was read then from that wire can have been written at the earliest."""
        near = [a for a, b in self.blocked_by_wire[place, allocator] if a <= at <= b + self.slack_ms]
        return min(near, default=at)

    def is_wire_clear(self, place: str, allocator: str, since: float, until: float) -> bool:
        """Whether that wire passed bytes on all that time."""
        return _is_free_of(self.blocked_by_wire[place, allocator], since, until)

    def has_run_throughout(self, allocator: str, since: float, until: float) -> bool:
        """Whether the allocator's process ran all that time."""
        return _is_free_of(self.absences_by_allocator[allocator], since, until)

    def learned_at(self, allocator: str, place: str, at: float) -> float:
        """When the allocator can have read what was written to it then: a stopped process reads later."""
        at = self.latest_read(place, allocator, at)
        return next((b for a, b in self.absences_by_allocator[allocator] if a <= at < b), at)

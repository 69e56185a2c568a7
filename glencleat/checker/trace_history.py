"""Indexes over a trace for the invariants. No I/O.

The emulators' process reads late after a stall, a fault-injecting proxy holds bytes back, and a stopped
allocator reads later. The history gives the earliest and latest times that the trace allows, so that a
violation is reported only where no such delay explains it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from glencleat.checker.trace import TraceEntry

SLACK_MS = 150.0  # delay until an emulator reads what was written, on a machine that is not overloaded
BACKLOG_READ_MS = 100.0  # after a stall, what arrived meanwhile is read within this
NEVER = float("inf")
PLACED_STATES = ("TASK_STARTING", "TASK_RUNNING")
UNPLACED_STATES = ("TASK_DROPPED", "TASK_LOST", "TASK_ERROR", "TASK_KILLED")
RECONCILIATION_REASON = "REASON_RECONCILIATION"
ABSENT_STATES = ("killed", "stopped", "stalled")  # of an allocator's process

Intervals = list[tuple[float, float]]
"""Start and end in milliseconds on the trace's clock, in order of start."""


@dataclass(slots=True, eq=False)
class ObservedAttempt:
    """One LAUNCH as its host read it, with the statuses that the host wrote."""

    offer: TraceEntry
    statuses: list[TraceEntry] = field(default_factory=list)
    starts: list[TraceEntry] = field(default_factory=list)
    lost_at: float = NEVER  # its host went down, or the host's network was cut
    unlisted_at: float = NEVER  # the same incarnation of its host subscribed and did not list it
    earliest_sent_at: float = 0.0  # the earliest time of sending: it may have been unread for a while
    acceptance_read_at: float = NEVER  # the latest time at which its allocator read the acceptance

    def is_rejected_by(self, at: float) -> bool:
        """Whether its host had reported by then that it never ran."""
        if any(status.state == "TASK_DROPPED" and status.at <= at for status in self.statuses):
            return True
        return self.unlisted_at <= at and not self.starts and self.acceptance() is None

    def has_known_send_time(self) -> bool:
        """Whether it was certainly sent when its host read it; otherwise only bounds are known."""
        return self.earliest_sent_at == self.offer.at

    def acceptance(self) -> TraceEntry | None:
        """The first status with which its host accepted it, if any."""
        return next((status for status in self.statuses if status.state in PLACED_STATES), None)

    def released_at(self) -> float:
        """The time from which its host no longer holds it."""
        ends = [status.at for status in self.statuses if status.state not in PLACED_STATES]
        return min([self.lost_at, *ends])

    def call_key(self) -> str:
        """The id of its call: the attempt's id without the attempt number."""
        return self.offer.attempt.rpartition(".")[0]


def _overlaps_none(intervals: Intervals, since: float, until: float) -> bool:
    return not any(begin < until and end > since for begin, end in intervals)


def _read_slack_ms(entries: list[TraceEntry]) -> float:
    """The largest delay from a write until an emulator reads it, with the stalls that the trace records."""
    longest_stall = max((entry.left for entry in entries if entry.kind == "lag"), default=0.0)
    wire_delay = sum(entry.left for entry in entries if entry.kind == "wire" and entry.state == "begins")
    return SLACK_MS + longest_stall + wire_delay


class TraceHistory:
    """The entries of one trace, and indexes over them.

    Times are milliseconds on the trace's clock.
    """

    def __init__(self, entries: list[TraceEntry]) -> None:
        self.entries = entries
        self.slack_ms = _read_slack_ms(entries)
        self.stalls = [(entry.at - entry.left, entry.at) for entry in entries if entry.kind == "lag"]
        # By peer (list, agents, owners) and allocator: when their proxy passed no bytes on.
        self.blocked_by_wire: dict[tuple[str, str], Intervals] = defaultdict(list)
        self.attempts_by_id: dict[str, ObservedAttempt] = {}
        self.attempts_by_task: dict[str, list[ObservedAttempt]] = defaultdict(list)
        # By host, allocator and incarnation of the host.
        self.attempts_by_incarnation: dict[tuple[str, str, str], list[ObservedAttempt]] = defaultdict(list)
        self.down_times_by_host: dict[str, list[float]] = defaultdict(list)
        # When the allocator's process did not run.
        self.absences_by_allocator: dict[str, Intervals] = defaultdict(list)
        # By owner and allocator.
        self.cut_times_by_session: dict[tuple[str, str], list[float]] = defaultdict(list)
        # By allocator and task.
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
            if not is_absent:  # a stalled process that is killed begins no second absence
                absences.append((entry.at, NEVER))
        elif is_absent:
            absences[-1] = (absences[-1][0], entry.at)

    def _add_wire_fault(self, entry: TraceEntry) -> None:
        """Records when a proxy holds bytes back: until the last of several overlapping faults ends."""
        if entry.reason != "holds":
            return
        intervals = self.blocked_by_wire[entry.who, entry.allocator]
        if entry.state == "begins":
            intervals.append((entry.at, NEVER))
        else:
            index = next(i for i, (_, until) in enumerate(intervals) if until == NEVER)
            intervals[index] = (intervals[index][0], entry.at)

    def earliest_arrival(self, at: float) -> float:
        """The earliest time at which what an emulator read then arrived: after a stall it reads late."""
        for begin, end in reversed(self.stalls):
            if begin < at <= end + BACKLOG_READ_MS:
                at = begin
        return at

    def latest_read(self, peer: str, allocator: str, at: float) -> float:
        """The latest time at which what was written then can have been read."""
        intervals = self.blocked_by_wire[peer, allocator]
        while True:
            end = max((until for since, until in intervals if since <= at < until), default=at)
            if end <= at:
                return at
            at = end

    def earliest_written(self, peer: str, allocator: str, at: float) -> float:
        """The earliest time at which what was read then can have been written."""
        begins = [
            begin
            for begin, end in self.blocked_by_wire[peer, allocator]
            if begin <= at <= end + self.slack_ms
        ]
        return min(begins, default=at)

    def is_wire_clear(self, peer: str, allocator: str, since: float, until: float) -> bool:
        """Whether the proxy between peer and allocator passed bytes on throughout."""
        return _overlaps_none(self.blocked_by_wire[peer, allocator], since, until)

    def has_run_throughout(self, allocator: str, since: float, until: float) -> bool:
        """Whether the allocator's process ran throughout."""
        return _overlaps_none(self.absences_by_allocator[allocator], since, until)

    def learned_at(self, allocator: str, peer: str, at: float) -> float:
        """Like latest_read, and later still if the allocator's process did not run at that time."""
        at = self.latest_read(peer, allocator, at)
        return next((end for begin, end in self.absences_by_allocator[allocator] if begin <= at < end), at)

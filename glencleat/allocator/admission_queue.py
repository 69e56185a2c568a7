"""Queue of the calls that came before this allocator could place anything, or soon after it.

Calls are held until machines are listed and have told what they run (`startup_gate.StartupGate`), then
passed to the policy at the pace of `flow_control/slow_start.py`, in order of weight and of time left. Once
the queue has been empty it is out of the way. What would have no turn within its time is rejected at once,
as nothing of it was sent, and so is what has ANSWER_MARGIN_MS left: an answer at the very end came after it where the
request had been 76 ms on its way.
"""

from __future__ import annotations

from typing import NamedTuple

from sortedcontainers import SortedDict

from glencleat.allocator import status_mapping
from glencleat.allocator.call_table import Call, FinalAnswer
from glencleat.allocator.domain_events import CallAnswered, DomainEvent
from glencleat.allocator.ports import CorePort
from glencleat.allocator.runtime_ports import TimerPort
from glencleat.flow_control.slow_start import ANSWER_MARGIN_MS, SLOT_MS, SlowStart

# A call that has been with the policy for so long waits for capacity, and holds up nobody here.
MAX_OUTSTANDING_MS = 1_000.0


class QueuePosition(NamedTuple):
    """Order of the queue: greatest weight first, then earliest due."""

    negative_weight: float
    due_ms: float
    call_number: int


class AdmissionQueue:
    """Holds calls until placing starts, and passes them on no faster than they are placed."""

    def __init__(self, core: CorePort) -> None:
        self.core = core
        self.waiting_calls: SortedDict[QueuePosition, Call] = SortedDict()
        self.dispatched_at_ms: dict[int, float] = {}  # call number -> when it was passed to the policy
        self.slow_start: SlowStart | None = None  # None before placing starts
        self.is_finished = False  # the queue was empty once; calls are passed on as they come since then
        self.timer: TimerPort | None = None
        self.max_length = 0
        self.rejected_count = 0
        core.subscribe(self._on_event)

    def enqueue(self, call: Call) -> None:
        """Hold a call until its turn; it is rejected when its time is over before."""
        due_ms = call.accepted_at_ms + call.request.remaining_ms - ANSWER_MARGIN_MS
        weight = self.core.classes_by_name[call.request.task_class].weight
        position = QueuePosition(-weight, due_ms, call.number)
        self.waiting_calls[position] = call
        self.max_length = max(self.max_length, len(self.waiting_calls))
        self.core.timing.call_in(max(0.0, due_ms - self.core.now()), lambda: self._reject(position))
        if self.slow_start is not None:
            self._schedule_dispatch(0.0)

    def begin_dispatching(self) -> None:
        """Start to pass calls on: machines are listed, and those that are there have told what they run."""
        if self.slow_start is not None:
            return
        # One a machine from all allocators together, as none knows what the others do.
        machine_count = len(self.core.listed_machines or ())
        self.slow_start = SlowStart(machine_count / max(1, self.core.settings.allocator_count))
        self.slow_start.begin(self.core.now())
        self.core.log("open", held=len(self.waiting_calls), first=int(self.slow_start.window))
        self._dispatch_waiting()

    def _on_event(self, event: DomainEvent) -> None:
        if isinstance(event, CallAnswered) and event.call.number in self.dispatched_at_ms:
            self._conclude(event.call.number, is_placed=event.final_answer is FinalAnswer.PLACED)

    def _conclude(self, call_number: int, *, is_placed: bool) -> None:
        """Tell the slow start how a call fared."""
        del self.dispatched_at_ms[call_number]
        if self.slow_start is not None and not self.is_finished:
            self.slow_start.record_answer(self.core.now(), is_placed)
            self._schedule_dispatch(0.0)

    def _schedule_dispatch(self, in_ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.core.timing.call_in(in_ms, self._dispatch_waiting)

    def _dispatch_waiting(self) -> None:
        """Pass on as many calls as the slow start allows."""
        slow_start = self.slow_start
        if slow_start is None or self.is_finished:
            return
        now = self.core.now()
        self._conclude_outstanding(now)
        while self.waiting_calls and slow_start.available_slots():
            position, call = self.waiting_calls.peekitem(0)
            if call.final_answer is not None or position.due_ms <= now:
                self._reject(position)  # withdrawn meanwhile, or its time is over in this very turn
                continue
            del self.waiting_calls[position]
            slow_start.record_sent()
            self.dispatched_at_ms[call.number] = now
            self.core.dispatch_request(call, position.due_ms + ANSWER_MARGIN_MS - now)
        self._reject_hopeless(slow_start, now)
        if self.waiting_calls:
            self._schedule_dispatch(SLOT_MS)
        else:
            self._finish()

    def _conclude_outstanding(self, now: float) -> None:
        """Stop waiting for calls that have been with the policy for too long."""
        outstanding = [
            call_number
            for call_number, since_ms in self.dispatched_at_ms.items()
            if now - since_ms > MAX_OUTSTANDING_MS
        ]
        for call_number in outstanding:
            self._conclude(call_number, is_placed=False)

    def _finish(self) -> None:
        self.is_finished = True
        self.dispatched_at_ms.clear()
        self.core.log(
            "all told that waited for the start", longest=self.max_length, refused=self.rejected_count
        )

    def _reject_hopeless(self, slow_start: SlowStart, now: float) -> None:
        """Reject the calls that will have no turn in time, by the rate of the last turns."""
        if not slow_start.rate_per_ms:
            return
        ahead = 0
        for position in list(self.waiting_calls):
            if slow_start.estimate_wait_ms(ahead) > position.due_ms - now:
                self._reject(position)
            else:
                ahead += 1

    def _reject(self, position: QueuePosition) -> None:
        call = self.waiting_calls.pop(position, None)
        if call is not None and call.final_answer is None:
            self.rejected_count += 1
            self.core.answer_call(
                call, FinalAnswer.REJECTED, status_mapping.rejection_answer(may_have_run=False)
            )

"""Queues tasks that arrive before this allocator can place anything, and releases them by slow start.

Tasks are held until machines are listed and have reported what they run (`startup_gate.StartupGate`), then
passed to the policy at the pace of `flow_control/slow_start.py`, by weight and then by deadline. Once the
queue has been empty it is bypassed for good. A task whose turn would come after its deadline is rejected at
once, as nothing of it was sent. So is a task with MIN_REMAINING_MS left: with only the last 50 ms held back,
an answer came after the client's deadline where the call had been 76 ms in transit.
"""

from __future__ import annotations

from typing import Any

from sortedcontainers import SortedDict

from glencleat.allocator import status_mapping
from glencleat.allocator.call_table import Call, FinalAnswer
from glencleat.allocator.domain_events import CallAnswered, DomainEvent
from glencleat.allocator.ports import CorePort
from glencleat.flow_control.slow_start import MIN_REMAINING_MS, SLOT_MS, SlowStart

QueuePosition = tuple[float, float, int]  # negative weight, deadline in ms, call number
# Attempts time out earlier: a call unanswered for longer waits for capacity, and leaves the window to others.
ANSWER_TIMEOUT_MS = 1_000.0


class AdmissionQueue:
    """Calls that wait for their placement request after a start, in priority order."""

    def __init__(self, core: CorePort) -> None:
        self.core = core
        self.calls_by_position: SortedDict[QueuePosition, Call] = SortedDict()
        self.requested_at_ms_by_call: dict[int, float] = {}  # by call number; requested and unanswered
        self.slow_start: SlowStart | None = None
        self.is_bypassed = False  # the queue was empty once; from then on tasks are requested as they come
        self.timer: Any = None
        self.peak_length = self.rejected_count = 0
        core.add_listener(self._on_domain_event)

    def add(self, call: Call) -> None:
        """Queues a call; it is rejected at its deadline unless it was released before."""
        deadline_ms = call.received_at_ms + call.task_request.remaining_ms - MIN_REMAINING_MS
        position = -self.core.classes_by_name[call.task_request.task_class].weight, deadline_ms, call.number
        self.calls_by_position[position] = call
        self.peak_length = max(self.peak_length, len(self.calls_by_position))
        self.core.timing.call_in(max(0.0, deadline_ms - self.core.now()), lambda: self._reject(position))
        if self.slow_start is not None:
            self._schedule_release(0.0)

    def begin_slow_start(self) -> None:
        """Starts to release calls: machines are listed, and those present have reported what they run."""
        if self.slow_start is not None:
            return
        # All allocators together start with one task a machine, as none knows what the others send.
        self.slow_start = SlowStart(
            len(self.core.serving_machines or ()) / max(1, self.core.settings.allocator_count)
        )
        self.slow_start.begin(self.core.now())
        self.core.log(
            "startup gate opened",
            held=len(self.calls_by_position),
            initial_window=int(self.slow_start.window),
        )
        self._release()

    def _on_domain_event(self, event: DomainEvent) -> None:
        if isinstance(event, CallAnswered) and event.call.number in self.requested_at_ms_by_call:
            self._record_answer(event.call.number, event.final_answer is FinalAnswer.PLACED)

    def _record_answer(self, number: int, placed: bool) -> None:
        del self.requested_at_ms_by_call[number]
        if self.slow_start is not None and not self.is_bypassed:
            self.slow_start.record_answer(self.core.now(), placed)
            self._schedule_release(0.0)

    def _schedule_release(self, delay_ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.core.timing.call_in(delay_ms, self._release)

    def _release(self) -> None:
        """Requests placement of as many calls as the window allows."""
        slow_start, now = self.slow_start, self.core.now()
        if slow_start is None or self.is_bypassed:
            return
        for number in [
            number
            for number, requested_at_ms in self.requested_at_ms_by_call.items()
            if now - requested_at_ms > ANSWER_TIMEOUT_MS
        ]:
            self._record_answer(number, placed=False)
        while self.calls_by_position and slow_start.free_window():
            position, call = self.calls_by_position.peekitem(0)
            _, deadline_ms, number = position
            if call.final_answer is not None or deadline_ms <= now:
                self._reject(position)  # cancelled meanwhile, or due in this turn ahead of its own timer
                continue
            del self.calls_by_position[position]
            slow_start.record_sent()
            self.requested_at_ms_by_call[number] = now
            self.core.dispatch_placement(call, deadline_ms + MIN_REMAINING_MS - now)
        self._reject_late_calls(slow_start, now)
        if self.calls_by_position:
            self._schedule_release(SLOT_MS)
            return
        self.is_bypassed = True
        self.requested_at_ms_by_call.clear()
        self.core.log("startup queue drained", peak_length=self.peak_length, rejected=self.rejected_count)

    def _reject_late_calls(self, slow_start: SlowStart, now: float) -> None:
        """Rejects calls whose turn, at the rate of the last slots, would come after their deadline."""
        ahead_count = 0
        for position in list(self.calls_by_position) if slow_start.rate_per_ms else ():
            if slow_start.estimate_wait_ms(ahead_count) > position[1] - now:
                self._reject(position)
            else:
                ahead_count += 1

    def _reject(self, position: QueuePosition) -> None:
        call = self.calls_by_position.pop(position, None)
        if call is not None and call.final_answer is None:
            self.rejected_count += 1
            self.core.answer(call, FinalAnswer.REJECTED, status_mapping.rejection_answer(False))

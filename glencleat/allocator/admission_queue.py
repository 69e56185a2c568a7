"""Tasks that came before this allocator could place anything, and their way out of the line.

They are held until machines are listed and have told what they run (`recovery.Opening`), then told to the
module at the pace of `flow_control/slow_start.py`, in order of worth and of time left. Once the
line has been empty it is
out of the way. What would have no turn within its time is refused at once, as nothing of it was sent, and so
is what has MIN_REMAINING_MS left: an answer at the very end came after it where the ask had been 76 ms on its
way."""

from __future__ import annotations

from typing import Any

from sortedcontainers import SortedDict

from glencleat.allocator import status_mapping
from glencleat.allocator.call_table import Call, FinalAnswer
from glencleat.allocator.domain_events import CallAnswered, DomainEvent
from glencleat.allocator.ports import CorePort
from glencleat.flow_control.slow_start import MIN_REMAINING_MS, SLOT_MS, SlowStart

QueuePosition = tuple[float, float, int]
ANSWER_TIMEOUT_MS = 1_000.0  # a task without an answer for so long waits for room, and holds up nobody


class AdmissionQueue:
    def __init__(self, core: CorePort) -> None:
        self.core = core
        self.calls_by_position: SortedDict[QueuePosition, Call] = SortedDict()
        self.requested_at_ms_by_call: dict[int, float] = {}  # call -> since when it is the module's
        self.slow_start: SlowStart | None = None
        self.is_bypassed = False  # the line was empty once; from then on tasks are told as they come
        self.timer: Any = None
        self.peak_length = self.rejected_count = 0
        core.add_listener(self._heard)

    def add(self, call: Call) -> None:
        due = call.received_at_ms + call.task_request.remaining_ms - MIN_REMAINING_MS
        place = -self.core.classes_by_name[call.task_request.task_class].weight, due, call.number
        self.calls_by_position[place] = call
        self.peak_length = max(self.peak_length, len(self.calls_by_position))
        self.core.timing.call_in(max(0.0, due - self.core.now()), lambda: self._refuse(place))
        if self.slow_start is not None:
            self._pump_in(0.0)

    def begin_slow_start(self) -> None:
        """Machines are listed, and those that are there have told what they run."""
        if self.slow_start is not None:
            return
        # One a machine from all allocators together, as none knows what the others do.
        self.slow_start = SlowStart(
            len(self.core.serving_machines or ()) / max(1, self.core.settings.allocator_count)
        )
        self.slow_start.begin(self.core.now())
        self.core.log("open", held=len(self.calls_by_position), first=int(self.slow_start.window))
        self._pump()

    def _heard(self, what: DomainEvent) -> None:
        if isinstance(what, CallAnswered) and what.call.number in self.requested_at_ms_by_call:
            self._back(what.call.number, what.final_answer is FinalAnswer.PLACED)

    def _back(self, number: int, placed: bool) -> None:
        del self.requested_at_ms_by_call[number]
        if self.slow_start is not None and not self.is_bypassed:
            self.slow_start.record_answer(self.core.now(), placed)
            self._pump_in(0.0)

    def _pump_in(self, ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.core.timing.call_in(ms, self._pump)

    def _pump(self) -> None:
        start, now = self.slow_start, self.core.now()
        if start is None or self.is_bypassed:
            return
        for number in [
            number
            for number, since in self.requested_at_ms_by_call.items()
            if now - since > ANSWER_TIMEOUT_MS
        ]:
            self._back(number, placed=False)
        while self.calls_by_position and start.free_window():
            place, call = self.calls_by_position.peekitem(0)
            _, due, number = place
            if call.final_answer is not None or due <= now:
                self._refuse(place)  # taken back meanwhile, or its time is over in this very turn
                continue
            del self.calls_by_position[place]
            start.record_sent()
            self.requested_at_ms_by_call[number] = now
            self.core.dispatch_placement(call, due + MIN_REMAINING_MS - now)
        self._give_up(start, now)
        if self.calls_by_position:
            self._pump_in(SLOT_MS)
            return
        self.is_bypassed = True
        self.requested_at_ms_by_call.clear()
        self.core.log(
            "all told that waited for the start", longest=self.peak_length, refused=self.rejected_count
        )

    def _give_up(self, start: SlowStart, now: float) -> None:
        """Whoever will have no turn in time, by the rate of the last turns."""
        ahead = 0
        for place in list(self.calls_by_position) if start.rate_per_ms else ():
            if start.estimate_wait_ms(ahead) > place[1] - now:
                self._refuse(place)
            else:
                ahead += 1

    def _refuse(self, place: QueuePosition) -> None:
        call = self.calls_by_position.pop(place, None)
        if call is not None and call.final_answer is None:
            self.rejected_count += 1
            self.core.answer(call, FinalAnswer.REJECTED, status_mapping.rejection_answer(False))

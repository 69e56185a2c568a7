"""Tasks that came before this allocator could place anything, and their way out of the line.

They are held until machines are listed and have told what they run (`recovery.Opening`), then told to the
module at the pace of `flow_control/slow_start.py`, in order of worth and of time left. Once the
line has been empty it is
out of the way. What would have no turn within its time is refused at once, as nothing of it was sent, and so
is what has LAST_MS left: an answer at the very end came after it where the ask had been 76 ms on its way."""

from __future__ import annotations

from typing import Any

from sortedcontainers import SortedDict

from glencleat.allocator import status_mapping
from glencleat.allocator.call_table import Call, FinalAnswer
from glencleat.allocator.domain_events import CallAnswered, DomainEvent
from glencleat.allocator.ports import CorePort
from glencleat.flow_control.slow_start import LAST_MS, SLOT_MS, SlowStart

QueuePosition = tuple[float, float, int]
MAX_OUTSTANDING_MS = 1_000.0  # a task without an answer for so long waits for room, and holds up nobody


class AdmissionQueue:
    def __init__(self, core: CorePort) -> None:
        self.core = core
        self.waiting_calls: SortedDict[QueuePosition, Call] = SortedDict()
        self.dispatched_at_ms: dict[int, float] = {}  # call -> since when it is the module's
        self.slow_start: SlowStart | None = None
        self.is_finished = False  # the line was empty once; from then on tasks are told as they come
        self.timer: Any = None
        self.max_length = self.rejected_count = 0
        core.subscribe(self._heard)

    def enqueue(self, call: Call) -> None:
        due = call.accepted_at_ms + call.request.remaining_ms - LAST_MS
        place = -self.core.classes_by_name[call.request.task_class].weight, due, call.number
        self.waiting_calls[place] = call
        self.max_length = max(self.max_length, len(self.waiting_calls))
        self.core.timing.call_in(max(0.0, due - self.core.now()), lambda: self._refuse(place))
        if self.slow_start is not None:
            self._pump_in(0.0)

    def begin_dispatching(self) -> None:
        """Machines are listed, and those that are there have told what they run."""
        if self.slow_start is not None:
            return
        # One a machine from all allocators together, as none knows what the others do.
        self.slow_start = SlowStart(
            len(self.core.listed_machines or ()) / max(1, self.core.settings.allocator_count)
        )
        self.slow_start.begin(self.core.now())
        self.core.log("open", held=len(self.waiting_calls), first=int(self.slow_start.window))
        self._pump()

    def _heard(self, what: DomainEvent) -> None:
        if isinstance(what, CallAnswered) and what.call.number in self.dispatched_at_ms:
            self._back(what.call.number, what.final_answer is FinalAnswer.PLACED)

    def _back(self, number: int, placed: bool) -> None:
        del self.dispatched_at_ms[number]
        if self.slow_start is not None and not self.is_finished:
            self.slow_start.back(self.core.now(), placed)
            self._pump_in(0.0)

    def _pump_in(self, ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.core.timing.call_in(ms, self._pump)

    def _pump(self) -> None:
        start, now = self.slow_start, self.core.now()
        if start is None or self.is_finished:
            return
        for number in [
            number for number, since in self.dispatched_at_ms.items() if now - since > MAX_OUTSTANDING_MS
        ]:
            self._back(number, placed=False)
        while self.waiting_calls and start.room():
            place, call = self.waiting_calls.peekitem(0)
            _, due, number = place
            if call.final_answer is not None or due <= now:
                self._refuse(place)  # taken back meanwhile, or its time is over in this very turn
                continue
            del self.waiting_calls[place]
            start.sent()
            self.dispatched_at_ms[number] = now
            self.core.dispatch_request(call, due + LAST_MS - now)
        self._give_up(start, now)
        if self.waiting_calls:
            self._pump_in(SLOT_MS)
            return
        self.is_finished = True
        self.dispatched_at_ms.clear()
        self.core.log(
            "all told that waited for the start", longest=self.max_length, refused=self.rejected_count
        )

    def _give_up(self, start: SlowStart, now: float) -> None:
        """Whoever will have no turn in time, by the rate of the last turns."""
        ahead = 0
        for place in list(self.waiting_calls) if start.rate else ():
            if start.wait_ms(ahead) > place[1] - now:
                self._refuse(place)
            else:
                ahead += 1

    def _refuse(self, place: QueuePosition) -> None:
        call = self.waiting_calls.pop(place, None)
        if call is not None and call.final_answer is None:
            self.rejected_count += 1
            self.core.answer_call(call, FinalAnswer.REJECTED, status_mapping.refusal(False))

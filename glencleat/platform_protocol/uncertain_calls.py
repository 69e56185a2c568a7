"""Calls that are over and of which an attempt may have run, for set-ups that come again. No I/O.

A client sends a set-up again on a new connection if its connection ended while the set-up was on its way. The
first sending may have been read and passed on by then. Without this record the second one would be a new call
whose attempts could take effect a second time.

    class of the task                       the same id comes again
    idempotent                              a new call; not recorded
    idempotency key, deduplicated           a new call, whose attempts count from the first one that may have
    anywhere, within its window             run, so that they too leave within the window
    any other                               failed: nothing is promised about the effect
"""

from __future__ import annotations

from typing import NamedTuple

from glencleat import interface as api
from glencleat.platform_protocol.delivery import is_harmless_to_send

MAX_UNCERTAIN_CALLS = 20_000
"""Calls that are remembered; beyond it the oldest are forgotten."""

DEDUPLICATED_ANYWHERE = "all"
"""The deduplication scope of a class whose key is known to all hosts."""


class UncertainCall(NamedTuple):
    """A call that is over."""

    task_class: api.TaskClass
    first_uncertain_at_ms: float  # when an attempt that may have run could first have reached its host
    forget_at_ms: float  # its client no longer waits

    def may_be_repeated(self, task_class: api.TaskClass, now_ms: float, tick_ms: float) -> bool:
        """Returns whether a new call for the same task, of that class, can't take effect a second time."""
        return (
            task_class == self.task_class
            and task_class.deduplication_scope == DEDUPLICATED_ANYWHERE
            and is_harmless_to_send(task_class, self.first_uncertain_at_ms, now_ms, tick_ms)
        )


class UncertainCalls:
    """The calls by task id, the first recorded one first.

    >>> calls = UncertainCalls()
    >>> unsafe = api.TaskClass("unsafe", api.Idempotency.NON_IDEMPOTENT, 1_000.0, 8_000.0, 1.0)
    >>> calls.record(7, unsafe, first_uncertain_at_ms=10.0, timeout_ms=2_000.0, now_ms=50.0)
    >>> calls.find(7, 8_000.0).first_uncertain_at_ms, calls.find(7, 8_051.0), calls.find(8, 60.0)
    (10.0, None, None)
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.calls_by_task_id: dict[int, UncertainCall] = {}

    def __len__(self) -> int:
        return len(self.calls_by_task_id)

    def record(
        self,
        task_id: int,
        task_class: api.TaskClass,
        first_uncertain_at_ms: float,
        timeout_ms: float,
        now_ms: float,
    ) -> None:
        """Records a call that is over; ignored if its class is idempotent.

        Args:
            task_id: The platform's id of the task.
            task_class: Its class.
            first_uncertain_at_ms: When an attempt that may have run could first have reached its host.
            timeout_ms: How long its client waits for the answer to one sending.
            now_ms: The current time.
        """
        if task_class.idempotency is api.Idempotency.IDEMPOTENT:
            return
        calls = self.calls_by_task_id
        calls.pop(task_id, None)  # so that it is the newest
        forget_at_ms = now_ms + max(timeout_ms, task_class.deadline_ms)
        calls[task_id] = UncertainCall(task_class, first_uncertain_at_ms, forget_at_ms)
        oldest = next(iter(calls))
        while len(calls) > MAX_UNCERTAIN_CALLS or calls[oldest].forget_at_ms < now_ms:
            del calls[oldest]
            oldest = next(iter(calls))

    def find(self, task_id: int, now_ms: float) -> UncertainCall | None:
        """Returns what is remembered of the task, None if a set-up for it is one that comes first."""
        call = self.calls_by_task_id.get(task_id)
        return call if call is not None and now_ms <= call.forget_at_ms else None

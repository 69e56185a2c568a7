"""Delivery of attempts: how an undelivered one ended, and whether one may still leave.

No I/O; imports the interface. A host's connection asks `find_hold_reason` at the last instant before the
first byte of a set-up leaves, because what was decided may by then have waited long for a file descriptor or
for a connection. Guards against an attempt for a client that left, to a host that drains, past its deadline,
or that would be a second execution with effects.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from glencleat import interface as api

# Of the warm-up window: an allocator's time slices at a host that warms up lie this far apart.
SLICE_SHARE_OF_WARM_UP_WINDOW = 0.25
# Ticks of the host's clock that a deduplication window is taken to be shorter: its ends are counted in ticks.
DEDUPLICATION_MARGIN_TICKS = 2.0


class DeliveryOutcome(Enum):
    """How an attempt came to nothing without an answer of its host, as its connection reports it."""

    REFUSED = "the connection was refused"
    CONNECT_TIMEOUT = "no connection came up in time"
    NOT_SENT = "its last byte never reached the kernel"
    CLIENT_DISCONNECTED = "its client had left before its first byte did"
    CONNECTION_LOST = "the connection broke after it was sent"
    ANSWER_TIMEOUT = "no answer in time after it was sent"


# Only the last two may have run: see interface.py, contract 7.
OUTCOME_BY_DELIVERY = {
    DeliveryOutcome.REFUSED: api.Outcome.UNREACHABLE,
    DeliveryOutcome.CONNECT_TIMEOUT: api.Outcome.UNREACHABLE,
    DeliveryOutcome.NOT_SENT: api.Outcome.NOT_SENT,
    DeliveryOutcome.CLIENT_DISCONNECTED: api.Outcome.NOT_SENT,
    DeliveryOutcome.CONNECTION_LOST: api.Outcome.LOST,
    DeliveryOutcome.ANSWER_TIMEOUT: api.Outcome.TIMED_OUT,
}
NOT_EXECUTED_OUTCOMES = frozenset((api.Outcome.REJECTED, api.Outcome.UNREACHABLE, api.Outcome.NOT_SENT))


@dataclass(frozen=True, slots=True)
class AttemptEvidence:
    """The facts that decide whether an attempt may leave, all taken at one instant."""

    is_client_waiting: bool
    is_host_serving: bool  # by the machine list: it is neither draining nor removed
    is_in_time: bool  # before the attempt's deadline
    is_duplicate_safe: bool  # see the function of this name
    is_turn_current: bool  # see the function of this name


def is_duplicate_safe(
    task_class: api.TaskClass, first_execution_ms: float | None, now_ms: float, tick_ms: float
) -> bool:
    """Whether one more execution now would be without effect or would be dropped by the host.

    Args:
        task_class: The task's class, which says what a second execution does.
        first_execution_ms: When the first attempt that may have run could have arrived; None if there is
        none. now_ms: The present, on the same clock.
        tick_ms: The length of the settings' tick.
    """
    if first_execution_ms is None or task_class.idempotency is api.Idempotency.IDEMPOTENT:
        return True
    margin_ms = DEDUPLICATION_MARGIN_TICKS * tick_ms
    return (
        task_class.idempotency is api.Idempotency.IDEMPOTENCY_KEY
        and now_ms <= first_execution_ms + task_class.deduplication_window_ms - margin_ms
    )


def is_turn_current(is_warming_up: bool, waited_ms: float, warm_up_window_ms: float) -> bool:
    """Whether an attempt still counts in the time slice in which it was decided.

    Only a host that warms up has time slices. An attempt that leaves later than one slice after its decision
    would meet another allocator's.

    Args:
        is_warming_up: The host is warming up.
        waited_ms: The time since the decision.
        warm_up_window_ms: The settings' warm-up window; 0 for no time slices.
    """
    if not is_warming_up or warm_up_window_ms <= 0.0:
        return True
    return waited_ms <= SLICE_SHARE_OF_WARM_UP_WINDOW * warm_up_window_ms


def find_hold_reason(evidence: AttemptEvidence) -> DeliveryOutcome | None:
    """Returns why an attempt may not leave, or None if it may.

    The client comes first: if it has left, nobody is owed anything for the rest.
    """
    if not evidence.is_client_waiting:
        return DeliveryOutcome.CLIENT_DISCONNECTED
    may_leave = (
        evidence.is_host_serving
        and evidence.is_in_time
        and evidence.is_duplicate_safe
        and evidence.is_turn_current
    )
    return None if may_leave else DeliveryOutcome.NOT_SENT

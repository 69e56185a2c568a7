"""What is known of an attempt that came to nothing, and whether one may still leave.

No I/O; imports the interface. A link asks `check_send` at the last instant before the first byte of a set-up
leaves: what was decided may be a wait for a descriptor or a connection old by then. Guards against an attempt
for a client that left, to a host that drains, past its time, or that would be a second effect."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from glencleat import interface as api


class DeliveryOutcome(Enum):
    """What a link can tell of an attempt that came to nothing without the host's word."""

    REFUSED = "the connection was refused"
    CONNECT_TIMEOUT = "no connection came up in time"
    NOT_SENT = "its last byte never reached the kernel"
    CLIENT_GONE = "its client had left before its first byte did"
    CONNECTION_LOST = "the connection broke after it was sent"
    ANSWER_TIMEOUT = "no answer in time after it was sent"


# Only the last two may have run: see interface.py, contract 7.
OUTCOMES_BY_DELIVERY = {
    DeliveryOutcome.REFUSED: api.Outcome.UNREACHABLE,
    DeliveryOutcome.CONNECT_TIMEOUT: api.Outcome.UNREACHABLE,
    DeliveryOutcome.NOT_SENT: api.Outcome.NOT_SENT,
    DeliveryOutcome.CLIENT_GONE: api.Outcome.NOT_SENT,
    DeliveryOutcome.CONNECTION_LOST: api.Outcome.LOST,
    DeliveryOutcome.ANSWER_TIMEOUT: api.Outcome.TIMED_OUT,
}
NEVER_RAN = frozenset((api.Outcome.REJECTED, api.Outcome.UNREACHABLE, api.Outcome.NOT_SENT))


@dataclass(frozen=True, slots=True)
class AttemptEvidence:
    """What is looked at, all at one instant."""

    is_client_waiting: bool
    is_host_serving: bool  # by the list: it neither drains nor is gone
    is_in_time: bool  # of the attempt
    is_harmless: bool  # a run beside those of earlier attempts is none or is dropped
    is_turn_valid: bool  # where its host is cold: it was decided so lately that it counts in our turn there


def is_harmless_to_send(cls: api.TaskClass, first_ms: float | None, now: float, tick_ms: float) -> bool:
    """Whether one more attempt does no harm now; `first_ms`: when the first that may have run could be in."""
    if first_ms is None or cls.idempotency is api.Idempotency.IDEMPOTENT:
        return True
    return (
        cls.idempotency is api.Idempotency.IDEMPOTENCY_KEY
        and now <= first_ms + cls.deduplication_window_ms - 2.0 * tick_ms
    )


def is_turn_valid(cold: bool, waited_ms: float, window_ms: float) -> bool:
    """The module's turns at a cold host lie a quarter of its window apart: later ones meet the next."""
    return not cold or window_ms <= 0.0 or waited_ms <= 0.25 * window_ms


def check_send(seen: AttemptEvidence) -> DeliveryOutcome | None:
    """Why it may not leave, or None. The client first: nobody is owed anything for the rest then."""
    if not seen.is_client_waiting:
        return DeliveryOutcome.CLIENT_GONE
    may = seen.is_host_serving and seen.is_in_time and seen.is_harmless and seen.is_turn_valid
    return None if may else DeliveryOutcome.NOT_SENT

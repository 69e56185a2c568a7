"""Outcomes of attempts that failed without the host's answer, and the check before an attempt is sent.

The module does no I/O and has no state. A connection calls `check_send` immediately before it writes the
first byte of a set-up, because the attempt may have waited for a descriptor or a connection since the policy
bound it. The check prevents attempts for a client that has left, to a host that drains, after the deadline,
and attempts that could take effect a second time.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from glencleat import interface as api


class DeliveryOutcome(Enum):
    """How an attempt failed without the host's answer, as far as its connection can tell."""

    REFUSED = "the host refused the connection"
    # Also any other connect error but a refusal or a lack of descriptors, and a cancellation during the
    # connect.
    CONNECT_TIMEOUT = "the connection was not established in time"
    # Also an attempt that `check_send` rejected, of which nothing was written.
    NOT_SENT = "the last byte was never written to the socket"
    CLIENT_GONE = "the client left before the first byte was written"
    CONNECTION_LOST = "the connection was lost after the attempt was sent"
    ANSWER_TIMEOUT = "no answer came in time after the attempt was sent"


# Only attempts with the last two outcomes may have run: see interface.py, contract 7.
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
    """The conditions under which an attempt may be sent, all evaluated at the same instant."""

    is_client_waiting: bool
    is_host_serving: bool  # by the machine list: neither draining nor removed
    is_in_time: bool  # before the attempt's deadline
    is_harmless: bool  # earlier attempts have not run, or a second run has no further effect
    is_turn_valid: bool  # False if the host warms up and the time slice of the attempt may be over


def is_harmless_to_send(
    task_class: api.TaskClass, first_uncertain_at_ms: float | None, now: float, tick_ms: float
) -> bool:
    """Returns whether a further attempt can't take effect a second time if it is sent now.

    Args:
        task_class: The class of the task.
        first_uncertain_at_ms: The earliest time at which an attempt that may have run could have arrived at
            its host; None if no attempt may have run.
        now: The current time.
        tick_ms: The platform's clock tick; two of them are subtracted from the deduplication window.
    """
    if first_uncertain_at_ms is None or task_class.idempotency is api.Idempotency.IDEMPOTENT:
        return True
    return (
        task_class.idempotency is api.Idempotency.IDEMPOTENCY_KEY
        and now <= first_uncertain_at_ms + task_class.deduplication_window_ms - 2.0 * tick_ms
    )


def is_turn_valid(is_warming_up: bool, waited_ms: float, window_ms: float) -> bool:
    """Returns whether an attempt is still within the time slice in which the policy bound it.

    On a host that is warming up, the policy limits starts in windows that are a quarter longer than the
    host's warm-up window (`WINDOW_FACTOR` in `policy/warm_up.py`). An attempt that waited longer than that
    quarter could reach the host together with those of the next window.
    """
    return not is_warming_up or window_ms <= 0.0 or waited_ms <= 0.25 * window_ms


def check_send(evidence: AttemptEvidence) -> DeliveryOutcome | None:
    """Returns why the attempt must not be sent, None if it may be.

    The client is checked first: if it has left, the call ends whatever the other conditions are.
    """
    if not evidence.is_client_waiting:
        return DeliveryOutcome.CLIENT_GONE
    may_send = (
        evidence.is_host_serving and evidence.is_in_time and evidence.is_harmless and evidence.is_turn_valid
    )
    return None if may_send else DeliveryOutcome.NOT_SENT

"""When a client connection is closed for what its client does not send: a table without I/O.

Faulty clients are closed within 3 s of connecting, by the operators' page. A client behind a network that
stops looks the same for as long as that lasts, but its set-ups must be answered: an open one, and one whose
last byte it has written while the network holds it back. So a connection that is proven has more time.

    proven  open set-ups  message     closed after
    no      none          none whole  MESSAGE_TIMEOUT_MS from the start of the connection
    no      none          unfinished  MESSAGE_TIMEOUT_MS from the start of the message
    yes     none          unfinished  the longest deadline of the settings from the start of the message
    any     some          unfinished  not for this reason; the time begins when the last one is answered
    any     any           finished    not for this reason

More bytes of the same message don't restart its time, whichever part they belong to. Where descriptors are
scarce, the descriptor budget may close a connection without open set-ups earlier, trusted ones last. During a
graceful shutdown an unfinished message delays the end by at most `UNHANDLED_TIMEOUT_MS` of
`graceful_shutdown.py`.
"""

from __future__ import annotations

from dataclasses import dataclass

MESSAGE_TIMEOUT_MS = 2_000.0
"""The time for a client's first complete message, and for each that an unproven client has begun."""


@dataclass(frozen=True, slots=True)
class ClientActivity:
    """What is known of a client connection that may be closed. Times in milliseconds of one clock."""

    created_at_ms: float
    has_received_message: bool  # a complete one
    is_proven: bool  # all its set-ups were valid, or it is trusted
    has_open_setups: bool
    partial_since_ms: (
        float | None
    )  # when its unfinished message began or the last answer was sent; None: none


def is_message_overdue(activity: ClientActivity, now: float, longest_deadline_ms: float) -> bool:
    """Returns whether the connection has to be closed because a message has not come in time.

    Args:
        activity: What is known of the connection.
        now: The current time.
        longest_deadline_ms: The longest time that a class of the settings lets a client wait. What the client
            had written when its message stopped is over by then.

    >>> half_open = ClientActivity(0.0, True, False, False, partial_since_ms=100.0)
    >>> is_message_overdue(half_open, 2_100.0, 8_000.0), is_message_overdue(half_open, 2_101.0, 8_000.0)
    (False, True)
    """
    if not activity.has_received_message:
        return now - activity.created_at_ms > MESSAGE_TIMEOUT_MS
    if activity.partial_since_ms is None or activity.has_open_setups:
        return False
    timeout_ms = max(MESSAGE_TIMEOUT_MS, longest_deadline_ms) if activity.is_proven else MESSAGE_TIMEOUT_MS
    return now - activity.partial_since_ms > timeout_ms

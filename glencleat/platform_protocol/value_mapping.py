"""Maps causes, reasons, observations and load reports of hosts to the interface's types.

Imports messages, the interface and the platform's settings; `platform_protocol/exchange.py` uses it.
"""

from __future__ import annotations

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_settings import read_report

OUTCOMES_BEFORE_PLACEMENT = {
    m.REJECTED: api.Outcome.REJECTED,
    m.ERROR: api.Outcome.ERROR,
    m.EXPIRED: api.Outcome.NOT_SENT,
}
OUTCOMES_AFTER_PLACEMENT = {
    m.ENDED: api.Outcome.COMPLETED,
    m.STOPPED: api.Outcome.STOPPED,
}
# A cause that is not in the table that applies is mapped to LOST.
REASONS = {
    "no_cores": api.OutcomeReason.INSUFFICIENT_CORES,
    "no_memory": api.OutcomeReason.INSUFFICIENT_MEMORY,
    "queue_full": api.OutcomeReason.QUEUE_FULL,
    "not_here": api.OutcomeReason.NOT_ELIGIBLE,
    "evicted": api.OutcomeReason.EVICTED,
    "pushed_out": api.OutcomeReason.PREEMPTED,
    "sent_away": api.OutcomeReason.DRAINED,
}
OBSERVATION_KINDS = {
    "runs": api.ObservationKind.RUNNING,
    "cores": api.ObservationKind.CORES_IN_USE,
    "memory": api.ObservationKind.MEMORY_IN_USE,
    "served": api.ObservationKind.SERVICE_LEVEL,
    "pressure": api.ObservationKind.MACHINE_MEMORY_IN_USE,
}
# Names of load report fields in messages -> names that `read_report` expects; other names are the same.
REPORT_FIELDS = {"util": "busy", "queue": "q"}


def read_reason(message: m.PlatformMessage) -> api.OutcomeReason:
    """Returns the reason in the field TOPIC of a host's message; UNSPECIFIED if it is absent or unknown.

    Raises:
        ProtocolError: The reason is not printable ASCII.
    """
    return REASONS.get(message.get_text(m.TOPIC) or "", api.OutcomeReason.UNSPECIFIED)


def read_load_report(message: m.PlatformMessage) -> api.LoadReport | None:
    """Returns the load report that a message carries, None without one.

    Raises:
        ProtocolError: It is malformed, or a value is not a finite number.
    """
    raw = m.parse_fields(message.get_text(m.REPORT) or "")
    return read_report({REPORT_FIELDS.get(name, name): m.parse_number(value) for name, value in raw.items()})

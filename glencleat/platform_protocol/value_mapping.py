"""What hosts say of reasons, figures and notes, in the module's types.

Imports messages, the interface and the settings' names; `platform_protocol/exchange.py` asks it.
ProtocolError where a figure can't be read."""

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
}  # every other cause: LOST
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
REPORT_FIELDS = {"util": "busy", "queue": "q"}  # names on the sockets -> in the settings, where they differ


def read_reason(message: m.PlatformMessage) -> api.OutcomeReason:
    return REASONS.get(message.get_text(m.TOPIC) or "", api.OutcomeReason.UNSPECIFIED)


def read_load_report(message: m.PlatformMessage) -> api.LoadReport | None:
    raw = m.parse_fields(message.get_text(m.REPORT) or "")
    return read_report({REPORT_FIELDS.get(name, name): m.parse_number(value) for name, value in raw.items()})

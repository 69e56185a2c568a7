"""What hosts say of reasons, figures and notes, in the module's types.

Imports messages, the interface and the settings' names; `platform_protocol/exchange.py` asks it.
PeerError where a figure can't be read."""

from __future__ import annotations

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_settings import read_report

OUTCOME_BY_CAUSE_BEFORE_ANSWER = {
    m.NO_CAPACITY: api.Outcome.REJECTED,
    m.ERROR: api.Outcome.ERROR,
    m.TIMER_EXPIRED: api.Outcome.NOT_SENT,
}
OUTCOME_BY_CAUSE_AFTER_ANSWER = {
    m.NORMAL_CLEARING: api.Outcome.COMPLETED,
    m.STOPPED: api.Outcome.STOPPED,
}  # every other cause: LOST
REASON_BY_TOPIC = {
    "no_cores": api.OutcomeReason.INSUFFICIENT_CORES,
    "no_memory": api.OutcomeReason.INSUFFICIENT_MEMORY,
    "queue_full": api.OutcomeReason.QUEUE_FULL,
    "not_here": api.OutcomeReason.NOT_ELIGIBLE,
    "evicted": api.OutcomeReason.EVICTED,
    "pushed_out": api.OutcomeReason.PREEMPTED,
    "sent_away": api.OutcomeReason.DRAINED,
}
OBSERVATION_BY_TOPIC = {
    "runs": api.ObservationKind.RUNNING,
    "cores": api.ObservationKind.CORES_IN_USE,
    "memory": api.ObservationKind.MEMORY_IN_USE,
    "served": api.ObservationKind.SERVICE_LEVEL,
    "pressure": api.ObservationKind.MACHINE_MEMORY_IN_USE,
}
SETTINGS_FIELD_BY_WIRE_NAME = {
    "util": "busy",
    "queue": "q",
}  # names on the sockets -> in the settings, where they differ


def parse_outcome_reason(message: m.PlatformMessage) -> api.OutcomeReason:
    return REASON_BY_TOPIC.get(message.text(m.TOPIC) or "", api.OutcomeReason.UNSPECIFIED)


def parse_load_report(message: m.PlatformMessage) -> api.LoadReport | None:
    raw = m.parse_fields(message.text(m.REPORT) or "")
    return read_report(
        {SETTINGS_FIELD_BY_WIRE_NAME.get(name, name): m.parse_number(value) for name, value in raw.items()}
    )

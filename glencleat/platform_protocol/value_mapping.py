"""Translation of hosts' words for causes, reasons, load and observations to the interface's types.

Imports the codec, the interface and the settings' names. The functions raise RemoteProtocolError where a
value can't be read.
"""

from __future__ import annotations

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_settings import read_report

# Causes that are not listed mean Outcome.LOST.
OUTCOME_BY_CAUSE_BEFORE_ANSWER = {
    m.NO_CAPACITY: api.Outcome.REJECTED,
    m.ERROR: api.Outcome.ERROR,
    m.TIMER_EXPIRED: api.Outcome.NOT_SENT,
}
OUTCOME_BY_CAUSE_AFTER_ANSWER = {
    m.NORMAL_CLEARING: api.Outcome.COMPLETED,
    m.STOPPED: api.Outcome.STOPPED,
}
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
SETTINGS_FIELD_BY_WIRE_NAME = {"util": "busy", "queue": "q"}  # where the two differ


def parse_outcome_reason(message: m.PlatformMessage) -> api.OutcomeReason:
    """Returns why a release was sent, UNSPECIFIED where its topic is absent or unknown."""
    return REASON_BY_TOPIC.get(message.text(m.TOPIC) or "", api.OutcomeReason.UNSPECIFIED)


def parse_load_report(message: m.PlatformMessage) -> api.LoadReport | None:
    """Returns the load report in a message, None where there is none."""
    fields = m.parse_fields(message.text(m.REPORT) or "")
    return read_report(
        {SETTINGS_FIELD_BY_WIRE_NAME.get(name, name): m.parse_number(value) for name, value in fields.items()}
    )

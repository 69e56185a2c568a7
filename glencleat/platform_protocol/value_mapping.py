"""What hosts say of reasons, figures and notes, in the module's types.

Imports messages, the interface and the settings' names; `platform_protocol/exchange.py` asks it.
PeerError where a figure can't be read."""

from __future__ import annotations

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_settings import read_report

BEFORE = {m.FULL: api.Outcome.REJECTED, m.ERROR: api.Outcome.ERROR, m.MOOT: api.Outcome.NOT_SENT}
AFTER = {m.ENDED: api.Outcome.COMPLETED, m.STOPPED: api.Outcome.STOPPED}  # every other cause: LOST
WHYS = {
    "no_cores": api.OutcomeReason.INSUFFICIENT_CORES,
    "no_memory": api.OutcomeReason.INSUFFICIENT_MEMORY,
    "queue_full": api.OutcomeReason.QUEUE_FULL,
    "not_here": api.OutcomeReason.NOT_ELIGIBLE,
    "evicted": api.OutcomeReason.EVICTED,
    "pushed_out": api.OutcomeReason.PREEMPTED,
    "sent_away": api.OutcomeReason.DRAINED,
}
TOPICS = {
    "runs": api.ObservationKind.RUNNING,
    "cores": api.ObservationKind.CORES_IN_USE,
    "memory": api.ObservationKind.MEMORY_IN_USE,
    "served": api.ObservationKind.SERVICE_LEVEL,
    "pressure": api.ObservationKind.MACHINE_MEMORY_IN_USE,
}
FIELDS = {"util": "busy", "queue": "q"}  # names on the sockets -> in the settings, where they differ


def why(message: m.PlatformMessage) -> api.OutcomeReason:
    return WHYS.get(message.text(m.TOPIC) or "", api.OutcomeReason.UNSPECIFIED)


def report(message: m.PlatformMessage) -> api.LoadReport | None:
    raw = m.fields(message.text(m.REPORT) or "")
    return read_report({FIELDS.get(name, name): m.figure(value) for name, value in raw.items()})

"""What hosts say of reasons, figures and notes, in the module's types.

Imports messages, the interface and the settings' names; `platform_protocol/exchange.py` asks it.
PeerError where a figure can't be read."""

from __future__ import annotations

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_settings import read_report

BEFORE = {m.FULL: api.Outcome.REFUSED, m.ERROR: api.Outcome.ERROR, m.MOOT: api.Outcome.NOT_SENT}
AFTER = {m.ENDED: api.Outcome.ENDED, m.STOPPED: api.Outcome.STOPPED}  # every other cause: LOST
WHYS = {
    "no_cores": api.Why.CORES,
    "no_memory": api.Why.MEMORY,
    "queue_full": api.Why.LINE,
    "not_here": api.Why.NOT_HERE,
    "evicted": api.Why.EVICTED,
    "pushed_out": api.Why.PUSHED_OUT,
    "sent_away": api.Why.SENT_AWAY,
}
TOPICS = {
    "runs": api.NoteKind.RUNS,
    "cores": api.NoteKind.CORES,
    "memory": api.NoteKind.MEMORY,
    "served": api.NoteKind.SERVED,
    "pressure": api.NoteKind.MACHINE_MEMORY,
}
FIELDS = {"util": "busy", "queue": "q"}  # names on the sockets -> in the settings, where they differ


def why(message: m.Message) -> api.Why:
    return WHYS.get(message.text(m.TOPIC) or "", api.Why.NONE)


def report(message: m.Message) -> api.Report | None:
    raw = m.fields(message.text(m.REPORT) or "")
    return read_report({FIELDS.get(name, name): m.figure(value) for name, value in raw.items()})

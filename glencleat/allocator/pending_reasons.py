"""Why a task is not placed: one record for each pair of outcome and reason of its attempts.

The module does no I/O, and the number of pairs bounds the number of records. The text repeats a machine's
reason without checking it and names the machine, so that a client can identify one that rejects without
cause. The core records each attempt that is concluded before its call has a final answer; answers carry the
text, and the REST API shows the records.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import NamedTuple

from glencleat import interface as api

OUTCOME_TEXTS: Mapping[api.Outcome, str] = MappingProxyType(
    {
        api.Outcome.REJECTED: "refused",
        api.Outcome.TIMED_OUT: "no answer in time",
        api.Outcome.UNREACHABLE: "not reachable",
        api.Outcome.NOT_SENT: "not sent",
        api.Outcome.LOST: "lost on the way",
        api.Outcome.ERROR: "answered with an error",
    }
)
REASON_TEXTS: Mapping[api.OutcomeReason, str] = MappingProxyType(
    {
        api.OutcomeReason.INSUFFICIENT_CORES: "cores",
        api.OutcomeReason.INSUFFICIENT_MEMORY: "memory",
        api.OutcomeReason.QUEUE_FULL: "too many asks wait there",
        api.OutcomeReason.NOT_ELIGIBLE: "not here",
    }
)


class ReasonKind(NamedTuple):
    """Key of a record: attempts that ended with the same outcome and reason are counted together."""

    outcome: api.Outcome
    outcome_reason: api.OutcomeReason


@dataclass(slots=True)
class PendingReason:
    """One kind of end of an attempt: how often it occurred, and the machine and time of the last one.

    `reported_at_ms` is when the core concluded that attempt, also where the machine reported nothing.
    """

    outcome: api.Outcome
    outcome_reason: api.OutcomeReason
    count: int
    machine: str
    reported_at_ms: float

    def __str__(self) -> str:
        """Returns the text for the task's client."""
        reason_text = REASON_TEXTS.get(self.outcome_reason)
        reason = f" ({reason_text})" if reason_text is not None else ""
        times = f" {self.count} times, last" if self.count > 1 else ""
        return f"{OUTCOME_TEXTS.get(self.outcome, self.outcome.value)}{reason}{times} by {self.machine}"


@dataclass(slots=True)
class PendingReasons:
    """Reasons of one task, one of each kind, the newest last."""

    reasons_by_kind: dict[ReasonKind, PendingReason] = field(default_factory=dict)

    def record(
        self, outcome: api.Outcome, outcome_reason: api.OutcomeReason, machine: str, now_ms: float
    ) -> None:
        """Records the end of an attempt."""
        kind = ReasonKind(outcome, outcome_reason)
        before = self.reasons_by_kind.pop(kind, None)
        self.reasons_by_kind[kind] = PendingReason(
            outcome=outcome,
            outcome_reason=outcome_reason,
            count=1 if before is None else before.count + 1,
            machine=machine,
            reported_at_ms=now_ms,
        )

    def describe(self, machine_count: int) -> str:
        """Returns the reasons as a text, newest first.

        `machine_count` is the number of serving machines; without an attempt the text says whether there
        were any.
        """
        if self.reasons_by_kind:
            return "; ".join(str(reason) for reason in reversed(self.reasons_by_kind.values()))
        if not machine_count:
            return "no machine is known"
        return f"none of the {machine_count} machines known was offered it: none that fits showed room"

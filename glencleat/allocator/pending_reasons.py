"""Why a task is not placed: what became of its attempts, as the machines last said it. Pure, bounded.

It repeats what machines reported, also where that was wrong (a machine that rejects falsely): an owner can
then see which machine said it. The core records each attempt that is concluded; answers carry the text, and
whoever asks gets the record.
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
    """What tells one kind of end of an attempt from another."""

    outcome: api.Outcome
    outcome_reason: api.OutcomeReason


@dataclass(slots=True)
class PendingReason:
    """One kind of end of an attempt: how often, and by which machine and when the last time."""

    outcome: api.Outcome
    outcome_reason: api.OutcomeReason
    count: int
    machine: str
    reported_at_ms: float

    def __str__(self) -> str:
        """Returns the text for the task's owner."""
        reason_text = REASON_TEXTS.get(self.outcome_reason)
        reason = f" ({reason_text})" if reason_text is not None else ""
        times = f" {self.count} times, last" if self.count > 1 else ""
        return f"{OUTCOME_TEXTS.get(self.outcome, self.outcome.value)}{reason}{times} by {self.machine}"


@dataclass(slots=True)
class PendingReasons:
    """Reasons of one task, at most one of each kind, the newest last."""

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
        """The reasons as a text, newest first.

        Without any attempt it says whether a machine was known at all: `machine_count` serve.
        """
        if self.reasons_by_kind:
            return "; ".join(str(reason) for reason in reversed(self.reasons_by_kind.values()))
        if not machine_count:
            return "no machine is known"
        return f"none of the {machine_count} machines known was offered it: none that fits showed room"
